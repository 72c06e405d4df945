package messenger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// simulatedFleet runs the memberships of a fleet in virtual time. Messages are delivered
// instantly. Routers that are down or partitioned from each other do not answer.
type simulatedFleet struct {
	now         time.Duration
	memberships map[string]*Membership
	down        map[string]bool
	partitioned func(a, b string) bool
	// lostAt is when each router learned that another one was lost, by router.
	lostAt map[string]map[string]time.Duration
	// exchangeCount is the number of gossip exchanges of each router.
	exchangeCount map[string]int
}

// testZones are the availability zones of a simulated fleet. Three routers of each have a
// larger CPU share than the others.
var testZones = []string{"a", "b", "c", "d", "e"}

func newSimulatedFleet(n int) *simulatedFleet {
	f := &simulatedFleet{
		now: time.Hour, memberships: map[string]*Membership{}, down: map[string]bool{},
		partitioned: func(a, b string) bool { return false },
		lostAt:      map[string]map[string]time.Duration{}, exchangeCount: map[string]int{},
	}
	var all []Peer
	for i := range n {
		p := Peer{
			Name: fmt.Sprintf("r%03d", i), AvailabilityZone: testZones[i%5], Incarnation: 1, CPUShare: 0.2,
		}
		if i < 15 {
			p.CPUShare = 0.8
		}
		all = append(all, p)
	}
	for _, p := range all {
		r := NewMembership(p, 800*time.Millisecond, func() time.Duration { return f.now })
		r.Add(all...)
		f.memberships[p.Name] = r
		f.lostAt[p.Name] = map[string]time.Duration{}
	}
	return f
}

