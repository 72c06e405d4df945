package conductor

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/allocator"
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/messenger"
	"papayapaddle/internal/pacer"
	"papayapaddle/internal/placer"
	"papayapaddle/internal/relayer"
	"papayapaddle/internal/timer"
	"papayapaddle/internal/watcher"
)

const (
	// unseenRestart is how long after its end a server may start again without the routers seeing it: its entry lapses
	// after three heartbeats.
	unseenRestart = 3600 * time.Millisecond
)

// coldState is what a router knows of cold servers, and which of them it may let requests start at.
type coldState struct {
	servers pacer.ColdServers
	// hadTraffic is set with the first request.
	hadTraffic atomic.Bool
	// share holds the bits of the share of the fleet that this router reaches.
	share atomic.Uint64
	// observed are the changes that the last list of servers has shown. Only the callbacks of the watcher use it, which
	// are never called at the same time.
	observed []pacer.ColdChange

	mu     sync.Mutex
	tenure pacer.Tenure
	// logged are the servers whose cold periods were logged, and have not ended.
	logged map[string]bool
	// owned are the servers that this router owns among those that may become cold, as they follow from candidates and
	// servers.
	owned      []string
	candidates []placer.Router
	ownedOf    *watcher.ServerSet
	catalog    *cataloger.Catalog
}

// coldService returns the service of a server if servers of it may be cold. A server that is not listed may be of any
// service; limited is then true if there is such a service.
func (n *node) coldService(server string) (service *cataloger.Service, limited bool) {
	catalog, set := n.watcher.Catalog(), n.watcher.ServerSet()
	if catalog == nil {
		return nil, false
	}
	if set != nil && set.ByID[server] != nil {
		service = catalog.Services[set.ByID[server].Service]
		return service, service != nil && service.ColdPerSecond > 0
	}
	for _, s := range catalog.Services {
		limited = limited || s.ColdPerSecond > 0
	}
	return nil, limited
}

// coldPhase returns the phase of a server, and how long ago its cold period ended if it is warming. Model servers have no
// warming phase, since their admitters let no more requests start than an engine can prefill in time.
func (n *node) coldPhase(server string) (pacer.Phase, time.Duration) {
	if n.cold.servers.Empty() {
		return pacer.Warm, 0
	}
	service, limited := n.coldService(server)
	if !limited {
		return pacer.Warm, 0
	}
	phase, since := n.cold.servers.Phase(timer.SinceBoot(), server)
	if phase == pacer.Warming && (service == nil || service.Engine != nil) {
		return pacer.Warm, 0
	}
	return phase, since
}

// isCold reports whether a server is cold, so that each request to it needs a grant of its owner.
func (n *node) isCold(server string) bool {
	phase, _ := n.coldPhase(server)
	return phase == pacer.Cold
}

// isColdOrWarming reports whether a server is cold or was a moment ago.
func (n *node) isColdOrWarming(server string) bool {
	phase, _ := n.coldPhase(server)
	return phase != pacer.Warm
}

// ownedCold returns what this router may start on a server. It may start nothing on a cold server that another router may
// own. Each side of a partition takes the share of its routers.
func (n *node) ownedCold(server string) admitter.ColdLimit {
	phase, since := n.coldPhase(server)
	if phase == pacer.Warm {
		return admitter.ColdLimit{}
	}
	service, _ := n.coldService(server)
	if service == nil {
		// It is not listed here.
		return admitter.ColdLimit{Phase: phase}
	}
	rule := pacer.ColdRule{Overage: n.settings.Bounds.ColdOverage, Tolerance: n.settings.Bounds.ColdTolerance}
	perSecond := rule.Rate(service.ColdPerSecond) * math.Float64frombits(n.cold.share.Load())
	switch {
	case phase == pacer.Warming:
		return admitter.ColdLimit{Phase: phase, PerSecond: pacer.WarmingRate(perSecond, since)}
	case !n.ownsCold(server):
		return admitter.ColdLimit{Phase: phase}
	}
	return admitter.ColdLimit{Phase: phase, PerSecond: perSecond}
}

