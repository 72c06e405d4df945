package scheduler

import (
	"fmt"
	"slices"
	"time"

	"papayapaddle/internal/accountant"
	"papayapaddle/internal/encoder"
	"papayapaddle/internal/granter"
	"papayapaddle/internal/placer"
)

// HandleMessage processes a message from a peer and returns the reply, which carries the peer's
// outbox.
func (c *Core) HandleMessage(now time.Time, from accountant.Source, m *encoder.Message) encoder.Message {
	c.HandleReply(now, from, m)
	return c.TakeMessage(now, from.Router)
}

// HandleReply processes a message that needs no reply, such as the reply to this router's message.
func (c *Core) HandleReply(now time.Time, from accountant.Source, m *encoder.Message) {
	c.init()
	p := c.peer(from.Router)
	if m.WantFullStateRequest {
		p.outbox.WantFullState = true
		c.requestSend(p, now)
	}
	if m.WantFullState {
		c.queueFullState(now, from.Router, p)
	}
	c.handleOwnerItems(now, from.Router, m)
	for _, pr := range m.Reports {
		for _, r := range pr.Reports {
			p.outbox.Accounts = appendAccount(p.outbox.Accounts, pr.Pool, c.home.ApplyReport(now, from, pr.Pool, r))
			c.requestSend(p, now.Add(ReportInterval))
		}
	}
	for _, pa := range m.Accounts {
		for _, a := range pa.Accounts {
			c.ledger.ApplyReply(from.Router, pa.Pool, a)
		}
	}
	for _, i := range m.IdleSlots {
		p.idleSlots[i.Pool] = int(i.Free)
	}
	for _, o := range m.Offers {
		c.acceptOffer(now, from.Router, o)
	}
	c.updateRegistrationsAt(now, p)
	c.schedule(now)
}

// updateRegistrationsAt updates the queues that are still registered at the peer after it had
// the chance to offer slots, so that they can register with further owners.
func (c *Core) updateRegistrationsAt(now time.Time, p *peer) {
	for _, k := range c.queues.Keys() {
		if _, registered := p.registered[k]; registered {
			c.updateRegistration(now, k)
		}
	}
}

// handleOwnerItems processes the parts of a message that concern servers owned by this router.
func (c *Core) handleOwnerItems(now time.Time, router string, m *encoder.Message) {
	if m.FullState {
		c.granter.SyncRouter(now, router, m.HeldSlots)
	} else {
		for _, h := range m.HeldSlots {
			c.granter.AddHeldSlot(now, router, c.servers[h.Server].Pool, h)
		}
	}
	for _, r := range m.Releases {
		c.granter.Release(now, router, r)
	}
	for _, l := range m.ServerLimits {
		c.granter.SetLimit(now, l.Server, float64(l.PerSecondMilli)/1000, l.Named)
	}
	for _, p := range m.ServerPauses {
		c.granter.Pause(now, p.Server, time.Duration(p.Millis)*time.Millisecond)
	}
	for _, r := range m.Registrations {
		c.granter.Register(router, Key{Pool: r.Pool, Workspace: r.Workspace}, granter.Registration{
			Count:   int(r.Count),
			Urgency: r.Urgency,
			Arrived: now.Add(-time.Duration(r.WaitedMillis) * time.Millisecond),
			Cost:    float64(r.Cost),
		})
	}
}

// queueFullState puts all slots held on an owner's servers and all registrations at the owner
// into the owner's outbox.
func (c *Core) queueFullState(now time.Time, name string, p *peer) {
	p.outbox.FullState = true
	p.outbox.HeldSlots = nil
	p.outbox.Registrations = nil
	for id, h := range c.heldSlots {
		if c.servers[id.Server].owner == name {
			p.outbox.HeldSlots = append(p.outbox.HeldSlots, encoder.HeldSlot{
				Server: id.Server, Ticket: id.Ticket, Workspace: h.workspace, Charge: h.charge,
			})
		}
	}
	clear(p.registered)
	c.requestSend(p, now)
	c.updateRegistrations(now)
}

// TakeMessage returns and clears the peer's outbox.
func (c *Core) TakeMessage(now time.Time, name string) encoder.Message {
	p := c.peer(name)
	c.appendIdleSlots(now, p)
	m := p.outbox
	p.outbox = encoder.Message{}
	p.sendBy = time.Time{}
	p.lastSent = now
	return m
}

