// Package admitter implements admission control for the model servers that a router
// owns. It decides which request starts next, which waits and which is refused.
//
// Inference engines process requests in order of arrival, without priorities, so a queue
// inside an engine delays every request in it. The owner of a server therefore sends only
// requests whose prefill is about to begin and queues the others itself, in this order:
//
//   - streams that were interrupted on another server and are being resumed
//   - workspaces with the lowest recent usage across the fleet
//   - requests that can still meet their objective, before retries of refused ones
//   - prompts with the fewest uncached tokens
//   - the earliest wanted first event
//
// If a server names a limit of requests a second, or is cold, the owner also spaces the requests that start there, so
// that all routers together keep the limit.
//
// Requests that cannot start in time are refused immediately. docs/DESIGN.md describes the
// load that motivates each rule and the measurements behind the constants.
//
// The package does no I/O and does not read the clock.
package admitter

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxKVCacheFraction is the fraction of an engine's KV cache that running requests may
	// reserve. Above it the engine would preempt some of them.
	maxKVCacheFraction = 0.9
	// prefixCacheFraction is the fraction of the KV cache assumed to hold cached prompts.
	prefixCacheFraction = 0.5
	// maxPrefillBacklog is the prefill time up to which an engine gets another request.
	// It keeps the engine busy for the duration of a network round trip.
	maxPrefillBacklog = 40 * time.Millisecond
	// firstEventOverhead is the time to the first event in addition to the prefill: one
	// decoding step and a network round trip.
	firstEventOverhead = 40 * time.Millisecond
	// initialPrefillRate is the prefill rate in tokens per second before the first
	// measurement. Measured rates are limited to the range from minPrefillRate to
	// maxPrefillRate.
	initialPrefillRate = 40_000
	minPrefillRate     = 2_000
	maxPrefillRate     = 1_000_000
	// minPrefillSampleTokens is the smallest prefill that is used as a sample, and
	// minPrefillTotalTokens the total, a few prompts, from which a rate is computed.
	minPrefillSampleTokens = 500
	minPrefillTotalTokens  = 20_000
	// prefillRateSmoothing is the fraction by which each sample reduces the weight of the
	// previous ones.
	prefillRateSmoothing = 0.05
	// retryWaitReduction shortens the maximum wait of a previously refused request, as a
	// fraction of its objective. Such a request is already late and takes only slots that
	// others leave free.
	retryWaitReduction = 0.25
	// refusalTTL is how long refused requests are remembered.
	refusalTTL           = 15 * time.Second
	maxRefusalsPerServer = 4096
	// activeTimeout is how long after its last request a server counts as active. The owner
	// publishes only the loads of active servers.
	activeTimeout = 2 * time.Second
	// slotIntervalSmoothing is the weight of the latest interval between two freed slots.
	slotIntervalSmoothing = 0.2
	// answerTokenWeight is the weight of an answer token in a workspace's usage, relative
	// to a prompt token.
	answerTokenWeight = 2
	// maxPrefillAllowance is the largest fraction of an objective reserved for prefill.
	maxPrefillAllowance = 0.8
	// expiryGracePeriod is how long after its deadline a running request is dropped if its
	// router has not reported an outcome.
	expiryGracePeriod = time.Second
)

// Admitter schedules requests for the servers that this router owns. It is not safe for
// concurrent use.
type Admitter struct {
	// UsageTimeConstant is the time constant of the exponential decay of workspace usage.
	// It must be set.
	UsageTimeConstant time.Duration
	// Limit returns the requests a second that may start on a server, and whether it has such a limit. If nil,
	// no server has.
	Limit func(server string) (perSecond float64, limited bool)
	// Cold returns the phase of a server and what this router may start there. If nil, all servers are warm.
	Cold func(server string) ColdLimit
	// Evacuated reports whether a server gets no requests, as its zone is evacuated. If nil, no server is.
	Evacuated func(server string) bool

	engines   map[string]*engineState
	usage     usageTracker
	decisions []Decision
}

func (a *Admitter) getOrCreateEngine(spec Engine) *engineState {
	if a.engines == nil {
		a.engines = map[string]*engineState{}
		a.usage.timeConstant = a.UsageTimeConstant
	}
	e := a.engines[spec.ID]
	if e == nil {
		e = newEngine(spec)
		a.engines[spec.ID] = e
	}
	e.Engine = spec
	return e
}

// lookupEngine returns the engine of a server with updated utilization, or nil if unknown.
func (a *Admitter) lookupEngine(now time.Time, server string) *engineState {
	e := a.engines[server]
	if e != nil {
		a.update(now, e)
	}
	return e
}

// update updates the limit and the utilization of an engine. It must be called before any change of the
// engine's state.
func (a *Admitter) update(now time.Time, e *engineState) {
	e.updateUtilization(now)
	var perSecond float64
	var limited bool
	var cold ColdLimit
	if a.Limit != nil {
		perSecond, limited = a.Limit(e.ID)
	}
	if a.Cold != nil {
		cold = a.Cold(e.ID)
	}
	e.pace.set(perSecond, limited, cold)
}

// Submit queues a request. TakeDecisions returns its decision, immediately or later.
func (a *Admitter) Submit(now time.Time, req *Request) {
	e := a.getOrCreateEngine(req.Engine)
	a.update(now, e)
	if a.isEvacuated(e) {
		a.refuse(now, e, Decision{Request: req, Reason: ReasonEvacuated})
		return
	}
	if e.isSuspended(now) && !req.Standby {
		a.refuse(now, e, Decision{Request: req, Reason: ReasonSuspended, RetryAfter: e.health.suspendedUntil.Sub(now)})
		return
	}
	e.lastSubmittedAt = now
	if req.Spare && !e.canTakeOverflow(now, req) || req.Standby && (len(e.queue) > 0 || !e.canStart(now, req)) {
		a.recordDecision(now, e, Decision{
			Request: req, Reason: ReasonNoRoom,
			RetryAfter: min(max(e.estimateWait(now), minRetryAfter), maxRetryAfter),
		})
		return
	}
	req.refusedBefore = !req.Resumed && e.wasRecentlyRefused(now, req)
	e.queue = append(e.queue, req)
	a.schedule(now, e)
}

