package conductor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRetriesOfRefusedRequestsAreSpread replays sdb-quotes-large scale-1 --vary --seed
// 88124: a caller sends ten times what a router takes, and all that is refused reaches the
// next router. That one works off what it can for as long as the callers' time allows.
func TestRetriesOfRefusedRequestsAreSpread(t *testing.T) {
	c := qt.New(t)
	const (
		capacity      = 7  // requests that a router begins between two looks
		floodRate     = 70 // requests between two looks
		floodTime     = 4 * time.Second
		callerTimeout = 15 * time.Second
		// maxAcceptedDelay is the longest wait that a caller accepts.
		maxAcceptedDelay = callerTimeout / 3
	)
	var e retryAfterEstimator
	retries := map[int]int{} // requests that come back, by look
	taken, refused := int64(0), int64(0)
	for at := time.Duration(0); at < floodTime; at += samplePeriod {
		taken += capacity
		refused += floodRate - capacity
		e.record(taken, refused)
		for i := range floodRate - capacity {
			after := min(e.delay(float64(i)/(floodRate-capacity), callerTimeout), maxAcceptedDelay)
			retries[int((at+after)/samplePeriod)]++
		}
	}
	served, samples := 0, int((floodTime+maxAcceptedDelay)/samplePeriod)
	for sample := range samples {
		served += min(retries[sample], capacity)
	}
	c.Assert(float64(served) >= 0.8*capacity*float64(samples), qt.IsTrue, qt.Commentf("%d of %d", served, capacity*samples))
}

// TestRetryAfterGrowsWithRefusals checks that callers do not wait where another router has
// room for all of them.
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
	c.Assert(e.delay(0.99, 3*time.Second), qt.Equals, time.Second, qt.Commentf("it can still be served then"))
}