// appendIdleSlots adds the numbers of idle slots of this router's pools to the peer's outbox, for
// the pools where idle slots appeared or ran out since the last report.
func (c *Core) appendIdleSlots(now time.Time, p *peer) {
	for pool, owners := range c.ownersByPool {
		if !slices.Contains(owners, c.Name) {
			continue
		}
		free := uint32(c.granter.FreeSlots(now, pool))
		if sent, known := p.sentIdle[pool]; known && (sent > 0) == (free > 0) {
			continue
		}
		p.sentIdle[pool] = free
		p.outbox.IdleSlots = append(p.outbox.IdleSlots, encoder.IdleSlots{Pool: pool, Free: free})
	}
}

// SendFailed handles a message that may not have arrived. Idempotent items are sent again. Offers
// are not, because the requested full state shows whether they arrived.
func (c *Core) SendFailed(now time.Time, name string, m *encoder.Message) {
	p := c.peer(name)
	p.outbox.Releases = append(slices.Clone(m.Releases), p.outbox.Releases...)
	p.outbox.HeldSlots = append(slices.Clone(m.HeldSlots), p.outbox.HeldSlots...)
	p.outbox.Stopping = p.outbox.Stopping || m.Stopping
	p.outbox.WantFullState = true
	p.outbox.WantFullStateRequest = true
	clear(p.registered)
	clear(p.sentIdle)
	c.requestSend(p, now)
}

// PeerUp handles a new connection to a peer: it requests the peer's full state and registers the
// waiting queues there again.
func (c *Core) PeerUp(now time.Time, name string) {
	c.init()
	p := c.peer(name)
	p.down = false
	p.outbox.WantFullState = true
	clear(p.registered)
	clear(p.sentIdle)
	c.requestSend(p, now)
	c.updateRegistrations(now)
}

// PeerDown handles the loss of a peer and frees the slots that it held.
func (c *Core) PeerDown(now time.Time, name string) {
	c.init()
	p := c.peer(name)
	p.down = true
	p.outbox = encoder.Message{}
	p.sendBy = time.Time{}
	clear(p.registered)
	clear(p.idleSlots)
	c.granter.RouterDown(now, name)
	c.schedule(now)
}

// RemovePeer deletes the state of a peer that has permanently left the fleet.
func (c *Core) RemovePeer(now time.Time, name string) {
	c.PeerDown(now, name)
	delete(c.peers, name)
}

// Tick performs the periodic work. It must be called about every 50 ms.
func (c *Core) Tick(now time.Time) {
	c.init()
	for _, it := range c.queues.Expire(now) {
		c.refuse(it, ReasonExpired, 0)
		c.updateRegistration(now, it.Key)
	}
	for _, k := range c.queues.Keys() {
		c.updateRegistration(now, k)
	}
	if !now.Before(c.nextReport) {
		c.nextReport = now.Add(ReportInterval)
		c.queueReports(now)
		c.queueHeartbeats(now)
		c.home.Expire(now)
		c.ledger.Expire(now)
	}
	c.granter.AccrueCharges(now)
	c.schedule(now)
}

// queueReports reports the charges of this router to the homes of the accounts.
func (c *Core) queueReports(now time.Time) {
	due := map[Key]bool{}
	for _, k := range c.ledger.ReportsDue(now) {
		due[Key(k)] = true
	}
	for _, k := range c.granter.WaitingAccounts() {
		if c.ledger.Stale(now, accountant.Key(k)) {
			due[k] = true
		}
	}
	for k := range due {
		home := placer.Owner(c.view.Routers, fmt.Sprintf("account/%d/%d", k.Pool, k.Workspace), "")
		if home == "" {
			home = c.Name
		}
		r := c.ledger.MakeReport(now, accountant.Key(k), home, c.granter.Floor(k), c.granter.Backlogged(k))
		if home == c.Name {
			self := accountant.Source{Router: c.Name, Incarnation: c.Incarnation}
			c.ledger.ApplyReply(home, k.Pool, c.home.ApplyReport(now, self, k.Pool, r))
			continue
		}
		p := c.peer(home)
		p.outbox.Reports = upsertReport(p.outbox.Reports, k.Pool, r)
		c.requestSend(p, now.Add(ReportInterval))
	}
}

// upsertReport adds a report, or replaces the unsent report of the same account.
func upsertReport(groups []encoder.PoolReports, pool uint32, r encoder.Report) []encoder.PoolReports {
	i := slices.IndexFunc(groups, func(g encoder.PoolReports) bool { return g.Pool == pool })
	if i < 0 {
		return append(groups, encoder.PoolReports{Pool: pool, Reports: []encoder.Report{r}})
	}
	reports := groups[i].Reports
	for j := range reports {
		if reports[j].Workspace == r.Workspace {
			reports[j] = r
			return groups
		}
	}
	groups[i].Reports = append(reports, r)
	return groups
}

