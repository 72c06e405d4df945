// Package prober obtains the proofs that package verifier decides on: it keeps a connection to each server whose
// responses are delimited by the end of their connection, and sends requests on it that servers do not execute, or
// health requests.
package prober

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/quarantiner"
	"papayapaddle/internal/sender"
	"papayapaddle/internal/timer"
	"papayapaddle/internal/verifier"
)

const (
	// lineIdleTime is how long a connection is kept after the last response for which it was opened. It is less than
	// the idle timeout of most servers.
	lineIdleTime = 4 * time.Second
	// maxServers limits the servers to which connections are kept.
	maxServers = 512
	// crashProofTimeout limits the proof that tells whether a server ended that lost a request.
	crashProofTimeout = 300 * time.Millisecond
)

// Prober finds out whether servers outlived their responses. All exported fields must be set, except where noted.
type Prober struct {
	Sender *sender.Sender
	// Encode returns the target and the headers of a request to a server, with an ID of its own. misdirected says
	// that it names another server as the one that may execute it, and is no health request.
	Encode func(s *cataloger.Server, misdirected bool, id string) (target string, h http.Header)
	// Decode decodes the header of a response to a request with an ID, and reports whether it names that ID.
	Decode func(status int, h http.Header, id string) (r verifier.Reply, matches bool)
	// MayProbe reports whether a health request may be sent to a server now. If nil, it may.
	MayProbe func(*cataloger.Server) bool
	// PausedUntil returns until when a server wants no requests, and Replaced reports whether it is listed as
	// another incarnation.
	PausedUntil func(*cataloger.Server) time.Time
	Replaced    func(*cataloger.Server) bool
	// Responded is called for the header of each response to a request that was sent. It may be nil.
	Responded func(s *cataloger.Server, id string, sentAt time.Duration, status int, h http.Header)
	// Sent is called for each request that is sent. It may be nil.
	Sent func(s *cataloger.Server, health bool)
	// Decided is called for the verdict on each end of a response. It may be nil.
	Decided func(s *cataloger.Server, v verifier.Verdict, cause verifier.Cause)

	requests atomic.Uint64
	// waiting is the number of ends that are not decided, so that other responses need no lock.
	waiting atomic.Int64

	mu      sync.Mutex
	targets map[uint64]*target
}

// target is what the prober keeps of one incarnation of a server.
type target struct {
	server *cataloger.Server
	verifier.Incarnation
	// watches counts the responses in progress that are delimited by the end of their connection.
	watches int
	line    *sender.Line
	// opening is closed when the connection that is being opened is there, or nil.
	opening chan struct{}
	// running is true while ends are decided. The line then belongs to run.
	running bool
	// changed receives a value when an end was added or decided meanwhile.
	changed chan struct{}
	// expiry closes an unused line.
	expiry *time.Timer
}

func key(s *cataloger.Server) uint64 { return quarantiner.ServerKey(s.ID, s.StartedUnixMilli) }

// target returns the state of a server. The lock must be held.
func (p *Prober) target(s *cataloger.Server) *target {
	t := p.targets[key(s)]
	if t == nil {
		if p.targets == nil {
			p.targets = map[uint64]*target{}
		}
		t = &target{server: s, Incarnation: verifier.Incarnation{ID: s.ID}, changed: make(chan struct{}, 1)}
		p.targets[key(s)] = t
	}
	if t.expiry != nil {
		t.expiry.Stop()
		t.expiry = nil
	}
	return t
}

// release lets an unused target expire. The lock must be held.
func (p *Prober) release(t *target) {
	if t.watches > 0 || t.running || t.opening != nil || t.expiry != nil {
		return
	}
	if t.line == nil || len(p.targets) > maxServers {
		p.remove(t)
		return
	}
	t.expiry = time.AfterFunc(lineIdleTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if t.expiry != nil {
			p.remove(t)
		}
	})
}

