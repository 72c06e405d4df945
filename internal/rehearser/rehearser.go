// Package rehearser plays a load against the decisions of the router, in virtual
// time: a model of the engines, the admitter for all of them, and callers who
// come back once after a refusal. It needs no network and no clock, and the same
// load always gives the same figures.
package rehearser

import (
	"container/heap"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/steerer"
)

const (
	// way is the time that a request needs to its owner and server, and an event
	// back.
	way = 5 * time.Millisecond
	// tickEvery is the period of admitter.Tick.
	tickEvery = 20 * time.Millisecond
	// loadsEvery is how old the loads that steer a prompt may be.
	loadsEvery = 100 * time.Millisecond
	// fade is the span over which grants are forgotten.
	fade = 2 * time.Second
	// drain is how long after the last arrival a rehearsal goes on.
	drain = 16 * time.Second
	// backWithin is the part of their time for which refused callers wait at most.
	backWithin = 3
	// maxTries is how often a caller tries.
	maxTries = 2
)

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// rehearsal is the state of one play.
type rehearsal struct {
	load     *Workload
	now      time.Duration
	seq      int
	agenda   events
	admitter admitter.Admitter
	engines  map[string]*engine
	servers  []*cataloger.Server
	loads    map[string]steerer.Load
	asking   map[uint64]*request
	nextID   uint64
	report   Report
}

// epoch is where virtual time begins.
var epoch = time.Unix(1_000_000, 0)

func (p *rehearsal) clock() time.Time { return epoch.Add(p.now) }

func (p *rehearsal) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.agenda, event{at: p.now + d, seq: p.seq, do: do})
}

// Run plays a load.
func Run(l *Workload) Report {
	p := &rehearsal{load: l, engines: map[string]*engine{}, asking: map[uint64]*request{}}
	p.admitter.Fade = fade
	p.report.Classes = map[string]*Score{}
	p.report.Workspaces = make([]Score, l.WorkspaceCount)
	for i := range l.EngineCount {
		id := "engine-" + strconv.Itoa(i+1)
		p.engines[id] = newEngine(id, l.EngineModel)
		p.servers = append(p.servers, &cataloger.Server{ID: id})
	}
	for _, r := range l.arrivals() {
		p.after(r.arrived, func() { p.arrive(r) })
	}
	for _, e := range l.Events {
		p.trouble(e)
	}
	end := time.Duration(l.DurationSeconds*float64(time.Second)) + drain
	p.tick(end)
	for p.agenda.Len() > 0 {
		e := heap.Pop(&p.agenda).(event)
		if e.at > end {
			break
		}
		p.now = e.at
		e.do()
		p.decided()
	}
	p.report.finish()
	p.report.UpperBound = l.UpperBound()
	return p.report
}

func (p *rehearsal) tick(end time.Duration) {
	p.admitter.Tick(p.clock())
	for _, s := range p.admitter.Dump(p.clock()) {
		if s.Waiting > 0 && s.Running == 0 {
			p.report.IdleEngineSamples++
		}
	}
	if p.now%loadsEvery == 0 {
		p.loads = map[string]steerer.Load{}
		for _, v := range p.admitter.Loads(p.clock()) {
			p.loads[v.Server] = v
		}
	}
	if p.now < end {
		p.after(tickEvery, func() { p.tick(end) })
	}
}

// trouble slows engines down or stops them for a while.
func (p *rehearsal) trouble(e Event) {
	if e.Kind != "slow-engines" && e.Kind != "dead-engines" {
		return
	}
	set := func(on bool) {
		for _, s := range p.servers[:min(e.EngineCount, len(p.servers))] {
			g := p.engines[s.ID]
			g.slow, g.dead = 1, on && e.Kind == "dead-engines"
			if on && e.Kind == "slow-engines" {
				g.slow = e.Factor
			}
			p.wake(g)
		}
	}
	p.after(time.Duration(e.StartSecond*float64(time.Second)), func() { set(true) })
	p.after(time.Duration((e.StartSecond+e.DurationSeconds)*float64(time.Second)), func() { set(false) })
}

// arrive brings a request, new or back, to the owner of its server.
func (p *rehearsal) arrive(r *request) {
	if r.tries == 0 {
		p.report.ask(r)
	}
	r.tries++
	ranked := steerer.Rank(r.prompted(), p.servers, p.loads, nil)
	r.asked = p.now
	p.ask(r, ranked[0], false)
}

