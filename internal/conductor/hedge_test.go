package conductor

import (
	"bytes"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/balancer"
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/hedger"
	"papayapaddle/internal/relayer"
	"papayapaddle/platform"
	"papayapaddle/platform/standin"
)

// Guards against hedges that are on without the setting, and against a setting that never starts one: a stream whose
// server is late goes on at another one that has a free slot.
func TestHedgeOfLateStream(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	f.start("off")
	f.start("a", func(s *platform.Settings) { s.HedgePercent = 20 })
	c.Assert(f.routers["off"].node.relayer.Hedging, qt.IsNil)
	requests := atomic.Int64{}
	for _, s := range f.cluster.ModelServers {
		s.StallDuration = func() time.Duration { return 1200 * time.Millisecond }
		s.ChooseBehavior = func() standin.Behavior {
			if requests.Add(1)%5 == 0 {
				return standin.StallBeforeHead
			}
			return standin.ServeNormally
		}
	}
	h := &f.routers["a"].node.hedging.hedger
	// The usual time is given, so that the test does not depend on how many answers a machine gets in time.
	for range 100 {
		h.RecordStart(time.Now(), "models", 1000, 0)
		for _, route := range f.routers["a"].node.relayer.CurrentConfig().Catalog.Routes {
			h.RecordTime(time.Now(), hedger.Key{Service: "models", Route: route.Name}, 200*time.Millisecond, false)
		}
	}
	eventually(c, "a hedge has won", func() bool {
		r := f.call("a", standin.ModelPrefix+"y", standin.APIKey, "100,30")
		c.Assert(r.Status, qt.Equals, http.StatusOK)
		c.Assert(strings.Count(r.Body, "data: "), qt.Equals, 3)
		return h.Reports(time.Now())[0].Won > 0
	})
	var on, off bytes.Buffer
	f.routers["a"].node.writeHedgeMetrics(&on)
	f.routers["off"].node.writeHedgeMetrics(&off)
	c.Assert(on.String(), qt.Matches, `(?s)hedges-started\{service="models"\} \d+\n.*hedge-first-ms-after\{service="models",quantile="0.99"\} \d+\n`)
	c.Assert(off.String(), qt.Equals, "")
}

// Guards against hedges to plain servers that have just failed, and against a canceled attempt that counts as a success of a
// failing server.
func TestPlainHedgesLeaveFailingServers(t *testing.T) {
	c := qt.New(t)
	n := &node{balancer: &balancer.Balancer{}, hedging: &hedging{hedger: hedger.Hedger{Percent: 5}}}
	failing, sound := &cataloger.Server{ID: "failing"}, &cataloger.Server{ID: "sound"}
	servers := []*cataloger.Server{failing, sound}
	for range 3 {
		n.balancer.Pick(time.Now(), servers[:1], nil)
		n.plainAssignment(failing).Release(relayer.AttemptResult{Failed: true, Duration: time.Millisecond})
	}
	c.Assert(n.withoutAvoided(servers), qt.DeepEquals, servers[1:])
	n.balancer.Pick(time.Now(), servers[:1], nil)
	n.plainAssignment(failing).Release(relayer.AttemptResult{Inconclusive: true, Duration: time.Millisecond})
	c.Assert(n.withoutAvoided(servers), qt.DeepEquals, servers[1:])
	c.Assert(servers[0], qt.Equals, failing)
}

// Guards against work that is counted in other units than the usage of workspaces.
func TestHedgeWork(t *testing.T) {
	c := qt.New(t)
	info := relayer.RequestInfo{PromptTokens: 1000, AnswerLengthHint: 500, MaxAnswerTokens: 300}
	c.Assert(hedgeWork(&relayer.Call{RequestInfo: info, Service: &cataloger.Service{}}), qt.Equals, 1.0)
	c.Assert(hedgeWork(&relayer.Call{RequestInfo: info, Service: &cataloger.Service{Engine: &cataloger.Engine{}}}), qt.Equals, 1600.0)
}
