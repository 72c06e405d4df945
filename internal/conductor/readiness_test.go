package conductor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// zoneModel simulates a zone whose load balancer directs all new connections of a caller to the
// first router in rotation, checks each router every second, and acts on the second failed check.
type zoneModel struct {
	routers      []readinessGate
	failedChecks []int
	arrivals     []int
	started      int
	maxWithdrawn int
}

const (
	modelSamplePeriod = 37 * time.Millisecond
	modelCapacity     = 2  // requests that a router can start per sample
	modelFloodRate    = 25 // requests of the flood per sample
)

func newZoneModel(n int) *zoneModel {
	return &zoneModel{routers: make([]readinessGate, n), failedChecks: make([]int, n), arrivals: make([]int, n)}
}

// run simulates the zone. setArrivals sets the number of requests that reach each router in a
// sample.
func (z *zoneModel) run(seconds int, setArrivals func(z *zoneModel)) {
	checkedAt := time.Duration(0)
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += modelSamplePeriod {
		clear(z.arrivals)
		setArrivals(z)
		overloaded, reports := 0, make([]bool, len(z.routers))
		for i := range z.routers {
			if reports[i] = z.routers[i].reportsOverload(); reports[i] {
				overloaded++
			}
		}
		withdrawn := 0
		for i := range z.routers {
			g := &z.routers[i]
			z.started += min(z.arrivals[i], modelCapacity)
			g.record(z.arrivals[i] > modelCapacity, false)
			others := overloaded
			if reports[i] {
				others--
			}
			g.update(time.Unix(0, 0).Add(at), others, len(z.routers))
			if g.isWithdrawn() {
				withdrawn++
			}
		}
		z.maxWithdrawn = max(z.maxWithdrawn, withdrawn)
		if at-checkedAt >= time.Second {
			checkedAt = at
			for i := range z.routers {
				if z.failedChecks[i]++; !z.routers[i].isWithdrawn() {
					z.failedChecks[i] = 0
				}
			}
		}
	}
}

// firstInRotation returns the first router in rotation, starting at an index.
func (z *zoneModel) firstInRotation(from int) int {
	for k := range z.routers {
		if i := (from + k) % len(z.routers); z.failedChecks[i] < 2 {
			return i
		}
	}
	return from
}

// TestFloodReachesOtherRouters checks that a flood by one caller reaches more than one router of
// an otherwise idle zone, and that at most a quarter of the routers are withdrawn at a time.
func TestFloodReachesOtherRouters(t *testing.T) {
	c := qt.New(t)
	z := newZoneModel(26)
	reached := map[int]bool{}
	z.run(8, func(z *zoneModel) {
		i := z.firstInRotation(7)
		reached[i] = true
		z.arrivals[i] = modelFloodRate
		for r := range reached {
			// Requests on existing connections continue to reach the router.
			z.arrivals[r] = max(z.arrivals[r], modelCapacity)
		}
	})
	oneRouter := modelCapacity * int(8*time.Second/modelSamplePeriod)
	c.Assert(float64(z.started) >= 1.8*float64(oneRouter), qt.IsTrue, qt.Commentf("%d requests started, a single router starts %d", z.started, oneRouter))
	c.Assert(4*z.maxWithdrawn <= len(z.routers), qt.IsTrue)
}

// Guards against callers that stay at their flooded routers since as many others of the zone are flooded, while most routers
// have capacity.
func TestSeveralFloodsReachOtherRouters(t *testing.T) {
	c := qt.New(t)
	const floods = 7
	z := newZoneModel(23)
	var reached [floods]map[int]bool
	z.run(8, func(z *zoneModel) {
		for i := range reached {
			r := z.firstInRotation(3 * i)
			if reached[i] == nil {
				reached[i] = map[int]bool{}
			}
			reached[i][r] = true
			for r := range reached[i] {
				z.arrivals[r] = max(z.arrivals[r], modelCapacity)
			}
			z.arrivals[r] += modelFloodRate
		}
	})
	oneRouterEach := floods * modelCapacity * int(8*time.Second/modelSamplePeriod)
	c.Assert(float64(z.started) >= 1.4*float64(oneRouterEach), qt.IsTrue, qt.Commentf("%d requests started, a router for each flood starts %d", z.started, oneRouterEach))
	for i, r := range reached {
		c.Check(len(r) > 1, qt.IsTrue, qt.Commentf("flood %d reaches one router", i))
	}
	c.Assert(2*z.maxWithdrawn <= len(z.routers), qt.IsTrue, qt.Commentf("%d of %d routers are withdrawn, the load balancer then uses all", z.maxWithdrawn, len(z.routers)))
}

// TestRoutersStayReadyWhenAllAreOverloaded checks that routers are not withdrawn, or become ready
// again, if the other routers of the zone have no capacity either.
func TestRoutersStayReadyWhenAllAreOverloaded(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{1, 2, 3, 26} {
		z := newZoneModel(size)
		z.run(10, func(z *zoneModel) {
			for i := range z.arrivals {
				z.arrivals[i] = 2 * modelCapacity
			}
		})
		for i := range z.routers {
			c.Check(z.routers[i].isWithdrawn(), qt.IsFalse, qt.Commentf("router %d of %d", i, size))
		}
	}
}

// TestWithdrawnRouterBecomesReadyAgain checks that a router becomes ready once the flood is over.
func TestWithdrawnRouterBecomesReadyAgain(t *testing.T) {
	c := qt.New(t)
	z := newZoneModel(8)
	z.run(4, func(z *zoneModel) { z.arrivals[0] = modelFloodRate })
	c.Assert(z.routers[0].isWithdrawn(), qt.IsTrue)
	c.Assert(z.routers[0].isOutOfRotation(time.Unix(0, 0).Add(4*time.Second)), qt.IsTrue)
	g := &z.routers[0]
	at := time.Unix(4, 0)
	for range 30 {
		at = at.Add(modelSamplePeriod)
		g.record(false, false)
		g.update(at, 0, 8)
	}
	c.Assert(g.reportsOverload(), qt.IsTrue, qt.Commentf("ready before the load balancer could have noticed the withdrawal"))
	for range 60 {
		at = at.Add(modelSamplePeriod)
		g.record(false, false)
		g.update(at, 0, 8)
	}
	c.Assert(g.reportsOverload(), qt.IsFalse)
}
