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
	// meshMost is the number of routers up to which all are hubs.
	meshMost = 24
	// hubsWanted is the number of hubs of a fleet, divided between its zones: with so
	// many, each hears all others every 0.2 s at newsRate.
	hubsWanted = 16
	// minHubs is the least number of hubs of a zone, so that one may be lost.
	minHubs = 2
	// hubShare is the least share of a core of a hub, as a part of the largest one of
	// its zone.
	hubShare = 0.5
	// hubsOfLeaf is the number of hubs that a leaf exchanges news with.
	hubsOfLeaf = 2
	// leafPeriod is the period of that, and leafSilence after how long without news a
	// hub takes a leaf for lost.
	leafPeriod  = 300 * time.Millisecond
	leafSilence = 7 * leafPeriod / 2
	// hearsayFor is how long a router counts as lost on the word of a hub, or after a
	// call to it failed.
	hearsayFor = 2 * time.Second
	// retryLost is the period in which hubs try lost ones, which may have been cut off.
	retryLost = time.Second
	// keptLost is how long a lost router of a large fleet stays on the roster.
	keptLost = 10 * time.Minute
	// maxKnown is the number of routers that news tell of. Each router exchanges news
	// several times a second, so that all learn of a new one within a second or two.
	maxKnown = 2
	// maxReplaced bounds the replaced ones that news tell of besides.
	maxReplaced = 64
	// viewOfHubs bounds the age of a view in a large fleet, where it costs more and
	// changes are noted at once.
	viewOfHubs = 200 * time.Millisecond
	// toldLost is how long the loss of a leaf is told.
	toldLost = 3 * time.Second
)

