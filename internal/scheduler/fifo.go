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

// FIFO is the baseline that measurements compare with: each router alone, its
// static part of the slots, first come first served, servers in turn. It is no
// choice for operators.
type FIFO struct {
	Limits queuer.Limits

	mu           sync.Mutex
	servers      map[uint32][]Server
	slots        map[uint32]int
	slotsInUse   map[uint32]int
	nextServer   map[uint32]int
	waiting      map[uint32][]*fifoWaiter
	waitingCount int
	poolBySlot   map[SlotID]uint32
	lastTicket   uint32
}

type fifoWaiter struct {
	ch       chan decision
	deadline time.Time
}

// SetView installs the servers and this router's part of their slots.
func (p *FIFO) SetView(v View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	p.servers, p.slots = map[uint32][]Server{}, map[uint32]int{}
	for _, s := range v.Servers {
		if !s.Leaving {
			p.servers[s.Pool] = append(p.servers[s.Pool], s)
			p.slots[s.Pool] += s.Slots
		}
	}
	for pool, n := range p.slots {
		p.slots[pool] = max(1, n/max(1, len(v.Routers)))
		p.startWaiting(pool)
	}
}

// init makes the maps; requests may come before the first view.
func (p *FIFO) init() {
	if p.slotsInUse == nil {
		p.slotsInUse, p.nextServer = map[uint32]int{}, map[uint32]int{}
		p.waiting, p.poolBySlot = map[uint32][]*fifoWaiter{}, map[SlotID]uint32{}
	}
}

// Acquire waits for a slot in the order of arrival.
func (p *FIFO) Acquire(ctx context.Context, r Request) (Slot, error) {
	w := &fifoWaiter{ch: make(chan decision, 1), deadline: r.Deadline}
	p.mu.Lock()
	p.init()
	if p.waitingCount >= p.Limits.Requests {
		p.mu.Unlock()
		return Slot{}, failer.Wrap("acquire", KindRefused, &RefusedError{
			Refusal: Refusal{Reason: ReasonOverloaded, RetryAfter: time.Second},
		})
	}
	p.waitingCount++
	p.waiting[r.Key.Pool] = append(p.waiting[r.Key.Pool], w)
	p.startWaiting(r.Key.Pool)
	p.mu.Unlock()
	select {
	case d := <-w.ch:
		return d.result()
	case <-ctx.Done():
	}
	p.mu.Lock()
	select {
	case d := <-w.ch:
		p.mu.Unlock()
		slot, _ := d.result()
		p.Release(slot, encoder.Release{})
	default:
		w.ch = nil
		p.mu.Unlock()
	}
	return Slot{}, failer.Wrap("acquire", KindCanceled, ctx.Err())
}

// startWaiting hands free slots to the oldest waiters.
func (p *FIFO) startWaiting(pool uint32) {
	for p.slotsInUse[pool] < p.slots[pool] && len(p.waiting[pool]) > 0 {
		w := p.waiting[pool][0]
		p.waiting[pool] = p.waiting[pool][1:]
		p.waitingCount--
		if w.ch == nil {
			continue
		}
		servers := p.servers[pool]
		s := servers[p.nextServer[pool]%len(servers)]
		p.nextServer[pool]++
		p.slotsInUse[pool]++
		p.lastTicket++
		id := SlotID{Server: placer.ID(s.Name), Ticket: p.lastTicket}
		p.poolBySlot[id] = pool
		w.ch <- decision{start: &Start{Slot: id, Server: s.Name}}
	}
}

// Release gives a slot back.
func (p *FIFO) Release(s Slot, _ encoder.Release) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.poolBySlot[s.ID]
	if !ok {
		return
	}
	delete(p.poolBySlot, s.ID)
	p.slotsInUse[pool]--
	p.startWaiting(pool)
}

// Waiting returns the number of waiting requests.
func (p *FIFO) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waitingCount
}
