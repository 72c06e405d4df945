package granter

import (
	"time"

	"papayapaddle/internal/encoder"
)

// earlyKept is how long an announcement is kept for a server that is not owned
// here yet: the announcing router may see a change of owner first.
const earlyKept = 5 * time.Second

// earlyHold is a slot of a server that is not owned here yet.
type earlyHold struct {
	server uint32
	hold   hold
	till   time.Time
}

// Hold notes a slot of a pool's server that a router announces to this new
// owner.
func (o *Owner) Hold(now time.Time, router string, pool uint32, h encoder.HeldSlot) {
	k := ticketKey{router: router, ticket: h.Ticket}
	held := hold{
		account: Account{Pool: pool, Workspace: h.Workspace},
		// The owner before has charged this part.
		charge:   float64(h.Charge),
		granted:  float64(h.Charge),
		estimate: float64(h.Charge),
		since:    now,
		adopted:  true,
	}
	s := o.servers[h.Server]
	if s == nil {
		if o.early == nil {
			o.early = map[ticketKey]earlyHold{}
		}
		o.early[k] = earlyHold{server: h.Server, hold: held, till: now.Add(earlyKept)}
		return
	}
	if _, known := s.holds[k]; !known {
		s.holds[k] = held
	}
}

// adopt takes over what was announced for servers that are owned now, and drops
// what was announced too long ago.
func (o *Owner) adopt(now time.Time) {
	for k, e := range o.early {
		s := o.servers[e.server]
		if s == nil && now.Before(e.till) {
			continue
		}
		delete(o.early, k)
		if s != nil {
			e.hold.since = now
			s.holds[k] = e.hold
		}
	}
}

// Sync replaces all that is known of a router by what it says it holds; its
// registrations are withdrawn and follow anew.
func (o *Owner) Sync(now time.Time, router string, held []encoder.HeldSlot) {
	o.withdraw(router)
	keep := map[uint32]map[uint32]bool{}
	for _, h := range held {
		if keep[h.Server] == nil {
			keep[h.Server] = map[uint32]bool{}
		}
		keep[h.Server][h.Ticket] = true
	}
	for _, s := range o.servers {
		for k, h := range s.holds {
			if k.router == router && !keep[s.id][k.ticket] {
				o.drop(now, s, k, h)
			}
		}
	}
	for _, h := range held {
		if s := o.servers[h.Server]; s != nil {
			o.Hold(now, router, s.pool, h)
		}
	}
}

// drop frees a slot whose grant never reached its router, and takes the charge
// back.
func (o *Owner) drop(now time.Time, s *server, k ticketKey, h hold) {
	delete(s.holds, k)
	if !h.adopted {
		o.Accounts.Charge(now, h.account, -h.charge)
	}
}

// Gone frees all that a router held. What was charged at the grant stands, since
// the work was done in part. What accrued is taken back: a router that is only
// cut off announces its slots to another owner, which charges the rest.
func (o *Owner) Gone(now time.Time, router string) {
	o.withdraw(router)
	for _, s := range o.servers {
		for k, h := range s.holds {
			if k.router == router {
				delete(s.holds, k)
				o.Accounts.Charge(now, h.account, h.granted-h.charge)
			}
		}
	}
}

// Holds says whether the router holds a slot of a server owned here.
func (o *Owner) Holds(router string) bool {
	for _, s := range o.servers {
		for k := range s.holds {
			if k.router == router {
				return true
			}
		}
	}
	return false
}

func (o *Owner) withdraw(router string) {
	for k := range o.waiting {
		o.Register(router, k, Registration{})
	}
}
