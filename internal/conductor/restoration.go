package conductor

import "context"

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
