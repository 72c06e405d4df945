package admitter

import (
	"time"

	"papayapaddle/internal/pacer"
)

const (
	// closedTime is the delay of the next start, as far as decisions are concerned, on a cold server on which this router
	// may start nothing. It is beyond any deadline.
	closedTime = time.Hour
	// closedWait is the wait that other routers are told of such a server, and the retry delay of refused requests:
	// the time that a new owner needs.
	closedWait = time.Second
)

// ColdLimit is what a router may start on a server that is cold, or was a moment ago.
type ColdLimit struct {
	Phase pacer.Phase
	// PerSecond is the number of requests a second that may start, 0 if this router may start none.
	PerSecond float64
}

// pace keeps the requests that start on an engine within the limit that its server names, and within what it tolerates
// while it is cold. All routers ask the owner of a server before a request starts, so the pace of the owner is that of
// the fleet.
type pace struct {
	limited   bool
	perSecond float64
	cold      ColdLimit
	starts    pacer.Pacer
	// promised is the time until which starts are promised to refused requests.
	promised time.Time
}

// set updates the limit. Each period with a limit begins without a burst, because another owner may have
// used it, and a cold server gets none at all.
func (p *pace) set(perSecond float64, limited bool, cold ColdLimit) {
	even := cold.Phase != pacer.Warm
	if even && (!limited || cold.PerSecond < perSecond) {
		perSecond, limited = cold.PerSecond, true
	}
	if limited != p.limited || even != p.starts.Even {
		*p = pace{limited: limited, starts: pacer.Pacer{Even: even}}
	}
	p.perSecond, p.cold = perSecond, cold
}

// closed reports whether this router may start nothing.
func (p *pace) closed() bool { return p.cold.Phase == pacer.Cold && p.cold.PerSecond <= 0 }

// next returns when a request may start behind the given number of others, or the zero time without a limit.
func (p *pace) next(now time.Time, ahead int) time.Time {
	switch {
	case !p.limited:
		return time.Time{}
	case p.closed():
		return now.Add(closedTime)
	}
	return p.starts.Next(now, p.perSecond).Add(time.Duration(ahead) * pacer.Interval(p.perSecond))
}

// wait returns the time until a request may start behind the given number of others.
func (p *pace) wait(now time.Time, ahead int) time.Duration {
	if p.closed() {
		return closedWait
	}
	return p.next(now, ahead).Sub(now)
}

// take records a start.
func (p *pace) take(now time.Time) {
	if p.limited {
		p.starts.Take(now, p.perSecond)
	}
}

// refusal returns the reason and the retry delay of a request that could start too late, at start.
func (p *pace) refusal(now, start time.Time) (Reason, time.Duration) {
	switch {
	case p.closed():
		return ReasonServerCold, closedWait
	case p.cold.Phase != pacer.Warm:
		return ReasonServerCold, p.promise(now, start)
	}
	return ReasonServerLimit, p.promise(now, start)
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
