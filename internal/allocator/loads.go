package allocator

import (
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/messenger"
	"papayapaddle/internal/steerer"
)

// loadKept is how long a load counts: its owner tells no more of a server that nobody
// has asked for, which idles then.
const loadKept = 5 * time.Second

// Loads returns the servers' loads as last heard.
func (a *Allocator) Loads() map[string]steerer.Load {
	a.loadsMu.RLock()
	defer a.loadsMu.RUnlock()
	return a.loads
}

// Tell returns what this router tells a peer of the servers it owns: their loads
// and what the peer, who has its grants up to a number, lacks of them. Seen is
// what this router has of the peer's.
func (a *Allocator) Tell(peer string, has uint64) (loads []admitter.Load, grants messenger.Grants, seen uint64) {
	a.mu.Lock()
	now := time.Now()
	loads = a.Admitter.Loads(now)
	grants.Tokens, grants.Till = a.Admitter.Granted(now, has)
	seen = a.Admitter.Seen(peer)
	a.mu.Unlock()
	a.merge(loads)
	return loads, grants, seen
}

// Hear takes in what a peer tells of the servers it owns.
func (a *Allocator) Hear(peer string, loads []admitter.Load, g messenger.Grants) {
	a.do(func(now time.Time, ad *admitter.Admitter) { ad.Heard(now, peer, g.Tokens, g.Till) })
	a.merge(loads)
}

// merge replaces the map of loads, so that readers need no lock for long.
func (a *Allocator) merge(loads []admitter.Load) {
	if len(loads) == 0 {
		return
	}
	a.loadsMu.Lock()
	defer a.loadsMu.Unlock()
	now := time.Now()
	if a.heardAt == nil {
		a.heardAt = map[string]time.Time{}
	}
	m := make(map[string]steerer.Load, len(a.loads)+len(loads))
	for k, v := range a.loads {
		if now.Sub(a.heardAt[k]) < loadKept {
			m[k] = v
		} else {
			delete(a.heardAt, k)
		}
	}
	for _, l := range loads {
		m[l.Server] = l
		a.heardAt[l.Server] = now
	}
	a.loads = m
}
