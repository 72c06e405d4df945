package scheduler

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"papayapaddle/internal/accountant"
	"papayapaddle/internal/encoder"
	"papayapaddle/internal/placer"
	"papayapaddle/internal/queuer"
)

// pool is the one pool of a test fleet.
const pool = 7

// envelope is a message on its way.
type envelope struct {
	due      time.Time
	from, to string
	m        encoder.Message
	reply    bool
}

// running is a request that occupies a slot of a server.
type running struct {
	router  string
	slot    SlotID
	server  string
	ws      uint32
	started time.Time
	ends    time.Time
	cost    float64
}

// fleet drives several cores in virtual time; messages take a random delay and
// may be lost, each link has one call at a time.
type fleet struct {
	now      time.Time
	rng      *rand.Rand
	cores    map[string]*Core
	names    []string
	delay    time.Duration
	loss     float64
	mail     []envelope
	busy     map[string]bool
	running  []running
	costs    map[uint64]float64
	refused  map[Reason]int
	charged  map[uint32]float64
	served   map[uint32]float64
	maxHeld  map[string]int
	weights  map[uint32]float64
	view     View
	nextID   uint64
	finished int
	// idleWhileWaiting sums slot time that was free while work waited.
	idle, total time.Duration
}

// perSecond is the speed of a slot, in cost units.
const perSecond = 100

func newFleet(seed uint64, routers, servers, slots int) *fleet {
	f := &fleet{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), cores: map[string]*Core{},
		delay: 8 * time.Millisecond, busy: map[string]bool{}, costs: map[uint64]float64{}, refused: map[Reason]int{},
		charged: map[uint32]float64{}, served: map[uint32]float64{}, maxHeld: map[string]int{}, weights: map[uint32]float64{},
	}
	for i := range routers {
		name := fmt.Sprintf("r%d", i)
		f.names = append(f.names, name)
		f.view.Routers = append(f.view.Routers, placer.Router{Name: name})
	}
	for i := range servers {
		f.view.Servers = append(f.view.Servers, Server{Name: fmt.Sprintf("s%d", i), Pool: pool, Slots: slots})
	}
	f.view.Weight = func(ws uint32) float64 {
		if w := f.weights[ws]; w > 0 {
			return w
		}
		return 1
	}
	for i, name := range f.names {
		f.cores[name] = &Core{Name: name, Incarnation: uint64(i + 1), FirstTicket: uint32(i) << 20, Limits: queuer.Limits{Requests: 10_000, Bytes: 1 << 30}}
		f.cores[name].SetView(f.now, f.view)
	}
	return f
}

func (f *fleet) submit(router string, ws uint32, cost, estimate float64) {
	f.nextID++
	f.costs[f.nextID] = cost
	f.cores[router].Submit(f.now, &queuer.Item{
		ID: f.nextID, Key: Key{Pool: pool, Workspace: ws}, Urgency: 1, Arrived: f.now,
		Deadline: f.now.Add(time.Hour), Cost: estimate,
	})
	f.collect(router)
}

// collect starts what a core started.
func (f *fleet) collect(router string) {
	c := f.cores[router]
	for _, s := range c.Take().Starts {
		cost := f.costs[s.Request]
		var ws uint32
		if h := c.holds[s.Slot]; h != nil {
			ws = h.workspace
		}
		f.running = append(f.running, running{
			router: router, slot: s.Slot, server: s.Server, ws: ws, started: f.now,
			ends: f.now.Add(time.Duration(cost / perSecond * float64(time.Second))), cost: cost,
		})
		f.noteHeld(s.Server)
	}
}

func (f *fleet) noteHeld(server string) {
	n := 0
	for _, r := range f.running {
		if r.server == server {
			n++
		}
	}
	f.maxHeld[server] = max(f.maxHeld[server], n)
}

// step advances virtual time by one tick of 10 ms.
func (f *fleet) step() {
	f.now = f.now.Add(10 * time.Millisecond)
	f.finish()
	f.deliver()
	for _, name := range f.names {
		c := f.cores[name]
		if c == nil {
			continue
		}
		c.Tick(f.now)
		f.collect(name)
	}
	f.send()
	f.observe()
}

func (f *fleet) finish() {
	var rest []running
	for _, r := range f.running {
		if r.ends.After(f.now) {
			rest = append(rest, r)
			continue
		}
		f.served[r.ws] += r.cost
		f.finished++
		if c := f.cores[r.router]; c != nil {
			c.Finish(f.now, r.slot, encoder.Release{Cost: uint32(r.cost)})
		}
	}
	f.running = rest
	for _, n := range f.names {
		if f.cores[n] != nil {
			f.collect(n)
		}
	}
}

// send drains due messages, one call at a time on each link.
func (f *fleet) send() {
	for _, from := range f.names {
		c := f.cores[from]
		if c == nil {
			continue
		}
		fl := c.Flushes()
		sort.Slice(fl, func(i, j int) bool { return fl[i].Peer < fl[j].Peer })
		for _, x := range fl {
			link := from + ">" + x.Peer
			if x.At.After(f.now) || f.busy[link] || f.cores[x.Peer] == nil {
				continue
			}
			f.busy[link] = true
			f.post(envelope{from: from, to: x.Peer, m: c.Drain(f.now, x.Peer)})
		}
	}
}

func (f *fleet) post(e envelope) {
	e.due = f.now.Add(time.Duration(f.rng.Int64N(int64(f.delay)) + 1))
	f.mail = append(f.mail, e)
}

func (f *fleet) deliver() {
	mail := f.mail
	f.mail = nil
	for _, e := range mail {
		if e.due.After(f.now) {
			f.mail = append(f.mail, e)
			continue
		}
		f.arrive(e)
	}
}

func (f *fleet) arrive(e envelope) {
	to := f.cores[e.to]
	if to == nil {
		return
	}
	source := accountant.Source{Router: e.from, Incarnation: 1}
	lost := f.rng.Float64() < f.loss
	if e.reply {
		f.busy[e.to+">"+e.from] = false
		if lost {
			to.SendFailed(f.now, e.from, &encoder.Message{})
		} else {
			to.Absorb(f.now, source, &e.m)
		}
		f.collect(e.to)
		return
	}
	if lost {
		f.busy[e.from+">"+e.to] = false
		f.cores[e.from].SendFailed(f.now, e.to, &e.m)
		f.collect(e.from)
		return
	}
	reply := to.Receive(f.now, source, &e.m)
	f.collect(e.to)
	f.post(envelope{from: e.to, to: e.from, m: reply, reply: true})
}

// observe adds up slot time while work waits.
func (f *fleet) observe() {
	waiting := 0
	for _, c := range f.cores {
		n, _ := c.QueueLen()
		waiting += n
	}
	slots := 0
	for _, s := range f.view.Servers {
		slots += s.Slots
	}
	if waiting > 0 {
		f.total += time.Duration(slots) * 10 * time.Millisecond
		f.idle += time.Duration(max(0, slots-len(f.running))) * 10 * time.Millisecond
	}
}

// serviceOf returns what a workspace was served, running requests included.
func (f *fleet) serviceOf(ws uint32) float64 {
	v := f.served[ws]
	for _, r := range f.running {
		if r.ws == ws {
			v += min(r.cost, perSecond*f.now.Sub(r.started).Seconds())
		}
	}
	return v
}

// accountOf sums what the owners charged a workspace.
func (f *fleet) accountOf(ws uint32) float64 {
	sum := 0.0
	for _, c := range f.cores {
		sum += c.ledger.LocalTotal(accountant.Key{Pool: pool, Workspace: ws})
	}
	return sum * f.view.Weight(ws)
}
