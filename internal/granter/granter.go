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
	// betweenTarget is the stated bound on the time between tokens.
	betweenTarget = 71 * time.Millisecond
	// firstTarget is the stated bound on the time to the first token.
	firstTarget = 550 * time.Millisecond
	// adaptEvery is the least time between two changes of a server's limit.
	adaptEvery = time.Second
	// slowdown and speedup change a server's limit: multiplicative decrease,
	// additive increase.
	slowdown = 0.9
	speedup  = 0.5
	// ahead is how much service in the future a running request is charged for.
	// Charging all of it when it is granted makes the accounts differ from the
	// service by what is in flight and by the errors of the estimates; charging
	// nothing ahead would give every free slot to one workspace until its first
	// tokens are counted. docs/DESIGN.md has the figures.
	ahead = time.Second
	// rateDecay is the weight that past requests keep in a pool's rate.
	rateDecay = 0.95
	// failuresToSuspend is how many failures in a row suspend a server.
	failuresToSuspend = 3
	// minSuspend and maxSuspend bound how long a failing server gets no work.
	minSuspend = time.Second
	maxSuspend = 10 * time.Second
)

// Account names the weighted service of a workspace in a pool.
type Account = queuer.Key

// Accounts is what the granter needs of the accounts. All fields must be set.
type Accounts struct {
	// Value returns the fleet-wide weighted service.
	Value func(Account) float64
	// Charge adds cost, which may be negative, to the account.
	Charge func(now time.Time, k Account, cost float64)
}

// Registration is a workspace's work that waits at one router.
type Registration struct {
	Count   int
	Urgency uint8
	Since   time.Time
	Cost    float64
}

// ticketKey names a held slot. Tickets of different owners may meet at one
// server after a change of owner, so the holder is part of the name.
type ticketKey struct {
	router string
	ticket uint32
}

type hold struct {
	account Account
	// charge is what the account was charged so far.
	charge float64
	// granted is the charge at the grant, which the router knows.
	granted float64
	// estimate is the expected cost of the whole request.
	estimate float64
	since    time.Time
	// adopted holds were granted by an earlier owner.
	adopted bool
}

