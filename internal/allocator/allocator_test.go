package allocator

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/messenger"
	"papayapaddle/internal/steerer"
)

// network connects routers through in-memory pipes. Dialing an unreachable router fails.
type network struct {
	routers     map[string]*router
	unreachable map[string]bool
}

type router struct {
	*Allocator
	accept chan net.Conn
	// paused, if set, is closed when the router goes on.
	paused atomic.Pointer[chan struct{}]
}

// routerConn is a connection that a paused router neither reads nor writes.
type routerConn struct {
	net.Conn
	router *router
}

func (c *routerConn) wait() {
	if goOn := c.router.paused.Load(); goOn != nil {
		<-*goOn
	}
}

func (c *routerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.wait()
	return n, err
}

func (c *routerConn) Write(b []byte) (int, error) {
	c.wait()
	return c.Conn.Write(b)
}

func (r *router) Accept() (net.Conn, error) {
	c, ok := <-r.accept
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (r *router) Close() error   { return nil }
func (r *router) Addr() net.Addr { return &net.TCPAddr{} }

func (n *network) dial(_ context.Context, _, address string) (net.Conn, error) {
	r := n.routers[address]
	if r == nil || n.unreachable[address] {
		return nil, net.ErrClosed
	}
	a, b := net.Pipe()
	r.accept <- &routerConn{b, r}
	return a, nil
}

var service = &cataloger.Service{Name: "s", Engine: &cataloger.Engine{Slots: 10, MemoryTokens: 100_000}}

func (n *network) addRouter(name string) *router {
	self := messenger.Peer{Name: name, Address: name, AvailabilityZone: "z", Incarnation: 1}
	started := time.Now()
	r := &router{accept: make(chan net.Conn, 8), Allocator: &Allocator{
		Self: self,
		Membership: messenger.NewMembership(self, time.Hour, func() time.Duration {
			return time.Hour + time.Since(started)
		}),
		Messenger: &messenger.Messenger{Dial: n.dial},
		Admitter:  admitter.Admitter{UsageTimeConstant: 2 * time.Second},
		Servers: func(string) []*cataloger.Server {
			return []*cataloger.Server{{ID: "e", Service: "s", AvailabilityZone: "z"}}
		},
		Log: func(string, ...any) {},
	}}
	r.Messenger.OnSlotsReleased = r.ResendSlots
	r.Messenger.Handlers = messenger.Handlers{
		Gossip: func(*messenger.Gossip) messenger.Gossip { return messenger.Gossip{} },
		Admit:  r.HandleAdmit, UpdateRequests: r.HandleRequestUpdates,
		FetchConfig: func(uint64) messenger.FetchConfigReply { return messenger.FetchConfigReply{} },
	}
	go func() { _ = r.Messenger.Serve(r) }()
	n.routers[name] = r
	return r
}

// introduceRouters makes all routers known to each other.
func (n *network) introduceRouters() {
	for _, a := range n.routers {
		for _, b := range n.routers {
			a.Membership.RecordHeartbeat(b.Self, false)
		}
	}
}

// addRouterPair adds two routers that know each other and returns the owner of the server
// first.
func (n *network) addRouterPair() (owner, other *router) {
	a, b := n.addRouter("a"), n.addRouter("b")
	n.introduceRouters()
	if a.Membership.Owners("e", "z", 1)[0].Name == "b" {
		return b, a
	}
	return a, b
}

func (n *network) close() {
	synctest.Wait()
	for _, r := range n.routers {
		r.Messenger.Close()
		close(r.accept)
	}
	synctest.Wait()
}

func newSlotRequest() *SlotRequest {
	now := time.Now()
	return &SlotRequest{
		Workspace: "w", Service: service,
		PromptTokens: 100, PromptParts: admitter.HashParts("m", []string{"p"}, []int{100}), AnswerTokens: 10,
		SharedPrefix: steerer.SharedPrefix{Home: "p"},
		Arrived:      now, FirstEventBy: now.Add(time.Second), Deadline: now.Add(15 * time.Second),
	}
}

// runningCount returns the number of requests that the router counts as running on the server.
func (r *router) runningCount() int {
	for _, s := range r.Dump() {
		return s.Running
	}
	return 0
}

// TestSlotsAreReportedToNewOwner moves the ownership of a server while requests run on it.
// The new owner must count them as running, and the previous one must not.
func TestSlotsAreReportedToNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, unreachable: map[string]bool{}}
		defer n.close()
		owner, other := n.addRouterPair()
		var slots []*Slot
		for range 4 {
			slot, refusal := other.Acquire(context.Background(), newSlotRequest())
			c.Assert(refusal, qt.IsNil)
			slot.ReportFirstEvent()
			slots = append(slots, slot)
		}
		synctest.Wait()
		c.Assert(owner.runningCount(), qt.Equals, 4)
		c.Assert(other.runningCount(), qt.Equals, 0)

		// The owner announces that it is leaving.
		other.Membership.RecordHeartbeat(owner.Self, true)
		other.ReportSlotsToNewOwners()
		synctest.Wait()
		c.Assert(owner.runningCount(), qt.Equals, 0)
		c.Assert(other.runningCount(), qt.Equals, 4)

		for _, slot := range slots {
			slot.Release(false, true)
		}
		synctest.Wait()
		c.Assert(other.runningCount(), qt.Equals, 0)
	})
}

