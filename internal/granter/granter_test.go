package granter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"papayapaddle/internal/encoder"
)

const testPool = 1

func newOwner(values map[Account]float64) *Owner {
	return &Owner{
		Weight: func(uint32) float64 { return 1 },
		Accounts: Accounts{
			Value:  func(k Account) float64 { return values[k] },
			Charge: func(_ time.Time, k Account, cost float64) { values[k] += cost },
		},
	}
}

// TestGrants draws registrations, releases, gone routers and syncs, and checks
// after each step that no server is granted above its limit, that no slot stays
// free while someone waits, and that burst slots go only to who holds less.
func TestGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := map[Account]float64{}
		o := newOwner(values)
		now := time.Unix(1000, 0)
		burst := rapid.IntRange(0, 2).Draw(t, "burst")
		o.SetServers(now, []Server{{ID: 1, Pool: testPool, Slots: 2, BurstSlots: burst}, {ID: 2, Pool: testPool, Slots: 3}}, now)
		type held struct {
			router string
			offer  encoder.Offer
		}
		var holds []held
		routers := []string{"a", "b", "c"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			router := rapid.SampledFrom(routers).Draw(t, "router")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1, 2:
				k := Account{Pool: testPool, Workspace: rapid.Uint32Range(1, 4).Draw(t, "workspace")}
				n := rapid.IntRange(0, 3).Draw(t, "count")
				o.Register(router, k, Registration{Count: n, Since: now, Cost: 100})
			case 3, 4:
				if len(holds) > 0 {
					i := rapid.IntRange(0, len(holds)-1).Draw(t, "hold")
					h := holds[i]
					o.Release(now, h.router, encoder.Release{Ticket: h.offer.Ticket, Cost: 50})
					// A repetition changes nothing.
					o.Release(now, h.router, encoder.Release{Ticket: h.offer.Ticket, Cost: 50})
					holds = append(holds[:i], holds[i+1:]...)
				}
			case 5:
				o.Gone(now, router)
				var rest []held
				for _, h := range holds {
					if h.router != router {
						rest = append(rest, h)
					}
				}
				holds = rest
			}
			for _, g := range o.Schedule(now) {
				holds = append(holds, held{g.Router, g.Offer})
			}
			o.Accrue(now)
			perServer := map[uint32]int{}
			for _, h := range holds {
				perServer[h.offer.Server]++
			}
			if perServer[1] > 2+burst || perServer[2] > 3 {
				t.Fatalf("granted %v above the limits", perServer)
			}
			if len(o.Registered()) > 0 && (perServer[1] < 2 || perServer[2] < 3) {
				t.Fatalf("slots are free while %v wait", o.Registered())
			}
		}
	})
}

// TestBurstOnlyForWhoHoldsLess fills all slots by one workspace: another one
// gets the burst slot at once, the first does not.
func TestBurstOnlyForWhoHoldsLess(t *testing.T) {
	c := qt.New(t)
	o := newOwner(map[Account]float64{})
	now := time.Unix(1000, 0)
	o.SetServers(now, []Server{{ID: 1, Pool: testPool, Slots: 2, BurstSlots: 1}}, now)
	flood, other := Account{Pool: testPool, Workspace: 1}, Account{Pool: testPool, Workspace: 2}
	o.Register("a", flood, Registration{Count: 9, Since: now, Cost: 10})
	c.Assert(o.Schedule(now), qt.HasLen, 2)
	o.Register("a", other, Registration{Count: 2, Since: now, Cost: 10})
	grants := o.Schedule(now)
	c.Assert(grants, qt.HasLen, 1)
	c.Assert(grants[0].Offer.Workspace, qt.Equals, other.Workspace)
}

// TestFailingServer suspends a server that fails, tries it with one request
// later, and lowers the limit of a slow one.
func TestFailingServer(t *testing.T) {
	c := qt.New(t)
	o := newOwner(map[Account]float64{})
	now := time.Unix(1000, 0)
	o.SetServers(now, []Server{{ID: 1, Pool: testPool, Slots: 4}}, now)
	k := Account{Pool: testPool, Workspace: 1}
	o.Register("a", k, Registration{Count: 20, Since: now, Cost: 10})
	for _, g := range o.Schedule(now)[:3] {
		o.Release(now, "a", encoder.Release{Ticket: g.Offer.Ticket, Cost: 1, Failed: true})
	}
	c.Assert(o.Free(now, testPool), qt.Equals, 0)
	now = now.Add(minSuspend)
	c.Assert(o.Free(now, testPool), qt.Equals, 0, qt.Commentf("one request is still held"))
	o.Gone(now, "a")
	c.Assert(o.Free(now, testPool), qt.Equals, 1)
	o.Register("a", k, Registration{Count: 1, Since: now, Cost: 10})
	g := o.Schedule(now)[0]
	o.Release(now, "a", encoder.Release{Ticket: g.Offer.Ticket, Cost: 10, BetweenMillis: 200})
	c.Assert(o.Free(now, testPool), qt.Equals, 3, qt.Commentf("the limit falls below 4"))
}

// TestHoldBeforeOwnership keeps the case of a bug: a router that saw a change of
// owner first announced its slots to a router that did not own the server yet,
// which forgot them; their settlement was lost and the slots granted again.
func TestHoldBeforeOwnership(t *testing.T) {
	c := qt.New(t)
	values := map[Account]float64{}
	o := newOwner(values)
	now := time.Unix(1000, 0)
	k := Account{Pool: testPool, Workspace: 7}
	o.Hold(now, "a", testPool, encoder.HeldSlot{Server: 1, Ticket: 5, Workspace: 7, Charge: 100})
	o.Hold(now, "a", testPool, encoder.HeldSlot{Server: 1, Ticket: 6, Workspace: 7, Charge: 100})
	o.Release(now, "a", encoder.Release{Ticket: 6, Cost: 300})
	c.Assert(values[k], qt.Equals, 200.0)
	now = now.Add(time.Second)
	o.SetServers(now, []Server{{ID: 1, Pool: testPool, Slots: 2}}, now)
	c.Assert(o.Free(now, testPool), qt.Equals, 1)
	o.Release(now, "a", encoder.Release{Ticket: 5, Cost: 400})
	c.Assert(values[k], qt.Equals, 500.0)
	c.Assert(o.Free(now, testPool), qt.Equals, 2)
}
