package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"papayapaddle/internal/encoder"
	"papayapaddle/internal/granter"
	"papayapaddle/internal/placer"
	"papayapaddle/internal/queuer"
)

// updateRegistration registers a queue with further owners, renews its registrations, or withdraws
// them if the queue is empty.
func (c *Core) updateRegistration(now time.Time, k Key) {
	h := c.queues.Head(now, k)
	c.registerLocally(k, h)
	if h.Count == 0 {
		c.queueWithdrawal(now, k)
		return
	}
	r := encoder.Registration{
		Pool: k.Pool, Workspace: k.Workspace, Count: permittedOffers(h.Count), Urgency: h.Urgency,
		WaitedMillis: uint32(max(0, now.Sub(h.Arrived)) / time.Millisecond), Cost: uint32(h.Cost),
	}
	selected, saturated := 0, 0
	for _, name := range c.rankOwners(k) {
		if name == c.Name {
			// This router's own free slots need no message and are granted immediately.
			selected += min(h.Count, c.granter.FreeSlots(now, k.Pool))
			continue
		}
		p := c.peer(name)
		current, known := p.registered[k]
		if !known && selected >= c.ownerLimit(now, h, saturated) {
			continue
		}
		selected++
		if known && p.idleSlots[k.Pool] == 0 {
			saturated++
		}
		if !known || current.Count < min(renewalThreshold, r.Count) || current.Urgency < r.Urgency {
			sendBy := now
			if known {
				// The owner can use its remaining offers until then.
				sendBy = now.Add(MaxBatchDelay)
			}
			c.queueRegistration(p, k, r, sendBy)
		}
	}
}

// permittedOffers returns how many offers an owner may make before the registration is renewed.
// For a long queue, there are more offers than waiting requests: the queue usually grows again in
// the meantime, and a slot that is not needed is released immediately.
func permittedOffers(count int) uint32 {
	if count < longQueueLength {
		return uint32(count)
	}
	return uint32(count * longQueueOfferFactor)
}

// ownerLimit returns the number of owners that a queue may register with. It grows with the
// waiting time of the head request and with the number of registered owners that have no idle
// slot. It is limited because each registration causes control traffic.
func (c *Core) ownerLimit(now time.Time, h queuer.Head, saturated int) int {
	limit := 1 + int(now.Sub(h.Arrived)/EscalationInterval) + min(saturated, maxExtraOwners)
	return min(limit, maxRegisteredOwners)
}

// registerLocally registers a queue for the servers that this router owns itself.
func (c *Core) registerLocally(k Key, h queuer.Head) {
	if !slices.Contains(c.ownersByPool[k.Pool], c.Name) {
		return
	}
	c.granter.Register(c.Name, k, granter.Registration{
		Count: h.Count, Urgency: h.Urgency, Arrived: h.Arrived, Cost: h.Cost,
	})
}

// queueRegistration puts a registration into the peer's outbox.
func (c *Core) queueRegistration(p *peer, k Key, r encoder.Registration, sendBy time.Time) {
	p.registered[k] = r
	p.outbox.Registrations = upsertRegistration(p.outbox.Registrations, r)
	c.requestSend(p, sendBy)
}

// upsertRegistration adds a registration, or replaces the unsent registration of the same queue.
func upsertRegistration(registrations []encoder.Registration, r encoder.Registration) []encoder.Registration {
	for i := range registrations {
		if registrations[i].Pool == r.Pool && registrations[i].Workspace == r.Workspace {
			registrations[i] = r
			return registrations
		}
	}
	return append(registrations, r)
}

// queueWithdrawal withdraws the registrations of an empty queue. The messages can be batched,
// because a slot that an owner offers until then is released immediately.
func (c *Core) queueWithdrawal(now time.Time, k Key) {
	for _, p := range c.peers {
		if _, known := p.registered[k]; !known {
			continue
		}
		delete(p.registered, k)
		p.outbox.Registrations = upsertRegistration(p.outbox.Registrations, encoder.Registration{Pool: k.Pool, Workspace: k.Workspace})
		c.requestSend(p, now.Add(MaxBatchDelay))
	}
}

// rankOwners sorts the pool's owners by preference for a queue: this router, then reachable owners
// that reported idle slots, then other reachable ones, and last unreachable ones. Owners in this
// router's availability zone come first within each group. Ties are broken by hash.
func (c *Core) rankOwners(k Key) []string {
	type candidate struct {
		name string
		rank int
		hash uint32
	}
	var candidates []candidate
	for _, name := range c.ownersByPool[k.Pool] {
		candidates = append(candidates, candidate{name: name, rank: c.ownerRank(k, name), hash: placer.ID(fmt.Sprint(name, k.Workspace))})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.hash, b.hash))
	})
	names := make([]string, len(candidates))
	for i := range candidates {
		names[i] = candidates[i].name
	}
	return names
}

// ownerRank returns the preference for an owner; lower values are better.
func (c *Core) ownerRank(k Key, name string) int {
	if name == c.Name {
		return 0
	}
	p := c.peer(name)
	rank := 1
	if p.idleSlots[k.Pool] == 0 {
		rank += 2
	}
	if c.zoneByRouter[name] != c.AvailabilityZone {
		rank++
	}
	if p.down {
		rank += 4
	}
	return rank
}
