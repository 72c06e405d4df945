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
	// memoryShare is the part of an engine's memory that running requests may
	// need; beyond it the engine would preempt them.
	memoryShare = 0.9
	// cacheShare is the part of an engine's memory that is taken to keep prompts.
	cacheShare = 0.5
	// readAhead is how much reading an engine is given in advance, so that it does
	// not idle for the time of a round trip.
	readAhead = 40 * time.Millisecond
	// firstOverhead is the time of a first event beyond the reading: a step, and
	// the way there and back.
	firstOverhead = 40 * time.Millisecond
	// initialReadRate is the reading speed in tokens a second before any was
	// measured; min and max bound what is learned.
	initialReadRate = 40_000
	minReadRate     = 2_000
	maxReadRate     = 1_000_000
	// minLearnTokens is the least reading of one request from which a speed can be
	// told, and minLearned the least of all of them, a few prompts.
	minLearnTokens = 500
	minLearned     = 20_000
	// rateSmoothing is the weight of the newest request.
	rateSmoothing = 0.05
	// returnPatience is the part of its objective that a request waits less for its
	// place that was refused before: it is late already, and waits only for a place
	// that the others leave.
	returnPatience = 0.25
	// refusedKept is how long a refused request is remembered, and maxRefused how
	// many of them at one server.
	refusedKept = 15 * time.Second
	maxRefused  = 4096
	// activeFor is how long after the last ask an owner speaks for a server.
	activeFor = 2 * time.Second
	// freeSmoothing is the weight of the newest time between two freed places.
	freeSmoothing = 0.2
	// failuresToSuspend is the number of failures in a row that suspend a server.
	failuresToSuspend = 3
	// minSuspend and maxSuspend bound how long a failing server gets no work.
	minSuspend = time.Second
	maxSuspend = 8 * time.Second
	// answerWeight is what a token of an answer counts for in shares.
	answerWeight = 2
	// shareStep is the ratio of usage from which one workspace goes before
	// another; closer ones count as equal.
	shareStep = 1.6
	// lengthStep is the number of tokens to read by which one request is longer
	// than another, and maxLength the number of steps that count: the longest of a
	// kind must not always be last.
	lengthStep = 4000
	maxLength  = 2
	// readingShare is the part of an objective that is kept free for reading, if a
	// prompt takes that long.
	readingShare = 0.8
	// holdSlack is how long after its deadline a hold is given up whose router
	// did not settle it.
	holdSlack = time.Second
	// minRetryAfter and maxRetryAfter bound what a refused caller is told.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 8 * time.Second
)

// Admitter holds the models of the owned servers. Fade must be set: the span
// over which past grants are forgotten. It is not safe for concurrent use.
type Admitter struct {
	Fade time.Duration

	engines map[string]*engine
	usage   usage
	out     []Decision
}

func (a *Admitter) engine(d Engine) *engine {
	if a.engines == nil {
		a.engines = map[string]*engine{}
		a.usage.fade = a.Fade
	}
	e := a.engines[d.ID]
	if e == nil {
		e = newEngine(d)
		a.engines[d.ID] = e
	}
	e.Engine = d
	return e
}

// known returns the engine of a server with its use up to date, or nil.
func (a *Admitter) known(now time.Time, server string) *engine {
	e := a.engines[server]
	if e != nil {
		e.noteUse(now)
	}
	return e
}

// Ask takes an ask in. Its decision comes out of Take now or later.
func (a *Admitter) Ask(now time.Time, k *Ask) {
	e := a.engine(k.Engine)
	if now.Before(e.suspended) {
		a.refuse(now, e, k, ReasonSuspended, e.suspended.Sub(now))
		return
	}
	e.noteUse(now)
	e.askedAt = now
	if k.Spare && !e.spare(now, k) {
		a.decide(now, e, Decision{Ask: k, Reason: ReasonNoRoom, RetryAfter: min(max(e.wait(now), minRetryAfter), maxRetryAfter)})
		return
	}
	k.returned = !k.Resumed && e.wasRefused(now, k)
	e.queue = append(e.queue, k)
	a.schedule(now, e)
}

