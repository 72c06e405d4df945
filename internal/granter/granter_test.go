package granter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"papayapaddle/internal/encoder"
	"papayapaddle/internal/excluder"
)

const testPool = 1

func newTestGranter(values map[Account]float64) *Granter {
	return &Granter{
		Weight: func(uint32) float64 { return 1 },
		Accounts: AccountFuncs{
			Value:  func(k Account) float64 { return values[k] },
			Charge: func(_ time.Time, k Account, cost float64) { values[k] += cost },
		},
	}
}

// TestGrantsStayWithinLimits applies random registrations, releases and losses of routers. It
// checks after each step that no server has more slots granted than its limit and burst slots, and
// that no slot is free while an account waits.
func TestGrantsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := map[Account]float64{}
		g := newTestGranter(values)
		now := time.Unix(1000, 0)
		burst := rapid.IntRange(0, 2).Draw(t, "burst")
		g.SetServers(now, []Server{{ID: 1, Pool: testPool, Slots: 2, BurstSlots: burst}, {ID: 2, Pool: testPool, Slots: 3}}, now)
		type heldGrant struct {
			router string
			offer  encoder.Offer
		}
		var held []heldGrant
		routers := []string{"a", "b", "c"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			router := rapid.SampledFrom(routers).Draw(t, "router")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1, 2:
				k := Account{Pool: testPool, Workspace: rapid.Uint32Range(1, 4).Draw(t, "workspace")}
				n := rapid.IntRange(0, 3).Draw(t, "count")
				g.Register(router, k, Registration{Count: n, Arrived: now, Cost: 100})
			case 3, 4:
				if len(held) > 0 {
					i := rapid.IntRange(0, len(held)-1).Draw(t, "hold")
					h := held[i]
					g.Release(now, h.router, encoder.Release{Ticket: h.offer.Ticket, Cost: 50})
					// A repeated release has no effect.
					g.Release(now, h.router, encoder.Release{Ticket: h.offer.Ticket, Cost: 50})
					held = append(held[:i], held[i+1:]...)
				}
			case 5:
				g.RouterDown(now, router)
				var remaining []heldGrant
				for _, h := range held {
					if h.router != router {
						remaining = append(remaining, h)
					}
				}
				held = remaining
			}
			for _, grant := range g.Schedule(now) {
				held = append(held, heldGrant{grant.Router, grant.Offer})
			}
			g.AccrueCharges(now)
			perServer := map[uint32]int{}
			for _, h := range held {
				perServer[h.offer.Server]++
			}
			if perServer[1] > 2+burst || perServer[2] > 3 {
				t.Fatalf("granted slots exceed the limits: %v", perServer)
			}
			if len(g.WaitingAccounts()) > 0 && (perServer[1] < 2 || perServer[2] < 3) {
				t.Fatalf("slots are free while accounts %v wait", g.WaitingAccounts())
			}
		}
	})
}

// TestBurstSlotsForAccountWithFewerSlots lets one workspace fill all slots and checks that another
// workspace gets the burst slot, but the first one does not.
func TestBurstSlotsForAccountWithFewerSlots(t *testing.T) {
	c := qt.New(t)
	g := newTestGranter(map[Account]float64{})
	now := time.Unix(1000, 0)
	g.SetServers(now, []Server{{ID: 1, Pool: testPool, Slots: 2, BurstSlots: 1}}, now)
	flood, other := Account{Pool: testPool, Workspace: 1}, Account{Pool: testPool, Workspace: 2}
	g.Register("a", flood, Registration{Count: 9, Arrived: now, Cost: 10})
	c.Assert(g.Schedule(now), qt.HasLen, 2)
	g.Register("a", other, Registration{Count: 2, Arrived: now, Cost: 10})
	grants := g.Schedule(now)
	c.Assert(grants, qt.HasLen, 1)
	c.Assert(grants[0].Offer.Workspace, qt.Equals, other.Workspace)
}

// TestServerSuspensionAndLimit checks that a failing server is suspended and later probed with one
// request, and that a slow server gets a lower limit.
func TestServerSuspensionAndLimit(t *testing.T) {
	c := qt.New(t)
	g := newTestGranter(map[Account]float64{})
	now := time.Unix(1000, 0)
	g.SetServers(now, []Server{{ID: 1, Pool: testPool, Slots: 4}}, now)
	k := Account{Pool: testPool, Workspace: 1}
	g.Register("a", k, Registration{Count: 20, Arrived: now, Cost: 10})
	for _, grant := range g.Schedule(now)[:3] {
		g.Release(now, "a", encoder.Release{Ticket: grant.Offer.Ticket, Cost: 1, Failed: true})
	}
	c.Assert(g.FreeSlots(now, testPool), qt.Equals, 0)
	now = now.Add(minSuspension)
	c.Assert(g.FreeSlots(now, testPool), qt.Equals, 0, qt.Commentf("one request still holds a slot"))
	g.RouterDown(now, "a")
	c.Assert(g.FreeSlots(now, testPool), qt.Equals, 1)
	g.Register("a", k, Registration{Count: 1, Arrived: now, Cost: 10})
	grant := g.Schedule(now)[0]
	g.Release(now, "a", encoder.Release{Ticket: grant.Offer.Ticket, Cost: 10, BetweenMillis: 200})
	c.Assert(g.FreeSlots(now, testPool), qt.Equals, 3, qt.Commentf("the limit must fall below 4"))
}

