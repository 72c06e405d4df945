package granter

import (
	"time"

	"papayapaddle/internal/pacer"
)

// limitTTL is how long a limit holds that no answer names again. A limited server gets at least one request in
// half of that time, whose answer does.
const limitTTL = 8 * time.Second

// pace spaces the grants of a server that names a limit.
type pace struct {
	perSecond float64
	until     time.Time
	grants    pacer.Pacer
}

// SetLimit sets the requests a second that a server names, or removes its limit.
func (g *Granter) SetLimit(now time.Time, server uint32, perSecond float64, named bool) {
	s := g.servers[server]
	switch {
	case s == nil:
	case !named:
		s.pace = pace{}
	default:
		if !s.isLimited(now) {
			// Another owner may have used its burst.
			s.pace = pace{}
		}
		s.pace.perSecond, s.pace.until = perSecond, now.Add(limitTTL)
	}
}

func (s *server) isLimited(now time.Time) bool { return now.Before(s.pace.until) }

// mayGrant reports whether the limit of the server permits a grant now.
func (s *server) mayGrant(now time.Time) bool {
	return !s.isLimited(now) || !now.Before(s.pace.grants.Next(now, s.pace.perSecond))
}

// recordGrant records a grant for the limit of the server.
func (s *server) recordGrant(now time.Time) {
	if s.isLimited(now) {
		s.pace.grants.Take(now, s.pace.perSecond)
	}
}
