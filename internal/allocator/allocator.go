// Package allocator obtains slots on model servers. It chooses a server for a prompt, asks
// the router that owns the server for a slot, and reports the outcome of the request to it.
// For the servers that this router owns, it runs the admitter.
package allocator

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/messenger"
	"papayapaddle/internal/pacer"
	"papayapaddle/internal/steerer"
)

const (
	// tickInterval is the interval between calls of Admitter.Tick while requests wait, and
	// idleTickInterval while none do.
	tickInterval     = 20 * time.Millisecond
	idleTickInterval = 250 * time.Millisecond
	// logInterval is the interval between log lines about the owned servers.
	logInterval = 2 * time.Second
	// ownerCheckInterval is the interval between checks for a new owner of held slots.
	ownerCheckInterval = 200 * time.Millisecond
	// maxOwnersAsked is the number of routers that are asked before this router decides on
	// its own.
	maxOwnersAsked = 2
	// retryAfterRouterUnheard is the retry delay if the owner of a server has lost contact with
	// the router that asked. The next attempt reaches another router.
	retryAfterRouterUnheard = 300 * time.Millisecond
	// retryAfterOwnerUnreachable is the retry delay if the owners of a server with a limit cannot be reached.
	// They then count as lost, and the next attempt reaches others.
	retryAfterOwnerUnreachable = 300 * time.Millisecond
	// retryAfterNoServer is the retry delay if a service has no server.
	retryAfterNoServer = time.Second
)

// SlotRequest describes a request that needs a slot on a model server.
type SlotRequest struct {
	Workspace    string
	Service      *cataloger.Service
	PromptTokens int
	PromptParts  []admitter.PromptPart
	// AnswerTokens is the expected number of tokens in the answer.
	AnswerTokens int
	SharedPrefix steerer.SharedPrefix
	Arrived      time.Time
	// FirstEventBy is the target time of the first event.
	FirstEventBy time.Time
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// Resumed reports whether the caller already has the beginning of the answer.
	Resumed bool
	// Standby marks a second attempt beside one whose server is silent.
	Standby bool
	// ExcludedServers are the IDs of servers that were already tried.
	ExcludedServers []string
}

// Slot is a slot on a model server, granted to one request.
type Slot struct {
	Server *cataloger.Server
	Grant  Grant

	allocator   *Allocator
	request     *admitter.Request
	releaseOnce sync.Once

	mu    sync.Mutex
	owner messenger.Peer
}

// Refusal describes why no slot was granted.
type Refusal struct {
	Reason admitter.Reason
	// Server is the ID of the server, and Owner the name of the router that decided.
	Server string
	Owner  string
	// Reply is the reply of Owner, with the inputs of its decision.
	Reply messenger.AdmitReply
	// ServersAsked is the number of servers on which a slot was requested.
	ServersAsked int
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
	// evacuated are the servers that were refused since their zones are evacuated.
	evacuated []string
}

// Reasons for refusals in addition to those of package admitter.
const (
	ReasonNoServer admitter.Reason = "no-server"
	ReasonCanceled admitter.Reason = "caller-gone"
	// ReasonRouterUnheard: the owner has lost contact with the router that asked.
	ReasonRouterUnheard admitter.Reason = "router-unheard"
)

