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
	routers map[string]*router
	cut     map[string]bool
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
	if r == nil || n.cut[address] {
		return nil, net.ErrClosed
	}
	a, b := net.Pipe()
	r.accept <- b
	return a, nil
}

var service = &cataloger.Service{Name: "s", Engine: &cataloger.Engine{Slots: 10, MemoryTokens: 100_000}}

func (n *network) add(name string) *router {
	self := messenger.Peer{Name: name, Address: name, AvailabilityZone: "z", Incarnation: 1}
	boot := time.Now()
	r := &router{accept: make(chan net.Conn, 8), Allocator: &Allocator{
		Self: self, Roster: messenger.NewMembership(self, time.Hour, func() time.Duration { return time.Hour + time.Since(boot) }),
		Messenger: &messenger.Messenger{Dial: n.dial}, Admitter: admitter.Admitter{Fade: 2 * time.Second},
		Servers: func(string) []*cataloger.Server {
			return []*cataloger.Server{{ID: "e", Service: "s", AvailabilityZone: "z"}}
		},
		Log: func(string, ...any) {},
	}}
	r.Messenger.OnSlotsReleased = r.Retell
	r.Messenger.Handlers = messenger.Handlers{
		Gossip: func(*messenger.Gossip) messenger.Gossip { return messenger.Gossip{} }, Admit: r.HandleAsk, UpdateRequests: r.HandleSettle,
		FetchConfig: func(uint64) messenger.FetchConfigReply { return messenger.FetchConfigReply{} },
	}
	go func() { _ = r.Messenger.Serve(r) }()
	n.routers[name] = r
	return r
}

// meet makes all routers hear each other.
func (n *network) meet() {
	for _, a := range n.routers {
		for _, b := range n.routers {
			a.Roster.RecordHeartbeat(b.Self, false)
		}
	}
}

// pair adds two routers that hear each other and returns the engine's owner first.
func (n *network) pair() (owner, other *router) {
	a, b := n.add("a"), n.add("b")
	n.meet()
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

func need() *Need {
	now := time.Now()
	return &Need{
		Workspace: "w", Service: service, Prompt: 100, Parts: admitter.Chain("m", []string{"p"}, []int{100}), Answer: 10,
		Steer: steerer.Prompt{Home: "p"}, Arrived: now, FirstBy: now.Add(time.Second), Deadline: now.Add(15 * time.Second),
	}
}

// running returns what a router believes to run on the engine.
func (r *router) running() int {
	for _, s := range r.Dump() {
		return s.Running
	}
	return 0
}

// TestHoldsFollowTheOwner moves the ownership of an engine while requests run on
// it: the new owner knows of them, and the old one forgets them.
func TestHoldsFollowTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, cut: map[string]bool{}}
		defer n.close()
		owner, other := n.pair()
		var places []*Place
		for range 4 {
			p, refusal := other.Acquire(context.Background(), need())
			c.Assert(refusal, qt.IsNil)
			p.Began()
			places = append(places, p)
		}
		synctest.Wait()
		c.Assert(owner.running(), qt.Equals, 4)
		c.Assert(other.running(), qt.Equals, 0)

		// The owner says that it leaves.
		other.Roster.RecordHeartbeat(owner.Self, true)
		other.HandOver()
		synctest.Wait()
		c.Assert(owner.running(), qt.Equals, 0)
		c.Assert(other.running(), qt.Equals, 4)

		for _, p := range places {
			p.End(false, true)
		}
		synctest.Wait()
		c.Assert(other.running(), qt.Equals, 0)
	})
}

// TestOwnerThatCannotBeReached asks while the owner is cut off: this router
// decides alone.
func TestOwnerThatCannotBeReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, cut: map[string]bool{}}
		defer n.close()
		owner, other := n.pair()
		n.cut[owner.Self.Name] = true
		p, refusal := other.Acquire(context.Background(), need())
		c.Assert(refusal, qt.IsNil)
		c.Assert(other.running(), qt.Equals, 1)
		c.Assert(other.Roster.IsReachable(owner.Self.Name), qt.IsFalse)
		p.End(false, true)
		c.Assert(other.running(), qt.Equals, 0)
	})
}

// TestCallerLeavesWhileItWaits drops the ask at the owner.
func TestCallerLeavesWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, cut: map[string]bool{}}
		defer n.close()
		owner, other := n.pair()
		long := need()
		long.Prompt = 20_000
		long.Parts = admitter.Chain("m", []string{"long"}, []int{20_000})
		p, refusal := other.Acquire(context.Background(), long)
		c.Assert(refusal, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(10*time.Millisecond, cancel)
		_, refusal = other.Acquire(ctx, need())
		c.Assert(refusal.Reason, qt.Equals, ReasonCanceled)
		synctest.Wait()
		c.Assert(owner.Dump()[0].Waiting, qt.Equals, 0)
		p.End(false, true)
	})
}

// TestSilentRouterKeepsItsWork: an owner that has not heard a router for a while gives its
// places to others. Once the router is heard, the owner knows of its running work again:
// it neither hands the engine too much nor is anything started elsewhere.
func TestSilentRouterKeepsItsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, cut: map[string]bool{}}
		defer n.close()
		owner, other := n.pair()
		running := func() int {
			synctest.Wait()
			return owner.Dump()[0].Running
		}
		long, r := other.Acquire(t.Context(), need())
		c.Assert(r, qt.IsNil)
		long.Began()
		c.Assert(running(), qt.Equals, 1)
		owner.Forget(other.Self.Name)
		c.Assert(running(), qt.Equals, 0)

		short, r := other.Acquire(t.Context(), need())
		c.Assert(r, qt.IsNil)
		short.Began()
		c.Assert(running(), qt.Equals, 2)
		short.End(false, true)
		c.Assert(running(), qt.Equals, 1)
		long.End(false, true)
		c.Assert(running(), qt.Equals, 0)
	})
}

// TestSilentRoutersAsksAreAnswered: what a router that is not heard has asked for is
// refused and not left waiting.
func TestSilentRoutersAsksAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := &network{routers: map[string]*router{}, cut: map[string]bool{}}
		defer n.close()
		owner, other := n.pair()
		// The engine reads for seconds, so that the next ask waits.
		big := need()
		big.Prompt = 80_000
		p, r := other.Acquire(t.Context(), big)
		c.Assert(r, qt.IsNil)
		patient := need()
		patient.FirstBy = time.Now().Add(10 * time.Second)
		refused := make(chan *Refusal, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			_, r := other.Acquire(ctx, patient)
			refused <- r
		}()
		synctest.Wait()
		c.Assert(owner.Dump()[0].Waiting, qt.Equals, 1)
		owner.Forget(other.Self.Name)
		synctest.Wait()
		select {
		case r := <-refused:
			c.Assert(r, qt.IsNotNil)
			c.Assert(r.Reason, qt.Equals, ReasonUnheard)
		default:
			t.Error("the ask waits for nobody")
		}
		p.End(false, true)
		synctest.Wait()
	})
}
