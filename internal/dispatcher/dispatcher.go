// Package dispatcher takes an accepted request to its one stated outcome: it
// acquires a slot, claims keyed non-idempotent work, forwards, relays the
// answer, settles the cost, and retries what may be retried.
package dispatcher

import (
	"context"
	"errors"
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

// Outcome is what a caller is told of its request.
type Outcome string

// The outcomes.
const (
	// OutcomeComplete comes with the whole answer.
	OutcomeComplete Outcome = "complete"
	// OutcomeNotRun is said only of a request that certainly did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown is said when the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Request is an accepted and classified request.
type Request struct {
	ID        string
	Workspace *declarer.Workspace
	Pool      *declarer.Pool
	Kind      *declarer.WorkKind
	Method    string
	Path      string
	Header    http.Header
	Body      []byte
	// Model is the model asked for; empty for a plain service.
	Model string
	// Stream says that the caller wants a stream.
	Stream bool
	// Key is the caller's idempotency key, if any.
	Key string
	// Hint is the rough cost: tokens, or milliseconds of a plain service.
	Hint float64
	// PromptTokens is the length of the prompt.
	PromptTokens float64
	Arrived      time.Time
	Deadline     time.Time
}

// Failure is the problem that a caller is told of.
type Failure struct {
	Outcome Outcome
	Status  int
	Title   string
	Detail  string
	// RetryAfter is 0 when a repetition makes no sense.
	RetryAfter time.Duration
}

// Reply is where an answer goes.
type Reply struct {
	// Event passes one event of a stream on.
	Event func(forwarder.Event) error
	// Whole passes a whole answer on.
	Whole func(status int, header http.Header, body []byte) error
	// Done closes a stream that is whole.
	Done func() error
	// Cut ends a stream so that the caller can tell that it is not whole.
	Cut func(f Failure)
}

// Result is how a request ended. Failure is nil for a complete one; Started
// says that a part of a stream was passed on before the failure.
type Result struct {
	Outcome  Outcome
	Failure  *Failure
	Started  bool
	Replayed bool
	Attempts int
	Stats    forwarder.StreamStats
	Cost     float64
	Server   string
	// Waited is the time that the request waited for slots.
	Waited time.Duration
}

const (
	// maxAttempts bounds the tries of one request.
	maxAttempts = 4
	// defaultHint is the cost of a request that hints at nothing.
	defaultHint = 128
	// settleTimeout bounds the recording of an answer in the background.
	settleTimeout = 2 * time.Minute
)

// Slots hands out slots; *scheduler.Scheduler fills it. All fields must be set.
type Slots struct {
	Acquire func(context.Context, scheduler.Request) (scheduler.Slot, error)
	Release func(scheduler.Slot, encoder.Release)
}

// Dispatcher dispatches requests. All exported fields must be set, but for a
// Claimer in the baseline of measurements, which claims nothing.
type Dispatcher struct {
	Config    func() *declarer.Config
	Slots     Slots
	Forwarder *forwarder.Forwarder
	Claimer   *claimer.Claimer
	// Alive says whether a router incarnation is known to run.
	Alive func(holder string) bool
	// Log notes one event; nil drops them.
	Log func(event string, keyvals ...any)

	budget     Budget
	mu         sync.Mutex
	estimator  estimator.Estimator
	background sync.WaitGroup
	claims     sync.Map
}

// Wait returns when all answers are recorded, or given up.
func (d *Dispatcher) Wait() { d.background.Wait() }

// Pending lists the claims in flight by the id of their request.
func (d *Dispatcher) Pending() map[string]string {
	m := map[string]string{}
	d.claims.Range(func(id, row any) bool {
		m[id.(string)] = row.(string)
		return true
	})
	return m
}

// call is a request on its way through the dispatcher.
type call struct {
	*Request
	d      *Dispatcher
	reply  Reply
	result Result
	// claim is the owned claim of keyed work.
	claim *claimer.Claim
	// decision is set when the claim was not won.
	decision *claimer.Decision
	// ran says that an attempt may have run, after which no outcome is not-run.
	ran bool
	// claimErr is why the store could not be asked.
	claimErr error
}

// Do takes a request to its outcome.
func (d *Dispatcher) Do(ctx context.Context, r *Request, reply Reply) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	c := &call{Request: r, d: d, reply: reply}
	d.budget.First()
	if c.keyed() {
		if err := d.Claimer.Available(time.Now()); err != nil {
			return c.fail(storeFailure())
		}
	}
	return c.run(ctx)
}

// keyed says whether the call needs a claim.
func (c *call) keyed() bool { return !c.idempotent() && c.Key != "" && c.d.Claimer != nil }

func (c *call) idempotent() bool { return c.Kind != nil && c.Kind.Idempotent }

func (c *call) estimatorKey() estimator.Key {
	k := estimator.Key{Workspace: placer.ID(c.Workspace.Name)}
	if c.Kind != nil {
		k.Kind = c.Kind.Name
	}
	return k
}

func (c *call) estimate() float64 {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	return c.PromptTokens + c.d.estimator.Estimate(c.estimatorKey(), c.hint())
}

func (c *call) hint() float64 {
	if c.Hint > 0 {
		return c.Hint
	}
	if c.Kind != nil && c.Kind.CostHint > 0 {
		return c.Kind.CostHint
	}
	return defaultHint
}

func (c *call) learn(cost float64) {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	c.d.estimator.Learn(c.estimatorKey(), c.hint(), cost)
}

// run tries until the request has an outcome.
func (c *call) run(ctx context.Context) Result {
	for {
		c.result.Attempts++
		err := c.attempt(ctx)
		if err == nil {
			c.result.Outcome = OutcomeComplete
			return c.result
		}
		if !c.mayRetry(ctx, err) {
			return c.conclude(err)
		}
		c.d.log("retry", "request", c.ID, "attempt", c.result.Attempts, "server", c.result.Server, "err", err)
	}
}

func (d *Dispatcher) log(event string, keyvals ...any) {
	if d.Log != nil {
		d.Log(event, keyvals...)
	}
}

// attempt runs the request once on one slot.
func (c *call) attempt(ctx context.Context) error {
	began := time.Now()
	slot, err := c.d.Slots.Acquire(ctx, c.slotRequest())
	c.result.Waited += time.Since(began)
	if err != nil {
		return err
	}
	s := c.d.Config().BackendServers[slot.Server]
	if s == nil {
		c.d.Slots.Release(slot, encoder.Release{})
		return failer.New("dispatch", forwarder.KindNotSent, "the backend server was withdrawn")
	}
	c.result.Server = s.Name
	to := forwarder.Server{Name: s.Name, Address: s.Address, NotRunStatuses: s.NotRunStatuses}
	if c.Model != "" {
		return c.stream(ctx, slot, to)
	}
	return c.whole(ctx, slot, to)
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
		Cost:     c.estimate(),
		Bytes:    len(c.Body),
		Arrived:  c.Arrived,
	}
}

