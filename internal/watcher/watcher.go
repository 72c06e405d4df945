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
	// minBackoff and maxBackoff bound the wait after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// returnWait is how long after the store's return entries may still be
	// missing that lapsed while it was away.
	returnWait = 2500 * time.Millisecond
	// awayAfter is the time without any router's proof after which the store
	// counts as away.
	awayAfter = 1500 * time.Millisecond
)

// New returns a watcher that peers can wake.
func New(w *Watcher) *Watcher {
	w.servers.wake = make(chan struct{}, 1)
	return w
}

// Row is one row of a followed table.
type Row struct {
	Key   string
	Value []byte
	// Version is the store's at the row's last change.
	Version uint64
	Deleted bool
}

// newest returns the largest version of the rows. Unlike the version of an
// answer of the store it is the same for all routers that know the same rows.
func newest(rows []Row) uint64 {
	n := uint64(0)
	for _, r := range rows {
		n = max(n, r.Version)
	}
	return n
}

// Table reads a table whole or its changes since a version. Both return the
// version to go on from. Gone says whether an error means that the asked history
// is no longer there.
type Table struct {
	Read    func(ctx context.Context) ([]Row, uint64, error)
	Changes func(ctx context.Context, after uint64) ([]Row, uint64, error)
	Gone    func(error) bool
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
	// AskAfter returns the age of a proof from which this router asks the store
	// itself. Routers differ in it, so that one asks and the others learn of it.
	AskAfter func() time.Duration
	// MaxBackoff returns the longest wait after failed calls; nil means maxBackoff. Where
	// it grows with a router's rank, few routers look for all whether the store is back.
	MaxBackoff func() time.Duration
	// StartBy returns until when, on the boot clock, a router that has just started
	// leaves it to its peers to tell what they know; nil means that it does not.
	StartBy func() time.Duration
	Log     func(event string, keyvals ...any)
	// OnCatalog and OnServers are told of changes, if set.
	OnCatalog func(*cataloger.Catalog)
	OnServers func(*Fleet)

	catalog atomic.Pointer[installed]
	fleet   atomic.Pointer[Fleet]
	config  feed
	servers feed

	installMu sync.Mutex
	serversMu sync.Mutex
	entries   map[string]*cataloger.Server
	// rows are the entries as the store gave them, deleted ones included, for
	// peers. Deletions up to rowsSince are not among them; everything up to there is
	// known.
	rows      map[string]Row
	rowsSince uint64
	left      map[string]*cataloger.Server
	// lapsed entries vanished while the store was away; they are used until their
	// time is over or the store lists them again.
	lapsed map[string]time.Duration
	// contactAt is since when the servers' table has been proven current without
	// a longer break, on the boot clock, in nanoseconds.
	contactAt atomic.Int64
}

// feed is how current this router is with one table.
type feed struct {
	// provenAt is when the question was asked whose answer proved that the rows
	// are the newest, on the boot clock, in nanoseconds; 0 for never.
	provenAt atomic.Int64
	// changed is the store's version up to which all changes were applied.
	changed atomic.Uint64
	// wanted is a version that a peer has and this router must read; wake ends the
	// pause then, if it is set.
	wanted atomic.Uint64
	wake   chan struct{}
}

