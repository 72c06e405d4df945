// Package scheduler joins the decisions of one router: which requests wait,
// with which owners they are registered, what is granted for the servers owned
// here, and what is said to other routers about it.
//
// Core holds the decisions and does no I/O: time and events come in as
// arguments, and starts, refusals and messages come out. Scheduler drives a
// Core with real time and real peers.
package scheduler

import (
	"slices"
	"time"

	"papayapaddle/internal/accountant"
	"papayapaddle/internal/encoder"
	"papayapaddle/internal/granter"
	"papayapaddle/internal/placer"
	"papayapaddle/internal/queuer"
)

// The periods of the exchange.
const (
	// ReportEvery is the period of account reports.
	ReportEvery = 500 * time.Millisecond
	// HeartbeatEvery is how long a peer may go without a message.
	HeartbeatEvery = time.Second
	// LazyFlush is how long a message that no one waits for may be held back to
	// be sent with others.
	LazyFlush = 400 * time.Millisecond
	// TakeoverWait is how long a new owner of a server waits for the holders of
	// its slots to announce themselves.
	TakeoverWait = 500 * time.Millisecond
	// EscalateEvery is how long a queue waits before it registers with one more
	// owner.
	EscalateEvery = 100 * time.Millisecond
)

const (
	// maxTargets bounds the owners that a queue registers with.
	maxTargets = 8
	// maxExtra bounds the owners that a queue registers with beyond the first
	// because others have no idle slot.
	maxExtra = 2
	// longQueue is the length from which a registration permits longFactor times
	// as many offers as requests wait.
	longQueue  = 3
	longFactor = 4
	// neighbours is the number of peers that get a heartbeat without having a
	// registration or slot in common.
	neighbours = 8
	// refreshBelow is the count at an owner below which a longer queue renews
	// its registration. The owner only needs to know that more than one waits.
	refreshBelow = 2
	// maxRetryAfter bounds what a refused caller is told to wait.
	maxRetryAfter = 30 * time.Second
	// gapSmoothing is the weight of the newest gap between two starts.
	gapSmoothing = 0.2
)

// Key names a queue and an account.
type Key = queuer.Key

// Server is a declared backend server as the scheduler sees it.
type Server struct {
	Name             string
	Pool             uint32
	AvailabilityZone string
	Slots            int
	BurstSlots       int
	Leaving          bool
}

// View is what a router knows of the fleet. It is replaced whole.
type View struct {
	// Routers are the reachable routers, this one included unless it stops.
	Routers []placer.Router
	Servers []Server
	// Weight returns a workspace's weight, 1 if it is unknown.
	Weight func(workspace uint32) float64
}

// SlotID names a held slot at this router.
type SlotID struct {
	Server uint32
	Ticket uint32
}

// Start tells that a waiting request got a slot.
type Start struct {
	Request uint64
	Slot    SlotID
	Server  string
}

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal; in each the request did not run.
const (
	ReasonOverloaded Reason = "overloaded"
	ReasonDeadline   Reason = "deadline cannot be met"
	ReasonExpired    Reason = "deadline passed while waiting"
)

// Refusal tells that a waiting request will not run.
type Refusal struct {
	Request    uint64
	Reason     Reason
	RetryAfter time.Duration
}

// Output is what came of one event.
type Output struct {
	Starts   []Start
	Refusals []Refusal
}

// peer is what this router keeps of another one.
type peer struct {
	out     encoder.Message
	flushAt time.Time
	sentAt  time.Time
	// told holds the registrations as the peer knows them.
	told map[Key]encoder.Register
	// idle holds the free slots that the peer told of.
	idle     map[uint32]int
	toldIdle map[uint32]uint32
	down     bool
}

// localHold is a slot that a request of this router occupies.
type localHold struct {
	workspace uint32
	charge    uint32
}

type serverPlace struct {
	Server
	owner string
}

// pace is how fast a queue moves.
type pace struct {
	lastStart time.Time
	gap       time.Duration
}

// Core is the state of one router's decisions. Name, Incarnation and Limits
// must be set before use. It is not safe for concurrent use.
type Core struct {
	Name             string
	AvailabilityZone string
	Incarnation      uint64
	Limits           queuer.Limits
	// FirstTicket is where the numbering of this owner's tickets starts.
	FirstTicket uint32

	view     View
	places   map[uint32]serverPlace
	owners   map[uint32][]string
	zones    map[string]string
	queue    queuer.Queuer
	owner    granter.Owner
	ledger   accountant.Ledger
	home     accountant.Home
	peers    map[string]*peer
	holds    map[SlotID]*localHold
	paces    map[Key]*pace
	reportAt time.Time
	out      Output
	ready    bool
}

