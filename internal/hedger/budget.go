package hedger

import "time"

// budget limits the work of hedges to a fraction of a service's work. Every piece of work earns that fraction of
// it, and nothing is earned in advance: since the start, hedges of one router never did more than the fraction
// of its own work, so that all routers together do not either, whether or not they reach each other.
type budget struct {
	fraction float64
	// earned is what hedges may do now.
	earned float64
	// recent is the work of the last seconds, and largest the largest recent piece of it. Both decay.
	recent, largest float64
	updatedAt       time.Time
}

// advance decays what is remembered of the recent work.
func (b *budget) advance(now time.Time) {
	if !b.updatedAt.IsZero() {
		elapsed := now.Sub(b.updatedAt)
		b.recent *= halvings(elapsed, workHalfLife)
		b.largest *= halvings(elapsed, largestHalfLife)
	}
	b.updatedAt = now
	b.earned = min(b.earned, b.limit())
}

// limit bounds what is saved up, and so a burst of hedges: to what the recent work earned, or to two of the largest
// pieces of work where that is less, as a small service could never start a hedge otherwise. A single one would be
// too little once it has decayed.
func (b *budget) limit() float64 { return max(b.fraction*b.recent, 2*b.largest) }

// add counts work that is no hedge.
func (b *budget) add(now time.Time, work float64) {
	b.advance(now)
	b.recent += work
	b.largest = max(b.largest, work)
	b.earned = min(b.earned+b.fraction*work, b.limit())
}

// allows reports whether a hedge may do some work now.
func (b *budget) allows(now time.Time, work float64) bool {
	b.advance(now)
	return work <= b.earned
}
