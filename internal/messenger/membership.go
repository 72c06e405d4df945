package messenger

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"papayapaddle/internal/placer"
)

// Membership tracks the other routers of the fleet. Self must be set before use. Times
// are on the boot clock, which also runs while the machine is suspended, so that a router
// that was suspended does not count others as reachable because of old gossip.
type Membership struct {
	Self Peer
	// FailureTimeout is the time without a heartbeat after which a router no longer counts
	// as reachable.
	FailureTimeout time.Duration

	mu    sync.Mutex
	peers map[string]*member
	now   func() time.Duration
	// startedAt is when the membership was created.
	startedAt time.Duration
	// stopping says that this router no longer owns backend servers.
	stopping bool
	// zoneCount and fleetCount are the last totals that a hub sent to this leaf.
	zoneCount, fleetCount RouterCount
	// maxSize is the largest fleet size within the last forgetAfter, last seen at maxSizeAt.
	maxSize   int
	maxSizeAt time.Duration
	// maxKnown is the same of the routers that ReachableShare counts.
	maxKnown   int
	maxKnownAt time.Duration
	// view is the cached state that requests read. It is rebuilt after changes and when it
	// reaches its maximum age.
	view        *view
	viewBuiltAt time.Duration
}

// view is an immutable snapshot of the reachable routers.
type view struct {
	// peers are the reachable routers, including this one. In a small fleet they are sorted
	// by name.
	peers  []Peer
	byName map[string]Peer
	// hubs are the hubs of the fleet; in a small fleet, all routers. selfIsHub says whether
	// this router is one. gossipPeers are the hubs that it exchanges gossip with.
	hubs        []Peer
	selfIsHub   bool
	gossipPeers []Peer
	// owners are the hubs that may own backend servers.
	owners []placer.Router
}

// viewMaxAge bounds the age of a view. It is short compared with failure timeouts, which
// are hundreds of milliseconds, and spares iterating over all routers for each request.
const viewMaxAge = 20 * time.Millisecond

// member is the state of another router.
type member struct {
	Peer
	lastHeardAt time.Duration
	heard       bool
	leaving     bool
	overloaded  bool
	// lastTriedAt is when the last gossip call to it was started.
	lastTriedAt time.Duration
	// addedAt is when this process was first learned of.
	addedAt time.Duration
	// ackedGrants is the sequence number of the last of this router's grants that it has
	// acknowledged.
	ackedGrants uint64
	// ackedLimits and seenLimits are the sequence numbers of the last changes of limits that it has
	// acknowledged and that it has sent.
	ackedLimits, seenLimits uint64
	// ackedCold and seenCold are the same of the periods in which servers are cold.
	ackedCold, seenCold uint64

	// The fields below are used in large fleets only. unansweredSince is when the first of
	// the gossip calls was made that it has not answered, 0 if there is none. ourHub says
	// that this leaf sends it gossip as one of its hubs. ourLeaf says that it is a leaf
	// that sends gossip to this hub, and ourPrimaryLeaf that this hub is its primary one.
	unansweredSince time.Duration
	ourHub          bool
	ourLeaf         bool
	ourPrimaryLeaf  bool
	// timedOut says that it has been unreachable since timedOutAt.
	timedOut   bool
	timedOutAt time.Duration
	// reportedLostUntil is until when it counts as unreachable because of a hub's report or
	// a failed call. lostIncarnation is the newest of its incarnations that was reported
	// lost.
	reportedLostUntil time.Duration
	lostIncarnation   uint64
	// lossKnownUntil is until when further reports of the same loss are ignored.
	lossKnownUntil time.Duration
	// replacedIncarnation is the incarnation that it replaced at replacedAt.
	replacedIncarnation uint64
	replacedAt          time.Duration
	// ownCount is the count that it sent last, if it is a hub.
	ownCount RouterCount
}

// forgetAfter is the time without a heartbeat after which a router of a small fleet is removed
// from the membership.
const forgetAfter = 60 * time.Second

// NewMembership returns a membership that contains only self. now reads the boot clock.
func NewMembership(self Peer, failureTimeout time.Duration, now func() time.Duration) *Membership {
	return &Membership{Self: self, FailureTimeout: failureTimeout, now: now, startedAt: now(), peers: map[string]*member{}}
}

