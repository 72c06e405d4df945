package granter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"papayapaddle/internal/encoder"
	"papayapaddle/internal/queuer"
)

// Schedule grants free slots until none is free or nobody waits.
func (o *Owner) Schedule(now time.Time) []Grant {
	var grants []Grant
	for _, pool := range o.waitingPools() {
		for {
			g, ok := o.grant(now, pool)
			if !ok {
				break
			}
			grants = append(grants, g)
		}
	}
	return grants
}

func (o *Owner) waitingPools() []uint32 {
	seen := map[uint32]bool{}
	var pools []uint32
	for k := range o.waiting {
		if !seen[k.Pool] {
			seen[k.Pool] = true
			pools = append(pools, k.Pool)
		}
	}
	slices.Sort(pools)
	return pools
}

func (o *Owner) grant(now time.Time, pool uint32) (Grant, bool) {
	k, ok := o.least(pool)
	if !ok {
		return Grant{}, false
	}
	router := o.mostUrgent(now, k)
	s := o.roomiest(now, pool, o.zone(router), 0)
	if s == nil && o.holdsLess(k) {
		s = o.roomiest(now, pool, o.zone(router), 1)
	}
	if s == nil {
		return Grant{}, false
	}
	reg := o.waiting[k][router]
	o.Ticket++
	h := hold{account: k, estimate: reg.Cost, since: now}
	// Whole units, as the router is told the charge in a message.
	h.charge = math.Ceil(h.due(now, o.rates[pool].perSecond()))
	h.granted = h.charge
	s.holds[ticketKey{router: router, ticket: o.Ticket}] = h
	o.Accounts.Charge(now, k, h.charge)
	reg.Count--
	o.Register(router, k, reg)
	return Grant{
		Router: router,
		Offer:  encoder.Offer{Server: s.id, Ticket: o.Ticket, Workspace: k.Workspace, Charge: uint32(h.charge)},
	}, true
}

// least returns the waiting account with the least weighted service.
func (o *Owner) least(pool uint32) (Account, bool) {
	var best Account
	bestValue, found := 0.0, false
	for k := range o.waiting {
		if k.Pool != pool {
			continue
		}
		v := o.Accounts.Value(k)
		if !found || v < bestValue || v == bestValue && k.Workspace < best.Workspace {
			best, bestValue, found = k, v, true
		}
	}
	return best, found
}

// mostUrgent returns the router at which the account's most pressing request
// waits.
func (o *Owner) mostUrgent(now time.Time, k Account) string {
	best, bestScore := "", -1.0
	for router, r := range o.waiting[k] {
		s := queuer.Score(r.Urgency, max(0, now.Sub(r.Since)))
		if s > bestScore || s == bestScore && router < best {
			best, bestScore = router, s
		}
	}
	return best
}

// holdsLess says whether the account, with one slot more, still holds fewer
// slots for its weight than some other one of the pool.
func (o *Owner) holdsLess(k Account) bool {
	held := map[Account]int{}
	for _, s := range o.servers {
		if s.pool != k.Pool {
			continue
		}
		for _, h := range s.holds {
			held[h.account]++
		}
	}
	own := float64(held[k]+1) / o.Weight(k.Workspace)
	for other, n := range held {
		if float64(n)/o.Weight(other.Workspace) > own {
			return true
		}
	}
	return false
}

// roomiest returns the server with the largest share of free slots, first among
// those in the zone. Burst is 1 to count the burst slots in.
func (o *Owner) roomiest(now time.Time, pool uint32, zone string, burst int) *server {
	var best *server
	better := func(a, b *server) int {
		if c := cmp.Compare(boolRank(a.zone == zone), boolRank(b.zone == zone)); c != 0 {
			return c
		}
		fa, fb := float64(a.free(now, burst))/a.limit, float64(b.free(now, burst))/b.limit
		if c := cmp.Compare(fa, fb); c != 0 {
			return c
		}
		return cmp.Compare(b.id, a.id)
	}
	for _, s := range o.servers {
		if s.pool != pool || s.free(now, burst) == 0 {
			continue
		}
		if best == nil || better(s, best) > 0 {
			best = s
		}
	}
	return best
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (o *Owner) zone(router string) string {
	if o.ZoneOf == nil {
		return ""
	}
	return o.ZoneOf(router)
}
