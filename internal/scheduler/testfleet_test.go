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

// testPool is the only pool of a testFleet.
const testPool = 7

// inFlightMessage is a message that is not delivered yet.
type inFlightMessage struct {
	deliverAt time.Time
	from, to  string
	message   encoder.Message
	isReply   bool
}

// runningRequest is a request that occupies a slot of a server.
type runningRequest struct {
	router    string
	slot      SlotID
	server    string
	workspace uint32
	started   time.Time
	endsAt    time.Time
	cost      float64
}

// testFleet drives several cores in virtual time. Messages are delayed randomly and may be lost.
// Each link has one call in progress at a time.
type testFleet struct {
	now        time.Time
	rng        *rand.Rand
	cores      map[string]*Core
	names      []string
	delay      time.Duration
	loss       float64
	inFlight   []inFlightMessage
	busyLinks  map[string]bool
	running    []runningRequest
	costs      map[uint64]float64
	refused    map[Reason]int
	charged    map[uint32]float64
	served     map[uint32]float64
	maxRunning map[string]int
	weights    map[uint32]float64
	view       View
	nextID     uint64
	finished   int
	// idleSlotTime and totalSlotTime sum the idle and the total slot time while requests waited.
	idleSlotTime, totalSlotTime time.Duration
}

// costPerSecond is the cost that a slot processes per second.
const costPerSecond = 100

func newTestFleet(seed uint64, routers, servers, slots int) *testFleet {
	f := &testFleet{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), cores: map[string]*Core{},
		delay: 8 * time.Millisecond, busyLinks: map[string]bool{}, costs: map[uint64]float64{}, refused: map[Reason]int{},
		charged: map[uint32]float64{}, served: map[uint32]float64{}, maxRunning: map[string]int{}, weights: map[uint32]float64{},
	}
	for i := range routers {
		name := fmt.Sprintf("r%d", i)
		f.names = append(f.names, name)
		f.view.Routers = append(f.view.Routers, placer.Router{Name: name})
	}
	for i := range servers {
		f.view.Servers = append(f.view.Servers, Server{Name: fmt.Sprintf("s%d", i), Pool: testPool, Slots: slots})
	}
	f.view.Weight = func(workspace uint32) float64 {
		if weight := f.weights[workspace]; weight > 0 {
			return weight
		}
		return 1
	}
	for i, name := range f.names {
		f.cores[name] = &Core{Name: name, Incarnation: uint64(i + 1), FirstTicket: uint32(i) << 20, Limits: queuer.Limits{Requests: 10_000, Bytes: 1 << 30}}
		f.cores[name].SetView(f.now, f.view)
	}
	return f
}

func (f *testFleet) submit(router string, workspace uint32, cost, estimatedCost float64) {
	f.nextID++
	f.costs[f.nextID] = cost
	f.cores[router].Submit(f.now, &queuer.Item{
		ID: f.nextID, Key: Key{Pool: testPool, Workspace: workspace}, Urgency: 1, Arrived: f.now,
		Deadline: f.now.Add(time.Hour), Cost: estimatedCost,
	})
	f.collectStarts(router)
}

// collectStarts runs the requests that a core has started.
func (f *testFleet) collectStarts(router string) {
	c := f.cores[router]
	for _, s := range c.TakeOutput().Starts {
		cost := f.costs[s.Request]
		var workspace uint32
		if held := c.heldSlots[s.Slot]; held != nil {
			workspace = held.workspace
		}
		f.running = append(f.running, runningRequest{
			router: router, slot: s.Slot, server: s.Server, workspace: workspace, started: f.now,
			endsAt: f.now.Add(time.Duration(cost / costPerSecond * float64(time.Second))), cost: cost,
		})
		f.recordRunning(s.Server)
	}
}

func (f *testFleet) recordRunning(server string) {
	n := 0
	for _, r := range f.running {
		if r.server == server {
			n++
		}
	}
	f.maxRunning[server] = max(f.maxRunning[server], n)
}

