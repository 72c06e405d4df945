package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"papayapaddle/internal/encoder"
	"papayapaddle/internal/estimator"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/forwarder"
	"papayapaddle/internal/scheduler"
)

var (
	// errSilent is the reason of an attempt beside one that is silent.
	errSilent = errors.New("no answer within " + forwarder.StallTimeout.String())
	// errSuperseded is returned if an attempt ends because another one goes on.
	errSuperseded = failer.New("dispatch", forwarder.KindNotSent, "another attempt goes on")
)

// attempt is one attempt of a call.
type attempt struct {
	*call
	cancel context.CancelFunc

	// The following fields are guarded by call.mu.

	// server is the server of the attempt's slot, if it has one.
	server string
	silent bool
	// superseded reports whether the attempt was ended because another one goes on.
	superseded bool

	// The following fields are set until the attempt ends.

	slotWait time.Duration
	err      error
	// mayHaveRun reports whether the server may have executed the request.
	mayHaveRun bool
	cost       float64
	stats      forwarder.StreamStats
	// status and write are the status of the response and what writes it to the caller, if err is nil.
	status int
	write  func() error
}

// start starts an attempt.
func (c *call) start(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sender = nil
	c.startLocked(ctx)
}

func (c *call) startLocked(ctx context.Context) {
	c.result.Attempts++
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{call: c, cancel: cancel}
	c.attempts[a] = true
	go func() {
		defer cancel()
		a.err = a.run(ctx)
		c.ended <- a
	}()
}

// startBeside starts an attempt beside those in flight if all of them are silent and the request may be sent again. A
// non-idempotent request may be if none of them has sent it, because only one of them gets the right to.
func (c *call) startBeside(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.result.StreamStarted || c.sender != nil || c.result.Attempts >= maxAttempts || ctx.Err() != nil {
		return
	}
	for a := range c.attempts {
		if !a.silent {
			return
		}
	}
	if !c.d.retryBudget.AllowRetry() {
		return
	}
	c.d.log("retry", "request", c.ID, "attempt", c.result.Attempts, "in-flight", len(c.attempts), "err", errSilent)
	c.startLocked(ctx)
}

// await returns nil once the response of an attempt was written. It returns the error of the last attempt if all have
// failed. The attempts that are silent go on until then, or until the deadline. A response that reports an error of its
// server is written only if no other attempt has one.
func (c *call) await(ctx context.Context) error {
	var err error
	var serverError *attempt
	for len(c.attempts) > 0 {
		select {
		case <-c.silence:
			c.startBeside(ctx)
		case a := <-c.ended:
			superseded := c.settle(a)
			switch {
			case superseded:
			case a.err != nil && err != nil && failer.KindOf[scheduler.Kind](a.err) != "":
				// That an attempt beside another one got no slot is not why the request failed.
			case a.err != nil:
				err = a.err
			case a.isServerError() && len(c.attempts) > 0:
				serverError = a
			default:
				return c.complete(a)
			}
		}
	}
	if serverError != nil {
		return c.complete(serverError)
	}
	return err
}

// complete writes the response of an attempt and waits for the other attempts, which it has ended.
func (c *call) complete(a *attempt) error {
	err := a.write()
	for len(c.attempts) > 0 {
		c.settle(<-c.ended)
	}
	return err
}

// settle adds an attempt that has ended to the result, and reports whether another one took the lead before.
func (c *call) settle(a *attempt) (superseded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.attempts, a)
	c.result.SlotWait += a.slotWait
	c.result.Cost += a.cost
	c.mayHaveRun = c.mayHaveRun || a.mayHaveRun
	if !a.superseded && a.server != "" {
		c.result.Server = a.server
		c.result.Stats = a.stats
	}
	return a.superseded
}

// isServerError reports whether the response reports an error of its server.
func (a *attempt) isServerError() bool { return a.status >= http.StatusInternalServerError }

// takeLead ends all other attempts because this one goes on. It returns false if another one took the lead before. call.mu
// must be held.
func (a *attempt) takeLead() bool {
	if a.superseded {
		return false
	}
	a.silent = false
	for other := range a.attempts {
		if other != a {
			other.superseded = true
			other.cancel()
		}
	}
	return true
}

// setSilent records whether the attempt is silent.
func (a *attempt) setSilent(silent bool) {
	a.mu.Lock()
	a.silent = silent
	a.mu.Unlock()
	if !silent {
		return
	}
	select {
	case a.silence <- struct{}{}:
	default:
	}
}

// run acquires a slot and sends the request once.
func (a *attempt) run(ctx context.Context) error {
	start := time.Now()
	slot, err := a.d.Slots.Acquire(ctx, a.slotRequest())
	a.slotWait = time.Since(start)
	if err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		a.d.Slots.Release(slot, encoder.Release{})
		return failer.Wrap("dispatch", forwarder.KindNotSent, err)
	}
	backend := a.d.Config().BackendServers[slot.Server]
	if backend == nil {
		a.d.Slots.Release(slot, encoder.Release{})
		return failer.New("dispatch", forwarder.KindNotSent, "the backend server was withdrawn")
	}
	if err := a.assign(backend.Name); err != nil {
		a.d.Slots.Release(slot, encoder.Release{})
		return err
	}
	server := forwarder.Server{Name: backend.Name, Address: backend.Address, NotRunStatuses: backend.NotRunStatuses}
	if a.Model != "" {
		return a.forwardModel(ctx, slot, server)
	}
	return a.forwardService(ctx, slot, server)
}

