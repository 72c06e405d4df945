package conductor

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"papayapaddle/internal/relayer"
)

const (
	// retryRateSmoothing is the weight of the newest look in the rates: at a look each
	// 37 ms, half of it is from the last half second.
	retryRateSmoothing = 0.05
	// maxRetryAfter bounds what a refused caller is told, and patientPart does as a part of
	// the time that it has left, so that another router can still serve it.
	maxRetryAfter        = 8 * time.Second
	retryDeadlineDivisor = 3
	// minAcceptedPerSample is the number of requests in a look that any router is believed to take,
	// 20 a second; the smallest take 50.
	minAcceptedPerSample = 0.74
)

// retryAfterEstimator decides when callers whom the router refuses for its own sake come back. They
// reach another router, which takes about as many as this one. The load that it answers:
// one caller's flood, all of which would reach the next router after the same moment and
// be refused there as well. The zero value sends callers on at once.
type retryAfterEstimator struct {
	// acceptedRate and refused are smoothed, for each look; the others the latest totals.
	acceptedRate, refusedRate float64
	lastAccepted, lastRefused int64
	// spreadNanos is the time, in nanoseconds, that a router needs for what this one refuses
	// in a second.
	spreadNanos atomic.Int64
}

// record takes in how many requests were taken and refused since the start.
func (e *retryAfterEstimator) record(accepted, refused int64) {
	e.acceptedRate += retryRateSmoothing * (float64(accepted-e.lastAccepted) - e.acceptedRate)
	e.refusedRate += retryRateSmoothing * (float64(refused-e.lastRefused) - e.refusedRate)
	e.lastAccepted, e.lastRefused = accepted, refused
	e.spreadNanos.Store(int64(float64(time.Second) * e.refusedRate / max(minAcceptedPerSample, e.acceptedRate)))
}

// delay returns when a refused caller comes back, for a point in [0,1) and the time that the
// caller has left, 0 if it does not say.
func (e *retryAfterEstimator) delay(fraction float64, timeLeft time.Duration) time.Duration {
	maxDelay := maxRetryAfter
	if timeLeft > 0 {
		maxDelay = min(maxDelay, max(timeLeft/retryDeadlineDivisor, relayer.RetryElsewhere))
	}
	return min(relayer.RetryElsewhere+time.Duration(fraction*float64(e.spreadNanos.Load())), maxDelay)
}

// randomDelay returns when the next refused caller comes back.
func (e *retryAfterEstimator) randomDelay(timeLeft time.Duration) time.Duration {
	return e.delay(rand.Float64(), timeLeft)
}
