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
	// maxBufferedBytes is the largest answer that is held until it is whole, so that a
	// cut one can be asked for again.
	maxBufferedBytes = 256 << 10
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// maxServersTried bounds the places that one request tries, sent or not.
	maxServersTried = 4
)

// attemptFailure is why an attempt brought no answer.
type attemptFailure struct {
	// notRun says that this attempt certainly did not run.
	notRun bool
	// sent says that the server got any of it.
	sent   bool
	reason string
	err    error
}

// assignServer finds a server for the next attempt; false says that the request has
// its answer.
func (x *exchange) assignServer(ctx context.Context) (*Assignment, bool) {
	start := time.Now()
	assigned, refusal := x.AssignServer(ctx, &x.call)
	x.assignmentWait += time.Since(start)
	if refusal != nil {
		x.logFields = append(x.logFields, refusal.LogFields...)
		switch {
		case x.req.Context().Err() != nil:
			x.setOutcome(outcomeCallerGone, statusClientClosedRequest)
		default:
			x.refuse(refusal.Reason, refusal.RetryAfter)
		}
		return nil, false
	}
	if !x.recheckConfig() {
		assigned.Release(AttemptResult{})
		return nil, false
	}
	return assigned, true
}

// send writes the request to the place and reads the head of the answer.
func (x *exchange) send(ctx context.Context, assigned *Assignment, lastEvent string) (*sender.Response, *attemptFailure) {
	server := assigned.Server
	x.serverID = server.ID
	x.call.ExcludedServers = append(x.call.ExcludedServers, server.ID)
	out := &sender.Request{
		Server: server.ID, Address: server.Address, Method: x.req.Method, Target: x.req.RequestURI, Host: x.req.Host,
		Header: x.Codec.EncodeRequest(x.req.Header, ForwardInfo{
			Server: server.ID, Workspace: x.call.Workspace, TimeLeft: time.Until(x.call.Deadline),
			Resumable: x.call.Route.Resumable, LastEvent: lastEvent,
		}),
		Body:       x.body,
		AtMostOnce: !x.call.Route.Repeatable(),
		MatchesResponse: func(h http.Header) bool {
			id := x.Codec.DecodeAnswer(0, h).ID
			return id == "" || id == x.call.ID
		},
	}
	if ctx.Err() != nil {
		return nil, &attemptFailure{notRun: true, reason: "deadline", err: ctx.Err()}
	}
	resp, err := x.Send(ctx, out)
	if err != nil {
		notSent := failer.KindOf[sender.Kind](err) == sender.KindNotSent
		if !notSent {
			x.sentAttempts++
		}
		if ctx.Err() == nil {
			x.CloseIdle(server.ID, server.Address)
		}
		return nil, &attemptFailure{notRun: notSent, sent: !notSent, reason: string(failer.KindOf[sender.Kind](err)), err: err}
	}
	x.sentAttempts++
	x.serverResponded = true
	return resp, x.checkResponse(server.ID, resp)
}

// checkResponse refuses an answer that is no whole success or failure of the server.
func (x *exchange) checkResponse(server string, resp *sender.Response) *attemptFailure {
	info := x.Codec.DecodeAnswer(resp.Status, resp.Header)
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		x.OnServerReplaced(server)
		return &attemptFailure{notRun: true, sent: true, reason: "another-server"}
	case info.NotRun:
		return &attemptFailure{notRun: true, sent: true, reason: "server-refused"}
	case impliesNotRun(resp.Status):
		// The caller would take it for a promise that the server did not give.
		return &attemptFailure{sent: true, reason: "unfounded-refusal", err: errors.New("status " + strconv.Itoa(resp.Status))}
	case resp.Status < 300 && (!info.Signed || info.ID != x.call.ID):
		return &attemptFailure{sent: true, reason: "unsigned-answer"}
	}
	return nil
}

// impliesNotRun says whether a status tells callers that a request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// mayRetry says whether another attempt keeps every promise.
func (x *exchange) mayRetry(ctx context.Context, fail *attemptFailure) bool {
	if !fail.notRun {
		x.mayHaveRun = true
	}
	if ctx.Err() != nil || len(x.call.ExcludedServers) >= maxServersTried {
		return false
	}
	if x.mayHaveRun && !x.call.Route.Repeatable() {
		return false
	}
	if x.sentAttempts == 0 {
		return true
	}
	return x.sentAttempts < x.call.Route.MaxServers && x.AllowRetry(x.call.Service.Name)
}