// remove removes a target. The lock must be held.
func (p *Prober) remove(t *target) {
	if t.line != nil {
		t.line.Close()
		t.line = nil
	}
	if p.targets[key(t.server)] == t {
		delete(p.targets, key(t.server))
	}
}

// Watch follows a response of a server that is delimited by the end of its connection. Stop must be called once.
type Watch struct {
	prober *Prober
	target *target
}

// Watch opens a connection to the server unless there is one. It does not block.
func (p *Prober) Watch(s *cataloger.Server) *Watch {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(s)
	t.watches++
	if !t.running && t.opening == nil && (t.line == nil || !t.line.IsIdle()) {
		if t.line != nil {
			t.line.Close()
			t.line = nil
		}
		t.opening = make(chan struct{})
		go p.open(t)
	}
	return &Watch{p, t}
}

// open opens the connection to a server in the background.
func (p *Prober) open(t *target) {
	// A failure shows nothing before the end of the response.
	line, _ := p.Sender.Open(context.Background(), t.server.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	t.line = line
	close(t.opening)
	t.opening = nil
	p.release(t)
}

// Stop ends the watch.
func (w *Watch) Stop() {
	w.prober.mu.Lock()
	defer w.prober.mu.Unlock()
	w.target.watches--
	w.prober.release(w.target)
}

// Outlived waits for a proof that the server outlived its response, whose end has just been observed. aliveAt is when
// the server was last known to be alive. If there is none, it returns the cause.
func (w *Watch) Outlived(ctx context.Context, aliveAt time.Time) (bool, verifier.Cause) {
	now := time.Now()
	verdict, cause := w.prober.await(ctx, w.target.server, verifier.End{
		AliveAt: aliveAt, ObservedAt: now, Deadline: now.Add(verifier.ProofTimeout),
	})
	if w.prober.Decided != nil {
		w.prober.Decided(w.target.server, verdict, cause)
	}
	return verdict == verifier.Outlived, cause
}

// Check finds out whether a server ended that has just lost a request. No health request is sent.
func (p *Prober) Check(ctx context.Context, s *cataloger.Server) verifier.Verdict {
	now := time.Now()
	verdict, _ := p.await(ctx, s, verifier.End{
		AliveAt: now, ObservedAt: now, Deadline: now.Add(crashProofTimeout), NoHealthRequest: true,
	})
	return verdict
}

type result struct {
	verdict verifier.Verdict
	cause   verifier.Cause
}

// await waits until an end is decided.
func (p *Prober) await(ctx context.Context, s *cataloger.Server, e verifier.End) (verifier.Verdict, verifier.Cause) {
	decided := make(chan result, 1)
	w := &verifier.Waiting{End: e, Decided: func(v verifier.Verdict, c verifier.Cause) {
		p.waiting.Add(-1)
		decided <- result{v, c}
	}}
	p.waiting.Add(1)
	p.mu.Lock()
	t := p.target(s)
	t.Observe(w)
	t.notify()
	if !t.running {
		t.running = true
		go p.run(t)
	}
	p.mu.Unlock()
	timer := time.NewTimer(time.Until(e.Deadline))
	defer timer.Stop()
	timeout := result{verifier.Unproven, verifier.CauseTimeout}
	select {
	case r := <-decided:
		return r.verdict, r.cause
	case <-timer.C:
	case <-ctx.Done():
		timeout.cause = verifier.CauseStopped
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case r := <-decided:
		return r.verdict, r.cause
	default:
	}
	t.Forget(w)
	t.notify()
	p.waiting.Add(-1)
	return timeout.verdict, timeout.cause
}

func (t *target) notify() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// HandleResponse passes on a response to another request to a server, which may be a proof.
func (p *Prober) HandleResponse(s *cataloger.Server, r verifier.Reply) {
	if p.waiting.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[key(s)]; t != nil && t.Waiting() > 0 {
		t.HandleReply(r, false)
		t.notify()
	}
}

// run decides the ends of a server until none is left.
func (p *Prober) run(t *target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if opening := t.opening; opening != nil {
			p.mu.Unlock()
			<-opening
			p.mu.Lock()
			continue
		}
		plan := t.Next(time.Now(), p.conditions(t))
		switch plan.Step {
		case verifier.StepNone:
			t.running = false
			p.release(t)
			return
		case verifier.StepWait:
			p.mu.Unlock()
			timer := time.NewTimer(time.Until(plan.Until))
			select {
			case <-timer.C:
			case <-t.changed:
			}
			timer.Stop()
			p.mu.Lock()
		case verifier.StepConnect:
			p.connect(t, plan.Until)
		case verifier.StepLine:
			p.ask(t, plan.Request)
		}
	}
}

