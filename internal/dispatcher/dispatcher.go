// Package dispatcher runs an accepted request and reports exactly one outcome to the caller. It
// acquires a slot, claims the idempotency key of a non-idempotent request, forwards the request,
// relays the response, releases the slot with the measured cost, and retries where that is safe.
package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"time"

	"papayapaddle/internal/claimer"
	"papayapaddle/internal/declarer"
	"papayapaddle/internal/encoder"
	"papayapaddle/internal/estimator"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/forwarder"
	"papayapaddle/internal/placer"
	"papayapaddle/internal/scheduler"
)

// Outcome tells the caller whether its request was executed.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeComplete means that the complete response was returned.
	OutcomeComplete Outcome = "complete"
	// OutcomeNotRun means that the request was certainly not executed.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have been executed.
	OutcomeUnknown Outcome = "unknown"
)

// Request is a request of an authenticated caller.
type Request struct {
	ID        string
	Workspace *declarer.Workspace
	Pool      *declarer.Pool
	// Kind is nil if no kind of work is declared for the request.
	Kind   *declarer.WorkKind
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Model is the requested model, or empty for a request to a plain service.
	Model string
	// Stream reports whether the caller requested a streamed response.
	Stream bool
	// IdempotencyKey is the idempotency key sent by the caller, or empty.
	IdempotencyKey string
	// CostHint is the expected cost, in tokens for a model and in milliseconds for a plain
	// service, or 0 if the caller gave none.
	CostHint float64
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens float64
	Arrived      time.Time
	Deadline     time.Time
}

// Failure is an error that is reported to the caller.
type Failure struct {
	Outcome Outcome
	Status  int
	Title   string
	Detail  string
	// RetryAfter is the time after which the caller may retry, or 0 if a retry is pointless.
	RetryAfter time.Duration
}

// ResponseWriter writes a response to the caller.
type ResponseWriter struct {
	// WriteEvent writes one event of a stream.
	WriteEvent func(forwarder.Event) error
	// WriteResponse writes a complete response.
	WriteResponse func(status int, header http.Header, body []byte) error
	// EndStream ends a complete stream.
	EndStream func() error
	// AbortStream ends an incomplete stream in a way that the caller can detect.
	AbortStream func(f Failure)
}

// Result describes how a request ended.
type Result struct {
	Outcome Outcome
	// Failure is nil if the request completed.
	Failure *Failure
	// StreamStarted reports whether an event of a stream was relayed to the caller.
	StreamStarted bool
	// Replayed reports whether the response was recorded by an earlier call with the same key.
	Replayed bool
	Attempts int
	Stats    forwarder.StreamStats
	// Cost is the total cost of all attempts, in the unit of Request.CostHint.
	Cost float64
	// Server is the last backend server that the request was assigned to, if any.
	Server string
	// SlotWait is the total time spent waiting for slots.
	SlotWait time.Duration
}

const (
	// maxAttempts bounds the attempts of one request, including the first.
	maxAttempts = 4
	// defaultCostHint is the expected cost of a request, in the unit of Request.CostHint, if
	// neither the caller nor the kind of work gives one.
	defaultCostHint = 128
	// claimUpdateTimeout bounds the background update of a claim in the store.
	claimUpdateTimeout = 2 * time.Minute
)

// SlotAllocator allocates slots of backend servers, usually with the methods of a
// *scheduler.Scheduler. A slot permits one request at a time. All fields must be set.
type SlotAllocator struct {
	Acquire func(context.Context, scheduler.Request) (scheduler.Slot, error)
	Release func(scheduler.Slot, encoder.Release)
	// ReportLimit is called with what each answer says about the limit of its server, in requests a second. It
	// may be nil.
	ReportLimit func(slot scheduler.Slot, perSecond float64, named bool)
	// ReportPause is called with each pause that a server asks for, and ReportLeaving with each incarnation of a server that
	// says that it is shutting down. Incarnation returns the one that is listed when a request is sent. All three may be nil if
	// ReportLimit is.
	ReportPause   func(slot scheduler.Slot, pause time.Duration)
	ReportLeaving func(server string, incarnation uint64)
	Incarnation   func(server string) uint64
}

// Dispatcher dispatches requests. Config, Slots and Forwarder must be set.
type Dispatcher struct {
	Config    func() *declarer.Config
	Slots     SlotAllocator
	Forwarder *forwarder.Forwarder
	// Claimer claims idempotency keys. If it is nil, as in baseline measurements, no keys are
	// claimed.
	Claimer *claimer.Claimer
	// IsHolderAlive reports whether the router incarnation that holds a claim may still be
	// running. If it is nil, every holder is assumed to be running.
	IsHolderAlive func(holder string) bool
	// Log logs one event. If it is nil, nothing is logged.
	Log func(event string, keyvals ...any)

	retryBudget RetryBudget
	estimatorMu sync.Mutex
	estimator   estimator.Estimator
	// claimUpdates counts the background updates of claims.
	claimUpdates sync.WaitGroup
	// pendingClaims maps the request ID of each claim in flight to its row key in the store.
	pendingClaims sync.Map
}

// Wait blocks until all background updates of claims have succeeded or failed.
func (d *Dispatcher) Wait() { d.claimUpdates.Wait() }

// PendingClaims returns the row keys of the claims in flight by request ID.
func (d *Dispatcher) PendingClaims() map[string]string {
	rowKeys := map[string]string{}
	d.pendingClaims.Range(func(id, row any) bool {
		rowKeys[id.(string)] = row.(string)
		return true
	})
	return rowKeys
}

