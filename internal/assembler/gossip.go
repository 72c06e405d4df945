package assembler

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"papayapaddle/internal/accountant"
	"papayapaddle/internal/encoder"
	"papayapaddle/internal/exchanger"
)

// gossip adds to the scheduler's messages what routers pass on to each other:
// configuration versions and tombstones of leaving backend servers.
type gossip struct {
	node *node

	// announcing says that an announcement is due.
	announcing atomic.Bool

	mu sync.Mutex
	// newest holds the configuration version that a peer told of.
	newest map[string]uint64
	// told holds the configuration version that a peer was told of.
	told map[string]uint64
	// leaving holds the tombstones that a peer has not been told.
	leaving map[string][]encoder.ServerTombstone
}

func (g *gossip) handlers() exchanger.Handlers {
	return exchanger.Handlers{
		HandleMessage:     g.receive,
		TakeMessage:       g.drain,
		HandleReply:       g.absorb,
		SendFailed:        g.sendFailed,
		PeerUp:            g.up,
		PeerDown:          g.down,
		ConfigVersion:     g.node.installer.Version,
		HintConfigVersion: g.hint,
	}
}

// hint makes the reader look at the store at once.
func (g *gossip) hint(uint64) {
	select {
	case g.node.kick <- struct{}{}:
	default:
	}
}

// receive handles a peer's message and returns the reply.
func (g *gossip) receive(from accountant.Source, m *encoder.Message) encoder.Message {
	if m.WantFullState || m.WantFullStateRequest {
		// The peer lost a connection, and with it what it was told in replies.
		g.repeat(from.Router)
	}
	g.learn(from.Router, m)
	reply := g.node.scheduler.HandleMessage(from, m)
	g.add(from.Router, &reply)
	if m.WantChanges {
		reply.Changes, reply.Snapshot = g.node.installer.UpdateSince(m.ConfigVersion)
	}
	return reply
}

// absorb handles the reply to an own message.
func (g *gossip) absorb(from accountant.Source, m *encoder.Message) {
	g.learn(from.Router, m)
	g.node.scheduler.HandleReply(from, m)
}

// drain returns the message for a peer.
func (g *gossip) drain(peer string) encoder.Message {
	m := g.node.scheduler.TakeMessage(peer)
	g.add(peer, &m)
	have := g.node.installer.Version()
	g.mu.Lock()
	m.WantChanges = g.newest[peer] > have
	g.mu.Unlock()
	if m.WantChanges {
		m.ConfigVersion = have
	}
	return m
}

func (g *gossip) add(peer string, m *encoder.Message) {
	m.Stopping = g.node.draining.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	if v := g.node.installer.Version(); g.told[peer] != v {
		m.ConfigVersion = v
		if g.told == nil {
			g.told = map[string]uint64{}
		}
		g.told[peer] = v
	}
	m.Tombstones = append(m.Tombstones, g.leaving[peer]...)
	delete(g.leaving, peer)
}

// learn takes in what a peer passed on, and asks for what it has more.
func (g *gossip) learn(peer string, m *encoder.Message) {
	n := g.node
	n.tracker.RecordPeerContact()
	if m.Stopping {
		n.tracker.SetPeerStopping(peer)
	}
	if len(m.Tombstones) > 0 {
		n.tracker.AddTombstones(m.Tombstones)
	}
	before := n.installer.Version()
	if len(m.Changes) > 0 || m.Snapshot != nil {
		if err := n.installer.InstallEncoded(m.Changes, m.Snapshot); err != nil {
			n.log("config-from-peer-refused", "peer", peer, "err", err)
		}
	}
	have := n.installer.Version()
	g.mu.Lock()
	if g.newest == nil {
		g.newest = map[string]uint64{}
	}
	heard := m.ConfigVersion > g.newest[peer]
	g.newest[peer] = max(g.newest[peer], m.ConfigVersion)
	behind := g.newest[peer] > have
	g.mu.Unlock()
	// A peer that has more is asked again at once only while that brings
	// something; otherwise the next message asks.
	if behind && (heard || have > before) {
		n.exchanger.WakePeer(peer)
	}
}

const (
	// announcePeers is how many peers are told of a new version at once; they
	// tell others in turn.
	announcePeers = 8
	// announceEvery bounds how often versions are announced; the latest counts.
	announceEvery = 300 * time.Millisecond
)

// announce tells some peers of a new version soon.
func (g *gossip) announce() {
	if g.announcing.Swap(true) {
		return
	}
	time.AfterFunc(announceEvery, func() {
		g.announcing.Store(false)
		peers := slices.Collect(maps.Keys(g.node.tracker.Dump().Peers))
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		for _, p := range peers[:min(announcePeers, len(peers))] {
			g.node.exchanger.WakePeer(p)
		}
	})
}

// repeat makes the next message to a peer say what it may have missed.
func (g *gossip) repeat(peer string) {
	g.mu.Lock()
	delete(g.told, peer)
	g.mu.Unlock()
	if ls := g.node.tracker.Tombstones(); len(ls) > 0 {
		g.queueLeaving(peer, ls)
	}
}

// spreadLeaving tells all peers of tombstones that are new here.
func (g *gossip) spreadLeaving(ls []encoder.ServerTombstone) {
	for peer := range g.node.tracker.Dump().Peers {
		g.queueLeaving(peer, ls)
		g.node.exchanger.WakePeer(peer)
	}
}

func (g *gossip) queueLeaving(peer string, ls []encoder.ServerTombstone) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving == nil {
		g.leaving = map[string][]encoder.ServerTombstone{}
	}
	g.leaving[peer] = append(g.leaving[peer], ls...)
}

func (g *gossip) sendFailed(peer string, m *encoder.Message) {
	g.mu.Lock()
	delete(g.told, peer)
	g.mu.Unlock()
	if len(m.Tombstones) > 0 {
		g.queueLeaving(peer, m.Tombstones)
	}
	g.node.scheduler.SendFailed(peer, m)
}

func (g *gossip) up(peer string) {
	g.repeat(peer)
	g.node.scheduler.PeerUp(peer)
	g.node.tracker.SetPeerReachable(peer, true)
	g.node.log("peer-up", "peer", peer)
}

func (g *gossip) down(peer string) {
	g.node.scheduler.PeerDown(peer)
	g.node.tracker.SetPeerReachable(peer, false)
	g.node.log("peer-down", "peer", peer)
}

// forget drops what is kept for a router that has left the list.
func (g *gossip) forget(peer string) {
	g.mu.Lock()
	delete(g.newest, peer)
	delete(g.leaving, peer)
	delete(g.told, peer)
	g.mu.Unlock()
	g.node.scheduler.RemovePeer(peer)
}
