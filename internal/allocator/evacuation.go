package allocator

import (
	"context"
	"errors"
	"slices"
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/messenger"
)

// maxEvacuatedRounds is how often a request that was refused since a zone is evacuated is tried elsewhere. Two zones may be
// evacuated at once.
const maxEvacuatedRounds = 4

// retryAfterEvacuated is the retry delay if the servers that were tried are in evacuated zones.
const retryAfterEvacuated = 300 * time.Millisecond

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

// pendingAsk is a request of this router that an owner has not decided.
type pendingAsk struct {
	server string
	cancel context.CancelCauseFunc
}

var errEvacuated = errors.New("the zone is evacuated")

// withEvacuation returns a context that also ends when the zone of a request's server is evacuated, and a function that must be
// called once the owner has decided.
func (a *Allocator) withEvacuation(ctx context.Context, req *admitter.Request) (context.Context, func()) {
	if a.Admitter.Evacuated == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	a.asksMu.Lock()
	if a.asks == nil {
		a.asks = map[uint64]pendingAsk{}
	}
	a.asks[req.ID] = pendingAsk{req.Engine.ID, cancel}
	a.asksMu.Unlock()
	if a.Admitter.Evacuated(req.Engine.ID) {
		// The server was chosen just before.
		cancel(errEvacuated)
	}
	return ctx, func() {
		a.asksMu.Lock()
		delete(a.asks, req.ID)
		a.asksMu.Unlock()
		cancel(nil)
	}
}

// evacuatedRefusal returns the refusal of a request whose server is in an evacuated zone.
func (a *Allocator) evacuatedRefusal(server string, owner messenger.Peer, reply messenger.AdmitReply) *Refusal {
	if a.OnEvacuated != nil {
		a.OnEvacuated(server)
	}
	return &Refusal{
		Reason: admitter.ReasonEvacuated, Server: server, Owner: owner.Name, Reply: reply, RetryAfter: max(reply.RetryAfter, retryAfterEvacuated),
		evacuated: []string{server},
	}
}

// HandleEvacuations must be called when the evacuation of zones has begun or ended. Requests that wait for the servers of evacuated
// zones are refused, at this router as their owner and, if they are this router's own, wherever they wait: the owner may
// not know of the evacuation.
func (a *Allocator) HandleEvacuations() {
	a.withAdmitter(func(now time.Time, ad *admitter.Admitter) { ad.Tick(now) })
	if a.Admitter.Evacuated == nil {
		return
	}
	a.asksMu.Lock()
	defer a.asksMu.Unlock()
	for _, ask := range a.asks {
		if a.Admitter.Evacuated(ask.server) {
			ask.cancel(errEvacuated)
		}
	}
}