// TestSilenceOfServerSuspendsItOnce guards against a long suspension of a sound server that was silent once. All requests
// that it had at that time fail together, and those that were left alone succeed when it goes on.
func TestSilenceOfServerSuspendsItOnce(t *testing.T) {
	c := qt.New(t)
	g := newTestGranter(map[Account]float64{})
	now := time.Unix(1000, 0)
	g.SetServers(now, []Server{{ID: 1, Pool: testPool, Slots: 9}}, now)
	k := Account{Pool: testPool, Workspace: 1}
	g.Register("a", k, Registration{Count: 9, Arrived: now, Cost: 10})
	grants := g.Schedule(now)
	for _, grant := range grants[:8] {
		g.Release(now, "a", encoder.Release{Ticket: grant.Offer.Ticket, Cost: 1, Failed: true})
	}
	c.Assert(g.Dump()[0].SuspendedUntil.Sub(now), qt.Equals, minSuspension)
	now = now.Add(minSuspension / 10)
	g.Release(now, "a", encoder.Release{Ticket: grants[8].Offer.Ticket, Cost: 10})
	c.Assert(g.FreeSlots(now, testPool), qt.Equals, 9)
}

// TestAnnouncementBeforeOwnership guards against the loss of slots that a router announces before
// the new owner itself learns of the change of owner. Their charges were lost, and the slots were
// granted again while still in use.
func TestAnnouncementBeforeOwnership(t *testing.T) {
	c := qt.New(t)
	values := map[Account]float64{}
	g := newTestGranter(values)
	now := time.Unix(1000, 0)
	k := Account{Pool: testPool, Workspace: 7}
	g.AddHeldSlot(now, "a", testPool, encoder.HeldSlot{Server: 1, Ticket: 5, Workspace: 7, Charge: 100})
	g.AddHeldSlot(now, "a", testPool, encoder.HeldSlot{Server: 1, Ticket: 6, Workspace: 7, Charge: 100})
	g.Release(now, "a", encoder.Release{Ticket: 6, Cost: 300})
	c.Assert(values[k], qt.Equals, 200.0)
	now = now.Add(time.Second)
	g.SetServers(now, []Server{{ID: 1, Pool: testPool, Slots: 2}}, now)
	c.Assert(g.FreeSlots(now, testPool), qt.Equals, 1)
	g.Release(now, "a", encoder.Release{Ticket: 5, Cost: 400})
	c.Assert(values[k], qt.Equals, 500.0)
	c.Assert(g.FreeSlots(now, testPool), qt.Equals, 2)
}

// TestServerGetsMoreThanItsLimit guards against grants beyond the limit that a server names, though slots are
// free, and against a limit that holds although no answer names it any more.
func TestServerGetsMoreThanItsLimit(t *testing.T) {
	c := qt.New(t)
	const perSecond, seconds = 4, 4
	g := newTestGranter(map[Account]float64{})
	now := time.Unix(1000, 0)
	g.SetServers(now, []Server{{ID: 1, Pool: testPool, Slots: 100}}, now)
	k := Account{Pool: testPool, Workspace: 1}
	run := func() (granted int) {
		for range seconds * 20 {
			now = now.Add(50 * time.Millisecond)
			g.Register("a", k, Registration{Count: 10, Arrived: now, Cost: 10})
			for _, grant := range g.Schedule(now) {
				granted++
				g.Release(now, "a", encoder.Release{Ticket: grant.Offer.Ticket, Cost: 10})
			}
		}
		return granted
	}
	g.SetLimit(now, 1, perSecond, true)
	c.Assert(g.FreeSlots(now, testPool), qt.Equals, 1)
	granted := run()
	c.Assert(granted >= perSecond*seconds-1 && granted <= perSecond*seconds+1, qt.IsTrue, qt.Commentf("%d grants", granted))
	g.SetLimit(now, 1, 0, true)
	granted = run()
	c.Assert(granted <= 2, qt.IsTrue, qt.Commentf("%d grants at a server that takes nothing", granted))
	g.SetLimit(now, 1, 0, false)
	c.Assert(run() > 10*perSecond*seconds, qt.IsTrue)
	g.SetLimit(now, 1, perSecond, true)
	now = now.Add(limitTTL)
	c.Assert(run() > 10*perSecond*seconds, qt.IsTrue)
}

// TestServerGetsRequestsDuringPause guards against grants while a server wants a pause, against all that waited at its end, and
// against a pause that never ends.
func TestServerGetsRequestsDuringPause(t *testing.T) {
	c := qt.New(t)
	g := newTestGranter(map[Account]float64{})
	now := time.Unix(1000, 0)
	g.SetServers(now, []Server{{ID: 1, Pool: testPool, Slots: 100}}, now)
	k := Account{Pool: testPool, Workspace: 1}
	run := func(d time.Duration) (granted int) {
		for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
			g.Register("a", k, Registration{Count: 50, Arrived: now, Cost: 10})
			for _, grant := range g.Schedule(now) {
				granted++
				g.Release(now, "a", encoder.Release{Ticket: grant.Offer.Ticket, Cost: 10})
			}
		}
		return granted
	}
	c.Assert(run(time.Second) > 10*excluder.ReturnRequests, qt.IsTrue)
	g.Pause(now, 1, 3*time.Second)
	g.Pause(now, 1, time.Second)
	c.Assert(run(3*time.Second), qt.Equals, 0)
	granted := run(excluder.ReturnTime)
	c.Assert(granted > 0 && granted <= excluder.ReturnRequests+1, qt.IsTrue, qt.Commentf("%d grants", granted))
	c.Assert(run(time.Second) > 10*excluder.ReturnRequests, qt.IsTrue)
	g.Pause(now, 1, 365*24*time.Hour)
	now = now.Add(excluder.MaxPause + excluder.ReturnTime)
	c.Assert(run(time.Second) > 10*excluder.ReturnRequests, qt.IsTrue)
}
