package relayer

import (
	"context"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/sender"
)

// bufferedAttempt is one attempt of a request whose answer is buffered. Its run method does not change the
// exchange, so that a hedge can run beside it.
type bufferedAttempt struct {
	server     *cataloger.Server
	assignment *Assignment
	request    *sender.Request
	ctx        context.Context
	// cancel is nil without a race.
	cancel context.CancelCauseFunc
	// sentAt is a reading of the boot clock before the request was sent.
	sentAt    time.Duration
	startedAt time.Time
	isHedge   bool
	// ended is true once the race has received the end of the attempt.
	ended bool

	resp *sender.Response
	body []byte
	// end decides whether the answer is complete. It is nil without an answer.
	end     *responseEnd
	failure *attemptFailure
	// drained is true if the connection can be used again though the answer is not forwarded.
	drained bool
}

// run sends the request and reads the answer.
func (a *bufferedAttempt) run(x *exchange) {
	a.resp, a.failure = x.sendRequest(a.ctx, a.server, a.request)
	if a.failure == nil {
		a.end = x.watchEnd(a.server, a.resp)
		a.body, a.failure = x.bufferBody(a.ctx, a.resp, a.end)
	}
}

// reached reports whether the request may have reached the server.
func (a *bufferedAttempt) reached() bool { return a.failure == nil || a.failure.sent }

// answered reports whether the attempt has ended with an answer that no other attempt could improve.
func (a *bufferedAttempt) answered() bool {
	return a.failure == nil && a.resp.Status < http.StatusInternalServerError
}

func (x *exchange) newBufferedAttempt(ctx context.Context, assignment *Assignment) *bufferedAttempt {
	a := &bufferedAttempt{server: assignment.Server, assignment: assignment, ctx: ctx, startedAt: time.Now()}
	a.request, a.sentAt = x.newRequest(assignment, "")
	return a
}

// runBuffered runs an attempt and, if its answer is late, a hedge. It returns the attempt whose answer is to be
// forwarded or which was the last one to fail. All others are settled.
func (x *exchange) runBuffered(ctx context.Context, assignment *Assignment) *bufferedAttempt {
	a := x.newBufferedAttempt(ctx, assignment)
	x.serverID = a.server.ID
	h := x.armHedge(a.server)
	if h.armed() {
		x.race = &bufferedRace{x: x, hedge: h, ended: make(chan *bufferedAttempt)}
		return x.race.run(ctx, a)
	}
	a.run(x)
	if a.reached() {
		x.sentAttempts++
	}
	if h != nil {
		h.recordBuffered(a)
	}
	return a
}

// recordBuffered records the time of an attempt that has ended.
func (h *hedge) recordBuffered(a *bufferedAttempt) {
	if !a.isHedge && (a.answered() || a.ctx.Err() != nil) {
		h.recordFirst(!a.answered())
	}
	if a.answered() {
		h.recordAnswer(a.isHedge, a.server)
	}
}

// settleBuffered releases the slot of an attempt that has ended, and its connection unless its answer is forwarded.
func (x *exchange) settleBuffered(a *bufferedAttempt, forwarded bool) {
	resp, failure := a.resp, a.failure
	if failure == nil && !forwarded {
		x.keepServerError(resp, a.body)
	}
	if !forwarded {
		a.end.stop()
	}
	if resp != nil && !forwarded {
		// A race has tried to drain the response by then.
		resp.Close(a.drained || a.cancel == nil && drain(resp))
	}
	failed := failure != nil && !failure.notRun || failure == nil && resp.Status >= http.StatusInternalServerError
	a.assignment.Release(AttemptResult{
		Failed:       failed && x.req.Context().Err() == nil && !x.isAborted() && !x.endedEarly(a),
		Inconclusive: failed && x.endedEarly(a),
		Refused:      failure != nil && failure.notRun && failure.sent,
		Duration:     time.Since(a.startedAt),
	})
	if failure != nil {
		x.Log("attempt-failed", "request", x.call.ID, "server", a.server.ID,
			"reason", failure.reason, "not-run", failure.notRun, "err", failure.err)
	}
}

// endedEarly reports whether a hedge was ended by its context before its server counts as silent.
func (x *exchange) endedEarly(a *bufferedAttempt) bool {
	return a.isHedge && a.ctx.Err() != nil && !x.isLate(a)
}

// isLate reports whether the server of an attempt counts as silent. Whether part of the answer has come is not known while
// the attempt runs.
func (x *exchange) isLate(a *bufferedAttempt) bool {
	return time.Since(a.startedAt) >= x.firstEventTimeout()
}

