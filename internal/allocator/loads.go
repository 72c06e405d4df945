package allocator

import (
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/messenger"
	"papayapaddle/internal/steerer"
)

// loadTTL is how long a load counts: its owner tells no more of a server that nobody
// has asked for, which idles then.
const loadTTL = 5 * time.Second

// Loads returns the servers' loads as last heard.
func (a *Allocator) Loads() map[string]steerer.Load {
	a.loadsMu.RLock()
	defer a.loadsMu.RUnlock()
	return a.loads
}

// UpdateForPeer returns what this router tells a peer of the servers it owns: their loads
// and what the peer, who has its grants up to a number, lacks of them. Seen is
// what this router has of the peer's.
func (a *Allocator) UpdateForPeer(peer string, acked uint64) (loads []admitter.Load, grants messenger.Grants, seen uint64) {
	a.mu.Lock()
	now := time.Now()
	loads = a.Admitter.Loads(now)
	grants.Tokens, grants.Till = a.Admitter.GrantsSince(now, acked)
	seen = a.Admitter.PeerGrantSequence(peer)
	a.mu.Unlock()
	a.mergeLoads(loads)
	return loads, grants, seen
}

// ApplyPeerUpdate takes in what a peer tells of the servers it owns.
func (a *Allocator) ApplyPeerUpdate(peer string, loads []admitter.Load, grants messenger.Grants) {
	a.withAdmitter(func(now time.Time, ad *admitter.Admitter) { ad.MergePeerGrants(now, peer, grants.Tokens, grants.Till) })
	a.mergeLoads(loads)
}

// mergeLoads replaces the map of loads, so that readers need no lock for long.
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
