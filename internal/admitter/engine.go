package admitter

import (
	"time"
)

// requestKey identifies a granted request. IDs are unique only within one router.
type requestKey struct {
	router string
	id     uint64
}

// runningRequest is a request that was granted and has not ended.
type runningRequest struct {
	request *Request
	// prefillTokens is the number of prompt tokens that were not cached.
	prefillTokens int
	grantedAt     time.Time
	// prefilled reports whether the first event was received, or a previous owner granted
	// the request.
	prefilled bool
	// firstEventAt is when the first event was received. It is zero for a request that a
	// previous owner granted.
	firstEventAt time.Time
	// probe reports whether the request was granted to find out whether a failing server works again.
	probe bool
	// silent reports whether the server has been silent on the request since its router said so.
	silent bool
}

// engineState is the estimated state of one model server: its prefill backlog, its running
// and waiting requests, and its measured speed.
type engineState struct {
	Engine
	prefixCache prefixCache
	running     map[requestKey]*runningRequest
	// prefillOrder lists the running requests without a first event, oldest first. The engine
	// prefills in this order.
	prefillOrder []*runningRequest
	queue        []*Request
	// prefillDoneAt is the estimated time at which all granted prompts are prefilled.
	prefillDoneAt time.Time
	// prefillRate is the measured prefill rate in tokens per second.
	prefillRate float64
	// sampledTokens and sampledSeconds are decayed sums over the samples of prefillRate.
	sampledTokens, sampledSeconds float64
	// lastFirstEventAt is when the latest first event of any request was received.
	lastFirstEventAt time.Time
	tokenLatency     tokenLatency
	// deadlineLimit is the number of requests that can run concurrently and still meet their
	// deadlines, as computed at limitUpdatedAt.
	deadlineLimit  float64
	limitUpdatedAt time.Time
	utilization    utilization
	// lastSlotFreedAt is when a slot was last freed, or zero if other slots were free then.
	lastSlotFreedAt time.Time
	// slotFreeInterval is the smoothed interval between two freed slots of a full engine.
	slotFreeInterval time.Duration

	lastSubmittedAt time.Time
	// refusedAt is when requests were refused, by prompt ID.
	refusedAt map[uint64]time.Time
	health    health
	pace      pace
}

func newEngine(e Engine) *engineState {
	return &engineState{
		Engine:      e,
		prefixCache: prefixCache{capacity: int(float64(e.MemoryTokens) * prefixCacheFraction)},
		running:     map[requestKey]*runningRequest{},
		prefillRate: initialPrefillRate,
	}
}

// isActive reports whether a request was submitted for the server recently.
func (e *engineState) isActive(now time.Time) bool {
	return now.Sub(e.lastSubmittedAt) < activeTimeout
}

// prefillBacklog returns the estimated time until all granted prompts are prefilled.
func (e *engineState) prefillBacklog(now time.Time) time.Duration {
	return max(0, e.prefillDoneAt.Sub(now))
}

// reservedTokens returns the KV cache tokens that the running requests are expected to need
// at most.
func (e *engineState) reservedTokens() int {
	n := 0
	for _, r := range e.running {
		n += r.request.Prompt + r.request.Answer
	}
	return n
}

// canStart reports whether the engine could start a request now.
func (e *engineState) canStart(now time.Time, req *Request) bool {
	if e.isSuspended(now) || now.Before(e.pace.next(now, 0)) {
		return false
	}
	n := len(e.running)
	if n == 0 {
		return true
	}
	if e.health.failing() {
		// A single request probes the server. Silent ones show nothing of it.
		return e.awaitedCount() == 0
	}
	if n >= e.concurrencyLimit() || e.prefillBacklog(now) > maxPrefillBacklog {
		return false
	}
	return e.MemoryTokens == 0 ||
		e.reservedTokens()+req.Prompt+req.Answer <= int(float64(e.MemoryTokens)*maxKVCacheFraction)
}

func (e *engineState) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.prefillRate * float64(time.Second))
}

// start adds a granted request to the engine.
func (e *engineState) start(now time.Time, req *Request) {
	e.pace.take(now)
	if e.Slots == 0 {
		return
	}
	r := &runningRequest{
		request: req, prefillTokens: e.prefixCache.uncachedTokens(req.Prompt, req.Parts), grantedAt: now,
		probe: e.health.failing(),
	}
	e.prefixCache.insert(req.Parts)
	if e.prefillDoneAt.Before(now) {
		e.prefillDoneAt = now
	}
	e.prefillDoneAt = e.prefillDoneAt.Add(e.prefillTime(r.prefillTokens))
	e.running[requestKey{req.Router, req.ID}] = r
	e.prefillOrder = append(e.prefillOrder, r)
}

