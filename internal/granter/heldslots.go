package granter

import (
	"time"

	"papayapaddle/internal/encoder"
)

// earlyAnnouncementTTL is how long an announcement is kept for a server that is not owned
// here yet: the announcing router may see a change of owner first.
const earlyAnnouncementTTL = 5 * time.Second

// earlyAnnouncement is a slot of a server that is not owned here yet.
type earlyAnnouncement struct {
	server    uint32
	slot      heldSlot
	expiresAt time.Time
}

// AddHeldSlot notes a slot of a pool's server that a router announces to this new
// owner.
func (g *Granter) AddHeldSlot(now time.Time, router string, pool uint32, h encoder.Held) {
	k := ticketKey{router: router, ticket: h.Ticket}
	held := heldSlot{
		account: Account{Pool: pool, Workspace: h.Workspace},
		// The owner before has charged this part.
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

// applyEarlyAnnouncements takes over what was announced for servers that are owned now, and drops
// what was announced too long ago.
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

// SyncRouter replaces all that is known of a router by what it says it holds; its
// registrations are withdrawn and follow anew.
func (g *Granter) SyncRouter(now time.Time, router string, held []encoder.Held) {
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

// cancelGrant frees a slot whose grant never reached its router, and takes the charge
// back.
func (g *Granter) cancelGrant(now time.Time, s *server, k ticketKey, h heldSlot) {
	delete(s.heldSlots, k)
	if !h.inherited {
		g.Accounts.Charge(now, h.account, -h.charged)
	}
}

// RouterDown frees all that a router held. What was charged at the grant stands, since
// the work was done in part. What accrued is taken back: a router that is only
// cut off announces its slots to another owner, which charges the rest.
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

// HoldsSlots says whether the router holds a slot of a server owned here.
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

func (g *Granter) withdrawRegistrations(router string) {
	for k := range g.registrations {
		g.Register(router, k, Registration{})
	}
}
