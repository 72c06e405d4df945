package watcher

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxEvacuationRows limits the rows of the configuration's table that evacuate a zone and are remembered.
const maxEvacuationRows = 4096

// applyEvacuations passes on the zones that the table of the configuration evacuates after a batch. Only the goroutine that
// follows the configuration calls it, with batches that continue where the one before ended.
func (w *Watcher) applyEvacuations(b batch) {
	if w.EvacuatedZone == nil || w.OnEvacuations == nil {
		return
	}
	if b.fullTable || w.storedZones == nil {
		w.storedZones = map[string]bool{}
	}
	ignored := 0
	for _, r := range slices.SortedStableFunc(slices.Values(b.rows), func(a, b Row) int { return cmp.Compare(a.Version, b.Version) }) {
		zone, ok := w.EvacuatedZone(r.Key)
		switch {
		case !ok:
		case r.Deleted:
			delete(w.storedZones, zone)
		case len(w.storedZones) < maxEvacuationRows || w.storedZones[zone]:
			// Whatever the value is, the row evacuates the zone.
			w.storedZones[zone] = true
		default:
			ignored++
		}
	}
	if ignored > 0 {
		w.Log("evacuations-ignored", "rows", ignored, "limit", maxEvacuationRows)
	}
	w.OnEvacuations(slices.Sorted(maps.Keys(w.storedZones)), b.position, b.requestedAt)
}

// knownAge returns the time since all that a table tells was last confirmed. A peer of an earlier release confirms the
// configuration, but knows no evacuations.
func (w *Watcher) knownAge(state *tableState) (time.Duration, bool) {
	age, ok := w.confirmationAge(state)
	if state != &w.configState || w.EvacuationsAge == nil {
		return age, ok
	}
	evacuationsAge, known := w.EvacuationsAge()
	return max(age, evacuationsAge), ok && known
}

// isEvacuated reports whether the servers of a zone get no requests.
func (w *Watcher) isEvacuated(zone string) bool { return w.Evacuated != nil && w.Evacuated(zone) }

// RefreshServers updates the server set after evacuations have begun or ended.
func (w *Watcher) RefreshServers() {
	w.serversMu.Lock()
	defer w.serversMu.Unlock()
	if w.serverSet.Load() != nil {
		w.publishServers()
	}
}

// AcceptPeerEra processes the era of a peer's data. It returns false if this router already knows of a later one.
func (w *Watcher) AcceptPeerEra(era uint64) bool { return w.acceptPeerEra(era) }
