// Package allocator finds a place on a model server: it steers a prompt to a
// server, asks the router that owns the server, and tells it how the request
// went. For the servers that this router owns it drives the admitter.
package allocator

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/messenger"
	"papayapaddle/internal/steerer"
)

const (
	// tickEvery is the period of admitter.Tick while something waits, and idleTick
	// the one while nothing does.
	tickEvery = 20 * time.Millisecond
	idleTick  = 250 * time.Millisecond
	// reportEvery is the period of log lines about the owned servers.
	reportEvery = 2 * time.Second
	// handOverEvery is how often the owners of held places are looked up again.
	handOverEvery = 200 * time.Millisecond
	// owners is the number of routers that are asked before this one decides
	// alone.
	owners = 2
	// retryUnheard is told where an owner has not heard the router that asked; the next
	// try reaches another one.
	retryUnheard = 300 * time.Millisecond
	// retryNoServer is told when a service has no server.
	retryNoServer = time.Second
)

// Need is what a request needs of a model server.
type Need struct {
	Workspace string
	Service   *cataloger.Service
	Prompt    int
	Parts     []admitter.Part
	Answer    int
	Steer     steerer.Prompt
	Arrived   time.Time
	FirstBy   time.Time
	Deadline  time.Time
	// Resumed says that the caller has the beginning of the answer.
	Resumed bool
	Exclude []string
}

// Place is a granted place.
type Place struct {
	Server *cataloger.Server

	a    *Allocator
	ask  *admitter.Ask
	once sync.Once

	mu    sync.Mutex
	owner messenger.Peer
}

// Refusal is why there is no place, with the owner's inputs.
type Refusal struct {
	Reason admitter.Reason
	Server string
	Owner  string
	Reply  messenger.AdmitReply
	// Asks is the number of owners that were asked.
	Asks int
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

// The reasons of refusals that no owner gave.
const (
	ReasonNoServer admitter.Reason = "no-server"
	ReasonCanceled admitter.Reason = "caller-gone"
	// ReasonUnheard: the owner has not heard the router that asked.
	ReasonUnheard admitter.Reason = "router-unheard"
)

// Allocator allocates for one router. All fields must be set.
type Allocator struct {
	Self      messenger.Peer
	Roster    *messenger.Membership
	Messenger *messenger.Messenger
	// Servers lists the servers of a service that may get work.
	Servers func(service string) []*cataloger.Server
	Log     func(event string, keyvals ...any)

	mu       sync.Mutex
	Admitter admitter.Admitter
	waiters  map[waiterKey]chan admitter.Decision
	// forgotten are the routers whose holds were given up since they last settled any.
	forgotten map[string]bool
	// ticking says that Run ticks often; wake makes it so.
	ticking bool
	wake    chan struct{}

	// places are the granted ones that have not ended.
	placesMu sync.Mutex
	places   map[uint64]*Place

	loadsMu sync.RWMutex
	loads   map[string]steerer.Load
	// heardAt is when the loads were heard.
	heardAt map[string]time.Time
}

type waiterKey struct {
	router string
	id     uint64
}

// Run ticks until the context ends.
func (a *Allocator) Run(ctx context.Context) {
	t := time.NewTimer(tickEvery)
	defer t.Stop()
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	handOver := time.NewTicker(handOverEvery)
	defer handOver.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			a.do(func(now time.Time, ad *admitter.Admitter) { ad.Tick(now) })
			t.Reset(a.nextTick())
		case <-a.wake:
			t.Reset(tickEvery)
		case <-handOver.C:
			a.HandOver()
		case <-report.C:
			a.report()
		}
	}
}

// nextTick returns when to tick again.
func (a *Allocator) nextTick() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ticking = len(a.waiters) > 0
	if a.ticking {
		return tickEvery
	}
	return idleTick
}

// report logs what is believed of the servers that were asked for lately.
func (a *Allocator) report() {
	for _, s := range a.Dump() {
		if s.Active {
			a.Log("engine", "server", s.Server, "running", s.Running, "places", s.Places, "waiting", s.Waiting,
				"wait-ms", int(s.WaitMS), "read-rate", int(s.ReadRate), "failures", s.Failures)
		}
	}
}