// recordFirstEvent records the first event of a request. As the engine has prefilled all
// prompts up to this one, the event corrects the estimates of prefill backlog and rate.
func (e *engineState) recordFirstEvent(now time.Time, r *runningRequest) {
	if r.prefilled {
		return
	}
	r.prefilled, r.firstEventAt = true, now
	e.updatePrefillRate(now, r)
	remaining := 0
	kept := e.prefillOrder[:0]
	passed := false
	for _, other := range e.prefillOrder {
		switch {
		case other == r:
			passed = true
		case !passed && !other.prefilled:
			// The first event of an earlier request is still in transit.
			kept = append(kept, other)
		case !other.prefilled:
			remaining += other.prefillTokens
			kept = append(kept, other)
		}
	}
	e.prefillOrder = kept
	e.prefillDoneAt = now.Add(e.prefillTime(remaining))
}

// updatePrefillRate samples the prefill rate when a request's first event arrives. Only a
// request granted before the previous first event is sampled: since that event, the engine
// has prefilled nothing else.
func (e *engineState) updatePrefillRate(now time.Time, r *runningRequest) {
	last := e.lastFirstEventAt
	e.lastFirstEventAt = now
	if last.IsZero() || r.grantedAt.After(last) || r.prefillTokens < minPrefillSampleTokens {
		return
	}
	seconds := now.Sub(last).Seconds()
	if seconds <= 0 {
		return
	}
	e.sampledTokens = e.sampledTokens*(1-prefillRateSmoothing) + float64(r.prefillTokens)
	e.sampledSeconds = e.sampledSeconds*(1-prefillRateSmoothing) + seconds
	if e.sampledTokens < minPrefillTotalTokens {
		return
	}
	e.prefillRate = min(max(e.sampledTokens/e.sampledSeconds, minPrefillRate), maxPrefillRate)
}

// removeRunning removes and returns a running request, or returns nil if it is unknown.
func (e *engineState) removeRunning(now time.Time, key requestKey) *runningRequest {
	r := e.running[key]
	if r == nil {
		return nil
	}
	if len(e.running) >= e.concurrencyLimit() {
		if !e.lastSlotFreedAt.IsZero() {
			interval := now.Sub(e.lastSlotFreedAt)
			e.slotFreeInterval += time.Duration(
				slotIntervalSmoothing * float64(interval-e.slotFreeInterval))
		}
		e.lastSlotFreedAt = now
	} else {
		e.lastSlotFreedAt = time.Time{}
	}
	delete(e.running, key)
	if !r.prefilled {
		e.cancelPrefill(now, r)
	}
	return r
}

// cancelPrefill removes a request that ended before its first event from the prefill
// backlog. The estimate is corrected only once no other request is left in the backlog;
// until then, the next first event corrects it.
func (e *engineState) cancelPrefill(now time.Time, r *runningRequest) {
	for i, other := range e.prefillOrder {
		if other == r {
			e.prefillOrder = append(e.prefillOrder[:i], e.prefillOrder[i+1:]...)
			break
		}
	}
	if len(e.prefillOrder) == 0 {
		e.prefillDoneAt = now
	}
}

// rememberRefusal records that a request was refused, unless too many refusals are recorded.
func (e *engineState) rememberRefusal(now time.Time, req *Request) {
	id, ok := req.promptID()
	if !ok {
		return
	}
	if e.refusedAt == nil {
		e.refusedAt = map[uint64]time.Time{}
	}
	if len(e.refusedAt) >= maxRefusalsPerServer {
		for other, at := range e.refusedAt {
			if now.Sub(at) > refusalTTL {
				delete(e.refusedAt, other)
			}
		}
	}
	if len(e.refusedAt) < maxRefusalsPerServer {
		e.refusedAt[id] = now
	}
}

// wasRecentlyRefused reports whether the same prompt was refused within refusalTTL.
func (e *engineState) wasRecentlyRefused(now time.Time, req *Request) bool {
	id, ok := req.promptID()
	if !ok {
		return false
	}
	at, found := e.refusedAt[id]
	return found && now.Sub(at) <= refusalTTL
}

// estimateWait returns the estimated time until the engine could start a new request.
func (e *engineState) estimateWait(now time.Time) time.Duration {
	wait := e.prefillBacklog(now)
	for _, req := range e.queue {
		wait += e.prefillTime(e.prefixCache.uncachedTokens(req.Prompt, req.Parts))
	}
	if n := len(e.running) + len(e.queue) - e.concurrencyLimit(); n >= 0 {
		wait = max(wait, time.Duration(n+1)*e.slotFreeInterval)
	}
	wait = max(wait, e.health.suspendedUntil.Sub(now))
	return max(wait, e.pace.wait(now, len(e.queue)))
}
