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
func (o *Granter) Schedule(now time.Time) []Grant {
	var grants []Grant
	for _, pool := range o.waitingPools() {
		for {
			g, ok := o.grantNext(now, pool)
			if !ok {
				break
			}
			grants = append(grants, g)
		}
	}
	return grants
}

func (o *Granter) waitingPools() []uint32 {
	seen := map[uint32]bool{}
	var pools []uint32
	for k := range o.registrations {
		if !seen[k.Pool] {
			seen[k.Pool] = true
			pools = append(pools, k.Pool)
		}
	}
	slices.Sort(pools)
	return pools
}

func (o *Granter) grantNext(now time.Time, pool uint32) (Grant, bool) {
	k, ok := o.leastServedAccount(pool)
	if !ok {
		return Grant{}, false
	}
	router := o.mostUrgentRouter(now, k)
	s := o.leastLoadedServer(now, pool, o.routerZone(router), 0)
	if s == nil && o.holdsFewerThanAnother(k) {
		s = o.leastLoadedServer(now, pool, o.routerZone(router), 1)
	}
	if s == nil {
		return Grant{}, false
	}
	reg := o.registrations[k][router]
	o.LastTicket++
	h := heldSlot{account: k, estimatedCost: reg.Cost, grantedAt: now}
	// Whole units, as the router is told the charge in a message.
	h.charged = math.Ceil(h.chargeDue(now, o.serviceRates[pool].perSecond()))
	h.grantCharge = h.charged
	s.heldSlots[ticketKey{router: router, ticket: o.LastTicket}] = h
	o.Accounts.Charge(now, k, h.charged)
	reg.Count--
	o.Register(router, k, reg)
	return Grant{
		Router: router,
		Offer:  encoder.Offer{Server: s.id, Ticket: o.LastTicket, Workspace: k.Workspace, Charge: uint32(h.charged)},
	}, true
}

// leastServedAccount returns the waiting account with the least weighted service.
func (o *Granter) leastServedAccount(pool uint32) (Account, bool) {
	var best Account
	bestValue, found := 0.0, false
	for k := range o.registrations {
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

// mostUrgentRouter returns the router at which the account's most pressing request
// waits.
func (o *Granter) mostUrgentRouter(now time.Time, k Account) string {
	best, bestScore := "", -1.0
	for router, r := range o.registrations[k] {
		s := queuer.PriorityScore(r.Urgency, max(0, now.Sub(r.Arrived)))
		if s > bestScore || s == bestScore && router < best {
			best, bestScore = router, s
		}
	}
	return best
}

// holdsFewerThanAnother says whether the account, with one slot more, still holds fewer
// slots for its weight than some other one of the pool.
func (o *Granter) holdsFewerThanAnother(k Account) bool {
	held := map[Account]int{}
	for _, s := range o.servers {
		if s.pool != k.Pool {
			continue
		}
		for _, h := range s.heldSlots {
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

// leastLoadedServer returns the server with the largest share of free slots, first among
// those in the zone. Burst is 1 to count the burst slots in.
func (o *Granter) leastLoadedServer(now time.Time, pool uint32, zone string, burst int) *server {
	var best *server
	better := func(a, b *server) int {
		if c := cmp.Compare(boolToInt(a.zone == zone), boolToInt(b.zone == zone)); c != 0 {
			return c
		}
		fa, fb := float64(a.freeSlots(now, burst))/a.limit, float64(b.freeSlots(now, burst))/b.limit
		if c := cmp.Compare(fa, fb); c != 0 {
			return c
		}
		return cmp.Compare(b.id, a.id)
	}
	for _, s := range o.servers {
		if s.pool != pool || s.freeSlots(now, burst) == 0 {
			continue
		}
		if best == nil || better(s, best) > 0 {
			best = s
		}
	}
	return best
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (o *Granter) routerZone(router string) string {
	if o.ZoneOf == nil {
		return ""
	}
	return o.ZoneOf(router)
}
