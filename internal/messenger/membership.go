package messenger

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"papayapaddle/internal/placer"
)

// Membership is what a router knows of the other routers. Self must be set before
// use. Times are on the boot clock, so that a router which was suspended does
// not take the others for alive on what it heard before.
type Membership struct {
	Self Peer
	// FailureTimeout is how long a router may be unheard and still counts as reachable.
	FailureTimeout time.Duration

	mu    sync.Mutex
	peers map[string]*member
	now   func() time.Duration
	// stopping says that this router owns nothing any more.
	stopping bool
	// zoneCount and fleet are what a hub told this leaf.
	zoneCount, fleetCount RouterCount
	// maxSize is the largest size of the fleet lately, last seen at mostAt.
	maxSize   int
	maxSizeAt time.Duration
	// view is what requests see; it is made anew after changes and viewPeriod.
	view        *view
	viewBuiltAt time.Duration
}

// view is the reachable routers at a moment. It is not changed.
type view struct {
	// peers are the reachable routers, this one included, by name.
	peers  []Peer
	byName map[string]Peer
	// hubs are all of a small fleet. hub says that this router is one, and mine are
	// the ones that it exchanges news with.
	hubs        []Peer
	selfIsHub   bool
	gossipPeers []Peer
	// owners are those that may own servers.
	owners []placer.Router
}

// viewMaxAge bounds the age of a view: silence is judged in hundreds of
// milliseconds, and a view takes a look at every router.
const viewMaxAge = 20 * time.Millisecond

type member struct {
	Peer
	lastHeardAt time.Duration
	heard       bool
	leaving     bool
	overloaded  bool
	// lastTriedAt is when news were last asked for.
	lastTriedAt time.Duration
	// addedAt is when it was first heard of.
	addedAt time.Duration
	// ackedGrants is up to which number it has this router's grants.
	ackedGrants uint64

	// The rest is of large fleets. tryingSince is since when its news are asked for in
	// vain, chosen that this leaf has chosen it for its news; calls that it has chosen
	// this router, first that it did so in the first place.
	unansweredSince time.Duration
	ourHub          bool
	ourLeaf         bool
	ourPrimaryLeaf  bool
	// timedOut says since silentAt that it is not heard though it should be.
	timedOut   bool
	timedOutAt time.Duration
	// reportedLostUntil is until when it counts as lost on another's word, lostIncarnation
	// the last one of it that others told to be lost.
	reportedLostUntil time.Duration
	lostIncarnation   uint64
	// lossKnownUntil is until when its loss is known by others' word.
	lossKnownUntil time.Duration
	// replacedIncarnation is its incarnation before, until replacedAt.
	replacedIncarnation uint64
	replacedAt          time.Duration
	// ownCount is what it counts, as a hub.
	ownCount RouterCount
}

// forgetAfter is how long a router that is never heard stays on the roster.
const forgetAfter = 60 * time.Second

// NewMembership returns a roster with the clock that it reads.
func NewMembership(self Peer, silence time.Duration, now func() time.Duration) *Membership {
	return &Membership{Self: self, FailureTimeout: silence, now: now, peers: map[string]*member{}}
}

// Add notes routers that others told of or the platform lists. They count as
// reachable only once they are heard. It returns those that are new.
func (r *Membership) Add(peers ...Peer) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var added []Peer
	for _, p := range peers {
		if p.Name == r.Self.Name {
			continue
		}
		m := r.peers[p.Name]
		if m != nil && (m.Incarnation == p.Incarnation || r.reachable(m) && (!r.isLargeFleet() || p.Incarnation < m.Incarnation)) {
			continue
		}
		if m != nil && m.heard && p.Incarnation < m.Incarnation {
			continue
		}
		r.peers[p.Name] = &member{Peer: p, addedAt: r.now()}
		r.view = nil
		added = append(added, p)
	}
	return added
}

// RecordHeartbeat notes a sign of life. It returns the incarnation's predecessor if the
// router was replaced, and whether the router was not reachable before.
func (r *Membership) RecordHeartbeat(p Peer, leaving bool) (replaced, recovered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Name == r.Self.Name {
		return false, false
	}
	m := r.peers[p.Name]
	if m != nil && p.Incarnation < m.Incarnation && m.heard {
		return false, false
	}
	if m == nil || m.Incarnation != p.Incarnation {
		replaced = m != nil && m.heard
		previous := m
		m = &member{addedAt: r.now()}
		if replaced {
			m.replacedIncarnation, m.replacedAt = previous.Incarnation, r.now()
		}
		r.peers[p.Name] = m
		r.view = nil
	}
	recovered = !r.reachable(m)
	if recovered || m.Peer != p || m.leaving != leaving {
		r.view = nil
	}
	m.Peer = p
	m.heard, m.lastHeardAt, m.leaving = true, r.now(), leaving
	m.unansweredSince, m.timedOut, m.reportedLostUntil = 0, false, 0
	return replaced, recovered
}

// CountOverloaded returns how many of the other reachable routers of this one's zone are
// crowded, and how many routers the zone has, this one included.
func (r *Membership) CountOverloaded() (overloaded, zoneSize int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isLargeFleet() {
		// This router's own state is not asked for.
		zone := r.zoneCount
		if v := r.currentViewLocked(r.now()); v.selfIsHub {
			zone, _ = r.sumCounts(v, r.ownCount())
		}
		return zone.Crowded, max(1, zone.Size)
	}
	zoneSize = 1
	for _, m := range r.peers {
		if m.AvailabilityZone != r.Self.AvailabilityZone || !r.reachable(m) {
			continue
		}
		zoneSize++
		if m.overloaded {
			overloaded++
		}
	}
	return overloaded, zoneSize
}

