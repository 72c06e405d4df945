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

// Receive takes a peer's message in and returns the reply, which carries what
// there is to say to that peer now.
func (c *Core) Receive(now time.Time, from accountant.Source, m *encoder.Message) encoder.Message {
	c.Absorb(now, from, m)
	return c.Drain(now, from.Router)
}

// Absorb takes a message in without a reply, as for the reply to an own one.
func (c *Core) Absorb(now time.Time, from accountant.Source, m *encoder.Message) {
	c.init()
	p := c.peer(from.Router)
	if m.AskMe {
		p.out.WantSync = true
		c.flush(p, now)
	}
	if m.WantSync {
		c.sync(now, from.Router, p)
	}
	c.absorbAsOwner(now, from.Router, m)
	for _, pr := range m.Reports {
		for _, r := range pr.Reports {
			p.out.Accounts = addAccount(p.out.Accounts, pr.Pool, c.home.ApplyReport(now, from, pr.Pool, r))
			c.flush(p, now.Add(ReportEvery))
		}
	}
	for _, pa := range m.Accounts {
		for _, a := range pa.Accounts {
			c.ledger.ApplyReply(from.Router, pa.Pool, a)
		}
	}
	for _, i := range m.Idle {
		p.idle[i.Pool] = int(i.Free)
	}
	for _, o := range m.Offers {
		c.take(now, from.Router, o)
	}
	c.askOthers(now, p)
	c.schedule(now)
}

// askOthers registers queues that the peer was told of and gave no slot with
// another owner, if they want one.
func (c *Core) askOthers(now time.Time, p *peer) {
	for _, k := range c.queue.Keys() {
		if _, told := p.told[k]; told {
			c.register(now, k)
		}
	}
}

func (c *Core) absorbAsOwner(now time.Time, router string, m *encoder.Message) {
	if m.Sync {
		c.owner.Sync(now, router, m.Held)
	} else {
		for _, h := range m.Held {
			c.owner.Hold(now, router, c.places[h.Server].Pool, h)
		}
	}
	for _, r := range m.Releases {
		c.owner.Release(now, router, r)
	}
	for _, r := range m.Registers {
		c.owner.Register(router, Key{Pool: r.Pool, Workspace: r.Workspace}, granter.Registration{
			Count:   int(r.Count),
			Urgency: r.Urgency,
			Since:   now.Add(-time.Duration(r.WaitedMillis) * time.Millisecond),
			Cost:    float64(r.Cost),
		})
	}
}

// sync says all that this router holds from, and has waiting at, an owner.
func (c *Core) sync(now time.Time, name string, p *peer) {
	p.out.Sync = true
	p.out.Held = nil
	p.out.Registers = nil
	for id, h := range c.holds {
		if c.places[id.Server].owner == name {
			p.out.Held = append(p.out.Held, encoder.Held{
				Server: id.Server, Ticket: id.Ticket, Workspace: h.workspace, Charge: h.charge,
			})
		}
	}
	clear(p.told)
	c.flush(p, now)
	c.retarget(now)
}

// Drain returns what there is to say to a peer and notes it as said.
func (c *Core) Drain(now time.Time, name string) encoder.Message {
	p := c.peer(name)
	c.addIdle(now, p)
	m := p.out
	p.out = encoder.Message{}
	p.flushAt = time.Time{}
	p.sentAt = now
	return m
}

// addIdle tells of free slots that nobody here waits for, where that changed.
func (c *Core) addIdle(now time.Time, p *peer) {
	for pool, owners := range c.owners {
		if !slices.Contains(owners, c.Name) {
			continue
		}
		free := uint32(c.owner.Free(now, pool))
		if told, known := p.toldIdle[pool]; known && (told > 0) == (free > 0) {
			continue
		}
		p.toldIdle[pool] = free
		p.out.Idle = append(p.out.Idle, encoder.Idle{Pool: pool, Free: free})
	}
}

// SendFailed takes back a message that may not have arrived. What is idempotent
// is said again; offers are not, since a sync finds out whether they arrived.
func (c *Core) SendFailed(now time.Time, name string, m *encoder.Message) {
	p := c.peer(name)
	p.out.Releases = append(slices.Clone(m.Releases), p.out.Releases...)
	p.out.Held = append(slices.Clone(m.Held), p.out.Held...)
	p.out.Stopping = p.out.Stopping || m.Stopping
	p.out.WantSync = true
	p.out.AskMe = true
	clear(p.told)
	clear(p.toldIdle)
	c.flush(p, now)
}

// PeerUp notes a new connection to a peer.
func (c *Core) PeerUp(now time.Time, name string) {
	c.init()
	p := c.peer(name)
	p.down = false
	p.out.WantSync = true
	clear(p.told)
	clear(p.toldIdle)
	c.flush(p, now)
	c.retarget(now)
}

// PeerDown notes that a peer cannot be reached. What it held is free again.
func (c *Core) PeerDown(now time.Time, name string) {
	c.init()
	p := c.peer(name)
	p.down = true
	p.out = encoder.Message{}
	p.flushAt = time.Time{}
	clear(p.told)
	clear(p.idle)
	c.owner.Gone(now, name)
	c.schedule(now)
}

// Forget drops what is kept of a peer that has left the fleet for good.
func (c *Core) Forget(now time.Time, name string) {
	c.PeerDown(now, name)
	delete(c.peers, name)
}

// Tick does what is due by time alone and must be called about every 50 ms.
func (c *Core) Tick(now time.Time) {
	c.init()
	for _, it := range c.queue.Expire(now) {
		c.refuse(it, ReasonExpired, 0)
		c.register(now, it.Key)
	}
	for _, k := range c.queue.Keys() {
		c.register(now, k)
	}
	if !now.Before(c.reportAt) {
		c.reportAt = now.Add(ReportEvery)
		c.report(now)
		c.heartbeat(now)
		c.home.Expire(now)
		c.ledger.Expire(now)
	}
	c.owner.Accrue(now)
	c.schedule(now)
}

