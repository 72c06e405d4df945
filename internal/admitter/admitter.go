// Package admitter decides, for the model servers that a router owns, which
// request begins next, which waits, and which is turned away at once.
//
// Engines admit in order of arrival and know no urgency, so a queue inside an
// engine makes everything in it late. The owner of a server therefore hands
// over only what the engine is about to read, and keeps the rest in its own
// order: streams that another server cut; requests that can still be in time before
// those whose callers were refused and are back; then the workspaces that were granted least lately across
// the fleet; then what needs least reading; then what is wanted soonest. What
// cannot begin in time any more is refused at once. docs/DESIGN.md has the load
// that each rule answers, and the figures behind the constants.
//
// The package does no I/O and reads no clock.
package admitter

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxKVCacheFraction is the part of an engine's memory that running requests may
	// need; beyond it the engine would preempt them.
	maxKVCacheFraction = 0.9
	// prefixCacheFraction is the part of an engine's memory that is taken to keep prompts.
	prefixCacheFraction = 0.5
	// maxPrefillBacklog is how much reading an engine is given in advance, so that it does
	// not idle for the time of a round trip.
	maxPrefillBacklog = 40 * time.Millisecond
	// firstEventOverhead is the time of a first event beyond the reading: a step, and
	// the way there and back.
	firstEventOverhead = 40 * time.Millisecond
	// initialPrefillRate is the reading speed in tokens a second before any was
	// measured; min and max bound what is learned.
	initialPrefillRate = 40_000
	minPrefillRate     = 2_000
	maxPrefillRate     = 1_000_000
	// minPrefillSampleTokens is the least reading of one request from which a speed can be
	// told, and minLearned the least of all of them, a few prompts.
	minPrefillSampleTokens = 500
	minPrefillTotalTokens  = 20_000
	// prefillRateSmoothing is the weight of the newest request.
	prefillRateSmoothing = 0.05
	// retryWaitReduction is the part of its objective that a request waits less for its
	// place that was refused before: it is late already, and waits only for a place
	// that the others leave.
	retryWaitReduction = 0.25
	// refusalTTL is how long a refused request is remembered, and maxRefused how
	// many of them at one server.
	refusalTTL           = 15 * time.Second
	maxRefusalsPerServer = 4096
	// activeTimeout is how long after the last ask an owner speaks for a server.
	activeTimeout = 2 * time.Second
	// slotIntervalSmoothing is the weight of the newest time between two freed places.
	slotIntervalSmoothing = 0.2
	// failuresToSuspend is the number of failures in a row that suspend a server.
	failuresToSuspend = 3
	// minSuspension and maxSuspend bound how long a failing server gets no work.
	minSuspension = time.Second
	maxSuspension = 8 * time.Second
	// answerTokenWeight is what a token of an answer counts for in shares.
	answerTokenWeight = 2
	// usageStepRatio is the ratio of usage from which one workspace goes before
	// another; closer ones count as equal.
	usageStepRatio = 1.6
	// lengthStepTokens is the number of tokens to read by which one request is longer
	// than another, and maxLength the number of steps that count: the longest of a
	// kind must not always be last.
	lengthStepTokens = 4000
	maxLengthSteps   = 2
	// maxPrefillAllowance is the part of an objective that is kept free for reading, if a
	// prompt takes that long.
	maxPrefillAllowance = 0.8
	// expiryGracePeriod is how long after its deadline a hold is given up whose router
	// did not settle it.
	expiryGracePeriod = time.Second
	// minRetryAfter and maxRetryAfter bound what a refused caller is told.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 8 * time.Second
)

