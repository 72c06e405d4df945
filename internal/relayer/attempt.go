package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/sender"
	"papayapaddle/internal/timer"
	"papayapaddle/internal/verifier"
)

const (
	// maxBufferedBytes is the largest response body that is buffered before it is forwarded,
	// so that a request whose response is truncated can be retried.
	maxBufferedBytes = 256 << 10
	// writeTimeout limits each write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// maxServersTried limits the servers assigned to one request, including those that it
	// was not sent to.
	maxServersTried = 4
)

// attemptFailure describes an attempt that produced no usable response.
type attemptFailure struct {
	// notRun is true if the server certainly did not run the request.
	notRun bool
	// sent is true if any part of the request may have reached the server.
	sent bool
	// connectionBroke is true if the server or the network ended the connection before the
	// response was complete.
	connectionBroke bool
	// mayCrashServers is true if the request may have ended this server and another one.
	mayCrashServers bool
	reason          string
	err             error
}

// assignServer obtains a server for the next attempt. It returns false if it responded to the
// request instead.
func (x *exchange) assignServer(ctx context.Context) (*Assignment, bool) {
	start := time.Now()
	assignment, refusal := x.AssignServer(ctx, &x.call)
	x.assignmentWait += time.Since(start)
	if refusal != nil {
		x.logFields = append(x.logFields, refusal.LogFields...)
		switch {
		case x.req.Context().Err() != nil:
			x.setOutcome(outcomeCallerGone, statusClientClosedRequest)
		case x.isAborted():
			x.refuse(reasonShuttingDown, RetryElsewhereDelay)
		default:
			x.reportShortage()
			x.refuse(refusal.Reason, refusal.RetryAfter)
		}
		return nil, false
	}
	if !x.recheckConfig() || !x.checkQuarantine() {
		assignment.Release(AttemptResult{Inconclusive: true})
		return nil, false
	}
	return assignment, true
}

// newRequest returns the request as it is sent to the assigned server, and a reading of the boot clock.
func (x *exchange) newRequest(assignment *Assignment, lastEvent string) (*sender.Request, time.Duration) {
	server := assignment.Server
	x.call.ExcludedServers = append(x.call.ExcludedServers, server.ID)
	sentAt := timer.SinceBoot()
	out := &sender.Request{
		Server: server.ID, Address: server.Address,
		Method: x.req.Method, Target: x.req.RequestURI, Host: x.req.Host,
		Header: x.Codec.EncodeRequest(x.req.Header, ForwardInfo{
			Server: server.ID, Workspace: x.call.Workspace, TimeLeft: time.Until(x.call.Deadline),
			Resumable: x.call.Route.Resumable, LastEventID: lastEvent,
		}),
		Body:       x.body,
		AtMostOnce: !x.call.Route.Retryable(),
		MatchesResponse: func(h http.Header, first bool) bool {
			// A response without an ID may be a repeated one of an earlier request.
			id := x.Codec.DecodeResponse(0, h).RequestID
			return id == x.call.ID || id == "" && first
		},
		OnResponse: func(status int, h http.Header) { x.reportResponse(server, sentAt, status, h) },
	}
	out.MaySend = func() bool {
		return (assignment.MaySend == nil || assignment.MaySend()) && (x.MaySend == nil || x.MaySend(server))
	}
	return out, sentAt
}

// sendRequest writes the request to a server and reads the response header. It does not change the
// exchange, so that several attempts can run at the same time.
func (x *exchange) sendRequest(
	ctx context.Context, server *cataloger.Server, out *sender.Request,
) (*sender.Response, *attemptFailure) {
	if ctx.Err() != nil {
		return nil, &attemptFailure{notRun: true, reason: "deadline", err: ctx.Err()}
	}
	sentAt := time.Now()
	resp, err := x.Send(ctx, out)
	if err != nil {
		kind := failer.KindOf[sender.Kind](err)
		if ctx.Err() == nil && !errors.Is(err, sender.ErrWithdrawn) {
			x.CloseIdle(server.ID, server.Address)
		}
		return nil, &attemptFailure{
			notRun: kind == sender.KindNotSent, sent: kind != sender.KindNotSent, reason: string(kind), err: err,
			connectionBroke: kind == sender.KindNoResponse,
		}
	}
	failure := x.checkResponse(server.ID, resp)
	if failure == nil && x.HandleReply != nil {
		x.HandleReply(server, verifier.Reply{SentAt: sentAt, ConnectedAt: resp.ConnectedAt(), Expected: true, Own: true})
	}
	return resp, failure
}

// reportResponse passes on what the header of a response says of its server. Status 421 is the response
// of another server.
func (x *exchange) reportResponse(server *cataloger.Server, sentAt time.Duration, status int, h http.Header) {
	if x.ServerResponded != nil && status != http.StatusMisdirectedRequest {
		x.ServerResponded(server, x.call.ID, sentAt, x.Codec.DecodeResponse(status, h))
	}
}

// checkResponse returns a failure unless the response is one that may be forwarded.
func (x *exchange) checkResponse(server string, resp *sender.Response) *attemptFailure {
	info := x.Codec.DecodeResponse(resp.Status, resp.Header)
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		x.OnServerReplaced(server)
		return &attemptFailure{notRun: true, sent: true, reason: "another-server"}
	case info.NotRun:
		if !info.Leaving {
			x.reportShortage()
		}
		return &attemptFailure{notRun: true, sent: true, reason: "server-refused"}
	case impliesNotRun(resp.Status):
		// Callers would conclude that the request has not run, which the server did not say.
		return &attemptFailure{
			sent: true, reason: "unfounded-refusal", err: errors.New("status " + strconv.Itoa(resp.Status)),
		}
	case resp.Status < 300 && (!info.Signed || info.RequestID != x.call.ID):
		return &attemptFailure{sent: true, reason: "unsigned-answer"}
	}
	return nil
}

