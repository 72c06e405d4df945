package allocator

import (
	"maps"
	"slices"
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/messenger"
)

// ReportFirstEvent tells the owner that the first event came.
func (s *Slot) ReportFirstEvent() { s.reportOutcome(admitter.Outcome{First: true}) }

// Release tells the owner that the request ended: failed by the server, or with the whole
// answer, or otherwise.
func (s *Slot) Release(failed, complete bool) {
	s.releaseOnce.Do(func() {
		s.allocator.slotsMu.Lock()
		delete(s.allocator.slots, s.request.ID)
		s.allocator.slotsMu.Unlock()
		s.reportOutcome(admitter.Outcome{Done: true, Failed: failed, Whole: complete})
	})
}

func (s *Slot) reportOutcome(o admitter.Outcome) {
	o.Router, o.ID, o.Server = s.allocator.Self.Name, s.request.ID, s.Server.ID
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.sendSettlement(s.owner, messenger.Settlement{Outcomes: []admitter.Outcome{o}})
}

// sendSettlement tells an owner, which may be this router.
func (a *Allocator) sendSettlement(owner messenger.Peer, s messenger.Settlement) {
	s.From = a.Self.Name
	if owner.Name == a.Self.Name {
		a.HandleSettle(&s)
		return
	}
	a.Messenger.Settle(owner.Address, s)
}

// sendCancel tells an owner that nobody waits for an ask.
func (a *Allocator) sendCancel(owner messenger.Peer, req *admitter.Request) {
	a.sendSettlement(owner, messenger.Settlement{Canceled: []messenger.Canceled{{Server: req.Engine.ID, ID: req.ID}}})
}

// addSlot notes a granted place.
func (a *Allocator) addSlot(s *Slot) *Slot {
	a.slotsMu.Lock()
	defer a.slotsMu.Unlock()
	if a.slots == nil {
		a.slots = map[uint64]*Slot{}
	}
	a.slots[s.request.ID] = s
	return s
}

// ReportSlotsToNewOwners tells new owners of servers which of their places this router's
// requests hold, so that they do not hand an engine more than it can take.
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
			if first := a.Roster.Owners(id, s.Server.AvailabilityZone, 1); len(first) > 0 {
				owner = first[0]
			}
			owners[id] = owner
		}
		s.setOwner(owner)
	}
}

// ResendSlots tells an owner that has given them up which places this router's requests
// hold there.
func (a *Allocator) ResendSlots(ownerAddress string) {
	a.slotsMu.Lock()
	slots := slices.Collect(maps.Values(a.slots))
	a.slotsMu.Unlock()
	for _, s := range slots {
		s.mu.Lock()
		if s.owner.Address == ownerAddress {
			a.sendSettlement(s.owner, messenger.Settlement{Held: []messenger.Held{s.heldMessage()}})
		}
		s.mu.Unlock()
	}
}

// heldMessage describes a place to an owner that does not know it.
func (s *Slot) heldMessage() messenger.Held {
	message := messenger.Held{Ask: *s.request, DeadlineIn: time.Until(s.request.Deadline)}
	message.Ask.FirstBy, message.Ask.Deadline, message.Ask.Arrived = time.Time{}, time.Time{}, time.Time{}
	return message
}

// setOwner tells a place to another owner. An owner that was replaced by a new
// process knows nothing of it, so the incarnation counts too.
func (s *Slot) setOwner(owner messenger.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner == owner {
		return
	}
	previous := s.owner
	s.owner = owner
	s.allocator.sendSettlement(owner, messenger.Settlement{Held: []messenger.Held{s.heldMessage()}})
	if previous.Name != owner.Name {
		s.allocator.sendCancel(previous, s.request)
	}
}
