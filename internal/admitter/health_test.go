package admitter

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEventEndsSuspensionForSilences reports silences, events and ends of requests in any order. After an event, a
// server whose requests were only silent must not be suspended, and it never holds more requests than it has slots.
func TestEventEndsSuspensionForSilences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Admitter{UsageTimeConstant: 2 * time.Second}
		now := time.Unix(1000, 0)
		e := Engine{ID: "e", Slots: 8}
		var running []uint64
		lastID := uint64(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
			event := false
			what := rapid.SampledFrom([]string{"ask", "silent", "first", "done"}).Draw(t, "what")
			if what == "ask" {
				lastID++
				a.Submit(now, &Request{
					Router: "r", ID: lastID, Workspace: "w", Engine: e, Prompt: 10, Answer: 10, Arrived: now,
					FirstBy: now.Add(400 * time.Millisecond), Deadline: now.Add(time.Hour),
				})
			} else if len(running) > 0 {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "request")
				o := Outcome{Router: "r", ID: running[i], Server: "e"}
				o.First, o.Failed = what == "first", what == "silent"
				if what == "done" {
					o.First, o.Done, o.Whole = true, true, true
					running = append(running[:i], running[i+1:]...)
				}
				event = o.First
				a.RecordOutcome(now, o)
			}
			a.Tick(now)
			for _, d := range a.TakeDecisions() {
				if d.Granted {
					running = append(running, d.Request.ID)
				}
			}
			for _, l := range a.Loads(now) {
				if l.Suspended && event {
					t.Fatal("the server is suspended after an event")
				}
			}
			if len(running) > e.Slots {
				t.Fatalf("%d requests are running on %d slots", len(running), e.Slots)
			}
		}
	})
}