// Add adds routers that peers reported or the platform lists, and returns those that are
// new. In a small fleet, they count as reachable once they have sent a heartbeat.
func (r *Membership) Add(peers ...Peer) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var added []Peer
	for _, p := range peers {
		if p.Name == r.Self.Name {
			continue
		}
		m := r.peers[p.Name]
		if m != nil && (m.Incarnation == p.Incarnation ||
			r.reachable(m) && (!r.isLargeFleet() || p.Incarnation < m.Incarnation)) {
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

// RecordHeartbeat records that a router is alive. It reports whether the router replaced
// an earlier process of the same name, and whether it was unreachable before.
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

// CountOverloaded returns how many of the other reachable routers in this router's
// availability zone are overloaded, and how many routers the zone has, including this one.
func (r *Membership) CountOverloaded() (overloaded, zoneSize int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isLargeFleet() {
		// This router's own state does not count here.
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

// MeanZoneCPUShare returns the mean CPU share of the other known routers in this router's availability
// zone, or 0 if none is known. Routers with an unknown share do not count.
func (r *Membership) MeanZoneCPUShare() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	total, n := 0.0, 0
	for _, m := range r.peers {
		if m.AvailabilityZone == r.Self.AvailabilityZone && m.CPUShare > 0 {
			total += m.CPUShare
			n++
		}
	}
	return total / float64(max(1, n))
}

// AckedGrants returns the sequence number of the last of this router's grants that a
// router has acknowledged.
func (r *Membership) AckedGrants(name string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.peers[name]; m != nil {
		return m.ackedGrants
	}
	return 0
}

// LimitsExchanged returns the sequence numbers of the last changes of limits that a router has acknowledged,
// and that it has sent.
func (r *Membership) LimitsExchanged(name string) (acked, seen uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.peers[name]; m != nil {
		return m.ackedLimits, m.seenLimits
	}
	return 0, 0
}

// ColdExchanged returns the same as LimitsExchanged for the periods in which servers are cold.
func (r *Membership) ColdExchanged(name string) (acked, seen uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.peers[name]; m != nil {
		return m.ackedCold, m.seenCold
	}
	return 0, 0
}

// MarkUnreachable records that a call to a router failed.
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

// reachable reports whether a router counts as running. In a large fleet, this includes
// routers that this one has never contacted. The lock must be held.
func (r *Membership) reachable(m *member) bool {
	if r.isLargeFleet() {
		return !m.timedOut && r.now() >= m.reportedLostUntil
	}
	return m.heard && r.now()-m.lastHeardAt < r.FailureTimeout
}

// SetFailureTimeout sets the failure timeout.
func (r *Membership) SetFailureTimeout(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.FailureTimeout = d
}

// IsReachable reports whether a router counts as running.
func (r *Membership) IsReachable(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.peers[name]
	return m != nil && r.reachable(m)
}

// PeersDue returns the routers to exchange gossip with now: those without a heartbeat in
// the last period, or all routers if all is set, except those already tried within the
// period. It removes routers that have been unreachable for too long.
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

// Reachable returns the routers that count as running, including this one. In a small
// fleet they are sorted by name. The caller must not modify the list.
func (r *Membership) Reachable() []Peer { return r.currentView().peers }

// currentView returns the current view.
func (r *Membership) currentView() *view {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentViewLocked(r.now())
}

// currentViewLocked returns the current view. The lock must be held.
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

// hubsForLeaf returns the hubs that a leaf exchanges gossip with, starting with those in
// its availability zone.
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

// Size returns the number of known routers, including this one.
func (r *Membership) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.peers) + 1
}

// StopOwning removes this router from the owners of backend servers.
func (r *Membership) StopOwning() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
	r.view = nil
}

// TimedOut returns the names of the routers that were reachable and no longer are.
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

// Owners returns the routers to request a slot on a backend server from, the owner first.
// Whichever router is asked decides, so two of them may briefly overcommit a server.
func (r *Membership) Owners(server, zone string, n int) []Peer {
	v := r.currentView()
	ranked := placer.Rank(v.owners, "server/"+server, zone)
	out := make([]Peer, 0, n)
	for _, name := range ranked[:min(n, len(ranked))] {
		out = append(out, v.byName[name])
	}
	return out
}
