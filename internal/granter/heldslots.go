package granter

import (
	"time"

	"papayapaddle/internal/encoder"
)

// earlyAnnouncementTTL is how long an announcement for a server that this router does not own is
// kept. The announcing router may learn of a change of owner before the new owner does.
const earlyAnnouncementTTL = 5 * time.Second

// earlyAnnouncement is an announced slot of a server that this router does not own yet.
type earlyAnnouncement struct {
	server    uint32
	slot      heldSlot
	expiresAt time.Time
}

// AddHeldSlot records a slot that a router announces to this router as the new owner of the server.
func (g *Granter) AddHeldSlot(now time.Time, router string, pool uint32, h encoder.HeldSlot) {
	k := ticketKey{router: router, ticket: h.Ticket}
	held := heldSlot{
		account: Account{Pool: pool, Workspace: h.Workspace},
		// The previous owner has charged this part.
		charged:       float64(h.Charge),
		grantCharge:   float64(h.Charge),
		estimatedCost: float64(h.Charge),
		grantedAt:     now,
		inherited:     true,
	}
	s := g.servers[h.Server]
	if s == nil {
		if g.earlyAnnouncements == nil {
			g.earlyAnnouncements = map[ticketKey]earlyAnnouncement{}
		}
		g.earlyAnnouncements[k] = earlyAnnouncement{server: h.Server, slot: held, expiresAt: now.Add(earlyAnnouncementTTL)}
		return
	}
	if _, known := s.heldSlots[k]; !known {
		s.heldSlots[k] = held
	}
}

// applyEarlyAnnouncements records the announced slots of servers that this router owns now and
// deletes expired announcements.
func (g *Granter) applyEarlyAnnouncements(now time.Time) {
	for k, e := range g.earlyAnnouncements {
		s := g.servers[e.server]
		if s == nil && now.Before(e.expiresAt) {
			continue
		}
		delete(g.earlyAnnouncements, k)
		if s != nil {
			e.slot.grantedAt = now
			s.heldSlots[k] = e.slot
		}
	}
}

// SyncRouter replaces the slots that a router holds with the announced ones and deletes its
// registrations, which the router sends again.
func (g *Granter) SyncRouter(now time.Time, router string, held []encoder.HeldSlot) {
	g.withdrawRegistrations(router)
	announced := map[uint32]map[uint32]bool{}
	for _, h := range held {
		if announced[h.Server] == nil {
			announced[h.Server] = map[uint32]bool{}
		}
		announced[h.Server][h.Ticket] = true
	}
	for _, s := range g.servers {
		for k, h := range s.heldSlots {
			if k.router == router && !announced[s.id][k.ticket] {
				g.cancelGrant(now, s, k, h)
			}
		}
	}
	for _, h := range held {
		if s := g.servers[h.Server]; s != nil {
			g.AddHeldSlot(now, router, s.pool, h)
		}
	}
}

// cancelGrant frees a slot whose grant did not reach the router and reverts its charge.
func (g *Granter) cancelGrant(now time.Time, s *server, k ticketKey, h heldSlot) {
	delete(s.heldSlots, k)
	if !h.inherited {
		g.Accounts.Charge(now, h.account, -h.charged)
	}
}

// RouterDown frees the slots that an unreachable router held and deletes its registrations. The
// charge at the grant remains, because part of the request was processed. Charges that accrued
// later are reverted: if the router is only partitioned, it announces its slots to another owner,
// which charges the rest.
func (g *Granter) RouterDown(now time.Time, router string) {
	g.withdrawRegistrations(router)
	for _, s := range g.servers {
		for k, h := range s.heldSlots {
			if k.router == router {
				delete(s.heldSlots, k)
				g.Accounts.Charge(now, h.account, h.grantCharge-h.charged)
			}
		}
	}
}

// HoldsSlots reports whether the router holds a slot of an owned server.
func (g *Granter) HoldsSlots(router string) bool {
	for _, s := range g.servers {
		for k := range s.heldSlots {
			if k.router == router {
				return true
			}
		}
	}
	return false
}

// withdrawRegistrations deletes the registrations of a router.
func (g *Granter) withdrawRegistrations(router string) {
	for k := range g.registrations {
		g.Register(router, k, Registration{})
	}
}
