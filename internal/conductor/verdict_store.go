package conductor

import (
	"context"
	"time"

	"papayapaddle/internal/failer"
	"papayapaddle/internal/pauser"
	"papayapaddle/internal/quarantiner"
	"papayapaddle/internal/timer"
	"papayapaddle/platform"
)

// verdictReadDelay is when after its start a router reads the verdicts. By then it knows its peers, of which
// the first by rank reads them and gossips them to the others.
const verdictReadDelay = time.Second

// verdictSaveDelay lets changes of verdicts that belong together be written at once.
const verdictSaveDelay = 300 * time.Millisecond

// evidencePeriod is how often the evidence is compared with what was written last.
const evidencePeriod = time.Second

// The store is asked up to storeAttempts times, after storeRetryDelay at first and twice as long each
// time.
const (
	storeAttempts   = 6
	storeRetryDelay = 500 * time.Millisecond
)

// retryAsFirst calls f until it succeeds, at most storeAttempts times, at the first router by rank only. What it
// reads and writes is an optimization, and the store may be away for long.
func (n *node) retryAsFirst(ctx context.Context, event string, f func() error) {
	delay := storeRetryDelay
	for range storeAttempts {
		if n.membership.StoreReadRank() != 0 {
			return
		}
		err := f()
		if err == nil {
			return
		}
		n.log(event, "err", err)
		if failer.KindOf[platform.Kind](err) == platform.KindInvalid || !pauser.Sleep(ctx, delay) {
			return
		}
		delay *= 2
	}
}

// readVerdicts reads the verdicts that routers reached before this one started and their other evidence, in case none of them
// still runs.
func (n *node) readVerdicts(ctx context.Context) error {
	saved, err := n.store.GetVerdicts(ctx)
	if err != nil {
		return err
	}
	since := max(0, time.Duration(time.Now().UnixMilli()-saved.SavedUnixMilli)*time.Millisecond)
	for _, evidence := range [][]quarantiner.Evidence{saved.Evidence, saved.Suspects} {
		for _, e := range evidence {
			for i := range e.Crashes {
				e.Crashes[i].Age += since
			}
		}
		n.quarantiner.Import(timer.SinceBoot(), evidence)
	}
	return nil
}

// keepVerdicts reads the verdicts and other evidence after the start and writes them after each change until the context ends.
// Only the first router by rank of those that can reach each other does.
func (n *node) keepVerdicts(ctx context.Context) {
	if !pauser.Sleep(ctx, verdictReadDelay) {
		return
	}
	n.retryAsFirst(ctx, "verdicts-not-read", func() error { return n.readVerdicts(ctx) })
	// written is the digest of the evidence that this router wrote last.
	written := uint64(0)
	tick := time.NewTicker(evidencePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.verdictsChanged:
			if !pauser.Sleep(ctx, verdictSaveDelay) {
				return
			}
		case <-tick.C:
			if n.quarantiner.ExportDigest(timer.SinceBoot()) == written {
				continue
			}
		}
		n.retryAsFirst(ctx, "verdicts-not-saved", func() error {
			now := timer.SinceBoot()
			written = n.quarantiner.ExportDigest(now)
			return n.store.PutVerdicts(ctx, platform.Verdicts{
				SavedUnixMilli: time.Now().UnixMilli(), Evidence: n.quarantiner.Export(now), Suspects: n.quarantiner.ExportSuspects(now),
			})
		})
	}
}
