// Package scheduler queues the requests of one router and starts them on slots of backend servers.
//
// Each backend server is owned by one of the routers, which grants its slots. A router registers
// its queues with owners. An owner offers a free slot to a registered queue, and the router that
// holds the queue starts a request on the slot or releases it. Owners charge the accounts of the
// workspaces for the slots that they grant; see package accountant.
//
// Core makes the decisions and does no I/O: it receives time and events as arguments and returns
// starts, refusals and messages. Scheduler drives a Core with real time and real peers.
package scheduler

import (
	"maps"
	"slices"
	"time"

	"papayapaddle/internal/accountant"
	"papayapaddle/internal/encoder"
	"papayapaddle/internal/granter"
	"papayapaddle/internal/placer"
	"papayapaddle/internal/queuer"
)

// Intervals of the messages between routers.
const (
	// ReportInterval is the period of account reports.
	ReportInterval = 500 * time.Millisecond
	// HeartbeatInterval is the longest time between two messages to a peer that gets heartbeats.
	HeartbeatInterval = time.Second
	// MaxBatchDelay is how long a message that is not urgent may be delayed to be sent together
	// with others.
	MaxBatchDelay = 400 * time.Millisecond
	// TakeoverDelay is how long a new owner of a server waits for routers to announce the slots
	// that they hold before it grants any.
	TakeoverDelay = 500 * time.Millisecond
	// EscalationInterval is how long a queue waits before it registers with one more owner.
	EscalationInterval = 100 * time.Millisecond
)

const (
	// maxRegisteredOwners is the maximum number of owners that a queue registers with.
	maxRegisteredOwners = 8
	// maxExtraOwners is the maximum number of owners that a queue additionally registers with
	// because other owners have no idle slot.
	maxExtraOwners = 2
	// longQueueLength is the queue length from which a registration permits
	// longQueueOfferFactor times as many offers as there are waiting requests.
	longQueueLength      = 3
	longQueueOfferFactor = 4
	// heartbeatPeers is the number of peers that always get heartbeats. Other peers get them
	// only while they share a registration or slot with this router.
	heartbeatPeers = 8
	// renewalThreshold is the number of remaining offers below which a longer queue renews its
	// registration. The owner only needs to know whether more than one request waits.
	renewalThreshold = 2
	// maxRetryAfter is the longest Retry-After of a refused request.
	maxRetryAfter = 30 * time.Second
	// intervalSmoothing is the weight of the newest interval in the moving average of the
	// intervals between starts.
	intervalSmoothing = 0.2
)

// Key identifies a queue and an account.
type Key = queuer.Key

// Server is a backend server of the configuration.
type Server struct {
	Name             string
	Pool             uint32
	AvailabilityZone string
	Slots            int
	BurstSlots       int
	Leaving          bool
}

// View is an immutable snapshot of the fleet as one router knows it.
type View struct {
	// Routers are the reachable routers, including this one unless it is stopping.
	Routers []placer.Router
	Servers []Server
	// Weight returns the weight of a workspace, or 1 if the workspace is unknown.
	Weight func(workspace uint32) float64
}

// SlotID identifies a slot that is held by this router.
type SlotID struct {
	Server uint32
	// Ticket is the number of the grant at the owner of the server.
	Ticket uint32
}

// Start assigns a slot to a waiting request.
type Start struct {
	Request uint64
	Slot    SlotID
	Server  string
}

// Reason says why a request was refused.
type Reason string

// Reasons of refusals. A refused request did not run.
const (
	ReasonOverloaded Reason = "overloaded"
	ReasonDeadline   Reason = "deadline cannot be met"
	ReasonExpired    Reason = "deadline passed while waiting"
)

// Refusal says that a waiting request will not run.
type Refusal struct {
	Request    uint64
	Reason     Reason
	RetryAfter time.Duration
}

// Output holds the decisions that resulted from events.
type Output struct {
	Starts   []Start
	Refusals []Refusal
}

// peer is the state that this router keeps about another router.
type peer struct {
	// outbox is the message to the peer that is sent next.
	outbox encoder.Message
	// sendBy is when outbox must be sent, or zero if nothing needs to be sent.
	sendBy   time.Time
	lastSent time.Time
	// registered holds the registrations at the peer, with the offers that it may still make.
	registered map[Key]encoder.Registration
	// idleSlots holds the numbers of idle slots that the peer last reported, by pool.
	idleSlots map[uint32]int
	// sentIdle holds the numbers of idle slots that were last reported to the peer, by pool.
	sentIdle map[uint32]uint32
	down     bool
}

// heldSlot is a slot that is occupied by a request of this router.
type heldSlot struct {
	workspace uint32
	// charge is what the owner charged the workspace with the grant.
	charge uint32
}

// placedServer is a backend server with the name of the router that owns it.
type placedServer struct {
	Server
	owner string
}

