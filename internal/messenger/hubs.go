package messenger

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"papayapaddle/internal/placer"
)

// In a large fleet, some routers of each availability zone are hubs. They own the backend
// servers and exchange gossip with each other. The other routers, the leaves, exchange
// gossip with two hubs each, so that a leaf's gossip traffic does not grow with the fleet.
// The hubs are computed from the list of routers alone. While the lists of two routers
// differ, a backend server may have two owners, as in a small fleet.
const (
	// fullMeshMaxRouters is the largest number of routers of a fleet in which all are hubs.
	fullMeshMaxRouters = 24
	// targetHubs is the number of hubs of a fleet, divided among its availability zones.
	// With 16 hubs, each exchanges gossip with every other one every 0.2 s without
	// exceeding the limit on the gossip rate.
	targetHubs = 16
	// minHubsPerZone is the minimum number of hubs of an availability zone, so that it may
	// lose one.
	minHubsPerZone = 2
	// minHubCPURatio is the minimum CPU share of a hub, relative to the largest CPU share
	// in its availability zone.
	minHubCPURatio = 0.5
	// hubsPerLeaf is the number of hubs that a leaf exchanges gossip with.
	hubsPerLeaf = 2
	// leafGossipPeriod is the minimum period of gossip from a leaf to its hubs.
	// leafFailureTimeout is the time without gossip after which a hub counts a leaf as lost.
	leafGossipPeriod   = 300 * time.Millisecond
	leafFailureTimeout = 7 * leafGossipPeriod / 2
	// lossReportTTL is how long a router counts as unreachable after a hub reported it lost
	// or a call to it failed.
	lossReportTTL = 2 * time.Second
	// lostRetryPeriod is the period in which gossip is sent again to routers that do not
	// answer, since they may only have been partitioned from this one.
	lostRetryPeriod = time.Second
	// lostRetention is how long a lost router of a large fleet is kept in the membership.
	lostRetention = 10 * time.Minute
	// maxKnownPeers is the number of known routers in one gossip message. Each router
	// exchanges gossip several times a second, so all learn of a new router within two
	// seconds.
	maxKnownPeers = 2
	// maxReplacedPeers limits the recently restarted routers that are sent in addition.
	maxReplacedPeers = 64
	// largeFleetViewMaxAge bounds the age of a view in a large fleet, where building a view
	// costs more. Changes invalidate the view at once.
	largeFleetViewMaxAge = 200 * time.Millisecond
	// lossAnnouncePeriod is how long the loss of a leaf or the restart of a router is sent.
	lossAnnouncePeriod = 3 * time.Second
)

// selectHubs returns the hubs among routers: those with the largest CPU share in each
// availability zone. A hash of the name orders routers of equal share.
func selectHubs(routers []Peer) []Peer {
	type scored struct {
		Peer
		score uint64
	}
	zones := map[string][]scored{}
	for _, p := range routers {
		zones[p.AvailabilityZone] = append(zones[p.AvailabilityZone], scored{p, placer.Score(hubKey, p.Name)})
	}
	var hubs []Peer
	perZone := max(minHubsPerZone, (targetHubs+len(zones)-1)/max(1, len(zones)))
	for _, ps := range zones {
		slices.SortFunc(ps, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(b.score, a.score))
		})
		n := min(perZone, len(ps))
		for n > minHubsPerZone && ps[n-1].CPUShare < minHubCPURatio*ps[0].CPUShare {
			n--
		}
		for _, p := range ps[:n] {
			hubs = append(hubs, p.Peer)
		}
	}
	slices.SortFunc(hubs, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return hubs
}

// hubKey is the hash key that orders routers of equal CPU share.
var hubKey = placer.HashKey("hub")

// LostRouter is a router that the sender has lost or that is shutting down.
type LostRouter struct {
	Name        string
	Incarnation uint64
	// Leaving says that the router is shutting down: it still runs but owns no servers.
	Leaving bool
}

// RouterCount counts routers and the overloaded ones among them.
type RouterCount struct {
	Size    int
	Crowded int
}

func (c *RouterCount) add(d RouterCount) { c.Size, c.Crowded = c.Size+d.Size, c.Crowded+d.Crowded }

// isLargeFleet reports whether the fleet is too large for all routers to be hubs. The
// lock must be held.
func (r *Membership) isLargeFleet() bool { return len(r.peers) >= fullMeshMaxRouters }

// updateTimeouts determines which routers of a large fleet have timed out. The lock must
// be held.
func (r *Membership) updateTimeouts(now time.Duration) {
	for _, m := range r.peers {
		timedOut := m.unansweredSince > 0 && now-m.unansweredSince > r.FailureTimeout ||
			m.ourLeaf && now-m.lastHeardAt > leafFailureTimeout
		if timedOut != m.timedOut {
			m.timedOut, m.timedOutAt, r.view = timedOut, now, nil
		}
	}
}

