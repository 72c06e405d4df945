package conductor

import (
	"context"
	"math/rand/v2"
	"time"

	"papayapaddle/internal/pauser"
)

// After a restore of the store, routers write their entries again within minRewriteSpread, or rewriteSpreadPerRouter for
// each router of the fleet if that is longer, so that they do not all write at the same time.
const (
	minRewriteSpread       = 500 * time.Millisecond
	rewriteSpreadPerRouter = 10 * time.Millisecond
)

// notify sends a value unless one is waiting already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// handleEra is called when this router learns of another era of the store.
func (n *node) handleEra(era uint64, restored bool) {
	n.era.Store(era)
	notify(n.eraLearned)
	if restored {
		notify(n.verdictsChanged)
	}
}

// keepRegistered writes this router's entry again when the store may have lost it.
func (n *node) keepRegistered(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.eraLearned:
		}
		registered, era := n.registeredEra.Load(), n.era.Load()
		if registered >= era || registered == 0 {
			// Not lost, or not yet written for the first time.
			continue
		}
		spread := max(minRewriteSpread, time.Duration(n.membership.FleetSize())*rewriteSpreadPerRouter)
		if !pauser.Sleep(ctx, rand.N(spread)) || n.retry(ctx, func() error { return n.putRouter(ctx) }) != nil {
			return
		}
		n.log("registered-again", "era", n.registeredEra.Load(), "was", registered)
	}
}

// handleSettledEra is called when the operators have written again what the store lost before an era.
func (n *node) handleSettledEra(era uint64) {
	select {
	case <-n.settledEras:
		// An earlier era that was not written yet.
	default:
	}
	n.settledEras <- era
}

// keepSettledEra writes each settled era for routers that start later, which cannot tell since when the store has been in its
// era. Without it they take a configuration for current later than they could.
func (n *node) keepSettledEra(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case era := <-n.settledEras:
			n.retryAsFirst(ctx, "settled-era-not-saved", func() error { return n.store.PutSettledEra(ctx, era) })
		}
	}
}
