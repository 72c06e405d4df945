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
	// silenceObjectives and silenceGaps say after how many objectives or gaps
	// without an event a stream that can be resumed is taken up elsewhere.
	silenceObjectives = 2
	silenceGaps       = 2
	// minSilence is the least silence that says anything.
	minSilence = time.Second
)

// flow is the state of one stream across its attempts.
type flow struct {
	x *exchange
	// last is the id of the last event passed on.
	last    string
	number  int64
	numbers bool
	events  int
	// consecutive says that all numbers so far followed one on the other, so that
	// a missing one shows.
	consecutive bool
}

// resumed notes the last event that the caller has.
func (f *flow) resumed(last string) {
	n, err := strconv.ParseInt(last, 10, 64)
	f.number, f.numbers, f.consecutive = n, err == nil, err == nil
}

// stream serves a request whose answer is a stream of events.
func (x *exchange) stream(ctx context.Context) {
	defer func() { x.Buffer.Release(x.body) }()
	f := &flow{x: x, consecutive: true}
	if last := x.call.LastEvent; last != "" && x.call.Route.Resumable {
		f.resumed(last)
	}
	for {
		p, ok := x.place(ctx)
		if !ok {
			return
		}
		l, done := f.attempt(ctx, p)
		if done {
			return
		}
		x.Log("attempt-failed", "request", x.call.ID, "server", x.server, "reason", l.reason, "not-run", l.notRun,
			"events", f.events, "err", l.err)
		if x.req.Context().Err() != nil {
			x.end(outcomeGone, statusClientGone)
			return
		}
		if !x.again(ctx, l) {
			x.conclude(ctx, l)
			return
		}
		// What a caller says that it has does not count: any could go first that way.
		x.call.Resumed = f.events > 0
	}
}

// attempt runs the stream on one server. It says done when the request has its
// outcome.
func (f *flow) attempt(ctx context.Context, p *Place) (*lost, bool) {
	x := f.x
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var watch *watchdog
	if x.call.Route.Resumable {
		watch = newWatchdog(f.silence(), func() { cancel(errSilent) })
		defer watch.stop()
	}
	// A caller who leaves says nothing of the server, unless it was silent for
	// longer than a sound one is.
	began, had := time.Now(), f.events
	a, l := x.send(ctx, p, f.last)
	whole := false
	if l == nil {
		switch {
		case a.Status >= 300 || !strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream"):
			var done bool
			l, done = f.other(a)
			whole = done && l == nil
		default:
			l = f.relay(a, p, watch)
			whole = l == nil
		}
	}
	if a != nil {
		a.Close(whole || l != nil && l.notRun && drained(a))
	}
	failed := l != nil && !l.notRun && (x.req.Context().Err() == nil || f.events == had && time.Since(began) > f.silence())
	if l == nil && a.Status >= http.StatusInternalServerError {
		failed = true
	}
	p.End(End{
		Failed: failed && !errors.Is(l.cause(), errCaller), Full: l != nil && l.notRun && l.sent, Took: time.Since(began),
		Whole: whole && had == 0,
	})
	if l != nil && errors.Is(l.err, errCaller) {
		x.end(outcomeGone, statusClientGone)
		return nil, true
	}
	if l != nil && context.Cause(ctx) == errSilent {
		l.reason = "silent"
	}
	return l, l == nil
}

func (l *lost) cause() error {
	if l == nil {
		return nil
	}
	return l.err
}

var (
	errSilent = errors.New("no event in time")
	errCaller = errors.New("the caller cannot be written to")
)

// silence is how long the next event may take before the stream is taken up at
// another server.
func (f *flow) silence() time.Duration {
	rt := f.x.call.Route
	if f.events == 0 {
		return max(minSilence, silenceObjectives*rt.LatencyObjective)
	}
	return max(minSilence, silenceGaps*rt.MaxEventGap)
}

// other handles an answer that is no stream: a failure, as streams succeed with
// events.
func (f *flow) other(a *sender.Answer) (*lost, bool) {
	x := f.x
	if f.events > 0 || x.wrote {
		return &lost{sent: true, reason: "server-failed", err: errors.New("status " + strconv.Itoa(a.Status))}, false
	}
	body, l := x.hold(a)
	if l != nil {
		return l, false
	}
	if a.Status >= http.StatusInternalServerError && x.call.Route.Resumable && x.sent < x.call.Route.MaxAttempts {
		return &lost{sent: true, reason: "server-failed", err: errors.New("status " + strconv.Itoa(a.Status))}, false
	}
	return nil, x.answer(a, body)
}

// relay passes events on, each as soon as it is whole. Nothing of a broken one
// is passed on, so that the stream can be taken up after the last whole one.
func (f *flow) relay(a *sender.Answer, p *Place, watch *watchdog) *lost {
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
				return &lost{sent: true, reason: "event-cut", err: io.ErrUnexpectedEOF}
			}
			return f.finish(a)
		case err != nil:
			return &lost{sent: true, reason: "stream-cut", err: err}
		case len(event) > maxEventBytes:
			return &lost{sent: true, reason: "event-too-long", err: errors.New("event too long")}
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		comment := onlyComments(event)
		if comment && f.events == 0 {
			// It goes with the first event: an answer has not begun with it.
			continue
		}
		if watch != nil && !comment {
			watch.extend(f.silence())
		}
		if !began && !comment {
			began = true
			p.Began()
		}
		if l := f.pass(a, event); l != nil {
			return l
		}
		event = event[:0]
		if br.Buffered() == 0 {
			if err := x.rc.Flush(); err != nil {
				return &lost{sent: true, reason: "caller-gone", err: errors.Join(errCaller, err)}
			}
		}
	}
}

// finish ends a stream whose server ended it properly.
func (f *flow) finish(a *sender.Answer) *lost {
	x := f.x
	if f.events == 0 {
		if x.wrote {
			return &lost{sent: true, reason: "empty-stream", err: io.ErrUnexpectedEOF}
		}
		x.head(a)
		x.w.WriteHeader(a.Status)
		x.wrote = true
	}
	x.end(outcomeAnswered, a.Status)
	return nil
}

// pass writes one whole event. Events that the caller has already are left out,
// and a gap ends the stream.
func (f *flow) pass(a *sender.Answer, event []byte) *lost {
	x := f.x
	id, ok := eventID(event)
	if ok {
		n, err := strconv.ParseInt(id, 10, 64)
		if err == nil && f.numbers && n <= f.number {
			return nil
		}
		follows := err == nil && n == f.number+1
		if x.call.Route.Resumable && f.consecutive && !follows && f.events > 0 {
			return &lost{sent: true, reason: "event-missing", err: errors.New("event " + id + " after " + f.last)}
		}
		f.numbers, f.number, f.consecutive = err == nil, n, f.consecutive && follows
	}
	if f.events == 0 {
		now := time.Now()
		x.firstAt = now
		x.head(a)
		x.w.Header().Del("Content-Length")
		x.w.WriteHeader(a.Status)
		x.wrote = true
	}
	f.events++
	x.deadline()
	if _, err := x.w.Write(event); err != nil {
		return &lost{sent: true, reason: "caller-gone", err: errors.Join(errCaller, err)}
	}
	if ok {
		f.last = id
	}
	return nil
}

// onlyComments says whether a block of a stream carries no event. Servers may send
// such blocks while they are stalled.
func onlyComments(block []byte) bool {
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
