// Package tracker keeps a router's view of the fleet: the routers and backend
// servers of the platform's lagging list, less those that cannot be reached,
// and with those that are known to leave. A backend server that leaves stays
// leaving for its incarnation, whatever a later list or peer says.
package tracker

import (
	"maps"
	"slices"
	"sync"
	"time"

	"papayapaddle/internal/connector"
	"papayapaddle/internal/declarer"
	"papayapaddle/internal/encoder"
	"papayapaddle/internal/placer"
	"papayapaddle/internal/scheduler"
)

// currentFor is how long a router that hears neither the store nor any peer may
// still take its configuration for current.
const currentFor = 5 * time.Second

// tombstone names one incarnation of a backend server.
type tombstone struct {
	server      uint32
	incarnation uint64
}

// Tracker joins what is known of the fleet. Name must be set before use. It is
// safe for concurrent use.
type Tracker struct {
	// Name is this router.
	Name             string
	AvailabilityZone string
	// OnView is called with each new view, OnPeers with the peers' addresses,
	// OnLeaving with tombstones that were not known before, and OnGone with the
	// name of a router that left the list. Nil ones are skipped.
	OnView    func(scheduler.View)
	OnPeers   func(map[string]string)
	OnLeaving func([]encoder.Leaving)
	OnGone    func(router string)

	mu         sync.Mutex
	list       connector.List
	config     *declarer.Config
	down       map[string]bool
	giving     map[string]bool
	tombstones map[tombstone]bool
	stopping   bool
	storeAt    time.Time
	peerAt     time.Time
	peers      map[string]string
}

// SetList takes a new list in.
func (t *Tracker) SetList(l connector.List) {
	t.mu.Lock()
	if l.Version <= t.list.Version {
		t.mu.Unlock()
		return
	}
	t.list = l
	t.prune()
	fresh := t.noteLeaving()
	gone := t.noteGone()
	peers := t.peers
	t.mu.Unlock()
	if t.OnPeers != nil {
		t.OnPeers(maps.Clone(peers))
	}
	for _, g := range gone {
		if t.OnGone != nil {
			t.OnGone(g)
		}
	}
	if len(fresh) > 0 && t.OnLeaving != nil {
		t.OnLeaving(fresh)
	}
	t.changed()
}

// noteLeaving adds tombstones for what the list shows as leaving.
func (t *Tracker) noteLeaving() []encoder.Leaving {
	var fresh []encoder.Leaving
	for _, in := range t.list.Instances {
		if in.Role != connector.RoleBackendServer || in.State != connector.StateLeaving {
			continue
		}
		l := encoder.Leaving{Server: placer.ID(in.Name), Incarnation: in.Incarnation}
		if t.bury(l) {
			fresh = append(fresh, l)
		}
	}
	return fresh
}

// prune drops the tombstones of servers that the list shows in a newer
// incarnation, which bounds their number.
func (t *Tracker) prune() {
	current := map[uint32]uint64{}
	for _, in := range t.list.Instances {
		if in.Role == connector.RoleBackendServer {
			current[placer.ID(in.Name)] = in.Incarnation
		}
	}
	for k := range t.tombstones {
		if inc, listed := current[k.server]; listed && inc > k.incarnation {
			delete(t.tombstones, k)
		}
	}
}

func (t *Tracker) bury(l encoder.Leaving) bool {
	k := tombstone{server: l.Server, incarnation: l.Incarnation}
	if t.tombstones[k] {
		return false
	}
	if t.tombstones == nil {
		t.tombstones = map[tombstone]bool{}
	}
	t.tombstones[k] = true
	return true
}

// noteGone renews the peers and returns the routers that are listed no more.
func (t *Tracker) noteGone() []string {
	peers := map[string]string{}
	for _, in := range t.list.Instances {
		if in.Role == connector.RoleRouter && in.Name != t.Name {
			peers[in.Name] = in.Address
		}
	}
	var gone []string
	for name := range t.peers {
		if _, listed := peers[name]; !listed {
			gone = append(gone, name)
			delete(t.down, name)
			delete(t.giving, name)
		}
	}
	t.peers = peers
	slices.Sort(gone)
	return gone
}

// Leave takes tombstones from a peer in and says which were new.
func (t *Tracker) Leave(ls []encoder.Leaving) {
	t.mu.Lock()
	var fresh []encoder.Leaving
	for _, l := range ls {
		if t.bury(l) {
			fresh = append(fresh, l)
		}
	}
	t.mu.Unlock()
	if len(fresh) == 0 {
		return
	}
	if t.OnLeaving != nil {
		t.OnLeaving(fresh)
	}
	t.changed()
}

// Tombstones returns all tombstones, for a peer that was cut off.
func (t *Tracker) Tombstones() []encoder.Leaving {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ls []encoder.Leaving
	for k := range t.tombstones {
		ls = append(ls, encoder.Leaving{Server: k.server, Incarnation: k.incarnation})
	}
	return ls
}

