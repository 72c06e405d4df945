// Package granter grants the slots of the backend servers that a router owns. It uses late binding:
// only when a slot is free is it granted, to the waiting workspace that has received the least
// weighted service.
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
	// tokenIntervalTarget is the required maximum of the time between tokens. A server that
	// exceeds it gets a lower limit.
	tokenIntervalTarget = 71 * time.Millisecond
	// firstTokenTarget is the required maximum of the time to the first token, with the same
	// effect.
	firstTokenTarget = 550 * time.Millisecond
	// limitAdjustInterval is the shortest time between two changes of a server's limit.
	limitAdjustInterval = time.Second
	// limitDecreaseFactor and limitIncrease adjust a server's limit by additive increase and
	// multiplicative decrease.
	limitDecreaseFactor = 0.9
	limitIncrease       = 0.5
	// chargeAhead is how far into the future a running request is charged for service. If the
	// whole request were charged when its slot is granted, the accounts would differ from the
	// actual service by the requests in flight and by estimation errors. If nothing were
	// charged ahead, one workspace would get every free slot until its first tokens are
	// counted. docs/DESIGN.md has the measurements.
	chargeAhead = time.Second
	// rateDecay is the factor by which each finished request reduces the weight of earlier
	// ones in a pool's service rate.
	rateDecay = 0.95
	// failuresToSuspend is the number of consecutive failures that suspend a server.
	failuresToSuspend = 3
	// minSuspension and maxSuspension limit the time for which a failing server is suspended.
	minSuspension = time.Second
	maxSuspension = 10 * time.Second
)

// Account identifies the account of a workspace in a pool, which counts its weighted service.
type Account = queuer.Key

// AccountFuncs gives the granter access to the accounts. All fields must be set.
type AccountFuncs struct {
	// Value returns the fleet-wide weighted service of an account.
	Value func(Account) float64
	// Charge adds a cost, which may be negative, to an account.
	Charge func(now time.Time, k Account, cost float64)
}

// Registration describes the requests of one account that wait at one router. All fields but
// Count describe the request that starts next.
type Registration struct {
	// Count is the number of slots that may still be offered to the router.
	Count   int
	Urgency uint8
	Arrived time.Time
	// Cost is the estimated cost.
	Cost float64
}

// ticketKey identifies a held slot. It includes the router, because after a change of owner a
// server's slots may have equal tickets from different owners.
type ticketKey struct {
	router string
	ticket uint32
}

// heldSlot is a slot that was granted to a router and not released.
type heldSlot struct {
	account Account
	// charged is the total that the account was charged so far.
	charged float64
	// grantCharge is the part that was charged with the grant, which the router knows.
	grantCharge float64
	// estimatedCost is the estimated cost of the whole request.
	estimatedCost float64
	grantedAt     time.Time
	// inherited says that an earlier owner of the server granted the slot.
	inherited bool
}

// server is the state of an owned backend server.
type server struct {
	id         uint32
	pool       uint32
	zone       string
	slots      int
	burstSlots int
	// limit is the adaptive number of slots that may be held, without burst slots.
	limit     float64
	heldSlots map[ticketKey]heldSlot
	leaving   bool
	// readyAt is when the server's first slot may be granted.
	readyAt time.Time
	// nextAdjust is when limit may change again.
	nextAdjust          time.Time
	consecutiveFailures int
	// suspendedUntil is when a failing server is tried again.
	suspendedUntil time.Time
	// suspension is the length of the current suspension.
	suspension time.Duration
	pace       pace
	pause      pause
}

// Server describes an owned backend server.
type Server struct {
	ID               uint32
	Pool             uint32
	AvailabilityZone string
	Slots            int
	// BurstSlots are granted in addition to Slots, but only to workspaces that hold fewer
	// slots for their weight than another one.
	BurstSlots int
	// Leaving servers are granted no new requests.
	Leaving bool
}

// Grant is a slot that is granted to a router for a workspace.
type Grant struct {
	Router string
	Offer  encoder.Offer
}

// Granter keeps the state of the servers that a router owns. Accounts and Weight must be set.
type Granter struct {
	Accounts AccountFuncs
	// Weight returns the weight of a workspace.
	Weight func(workspace uint32) float64
	// ZoneOf returns the availability zone of a router. It may be nil.
	ZoneOf func(router string) string
	// LastTicket is the last ticket that was issued. Each owner starts at a random number, so
	// that tickets of different owners are rarely equal.
	LastTicket uint32

	servers            map[uint32]*server
	registrations      map[Account]map[string]Registration
	serviceRates       map[uint32]serviceRate
	earlyAnnouncements map[ticketKey]earlyAnnouncement
}

// serviceRate is the cost that the slots of a pool served and the time that they took, as a
// decaying sum over finished requests.
type serviceRate struct {
	cost    float64
	seconds float64
}

// perSecond returns the cost that one slot serves per second, or 0 if it is unknown.
func (r serviceRate) perSecond() float64 {
	if r.seconds <= 0 {
		return 0
	}
	return r.cost / r.seconds
}

