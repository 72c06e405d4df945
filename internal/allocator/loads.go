package allocator

import (
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/messenger"
	"papayapaddle/internal/steerer"
)

// loadTTL is how long a received load is used. The owner stops publishing the load of a
// server without requests, which counts as idle once the load expires.
const loadTTL = 5 * time.Second

// Loads returns the last known loads by server. The map must not be modified.
func (a *Allocator) Loads() map[string]steerer.Load {
	a.loadsMu.RLock()
	defer a.loadsMu.RUnlock()
	return a.loads
}

// GossipForPeer returns the data that this router adds to its gossip to a peer: the loads of
// the servers that it owns, the usage that it granted after the sequence number acked, which
// the peer has acknowledged, and the sequence number up to which it knows the peer's grants.
func (a *Allocator) GossipForPeer(
	peer string, acked uint64,
) (loads []admitter.Load, grants messenger.Grants, seen uint64) {
	a.mu.Lock()
	now := time.Now()
	loads = a.Admitter.Loads(now)
	grants.Tokens, grants.Till = a.Admitter.GrantsSince(now, acked)
	seen = a.Admitter.PeerGrantSequence(peer)
	a.mu.Unlock()
	a.mergeLoads(loads)
	return loads, grants, seen
}

// ApplyGossip applies the loads and grants received from a peer.
func (a *Allocator) ApplyGossip(peer string, loads []admitter.Load, grants messenger.Grants) {
	a.withAdmitter(func(now time.Time, ad *admitter.Admitter) {
		ad.MergePeerGrants(now, peer, grants.Tokens, grants.Till)
	})
	a.mergeLoads(loads)
}

// mergeLoads replaces the map of loads with a copy that contains the given ones, so that
// readers can use the previous map without holding the lock.
func (a *Allocator) mergeLoads(loads []admitter.Load) {
	if len(loads) == 0 {
		return
	}
	a.loadsMu.Lock()
	defer a.loadsMu.Unlock()
	now := time.Now()
	if a.loadReceivedAt == nil {
		a.loadReceivedAt = map[string]time.Time{}
	}
	merged := make(map[string]steerer.Load, len(a.loads)+len(loads))
	for id, load := range a.loads {
		if now.Sub(a.loadReceivedAt[id]) < loadTTL {
			merged[id] = load
		} else {
			delete(a.loadReceivedAt, id)
		}
	}
	for _, load := range loads {
		merged[load.Server] = load
		a.loadReceivedAt[load.Server] = now
	}
	a.loads = merged
}
