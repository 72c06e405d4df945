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
	// ReportInterval is the period of account reports.
	ReportInterval = 500 * time.Millisecond
	// HeartbeatInterval is how long a peer may go without a message.
	HeartbeatInterval = time.Second
	// MaxBatchDelay is how long a message that no one waits for may be held back to
	// be sent with others.
	MaxBatchDelay = 400 * time.Millisecond
	// TakeoverDelay is how long a new owner of a server waits for the holders of
	// its slots to announce themselves.
	TakeoverDelay = 500 * time.Millisecond
	// EscalationInterval is how long a queue waits before it registers with one more
	// owner.
	EscalationInterval = 100 * time.Millisecond
)

const (
	// maxRegisteredOwners bounds the owners that a queue registers with.
	maxRegisteredOwners = 8
	// maxExtraOwners bounds the owners that a queue registers with beyond the first
	// because others have no idle slot.
	maxExtraOwners = 2
	// longQueueLength is the length from which a registration permits longFactor times
	// as many offers as requests wait.
	longQueueLength      = 3
	longQueueOfferFactor = 4
	// heartbeatPeers is the number of peers that get a heartbeat without having a
	// registration or slot in common.
	heartbeatPeers = 8
	// renewalThreshold is the count at an owner below which a longer queue renews
	// its registration. The owner only needs to know that more than one waits.
	renewalThreshold = 2
	// maxRetryAfter bounds what a refused caller is told to wait.
	maxRetryAfter = 30 * time.Second
	// intervalSmoothing is the weight of the newest gap between two starts.
	intervalSmoothing = 0.2
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
	outbox   encoder.Message
	sendBy   time.Time
	lastSent time.Time
	// registered holds the registrations as the peer knows them.
	registered map[Key]encoder.Register
	// idleSlots holds the free slots that the peer told of.
	idleSlots map[uint32]int
	sentIdle  map[uint32]uint32
	down      bool
}

// heldSlot is a slot that a request of this router occupies.
type heldSlot struct {
	workspace uint32
	charge    uint32
}

type placedServer struct {
	Server
	owner string
}

// startStats is how fast a queue moves.
type startStats struct {
	lastStart time.Time
	interval  time.Duration
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

	view         View
	servers      map[uint32]placedServer
	ownersByPool map[uint32][]string
	zoneByRouter map[string]string
	queues       queuer.Queuer
	granter      granter.Granter
	ledger       accountant.Ledger
	home         accountant.Home
	peers        map[string]*peer
	heldSlots    map[SlotID]*heldSlot
	startStats   map[Key]*startStats
	nextReport   time.Time
	output       Output
	initialized  bool
}