// startStats measures how often requests of a queue start.
type startStats struct {
	lastStart time.Time
	// interval is the moving average of the time between two starts.
	interval time.Duration
}

// Core is the scheduling state of one router. Name, Incarnation and Limits must be set before
// use. It is not safe for concurrent use.
type Core struct {
	Name             string
	AvailabilityZone string
	Incarnation      uint64
	Limits           queuer.Limits
	// FirstTicket is the number after which this router's tickets are numbered.
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
	// limitedServers are the servers whose last answer to this router named a limit.
	limitedServers map[uint32]bool
	nextReport     time.Time
	output         Output
	initialized    bool
}

func (c *Core) init() {
	if c.initialized {
		return
	}
	c.initialized = true
	c.peers = map[string]*peer{}
	c.heldSlots = map[SlotID]*heldSlot{}
	c.startStats = map[Key]*startStats{}
	c.limitedServers = map[uint32]bool{}
	c.queues.Limits = c.Limits
	c.queues.Weight = c.weight
	c.granter.LastTicket = c.FirstTicket
	c.granter.Weight = c.weight
	c.granter.ZoneOf = func(router string) string { return c.zoneByRouter[router] }
	c.granter.Accounts = granter.AccountFuncs{
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

// SetView installs a new view, recomputes the owners of the servers, and announces held slots to
// the new owners of their servers.
func (c *Core) SetView(now time.Time, v View) {
	c.init()
	oldServers := c.servers
	if !slices.Equal(c.view.Routers, v.Routers) {
		c.home.SuspendLifts(now)
	}
	c.view = v
	c.zoneByRouter = map[string]string{}
	for _, r := range v.Routers {
		c.zoneByRouter[r.Name] = r.AvailabilityZone
	}
	c.assignOwners(now)
	maps.DeleteFunc(c.limitedServers, func(id uint32, _ bool) bool {
		_, known := c.servers[id]
		return !known
	})
	c.announceHeldSlots(now, oldServers)
	c.updateRegistrations(now)
	c.schedule(now)
}

// assignOwners computes the owner of each server and passes the servers that this router owns to
// the granter.
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
	c.ledger.OwnerCount = 1
	for _, owners := range c.ownersByPool {
		c.ledger.OwnerCount = max(c.ledger.OwnerCount, len(owners))
	}
	c.granter.SetServers(now, owned, now.Add(TakeoverDelay))
}

// announceHeldSlots announces the slots that this router holds to the new owners of their servers.
func (c *Core) announceHeldSlots(now time.Time, oldServers map[uint32]placedServer) {
	for id, h := range c.heldSlots {
		server, ok := c.servers[id.Server]
		if !ok || server.owner == "" || server.owner == oldServers[id.Server].owner {
			continue
		}
		held := encoder.HeldSlot{Server: id.Server, Ticket: id.Ticket, Workspace: h.workspace, Charge: h.charge}
		if server.owner == c.Name {
			c.granter.AddHeldSlot(now, c.Name, server.Pool, held)
			continue
		}
		owner := c.peer(server.owner)
		owner.outbox.HeldSlots = append(owner.outbox.HeldSlots, held)
		c.requestSend(owner, now)
	}
}

// updateRegistrations drops the registrations at routers that no longer own servers of the pool
// and updates those of all queues.
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

// Submit queues a request, or refuses it if it cannot meet its deadline.
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

// expectedWait estimates how long a new request of the queue would wait, based on the average
// interval between the queue's starts.
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

// Cancel removes a request whose caller no longer waits for it. It returns false if the request was
// already started or refused.
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
		p = &peer{registered: map[Key]encoder.Registration{}, idleSlots: map[uint32]int{}, sentIdle: map[uint32]uint32{}}
		c.peers[name] = p
	}
	return p
}

// requestSend requests that the peer's outbox is sent by the given time at the latest.
func (c *Core) requestSend(p *peer, sendBy time.Time) {
	if p.sendBy.IsZero() || sendBy.Before(p.sendBy) {
		p.sendBy = sendBy
	}
}

// schedule grants free slots and passes them to the routers whose requests wait for them.
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

// acceptOffer starts the next request of the queue on the offered slot, or releases the slot
// immediately if there is none.
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

// recordOffer decrements the number of offers that the owner may still make, as the owner does
// with each offer.
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

// recordStart updates the average interval between the queue's starts. An empty queue resets it.
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

// TakeOutput returns and clears the starts and refusals since the last call.
func (c *Core) TakeOutput() Output {
	out := c.output
	c.output = Output{}
	return out
}

// QueueLen returns the number of waiting requests and their total size in bytes.
func (c *Core) QueueLen() (requests, bytes int) { return c.queues.Len() }

// HeldSlots returns the number of slots that are occupied by requests of this router.
func (c *Core) HeldSlots() int { return len(c.heldSlots) }