func (c *call) job() forwarder.Job {
	return forwarder.Job{
		ID: c.ID, Method: c.Method, Path: c.Path, Header: c.Header, Body: c.Body, Idempotent: c.idempotent(),
	}
}

// settle releases the slot with what is known of the run.
func (c *call) settle(slot scheduler.Slot, err error, cost float64, st forwarder.StreamStats) {
	kind := failer.KindOf[forwarder.Kind](err)
	r := encoder.Release{Failed: err != nil && kind != forwarder.KindCaller && !errors.Is(err, errClaim)}
	notRun := kind == forwarder.KindNotSent || kind == forwarder.KindRefused || errors.Is(err, errClaim)
	if !notRun {
		c.ran = true
		r.Cost = uint32(max(1, min(cost, estimator.MaxCost)))
		c.result.Cost += cost
	}
	r.FirstMillis = uint32(st.FirstAfter.Milliseconds())
	r.BetweenMillis = uint32(st.BetweenMean.Milliseconds())
	c.d.Slots.Release(slot, r)
}

// stream runs a model request. The engine is always asked for a stream, by
// which a silent connection is found early; a caller who wants a whole answer
// gets the events joined.
func (c *call) stream(ctx context.Context, slot scheduler.Slot, to forwarder.Server) error {
	var join forwarder.Joiner
	tokens := 0
	sink := func(e forwarder.Event) error {
		tokens++
		if e.Offset > 0 {
			tokens = e.Offset
		}
		if !c.Stream {
			return join.Add(e)
		}
		c.result.Started = true
		return c.reply.Event(e)
	}
	answer, st, err := c.d.Forwarder.Stream(ctx, to, c.job(), sink)
	c.result.Stats = st
	c.settle(slot, err, c.PromptTokens+float64(tokens), st)
	if err != nil {
		return err
	}
	if answer != nil {
		return c.reply.Whole(answer.Status, answer.Header, answer.Body)
	}
	c.learn(float64(tokens))
	if c.Stream {
		return c.reply.Done()
	}
	h := http.Header{"Content-Type": {"application/json"}}
	return c.reply.Whole(http.StatusOK, h, join.Answer(c.ID, c.Model, tokens))
}

// mayRetry says whether another attempt keeps every promise.
func (c *call) mayRetry(ctx context.Context, err error) bool {
	if c.result.Started || c.result.Attempts >= maxAttempts || ctx.Err() != nil {
		return false
	}
	switch failer.KindOf[forwarder.Kind](err) {
	case forwarder.KindNotSent, forwarder.KindRefused:
		return c.d.budget.Retry()
	case forwarder.KindLost, forwarder.KindSilent, forwarder.KindCrossed, forwarder.KindGone:
		return c.idempotent() && c.d.budget.Retry()
	}
	return false
}
