package messenger

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/pacer"
)

// tenures holds the tenure of each router.
type tenures map[string]*pacer.Tenure

// update updates the tenures, and returns for each of the servers the shares of the fleet that its owners reach, of all
// that may let requests start there.
func (ts tenures) update(f *simulatedFleet, servers []string) map[string][]float64 {
	shares := map[string][]float64{}
	for _, name := range f.names() {
		if f.down[name] {
			continue
		}
		var owned []string
		for i, server := range servers {
			if f.owner(name, server, testZones[i%5]) == name {
				owned = append(owned, server)
			}
		}
		if ts[name] == nil {
			ts[name] = &pacer.Tenure{}
		}
		share := f.memberships[name].ReachableShare()
		ts[name].Update(f.now, owned, share, true)
		for _, server := range owned {
			if ts[name].MayGrant(f.now, server) {
				shares[server] = append(shares[server], share)
			}
		}
	}
	return shares
}

func sum(shares []float64) (total float64) {
	for _, s := range shares {
		total += s
	}
	return total
}

// Guards against routers that together use more than the whole of what the fleet may do at a server: the sides of a
// partition, routers that are cut off alone, from their start on or later, and those that take over from lost ones.
func TestOwnersDivideTheFleet(t *testing.T) {
	for _, size := range []int{2, 5, 40} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := qt.New(t)
			f := newSimulatedFleet(size)
			alone, ts := f.names()[0], tenures{}
			var servers []string
			for i := range 6 {
				servers = append(servers, fmt.Sprint("s", i))
			}
			f.partitioned = func(a, b string) bool { return a == alone || b == alone }
			check := func(what string, d time.Duration, maxOwners int, maxSum float64) {
				for range d / tickPeriod {
					f.advance(tickPeriod)
					for server, shares := range ts.update(f, servers) {
						if len(shares) > maxOwners || sum(shares) > maxSum {
							c.Fatalf("%s: the owners of %s reach shares %v", what, server, shares)
						}
					}
				}
			}
			for range 10 * time.Second / tickPeriod {
				f.advance(tickPeriod)
				share := f.memberships[alone].ReachableShare()
				c.Assert(share < 0.5 || size == 2, qt.IsTrue, qt.Commentf("a router that has reached no other one counts on a share of %v", share))
			}
			f.partitioned = func(a, b string) bool { return false }
			f.advance(5 * time.Second)
			wholeFleet := func(what string) {
				check(what, 4*time.Second, 1, 1)
				for server, shares := range ts.update(f, servers) {
					c.Assert(shares, qt.DeepEquals, []float64{1}, qt.Commentf("%s: %s", what, server))
				}
				c.Assert(ts.update(f, servers), qt.HasLen, len(servers), qt.Commentf("%s: servers without an owner", what))
			}
			wholeFleet("whole fleet")
			side := func(name string) bool { z := f.memberships[name].Self.AvailabilityZone; return z == "a" || z == "b" }
			f.partitioned = func(a, b string) bool { return side(a) != side(b) }
			check("partition begins", 3*time.Second, 2, 2)
			check("partition", 10*time.Second, 2, 1.1)
			f.partitioned = func(a, b string) bool { return a == alone || b == alone }
			check("a router is cut off", 3*time.Second, 2, 2)
			// In a fleet of two, each side is one half.
			check("a router remains cut off", 10*time.Second, 1+2/size, 1)
			f.partitioned = func(a, b string) bool { return false }
			check("partition ends", 3*time.Second, 2, 2)
			wholeFleet("whole fleet again")
			f.down[alone] = true
			check("a router is lost", 5*time.Second, 1, 1)
			if size < fullMeshMaxRouters {
				return
			}
			f.advance(forgetAfter)
			for _, name := range f.names() {
				f.down[name] = f.down[name] || f.memberships[name].Self.AvailabilityZone == "e"
			}
			check("a zone is lost", 8*time.Second, 2, 1.1)
			c.Assert(ts.update(f, servers), qt.HasLen, len(servers), qt.Commentf("servers without an owner after the loss of a zone"))
		})
	}
}

// Guards against a router of a large fleet that has reached only one other one since its start, and counts on the whole of
// the fleet that this one knows.
func TestRouterThatReachesFewOthersOwnsNothing(t *testing.T) {
	c := qt.New(t)
	f := newSimulatedFleet(72)
	alone, other := f.names()[0], f.names()[5]
	f.partitioned = func(a, b string) bool { return a == alone && b != other || b == alone && a != other }
	for range 8 * time.Second / tickPeriod {
		f.advance(tickPeriod)
		share := f.memberships[alone].ReachableShare()
		c.Assert(share < 0.5, qt.IsTrue, qt.Commentf("its share is %v after %v", share, f.now-time.Hour))
	}
}

// Guards against routers that count on a small share of the fleet for ever, because routers are listed that ended long ago.
func TestEndedRoutersDoNotCount(t *testing.T) {
	for _, size := range []int{13, 72} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := qt.New(t)
			f, ts := newSimulatedFleet(size), tenures{}
			for i, name := range f.names() {
				f.down[name] = i%5 < 3 && i >= 3
			}
			f.advance(forgetAfter)
			// The list is read again.
			for _, r := range f.memberships {
				for _, listed := range f.memberships {
					r.Add(listed.Self)
				}
			}
			servers := []string{"s0", "s1", "s2", "s3", "s4"}
			for range 5 * time.Second / tickPeriod {
				f.advance(tickPeriod)
				ts.update(f, servers)
			}
			for server, shares := range ts.update(f, servers) {
				c.Check(sum(shares) > 0.9 && sum(shares) <= 1, qt.IsTrue, qt.Commentf("the owners of %s reach shares %v", server, shares))
			}
			c.Check(ts.update(f, servers), qt.HasLen, len(servers))
		})
	}
}
