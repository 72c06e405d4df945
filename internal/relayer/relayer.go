// Package relayer takes a caller's request through the router: identify, place,
// send, and relay the answer. Every request ends in one of three ways: with a
// server's answer, with a refusal that promises it never ran, or with a failure
// that promises nothing.
package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/sender"
)

// Relayer serves callers. All fields but Observe must be set.
type Relayer struct {
	Codec Codec
	// CurrentConfig returns what is in force now.
	CurrentConfig func() Config
	// MaxConfigAge is the age of the proof up to which keys are accepted.
	MaxConfigAge time.Duration
	// AssignServer finds a server, waiting for one if that makes sense.
	AssignServer func(context.Context, *Call) (*Assignment, *Refusal)
	Send         func(context.Context, *sender.Request) (*sender.Response, error)
	// CloseIdle forgets the unused connections to a server.
	CloseIdle func(server, address string)
	// OnServerReplaced notes that another server answers at a server's address.
	OnServerReplaced func(server string)
	// CountRequest counts a request for a service and Repeat asks whether one may be
	// sent again.
	CountRequest func(service string)
	AllowRetry   func(service string) bool
	// Shutdown says since when the router has been shutting down, and when it will
	// end what is still open; zero if it is not.
	Shutdown func() (start, end time.Time)
	// Admit says why the router itself cannot take a workspace's request while so many
	// are served, or nothing; then Done is told when the request has ended. Crowded says
	// the same without taking the request.
	Admit          func(work cataloger.Work, workspace string, active int64) string
	CheckAdmission func(work cataloger.Work, workspace string, active int64) string
	OnAdmittedDone func(workspace string)
	// HijackAndRefuse refuses a request for the router's own sake in place of the HTTP server,
	// and may go on to refuse others on its connection. False means that it cannot; nil
	// never can.
	HijackAndRefuse func(w http.ResponseWriter, req *http.Request, h http.Header) bool
	// RetryAfter says when a caller, who has so much time left or 0, comes back whom the
	// router refuses for its own sake; nil says after RetryElsewhere.
	RetryAfter func(timeLeft time.Duration) time.Duration
	// Withdrawn says that callers who open a new connection reach other routers; nil says
	// that they may not.
	Withdrawn func() bool
	// BodyBudget reserves memory for a body; false means that there is none left.
	BodyBudget *MemoryBudget
	Log        func(event string, keyvals ...any)
	// ShouldLogRefusal says whether one more refusal for the router's own sake gets a log
	// line; nil logs all.
	ShouldLogRefusal func() bool
	// Observe is told of each end, for metrics.
	Observe func(Summary)

	active atomic.Int64
}

// Summary is one request's end.
type Summary struct {
	Work    cataloger.Work
	Outcome string
	// RefusalReason is why the router refused the request, empty if it did not.
	RefusalReason    string
	Status           int
	TimeToFirstEvent time.Duration
	Duration         time.Duration
	// MissedObjective says that the first event or answer missed the route's objective.
	MissedObjective bool
}

const (
	// retrySoonDelay is told when a later try may find the router or a server ready.
	retrySoonDelay = 500 * time.Millisecond
	// RetryElsewhereDelay is told when this router cannot serve a request and others
	// may: the next try reaches another one.
	RetryElsewhereDelay = 200 * time.Millisecond
	// defaultMaxBodyBytes bounds a body while no configuration says otherwise.
	defaultMaxBodyBytes = 4 << 20
	// streamAcceptWindow is how long after the start of a shutdown a request is still
	// taken that may last long.
	streamAcceptWindow = 2500 * time.Millisecond
	// maxRequiredTime is the time left of a shutdown in which a request that is no
	// stream is still taken, if its route's own time is not shorter.
	maxRequiredTime = 2 * time.Second
	// statusClientClosedRequest marks a request in logs whose caller has left.
	statusClientClosedRequest = 499
)

// Active returns the number of requests being served.
func (r *Relayer) Active() int64 { return r.active.Load() }

// exchange is one caller's request on its way.
type exchange struct {
	*Relayer
	w       http.ResponseWriter
	req     *http.Request
	respCtl *http.ResponseController

	call   Call
	config Config
	body   []byte

	// wroteHeader says that the answer's head was written.
	wroteHeader bool
	// serverResponded says that a server was sent the request, ran that one may have run
	// it.
	serverResponded bool
	mayHaveRun      bool
	sentAttempts    int
	serverID        string
	firstEventAt    time.Time
	// assignmentWait is the time until places were found, for all attempts together.
	assignmentWait time.Duration
	outcome        string
	status         int
	logFields      []any
	// admitted says that the router took the request for a workspace.
	admitted          bool
	admittedWorkspace string
	// admissionDenied says that the router refused the request for its own sake.
	admissionDenied bool
	// refusalReason is why it was refused.
	refusalReason string
}

