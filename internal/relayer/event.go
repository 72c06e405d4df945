package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"papayapaddle/internal/sender"
)

// handleNonStream handles a response that is not an event stream, usually an error, as a stream
// succeeds with events. It returns a failure if a part of the response was already forwarded to
// the caller, or if another attempt may succeed where the server failed, and forwards the response
// otherwise. It reports whether it forwarded the whole response.
func (s *streamState) handleNonStream(ctx context.Context, end *attemptEnd) (*attemptFailure, bool) {
	x, resp := s.x, end.resp
	mayRetry := x.call.Route.Resumable && (x.sentAttempts < x.call.Route.MaxAttempts || len(s.attempts) > 0)
	if s.eventCount > 0 || x.wroteHeader || resp.Status >= http.StatusInternalServerError && mayRetry {
		x.keepServerError(resp, end.body)
		return &attemptFailure{
			sent: true, reason: "server-failed", err: errors.New("status " + strconv.Itoa(resp.Status)),
		}, false
	}
	return nil, x.forwardResponse(ctx, resp, end.body, end.responseEnd)
}

// finishStream ends a stream that the server ended properly.
func (s *streamState) finishStream(resp *sender.Response) *attemptFailure {
	x := s.x
	if s.eventCount == 0 {
		if x.wroteHeader {
			return &attemptFailure{sent: true, reason: "empty-stream", err: io.ErrUnexpectedEOF}
		}
		x.setResponseHeader(resp)
		x.w.WriteHeader(resp.Status)
		x.wroteHeader = true
	}
	x.setOutcome(outcomeAnswered, resp.Status)
	return nil
}

// checkEvent reports whether the caller has not received an event yet. It returns a failure if an event before
// it is missing.
func (s *streamState) checkEvent(a *streamAttempt, u streamUpdate, id string, hasID bool) (isNew bool, failure *attemptFailure) {
	x := s.x
	if !hasID && a.eventsBefore > 0 && s.lastIsNumber && !u.onlyComments {
		return false, &attemptFailure{sent: true, reason: "event-without-id", err: errors.New("event without an ID after " + s.lastID)}
	}
	if hasID {
		n, err := strconv.ParseInt(id, 10, 64)
		if err == nil && s.lastIsNumber && n <= s.lastNumber {
			return false, nil
		}
		follows := err == nil && n == s.lastNumber+1
		if x.call.Route.Resumable && s.consecutive && !follows && s.eventCount > 0 {
			return false, &attemptFailure{
				sent: true, reason: "event-missing", err: errors.New("event " + id + " after " + s.lastID),
			}
		}
		s.lastIsNumber, s.lastNumber, s.consecutive = err == nil, n, s.consecutive && follows
	}
	return true, nil
}

// writeEvent writes one complete event.
func (s *streamState) writeEvent(u streamUpdate, id string, hasID bool) *attemptFailure {
	x := s.x
	if s.eventCount == 0 {
		x.firstEventAt = time.Now()
		x.setResponseHeader(u.resp)
		x.w.Header().Del("Content-Length")
		x.w.WriteHeader(u.resp.Status)
		x.wroteHeader = true
	}
	s.eventCount++
	x.extendWriteDeadline()
	if _, err := x.w.Write(u.event); err != nil {
		return &attemptFailure{sent: true, reason: "caller-gone", err: errors.Join(errCallerWrite, err)}
	}
	if hasID {
		s.lastID = id
	}
	return nil
}

// hasOnlyComments reports whether a block of a stream contains no event. A stalled server may
// still send comments.
func hasOnlyComments(block []byte) bool {
	for line := range bytes.Lines(block) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// containsResponseHead reports whether a block holds the head of a response, which a faulty server or
// one that gave up wrote into its stream.
func containsResponseHead(block []byte) bool {
	for line := range bytes.Lines(block) {
		if bytes.HasPrefix(line, []byte("HTTP/1.")) {
			return true
		}
	}
	return false
}

// eventID returns the ID of an event, which is that of its last id line.
func eventID(event []byte) (id string, ok bool) {
	for line := range bytes.Lines(event) {
		if v, found := bytes.CutPrefix(line, []byte("id:")); found {
			id, ok = string(bytes.TrimSpace(v)), true
		}
	}
	return id, ok
}