// AckedGrants returns up to which number a router has this one's grants.
func (r *Membership) AckedGrants(name string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.peers[name]; m != nil {
		return m.ackedGrants
	}
	return 0
}

// MarkUnreachable notes that a router could not be reached.
func (r *Membership) MarkUnreachable(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.peers[name]
	switch {
	case m == nil:
	case r.isLargeFleet():
		m.reportedLostUntil = r.now() + lossReportTTL
		r.view = nil
	case m.heard:
		m.lastHeardAt = min(m.lastHeardAt, r.now()-r.FailureTimeout)
		r.view = nil
	}
}

// reachable says whether a router counts as running. In a large fleet those do that
// this router never had to do with.
func (r *Membership) reachable(m *member) bool {
	if r.isLargeFleet() {
		return !m.timedOut && r.now() >= m.reportedLostUntil
	}
	return m.heard && r.now()-m.lastHeardAt < r.FailureTimeout
}

// SetFailureTimeout changes how long a router may be unheard.
func (r *Membership) SetFailureTimeout(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.FailureTimeout = d
}

// IsReachable says whether a router was heard lately.
func (r *Membership) IsReachable(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.peers[name]
	return m != nil && r.reachable(m)
}

// PeersDue returns the routers to exchange news with: those not heard of within the
// period, or all, unless it was tried within it.
func (r *Membership) PeersDue(period time.Duration, all bool) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if r.isLargeFleet() {
		return r.peersDueInLargeFleet(now, period, all)
	}
	var out []Peer
	for name, m := range r.peers {
		if !m.heard && now-m.addedAt > forgetAfter || m.heard && now-m.lastHeardAt > forgetAfter {
			delete(r.peers, name)
			continue
		}
		if !all && m.heard && now-m.lastHeardAt < period || m.lastTriedAt > 0 && now-m.lastTriedAt < period {
			continue
		}
		m.lastTriedAt = now
		out = append(out, m.Peer)
	}
	return out
}

// Reachable returns the routers that count as running, this one included; in a small
// fleet by name. The caller must not change the list.
func (r *Membership) Reachable() []Peer { return r.currentView().peers }

// currentView returns the present view.
func (r *Membership) currentView() *view {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentViewLocked(r.now())
}

// currentViewLocked returns the present view. The lock must be held.
func (r *Membership) currentViewLocked(now time.Duration) *view {
	maxAge := viewMaxAge
	if r.isLargeFleet() {
		maxAge = largeFleetViewMaxAge
	}
	if r.view != nil && now-r.viewBuiltAt < maxAge {
		return r.view
	}
	v := &view{peers: []Peer{r.Self}, byName: map[string]Peer{r.Self.Name: r.Self}}
	for _, m := range r.peers {
		if r.reachable(m) {
			v.peers = append(v.peers, m.Peer)
			v.byName[m.Name] = m.Peer
		}
	}
	if r.isLargeFleet() {
		v.hubs = selectHubs(v.peers)
	} else {
		slices.SortFunc(v.peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
		v.hubs = v.peers
	}
	for _, p := range v.hubs {
		isSelf := p.Name == r.Self.Name
		v.selfIsHub = v.selfIsHub || isSelf
		if isSelf && r.stopping || !isSelf && r.peers[p.Name].leaving {
			continue
		}
		v.owners = append(v.owners, placer.Router{Name: p.Name, AvailabilityZone: p.AvailabilityZone})
	}
	v.gossipPeers = v.hubs
	if !v.selfIsHub {
		v.gossipPeers = v.hubsForLeaf(r.Self)
	}
	r.view, r.viewBuiltAt = v, now
	return v
}

// hubsForLeaf returns the hubs that a leaf exchanges news with, those of its zone first.
func (v *view) hubsForLeaf(self Peer) []Peer {
	all := make([]placer.Router, len(v.hubs))
	for i, p := range v.hubs {
		all[i] = placer.Router{Name: p.Name, AvailabilityZone: p.AvailabilityZone}
	}
	ranked := placer.Rank(all, "news/"+self.Name, self.AvailabilityZone)
	var out []Peer
	for _, name := range ranked[:min(hubsPerLeaf, len(ranked))] {
		out = append(out, v.byName[name])
	}
	return out
}

// Size returns the number of routers on the roster, this one included.
func (r *Membership) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.peers) + 1
}

// StopOwning takes this router off the list of owners.
func (r *Membership) StopOwning() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
	r.view = nil
}

// TimedOut returns the names of routers that were heard once and are not now.
func (r *Membership) TimedOut() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for name, m := range r.peers {
		if r.isLargeFleet() && m.timedOut || !r.isLargeFleet() && m.heard && !r.reachable(m) {
			out = append(out, name)
		}
	}
	return out
}

// Owners returns the routers to ask for a place on a server, the owner first.
// Every router that is asked decides, so two of them can at worst hand one
// server too much for a moment.
func (r *Membership) Owners(server, zone string, n int) []Peer {
	v := r.currentView()
	ranked := placer.Rank(v.owners, "server/"+server, zone)
	out := make([]Peer, 0, n)
	for _, name := range ranked[:min(n, len(ranked))] {
		out = append(out, v.byName[name])
	}
	return out
}
