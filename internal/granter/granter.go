// Package granter decides, for the backend servers that a router owns, which
// waiting workspace gets the next free slot. It binds late: a slot is granted
// when it is free, to the registered workspace with the least weighted service.
//
// The package does no I/O and reads no clock.
package granter

import (
	"cmp"
	"slices"
	"time"

	"papayapaddle/internal/encoder"
	"papayapaddle/internal/queuer"
)

const (
	// tokenIntervalTarget is the stated bound on the time between tokens.
	tokenIntervalTarget = 71 * time.Millisecond
	// firstTokenTarget is the stated bound on the time to the first token.
	firstTokenTarget = 550 * time.Millisecond
	// limitAdjustInterval is the least time between two changes of a server's limit.
	limitAdjustInterval = time.Second
	// limitDecreaseFactor and speedup change a server's limit: multiplicative decrease,
	// additive increase.
	limitDecreaseFactor = 0.9
	limitIncrease       = 0.5
	// chargeAhead is how much service in the future a running request is charged for.
	// Charging all of it when it is granted makes the accounts differ from the
	// service by what is in flight and by the errors of the estimates; charging
	// nothing ahead would give every free slot to one workspace until its first
	// tokens are counted. docs/DESIGN.md has the figures.
	chargeAhead = time.Second
	// rateDecay is the weight that past requests keep in a pool's rate.
	rateDecay = 0.95
	// failuresToSuspend is how many failures in a row suspend a server.
	failuresToSuspend = 3
	// minSuspension and maxSuspend bound how long a failing server gets no work.
	minSuspension = time.Second
	maxSuspension = 10 * time.Second
)

// Account names the weighted service of a workspace in a pool.
type Account = queuer.Key

// AccountFuncs is what the granter needs of the accounts. All fields must be set.
type AccountFuncs struct {
	// Value returns the fleet-wide weighted service.
	Value func(Account) float64
	// Charge adds cost, which may be negative, to the account.
	Charge func(now time.Time, k Account, cost float64)
}

// Registration is a workspace's work that waits at one router.
type Registration struct {
	Count   int
	Urgency uint8
	Arrived time.Time
	Cost    float64
}

// ticketKey names a held slot. Tickets of different owners may meet at one
// server after a change of owner, so the holder is part of the name.
type ticketKey struct {
	router string
	ticket uint32
}

type heldSlot struct {
	account Account
	// charged is what the account was charged so far.
	charged float64
	// grantCharge is the charge at the grant, which the router knows.
	grantCharge float64
	// estimatedCost is the expected cost of the whole request.
	estimatedCost float64
	grantedAt     time.Time
	// inherited holds were granted by an earlier owner.
	inherited bool
}

type server struct {
	id                  uint32
	pool                uint32
	zone                string
	slots               int
	burstSlots          int
	limit               float64
	heldSlots           map[ticketKey]heldSlot
	leaving             bool
	readyAt             time.Time
	nextAdjust          time.Time
	consecutiveFailures int
	// suspendedUntil is when a failing server is tried again.
	suspendedUntil time.Time
	suspension     time.Duration
}

// Server describes an owned backend server.
type Server struct {
	ID               uint32
	Pool             uint32
	AvailabilityZone string
	Slots            int
	// BurstSlots are granted beyond Slots to workspaces that hold less than
	// another.
	BurstSlots int
	// Leaving servers are granted no new work.
	Leaving bool
}

// Grant is a slot given to a router for a workspace.
type Grant struct {
	Router string
	Offer  encoder.Offer
}

// Granter holds the state of the owned servers. The zero value with Accounts set
// owns nothing.
type Granter struct {
	Accounts AccountFuncs
	// Weight returns the weight of a workspace; it must be set.
	Weight func(workspace uint32) float64
	// ZoneOf returns the availability zone of a router; nil knows none.
	ZoneOf func(router string) string
	// LastTicket is the last ticket minted. An owner starts at a random number, so
	// that a ticket rarely meets another owner's.
	LastTicket uint32

	servers            map[uint32]*server
	registrations      map[Account]map[string]Registration
	serviceRates       map[uint32]serviceRate
	earlyAnnouncements map[ticketKey]earlyAnnouncement
}

