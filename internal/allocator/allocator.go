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
	// tickInterval is the period of admitter.Tick while something waits, and idleTick
	// the one while nothing does.
	tickInterval     = 20 * time.Millisecond
	idleTickInterval = 250 * time.Millisecond
	// logInterval is the period of log lines about the owned servers.
	logInterval = 2 * time.Second
	// ownerCheckInterval is how often the owners of held places are looked up again.
	ownerCheckInterval = 200 * time.Millisecond
	// maxOwnersAsked is the number of routers that are asked before this one decides
	// alone.
	maxOwnersAsked = 2
	// retryAfterRouterUnheard is told where an owner has not heard the router that asked; the next
	// try reaches another one.
	retryAfterRouterUnheard = 300 * time.Millisecond
	// retryAfterNoServer is told when a service has no server.
	retryAfterNoServer = time.Second
)

// SlotRequest is what a request needs of a model server.
type SlotRequest struct {
	Workspace    string
	Service      *cataloger.Service
	PromptTokens int
	PromptParts  []admitter.PromptPart
	AnswerTokens int
	SharedPrefix steerer.SharedPrefix
	Arrived      time.Time
	FirstEventBy time.Time
	Deadline     time.Time
	// Resumed says that the caller has the beginning of the answer.
	Resumed         bool
	ExcludedServers []string
}

// Slot is a granted place.
type Slot struct {
	Server *cataloger.Server

	allocator   *Allocator
	request     *admitter.Request
	releaseOnce sync.Once

	mu    sync.Mutex
	owner messenger.Peer
}

// Refusal is why there is no place, with the owner's inputs.
type Refusal struct {
	Reason admitter.Reason
	Server string
	Owner  string
	Reply  messenger.AskReply
	// ServersAsked is the number of owners that were asked.
	ServersAsked int
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

// The reasons of refusals that no owner gave.
const (
	ReasonNoServer admitter.Reason = "no-server"
	ReasonCanceled admitter.Reason = "caller-gone"
	// ReasonRouterUnheard: the owner has not heard the router that asked.
	ReasonRouterUnheard admitter.Reason = "router-unheard"
)

// Allocator allocates for one router. All fields must be set.
type Allocator struct {
	Self      messenger.Peer
	Roster    *messenger.Roster
	Messenger *messenger.Messenger
	// Servers lists the servers of a service that may get work.
	Servers func(service string) []*cataloger.Server
	Log     func(event string, keyvals ...any)

	mu       sync.Mutex
	Admitter admitter.Admitter
	waiters  map[waiterKey]chan admitter.Decision
	// removedRouters are the routers whose holds were given up since they last settled any.
	removedRouters map[string]bool
	// fastTicking says that Run ticks often; wake makes it so.
	fastTicking bool
	wake        chan struct{}

	// places are the granted ones that have not ended.
	slotsMu sync.Mutex
	slots   map[uint64]*Slot

	loadsMu sync.RWMutex
	loads   map[string]steerer.Load
	// loadReceivedAt is when the loads were heard.
	loadReceivedAt map[string]time.Time
}

type waiterKey struct {
	router string
	id     uint64
}

// Run ticks until the context ends.
func (a *Allocator) Run(ctx context.Context) {
	t := time.NewTimer(tickInterval)
	defer t.Stop()
	report := time.NewTicker(logInterval)
	defer report.Stop()
	handOver := time.NewTicker(ownerCheckInterval)
	defer handOver.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			a.withAdmitter(func(now time.Time, ad *admitter.Admitter) { ad.Tick(now) })
			t.Reset(a.nextTickInterval())
		case <-a.wake:
			t.Reset(tickInterval)
		case <-handOver.C:
			a.ReportSlotsToNewOwners()
		case <-report.C:
			a.logServers()
		}
	}
}

// nextTickInterval returns when to tick again.
func (a *Allocator) nextTickInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fastTicking = len(a.waiters) > 0
	if a.fastTicking {
		return tickInterval
	}
	return idleTickInterval
}

// logServers logs what is believed of the servers that were asked for lately.
func (a *Allocator) logServers() {
	for _, s := range a.Dump() {
		if s.Active {
			a.Log("engine", "server", s.Server, "running", s.Running, "places", s.ConcurrencyLimit, "waiting", s.Waiting,
				"wait-ms", int(s.WaitMS), "read-rate", int(s.ReadRate), "failures", s.Failures)
		}
	}
}

