package conductor

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"papayapaddle/internal/relayer"
)

const (
	// comebackSmoothing is the weight of the newest look in the rates: at a look each
	// 37 ms, half of it is from the last half second.
	comebackSmoothing = 0.05
	// maxComeback bounds what a refused caller is told, and patientPart does as a part of
	// the time that it has left, so that another router can still serve it.
	maxComeback = 8 * time.Second
	patientPart = 3
	// leastTaken is the number of requests in a look that any router is believed to take,
	// 20 a second; the smallest take 50.
	leastTaken = 0.74
)

// comeback decides when callers whom the router refuses for its own sake come back. They
// reach another router, which takes about as many as this one. The load that it answers:
// one caller's flood, all of which would reach the next router after the same moment and
// be refused there as well. The zero value sends callers on at once.
type comeback struct {
	// taken and refused are smoothed, for each look; the others the latest totals.
	taken, refused         float64
	lastTaken, lastRefused int64
	// spread is the time, in nanoseconds, that a router needs for what this one refuses
	// in a second.
	spread atomic.Int64
}

// note takes in how many requests were taken and refused since the start.
func (c *comeback) note(taken, refused int64) {
	c.taken += comebackSmoothing * (float64(taken-c.lastTaken) - c.taken)
	c.refused += comebackSmoothing * (float64(refused-c.lastRefused) - c.refused)
	c.lastTaken, c.lastRefused = taken, refused
	c.spread.Store(int64(float64(time.Second) * c.refused / max(leastTaken, c.taken)))
}

// after returns when a refused caller comes back, for a point in [0,1) and the time that the
// caller has left, 0 if it does not say.
func (c *comeback) after(point float64, left time.Duration) time.Duration {
	longest := maxComeback
	if left > 0 {
		longest = min(longest, max(left/patientPart, relayer.RetryElsewhereDelay))
	}
	return min(relayer.RetryElsewhereDelay+time.Duration(point*float64(c.spread.Load())), longest)
}

// retryAfter returns when the next refused caller comes back.
func (c *comeback) retryAfter(left time.Duration) time.Duration { return c.after(rand.Float64(), left) }