// Allocator obtains slots for the requests of one router, and grants those of the servers it
// owns. All exported fields must be set.
type Allocator struct {
	Self       messenger.Peer
	Membership *messenger.Membership
	Messenger  *messenger.Messenger
	// Servers returns the servers of a service that may get requests.
	Servers func(service string) []*cataloger.Server
	// Limit returns the limit that a server names, empty without one. It may be nil.
	Limit func(server string) []pacer.News
	// Cold returns the period in which a server is cold, empty if it is not. Avoid reports whether a server is cold or
	// was a moment ago, so that it gets only prompts whose home it is. OnMoved is called when a request got a slot on
	// another server because its own was cold. Now reads the boot clock. All may be nil.
	Cold    func(server string) []pacer.ColdNews
	Avoid   func(server string) bool
	OnMoved func()
	Now     func() time.Duration
	// OnEvacuated, if set, is called when a request left a server since its zone is evacuated.
	OnEvacuated func(server string)
	Log         func(event string, keyvals ...any)

	// mu protects Admitter, waiters, removedRouters, startedAt and fastTicking.
	mu       sync.Mutex
	Admitter admitter.Admitter
	waiters  map[waiterKey]chan admitter.Decision
	// removedRouters are the routers whose requests were removed and which have not sent
	// request updates since.
	removedRouters map[string]bool
	// startedAt holds the start times of the listed servers, in Unix milliseconds, by ID.
	startedAt map[string]int64
	// fastTicking reports whether Run uses tickInterval. Sending to wake makes Run switch from
	// idleTickInterval to tickInterval.
	fastTicking bool
	wake        chan struct{}

	// asks are the requests of this router that owners have not decided, by ID. asksMu protects them.
	asksMu sync.Mutex
	asks   map[uint64]pendingAsk

	// slots are the granted slots that were not released, by request ID. slotsMu protects them.
	slotsMu sync.Mutex
	slots   map[uint64]*Slot

	loadsMu sync.RWMutex
	loads   map[string]steerer.Load
	// loadReceivedAt is when each load was last received.
	loadReceivedAt map[string]time.Time
}

type waiterKey struct {
	router string
	id     uint64
}

// Run ticks the admitter, reports slots to new owners and logs the state of the active
// servers until the context is done.
func (a *Allocator) Run(ctx context.Context) {
	tick := time.NewTimer(tickInterval)
	defer tick.Stop()
	logTicker := time.NewTicker(logInterval)
	defer logTicker.Stop()
	ownerCheck := time.NewTicker(ownerCheckInterval)
	defer ownerCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.withAdmitter(func(now time.Time, ad *admitter.Admitter) { ad.Tick(now) })
			tick.Reset(a.nextTickInterval())
		case <-a.wake:
			tick.Reset(tickInterval)
		case <-ownerCheck.C:
			a.ReportSlotsToNewOwners()
		case <-logTicker.C:
			a.logServers()
		}
	}
}

// nextTickInterval returns the time until the next tick.
func (a *Allocator) nextTickInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fastTicking = len(a.waiters) > 0
	if a.fastTicking {
		return tickInterval
	}
	return idleTickInterval
}

// logServers logs the estimated state of the active servers.
func (a *Allocator) logServers() {
	for _, s := range a.Dump() {
		if s.Active {
			a.Log("engine", "server", s.Server, "running", s.Running, "places", s.ConcurrencyLimit,
				"waiting", s.Waiting, "wait-ms", int(s.WaitMS), "read-rate", int(s.PrefillRate),
				"failures", s.Failures)
		}
	}
}

// withAdmitter calls f with the lock held and passes the resulting decisions to the waiters.
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

// New initializes an allocator whose exported fields are set, and returns it.
func New(a *Allocator) *Allocator {
	a.wake = make(chan struct{}, 1)
	return a
}

// tryServers tries the best server for a prompt. If that is refused, it tries one other server, which the
// owner suggests in its refusal.
func (a *Allocator) tryServers(ctx context.Context, req *SlotRequest) (*Slot, *Refusal) {
	servers := a.Servers(req.Service.Name)
	ranked := steerer.RankServers(req.SharedPrefix, a.candidates(req, servers), a.Loads(), req.ExcludedServers)
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
	if slot != nil && first.Reason == admitter.ReasonServerCold && a.OnMoved != nil {
		a.OnMoved()
	}
	if slot != nil || second.Reason == ReasonCanceled {
		return slot, second
	}
	if first.Reason == admitter.ReasonEvacuated {
		second.ServersAsked, second.evacuated = 2, append(first.evacuated, second.evacuated...)
		return nil, second
	}
	first.ServersAsked++
	if first.Reply.Home {
		// The caller may return as soon as either server has room.
		first.RetryAfter = min(first.RetryAfter, second.RetryAfter)
	}
	return nil, first
}

// AwaitStart waits until a request may start on a server of a plain service that names a limit or is cold. It returns
// the grant if the owner of the server lets it start, or why it does not.
func (a *Allocator) AwaitStart(ctx context.Context, req *SlotRequest, server *cataloger.Server) (Grant, *Refusal) {
	_, reply, refusal := a.askServer(ctx, req, server, false)
	return reply.grant, refusal
}

