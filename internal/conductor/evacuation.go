package conductor

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/evacuator"
	"papayapaddle/internal/messenger"
	"papayapaddle/internal/relayer"
	"papayapaddle/internal/timer"
	"papayapaddle/internal/watcher"
)

const (
	// evacuationCheckInterval is the interval in which requests that still run in evacuated zones are logged.
	evacuationCheckInterval = time.Second
	// reasonServersEvacuated: all servers of a service that are not shutting down are in evacuated zones.
	reasonServersEvacuated = "servers-evacuated"
	// sourceStore is the source of evacuations in the log that this router has read itself.
	sourceStore = "store"
	// metricRequestsMoved counts the requests that had a server in a zone when its evacuation took effect, or waited for one,
	// and were not sent there.
	metricRequestsMoved = "evacuation-requests-moved"
)

// zoneCounter counts running requests by the availability zone of their server. The zero value is ready to use.
type zoneCounter struct {
	mu      sync.Mutex
	running map[string]int
}

func (z *zoneCounter) add(zone string, n int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.running == nil {
		z.running = map[string]int{}
	}
	if z.running[zone] += n; z.running[zone] == 0 {
		delete(z.running, zone)
	}
}

func (z *zoneCounter) count(zone string) int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.running[zone]
}

// countRunning counts an assignment as a request that runs in the zone of its server until it is released.
func (n *node) countRunning(a *relayer.Assignment) *relayer.Assignment {
	zone, release := a.Server.AvailabilityZone, a.Release
	n.runningByZone.add(zone, 1)
	a.Release = func(result relayer.AttemptResult) {
		n.runningByZone.add(zone, -1)
		release(result)
	}
	return a
}

// outsideEvacuatedZones reports whether a server may get requests, health requests included, as far as the evacuation of zones
// is concerned.
func (n *node) outsideEvacuatedZones(s *cataloger.Server) bool {
	return !n.evacuations.Evacuated(s.AvailabilityZone)
}

// isServerEvacuated reports whether a server that this router owns is in an evacuated zone. Before this router knows the zones,
// the routers that ask for the server decide.
func (n *node) isServerEvacuated(id string) bool {
	set := n.watcher.ServerSet()
	if set == nil || set.ByID[id] == nil {
		return false
	}
	return n.evacuations.Listed(set.ByID[id].AvailabilityZone)
}

// countMoved records that a request was kept from a server of an evacuated zone.
func (n *node) countMoved(string) { n.metrics.increment(metricRequestsMoved) }

// evacuatedRefusal returns the refusal of a call if all servers of its service are in evacuated zones, or nil.
func (n *node) evacuatedRefusal(set *watcher.ServerSet, c *relayer.Call) *relayer.Refusal {
	if set == nil || len(set.ByService[c.Service.Name]) > 0 || set.Evacuated[c.Service.Name] == 0 {
		return nil
	}
	return &relayer.Refusal{Reason: reasonServersEvacuated, RetryAfter: noServerRetryAfter}
}

// evacuations keeps the evacuated zones in step with the store and the peers.
type evacuations struct {
	evacuator.Evacuator
	// now reads the boot clock.
	now     func() time.Duration
	watcher *watcher.Watcher
	log     func(event string, keyvals ...any)
	// onChange lets evacuations that begin or end take effect. The fields for the log name their source.
	onChange func(changes []evacuator.Change, logFields ...any)
	// tell sends gossip at once to routers that may not know a change yet, which this router has learned from a peer, or from
	// the store if the name is empty.
	tell func(source string)
}

// known reports whether this router has learned of the evacuated zones. Before, it sends no requests.
func (e *evacuations) known() bool {
	_, known := e.Set()
	return known
}

// age returns the time since the evacuations were last confirmed to be the newest.
func (e *evacuations) age() (time.Duration, bool) { return e.Age(e.now()) }

// applyStore processes the evacuated zones that the store held at a position.
func (e *evacuations) applyStore(zones []string, at watcher.Position, requestedAt time.Duration) {
	e.apply(evacuator.Set{Position: at, Zones: zones}, "", e.now()-requestedAt)
	e.Confirm(requestedAt)
}

// applyPeer processes the evacuated zones of a gossip message. They hold however long the message was on its way, since a
// later set stays in force.
func (e *evacuations) applyPeer(peer string, in *messenger.Evacuations) {
	if in.Known && e.watcher.AcceptPeerEra(in.Era) {
		e.apply(evacuator.Set{Position: in.Position(), Zones: in.Zones}, peer, in.Ago)
	}
}

// confirm processes the confirmation in a peer's answer to a message that was sent at a time. The zones in it must have been
// applied before.
func (e *evacuations) confirm(in *messenger.Evacuations, sentAt time.Duration) {
	if in.Known && in.Ago >= 0 && e.watcher.AcceptPeerEra(in.Era) {
		e.Confirm(sentAt - in.Ago)
	}
}

