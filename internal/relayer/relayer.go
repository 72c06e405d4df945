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
	// Beliefs returns what is in force now.
	Beliefs func() Beliefs
	// MaxAge is the age of the proof up to which keys are accepted.
	MaxAge time.Duration
	// Place finds a server, waiting for one if that makes sense.
	Place func(context.Context, *Call) (*Place, *Refusal)
	Send  func(context.Context, *sender.Request) (*sender.Answer, error)
	// Drop forgets the unused connections to a server.
	Drop func(server, address string)
	// Moved notes that another server answers at a server's address.
	Moved func(server string)
	// Request counts a request for a service and Repeat asks whether one may be
	// sent again.
	Request func(service string)
	Repeat  func(service string) bool
	// Closing says since when the router has been shutting down, and when it will
	// end what is still open; zero if it is not.
	Closing func() (began, end time.Time)
	// Busy says why the router itself cannot take a workspace's request while so many
	// are served, or nothing; then Done is told when the request has ended. Crowded says
	// the same without taking the request.
	Busy    func(work cataloger.RouteKind, workspace string, active int64) string
	Crowded func(work cataloger.RouteKind, workspace string, active int64) string
	Done    func(workspace string)
	// Refuse refuses a request for the router's own sake in place of the HTTP server,
	// and may go on to refuse others on its connection. False means that it cannot; nil
	// never can.
	Refuse func(w http.ResponseWriter, req *http.Request, h http.Header) bool
	// ComeBack says when a caller, who has so much time left or 0, comes back whom the
	// router refuses for its own sake; nil says after RetryElsewhere.
	ComeBack func(left time.Duration) time.Duration
	// Away says that callers who open a new connection reach other routers; nil says
	// that they may not.
	Away func() bool
	// Buffer reserves memory for a body; false means that there is none left.
	Buffer *Budget
	Log    func(event string, keyvals ...any)
	// LogRefusal says whether one more refusal for the router's own sake gets a log
	// line; nil logs all.
	LogRefusal func() bool
	// Observe is told of each end, for metrics.
	Observe func(Summary)

	active atomic.Int64
}

// Summary is one request's end.
type Summary struct {
	Work    cataloger.RouteKind
	Outcome string
	// Reason is why the router refused the request, empty if it did not.
	Reason string
	Status int
	First  time.Duration
	Took   time.Duration
	// Late says that the first event or answer missed the route's objective.
	Late bool
}

const (
	// retrySoon is told when a later try may find the router or a server ready.
	retrySoon = 500 * time.Millisecond
	// RetryElsewhere is told when this router cannot serve a request and others
	// may: the next try reaches another one.
	RetryElsewhere = 200 * time.Millisecond
	// maxBodyDefault bounds a body while no configuration says otherwise.
	maxBodyDefault = 4 << 20
	// acceptAfterStop is how long after the start of a shutdown a request is still
	// taken that may last long.
	acceptAfterStop = 2500 * time.Millisecond
	// maxFinish is the time left of a shutdown in which a request that is no
	// stream is still taken, if its route's own time is not shorter.
	maxFinish = 2 * time.Second
	// statusClientGone marks a request in logs whose caller has left.
	statusClientGone = 499
)

// Active returns the number of requests being served.
func (r *Relayer) Active() int64 { return r.active.Load() }

// exchange is one caller's request on its way.
type exchange struct {
	*Relayer
	w   http.ResponseWriter
	req *http.Request
	rc  *http.ResponseController

	call    Call
	beliefs Beliefs
	body    []byte

	// wrote says that the answer's head was written.
	wrote bool
	// offered says that a server was sent the request, ran that one may have run
	// it.
	offered bool
	ran     bool
	sent    int
	server  string
	firstAt time.Time
	// waited is the time until places were found, for all attempts together.
	waited  time.Duration
	outcome string
	status  int
	detail  []any
	// taken says that the router took the request for a workspace.
	taken    bool
	takenFor string
	// busy says that the router refused the request for its own sake.
	busy bool
	// refused is why it was refused.
	refused string
}

