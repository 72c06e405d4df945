package allocator

import (
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/messenger"
	"papayapaddle/internal/steerer"
)

// HandleRequestUpdates applies the running requests, outcomes and cancellations reported by a
// peer. It reports whether this router had removed the peer's requests, so that the peer must
// send them again.
func (a *Allocator) HandleRequestUpdates(updates *messenger.RequestUpdates) (removed bool) {
	a.withAdmitter(func(now time.Time, ad *admitter.Admitter) {
		removed = a.removedRouters[updates.From]
		delete(a.removedRouters, updates.From)
		for _, h := range updates.Held {
			req := h.Ask
			req.Arrived, req.FirstBy, req.Deadline = now, now, now.Add(h.DeadlineIn)
			ad.Adopt(now, &req)
		}
		for _, o := range updates.Outcomes {
			ad.RecordOutcome(now, o)
		}
		for _, c := range updates.Canceled {
			key := waiterKey{updates.From, c.ID}
			if ch := a.waiters[key]; ch != nil {
				// Unblock the HandleAdmit call for this request.
				delete(a.waiters, key)
				ch <- admitter.Decision{
					Request: &admitter.Request{Router: updates.From, ID: c.ID}, Reason: ReasonCanceled,
				}
			}
			ad.Cancel(now, c.Server, updates.From, c.ID)
		}
	})
	return removed
}

// RemoveRouter removes the requests of a router that left or is unreachable. If the router
// is still running, it sends its running requests again when contact is restored.
func (a *Allocator) RemoveRouter(router string) {
	a.withAdmitter(func(now time.Time, ad *admitter.Admitter) {
		ad.RemoveRouter(now, router)
		for key, ch := range a.waiters {
			if key.router == router {
				// The router may still be running, and its callers must get an answer.
				delete(a.waiters, key)
				ch <- admitter.Decision{
					Request: &admitter.Request{Router: key.router, ID: key.id},
					Reason:  ReasonRouterUnheard, RetryAfter: retryAfterRouterUnheard,
				}
			}
		}
		if a.removedRouters == nil {
			a.removedRouters = map[string]bool{}
		}
		a.removedRouters[router] = true
	})
}

// RetainServers removes all servers that are not in the given map, and starts anew with those that have
// started again.
func (a *Allocator) RetainServers(servers map[string]*cataloger.Server) {
	a.loadsMu.Lock()
	kept := make(map[string]steerer.Load, len(a.loads))
	var removed []string
	for id, load := range a.loads {
		if servers[id] != nil {
			kept[id] = load
		} else {
			removed = append(removed, id)
		}
	}
	a.loads = kept
	a.loadsMu.Unlock()
	a.withAdmitter(func(now time.Time, ad *admitter.Admitter) {
		for _, id := range removed {
			ad.RemoveServer(now, id)
		}
		startedAt := make(map[string]int64, len(servers))
		for id, s := range servers {
			startedAt[id] = s.StartedUnixMilli
			if before, known := a.startedAt[id]; known && before != s.StartedUnixMilli {
				ad.RestartServer(now, id)
			}
		}
		a.startedAt = startedAt
	})
}

// Dump returns the state of the servers that this router owns or owned, for operators.
func (a *Allocator) Dump() []admitter.ServerState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Admitter.Dump(time.Now())
}
