package granter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"papayapaddle/internal/encoder"
	"papayapaddle/internal/queuer"
)

// Schedule grants free slots until no slot is free or no account waits.
func (g *Granter) Schedule(now time.Time) []Grant {
	var grants []Grant
	for _, pool := range g.waitingPools() {
		for {
			grant, ok := g.grantNext(now, pool)
			if !ok {
				break
			}
			grants = append(grants, grant)
		}
	}
	return grants
}

// waitingPools returns the pools with waiting accounts in ascending order.
func (g *Granter) waitingPools() []uint32 {
	seen := map[uint32]bool{}
	var pools []uint32
	for k := range g.registrations {
		if !seen[k.Pool] {
			seen[k.Pool] = true
			pools = append(pools, k.Pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// grantNext grants a free slot of the pool to the waiting account with the least weighted service.
func (g *Granter) grantNext(now time.Time, pool uint32) (Grant, bool) {
	k, ok := g.leastServedAccount(pool)
	if !ok {
		return Grant{}, false
	}
	router := g.mostUrgentRouter(now, k)
	s := g.leastLoadedServer(now, pool, g.routerZone(router), 0)
	if s == nil && g.holdsFewerThanAnother(k) {
		s = g.leastLoadedServer(now, pool, g.routerZone(router), 1)
	}
	if s == nil {
		return Grant{}, false
	}
	reg := g.registrations[k][router]
	g.LastTicket++
	h := heldSlot{account: k, estimatedCost: reg.Cost, grantedAt: now}
	// The charge is sent to the router as an integer.
	h.charged = math.Ceil(h.chargeDue(now, g.serviceRates[pool].perSecond()))
	h.grantCharge = h.charged
	s.heldSlots[ticketKey{router: router, ticket: g.LastTicket}] = h
	s.recordGrant(now)
	s.pause.recordGrant(now)
	g.Accounts.Charge(now, k, h.charged)
	reg.Count--
	g.Register(router, k, reg)
	return Grant{
		Router: router,
		Offer:  encoder.Offer{Server: s.id, Ticket: g.LastTicket, Workspace: k.Workspace, Charge: uint32(h.charged)},
	}, true
}

// leastServedAccount returns the waiting account with the least weighted service.
func (g *Granter) leastServedAccount(pool uint32) (Account, bool) {
	var best Account
	bestValue, found := 0.0, false
	for k := range g.registrations {
		if k.Pool != pool {
			continue
		}
		v := g.Accounts.Value(k)
		if !found || v < bestValue || v == bestValue && k.Workspace < best.Workspace {
			best, bestValue, found = k, v, true
		}
	}
	return best, found
}

// mostUrgentRouter returns the router at which the account's request with the highest priority
// score waits.
func (g *Granter) mostUrgentRouter(now time.Time, k Account) string {
	best, bestScore := "", -1.0
	for router, r := range g.registrations[k] {
		score := queuer.PriorityScore(r.Urgency, max(0, now.Sub(r.Arrived)))
		if score > bestScore || score == bestScore && router < best {
			best, bestScore = router, score
		}
	}
	return best
}

// holdsFewerThanAnother reports whether the account, with one more slot, would still hold fewer
// slots for its weight than another account of the pool.
func (g *Granter) holdsFewerThanAnother(k Account) bool {
	held := map[Account]int{}
	for _, s := range g.servers {
		if s.pool != k.Pool {
			continue
		}
		for _, h := range s.heldSlots {
			held[h.account]++
		}
	}
	slotsPerWeight := float64(held[k]+1) / g.Weight(k.Workspace)
	for other, n := range held {
		if float64(n)/g.Weight(other.Workspace) > slotsPerWeight {
			return true
		}
	}
	return false
}

// leastLoadedServer returns the server with the largest share of free slots, or nil if none has a
// free slot. Servers in the zone are preferred. includeBurst is 1 to include the burst slots and
// otherwise 0.
func (g *Granter) leastLoadedServer(now time.Time, pool uint32, zone string, includeBurst int) *server {
	var best *server
	compare := func(a, b *server) int {
		if c := cmp.Compare(boolToInt(a.zone == zone), boolToInt(b.zone == zone)); c != 0 {
			return c
		}
		freeA, freeB := float64(a.freeSlots(now, includeBurst))/a.limit, float64(b.freeSlots(now, includeBurst))/b.limit
		if c := cmp.Compare(freeA, freeB); c != 0 {
			return c
		}
		return cmp.Compare(b.id, a.id)
	}
	for _, s := range g.servers {
		if s.pool != pool || s.freeSlots(now, includeBurst) == 0 {
			continue
		}
		if best == nil || compare(s, best) > 0 {
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

// routerZone returns the availability zone of a router, or "" if it is unknown.
func (g *Granter) routerZone(router string) string {
	if g.ZoneOf == nil {
		return ""
	}
	return g.ZoneOf(router)
}
