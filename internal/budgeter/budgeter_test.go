package budgeter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var testBudget = Budget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}

type event struct {
	at    time.Time
	retry bool
}

// countInWindow returns the number of retries, or of requests, in the window that ends at end.
func countInWindow(events []event, end time.Time, retry bool) float64 {
	n := 0.0
	for _, e := range events {
		if e.retry == retry && !e.at.After(end) && end.Sub(e.at) < testBudget.Window {
			n++
		}
	}
	return n
}

// TestRetriesStayWithinBudgetInEveryWindow runs several routers that do not communicate and
// retry as often as they may. In every window, the retries of all routers together must stay
// within the shared budget.
func TestRetriesStayWithinBudgetInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "routers")
		routers := make([]*Budgeter, n)
		for i := range routers {
			routers[i] = &Budgeter{Budget: testBudget}
			routers[i].SetRouterCount(n)
		}
		now := time.Unix(0, 0)
		var events []event
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause-ms")) * time.Millisecond)
			r := routers[rapid.IntRange(0, n-1).Draw(t, "router")]
			if rapid.Bool().Draw(t, "request") {
				r.RecordRequest(now, "s")
				events = append(events, event{at: now})
			} else if r.AllowRetry(now, "s") {
				events = append(events, event{at: now, retry: true})
			}
		}
		for _, e := range events {
			retries := countInWindow(events, e.at, true)
			if allowed := testBudget.Ratio*countInWindow(events, e.at, false) + testBudget.Slack; retries > allowed {
				t.Fatalf("%v retries in the window ending at %v, %v allowed", retries, e.at, allowed)
			}
		}
	})
}

func TestEachServiceHasItsOwnBudget(t *testing.T) {
	c := qt.New(t)
	b := &Budgeter{Budget: Budget{Ratio: 0, Slack: 2, Window: time.Second}}
	now := time.Unix(0, 0)
	c.Assert(b.AllowRetry(now, "a"), qt.IsTrue)
	c.Assert(b.AllowRetry(now, "a"), qt.IsFalse)
	c.Assert(b.AllowRetry(now, "b"), qt.IsTrue)
	c.Assert(b.AllowRetry(now.Add(1100*time.Millisecond), "a"), qt.IsTrue)
}

// Guards against hedges that spend the whole budget, so that a request whose server ends is not retried.
func TestHedgesLeaveBudgetToRetries(t *testing.T) {
	c := qt.New(t)
	b := &Budgeter{Budget: testBudget}
	now := time.Unix(0, 0)
	for range 1000 {
		b.RecordRequest(now, "s")
	}
	hedges := 0
	for b.MayHedge(now, "s") && b.AllowRetry(now, "s") {
		hedges++
	}
	retries := 0
	for b.AllowRetry(now, "s") {
		retries++
	}
	c.Assert(hedges, qt.Equals, 87)
	c.Assert(retries, qt.Equals, 88)
}
