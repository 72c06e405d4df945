// Package rehearser simulates a workload in virtual time to evaluate the router's
// admission decisions. It consists of a model of the engines, one admitter for all of
// them, and callers that retry once after a refusal. The simulation uses no network
// and no clock, and the same workload always gives the same results.
package rehearser

import (
	"container/heap"
	"strconv"
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/pacer"
	"papayapaddle/internal/quarantiner"
	"papayapaddle/internal/steerer"
)

const (
	// networkDelay is the one-way delay of a message.
	networkDelay = 5 * time.Millisecond
	// tickInterval is the interval between calls of admitter.Tick.
	tickInterval = 20 * time.Millisecond
	// loadInterval is the interval between updates of the server loads that are used
	// for routing.
	loadInterval = 100 * time.Millisecond
	// usageTimeConstant is the time constant of the decay of past usage.
	usageTimeConstant = 2 * time.Second
	// drainTime is how long the simulation continues after the last arrival.
	drainTime = 16 * time.Second
	// retryDelayDivisor limits the delay before a retry to a fraction of the time that
	// remains until the deadline.
	retryDelayDivisor = 3
	// maxAttempts is the number of attempts by a caller, including the first.
	maxAttempts = 2
)

// scheduledCall is a function call at a point in virtual time.
type scheduledCall struct {
	at   time.Duration
	seq  int
	call func()
}

// callQueue is a heap of calls, ordered by time. Calls at the same time run in the
// order in which they were scheduled.
type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// simulation is the state of one run.
type simulation struct {
	workload *Workload
	now      time.Duration
	seq      int
	queue    callQueue
	admitter admitter.Admitter
	engines  map[string]*engine
	servers  []*cataloger.Server
	loads    map[string]steerer.Load
	// pending holds the requests that wait for a decision, by ID. lastID is the latest ID.
	pending map[uint64]*request
	lastID  uint64
	report  Report
	// quarantiner is that of the whole fleet.
	quarantiner quarantiner.Quarantiner
	// limits holds the limits of engines that the routers know.
	limits map[string]float64
	// cold holds the cold engines that the routers know, and coldRate the rate of each.
	cold     pacer.ColdServers
	coldRate float64
}

// epoch is the wall clock time at which virtual time starts.
var epoch = time.Unix(1_000_000, 0)

func (sim *simulation) wallClock() time.Time { return epoch.Add(sim.now) }

func (sim *simulation) schedule(delay time.Duration, call func()) {
	sim.seq++
	heap.Push(&sim.queue, scheduledCall{at: sim.now + delay, seq: sim.seq, call: call})
}

// Run simulates a workload.
func Run(wl *Workload) Report {
	sim := &simulation{workload: wl, engines: map[string]*engine{}, pending: map[uint64]*request{}, limits: map[string]float64{}}
	sim.admitter.UsageTimeConstant = usageTimeConstant
	sim.admitter.Limit = func(server string) (float64, bool) {
		perSecond, limited := sim.limits[server]
		return perSecond, limited
	}
	sim.admitter.Cold = sim.coldLimit
	sim.report.Classes = map[string]*Score{}
	sim.report.Workspaces = make([]Score, wl.WorkspaceCount)
	for i := range wl.EngineCount {
		id := "engine-" + strconv.Itoa(i+1)
		sim.engines[id] = newEngine(id, wl.EngineModel)
		sim.servers = append(sim.servers, &cataloger.Server{ID: id})
	}
	for _, r := range wl.arrivals() {
		sim.schedule(r.arrivedAt, func() { sim.arrive(r) })
	}
	for _, e := range wl.Events {
		sim.scheduleEngineFaults(e)
		sim.scheduleLimits(e)
		sim.scheduleCold(e)
	}
	end := time.Duration(wl.DurationSeconds*float64(time.Second)) + drainTime
	sim.tick(end)
	for sim.queue.Len() > 0 {
		e := heap.Pop(&sim.queue).(scheduledCall)
		if e.at > end {
			break
		}
		sim.now = e.at
		e.call()
		sim.handleDecisions()
	}
	sim.report.computeFairness()
	sim.report.UpperBound = wl.UpperBound()
	return sim.report
}

