package conductor

import (
	"sync/atomic"
	"time"
)

const (
	// overloadSmoothing is the weight of the newest sample in overloadFraction. With a sample
	// every 37 ms, half of the total weight is on the last half second.
	overloadSmoothing = 0.05
	// A router reports overload to its peers once it is nearly full or its overload fraction
	// exceeds overloadedAbove, until the fraction falls below recoveredBelow. Refusals in bursts
	// of less than a second do not reach overloadedAbove.
	overloadedAbove = 0.7
	recoveredBelow  = 0.2
	// A router is withdrawn if it is one of maxWithdrawnFraction of its zone's routers that are overloaded at most: with
	// less than half of them in rotation, the load balancer uses all. It becomes ready again if more than maxOverloadedFraction
	// are overloaded, as the others then have no capacity for its callers. Zones of less than minZoneSize routers have
	// none to spare.
	maxWithdrawnFraction  = 1.0 / 3
	maxOverloadedFraction = 2.0 / 3
	minZoneSize           = 4
	// minWithdrawal is the shortest time that a router stays withdrawn. The load balancer notices
	// only after two seconds, and streams that have started go on for some seconds.
	minWithdrawal = 3500 * time.Millisecond
	// largeRouterRatio is the CPU share relative to the mean of the zone's other routers from which a router is large.
	largeRouterRatio = 2
)

// readinessGate withdraws a router from the load balancer's rotation, by reporting it as not
// ready, while it is nearly full, unless it is large, or receives more requests than it can serve, and other routers
// of its zone have capacity. This covers a workspace with a single caller, whose requests all
// reach the same router: the load balancer then directs the caller's new connections to other
// routers.
type readinessGate struct {
	// overloadFraction is the smoothed fraction of samples with a refused request, or in which
	// the router was nearly full.
	overloadFraction float64
	overloaded       atomic.Bool
	// withdrawnSince is nil while the router is not withdrawn.
	withdrawnSince atomic.Pointer[time.Time]
}

// record adds a sample: whether a request was refused since the last one, and whether the router
// is nearly full.
func (g *readinessGate) record(refused, nearlyFull bool) {
	sample := 0.0
	if refused || nearlyFull {
		sample = 1
	}
	g.overloadFraction += overloadSmoothing * (sample - g.overloadFraction)
	switch {
	case g.overloadFraction > overloadedAbove || nearlyFull:
		g.overloaded.Store(true)
	case g.overloadFraction < recoveredBelow:
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
	fraction := float64(overloaded+1) / float64(max(1, size))
	switch {
	case since == nil && g.overloaded.Load() && size >= minZoneSize && fraction <= maxWithdrawnFraction:
		g.withdrawnSince.Store(&now)
		return true
	case since != nil && (fraction > maxOverloadedFraction || !g.overloaded.Load() && now.Sub(*since) >= minWithdrawal):
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

// isLargeRouter reports whether a router has much more CPU than the others of its zone. A large router is not withdrawn for
// being nearly full, but only for refusals: the router that gets its callers bears a part of what it bears itself.
func isLargeRouter(cpuShare, meanZoneShare float64) bool {
	return meanZoneShare > 0 && cpuShare >= largeRouterRatio*meanZoneShare
}

// handleSample updates everything that depends on the load. It is called once per sample.
func (n *node) handleSample(now time.Time, refused bool) {
	n.readiness.record(refused, n.limiter.isNearlyFull() && !isLargeRouter(n.limiter.cpuShare, n.membership.MeanZoneCPUShare()))
	n.retryAfter.record(n.limiter.accepted.Load(), n.limiter.refused.Load())
	n.gcTuner.setOverloaded(n.limiter.limit.Load() < n.limiter.ceiling.Load() || n.readiness.overloadFraction > recoveredBelow)
	if !n.readiness.reportsOverload() {
		return
	}
	overloaded, size := n.membership.CountOverloaded()
	if n.readiness.update(now, overloaded, size) {
		n.log("backpressure", "away", n.readiness.isWithdrawn(), "refused-looks", n.readiness.overloadFraction, "zone-crowded", overloaded,
			"zone-routers", size, "active", n.relayer.Active(), "limit", n.limiter.limit.Load())
	}
}
