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

// updateRegistration brings the registrations of a queue up to date.
func (c *Core) updateRegistration(now time.Time, k Key) {
	h := c.queues.Head(now, k)
	c.registerLocally(k, h)
	if h.Count == 0 {
		c.queueWithdrawal(now, k)
		return
	}
	r := encoder.Register{
		Pool: k.Pool, Workspace: k.Workspace, Count: permittedOffers(h.Count), Urgency: h.Urgency,
		WaitedMillis: uint32(max(0, now.Sub(h.Arrived)) / time.Millisecond), Cost: uint32(h.Cost),
	}
	selected, saturated := 0, 0
	for _, name := range c.rankOwners(k) {
		if name == c.Name {
			// An own slot costs no message; a free one is granted at once.
			selected += min(h.Count, c.granter.FreeSlots(now, k.Pool))
			continue
		}
		p := c.peer(name)
		sent, known := p.registered[k]
		if !known && selected >= c.ownerLimit(now, h, saturated) {
			continue
		}
		selected++
		if known && p.idleSlots[k.Pool] == 0 {
			saturated++
		}
		if !known || sent.Count < min(renewalThreshold, r.Count) || sent.Urgency < r.Urgency {
			sendBy := now
			if known {
				// The owner has offers left to make until then.
				sendBy = now.Add(MaxBatchDelay)
			}
			c.queueRegistration(p, k, r, sendBy)
		}
	}
}

// permittedOffers is how many offers an owner may make before the registration is
// renewed. For a longer queue it is more than what waits: the queue mostly
// grows again meanwhile, and an offer too many comes back at once.
func permittedOffers(count int) uint32 {
	if count < longQueueLength {
		return uint32(count)
	}
	return uint32(count * longQueueOfferFactor)
}

// ownerLimit grows with the time that the head has waited, and sooner with
// the owners that were asked and have no idle slot, up to a bound: each
// registration costs control traffic.
func (c *Core) ownerLimit(now time.Time, h queuer.Head, saturated int) int {
	limit := 1 + int(now.Sub(h.Arrived)/EscalationInterval) + min(saturated, maxExtraOwners)
	return min(limit, maxRegisteredOwners)
}

func (c *Core) registerLocally(k Key, h queuer.Head) {
	if !slices.Contains(c.ownersByPool[k.Pool], c.Name) {
		return
	}
	c.granter.Register(c.Name, k, granter.Registration{
		Count: h.Count, Urgency: h.Urgency, Arrived: h.Arrived, Cost: h.Cost,
	})
}

func (c *Core) queueRegistration(p *peer, k Key, r encoder.Register, sendBy time.Time) {
	p.registered[k] = r
	p.outbox.Registers = upsertRegistration(p.outbox.Registers, r)
	c.requestSend(p, sendBy)
}

// upsertRegistration replaces an unsent registration of the same queue.
func upsertRegistration(registers []encoder.Register, r encoder.Register) []encoder.Register {
	for i := range registers {
		if registers[i].Pool == r.Pool && registers[i].Workspace == r.Workspace {
			registers[i] = r
			return registers
		}
	}
	return append(registers, r)
}

// queueWithdrawal tells owners that nothing waits any more. It can wait for company:
// until then an owner may offer a slot in vain, which comes back at once.
func (c *Core) queueWithdrawal(now time.Time, k Key) {
	for _, p := range c.peers {
		if _, known := p.registered[k]; !known {
			continue
		}
		delete(p.registered, k)
		p.outbox.Registers = upsertRegistration(p.outbox.Registers, encoder.Register{Pool: k.Pool, Workspace: k.Workspace})
		c.requestSend(p, now.Add(MaxBatchDelay))
	}
}

// rankOwners orders the pool's owners for a queue: this router if it has room,
// then those that told of idle slots, the same zone first, then by hash.
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