// pickHubs returns the hubs among routers: in each zone the ones with the largest
// share of a core, and of equal ones always the same.
func pickHubs(routers []Peer) []Peer {
	type scored struct {
		Peer
		score uint64
	}
	zones := map[string][]scored{}
	for _, p := range routers {
		zones[p.AvailabilityZone] = append(zones[p.AvailabilityZone], scored{p, placer.Score(hubKey, p.Name)})
	}
	var hubs []Peer
	perZone := max(minHubs, (hubsWanted+len(zones)-1)/max(1, len(zones)))
	for _, ps := range zones {
		slices.SortFunc(ps, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(b.score, a.score))
		})
		n := min(perZone, len(ps))
		for n > minHubs && ps[n-1].CPUShare < hubShare*ps[0].CPUShare {
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
var hubKey = placer.HashKey("hub")

// Lost is a router that a hub does not hear, or that is shutting down.
type Lost struct {
	Name        string
	Incarnation uint64
	// Leaving says that it shuts down, and only owns nothing any more.
	Leaving bool
}

// Count counts routers.
type Count struct {
	Size    int
	Crowded int
}

func (c *Count) add(d Count) { c.Size, c.Crowded = c.Size+d.Size, c.Crowded+d.Crowded }

// hubbed says whether the fleet is too large for all to be hubs. The lock must be held.
func (r *Roster) hubbed() bool { return len(r.peers) >= meshMost }

// judge works out who is silent in a large fleet. The lock must be held.
func (r *Roster) judge(now time.Duration) {
	for _, m := range r.peers {
		silent := m.tryingSince > 0 && now-m.tryingSince > r.Silence || m.calls && now-m.heardAt > leafSilence
		if silent != m.silent {
			m.silent, m.silentAt, r.view = silent, now, nil
		}
	}
}

// dueHubs returns the routers to exchange news with in a large fleet. The lock must be
// held.
func (r *Roster) dueHubs(now, period time.Duration, all bool) []Peer {
	r.judge(now)
	v := r.viewNow(now)
	targets := map[string]bool{}
	for _, p := range v.mine {
		targets[p.Name] = true
	}
	if all {
		for _, p := range v.hubs {
			targets[p.Name] = true
		}
	}
	if !v.hub {
		period = max(period, leafPeriod)
	}
	var out []Peer
	for name, m := range r.peers {
		switch {
		case m.silent && now-m.silentAt > keptLost:
			delete(r.peers, name)
			r.view = nil
			continue
		case m.silent && m.tryingSince > 0:
			if now-m.triedAt < retryLost {
				continue
			}
		case !targets[name]:
			m.tryingSince = 0
			if !m.chosen {
				continue
			}
			// It is told that it is chosen no more.
			m.chosen = false
			out = append(out, m.Peer)
			continue
		case m.triedAt > 0 && now-m.triedAt < period, !all && v.hub && m.heard && now-m.heardAt < period:
			continue
		}
		m.triedAt, m.chosen = now, !v.hub
		if m.tryingSince == 0 {
			m.tryingSince = now
			if m.heard && now-m.heardAt < 2*period {
				// It was heard until just now.
				m.tryingSince = m.heardAt
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

// Tell fills in what a router is told of the fleet. It says whether both are hubs, who
// tell each other of the servers that they own.
func (r *Roster) Tell(to string, n *News) (owners bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	v := r.viewNow(now)
	n.From, n.Known, n.Lost = r.Self, append(slices.Clip(sample(v.peers, maxKnown)), r.replaced(now)...), r.losses(now)
	if !v.hub {
		i := slices.IndexFunc(v.mine, func(p Peer) bool { return p.Name == to })
		n.Leaf, n.First = i >= 0, i == 0
		return false
	}
	owners = v.isHub(to)
	if !r.hubbed() {
		return owners
	}
	n.Own = r.part()
	if n.Crowded {
		n.Own.Crowded++
	}
	if !owners {
		n.Zone, n.Fleet = r.counts(v, n.Own)
	}
	return owners
}

// Hear takes in what a router tells of itself and the fleet. It returns whether the
// router replaced an earlier process, whether it was not reachable before, and who is
// lost by its word.
func (r *Roster) Hear(n *News) (replaced, regained bool, lost []Peer) {
	replaced, regained = r.Heard(n.From, n.Leaving)
	r.Add(n.Known...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.peers[n.From.Name]; m != nil {
		m.crowded, m.calls, m.first, m.part = n.Crowded, n.Leaf, n.First, n.Own
		m.told = n.GrantsSeen
	}
	if n.Fleet.Size > 0 {
		r.zone, r.fleet = n.Zone, n.Fleet
	}
	return replaced, regained, r.lose(r.now(), n.Lost)
}

// sample returns n of the peers, drawn at random, or all if they are no more, so that
// news stay small in a large fleet and still reach everyone in a few rounds.
func sample(peers []Peer, n int) []Peer {
	if len(peers) <= n {
		return peers
	}
	out := make([]Peer, n)
	for i := range out {
		out[i] = peers[rand.IntN(len(peers))]
	}
	return out
}

// lose takes in whom a hub of the fleet has lost. It returns those whom this router
// has not heard either and did not know to be lost; what they hold is to be given up.
// The lock must be held.
func (r *Roster) lose(now time.Duration, lost []Lost) []Peer {
	if len(lost) == 0 {
		return nil
	}
	hub := r.viewNow(now).hub
	var out []Peer
	for _, l := range lost {
		m := r.peers[l.Name]
		if m == nil || m.heard && now-m.heardAt < r.Silence {
			continue
		}
		if l.Leaving {
			if m.Incarnation == l.Incarnation && !m.leaving {
				m.leaving, r.view = true, nil
			}
			continue
		}
		if l.Incarnation > m.lostIncarnation || now >= m.lostTill {
			m.lostIncarnation = max(m.lostIncarnation, l.Incarnation)
			out = append(out, m.Peer)
		}
		m.lostTill = now + hearsayFor
		if m.Incarnation == l.Incarnation && !hub {
			if now >= m.hearsayTill {
				r.view = nil
			}
			m.hearsayTill = now + hearsayFor
		}
	}
	return out
}

// losses returns whom this router has lost, for others. The lock must be held.
func (r *Roster) losses(now time.Duration) []Lost {
	if !r.hubbed() {
		return nil
	}
	var out []Lost
	for _, m := range r.peers {
		switch {
		case m.silent && (m.tryingSince > 0 || now-m.silentAt < toldLost):
			out = append(out, Lost{Name: m.Name, Incarnation: m.Incarnation})
		case m.replacedAt > 0 && now-m.replacedAt < toldLost:
			out = append(out, Lost{Name: m.Name, Incarnation: m.replaced})
		case m.leaving && m.heard && now-m.heardAt < r.Silence:
			out = append(out, Lost{Name: m.Name, Incarnation: m.Incarnation, Leaving: true})
		}
	}
	return out
}

// replaced returns the processes that took the place of earlier ones lately, which
// others may take for lost with those. The lock must be held.
func (r *Roster) replaced(now time.Duration) []Peer {
	if !r.hubbed() {
		return nil
	}
	var out []Peer
	for _, m := range r.peers {
		if m.replacedAt > 0 && now-m.replacedAt < toldLost && len(out) < maxReplaced {
			out = append(out, m.Peer)
		}
	}
	return out
}

// part counts this router and the leaves whose first hub it is. The lock must be held.
func (r *Roster) part() Count {
	c := Count{Size: 1}
	for _, m := range r.peers {
		if m.calls && m.first && !m.silent {
			c.Size++
			if m.crowded {
				c.Crowded++
			}
		}
	}
	return c
}

// counts returns the counts of this hub's zone and of the fleet. The lock must be held.
func (r *Roster) counts(v *view, own Count) (zone, fleet Count) {
	for _, p := range v.hubs {
		c := own
		if m := r.peers[p.Name]; m != nil {
			c = m.part
		}
		fleet.add(c)
		if p.AvailabilityZone == r.Self.AvailabilityZone {
			zone.add(c)
		}
	}
	return zone, fleet
}

// Fleet returns the number of routers that share what the fleet may do, this one
// included. It is the largest of the last forgetAfter, as routers that are not heard
// may run on behind a cut.
func (r *Roster) Fleet() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := len(r.peers) + 1
	now := r.now()
	if r.hubbed() {
		fleet := r.fleet
		if v := r.viewNow(now); v.hub {
			_, fleet = r.counts(v, r.part())
		}
		if fleet.Size > 0 {
			size = fleet.Size
		}
	}
	if size >= r.most || now-r.mostAt > forgetAfter {
		r.most, r.mostAt = size, now
	}
	return r.most
}

// Neighbours returns the number of routers that each hub exchanges news with.
func (r *Roster) Neighbours() int { return len(r.look().hubs) }

// StartRank returns this router's place by name among those that it knows of and that
// would be hubs, heard or not; leaves come after all of them.
func (r *Roster) StartRank() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Peer, 0, len(r.peers)+1)
	for _, m := range r.peers {
		all = append(all, m.Peer)
	}
	all = append(all, r.Self)
	if r.hubbed() {
		all = pickHubs(all)
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

// Rank returns this router's place among those that may ask the store: hubs come
// first, by name.
func (r *Roster) Rank() int {
	v := r.look()
	rank := 0
	for _, p := range v.hubs {
		if p.Name == r.Self.Name {
			return rank
		}
		if p.Name < r.Self.Name || !v.hub {
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
