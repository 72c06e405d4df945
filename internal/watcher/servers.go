package watcher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayapaddle/internal/cataloger"
)

// applyServers applies changes of the backend servers' entries. Entries that are missing
// after a store outage are kept for lapsedGracePeriod, since running servers write them
// again.
func (w *Watcher) applyServers(b batch) answerUse {
	w.serversMu.Lock()
	defer w.serversMu.Unlock()
	behind := b.position.Era < w.historySince.Era || b.fullTable && b.position.Compare(w.serversState.applied.load()) < 0
	if behind && b.requestedAt <= w.peerRowsAt {
		// A peer has sent later rows in the meantime.
		return answerOutdated
	}
	if behind {
		// The answer to a later request shows that no store had the peer's rows.
		w.Log("servers-wound-back", "position", b.position, "was", w.serversState.applied.load())
		w.serversState.confirmedAt.Store(0)
	}
	w.applyServersLocked(b)
	return answerConfirms
}

// applyServersLocked implements applyServers. serversMu must be held.
func (w *Watcher) applyServersLocked(b batch) {
	if w.entries == nil {
		w.entries, w.removedDraining, w.lapsedUntil = map[string]*cataloger.Server{},
			map[string]removedServer{}, map[string]time.Duration{}
	}
	now := w.Now()
	if b.confirmationAge > outageThreshold || w.contactSince.Load() == 0 {
		w.contactSince.Store(int64(b.requestedAt))
	}
	if !b.fullTable {
		// Peers may already have sent newer rows, or the full table was read since.
		b.rows = slices.DeleteFunc(slices.Clone(b.rows), func(r Row) bool {
			return r.Version < w.rows[r.Key].Version || w.historySince.Version > 0 && r.Version <= w.historySince.Version
		})
	}
	listed := map[string]bool{}
	w.cacheRows(b)
	for _, r := range b.rows {
		listed[r.Key] = true
		w.applyRow(r, b, now)
	}
	if b.fullTable {
		for id := range w.entries {
			if !listed[id] {
				w.handleMissingEntry(id, b, now)
			}
		}
	}
	w.expireLapsed(now)
	if b.fullTable {
		w.serversState.applied.store(b.position)
	}
	w.serversState.applied.advance(Position{Era: b.position.Era, Version: newestVersion(b.rows)})
	w.publishServers()
}

// expireLapsed removes the lapsed entries whose grace period has ended and reports
// whether there were any.
func (w *Watcher) expireLapsed(now time.Duration) bool {
	removed := false
	for id, till := range w.lapsedUntil {
		if now > till {
			w.removeEntry(id, "did not return after the store did")
			removed = true
		}
	}
	return removed
}

// applyRow applies one row.
func (w *Watcher) applyRow(r Row, b batch, now time.Duration) {
	if r.Deleted {
		w.handleMissingEntry(r.Key, b, now)
		return
	}
	s, err := w.DecodeServer(r)
	if err != nil {
		w.Log("server-unreadable", "server", r.Key, "err", err)
		w.removeEntry(r.Key, "its entry cannot be read")
		return
	}
	delete(w.lapsedUntil, s.ID)
	old := w.entries[s.ID]
	if old != nil && old.SameIncarnation(s) && old.Draining && !s.Draining {
		// A draining server stays so until its next incarnation.
		return
	}
	if removed, ok := w.removedDraining[s.ID]; ok && removed.SameIncarnation(s) {
		return
	}
	if old == nil || !old.SameIncarnation(s) || old.Draining != s.Draining || old.Service != s.Service {
		w.Log("server", "server", s.ID, "service", s.Service, "address", s.Address,
			"zone", s.AvailabilityZone, "leaving", s.Draining, "born", s.StartedUnixMilli)
	}
	w.entries[s.ID] = s
}

// handleMissingEntry removes an entry that is no longer listed. If the store was
// unavailable, the entry lapses first, unless its server was draining.
func (w *Watcher) handleMissingEntry(id string, b batch, now time.Duration) {
	s := w.entries[id]
	if s == nil {
		return
	}
	if b.confirmationAge > outageThreshold && !s.Draining {
		if _, ok := w.lapsedUntil[id]; !ok {
			w.lapsedUntil[id] = now + lapsedGracePeriod
			w.Log("server-lapsed", "server", id, "away-ms", b.confirmationAge.Milliseconds())
		}
		return
	}
	w.removeEntry(id, "no longer listed")
}

// removeEntry removes an entry and logs the reason.
func (w *Watcher) removeEntry(id, reason string) {
	delete(w.lapsedUntil, id)
	s := w.entries[id]
	if s == nil {
		return
	}
	if s.Draining {
		now := w.Now()
		maps.DeleteFunc(w.removedDraining, func(_ string, r removedServer) bool { return now-r.removedAt > removedTTL })
		w.removedDraining[id] = removedServer{Server: s, removedAt: now}
	}
	delete(w.entries, id)
	w.Log("server-gone", "server", id, "address", s.Address, "why", reason)
}

