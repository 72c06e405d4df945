package admitter

import (
	"maps"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPeerGrantsConvergeAfterMessageLoss sends the grants of one router to another in
// messages that may be lost, while the sender restarts at times. After the last message, the
// receiver must know all grants of the sender.
func TestPeerGrantsConvergeAfterMessageLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		sender, receiver := &usageTracker{timeConstant: 2 * time.Second},
			&usageTracker{timeConstant: 2 * time.Second}
		send := func(arrives bool) {
			grants, sequence := sender.grantsSince(now, receiver.peerSequence("peer"))
			if arrives {
				receiver.mergePeerGrants(now, "peer", grants, sequence)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				// The sender crashes, is removed by the receiver and restarts.
				sender = &usageTracker{timeConstant: 2 * time.Second}
				receiver.removePeer(now, "peer")
			case 1, 2, 3:
				send(rapid.Bool().Draw(t, "arrives"))
			case 4:
				receiver.charge(now, "x", 10)
			default:
				sender.charge(now, rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "workspace"),
					float64(rapid.IntRange(-50, 5000).Draw(t, "tokens")))
			}
			want := 0.0
			for _, sum := range receiver.total {
				want = max(want, receiver.current(sum, now))
			}
			if got := receiver.largest(now); math.Abs(got-want) > negligibleTokens {
				t.Fatalf("largest usage is %f, want %f", got, want)
			}
		}
		send(true)
		for _, workspace := range []string{"x", "y", "z"} {
			want := sender.workspaceTokens(now, workspace)
			if g := receiver.ownGrants[workspace]; g != nil {
				want += receiver.current(&g.decayingSum, now)
			}
			// Usage is sent as whole numbers, and negligible usage is not sent.
			if got := receiver.workspaceTokens(now, workspace); math.Abs(got-want) > 2*negligibleTokens {
				t.Fatalf("usage of %s is %f, want %f; received from peers: %v",
					workspace, got, want, maps.Collect(maps.All(receiver.peers)))
			}
		}
	})
}