// impliesNotRun reports whether callers conclude from a status that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// mayRetry reports whether the request may be sent to another server. It also records
// whether the failed attempt may have run.
func (x *exchange) mayRetry(ctx context.Context, failure *attemptFailure) bool {
	if !failure.notRun {
		x.mayHaveRun = true
	}
	if ctx.Err() != nil || len(x.call.ExcludedServers) >= maxServersTried {
		return false
	}
	if x.mayHaveRun && !x.call.Route.Retryable() {
		return false
	}
	if x.sentAttempts == 0 {
		return true
	}
	if failure.mayCrashServers || x.hedge.isSuspect() {
		return false
	}
	return x.sentAttempts < x.call.Route.MaxAttempts && x.AllowRetry(x.call.Service.Name)
}

// failRequest responds to a request whose last attempt failed.
func (x *exchange) failRequest(ctx context.Context, failure *attemptFailure) {
	if x.isAborted() {
		failure.reason = reasonShuttingDown
	}
	switch {
	case x.req.Context().Err() != nil:
		x.setOutcome(outcomeCallerGone, statusClientClosedRequest)
	case !x.mayHaveRun:
		x.logFields = append(x.logFields, "err", failure.err)
		x.refuse(failure.reason, retrySoonDelay)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		x.fail(http.StatusGatewayTimeout, "deadline", failure.err)
	default:
		x.fail(http.StatusBadGateway, failure.reason, failure.err)
	}
}

// serveBuffered serves a request whose response is forwarded once it is complete.
func (x *exchange) serveBuffered(ctx context.Context) {
	defer func() {
		x.race.end()
		x.BodyBudget.Release(x.body)
	}()
	for {
		assignment, ok := x.assignServer(ctx)
		if !ok {
			return
		}
		a := x.runBuffered(ctx, assignment)
		resp, failure := a.resp, a.failure
		x.reportEvidence(a.ctx, a.server, a.sentAt, resp, failure, failure == nil)
		final := failure == nil &&
			(resp.Status < http.StatusInternalServerError || !x.mayRetry(ctx, &attemptFailure{sent: true}))
		x.settleBuffered(a, final)
		if final {
			resp.Close(x.forwardResponse(ctx, resp, a.body, a.end))
			a.end.stop()
			return
		}
		if failure == nil {
			// The server responded with an error, and the request may be retried.
			continue
		}
		if !x.mayRetry(ctx, failure) {
			x.failRequest(ctx, failure)
			return
		}
	}
}

// drain reads a short remainder of a response so that its connection can be reused.
func drain(resp *sender.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
	return err == nil && n < maxDrainBytes
}

// maxDrainBytes limits how much of a discarded response is read.
const maxDrainBytes = 4 << 10

// bufferBody reads the body up to one byte more than maxBufferedBytes. One that is read to its end is complete.
func (x *exchange) bufferBody(ctx context.Context, resp *sender.Response, end *responseEnd) ([]byte, *attemptFailure) {
	body, err := x.readResponse(resp)
	if err != nil {
		return nil, &attemptFailure{sent: true, connectionBroke: true, reason: "answer-cut", err: err}
	}
	if len(body) <= maxBufferedBytes {
		if failure := end.check(ctx, "answer-cut"); failure != nil {
			return nil, failure
		}
	}
	return body, nil
}

// bufferedResponse is a whole response whose connection is released.
type bufferedResponse struct {
	resp *sender.Response
	body []byte
}

// keepServerError keeps an error with which a server responded, unless it is too long. It is forwarded if the other
// attempts fail or are refused.
func (x *exchange) keepServerError(resp *sender.Response, body []byte) {
	if len(body) <= maxBufferedBytes {
		x.serverError = &bufferedResponse{resp, body}
	}
}

// forwardResponse writes a server's response to the caller. The remainder of one that exceeds
// maxBufferedBytes is streamed; unless it is complete, the caller's connection is aborted.
// forwardResponse reports whether the response was read to its end.
func (x *exchange) forwardResponse(ctx context.Context, resp *sender.Response, body []byte, end *responseEnd) bool {
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
		// The proper end of the body is written when the handler returns.
		if failure := end.check(ctx, "answer-cut"); failure != nil {
			x.Log("attempt-failed", "request", x.call.ID, "server", x.serverID, "reason", failure.reason, "not-run", false,
				"err", failure.err)
			x.setOutcome(outcomeCut, resp.Status)
			return false
		}
	}
	x.setOutcome(outcomeAnswered, resp.Status)
	return true
}

// setResponseHeader copies the server's response headers.
func (x *exchange) setResponseHeader(resp *sender.Response) {
	h := x.w.Header()
	connection := h.Get("Connection")
	for k, v := range x.Codec.ResponseHeader(resp.Header) {
		h[k] = slices.Clone(v)
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	if h.Get("Content-Type") == "" {
		// Prevents net/http from detecting a type.
		h["Content-Type"] = nil
	}
}

// extendWriteDeadline lets the next write take up to writeTimeout.
func (x *exchange) extendWriteDeadline() {
	// Response writers without deadlines, as in tests, are not limited.
	_ = x.respCtl.SetWriteDeadline(time.Now().Add(writeTimeout))
}
