package conductor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// zoneModel models a zone whose balancer gives all new connections of one
// caller to the first router in rotation, asks each router every second, and acts
// on the second miss.
type zoneModel struct {
	routers      []readinessGate
	failedChecks []int
	arrivals     []int
	started      int
	maxWithdrawn int
}

const (
	modelSamplePeriod = 37 * time.Millisecond
	modelCapacity     = 2  // requests that a router can begin between two looks
	modelFloodRate    = 25 // requests of the flood between two looks
)

func newZoneModel(n int) *zoneModel {
	return &zoneModel{routers: make([]readinessGate, n), failedChecks: make([]int, n), arrivals: make([]int, n)}
}

// run runs the zone while offer says what reaches each router in a look.
func (z *zoneModel) run(seconds int, setArrivals func(z *zoneModel)) {
	checkedAt := time.Duration(0)
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += modelSamplePeriod {
		clear(z.arrivals)
		setArrivals(z)
		overloaded := 0
		for i := range z.routers {
			if z.routers[i].reportsOverload() {
				overloaded++
			}
		}
		withdrawn := 0
		for i := range z.routers {
			g := &z.routers[i]
			z.started += min(z.arrivals[i], modelCapacity)
			g.record(z.arrivals[i] > modelCapacity)
			others := overloaded
			if g.reportsOverload() {
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

// firstInRotation returns the first router in rotation from one on.
func (z *zoneModel) firstInRotation(from int) int {
	for k := range z.routers {
		if i := (from + k) % len(z.routers); z.failedChecks[i] < 2 {
			return i
		}
	}
	return from
}

// TestFloodReachesOtherRouters checks that the flood of one caller reaches further routers of a
// calm zone, and that no more than a quarter of them are away.
func TestFloodReachesOtherRouters(t *testing.T) {
	c := qt.New(t)
	z := newZoneModel(26)
	reached := map[int]bool{}
	z.run(8, func(z *zoneModel) {
		i := z.firstInRotation(7)
		reached[i] = true
		z.arrivals[i] = modelFloodRate
		for r := range reached {
			// What it began on kept connections goes on there.
			z.arrivals[r] = max(z.arrivals[r], modelCapacity)
		}
	})
	oneRouter := modelCapacity * int(8*time.Second/modelSamplePeriod)
	c.Assert(float64(z.started) >= 1.8*float64(oneRouter), qt.IsTrue, qt.Commentf("%d begun, one router alone %d", z.started, oneRouter))
	c.Assert(z.maxWithdrawn <= len(z.routers)/zoneRoutersPerWithdrawal, qt.IsTrue)
}

// TestRoutersStayReadyWhenAllAreOverloaded checks that routers whose neighbours have no room
// either stay ready, also after they had left.
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

// TestWithdrawnRouterBecomesReadyAgain checks that a router is ready again once it is calm.
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
		g.record(false)
		g.update(at, 0, 8)
	}
	c.Assert(g.reportsOverload(), qt.IsTrue, qt.Commentf("no sooner than the balancer can notice"))
	for range 60 {
		at = at.Add(modelSamplePeriod)
		g.record(false)
		g.update(at, 0, 8)
	}
	c.Assert(g.reportsOverload(), qt.IsFalse)
}
