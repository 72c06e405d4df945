package conductor

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"papayapaddle/internal/relayer"
)

const (
	// retryRateSmoothing is the weight of the newest sample in the rates. With a sample every
	// 37 ms, half of the total weight is on the last half second.
	retryRateSmoothing = 0.05
	// maxRetryAfter is the longest retry delay in a refusal. For a caller with a known deadline
	// the longest delay is its remaining time divided by retryDeadlineDivisor, or
	// RetryElsewhereDelay if that is longer, so that another router can still serve the request.
	maxRetryAfter        = 8 * time.Second
	retryDeadlineDivisor = 3
	// minAcceptedPerSample is the lowest assumed number of requests that a router accepts per
	// sample. It is 20 requests a second; the smallest routers accept 50.
	minAcceptedPerSample = 0.74
)

// retryAfterEstimator computes the retry delay for callers that are refused because the
// router is overloaded. Their retries reach another router, which is assumed to accept as
// many requests as this one. Delays are spread, since a flood by one caller would otherwise
// reach the next router all at once and be refused there as well. The zero value returns the
// shortest delay.
type retryAfterEstimator struct {
	// acceptedRate and refusedRate are smoothed numbers of requests per sample. lastAccepted
	// and lastRefused are the totals at the last sample.
	acceptedRate, refusedRate float64
	lastAccepted, lastRefused int64
	// spreadNanos is the time, in nanoseconds, that a router needs to accept as many requests
	// as this one refuses in a second.
	spreadNanos atomic.Int64
}

// record updates the rates from the numbers of requests accepted and refused since the start.
func (e *retryAfterEstimator) record(accepted, refused int64) {
	e.acceptedRate += retryRateSmoothing * (float64(accepted-e.lastAccepted) - e.acceptedRate)
	e.refusedRate += retryRateSmoothing * (float64(refused-e.lastRefused) - e.refusedRate)
	e.lastAccepted, e.lastRefused = accepted, refused
	e.spreadNanos.Store(int64(float64(time.Second) * e.refusedRate / max(minAcceptedPerSample, e.acceptedRate)))
}

// delay returns the retry delay at a fraction in [0,1) of the spread. timeLeft is the time
// until the caller's deadline, or 0 if it is unknown.
func (e *retryAfterEstimator) delay(fraction float64, timeLeft time.Duration) time.Duration {
	maxDelay := maxRetryAfter
	if timeLeft > 0 {
		maxDelay = min(maxDelay, max(timeLeft/retryDeadlineDivisor, relayer.RetryElsewhereDelay))
	}
	return min(relayer.RetryElsewhereDelay+time.Duration(fraction*float64(e.spreadNanos.Load())), maxDelay)
}

// randomDelay returns a random retry delay; see delay for timeLeft.
func (e *retryAfterEstimator) randomDelay(timeLeft time.Duration) time.Duration {
	return e.delay(rand.Float64(), timeLeft)
}
