package conductor

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/platform/standin"
)

// useZones assigns the servers to zones in turn.
func (f *fleet) useZones(zones ...string) {
	f.cluster.Zones = zones
	for _, s := range f.cluster.ModelServers {
		f.cluster.PutServer(s.ID, standin.ModelService, "ready")
	}
	for _, s := range f.cluster.PlainServers {
		f.cluster.PutServer(s.ID, standin.PlainService, "ready")
	}
}

// arrivals returns how many requests the servers of a zone have run.
func (f *fleet) arrivals(zone string) int {
	n := 0
	for _, s := range append(f.cluster.ModelServers, f.cluster.PlainServers...) {
		if f.cluster.ServerZone(s.ID) == zone {
			n += len(s.RunCounts())
		}
	}
	return n
}

// callAll sends a plain request and prompts with different shared parts through each router, and returns their statuses.
func (f *fleet) callAll() map[int]int {
	statuses := map[int]int{}
	for name, s := range f.settings {
		for i := range 8 {
			f.lastID++
			r, err := standin.Request{
				Router: s.Listen.Callers, Path: standin.ModelPrefix + "x", ID: fmt.Sprintf("%s-%d", name, f.lastID),
				APIKey: standin.APIKey, TokenUsage: "100,30", SharedPart: fmt.Sprint("part-", i),
			}.Do()
			f.c.Assert(err, qt.IsNil)
			statuses[r.Status]++
		}
		statuses[f.call(name, standin.PlainPrefix+"x", standin.APIKey, "").Status]++
	}
	return statuses
}

// evacuationTakesEffect is what operators may rely on with a sound store (bounds.evacuateMs).
const evacuationTakesEffect = 5 * time.Second

// Guards against requests that still reach an evacuated zone: through a router that reads the store, one that is cut off from it
// and hears peers only, and one that has just started; against an evacuation that does not end; and against requests that wait
// instead of being refused when the last zone of a service is evacuated.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a", "b")
	f.useZones("here", "there")
	for name, r := range f.routers {
		eventually(c, name+" knows the zones", func() bool {
			set := r.node.watcher.ServerSet()
			return set.ByID["model-2"].AvailabilityZone != set.ByID["model-1"].AvailabilityZone
		})
	}
	c.Assert(f.callAll(), qt.DeepEquals, map[int]int{http.StatusOK: 18})
	c.Assert(f.arrivals("there") > 0, qt.IsTrue)

	f.cluster.EvacuateZone("there", standin.InvalidEvacuationValue)
	for name, r := range f.routers {
		eventually(c, name+" knows the evacuation", func() bool {
			for _, servers := range r.node.watcher.ServerSet().ByService {
				for _, s := range servers {
					if s.AvailabilityZone == "there" {
						return false
					}
				}
			}
			return true
		})
	}
	f.start("c")
	before := f.arrivals("there")
	c.Assert(f.callAll(), qt.DeepEquals, map[int]int{http.StatusOK: 27})
	c.Assert(f.arrivals("there"), qt.Equals, before)

	f.cluster.EvacuateZone("here", standin.EvacuationValue)
	for name := range f.routers {
		eventually(c, name+" refuses all", func() bool {
			return f.call(name, standin.PlainPrefix+"x", standin.APIKey, "").Status == http.StatusServiceUnavailable
		})
	}
	start := time.Now()
	c.Assert(f.callAll(), qt.DeepEquals, map[int]int{http.StatusServiceUnavailable: 27})
	c.Check(time.Since(start) < evacuationTakesEffect, qt.IsTrue)

	f.cluster.EndEvacuation("there")
	f.cluster.EndEvacuation("here")
	for name, r := range f.routers {
		eventually(c, name+" uses all servers", func() bool {
			set := r.node.watcher.ServerSet().ByService
			return len(set[standin.ModelService]) == 3 && len(set[standin.PlainService]) == 2
		})
	}
	c.Assert(f.callAll(), qt.DeepEquals, map[int]int{http.StatusOK: 27})
	c.Assert(f.arrivals("there") > before, qt.IsTrue)
}

// Guards against a stream that is cut because its zone is evacuated.
func TestStreamsInEvacuatedZoneRunToCompletion(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a")
	for _, s := range f.cluster.ModelServers {
		s.EventInterval = 100 * time.Millisecond
	}
	got := make(chan standin.Response, 1)
	go func() { got <- f.call("a", standin.ModelPrefix+"y", standin.APIKey, "100,200") }()
	eventually(c, "the stream is active", func() bool { return f.routers["a"].node.relayer.Active() > 0 })
	f.cluster.EvacuateZone("here", standin.EvacuationValue)
	r := <-got
	c.Assert(r.Status, qt.Equals, http.StatusOK)
	c.Assert(strings.Count(r.Body, "data: "), qt.Equals, 20)
	eventually(c, "new requests are refused", func() bool {
		return f.callWithID("a", standin.ModelPrefix+"y", standin.APIKey, "100,10", "late").Status == http.StatusServiceUnavailable
	})
}
