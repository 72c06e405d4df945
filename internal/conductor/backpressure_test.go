package conductor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// zoneOfRouters models a zone whose balancer gives all new connections of one
// caller to the first router in rotation, asks each router every second, and acts
// on the second miss.
type zoneOfRouters struct {
	routers []backpressure
	misses  []int
	offered []int
	begun   int
	most    int
}

const (
	modelLook  = 37 * time.Millisecond
	modelTakes = 2  // requests that a router can begin between two looks
	modelFlood = 25 // requests of the flood between two looks
)

func newZone(n int) *zoneOfRouters {
	return &zoneOfRouters{routers: make([]backpressure, n), misses: make([]int, n), offered: make([]int, n)}
}

// play runs the zone while offer says what reaches each router in a look.
func (z *zoneOfRouters) play(seconds int, offer func(z *zoneOfRouters)) {
	polled := time.Duration(0)
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += modelLook {
		clear(z.offered)
		offer(z)
		crowded := 0
		for i := range z.routers {
			if z.routers[i].busy() {
				crowded++
			}
		}
		away := 0
		for i := range z.routers {
			b := &z.routers[i]
			z.begun += min(z.offered[i], modelTakes)
			b.note(z.offered[i] > modelTakes)
			others := crowded
			if b.busy() {
				others--
			}
			b.decide(time.Unix(0, 0).Add(at), others, len(z.routers))
			if b.away() {
				away++
			}
		}
		z.most = max(z.most, away)
		if at-polled >= time.Second {
			polled = at
			for i := range z.routers {
				if z.misses[i]++; !z.routers[i].away() {
					z.misses[i] = 0
				}
			}
		}
	}
}

// first returns the first router in rotation from one on.
func (z *zoneOfRouters) first(from int) int {
	for k := range z.routers {
		if i := (from + k) % len(z.routers); z.misses[i] < 2 {
			return i
		}
	}
	return from
}

// TestFloodReachesOtherRouters checks that the flood of one caller reaches further routers of a
// calm zone, and that no more than a quarter of them are away.
func TestFloodReachesOtherRouters(t *testing.T) {
	c := qt.New(t)
	z := newZone(26)
	reached := map[int]bool{}
	z.play(8, func(z *zoneOfRouters) {
		i := z.first(7)
		reached[i] = true
		z.offered[i] = modelFlood
		for r := range reached {
			// What it began on kept connections goes on there.
			z.offered[r] = max(z.offered[r], modelTakes)
		}
	})
	alone := modelTakes * int(8*time.Second/modelLook)
	c.Assert(float64(z.begun) >= 1.8*float64(alone), qt.IsTrue, qt.Commentf("%d begun, one router alone %d", z.begun, alone))
	c.Assert(z.most <= len(z.routers)/crowdedPart, qt.IsTrue)
}

// TestRoutersStayReadyWhenAllAreOverloaded checks that routers whose neighbours have no room
// either stay ready, also after they had left.
func TestRoutersStayReadyWhenAllAreOverloaded(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{1, 2, 3, 26} {
		z := newZone(size)
		z.play(10, func(z *zoneOfRouters) {
			for i := range z.offered {
				z.offered[i] = 2 * modelTakes
			}
		})
		for i := range z.routers {
			c.Check(z.routers[i].away(), qt.IsFalse, qt.Commentf("router %d of %d", i, size))
		}
	}
}

// TestWithdrawnRouterBecomesReadyAgain checks that a router is ready again once it is calm.
func TestWithdrawnRouterBecomesReadyAgain(t *testing.T) {
	c := qt.New(t)
	z := newZone(8)
	z.play(4, func(z *zoneOfRouters) { z.offered[0] = modelFlood })
	c.Assert(z.routers[0].away(), qt.IsTrue)
	c.Assert(z.routers[0].left(time.Unix(0, 0).Add(4*time.Second)), qt.IsTrue)
	b := &z.routers[0]
	at := time.Unix(4, 0)
	for range 30 {
		at = at.Add(modelLook)
		b.note(false)
		b.decide(at, 0, 8)
	}
	c.Assert(b.busy(), qt.IsTrue, qt.Commentf("no sooner than the balancer can notice"))
	for range 60 {
		at = at.Add(modelLook)
		b.note(false)
		b.decide(at, 0, 8)
	}
	c.Assert(b.busy(), qt.IsFalse)
}
