// Package tracker maintains a router's view of the fleet: the routers and backend servers of the
// platform's instance list, which is updated with a delay, without the routers that are unreachable
// or stopping. Once an incarnation of a backend server is leaving, no later list or message of a peer
// can make it live again.
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

// maxContactAge is the time without contact to the store and all peers after which a router no
// longer considers its configuration current.
const maxContactAge = 5 * time.Second

// tombstone identifies an incarnation of a backend server that is leaving.
type tombstone struct {
	server      uint32
	incarnation uint64
}

// Tracker computes the view of the fleet. Name must be set before use. A Tracker is safe for
// concurrent use.
type Tracker struct {
	// Name is the name of this router.
	Name             string
	AvailabilityZone string
	// OnView, if not nil, is called with each new view.
	OnView func(scheduler.View)
	// OnPeers, if not nil, is called with the addresses of the peers after each new list.
	OnPeers func(map[string]string)
	// OnTombstones, if not nil, is called with tombstones that were not known before.
	OnTombstones func([]encoder.ServerTombstone)
	// OnRouterRemoved, if not nil, is called with each router that was removed from the list.
	OnRouterRemoved func(router string)

	mu     sync.Mutex
	list   connector.InstanceList
	config *declarer.Config
	// unreachable holds true for each peer that cannot be reached.
	unreachable map[string]bool
	// stoppingPeers holds the peers that are giving up the ownership of their backend servers.
	stoppingPeers map[string]bool
	tombstones    map[tombstone]bool
	// stopping reports whether this router is giving up the ownership of its backend servers.
	stopping       bool
	storeContactAt time.Time
	peerContactAt  time.Time
	peerAddresses  map[string]string
}

// SetList sets the platform's instance list. A list that is not newer than the current one is ignored.
func (t *Tracker) SetList(list connector.InstanceList) {
	t.mu.Lock()
	if list.Version <= t.list.Version {
		t.mu.Unlock()
		return
	}
	t.list = list
	t.pruneTombstones()
	added := t.addListedTombstones()
	removed := t.updatePeers()
	peers := t.peerAddresses
	t.mu.Unlock()
	if t.OnPeers != nil {
		t.OnPeers(maps.Clone(peers))
	}
	for _, router := range removed {
		if t.OnRouterRemoved != nil {
			t.OnRouterRemoved(router)
		}
	}
	if len(added) > 0 && t.OnTombstones != nil {
		t.OnTombstones(added)
	}
	t.publishView()
}

// addListedTombstones adds a tombstone for each backend server that is leaving according to the
// list, and returns the new ones.
func (t *Tracker) addListedTombstones() []encoder.ServerTombstone {
	var added []encoder.ServerTombstone
	for _, instance := range t.list.Instances {
		if instance.Role != connector.RoleBackendServer || instance.State != connector.StateLeaving {
			continue
		}
		record := encoder.ServerTombstone{Server: placer.ID(instance.Name), Incarnation: instance.Incarnation}
		if t.addTombstone(record) {
			added = append(added, record)
		}
	}
	return added
}

// pruneTombstones deletes the tombstones of servers that the list shows with a newer incarnation,
// which bounds the number of tombstones.
func (t *Tracker) pruneTombstones() {
	current := map[uint32]uint64{}
	for _, instance := range t.list.Instances {
		if instance.Role == connector.RoleBackendServer {
			current[placer.ID(instance.Name)] = instance.Incarnation
		}
	}
	for key := range t.tombstones {
		if incarnation, listed := current[key.server]; listed && incarnation > key.incarnation {
			delete(t.tombstones, key)
		}
	}
}

// addTombstone adds a tombstone and reports whether it is new.
func (t *Tracker) addTombstone(record encoder.ServerTombstone) bool {
	key := tombstone{server: record.Server, incarnation: record.Incarnation}
	if t.tombstones[key] {
		return false
	}
	if t.tombstones == nil {
		t.tombstones = map[tombstone]bool{}
	}
	t.tombstones[key] = true
	return true
}