// bufferedRace is an attempt and its hedge. The first of them to have an answer that no other attempt could improve
// wins, and the other is canceled.
type bufferedRace struct {
	x       *exchange
	hedge   *hedge
	ended   chan *bufferedAttempt
	running []*bufferedAttempt
	// started are all attempts, and overtaken those that lost and whose answer is not closed.
	started, overtaken []*bufferedAttempt
}

// run returns the attempt that won, or the last one to fail.
func (r *bufferedRace) run(ctx context.Context, first *bufferedAttempt) *bufferedAttempt {
	x := r.x
	r.start(first)
	due := time.NewTimer(r.hedge.delay)
	defer due.Stop()
	var search standbySearch
	defer func() { search.stop() }()
	for {
		select {
		case a := <-r.ended:
			for _, a := range r.receive(ctx, a) {
				if r.handleEnd(a) {
					return a
				}
			}
		case <-due.C:
			if r.hedge.take() {
				search = x.seekHedge(ctx)
			}
		case offer := <-search.offers:
			search.stop()
			if !r.hedge.start(ctx, offer) {
				offer.giveBack()
				continue
			}
			second := x.newBufferedAttempt(ctx, offer.assignment)
			second.isHedge = true
			r.start(second)
		}
	}
}

// receive returns an attempt that has ended. After the context has ended all of them it returns them in their order,
// so that the outcome does not depend on which one is scheduled first.
func (r *bufferedRace) receive(ctx context.Context, a *bufferedAttempt) []*bufferedAttempt {
	a.ended = true
	if ctx.Err() == nil {
		return []*bufferedAttempt{a}
	}
	for range len(r.running) - 1 {
		other := <-r.ended
		other.ended = true
	}
	return slices.Clone(r.running)
}

// handleEnd handles the end of an attempt. It returns true if the attempt won or was the last one, and settles
// it otherwise.
func (r *bufferedRace) handleEnd(a *bufferedAttempt) bool {
	x := r.x
	r.running = slices.DeleteFunc(r.running, func(other *bufferedAttempt) bool { return other == a })
	if a.reached() {
		x.sentAttempts++
	}
	r.hedge.recordBuffered(a)
	if a.answered() || len(r.running) == 0 {
		r.overtake()
		x.serverID = a.server.ID
		return true
	}
	x.mayHaveRun = x.mayHaveRun || a.failure == nil || !a.failure.notRun
	x.reportEvidence(a.ctx, a.server, a.sentAt, a.resp, a.failure, a.failure == nil)
	r.hedge.recordFailure(a.failure)
	x.settleBuffered(a, false)
	return false
}

// start runs an attempt in a goroutine of its own.
func (r *bufferedRace) start(a *bufferedAttempt) {
	a.ctx, a.cancel = context.WithCancelCause(a.ctx)
	r.started, r.running = append(r.started, a), append(r.running, a)
	go func() {
		defer func() {
			// Unlike those of handlers, net/http does not recover a panic of this goroutine, which would end the router.
			if p := recover(); p != nil {
				r.x.Log("panic", "request", r.x.call.ID, "server", a.server.ID, "err", p, "stack", string(debug.Stack()))
				a.failure = &attemptFailure{sent: true, reason: "panic", err: errPanic}
			}
			r.ended <- a
		}()
		a.run(r.x)
		// The handler must not wait for this while the other attempt may have an answer. The remainder of a long error
		// is left, as it may be forwarded.
		a.drained = a.resp != nil && (a.failure != nil || len(a.body) <= maxBufferedBytes) && drain(a.resp)
	}()
}

// overtake cancels the attempts that still run, so that their servers do not work on, and releases their slots.
func (r *bufferedRace) overtake() {
	x := r.x
	for _, a := range r.running {
		a.cancel(errOvertaken)
		if !a.isHedge {
			r.hedge.recordFirst(true)
		}
		late := x.isLate(a)
		a.assignment.Release(AttemptResult{Failed: late, Inconclusive: !late, Duration: time.Since(a.startedAt)})
		reason := "overtaken"
		if late {
			reason = "silent"
		}
		x.Log("attempt-failed", "request", x.call.ID, "server", a.server.ID, "reason", reason, "not-run", false, "err", errOvertaken)
	}
	r.overtaken, r.running = r.running, nil
}

// end waits for the end of the canceled attempts. The answer that was forwarded is closed by then.
func (r *bufferedRace) end() {
	if r == nil {
		return
	}
	for _, a := range r.started {
		a.cancel(nil)
	}
	if len(r.overtaken) > 0 {
		// Otherwise net/http could hold the answer back until the loser has ended. An error has no consequence here.
		_ = r.x.respCtl.Flush()
	}
	for _, a := range r.overtaken {
		if !a.ended {
			// At most one attempt is overtaken.
			<-r.ended
		}
		if a.reached() {
			r.x.sentAttempts++
		}
		if a.resp != nil {
			a.resp.Close(false)
		}
	}
	r.hedge.end()
}
