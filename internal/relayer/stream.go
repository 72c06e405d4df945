package relayer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"papayapaddle/internal/sender"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10
	// firstEventTimeoutObjectives and silenceGaps say after how many objectives or gaps
	// without an event a stream that can be resumed is taken up elsewhere.
	firstEventTimeoutObjectives = 2
	eventTimeoutGaps            = 2
	// minEventTimeout is the least silence that says anything.
	minEventTimeout = time.Second
)

// streamState is the state of one stream across its attempts.
type streamState struct {
	x *exchange
	// lastID is the id of the last event passed on.
	lastID       string
	lastNumber   int64
	lastIsNumber bool
	eventCount   int
	// consecutive says that all numbers so far followed one on the other, so that
	// a missing one shows.
	consecutive bool
}

// resumeFrom notes the last event that the caller has.
func (f *streamState) resumeFrom(last string) {
	n, err := strconv.ParseInt(last, 10, 64)
	f.lastNumber, f.lastIsNumber, f.consecutive = n, err == nil, err == nil
}

// serveStream serves a request whose answer is a stream of events.
func (x *exchange) serveStream(ctx context.Context) {
	defer func() { x.BodyBudget.Release(x.body) }()
	f := &streamState{x: x, consecutive: true}
	if last := x.call.LastEvent; last != "" && x.call.Route.Resumable {
		f.resumeFrom(last)
	}
	for {
		p, ok := x.assignServer(ctx)
		if !ok {
			return
		}
		l, done := f.attempt(ctx, p)
		if done {
			return
		}
		x.Log("attempt-failed", "request", x.call.ID, "server", x.serverID, "reason", l.reason, "not-run", l.notRun,
			"events", f.eventCount, "err", l.err)
		if x.req.Context().Err() != nil {
			x.setOutcome(outcomeCallerGone, statusClientClosedRequest)
			return
		}
		if !x.mayRetry(ctx, l) {
			x.failRequest(ctx, l)
			return
		}
		// What a caller says that it has does not count: any could go first that way.
		x.call.Resumed = f.eventCount > 0
	}
}

// attempt runs the stream on one server. It says done when the request has its
// outcome.
func (f *streamState) attempt(ctx context.Context, p *Assignment) (*attemptFailure, bool) {
	x := f.x
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var watch *watchdog
	if x.call.Route.Resumable {
		watch = newWatchdog(f.eventTimeout(), func() { cancel(errEventTimeout) })
		defer watch.stop()
	}
	// A caller who leaves says nothing of the server, unless it was silent for
	// longer than a sound one is.
	began, had := time.Now(), f.eventCount
	a, l := x.send(ctx, p, f.lastID)
	whole := false
	if l == nil {
		switch {
		case a.Status >= 300 || !strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream"):
			var done bool
			l, done = f.handleNonStream(a)
			whole = done && l == nil
		default:
			l = f.relayEvents(a, p, watch)
			whole = l == nil
		}
	}
	if a != nil {
		a.Close(whole || l != nil && l.notRun && drain(a))
	}
	failed := l != nil && !l.notRun && (x.req.Context().Err() == nil || f.eventCount == had && time.Since(began) > f.eventTimeout())
	if l == nil && a.Status >= http.StatusInternalServerError {
		failed = true
	}
	p.Release(AttemptResult{
		Failed: failed && !errors.Is(l.cause(), errCallerWrite), Refused: l != nil && l.notRun && l.sent, Duration: time.Since(began),
		Complete: whole && had == 0,
	})
	if l != nil && errors.Is(l.err, errCallerWrite) {
		x.setOutcome(outcomeCallerGone, statusClientClosedRequest)
		return nil, true
	}
	if l != nil && context.Cause(ctx) == errEventTimeout {
		l.reason = "silent"
	}
	return l, l == nil
}

func (l *attemptFailure) cause() error {
	if l == nil {
		return nil
	}
	return l.err
}

var (
	errEventTimeout = errors.New("no event in time")
	errCallerWrite  = errors.New("the caller cannot be written to")
)

// eventTimeout is how long the next event may take before the stream is taken up at
// another server.
func (f *streamState) eventTimeout() time.Duration {
	rt := f.x.call.Route
	if f.eventCount == 0 {
		return max(minEventTimeout, firstEventTimeoutObjectives*rt.Objective)
	}
	return max(minEventTimeout, eventTimeoutGaps*rt.MaxGap)
}