// withAdmitter runs one event under the lock and hands out what was decided.
func (a *Allocator) withAdmitter(f func(now time.Time, ad *admitter.Admitter)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(time.Now(), &a.Admitter)
	for _, d := range a.Admitter.TakeDecisions() {
		key := waiterKey{d.Request.Router, d.Request.ID}
		ch := a.waiters[key]
		delete(a.waiters, key)
		if ch != nil {
			ch <- d
		}
	}
	if len(a.waiters) > 0 && !a.fastTicking {
		a.fastTicking = true
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
func (a *Allocator) Acquire(ctx context.Context, req *SlotRequest) (*Slot, *Refusal) {
	servers := a.Servers(req.Service.Name)
	ranked := steerer.RankServers(req.SharedPrefix, servers, a.Loads(), req.ExcludedServers)
	if len(ranked) == 0 {
		return nil, &Refusal{Reason: ReasonNoServer, RetryAfter: retryAfterNoServer}
	}
	slot, first := a.tryServer(ctx, req, ranked[0], false)
	if slot != nil || first.Reason == ReasonCanceled {
		return slot, first
	}
	first.ServersAsked = 1
	i := slices.IndexFunc(servers, func(s *cataloger.Server) bool { return s.ID == first.Reply.Elsewhere })
	if i < 0 || slices.Contains(req.ExcludedServers, servers[i].ID) {
		return nil, first
	}
	slot, second := a.tryServer(ctx, req, servers[i], !first.Reply.Home)
	if slot != nil || second.Reason == ReasonCanceled {
		return slot, second
	}
	first.ServersAsked++
	return nil, first
}

// tryServer asks for a place on one server.
func (a *Allocator) tryServer(ctx context.Context, req *SlotRequest, server *cataloger.Server, overflow bool) (*Slot, *Refusal) {
	args := &messenger.AskArgs{
		Ask: admitter.Request{
			Router: a.Self.Name, ID: rand.Uint64(), Workspace: req.Workspace,
			Engine: admitter.Engine{ID: server.ID, Slots: req.Service.Engine.Slots, MemoryTokens: req.Service.Engine.MemoryTokens},
			Prompt: req.PromptTokens, Parts: req.PromptParts, Answer: req.AnswerTokens, FirstBy: req.FirstEventBy, Deadline: req.Deadline, Arrived: req.Arrived,
			Resumed: req.Resumed, Spare: overflow,
		},
		Service: req.Service.Name, Prompt: req.SharedPrefix, Tried: req.ExcludedServers,
	}
	reply, owner, err := a.askOwners(ctx, args, server.AvailabilityZone)
	switch {
	case err != nil:
		return nil, &Refusal{Reason: ReasonCanceled, Server: server.ID, Owner: owner.Name}
	case reply.Granted:
		return a.addSlot(&Slot{Server: server, allocator: a, request: &args.Ask, owner: owner}), nil
	}
	return nil, &Refusal{Reason: reply.Reason, Server: server.ID, Owner: owner.Name, Reply: reply, RetryAfter: reply.RetryAfter}
}

// askOwners asks the owner of the ask's server, then the router that would own it
// without that one, and at last decides alone. An error means that nobody waits
// for the answer any more.
func (a *Allocator) askOwners(ctx context.Context, args *messenger.AskArgs, zone string) (messenger.AskReply, messenger.Peer, error) {
	req := &args.Ask
	for _, owner := range a.Roster.Owners(req.Engine.ID, zone, maxOwnersAsked) {
		if owner.Name == a.Self.Name {
			reply, err := a.decideLocally(ctx, args)
			return reply, a.Self, err
		}
		reply, err := a.askPeer(ctx, owner, args)
		if err == nil {
			return reply, owner, nil
		}
		if ctx.Err() != nil {
			a.sendCancel(owner, req)
			return messenger.AskReply{}, owner, err
		}
		a.Log("owner-lost", "owner", owner.Name, "server", req.Engine.ID, "err", err)
		if failer.KindOf[messenger.Kind](err) == messenger.KindUnreachable {
			a.Roster.Lost(owner.Name)
		}
		// The owner may have granted it all the same.
		a.sendCancel(owner, req)
	}
	reply, err := a.decideLocally(ctx, args)
	return reply, a.Self, err
}

// askPeer waits for the owner's decision. An owner that falls silent is noticed
// by the exchange of news, which closes the connection to it.
func (a *Allocator) askPeer(ctx context.Context, peer messenger.Peer, in *messenger.AskArgs) (messenger.AskReply, error) {
	args := *in
	args.FirstIn, args.DeadlineIn = time.Until(in.Ask.FirstBy), time.Until(in.Ask.Deadline)
	args.Ask.FirstBy, args.Ask.Deadline, args.Ask.Arrived = time.Time{}, time.Time{}, time.Time{}
	return a.Messenger.Ask(ctx, peer.Address, &args)
}

// HandleAsk decides a peer's ask; it blocks until the decision.
func (a *Allocator) HandleAsk(args *messenger.AskArgs) messenger.AskReply {
	now := time.Now()
	args.Ask.Arrived, args.Ask.FirstBy, args.Ask.Deadline = now, now.Add(args.FirstIn), now.Add(args.DeadlineIn)
	reply, err := a.decideLocally(context.Background(), args)
	if err != nil {
		return messenger.AskReply{Reason: ReasonCanceled}
	}
	return reply
}

// decideLocally asks the own admitter.
func (a *Allocator) decideLocally(ctx context.Context, args *messenger.AskArgs) (messenger.AskReply, error) {
	req := &args.Ask
	ch := make(chan admitter.Decision, 1)
	a.withAdmitter(func(now time.Time, ad *admitter.Admitter) {
		if a.waiters == nil {
			a.waiters = map[waiterKey]chan admitter.Decision{}
		}
		a.waiters[waiterKey{req.Router, req.ID}] = ch
		ad.Submit(now, req)
	})
	select {
	case d := <-ch:
		reply := newAskReply(d)
		a.suggestServer(args, &reply)
		return reply, nil
	case <-ctx.Done():
	}
	a.cancel(req.Engine.ID, req.Router, req.ID)
	return messenger.AskReply{}, failer.Wrap("ask", messenger.KindCanceled, ctx.Err())
}

// cancel drops an ask or the hold that it has become.
func (a *Allocator) cancel(server, router string, id uint64) {
	a.withAdmitter(func(now time.Time, ad *admitter.Admitter) {
		delete(a.waiters, waiterKey{router, id})
		ad.Cancel(now, server, router, id)
	})
}

// suggestServer names a server to ask instead in a refusal: another home for a prompt whose
// server keeps failing, or one with room.
func (a *Allocator) suggestServer(args *messenger.AskArgs, reply *messenger.AskReply) {
	if reply.Granted || args.Ask.Spare || reply.Reason == ReasonCanceled {
		return
	}
	servers, loads := a.Servers(args.Service), a.Loads()
	tried := append(slices.Clip(args.Tried), args.Ask.Engine.ID)
	if reply.Reason == admitter.ReasonSuspended {
		if ranked := steerer.RankServers(args.Prompt, servers, loads, tried); len(ranked) > 0 {
			reply.Elsewhere, reply.Home = ranked[0].ID, true
		}
		return
	}
	if s := steerer.OverflowServer(args.Prompt, servers, loads, tried); s != nil {
		reply.Elsewhere = s.ID
	}
}

func newAskReply(d admitter.Decision) messenger.AskReply {
	return messenger.AskReply{
		Granted: d.Granted, Reason: d.Reason, RetryAfter: d.RetryAfter, Running: d.Running, Waiting: d.Waiting,
		Backlog: d.Backlog, Usage: d.Usage, Mean: d.MeanUsage,
	}
}

// HandleSettle takes a peer's outcomes in. It says whether what the peer holds was given
// up while it was silent.
func (a *Allocator) HandleSettle(s *messenger.Settlement) (forgotten bool) {
	a.withAdmitter(func(now time.Time, ad *admitter.Admitter) {
		forgotten = a.removedRouters[s.From]
		delete(a.removedRouters, s.From)
		for _, h := range s.Held {
			req := h.Ask
			req.Arrived, req.FirstBy, req.Deadline = now, now, now.Add(h.DeadlineIn)
			ad.Adopt(now, &req)
		}
		for _, o := range s.Outcomes {
			ad.RecordOutcome(now, o)
		}
		for _, c := range s.Canceled {
			key := waiterKey{s.From, c.ID}
			if ch := a.waiters[key]; ch != nil {
				// The handler of the ask must end too.
				delete(a.waiters, key)
				ch <- admitter.Decision{Request: &admitter.Request{Router: s.From, ID: c.ID}, Reason: ReasonCanceled}
			}
			ad.Cancel(now, c.Server, s.From, c.ID)
		}
	})
	return forgotten
}

// RemoveRouter drops what a router holds that is gone. One that was only silent tells it again
// once it is heard.
func (a *Allocator) RemoveRouter(router string) {
	a.withAdmitter(func(now time.Time, ad *admitter.Admitter) {
		ad.RemoveRouter(now, router)
		for key, ch := range a.waiters {
			if key.router == router {
				// It may run all the same, and its caller must not wait for nothing.
				delete(a.waiters, key)
				ch <- admitter.Decision{
					Request: &admitter.Request{Router: key.router, ID: key.id}, Reason: ReasonRouterUnheard, RetryAfter: retryAfterRouterUnheard,
				}
			}
		}
		if a.removedRouters == nil {
			a.removedRouters = map[string]bool{}
		}
		a.removedRouters[router] = true
	})
}

// RetainServers drops the servers that are gone.
func (a *Allocator) RetainServers(servers map[string]*cataloger.Server) {
	a.loadsMu.Lock()
	kept := make(map[string]steerer.Load, len(a.loads))
	var gone []string
	for id, load := range a.loads {
		if servers[id] != nil {
			kept[id] = load
		} else {
			gone = append(gone, id)
		}
	}
	a.loads = kept
	a.loadsMu.Unlock()
	a.withAdmitter(func(now time.Time, ad *admitter.Admitter) {
		for _, id := range gone {
			ad.RemoveServer(now, id)
		}
	})
}

// Dump lists the owned servers for operators.
func (a *Allocator) Dump() []admitter.ServerState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Admitter.Dump(time.Now())
}
