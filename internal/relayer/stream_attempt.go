package relayer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/sender"
)

// maxEventBytes limits one event of a stream.
const maxEventBytes = 256 << 10

// streamAttempt is one attempt of a stream on one server. Its run method uses only server, request, ctx
// and eventsBefore.
type streamAttempt struct {
	server     *cataloger.Server
	assignment *Assignment
	request    *sender.Request
	ctx        context.Context
	cancel     context.CancelCauseFunc
	// sentAt is a reading of the boot clock before the request was sent.
	sentAt    time.Duration
	startedAt time.Time
	// eventsBefore is the number of events that had been forwarded when the attempt started.
	eventsBefore int
	// events is the number of events that the server sent, and lastEventAt the time of the last one, or startedAt.
	events      int
	lastEventAt time.Time
	// silent is true while a silence of the server is reported.
	silent bool
	// counted is true once the exchange has counted the attempt as sent.
	counted bool
	// failure, if not nil, is why the attempt was abandoned. What its server still sends is ignored.
	failure *attemptFailure
}

// streamUpdate is an event of an attempt, or its end. The event is valid until the next update of the
// attempt is received.
type streamUpdate struct {
	attempt *streamAttempt
	resp    *sender.Response
	event   []byte
	// onlyComments is true if the event is a block of comments.
	onlyComments bool
	// flush is true if no further whole event has been received yet.
	flush bool
	end   *attemptEnd
}

// attemptEnd is what an attempt ended with.
type attemptEnd struct {
	// resp is nil if no response was received.
	resp *sender.Response
	// failure is nil if the server ended its response properly.
	failure *attemptFailure
	// nonStream is true if the response is no stream. The first maxBufferedBytes and one byte are in body.
	nonStream bool
	body      []byte
	// responseEnd is the end of the response. It is stopped when the update is handled.
	responseEnd *responseEnd
	// drained is true if the connection can be used again though the attempt failed.
	drained bool
}

// count counts the attempt as one that may have reached its server.
func (a *streamAttempt) count(x *exchange) {
	if !a.counted {
		a.counted = true
		x.sentAttempts++
	}
}

// run sends the request and passes on what the server responds. The last update has an end.
func (a *streamAttempt) run(x *exchange, updates chan<- streamUpdate) {
	end := &attemptEnd{}
	defer func() {
		// Unlike those of handlers, net/http does not recover a panic of this goroutine, which would end the router.
		if p := recover(); p != nil {
			x.Log("panic", "request", x.call.ID, "server", a.server.ID, "err", p, "stack", string(debug.Stack()))
			end.failure = &attemptFailure{sent: true, reason: "panic", err: errPanic}
		}
		updates <- streamUpdate{attempt: a, end: end}
	}()
	end.resp, end.failure = x.sendRequest(a.ctx, a.server, a.request)
	switch resp := end.resp; {
	case end.failure != nil:
	case resp.Status != http.StatusOK || !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		end.nonStream, end.responseEnd = true, x.watchEnd(a.server, resp)
		end.body, end.failure = x.bufferBody(a.ctx, resp, end.responseEnd)
	default:
		end.responseEnd = x.watchEnd(a.server, resp)
		end.failure = a.readEvents(x, end, updates)
	}
	end.drained = end.failure != nil && end.failure.notRun && end.resp != nil && drain(end.resp)
}

var (
	errPanic    = errors.New("panic in an attempt")
	errNoEvents = errors.New("the connection ended without an event")
)

// holdsEvent reports whether the end of an event is buffered.
func holdsEvent(br *bufio.Reader) bool {
	// What is buffered can always be peeked at.
	buffered, _ := br.Peek(br.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// readEvents passes on each event as soon as it is complete. No part of a truncated event is passed on, so
// that the stream can be resumed after the last complete one.
func (a *streamAttempt) readEvents(x *exchange, end *attemptEnd, updates chan<- streamUpdate) *attemptFailure {
	resp := end.resp
	br := bufio.NewReaderSize(resp.Body, 4<<10)
	// One buffer is filled while the event in the other one is forwarded.
	var event, forwarded []byte
	events, begun := 0, a.eventsBefore > 0
	for {
		line, err := br.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(event) <= maxEventBytes:
			continue
		case errors.Is(err, io.EOF):
			if len(event) > 0 {
				return &attemptFailure{sent: true, connectionBroke: true, reason: "event-cut", err: io.ErrUnexpectedEOF}
			}
			if events == 0 && resp.DelimitedByClose() {
				return &attemptFailure{sent: true, connectionBroke: true, reason: "stream-cut", err: errNoEvents}
			}
			return end.responseEnd.check(a.ctx, "stream-cut")
		case err != nil:
			return &attemptFailure{sent: true, connectionBroke: true, reason: "stream-cut", err: err}
		case len(event) > maxEventBytes:
			return &attemptFailure{sent: true, reason: "event-too-long", err: errors.New("event too long")}
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		onlyComments := hasOnlyComments(event)
		if onlyComments && !begun {
			// Leading comments are forwarded with the first event. Until then the response has
			// not begun, and another server may still give a different one.
			continue
		}
		begun = true
		if !onlyComments {
			events++
		}
		updates <- streamUpdate{
			attempt: a, resp: resp, event: event, onlyComments: onlyComments, flush: !holdsEvent(br),
		}
		event, forwarded = forwarded[:0], event
	}
}
