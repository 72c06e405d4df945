package watcher

import (
	"context"
	"sync"
	"time"
)

// rewriteTime is how long after a restore of the store operators and servers may take to write again what it lost.
const rewriteTime = 2 * time.Second

// eraState is the newest era of the store that this router has learned of.
type eraState struct {
	mu    sync.Mutex
	known bool
	era   uint64
	// learnedAt is when, on the boot clock. Answers to requests that are sent from provesFrom on hold whatever was
	// written before the era.
	learnedAt  time.Duration
	provesFrom time.Duration
	// settled is set once there was such an answer, and asked once the store was asked for the settled era.
	settled bool
	asked   bool
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
	restored := w.eras.known && era > w.eras.era
	now := w.Now()
	w.eras.known, w.eras.era, w.eras.learnedAt = true, era, now
	w.eras.provesFrom, w.eras.settled, w.eras.asked = now+rewriteTime, false, false
	if era == 0 {
		// A store that names no era was never restored.
		w.eras.provesFrom = 0
	}
	if w.OnEra != nil {
		w.OnEra(era, restored)
	}
}

// proves reports whether an answer of an era to a request that was sent at a time on the boot clock holds whatever was
// written before the era.
func (w *Watcher) proves(era uint64, requestedAt time.Duration) bool {
	w.eras.mu.Lock()
	defer w.eras.mu.Unlock()
	if era != w.eras.era || requestedAt < w.eras.provesFrom {
		return false
	}
	if !w.eras.settled {
		w.settle("time")
	}
	return true
}

// settle records that the operators have written again what they lost. eras.mu must be held.
func (w *Watcher) settle(reason string) {
	w.eras.settled = true
	w.Log("store-settled", "era", w.eras.era, "by", reason, "after-ms", (w.Now() - w.eras.learnedAt).Milliseconds())
	if w.OnSettled != nil {
		w.OnSettled(w.eras.era)
	}
}

// settleByRow records that the configuration's row was written in an era before a request was answered that was sent
// at a time on the boot clock. The row holds the whole configuration, so nothing of it is missing any more.
func (w *Watcher) settleByRow(era uint64, requestedAt time.Duration) {
	w.eras.mu.Lock()
	defer w.eras.mu.Unlock()
	if era != w.eras.era || w.eras.settled {
		return
	}
	w.eras.provesFrom = min(w.eras.provesFrom, requestedAt)
	w.settle("row")
}

// readSettledEra asks the store, once in an era, whether the operators have had the time to write again before this router
// learned of the era. It reports whether they have: answers to requests that are sent from now on prove configurations.
func (w *Watcher) readSettledEra(ctx context.Context) bool {
	w.eras.mu.Lock()
	skip := w.ReadSettledEra == nil || w.eras.settled || w.eras.asked
	w.eras.mu.Unlock()
	if skip {
		return false
	}
	requestedAt := w.Now()
	settled, era, err := w.ReadSettledEra(ctx)
	if err != nil {
		w.Log("settled-era-not-read", "err", err)
		return false
	}
	if !w.acceptEra(era, requestedAt) {
		return false
	}
	w.eras.mu.Lock()
	defer w.eras.mu.Unlock()
	if era != w.eras.era || w.eras.settled {
		return false
	}
	w.eras.asked = true
	if settled != era {
		return false
	}
	w.eras.provesFrom, w.eras.settled = min(w.eras.provesFrom, w.Now()), true
	return true
}
