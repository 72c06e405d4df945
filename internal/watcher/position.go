package watcher

import "fmt"

// Position is a point in the history of the store's tables. The store starts a new era when it is restored
// from a copy: versions then go back and are assigned again, so those of different eras are unrelated.
type Position struct {
	// Era is 0 if the store names none.
	Era     uint64
	Version uint64
}

// String returns the position for logs, for example "2/57".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Version) }
