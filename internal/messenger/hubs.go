package messenger

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"papayapaddle/internal/placer"
)

// In a large fleet some routers of each zone are hubs: they own the backend servers
// and exchange news with each other. The others, the leaves, exchange news with two
// hubs each, so that a router's work for its neighbours does not grow with the fleet.
// Hubs follow from the list of routers alone; where lists differ for a while, a server
// may have two owners, as in a small fleet.
const (
	// fullMeshMaxPeers is the number of routers up to which all are hubs.
	fullMeshMaxPeers = 24
	// targetHubs is the number of hubs of a fleet, divided between its zones: with so
	// many, each hears all others every 0.2 s at newsRate.
	targetHubs = 16
	// minHubsPerZone is the least number of hubs of a zone, so that one may be lost.
	minHubsPerZone = 2
	// minHubCPURatio is the least share of a core of a hub, as a part of the largest one of
	// its zone.
	minHubCPURatio = 0.5
	// hubsPerLeaf is the number of hubs that a leaf exchanges news with.
	hubsPerLeaf = 2
	// leafGossipPeriod is the period of that, and leafSilence after how long without news a
	// hub takes a leaf for lost.
	leafGossipPeriod   = 300 * time.Millisecond
	leafFailureTimeout = 7 * leafGossipPeriod / 2
	// lossReportTTL is how long a router counts as lost on the word of a hub, or after a
	// call to it failed.
	lossReportTTL = 2 * time.Second
	// lostRetryPeriod is the period in which hubs try lost ones, which may have been cut off.
	lostRetryPeriod = time.Second
	// lostRetention is how long a lost router of a large fleet stays on the roster.
	lostRetention = 10 * time.Minute
	// maxKnownPeers is the number of routers that news tell of. Each router exchanges news
	// several times a second, so that all learn of a new one within a second or two.
	maxKnownPeers = 2
	// maxReplacedPeers bounds the replaced ones that news tell of besides.
	maxReplacedPeers = 64
	// largeFleetViewMaxAge bounds the age of a view in a large fleet, where it costs more and
	// changes are noted at once.
	largeFleetViewMaxAge = 200 * time.Millisecond
	// lossAnnouncePeriod is how long the loss of a leaf is told.
	lossAnnouncePeriod = 3 * time.Second
)

// selectHubs returns the hubs among routers: in each zone the ones with the largest
// share of a core, and of equal ones always the same.
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

// hubKey is what hubs of equal share are drawn by.
var hubKey = placer.Key("hub")

// LostRouter is a router that a hub does not hear, or that is shutting down.
type LostRouter struct {
	Name        string
	Incarnation uint64
	// Leaving says that it shuts down, and only owns nothing any more.
	Leaving bool
}

// RouterCount counts routers.
type RouterCount struct {
	Size    int
	Crowded int
}

func (c *RouterCount) add(d RouterCount) { c.Size, c.Crowded = c.Size+d.Size, c.Crowded+d.Crowded }

// isLargeFleet says whether the fleet is too large for all to be hubs. The lock must be held.
func (r *Membership) isLargeFleet() bool { return len(r.peers) >= fullMeshMaxPeers }

// updateTimeouts works out who is silent in a large fleet. The lock must be held.
func (r *Membership) updateTimeouts(now time.Duration) {
	for _, m := range r.peers {
		silent := m.unansweredSince > 0 && now-m.unansweredSince > r.FailureTimeout || m.ourLeaf && now-m.lastHeardAt > leafFailureTimeout
		if silent != m.timedOut {
			m.timedOut, m.timedOutAt, r.view = silent, now, nil
		}
	}
}

// peersDueInLargeFleet returns the routers to exchange news with in a large fleet. The lock must be
// held.
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
			// It is told that it is chosen no more.
			m.ourHub = false
			out = append(out, m.Peer)
			continue
		case m.lastTriedAt > 0 && now-m.lastTriedAt < period, !all && v.selfIsHub && m.heard && now-m.lastHeardAt < period:
			continue
		}
		m.lastTriedAt, m.ourHub = now, !v.selfIsHub
		if m.unansweredSince == 0 {
			m.unansweredSince = now
			if m.heard && now-m.lastHeardAt < 2*period {
				// It was heard until just now.
				m.unansweredSince = m.lastHeardAt
			}
		}
		out = append(out, m.Peer)
	}
	return out
}

// isHub says whether a router is one, by name.
func (v *view) isHub(name string) bool {
	return slices.ContainsFunc(v.hubs, func(p Peer) bool { return p.Name == name })
}

// FillGossip fills in what a router is told of the fleet. It says whether both are hubs, who
// tell each other of the servers that they own.
func (r *Membership) FillGossip(to string, gossip *Gossip) (bothHubs bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	v := r.currentViewLocked(now)
	gossip.From, gossip.Known, gossip.Lost = r.Self, append(slices.Clip(samplePeers(v.peers, maxKnownPeers)), r.recentlyReplaced(now)...), r.recentLosses(now)
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

// ApplyGossip takes in what a router tells of itself and the fleet. It returns whether the
// router replaced an earlier process, whether it was not reachable before, and who is
// lost by its word.
func (r *Membership) ApplyGossip(gossip *Gossip) (replaced, recovered bool, lost []Peer) {
	replaced, recovered = r.RecordHeartbeat(gossip.From, gossip.Leaving)
	r.Add(gossip.Known...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.peers[gossip.From.Name]; m != nil {
		m.overloaded, m.ourLeaf, m.ourPrimaryLeaf, m.ownCount = gossip.Crowded, gossip.Leaf, gossip.First, gossip.Own
		m.ackedGrants = gossip.GrantsSeen
	}
	if gossip.Fleet.Size > 0 {
		r.zoneCount, r.fleetCount = gossip.Zone, gossip.Fleet
	}
	return replaced, recovered, r.applyLosses(r.now(), gossip.Lost)
}

// samplePeers returns n of the peers, drawn at random, or all if they are no more, so that
// news stay small in a large fleet and still reach everyone in a few rounds.
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

// applyLosses takes in whom a hub of the fleet has lost. It returns those whom this router
// has not heard either and did not know to be lost; what they hold is to be given up.
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

// recentLosses returns whom this router has lost, for others. The lock must be held.
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

// recentlyReplaced returns the processes that took the place of earlier ones lately, which
// others may take for lost with those. The lock must be held.
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

// ownCount counts this router and the leaves whose first hub it is. The lock must be held.
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

// sumCounts returns the counts of this hub's zone and of the fleet. The lock must be held.
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

// FleetSize returns the number of routers that share what the fleet may do, this one
// included. It is the largest of the last forgetAfter, as routers that are not heard
// may run on behind a cut.
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

// HubCount returns the number of routers that each hub exchanges news with.
func (r *Membership) HubCount() int { return len(r.currentView().hubs) }

// StartupRank returns this router's place by name among those that it knows of and that
// would be hubs, heard or not; leaves come after all of them.
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

// StoreReadRank returns this router's place among those that may ask the store: hubs come
// first, by name.
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