// Adopt adds a running request that a previous owner granted. Its prefill counts as done,
// and the previous owner has charged its workspace.
func (a *Admitter) Adopt(now time.Time, req *Request) {
	e := a.getOrCreateEngine(req.Engine)
	key := requestKey{req.Router, req.ID}
	if e.running[key] != nil {
		return
	}
	e.prefixCache.insert(req.Parts)
	e.running[key] = &runningRequest{request: req, grantedAt: now, prefilled: true}
}

// Cancel removes a waiting or running request.
func (a *Admitter) Cancel(now time.Time, server, router string, id uint64) {
	e := a.lookupEngine(now, server)
	if e == nil {
		return
	}
	for i, req := range e.queue {
		if req.Router == router && req.ID == id {
			e.queue = slices.Delete(e.queue, i, i+1)
			return
		}
	}
	a.endRequest(now, e, requestKey{router, id})
	a.schedule(now, e)
}

// endRequest removes a running request and refunds its charge if no event was received.
func (a *Admitter) endRequest(now time.Time, e *engineState, key requestKey) {
	if r := e.removeRunning(now, key); r != nil && !r.prefilled {
		a.usage.charge(now, r.request.Workspace, -r.request.weightedTokens())
	}
}

// RecordOutcome applies the reported outcome of a running request.
func (a *Admitter) RecordOutcome(now time.Time, o Outcome) {
	e := a.lookupEngine(now, o.Server)
	if e == nil {
		return
	}
	key := requestKey{o.Router, o.ID}
	r := e.running[key]
	if r == nil {
		return
	}
	if o.First {
		e.recordFirstEvent(now, r)
	}
	e.recordOutcome(now, r, o)
	if o.Whole && !r.firstEventAt.IsZero() {
		e.tokenLatency.recordAnswer(now.Sub(r.firstEventAt), r.request.Answer, len(e.running))
	}
	if o.Done {
		a.endRequest(now, e, key)
	}
	a.schedule(now, e)
}

// Tick refuses requests that have waited too long, and drops running requests whose
// outcome is overdue.
func (a *Admitter) Tick(now time.Time) {
	for _, e := range a.enginesByID() {
		a.update(now, e)
		for key, r := range e.running {
			if now.After(r.request.Deadline.Add(expiryGracePeriod)) {
				a.endRequest(now, e, key)
			}
		}
		a.schedule(now, e)
	}
}

// enginesByID returns the engines sorted by ID, which makes decisions deterministic.
func (a *Admitter) enginesByID() []*engineState {
	return slices.SortedFunc(maps.Values(a.engines), func(x, y *engineState) int {
		return cmp.Compare(x.ID, y.ID)
	})
}

// RemoveRouter removes the waiting and running requests of a router that left, and its
// reported usage.
func (a *Admitter) RemoveRouter(now time.Time, router string) {
	for _, e := range a.enginesByID() {
		a.update(now, e)
		e.queue = slices.DeleteFunc(e.queue, func(req *Request) bool { return req.Router == router })
		for key := range e.running {
			if key.router == router {
				e.removeRunning(now, key)
			}
		}
		a.schedule(now, e)
	}
	a.usage.removePeer(now, router)
}

// RemoveServer removes a server and refuses the requests that wait for it.
func (a *Admitter) RemoveServer(now time.Time, server string) {
	e := a.engines[server]
	if e == nil {
		return
	}
	for _, req := range e.queue {
		a.refuse(now, e, Decision{Request: req, Reason: ReasonSuspended, RetryAfter: minRetryAfter})
	}
	delete(a.engines, server)
}

// RestartServer records that a server has started again. What was measured of it, its cached prompts, its running
// requests and its failures were those of the incarnation before; requests that wait for it stay.
func (a *Admitter) RestartServer(now time.Time, server string) {
	e := a.lookupEngine(now, server)
	if e == nil {
		return
	}
	restarted := newEngine(e.Engine)
	restarted.queue, restarted.pace, restarted.lastSubmittedAt = e.queue, e.pace, e.lastSubmittedAt
	a.engines[server] = restarted
	a.schedule(now, restarted)
}

// TakeDecisions returns the decisions made since the previous call.
func (a *Admitter) TakeDecisions() []Decision {
	out := a.decisions
	a.decisions = nil
	return out
}

// GrantsSince returns the decayed usage, in tokens, of the workspaces that got a grant from
// this router after the given sequence number, and the sequence number of the last grant.
func (a *Admitter) GrantsSince(now time.Time, sequence uint64) (map[string]uint, uint64) {
	a.usage.timeConstant = a.UsageTimeConstant
	return a.usage.grantsSince(now, sequence)
}

// MergePeerGrants merges the workspace usage reported by a peer up to a sequence number.
func (a *Admitter) MergePeerGrants(
	now time.Time, peer string, grants map[string]uint, sequence uint64,
) {
	a.usage.timeConstant = a.UsageTimeConstant
	a.usage.mergePeerGrants(now, peer, grants, sequence)
}

// PeerGrantSequence returns the sequence number up to which a peer's grants are known.
func (a *Admitter) PeerGrantSequence(peer string) uint64 { return a.usage.peerSequence(peer) }