// ServeHTTP serves one request.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	x := &exchange{Relayer: r, w: w, req: req, respCtl: http.NewResponseController(w)}
	x.call.Arrived = time.Now()
	if shutdownStart, _ := r.Shutdown(); !shutdownStart.IsZero() {
		w.Header().Set("Connection", "close")
	}
	defer x.finish()
	x.serve()
}

// finish writes the request's log line, and cuts the connection if the answer
// is not whole.
func (x *exchange) finish() {
	if x.admitted {
		// The configuration may have given the key to another workspace since.
		x.OnAdmittedDone(x.admittedWorkspace)
	}
	duration := time.Since(x.call.Arrived)
	summary := Summary{Outcome: x.outcome, RefusalReason: x.refusalReason, Status: x.status, Duration: duration}
	if route := x.call.Route; route != nil {
		summary.Work = route.Work
		summary.TimeToFirstEvent = duration
		if !x.firstEventAt.IsZero() {
			summary.TimeToFirstEvent = x.firstEventAt.Sub(x.call.Arrived)
		}
		summary.MissedObjective = summary.TimeToFirstEvent > route.Objective
	}
	if !x.admissionDenied || x.ShouldLogRefusal == nil || x.ShouldLogRefusal() {
		x.logRequest(summary)
	}
	if x.Observe != nil {
		x.Observe(summary)
	}
	if x.outcome == outcomeCut {
		panic(http.ErrAbortHandler)
	}
}

// logRequest writes the request's line.
func (x *exchange) logRequest(summary Summary) {
	fields := []any{
		"request", x.call.ID, "outcome", x.outcome, "status", x.status, "millis", summary.Duration.Milliseconds(),
		"server", x.serverID, "sent", x.sentAttempts, "version", x.configVersion(), "proof-age-ms", x.config.Age.Milliseconds(),
	}
	if route := x.call.Route; route != nil {
		fields = append(fields, "route", route.Name, "workspace", x.call.Workspace, "first-ms", summary.TimeToFirstEvent.Milliseconds(),
			"wait-ms", x.assignmentWait.Milliseconds(), "patience-ms", x.call.Patience.Milliseconds(), "prompt", x.call.PromptTokens,
			"answer-hint", x.call.LengthHint, "answer-most", x.call.MaxAnswerTokens)
	}
	if invalid := x.call.Unreadable; len(invalid) > 0 {
		fields = append(fields, "unreadable", strings.Join(invalid, ","))
	}
	x.Log("request", append(fields, x.logFields...)...)
}

func (x *exchange) configVersion() uint64 {
	if x.config.Catalog == nil {
		return 0
	}
	return x.config.Catalog.Version
}

// The outcomes in logs and metrics.
const (
	outcomeAnswered   = "answered"
	outcomeRefused    = "refused"
	outcomeFailed     = "failed"
	outcomeRejected   = "rejected"
	outcomeCut        = "cut"
	outcomeCallerGone = "caller-gone"
)

func (x *exchange) serve() {
	if !x.identify() || !x.readRequestBody() {
		return
	}
	ctx, cancel := context.WithDeadline(x.req.Context(), x.call.Deadline)
	defer cancel()
	x.CountRequest(x.call.Service.Name)
	if x.call.Route.Work == cataloger.WorkStream {
		x.serveStream(ctx)
		return
	}
	x.serveBuffered(ctx)
}

// identify finds the route, the workspace and the service.
func (x *exchange) identify() bool {
	var err error
	x.call.RequestInfo, err = x.Codec.DecodeRequest(x.req.Header)
	x.config = x.CurrentConfig()
	if err != nil {
		x.logFields = append(x.logFields, "err", err)
		x.reject(http.StatusBadRequest, "headers")
		return false
	}
	return x.authorize() && x.pickService()
}