func (c *Core) init() {
	if c.initialized {
		return
	}
	c.initialized = true
	c.peers = map[string]*peer{}
	c.heldSlots = map[SlotID]*heldSlot{}
	c.startStats = map[Key]*startStats{}
	c.queues.Limits = c.Limits
	c.queues.Weight = c.weight
	c.granter.LastTicket = c.FirstTicket
	c.granter.Weight = c.weight
	c.granter.ZoneOf = func(router string) string { return c.zoneByRouter[router] }
	c.granter.Accounts = granter.AccountFuncs{
		Value: func(k Key) float64 { return c.ledger.Value(accountant.Key(k)) },
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
	oldServers := c.servers
	if !slices.Equal(c.view.Routers, v.Routers) {
		c.home.HoldLifts(now)
	}
	c.view = v
	c.zoneByRouter = map[string]string{}
	for _, r := range v.Routers {
		c.zoneByRouter[r.Name] = r.AvailabilityZone
	}
	c.assignOwners(now)
	c.announceHeldSlots(now, oldServers)
	c.updateRegistrations(now)
	c.schedule(now)
}

// assignOwners computes the owner of each server and installs those owned here.
func (c *Core) assignOwners(now time.Time) {
	c.servers = map[uint32]placedServer{}
	c.ownersByPool = map[uint32][]string{}
	var owned []granter.Server
	for _, s := range c.view.Servers {
		id := placer.ID(s.Name)
		owner := placer.Owner(c.view.Routers, "server/"+s.Name, s.AvailabilityZone)
		c.servers[id] = placedServer{Server: s, owner: owner}
		if !slices.Contains(c.ownersByPool[s.Pool], owner) && owner != "" {
			c.ownersByPool[s.Pool] = append(c.ownersByPool[s.Pool], owner)
		}
		if owner == c.Name {
			owned = append(owned, granter.Server{
				ID: id, Pool: s.Pool, AvailabilityZone: s.AvailabilityZone, Slots: s.Slots,
				BurstSlots: s.BurstSlots, Leaving: s.Leaving,
			})
		}
	}
	c.ledger.Owners = 1
	for _, owners := range c.ownersByPool {
		c.ledger.Owners = max(c.ledger.Owners, len(owners))
	}
	c.granter.SetServers(now, owned, now.Add(TakeoverDelay))
}

// announceHeldSlots tells the new owner of a server which of its slots are held here.
func (c *Core) announceHeldSlots(now time.Time, oldServers map[uint32]placedServer) {
	for id, h := range c.heldSlots {
		server, ok := c.servers[id.Server]
		if !ok || server.owner == "" || server.owner == oldServers[id.Server].owner {
			continue
		}
		held := encoder.Held{Server: id.Server, Ticket: id.Ticket, Workspace: h.workspace, Charge: h.charge}
		if server.owner == c.Name {
			c.granter.AddHeldSlot(now, c.Name, server.Pool, held)
			continue
		}
		owner := c.peer(server.owner)
		owner.outbox.Held = append(owner.outbox.Held, held)
		c.requestSend(owner, now)
	}
}

// updateRegistrations drops registrations with routers that own nothing of the pool any
// more and registers waiting queues anew.
func (c *Core) updateRegistrations(now time.Time) {
	for name, p := range c.peers {
		for k := range p.registered {
			if !slices.Contains(c.ownersByPool[k.Pool], name) {
				delete(p.registered, k)
			}
		}
	}
	for _, k := range c.queues.Keys() {
		c.updateRegistration(now, k)
	}
}

// Submit queues a request, or refuses it when it cannot meet its deadline.
func (c *Core) Submit(now time.Time, it *queuer.Item) {
	c.init()
	if wait := c.expectedWait(it.Key, it.Urgency); !now.Add(wait).Before(it.Deadline) {
		c.refuse(it, ReasonDeadline, wait)
		return
	}
	for _, shed := range c.queues.Push(it) {
		c.refuse(shed, ReasonOverloaded, c.expectedWait(shed.Key, shed.Urgency))
	}
	c.updateRegistration(now, it.Key)
	c.schedule(now)
}

// expectedWait estimates how long a new request of the queue would wait, from
// the gap between the queue's latest starts.
func (c *Core) expectedWait(k Key, urgency uint8) time.Duration {
	stats := c.startStats[k]
	if stats == nil {
		return 0
	}
	return time.Duration(c.queues.CountAhead(k, urgency)) * stats.interval
}

func (c *Core) refuse(it *queuer.Item, reason Reason, wait time.Duration) {
	wait = min(max(wait, time.Second), maxRetryAfter)
	c.output.Refusals = append(c.output.Refusals, Refusal{Request: it.ID, Reason: reason, RetryAfter: wait})
}

// Cancel removes a request whose caller has gone. It says false when the
// request was started or refused already.
func (c *Core) Cancel(now time.Time, k Key, request uint64) bool {
	ok := c.queues.Remove(k, request)
	if ok {
		c.updateRegistration(now, k)
	}
	return ok
}

func (c *Core) peer(name string) *peer {
	p := c.peers[name]
	if p == nil {
		p = &peer{registered: map[Key]encoder.Register{}, idleSlots: map[uint32]int{}, sentIdle: map[uint32]uint32{}}
		c.peers[name] = p
	}
	return p
}

// requestSend asks for the peer's message to be sent by the given time.
func (c *Core) requestSend(p *peer, sendBy time.Time) {
	if p.sendBy.IsZero() || sendBy.Before(p.sendBy) {
		p.sendBy = sendBy
	}
}

// schedule grants what can be granted and hands the grants over.
func (c *Core) schedule(now time.Time) {
	for _, g := range c.granter.Schedule(now) {
		if g.Router == c.Name {
			c.acceptOffer(now, c.Name, g.Offer)
			continue
		}
		p := c.peer(g.Router)
		p.outbox.Offers = append(p.outbox.Offers, g.Offer)
		c.requestSend(p, now)
	}
}

// acceptOffer starts the best waiting request on an offered slot, or hands the slot
// back at once.
func (c *Core) acceptOffer(now time.Time, from string, o encoder.Offer) {
	server, known := c.servers[o.Server]
	k := Key{Pool: server.Pool, Workspace: o.Workspace}
	c.recordOffer(from, k)
	var it *queuer.Item
	if known && !server.Leaving {
		it = c.queues.Pop(now, k)
	}
	if it == nil {
		c.releaseToOwner(now, from, server.Pool, encoder.Release{Ticket: o.Ticket})
		return
	}
	id := SlotID{Server: o.Server, Ticket: o.Ticket}
	c.heldSlots[id] = &heldSlot{workspace: o.Workspace, charge: o.Charge}
	c.recordStart(now, k)
	c.output.Starts = append(c.output.Starts, Start{Request: it.ID, Slot: id, Server: server.Name})
	c.updateRegistration(now, k)
}

// recordOffer follows the owner's count, which falls with each offer.
func (c *Core) recordOffer(from string, k Key) {
	if from == c.Name {
		return
	}
	p := c.peer(from)
	registration, known := p.registered[k]
	if !known {
		return
	}
	registration.Count--
	p.registered[k] = registration
	if registration.Count == 0 {
		delete(p.registered, k)
	}
}

func (c *Core) recordStart(now time.Time, k Key) {
	stats := c.startStats[k]
	if stats == nil {
		stats = &startStats{}
		c.startStats[k] = stats
	}
	if !stats.lastStart.IsZero() && c.queues.CountAhead(k, 0) > 0 {
		interval := now.Sub(stats.lastStart)
		if stats.interval == 0 {
			stats.interval = interval
		}
		stats.interval += time.Duration(intervalSmoothing * float64(interval-stats.interval))
	}
	if c.queues.CountAhead(k, 0) == 0 {
		stats.interval = 0
	}
	stats.lastStart = now
}

// releaseToOwner hands a slot back to an owner.
func (c *Core) releaseToOwner(now time.Time, owner string, pool uint32, r encoder.Release) {
	if owner == c.Name {
		c.granter.Release(now, c.Name, r)
		return
	}
	p := c.peer(owner)
	p.outbox.Releases = append(p.outbox.Releases, r)
	sendBy := now
	if p.idleSlots[pool] > 0 {
		sendBy = now.Add(MaxBatchDelay)
	}
	c.requestSend(p, sendBy)
}

// ReleaseSlot settles a slot. A cost of 0 says that the server did not run anything.
func (c *Core) ReleaseSlot(now time.Time, id SlotID, r encoder.Release) {
	if c.heldSlots[id] == nil {
		return
	}
	delete(c.heldSlots, id)
	r.Ticket = id.Ticket
	if server, ok := c.servers[id.Server]; ok && server.owner != "" {
		c.releaseToOwner(now, server.owner, server.Pool, r)
	}
	c.schedule(now)
}

// TakeOutput returns and clears what came of the events since the last call.
func (c *Core) TakeOutput() Output {
	out := c.output
	c.output = Output{}
	return out
}

// QueueLen returns the number of waiting requests and their bytes.
func (c *Core) QueueLen() (requests, bytes int) { return c.queues.Len() }

// HeldSlots returns the number of slots that requests of this router occupy.
func (c *Core) HeldSlots() int { return len(c.heldSlots) }