// tick runs every tickInterval until end. It ticks the admitter, samples the engines for
// Report.IdleEngineSamples and updates the loads.
func (sim *simulation) tick(end time.Duration) {
	sim.admitter.Tick(sim.wallClock())
	sim.quarantiner.Tick(sim.now)
	sim.cold.Tick(sim.now)
	for _, s := range sim.admitter.Dump(sim.wallClock()) {
		if s.Waiting > 0 && s.Running == 0 {
			sim.report.IdleEngineSamples++
		}
	}
	if sim.now%loadInterval == 0 {
		sim.loads = map[string]steerer.Load{}
		for _, v := range sim.admitter.Loads(sim.wallClock()) {
			sim.loads[v.Server] = v
		}
	}
	if sim.now < end {
		sim.schedule(tickInterval, func() { sim.tick(end) })
	}
}

// scheduleEngineFaults schedules the slowdown or outage of engines of an event.
func (sim *simulation) scheduleEngineFaults(e Event) {
	if e.Kind != "slow-engines" && e.Kind != "dead-engines" {
		return
	}
	setFault := func(active bool) {
		for _, s := range sim.servers[:min(e.EngineCount, len(sim.servers))] {
			eng := sim.engines[s.ID]
			eng.slowdown, eng.dead = 1, active && e.Kind == "dead-engines"
			if active && e.Kind == "slow-engines" {
				eng.slowdown = e.Factor
			}
			if eng.dead {
				sim.watchSilences(eng)
			}
			sim.wake(eng)
		}
	}
	sim.schedule(time.Duration(e.StartSecond*float64(time.Second)), func() { setFault(true) })
	sim.schedule(time.Duration((e.StartSecond+e.DurationSeconds)*float64(time.Second)), func() { setFault(false) })
}

// arrive routes a new or retried request to a server.
func (sim *simulation) arrive(r *request) {
	if r.attempts == 0 {
		sim.report.recordArrival(r)
	}
	r.attempts++
	if sim.isQuarantined(r) {
		return
	}
	ranked := steerer.RankServers(r.sharedPrefix(), sim.upServers(), sim.loads, nil)
	r.submittedAt, r.redirected = sim.now, false
	sim.submit(r, ranked[0], false)
}

// submit requests a slot on a server. overflow means that the server is not the home
// of the prompt.
func (sim *simulation) submit(r *request, s *cataloger.Server, overflow bool) {
	sim.lastID++
	r.id, r.overflow, r.engine = sim.lastID, overflow, sim.engines[s.ID]
	sim.pending[r.id] = r
	elapsed := sim.now - r.submittedAt
	sim.schedule(networkDelay, func() {
		now := sim.wallClock()
		sim.admitter.Submit(now, &admitter.Request{
			Router: "router", ID: r.id, Workspace: strconv.Itoa(r.workspace),
			Engine: admitter.Engine{
				ID: r.engine.id, Slots: sim.workload.EngineModel.Slots, MemoryTokens: sim.workload.EngineModel.MemoryTokens,
			},
			Prompt: r.promptTokens, Answer: r.answerHint, Arrived: now.Add(-elapsed),
			FirstBy: now.Add(r.objective() - elapsed), Deadline: epoch.Add(r.deadline()),
			Parts: admitter.HashParts("m", []string{r.prefix, r.uniquePart()}, []int{r.prefixTokens, r.promptTokens - r.prefixTokens}),
			Spare: overflow,
		})
	})
}

// handleDecisions executes the decisions of the admitter.
func (sim *simulation) handleDecisions() {
	for _, d := range sim.admitter.TakeDecisions() {
		r := sim.pending[d.Request.ID]
		delete(sim.pending, d.Request.ID)
		switch {
		case r == nil:
		case d.Granted:
			sim.schedule(networkDelay, func() { sim.startOnEngine(r) })
		default:
			sim.tryAlternative(r, d)
		}
	}
}