// failRequest ends a request whose last attempt brought no answer.
func (x *exchange) failRequest(ctx context.Context, fail *attemptFailure) {
	switch {
	case x.req.Context().Err() != nil:
		x.setOutcome(outcomeCallerGone, statusClientClosedRequest)
	case !x.mayHaveRun:
		x.logFields = append(x.logFields, "err", fail.err)
		x.refuse(fail.reason, retrySoonDelay)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		x.fail(http.StatusGatewayTimeout, "deadline", fail.err)
	default:
		x.fail(http.StatusBadGateway, fail.reason, fail.err)
	}
}

// serveBuffered serves a request whose answer is passed on once it is complete.
func (x *exchange) serveBuffered(ctx context.Context) {
	defer func() { x.BodyBudget.Release(x.body) }()
	for {
		assigned, ok := x.assignServer(ctx)
		if !ok {
			return
		}
		start := time.Now()
		resp, fail := x.send(ctx, assigned, "")
		var body []byte
		if fail == nil {
			body, fail = x.bufferBody(resp)
		}
		final := fail == nil && (resp.Status < http.StatusInternalServerError || !x.mayRetry(ctx, &attemptFailure{sent: true}))
		if resp != nil && !final {
			resp.Close(drain(resp))
		}
		failed := fail != nil && !fail.notRun || fail == nil && resp.Status >= http.StatusInternalServerError
		assigned.Release(AttemptResult{Failed: failed && x.req.Context().Err() == nil, Refused: fail != nil && fail.notRun && fail.sent, Duration: time.Since(start)})
		if final {
			resp.Close(x.forwardResponse(resp, body))
			return
		}
		if fail == nil {
			// Sent again after a failure of the server.
			continue
		}
		x.Log("attempt-failed", "request", x.call.ID, "server", x.serverID, "reason", fail.reason, "not-run", fail.notRun, "err", fail.err)
		if !x.mayRetry(ctx, fail) {
			x.failRequest(ctx, fail)
			return
		}
	}
}

// drain reads a short rest of an answer, so that its connection can be used
// again.
func drain(resp *sender.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
	return err == nil && n < maxDrainBytes
}

// maxDrainBytes is what is read of an answer that nobody wants.
const maxDrainBytes = 4 << 10

// bufferBody reads the whole body.
func (x *exchange) bufferBody(resp *sender.Response) ([]byte, *attemptFailure) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err != nil {
		return nil, &attemptFailure{sent: true, reason: "answer-cut", err: err}
	}
	return body, nil
}

// forwardResponse passes a server's answer on. One that is longer than what is held is
// passed on as it comes, and cut if its end is missing. It says whether all of
// it was read.
func (x *exchange) forwardResponse(resp *sender.Response, body []byte) bool {
	x.firstEventAt = time.Now()
	x.setResponseHeader(resp)
	if len(body) <= maxBufferedBytes {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(resp.Status)
	x.wroteHeader = true
	x.extendWriteDeadline()
	if _, err := x.w.Write(body); err != nil {
		x.setOutcome(outcomeCallerGone, statusClientClosedRequest)
		return false
	}
	if len(body) > maxBufferedBytes {
		if _, err := io.Copy(x.w, resp.Body); err != nil {
			x.setOutcome(outcomeCut, resp.Status)
			return false
		}
	}
	x.setOutcome(outcomeAnswered, resp.Status)
	return true
}

// setResponseHeader sets the answer's headers.
func (x *exchange) setResponseHeader(resp *sender.Response) {
	h := x.w.Header()
	connection := h.Get("Connection")
	for k, v := range x.Codec.AnswerHeader(resp.Header) {
		h[k] = slices.Clone(v)
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	if h.Get("Content-Type") == "" {
		// The library would guess one.
		h["Content-Type"] = nil
	}
}

// extendWriteDeadline gives the caller another writeTimeout to read what is written next.
func (x *exchange) extendWriteDeadline() {
	// Writers without deadlines, as in tests, are not bounded.
	_ = x.respCtl.SetWriteDeadline(time.Now().Add(writeTimeout))
}