type server struct {
	id       uint32
	pool     uint32
	zone     string
	slots    int
	burst    int
	limit    float64
	holds    map[ticketKey]hold
	leaving  bool
	readyAt  time.Time
	adaptAt  time.Time
	failures int
	// suspendedTill is when a failing server is tried again.
	suspendedTill time.Time
	suspension    time.Duration
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

// Owner holds the state of the owned servers. The zero value with Accounts set
// owns nothing.
type Owner struct {
	Accounts Accounts
	// Weight returns the weight of a workspace; it must be set.
	Weight func(workspace uint32) float64
	// ZoneOf returns the availability zone of a router; nil knows none.
	ZoneOf func(router string) string
	// Ticket is the last ticket minted. An owner starts at a random number, so
	// that a ticket rarely meets another owner's.
	Ticket uint32

	servers map[uint32]*server
	waiting map[Account]map[string]Registration
	rates   map[uint32]rate
	early   map[ticketKey]earlyHold
}

// rate is the cost that a slot of a pool serves in a time, over past requests.
type rate struct {
	cost    float64
	seconds float64
}

func (r rate) perSecond() float64 {
	if r.seconds <= 0 {
		return 0
	}
	return r.cost / r.seconds
}

// SetServers installs the owned servers. One that is new here is granted past
// what its holders announce only from readyAt on.
func (o *Owner) SetServers(now time.Time, servers []Server, readyAt time.Time) {
	old := o.servers
	o.handOver(now, servers)
	o.servers = make(map[uint32]*server, len(servers))
	for _, d := range servers {
		s := old[d.ID]
		if s == nil {
			s = &server{id: d.ID, limit: float64(d.Slots), holds: map[ticketKey]hold{}, readyAt: readyAt}
		}
		if s.slots != d.Slots {
			s.limit = float64(d.Slots)
		}
		s.pool = d.Pool
		s.zone = d.AvailabilityZone
		s.slots = d.Slots
		s.burst = d.BurstSlots
		s.leaving = d.Leaving
		o.servers[d.ID] = s
	}
	o.adopt(now)
}

// handOver takes back what was accrued for the slots of servers that are not
// owned any more: their new owner goes on from the charge at the grant.
func (o *Owner) handOver(now time.Time, servers []Server) {
	for id, s := range o.servers {
		if slices.ContainsFunc(servers, func(d Server) bool { return d.ID == id }) {
			continue
		}
		for _, h := range s.holds {
			o.Accounts.Charge(now, h.account, h.granted-h.charge)
		}
	}
}

// Register notes what waits at a router; a count of 0 withdraws it.
func (o *Owner) Register(router string, k Account, r Registration) {
	if r.Count == 0 {
		delete(o.waiting[k], router)
		if len(o.waiting[k]) == 0 {
			delete(o.waiting, k)
		}
		return
	}
	if o.waiting == nil {
		o.waiting = map[Account]map[string]Registration{}
	}
	if o.waiting[k] == nil {
		o.waiting[k] = map[string]Registration{}
	}
	o.waiting[k][router] = r
}

// Registered returns the accounts that wait here.
func (o *Owner) Registered() []Account {
	keys := make([]Account, 0, len(o.waiting))
	for k := range o.waiting {
		keys = append(keys, k)
	}
	return keys
}

// Backlogged says whether the account waits here.
func (o *Owner) Backlogged(k Account) bool { return len(o.waiting[k]) > 0 }

// Floor returns the least value among the other accounts that wait for the
// pool, or 0 if none does.
func (o *Owner) Floor(k Account) float64 {
	floor, found := 0.0, false
	for other := range o.waiting {
		if other.Pool != k.Pool || other == k {
			continue
		}
		if v := o.Accounts.Value(other); !found || v < floor {
			floor, found = v, true
		}
	}
	return floor
}

// Release settles a slot. A repeated release changes nothing.
func (o *Owner) Release(now time.Time, router string, r encoder.Release) {
	k := ticketKey{router: router, ticket: r.Ticket}
	s, h, ok := o.find(k)
	if !ok {
		if e, early := o.early[k]; early {
			delete(o.early, k)
			o.Accounts.Charge(now, e.hold.account, float64(r.Cost)-e.hold.charge)
		}
		return
	}
	delete(s.holds, k)
	o.Accounts.Charge(now, h.account, float64(r.Cost)-h.charge)
	if r.Cost == 0 && !r.Failed {
		return
	}
	if !r.Failed && !h.adopted {
		o.noteRate(s.pool, float64(r.Cost), now.Sub(h.since))
	}
	s.observe(now, r)
}

// find returns the server of a held slot.
func (o *Owner) find(k ticketKey) (*server, hold, bool) {
	for _, s := range o.servers {
		if h, ok := s.holds[k]; ok {
			return s, h, true
		}
	}
	return nil, hold{}, false
}

func (o *Owner) noteRate(pool uint32, cost float64, took time.Duration) {
	if o.rates == nil {
		o.rates = map[uint32]rate{}
	}
	r := o.rates[pool]
	r.cost = r.cost*rateDecay + cost
	r.seconds = r.seconds*rateDecay + took.Seconds()
	o.rates[pool] = r
}

// Accrue charges running requests for the time that they have held their slots,
// as no message tells their cost before they end. A request that runs longer
// than its estimate says is charged on.
func (o *Owner) Accrue(now time.Time) {
	for _, s := range o.servers {
		perSecond := o.rates[s.pool].perSecond()
		for k, h := range s.holds {
			due := h.due(now, perSecond)
			if due <= h.charge {
				continue
			}
			o.Accounts.Charge(now, h.account, due-h.charge)
			h.charge = due
			s.holds[k] = h
		}
	}
}

// due is what a running request should be charged now: what it was served, and
// what it will be served within the time ahead. Without a known rate it is the
// whole estimate.
func (h hold) due(now time.Time, perSecond float64) float64 {
	if perSecond == 0 {
		return h.estimate
	}
	served := perSecond * now.Sub(h.since).Seconds()
	return max(served, min(h.estimate, served+perSecond*ahead.Seconds()))
}

// observe adapts the server's limit and suspends one that keeps failing.
func (s *server) observe(now time.Time, r encoder.Release) {
	if r.Failed {
		s.failures++
		if s.failures >= failuresToSuspend {
			s.suspension = min(max(s.suspension*2, minSuspend), maxSuspend)
			s.suspendedTill = now.Add(s.suspension)
		}
		return
	}
	s.failures = 0
	s.suspension = 0
	if now.Before(s.adaptAt) {
		return
	}
	first := time.Duration(r.FirstMillis) * time.Millisecond
	between := time.Duration(r.BetweenMillis) * time.Millisecond
	switch {
	case between > betweenTarget || first > firstTarget:
		s.limit = max(1, s.limit*slowdown)
	case s.limit < float64(s.slots):
		s.limit = min(float64(s.slots), s.limit+speedup)
	default:
		return
	}
	s.adaptAt = now.Add(adaptEvery)
}

// free returns how many slots the server could grant now; burst is 1 to count
// its burst slots in.
func (s *server) free(now time.Time, burst int) int {
	if s.leaving || now.Before(s.readyAt) || now.Before(s.suspendedTill) {
		return 0
	}
	n := int(s.limit) + burst*s.burst - len(s.holds)
	if s.failures >= failuresToSuspend {
		// After a suspension one request at a time finds out whether the server
		// works again.
		n = min(n, 1-len(s.holds))
	}
	return max(0, n)
}

// Free returns the free slots of a pool's servers.
func (o *Owner) Free(now time.Time, pool uint32) int {
	n := 0
	for _, s := range o.servers {
		if s.pool == pool {
			n += s.free(now, 0)
		}
	}
	return n
}

// ServerState is one owned server in a dump.
type ServerState struct {
	Server    uint32    `json:"server" yaml:"server"`
	Slots     int       `json:"slots" yaml:"slots"`
	Limit     float64   `json:"limit" yaml:"limit"`
	Held      int       `json:"held" yaml:"held"`
	Leaving   bool      `json:"leaving" yaml:"leaving"`
	Suspended time.Time `json:"suspended-till,omitzero" yaml:"suspended-till,omitempty"`
}

// Dump lists the owned servers by identifier.
func (o *Owner) Dump() []ServerState {
	var out []ServerState
	for _, s := range o.servers {
		out = append(out, ServerState{
			Server: s.id, Slots: s.slots, Limit: s.limit, Held: len(s.holds),
			Leaving: s.leaving, Suspended: s.suspendedTill,
		})
	}
	slices.SortFunc(out, func(a, b ServerState) int { return cmp.Compare(a.Server, b.Server) })
	return out
}
