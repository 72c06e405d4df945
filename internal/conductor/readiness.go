package conductor

import (
	"sync/atomic"
	"time"
)

const (
	// refusalSmoothing is the weight of the newest look at whether requests were
	// refused: at a look each 37 ms, half of it is from the last half second.
	refusalSmoothing = 0.05
	// overloadedAbove is the part of the latest looks with a refusal from which a router
	// counts as crowded, and calmBelow the part below which it no longer does. Bursts
	// of less than a second do not make a router crowded.
	overloadedAbove = 0.7
	recoveredBelow  = 0.2
	// zoneRoutersPerWithdrawal bounds the routers of a zone that are away: one in so many. If more
	// are crowded, the others have no room for their callers.
	zoneRoutersPerWithdrawal = 4
	// minWithdrawal is the least time that a router stays away: the balancer notices only
	// after two seconds, and streams last for some.
	minWithdrawal = 5 * time.Second
)

// readinessGate decides when a router stops being ready because more requests
// reach it than it can serve, while other routers of its zone have room. The load
// that it answers: all requests of a workspace's caller reach the same router,
// whose connections the balancer then gives to others.
type readinessGate struct {
	// refusalFraction is the smoothed part of the looks with a refusal.
	refusalFraction float64
	overloaded      atomic.Bool
	// withdrawnSince is when the router stopped being ready, nil while it is.
	withdrawnSince atomic.Pointer[time.Time]
}

// record takes in whether a request was refused since the last look.
func (g *readinessGate) record(refused bool) {
	sample := 0.0
	if refused {
		sample = 1
	}
	g.refusalFraction += refusalSmoothing * (sample - g.refusalFraction)
	switch {
	case g.refusalFraction > overloadedAbove:
		g.overloaded.Store(true)
	case g.refusalFraction < recoveredBelow:
		g.overloaded.Store(false)
	}
}

// reportsOverload says whether the other routers should count this one as crowded.
func (g *readinessGate) reportsOverload() bool {
	return g.overloaded.Load() || g.withdrawnSince.Load() != nil
}

// update takes in how many of a zone's other routers are crowded, and how many
// routers the zone has, and says whether the router went away or came back.
func (g *readinessGate) update(now time.Time, overloaded, size int) (changed bool) {
	since := g.withdrawnSince.Load()
	allowed := (overloaded+1)*zoneRoutersPerWithdrawal <= size
	switch {
	case since == nil && g.overloaded.Load() && allowed:
		g.withdrawnSince.Store(&now)
		return true
	case since != nil && (!allowed || !g.overloaded.Load() && now.Sub(*since) >= minWithdrawal):
		g.withdrawnSince.Store(nil)
		return true
	}
	return false
}

// isWithdrawn says whether the router is not ready.
func (g *readinessGate) isWithdrawn() bool { return g.withdrawnSince.Load() != nil }

// isOutOfRotation says whether the balancer has noticed by now, so that callers whose
// connections are closed come back to other routers.
func (g *readinessGate) isOutOfRotation(now time.Time) bool {
	since := g.withdrawnSince.Load()
	return since != nil && now.Sub(*since) >= balancerReactionTime
}

// handleSample lets the pressure decide whether the router is ready.
func (n *node) handleSample(now time.Time, refused bool) {
	n.readiness.record(refused)
	n.retryAfter.record(n.limiter.accepted.Load(), n.limiter.refused.Load())
	n.gcTuner.setOverloaded(n.limiter.limit.Load() < n.limiter.ceiling.Load() || n.readiness.refusalFraction > recoveredBelow)
	if !n.readiness.reportsOverload() {
		return
	}
	overloaded, size := n.roster.Crowded()
	if n.readiness.update(now, overloaded, size) {
		n.log("backpressure", "away", n.readiness.isWithdrawn(), "refused-looks", n.readiness.refusalFraction, "zone-crowded", overloaded,
			"zone-routers", size, "active", n.relayer.Active(), "limit", n.limiter.limit.Load())
	}
}