// peersDueInLargeFleet implements PeersDue in a large fleet. The lock must be held.
func (r *Membership) peersDueInLargeFleet(now, period time.Duration, all bool) []Peer {
	r.updateTimeouts(now)
	v := r.currentViewLocked(now)
	targets := map[string]bool{}
	for _, p := range v.gossipPeers {
		targets[p.Name] = true
	}
	if all {
		for _, p := range v.hubs {
			targets[p.Name] = true
		}
	}
	if !v.selfIsHub {
		period = max(period, leafGossipPeriod)
	}
	var out []Peer
	for name, m := range r.peers {
		switch {
		case m.timedOut && now-m.timedOutAt > lostRetention:
			delete(r.peers, name)
			r.view = nil
			continue
		case m.timedOut && m.unansweredSince > 0:
			if now-m.lastTriedAt < lostRetryPeriod {
				continue
			}
		case !targets[name]:
			m.unansweredSince = 0
			if !m.ourHub {
				continue
			}
			// One more message says that it is no longer this leaf's hub.
			m.ourHub = false
			out = append(out, m.Peer)
			continue
		case m.lastTriedAt > 0 && now-m.lastTriedAt < period,
			!all && v.selfIsHub && m.heard && now-m.lastHeardAt < period:
			continue
		}
		m.lastTriedAt, m.ourHub = now, !v.selfIsHub
		if m.unansweredSince == 0 {
			m.unansweredSince = now
			if m.heard && now-m.lastHeardAt < 2*period {
				// It sent a heartbeat recently, so its silence counts from then.
				m.unansweredSince = m.lastHeardAt
			}
		}
		out = append(out, m.Peer)
	}
	return out
}

// isHub reports whether the router with a name is a hub.
func (v *view) isHub(name string) bool {
	return slices.ContainsFunc(v.hubs, func(p Peer) bool { return p.Name == name })
}

// FillGossip fills in what a gossip message to a router says about the fleet. It reports
// whether both routers are hubs, which also exchange the loads of the servers they own.
func (r *Membership) FillGossip(to string, gossip *Gossip) (bothHubs bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	v := r.currentViewLocked(now)
	gossip.From, gossip.Known, gossip.Lost = r.Self,
		append(slices.Clip(samplePeers(v.peers, maxKnownPeers)), r.recentlyReplaced(now)...),
		r.recentLosses(now)
	if !v.selfIsHub {
		i := slices.IndexFunc(v.gossipPeers, func(p Peer) bool { return p.Name == to })
		gossip.Leaf, gossip.First = i >= 0, i == 0
		return false
	}
	bothHubs = v.isHub(to)
	if !r.isLargeFleet() {
		return bothHubs
	}
	gossip.Own = r.ownCount()
	if gossip.Crowded {
		gossip.Own.Crowded++
	}
	if !bothHubs {
		gossip.Zone, gossip.Fleet = r.sumCounts(v, gossip.Own)
	}
	return bothHubs
}

