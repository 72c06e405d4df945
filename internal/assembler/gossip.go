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

// gossip adds the state that routers replicate to the scheduler's messages: configuration versions
// and changes, and tombstones of leaving backend servers.
type gossip struct {
	node *node

	// announcePending reports whether an announcement is scheduled.
	announcePending atomic.Bool

	mu sync.Mutex
	// peerVersions is the newest configuration version received from each peer.
	peerVersions map[string]uint64
	// sentVersions is the configuration version last sent to each peer.
	sentVersions map[string]uint64
	// unsentTombstones are the tombstones still to be sent to each peer.
	unsentTombstones map[string][]encoder.ServerTombstone
}

func (g *gossip) handlers() exchanger.Handlers {
	return exchanger.Handlers{
		HandleMessage:     g.handleMessage,
		TakeMessage:       g.takeMessage,
		HandleReply:       g.handleReply,
		SendFailed:        g.sendFailed,
		PeerUp:            g.peerUp,
		PeerDown:          g.peerDown,
		ConfigVersion:     g.node.installer.Version,
		HintConfigVersion: g.hintConfigVersion,
	}
}

// hintConfigVersion makes the configuration reader sync with the store immediately.
func (g *gossip) hintConfigVersion(uint64) {
	select {
	case g.node.wakeReader <- struct{}{}:
	default:
	}
}

// handleMessage handles a peer's message and returns the reply.
func (g *gossip) handleMessage(from accountant.Source, m *encoder.Message) encoder.Message {
	if m.WantFullState || m.WantFullStateRequest {
		// The peer lost a connection and possibly the replies sent on it.
		g.resendState(from.Router)
	}
	g.applyMessage(from.Router, m)
	reply := g.node.scheduler.HandleMessage(from, m)
	g.addState(from.Router, &reply)
	if m.WantChanges {
		reply.Changes, reply.Snapshot = g.node.installer.UpdateSince(m.ConfigVersion)
	}
	return reply
}

// handleReply handles a peer's reply to a message.
func (g *gossip) handleReply(from accountant.Source, m *encoder.Message) {
	g.applyMessage(from.Router, m)
	g.node.scheduler.HandleReply(from, m)
}

// takeMessage returns the next message for a peer.
func (g *gossip) takeMessage(peer string) encoder.Message {
	m := g.node.scheduler.TakeMessage(peer)
	g.addState(peer, &m)
	version := g.node.installer.Version()
	g.mu.Lock()
	m.WantChanges = g.peerVersions[peer] > version
	g.mu.Unlock()
	if m.WantChanges {
		m.ConfigVersion = version
	}
	return m
}

// addState adds the stopping flag, a changed configuration version and unsent tombstones to a
// message.
func (g *gossip) addState(peer string, m *encoder.Message) {
	m.Stopping = g.node.draining.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	if version := g.node.installer.Version(); g.sentVersions[peer] != version {
		m.ConfigVersion = version
		if g.sentVersions == nil {
			g.sentVersions = map[string]uint64{}
		}
		g.sentVersions[peer] = version
	}
	m.Tombstones = append(m.Tombstones, g.unsentTombstones[peer]...)
	delete(g.unsentTombstones, peer)
}

// applyMessage applies the state in a peer's message, and requests configuration changes from the
// peer if it has a newer version.
func (g *gossip) applyMessage(peer string, m *encoder.Message) {
	n := g.node
	n.tracker.RecordPeerContact()
	if m.Stopping {
		n.tracker.SetPeerStopping(peer)
	}
	if len(m.Tombstones) > 0 {
		n.tracker.AddTombstones(m.Tombstones)
	}
	previous := n.installer.Version()
	if len(m.Changes) > 0 || m.Snapshot != nil {
		if err := n.installer.InstallEncoded(m.Changes, m.Snapshot); err != nil {
			n.log("config-from-peer-refused", "peer", peer, "err", err)
		}
	}
	installed := n.installer.Version()
	g.mu.Lock()
	if g.peerVersions == nil {
		g.peerVersions = map[string]uint64{}
	}
	advanced := m.ConfigVersion > g.peerVersions[peer]
	g.peerVersions[peer] = max(g.peerVersions[peer], m.ConfigVersion)
	behind := g.peerVersions[peer] > installed
	g.mu.Unlock()
	// Ask a peer with a newer version again immediately only while that makes progress.
	// Otherwise, the next regular message asks.
	if behind && (advanced || installed > previous) {
		n.exchanger.WakePeer(peer)
	}
}

const (
	// announcePeers is the number of peers that a new version is announced to. They announce it
	// to others in turn.
	announcePeers = 8
	// announceDelay limits the rate of announcements. Versions installed during the delay are
	// announced together, as the latest one.
	announceDelay = 300 * time.Millisecond
)

// scheduleAnnouncement announces the installed version to random peers after announceDelay.
func (g *gossip) scheduleAnnouncement() {
	if g.announcePending.Swap(true) {
		return
	}
	time.AfterFunc(announceDelay, func() {
		g.announcePending.Store(false)
		peers := slices.Collect(maps.Keys(g.node.tracker.Dump().Peers))
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		for _, peer := range peers[:min(announcePeers, len(peers))] {
			g.node.exchanger.WakePeer(peer)
		}
	})
}

// resendState adds the version and all tombstones, which the peer may have missed, to the next
// message to it.
func (g *gossip) resendState(peer string) {
	g.mu.Lock()
	delete(g.sentVersions, peer)
	g.mu.Unlock()
	if tombstones := g.node.tracker.Tombstones(); len(tombstones) > 0 {
		g.queueTombstones(peer, tombstones)
	}
}

// broadcastTombstones sends tombstones that are new to this router to all peers.
func (g *gossip) broadcastTombstones(tombstones []encoder.ServerTombstone) {
	for peer := range g.node.tracker.Dump().Peers {
		g.queueTombstones(peer, tombstones)
		g.node.exchanger.WakePeer(peer)
	}
}

func (g *gossip) queueTombstones(peer string, tombstones []encoder.ServerTombstone) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unsentTombstones == nil {
		g.unsentTombstones = map[string][]encoder.ServerTombstone{}
	}
	g.unsentTombstones[peer] = append(g.unsentTombstones[peer], tombstones...)
}

func (g *gossip) sendFailed(peer string, m *encoder.Message) {
	g.mu.Lock()
	delete(g.sentVersions, peer)
	g.mu.Unlock()
	if len(m.Tombstones) > 0 {
		g.queueTombstones(peer, m.Tombstones)
	}
	g.node.scheduler.SendFailed(peer, m)
}

func (g *gossip) peerUp(peer string) {
	g.resendState(peer)
	g.node.scheduler.PeerUp(peer)
	g.node.tracker.SetPeerReachable(peer, true)
	g.node.log("peer-up", "peer", peer)
}

func (g *gossip) peerDown(peer string) {
	g.node.scheduler.PeerDown(peer)
	g.node.tracker.SetPeerReachable(peer, false)
	g.node.log("peer-down", "peer", peer)
}

// removeRouter drops the state of a router that was removed from the list.
func (g *gossip) removeRouter(peer string) {
	g.mu.Lock()
	delete(g.peerVersions, peer)
	delete(g.unsentTombstones, peer)
	delete(g.sentVersions, peer)
	g.mu.Unlock()
	g.node.scheduler.RemovePeer(peer)
}