// forPeer returns the evacuated zones for a gossip message. The age must be read before the set: one that was read for an earlier
// set also holds for a later one. The age of the configuration must have been read before both, so that a peer that takes it
// over misses no evacuation that was known then.
func (e *evacuations) forPeer() messenger.Evacuations {
	age, confirmed := e.age()
	if !confirmed {
		age = -1
	}
	set, known := e.Set()
	return messenger.Evacuations{Known: known, Era: set.Position.Era, Version: set.Position.Version, Zones: set.Zones, Ago: age}
}

// apply puts a set in force if it is later than the present one. peer is its sender, empty if this router has read it.
func (e *evacuations) apply(s evacuator.Set, peer string, age time.Duration) {
	result := e.Apply(e.now(), s, peer == "")
	if result.Ignored > 0 && (result.First || len(result.Changes) > 0) {
		e.log("evacuations-ignored", "zones", result.Ignored, "limit", evacuator.MaxZones, "position", s.Position)
	}
	source := sourceStore
	if peer != "" {
		source = peer
	}
	if result.First || len(result.Changes) > 0 {
		e.onChange(result.Changes, "from", source, "position", s.Position, "age-ms", age.Milliseconds())
	}
	if len(result.Changes) > 0 {
		e.tell(peer)
	}
}

// tick ends evacuations of an earlier era of the store that were not written again.
func (e *evacuations) tick() {
	if changes := e.Tick(e.now()); len(changes) > 0 {
		e.onChange(changes, "from", sourceStore, "why", "not written again after a restore")
	}
}

// handleEvacuationChanges lets begun and ended evacuations take effect and logs them.
func (n *node) handleEvacuationChanges(changes []evacuator.Change, logFields ...any) {
	for _, c := range changes {
		if !c.Began {
			n.beginColdInZone(c.Zone, c.Recent)
		}
	}
	n.watcher.RefreshServers()
	// Requests that wait for servers of these zones are refused, so that they go elsewhere.
	n.allocator.HandleEvacuations()
	for _, c := range changes {
		if c.Began {
			n.metrics.increment("evacuations-begun")
			n.log("evacuation-begun", append([]any{"zone", c.Zone, "running", n.runningByZone.count(c.Zone)}, logFields...)...)
			continue
		}
		n.metrics.increment("evacuations-ended")
		n.log("evacuation-ended", append([]any{
			"zone", c.Zone, "running", n.runningByZone.count(c.Zone), "after-ms", c.After.Milliseconds()}, logFields...)...)
	}
}

// tellNeighbors sends gossip at once to the routers that may not know a change of the evacuations yet. What is lost follows with
// the next regular exchange.
func (n *node) tellNeighbors(source string) {
	for _, peer := range n.membership.Neighbors(source) {
		go n.gossipWith(context.Background(), peer)
	}
}

// watchEvacuations logs the requests that still run in evacuated zones, and ends evacuations that a restored store lacks.
func (n *node) watchEvacuations(ctx context.Context) {
	tick := time.NewTicker(evacuationCheckInterval)
	defer tick.Stop()
	running := map[string]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := timer.SinceBoot()
		n.evacuations.tick()
		zones := n.evacuations.Zones()
		maps.DeleteFunc(running, func(zone string, _ bool) bool {
			_, evacuated := zones[zone]
			return !evacuated
		})
		for _, zone := range slices.Sorted(maps.Keys(zones)) {
			switch count := n.runningByZone.count(zone); {
			case count > 0:
				running[zone] = true
				n.log("evacuation-running", "zone", zone, "requests", count, "after-ms", (now - zones[zone]).Milliseconds())
			case running[zone]:
				delete(running, zone)
				n.log("evacuation-drained", "zone", zone, "after-ms", (now - zones[zone]).Milliseconds())
			}
		}
	}
}

// evacuationGauges returns the number of evacuated zones and of the requests that run there.
func (n *node) evacuationGauges() (zones, running int) {
	all := n.evacuations.Zones()
	for zone := range all {
		running += n.runningByZone.count(zone)
	}
	return len(all), running
}

// describeEvacuations describes the evacuated zones for a state dump.
func (n *node) describeEvacuations() map[string]string {
	out := map[string]string{}
	now := timer.SinceBoot()
	for zone, since := range n.evacuations.Zones() {
		out[zone] = fmt.Sprintf("for %v, %d requests running", (now - since).Round(time.Millisecond), n.runningByZone.count(zone))
	}
	return out
}

// givenBackReason returns why an assignment that was just made is given back, for the log.
func (n *node) givenBackReason(s *cataloger.Server) string {
	if n.evacuations.Evacuated(s.AvailabilityZone) {
		n.countMoved(s.ID)
		return "its zone is evacuated"
	}
	return "it leaves"
}
