package allocator

import (
	"maps"
	"slices"
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/messenger"
)

// ReportFirstEvent reports to the owner that the first event, or the first one after a silence, was received.
func (s *Slot) ReportFirstEvent() { s.reportOutcome(admitter.Outcome{First: true}) }

// ReportSilence reports to the owner that the server has sent nothing for too long. The slot stays held, as the
// server may go on.
func (s *Slot) ReportSilence() { s.reportOutcome(admitter.Outcome{Failed: true}) }

// Release reports to the owner that the request ended, and whether the server failed it or
// returned a complete answer. Only the first call has an effect.
func (s *Slot) Release(failed, complete bool) {
	s.releaseOnce.Do(func() {
		s.allocator.removeSlot(s)
		s.reportOutcome(admitter.Outcome{Done: true, Failed: failed, Whole: complete})
	})
}

// Cancel gives the slot back without an outcome, as its request shows nothing of the server. Only the first
// call of Cancel or Release has an effect.
func (s *Slot) Cancel() {
	s.releaseOnce.Do(func() {
		s.allocator.removeSlot(s)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.allocator.sendCancel(s.owner, s.request)
	})
}

func (s *Slot) reportOutcome(o admitter.Outcome) {
	o.Router, o.ID, o.Server = s.allocator.Self.Name, s.request.ID, s.Server.ID
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.sendUpdates(s.owner, messenger.RequestUpdates{Outcomes: []admitter.Outcome{o}})
}

// sendUpdates sends request updates to the owner of a server, or applies them if this router
// is the owner.
func (a *Allocator) sendUpdates(owner messenger.Peer, updates messenger.RequestUpdates) {
	updates.From = a.Self.Name
	if owner.Name == a.Self.Name {
		a.HandleRequestUpdates(&updates)
		return
	}
	a.Messenger.UpdateRequests(owner.Address, updates)
}

// sendCancel tells the owner that a request is no longer needed.
func (a *Allocator) sendCancel(owner messenger.Peer, req *admitter.Request) {
	a.sendUpdates(owner, messenger.RequestUpdates{
		Canceled: []messenger.CanceledRequest{{Server: req.Engine.ID, ID: req.ID}},
	})
}

// addSlot registers a granted slot until it is released.
func (a *Allocator) addSlot(s *Slot) *Slot {
	a.slotsMu.Lock()
	defer a.slotsMu.Unlock()
	if a.slots == nil {
		a.slots = map[uint64]*Slot{}
	}
	a.slots[s.request.ID] = s
	return s
}

func (a *Allocator) removeSlot(s *Slot) {
	a.slotsMu.Lock()
	defer a.slotsMu.Unlock()
	delete(a.slots, s.request.ID)
}

// ReportSlotsToNewOwners reports this router's slots to the routers that have become owners
// of their servers, so that these do not overload the engines.
func (a *Allocator) ReportSlotsToNewOwners() {
	a.slotsMu.Lock()
	slots := slices.Collect(maps.Values(a.slots))
	a.slotsMu.Unlock()
	owners := map[string]messenger.Peer{}
	for _, s := range slots {
		id := s.Server.ID
		owner, ok := owners[id]
		if !ok {
			owner = a.Self
			if first := a.Membership.Owners(id, s.Server.AvailabilityZone, 1); len(first) > 0 {
				owner = first[0]
			}
			owners[id] = owner
		}
		s.setOwner(owner)
	}
}

// ResendSlots reports this router's slots again to an owner that has removed them.
func (a *Allocator) ResendSlots(ownerAddress string) {
	a.slotsMu.Lock()
	slots := slices.Collect(maps.Values(a.slots))
	a.slotsMu.Unlock()
	for _, s := range slots {
		s.mu.Lock()
		if s.owner.Address == ownerAddress {
			a.sendUpdates(s.owner, messenger.RequestUpdates{Held: []messenger.HeldSlot{s.heldMessage()}})
		}
		s.mu.Unlock()
	}
}

// heldMessage returns the message that describes the slot to an owner that does not know it.
func (s *Slot) heldMessage() messenger.HeldSlot {
	message := messenger.HeldSlot{Ask: *s.request, DeadlineIn: time.Until(s.request.Deadline)}
	message.Ask.FirstBy, message.Ask.Deadline, message.Ask.Arrived = time.Time{}, time.Time{}, time.Time{}
	return message
}

// setOwner reports the slot to a new owner and releases it at the previous one. The owners'
// incarnations are compared too, because a restarted owner has lost its state.
func (s *Slot) setOwner(owner messenger.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner == owner {
		return
	}
	previous := s.owner
	s.owner = owner
	s.allocator.sendUpdates(owner, messenger.RequestUpdates{Held: []messenger.HeldSlot{s.heldMessage()}})
	if previous.Name != owner.Name {
		s.allocator.sendCancel(previous, s.request)
	}
}