// conditions returns what is known of a server. A connection that was closed meanwhile is dropped. The lock must be
// held.
func (p *Prober) conditions(t *target) verifier.Conditions {
	if t.line != nil && !t.line.IsIdle() {
		t.line.Close()
		t.line = nil
	}
	c := verifier.Conditions{
		Replaced: p.Replaced(t.server), PausedUntil: p.PausedUntil(t.server),
		MayProbe: p.MayProbe == nil || p.MayProbe(t.server),
	}
	if t.line != nil {
		c.LineConnectedAt = t.line.ConnectedAt
	}
	return c
}

// connect opens a connection that takes the place of the line. The lock must be held.
func (p *Prober) connect(t *target, until time.Time) {
	if t.line != nil {
		t.line.Close()
		t.line = nil
	}
	p.mu.Unlock()
	triedAt := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), until)
	line, err := p.Sender.Open(ctx, t.server.Address)
	cancel()
	p.mu.Lock()
	t.line = line
	switch {
	case errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET):
		t.HandleRefused(triedAt)
	case err != nil:
		t.HandleUnreachable(time.Now())
	}
}

// ask sends a request on the line. The lock must be held.
func (p *Prober) ask(t *target, request verifier.Request) {
	line, misdirected := t.line, request == verifier.RequestMisdirected
	id := "proof-" + strconv.FormatUint(p.requests.Add(1), 36) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	target, header := p.Encode(t.server, misdirected, id)
	p.mu.Unlock()
	if p.Sent != nil {
		p.Sent(t.server, !misdirected)
	}
	ctx, cancel := context.WithTimeout(context.Background(), verifier.ProofTimeout)
	stop := make(chan struct{})
	go func() {
		defer cancel()
		p.cancelWhenDecided(t, stop)
	}()
	matched := false
	sentAt, sentSinceBoot := time.Now(), timer.SinceBoot()
	resp, reusable, err := line.Send(ctx, &sender.Request{
		Server: t.server.ID, Address: t.server.Address, Method: http.MethodGet, Target: target, Host: t.server.Address, Header: header,
		MatchesResponse: func(h http.Header, first bool) bool {
			_, matched = p.Decode(0, h, id)
			return matched || first
		},
	})
	canceled := ctx.Err() != nil
	close(stop)
	if resp != nil && p.Responded != nil {
		p.Responded(t.server, id, sentSinceBoot, resp.Status, resp.Header)
	}
	p.mu.Lock()
	if !reusable || !matched {
		// The next response on it could not be told from a repetition of this one.
		line.Close()
		t.line = nil
	}
	if resp != nil {
		reply, _ := p.Decode(resp.Status, resp.Header, id)
		reply.SentAt, reply.ConnectedAt, reply.Expected = sentAt, line.ConnectedAt, !misdirected
		t.HandleReply(reply, true)
		return
	}
	if canceled && failer.KindOf[sender.Kind](err) != sender.KindInvalidResponse {
		return
	}
	t.HandleClosed(time.Now(), sentAt, !line.ConnectedAt.After(sentAt.Add(-verifier.MinRestartTime)))
}

// cancelWhenDecided returns when no end is left to be decided, or stop is closed.
func (p *Prober) cancelWhenDecided(t *target, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-t.changed:
		}
		p.mu.Lock()
		left := t.Waiting()
		p.mu.Unlock()
		if left == 0 {
			return
		}
	}
}
