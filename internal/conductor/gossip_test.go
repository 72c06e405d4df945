package conductor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStoreReadsAreStaggered checks that routers do not all read the store at once if the first of
// them get no answer.
func TestStoreReadsAreStaggered(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{6, 30, 90} {
		period := max(minGossipPeriod, time.Duration(size)*time.Second/(2*maxExchangesPerSecond))
		var checkAges []time.Duration
		for rank := range size {
			checkAges = append(checkAges, storeReadAge(rank, size, period, referenceMaxAge))
		}
		for i, first := range checkAges {
			n := 0
			for _, age := range checkAges[i:] {
				if age < first+100*time.Millisecond {
					n++
				}
			}
			c.Check(n <= max(1, size/6), qt.IsTrue, qt.Commentf("%d of %d routers read the store within 100 ms from %v", n, size, first))
		}
		c.Check(checkAges[size-1] <= 2*time.Second, qt.IsTrue, qt.Commentf("a change must take effect within three seconds, including the store's answer"))
	}
}

// TestStoreIsReadBeforeConfigExpires checks that even with a short key revocation time every router
// reads the store by itself before 60% of the maximum configuration age have passed.
func TestStoreIsReadBeforeConfigExpires(t *testing.T) {
	c := qt.New(t)
	for _, revoke := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, time.Minute} {
		maxAge := time.Duration(float64(revoke) * configAgeFraction)
		for _, size := range []int{1, 6, 30, 90, 390} {
			for rank := range size {
				age := storeReadAge(rank, size, minGossipPeriod, maxAge)
				c.Check(age <= maxAge*6/10, qt.IsTrue, qt.Commentf("router %d of %d reads the store at age %v, maximum age %v", rank, size, age, maxAge))
			}
		}
	}
}

// Guards against a leaf that does not read the store for up to 46 s while its hub counts a fleet that is just starting: the
// ranks of leaves are above the number of routers then, and hubs count twice.
func TestStoreIsReadWhileFleetStarts(t *testing.T) {
	for _, size := range []int{0, 1, 100, 295} {
		age := storeReadAge(310, size, minGossipPeriod, referenceMaxAge)
		qt.Check(t, age <= 2*time.Second, qt.IsTrue, qt.Commentf("rank 310 of %d reads the store at age %v", size, age))
	}
}
