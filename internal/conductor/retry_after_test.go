package conductor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRetriesOfRefusedRequestsAreSpread guards against retries that reach the next router all at
// once. A caller sends ten times the requests that a router accepts, and all refused requests are
// retried at the same other router, which must be used to its capacity until they expire.
func TestRetriesOfRefusedRequestsAreSpread(t *testing.T) {
	c := qt.New(t)
	const (
		capacity      = 7  // requests that a router accepts per sample
		floodRate     = 70 // requests per sample
		floodTime     = 4 * time.Second
		callerTimeout = 15 * time.Second
		// maxAcceptedDelay is the longest delay that a caller accepts.
		maxAcceptedDelay = callerTimeout / 3
	)
	var e retryAfterEstimator
	retries := map[int]int{} // number of retries by sample
	accepted, refused := int64(0), int64(0)
	for at := time.Duration(0); at < floodTime; at += samplePeriod {
		accepted += capacity
		refused += floodRate - capacity
		e.record(accepted, refused)
		for i := range floodRate - capacity {
			after := min(e.delay(float64(i)/(floodRate-capacity), callerTimeout), maxAcceptedDelay)
			retries[int((at+after)/samplePeriod)]++
		}
	}
	served, samples := 0, int((floodTime+maxAcceptedDelay)/samplePeriod)
	for sample := range samples {
		served += min(retries[sample], capacity)
	}
	c.Assert(float64(served) >= 0.8*capacity*float64(samples), qt.IsTrue, qt.Commentf("%d requests served, capacity %d", served, capacity*samples))
}

// TestRetryAfterGrowsWithRefusals checks that the delay is short while another router could accept
// all refused requests, and is limited by the maximum and by the caller's remaining time.
func TestRetryAfterGrowsWithRefusals(t *testing.T) {
	c := qt.New(t)
	var e retryAfterEstimator
	for i := range int64(200) {
		e.record(100*i, i)
	}
	c.Assert(e.delay(0.99, 0) < 250*time.Millisecond, qt.IsTrue)
	for i := range int64(400) {
		e.record(20_000+i/100, 200+100*i)
	}
	c.Assert(e.delay(0.99, 0), qt.Equals, maxRetryAfter)
	c.Assert(e.delay(0.99, 3*time.Second), qt.Equals, time.Second, qt.Commentf("the retry leaves no time to serve the request"))
}
