package allocator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/pacer"
	"papayapaddle/internal/steerer"
)

// makeCold makes the server cold at a router, which lets perSecond requests a second start there.
func (r *router) makeCold(ctx context.Context, perSecond float64) {
	started := time.Now()
	r.Admitter.Cold = func(string) admitter.ColdLimit {
		return admitter.ColdLimit{Phase: pacer.Cold, PerSecond: perSecond}
	}
	r.Now = func() time.Duration { return time.Hour + time.Since(started) }
	go New(r.Allocator).Run(ctx)
}

// Guards against a grant for a cold server that is used long after it was made, since its reply was delayed, and against
// one that counts as old although the request only waited at the owner.
func TestDelayedGrantIsNotFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, unreachable: map[string]bool{}}
		defer n.close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		owner, other := n.addRouterPair()
		owner.makeCold(ctx, 2)
		other.makeCold(ctx, 0)
		start := time.Now()
		slot, refusal := other.Acquire(ctx, newSlotRequest())
		c.Assert(refusal, qt.IsNil)
		c.Assert(time.Since(start) > pacer.GrantTTL, qt.IsTrue)
		c.Check(slot.Grant.Fresh(other.Now()), qt.IsTrue)
		c.Check(slot.Grant.Fresh(other.Now()+pacer.GrantTTL+time.Millisecond), qt.IsFalse)
		slot.Release(false, true)

		go func() { slot, refusal = other.Acquire(ctx, newSlotRequest()) }()
		synctest.Wait()
		goOn := make(chan struct{})
		owner.paused.Store(&goOn)
		time.Sleep(900 * time.Millisecond)
		owner.paused.Store(nil)
		close(goOn)
		synctest.Wait()
		c.Assert(refusal, qt.IsNil)
		c.Check(slot.Grant.Cold, qt.IsTrue)
		c.Check(slot.Grant.Fresh(other.Now()), qt.IsFalse)
		slot.Release(false, true)
	})
}

// Guards against a router that lets requests start at a cold server since it cannot reach the owner.
func TestColdServerGetsNothingWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, unreachable: map[string]bool{}}
		defer n.close()
		owner, other := n.addRouterPair()
		// It has not been the owner for long enough.
		other.Admitter.Cold = func(string) admitter.ColdLimit { return admitter.ColdLimit{Phase: pacer.Cold} }
		n.unreachable[owner.Self.Name] = true
		start := time.Now()
		_, refusal := other.Acquire(t.Context(), newSlotRequest())
		c.Assert(refusal, qt.IsNotNil)
		c.Check(refusal.Reason, qt.Equals, admitter.ReasonServerCold)
		c.Check(time.Since(start), qt.Equals, time.Duration(0))
	})
}

// Guards against prompts that use up the starts of a cold server although another one is their home, and against requests
// that find no server because all are cold.
func TestColdServersGetTheirOwnPrompts(t *testing.T) {
	c := qt.New(t)
	cold := map[string]bool{}
	a := &Allocator{Avoid: func(server string) bool { return cold[server] }}
	servers := []*cataloger.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	ids := func(servers []*cataloger.Server) (out []string) {
		for _, s := range servers {
			out = append(out, s.ID)
		}
		return out
	}
	home := steerer.RankServers(steerer.SharedPrefix{Home: "p"}, servers, nil, nil)[0]
	req := &SlotRequest{SharedPrefix: steerer.SharedPrefix{Home: "p"}}
	c.Check(a.candidates(req, servers), qt.HasLen, 4)
	for _, s := range servers {
		cold[s.ID] = s.ID != "d"
	}
	left := ids(a.candidates(req, servers))
	for _, id := range left {
		c.Check(id == home.ID || id == "d", qt.IsTrue, qt.Commentf("%v are candidates, the home is %s", left, home.ID))
	}
	c.Check(ids(a.withoutAvoided(servers, []string{"a"}, nil)), qt.DeepEquals, []string{"d"})
	// The only warm server was tried.
	c.Check(a.withoutAvoided(servers, []string{"d"}, nil), qt.HasLen, 4)
	req.ExcludedServers = []string{"d", home.ID}
	c.Check(a.candidates(req, servers), qt.HasLen, 4)
}