// report tells the accounts' homes what was charged here.
func (c *Core) report(now time.Time) {
	due := map[Key]bool{}
	for _, k := range c.ledger.ReportsDue(now) {
		due[Key(k)] = true
	}
	for _, k := range c.owner.Registered() {
		if c.ledger.Stale(now, accountant.Key(k)) {
			due[k] = true
		}
	}
	for k := range due {
		home := placer.Owner(c.view.Routers, fmt.Sprintf("account/%d/%d", k.Pool, k.Workspace), "")
		if home == "" {
			home = c.Name
		}
		r := c.ledger.MakeReport(now, accountant.Key(k), home, c.owner.Floor(k), c.owner.Backlogged(k))
		if home == c.Name {
			own := accountant.Source{Router: c.Name, Incarnation: c.Incarnation}
			c.ledger.ApplyReply(home, k.Pool, c.home.ApplyReport(now, own, k.Pool, r))
			continue
		}
		p := c.peer(home)
		p.out.Reports = putReport(p.out.Reports, k.Pool, r)
		c.flush(p, now.Add(ReportEvery))
	}
}

// putReport replaces an unsent report of the same account.
func putReport(groups []encoder.PoolReports, pool uint32, r encoder.Report) []encoder.PoolReports {
	i := slices.IndexFunc(groups, func(g encoder.PoolReports) bool { return g.Pool == pool })
	if i < 0 {
		return append(groups, encoder.PoolReports{Pool: pool, Reports: []encoder.Report{r}})
	}
	rs := groups[i].Reports
	for j := range rs {
		if rs[j].Workspace == r.Workspace {
			rs[j] = r
			return groups
		}
	}
	groups[i].Reports = append(rs, r)
	return groups
}

func addAccount(groups []encoder.PoolAccounts, pool uint32, a encoder.Account) []encoder.PoolAccounts {
	i := slices.IndexFunc(groups, func(g encoder.PoolAccounts) bool { return g.Pool == pool })
	if i < 0 {
		return append(groups, encoder.PoolAccounts{Pool: pool, Accounts: []encoder.Account{a}})
	}
	groups[i].Accounts = append(groups[i].Accounts, a)
	return groups
}

// heartbeat makes sure that a peer with which this router shares work, and a
// few neighbours, hear from it each period.
func (c *Core) heartbeat(now time.Time) {
	for i, name := range c.nearest() {
		p := c.peer(name)
		shares := len(p.told) > 0 || c.sharesSlots(name)
		if i >= neighbours && !shares {
			continue
		}
		if now.Sub(p.sentAt) >= HeartbeatEvery {
			c.flush(p, now)
		}
	}
}

func (c *Core) sharesSlots(name string) bool {
	for id := range c.holds {
		if c.places[id.Server].owner == name {
			return true
		}
	}
	return c.owner.Holds(name)
}

// nearest ranks the other routers by hash of this router's name.
func (c *Core) nearest() []string {
	ranked := placer.Rank(c.view.Routers, "neighbour/"+c.Name, "")
	return slices.DeleteFunc(ranked, func(n string) bool { return n == c.Name })
}

// Flush is a peer's message that is to be sent by a time.
type Flush struct {
	Peer string
	At   time.Time
}

// Flushes returns the peers that have something to be told, and when.
func (c *Core) Flushes() []Flush {
	var fs []Flush
	for name, p := range c.peers {
		if !p.flushAt.IsZero() && !p.down {
			fs = append(fs, Flush{Peer: name, At: p.flushAt})
		}
	}
	return fs
}

// State is the dump of a router's decisions.
type State struct {
	Waiting      int                   `json:"waiting"`
	WaitingBytes int                   `json:"waiting-bytes"`
	Queues       []QueueState          `json:"queues"`
	HeldSlots    int                   `json:"held-slots"`
	Owned        []granter.ServerState `json:"owned-backend-servers"`
	HomeAccounts int                   `json:"home-accounts"`
	Accounts     []AccountState        `json:"accounts"`
	Peers        []PeerState           `json:"peers"`
}

// QueueState is one queue in a dump.
type QueueState struct {
	Pool      uint32    `json:"pool"`
	Workspace uint32    `json:"workspace"`
	Count     int       `json:"count"`
	HeadSince time.Time `json:"head-since"`
}

// AccountState is one account in a dump.
type AccountState struct {
	Pool      uint32  `json:"pool"`
	Workspace uint32  `json:"workspace"`
	Value     float64 `json:"weighted-service"`
}

// PeerState is one peer in a dump.
type PeerState struct {
	Name       string `json:"name"`
	Down       bool   `json:"down"`
	Registered int    `json:"registered"`
}

// Dump returns the state for operators.
func (c *Core) Dump(now time.Time) State {
	s := State{HeldSlots: len(c.holds), Owned: c.owner.Dump(), HomeAccounts: c.home.Len()}
	s.Waiting, s.WaitingBytes = c.queue.Len()
	for _, k := range c.queue.Keys() {
		h := c.queue.Head(now, k)
		s.Queues = append(s.Queues, QueueState{Pool: k.Pool, Workspace: k.Workspace, Count: h.Count, HeadSince: h.Arrived})
	}
	for _, k := range c.ledger.Keys() {
		s.Accounts = append(s.Accounts, AccountState{Pool: k.Pool, Workspace: k.Workspace, Value: c.ledger.WeightedService(k)})
	}
	for name, p := range c.peers {
		s.Peers = append(s.Peers, PeerState{Name: name, Down: p.down, Registered: len(p.told)})
	}
	return s
}