// tryServer requests a slot on one server.
func (a *Allocator) tryServer(
	ctx context.Context, req *SlotRequest, server *cataloger.Server, overflow bool,
) (*Slot, *Refusal) {
	ask, reply, refusal := a.askServer(ctx, req, server, overflow)
	if refusal != nil {
		return nil, refusal
	}
	return a.addSlot(&Slot{Server: server, Grant: reply.grant, allocator: a, request: ask, owner: reply.owner}), nil
}

// askServer asks the owner of a server whether a request may start there. It returns the request as the owner
// knows it, and the owner's answer.
func (a *Allocator) askServer(
	ctx context.Context, req *SlotRequest, server *cataloger.Server, overflow bool,
) (*admitter.Request, answer, *Refusal) {
	engine := admitter.Engine{ID: server.ID}
	if e := req.Service.Engine; e != nil {
		engine.Slots, engine.MemoryTokens = e.Slots, e.MemoryTokens
	}
	args := &messenger.AdmitArgs{
		Ask: admitter.Request{
			Router: a.Self.Name, ID: rand.Uint64(), Workspace: req.Workspace, Engine: engine,
			Prompt: req.PromptTokens, Parts: req.PromptParts, Answer: req.AnswerTokens,
			FirstBy: req.FirstEventBy, Deadline: req.Deadline, Arrived: req.Arrived,
			Resumed: req.Resumed, Spare: overflow, Standby: req.Standby,
		},
		Service: req.Service.Name, Prompt: req.SharedPrefix, Tried: req.ExcludedServers,
		Limits: a.limitOf(server.ID), Cold: a.coldNews(server.ID),
	}
	askCtx, done := a.withEvacuation(ctx, &args.Ask)
	defer done()
	reply, err := a.askOwners(askCtx, args, server.AvailabilityZone)
	switch {
	case err != nil && ctx.Err() == nil && errors.Is(context.Cause(askCtx), errEvacuated), reply.Reason == admitter.ReasonEvacuated:
		return nil, reply, a.evacuatedRefusal(server.ID, reply.owner, reply.AdmitReply)
	case err != nil:
		return nil, reply, &Refusal{Reason: ReasonCanceled, Server: server.ID, Owner: reply.owner.Name}
	case reply.Granted:
		return &args.Ask, reply, nil
	}
	return nil, reply, &Refusal{
		Reason: reply.Reason, Server: server.ID, Owner: reply.owner.Name, Reply: reply.AdmitReply, RetryAfter: reply.RetryAfter,
	}
}

// askOwners asks the owner of the requested server. If the owner cannot be reached, it asks
// the router that would own the server without that owner, and finally decides on its own,
// except about a server with a limit: several routers that do so would exceed it together. About a cold server each of
// them, this one too, decides only if it takes itself for the owner. An error means that the context is done.
func (a *Allocator) askOwners(
	ctx context.Context, args *messenger.AdmitArgs, zone string,
) (answer, error) {
	req := &args.Ask
	owners := a.Membership.Owners(req.Engine.ID, zone, maxOwnersAsked)
	for _, owner := range owners {
		askedAt := a.now()
		if owner.Name == a.Self.Name {
			reply, err := a.decideLocally(ctx, args)
			return a.newAnswer(askedAt, reply, a.Self), err
		}
		reply, err := a.askPeer(ctx, owner, args)
		if err == nil {
			return a.newAnswer(askedAt, reply, owner), nil
		}
		if ctx.Err() != nil {
			a.sendCancel(owner, req)
			return answer{owner: owner}, err
		}
		a.Log("owner-lost", "owner", owner.Name, "server", req.Engine.ID, "err", err)
		if failer.KindOf[messenger.Kind](err) == messenger.KindUnreachable {
			a.Membership.MarkUnreachable(owner.Name)
		}
		// The owner may have granted the request despite the error.
		a.sendCancel(owner, req)
	}
	if len(args.Limits) > 0 && len(owners) > 0 {
		reply := messenger.AdmitReply{Reason: admitter.ReasonOwnerUnreachable, RetryAfter: retryAfterOwnerUnreachable}
		a.suggestServer(args, &reply, false)
		return answer{AdmitReply: reply, owner: a.Self}, nil
	}
	askedAt := a.now()
	reply, err := a.decideLocally(ctx, args)
	return a.newAnswer(askedAt, reply, a.Self), err
}