// ask asks for a place on a server, which is not the prompt's home if it is spare.
func (p *rehearsal) ask(r *request, s *cataloger.Server, spare bool) {
	p.nextID++
	r.id, r.spare, r.engine = p.nextID, spare, p.engines[s.ID]
	own := fmt.Sprint("own-", r.arrived, "-", r.workspace)
	p.asking[r.id] = r
	since := p.now - r.asked
	p.after(way, func() {
		now := p.clock()
		p.admitter.Ask(now, &admitter.Ask{
			Router: "router", ID: r.id, Workspace: strconv.Itoa(r.workspace),
			Engine: admitter.Engine{ID: r.engine.id, Slots: p.load.EngineModel.Slots, MemoryTokens: p.load.EngineModel.MemoryTokens},
			Prompt: r.prompt, Answer: r.hint, Arrived: now.Add(-since), FirstBy: now.Add(r.objective() - since), Deadline: epoch.Add(r.deadline()),
			Parts: admitter.Chain("m", []string{r.part, own}, []int{r.shared, r.prompt - r.shared}), Spare: spare,
		})
	})
}

// decided carries out what the admitter decided.
func (p *rehearsal) decided() {
	for _, d := range p.admitter.Take() {
		r := p.asking[d.Ask.ID]
		delete(p.asking, d.Ask.ID)
		switch {
		case r == nil:
		case d.Granted:
			p.after(way, func() { p.start(r) })
		default:
			p.elsewhere(r, d)
		}
	}
}

// elsewhere asks a server with room for a place, once; then the caller is refused, with
// what the first one said.
func (p *rehearsal) elsewhere(r *request, d admitter.Decision) {
	if !r.spare {
		r.retryAfter = d.RetryAfter
		if s := steerer.Spare(r.prompted(), p.servers, p.loads, []string{r.engine.id}); s != nil {
			p.after(way, func() { p.ask(r, s, true) })
			return
		}
	}
	p.refused(r, r.retryAfter)
}

// refused sends the caller away; it comes back once.
func (p *rehearsal) refused(r *request, retryAfter time.Duration) {
	p.report.Refusals++
	p.report.second(r.workspace, p.now).hurt = true
	p.report.MaxRefusalDelay = max(p.report.MaxRefusalDelay, p.now-r.asked)
	left := r.deadline() - p.now
	if r.tries >= maxTries || left <= 0 {
		p.report.end(r, "refused")
		return
	}
	p.after(min(retryAfter, left/backWithin), func() { p.arrive(r) })
}

// start brings a granted request to its engine.
func (p *rehearsal) start(r *request) {
	g := r.engine
	if _, ok := g.kept[r.part]; !ok && r.shared > 0 {
		p.report.PrefixTokensRead += r.shared
	}
	g.add(p.now, r)
	p.wake(g)
	id := r.id
	p.after(max(0, r.deadline()-p.now), func() {
		if r.outcome == "" && r.id == id {
			g.cancel(r)
			p.settle(r, admitter.Outcome{Done: true, Failed: r.firstAt == 0})
			p.report.end(r, "failed")
		}
	})
}

func (p *rehearsal) settle(r *request, o admitter.Outcome) {
	o.Router, o.ID, o.Server = "router", r.id, r.engine.id
	p.after(way, func() { p.admitter.Settle(p.clock(), o) })
}

// wake makes an engine go on stepping.
func (p *rehearsal) wake(g *engine) {
	if !g.stepping {
		g.stepping = true
		p.after(0, func() { p.step(g) })
	}
}

func (p *rehearsal) step(g *engine) {
	length, began, ended := g.step()
	if length == 0 {
		g.stepping = false
		return
	}
	p.after(length, func() {
		for _, t := range began {
			t.r.firstAt = p.now
			s := p.report.second(t.r.workspace, p.now)
			s.got += t.r.tokens()
			s.hurt = s.hurt || p.now-t.r.arrived > t.r.objective()
			p.settle(t.r, admitter.Outcome{First: true})
		}
		for _, t := range ended {
			p.settle(t.r, admitter.Outcome{Done: true, Whole: true})
			outcome := "late"
			if t.r.firstAt+way-t.r.arrived <= t.r.objective() {
				outcome = "in-time"
			}
			p.report.end(t.r, outcome)
		}
		p.step(g)
	})
}

// Score counts what became of requests.
type Score struct {
	Submitted int
	InTime    int
	Late      int
	Refused   int
	Failed    int
	// EarnedValue is what was earned, Owed what all would have earned in time.
	EarnedValue float64
	MaxValue    float64
}

// ValueShare is the part of the worth that was earned.
func (s Score) ValueShare() float64 {
	if s.MaxValue == 0 {
		return 1
	}
	return s.EarnedValue / s.MaxValue
}