// TestDecidesLocallyWhenOwnerIsUnreachable requests a slot while the owner of the server is
// unreachable. The router must grant it itself and mark the owner as unreachable.
func TestDecidesLocallyWhenOwnerIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, unreachable: map[string]bool{}}
		defer n.close()
		owner, other := n.addRouterPair()
		n.unreachable[owner.Self.Name] = true
		slot, refusal := other.Acquire(context.Background(), newSlotRequest())
		c.Assert(refusal, qt.IsNil)
		c.Assert(other.runningCount(), qt.Equals, 1)
		c.Assert(other.Membership.IsReachable(owner.Self.Name), qt.IsFalse)
		slot.Release(false, true)
		c.Assert(other.runningCount(), qt.Equals, 0)
	})
}

// TestCanceledRequestLeavesOwnersQueue cancels a request while it waits at another router,
// which must remove it from the queue.
func TestCanceledRequestLeavesOwnersQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, unreachable: map[string]bool{}}
		defer n.close()
		owner, other := n.addRouterPair()
		longPrompt := newSlotRequest()
		longPrompt.PromptTokens = 20_000
		longPrompt.PromptParts = admitter.HashParts("m", []string{"long"}, []int{20_000})
		slot, refusal := other.Acquire(context.Background(), longPrompt)
		c.Assert(refusal, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(10*time.Millisecond, cancel)
		_, refusal = other.Acquire(ctx, newSlotRequest())
		c.Assert(refusal.Reason, qt.Equals, ReasonCanceled)
		synctest.Wait()
		c.Assert(owner.Dump()[0].Waiting, qt.Equals, 0)
		slot.Release(false, true)
	})
}

// TestOwnerRelearnsSlotsOfRemovedRouter removes a router from the owner while one of its
// requests runs, as after a lost connection. At the next contact, the router must report the
// running request again; otherwise the owner would overload the engine.
func TestOwnerRelearnsSlotsOfRemovedRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, unreachable: map[string]bool{}}
		defer n.close()
		owner, other := n.addRouterPair()
		running := func() int {
			synctest.Wait()
			return owner.Dump()[0].Running
		}
		first, refusal := other.Acquire(t.Context(), newSlotRequest())
		c.Assert(refusal, qt.IsNil)
		first.ReportFirstEvent()
		c.Assert(running(), qt.Equals, 1)
		owner.RemoveRouter(other.Self.Name)
		c.Assert(running(), qt.Equals, 0)

		second, refusal := other.Acquire(t.Context(), newSlotRequest())
		c.Assert(refusal, qt.IsNil)
		second.ReportFirstEvent()
		c.Assert(running(), qt.Equals, 2)
		second.Release(false, true)
		c.Assert(running(), qt.Equals, 1)
		first.Release(false, true)
		c.Assert(running(), qt.Equals, 0)
	})
}

