package conductor

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/allocator"
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/relayer"
	"papayapaddle/internal/steerer"
)

const (
	// defaultAnswerTokens is the assumed number of tokens of an answer without a length hint.
	defaultAnswerTokens = 200
	// resumeEventTimeout is how long a resumed stream may wait for its next event. Callers give
	// up after two seconds without an event, and detecting the interruption may take one of them.
	resumeEventTimeout = time.Second
	// noServerRetryAfter is the retry delay if no server of a service is available.
	noServerRetryAfter = time.Second
	// maxLimitedTried is the number of servers of a plain service whose owners are asked for one call. Each costs a
	// round trip.
	maxLimitedTried = 3
	// maxColdGivenBack is the number of grants for cold servers after which a call is refused if no warm server is left.
	// While the owners do not know that their servers are cold, or are of the release before, the next server's grant is
	// hardly of more use.
	maxColdGivenBack = 2
	// coldGrantRetryAfter is the retry delay after that many. Routers agree on a cold period within a second.
	coldGrantRetryAfter = time.Second
)

// assignServer assigns a server to a call: a slot on a model server, which the server's owner
// grants, or a server of a plain service, which this router picks by itself. If the server
// started to drain, asked for a pause, became cold or was evacuated while the call waited, it is excluded and another one is
// assigned.
func (n *node) assignServer(ctx context.Context, c *relayer.Call) (*relayer.Assignment, *relayer.Refusal) {
	n.cold.hadTraffic.Store(true)
	if c.Hedge {
		n.excludeFromHedge(c)
	}
	coldGivenBack := 0
	for {
		assignment, r := n.tryAssignServer(ctx, c)
		if r != nil {
			return nil, r
		}
		reason := ""
		switch {
		case !n.watcher.Usable(assignment.Server) || n.isExcluded(assignment.Server):
			reason = n.givenBackReason(assignment.Server)
		case assignment.MaySend != nil && !assignment.MaySend():
			reason = "it is cold"
			coldGivenBack++
		default:
			return n.countRunning(assignment), nil
		}
		assignment.Release(relayer.AttemptResult{Inconclusive: true})
		n.log("place-given-back", "request", c.ID, "server", assignment.Server.ID, "why", reason)
		c.ExcludedServers = append(c.ExcludedServers, assignment.Server.ID)
		if coldGivenBack >= maxColdGivenBack && !n.hasWarmServer(c) {
			return nil, &relayer.Refusal{Reason: string(admitter.ReasonServerCold), RetryAfter: coldGrantRetryAfter}
		}
	}
}

// hasWarmServer reports whether a call has a server left that is neither cold nor was a moment ago.
func (n *node) hasWarmServer(c *relayer.Call) bool {
	set := n.watcher.ServerSet()
	return set != nil && slices.ContainsFunc(set.ByService[c.Service.Name], func(s *cataloger.Server) bool {
		return !n.isColdOrWarming(s.ID) && !slices.Contains(c.ExcludedServers, s.ID)
	})
}

func (n *node) tryAssignServer(ctx context.Context, c *relayer.Call) (*relayer.Assignment, *relayer.Refusal) {
	set := n.watcher.ServerSet()
	if r := n.pausedRefusal(set, c); r != nil {
		return nil, r
	}
	if r := n.evacuatedRefusal(set, c); r != nil {
		return nil, r
	}
	if c.Service.Engine != nil {
		return n.acquireSlot(ctx, c)
	}
	if set == nil {
		return nil, &relayer.Refusal{Reason: "servers-unknown", RetryAfter: noServerRetryAfter}
	}
	servers, _ := n.withoutExcluded(set.ByService[c.Service.Name])
	if c.Hedge {
		servers = n.withoutAvoided(servers)
	}
	return n.pickPlainServer(ctx, c, servers)
}

// pickPlainServer picks a server of a plain service. If it names a limit or is cold, its owner decides whether the
// request may start there; if not, another server is picked.
func (n *node) pickPlainServer(ctx context.Context, c *relayer.Call, servers []*cataloger.Server) (*relayer.Assignment, *relayer.Refusal) {
	unlimited := n.withoutLimit(servers)
	tried := slices.Clone(c.ExcludedServers)
	var refused *allocator.Refusal
	for range maxLimitedTried {
		s := n.balancer.Pick(time.Now(), servers, tried)
		if s == nil {
			break
		}
		grant, refusal := n.awaitStart(ctx, c, s, len(unlimited) == 0 && !c.Standby)
		if refusal == nil {
			if refused != nil && refused.Reason == admitter.ReasonServerCold {
				n.metrics.increment("cold-moved")
			}
			return n.withGrant(n.plainAssignment(s), grant), nil
		}
		n.balancer.RequestDone(time.Now(), s.ID, false, true, 0)
		if refused == nil || refusal.RetryAfter < refused.RetryAfter {
			refused = refusal
		}
		if refusal.Reason == allocator.ReasonCanceled {
			break
		}
		tried = append(tried, s.ID)
		if len(unlimited) > 0 {
			servers = unlimited
		}
	}
	if refused != nil {
		return nil, &relayer.Refusal{Reason: string(refused.Reason), RetryAfter: refused.RetryAfter, LogFields: refusalLogFields(refused)}
	}
	return nil, &relayer.Refusal{Reason: "no-server", RetryAfter: noServerRetryAfter, LogFields: []any{"tried", len(c.ExcludedServers)}}
}

