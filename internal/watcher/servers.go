package watcher

import (
	"cmp"
	"slices"
	"time"

	"papayapaddle/internal/cataloger"
)

// onServers applies changes of the servers' entries. Entries that are missing
// after the store was away are kept for a while, since live servers write them
// again.
func (w *Watcher) onServers(b batch) bool {
	w.serversMu.Lock()
	defer w.serversMu.Unlock()
	w.apply(b)
	return true
}

// apply does the same under the lock.
func (w *Watcher) apply(b batch) {
	if w.entries == nil {
		w.entries, w.left, w.lapsed = map[string]*cataloger.Server{}, map[string]*cataloger.Server{}, map[string]time.Duration{}
	}
	now := w.Now()
	if b.away > awayAfter || w.contactAt.Load() == 0 {
		w.contactAt.Store(int64(b.askedAt))
	}
	if !b.whole {
		// Peers gave later ones, or the whole table was read since.
		b.rows = slices.DeleteFunc(slices.Clone(b.rows), func(r Row) bool {
			return r.Version < w.rows[r.Key].Version || w.rowsSince > 0 && r.Version <= w.rowsSince
		})
	}
	listed := map[string]bool{}
	w.keepRows(b)
	for _, r := range b.rows {
		listed[r.Key] = true
		w.entry(r, b, now)
	}
	if b.whole {
		for id := range w.entries {
			if !listed[id] {
				w.missing(id, b, now)
			}
		}
	}
	w.expire(now)
	w.servers.reach(newest(b.rows))
	if b.whole {
		w.servers.reach(b.version)
	}
	w.publish()
}

// expire drops the lapsed entries whose time is over, and says whether any were.
func (w *Watcher) expire(now time.Duration) bool {
	dropped := false
	for id, till := range w.lapsed {
		if now > till {
			w.drop(id, "did not return after the store did")
			dropped = true
		}
	}
	return dropped
}

// entry applies one row.
func (w *Watcher) entry(r Row, b batch, now time.Duration) {
	if r.Deleted {
		w.missing(r.Key, b, now)
		return
	}
	s, err := w.DecodeServer(r)
	if err != nil {
		w.Log("server-unreadable", "server", r.Key, "err", err)
		w.drop(r.Key, "its entry cannot be read")
		return
	}
	delete(w.lapsed, s.ID)
	old := w.entries[s.ID]
	if old != nil && old.SameIncarnation(s) && old.Draining && !s.Draining {
		// Leaving is final for one incarnation.
		return
	}
	if gone := w.left[s.ID]; gone != nil && gone.SameIncarnation(s) && gone.Draining {
		return
	}
	if old == nil || !old.SameIncarnation(s) || old.Draining != s.Draining || old.Service != s.Service {
		w.Log("server", "server", s.ID, "service", s.Service, "address", s.Address, "zone", s.AvailabilityZone, "leaving", s.Draining, "born", s.StartedUnixMilli)
	}
	w.entries[s.ID] = s
}

// missing handles an entry that is no longer listed.
func (w *Watcher) missing(id string, b batch, now time.Duration) {
	s := w.entries[id]
	if s == nil {
		return
	}
	if b.away > awayAfter && !s.Draining {
		if _, ok := w.lapsed[id]; !ok {
			w.lapsed[id] = now + returnWait
			w.Log("server-lapsed", "server", id, "away-ms", b.away.Milliseconds())
		}
		return
	}
	w.drop(id, "no longer listed")
}

func (w *Watcher) drop(id, why string) {
	delete(w.lapsed, id)
	s := w.entries[id]
	if s == nil {
		return
	}
	if s.Draining {
		w.left[id] = s
	}
	delete(w.entries, id)
	w.Log("server-gone", "server", id, "address", s.Address, "why", why)
}

// Contact returns for how long the store was provably there without a break.
func (w *Watcher) Contact() time.Duration {
	at := w.contactAt.Load()
	if at == 0 {
		return 0
	}
	return w.Now() - time.Duration(at)
}

// PeerContact takes in for how long a peer had proofs of the store without a
// break. A peer that had them before this router regained the store shows that
// this router was cut off and the store not away: the entries that vanished are
// gone. The call comes with all news, so entries lapse here too while this router
// need not read the store.
func (w *Watcher) PeerContact(peer string, contact time.Duration) {
	w.serversMu.Lock()
	defer w.serversMu.Unlock()
	if len(w.lapsed) == 0 {
		return
	}
	if w.expire(w.Now()) {
		w.publish()
	}
	if contact < w.Contact()+awayAfter {
		return
	}
	for id := range w.lapsed {
		w.drop(id, "the store listed no such entry to "+peer)
	}
	w.publish()
}

// Gone drops a server whose address another one answers at.
func (w *Watcher) Gone(id, why string) {
	w.serversMu.Lock()
	defer w.serversMu.Unlock()
	if w.entries[id] == nil {
		return
	}
	w.drop(id, why)
	w.publish()
}

// publish replaces the fleet that requests see.
func (w *Watcher) publish() {
	f := &Fleet{ByService: map[string][]*cataloger.Server{}, ByID: make(map[string]*cataloger.Server, len(w.entries))}
	for id, s := range w.entries {
		f.ByID[id] = s
		if !s.Draining {
			f.ByService[s.Service] = append(f.ByService[s.Service], s)
		}
	}
	w.fleet.Store(f)
	if w.OnServers != nil {
		w.OnServers(f)
	}
}

// maxDeleted is the number of deleted rows that are kept for peers.
const maxDeleted = 256

// keepRows notes the rows of a batch for peers.
func (w *Watcher) keepRows(b batch) {
	if w.rows == nil || b.whole {
		w.rows = make(map[string]Row, len(b.rows))
		// What was deleted before the table was read is not known.
		w.rowsSince = b.version
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
	if deleted <= maxDeleted {
		return
	}
	for k, r := range w.rows {
		if r.Deleted {
			delete(w.rows, k)
			w.rowsSince = max(w.rowsSince, r.Version)
		}
	}
}

// ServerRows returns the entries that changed after a version, or all of them if
// that cannot be told any more.
func (w *Watcher) ServerRows(after uint64) (rows []Row, whole bool) {
	w.serversMu.Lock()
	defer w.serversMu.Unlock()
	whole = after < w.rowsSince
	for _, r := range w.rows {
		if r.Version > after && !whole || whole && !r.Deleted {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	return rows, whole
}

// TakeServerRows applies entries that a peer has, whose last change was at the
// given version. They were the newest at a time on the boot clock, if the peer
// had proof of that.
func (w *Watcher) TakeServerRows(rows []Row, whole bool, changed uint64, provenAt time.Duration, proven bool) {
	w.serversMu.Lock()
	defer w.serversMu.Unlock()
	if changed <= w.servers.changed.Load() {
		// The store was faster.
		return
	}
	b := batch{rows: rows, whole: whole, version: changed, askedAt: provenAt}
	if age, ok := w.age(&w.servers); ok {
		b.away = max(0, age)
	}
	if changed > w.rowsSince {
		w.apply(b)
	}
	w.servers.reach(changed)
	if proven {
		w.servers.prove(provenAt)
	}
}
