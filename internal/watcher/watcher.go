// Package watcher follows the platform's store: the operators' configuration
// and the backend servers' entries. It holds what this router believes of both,
// and how old the proof is that the configuration is the newest.
package watcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/pauser"
)

const (
	// followWait is how long one call waits for changes. It bounds the age of the
	// proof that the configuration is current.
	followWait = time.Second
	// minBackoff and maxBackoff bound the wait after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// returnWait is how long after the store's return entries may still be
	// missing that lapsed while it was away.
	returnWait = 2500 * time.Millisecond
	// awayAfter is the time without an answer after which the store counts as
	// away.
	awayAfter = 1500 * time.Millisecond
)

// Row is one row of a followed table.
type Row struct {
	Key     string
	Value   []byte
	Deleted bool
}

// Table reads a table whole and follows its changes. Gone says whether an error
// means that the asked history is no longer there.
type Table struct {
	Read   func(ctx context.Context) ([]Row, uint64, error)
	Follow func(ctx context.Context, after uint64, wait time.Duration) ([]Row, uint64, error)
	Gone   func(error) bool
}

// Watcher follows both tables. The fields up to Log must be set before Run.
type Watcher struct {
	Operator Table
	Servers  Table
	// ConfigKey is the key of the configuration's row.
	ConfigKey string
	// DecodeCatalog and DecodeServer read rows.
	DecodeCatalog func([]byte) (*cataloger.Catalog, error)
	DecodeServer  func(Row) (*cataloger.Server, error)
	// Now reads the boot clock.
	Now func() time.Duration
	Log func(event string, keyvals ...any)
	// OnCatalog and OnServers are told of changes, if set.
	OnCatalog func(*cataloger.Catalog)
	OnServers func(*Fleet)

	catalog atomic.Pointer[installed]
	fleet   atomic.Pointer[Fleet]
	// provenAt is when the question was asked whose answer proved that the
	// catalog is the newest, on the boot clock, in nanoseconds; 0 for never.
	provenAt atomic.Int64

	installMu sync.Mutex
	serversMu sync.Mutex
	entries   map[string]*cataloger.Server
	left      map[string]*cataloger.Server
	// lapsed entries vanished while the store was away; they are used until their
	// time is over or the store lists them again.
	lapsed map[string]time.Duration
	// contactAt is since when the servers' table has been followed without a
	// longer break, on the boot clock, in nanoseconds.
	contactAt atomic.Int64
}

// installed is a catalog with the bytes that it was read from, for peers.
type installed struct {
	catalog *cataloger.Catalog
	raw     []byte
}

// Fleet is what is believed of the backend servers. It is immutable.
type Fleet struct {
	// ByService lists the servers that may get work.
	ByService map[string][]*cataloger.Server
	ByID      map[string]*cataloger.Server
}

// Catalog returns the configuration in force, nil before the first.
func (w *Watcher) Catalog() *cataloger.Catalog {
	if i := w.catalog.Load(); i != nil {
		return i.catalog
	}
	return nil
}

// Raw returns the configuration's bytes if it is newer than a version.
func (w *Watcher) Raw(after uint64) []byte {
	if i := w.catalog.Load(); i != nil && i.catalog.Version > after {
		return i.raw
	}
	return nil
}

// Fleet returns the servers, nil before they were first read.
func (w *Watcher) Fleet() *Fleet { return w.fleet.Load() }

// Age returns how long ago the catalog was provably the newest.
func (w *Watcher) Age() (time.Duration, bool) {
	at := w.provenAt.Load()
	if at == 0 {
		return 0, false
	}
	return w.Now() - time.Duration(at), true
}

// Prove notes that the catalog of a version was the newest at a time on the
// boot clock. A proof for an older version says nothing.
func (w *Watcher) Prove(version uint64, at time.Duration) {
	c := w.Catalog()
	if c == nil || c.Version != version {
		return
	}
	for {
		old := w.provenAt.Load()
		if int64(at) <= old || w.provenAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Install puts a configuration in force if it is newer than the present one.
// Versions never fall within one process.
func (w *Watcher) Install(raw []byte, from string) (*cataloger.Catalog, error) {
	c, err := w.DecodeCatalog(raw)
	if err != nil {
		return nil, err
	}
	w.installMu.Lock()
	defer w.installMu.Unlock()
	old := w.Catalog()
	if old != nil && c.Version <= old.Version {
		return old, nil
	}
	w.catalog.Store(&installed{catalog: c, raw: raw})
	was := uint64(0)
	if old != nil {
		was = old.Version
	}
	w.Log("config-installed", "version", c.Version, "was", was, "from", from, "routes", len(c.Routes), "workspaces", len(c.Workspaces))
	if w.OnCatalog != nil {
		w.OnCatalog(c)
	}
	return c, nil
}

// Run follows both tables until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.follow(ctx, "configuration", w.Operator, w.onConfig) })
	wg.Go(func() { w.follow(ctx, "servers", w.Servers, w.onServers) })
	wg.Wait()
}

// batch is what one answer of the store brought.
type batch struct {
	rows []Row
	// whole says that the rows are the entire table.
	whole bool
	// askedAt and away are on the boot clock: when the question was sent, and for
	// how long the store was away before.
	askedAt time.Duration
	away    time.Duration
}

// follow reads a table and applies its changes.
func (w *Watcher) follow(ctx context.Context, name string, t Table, apply func(batch)) {
	version, known := uint64(0), false
	heardAt := w.Now()
	backoff := minBackoff
	lost := false
	for ctx.Err() == nil {
		b := batch{whole: !known, askedAt: w.Now()}
		var next uint64
		var err error
		if known {
			b.rows, next, err = t.Follow(ctx, version, followWait)
		} else {
			b.rows, next, err = t.Read(ctx)
		}
		if err == nil {
			b.away = max(0, b.askedAt-heardAt)
			heardAt = w.Now()
			apply(b)
			version, known, backoff = next, true, minBackoff
			if lost {
				lost = false
				w.Log("store-regained", "table", name, "away-ms", b.away.Milliseconds())
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if t.Gone(err) {
			w.Log("store-history-gone", "table", name, "version", version)
			known = false
			continue
		}
		if !lost {
			lost = true
			w.Log("store-lost", "table", name, "err", err)
		}
		// Jitter keeps the routers from returning together.
		pauser.Pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// onConfig installs what the store holds. Any answer proves that the catalog,
// as it is then, was the newest when the question was sent.
func (w *Watcher) onConfig(b batch) {
	for _, r := range b.rows {
		if r.Key != w.ConfigKey || r.Deleted {
			continue
		}
		if _, err := w.Install(r.Value, "store"); err != nil {
			w.Log("config-unreadable", "err", err)
			return
		}
	}
	if c := w.Catalog(); c != nil {
		w.Prove(c.Version, b.askedAt)
	}
}

// onServers applies changes of the servers' entries. Entries that are missing
// after the store was away are kept for a while, since live servers write them
// again.
func (w *Watcher) onServers(b batch) {
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

// Contact returns for how long the store has been followed without a break.
func (w *Watcher) Contact() time.Duration {
	at := w.contactAt.Load()
	if at == 0 {
		return 0
	}
	return w.Now() - time.Duration(at)
}

// PeerContact takes in for how long a peer has followed the store without a
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

// Describe tells the state of the beliefs for a dump.
func (w *Watcher) Describe() string {
	age, ok := w.Age()
	v := uint64(0)
	if c := w.Catalog(); c != nil {
		v = c.Version
	}
	return fmt.Sprintf("version %d, proven %v %v ago", v, ok, age)
}