func (x *exchange) pickService() bool {
	name := x.call.Route.Pick(hashFraction(x.call.ID))
	x.call.Service = x.config.Catalog.Services[name]
	if x.call.Service == nil {
		x.refuse("no-service", retrySoonDelay)
		return false
	}
	timeout := x.call.Route.Timeout
	if callerTimeout := x.call.Patience; callerTimeout > 0 && (timeout <= 0 || callerTimeout < timeout) {
		timeout = callerTimeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	x.call.Deadline = x.call.Arrived.Add(timeout)
	if x.tooLateForShutdown() {
		x.refuse("shutting-down", RetryElsewhereDelay)
		return false
	}
	if reason := x.Admit(x.call.Route.Work, x.call.Workspace, x.active.Load()); reason != "" {
		// The next try reaches another router. The connection stays while a new one would
		// come back to this router: opening one costs more than this refusal.
		if x.Withdrawn != nil && x.Withdrawn() {
			x.w.Header().Set("Connection", "close")
		}
		x.admissionDenied = true
		retryAfter := RetryElsewhereDelay
		if x.RetryAfter != nil {
			retryAfter = x.RetryAfter(x.call.Patience)
		}
		if !x.hijackAndRefuse(reason, retryAfter) {
			x.refuse(reason, retryAfter)
		}
		return false
	}
	x.admitted, x.admittedWorkspace = true, x.call.Workspace
	return true
}

// tooLateForShutdown says whether a router that shuts down could not finish the request
// any more.
func (x *exchange) tooLateForShutdown() bool {
	start, end := x.Shutdown()
	switch {
	case start.IsZero():
		return false
	case x.call.Route.Work == cataloger.WorkStream:
		return time.Since(start) > streamAcceptWindow
	}
	return time.Until(end) < min(x.call.Route.Timeout, maxRequiredTime)
}

// defaultTimeout is how long a caller is taken to wait who does not say, on a
// route that does not say either.
const defaultTimeout = 15 * time.Second

// recheckConfig looks at the configuration once more just before a request is sent:
// the router may have waited, or stood still, since it was identified.
func (x *exchange) recheckConfig() bool {
	prevCatalog, service := x.config.Catalog, x.call.Service
	x.config = x.CurrentConfig()
	if x.config.Catalog == prevCatalog && x.config.AgeKnown && x.config.Age <= x.MaxConfigAge {
		return true
	}
	if !x.authorize() {
		return false
	}
	if !x.call.Route.Leads(service.Name) {
		x.refuse("route-moved", RetryElsewhereDelay)
		return false
	}
	return true
}

// readRequestBody takes the body in.
func (x *exchange) readRequestBody() bool {
	limit := int64(defaultMaxBodyBytes)
	if n := x.config.Catalog.Limits.MaxBodyBytes; n > 0 {
		limit = int64(n)
	}
	if x.req.ContentLength > limit {
		x.reject(http.StatusRequestEntityTooLarge, "body-too-large")
		return false
	}
	body, err := x.BodyBudget.ReadAll(x.req.Body, x.req.ContentLength, limit)
	switch {
	case err == nil:
		x.body = body
		return true
	case errors.Is(err, errTooLarge):
		x.reject(http.StatusRequestEntityTooLarge, "body-too-large")
	case errors.Is(err, errNoMemory):
		x.refuse("no-memory", retrySoonDelay)
	case errors.Is(err, io.ErrUnexpectedEOF) || x.req.Context().Err() != nil:
		x.setOutcome(outcomeCallerGone, statusClientClosedRequest)
	default:
		x.reject(http.StatusBadRequest, "body-broken")
	}
	return false
}

func (x *exchange) setOutcome(outcome string, status int) { x.outcome, x.status = outcome, status }

// reject answers a request that no configuration allows.
func (x *exchange) reject(status int, reason string) {
	x.logFields = append(x.logFields, "reason", reason)
	x.writeOwnResponse(outcomeRejected, status, 0)
}

// refuse promises that the request has not run and will not. One that may have
// run already fails instead.
func (x *exchange) refuse(reason string, retryAfter time.Duration) {
	if x.mayHaveRun {
		x.fail(http.StatusBadGateway, reason, nil)
		return
	}
	x.refusalReason = reason
	x.logFields = append(x.logFields, "reason", reason, "retry-after-ms", retryAfter.Milliseconds())
	x.writeOwnResponse(outcomeRefused, http.StatusServiceUnavailable, retryAfter)
}

// fail promises nothing.
func (x *exchange) fail(status int, reason string, err error) {
	x.logFields = append(x.logFields, "reason", reason)
	if err != nil {
		x.logFields = append(x.logFields, "err", err)
	}
	x.writeOwnResponse(outcomeFailed, status, 0)
}

// writeOwnResponse writes an answer of the router itself.
func (x *exchange) writeOwnResponse(outcome string, status int, retryAfter time.Duration) {
	if x.req.Context().Err() != nil {
		x.setOutcome(outcomeCallerGone, statusClientClosedRequest)
		return
	}
	if x.wroteHeader {
		x.setOutcome(outcomeCut, status)
		return
	}
	x.setOutcome(outcome, status)
	h := x.w.Header()
	x.Codec.EncodeRefusal(h, x.call.ID, retryAfter)
	h.Set("Content-Length", "0")
	x.w.WriteHeader(status)
	x.wroteHeader = true
}