func appendAccount(groups []encoder.PoolAccounts, pool uint32, a encoder.Account) []encoder.PoolAccounts {
	i := slices.IndexFunc(groups, func(g encoder.PoolAccounts) bool { return g.Pool == pool })
	if i < 0 {
		return append(groups, encoder.PoolAccounts{Pool: pool, Accounts: []encoder.Account{a}})
	}
	groups[i].Accounts = append(groups[i].Accounts, a)
	return groups
}

// queueHeartbeats requests a message to each peer that shares work with this router, and to the
// heartbeatPeers first ranked ones, if it was sent none for HeartbeatInterval.
func (c *Core) queueHeartbeats(now time.Time) {
	for i, name := range c.rankPeers() {
		p := c.peer(name)
		shares := len(p.registered) > 0 || c.sharesSlots(name)
		if i >= heartbeatPeers && !shares {
			continue
		}
		if now.Sub(p.lastSent) >= HeartbeatInterval {
			c.requestSend(p, now)
		}
	}
}

// sharesSlots reports whether either router holds a slot of a server that the other one owns.
func (c *Core) sharesSlots(name string) bool {
	for id := range c.heldSlots {
		if c.servers[id.Server].owner == name {
			return true
		}
	}
	return c.granter.HoldsSlots(name)
}

// rankPeers ranks the other routers by a hash that includes this router's name.
func (c *Core) rankPeers() []string {
	ranked := placer.Rank(c.view.Routers, "neighbour/"+c.Name, "")
	return slices.DeleteFunc(ranked, func(n string) bool { return n == c.Name })
}

// PendingSend names a peer whose outbox must be sent by the given time.
type PendingSend struct {
	Peer   string
	SendBy time.Time
}

// PendingSends returns the reachable peers whose outbox must be sent.
func (c *Core) PendingSends() []PendingSend {
	var sends []PendingSend
	for name, p := range c.peers {
		if !p.sendBy.IsZero() && !p.down {
			sends = append(sends, PendingSend{Peer: name, SendBy: p.sendBy})
		}
	}
	return sends
}

// State is the state of a router's scheduler, for operators.
type State struct {
	Waiting      int                   `json:"waiting"`
	WaitingBytes int                   `json:"waiting-bytes"`
	Queues       []QueueState          `json:"queues"`
	HeldSlots    int                   `json:"held-slots"`
	OwnedServers []granter.ServerState `json:"owned-backend-servers"`
	HomeAccounts int                   `json:"home-accounts"`
	Accounts     []AccountState        `json:"accounts"`
	Peers        []PeerState           `json:"peers"`
}

// QueueState is the state of one queue.
type QueueState struct {
	Pool        uint32    `json:"pool"`
	Workspace   uint32    `json:"workspace"`
	Count       int       `json:"count"`
	HeadArrived time.Time `json:"head-since"`
}

// AccountState is the state of one account.
type AccountState struct {
	Pool            uint32  `json:"pool"`
	Workspace       uint32  `json:"workspace"`
	WeightedService float64 `json:"weighted-service"`
}

// PeerState is the state of one peer.
type PeerState struct {
	Name             string `json:"name"`
	Down             bool   `json:"down"`
	RegisteredQueues int    `json:"registered"`
}

// Dump returns the state for operators.
func (c *Core) Dump(now time.Time) State {
	s := State{HeldSlots: len(c.heldSlots), OwnedServers: c.granter.Dump(), HomeAccounts: c.home.Len()}
	s.Waiting, s.WaitingBytes = c.queues.Len()
	for _, k := range c.queues.Keys() {
		h := c.queues.Head(now, k)
		s.Queues = append(s.Queues, QueueState{Pool: k.Pool, Workspace: k.Workspace, Count: h.Count, HeadArrived: h.Arrived})
	}
	for _, k := range c.ledger.Keys() {
		s.Accounts = append(s.Accounts, AccountState{Pool: k.Pool, Workspace: k.Workspace, WeightedService: c.ledger.WeightedService(k)})
	}
	for name, p := range c.peers {
		s.Peers = append(s.Peers, PeerState{Name: name, Down: p.down, RegisteredQueues: len(p.registered)})
	}
	return s
}