// ServeHTTP serves one request.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	x := &exchange{Relayer: r, w: w, req: req, rc: http.NewResponseController(w)}
	x.call.Arrived = time.Now()
	if began, _ := r.Closing(); !began.IsZero() {
		w.Header().Set("Connection", "close")
	}
	defer x.finish()
	x.serve()
}

// finish writes the request's log line, and cuts the connection if the answer
// is not whole.
func (x *exchange) finish() {
	if x.taken {
		// The configuration may have given the key to another workspace since.
		x.Done(x.takenFor)
	}
	took := time.Since(x.call.Arrived)
	s := Summary{Outcome: x.outcome, Reason: x.refused, Status: x.status, Took: took}
	if rt := x.call.Route; rt != nil {
		s.Work = rt.Kind
		s.First = took
		if !x.firstAt.IsZero() {
			s.First = x.firstAt.Sub(x.call.Arrived)
		}
		s.Late = s.First > rt.LatencyObjective
	}
	if !x.busy || x.LogRefusal == nil || x.LogRefusal() {
		x.log(s)
	}
	if x.Observe != nil {
		x.Observe(s)
	}
	if x.outcome == outcomeCut {
		panic(http.ErrAbortHandler)
	}
}

// log writes the request's line.
func (x *exchange) log(s Summary) {
	kv := []any{
		"request", x.call.ID, "outcome", x.outcome, "status", x.status, "millis", s.Took.Milliseconds(),
		"server", x.server, "sent", x.sent, "version", x.version(), "proof-age-ms", x.beliefs.Age.Milliseconds(),
	}
	if rt := x.call.Route; rt != nil {
		kv = append(kv, "route", rt.Name, "workspace", x.call.Workspace, "first-ms", s.First.Milliseconds(),
			"wait-ms", x.waited.Milliseconds(), "patience-ms", x.call.Patience.Milliseconds(), "prompt", x.call.PromptTokens,
			"answer-hint", x.call.LengthHint, "answer-most", x.call.MaxAnswerTokens)
	}
	if u := x.call.Unreadable; len(u) > 0 {
		kv = append(kv, "unreadable", strings.Join(u, ","))
	}
	x.Log("request", append(kv, x.detail...)...)
}

func (x *exchange) version() uint64 {
	if x.beliefs.Catalog == nil {
		return 0
	}
	return x.beliefs.Catalog.Version
}

// The outcomes in logs and metrics.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused"
	outcomeFailed   = "failed"
	outcomeRejected = "rejected"
	outcomeCut      = "cut"
	outcomeGone     = "caller-gone"
)

func (x *exchange) serve() {
	if !x.identify() || !x.read() {
		return
	}
	ctx, cancel := context.WithDeadline(x.req.Context(), x.call.Deadline)
	defer cancel()
	x.Request(x.call.Service.Name)
	if x.call.Route.Kind == cataloger.RouteStream {
		x.stream(ctx)
		return
	}
	x.whole(ctx)
}

// identify finds the route, the workspace and the service.
func (x *exchange) identify() bool {
	var err error
	x.call.Envelope, err = x.Codec.DecodeRequest(x.req.Header)
	x.beliefs = x.Beliefs()
	if err != nil {
		x.detail = append(x.detail, "err", err)
		x.reject(http.StatusBadRequest, "headers")
		return false
	}
	return x.authorize() && x.pickService()
}

func (x *exchange) pickService() bool {
	name := x.call.Route.PickService(point(x.call.ID))
	x.call.Service = x.beliefs.Catalog.Services[name]
	if x.call.Service == nil {
		x.refuse("no-service", retrySoon)
		return false
	}
	limit := x.call.Route.Timeout
	if p := x.call.Patience; p > 0 && (limit <= 0 || p < limit) {
		limit = p
	}
	if limit <= 0 {
		limit = defaultPatience
	}
	x.call.Deadline = x.call.Arrived.Add(limit)
	if x.tooLate() {
		x.refuse("shutting-down", RetryElsewhere)
		return false
	}
	if why := x.Busy(x.call.Route.Kind, x.call.Workspace, x.active.Load()); why != "" {
		// The next try reaches another router. The connection stays while a new one would
		// come back to this router: opening one costs more than this refusal.
		if x.Away != nil && x.Away() {
			x.w.Header().Set("Connection", "close")
		}
		x.busy = true
		after := RetryElsewhere
		if x.ComeBack != nil {
			after = x.ComeBack(x.call.Patience)
		}
		if !x.refuseBeside(why, after) {
			x.refuse(why, after)
		}
		return false
	}
	x.taken, x.takenFor = true, x.call.Workspace
	return true
}

