package watcher

import (
	"sync"
	"time"
)

// eraState is the newest era of the store that this router has learned of.
type eraState struct {
	mu    sync.Mutex
	known bool
	era   uint64
	// learnedAt is when, on the boot clock.
	learnedAt time.Duration
}

// acceptEra processes the era of an answer to a request that was sent at a time on the boot clock. It returns false if
// the answer is from before a restore that this router already knows of.
func (w *Watcher) acceptEra(era uint64, requestedAt time.Duration) bool {
	w.eras.mu.Lock()
	defer w.eras.mu.Unlock()
	if w.eras.known && era == w.eras.era {
		return true
	}
	if w.eras.known && era < w.eras.era && requestedAt <= w.eras.learnedAt {
		return false
	}
	// The answer to a later request is right about the era, even if it is an older one.
	w.learnEra(era, "store")
	return true
}

// acceptPeerEra processes the era of a peer's data. It returns false if this router already knows of a later one.
func (w *Watcher) acceptPeerEra(era uint64) bool {
	w.eras.mu.Lock()
	defer w.eras.mu.Unlock()
	if w.eras.known && era <= w.eras.era {
		return era == w.eras.era
	}
	w.learnEra(era, "peer")
	return true
}

// learnEra records a new era. eras.mu must be held.
func (w *Watcher) learnEra(era uint64, source string) {
	w.Log("store-era", "era", era, "was", w.eras.era, "known", w.eras.known, "from", source)
	w.eras.known, w.eras.era, w.eras.learnedAt = true, era, w.Now()
}

// current returns the newest era that this router has learned of, 0 if none.
func (e *eraState) current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era
}