// TestWaitingRequestsOfRemovedRouterAreRefused removes a router from the owner while one of
// its requests waits. The request must be refused; otherwise its caller would get no answer.
func TestWaitingRequestsOfRemovedRouterAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, unreachable: map[string]bool{}}
		defer n.close()
		owner, other := n.addRouterPair()
		// The prefill takes seconds, so the next request waits.
		longPrompt := newSlotRequest()
		longPrompt.PromptTokens = 80_000
		slot, refusal := other.Acquire(t.Context(), longPrompt)
		c.Assert(refusal, qt.IsNil)
		waiting := newSlotRequest()
		waiting.FirstEventBy = time.Now().Add(10 * time.Second)
		refused := make(chan *Refusal, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			_, r := other.Acquire(ctx, waiting)
			refused <- r
		}()
		synctest.Wait()
		c.Assert(owner.Dump()[0].Waiting, qt.Equals, 1)
		owner.RemoveRouter(other.Self.Name)
		synctest.Wait()
		select {
		case r := <-refused:
			c.Assert(r, qt.IsNotNil)
			c.Assert(r.Reason, qt.Equals, ReasonRouterUnheard)
		default:
			t.Error("the waiting request got no reply after its router was removed")
		}
		slot.Release(false, true)
		synctest.Wait()
	})
}

// TestRestartedServerIsNotSuspended guards against a server that has started again and gets no requests for the
// failures of the incarnation before.
func TestRestartedServerIsNotSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, unreachable: map[string]bool{}}
		defer n.close()
		r := n.addRouter("a")
		list := func(startedUnixMilli int64) {
			r.RetainServers(map[string]*cataloger.Server{"e": {ID: "e", Service: "s", AvailabilityZone: "z", StartedUnixMilli: startedUnixMilli}})
		}
		list(1)
		var slots []*Slot
		for range 5 {
			slot, refusal := r.Acquire(t.Context(), newSlotRequest())
			c.Assert(refusal, qt.IsNil)
			slots = append(slots, slot)
		}
		for _, slot := range slots {
			slot.Release(true, false)
		}
		list(1)
		_, refusal := r.Acquire(t.Context(), newSlotRequest())
		c.Assert(refusal, qt.IsNotNil)
		c.Assert(refusal.Reason, qt.Equals, admitter.ReasonSuspended)
		list(2)
		slot, refusal := r.Acquire(t.Context(), newSlotRequest())
		c.Assert(refusal, qt.IsNil)
		slot.Release(false, true)
	})
}

// TestSilentOwnerLosesNoWaitingRequest guards against requests that are refused because the owner of the server is
// silent for a second while they wait there, and against places that it keeps for them when it goes on.
func TestSilentOwnerLosesNoWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, unreachable: map[string]bool{}}
		defer n.close()
		owner, other := n.addRouterPair()
		// The prefill takes two seconds, so the next request waits.
		longPrompt := newSlotRequest()
		longPrompt.PromptTokens = 80_000
		first, refusal := other.Acquire(t.Context(), longPrompt)
		c.Assert(refusal, qt.IsNil)
		waiting := newSlotRequest()
		waiting.FirstEventBy = time.Now().Add(10 * time.Second)
		var second *Slot
		go func() { second, refusal = other.Acquire(t.Context(), waiting) }()
		synctest.Wait()
		c.Assert(owner.Dump()[0].Waiting, qt.Equals, 1)

		goOn := make(chan struct{})
		owner.paused.Store(&goOn)
		first.ReportFirstEvent()
		time.Sleep(1300 * time.Millisecond)
		owner.paused.Store(nil)
		close(goOn)
		synctest.Wait()
		c.Assert(refusal, qt.IsNil)
		c.Assert(second, qt.IsNotNil)

		other.Membership.RecordHeartbeat(owner.Self, false)
		other.ReportSlotsToNewOwners()
		synctest.Wait()
		c.Assert(owner.Dump()[0].Waiting, qt.Equals, 0)
		c.Assert(owner.runningCount(), qt.Equals, 2)
		first.Release(false, true)
		second.Release(false, true)
		synctest.Wait()
		c.Assert(owner.runningCount(), qt.Equals, 0)
	})
}
