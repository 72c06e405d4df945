package allocator

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/messenger"
	"papayapaddle/internal/steerer"
)

// network joins routers by pipes; a router that is cut is not reached.
type network struct {
	routers     map[string]*router
	unreachable map[string]bool
}

type router struct {
	*Allocator
	accept chan net.Conn
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
	r.accept <- b
	return a, nil
}

var service = &cataloger.Service{Name: "s", Engine: &cataloger.Engine{Slots: 10, MemoryTokens: 100_000}}

func (n *network) addRouter(name string) *router {
	self := messenger.Peer{Name: name, Address: name, AvailabilityZone: "z", Incarnation: 1}
	boot := time.Now()
	r := &router{accept: make(chan net.Conn, 8), Allocator: &Allocator{
		Self: self, Roster: messenger.NewRoster(self, time.Hour, func() time.Duration { return time.Hour + time.Since(boot) }),
		Messenger: &messenger.Messenger{Dial: n.dial}, Admitter: admitter.Admitter{UsageTimeConstant: 2 * time.Second},
		Servers: func(string) []*cataloger.Server {
			return []*cataloger.Server{{ID: "e", Service: "s", AvailabilityZone: "z"}}
		},
		Log: func(string, ...any) {},
	}}
	r.Messenger.Forgotten = r.ResendSlots
	r.Messenger.Handlers = messenger.Handlers{
		News: func(*messenger.News) messenger.News { return messenger.News{} }, Ask: r.HandleAsk, Settle: r.HandleSettle,
		Fetch: func(uint64) messenger.FetchReply { return messenger.FetchReply{} },
	}
	go func() { _ = r.Messenger.Serve(r) }()
	n.routers[name] = r
	return r
}

// introduceRouters makes all routers hear each other.
func (n *network) introduceRouters() {
	for _, a := range n.routers {
		for _, b := range n.routers {
			a.Roster.Heard(b.Self, false)
		}
	}
}

// addRouterPair adds two routers that hear each other and returns the engine's owner first.
func (n *network) addRouterPair() (owner, other *router) {
	a, b := n.addRouter("a"), n.addRouter("b")
	n.introduceRouters()
	if a.Roster.Owners("e", "z", 1)[0].Name == "b" {
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
		Workspace: "w", Service: service, PromptTokens: 100, PromptParts: admitter.HashParts("m", []string{"p"}, []int{100}), AnswerTokens: 10,
		SharedPrefix: steerer.SharedPrefix{Home: "p"}, Arrived: now, FirstEventBy: now.Add(time.Second), Deadline: now.Add(15 * time.Second),
	}
}

// runningCount returns what a router believes to run on the engine.
func (r *router) runningCount() int {
	for _, s := range r.Dump() {
		return s.Running
	}
	return 0
}

// TestSlotsAreReportedToNewOwner moves the ownership of an engine while requests run on
// it: the new owner knows of them, and the old one forgets them.
func TestSlotsAreReportedToNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, unreachable: map[string]bool{}}
		defer n.close()
		owner, other := n.addRouterPair()
		var places []*Slot
		for range 4 {
			p, refusal := other.Acquire(context.Background(), newSlotRequest())
			c.Assert(refusal, qt.IsNil)
			p.ReportFirstEvent()
			places = append(places, p)
		}
		synctest.Wait()
		c.Assert(owner.runningCount(), qt.Equals, 4)
		c.Assert(other.runningCount(), qt.Equals, 0)

		// The owner says that it leaves.
		other.Roster.Heard(owner.Self, true)
		other.ReportSlotsToNewOwners()
		synctest.Wait()
		c.Assert(owner.runningCount(), qt.Equals, 0)
		c.Assert(other.runningCount(), qt.Equals, 4)

		for _, p := range places {
			p.Release(false, true)
		}
		synctest.Wait()
		c.Assert(other.runningCount(), qt.Equals, 0)
	})
}

// TestDecidesLocallyWhenOwnerIsUnreachable asks while the owner is cut off: this router
// decides alone.
func TestDecidesLocallyWhenOwnerIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, unreachable: map[string]bool{}}
		defer n.close()
		owner, other := n.addRouterPair()
		n.unreachable[owner.Self.Name] = true
		p, refusal := other.Acquire(context.Background(), newSlotRequest())
		c.Assert(refusal, qt.IsNil)
		c.Assert(other.runningCount(), qt.Equals, 1)
		c.Assert(other.Roster.IsReachable(owner.Self.Name), qt.IsFalse)
		p.Release(false, true)
		c.Assert(other.runningCount(), qt.Equals, 0)
	})
}

// TestCanceledRequestLeavesOwnersQueue drops the ask at the owner.
func TestCanceledRequestLeavesOwnersQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, unreachable: map[string]bool{}}
		defer n.close()
		owner, other := n.addRouterPair()
		long := newSlotRequest()
		long.PromptTokens = 20_000
		long.PromptParts = admitter.HashParts("m", []string{"long"}, []int{20_000})
		p, refusal := other.Acquire(context.Background(), long)
		c.Assert(refusal, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(10*time.Millisecond, cancel)
		_, refusal = other.Acquire(ctx, newSlotRequest())
		c.Assert(refusal.Reason, qt.Equals, ReasonCanceled)
		synctest.Wait()
		c.Assert(owner.Dump()[0].Waiting, qt.Equals, 0)
		p.Release(false, true)
	})
}

// TestOwnerRelearnsSlotsOfRemovedRouter: an owner that has not heard a router for a while gives its
// places to others. Once the router is heard, the owner knows of its running work again:
// it neither hands the engine too much nor is anything started elsewhere.
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
		long, r := other.Acquire(t.Context(), newSlotRequest())
		c.Assert(r, qt.IsNil)
		long.ReportFirstEvent()
		c.Assert(running(), qt.Equals, 1)
		owner.RemoveRouter(other.Self.Name)
		c.Assert(running(), qt.Equals, 0)

		short, r := other.Acquire(t.Context(), newSlotRequest())
		c.Assert(r, qt.IsNil)
		short.ReportFirstEvent()
		c.Assert(running(), qt.Equals, 2)
		short.Release(false, true)
		c.Assert(running(), qt.Equals, 1)
		long.Release(false, true)
		c.Assert(running(), qt.Equals, 0)
	})
}

// TestWaitingRequestsOfRemovedRouterAreRefused: what a router that is not heard has asked for is
// refused and not left waiting.
func TestWaitingRequestsOfRemovedRouterAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, unreachable: map[string]bool{}}
		defer n.close()
		owner, other := n.addRouterPair()
		// The engine reads for seconds, so that the next ask waits.
		big := newSlotRequest()
		big.PromptTokens = 80_000
		p, r := other.Acquire(t.Context(), big)
		c.Assert(r, qt.IsNil)
		patient := newSlotRequest()
		patient.FirstEventBy = time.Now().Add(10 * time.Second)
		refused := make(chan *Refusal, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			_, r := other.Acquire(ctx, patient)
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
			t.Error("the ask waits for nobody")
		}
		p.Release(false, true)
		synctest.Wait()
	})
}