// updatePeers sets the peers to the routers in the list and returns the peers that were removed.
func (t *Tracker) updatePeers() []string {
	peers := map[string]string{}
	for _, instance := range t.list.Instances {
		if instance.Role == connector.RoleRouter && instance.Name != t.Name {
			peers[instance.Name] = instance.Address
		}
	}
	var removed []string
	for name := range t.peerAddresses {
		if _, listed := peers[name]; !listed {
			removed = append(removed, name)
			delete(t.unreachable, name)
			delete(t.stoppingPeers, name)
		}
	}
	t.peerAddresses = peers
	slices.Sort(removed)
	return removed
}

// AddTombstones adds tombstones received from a peer.
func (t *Tracker) AddTombstones(records []encoder.ServerTombstone) {
	t.mu.Lock()
	var added []encoder.ServerTombstone
	for _, record := range records {
		if t.addTombstone(record) {
			added = append(added, record)
		}
	}
	t.mu.Unlock()
	if len(added) == 0 {
		return
	}
	if t.OnTombstones != nil {
		t.OnTombstones(added)
	}
	t.publishView()
}

// MarkLeaving records that an incarnation of a backend server has said itself that it is shutting down.
func (t *Tracker) MarkLeaving(server string, incarnation uint64) {
	t.AddTombstones([]encoder.ServerTombstone{{Server: placer.ID(server), Incarnation: incarnation}})
}

// Incarnation returns the listed incarnation of a backend server, 0 if it is not listed.
func (t *Tracker) Incarnation(server string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, instance := range t.list.Instances {
		if instance.Role == connector.RoleBackendServer && instance.Name == server {
			return instance.Incarnation
		}
	}
	return 0
}

// Tombstones returns all tombstones. They are sent to a peer that was disconnected and may have
// missed some.
func (t *Tracker) Tombstones() []encoder.ServerTombstone {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []encoder.ServerTombstone
	for key := range t.tombstones {
		records = append(records, encoder.ServerTombstone{Server: key.server, Incarnation: key.incarnation})
	}
	return records
}

// SetConfig sets the configuration.
func (t *Tracker) SetConfig(c *declarer.Config) {
	t.mu.Lock()
	t.config = c
	t.mu.Unlock()
	t.publishView()
}

// SetPeerReachable records whether a peer is reachable.
func (t *Tracker) SetPeerReachable(peer string, reachable bool) {
	t.mu.Lock()
	if t.unreachable == nil {
		t.unreachable = map[string]bool{}
	}
	wasUnreachable := t.unreachable[peer]
	t.unreachable[peer] = !reachable
	if reachable {
		t.peerContactAt = time.Now()
		// The peer may have restarted, and the new process is not stopping.
		delete(t.stoppingPeers, peer)
	}
	t.mu.Unlock()
	if wasUnreachable == reachable {
		t.publishView()
	}
}

// SetPeerStopping records that a peer is giving up the ownership of its backend servers.
func (t *Tracker) SetPeerStopping(peer string) {
	t.mu.Lock()
	if t.stoppingPeers == nil {
		t.stoppingPeers = map[string]bool{}
	}
	wasStopping := t.stoppingPeers[peer]
	t.stoppingPeers[peer] = true
	t.mu.Unlock()
	if !wasStopping {
		t.publishView()
	}
}

// SetStopping makes this router give up the ownership of its backend servers.
func (t *Tracker) SetStopping() {
	t.mu.Lock()
	t.stopping = true
	t.mu.Unlock()
	t.publishView()
}

// RecordStoreContact records that the store responded.
func (t *Tracker) RecordStoreContact() {
	t.mu.Lock()
	t.storeContactAt = time.Now()
	t.mu.Unlock()
}

// RecordPeerContact records that a message of a peer was received.
func (t *Tracker) RecordPeerContact() {
	t.mu.Lock()
	t.peerContactAt = time.Now()
	t.mu.Unlock()
}

