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
	var requests atomic.Int64
	for _, s := range f.cluster.ModelServers {
		s.StallDuration = func() time.Duration { return 1200 * time.Millisecond }
		s.ChooseBehavior = func() standin.Behavior {
			if n := requests.Add(1); n > 50 && n%15 == 0 {
				return standin.StallBeforeHead
			}
			return standin.ServeNormally
		}
	}
	h := &f.routers["a"].node.hedging.hedger
	won := func() bool {
		for _, r := range h.Reports(time.Now()) {
			if r.Won > 0 {
				return true
			}
		}
		return false
	}
	eventually(c, "a hedge has won", func() bool {
		r := f.call("a", standin.ModelPrefix+"y", standin.APIKey, "100,30")
		c.Assert(r.Status, qt.Equals, http.StatusOK)
		c.Assert(strings.Count(r.Body, "data: "), qt.Equals, 3)
		return won()
	})
	var out bytes.Buffer
	f.routers["a"].node.writeHedgeMetrics(&out)
	for _, line := range []string{
		`hedges-started\{service="` + standin.ModelService + `"\} \d+`, `hedge-work-percent\{service=.*`, `hedge-first-ms-before\{service=.*,quantile="0.99"\} \d+`,
	} {
		c.Assert(out.String(), qt.Matches, "(?s).*\n?"+line+"\n.*")
	}
	out.Reset()
	f.routers["off"].node.writeHedgeMetrics(&out)
	c.Assert(out.String(), qt.Equals, "")
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
	call := &relayer.Call{Service: &cataloger.Service{Name: "s"}}
	call.PromptTokens, call.AnswerLengthHint, call.MaxAnswerTokens = 1000, 500, 300
	c.Assert(hedgeWork(call), qt.Equals, 1.0)
	call.Service.Engine = &cataloger.Engine{Slots: 8}
	c.Assert(hedgeWork(call), qt.Equals, 1600.0)
}