// ownsCold reports whether this router has been the owner of a server for long enough to let requests start there while
// it is cold.
func (n *node) ownsCold(server string) bool {
	set := n.watcher.ServerSet()
	if set == nil || set.ByID[server] == nil {
		return false
	}
	n.cold.mu.Lock()
	defer n.cold.mu.Unlock()
	if !n.isOwner(set.ByID[server]) {
		n.cold.tenure.Lose(server)
		return false
	}
	return n.cold.tenure.MayGrant(timer.SinceBoot(), server)
}

func (n *node) isOwner(s *cataloger.Server) bool {
	owners := n.membership.Owners(s.ID, s.AvailabilityZone, 1)
	return len(owners) > 0 && owners[0].Name == n.self.Name
}

// tickCold updates since when this router is the owner of servers, and reports the servers that are warm.
func (n *node) tickCold() {
	n.updateTenure()
	for _, id := range n.cold.servers.Tick(timer.SinceBoot()) {
		n.cold.mu.Lock()
		logged := n.cold.logged[id]
		delete(n.cold.logged, id)
		n.cold.mu.Unlock()
		if logged {
			n.metrics.increment("servers-warm")
			n.log("server-warm", "server", id)
		}
	}
}

func (n *node) updateTenure() {
	catalog, set, candidates := n.watcher.Catalog(), n.watcher.ServerSet(), n.membership.OwnerCandidates()
	n.cold.mu.Lock()
	defer n.cold.mu.Unlock()
	if set != n.cold.ownedOf || catalog != n.cold.catalog || !slices.Equal(candidates, n.cold.candidates) {
		n.cold.ownedOf, n.cold.catalog, n.cold.candidates, n.cold.owned = set, catalog, candidates, nil
		isCandidate := slices.ContainsFunc(candidates, func(r placer.Router) bool { return r.Name == n.self.Name })
		if set != nil && catalog != nil && isCandidate {
			for id, s := range set.ByID {
				if service := catalog.Services[s.Service]; service != nil && service.ColdPerSecond > 0 && n.isOwner(s) {
					n.cold.owned = append(n.cold.owned, id)
				}
			}
		}
	}
	if len(n.cold.owned) == 0 {
		n.cold.tenure.Update(timer.SinceBoot(), nil, 0, false)
		return
	}
	share := n.membership.ReachableShare()
	n.cold.share.Store(math.Float64bits(share))
	n.cold.tenure.Update(timer.SinceBoot(), n.cold.owned, share, n.routersListedAt.Load() > 0)
}

// observeColdServers learns from the entries of servers which of them are cold, before requests can be sent to them.
func (n *node) observeColdServers(set *watcher.ServerSet) {
	catalog := n.watcher.Catalog()
	listed := make([]pacer.ListedServer, 0, len(set.ByID))
	for _, s := range set.ByID {
		l := pacer.ListedServer{ID: s.ID, StartedUnixMilli: s.StartedUnixMilli, Entry: s.Entry, Remaining: s.ColdRemaining}
		if catalog != nil && catalog.Services[s.Service] != nil && catalog.Services[s.Service].ColdPerSecond > 0 {
			l.ColdStart = catalog.Services[s.Service].ColdStart
		}
		listed = append(listed, l)
	}
	n.cold.observed = n.cold.servers.Observe(timer.SinceBoot(), time.Now(), listed, n.cold.hadTraffic.Load())
}

// logObservedCold logs what observeColdServers has found, once the servers are listed.
func (n *node) logObservedCold() {
	n.logCold(n.cold.observed)
	n.cold.observed = nil
}

// recordCold learns from a response of a server that it is cold.
func (n *node) recordCold(s *cataloger.Server, info relayer.ResponseInfo) {
	if info.InvalidCold != "" {
		n.log("server-cold-unreadable", "server", s.ID, "value", info.InvalidCold[:min(len(info.InvalidCold), maxLoggedValue)])
	}
	n.logCold(n.cold.servers.Record(timer.SinceBoot(), pacer.ColdResponse, s.ID, s.StartedUnixMilli, info.ColdRemaining))
}

