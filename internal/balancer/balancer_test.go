package balancer

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/cataloger"
)

func TestPick(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	near := &cataloger.Server{ID: "near", AvailabilityZone: "here"}
	far := &cataloger.Server{ID: "far", AvailabilityZone: "there"}
	all := []*cataloger.Server{far, near}
	b := &Balancer{Zone: "here"}

	c.Assert(b.Pick(now, all, nil), qt.Equals, near)
	c.Assert(b.Pick(now, all, nil), qt.Equals, far, qt.Commentf("the near server has a request in flight"))
	b.RequestDone(now, "near", false, false, 10*time.Millisecond)
	b.RequestDone(now, "far", false, false, 10*time.Millisecond)
	c.Assert(b.Pick(now, all, []string{"near"}), qt.Equals, far)
	c.Assert(b.Pick(now, all, []string{"near", "far"}), qt.IsNil)
	b.RequestDone(now, "far", false, false, 10*time.Millisecond)

	for range maxConsecutiveFailures {
		c.Assert(b.Pick(now, []*cataloger.Server{near}, nil), qt.Equals, near)
		b.RequestDone(now, "near", true, false, 10*time.Millisecond)
	}
	c.Assert(b.Pick(now, all, nil), qt.Equals, far)
	c.Assert(b.Pick(now, []*cataloger.Server{near}, nil), qt.Equals, near,
		qt.Commentf("a failing server must be picked if there is no other"))
	b.RequestDone(now, "near", false, false, 10*time.Millisecond)
	b.RequestDone(now, "far", false, false, 10*time.Millisecond)
	c.Assert(b.Pick(now.Add(failureCooldown), all, nil), qt.Equals, near,
		qt.Commentf("the near server has recovered"))
}

func TestOverloadedServerIsAvoidedBriefly(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	a, z := &cataloger.Server{ID: "a"}, &cataloger.Server{ID: "z"}
	b := &Balancer{}
	for range 20 {
		s := b.Pick(now, []*cataloger.Server{a, z}, nil)
		b.RequestDone(now, s.ID, false, s == a, 0)
		if s == a {
			c.Assert(b.Pick(now, []*cataloger.Server{a, z}, nil), qt.Equals, z)
			return
		}
	}
	c.Fatal("the server was never picked")
}

// TestPausedServerIsPickedAgain guards against a sound server that gets no requests any more because those in flight
// during a pause took long: without requests there is no newer latency.
func TestPausedServerIsPickedAgain(t *testing.T) {
	c := qt.New(t)
	const pause, latency, interval = 1300 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond
	servers := []*cataloger.Server{{ID: "sound"}, {ID: "paused"}}
	b := &Balancer{}
	now := time.Unix(0, 0)
	for range 10 {
		b.Pick(now, servers, nil)
	}
	for range 5 {
		b.RequestDone(now.Add(latency), "sound", false, false, latency)
	}
	now = now.Add(pause)
	for range 5 {
		b.RequestDone(now, "paused", false, false, pause)
	}
	picked := map[string]int{}
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(interval) {
		s := b.Pick(now, servers, nil)
		b.RequestDone(now.Add(latency), s.ID, false, false, latency)
		picked[s.ID]++
	}
	c.Assert(picked["paused"] > 100, qt.IsTrue, qt.Commentf("picked %v", picked))
}

// TestSlowServerIsRarelyPicked guards against requests that are sent to a server that is slow all the time, to find out
// whether it still is.
func TestSlowServerIsRarelyPicked(t *testing.T) {
	c := qt.New(t)
	const interval = 50 * time.Millisecond
	latency := map[string]time.Duration{"sound": 20 * time.Millisecond, "slow": time.Second}
	servers := []*cataloger.Server{{ID: "sound"}, {ID: "slow"}}
	b := &Balancer{}
	picked := map[string]int{}
	type end struct {
		at     time.Time
		server string
	}
	var ends []end
	for now := time.Unix(0, 0); now.Before(time.Unix(60, 0)); now = now.Add(interval) {
		for _, e := range ends {
			if !now.Before(e.at) {
				b.RequestDone(e.at, e.server, false, false, latency[e.server])
			}
		}
		ends = slices.DeleteFunc(ends, func(e end) bool { return !now.Before(e.at) })
		s := b.Pick(now, servers, nil)
		ends = append(ends, end{now.Add(latency[s.ID]), s.ID})
		picked[s.ID]++
	}
	c.Assert(picked["slow"] < picked["sound"]/50, qt.IsTrue, qt.Commentf("picked %v", picked))
}
