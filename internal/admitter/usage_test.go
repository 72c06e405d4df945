package admitter

import (
	"maps"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestGrantsReachPeers tells one router's grants to another one in messages that
// may be lost, with processes that start anew: after the last message the
// receiver knows what the sender granted.
func TestGrantsReachPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		sender, receiver := &usage{fade: 2 * time.Second}, &usage{fade: 2 * time.Second}
		tell := func(arrives bool) {
			grants, till := sender.since(now, receiver.seen("peer"))
			if arrives {
				receiver.hear(now, "peer", grants, till)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				// The router is lost and forgotten, and comes back as a new process.
				sender = &usage{fade: 2 * time.Second}
				receiver.forget(now, "peer")
			case 1, 2, 3:
				tell(rapid.Bool().Draw(t, "arrives"))
			case 4:
				receiver.charge(now, "x", 10)
			default:
				sender.charge(now, rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "workspace"), float64(rapid.IntRange(-50, 5000).Draw(t, "tokens")))
			}
		}
		tell(true)
		for _, w := range []string{"x", "y", "z"} {
			want := sender.of(now, w)
			if g := receiver.own[w]; g != nil {
				want += receiver.now(&g.faded, now)
			}
			// Tokens are told as whole numbers, and what faded away is not told.
			if got := receiver.of(now, w); math.Abs(got-want) > 2*forgotten {
				t.Fatalf("%s: %f, not %f; told %v", w, got, want, maps.Collect(maps.All(receiver.peers)))
			}
		}
	})
}
