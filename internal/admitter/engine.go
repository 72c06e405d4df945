package admitter

import (
	"time"
)

// requestKey names a granted request; ids are unique within a router only.
type requestKey struct {
	router string
	id     uint64
}

// runningRequest is a granted request.
type runningRequest struct {
	request *Request
	// prefillTokens is the number of prompt tokens that the engine had to read.
	prefillTokens int
	grantedAt     time.Time
	prefilled     bool
	// firstEventAt is when the first event came, zero for a request that another owner
	// granted.
	firstEventAt time.Time
}

// engineState is the model of one backend server: what it still has to read, how
// many requests it runs, and how fast it was lately.
type engineState struct {
	Engine
	prefixCache prefixCache
	running     map[requestKey]*runningRequest
	// prefillOrder lists the holds that have not begun, oldest first, as the server
	// admits in that order.
	prefillOrder []*runningRequest
	queue        []*Request
	// prefillDoneAt is when the engine will have read all granted prompts.
	prefillDoneAt time.Time
	// prefillRate is the engine's reading speed in tokens a second, learned.
	prefillRate float64
	// sampledTokens and reading are the tokens and seconds from which it was learned, the older
	// ones faded; firstAt is when the last first event came.
	sampledTokens, sampledSeconds float64
	lastFirstEventAt              time.Time
	// tokenLatency tells how many may run at the same time; bearable is that number, worked
	// out at limitedAt.
	tokenLatency   tokenLatency
	deadlineLimit  float64
	limitUpdatedAt time.Time
	utilization    utilization
	// lastSlotFreedAt and freeEvery tell how often a place becomes free.
	lastSlotFreedAt  time.Time
	slotFreeInterval time.Duration

	lastSubmittedAt time.Time
	// refusedAt holds when requests were refused, by name.
	refusedAt           map[uint64]time.Time
	consecutiveFailures int
	suspendedUntil      time.Time
	suspension          time.Duration
}

func newEngine(e Engine) *engineState {
	return &engineState{
		Engine:      e,
		prefixCache: prefixCache{capacity: int(float64(e.MemoryTokens) * prefixCacheFraction)},
		running:     map[requestKey]*runningRequest{},
		prefillRate: initialPrefillRate,
	}
}

// isActive says whether the server was asked for lately.
func (e *engineState) isActive(now time.Time) bool { return now.Sub(e.lastSubmittedAt) < activeTimeout }

// prefillBacklog is how long the engine has still to read.
func (e *engineState) prefillBacklog(now time.Time) time.Duration {
	return max(0, e.prefillDoneAt.Sub(now))
}

// reservedTokens is the memory that running requests need at most.
func (e *engineState) reservedTokens() int {
	n := 0
	for _, r := range e.running {
		n += r.request.Prompt + r.request.Answer
	}
	return n
}

// canStart says whether the engine could begin a request now.
func (e *engineState) canStart(now time.Time, req *Request) bool {
	if now.Before(e.suspendedUntil) {
		return false
	}
	n := len(e.running)
	if n == 0 {
		return true
	}
	if e.consecutiveFailures >= failuresToSuspend {
		// After a suspension one request finds out whether the server works again.
		return false
	}
	if n >= e.concurrencyLimit() || e.prefillBacklog(now) > maxPrefillBacklog {
		return false
	}
	return e.MemoryTokens == 0 || e.reservedTokens()+req.Prompt+req.Answer <= int(float64(e.MemoryTokens)*maxKVCacheFraction)
}

func (e *engineState) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.prefillRate * float64(time.Second))
}

// start hands a request to the engine.
func (e *engineState) start(now time.Time, req *Request) *runningRequest {
	r := &runningRequest{request: req, prefillTokens: e.prefixCache.uncachedTokens(req.Prompt, req.Parts), grantedAt: now}
	e.prefixCache.insert(req.Parts)
	if e.prefillDoneAt.Before(now) {
		e.prefillDoneAt = now
	}
	e.prefillDoneAt = e.prefillDoneAt.Add(e.prefillTime(r.prefillTokens))
	e.running[requestKey{req.Router, req.ID}] = r
	e.prefillOrder = append(e.prefillOrder, r)
	return r
}

// recordFirstEvent notes a request's first event: the engine has read all prompts up to
// this one, which tells how far it is and how fast it was.
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
			// An earlier one: its event is on its way.
			kept = append(kept, other)
		case !other.prefilled:
			remaining += other.prefillTokens
			kept = append(kept, other)
		}
	}
	e.prefillOrder = kept
	e.prefillDoneAt = now.Add(e.prefillTime(remaining))
}

// updatePrefillRate takes in that a request's first event came. If it was handed over before
// the first event of the one before it, the engine has read nothing else since then,
// which tells its speed.
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

// removeRunning takes a hold back.
func (e *engineState) removeRunning(now time.Time, key requestKey) *runningRequest {
	r := e.running[key]
	if r == nil {
		return nil
	}
	if len(e.running) >= e.concurrencyLimit() {
		if !e.lastSlotFreedAt.IsZero() {
			interval := now.Sub(e.lastSlotFreedAt)
			e.slotFreeInterval += time.Duration(slotIntervalSmoothing * float64(interval-e.slotFreeInterval))
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

// cancelPrefill takes back what a request that ended before its first event would
// still have had read.
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

// rememberRefusal remembers a refused request.
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

// wasRecentlyRefused says whether the request was refused lately.
func (e *engineState) wasRecentlyRefused(now time.Time, req *Request) bool {
	id, ok := req.promptID()
	if !ok {
		return false
	}
	at, found := e.refusedAt[id]
	return found && now.Sub(at) <= refusalTTL
}

// recordFailure counts a failure; some in a row suspend the server for a while.
func (e *engineState) recordFailure(now time.Time) {
	e.consecutiveFailures++
	if e.consecutiveFailures < failuresToSuspend {
		return
	}
	e.suspension = min(max(e.suspension*2, minSuspension), maxSuspension)
	e.suspendedUntil = now.Add(e.suspension)
}

func (e *engineState) recordSuccess() {
	e.consecutiveFailures = 0
	e.suspension = 0
}

// estimateWait estimates when a new request of so many tokens would have been read.
func (e *engineState) estimateWait(now time.Time) time.Duration {
	wait := e.prefillBacklog(now)
	for _, req := range e.queue {
		wait += e.prefillTime(e.prefixCache.uncachedTokens(req.Prompt, req.Parts))
	}
	if n := len(e.running) + len(e.queue) - e.concurrencyLimit(); n >= 0 {
		wait = max(wait, time.Duration(n+1)*e.slotFreeInterval)
	}
	if now.Before(e.suspendedUntil) {
		wait = max(wait, e.suspendedUntil.Sub(now))
	}
	return wait
}