// call is the state of one request.
type call struct {
	*Request
	d      *Dispatcher
	writer ResponseWriter
	result Result
	// silence holds a value after an attempt has become silent.
	silence chan struct{}
	// ended receives each attempt when it ends.
	ended chan *attempt

	// mu guards the state that attempts share, result.StreamStarted and the fields of attempts that say so.
	mu sync.Mutex
	// attempts are the attempts in flight.
	attempts map[*attempt]bool
	// sender is the attempt that has the right to send a non-idempotent request.
	sender *attempt

	// claim is the claim of the idempotency key once this call owns it.
	claim *claimer.Claim
	// lostClaim is the claim decision if an earlier call owns the key.
	lostClaim *claimer.Decision
	// mayHaveRun reports whether an attempt may have been executed. The outcome is then never
	// OutcomeNotRun.
	mayHaveRun bool
	// claimErr is the error of the store if the claim failed.
	claimErr error
}

// Do runs a request, writes its response to w, and returns the result. If the result has a Failure
// and no stream was started, the caller of Do must report the failure.
func (d *Dispatcher) Do(ctx context.Context, request *Request, w ResponseWriter) Result {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	c := &call{
		Request: request, d: d, writer: w,
		silence: make(chan struct{}, 1), ended: make(chan *attempt, maxAttempts), attempts: map[*attempt]bool{},
	}
	d.retryBudget.RecordRequest()
	if c.needsClaim() {
		if err := d.Claimer.CheckStore(time.Now()); err != nil {
			return c.fail(storeUnavailable())
		}
	}
	return c.run(ctx)
}

// needsClaim reports whether the idempotency key must be claimed before the request is sent.
func (c *call) needsClaim() bool {
	return !c.isIdempotent() && c.IdempotencyKey != "" && c.d.Claimer != nil
}

func (c *call) isIdempotent() bool { return c.Kind != nil && c.Kind.Idempotent }

func (c *call) estimatorKey() estimator.Key {
	k := estimator.Key{Workspace: placer.ID(c.Workspace.Name)}
	if c.Kind != nil {
		k.Kind = c.Kind.Name
	}
	return k
}

func (c *call) estimateCost() float64 {
	c.d.estimatorMu.Lock()
	defer c.d.estimatorMu.Unlock()
	return c.PromptTokens + c.d.estimator.Estimate(c.estimatorKey(), c.costHint())
}

func (c *call) costHint() float64 {
	if c.CostHint > 0 {
		return c.CostHint
	}
	if c.Kind != nil && c.Kind.CostHint > 0 {
		return c.Kind.CostHint
	}
	return defaultCostHint
}

func (c *call) observeCost(cost float64) {
	c.d.estimatorMu.Lock()
	defer c.d.estimatorMu.Unlock()
	c.d.estimator.Observe(c.estimatorKey(), c.costHint(), cost)
}

// run repeats attempts until the request has an outcome.
func (c *call) run(ctx context.Context) Result {
	for {
		c.start(ctx)
		err := c.await(ctx)
		if err == nil {
			c.result.Outcome = OutcomeComplete
			return c.result
		}
		if !c.mayRetry(ctx, err) {
			return c.resolve(err)
		}
		c.d.log("retry", "request", c.ID, "attempt", c.result.Attempts, "server", c.result.Server, "err", err)
	}
}

func (d *Dispatcher) log(event string, keyvals ...any) {
	if d.Log != nil {
		d.Log(event, keyvals...)
	}
}

func (c *call) slotRequest() scheduler.Request {
	var urgency declarer.Urgency
	if c.Kind != nil {
		urgency = c.Kind.Urgency
	}
	return scheduler.Request{
		Key:      scheduler.Key{Pool: placer.ID(c.Pool.Name), Workspace: placer.ID(c.Workspace.Name)},
		Urgency:  urgency.Level(),
		Deadline: c.Deadline,
		Cost:     c.estimateCost(),
		Bytes:    len(c.Body),
		Arrived:  c.Arrived,
	}
}

// reportNotices reports what a response says of its server.
func (c *call) reportNotices(slot scheduler.Slot, incarnation uint64, status int, h http.Header) {
	perSecond, named := forwarder.DecodeLimit(h)
	c.d.Slots.ReportLimit(slot, perSecond, named)
	notice := forwarder.DecodeNotice(status, h)
	if notice.Leaving {
		c.d.log("server-leaving", "server", slot.Server, "incarnation", incarnation, "request", c.ID)
		c.d.Slots.ReportLeaving(slot.Server, incarnation)
	}
	if notice.UnreadablePause != "" {
		c.d.log("server-pause-unreadable", "server", slot.Server, "value", notice.UnreadablePause, "request", c.ID)
	}
	if notice.Pause > 0 {
		c.d.log("server-pause", "server", slot.Server, "pause-ms", notice.Pause.Milliseconds(), "request", c.ID)
		c.d.Slots.ReportPause(slot, notice.Pause)
	}
}

// mayRetry reports whether the request may be sent again. A non-idempotent request is sent again
// only if it was certainly not executed.
func (c *call) mayRetry(ctx context.Context, err error) bool {
	if c.result.StreamStarted || c.result.Attempts >= maxAttempts || ctx.Err() != nil {
		return false
	}
	// The detached context of a non-idempotent request may end just before ctx.
	if !time.Now().Before(c.Deadline) || c.mayHaveRun && !c.isIdempotent() {
		return false
	}
	switch failer.KindOf[forwarder.Kind](err) {
	case forwarder.KindNotSent, forwarder.KindRefused, forwarder.KindResponseLost,
		forwarder.KindResponseMismatch, forwarder.KindStreamNotFound:
		return c.d.retryBudget.AllowRetry()
	}
	return false
}
