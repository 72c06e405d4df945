package allocator

import (
	"maps"
	"slices"
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/messenger"
)

// Began tells the owner that the first event came.
func (p *Place) Began() { p.tell(admitter.Outcome{First: true}) }

// End tells the owner that the request ended: failed by the server, or with the whole
// answer, or otherwise.
func (p *Place) End(failed, whole bool) {
	p.once.Do(func() {
		p.a.placesMu.Lock()
		delete(p.a.places, p.ask.ID)
		p.a.placesMu.Unlock()
		p.tell(admitter.Outcome{Done: true, Failed: failed, Whole: whole})
	})
}

func (p *Place) tell(o admitter.Outcome) {
	o.Router, o.ID, o.Server = p.a.Self.Name, p.ask.ID, p.Server.ID
	p.mu.Lock()
	defer p.mu.Unlock()
	p.a.settle(p.owner, messenger.RequestUpdates{Outcomes: []admitter.Outcome{o}})
}

// settle tells an owner, which may be this router.
func (a *Allocator) settle(owner messenger.Peer, s messenger.RequestUpdates) {
	s.From = a.Self.Name
	if owner.Name == a.Self.Name {
		a.HandleSettle(&s)
		return
	}
	a.Messenger.UpdateRequests(owner.Address, s)
}

// withdraw tells an owner that nobody waits for an ask.
func (a *Allocator) withdraw(owner messenger.Peer, k *admitter.Ask) {
	a.settle(owner, messenger.RequestUpdates{Canceled: []messenger.CanceledRequest{{Server: k.Engine.ID, ID: k.ID}}})
}

// hold notes a granted place.
func (a *Allocator) hold(p *Place) *Place {
	a.placesMu.Lock()
	defer a.placesMu.Unlock()
	if a.places == nil {
		a.places = map[uint64]*Place{}
	}
	a.places[p.ask.ID] = p
	return p
}

// HandOver tells new owners of servers which of their places this router's
// requests hold, so that they do not hand an engine more than it can take.
func (a *Allocator) HandOver() {
	a.placesMu.Lock()
	places := slices.Collect(maps.Values(a.places))
	a.placesMu.Unlock()
	owners := map[string]messenger.Peer{}
	for _, p := range places {
		id := p.Server.ID
		o, ok := owners[id]
		if !ok {
			o = a.Self
			if first := a.Roster.Owners(id, p.Server.AvailabilityZone, 1); len(first) > 0 {
				o = first[0]
			}
			owners[id] = o
		}
		p.moveTo(o)
	}
}

// Retell tells an owner that has given them up which places this router's requests
// hold there.
func (a *Allocator) Retell(owner string) {
	a.placesMu.Lock()
	places := slices.Collect(maps.Values(a.places))
	a.placesMu.Unlock()
	for _, p := range places {
		p.mu.Lock()
		if p.owner.Address == owner {
			a.settle(p.owner, messenger.RequestUpdates{Held: []messenger.HeldSlot{p.held()}})
		}
		p.mu.Unlock()
	}
}

// held describes a place to an owner that does not know it.
func (p *Place) held() messenger.HeldSlot {
	h := messenger.HeldSlot{Ask: *p.ask, DeadlineIn: time.Until(p.ask.Deadline)}
	h.Ask.FirstBy, h.Ask.Deadline, h.Ask.Arrived = time.Time{}, time.Time{}, time.Time{}
	return h
}

// moveTo tells a place to another owner. An owner that was replaced by a new
// process knows nothing of it, so the incarnation counts too.
func (p *Place) moveTo(o messenger.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owner == o {
		return
	}
	was := p.owner
	p.owner = o
	p.a.settle(o, messenger.RequestUpdates{Held: []messenger.HeldSlot{p.held()}})
	if was.Name != o.Name {
		p.a.withdraw(was, p.ask)
	}
}