func (f *simulatedFleet) names() []string {
	var out []string
	for n := range f.memberships {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// deliver sends one router's gossip to another.
func (f *simulatedFleet) deliver(from, to string) {
	var gossip Gossip
	f.memberships[from].FillGossip(to, &gossip)
	_, _, lost := f.memberships[to].ApplyGossip(&gossip)
	for _, p := range lost {
		f.lostAt[to][p.Name] = f.now
	}
}

// tickPeriod is the period in which routers check which gossip is due.
const tickPeriod = 100 * time.Millisecond

func (f *simulatedFleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += tickPeriod {
		for _, name := range f.names() {
			if f.down[name] {
				continue
			}
			for _, p := range f.memberships[name].PeersDue(2*tickPeriod, false) {
				f.exchangeCount[name]++
				if f.down[p.Name] || f.partitioned(name, p.Name) {
					continue
				}
				f.exchangeCount[p.Name]++
				f.deliver(name, p.Name)
				f.deliver(p.Name, name)
			}
			for _, lost := range f.memberships[name].TimedOut() {
				if _, ok := f.lostAt[name][lost]; !ok {
					f.lostAt[name][lost] = f.now
				}
			}
		}
	}
}

func (f *simulatedFleet) owner(at, server, zone string) string {
	o := f.memberships[at].Owners(server, zone, 1)
	if len(o) == 0 {
		return ""
	}
	return o[0].Name
}

// ownerDisagreement describes a backend server for which running routers name different
// owners or one that is down, or returns "" if there is none.
func (f *simulatedFleet) ownerDisagreement() string {
	for i := range 20 {
		server, zone := fmt.Sprintf("s%d", i), testZones[i%5]
		want := ""
		for _, name := range f.names() {
			if f.down[name] {
				continue
			}
			got := f.owner(name, server, zone)
			switch {
			case want == "":
				want = got
			case want != got:
				return fmt.Sprintf("%s names %s as the owner of %s, others name %s", name, got, server, want)
			}
		}
		if f.down[want] {
			return want + " owns " + server + " but is down"
		}
	}
	return ""
}

// detectionTime is the time within which the loss of a router must be known, whatever the
// size of the fleet.
const detectionTime = 1500 * time.Millisecond

func TestLargeFleetLimitsGossipPeers(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{100, 390} {
		f := newSimulatedFleet(n)
		f.advance(2 * time.Second)
		c.Assert(f.ownerDisagreement(), qt.Equals, "")
		clear(f.exchangeCount)
		f.advance(2 * time.Second)
		for _, name := range f.names() {
			isLeaf := !slices.ContainsFunc(f.memberships[name].currentView().hubs,
				func(p Peer) bool { return p.Name == name })
			if isLeaf {
				// It exchanges gossip with two hubs every 300 ms.
				c.Assert(f.exchangeCount[name] <= 2*2*4, qt.IsTrue,
					qt.Commentf("%s: %d exchanges", name, f.exchangeCount[name]))
			}
			c.Assert(f.memberships[name].FleetSize(), qt.Equals, n, qt.Commentf("%s", name))
		}
		c.Assert(len(f.memberships["r000"].currentView().hubs) <= 2*targetHubs, qt.IsTrue)
	}
}

func TestLostHubIsReplaced(t *testing.T) {
	c := qt.New(t)
	f := newSimulatedFleet(300)
	f.advance(2 * time.Second)
	for _, hub := range []string{"r000", "r005", "r010"} {
		// All three routers of the zone with a large CPU share, one after the other.
		f.down[hub] = true
		f.advance(detectionTime)
		c.Assert(f.ownerDisagreement(), qt.Equals, "")
	}
	// They resume with the state that they had before.
	for _, hub := range []string{"r000", "r005", "r010"} {
		f.down[hub] = false
	}
	f.advance(3 * time.Second)
	c.Assert(f.ownerDisagreement(), qt.Equals, "")
	c.Assert(slices.ContainsFunc(f.memberships["r299"].currentView().hubs,
		func(p Peer) bool { return p.Name == "r000" }), qt.IsTrue)
}

func TestHubsDetectLostLeaf(t *testing.T) {
	c := qt.New(t)
	f := newSimulatedFleet(300)
	f.advance(2 * time.Second)
	f.down["r200"] = true
	f.advance(detectionTime)
	for _, p := range f.memberships["r000"].currentView().hubs {
		at, ok := f.lostAt[p.Name]["r200"]
		c.Assert(ok, qt.IsTrue, qt.Commentf("%s does not know that r200 is lost", p.Name))
		c.Assert(at > 0, qt.IsTrue)
	}
	// No other router was reported lost.
	for _, name := range f.names() {
		for lost := range f.lostAt[name] {
			c.Assert(lost, qt.Equals, "r200")
		}
	}
}

func TestZonePartitionHeals(t *testing.T) {
	c := qt.New(t)
	f := newSimulatedFleet(300)
	f.advance(2 * time.Second)
	for _, name := range f.names() {
		f.memberships[name].FleetSize()
	}
	zone := func(name string) string { return f.memberships[name].Self.AvailabilityZone }
	f.partitioned = func(a, b string) bool { return (zone(a) == "b") != (zone(b) == "b") }
	f.advance(5 * time.Second)
	// FleetSize still counts the partitioned routers, so no router raises its share of the
	// fleet's limits.
	for _, name := range []string{"r000", "r001", "r298", "r296"} {
		c.Assert(f.memberships[name].FleetSize(), qt.Equals, 300, qt.Commentf("%s", name))
	}
	// Each side assigns servers to its own routers.
	c.Assert(zone(f.owner("r001", "s", "b")), qt.Equals, "b")
	c.Assert(zone(f.owner("r000", "s", "a")), qt.Equals, "a")
	f.partitioned = func(a, b string) bool { return false }
	f.advance(4 * time.Second)
	c.Assert(f.ownerDisagreement(), qt.Equals, "")
}

// TestWholeZoneRestarts replaces all routers of an availability zone at the same moment.
func TestWholeZoneRestarts(t *testing.T) {
	c := qt.New(t)
	f := newSimulatedFleet(300)
	f.advance(2 * time.Second)
	var all []Peer
	for _, name := range f.names() {
		all = append(all, f.memberships[name].Self)
	}
	for i, p := range all {
		if p.AvailabilityZone == "c" {
			all[i].Incarnation = 2
			r := NewMembership(all[i], 800*time.Millisecond, func() time.Duration { return f.now })
			r.Add(all...)
			f.memberships[p.Name] = r
		}
	}
	f.advance(detectionTime)
	c.Assert(f.ownerDisagreement(), qt.Equals, "")
	for _, p := range f.memberships["r000"].currentView().hubs {
		if p.AvailabilityZone == "c" {
			c.Assert(p.Incarnation, qt.Equals, uint64(2))
		}
	}
}
