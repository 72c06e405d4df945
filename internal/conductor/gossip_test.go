package conductor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStoreReadsAreStaggered checks the order in which routers ask the store when
// the first of them get no answer.
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
			c.Check(n <= max(1, size/6), qt.IsTrue, qt.Commentf("%d of %d routers ask within 100 ms from %v", n, size, first))
		}
		c.Check(checkAges[size-1] <= 2*time.Second, qt.IsTrue, qt.Commentf("a change is in force within three seconds, the answer included"))
	}
}

// TestStoreIsReadBeforeConfigExpires: also where keys have to be out of force soon, every
// router asks the store by itself while four tenths are left of the age up to which a
// proof counts.
func TestStoreIsReadBeforeConfigExpires(t *testing.T) {
	c := qt.New(t)
	for _, revoke := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, time.Minute} {
		maxAge := time.Duration(float64(revoke) * configAgeFraction)
		for _, size := range []int{1, 6, 30, 90, 390} {
			for rank := range size {
				age := storeReadAge(rank, size, minGossipPeriod, maxAge)
				c.Check(age <= maxAge*6/10, qt.IsTrue, qt.Commentf("router %d of %d asks at %v, proofs count for %v", rank, size, age, maxAge))
			}
		}
	}
}
