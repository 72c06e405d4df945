package conductor

import (
	"context"
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/allocator"
	"papayapaddle/internal/relayer"
	"papayapaddle/internal/steerer"
)

const (
	// guessedAnswer is the length of an answer in tokens that no one estimated.
	guessedAnswer = 200
	// resumePatience is how long a stream that was cut waits for its next event. Callers
	// give up after two seconds, of which one may have gone by until the silence was
	// noticed.
	resumePatience = time.Second
	// retryNoServer is told when a service has no server that may get work.
	retryNoServer = time.Second
)

// place finds a server for a call: a place on a model server from its owner, a
// plain service's server by this router alone. A server that began to leave while
// the call waited for its place is passed over.
func (n *node) place(ctx context.Context, c *relayer.Call) (*relayer.Place, *relayer.Refusal) {
	for {
		p, r := n.placeOnce(ctx, c)
		if r != nil || n.watcher.Usable(p.Server) {
			return p, r
		}
		p.End(relayer.End{})
		n.log("place-given-back", "request", c.ID, "server", p.Server.ID, "why", "it leaves")
		c.Exclude = append(c.Exclude, p.Server.ID)
	}
}

func (n *node) placeOnce(ctx context.Context, c *relayer.Call) (*relayer.Place, *relayer.Refusal) {
	if c.Service.Engine != nil {
		return n.placeOnEngine(ctx, c)
	}
	f := n.watcher.Fleet()
	if f == nil {
		return nil, &relayer.Refusal{Reason: "servers-unknown", RetryAfter: retryNoServer}
	}
	s := n.balancer.Pick(time.Now(), f.ByService[c.Service.Name], c.Exclude)
	if s == nil {
		return nil, &relayer.Refusal{Reason: "no-server", RetryAfter: retryNoServer, Detail: []any{"tried", len(c.Exclude)}}
	}
	return &relayer.Place{
		Server: s, Began: func() {},
		End: func(e relayer.End) { n.balancer.End(time.Now(), s.ID, e.Failed, e.Full, e.Took) },
	}, nil
}

func (n *node) placeOnEngine(ctx context.Context, c *relayer.Call) (*relayer.Place, *relayer.Refusal) {
	began := time.Now()
	p, r := n.allocator.Acquire(ctx, need(c))
	n.meter.waited(time.Since(began))
	if r != nil {
		return nil, &relayer.Refusal{Reason: string(r.Reason), RetryAfter: r.RetryAfter, Detail: refusalDetail(r)}
	}
	return &relayer.Place{
		Server: p.Server, Began: p.Began,
		End: func(e relayer.End) { p.End(e.Failed || e.Full, e.Whole) },
	}, nil
}

func refusalDetail(r *allocator.Refusal) []any {
	return []any{
		"wanted", r.Server, "owner", r.Owner, "asks", r.Asks, "running", r.Reply.Running, "waiting", r.Reply.Waiting,
		"backlog-ms", r.Reply.Backlog.Milliseconds(), "usage", int(r.Reply.Usage), "mean-usage", int(r.Reply.Mean),
	}
}

// need describes a call to the allocator.
func need(c *relayer.Call) *allocator.Need {
	names, tokens := make([]string, len(c.Parts)), make([]int, len(c.Parts))
	shared := 0
	for i, p := range c.Parts {
		names[i], tokens[i] = p.ID, p.Tokens
		if i < len(c.Parts)-1 {
			shared += p.Tokens
		}
	}
	answer := c.LengthHint
	if answer == 0 {
		answer = guessedAnswer
	}
	if c.MaxAnswerTokens > 0 {
		answer = min(answer, c.MaxAnswerTokens)
	}
	home := c.ID
	switch n := len(names); {
	case n > 1:
		home = names[n-2]
	case n == 1:
		home = names[0]
	}
	return &allocator.Need{
		Workspace: c.Workspace, Service: c.Service,
		Prompt: c.PromptTokens, Parts: admitter.Chain(c.Model, names, tokens), Answer: answer,
		Steer:   steerer.Prompt{Home: home, Shared: shared},
		Arrived: c.Arrived, FirstBy: firstBy(c, time.Now()), Deadline: c.Deadline, Exclude: c.Exclude,
		Resumed: c.Resumed,
	}
}

// firstBy returns by when the first event is wanted. One that was tried before
// may be late already; it still waits as long as half of a new one.
func firstBy(c *relayer.Call, now time.Time) time.Time {
	if c.Resumed {
		return now.Add(resumePatience)
	}
	at := c.Arrived.Add(c.Route.LatencyObjective)
	if again := now.Add(c.Route.LatencyObjective / 2); at.Before(again) {
		return again
	}
	return at
}
