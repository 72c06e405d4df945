package watcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"papayapaddle/internal/pauser"
)

const (
	// minBackoff and maxBackoff bound the delay after a failed call to the store.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Run follows both tables until the context is done.
func (w *Watcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.followTable(ctx, "configuration", w.ConfigTable, &w.configState, w.applyConfig) })
	wg.Go(func() { w.followTable(ctx, "servers", w.ServerTable, &w.serversState, w.applyServers) })
	wg.Wait()
}

// batch holds the rows of one answer of the store or of a peer.
type batch struct {
	rows []Row
	// fullTable says that the rows are the entire table at the position.
	fullTable bool
	position  Position
	// requestedAt is when the request was sent, on the boot clock. confirmationAge is the
	// time since the last confirmation then.
	requestedAt     time.Duration
	confirmationAge time.Duration
	// restored says that the store was restored from a copy since the table was read before.
	restored bool
	// wanted is the position that a peer had when the request was sent, if this router lacks rows up to it.
	wanted Position
}

// answerUse is what became of an answer of the store.
type answerUse int

const (
	// answerConfirms: this router's copy was the newest when the request was sent.
	answerConfirms answerUse = iota
	// answerUnproven: this router's copy may lack changes that the store lost when it was restored.
	answerUnproven
	// answerUnreadable: a row could not be decoded.
	answerUnreadable
	// answerOutdated: the answer is from before a restore of the store.
	answerOutdated
	// answerOfOtherEra: the position that was read from is of another era, so the table must be read whole.
	answerOfOtherEra
)

// followTable reads a table, applies its changes, and repeats when the copy is stale.
func (w *Watcher) followTable(
	ctx context.Context, name string, t Table, state *tableState, apply func(batch) answerUse,
) {
	backoff := minBackoff
	storeLost := false
	w.waitForPeers(ctx, state)
	for ctx.Err() == nil {
		b, err := w.readTable(ctx, t, state)
		if err == nil {
			backoff = minBackoff
			switch w.handleAnswer(name, state, b, apply) {
			case answerOfOtherEra:
				continue
			case answerOutdated:
				pauser.Sleep(ctx, minBackoff)
				continue
			case answerUnproven:
				if w.readSettledEra(ctx) {
					continue
				}
				pauser.Sleep(ctx, max(w.ReadStoreAfter(), minBackoff))
			case answerUnreadable:
				// A corrected row may follow soon.
				pauser.Sleep(ctx, maxBackoff)
			}
			if storeLost {
				storeLost = false
				w.Log("store-regained", "table", name, "away-ms", b.confirmationAge.Milliseconds(), "position", b.position)
			}
			w.waitUntilStale(ctx, state)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if t.IsHistoryGone(err) {
			w.Log("store-history-gone", "table", name, "position", state.next)
			state.loaded = false
			continue
		}
		if !storeLost {
			storeLost = true
			w.Log("store-lost", "table", name, "err", err)
		}
		// Jitter keeps routers from retrying at the same time.
		pauser.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, w.maxBackoff())
		if _, confirmed := w.knownAge(state); confirmed {
			// A peer may have received an answer in the meantime.
			w.waitUntilStale(ctx, state)
		}
	}
}

// readTable reads the whole table, or its changes once it was read.
func (w *Watcher) readTable(ctx context.Context, t Table, state *tableState) (b batch, err error) {
	b = w.newBatch(state)
	if b.fullTable {
		b.rows, b.position, err = t.Read(ctx)
	} else {
		b.rows, b.position, err = t.Changes(ctx, state.next.Version)
	}
	return b, err
}

// newBatch returns a batch for the answer to a request that is sent now.
func (w *Watcher) newBatch(state *tableState) batch {
	b := batch{fullTable: !state.loaded, requestedAt: w.Now(), wanted: state.wanted.take()}
	if age, ok := w.confirmationAge(state); ok {
		b.confirmationAge = max(0, age)
	}
	return b
}

// handleAnswer applies an answer of the store.
func (w *Watcher) handleAnswer(name string, state *tableState, b batch, apply func(batch) answerUse) answerUse {
	if !w.acceptEra(b.position.Era, b.requestedAt) {
		w.Log("store-answer-outdated", "table", name, "position", b.position)
		return answerOutdated
	}
	if !b.fullTable && b.position.Era != state.next.Era {
		// Changes after a version of another era leave out whatever was written under the versions up to it.
		w.Log("store-restored", "table", name, "position", b.position, "was", state.next)
		state.loaded = false
		return answerOfOtherEra
	}
	use := apply(b)
	switch use {
	case answerConfirms:
		state.confirm(b.requestedAt)
	case answerOutdated:
		return use
	}
	if b.wanted.Era == b.position.Era && b.wanted.Version <= b.position.Version {
		state.applied.advance(b.wanted)
	}
	if b.fullTable {
		w.Log("store-read", "table", name, "position", b.position, "was", state.next, "rows", len(b.rows))
	}
	state.next, state.loaded = b.position, true
	return use
}

const (
	// minStaleCheckWait and maxStaleCheckWait bound the wait between two checks of whether
	// the copy is stale.
	minStaleCheckWait = 20 * time.Millisecond
	maxStaleCheckWait = 250 * time.Millisecond
)

// maxBackoff returns the maximum delay after failed calls to the store.
func (w *Watcher) maxBackoff() time.Duration {
	if w.MaxBackoff == nil {
		return maxBackoff
	}
	return max(maxBackoff, w.MaxBackoff())
}

// waitForPeers waits for a peer's confirmation when the process starts. If many routers
// start together, a few of them read the store for all.
func (w *Watcher) waitForPeers(ctx context.Context, state *tableState) {
	for w.WaitForPeersUntil != nil {
		if _, confirmed := w.knownAge(state); confirmed {
			w.waitUntilStale(ctx, state)
			return
		}
		if w.Now() >= w.WaitForPeersUntil() || !pauser.Sleep(ctx, minStaleCheckWait) {
			return
		}
	}
}

// waitUntilStale waits until the confirmation is old or a peer has newer rows.
func (w *Watcher) waitUntilStale(ctx context.Context, state *tableState) {
	for {
		age, ok := w.knownAge(state)
		left := w.ReadStoreAfter() - age
		if !ok || left <= 0 || state.wanted.load().Compare(state.applied.load()) > 0 {
			return
		}
		t := time.NewTimer(min(max(left, minStaleCheckWait), maxStaleCheckWait))
		select {
		case <-t.C:
		case <-state.wake:
			t.Stop()
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}
