package allocator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/steerer"
)

// Guards against requests that wait on at the owner of a server whose zone is evacuated, or are granted later, or are refused
// though another zone has room. Either the router that asks learns of the evacuation last, or the owner does.
func TestWaitingRequestsLeaveEvacuatedZone(t *testing.T) {
	for _, ownerKnows := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) { testWaitingRequests(t, ownerKnows) })
	}
}

// testWaitingRequests evacuates the zone of the server that a request waits for. That of the second server was evacuated before.
func testWaitingRequests(t *testing.T, ownerKnows bool) {
	c := qt.New(t)
	n := &network{routers: map[string]*router{}, unreachable: map[string]bool{}}
	defer n.close()
	owner, other := n.addRouterPair()
	evacuated := map[string]bool{"second": true}
	moved := 0
	for _, r := range n.routers {
		knows := func() bool { return (r == owner) == ownerKnows || evacuated["third"] }
		r.Servers = func(string) []*cataloger.Server {
			var out []*cataloger.Server
			for _, id := range []string{"e", "second", "third"} {
				if !knows() || !evacuated[id] {
					out = append(out, &cataloger.Server{ID: id, Service: "s", AvailabilityZone: "z"})
				}
			}
			return out
		}
		r.Admitter.Evacuated = func(server string) bool { return knows() && evacuated[server] }
		r.OnEvacuated = func(string) { moved++ }
	}
	// All slots of the first server are taken, and a prompt whose home it is waits there.
	full := newSlotRequest()
	full.ExcludedServers = []string{"second", "third"}
	var running []*Slot
	for {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		slot, refusal := other.Acquire(ctx, full)
		cancel()
		if refusal != nil {
			break
		}
		running = append(running, slot)
	}
	waiting := newSlotRequest()
	for steerer.RankServers(waiting.SharedPrefix, other.Servers("s"), nil, nil)[0].ID != "e" {
		waiting.SharedPrefix.Home += "p"
	}
	got := make(chan *Slot, 1)
	go func() {
		slot, refusal := other.Acquire(t.Context(), waiting)
		c.Check(refusal, qt.IsNil)
		got <- slot
	}()
	synctest.Wait()
	c.Assert(got, qt.HasLen, 0)
	evacuated["e"] = true
	start := time.Now()
	owner.HandleEvacuations()
	other.HandleEvacuations()
	slot := <-got
	c.Assert(slot.Server.ID, qt.Equals, "third")
	c.Assert(time.Since(start), qt.Equals, time.Duration(0))
	c.Assert(moved > 0, qt.IsTrue)
	for _, s := range append(running, slot) {
		s.Release(false, true)
	}
	synctest.Wait()
	evacuated["third"] = true
	_, refusal := other.Acquire(t.Context(), newSlotRequest())
	c.Assert(refusal.Reason, qt.Equals, ReasonNoServer)
	evacuated = map[string]bool{}
	owner.HandleEvacuations()
	c.Assert(owner.runningCount(), qt.Equals, 0)
}