// plainAssignment returns the assignment of a server of a plain service. A server that is silent at the end of the attempt
// has failed.
func (n *node) plainAssignment(s *cataloger.Server) *relayer.Assignment {
	var silent atomic.Bool
	return &relayer.Assignment{
		Server: s, ReportFirstEvent: func() { silent.Store(false) }, ReportSilence: func() { silent.Store(true) },
		Release: func(result relayer.AttemptResult) {
			if result.Inconclusive && n.hedging != nil {
				n.balancer.RequestCanceled(s.ID, result.Duration)
				return
			}
			n.balancer.RequestDone(time.Now(), s.ID, result.Failed || silent.Load(), result.Refused, result.Duration)
		},
	}
}

// awaitStart asks the owner of a plain server with a limit, or one that is cold, whether a call may start there now or, if
// it may wait, in time. It returns no refusal if the call may start, or the server has no limit.
func (n *node) awaitStart(ctx context.Context, c *relayer.Call, s *cataloger.Server, mayWait bool) (allocator.Grant, *allocator.Refusal) {
	if !n.isLimited(s.ID) {
		return allocator.Grant{}, nil
	}
	req := &allocator.SlotRequest{
		Workspace: c.Workspace, Service: c.Service, Arrived: c.Arrived, FirstEventBy: time.Now(), Deadline: c.Deadline,
		ExcludedServers: c.ExcludedServers,
	}
	if mayWait {
		req.FirstEventBy = firstEventDeadline(c, time.Now())
	}
	return n.allocator.AwaitStart(ctx, req, s)
}

func (n *node) acquireSlot(ctx context.Context, c *relayer.Call) (*relayer.Assignment, *relayer.Refusal) {
	start := time.Now()
	slot, r := n.allocator.Acquire(ctx, newSlotRequest(c))
	n.metrics.recordSlotWait(time.Since(start))
	if r != nil {
		return nil, &relayer.Refusal{Reason: string(r.Reason), RetryAfter: r.RetryAfter, LogFields: refusalLogFields(r)}
	}
	return n.withGrant(&relayer.Assignment{
		Server: slot.Server, ReportFirstEvent: slot.ReportFirstEvent, ReportSilence: slot.ReportSilence,
		Release: func(result relayer.AttemptResult) {
			if result.Inconclusive {
				slot.Cancel()
				return
			}
			slot.Release(result.Failed || result.Refused, result.Complete)
		},
	}, slot.Grant), nil
}

func refusalLogFields(r *allocator.Refusal) []any {
	return []any{
		"wanted", r.Server, "owner", r.Owner, "asks", r.ServersAsked, "running", r.Reply.Running, "waiting", r.Reply.Waiting,
		"backlog-ms", r.Reply.Backlog.Milliseconds(), "places", r.Reply.Limit, "retried", r.Reply.Retried, "ahead", r.Reply.Ahead,
		"start-in-ms", r.Reply.StartIn.Milliseconds(), "max-wait-ms", r.Reply.MaxWait.Milliseconds(), "usage", int(r.Reply.Usage), "mean-usage", int(r.Reply.Mean),
	}
}

// newSlotRequest returns the slot request for a call. All parts of a prompt but the last may be
// shared with other prompts, so the ID of the last shared part identifies the prefix.
func newSlotRequest(c *relayer.Call) *allocator.SlotRequest {
	names, tokens := make([]string, len(c.Parts)), make([]int, len(c.Parts))
	shared := 0
	for i, p := range c.Parts {
		names[i], tokens[i] = p.ID, p.Tokens
		if i < len(c.Parts)-1 {
			shared += p.Tokens
		}
	}
	home := c.ID
	switch n := len(names); {
	case n > 1:
		home = names[n-2]
	case n == 1:
		home = names[0]
	}
	return &allocator.SlotRequest{
		Workspace: c.Workspace, Service: c.Service,
		PromptTokens: c.PromptTokens, PromptParts: admitter.HashParts(c.Model, names, tokens), AnswerTokens: answerTokens(c),
		SharedPrefix: steerer.SharedPrefix{Home: home, Shared: shared},
		Arrived:      c.Arrived, FirstEventBy: firstEventDeadline(c, time.Now()), Deadline: c.Deadline, ExcludedServers: c.ExcludedServers,
		Resumed: c.Resumed, Standby: c.Standby,
	}
}

// answerTokens returns the expected number of tokens of a call's answer.
func answerTokens(c *relayer.Call) int {
	answer := c.AnswerLengthHint
	if answer == 0 {
		answer = defaultAnswerTokens
	}
	if c.MaxAnswerTokens > 0 {
		answer = min(answer, c.MaxAnswerTokens)
	}
	return answer
}

// firstEventDeadline returns when the first event of a call is due. A call that is retried may
// already be late; it gets at least half of the time of a new call.
func firstEventDeadline(c *relayer.Call, now time.Time) time.Time {
	if c.Resumed {
		return now.Add(resumeEventTimeout)
	}
	deadline := c.Arrived.Add(c.Route.LatencyObjective)
	if earliest := now.Add(c.Route.LatencyObjective / 2); deadline.Before(earliest) {
		return earliest
	}
	return deadline
}