// SetConfig takes a new configuration in.
func (t *Tracker) SetConfig(c *declarer.Config) {
	t.mu.Lock()
	t.config = c
	t.mu.Unlock()
	t.changed()
}

// SetReachable notes whether a peer can be reached.
func (t *Tracker) SetReachable(peer string, up bool) {
	t.mu.Lock()
	if t.down == nil {
		t.down = map[string]bool{}
	}
	was := t.down[peer]
	t.down[peer] = !up
	if up {
		t.peerAt = time.Now()
		// A peer that comes back may be a new process that gives up nothing.
		delete(t.giving, peer)
	}
	t.mu.Unlock()
	if was == up {
		t.changed()
	}
}

// SetGiving notes that a peer gives up its ownerships.
func (t *Tracker) SetGiving(peer string) {
	t.mu.Lock()
	if t.giving == nil {
		t.giving = map[string]bool{}
	}
	was := t.giving[peer]
	t.giving[peer] = true
	t.mu.Unlock()
	if !was {
		t.changed()
	}
}

// Stop makes this router give up its ownerships.
func (t *Tracker) Stop() {
	t.mu.Lock()
	t.stopping = true
	t.mu.Unlock()
	t.changed()
}

// HeardStore and HeardPeer note signs of life.
func (t *Tracker) HeardStore() {
	t.mu.Lock()
	t.storeAt = time.Now()
	t.mu.Unlock()
}

// HeardPeer notes that a peer spoke.
func (t *Tracker) HeardPeer() {
	t.mu.Lock()
	t.peerAt = time.Now()
	t.mu.Unlock()
}

// Listed says whether the platform's list was read.
func (t *Tracker) Listed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list.Version > 0
}

// Current says whether this router can know that its configuration is the
// newest: it heard the store or a peer lately, or the list shows no peer.
func (t *Tracker) Current(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.storeAt) < currentFor || now.Sub(t.peerAt) < currentFor {
		return true
	}
	return len(t.peers) == 0 && t.list.Version > 0
}

// changed computes the view anew. OnView is called under a lock of its own
// order: views are delivered one after another, the newest last.
func (t *Tracker) changed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.config == nil || t.list.Version == 0 || t.OnView == nil {
		// A router that has not seen the list would take itself for the only one,
		// and for the owner of every server.
		return
	}
	t.OnView(scheduler.View{Routers: t.routers(), Servers: t.servers(), Weight: weightOf(t.config)})
}

func weightOf(c *declarer.Config) func(uint32) float64 {
	return func(id uint32) float64 {
		if w := c.WorkspaceByID(id); w != nil {
			return w.Weight
		}
		return 1
	}
}

func (t *Tracker) routers() []placer.Router {
	var rs []placer.Router
	if !t.stopping {
		rs = append(rs, placer.Router{Name: t.Name, AvailabilityZone: t.AvailabilityZone})
	}
	for _, in := range t.list.Instances {
		if in.Role != connector.RoleRouter || in.Name == t.Name || in.State != connector.StateLive {
			continue
		}
		if t.down[in.Name] || t.giving[in.Name] {
			continue
		}
		rs = append(rs, placer.Router{Name: in.Name, AvailabilityZone: in.AvailabilityZone})
	}
	return rs
}

// servers joins the declared backend servers with the list. A declared server
// that the list does not show is taken for live, since the list lags.
func (t *Tracker) servers() []scheduler.Server {
	listed := map[string]connector.Instance{}
	for _, in := range t.list.Instances {
		if in.Role == connector.RoleBackendServer {
			listed[in.Name] = in
		}
	}
	var ss []scheduler.Server
	for _, name := range slices.Sorted(maps.Keys(t.config.BackendServers)) {
		d := t.config.BackendServers[name]
		in := listed[name]
		ss = append(ss, scheduler.Server{
			Name: name, Pool: placer.ID(d.Pool), AvailabilityZone: d.AvailabilityZone, Slots: d.Slots,
			BurstSlots: d.BurstSlots,
			Leaving:    t.tombstones[tombstone{server: placer.ID(name), incarnation: in.Incarnation}],
		})
	}
	return ss
}

// State is the dump of the view.
type State struct {
	ListVersion uint64            `json:"list-version"`
	Peers       map[string]string `json:"peers"`
	Unreachable []string          `json:"unreachable"`
	Giving      []string          `json:"giving-up-ownership"`
	Leaving     []string          `json:"leaving-backend-servers"`
}

// Dump returns the view for operators.
func (t *Tracker) Dump() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := State{ListVersion: t.list.Version, Peers: maps.Clone(t.peers)}
	for name, down := range t.down {
		if down {
			s.Unreachable = append(s.Unreachable, name)
		}
	}
	for name := range t.giving {
		s.Giving = append(s.Giving, name)
	}
	if t.config != nil {
		for _, sv := range t.servers() {
			if sv.Leaving {
				s.Leaving = append(s.Leaving, sv.Name)
			}
		}
	}
	slices.Sort(s.Unreachable)
	slices.Sort(s.Giving)
	return s
}
