package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"papayapaddle/internal/failer"
	"papayapaddle/internal/sender"
)

const (
	// maxHeldBytes is the largest answer that is held until it is whole, so that a
	// cut one can be asked for again.
	maxHeldBytes = 256 << 10
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// maxPlaces bounds the places that one request tries, sent or not.
	maxPlaces = 4
)

// lost is why an attempt brought no answer.
type lost struct {
	// notRun says that this attempt certainly did not run.
	notRun bool
	// sent says that the server got any of it.
	sent   bool
	reason string
	err    error
}

// place finds a server for the next attempt; false says that the request has
// its answer.
func (x *exchange) place(ctx context.Context) (*Place, bool) {
	asked := time.Now()
	p, refusal := x.Place(ctx, &x.call)
	x.waited += time.Since(asked)
	if refusal != nil {
		x.detail = append(x.detail, refusal.Detail...)
		switch {
		case x.req.Context().Err() != nil:
			x.end(outcomeGone, statusClientGone)
		default:
			x.refuse(refusal.Reason, refusal.RetryAfter)
		}
		return nil, false
	}
	if !x.recheck() {
		p.End(End{})
		return nil, false
	}
	return p, true
}

// send writes the request to the place and reads the head of the answer.
func (x *exchange) send(ctx context.Context, p *Place, lastEvent string) (*sender.Answer, *lost) {
	s := p.Server
	x.server = s.ID
	x.call.Exclude = append(x.call.Exclude, s.ID)
	q := &sender.Request{
		Server: s.ID, Address: s.Address, Method: x.req.Method, Target: x.req.RequestURI, Host: x.req.Host,
		Header: x.Codec.EncodeRequest(x.req.Header, Forwarding{
			Server: s.ID, Workspace: x.call.Workspace, Left: time.Until(x.call.Deadline),
			Resumable: x.call.Route.Resumable, LastEvent: lastEvent,
		}),
		Body: x.body,
		Once: !x.call.Route.Retryable(),
		Mine: func(h http.Header) bool {
			id := x.Codec.DecodeAnswer(0, h).ID
			return id == "" || id == x.call.ID
		},
	}
	if ctx.Err() != nil {
		return nil, &lost{notRun: true, reason: "deadline", err: ctx.Err()}
	}
	a, err := x.Send(ctx, q)
	if err != nil {
		notSent := failer.KindOf[sender.Kind](err) == sender.KindNotSent
		if !notSent {
			x.sent++
		}
		if ctx.Err() == nil {
			x.Drop(s.ID, s.Address)
		}
		return nil, &lost{notRun: notSent, sent: !notSent, reason: string(failer.KindOf[sender.Kind](err)), err: err}
	}
	x.sent++
	x.offered = true
	return a, x.judge(s.ID, a)
}

// judge refuses an answer that is no whole success or failure of the server.
func (x *exchange) judge(server string, a *sender.Answer) *lost {
	v := x.Codec.DecodeAnswer(a.Status, a.Header)
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		x.Moved(server)
		return &lost{notRun: true, sent: true, reason: "another-server"}
	case v.NotRun:
		return &lost{notRun: true, sent: true, reason: "server-refused"}
	case promises(a.Status):
		// The caller would take it for a promise that the server did not give.
		return &lost{sent: true, reason: "unfounded-refusal", err: errors.New("status " + strconv.Itoa(a.Status))}
	case a.Status < 300 && (!v.Signed || v.ID != x.call.ID):
		return &lost{sent: true, reason: "unsigned-answer"}
	}
	return nil
}

// promises says whether a status tells callers that a request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// again says whether another attempt keeps every promise.
func (x *exchange) again(ctx context.Context, l *lost) bool {
	if !l.notRun {
		x.ran = true
	}
	if ctx.Err() != nil || len(x.call.Exclude) >= maxPlaces {
		return false
	}
	if x.ran && !x.call.Route.Retryable() {
		return false
	}
	if x.sent == 0 {
		return true
	}
	return x.sent < x.call.Route.MaxAttempts && x.Repeat(x.call.Service.Name)
}

// conclude ends a request whose last attempt brought no answer.
func (x *exchange) conclude(ctx context.Context, l *lost) {
	switch {
	case x.req.Context().Err() != nil:
		x.end(outcomeGone, statusClientGone)
	case !x.ran:
		x.detail = append(x.detail, "err", l.err)
		x.refuse(l.reason, retrySoon)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		x.fail(http.StatusGatewayTimeout, "deadline", l.err)
	default:
		x.fail(http.StatusBadGateway, l.reason, l.err)
	}
}

// whole serves a request whose answer is passed on once it is complete.
func (x *exchange) whole(ctx context.Context) {
	defer func() { x.Buffer.Release(x.body) }()
	for {
		p, ok := x.place(ctx)
		if !ok {
			return
		}
		began := time.Now()
		a, l := x.send(ctx, p, "")
		var body []byte
		if l == nil {
			body, l = x.hold(a)
		}
		final := l == nil && (a.Status < http.StatusInternalServerError || !x.again(ctx, &lost{sent: true}))
		if a != nil && !final {
			a.Close(drained(a))
		}
		failed := l != nil && !l.notRun || l == nil && a.Status >= http.StatusInternalServerError
		p.End(End{Failed: failed && x.req.Context().Err() == nil, Full: l != nil && l.notRun && l.sent, Took: time.Since(began)})
		if final {
			a.Close(x.answer(a, body))
			return
		}
		if l == nil {
			// Sent again after a failure of the server.
			continue
		}
		x.Log("attempt-failed", "request", x.call.ID, "server", x.server, "reason", l.reason, "not-run", l.notRun, "err", l.err)
		if !x.again(ctx, l) {
			x.conclude(ctx, l)
			return
		}
	}
}

// drained reads a short rest of an answer, so that its connection can be used
// again.
func drained(a *sender.Answer) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxDrainBytes))
	return err == nil && n < maxDrainBytes
}

// maxDrainBytes is what is read of an answer that nobody wants.
const maxDrainBytes = 4 << 10

// hold reads the whole body.
func (x *exchange) hold(a *sender.Answer) ([]byte, *lost) {
	b, err := io.ReadAll(io.LimitReader(a.Body, maxHeldBytes+1))
	if err != nil {
		return nil, &lost{sent: true, reason: "answer-cut", err: err}
	}
	return b, nil
}

// answer passes a server's answer on. One that is longer than what is held is
// passed on as it comes, and cut if its end is missing. It says whether all of
// it was read.
func (x *exchange) answer(a *sender.Answer, body []byte) bool {
	x.firstAt = time.Now()
	x.head(a)
	if len(body) <= maxHeldBytes {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(a.Status)
	x.wrote = true
	x.deadline()
	if _, err := x.w.Write(body); err != nil {
		x.end(outcomeGone, statusClientGone)
		return false
	}
	if len(body) > maxHeldBytes {
		if _, err := io.Copy(x.w, a.Body); err != nil {
			x.end(outcomeCut, a.Status)
			return false
		}
	}
	x.end(outcomeAnswered, a.Status)
	return true
}

// head sets the answer's headers.
func (x *exchange) head(a *sender.Answer) {
	h := x.w.Header()
	closing := h.Get("Connection")
	for k, v := range x.Codec.AnswerHeader(a.Header) {
		h[k] = slices.Clone(v)
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	if h.Get("Content-Type") == "" {
		// The library would guess one.
		h["Content-Type"] = nil
	}
}

// deadline gives the caller another writeTimeout to read what is written next.
func (x *exchange) deadline() {
	// Writers without deadlines, as in tests, are not bounded.
	_ = x.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
}
