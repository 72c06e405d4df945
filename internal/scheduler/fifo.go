package scheduler

import (
	"context"
	"sync"
	"time"

	"papayapaddle/internal/encoder"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/placer"
	"papayapaddle/internal/queuer"
)

// FIFO is a simple scheduler that serves as the baseline of measurements. Each router uses a fixed
// share of the slots without coordination, starts requests in order of arrival, and selects servers
// round-robin. It is not available to operators.
type FIFO struct {
	Limits queuer.Limits

	mu           sync.Mutex
	servers      map[uint32][]Server
	slots        map[uint32]int // this router's share of the slots, by pool
	slotsInUse   map[uint32]int
	nextServer   map[uint32]int
	waiting      map[uint32][]*fifoWaiter
	waitingCount int
	poolBySlot   map[SlotID]uint32
	lastTicket   uint32
}

type fifoWaiter struct {
	// ch receives the decision. It is nil once the request was canceled.
	ch       chan decision
	deadline time.Time
}

// SetView installs the servers and this router's share of their slots.
func (f *FIFO) SetView(v View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.servers, f.slots = map[uint32][]Server{}, map[uint32]int{}
	for _, s := range v.Servers {
		if !s.Leaving {
			f.servers[s.Pool] = append(f.servers[s.Pool], s)
			f.slots[s.Pool] += s.Slots
		}
	}
	for pool, n := range f.slots {
		f.slots[pool] = max(1, n/max(1, len(v.Routers)))
		f.startWaiting(pool)
	}
}

// init creates the maps. Requests may arrive before the first view.
func (f *FIFO) init() {
	if f.slotsInUse == nil {
		f.slotsInUse, f.nextServer = map[uint32]int{}, map[uint32]int{}
		f.waiting, f.poolBySlot = map[uint32][]*fifoWaiter{}, map[SlotID]uint32{}
	}
}

// Acquire waits for a slot in order of arrival.
func (f *FIFO) Acquire(ctx context.Context, r Request) (Slot, error) {
	w := &fifoWaiter{ch: make(chan decision, 1), deadline: r.Deadline}
	f.mu.Lock()
	f.init()
	if f.waitingCount >= f.Limits.Requests {
		f.mu.Unlock()
		return Slot{}, failer.Wrap("acquire", KindRefused, &RefusedError{
			Refusal: Refusal{Reason: ReasonOverloaded, RetryAfter: time.Second},
		})
	}
	f.waitingCount++
	f.waiting[r.Key.Pool] = append(f.waiting[r.Key.Pool], w)
	f.startWaiting(r.Key.Pool)
	f.mu.Unlock()
	select {
	case d := <-w.ch:
		return d.result()
	case <-ctx.Done():
	}
	f.mu.Lock()
	select {
	case d := <-w.ch:
		f.mu.Unlock()
		slot, _ := d.result()
		f.Release(slot, encoder.Release{})
	default:
		w.ch = nil
		f.mu.Unlock()
	}
	return Slot{}, failer.Wrap("acquire", KindCanceled, ctx.Err())
}

// startWaiting assigns free slots to the requests that have waited longest.
func (f *FIFO) startWaiting(pool uint32) {
	for f.slotsInUse[pool] < f.slots[pool] && len(f.waiting[pool]) > 0 {
		w := f.waiting[pool][0]
		f.waiting[pool] = f.waiting[pool][1:]
		f.waitingCount--
		if w.ch == nil {
			continue
		}
		servers := f.servers[pool]
		s := servers[f.nextServer[pool]%len(servers)]
		f.nextServer[pool]++
		f.slotsInUse[pool]++
		f.lastTicket++
		id := SlotID{Server: placer.ID(s.Name), Ticket: f.lastTicket}
		f.poolBySlot[id] = pool
		w.ch <- decision{start: &Start{Slot: id, Server: s.Name}}
	}
}

// Release releases a slot.
func (f *FIFO) Release(s Slot, _ encoder.Release) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pool, ok := f.poolBySlot[s.ID]
	if !ok {
		return
	}
	delete(f.poolBySlot, s.ID)
	f.slotsInUse[pool]--
	f.startWaiting(pool)
}

// Waiting returns the number of waiting requests.
func (f *FIFO) Waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waitingCount
}
