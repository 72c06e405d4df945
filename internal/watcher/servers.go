package watcher

import (
	"time"

	"papayapaddle/internal/cataloger"
)

// onServers applies changes of the servers' entries. Entries that are missing
// after the store was away are kept for a while, since live servers write them
// again.
func (w *Watcher) onServers(b batch) bool {
	w.serversMu.Lock()
	defer w.serversMu.Unlock()
	if w.entries == nil {
		w.entries, w.left, w.lapsed = map[string]*cataloger.Server{}, map[string]*cataloger.Server{}, map[string]time.Duration{}
	}
	now := w.Now()
	if b.away > awayAfter || w.contactAt.Load() == 0 {
		w.contactAt.Store(int64(b.askedAt))
	}
	listed := map[string]bool{}
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
	for id, till := range w.lapsed {
		if now > till {
			w.drop(id, "did not return after the store did")
		}
	}
	w.publish()
	return true
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
	if old != nil && old.Same(s) && old.Leaving && !s.Leaving {
		// Leaving is final for one incarnation.
		return
	}
	if gone := w.left[s.ID]; gone != nil && gone.Same(s) && gone.Leaving {
		return
	}
	if old == nil || !old.Same(s) || old.Leaving != s.Leaving || old.Service != s.Service {
		w.Log("server", "server", s.ID, "service", s.Service, "address", s.Address, "zone", s.AvailabilityZone, "leaving", s.Leaving, "born", s.Born)
	}
	w.entries[s.ID] = s
}

// missing handles an entry that is no longer listed.
func (w *Watcher) missing(id string, b batch, now time.Duration) {
	s := w.entries[id]
	if s == nil {
		return
	}
	if b.away > awayAfter && !s.Leaving {
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
	if s.Leaving {
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
// break. If that is since before this router regained it, then this router was
// cut off and not the store away: the entries that vanished are gone.
func (w *Watcher) PeerContact(peer string, contact time.Duration) {
	w.serversMu.Lock()
	defer w.serversMu.Unlock()
	if len(w.lapsed) == 0 || contact < w.Contact()+awayAfter {
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
		if !s.Leaving {
			f.ByService[s.Service] = append(f.ByService[s.Service], s)
		}
	}
	w.fleet.Store(f)
	if w.OnServers != nil {
		w.OnServers(f)
	}
}