// prove notes that the rows were the newest at a time.
func (f *feed) prove(at time.Duration) {
	for {
		old := f.provenAt.Load()
		if int64(at) <= old || f.provenAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// reach notes that everything up to a version was applied.
func (f *feed) reach(version uint64) {
	for {
		old := f.changed.Load()
		if version <= old || f.changed.CompareAndSwap(old, version) {
			return
		}
	}
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

// Raw returns the configuration's bytes and version if it is newer than a
// version.
func (w *Watcher) Raw(after uint64) ([]byte, uint64) {
	if i := w.catalog.Load(); i != nil && i.catalog.Version > after {
		return i.raw, i.catalog.Version
	}
	return nil, 0
}

// Fleet returns the servers, nil before they were first read.
func (w *Watcher) Fleet() *Fleet { return w.fleet.Load() }

// Usable says whether a server may still get work.
func (w *Watcher) Usable(s *cataloger.Server) bool {
	f := w.Fleet()
	if f == nil || s == nil {
		return false
	}
	now := f.ByID[s.ID]
	return now != nil && now.SameIncarnation(s) && !now.Draining
}

// Age returns how long ago the catalog was provably the newest.
func (w *Watcher) Age() (time.Duration, bool) {
	return w.age(&w.config)
}

func (w *Watcher) age(f *feed) (time.Duration, bool) {
	at := f.provenAt.Load()
	if at == 0 {
		return 0, false
	}
	return w.Now() - time.Duration(at), true
}

// ServersAge returns the store's version up to which all changes of the servers'
// entries are known, and how long ago there provably was no later one.
func (w *Watcher) ServersAge() (changed uint64, age time.Duration, proven bool) {
	age, proven = w.age(&w.servers)
	return w.servers.changed.Load(), age, proven
}

// ProveServers takes in that a peer's entries, changed last at a version, were
// the newest at a time. It says whether this router lacks entries.
func (w *Watcher) ProveServers(changed uint64, at time.Duration) (lacking bool) {
	mine := w.servers.changed.Load()
	if changed == mine {
		w.servers.prove(at)
	}
	return changed > mine
}

// WantServers makes this router read entries up to a version from the store.
func (w *Watcher) WantServers(changed uint64) {
	w.servers.wanted.Store(changed)
	select {
	case w.servers.wake <- struct{}{}:
	default:
	}
}

// Version returns the version of the configuration in force, 0 before the first.
func (w *Watcher) Version() uint64 {
	if c := w.Catalog(); c != nil {
		return c.Version
	}
	return 0
}

// Prove notes that the configuration of a version was the newest at a time on
// the boot clock; version 0 says that there was none. A proof for an older
// version says nothing.
func (w *Watcher) Prove(version uint64, at time.Duration) {
	if w.Version() == version {
		w.config.prove(at)
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
	wg.Go(func() { w.follow(ctx, "configuration", w.Operator, &w.config, w.onConfig) })
	wg.Go(func() { w.follow(ctx, "servers", w.Servers, &w.servers, w.onServers) })
	wg.Wait()
}

// batch is what one answer of the store brought.
type batch struct {
	rows []Row
	// whole says that the rows are the entire table, at a version of the store.
	whole   bool
	version uint64
	// askedAt is when the question was sent, on the boot clock, and away the age of
	// the newest proof then.
	askedAt time.Duration
	away    time.Duration
}

// follow reads a table and applies its changes.
func (w *Watcher) follow(ctx context.Context, name string, t Table, f *feed, apply func(batch) bool) {
	version, known := uint64(0), false
	backoff := minBackoff
	lost := false
	w.hold(ctx, f)
	for ctx.Err() == nil {
		b := batch{whole: !known, askedAt: w.Now()}
		if age, ok := w.age(f); ok {
			b.away = max(0, age)
		}
		var next uint64
		var err error
		if known {
			b.rows, next, err = t.Changes(ctx, version)
		} else {
			b.rows, next, err = t.Read(ctx)
		}
		b.version = next
		if err == nil {
			if apply(b) {
				f.prove(b.askedAt)
			} else {
				// What cannot be read now may be replaced soon.
				pauser.Sleep(ctx, maxBackoff)
			}
			f.reach(newest(b.rows))
			if want := f.wanted.Load(); want <= next {
				f.reach(want)
			}
			version, known, backoff = next, true, minBackoff
			if lost {
				lost = false
				w.Log("store-regained", "table", name, "away-ms", b.away.Milliseconds())
			}
			w.pause(ctx, f)
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
		pauser.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, w.maxBackoff())
		if _, proven := w.age(f); proven {
			// A peer may have got an answer meanwhile.
			w.pause(ctx, f)
		}
	}
}

const (
	// minPause and maxPause bound the wait between two looks at whether to ask.
	minPause = 20 * time.Millisecond
	maxPause = 250 * time.Millisecond
)

func (w *Watcher) maxBackoff() time.Duration {
	if w.MaxBackoff == nil {
		return maxBackoff
	}
	return max(maxBackoff, w.MaxBackoff())
}

// hold waits for the peers' proof at the start of the process: where many start
// together, a few of them read the store for all.
func (w *Watcher) hold(ctx context.Context, f *feed) {
	for w.StartBy != nil {
		if _, proven := w.age(f); proven {
			w.pause(ctx, f)
			return
		}
		if w.Now() >= w.StartBy() || !pauser.Sleep(ctx, minPause) {
			return
		}
	}
}

// pause waits until the proof is old or a peer has something newer.
func (w *Watcher) pause(ctx context.Context, f *feed) {
	for {
		age, ok := w.age(f)
		left := w.AskAfter() - age
		if !ok || left <= 0 || f.wanted.Load() > f.changed.Load() {
			return
		}
		t := time.NewTimer(min(max(left, minPause), maxPause))
		select {
		case <-t.C:
		case <-f.wake:
			t.Stop()
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

// onConfig installs what the store holds, and says whether that could be read.
func (w *Watcher) onConfig(b batch) bool {
	for _, r := range b.rows {
		if r.Key != w.ConfigKey || r.Deleted {
			continue
		}
		if _, err := w.Install(r.Value, "store"); err != nil {
			w.Log("config-unreadable", "err", err)
			return false
		}
	}
	return true
}

// Describe tells the state of the beliefs for a dump.
func (w *Watcher) Describe() string {
	age, ok := w.Age()
	return fmt.Sprintf("version %d, proven %v %v ago", w.Version(), ok, age)
}
