package relayer

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// maxDiscardedBytes and discardTimeout limit the body of a request that is not served.
	maxDiscardedBytes = 256 << 10
	discardTimeout    = 3 * time.Second
)

// readRequestBody buffers the request body. It returns false if it responded to the request
// instead.
func (x *exchange) readRequestBody() bool {
	limit := int64(defaultMaxBodyBytes)
	if n := x.config.Catalog.Limits.MaxBodyBytes; n > 0 {
		limit = int64(n)
	}
	if x.req.ContentLength > limit {
		x.reject(http.StatusRequestEntityTooLarge, "body-too-large")
		return false
	}
	if x.req.ContentLength == 0 {
		return true
	}
	x.bodyRead = true
	// A body that is incomplete at the deadline needs no response. Connections without deadlines, such as those of
	// tests, have no slow clients.
	_ = x.respCtl.SetReadDeadline(x.call.Deadline)
	body, stalled, err := x.BodyBudget.ReadAll(x.admittedWorkspace, x.req.Body, x.req.ContentLength, limit, x.abortRead)
	x.bodyBytes = int64(cap(body))
	switch {
	case err == nil && stalled && x.CheckAdmission != nil:
		return x.admitAgain(body)
	case err == nil:
		x.body = body
		return true
	case errors.Is(err, errTooLarge):
		x.reject(http.StatusRequestEntityTooLarge, "body-too-large")
	case errors.Is(err, errNoMemory):
		x.refuse("no-memory", retrySoonDelay)
	case errors.Is(err, errGivenUp) || !time.Now().Before(x.call.Deadline):
		// The request has not been sent to any server, as 408 promises.
		x.reject(http.StatusRequestTimeout, "body-slow")
	case errors.Is(err, io.ErrUnexpectedEOF) || x.req.Context().Err() != nil:
		x.setOutcome(outcomeCallerGone, statusClientClosedRequest)
	default:
		x.reject(http.StatusBadRequest, "body-broken")
	}
	return false
}

// discardBody reads the rest of the body of a request that is not served, so that its connection can be used again.
// The HTTP server would do so without a limit of time. It closes the connection instead if the body is longer than
// maxDiscardedBytes or has not been asked for.
func (x *exchange) discardBody() {
	if x.bodyRead || x.req.ContentLength == 0 || x.req.ContentLength > maxDiscardedBytes || x.req.Header.Get("Expect") != "" {
		return
	}
	x.bodyRead = true
	// Connections without deadlines, such as those of tests, have no slow clients.
	_ = x.respCtl.SetReadDeadline(time.Now().Add(discardTimeout))
	x.BodyBudget.Discard(x.req.Body, maxDiscardedBytes, x.abortRead)
}

// abortRead makes the pending read of the body fail.
func (x *exchange) abortRead() { _ = x.respCtl.SetReadDeadline(time.Unix(1, 0)) }

// admitAgain admits a request whose body has arrived after it no longer counted toward the load.
func (x *exchange) admitAgain(body []byte) bool {
	if reason := x.CheckAdmission(x.call.Route.Kind, x.call.Workspace, x.Load()); reason != "" {
		x.BodyBudget.Release(body)
		x.refuseOverload(reason)
		return false
	}
	x.body = body
	return true
}
