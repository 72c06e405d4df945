package messenger

import "slices"

// Neighbors returns the reachable routers to send urgent news to at once, which gossip would bring to them later. from is the
// router that sent the news, empty if this router has read them in the store. Hubs that learn them from a hub pass them on to
// their leaves only, as that hub has told the others.
func (r *Membership) Neighbors(from string) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.currentViewLocked(r.now())
	fromHub := from != "" && v.isHub(from)
	var out []Peer
	if !fromHub {
		out = slices.DeleteFunc(slices.Clone(v.gossipPeers), func(p Peer) bool { return p.Name == r.Self.Name || p.Name == from })
	}
	if !v.selfIsHub || !r.isLargeFleet() {
		return out
	}
	for name, m := range r.peers {
		if m.ourLeaf && name != from && r.reachable(m) && !v.isHub(name) {
			out = append(out, m.Peer)
		}
	}
	return out
}