// HasList reports whether the platform's instance list was read.
func (t *Tracker) HasList() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list.Version > 0
}

// IsConfigCurrent reports whether the configuration can be assumed to be current: there was contact
// with the store or a peer within maxContactAge, or the list has no peers.
func (t *Tracker) IsConfigCurrent(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.storeContactAt) < maxContactAge || now.Sub(t.peerContactAt) < maxContactAge {
		return true
	}
	return len(t.peerAddresses) == 0 && t.list.Version > 0
}

// publishView computes the view and calls OnView. It holds the lock during the call so that views
// are delivered in order.
func (t *Tracker) publishView() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.config == nil || t.list.Version == 0 || t.OnView == nil {
		// Without the list, this router would consider itself the only router and the owner of
		// every backend server.
		return
	}
	t.OnView(scheduler.View{Routers: t.routers(), Servers: t.servers(), Weight: workspaceWeights(t.config)})
}

// workspaceWeights returns a function that returns the weight of a workspace, or 1 if it is not in
// the configuration.
func workspaceWeights(config *declarer.Config) func(uint32) float64 {
	return func(id uint32) float64 {
		if workspace := config.WorkspaceByID(id); workspace != nil {
			return workspace.Weight
		}
		return 1
	}
}

// routers returns the routers that can own backend servers.
func (t *Tracker) routers() []placer.Router {
	var routers []placer.Router
	if !t.stopping {
		routers = append(routers, placer.Router{Name: t.Name, AvailabilityZone: t.AvailabilityZone})
	}
	for _, instance := range t.list.Instances {
		if instance.Role != connector.RoleRouter || instance.Name == t.Name || instance.State != connector.StateLive {
			continue
		}
		if t.unreachable[instance.Name] || t.stoppingPeers[instance.Name] {
			continue
		}
		routers = append(routers, placer.Router{Name: instance.Name, AvailabilityZone: instance.AvailabilityZone})
	}
	return routers
}

// servers returns the backend servers of the configuration. A server that is not in the list is
// considered live, since the list is updated with a delay.
func (t *Tracker) servers() []scheduler.Server {
	listed := map[string]connector.Instance{}
	for _, instance := range t.list.Instances {
		if instance.Role == connector.RoleBackendServer {
			listed[instance.Name] = instance
		}
	}
	var servers []scheduler.Server
	for _, name := range slices.Sorted(maps.Keys(t.config.BackendServers)) {
		declared := t.config.BackendServers[name]
		instance := listed[name]
		servers = append(servers, scheduler.Server{
			Name: name, Pool: placer.ID(declared.Pool), AvailabilityZone: declared.AvailabilityZone,
			Slots: declared.Slots, BurstSlots: declared.BurstSlots,
			Leaving: t.tombstones[tombstone{server: placer.ID(name), incarnation: instance.Incarnation}],
		})
	}
	return servers
}

// State is a snapshot of the tracker for operators.
type State struct {
	ListVersion      uint64            `json:"list-version"`
	Peers            map[string]string `json:"peers"`
	UnreachablePeers []string          `json:"unreachable"`
	StoppingPeers    []string          `json:"giving-up-ownership"`
	LeavingServers   []string          `json:"leaving-backend-servers"`
}

// Dump returns the current state.
func (t *Tracker) Dump() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := State{ListVersion: t.list.Version, Peers: maps.Clone(t.peerAddresses)}
	for name, unreachable := range t.unreachable {
		if unreachable {
			state.UnreachablePeers = append(state.UnreachablePeers, name)
		}
	}
	for name := range t.stoppingPeers {
		state.StoppingPeers = append(state.StoppingPeers, name)
	}
	if t.config != nil {
		for _, server := range t.servers() {
			if server.Leaving {
				state.LeavingServers = append(state.LeavingServers, server.Name)
			}
		}
	}
	slices.Sort(state.UnreachablePeers)
	slices.Sort(state.StoppingPeers)
	return state
}
