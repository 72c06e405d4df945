package scheduler

import (
	"math"
	"time"

	"papayapaddle/internal/encoder"
)

// releaseToOwner returns a slot to the owner of its server. While the owner reports idle slots, no
// request waits for this one, so that the release can be batched.
func (c *Core) releaseToOwner(now time.Time, owner string, pool uint32, r encoder.Release) {
	if owner == c.Name {
		c.granter.Release(now, c.Name, r)
		return
	}
	p := c.peer(owner)
	p.outbox.Releases = append(p.outbox.Releases, r)
	sendBy := now
	if p.idleSlots[pool] > 0 {
		sendBy = now.Add(MaxBatchDelay)
	}
	c.requestSend(p, sendBy)
}

// ReleaseSlot releases a slot and reports the cost of its request. A cost of 0 means that the
// server did not run the request.
func (c *Core) ReleaseSlot(now time.Time, id SlotID, r encoder.Release) {
	if c.heldSlots[id] == nil {
		return
	}
	delete(c.heldSlots, id)
	r.Ticket = id.Ticket
	if server, ok := c.servers[id.Server]; ok && server.owner != "" {
		c.releaseToOwner(now, server.owner, server.Pool, r)
	}
	c.schedule(now)
}

// ReportLimit tells the owner of a server what an answer says about the server's limit, in requests a second. An
// answer without one is told only if an earlier answer to this router named one.
func (c *Core) ReportLimit(now time.Time, id uint32, perSecond float64, named bool) {
	c.init()
	if !named && !c.limitedServers[id] {
		return
	}
	if named {
		c.limitedServers[id] = true
	} else {
		delete(c.limitedServers, id)
	}
	server := c.servers[id]
	switch server.owner {
	case "":
	case c.Name:
		c.granter.SetLimit(now, id, perSecond, named)
		c.schedule(now)
	default:
		p := c.peer(server.owner)
		p.outbox.ServerLimits = append(p.outbox.ServerLimits, encoder.ServerLimit{
			Server: id, Named: named, PerSecondMilli: uint32(min(perSecond*1000, math.MaxUint32)),
		})
		c.requestSend(p, now)
	}
}

// ReportPause tells the owner of a server that the server wants no requests for a duration.
func (c *Core) ReportPause(now time.Time, id uint32, d time.Duration) {
	c.init()
	switch owner := c.servers[id].owner; owner {
	case "":
	case c.Name:
		c.granter.Pause(now, id, d)
	default:
		p := c.peer(owner)
		p.outbox.ServerPauses = append(p.outbox.ServerPauses, encoder.ServerPause{
			Server: id, Millis: uint32(min(d.Milliseconds(), math.MaxUint32)),
		})
		c.requestSend(p, now)
	}
}