// Admitter holds the models of the owned servers. Fade must be set: the span
// over which past grants are forgotten. It is not safe for concurrent use.
type Admitter struct {
	UsageTimeConstant time.Duration

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

// lookupEngine returns the engine of a server with its use up to date, or nil.
func (a *Admitter) lookupEngine(now time.Time, server string) *engineState {
	e := a.engines[server]
	if e != nil {
		e.updateUtilization(now)
	}
	return e
}

// Submit takes an ask in. Its decision comes out of Take now or later.
func (a *Admitter) Submit(now time.Time, req *Request) {
	e := a.getOrCreateEngine(req.Engine)
	if now.Before(e.suspendedUntil) {
		a.refuse(now, e, req, ReasonSuspended, e.suspendedUntil.Sub(now))
		return
	}
	e.updateUtilization(now)
	e.lastSubmittedAt = now
	if req.Spare && !e.canTakeOverflow(now, req) {
		a.recordDecision(now, e, Decision{Request: req, Reason: ReasonNoRoom, RetryAfter: min(max(e.estimateWait(now), minRetryAfter), maxRetryAfter)})
		return
	}
	req.refusedBefore = !req.Resumed && e.wasRecentlyRefused(now, req)
	e.queue = append(e.queue, req)
	a.schedule(now, e)
}

// Adopt takes over a request that another owner granted. Its prompt counts as
// read, and its workspace was charged by that owner.
func (a *Admitter) Adopt(now time.Time, req *Request) {
	e := a.getOrCreateEngine(req.Engine)
	key := requestKey{req.Router, req.ID}
	if e.running[key] != nil {
		return
	}
	e.prefixCache.insert(req.Parts)
	e.running[key] = &runningRequest{request: req, grantedAt: now, prefilled: true}
}

// Cancel drops an ask that waits or a hold whose router does not want it.
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

// endRequest ends a hold and takes back the charge for one that did not begin.
func (a *Admitter) endRequest(now time.Time, e *engineState, key requestKey) {
	if r := e.removeRunning(now, key); r != nil && !r.prefilled {
		a.usage.charge(now, r.request.Workspace, -r.request.weightedTokens())
	}
}

// RecordOutcome takes an outcome in.
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
		e.recordSuccess()
	}
	if o.Failed {
		e.recordFailure(now)
	}
	if o.Whole && !r.firstEventAt.IsZero() {
		e.tokenLatency.recordAnswer(now.Sub(r.firstEventAt), r.request.Answer, len(e.running))
	}
	if o.Done {
		a.endRequest(now, e, key)
	}
	a.schedule(now, e)
}

// Tick refuses what has waited too long, and gives up holds of routers that did
// not settle them.
func (a *Admitter) Tick(now time.Time) {
	for _, e := range a.enginesByID() {
		e.updateUtilization(now)
		for key, r := range e.running {
			if now.After(r.request.Deadline.Add(expiryGracePeriod)) {
				a.endRequest(now, e, key)
			}
		}
		a.schedule(now, e)
	}
}

// enginesByID lists the engines by id, so that the same events always lead to the
// same decisions.
func (a *Admitter) enginesByID() []*engineState {
	return slices.SortedFunc(maps.Values(a.engines), func(x, y *engineState) int { return cmp.Compare(x.ID, y.ID) })
}

