package conductor

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/platform"
	"papayapaddle/platform/standin"
)

const (
	// stall is how long a server is silent in each attempt, and sharedStall how long all are at once. Callers wait
	// 3.2 s for an event.
	stall, sharedStall = 1900 * time.Millisecond, 2300 * time.Millisecond
	// laterDelay is when a change comes that meets a stream in its middle.
	laterDelay           = 700 * time.Millisecond
	stallEventInterval   = 30 * time.Millisecond
	stallEvents          = 60
	plainPath, modelPath = standin.PlainPrefix + "x", standin.ModelPrefix + "x"
)

// stallTest is one request that meets silent servers.
type stallTest struct {
	name, path string
	// behavior is that of all servers.
	behavior standin.Behavior
	// prepare runs before the request, and later is called while it is served.
	prepare, later func(*fleet)
	adjust         func(*platform.Settings)
}

// stallAll returns a function that stalls all servers at once.
func stallAll(torn bool) func(*fleet) {
	return func(f *fleet) {
		for _, s := range append(f.cluster.ModelServers, f.cluster.PlainServers...) {
			s.Stall(time.Now().Add(sharedStall), torn)
		}
	}
}

// Guards against plain answers that a router gives up because their sound servers are silent for a while.
func TestStalledServerLosesNoPlainAnswer(t *testing.T) {
	for _, test := range []stallTest{
		{name: "before the head", path: plainPath, behavior: standin.StallBeforeHead},
		{name: "in the head", path: plainPath, behavior: standin.StallInHead},
		{name: "all servers", path: plainPath, prepare: stallAll(true)},
	} {
		test.run(t)
	}
}

// Guards against streams that a router gives up, cuts or refuses because their sound servers are silent for a while.
func TestStalledServerLosesNoAnswer(t *testing.T) {
	noRetries := func(s *platform.Settings) { s.Bounds.RetryRatio, s.Bounds.RetrySlack = 0, 0 }
	for _, test := range []stallTest{
		{name: "before the head", path: modelPath, behavior: standin.StallBeforeHead},
		{name: "in the head", path: modelPath, behavior: standin.StallInHead},
		{name: "between events", path: modelPath, behavior: standin.StallBetweenEvents},
		{name: "in an event", path: modelPath, behavior: standin.StallInEvent},
		{name: "before the head, retry budget spent", path: modelPath, behavior: standin.StallBeforeHead, adjust: noRetries},
		{name: "between events, retry budget spent", path: modelPath, behavior: standin.StallBetweenEvents, adjust: noRetries},
		{name: "all servers between events", path: modelPath, later: stallAll(false)},
		{name: "all servers in an event", path: modelPath, later: stallAll(true)},
		{
			name: "the only server", path: modelPath, behavior: standin.StallInEvent,
			prepare: func(f *fleet) {
				for _, s := range f.cluster.ModelServers[1:] {
					f.cluster.PutServer(s.ID, standin.ModelService, "draining")
				}
				eventually(f.c, "the router has read the entries", func() bool {
					return len(f.routers["a"].node.watcher.ServerSet().ByService[standin.ModelService]) == 1
				})
			},
		},
		{
			name: "while the route's weights move", path: modelPath, behavior: standin.StallBetweenEvents,
			prepare: func(f *fleet) { f.c.Assert(f.cluster.AddSpareServers(1), qt.IsNil) },
			later: func(f *fleet) {
				f.cluster.Routing.SpareWeight = 1
				f.cluster.SetAPIKeys(standin.APIKey)
			},
		},
	} {
		test.run(t)
	}
}

// run sends the request, which must get its whole answer.
func (test stallTest) run(t *testing.T) {
	t.Run(test.name, func(t *testing.T) {
		t.Parallel()
		c := qt.New(t)
		f := newFleet(c)
		for _, s := range append(f.cluster.ModelServers, f.cluster.PlainServers...) {
			s.EventInterval = stallEventInterval
			s.ChooseBehavior = func() standin.Behavior { return test.behavior }
			s.StallDuration = func() time.Duration { return stall }
		}
		if test.adjust == nil {
			test.adjust = func(*platform.Settings) {}
		}
		f.start("a", test.adjust)
		if test.prepare != nil {
			test.prepare(f)
		}
		if test.later != nil {
			time.AfterFunc(laterDelay, func() { test.later(f) })
		}
		request := standin.Request{Router: f.settings["a"].Listen.Callers, Path: test.path, ID: "r", APIKey: standin.APIKey, SharedPart: "aa"}
		want := "POST " + test.path + " 4 bytes\n"
		if test.path == modelPath {
			request.TokenUsage, want = fmt.Sprint("100,", 10*stallEvents), ""
			for i := range stallEvents {
				want += strings.ReplaceAll("id: N\ndata: words of event N\n\n", "N", strconv.Itoa(i+1))
			}
		}
		start := time.Now()
		r, err := request.Do()
		c.Logf("status %d, %d events, after %v", r.Status, strings.Count(r.Body, "data: "), time.Since(start))
		c.Assert(err, qt.IsNil)
		c.Assert(r.Status, qt.Equals, http.StatusOK)
		c.Assert(r.Body, qt.Equals, want)
	})
}
