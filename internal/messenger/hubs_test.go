package messenger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// simulatedFleet is a fleet of rosters in virtual time. Messages take no time; routers that are
// down or cut off from each other do not answer.
type simulatedFleet struct {
	now         time.Duration
	rosters     map[string]*Membership
	down        map[string]bool
	partitioned func(a, b string) bool
	// lostAt are those whose holds a router gave up, by router.
	lostAt map[string]map[string]time.Duration
	// exchangeCount counts the news of each router.
	exchangeCount map[string]int
}

// testZones are the zones of a town; three routers of each have a whole core.
var testZones = []string{"a", "b", "c", "d", "e"}

func newSimulatedFleet(n int) *simulatedFleet {
	f := &simulatedFleet{
		now: time.Hour, rosters: map[string]*Membership{}, down: map[string]bool{}, partitioned: func(a, b string) bool { return false },
		lostAt: map[string]map[string]time.Duration{}, exchangeCount: map[string]int{},
	}
	var all []Peer
	for i := range n {
		p := Peer{Name: fmt.Sprintf("r%03d", i), AvailabilityZone: testZones[i%5], Incarnation: 1, CPUShare: 0.2}
		if i < 15 {
			p.CPUShare = 0.8
		}
		all = append(all, p)
	}
	for _, p := range all {
		r := NewMembership(p, 800*time.Millisecond, func() time.Duration { return f.now })
		r.Add(all...)
		f.rosters[p.Name] = r
		f.lostAt[p.Name] = map[string]time.Duration{}
	}
	return f
}

func (f *simulatedFleet) names() []string {
	var out []string
	for n := range f.rosters {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// deliver carries one router's news to another.
func (f *simulatedFleet) deliver(from, to string) {
	var n Gossip
	f.rosters[from].FillGossip(to, &n)
	_, _, lost := f.rosters[to].ApplyGossip(&n)
	for _, p := range lost {
		f.lostAt[to][p.Name] = f.now
	}
}

// tickPeriod is the period in which routers look whom to ask.
const tickPeriod = 100 * time.Millisecond

func (f *simulatedFleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += tickPeriod {
		for _, name := range f.names() {
			if f.down[name] {
				continue
			}
			for _, p := range f.rosters[name].PeersDue(2*tickPeriod, false) {
				f.exchangeCount[name]++
				if f.down[p.Name] || f.partitioned(name, p.Name) {
					continue
				}
				f.exchangeCount[p.Name]++
				f.deliver(name, p.Name)
				f.deliver(p.Name, name)
			}
			for _, lost := range f.rosters[name].TimedOut() {
				if _, ok := f.lostAt[name][lost]; !ok {
					f.lostAt[name][lost] = f.now
				}
			}
		}
	}
}

func (f *simulatedFleet) owner(at, server, zone string) string {
	o := f.rosters[at].Owners(server, zone, 1)
	if len(o) == 0 {
		return ""
	}
	return o[0].Name
}

// ownerDisagreement says whether all routers that run name the same owners, and who does not.
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
				return fmt.Sprintf("%s takes %s for the owner of %s, others %s", name, got, server, want)
			}
		}
		if f.down[want] {
			return want + " owns " + server + " and is down"
		}
	}
	return ""
}

// detectionTime is how soon all who need it know that a router is lost, at any size.
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
			isLeaf := !slices.ContainsFunc(f.rosters[name].currentView().hubs, func(p Peer) bool { return p.Name == name })
			if isLeaf {
				// Two hubs, each 300 ms.
				c.Assert(f.exchangeCount[name] <= 2*2*4, qt.IsTrue, qt.Commentf("%s: %d", name, f.exchangeCount[name]))
			}
			c.Assert(f.rosters[name].FleetSize(), qt.Equals, n, qt.Commentf("%s", name))
		}
		c.Assert(len(f.rosters["r000"].currentView().hubs) <= 2*targetHubs, qt.IsTrue)
	}
}

func TestLostHubIsReplaced(t *testing.T) {
	c := qt.New(t)
	f := newSimulatedFleet(300)
	f.advance(2 * time.Second)
	for _, hub := range []string{"r000", "r005", "r010"} {
		// All three strong ones of a zone, one after the other.
		f.down[hub] = true
		f.advance(detectionTime)
		c.Assert(f.ownerDisagreement(), qt.Equals, "")
	}
	// They wake up as if nothing had been.
	for _, hub := range []string{"r000", "r005", "r010"} {
		f.down[hub] = false
	}
	f.advance(3 * time.Second)
	c.Assert(f.ownerDisagreement(), qt.Equals, "")
	c.Assert(slices.ContainsFunc(f.rosters["r299"].currentView().hubs, func(p Peer) bool { return p.Name == "r000" }), qt.IsTrue)
}

func TestHubsDetectLostLeaf(t *testing.T) {
	c := qt.New(t)
	f := newSimulatedFleet(300)
	f.advance(2 * time.Second)
	f.down["r200"] = true
	f.advance(detectionTime)
	for _, p := range f.rosters["r000"].currentView().hubs {
		at, ok := f.lostAt[p.Name]["r200"]
		c.Assert(ok, qt.IsTrue, qt.Commentf("%s holds on", p.Name))
		c.Assert(at > 0, qt.IsTrue)
	}
	// Nobody else was given up.
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
		f.rosters[name].FleetSize()
	}
	zone := func(name string) string { return f.rosters[name].Self.AvailabilityZone }
	f.partitioned = func(a, b string) bool { return (zone(a) == "b") != (zone(b) == "b") }
	f.advance(5 * time.Second)
	// Nobody takes more of what the fleet may do together.
	for _, name := range []string{"r000", "r001", "r298", "r296"} {
		c.Assert(f.rosters[name].FleetSize(), qt.Equals, 300, qt.Commentf("%s", name))
	}
	// Each side goes on with its own servers.
	c.Assert(zone(f.owner("r001", "s", "b")), qt.Equals, "b")
	c.Assert(zone(f.owner("r000", "s", "a")), qt.Equals, "a")
	f.partitioned = func(a, b string) bool { return false }
	f.advance(4 * time.Second)
	c.Assert(f.ownerDisagreement(), qt.Equals, "")
}

// TestWholeZoneRestarts: all routers of a zone are replaced at the same moment.
func TestWholeZoneRestarts(t *testing.T) {
	c := qt.New(t)
	f := newSimulatedFleet(300)
	f.advance(2 * time.Second)
	var all []Peer
	for _, name := range f.names() {
		all = append(all, f.rosters[name].Self)
	}
	for i, p := range all {
		if p.AvailabilityZone == "c" {
			all[i].Incarnation = 2
			r := NewMembership(all[i], 800*time.Millisecond, func() time.Duration { return f.now })
			r.Add(all...)
			f.rosters[p.Name] = r
		}
	}
	f.advance(detectionTime)
	c.Assert(f.ownerDisagreement(), qt.Equals, "")
	for _, p := range f.rosters["r000"].currentView().hubs {
		if p.AvailabilityZone == "c" {
			c.Assert(p.Incarnation, qt.Equals, uint64(2))
		}
	}
}
