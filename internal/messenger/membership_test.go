package messenger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func peerNames(ps []Peer) []string {
	var out []string
	for _, p := range ps {
		out = append(out, p.Name)
	}
	return out
}

func TestMembershipTracksHeartbeats(t *testing.T) {
	c := qt.New(t)
	now := time.Hour
	r := NewMembership(Peer{Name: "a", Incarnation: 1}, 500*time.Millisecond,
		func() time.Duration { return now })
	b1 := Peer{Name: "b", Address: "b:1", Incarnation: 1}

	c.Assert(peerNames(r.Add(b1)), qt.DeepEquals, []string{"b"})
	c.Assert(peerNames(r.Reachable()), qt.DeepEquals, []string{"a"},
		qt.Commentf("b is listed but has sent no heartbeat"))
	c.Assert(peerNames(r.PeersDue(100*time.Millisecond, false)), qt.DeepEquals, []string{"b"})

	replaced, recovered := r.RecordHeartbeat(b1, false)
	c.Assert(replaced, qt.IsFalse)
	c.Assert(recovered, qt.IsTrue)
	c.Assert(peerNames(r.Reachable()), qt.DeepEquals, []string{"a", "b"})
	c.Assert(r.PeersDue(100*time.Millisecond, false), qt.HasLen, 0)

	now += 600 * time.Millisecond
	c.Assert(peerNames(r.Reachable()), qt.DeepEquals, []string{"a"})
	c.Assert(r.TimedOut(), qt.DeepEquals, []string{"b"})

	// A new process of the same name replaces the old one permanently.
	b2 := Peer{Name: "b", Address: "b:2", Incarnation: 2}
	replaced, _ = r.RecordHeartbeat(b2, false)
	c.Assert(replaced, qt.IsTrue)
	r.RecordHeartbeat(b1, false)
	c.Assert(r.Reachable()[1].Address, qt.Equals, "b:2")

	// A router that is shutting down is reachable but owns no servers.
	r.RecordHeartbeat(b2, true)
	c.Assert(peerNames(r.Owners("s", "", 2)), qt.DeepEquals, []string{"a"})
	r.StopOwning()
	c.Assert(r.Owners("s", "", 2), qt.HasLen, 0)
}

func TestMembershipDropsPeersNeverHeard(t *testing.T) {
	c := qt.New(t)
	now := time.Hour
	r := NewMembership(Peer{Name: "a"}, time.Second, func() time.Duration { return now })
	r.Add(Peer{Name: "b", Incarnation: 1})
	now += forgetAfter + time.Second
	c.Assert(r.PeersDue(time.Second, false), qt.HasLen, 0)
	c.Assert(r.Size(), qt.Equals, 1)
}