// assign records the server of the attempt. It returns an error for an engine that another attempt uses: the engine would
// take the second run for the first when one of them is resumed.
func (a *attempt) assign(server string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.superseded {
		return errSuperseded
	}
	for other := range a.attempts {
		if a.Model != "" && other.server == server {
			return failer.New("dispatch", forwarder.KindNotSent, "the engine is executing the request")
		}
	}
	a.server = server
	return nil
}

func (a *attempt) forwardRequest(slot scheduler.Slot) forwarder.Request {
	req := forwarder.Request{
		ID: a.ID, Method: a.Method, Path: a.Path, Header: a.Header, Body: a.Body, Idempotent: a.isIdempotent(),
		OnSilence: a.setSilent,
	}
	if !req.Idempotent {
		req.BeforeSend = a.beforeSend
	}
	if a.d.Slots.ReportLimit != nil {
		// The answer of an incarnation says nothing of the next one.
		incarnation := a.d.Slots.Incarnation(slot.Server)
		req.OnHeader = func(status int, h http.Header) { a.reportNotices(slot, incarnation, status, h) }
	}
	return req
}

// beforeSend acquires what the attempt needs to send a non-idempotent request.
func (a *attempt) beforeSend(ctx context.Context) error {
	a.mu.Lock()
	leads := a.takeLead()
	if leads {
		a.sender = a
	}
	a.mu.Unlock()
	if !leads {
		return errSuperseded
	}
	if a.needsClaim() && a.claim == nil {
		return a.acquireClaim(ctx)
	}
	return nil
}

// releaseSlot releases the slot and reports the cost and result of the attempt to its owner. The workspace pays for each
// attempt. One that has succeeded first ends the others, which may wait for the slot.
func (a *attempt) releaseSlot(ctx context.Context, slot scheduler.Slot, err error, cost float64, stats forwarder.StreamStats) {
	a.mu.Lock()
	if err == nil && !a.isServerError() {
		a.takeLead()
	}
	silent := a.silent || stats.Silent
	superseded := a.superseded
	a.mu.Unlock()
	// That another attempt goes on, or that the caller left during the response, is no failure of a server that is not silent.
	canceled := errors.Is(ctx.Err(), context.Canceled) && !silent && (superseded || stats.Tokens > 0)
	kind := failer.KindOf[forwarder.Kind](err)
	release := encoder.Release{
		Failed: err != nil && kind != forwarder.KindCallerGone && !errors.Is(err, errClaimNotWon) && !canceled,
	}
	notRun := kind == forwarder.KindNotSent || kind == forwarder.KindRefused || errors.Is(err, errClaimNotWon)
	if !notRun {
		a.mayHaveRun = true
		release.Cost = uint32(max(1, min(cost, estimator.MaxCost)))
		a.cost = cost
	}
	release.FirstMillis = uint32(stats.TimeToFirstToken.Milliseconds())
	release.BetweenMillis = uint32(stats.MeanTokenInterval.Milliseconds())
	a.stats = stats
	a.d.Slots.Release(slot, release)
}

// forwardModel forwards a model request. The engine is always asked for a stream, so that a
// silent connection is detected early. For a caller that did not request a stream, the events
// are combined into one response.
func (a *attempt) forwardModel(ctx context.Context, slot scheduler.Slot, server forwarder.Server) error {
	var aggregator forwarder.StreamAggregator
	tokens := 0
	onEvent := func(e forwarder.Event) error {
		tokens++
		if e.Offset > 0 {
			tokens = e.Offset
		}
		if !a.startEvent() {
			return errSuperseded
		}
		if !a.Stream {
			return aggregator.AddEvent(e)
		}
		return a.writer.WriteEvent(e)
	}
	response, stats, err := a.d.Forwarder.ForwardStream(ctx, server, a.forwardRequest(slot), onEvent)
	if response != nil {
		a.status = response.Status
	}
	a.releaseSlot(ctx, slot, err, a.PromptTokens+float64(tokens), stats)
	switch {
	case err != nil:
		return err
	case response != nil:
		a.write = func() error { return a.writer.WriteResponse(response.Status, response.Header, response.Body) }
		return nil
	}
	a.write = func() error {
		a.observeCost(float64(tokens))
		if a.Stream {
			return a.writer.EndStream()
		}
		header := http.Header{"Content-Type": {"application/json"}}
		return a.writer.WriteResponse(http.StatusOK, header, aggregator.ResponseBody(a.ID, a.Model, tokens))
	}
	return nil
}

// startEvent takes the lead with an event, which the caller sees if it requested a stream.
func (a *attempt) startEvent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.takeLead() {
		return false
	}
	a.result.StreamStarted = a.result.StreamStarted || a.Stream
	return true
}