// Report is what a rehearsal showed.
type Report struct {
	Total      Score
	Classes    map[string]*Score
	Workspaces []Score
	Refusals   int
	// MaxRefusalDelay is the longest time until a refusal.
	MaxRefusalDelay time.Duration
	// UpperBound is the share that one scheduler could earn which sees everything at once.
	UpperBound float64
	// IdleEngineSamples counts the looks at which an engine ran nothing while work waited
	// for it.
	IdleEngineSamples int
	// PrefixTokensRead is the number of tokens of shared parts that engines read.
	PrefixTokensRead int
	// Fairness is the least part of its due that a workspace was served in any six
	// seconds in each of which something of it was refused or late: of what it asked
	// or of what the best served one got, whichever is less, second by second.
	Fairness float64
	// LongPrompts counts the longest tenth of each class.
	LongPrompts Score

	seconds [][]second
	largest float64
}

func (r *Report) scores(q *request) []*Score {
	c := r.Classes[q.class.Name]
	if c == nil {
		c = &Score{}
		r.Classes[q.class.Name] = c
	}
	out := []*Score{&r.Total, c, &r.Workspaces[q.workspace]}
	if q.long {
		out = append(out, &r.LongPrompts)
	}
	return out
}

func (r *Report) ask(q *request) {
	for _, s := range r.scores(q) {
		s.Submitted++
		s.MaxValue += q.worth * q.class.Value
	}
	r.second(q.workspace, q.arrived).asked += q.tokens()
	r.largest = max(r.largest, q.tokens())
}

func (r *Report) end(q *request, outcome string) {
	if q.outcome != "" {
		return
	}
	q.outcome = outcome
	for _, s := range r.scores(q) {
		switch outcome {
		case "in-time":
			s.InTime++
			s.EarnedValue += q.worth * q.class.Value
		case "late":
			s.Late++
			s.EarnedValue += q.worth * q.class.LateValue
		case "refused":
			s.Refused++
		default:
			s.Failed++
		}
	}
}

// second is what a workspace asked and got in one second.
type second struct {
	asked, got float64
	// hurt says that something was refused or began late.
	hurt bool
}

const (
	// fairSeconds is the span over which shares are judged, and forgiven the number
	// of largest requests that a workspace may miss in it.
	fairSeconds = 6
	forgiven    = 3
)

func (r *Report) second(workspace int, at time.Duration) *second {
	if r.seconds == nil {
		r.seconds = make([][]second, len(r.Workspaces))
	}
	s := int(at / time.Second)
	for len(r.seconds[workspace]) <= s {
		r.seconds[workspace] = append(r.seconds[workspace], second{})
	}
	return &r.seconds[workspace][s]
}

// finish works out the fairness.
func (r *Report) finish() {
	var best []float64
	for _, w := range r.seconds {
		for i, s := range w {
			if len(best) <= i {
				best = append(best, 0)
			}
			best[i] = max(best[i], s.got)
		}
	}
	r.Fairness = 1
	for _, w := range r.seconds {
		for from := 0; from+fairSeconds <= len(w); from++ {
			due, got, hurt := 0.0, 0.0, true
			for i, s := range w[from : from+fairSeconds] {
				due += min(s.asked, best[from+i])
				got += s.got
				hurt = hurt && s.hurt
			}
			if due -= forgiven * r.largest; hurt && due > 0 {
				r.Fairness = min(r.Fairness, got/due)
			}
		}
	}
}

// ServedRatio is the part of the requests that were served, in time or late.
func (s Score) ServedRatio() float64 {
	if s.Submitted == 0 {
		return 1
	}
	return float64(s.InTime+s.Late) / float64(s.Submitted)
}

// Write prints the report, one line each.
func (r *Report) Write(w io.Writer) {
	line := func(name string, s Score) {
		fmt.Fprintf(w, "%s asked=%d in-time=%d late=%d refused=%d failed=%d share=%.3f\n",
			name, s.Submitted, s.InTime, s.Late, s.Refused, s.Failed, s.ValueShare())
	}
	line("total", r.Total)
	names := make([]string, 0, len(r.Classes))
	for n := range r.Classes {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		line("class "+n, *r.Classes[n])
	}
	line("longest-tenth", r.LongPrompts)
	fmt.Fprintf(w, "bound %.3f of-bound %.3f\n", r.UpperBound, r.Total.ValueShare()/r.UpperBound)
	fmt.Fprintf(w, "refusals %d longest-ms=%d\n", r.Refusals, r.MaxRefusalDelay.Milliseconds())
	fmt.Fprintf(w, "shared-tokens-read %d\nfairness %.3f\n", r.PrefixTokensRead, r.Fairness)
}
