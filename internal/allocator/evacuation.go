package allocator

import (
	"context"
	"slices"
	"time"

	"papayapaddle/internal/admitter"
)

// maxEvacuatedRounds is how often a request that was refused since a zone is evacuated is tried elsewhere. Two zones may be
// evacuated at once.
const maxEvacuatedRounds = 4

// Acquire obtains a slot, waiting for it if the request's time targets allow. It tries the best server for the prompt and one
// other. Servers that are refused since their zone is evacuated, which this router may not know yet, do not count.
func (a *Allocator) Acquire(ctx context.Context, req *SlotRequest) (*Slot, *Refusal) {
	for round := 1; ; round++ {
		slot, refusal := a.tryServers(ctx, req)
		if refusal == nil || refusal.Reason != admitter.ReasonEvacuated || round == maxEvacuatedRounds {
			return slot, refusal
		}
		next := *req
		next.ExcludedServers = append(slices.Clip(req.ExcludedServers), refusal.evacuated...)
		req = &next
	}
}

// Reschedule decides again about the requests that wait for the owned servers.
func (a *Allocator) Reschedule() {
	a.withAdmitter(func(now time.Time, ad *admitter.Admitter) { ad.Tick(now) })
}