// serviceRate is the cost that a slot of a pool serves in a time, over past requests.
type serviceRate struct {
	cost    float64
	seconds float64
}

func (r serviceRate) perSecond() float64 {
	if r.seconds <= 0 {
		return 0
	}
	return r.cost / r.seconds
}

// SetServers installs the owned servers. One that is new here is granted past
// what its holders announce only from readyAt on.
func (g *Granter) SetServers(now time.Time, servers []Server, readyAt time.Time) {
	old := g.servers
	g.revertAccruedCharges(now, servers)
	g.servers = make(map[uint32]*server, len(servers))
	for _, d := range servers {
		s := old[d.ID]
		if s == nil {
			s = &server{id: d.ID, limit: float64(d.Slots), heldSlots: map[ticketKey]heldSlot{}, readyAt: readyAt}
		}
		if s.slots != d.Slots {
			s.limit = float64(d.Slots)
		}
		s.pool = d.Pool
		s.zone = d.AvailabilityZone
		s.slots = d.Slots
		s.burstSlots = d.BurstSlots
		s.leaving = d.Leaving
		g.servers[d.ID] = s
	}
	g.applyEarlyAnnouncements(now)
}

// revertAccruedCharges takes back what was accrued for the slots of servers that are not
// owned any more: their new owner goes on from the charge at the grant.
func (g *Granter) revertAccruedCharges(now time.Time, servers []Server) {
	for id, s := range g.servers {
		if slices.ContainsFunc(servers, func(d Server) bool { return d.ID == id }) {
			continue
		}
		for _, h := range s.heldSlots {
			g.Accounts.Charge(now, h.account, h.grantCharge-h.charged)
		}
	}
}

// Register notes what waits at a router; a count of 0 withdraws it.
func (g *Granter) Register(router string, k Account, r Registration) {
	if r.Count == 0 {
		delete(g.registrations[k], router)
		if len(g.registrations[k]) == 0 {
			delete(g.registrations, k)
		}
		return
	}
	if g.registrations == nil {
		g.registrations = map[Account]map[string]Registration{}
	}
	if g.registrations[k] == nil {
		g.registrations[k] = map[string]Registration{}
	}
	g.registrations[k][router] = r
}

// WaitingAccounts returns the accounts that wait here.
func (g *Granter) WaitingAccounts() []Account {
	keys := make([]Account, 0, len(g.registrations))
	for k := range g.registrations {
		keys = append(keys, k)
	}
	return keys
}

// Backlogged says whether the account waits here.
func (g *Granter) Backlogged(k Account) bool { return len(g.registrations[k]) > 0 }

// Floor returns the least value among the other accounts that wait for the
// pool, or 0 if none does.
func (g *Granter) Floor(k Account) float64 {
	floor, found := 0.0, false
	for other := range g.registrations {
		if other.Pool != k.Pool || other == k {
			continue
		}
		if v := g.Accounts.Value(other); !found || v < floor {
			floor, found = v, true
		}
	}
	return floor
}

// Release settles a slot. A repeated release changes nothing.
func (g *Granter) Release(now time.Time, router string, r encoder.Release) {
	k := ticketKey{router: router, ticket: r.Ticket}
	s, h, ok := g.findHeldSlot(k)
	if !ok {
		if e, early := g.earlyAnnouncements[k]; early {
			delete(g.earlyAnnouncements, k)
			g.Accounts.Charge(now, e.slot.account, float64(r.Cost)-e.slot.charged)
		}
		return
	}
	delete(s.heldSlots, k)
	g.Accounts.Charge(now, h.account, float64(r.Cost)-h.charged)
	if r.Cost == 0 && !r.Failed {
		return
	}
	if !r.Failed && !h.inherited {
		g.recordServiceRate(s.pool, float64(r.Cost), now.Sub(h.grantedAt))
	}
	s.recordOutcome(now, r)
}

// findHeldSlot returns the server of a held slot.
func (g *Granter) findHeldSlot(k ticketKey) (*server, heldSlot, bool) {
	for _, s := range g.servers {
		if h, ok := s.heldSlots[k]; ok {
			return s, h, true
		}
	}
	return nil, heldSlot{}, false
}

