package messenger

import (
	"time"

	"papayapaddle/internal/placer"
)

// OwnerCandidates returns the routers that may own backend servers, in an order that is the same while they are. The
// caller must not modify the list.
func (r *Membership) OwnerCandidates() []placer.Router { return r.currentView().owners }

// ReachableShare returns the share of the fleet that this router can reach, itself included. It errs on the low side, as
// routers use it to divide what they may do together.
func (r *Membership) ReachableShare() float64 {
	size := r.FleetSize()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	v := r.currentViewLocked(now)
	heard := func(name string, within time.Duration) bool {
		m := r.peers[name]
		return m != nil && m.heard && now-m.lastHeardAt < within
	}
	known, heardAny := 1, false
	for name, m := range r.peers {
		heardAny = heardAny || heard(name, forgetAfter)
		if m.heard || now-r.startedAt < forgetAfter {
			// Routers that are listed and were never heard may have ended long ago, or run on the other side of a partition
			// since before this router started.
			known++
		}
	}
	if known >= r.maxKnown || now-r.maxKnownAt > forgetAfter {
		r.maxKnown, r.maxKnownAt = known, now
	}
	share := float64(len(v.peers)) / float64(r.maxKnown)
	if r.isLargeFleet() && v.selfIsHub {
		if !heardAny {
			// The size of the fleet follows from what peers say, so without them the list of routers must do.
			size = max(size, len(r.peers)+1)
		}
		// Routers that this one has never contacted, such as the leaves of a hub that it cannot reach, count as running.
		_, fleet := r.sumCounts(v, r.ownCount())
		heardHubs, hubs := 1, len(v.hubs)
		for _, m := range r.peers {
			if m.timedOut && now-r.startedAt < forgetAfter {
				// This router may be cut off since its start, and know the size of the fleet from few others.
				hubs++
			}
		}
		for _, p := range v.hubs {
			if heard(p.Name, 2*r.FailureTimeout) {
				heardHubs++
			}
		}
		share = min(float64(fleet.Size)/float64(max(1, size)), float64(heardHubs)/float64(hubs))
	}
	return min(1, share)
}
