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
	w.Log("store-era", "era", era, "was", w.eras.era, "known", w.eras.known)
	w.eras.known, w.eras.era, w.eras.learnedAt = true, era, w.Now()
	return true
}
