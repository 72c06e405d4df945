package admitter

import (
	"time"

	"papayapaddle/internal/pacer"
)

// pace keeps the requests that start on an engine within the limit that its server names. All routers ask
// the owner of a server before a request starts, so the pace of the owner is that of the fleet.
type pace struct {
	limited   bool
	perSecond float64
	starts    pacer.Pacer
	// promised is the time until which starts are promised to refused requests.
	promised time.Time
}

// set updates the limit. Each period with a limit begins without a burst, because another owner may have
// used it.
func (p *pace) set(perSecond float64, limited bool) {
	if limited != p.limited {
		*p = pace{limited: limited}
	}
	p.perSecond = perSecond
}

// next returns when a request may start behind the given number of others, or the zero time without a limit.
func (p *pace) next(now time.Time, ahead int) time.Time {
	if !p.limited {
		return time.Time{}
	}
	return p.starts.Next(now, p.perSecond).Add(time.Duration(ahead) * pacer.Interval(p.perSecond))
}

// take records a start.
func (p *pace) take(now time.Time) {
	if p.limited {
		p.starts.Take(now, p.perSecond)
	}
}

// promise returns the delay after which a refused request may return, so that those that were refused
// return at the limit and not together. start is when the request could start.
func (p *pace) promise(now, start time.Time) time.Duration {
	if p.promised.Before(start) {
		p.promised = start
	}
	if limit := now.Add(maxRetryAfter); p.promised.After(limit) {
		p.promised = limit
	}
	delay := p.promised.Sub(now)
	p.promised = p.promised.Add(pacer.Interval(p.perSecond))
	return delay
}