// handleNonStream handles an answer that is no stream: a failure, as streams succeed with
// events.
func (f *streamState) handleNonStream(a *sender.Response) (*attemptFailure, bool) {
	x := f.x
	if f.eventCount > 0 || x.wroteHeader {
		return &attemptFailure{sent: true, reason: "server-failed", err: errors.New("status " + strconv.Itoa(a.Status))}, false
	}
	body, l := x.bufferBody(a)
	if l != nil {
		return l, false
	}
	if a.Status >= http.StatusInternalServerError && x.call.Route.Resumable && x.sentAttempts < x.call.Route.MaxServers {
		return &attemptFailure{sent: true, reason: "server-failed", err: errors.New("status " + strconv.Itoa(a.Status))}, false
	}
	return nil, x.forwardResponse(a, body)
}

// relayEvents passes events on, each as soon as it is whole. Nothing of a broken one
// is passed on, so that the stream can be taken up after the last whole one.
func (f *streamState) relayEvents(a *sender.Response, p *Assignment, watch *watchdog) *attemptFailure {
	x := f.x
	br := bufio.NewReaderSize(a.Body, 4<<10)
	var event []byte
	began := false
	for {
		line, err := br.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(event) <= maxEventBytes:
			continue
		case errors.Is(err, io.EOF):
			if len(event) > 0 {
				return &attemptFailure{sent: true, reason: "event-cut", err: io.ErrUnexpectedEOF}
			}
			return f.finishStream(a)
		case err != nil:
			return &attemptFailure{sent: true, reason: "stream-cut", err: err}
		case len(event) > maxEventBytes:
			return &attemptFailure{sent: true, reason: "event-too-long", err: errors.New("event too long")}
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		comment := hasOnlyComments(event)
		if comment && f.eventCount == 0 {
			// It goes with the first event: an answer has not begun with it.
			continue
		}
		if watch != nil && !comment {
			watch.extend(f.eventTimeout())
		}
		if !began && !comment {
			began = true
			p.ReportFirstEvent()
		}
		if l := f.writeEvent(a, event); l != nil {
			return l
		}
		event = event[:0]
		if br.Buffered() == 0 {
			if err := x.respCtl.Flush(); err != nil {
				return &attemptFailure{sent: true, reason: "caller-gone", err: errors.Join(errCallerWrite, err)}
			}
		}
	}
}

// finishStream ends a stream whose server ended it properly.
func (f *streamState) finishStream(a *sender.Response) *attemptFailure {
	x := f.x
	if f.eventCount == 0 {
		if x.wroteHeader {
			return &attemptFailure{sent: true, reason: "empty-stream", err: io.ErrUnexpectedEOF}
		}
		x.setResponseHeader(a)
		x.w.WriteHeader(a.Status)
		x.wroteHeader = true
	}
	x.setOutcome(outcomeAnswered, a.Status)
	return nil
}

// writeEvent writes one whole event. Events that the caller has already are left out,
// and a gap ends the stream.
func (f *streamState) writeEvent(a *sender.Response, event []byte) *attemptFailure {
	x := f.x
	id, ok := eventID(event)
	if ok {
		n, err := strconv.ParseInt(id, 10, 64)
		if err == nil && f.lastIsNumber && n <= f.lastNumber {
			return nil
		}
		follows := err == nil && n == f.lastNumber+1
		if x.call.Route.Resumable && f.consecutive && !follows && f.eventCount > 0 {
			return &attemptFailure{sent: true, reason: "event-missing", err: errors.New("event " + id + " after " + f.lastID)}
		}
		f.lastIsNumber, f.lastNumber, f.consecutive = err == nil, n, f.consecutive && follows
	}
	if f.eventCount == 0 {
		now := time.Now()
		x.firstEventAt = now
		x.setResponseHeader(a)
		x.w.Header().Del("Content-Length")
		x.w.WriteHeader(a.Status)
		x.wroteHeader = true
	}
	f.eventCount++
	x.extendWriteDeadline()
	if _, err := x.w.Write(event); err != nil {
		return &attemptFailure{sent: true, reason: "caller-gone", err: errors.Join(errCallerWrite, err)}
	}
	if ok {
		f.lastID = id
	}
	return nil
}

// hasOnlyComments says whether a block of a stream carries no event. Servers may send
// such blocks while they are stalled.
func hasOnlyComments(block []byte) bool {
	for line := range bytes.Lines(block) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the id of an event: its last id line counts.
func eventID(event []byte) (id string, ok bool) {
	for line := range bytes.Lines(event) {
		if v, found := bytes.CutPrefix(line, []byte("id:")); found {
			id, ok = string(bytes.TrimSpace(v)), true
		}
	}
	return id, ok
}
