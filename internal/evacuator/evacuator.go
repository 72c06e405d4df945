// Package evacuator holds the availability zones that operators have evacuated, whose servers get no requests. The store
// is authoritative: each set of zones is what the store held at a position, whether this router read it or a peer did, and the
// set of the latest position is in force.
//
// The package does no I/O. Times are readings of the boot clock.
package evacuator

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"papayapaddle/internal/watcher"
)

const (
	// MaxZones limits the zones of a set. Of more, the first ones by name are in force.
	MaxZones = 256
	// MaxNameBytes limits the name of a zone. Longer ones are ignored.
	MaxNameBytes = 128
	// RewriteTime is how long after a restore of the store from a copy a zone that the copy lacks stays evacuated, as the
	// operators write again what was lost.
	RewriteTime = 2 * time.Second
	// maxGap is the time without a Tick after which the process was suspended, as Tick is called each second. What it knew before
	// may be old.
	maxGap = 2500 * time.Millisecond
	// maxResumeTime is how long after a suspension a router sends nothing while neither the store nor a peer answers. It then goes
	// on with what it knows, as it does whenever both are away.
	maxResumeTime = time.Second
)

// Set is the evacuated zones that the store held at a position, sorted by name.
type Set struct {
	Position watcher.Position
	Zones    []string
}

// Change is the begin or the end of the evacuation of a zone.
type Change struct {
	Zone  string
	Began bool
	// After is how long an evacuation that ends was in force at this router.
	After time.Duration
	// Recent is true if the change is at most maxGap old: this router has read it in the store, and the set before was
	// confirmed shortly before.
	Recent bool
}

// Result is what became of a set.
type Result struct {
	// First is true if no set was known before.
	First   bool
	Changes []Change
	// Ignored is the number of zones beyond the limits.
	Ignored int
}

// state is immutable.
type state struct {
	set Set
	// since holds the zones in force, those of the set and those that are held, and since when they are.
	since map[string]time.Duration
}

// Evacuator holds the evacuated zones. The zero value knows no set.
type Evacuator struct {
	mu sync.Mutex
	// held are zones of an earlier era that the set lacks, and until when they stay evacuated.
	held map[string]time.Duration
	// state is replaced with each change, so that requests read it without the lock. It is nil until a set is known.
	state atomic.Pointer[state]
	// confirmedAt is when the request was sent whose answer showed that the set is the newest, 0 for never.
	confirmedAt atomic.Int64
	// tickedAt is the time of the last Tick, and resumedAt that of the first one after the last suspension; 0 for none.
	tickedAt  atomic.Int64
	resumedAt atomic.Int64
}

// Apply puts a set in force unless a later one is. fromStore says that the store itself gave it to this router: if it is of
// another era, even an earlier one, the watcher has found that the store is in this era.
func (e *Evacuator) Apply(now time.Duration, s Set, fromStore bool) Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out Result
	s.Zones, out.Ignored = limit(s.Zones)
	old := e.state.Load()
	out.First = old == nil
	if old != nil {
		order, sameEra := s.Position.Compare(old.set.Position), s.Position.Era == old.set.Position.Era
		switch {
		case order < 0 && (sameEra || !fromStore):
			return Result{}
		case order == 0:
			// Pages of a table may be read at different versions, so that two sets of a position may differ. The next read tells.
			s.Zones, _ = limit(slices.Concat(s.Zones, old.set.Zones))
		case !sameEra:
			e.hold(now, old)
		}
	}
	for _, zone := range s.Zones {
		delete(e.held, zone)
	}
	out.Changes = e.replace(now, s)
	if age, confirmed := e.Age(now); fromStore && confirmed && age <= maxGap {
		for i := range out.Changes {
			out.Changes[i].Recent = true
		}
	}
	return out
}

