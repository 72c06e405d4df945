package granter

import (
	"time"

	"papayapaddle/internal/excluder"
	"papayapaddle/internal/pacer"
)

// returnsPerSecond is the rate of grants for excluder.ReturnTime after a pause.
const returnsPerSecond = float64(excluder.ReturnRequests) * float64(time.Second) / float64(excluder.ReturnTime)

// pause is a pause that a server asked for. The zero value is over.
type pause struct {
	until  time.Time
	grants pacer.Pacer
}

// Pause keeps requests from a server for a duration. A pause is never shortened.
func (g *Granter) Pause(now time.Time, server uint32, d time.Duration) {
	s := g.servers[server]
	until := now.Add(min(d, excluder.MaxPause))
	if s == nil || d <= 0 || !until.After(s.pause.until) {
		return
	}
	s.pause = pause{until: until}
}

// isReturning reports whether the server gets its requests back after a pause.
func (p *pause) isReturning(now time.Time) bool {
	return !now.Before(p.until) && now.Before(p.until.Add(excluder.ReturnTime))
}

func (p *pause) mayGrant(now time.Time) bool {
	return !now.Before(p.until) && (!p.isReturning(now) || !now.Before(p.grants.Next(now, returnsPerSecond)))
}

// recordGrant records a grant.
func (p *pause) recordGrant(now time.Time) {
	if p.isReturning(now) {
		p.grants.Take(now, returnsPerSecond)
	}
}
