package conductor

import (
	"sync/atomic"
	"time"
)

const (
	// refusalSmoothing is the weight of the newest sample in refusalFraction. With a sample
	// every 37 ms, half of the total weight is on the last half second.
	refusalSmoothing = 0.05
	// A router reports overload to its peers once its refusal fraction exceeds overloadedAbove,
	// until it falls below recoveredBelow. Bursts of less than a second do not reach
	// overloadedAbove.
	overloadedAbove = 0.7
	recoveredBelow  = 0.2
	// zoneRoutersPerWithdrawal is the number of routers in a zone for each one that may be
	// withdrawn. If more are overloaded, the others have no capacity for their callers.
	zoneRoutersPerWithdrawal = 4
	// minWithdrawal is the shortest time that a router stays withdrawn. The load balancer notices
	// only after two seconds, and streams that have started go on for some seconds.
	minWithdrawal = 5 * time.Second
)

// readinessGate withdraws a router from the load balancer's rotation, by reporting it as not
// ready, while it receives more requests than it can serve and other routers of its zone have
// capacity. This covers a workspace with a single caller, whose requests all reach the same
// router: the load balancer then directs the caller's new connections to other routers.
type readinessGate struct {
	// refusalFraction is the smoothed fraction of samples with a refused request.
	refusalFraction float64
	overloaded      atomic.Bool
	// withdrawnSince is nil while the router is not withdrawn.
	withdrawnSince atomic.Pointer[time.Time]
}

// record adds a sample: whether the router is overloaded.
func (g *readinessGate) record(overloaded bool) {
	sample := 0.0
	if overloaded {
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

// reportsOverload reports whether other routers should count this one as overloaded.
func (g *readinessGate) reportsOverload() bool {
	return g.overloaded.Load() || g.withdrawnSince.Load() != nil
}

// update withdraws the router or makes it ready again, and reports whether it did either.
// overloaded is the number of other routers in the zone that are overloaded, size the number
// of all routers in the zone.
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

// isWithdrawn reports whether the router is not ready because of overload.
func (g *readinessGate) isWithdrawn() bool { return g.withdrawnSince.Load() != nil }

// isOutOfRotation reports whether the load balancer has noticed the withdrawal by now, so that
// callers whose connections are closed reconnect to other routers.
func (g *readinessGate) isOutOfRotation(now time.Time) bool {
	since := g.withdrawnSince.Load()
	return since != nil && now.Sub(*since) >= balancerReactionTime
}

// handleSample updates everything that depends on the load. It is called once per sample.
func (n *node) handleSample(now time.Time, refused bool) {
	n.readiness.record(n.limiter.isOverloaded(refused))
	n.retryAfter.record(n.limiter.accepted.Load(), n.limiter.refused.Load())
	n.gcTuner.setOverloaded(n.limiter.limit.Load() < n.limiter.ceiling.Load() || n.readiness.refusalFraction > recoveredBelow)
	if !n.readiness.reportsOverload() {
		return
	}
	overloaded, size := n.membership.CountOverloaded()
	if n.readiness.update(now, overloaded, size) {
		n.log("backpressure", "away", n.readiness.isWithdrawn(), "refused-looks", n.readiness.refusalFraction, "zone-crowded", overloaded,
			"zone-routers", size, "active", n.relayer.Active(), "limit", n.limiter.limit.Load())
	}
}