// StoreContact returns how long the servers' table has been confirmed current without an
// interruption.
func (w *Watcher) StoreContact() time.Duration {
	at := w.contactSince.Load()
	if at == 0 {
		return 0
	}
	return w.Now() - time.Duration(at)
}

// ApplyPeerContact processes a peer's StoreContact. A peer whose contact began clearly
// before this router regained the store shows that this router was partitioned and the
// store was available: the lapsed entries are really gone. The method is called with every
// gossip message, so that lapsed entries also expire while this router need not read the
// store. Contact with the store in another era than this router's says nothing.
func (w *Watcher) ApplyPeerContact(peer string, era uint64, contact time.Duration) {
	w.serversMu.Lock()
	defer w.serversMu.Unlock()
	if len(w.lapsedUntil) == 0 {
		return
	}
	if w.expireLapsed(w.Now()) {
		w.publishServers()
	}
	if era != w.historySince.Era || contact < w.StoreContact()+outageThreshold {
		return
	}
	for id := range w.lapsedUntil {
		w.removeEntry(id, "the store does not list the entry according to "+peer)
	}
	w.publishServers()
}

// RemoveServer removes a server because another one answers at its address.
func (w *Watcher) RemoveServer(id, reason string) {
	w.serversMu.Lock()
	defer w.serversMu.Unlock()
	if w.entries[id] == nil {
		return
	}
	w.removeEntry(id, reason)
	w.publishServers()
}

// publishServers replaces the server set that requests read.
func (w *Watcher) publishServers() {
	set := &ServerSet{
		ByService: map[string][]*cataloger.Server{},
		ByID:      make(map[string]*cataloger.Server, len(w.entries)),
	}
	for id, s := range w.entries {
		set.ByID[id] = s
		if !s.Draining {
			set.ByService[s.Service] = append(set.ByService[s.Service], s)
		}
	}
	w.serverSet.Store(set)
	if w.OnServers != nil {
		w.OnServers(set)
	}
}

// maxDeletedRows is the number of deleted rows that are kept for peers.
const maxDeletedRows = 256

// cacheRows keeps the rows of a batch for peers.
func (w *Watcher) cacheRows(b batch) {
	if w.rows == nil || b.fullTable {
		w.rows = make(map[string]Row, len(b.rows))
		// Rows that were deleted before the table was read are not known.
		w.historySince = b.position
	}
	deleted := 0
	for _, r := range b.rows {
		w.rows[r.Key] = r
	}
	for _, r := range w.rows {
		if r.Deleted {
			deleted++
		}
	}
	if deleted <= maxDeletedRows {
		return
	}
	for k, r := range w.rows {
		if r.Deleted {
			delete(w.rows, k)
			w.historySince.Version = max(w.historySince.Version, r.Version)
		}
	}
}

// ServerRows returns the entries that changed after a position, or all entries and full if
// deletions since that position are no longer known or if it is of another era.
func (w *Watcher) ServerRows(after Position) (rows []Row, full bool) {
	w.serversMu.Lock()
	defer w.serversMu.Unlock()
	full = after.Era != w.historySince.Era || after.Version < w.historySince.Version
	for _, r := range w.rows {
		if r.Version > after.Version && !full || full && !r.Deleted {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	return rows, full
}

// ApplyPeerRows applies entries that a peer sent, whose last change was at the position
// changed. If confirmed is set, they were confirmed to be the newest at confirmedAt on
// the boot clock.
func (w *Watcher) ApplyPeerRows(
	rows []Row, full bool, changed Position, confirmedAt time.Duration, confirmed bool,
) {
	w.serversMu.Lock()
	defer w.serversMu.Unlock()
	if changed.Compare(w.serversState.applied.load()) <= 0 {
		// This router has already read the change from the store.
		return
	}
	if changed.Era != w.historySince.Era && !full {
		w.Log("servers-of-other-era", "position", changed, "known", w.historySince)
		return
	}
	if !w.acceptPeerEra(changed.Era) {
		return
	}
	b := batch{rows: rows, fullTable: full, position: changed, requestedAt: confirmedAt}
	if age, ok := w.confirmationAge(&w.serversState); ok {
		b.confirmationAge = max(0, age)
	}
	w.peerRowsAt = w.Now()
	if changed.Compare(w.historySince) > 0 {
		w.applyServersLocked(b)
	}
	w.serversState.applied.advance(changed)
	if confirmed {
		w.serversState.confirm(confirmedAt)
	}
}
