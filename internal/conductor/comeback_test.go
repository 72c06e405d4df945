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
		takes    = 7  // requests that a router begins between two looks
		flood    = 70 // requests between two looks
		lasting  = 4 * time.Second
		patience = 15 * time.Second
		// honoured is the longest wait that a caller accepts.
		honoured = patience / 3
	)
	var b comeback
	returns := map[int]int{} // requests that come back, by look
	taken, refused := int64(0), int64(0)
	for at := time.Duration(0); at < lasting; at += lagStep {
		taken += takes
		refused += flood - takes
		b.note(taken, refused)
		for i := range flood - takes {
			after := min(b.after(float64(i)/(flood-takes), patience), honoured)
			returns[int((at+after)/lagStep)]++
		}
	}
	served, looks := 0, int((lasting+honoured)/lagStep)
	for look := range looks {
		served += min(returns[look], takes)
	}
	c.Assert(float64(served) >= 0.8*takes*float64(looks), qt.IsTrue, qt.Commentf("%d of %d", served, takes*looks))
}

// TestRetryAfterGrowsWithRefusals checks that callers do not wait where another router has
// room for all of them.
func TestRetryAfterGrowsWithRefusals(t *testing.T) {
	c := qt.New(t)
	var b comeback
	for i := range int64(200) {
		b.note(100*i, i)
	}
	c.Assert(b.after(0.99, 0) < 250*time.Millisecond, qt.IsTrue)
	for i := range int64(400) {
		b.note(20_000+i/100, 200+100*i)
	}
	c.Assert(b.after(0.99, 0), qt.Equals, maxComeback)
	c.Assert(b.after(0.99, 3*time.Second), qt.Equals, time.Second, qt.Commentf("it can still be served then"))
}
