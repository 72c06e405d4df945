package messenger

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"papayapaddle/internal/placer"
)

// Roster is what a router knows of the other routers. Self must be set before
// use. Times are on the boot clock, so that a router which was suspended does
// not take the others for alive on what it heard before.
type Roster struct {
	Self Peer
	// Silence is how long a router may be unheard and still counts as reachable.
	Silence time.Duration

	mu    sync.Mutex
	peers map[string]*member
	now   func() time.Duration
	// stopping says that this router owns nothing any more.
	stopping bool
	// zone and fleet are what a hub told this leaf.
	zone, fleet Count
	// most is the largest size of the fleet lately, last seen at mostAt.
	most   int
	mostAt time.Duration
	// view is what requests see; it is made anew after changes and viewPeriod.
	view   *view
	viewAt time.Duration
}

// view is the reachable routers at a moment. It is not changed.
type view struct {
	// peers are the reachable routers, this one included, by name.
	peers  []Peer
	byName map[string]Peer
	// hubs are all of a small fleet. hub says that this router is one, and mine are
	// the ones that it exchanges news with.
	hubs []Peer
	hub  bool
	mine []Peer
	// owners are those that may own servers.
	owners []placer.Router
}

// viewPeriod bounds the age of a view: silence is judged in hundreds of
// milliseconds, and a view takes a look at every router.
const viewPeriod = 20 * time.Millisecond

type member struct {
	Peer
	heardAt time.Duration
	heard   bool
	leaving bool
	crowded bool
	// triedAt is when news were last asked for.
	triedAt time.Duration
	// addedAt is when it was first heard of.
	addedAt time.Duration
	// told is up to which number it has this router's grants.
	told uint64

	// The rest is of large fleets. tryingSince is since when its news are asked for in
	// vain, chosen that this leaf has chosen it for its news; calls that it has chosen
	// this router, first that it did so in the first place.
	tryingSince time.Duration
	chosen      bool
	calls       bool
	first       bool
	// silent says since silentAt that it is not heard though it should be.
	silent   bool
	silentAt time.Duration
	// hearsayTill is until when it counts as lost on another's word, lostIncarnation
	// the last one of it that others told to be lost.
	hearsayTill     time.Duration
	lostIncarnation uint64
	// lostTill is until when its loss is known by others' word.
	lostTill time.Duration
	// replaced is its incarnation before, until replacedAt.
	replaced   uint64
	replacedAt time.Duration
	// part is what it counts, as a hub.
	part Count
}

// forgetAfter is how long a router that is never heard stays on the roster.
const forgetAfter = 60 * time.Second

// NewRoster returns a roster with the clock that it reads.
func NewRoster(self Peer, silence time.Duration, now func() time.Duration) *Roster {
	return &Roster{Self: self, Silence: silence, now: now, peers: map[string]*member{}}
}

// Add notes routers that others told of or the platform lists. They count as
// reachable only once they are heard. It returns those that are new.
func (r *Roster) Add(peers ...Peer) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var added []Peer
	for _, p := range peers {
		if p.Name == r.Self.Name {
			continue
		}
		m := r.peers[p.Name]
		if m != nil && (m.Incarnation == p.Incarnation || r.reachable(m) && (!r.hubbed() || p.Incarnation < m.Incarnation)) {
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

// Heard notes a sign of life. It returns the incarnation's predecessor if the
// router was replaced, and whether the router was not reachable before.
func (r *Roster) Heard(p Peer, leaving bool) (replaced, regained bool) {
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
		was := m
		m = &member{addedAt: r.now()}
		if replaced {
			m.replaced, m.replacedAt = was.Incarnation, r.now()
		}
		r.peers[p.Name] = m
		r.view = nil
	}
	regained = !r.reachable(m)
	if regained || m.Peer != p || m.leaving != leaving {
		r.view = nil
	}
	m.Peer = p
	m.heard, m.heardAt, m.leaving = true, r.now(), leaving
	m.tryingSince, m.silent, m.hearsayTill = 0, false, 0
	return replaced, regained
}

// Crowded returns how many of the other reachable routers of this one's zone are
// crowded, and how many routers the zone has, this one included.
func (r *Roster) Crowded() (crowded, size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hubbed() {
		// This router's own state is not asked for.
		zone := r.zone
		if v := r.viewNow(r.now()); v.hub {
			zone, _ = r.counts(v, r.part())
		}
		return zone.Crowded, max(1, zone.Size)
	}
	size = 1
	for _, m := range r.peers {
		if m.AvailabilityZone != r.Self.AvailabilityZone || !r.reachable(m) {
			continue
		}
		size++
		if m.crowded {
			crowded++
		}
	}
	return crowded, size
}

// Told returns up to which number a router has this one's grants.
func (r *Roster) Told(name string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.peers[name]; m != nil {
		return m.told
	}
	return 0
}

// Lost notes that a router could not be reached.
func (r *Roster) Lost(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.peers[name]
	switch {
	case m == nil:
	case r.hubbed():
		m.hearsayTill = r.now() + hearsayFor
		r.view = nil
	case m.heard:
		m.heardAt = min(m.heardAt, r.now()-r.Silence)
		r.view = nil
	}
}

// reachable says whether a router counts as running. In a large fleet those do that
// this router never had to do with.
func (r *Roster) reachable(m *member) bool {
	if r.hubbed() {
		return !m.silent && r.now() >= m.hearsayTill
	}
	return m.heard && r.now()-m.heardAt < r.Silence
}

// SetSilence changes how long a router may be unheard.
func (r *Roster) SetSilence(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Silence = d
}

// IsReachable says whether a router was heard lately.
func (r *Roster) IsReachable(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.peers[name]
	return m != nil && r.reachable(m)
}

// Due returns the routers to exchange news with: those not heard of within the
// period, or all, unless it was tried within it.
func (r *Roster) Due(period time.Duration, all bool) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if r.hubbed() {
		return r.dueHubs(now, period, all)
	}
	var out []Peer
	for name, m := range r.peers {
		if !m.heard && now-m.addedAt > forgetAfter || m.heard && now-m.heardAt > forgetAfter {
			delete(r.peers, name)
			continue
		}
		if !all && m.heard && now-m.heardAt < period || m.triedAt > 0 && now-m.triedAt < period {
			continue
		}
		m.triedAt = now
		out = append(out, m.Peer)
	}
	return out
}

