package balancer

import (
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
