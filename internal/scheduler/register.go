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

// register brings the registrations of a queue up to date.
func (c *Core) register(now time.Time, k Key) {
	h := c.queue.Head(now, k)
	c.registerSelf(k, h)
	if h.Count == 0 {
		c.withdraw(now, k)
		return
	}
	r := encoder.Registration{
		Pool: k.Pool, Workspace: k.Workspace, Count: offers(h.Count), Urgency: h.Urgency,
		WaitedMillis: uint32(max(0, now.Sub(h.Arrived)) / time.Millisecond), Cost: uint32(h.Cost),
	}
	n, full := 0, 0
	for _, name := range c.targets(k) {
		if name == c.Name {
			// An own slot costs no message; a free one is granted at once.
			n += min(h.Count, c.owner.Free(now, k.Pool))
			continue
		}
		p := c.peer(name)
		told, known := p.told[k]
		if !known && n >= c.wantedTargets(now, h, full) {
			continue
		}
		n++
		if known && p.idle[k.Pool] == 0 {
			full++
		}
		if !known || told.Count < min(refreshBelow, r.Count) || told.Urgency < r.Urgency {
			by := now
			if known {
				// The owner has offers left to make until then.
				by = now.Add(LazyFlush)
			}
			c.tell(p, k, r, by)
		}
	}
}

// offers is how many offers an owner may make before the registration is
// renewed. For a longer queue it is more than what waits: the queue mostly
// grows again meanwhile, and an offer too many comes back at once.
func offers(count int) uint32 {
	if count < longQueue {
		return uint32(count)
	}
	return uint32(count * longFactor)
}

// wantedTargets grows with the time that the head has waited, and sooner with
// the owners that were asked and have no idle slot, up to a bound: each
// registration costs control traffic.
func (c *Core) wantedTargets(now time.Time, h queuer.Head, full int) int {
	n := 1 + int(now.Sub(h.Arrived)/EscalateEvery) + min(full, maxExtra)
	return min(n, maxTargets)
}

func (c *Core) registerSelf(k Key, h queuer.Head) {
	if !slices.Contains(c.owners[k.Pool], c.Name) {
		return
	}
	c.owner.Register(c.Name, k, granter.Registration{
		Count: h.Count, Urgency: h.Urgency, Since: h.Arrived, Cost: h.Cost,
	})
}

func (c *Core) tell(p *peer, k Key, r encoder.Registration, by time.Time) {
	p.told[k] = r
	p.out.Registrations = putRegister(p.out.Registrations, r)
	c.flush(p, by)
}

// putRegister replaces an unsent registration of the same queue.
func putRegister(rs []encoder.Registration, r encoder.Registration) []encoder.Registration {
	for i := range rs {
		if rs[i].Pool == r.Pool && rs[i].Workspace == r.Workspace {
			rs[i] = r
			return rs
		}
	}
	return append(rs, r)
}

// withdraw tells owners that nothing waits any more. It can wait for company:
// until then an owner may offer a slot in vain, which comes back at once.
func (c *Core) withdraw(now time.Time, k Key) {
	for _, p := range c.peers {
		if _, known := p.told[k]; !known {
			continue
		}
		delete(p.told, k)
		p.out.Registrations = putRegister(p.out.Registrations, encoder.Registration{Pool: k.Pool, Workspace: k.Workspace})
		c.flush(p, now.Add(LazyFlush))
	}
}

// targets orders the pool's owners for a queue: this router if it has room,
// then those that told of idle slots, the same zone first, then by hash.
func (c *Core) targets(k Key) []string {
	type candidate struct {
		name string
		rank int
		hash uint32
	}
	var cs []candidate
	for _, name := range c.owners[k.Pool] {
		cs = append(cs, candidate{name: name, rank: c.targetRank(k, name), hash: placer.ID(fmt.Sprint(name, k.Workspace))})
	}
	slices.SortFunc(cs, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.hash, b.hash))
	})
	names := make([]string, len(cs))
	for i := range cs {
		names[i] = cs[i].name
	}
	return names
}

func (c *Core) targetRank(k Key, name string) int {
	if name == c.Name {
		return 0
	}
	p := c.peer(name)
	rank := 1
	if p.idle[k.Pool] == 0 {
		rank += 2
	}
	if c.zones[name] != c.AvailabilityZone {
		rank++
	}
	if p.down {
		rank += 4
	}
	return rank
}
