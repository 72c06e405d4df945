package scheduler

import (
	"context"
	"sync"
	"time"

	"papayapaddle/internal/accountant"
	"papayapaddle/internal/encoder"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/queuer"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors. With each of them the request did not run.
const (
	KindRefused  Kind = "refused"
	KindCanceled Kind = "canceled"
	KindStopped  Kind = "stopped"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// RefusedError is the cause of an error of KindRefused.
type RefusedError struct{ Refusal Refusal }

// Error returns the reason of the refusal.
func (e *RefusedError) Error() string { return string(e.Refusal.Reason) }

// tickInterval is the period of Core.Tick.
const tickInterval = 50 * time.Millisecond

// Request asks for a slot.
type Request struct {
	Key      Key
	Urgency  uint8
	Deadline time.Time
	// Cost is the estimated cost, in tokens or milliseconds.
	Cost  float64
	Bytes int
	// Arrived is when the request was first accepted. A retry keeps it, and with it its
	// position in the queue.
	Arrived time.Time
}

// Slot is the right to run one request on a backend server.
type Slot struct {
	ID     SlotID
	Server string
}

// Scheduler drives a Core with real time and delivers its decisions to waiting callers. Core must
// be set before use, and WakePeer before peers are known. It is safe for concurrent use.
type Scheduler struct {
	// WakePeer is called with the name of each peer whose outbox must be sent now.
	WakePeer func(peer string)

	mu      sync.Mutex
	Core    Core
	nextID  uint64
	waiters map[uint64]chan decision
}

// decision is the start or the refusal of a request.
type decision struct {
	start   *Start
	refusal *Refusal
}

// Run calls Core.Tick periodically until the context ends.
func (s *Scheduler) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.update(func(now time.Time, c *Core) { c.Tick(now) })
		}
	}
}

// update applies one event to the Core under the lock, then delivers the resulting decisions and
// wakes the peers whose outbox must be sent.
func (s *Scheduler) update(event func(now time.Time, c *Core)) {
	s.mu.Lock()
	now := time.Now()
	event(now, &s.Core)
	s.notifyWaiters(s.Core.TakeOutput())
	var duePeers []string
	for _, send := range s.Core.PendingSends() {
		if !now.Before(send.SendBy) {
			duePeers = append(duePeers, send.Peer)
		}
	}
	s.mu.Unlock()
	if s.WakePeer == nil {
		return
	}
	for _, p := range duePeers {
		s.WakePeer(p)
	}
}

func (s *Scheduler) notifyWaiters(out Output) {
	for i := range out.Starts {
		s.notifyWaiter(out.Starts[i].Request, decision{start: &out.Starts[i]})
	}
	for i := range out.Refusals {
		s.notifyWaiter(out.Refusals[i].Request, decision{refusal: &out.Refusals[i]})
	}
}

func (s *Scheduler) notifyWaiter(request uint64, d decision) {
	ch := s.waiters[request]
	delete(s.waiters, request)
	if ch != nil {
		ch <- d
	}
}

// Acquire waits for a slot. It fails with KindRefused if the request is shed or cannot meet its
// deadline, and with KindCanceled if the context ends.
func (s *Scheduler) Acquire(ctx context.Context, r Request) (Slot, error) {
	ch := make(chan decision, 1)
	var id uint64
	s.update(func(now time.Time, c *Core) {
		if s.waiters == nil {
			s.waiters = map[uint64]chan decision{}
		}
		s.nextID++
		id = s.nextID
		s.waiters[id] = ch
		c.Submit(now, &queuer.Item{
			ID: id, Key: r.Key, Urgency: r.Urgency, Arrived: r.Arrived,
			Deadline: r.Deadline, Cost: r.Cost, Bytes: r.Bytes,
		})
	})
	select {
	case d := <-ch:
		return d.result()
	case <-ctx.Done():
	}
	canceled := false
	s.update(func(now time.Time, c *Core) {
		canceled = c.Cancel(now, r.Key, id)
		if canceled {
			delete(s.waiters, id)
		}
	})
	if !canceled {
		// The decision was made before the cancellation and is already in the channel.
		if slot, err := (<-ch).result(); err == nil {
			s.Release(slot, encoder.Release{})
		}
	}
	return Slot{}, failer.Wrap("acquire", KindCanceled, ctx.Err())
}

func (d decision) result() (Slot, error) {
	if d.refusal != nil {
		return Slot{}, failer.Wrap("acquire", KindRefused, &RefusedError{Refusal: *d.refusal})
	}
	return Slot{ID: d.start.Slot, Server: d.start.Server}, nil
}

// Release releases a slot and reports the cost of its request; see Core.ReleaseSlot.
func (s *Scheduler) Release(slot Slot, r encoder.Release) {
	s.update(func(now time.Time, c *Core) { c.ReleaseSlot(now, slot.ID, r) })
}

// ReportPause tells the owner of a slot's server that the server wants no requests for a duration.
func (s *Scheduler) ReportPause(slot Slot, d time.Duration) {
	s.update(func(now time.Time, c *Core) { c.ReportPause(now, slot.ID.Server, d) })
}

// ReportLimit tells the owner of a slot's server about its limit; see Core.ReportLimit.
func (s *Scheduler) ReportLimit(slot Slot, perSecond float64, named bool) {
	s.update(func(now time.Time, c *Core) { c.ReportLimit(now, slot.ID.Server, perSecond, named) })
}

// SetView installs a new view of the fleet.
func (s *Scheduler) SetView(v View) {
	s.update(func(now time.Time, c *Core) { c.SetView(now, v) })
}

// HandleMessage processes a message from a peer and returns the reply.
func (s *Scheduler) HandleMessage(from accountant.Source, m *encoder.Message) encoder.Message {
	var reply encoder.Message
	s.update(func(now time.Time, c *Core) { reply = c.HandleMessage(now, from, m) })
	return reply
}

// HandleReply processes the reply to a message of this router.
func (s *Scheduler) HandleReply(from accountant.Source, m *encoder.Message) {
	s.update(func(now time.Time, c *Core) { c.HandleReply(now, from, m) })
}

// TakeMessage returns and clears the peer's outbox.
func (s *Scheduler) TakeMessage(peer string) encoder.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Core.TakeMessage(time.Now(), peer)
}

// SendFailed handles a message that may not have arrived.
func (s *Scheduler) SendFailed(peer string, m *encoder.Message) {
	s.update(func(now time.Time, c *Core) { c.SendFailed(now, peer, m) })
}

// PeerUp handles a new connection to a peer.
func (s *Scheduler) PeerUp(peer string) {
	s.update(func(now time.Time, c *Core) { c.PeerUp(now, peer) })
}

// PeerDown handles the loss of a peer.
func (s *Scheduler) PeerDown(peer string) {
	s.update(func(now time.Time, c *Core) { c.PeerDown(now, peer) })
}

// RemovePeer deletes the state of a peer that has permanently left the fleet.
func (s *Scheduler) RemovePeer(peer string) {
	s.update(func(now time.Time, c *Core) { c.RemovePeer(now, peer) })
}

// Dump returns the state for operators.
func (s *Scheduler) Dump() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Core.Dump(time.Now())
}

// Load returns the number of waiting requests, their size in bytes and the number of held slots.
func (s *Scheduler) Load() (requests, bytes, held int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests, bytes = s.Core.QueueLen()
	return requests, bytes, s.Core.HeldSlots()
}