// SetServers replaces the owned servers. Slots of servers that were not owned before are granted
// from readyAt on, so that routers can announce first which slots they hold.
func (g *Granter) SetServers(now time.Time, servers []Server, readyAt time.Time) {
	oldServers := g.servers
	g.revertAccruedCharges(now, servers)
	g.servers = make(map[uint32]*server, len(servers))
	for _, d := range servers {
		s := oldServers[d.ID]
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

// revertAccruedCharges reverts the charges that accrued after the grant for slots of servers that
// are no longer owned. Their new owner continues from the charge at the grant.
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

// Register sets the registration of an account at a router. A count of 0 removes it.
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

// WaitingAccounts returns the accounts with a registration.
func (g *Granter) WaitingAccounts() []Account {
	keys := make([]Account, 0, len(g.registrations))
	for k := range g.registrations {
		keys = append(keys, k)
	}
	return keys
}

// Backlogged reports whether the account has a registration.
func (g *Granter) Backlogged(k Account) bool { return len(g.registrations[k]) > 0 }

// Floor returns the least value of the other waiting accounts of the pool, or 0 if there are none.
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

// Release frees a slot and charges the actual cost of its request instead of the estimate. It is
// idempotent.
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

// findHeldSlot returns a held slot and its server.
func (g *Granter) findHeldSlot(k ticketKey) (*server, heldSlot, bool) {
	for _, s := range g.servers {
		if h, ok := s.heldSlots[k]; ok {
			return s, h, true
		}
	}
	return nil, heldSlot{}, false
}

// recordServiceRate adds a finished request to the service rate of its pool.
func (g *Granter) recordServiceRate(pool uint32, cost float64, duration time.Duration) {
	if g.serviceRates == nil {
		g.serviceRates = map[uint32]serviceRate{}
	}
	r := g.serviceRates[pool]
	r.cost = r.cost*rateDecay + cost
	r.seconds = r.seconds*rateDecay + duration.Seconds()
	g.serviceRates[pool] = r
}

// AccrueCharges charges running requests for the time that they have held their slots, because
// their cost is not reported before they end. A request is charged beyond its estimated cost if it
// runs longer.
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

// chargeDue returns the total that a running request should be charged now: the service that it has
// received and that of the next chargeAhead. It is the whole estimated cost if the service rate is
// unknown.
func (h heldSlot) chargeDue(now time.Time, costPerSecond float64) float64 {
	if costPerSecond == 0 {
		return h.estimatedCost
	}
	served := costPerSecond * now.Sub(h.grantedAt).Seconds()
	return max(served, min(h.estimatedCost, served+costPerSecond*chargeAhead.Seconds()))
}

// recordOutcome adjusts the server's limit to the measured latency and suspends the server after
// failuresToSuspend consecutive failures, until it succeeds with a request that it still has.
func (s *server) recordOutcome(now time.Time, r encoder.Release) {
	if r.Failed {
		s.consecutiveFailures++
		// Failures during a suspension are those of requests from before it.
		if s.consecutiveFailures >= failuresToSuspend && !now.Before(s.suspendedUntil) {
			s.suspension = min(max(s.suspension*2, minSuspension), maxSuspension)
			s.suspendedUntil = now.Add(s.suspension)
		}
		return
	}
	s.consecutiveFailures = 0
	s.suspension = 0
	s.suspendedUntil = time.Time{}
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

// freeSlots returns the number of slots that can be granted now. includeBurst is 1 to include the
// burst slots and otherwise 0.
func (s *server) freeSlots(now time.Time, includeBurst int) int {
	if s.leaving || now.Before(s.readyAt) || now.Before(s.suspendedUntil) || !s.mayGrant(now) || !s.pause.mayGrant(now) {
		return 0
	}
	n := int(s.limit) + includeBurst*s.burstSlots - len(s.heldSlots)
	if s.consecutiveFailures >= failuresToSuspend {
		// After a suspension, one request at a time probes whether the server has recovered.
		n = min(n, 1-len(s.heldSlots))
	}
	if s.isLimited(now) || s.pause.isReturning(now) {
		n = min(n, 1)
	}
	return max(0, n)
}

// FreeSlots returns the number of free slots of a pool's servers, without burst slots.
func (g *Granter) FreeSlots(now time.Time, pool uint32) int {
	n := 0
	for _, s := range g.servers {
		if s.pool == pool {
			n += s.freeSlots(now, 0)
		}
	}
	return n
}

// ServerState is the state of one owned server, for operators.
type ServerState struct {
	Server         uint32    `json:"server" yaml:"server"`
	Slots          int       `json:"slots" yaml:"slots"`
	Limit          float64   `json:"limit" yaml:"limit"`
	Held           int       `json:"held" yaml:"held"`
	Leaving        bool      `json:"leaving" yaml:"leaving"`
	SuspendedUntil time.Time `json:"suspended-till,omitzero" yaml:"suspended-till,omitempty"`
}

// Dump returns the state of the owned servers, sorted by ID.
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