func (c *Core) init() {
	if c.ready {
		return
	}
	c.ready = true
	c.peers = map[string]*peer{}
	c.holds = map[SlotID]*localHold{}
	c.paces = map[Key]*pace{}
	c.queue.Limits = c.Limits
	c.queue.Weight = c.weight
	c.owner.Ticket = c.FirstTicket
	c.owner.Weight = c.weight
	c.owner.ZoneOf = func(router string) string { return c.zones[router] }
	c.owner.Accounts = granter.Accounts{
		Value: func(k Key) float64 { return c.ledger.WeightedService(accountant.Key(k)) },
		Charge: func(now time.Time, k Key, cost float64) {
			c.ledger.Charge(now, accountant.Key(k), cost/c.weight(k.Workspace))
		},
	}
}

func (c *Core) weight(workspace uint32) float64 {
	if c.view.Weight == nil {
		return 1
	}
	return c.view.Weight(workspace)
}

// SetView installs a new view, moves ownerships, and announces held slots to
// their servers' new owners.
func (c *Core) SetView(now time.Time, v View) {
	c.init()
	old := c.places
	if !slices.Equal(c.view.Routers, v.Routers) {
		c.home.SuspendLifts(now)
	}
	c.view = v
	c.zones = map[string]string{}
	for _, r := range v.Routers {
		c.zones[r.Name] = r.AvailabilityZone
	}
	c.place(now)
	c.announce(now, old)
	c.retarget(now)
	c.schedule(now)
}

// place computes the owner of each server and installs those owned here.
func (c *Core) place(now time.Time) {
	c.places = map[uint32]serverPlace{}
	c.owners = map[uint32][]string{}
	var owned []granter.Server
	for _, s := range c.view.Servers {
		id := placer.ID(s.Name)
		owner := placer.Owner(c.view.Routers, "server/"+s.Name, s.AvailabilityZone)
		c.places[id] = serverPlace{Server: s, owner: owner}
		if !slices.Contains(c.owners[s.Pool], owner) && owner != "" {
			c.owners[s.Pool] = append(c.owners[s.Pool], owner)
		}
		if owner == c.Name {
			owned = append(owned, granter.Server{
				ID: id, Pool: s.Pool, AvailabilityZone: s.AvailabilityZone, Slots: s.Slots,
				BurstSlots: s.BurstSlots, Leaving: s.Leaving,
			})
		}
	}
	c.ledger.OwnerCount = 1
	for _, owners := range c.owners {
		c.ledger.OwnerCount = max(c.ledger.OwnerCount, len(owners))
	}
	c.owner.SetServers(now, owned, now.Add(TakeoverWait))
}

// announce tells the new owner of a server which of its slots are held here.
func (c *Core) announce(now time.Time, old map[uint32]serverPlace) {
	for id, h := range c.holds {
		p, ok := c.places[id.Server]
		if !ok || p.owner == "" || p.owner == old[id.Server].owner {
			continue
		}
		held := encoder.Held{Server: id.Server, Ticket: id.Ticket, Workspace: h.workspace, Charge: h.charge}
		if p.owner == c.Name {
			c.owner.Hold(now, c.Name, p.Pool, held)
			continue
		}
		out := c.peer(p.owner)
		out.out.Held = append(out.out.Held, held)
		c.flush(out, now)
	}
}

// retarget drops registrations with routers that own nothing of the pool any
// more and registers waiting queues anew.
func (c *Core) retarget(now time.Time) {
	for name, p := range c.peers {
		for k := range p.told {
			if !slices.Contains(c.owners[k.Pool], name) {
				delete(p.told, k)
			}
		}
	}
	for _, k := range c.queue.Keys() {
		c.register(now, k)
	}
}

// Submit queues a request, or refuses it when it cannot meet its deadline.
func (c *Core) Submit(now time.Time, it *queuer.Item) {
	c.init()
	if wait := c.expectedWait(it.Key, it.Urgency); !now.Add(wait).Before(it.Deadline) {
		c.refuse(it, ReasonDeadline, wait)
		return
	}
	for _, v := range c.queue.Push(it) {
		c.refuse(v, ReasonOverloaded, c.expectedWait(v.Key, v.Urgency))
	}
	c.register(now, it.Key)
	c.schedule(now)
}

// expectedWait estimates how long a new request of the queue would wait, from
// the gap between the queue's latest starts.
func (c *Core) expectedWait(k Key, urgency uint8) time.Duration {
	p := c.paces[k]
	if p == nil {
		return 0
	}
	return time.Duration(c.queue.Ahead(k, urgency)) * p.gap
}

