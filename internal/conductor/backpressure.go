package conductor

import (
	"sync/atomic"
	"time"
)

const (
	// refusedSmoothing is the weight of the newest look at whether requests were
	// refused: at a look each 37 ms, half of it is from the last half second.
	refusedSmoothing = 0.05
	// crowdedAbove is the part of the latest looks with a refusal from which a router
	// counts as crowded, and calmBelow the part below which it no longer does. Bursts
	// of less than a second do not make a router crowded.
	crowdedAbove = 0.7
	calmBelow    = 0.2
	// crowdedPart bounds the routers of a zone that are away: one in so many. If more
	// are crowded, the others have no room for their callers.
	crowdedPart = 4
	// awayFor is the least time that a router stays away: the balancer notices only
	// after two seconds, and streams last for some.
	awayFor = 5 * time.Second
)

// backpressure decides when a router stops being ready because more requests
// reach it than it can serve, while other routers of its zone have room. The load
// that it answers: all requests of a workspace's caller reach the same router,
// whose connections the balancer then gives to others.
type backpressure struct {
	// refused is the smoothed part of the looks with a refusal.
	refused float64
	crowded atomic.Bool
	// awaySince is when the router stopped being ready, nil while it is.
	awaySince atomic.Pointer[time.Time]
}

// note takes in whether a request was refused since the last look.
func (b *backpressure) note(refused bool) {
	newest := 0.0
	if refused {
		newest = 1
	}
	b.refused += refusedSmoothing * (newest - b.refused)
	switch {
	case b.refused > crowdedAbove:
		b.crowded.Store(true)
	case b.refused < calmBelow:
		b.crowded.Store(false)
	}
}

// busy says whether the other routers should count this one as crowded.
func (b *backpressure) busy() bool { return b.crowded.Load() || b.awaySince.Load() != nil }

// decide takes in how many of a zone's other routers are crowded, and how many
// routers the zone has, and says whether the router went away or came back.
func (b *backpressure) decide(now time.Time, crowded, size int) (changed bool) {
	since := b.awaySince.Load()
	room := (crowded+1)*crowdedPart <= size
	switch {
	case since == nil && b.crowded.Load() && room:
		b.awaySince.Store(&now)
		return true
	case since != nil && (!room || !b.crowded.Load() && now.Sub(*since) >= awayFor):
		b.awaySince.Store(nil)
		return true
	}
	return false
}

// away says whether the router is not ready.
func (b *backpressure) away() bool { return b.awaySince.Load() != nil }

// left says whether the balancer has noticed by now, so that callers whose
// connections are closed come back to other routers.
func (b *backpressure) left(now time.Time) bool {
	since := b.awaySince.Load()
	return since != nil && now.Sub(*since) >= turnAway
}

// onLook lets the pressure decide whether the router is ready.
func (n *node) onLook(now time.Time, refused bool) {
	n.backpressure.note(refused)
	n.comeback.note(n.pressure.taken.Load(), n.pressure.refused.Load())
	n.collector.note(n.pressure.limit.Load() < n.pressure.most.Load() || n.backpressure.refused > calmBelow)
	if !n.backpressure.busy() {
		return
	}
	crowded, size := n.roster.CountOverloaded()
	if n.backpressure.decide(now, crowded, size) {
		n.log("backpressure", "away", n.backpressure.away(), "refused-looks", n.backpressure.refused, "zone-crowded", crowded,
			"zone-routers", size, "active", n.relayer.Active(), "limit", n.pressure.limit.Load())
	}
}