// do runs one event under the lock and hands out what was decided.
func (a *Allocator) do(f func(now time.Time, ad *admitter.Admitter)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(time.Now(), &a.Admitter)
	for _, d := range a.Admitter.Take() {
		k := waiterKey{d.Ask.Router, d.Ask.ID}
		ch := a.waiters[k]
		delete(a.waiters, k)
		if ch != nil {
			ch <- d
		}
	}
	if len(a.waiters) > 0 && !a.ticking {
		a.ticking = true
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
}

// New returns an allocator that wakes up when something waits.
func New(a *Allocator) *Allocator {
	a.wake = make(chan struct{}, 1)
	return a
}

// Acquire finds a place, waiting for one within the need's times. The prompt's home is
// asked first; where that has no room, a server that its owner names, once.
func (a *Allocator) Acquire(ctx context.Context, n *Need) (*Place, *Refusal) {
	servers := a.Servers(n.Service.Name)
	ranked := steerer.Rank(n.Steer, servers, a.Loads(), n.Exclude)
	if len(ranked) == 0 {
		return nil, &Refusal{Reason: ReasonNoServer, RetryAfter: retryNoServer}
	}
	p, first := a.try(ctx, n, ranked[0], false)
	if p != nil || first.Reason == ReasonCanceled {
		return p, first
	}
	first.Asks = 1
	i := slices.IndexFunc(servers, func(s *cataloger.Server) bool { return s.ID == first.Reply.Elsewhere })
	if i < 0 || slices.Contains(n.Exclude, servers[i].ID) {
		return nil, first
	}
	p, r := a.try(ctx, n, servers[i], !first.Reply.Home)
	if p != nil || r.Reason == ReasonCanceled {
		return p, r
	}
	first.Asks++
	return nil, first
}

// try asks for a place on one server.
func (a *Allocator) try(ctx context.Context, n *Need, s *cataloger.Server, spare bool) (*Place, *Refusal) {
	in := &messenger.AdmitArgs{
		Ask: admitter.Ask{
			Router: a.Self.Name, ID: rand.Uint64(), Workspace: n.Workspace,
			Engine: admitter.Engine{ID: s.ID, Slots: n.Service.Engine.Slots, MemoryTokens: n.Service.Engine.MemoryTokens},
			Prompt: n.Prompt, Parts: n.Parts, Answer: n.Answer, FirstBy: n.FirstBy, Deadline: n.Deadline, Arrived: n.Arrived,
			Resumed: n.Resumed, Spare: spare,
		},
		Service: n.Service.Name, Prompt: n.Steer, Tried: n.Exclude,
	}
	r, owner, err := a.ask(ctx, in, s.AvailabilityZone)
	switch {
	case err != nil:
		return nil, &Refusal{Reason: ReasonCanceled, Server: s.ID, Owner: owner.Name}
	case r.Granted:
		return a.hold(&Place{Server: s, a: a, ask: &in.Ask, owner: owner}), nil
	}
	return nil, &Refusal{Reason: r.Reason, Server: s.ID, Owner: owner.Name, Reply: r, RetryAfter: r.RetryAfter}
}

// ask asks the owner of the ask's server, then the router that would own it
// without that one, and at last decides alone. An error means that nobody waits
// for the answer any more.
func (a *Allocator) ask(ctx context.Context, in *messenger.AdmitArgs, zone string) (messenger.AdmitReply, messenger.Peer, error) {
	k := &in.Ask
	for _, o := range a.Roster.Owners(k.Engine.ID, zone, owners) {
		if o.Name == a.Self.Name {
			r, err := a.decide(ctx, in)
			return r, a.Self, err
		}
		r, err := a.askPeer(ctx, o, in)
		if err == nil {
			return r, o, nil
		}
		if ctx.Err() != nil {
			a.withdraw(o, k)
			return messenger.AdmitReply{}, o, err
		}
		a.Log("owner-lost", "owner", o.Name, "server", k.Engine.ID, "err", err)
		if failer.KindOf[messenger.Kind](err) == messenger.KindUnreachable {
			a.Roster.MarkUnreachable(o.Name)
		}
		// The owner may have granted it all the same.
		a.withdraw(o, k)
	}
	r, err := a.decide(ctx, in)
	return r, a.Self, err
}

// askPeer waits for the owner's decision. An owner that falls silent is noticed
// by the exchange of news, which closes the connection to it.
func (a *Allocator) askPeer(ctx context.Context, o messenger.Peer, in *messenger.AdmitArgs) (messenger.AdmitReply, error) {
	args := *in
	args.FirstIn, args.DeadlineIn = time.Until(in.Ask.FirstBy), time.Until(in.Ask.Deadline)
	args.Ask.FirstBy, args.Ask.Deadline, args.Ask.Arrived = time.Time{}, time.Time{}, time.Time{}
	return a.Messenger.Admit(ctx, o.Address, &args)
}

// HandleAsk decides a peer's ask; it blocks until the decision.
func (a *Allocator) HandleAsk(in *messenger.AdmitArgs) messenger.AdmitReply {
	now := time.Now()
	in.Ask.Arrived, in.Ask.FirstBy, in.Ask.Deadline = now, now.Add(in.FirstIn), now.Add(in.DeadlineIn)
	r, err := a.decide(context.Background(), in)
	if err != nil {
		return messenger.AdmitReply{Reason: ReasonCanceled}
	}
	return r
}

// decide asks the own admitter.
func (a *Allocator) decide(ctx context.Context, in *messenger.AdmitArgs) (messenger.AdmitReply, error) {
	k := &in.Ask
	ch := make(chan admitter.Decision, 1)
	a.do(func(now time.Time, ad *admitter.Admitter) {
		if a.waiters == nil {
			a.waiters = map[waiterKey]chan admitter.Decision{}
		}
		a.waiters[waiterKey{k.Router, k.ID}] = ch
		ad.Ask(now, k)
	})
	select {
	case d := <-ch:
		r := reply(d)
		a.elsewhere(in, &r)
		return r, nil
	case <-ctx.Done():
	}
	a.cancel(k.Engine.ID, k.Router, k.ID)
	return messenger.AdmitReply{}, failer.Wrap("ask", messenger.KindCanceled, ctx.Err())
}

// cancel drops an ask or the hold that it has become.
func (a *Allocator) cancel(server, router string, id uint64) {
	a.do(func(now time.Time, ad *admitter.Admitter) {
		delete(a.waiters, waiterKey{router, id})
		ad.Cancel(now, server, router, id)
	})
}

// elsewhere names a server to ask instead in a refusal: another home for a prompt whose
// server keeps failing, or one with room.
func (a *Allocator) elsewhere(in *messenger.AdmitArgs, r *messenger.AdmitReply) {
	if r.Granted || in.Ask.Spare || r.Reason == ReasonCanceled {
		return
	}
	servers, loads := a.Servers(in.Service), a.Loads()
	tried := append(slices.Clip(in.Tried), in.Ask.Engine.ID)
	if r.Reason == admitter.ReasonSuspended {
		if homes := steerer.Rank(in.Prompt, servers, loads, tried); len(homes) > 0 {
			r.Elsewhere, r.Home = homes[0].ID, true
		}
		return
	}
	if s := steerer.Spare(in.Prompt, servers, loads, tried); s != nil {
		r.Elsewhere = s.ID
	}
}

func reply(d admitter.Decision) messenger.AdmitReply {
	return messenger.AdmitReply{
		Granted: d.Granted, Reason: d.Reason, RetryAfter: d.RetryAfter, Running: d.Running, Waiting: d.Waiting,
		Backlog: d.Backlog, Usage: d.Usage, Mean: d.Mean,
	}
}

// HandleSettle takes a peer's outcomes in. It says whether what the peer holds was given
// up while it was silent.
func (a *Allocator) HandleSettle(s *messenger.RequestUpdates) (forgotten bool) {
	a.do(func(now time.Time, ad *admitter.Admitter) {
		forgotten = a.forgotten[s.From]
		delete(a.forgotten, s.From)
		for _, h := range s.Held {
			k := h.Ask
			k.Arrived, k.FirstBy, k.Deadline = now, now, now.Add(h.DeadlineIn)
			ad.Adopt(now, &k)
		}
		for _, o := range s.Outcomes {
			ad.Settle(now, o)
		}
		for _, c := range s.Canceled {
			k := waiterKey{s.From, c.ID}
			if ch := a.waiters[k]; ch != nil {
				// The handler of the ask must end too.
				delete(a.waiters, k)
				ch <- admitter.Decision{Ask: &admitter.Ask{Router: s.From, ID: c.ID}, Reason: ReasonCanceled}
			}
			ad.Cancel(now, c.Server, s.From, c.ID)
		}
	})
	return forgotten
}

// Forget drops what a router holds that is gone. One that was only silent tells it again
// once it is heard.
func (a *Allocator) Forget(router string) {
	a.do(func(now time.Time, ad *admitter.Admitter) {
		ad.Forget(now, router)
		for k, ch := range a.waiters {
			if k.router == router {
				// It may run all the same, and its caller must not wait for nothing.
				delete(a.waiters, k)
				ch <- admitter.Decision{
					Ask: &admitter.Ask{Router: k.router, ID: k.id}, Reason: ReasonUnheard, RetryAfter: retryUnheard,
				}
			}
		}
		if a.forgotten == nil {
			a.forgotten = map[string]bool{}
		}
		a.forgotten[router] = true
	})
}

// Keep drops the servers that are gone.
func (a *Allocator) Keep(servers map[string]*cataloger.Server) {
	a.loadsMu.Lock()
	m := make(map[string]steerer.Load, len(a.loads))
	var gone []string
	for id, l := range a.loads {
		if servers[id] != nil {
			m[id] = l
		} else {
			gone = append(gone, id)
		}
	}
	a.loads = m
	a.loadsMu.Unlock()
	a.do(func(now time.Time, ad *admitter.Admitter) {
		for _, id := range gone {
			ad.Remove(now, id)
		}
	})
}

// Dump lists the owned servers for operators.
func (a *Allocator) Dump() []admitter.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Admitter.Dump(time.Now())
}