// tooLate says whether a router that shuts down could not finish the request
// any more.
func (x *exchange) tooLate() bool {
	began, end := x.Closing()
	switch {
	case began.IsZero():
		return false
	case x.call.Route.Kind == cataloger.RouteStream:
		return time.Since(began) > acceptAfterStop
	}
	return time.Until(end) < min(x.call.Route.Timeout, maxFinish)
}

// defaultPatience is how long a caller is taken to wait who does not say, on a
// route that does not say either.
const defaultPatience = 15 * time.Second

// recheck looks at the configuration once more just before a request is sent:
// the router may have waited, or stood still, since it was identified.
func (x *exchange) recheck() bool {
	was, service := x.beliefs.Catalog, x.call.Service
	x.beliefs = x.Beliefs()
	if x.beliefs.Catalog == was && x.beliefs.Proven && x.beliefs.Age <= x.MaxAge {
		return true
	}
	if !x.authorize() {
		return false
	}
	if !x.call.Route.LeadsTo(service.Name) {
		x.refuse("route-moved", RetryElsewhere)
		return false
	}
	return true
}

// read takes the body in.
func (x *exchange) read() bool {
	limit := int64(maxBodyDefault)
	if n := x.beliefs.Catalog.Limits.MaxBodyBytes; n > 0 {
		limit = int64(n)
	}
	if x.req.ContentLength > limit {
		x.reject(http.StatusRequestEntityTooLarge, "body-too-large")
		return false
	}
	b, err := x.Buffer.ReadAll(x.req.Body, x.req.ContentLength, limit)
	switch {
	case err == nil:
		x.body = b
		return true
	case errors.Is(err, errTooLarge):
		x.reject(http.StatusRequestEntityTooLarge, "body-too-large")
	case errors.Is(err, errNoMemory):
		x.refuse("no-memory", retrySoon)
	case errors.Is(err, io.ErrUnexpectedEOF) || x.req.Context().Err() != nil:
		x.end(outcomeGone, statusClientGone)
	default:
		x.reject(http.StatusBadRequest, "body-broken")
	}
	return false
}

func (x *exchange) end(outcome string, status int) { x.outcome, x.status = outcome, status }

// reject answers a request that no configuration allows.
func (x *exchange) reject(status int, reason string) {
	x.detail = append(x.detail, "reason", reason)
	x.own(outcomeRejected, status, 0)
}

// refuse promises that the request has not run and will not. One that may have
// run already fails instead.
func (x *exchange) refuse(reason string, retryAfter time.Duration) {
	if x.ran {
		x.fail(http.StatusBadGateway, reason, nil)
		return
	}
	x.refused = reason
	x.detail = append(x.detail, "reason", reason, "retry-after-ms", retryAfter.Milliseconds())
	x.own(outcomeRefused, http.StatusServiceUnavailable, retryAfter)
}

// fail promises nothing.
func (x *exchange) fail(status int, reason string, err error) {
	x.detail = append(x.detail, "reason", reason)
	if err != nil {
		x.detail = append(x.detail, "err", err)
	}
	x.own(outcomeFailed, status, 0)
}

// own writes an answer of the router itself.
func (x *exchange) own(outcome string, status int, retryAfter time.Duration) {
	if x.req.Context().Err() != nil {
		x.end(outcomeGone, statusClientGone)
		return
	}
	if x.wrote {
		x.end(outcomeCut, status)
		return
	}
	x.end(outcome, status)
	h := x.w.Header()
	x.Codec.EncodeRefusal(h, x.call.ID, retryAfter)
	h.Set("Content-Length", "0")
	x.w.WriteHeader(status)
	x.wrote = true
}