// limitOf returns the limit that a server names, empty without one.
func (a *Allocator) limitOf(server string) []pacer.News {
	if a.Limit == nil {
		return nil
	}
	return a.Limit(server)
}

// askPeer sends a request to a peer and waits for its decision. It needs no timeout: the
// gossip protocol detects an unresponsive peer and closes the connection to it.
func (a *Allocator) askPeer(
	ctx context.Context, peer messenger.Peer, in *messenger.AdmitArgs,
) (messenger.AdmitReply, error) {
	args := *in
	args.FirstIn, args.DeadlineIn = time.Until(in.Ask.FirstBy), time.Until(in.Ask.Deadline)
	args.Ask.FirstBy, args.Ask.Deadline, args.Ask.Arrived = time.Time{}, time.Time{}, time.Time{}
	return a.Messenger.Admit(ctx, peer.Address, &args)
}

// HandleAdmit handles a slot request of a peer. It blocks until the decision.
func (a *Allocator) HandleAdmit(args *messenger.AdmitArgs) messenger.AdmitReply {
	now := time.Now()
	args.Ask.Arrived, args.Ask.FirstBy, args.Ask.Deadline = now, now.Add(args.FirstIn), now.Add(args.DeadlineIn)
	reply, err := a.decideLocally(context.Background(), args)
	if err != nil {
		return messenger.AdmitReply{Reason: ReasonCanceled}
	}
	return reply
}

// decideLocally submits a request to this router's admitter and waits for the decision.
func (a *Allocator) decideLocally(
	ctx context.Context, args *messenger.AdmitArgs,
) (messenger.AdmitReply, error) {
	req := &args.Ask
	ch := make(chan admitter.Decision, 1)
	var submittedAt time.Time
	a.withAdmitter(func(now time.Time, ad *admitter.Admitter) {
		submittedAt = now
		if a.waiters == nil {
			a.waiters = map[waiterKey]chan admitter.Decision{}
		}
		a.waiters[waiterKey{req.Router, req.ID}] = ch
		ad.Submit(now, req)
	})
	select {
	case d := <-ch:
		reply := newAdmitReply(d)
		if !d.At.IsZero() {
			reply.Waited = d.At.Sub(submittedAt)
		}
		a.suggestServer(args, &reply, d.Underserved)
		return reply, nil
	case <-ctx.Done():
	}
	a.cancel(req.Engine.ID, req.Router, req.ID)
	return messenger.AdmitReply{}, failer.Wrap("ask", messenger.KindCanceled, ctx.Err())
}

// cancel removes a waiting or running request from the admitter.
func (a *Allocator) cancel(server, router string, id uint64) {
	a.withAdmitter(func(now time.Time, ad *admitter.Admitter) {
		delete(a.waiters, waiterKey{router, id})
		ad.Cancel(now, server, router, id)
	})
}

// suggestServer adds another server to a refusal.
func (a *Allocator) suggestServer(args *messenger.AdmitArgs, reply *messenger.AdmitReply, underserved bool) {
	if reply.Granted || args.Ask.Spare || reply.Reason == ReasonCanceled {
		return
	}
	tried := append(slices.Clip(args.Tried), args.Ask.Engine.ID)
	servers, loads := a.withoutAvoided(a.Servers(args.Service), tried, nil), a.Loads()
	limited := func(server string) bool { return len(a.limitOf(server)) > 0 || a.Avoid != nil && a.Avoid(server) }
	if s, home := steerer.Alternative(args.Prompt, servers, loads, tried, reply.Reason, underserved, limited); s != nil {
		reply.Elsewhere, reply.Home = s.ID, home
	}
}

func newAdmitReply(d admitter.Decision) messenger.AdmitReply {
	return messenger.AdmitReply{
		Granted: d.Granted, Reason: d.Reason, RetryAfter: d.RetryAfter, Running: d.Running, Waiting: d.Waiting,
		Backlog: d.Backlog, Limit: d.Limit, Retried: d.Retried, Ahead: d.Ahead, StartIn: d.StartIn, MaxWait: d.MaxWait,
		Usage: d.Usage, Mean: d.MeanUsage, Cold: d.Cold,
	}
}