func (g *Granter) recordServiceRate(pool uint32, cost float64, duration time.Duration) {
	if g.serviceRates == nil {
		g.serviceRates = map[uint32]serviceRate{}
	}
	r := g.serviceRates[pool]
	r.cost = r.cost*rateDecay + cost
	r.seconds = r.seconds*rateDecay + duration.Seconds()
	g.serviceRates[pool] = r
}

// AccrueCharges charges running requests for the time that they have held their slots,
// as no message tells their cost before they end. A request that runs longer
// than its estimate says is charged on.
func (g *Granter) AccrueCharges(now time.Time) {
	for _, s := range g.servers {
		costPerSecond := g.serviceRates[s.pool].perSecond()
		for k, h := range s.heldSlots {
			due := h.chargeDue(now, costPerSecond)
			if due <= h.charged {
				continue
			}
			g.Accounts.Charge(now, h.account, due-h.charged)
			h.charged = due
			s.heldSlots[k] = h
		}
	}
}

// chargeDue is what a running request should be charged now: what it was served, and
// what it will be served within the time ahead. Without a known rate it is the
// whole estimate.
func (h heldSlot) chargeDue(now time.Time, costPerSecond float64) float64 {
	if costPerSecond == 0 {
		return h.estimatedCost
	}
	served := costPerSecond * now.Sub(h.grantedAt).Seconds()
	return max(served, min(h.estimatedCost, served+costPerSecond*chargeAhead.Seconds()))
}

// recordOutcome adapts the server's limit and suspends one that keeps failing.
func (s *server) recordOutcome(now time.Time, r encoder.Release) {
	if r.Failed {
		s.consecutiveFailures++
		if s.consecutiveFailures >= failuresToSuspend {
			s.suspension = min(max(s.suspension*2, minSuspension), maxSuspension)
			s.suspendedUntil = now.Add(s.suspension)
		}
		return
	}
	s.consecutiveFailures = 0
	s.suspension = 0
	if now.Before(s.nextAdjust) {
		return
	}
	firstToken := time.Duration(r.FirstMillis) * time.Millisecond
	tokenInterval := time.Duration(r.BetweenMillis) * time.Millisecond
	switch {
	case tokenInterval > tokenIntervalTarget || firstToken > firstTokenTarget:
		s.limit = max(1, s.limit*limitDecreaseFactor)
	case s.limit < float64(s.slots):
		s.limit = min(float64(s.slots), s.limit+limitIncrease)
	default:
		return
	}
	s.nextAdjust = now.Add(limitAdjustInterval)
}

// freeSlots returns how many slots the server could grant now; burst is 1 to count
// its burst slots in.
func (s *server) freeSlots(now time.Time, includeBurst int) int {
	if s.leaving || now.Before(s.readyAt) || now.Before(s.suspendedUntil) {
		return 0
	}
	n := int(s.limit) + includeBurst*s.burstSlots - len(s.heldSlots)
	if s.consecutiveFailures >= failuresToSuspend {
		// After a suspension one request at a time finds out whether the server
		// works again.
		n = min(n, 1-len(s.heldSlots))
	}
	return max(0, n)
}

// FreeSlots returns the free slots of a pool's servers.
func (g *Granter) FreeSlots(now time.Time, pool uint32) int {
	n := 0
	for _, s := range g.servers {
		if s.pool == pool {
			n += s.freeSlots(now, 0)
		}
	}
	return n
}

// ServerState is one owned server in a dump.
type ServerState struct {
	Server         uint32    `json:"server" yaml:"server"`
	Slots          int       `json:"slots" yaml:"slots"`
	Limit          float64   `json:"limit" yaml:"limit"`
	Held           int       `json:"held" yaml:"held"`
	Leaving        bool      `json:"leaving" yaml:"leaving"`
	SuspendedUntil time.Time `json:"suspended-till,omitzero" yaml:"suspended-till,omitempty"`
}

// Dump lists the owned servers by identifier.
func (g *Granter) Dump() []ServerState {
	var out []ServerState
	for _, s := range g.servers {
		out = append(out, ServerState{
			Server: s.id, Slots: s.slots, Limit: s.limit, Held: len(s.heldSlots),
			Leaving: s.leaving, SuspendedUntil: s.suspendedUntil,
		})
	}
	slices.SortFunc(out, func(a, b ServerState) int { return cmp.Compare(a.Server, b.Server) })
	return out
}