// Adopt takes over a request that another owner granted. Its prompt counts as
// read, and its workspace was charged by that owner.
func (a *Admitter) Adopt(now time.Time, k *Ask) {
	e := a.engine(k.Engine)
	key := holdKey{k.Router, k.ID}
	if e.holds[key] != nil {
		return
	}
	e.memory.read(k.Parts)
	e.holds[key] = &hold{ask: k, grantedAt: now, started: true}
}

// Cancel drops an ask that waits or a hold whose router does not want it.
func (a *Admitter) Cancel(now time.Time, server, router string, id uint64) {
	e := a.known(now, server)
	if e == nil {
		return
	}
	for i, k := range e.queue {
		if k.Router == router && k.ID == id {
			e.queue = slices.Delete(e.queue, i, i+1)
			return
		}
	}
	a.release(now, e, holdKey{router, id})
	a.schedule(now, e)
}

// release ends a hold and takes back the charge for one that did not begin.
func (a *Admitter) release(now time.Time, e *engine, k holdKey) {
	if h := e.end(now, k); h != nil && !h.started {
		a.usage.charge(now, h.ask.Workspace, -h.ask.cost())
	}
}

// Settle takes an outcome in.
func (a *Admitter) Settle(now time.Time, o Outcome) {
	e := a.known(now, o.Server)
	if e == nil {
		return
	}
	k := holdKey{o.Router, o.ID}
	h := e.holds[k]
	if h == nil {
		return
	}
	if o.First {
		e.first(now, h)
		e.worked()
	}
	if o.Failed {
		e.failed(now)
	}
	if o.Whole && !h.firstAt.IsZero() {
		e.pace.learn(now.Sub(h.firstAt), h.ask.Answer, len(e.holds))
	}
	if o.Done {
		a.release(now, e, k)
	}
	a.schedule(now, e)
}

// Tick refuses what has waited too long, and gives up holds of routers that did
// not settle them.
func (a *Admitter) Tick(now time.Time) {
	for _, e := range a.ordered() {
		e.noteUse(now)
		for k, h := range e.holds {
			if now.After(h.ask.Deadline.Add(holdSlack)) {
				a.release(now, e, k)
			}
		}
		a.schedule(now, e)
	}
}

// ordered lists the engines by id, so that the same events always lead to the
// same decisions.
func (a *Admitter) ordered() []*engine {
	return slices.SortedFunc(maps.Values(a.engines), func(x, y *engine) int { return cmp.Compare(x.ID, y.ID) })
}

// Forget drops the asks and holds of a router that is gone.
func (a *Admitter) Forget(now time.Time, router string) {
	for _, e := range a.ordered() {
		e.noteUse(now)
		e.queue = slices.DeleteFunc(e.queue, func(k *Ask) bool { return k.Router == router })
		for k := range e.holds {
			if k.router == router {
				e.end(now, k)
			}
		}
		a.schedule(now, e)
	}
	a.usage.forget(now, router)
}

// Remove drops a server that is gone.
func (a *Admitter) Remove(now time.Time, server string) {
	e := a.engines[server]
	if e == nil {
		return
	}
	for _, k := range e.queue {
		a.refuse(now, e, k, ReasonSuspended, minRetryAfter)
	}
	delete(a.engines, server)
}

// schedule grants what can begin and refuses what cannot begin in time.
func (a *Admitter) schedule(now time.Time, e *engine) {
	if len(e.queue) == 0 {
		return
	}
	e.limit(now)
	a.sort(now, e)
	for len(e.queue) > 0 && e.open(now, e.queue[0]) {
		k := e.queue[0]
		e.queue = e.queue[1:]
		a.usage.charge(now, k.Workspace, k.cost())
		e.grant(now, k)
		a.decide(now, e, Decision{Ask: k, Granted: true})
		a.sort(now, e)
	}
	a.shed(now, e)
}

func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// sort orders the queue: streams that were cut first, as refusing one wastes what
// was done of it, then those that can still be in time, then by the workspaces' usage
// in steps, then by how long they are in steps, then by when the first event is wanted.
func (a *Admitter) sort(now time.Time, e *engine) {
	steps := map[string]int{}
	length := make(map[*Ask]int, len(e.queue))
	for _, k := range e.queue {
		length[k] = min(maxLength, e.memory.missing(k.Prompt, k.Parts)/lengthStep)
		if _, ok := steps[k.Workspace]; !ok {
			steps[k.Workspace] = int(math.Log(1+a.usage.of(now, k.Workspace)) / math.Log(shareStep))
		}
	}
	slices.SortStableFunc(e.queue, func(x, y *Ask) int {
		return cmp.Or(
			cmp.Compare(rank(!x.Resumed), rank(!y.Resumed)),
			cmp.Compare(rank(x.returned), rank(y.returned)),
			cmp.Compare(steps[x.Workspace], steps[y.Workspace]),
			cmp.Compare(length[x], length[y]),
			x.FirstBy.Compare(y.FirstBy),
		)
	})
}