// RemoveRouter drops the asks and holds of a router that is gone.
func (a *Admitter) RemoveRouter(now time.Time, router string) {
	for _, e := range a.enginesByID() {
		e.updateUtilization(now)
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

// RemoveServer drops a server that is gone.
func (a *Admitter) RemoveServer(now time.Time, server string) {
	e := a.engines[server]
	if e == nil {
		return
	}
	for _, req := range e.queue {
		a.refuse(now, e, req, ReasonSuspended, minRetryAfter)
	}
	delete(a.engines, server)
}

// schedule grants what can begin and refuses what cannot begin in time.
func (a *Admitter) schedule(now time.Time, e *engineState) {
	if len(e.queue) == 0 {
		return
	}
	e.updateDeadlineLimit(now)
	a.sortQueue(now, e)
	for len(e.queue) > 0 && e.canStart(now, e.queue[0]) {
		req := e.queue[0]
		e.queue = e.queue[1:]
		a.usage.charge(now, req.Workspace, req.weightedTokens())
		e.start(now, req)
		a.recordDecision(now, e, Decision{Request: req, Granted: true})
		a.sortQueue(now, e)
	}
	a.shedLate(now, e)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// sortQueue orders the queue: streams that were cut first, as refusing one wastes what
// was done of it, then those that can still be in time, then by the workspaces' usage
// in steps, then by how long they are in steps, then by when the first event is wanted.
func (a *Admitter) sortQueue(now time.Time, e *engineState) {
	usageSteps := map[string]int{}
	lengthSteps := make(map[*Request]int, len(e.queue))
	for _, req := range e.queue {
		lengthSteps[req] = min(maxLengthSteps, e.prefixCache.uncachedTokens(req.Prompt, req.Parts)/lengthStepTokens)
		if _, ok := usageSteps[req.Workspace]; !ok {
			usageSteps[req.Workspace] = int(math.Log(1+a.usage.workspaceTokens(now, req.Workspace)) / math.Log(usageStepRatio))
		}
	}
	slices.SortStableFunc(e.queue, func(x, y *Request) int {
		return cmp.Or(
			cmp.Compare(boolToInt(!x.Resumed), boolToInt(!y.Resumed)),
			cmp.Compare(boolToInt(x.refusedBefore), boolToInt(y.refusedBefore)),
			cmp.Compare(usageSteps[x.Workspace], usageSteps[y.Workspace]),
			cmp.Compare(lengthSteps[x], lengthSteps[y]),
			x.FirstBy.Compare(y.FirstBy),
		)
	})
}

// shedLate refuses each waiting ask that, after those before it, would begin too
// late. An ask that was late when it came waits for nothing either.
func (a *Admitter) shedLate(now time.Time, e *engineState) {
	engineFree := now.Add(e.prefillBacklog(now))
	kept := e.queue[:0]
	excess := len(e.running) - e.concurrencyLimit() + 1
	for _, req := range e.queue {
		prefill := e.prefillTime(e.prefixCache.uncachedTokens(req.Prompt, req.Parts))
		begin := engineFree
		if n := excess + len(kept); n > 0 {
			if slotFree := now.Add(time.Duration(n) * e.slotFreeInterval); slotFree.After(begin) {
				begin = slotFree
			}
		}
		if now.Before(e.suspendedUntil) && begin.Before(e.suspendedUntil) {
			begin = e.suspendedUntil
		}
		if begin.After(req.latestStart(prefill)) {
			reason := ReasonTooLate
			if a.usage.workspaceTokens(now, req.Workspace) > a.usage.mean(now) {
				reason = ReasonOverShare
			}
			a.refuse(now, e, req, reason, begin.Sub(now)+e.estimateWait(now))
			continue
		}
		kept = append(kept, req)
		engineFree = begin.Add(prefill)
	}
	e.queue = kept
}

func (a *Admitter) refuse(now time.Time, e *engineState, req *Request, reason Reason, wait time.Duration) {
	e.rememberRefusal(now, req)
	a.recordDecision(now, e, Decision{Request: req, Reason: reason, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)})
}

func (a *Admitter) recordDecision(now time.Time, e *engineState, d Decision) {
	d.Running, d.Waiting, d.Backlog = len(e.running), len(e.queue), e.prefillBacklog(now)
	d.Usage, d.MeanUsage = a.usage.workspaceTokens(now, d.Request.Workspace), a.usage.mean(now)
	a.decisions = append(a.decisions, d)
}

// TakeDecisions returns the decisions since the last call.
func (a *Admitter) TakeDecisions() []Decision {
	out := a.decisions
	a.decisions = nil
	return out
}

// GrantsSince returns what this router granted workspaces lately, in tokens, after
// the grant of a number, and the number of the last one.
func (a *Admitter) GrantsSince(now time.Time, sequence uint64) (map[string]uint, uint64) {
	a.usage.timeConstant = a.UsageTimeConstant
	return a.usage.grantsSince(now, sequence)
}

// MergePeerGrants takes in what a peer granted workspaces lately, up to a number.
func (a *Admitter) MergePeerGrants(now time.Time, peer string, grants map[string]uint, sequence uint64) {
	a.usage.timeConstant = a.UsageTimeConstant
	a.usage.mergePeerGrants(now, peer, grants, sequence)
}

// PeerGrantSequence returns up to which number a peer's grants are known.
func (a *Admitter) PeerGrantSequence(peer string) uint64 { return a.usage.peerSequence(peer) }

// Load is how long a new request would wait at a server.
type Load struct {
	Server string
	Wait   time.Duration
	// Suspended says that the server gets no work.
	Suspended bool
	// Use is the part of the last second in which it could not begin more.
	Use float32
}

// Loads lists the load of the known servers.
func (a *Admitter) Loads(now time.Time) []Load {
	out := make([]Load, 0, len(a.engines))
	for id, e := range a.engines {
		if !e.isActive(now) {
			// Another router may own it by now.
			continue
		}
		e.updateUtilization(now)
		out = append(out, Load{Server: id, Wait: e.estimateWait(now), Suspended: now.Before(e.suspendedUntil), Use: float32(e.utilization.value)})
	}
	slices.SortFunc(out, func(x, y Load) int { return cmp.Compare(x.Server, y.Server) })
	return out
}

// ServerState is one server in a dump.
type ServerState struct {
	Server string `json:"server"`
	// Active says that the server was asked for lately.
	Active           bool    `json:"active"`
	Running          int     `json:"running"`
	Waiting          int     `json:"waiting"`
	ConcurrencyLimit int     `json:"places"`
	ReadRate         float64 `json:"read-tokens-per-second"`
	Failures         int     `json:"failures"`
	WaitMS           float64 `json:"wait-ms"`
}

// Dump lists the servers for operators.
func (a *Admitter) Dump(now time.Time) []ServerState {
	var out []ServerState
	for id, e := range a.engines {
		out = append(out, ServerState{
			Server: id, Active: e.isActive(now), Running: len(e.running), Waiting: len(e.queue), ConcurrencyLimit: e.concurrencyLimit(), ReadRate: e.prefillRate,
			Failures: e.consecutiveFailures, WaitMS: e.estimateWait(now).Seconds() * 1000,
		})
	}
	slices.SortFunc(out, func(x, y ServerState) int { return cmp.Compare(x.Server, y.Server) })
	return out
}