func (c *Core) refuse(it *queuer.Item, reason Reason, wait time.Duration) {
	wait = min(max(wait, time.Second), maxRetryAfter)
	c.out.Refusals = append(c.out.Refusals, Refusal{Request: it.ID, Reason: reason, RetryAfter: wait})
}

// Cancel removes a request whose caller has gone. It says false when the
// request was started or refused already.
func (c *Core) Cancel(now time.Time, k Key, request uint64) bool {
	ok := c.queue.Remove(k, request)
	if ok {
		c.register(now, k)
	}
	return ok
}

func (c *Core) peer(name string) *peer {
	p := c.peers[name]
	if p == nil {
		p = &peer{told: map[Key]encoder.Register{}, idle: map[uint32]int{}, toldIdle: map[uint32]uint32{}}
		c.peers[name] = p
	}
	return p
}

// flush asks for the peer's message to be sent by the given time.
func (c *Core) flush(p *peer, by time.Time) {
	if p.flushAt.IsZero() || by.Before(p.flushAt) {
		p.flushAt = by
	}
}

// schedule grants what can be granted and hands the grants over.
func (c *Core) schedule(now time.Time) {
	for _, g := range c.owner.Schedule(now) {
		if g.Router == c.Name {
			c.take(now, c.Name, g.Offer)
			continue
		}
		p := c.peer(g.Router)
		p.out.Offers = append(p.out.Offers, g.Offer)
		c.flush(p, now)
	}
}

// take starts the best waiting request on an offered slot, or hands the slot
// back at once.
func (c *Core) take(now time.Time, from string, o encoder.Offer) {
	place, known := c.places[o.Server]
	k := Key{Pool: place.Pool, Workspace: o.Workspace}
	c.noteTaken(from, k)
	var it *queuer.Item
	if known && !place.Leaving {
		it = c.queue.Pop(now, k)
	}
	if it == nil {
		c.release(now, from, place.Pool, encoder.Release{Ticket: o.Ticket})
		return
	}
	id := SlotID{Server: o.Server, Ticket: o.Ticket}
	c.holds[id] = &localHold{workspace: o.Workspace, charge: o.Charge}
	c.notePace(now, k)
	c.out.Starts = append(c.out.Starts, Start{Request: it.ID, Slot: id, Server: place.Name})
	c.register(now, k)
}

// noteTaken follows the owner's count, which falls with each offer.
func (c *Core) noteTaken(from string, k Key) {
	if from == c.Name {
		return
	}
	p := c.peer(from)
	told, known := p.told[k]
	if !known {
		return
	}
	told.Count--
	p.told[k] = told
	if told.Count == 0 {
		delete(p.told, k)
	}
}

func (c *Core) notePace(now time.Time, k Key) {
	p := c.paces[k]
	if p == nil {
		p = &pace{}
		c.paces[k] = p
	}
	if !p.lastStart.IsZero() && c.queue.Ahead(k, 0) > 0 {
		gap := now.Sub(p.lastStart)
		if p.gap == 0 {
			p.gap = gap
		}
		p.gap += time.Duration(gapSmoothing * float64(gap-p.gap))
	}
	if c.queue.Ahead(k, 0) == 0 {
		p.gap = 0
	}
	p.lastStart = now
}

// release hands a slot back to an owner.
func (c *Core) release(now time.Time, owner string, pool uint32, r encoder.Release) {
	if owner == c.Name {
		c.owner.Release(now, c.Name, r)
		return
	}
	p := c.peer(owner)
	p.out.Releases = append(p.out.Releases, r)
	by := now
	if p.idle[pool] > 0 {
		by = now.Add(LazyFlush)
	}
	c.flush(p, by)
}

// Finish settles a slot. A cost of 0 says that the server did not run anything.
func (c *Core) Finish(now time.Time, id SlotID, r encoder.Release) {
	if c.holds[id] == nil {
		return
	}
	delete(c.holds, id)
	r.Ticket = id.Ticket
	if place, ok := c.places[id.Server]; ok && place.owner != "" {
		c.release(now, place.owner, place.Pool, r)
	}
	c.schedule(now)
}

// Take returns and clears what came of the events since the last call.
func (c *Core) Take() Output {
	out := c.out
	c.out = Output{}
	return out
}

// QueueLen returns the number of waiting requests and their bytes.
func (c *Core) QueueLen() (requests, bytes int) { return c.queue.Len() }

// Held returns the number of slots that requests of this router occupy.
func (c *Core) Held() int { return len(c.holds) }