// shed refuses each waiting ask that, after those before it, would begin too
// late. An ask that was late when it came waits for nothing either.
func (a *Admitter) shed(now time.Time, e *engine) {
	at := now.Add(e.backlog(now))
	keep := e.queue[:0]
	over := len(e.holds) - e.places() + 1
	for _, k := range e.queue {
		reading := e.readTime(e.memory.missing(k.Prompt, k.Parts))
		begin := at
		if n := over + len(keep); n > 0 {
			if free := now.Add(time.Duration(n) * e.freeEvery); free.After(begin) {
				begin = free
			}
		}
		if now.Before(e.suspended) && begin.Before(e.suspended) {
			begin = e.suspended
		}
		if begin.After(k.startBy(reading)) {
			reason := ReasonLate
			if a.usage.of(now, k.Workspace) > a.usage.mean(now) {
				reason = ReasonShare
			}
			a.refuse(now, e, k, reason, begin.Sub(now)+e.wait(now))
			continue
		}
		keep = append(keep, k)
		at = begin.Add(reading)
	}
	e.queue = keep
}

func (a *Admitter) refuse(now time.Time, e *engine, k *Ask, reason Reason, wait time.Duration) {
	e.noteRefused(now, k)
	a.decide(now, e, Decision{Ask: k, Reason: reason, RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)})
}

func (a *Admitter) decide(now time.Time, e *engine, d Decision) {
	d.Running, d.Waiting, d.Backlog = len(e.holds), len(e.queue), e.backlog(now)
	d.Usage, d.Mean = a.usage.of(now, d.Ask.Workspace), a.usage.mean(now)
	a.out = append(a.out, d)
}

// Take returns the decisions since the last call.
func (a *Admitter) Take() []Decision {
	out := a.out
	a.out = nil
	return out
}

// Granted returns what this router granted workspaces lately, in tokens, after
// the grant of a number, and the number of the last one.
func (a *Admitter) Granted(now time.Time, after uint64) (map[string]uint, uint64) {
	a.usage.fade = a.Fade
	return a.usage.since(now, after)
}

// Heard takes in what a peer granted workspaces lately, up to a number.
func (a *Admitter) Heard(now time.Time, peer string, grants map[string]uint, till uint64) {
	a.usage.fade = a.Fade
	a.usage.hear(now, peer, grants, till)
}

// Seen returns up to which number a peer's grants are known.
func (a *Admitter) Seen(peer string) uint64 { return a.usage.seen(peer) }

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
		if !e.active(now) {
			// Another router may own it by now.
			continue
		}
		e.noteUse(now)
		out = append(out, Load{Server: id, Wait: e.wait(now), Suspended: now.Before(e.suspended), Use: float32(e.use.value)})
	}
	slices.SortFunc(out, func(x, y Load) int { return cmp.Compare(x.Server, y.Server) })
	return out
}

// State is one server in a dump.
type State struct {
	Server string `json:"server"`
	// Active says that the server was asked for lately.
	Active   bool    `json:"active"`
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Places   int     `json:"places"`
	ReadRate float64 `json:"read-tokens-per-second"`
	Failures int     `json:"failures"`
	WaitMS   float64 `json:"wait-ms"`
}

// Dump lists the servers for operators.
func (a *Admitter) Dump(now time.Time) []State {
	var out []State
	for id, e := range a.engines {
		out = append(out, State{
			Server: id, Active: e.active(now), Running: len(e.holds), Waiting: len(e.queue), Places: e.places(), ReadRate: e.readRate,
			Failures: e.failures, WaitMS: e.wait(now).Seconds() * 1000,
		})
	}
	slices.SortFunc(out, func(x, y State) int { return cmp.Compare(x.Server, y.Server) })
	return out
}
