package watcher

import (
	"cmp"
	"fmt"
	"sync/atomic"
)

// Position is a point in the history of the store's tables. The store starts a new era when it is restored
// from a copy: versions then go back and are assigned again, so those of different eras are unrelated.
type Position struct {
	// Era is 0 if the store names none.
	Era     uint64
	Version uint64
}

// String returns the position for logs, for example "2/57".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Version) }

// Compare returns a negative number if p is before q, 0 if they are equal, and a positive number otherwise.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version))
}

// atomicPosition is a position that is read and replaced as a whole. The zero value holds the zero position.
type atomicPosition struct{ p atomic.Pointer[Position] }

func (a *atomicPosition) load() Position {
	if p := a.p.Load(); p != nil {
		return *p
	}
	return Position{}
}

func (a *atomicPosition) store(p Position) { a.p.Store(&p) }

// take returns the position and resets it.
func (a *atomicPosition) take() Position {
	if p := a.p.Swap(nil); p != nil {
		return *p
	}
	return Position{}
}

// advance replaces the position if the new one is later.
func (a *atomicPosition) advance(p Position) {
	for {
		old := a.p.Load()
		if old != nil && p.Compare(*old) <= 0 || a.p.CompareAndSwap(old, &p) {
			return
		}
	}
}