// beginCold makes a server cold that starts, as far as this router knows, within a time from now.
func (n *node) beginCold(s *cataloger.Server, cause pacer.ColdCause, within time.Duration) {
	if service, limited := n.coldService(s.ID); limited && service != nil && service.ColdStart > 0 {
		d := service.ColdStart + within
		n.logCold(n.cold.servers.Record(timer.SinceBoot(), cause, s.ID, s.StartedUnixMilli, d))
	}
}

// beginColdInZone makes the servers of a zone cold whose evacuation has ended. Their entries may say so only later. Each
// router learns of the end by itself, and one that learns of it late must not make the others start the period again, so
// that peers are told only if the end is recent.
func (n *node) beginColdInZone(zone string, recent bool) {
	set := n.watcher.ServerSet()
	if set == nil {
		return
	}
	record := n.cold.servers.RecordLocally
	if recent {
		record = n.cold.servers.Record
	}
	for _, s := range set.ByID {
		if s.AvailabilityZone != zone {
			continue
		}
		if service, _ := n.coldService(s.ID); service != nil && service.ColdPerSecond > 0 {
			n.logCold(record(timer.SinceBoot(), pacer.ColdEvacuation, s.ID, s.StartedUnixMilli, service.ColdStart))
		}
	}
}

// applyColdNews applies what a peer knows of cold servers.
func (n *node) applyColdNews(peer string, news []pacer.ColdNews) {
	n.logCold(n.cold.servers.ApplyNews(timer.SinceBoot(), news), "peer", peer)
}

// logCold logs the servers that became cold. That a period is longer than was known is not worth a line.
func (n *node) logCold(changes []pacer.ColdChange, source ...any) {
	for _, c := range changes {
		if _, limited := n.coldService(c.Server); !limited || !c.Began {
			continue
		}
		n.cold.mu.Lock()
		if n.cold.logged == nil {
			n.cold.logged = map[string]bool{}
		}
		n.cold.logged[c.Server] = true
		n.cold.mu.Unlock()
		n.metrics.increment("servers-cold-seen")
		n.log("server-cold", append([]any{"server", c.Server, "cause", c.Cause, "for-ms", c.Remaining.Milliseconds()}, source...)...)
	}
}

// coldNews returns the cold period of a server for the owner that is asked about it.
func (n *node) coldNews(server string) []pacer.ColdNews {
	if !n.isCold(server) {
		return nil
	}
	return n.cold.servers.Of(timer.SinceBoot(), server)
}

// fillColdGossip adds to a gossip message what its receiver does not know of cold servers.
func (n *node) fillColdGossip(peer string, out *messenger.Gossip) {
	acked, seen := n.membership.ColdExchanged(peer)
	out.Cold, out.ColdSeen = n.cold.servers.ForPeer(timer.SinceBoot(), acked), seen
}

// mayUseGrant reports whether a request may be sent to a server with a grant. A cold server gets none without one, nor one
// that was granted too long ago or before the server was known to be cold.
func (n *node) mayUseGrant(s *cataloger.Server, g allocator.Grant) bool {
	// Its owner may know that it is cold before this router does.
	return !g.Cold && !n.isCold(s.ID) || g.Fresh(timer.SinceBoot())
}

// withGrant makes an assignment subject to a grant until its request is written.
func (n *node) withGrant(a *relayer.Assignment, g allocator.Grant) *relayer.Assignment {
	a.MaySend = func() bool {
		if n.mayUseGrant(a.Server, g) {
			return true
		}
		n.metrics.increment("cold-grants-unused")
		return false
	}
	return a
}

// coldMillis returns how many milliseconds longer servers stay cold, by ID, for the state dump.
func (n *node) coldMillis() map[string]int64 {
	out := map[string]int64{}
	for id, left := range n.cold.servers.Remaining(timer.SinceBoot()) {
		if n.isCold(id) {
			out[id] = left.Milliseconds()
		}
	}
	return out
}
