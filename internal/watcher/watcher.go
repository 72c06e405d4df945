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
	// lapsedGracePeriod is how long after the store's return entries may still be
	// missing that lapsed while it was away.
	lapsedGracePeriod = 2500 * time.Millisecond
	// outageThreshold is the time without any router's proof after which the store
	// counts as away.
	outageThreshold = 1500 * time.Millisecond
)

// New returns a watcher that peers can wake.
func New(w *Watcher) *Watcher {
	w.serversState.wake = make(chan struct{}, 1)
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

// newestVersion returns the largest version of the rows. Unlike the version of an
// answer of the store it is the same for all routers that know the same rows.
func newestVersion(rows []Row) uint64 {
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
	Read          func(ctx context.Context) ([]Row, uint64, error)
	Changes       func(ctx context.Context, after uint64) ([]Row, uint64, error)
	IsHistoryGone func(error) bool
}

// Watcher follows both tables. The fields up to Log must be set before Run.
type Watcher struct {
	ConfigTable Table
	ServerTable Table
	// ConfigKey is the key of the configuration's row.
	ConfigKey string
	// DecodeCatalog and DecodeServer read rows.
	DecodeCatalog func([]byte) (*cataloger.Catalog, error)
	DecodeServer  func(Row) (*cataloger.Server, error)
	// Now reads the boot clock.
	Now func() time.Duration
	// ReadStoreAfter returns the age of a proof from which this router asks the store
	// itself. Routers differ in it, so that one asks and the others learn of it.
	ReadStoreAfter func() time.Duration
	// MaxBackoff returns the longest wait after failed calls; nil means maxBackoff. Where
	// it grows with a router's rank, few routers look for all whether the store is back.
	MaxBackoff func() time.Duration
	// WaitForPeersUntil returns until when, on the boot clock, a router that has just started
	// leaves it to its peers to tell what they know; nil means that it does not.
	WaitForPeersUntil func() time.Duration
	Log               func(event string, keyvals ...any)
	// OnCatalog and OnServers are told of changes, if set.
	OnCatalog func(*cataloger.Catalog)
	OnServers func(*ServerSet)

	catalog      atomic.Pointer[installedCatalog]
	serverSet    atomic.Pointer[ServerSet]
	configState  tableState
	serversState tableState

	installMu sync.Mutex
	serversMu sync.Mutex
	entries   map[string]*cataloger.Server
	// rows are the entries as the store gave them, deleted ones included, for
	// peers. Deletions up to rowsSince are not among them; everything up to there is
	// known.
	rows         map[string]Row
	historySince uint64
	leftServers  map[string]*cataloger.Server
	// lapsedUntil entries vanished while the store was away; they are used until their
	// time is over or the store lists them again.
	lapsedUntil map[string]time.Duration
	// contactSince is since when the servers' table has been proven current without
	// a longer break, on the boot clock, in nanoseconds.
	contactSince atomic.Int64
}

// tableState is how current this router is with one table.
type tableState struct {
	// confirmedAt is when the question was asked whose answer proved that the rows
	// are the newest, on the boot clock, in nanoseconds; 0 for never.
	confirmedAt atomic.Int64
	// appliedVersion is the store's version up to which all changes were applied.
	appliedVersion atomic.Uint64
	// wantedVersion is a version that a peer has and this router must read; wake ends the
	// pause then, if it is set.
	wantedVersion atomic.Uint64
	wake          chan struct{}
}

// confirm notes that the rows were the newest at a time.
func (f *tableState) confirm(at time.Duration) {
	for {
		old := f.confirmedAt.Load()
		if int64(at) <= old || f.confirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// advanceTo notes that everything up to a version was applied.
func (f *tableState) advanceTo(version uint64) {
	for {
		old := f.appliedVersion.Load()
		if version <= old || f.appliedVersion.CompareAndSwap(old, version) {
			return
		}
	}
}

// installedCatalog is a catalog with the bytes that it was read from, for peers.
type installedCatalog struct {
	catalog *cataloger.Catalog
	raw     []byte
}

// ServerSet is what is believed of the backend servers. It is immutable.
type ServerSet struct {
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

// RawConfig returns the configuration's bytes and version if it is newer than a
// version.
func (w *Watcher) RawConfig(after uint64) ([]byte, uint64) {
	if i := w.catalog.Load(); i != nil && i.catalog.Version > after {
		return i.raw, i.catalog.Version
	}
	return nil, 0
}

// ServerSet returns the servers, nil before they were first read.
func (w *Watcher) ServerSet() *ServerSet { return w.serverSet.Load() }

// Usable says whether a server may still get work.
func (w *Watcher) Usable(s *cataloger.Server) bool {
	f := w.ServerSet()
	if f == nil || s == nil {
		return false
	}
	current := f.ByID[s.ID]
	return current != nil && current.Same(s) && !current.Leaving
}

// ConfigAge returns how long ago the catalog was provably the newest.
func (w *Watcher) ConfigAge() (time.Duration, bool) {
	return w.confirmationAge(&w.configState)
}

func (w *Watcher) confirmationAge(f *tableState) (time.Duration, bool) {
	at := f.confirmedAt.Load()
	if at == 0 {
		return 0, false
	}
	return w.Now() - time.Duration(at), true
}

// ServersAge returns the store's version up to which all changes of the servers'
// entries are known, and how long ago there provably was no later one.
func (w *Watcher) ServersAge() (changed uint64, age time.Duration, proven bool) {
	age, proven = w.confirmationAge(&w.serversState)
	return w.serversState.appliedVersion.Load(), age, proven
}

// ConfirmServers takes in that a peer's entries, changed last at a version, were
// the newest at a time. It says whether this router lacks entries.
func (w *Watcher) ConfirmServers(changed uint64, at time.Duration) (behind bool) {
	applied := w.serversState.appliedVersion.Load()
	if changed == applied {
		w.serversState.confirm(at)
	}
	return changed > applied
}

// RequireServersVersion makes this router read entries up to a version from the store.
func (w *Watcher) RequireServersVersion(changed uint64) {
	w.serversState.wantedVersion.Store(changed)
	select {
	case w.serversState.wake <- struct{}{}:
	default:
	}
}

// ConfigVersion returns the version of the configuration in force, 0 before the first.
func (w *Watcher) ConfigVersion() uint64 {
	if c := w.Catalog(); c != nil {
		return c.Version
	}
	return 0
}

// ConfirmConfig notes that the configuration of a version was the newest at a time on
// the boot clock; version 0 says that there was none. A proof for an older
// version says nothing.
func (w *Watcher) ConfirmConfig(version uint64, at time.Duration) {
	if w.ConfigVersion() == version {
		w.configState.confirm(at)
	}
}

// InstallConfig puts a configuration in force if it is newer than the present one.
// Versions never fall within one process.
func (w *Watcher) InstallConfig(raw []byte, source string) (*cataloger.Catalog, error) {
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
	w.catalog.Store(&installedCatalog{catalog: c, raw: raw})
	oldVersion := uint64(0)
	if old != nil {
		oldVersion = old.Version
	}
	w.Log("config-installed", "version", c.Version, "was", oldVersion, "from", source, "routes", len(c.Routes), "workspaces", len(c.Workspaces))
	if w.OnCatalog != nil {
		w.OnCatalog(c)
	}
	return c, nil
}

// Run follows both tables until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.followTable(ctx, "configuration", w.ConfigTable, &w.configState, w.applyConfig) })
	wg.Go(func() { w.followTable(ctx, "servers", w.ServerTable, &w.serversState, w.applyServers) })
	wg.Wait()
}

// batch is what one answer of the store brought.
type batch struct {
	rows []Row
	// fullTable says that the rows are the entire table, at a version of the store.
	fullTable bool
	version   uint64
	// requestedAt is when the question was sent, on the boot clock, and away the age of
	// the newest proof then.
	requestedAt     time.Duration
	confirmationAge time.Duration
}

// followTable reads a table and applies its changes.
func (w *Watcher) followTable(ctx context.Context, name string, t Table, f *tableState, apply func(batch) bool) {
	version, loaded := uint64(0), false
	backoff := minBackoff
	storeLost := false
	w.waitForPeers(ctx, f)
	for ctx.Err() == nil {
		b := batch{fullTable: !loaded, requestedAt: w.Now()}
		if age, ok := w.confirmationAge(f); ok {
			b.confirmationAge = max(0, age)
		}
		var nextVersion uint64
		var err error
		if loaded {
			b.rows, nextVersion, err = t.Changes(ctx, version)
		} else {
			b.rows, nextVersion, err = t.Read(ctx)
		}
		b.version = nextVersion
		if err == nil {
			if apply(b) {
				f.confirm(b.requestedAt)
			} else {
				// What cannot be read now may be replaced soon.
				pauser.Pause(ctx, maxBackoff)
			}
			f.advanceTo(newestVersion(b.rows))
			if wanted := f.wantedVersion.Load(); wanted <= nextVersion {
				f.advanceTo(wanted)
			}
			version, loaded, backoff = nextVersion, true, minBackoff
			if storeLost {
				storeLost = false
				w.Log("store-regained", "table", name, "away-ms", b.confirmationAge.Milliseconds())
			}
			w.waitUntilStale(ctx, f)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if t.IsHistoryGone(err) {
			w.Log("store-history-gone", "table", name, "version", version)
			loaded = false
			continue
		}
		if !storeLost {
			storeLost = true
			w.Log("store-lost", "table", name, "err", err)
		}
		// Jitter keeps the routers from returning together.
		pauser.Pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, w.maxBackoff())
		if _, proven := w.confirmationAge(f); proven {
			// A peer may have got an answer meanwhile.
			w.waitUntilStale(ctx, f)
		}
	}
}

const (
	// minStaleCheckWait and maxPause bound the wait between two looks at whether to ask.
	minStaleCheckWait = 20 * time.Millisecond
	maxStaleCheckWait = 250 * time.Millisecond
)

func (w *Watcher) maxBackoff() time.Duration {
	if w.MaxBackoff == nil {
		return maxBackoff
	}
	return max(maxBackoff, w.MaxBackoff())
}

// waitForPeers waits for the peers' proof at the start of the process: where many start
// together, a few of them read the store for all.
func (w *Watcher) waitForPeers(ctx context.Context, f *tableState) {
	for w.WaitForPeersUntil != nil {
		if _, proven := w.confirmationAge(f); proven {
			w.waitUntilStale(ctx, f)
			return
		}
		if w.Now() >= w.WaitForPeersUntil() || !pauser.Pause(ctx, minStaleCheckWait) {
			return
		}
	}
}

// waitUntilStale waits until the proof is old or a peer has something newer.
func (w *Watcher) waitUntilStale(ctx context.Context, f *tableState) {
	for {
		age, ok := w.confirmationAge(f)
		left := w.ReadStoreAfter() - age
		if !ok || left <= 0 || f.wantedVersion.Load() > f.appliedVersion.Load() {
			return
		}
		t := time.NewTimer(min(max(left, minStaleCheckWait), maxStaleCheckWait))
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

// applyConfig installs what the store holds, and says whether that could be read.
func (w *Watcher) applyConfig(b batch) bool {
	for _, r := range b.rows {
		if r.Key != w.ConfigKey || r.Deleted {
			continue
		}
		if _, err := w.InstallConfig(r.Value, "store"); err != nil {
			w.Log("config-unreadable", "err", err)
			return false
		}
	}
	return true
}

// Describe tells the state of the beliefs for a dump.
func (w *Watcher) Describe() string {
	age, ok := w.ConfigAge()
	return fmt.Sprintf("version %d, proven %v %v ago", w.ConfigVersion(), ok, age)
}