// hold keeps the zones in force evacuated for RewriteTime. The lock must be held.
func (e *Evacuator) hold(now time.Duration, old *state) {
	if e.held == nil {
		e.held = map[string]time.Duration{}
	}
	for _, zone := range slices.Sorted(maps.Keys(old.since)) {
		if _, held := e.held[zone]; held || len(e.held) < MaxZones {
			e.held[zone] = now + RewriteTime
		}
	}
}

// replace replaces the state and returns what changed. The lock must be held.
func (e *Evacuator) replace(now time.Duration, s Set) []Change {
	var before map[string]time.Duration
	if old := e.state.Load(); old != nil {
		before = old.since
	}
	next := &state{set: s, since: make(map[string]time.Duration, len(s.Zones)+len(e.held))}
	var changes []Change
	for _, zone := range slices.Concat(s.Zones, slices.Sorted(maps.Keys(e.held))) {
		since, known := before[zone]
		if !known {
			since = now
			changes = append(changes, Change{Zone: zone, Began: true})
		}
		next.since[zone] = since
	}
	for _, zone := range slices.Sorted(maps.Keys(before)) {
		if _, kept := next.since[zone]; !kept {
			changes = append(changes, Change{Zone: zone, After: now - before[zone]})
		}
	}
	e.state.Store(next)
	return changes
}

// Tick must be called each second. It ends the evacuations of an earlier era that were not written again in time.
func (e *Evacuator) Tick(now time.Duration) []Change {
	if last := e.tickedAt.Swap(int64(now)); last != 0 && int64(now)-last > int64(maxGap) {
		e.resumedAt.Store(int64(now))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	before := len(e.held)
	maps.DeleteFunc(e.held, func(_ string, until time.Duration) bool { return now >= until })
	if len(e.held) == before {
		return nil
	}
	return e.replace(now, e.state.Load().set)
}

// Confirm records that a set was the newest at a time. It was applied before, so that the set in force is that one or a later one.
func (e *Evacuator) Confirm(at time.Duration) {
	for {
		old := e.confirmedAt.Load()
		if int64(at) <= old || e.confirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Age returns how long ago the set was last confirmed to be the newest, and false if it never was.
func (e *Evacuator) Age(now time.Duration) (time.Duration, bool) {
	at := e.confirmedAt.Load()
	return now - time.Duration(at), at != 0
}

// Set returns the set of the latest position, and false if none is known.
func (e *Evacuator) Set() (Set, bool) {
	s := e.state.Load()
	if s == nil {
		return Set{}, false
	}
	return s.set, true
}

// Resuming reports whether this process was suspended and has not learned since what evacuations it has missed.
func (e *Evacuator) Resuming(now time.Duration) bool {
	if last := e.tickedAt.Load(); last != 0 && int64(now)-last > int64(maxGap) {
		return true
	}
	resumed := e.resumedAt.Load()
	return resumed != 0 && e.confirmedAt.Load() < resumed && int64(now)-resumed < int64(maxResumeTime)
}

// Zones returns the zones that are evacuated and since when. The map must not be modified.
func (e *Evacuator) Zones() map[string]time.Duration {
	if s := e.state.Load(); s != nil {
		return s.since
	}
	return nil
}

// Evacuated reports whether servers of a zone get no requests. Before a set is known, no server does.
func (e *Evacuator) Evacuated(zone string) bool {
	return e.state.Load() == nil || e.Listed(zone)
}

// Listed reports whether a zone is known to be evacuated.
func (e *Evacuator) Listed(zone string) bool {
	_, listed := e.Zones()[zone]
	return listed
}

// limit returns the zones sorted and without duplicates and those beyond the limits, and the number of the latter.
func limit(zones []string) (limited []string, ignored int) {
	limited = slices.Compact(slices.Sorted(slices.Values(zones)))
	total := len(limited)
	limited = slices.DeleteFunc(limited, func(zone string) bool { return len(zone) > MaxNameBytes })
	limited = limited[:min(len(limited), MaxZones)]
	return limited, total - len(limited)
}