// step advances virtual time by one tick of 10 ms.
func (f *testFleet) step() {
	f.now = f.now.Add(10 * time.Millisecond)
	f.finishRequests()
	f.deliverDue()
	for _, name := range f.names {
		c := f.cores[name]
		if c == nil {
			continue
		}
		c.Tick(f.now)
		f.collectStarts(name)
	}
	f.sendDue()
	f.measureIdleTime()
}

func (f *testFleet) finishRequests() {
	var remaining []runningRequest
	for _, r := range f.running {
		if r.endsAt.After(f.now) {
			remaining = append(remaining, r)
			continue
		}
		f.served[r.workspace] += r.cost
		f.finished++
		if c := f.cores[r.router]; c != nil {
			c.ReleaseSlot(f.now, r.slot, encoder.Release{Cost: uint32(r.cost)})
		}
	}
	f.running = remaining
	for _, n := range f.names {
		if f.cores[n] != nil {
			f.collectStarts(n)
		}
	}
}

// sendDue sends the outboxes that are due, with one call at a time on each link.
func (f *testFleet) sendDue() {
	for _, from := range f.names {
		c := f.cores[from]
		if c == nil {
			continue
		}
		sends := c.PendingSends()
		sort.Slice(sends, func(i, j int) bool { return sends[i].Peer < sends[j].Peer })
		for _, send := range sends {
			link := from + ">" + send.Peer
			if send.SendBy.After(f.now) || f.busyLinks[link] || f.cores[send.Peer] == nil {
				continue
			}
			f.busyLinks[link] = true
			f.enqueue(inFlightMessage{from: from, to: send.Peer, message: c.TakeMessage(f.now, send.Peer)})
		}
	}
}

func (f *testFleet) enqueue(m inFlightMessage) {
	m.deliverAt = f.now.Add(time.Duration(f.rng.Int64N(int64(f.delay)) + 1))
	f.inFlight = append(f.inFlight, m)
}

func (f *testFleet) deliverDue() {
	messages := f.inFlight
	f.inFlight = nil
	for _, m := range messages {
		if m.deliverAt.After(f.now) {
			f.inFlight = append(f.inFlight, m)
			continue
		}
		f.deliverMessage(m)
	}
}

func (f *testFleet) deliverMessage(m inFlightMessage) {
	to := f.cores[m.to]
	if to == nil {
		return
	}
	source := accountant.Source{Router: m.from, Incarnation: 1}
	lost := f.rng.Float64() < f.loss
	if m.isReply {
		f.busyLinks[m.to+">"+m.from] = false
		if lost {
			to.SendFailed(f.now, m.from, &encoder.Message{})
		} else {
			to.HandleReply(f.now, source, &m.message)
		}
		f.collectStarts(m.to)
		return
	}
	if lost {
		f.busyLinks[m.from+">"+m.to] = false
		f.cores[m.from].SendFailed(f.now, m.to, &m.message)
		f.collectStarts(m.from)
		return
	}
	reply := to.HandleMessage(f.now, source, &m.message)
	f.collectStarts(m.to)
	f.enqueue(inFlightMessage{from: m.to, to: m.from, message: reply, isReply: true})
}

// measureIdleTime adds up idle and total slot time while requests wait.
func (f *testFleet) measureIdleTime() {
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
		f.totalSlotTime += time.Duration(slots) * 10 * time.Millisecond
		f.idleSlotTime += time.Duration(max(0, slots-len(f.running))) * 10 * time.Millisecond
	}
}

// serviceOf returns the service that a workspace received, including that of running requests.
func (f *testFleet) serviceOf(workspace uint32) float64 {
	service := f.served[workspace]
	for _, r := range f.running {
		if r.workspace == workspace {
			service += min(r.cost, costPerSecond*f.now.Sub(r.started).Seconds())
		}
	}
	return service
}

// chargedTo returns the sum of what the owners charged a workspace.
func (f *testFleet) chargedTo(workspace uint32) float64 {
	sum := 0.0
	for _, c := range f.cores {
		sum += c.ledger.LocalTotal(accountant.Key{Pool: testPool, Workspace: workspace})
	}
	return sum * f.view.Weight(workspace)
}
