package pacer

import "time"

const (
	// burstTime is how far starts may run ahead after a pause: the rate times burstTime.
	burstTime = 500 * time.Millisecond
	// probeInterval is the longest time between two starts. A server that names 0 is asked this often, since
	// only an answer can say that its limit is over.
	probeInterval = 4 * time.Second
)

// Pacer spaces the starts of requests to one server. In any period, at most one more start than the rate
// times the period and burstTime is allowed. The zero value allows one start at once and no burst.
type Pacer struct {
	// Even spaces all starts evenly, also after a pause, and lets the first one wait for an interval: what another pacer
	// has allowed before is not known.
	Even bool
	// due is when the next start would be on time; it may be up to burstTime early, unless Even is set.
	due time.Time
}

// Interval returns the time between two starts at a rate a second.
func Interval(perSecond float64) time.Duration {
	if perSecond*probeInterval.Seconds() <= 1 {
		return probeInterval
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// Next returns when the next start is allowed, which may be before now.
func (p *Pacer) Next(now time.Time, perSecond float64) time.Time {
	ahead, interval := p.ahead(), Interval(perSecond)
	// After the rate has risen, the interval of the lower rate does not count.
	switch latest := now.Add(ahead + interval); {
	case p.due.IsZero() && p.Even:
		p.due = now.Add(interval)
	case p.due.IsZero():
		p.due = now.Add(ahead)
	case p.due.After(latest):
		p.due = latest
	}
	return p.due.Add(-ahead)
}

// ahead returns how far starts may run ahead after a pause.
func (p *Pacer) ahead() time.Duration {
	if p.Even {
		return 0
	}
	return burstTime
}

// Take records a start.
func (p *Pacer) Take(now time.Time, perSecond float64) {
	p.Next(now, perSecond)
	if p.due.Before(now) {
		p.due = now
	}
	p.due = p.due.Add(Interval(perSecond))
}