// Reachable returns the routers that count as running, this one included; in a small
// fleet by name. The caller must not change the list.
func (r *Roster) Reachable() []Peer { return r.look().peers }

// look returns the present view.
func (r *Roster) look() *view {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.viewNow(r.now())
}

// viewNow returns the present view. The lock must be held.
func (r *Roster) viewNow(now time.Duration) *view {
	age := viewPeriod
	if r.hubbed() {
		age = viewOfHubs
	}
	if r.view != nil && now-r.viewAt < age {
		return r.view
	}
	v := &view{peers: []Peer{r.Self}, byName: map[string]Peer{r.Self.Name: r.Self}}
	for _, m := range r.peers {
		if r.reachable(m) {
			v.peers = append(v.peers, m.Peer)
			v.byName[m.Name] = m.Peer
		}
	}
	if r.hubbed() {
		v.hubs = pickHubs(v.peers)
	} else {
		slices.SortFunc(v.peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
		v.hubs = v.peers
	}
	for _, p := range v.hubs {
		self := p.Name == r.Self.Name
		v.hub = v.hub || self
		if self && r.stopping || !self && r.peers[p.Name].leaving {
			continue
		}
		v.owners = append(v.owners, placer.Router{Name: p.Name, AvailabilityZone: p.AvailabilityZone})
	}
	v.mine = v.hubs
	if !v.hub {
		v.mine = v.choose(r.Self)
	}
	r.view, r.viewAt = v, now
	return v
}

// choose returns the hubs that a leaf exchanges news with, those of its zone first.
func (v *view) choose(self Peer) []Peer {
	all := make([]placer.Router, len(v.hubs))
	for i, p := range v.hubs {
		all[i] = placer.Router{Name: p.Name, AvailabilityZone: p.AvailabilityZone}
	}
	ranked := placer.Rank(all, "news/"+self.Name, self.AvailabilityZone)
	var out []Peer
	for _, name := range ranked[:min(hubsOfLeaf, len(ranked))] {
		out = append(out, v.byName[name])
	}
	return out
}

// Size returns the number of routers on the roster, this one included.
func (r *Roster) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.peers) + 1
}

// Stop takes this router off the list of owners.
func (r *Roster) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
	r.view = nil
}

// Unheard returns the names of routers that were heard once and are not now.
func (r *Roster) Unheard() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for name, m := range r.peers {
		if r.hubbed() && m.silent || !r.hubbed() && m.heard && !r.reachable(m) {
			out = append(out, name)
		}
	}
	return out
}

// Owners returns the routers to ask for a place on a server, the owner first.
// Every router that is asked decides, so two of them can at worst hand one
// server too much for a moment.
func (r *Roster) Owners(server, zone string, n int) []Peer {
	v := r.look()
	ranked := placer.Rank(v.owners, "server/"+server, zone)
	out := make([]Peer, 0, n)
	for _, name := range ranked[:min(n, len(ranked))] {
		out = append(out, v.byName[name])
	}
	return out
}