// tryAlternative submits a request refused by its home to another server, once. If there is
// none, or it refuses too, the caller is refused with the retry delay from the home.
func (sim *simulation) tryAlternative(r *request, d admitter.Decision) {
	if !r.redirected {
		r.redirected, r.retryAfter = true, d.RetryAfter
		limited := func(server string) bool {
			_, ok := sim.limits[server]
			return ok || sim.isCold(server)
		}
		if s, home := steerer.Alternative(r.sharedPrefix(), sim.servers, sim.loads, []string{r.engine.id}, d.Reason, d.Underserved, limited); s != nil {
			sim.schedule(networkDelay, func() { sim.submit(r, s, !home) })
			return
		}
	}
	sim.refuse(r, r.retryAfter)
}

// refuse returns a refusal to the caller, which retries unless it has no attempts or no
// time left.
func (sim *simulation) refuse(r *request, retryAfter time.Duration) {
	sim.report.Refusals++
	sim.report.usageAt(r.workspace, sim.now).underserved = true
	sim.report.MaxRefusalDelay = max(sim.report.MaxRefusalDelay, sim.now-r.submittedAt)
	timeLeft := r.deadline() - sim.now
	if r.attempts >= maxAttempts || timeLeft <= 0 {
		sim.report.recordEnd(r, "refused")
		return
	}
	sim.schedule(min(retryAfter, timeLeft/retryDelayDivisor), func() { sim.arrive(r) })
}

// startOnEngine sends a granted request to its engine and schedules its timeout.
func (sim *simulation) startOnEngine(r *request) {
	eng := r.engine
	switch {
	case sim.now < eng.downUntil:
		sim.sendElsewhere(r)
		return
	case sim.isQuarantined(r):
		sim.recordOutcome(r, admitter.Outcome{Done: true})
		return
	}
	if r.deadly {
		sim.report.DeadlySent++
	}
	sim.recordLimitedStart(eng)
	sim.recordColdStart(eng)
	if _, ok := eng.prefixUsedAt[r.prefix]; !ok && r.prefixTokens > 0 {
		sim.report.PrefixTokensPrefilled += r.prefixTokens
	}
	eng.add(sim.now, r)
	if eng.dead {
		sim.watchSilence(eng, r)
	}
	sim.wake(eng)
	id := r.id
	sim.schedule(max(0, r.deadline()-sim.now), func() {
		if r.outcome == "" && r.id == id {
			eng.cancel(r)
			sim.recordOutcome(r, admitter.Outcome{Done: true, Failed: r.firstTokenAt == 0})
			sim.report.recordEnd(r, "failed")
		}
	})
}

func (sim *simulation) recordOutcome(r *request, o admitter.Outcome) {
	o.Router, o.ID, o.Server = "router", r.id, r.engine.id
	sim.schedule(networkDelay, func() { sim.admitter.RecordOutcome(sim.wallClock(), o) })
}

// wake starts the steps of an engine unless they are running.
func (sim *simulation) wake(eng *engine) {
	if !eng.stepping {
		eng.stepping = true
		sim.schedule(0, func() { sim.stepEngine(eng) })
	}
}

func (sim *simulation) stepEngine(eng *engine) {
	duration, started, finished := eng.step()
	if duration == 0 {
		eng.stepping = false
		return
	}
	crashes := eng.crashes
	sim.schedule(duration, func() {
		if eng.crashes != crashes || !sim.recordStarted(eng, started) {
			return
		}
		for _, er := range started {
			er.request.firstTokenAt = sim.now
			s := sim.report.usageAt(er.request.workspace, sim.now)
			s.served += er.request.weightedTokens()
			s.underserved = s.underserved || sim.now-er.request.arrivedAt > er.request.objective()
			sim.recordOutcome(er.request, admitter.Outcome{First: true})
		}
		sim.endSilences(eng)
		for _, er := range finished {
			sim.recordOutcome(er.request, admitter.Outcome{Done: true, Whole: true})
			outcome := "late"
			if er.request.firstTokenAt+networkDelay-er.request.arrivedAt <= er.request.objective() {
				outcome = "in-time"
			}
			sim.report.recordEnd(er.request, outcome)
		}
		sim.stepEngine(eng)
	})
}
