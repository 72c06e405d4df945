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
		w.entries, w.removed = map[string]*cataloger.Server{}, map[string]removedServer{}
		w.lapsedUntil, w.doubtedUntil = map[string]time.Duration{}, map[string]time.Duration{}
	}
	now := w.Now()
	b.restored = b.fullTable && w.rows != nil && b.position.Era > w.historySince.Era
	if b.confirmationAge > outageThreshold || b.restored || w.contactSince.Load() == 0 {
		w.contactSince.Store(int64(b.requestedAt))
	}
	if !b.fullTable {
		// Peers may already have sent newer rows, or the full table was read since.
		b.rows = slices.DeleteFunc(slices.Clone(b.rows), func(r Row) bool {
			return r.Version < w.rows[r.Key].Version || w.historySince.Version > 0 && r.Version <= w.historySince.Version
		})
	}
	listed := map[string]bool{}
	for _, r := range b.rows {
		listed[r.Key] = true
		if w.isDoubted(r, b, now) {
			continue
		}
		delete(w.doubtedUntil, r.Key)
		w.applyRow(r, b, now)
	}
	if b.fullTable {
		maps.DeleteFunc(w.doubtedUntil, func(id string, _ time.Duration) bool { return !listed[id] })
		for id := range w.entries {
			if !listed[id] {
				w.handleMissingEntry(id, b, now)
			}
		}
	}
	w.cacheRows(b)
	w.expireLapsed(now)
	if b.fullTable {
		w.serversState.applied.store(b.position)
	}
	w.serversState.applied.advance(Position{Era: b.position.Era, Version: newestVersion(b.rows)})
	w.publishServers()
}

// isDoubted reports whether a row is ignored for now: the store was restored from a copy, and the row is that of a
// server that has gone since the copy was made, or that has started again.
func (w *Watcher) isDoubted(r Row, b batch, now time.Duration) bool {
	if !b.restored {
		_, doubted := w.doubtedUntil[r.Key]
		return doubted && r.Version == w.rows[r.Key].Version && !r.Deleted
	}
	s, err := w.DecodeServer(r)
	if err != nil {
		// applyRow logs it.
		return false
	}
	last := w.entries[s.ID]
	if last == nil {
		removed, ok := w.removed[s.ID]
		if ok && removed.SameIncarnation(s) && r.Version <= removed.position.Version {
			w.doubt(s, "gone before the store was restored", now)
			return true
		}
		last = removed.Server
	}
	if last == nil || s.StartedUnixMilli >= last.StartedUnixMilli {
		return false
	}
	w.doubt(s, "started again before the store was restored", now)
	return true
}

func (w *Watcher) doubt(s *cataloger.Server, reason string, now time.Duration) {
	w.doubtedUntil[s.ID] = now + copiedEntryGracePeriod
	w.Log("server-doubted", "server", s.ID, "address", s.Address, "born", s.StartedUnixMilli, "why", reason)
}

// expireLapsed ends the grace periods that are over: lapsed entries are removed, and doubted ones are used. It reports whether
// there were any.
func (w *Watcher) expireLapsed(now time.Duration) bool {
	changed := false
	for id, till := range w.lapsedUntil {
		if now > till {
			w.removeEntry(id, "did not return after the store did")
			changed = true
		}
	}
	for id, till := range w.doubtedUntil {
		if now > till {
			delete(w.doubtedUntil, id)
			w.applyRow(w.rows[id], batch{}, now)
			changed = true
		}
	}
	return changed
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
	if removed, ok := w.removed[s.ID]; ok && removed.Draining && removed.SameIncarnation(s) {
		return
	}
	if old == nil || !old.SameIncarnation(s) || old.Draining != s.Draining || old.Service != s.Service {
		w.Log("server", "server", s.ID, "service", s.Service, "address", s.Address,
			"zone", s.AvailabilityZone, "leaving", s.Draining, "born", s.StartedUnixMilli)
	}
	w.entries[s.ID] = s
}

// handleMissingEntry removes an entry that is no longer listed. If the store was
// unavailable or restored, the entry lapses first, unless its server was draining.
func (w *Watcher) handleMissingEntry(id string, b batch, now time.Duration) {
	s := w.entries[id]
	if s == nil {
		return
	}
	if _, lapsed := w.lapsedUntil[id]; lapsed {
		return
	}
	if (b.confirmationAge > outageThreshold || b.restored) && !s.Draining {
		w.lapsedUntil[id] = now + lapsedGracePeriod
		w.Log("server-lapsed", "server", id, "away-ms", b.confirmationAge.Milliseconds(), "restored", b.restored)
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
	w.remember(s)
	delete(w.entries, id)
	w.Log("server-gone", "server", id, "address", s.Address, "why", reason)
}

// remember records a server whose entry is removed.
func (w *Watcher) remember(s *cataloger.Server) {
	now := w.Now()
	maps.DeleteFunc(w.removed, func(_ string, r removedServer) bool { return now-r.removedAt > removedTTL })
	if len(w.removed) >= maxRemovedServers {
		oldest := ""
		for id, r := range w.removed {
			if oldest == "" || r.removedAt < w.removed[oldest].removedAt {
				oldest = id
			}
		}
		delete(w.removed, oldest)
	}
	w.removed[s.ID] = removedServer{Server: s, removedAt: now, position: w.serversState.applied.load()}
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
	if len(w.lapsedUntil) == 0 && len(w.doubtedUntil) == 0 {
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
		Evacuated: map[string]int{},
	}
	for id, s := range w.entries {
		set.ByID[id] = s
		switch {
		case s.Draining:
		case w.isEvacuated(s.AvailabilityZone):
			set.Evacuated[s.Service]++
		default:
			set.ByService[s.Service] = append(set.ByService[s.Service], s)
		}
	}
	if w.BeforeServers != nil {
		w.BeforeServers(set)
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