// ApplyGossip processes a gossip message. It reports whether the sender replaced an earlier
// process and whether it was unreachable before, and returns the routers whose loss the
// message reports for the first time.
func (r *Membership) ApplyGossip(gossip *Gossip) (replaced, recovered bool, lost []Peer) {
	replaced, recovered = r.RecordHeartbeat(gossip.From, gossip.Leaving)
	r.Add(gossip.Known...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.peers[gossip.From.Name]; m != nil {
		m.overloaded, m.ourLeaf, m.ourPrimaryLeaf, m.ownCount =
			gossip.Crowded, gossip.Leaf, gossip.First, gossip.Own
		m.ackedGrants = gossip.GrantsSeen
		if m.Incarnation == gossip.From.Incarnation {
			m.ackedLimits, m.seenLimits = gossip.LimitsSeen, gossip.Limits.Seen(m.seenLimits)
			m.ackedCold, m.seenCold = gossip.ColdSeen, gossip.Cold.Seen(m.seenCold)
		}
	}
	if gossip.Fleet.Size > 0 {
		r.zoneCount, r.fleetCount = gossip.Zone, gossip.Fleet
	}
	return replaced, recovered, r.applyLosses(r.now(), gossip.Lost)
}

// samplePeers returns n peers drawn at random, or all of them if there are no more. It
// keeps gossip messages small in a large fleet, and after some rounds all routers know
// each other.
func samplePeers(peers []Peer, n int) []Peer {
	if len(peers) <= n {
		return peers
	}
	out := make([]Peer, n)
	for i := range out {
		out[i] = peers[rand.IntN(len(peers))]
	}
	return out
}

// applyLosses processes the routers that a hub has lost. It returns those that this router
// has not heard from either and whose loss is new to it; their slots must be released.
// The lock must be held.
func (r *Membership) applyLosses(now time.Duration, lost []LostRouter) []Peer {
	if len(lost) == 0 {
		return nil
	}
	hub := r.currentViewLocked(now).selfIsHub
	var out []Peer
	for _, l := range lost {
		m := r.peers[l.Name]
		if m == nil || m.heard && now-m.lastHeardAt < r.FailureTimeout {
			continue
		}
		if l.Leaving {
			if m.Incarnation == l.Incarnation && !m.leaving {
				m.leaving, r.view = true, nil
			}
			continue
		}
		if l.Incarnation > m.lostIncarnation || now >= m.lossKnownUntil {
			m.lostIncarnation = max(m.lostIncarnation, l.Incarnation)
			out = append(out, m.Peer)
		}
		m.lossKnownUntil = now + lossReportTTL
		if m.Incarnation == l.Incarnation && !hub {
			if now >= m.reportedLostUntil {
				r.view = nil
			}
			m.reportedLostUntil = now + lossReportTTL
		}
	}
	return out
}

// recentLosses returns the losses and departures to send to peers. The lock must be held.
func (r *Membership) recentLosses(now time.Duration) []LostRouter {
	if !r.isLargeFleet() {
		return nil
	}
	var out []LostRouter
	for _, m := range r.peers {
		switch {
		case m.timedOut && (m.unansweredSince > 0 || now-m.timedOutAt < lossAnnouncePeriod):
			out = append(out, LostRouter{Name: m.Name, Incarnation: m.Incarnation})
		case m.replacedAt > 0 && now-m.replacedAt < lossAnnouncePeriod:
			out = append(out, LostRouter{Name: m.Name, Incarnation: m.replacedIncarnation})
		case m.leaving && m.heard && now-m.lastHeardAt < r.FailureTimeout:
			out = append(out, LostRouter{Name: m.Name, Incarnation: m.Incarnation, Leaving: true})
		}
	}
	return out
}

// recentlyReplaced returns the processes that recently replaced earlier ones. Peers that
// are told of the old process's loss must not count the new one as lost. The lock must be
// held.
func (r *Membership) recentlyReplaced(now time.Duration) []Peer {
	if !r.isLargeFleet() {
		return nil
	}
	var out []Peer
	for _, m := range r.peers {
		if m.replacedAt > 0 && now-m.replacedAt < lossAnnouncePeriod && len(out) < maxReplacedPeers {
			out = append(out, m.Peer)
		}
	}
	return out
}

// ownCount counts this router and the leaves whose primary hub it is. The lock must be held.
func (r *Membership) ownCount() RouterCount {
	c := RouterCount{Size: 1}
	for _, m := range r.peers {
		if m.ourLeaf && m.ourPrimaryLeaf && !m.timedOut {
			c.Size++
			if m.overloaded {
				c.Crowded++
			}
		}
	}
	return c
}

// sumCounts returns the totals of this hub's availability zone and of the fleet. The lock
// must be held.
func (r *Membership) sumCounts(v *view, own RouterCount) (zone, fleet RouterCount) {
	for _, p := range v.hubs {
		c := own
		if m := r.peers[p.Name]; m != nil {
			c = m.ownCount
		}
		fleet.add(c)
		if p.AvailabilityZone == r.Self.AvailabilityZone {
			zone.add(c)
		}
	}
	return zone, fleet
}

// FleetSize returns the number of routers that share the limits of the fleet, including
// this one. It is the maximum of the last forgetAfter, since routers that are unreachable
// may still be running on the other side of a network partition.
func (r *Membership) FleetSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := len(r.peers) + 1
	now := r.now()
	if r.isLargeFleet() {
		fleet := r.fleetCount
		if v := r.currentViewLocked(now); v.selfIsHub {
			_, fleet = r.sumCounts(v, r.ownCount())
		}
		if fleet.Size > 0 {
			size = fleet.Size
		}
	}
	if size >= r.maxSize || now-r.maxSizeAt > forgetAfter {
		r.maxSize, r.maxSizeAt = size, now
	}
	return r.maxSize
}

// HubCount returns the number of hubs. Each hub exchanges gossip with all of them.
func (r *Membership) HubCount() int { return len(r.currentView().hubs) }

// StartupRank returns this router's position by name among all known routers that would be
// hubs, reachable or not. Leaves come after all hubs.
func (r *Membership) StartupRank() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Peer, 0, len(r.peers)+1)
	for _, m := range r.peers {
		all = append(all, m.Peer)
	}
	all = append(all, r.Self)
	if r.isLargeFleet() {
		all = selectHubs(all)
	}
	rank, hub := 0, false
	for _, p := range all {
		hub = hub || p.Name == r.Self.Name
		if p.Name < r.Self.Name {
			rank++
		}
	}
	if !hub {
		return len(all)
	}
	return rank
}

// StoreReadRank returns this router's position in the order in which routers read the
// store: hubs come first, sorted by name.
func (r *Membership) StoreReadRank() int {
	v := r.currentView()
	rank := 0
	for _, p := range v.hubs {
		if p.Name == r.Self.Name {
			return rank
		}
		if p.Name < r.Self.Name || !v.selfIsHub {
			rank++
		}
	}
	for _, p := range v.peers {
		if p.Name < r.Self.Name {
			rank++
		}
	}
	return rank
}
