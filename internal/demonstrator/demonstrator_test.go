package demonstrator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/declarer"
	"papayapaddle/internal/demonstrator"
	"papayapaddle/internal/emulator"
)

func startDeployment(c *qt.C, routers int) *demonstrator.Deployment {
	c.Helper()
	d, err := demonstrator.Start(context.Background(), demonstrator.Options{
		ClusterConfig: emulator.Config{
			Zones: []string{"graz-a", "graz-b"}, EngineCount: 2, EngineSlots: 4, ServiceCount: 2, ServiceSlots: 4,
			EngineConfig: emulator.EngineConfig{TokenInterval: time.Millisecond, FullSpeedBatch: 4, TokensPerEvent: 2, MaxCacheBlocks: 64}, Seed: 1,
		},
		RouterCount: routers,
		Workspaces:  []declarer.Workspace{demonstrator.SampleWorkspace("solar-quotes", 1)},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(d.Close)
	return d
}

func sendRequest(c *qt.C, method, url, idempotencyKey, body string) (int, http.Header, string) {
	c.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+demonstrator.APIKey("solar-quotes"))
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp.StatusCode, resp.Header, string(b)
}

// TestModelRequestsAndBookings sends a streamed and an unstreamed model request
// through different routers, and a booking and its repetition likewise.
func TestModelRequestsAndBookings(t *testing.T) {
	c := qt.New(t)
	d := startDeployment(c, 2)
	a, b := d.Members[0].URL(), d.Members[1].URL()

	status, _, body := sendRequest(c, "POST", a+"/v1/chat/completions", "",
		`{"model":"papaya-chat","stream":true,"max_tokens":7,"user":"u"}`)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(strings.HasSuffix(body, "data: [DONE]\n\n"), qt.IsTrue)
	c.Assert(strings.Contains(body, "u-6 "), qt.IsTrue)

	status, _, body = sendRequest(c, "POST", b+"/v1/completions", "", `{"model":"papaya-chat","max_tokens":3,"user":"v"}`)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(strings.Contains(body, `"v-0 v-1 v-2 "`), qt.IsTrue)

	status, _, first := sendRequest(c, "POST", a+"/services/booking/visits", "visit-1", `{"day":1}`)
	c.Assert(status, qt.Equals, http.StatusOK)
	for {
		status, h, again := sendRequest(c, "POST", b+"/services/booking/visits", "visit-1", `{"day":1}`)
		if status == http.StatusConflict {
			// The first answer is not recorded yet.
			continue
		}
		c.Assert(h.Get("Idempotency-Replayed"), qt.Equals, "true")
		c.Assert(again, qt.Equals, first)
		break
	}
	c.Assert(d.Cluster.Executions.List(), qt.HasLen, 1)
}

// TestInvalidRequestsAreRejected checks that invalid requests are not run and get a
// problem document that names the error.
func TestInvalidRequestsAreRejected(t *testing.T) {
	c := qt.New(t)
	d := startDeployment(c, 1)
	url := d.Members[0].URL()
	cases := []struct {
		path, body string
		status     int
		title      string
	}{
		{"/v1/completions", `{"model":`, 400, "broken JSON"},
		{"/v1/completions", `{"model":"other"}`, 404, "unknown model"},
		{"/services/none/x", ``, 404, "unknown service"},
		{"/v2", ``, 404, "no such path"},
		{"/v1/completions", strings.Repeat("x", 2<<20), 413, "body too large"},
	}
	for _, tc := range cases {
		status, h, body := sendRequest(c, "POST", url+tc.path, "", tc.body)
		var problem struct{ Title, Outcome string }
		c.Assert(json.Unmarshal([]byte(body), &problem), qt.IsNil, qt.Commentf(body))
		c.Assert(status, qt.Equals, tc.status)
		c.Assert(problem.Title, qt.Equals, tc.title)
		c.Assert(problem.Outcome, qt.Equals, "not-run")
		c.Assert(h.Get("Content-Type"), qt.Equals, "application/problem+json")
	}
}

// TestImmediateStopReportsUnknownOutcome guards against an immediate stop that closes
// connections before callers get the outcome of their requests.
func TestImmediateStopReportsUnknownOutcome(t *testing.T) {
	c := qt.New(t)
	d := startDeployment(c, 1)
	type response struct {
		status int
		body   string
	}
	responses := make(chan response)
	go func() {
		status, _, body := sendRequest(c, "POST", d.Members[0].URL()+"/v1/completions", "", `{"model":"papaya-chat","max_tokens":20000}`)
		responses <- response{status, body}
	}()
	for d.Members[0].Router.Dump().Scheduling.HeldSlots == 0 {
		<-time.After(10 * time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	go d.Members[0].Router.Stop(ctx)
	got := <-responses
	c.Assert(got.status, qt.Equals, http.StatusBadGateway)
	c.Assert(strings.Contains(got.body, `"outcome":"unknown"`), qt.IsTrue, qt.Commentf(got.body))
}

// TestServersGetMoreThanTheirLimit guards against engines and services that get more requests from all routers
// together than the limit that they name.
func TestServersGetMoreThanTheirLimit(t *testing.T) {
	c := qt.New(t)
	const (
		perSecond = 4.0
		window    = 4 * time.Second
		// allowed is what the users allow in a window.
		allowed = 1.5*perSecond*4 + 5
	)
	d := startDeployment(c, 2)
	limit := perSecond
	for _, e := range d.Cluster.Engines {
		e.SetFault(emulator.Fault{LimitPerSecond: &limit})
	}
	for _, s := range d.Cluster.Services {
		s.SetFault(emulator.Fault{LimitPerSecond: &limit})
	}
	stop := callAll(c, d)
	counts := func() map[string]int64 {
		out := map[string]int64{}
		for _, e := range d.Cluster.Engines {
			out[e.Name] = e.Stats().Requests
		}
		for _, x := range d.Cluster.Executions.List() {
			out[x.Service]++
		}
		return out
	}
	tick := time.NewTicker(window)
	defer tick.Stop()
	// The first answers name the limits.
	<-tick.C
	before := counts()
	<-tick.C
	served := int64(0)
	for name, n := range counts() {
		c.Check(float64(n-before[name]) <= allowed, qt.IsTrue, qt.Commentf("%s got %d requests in %v", name, n-before[name], window))
		served += n - before[name]
	}
	c.Check(served > 0, qt.IsTrue)
	stop()
}

// callAll lets callers of all routers send requests to engines and services until stop is called.
func callAll(c *qt.C, d *demonstrator.Deployment) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, m := range d.Members {
		for range 8 {
			wg.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					path, body := "/v1/completions", `{"model":"papaya-chat","max_tokens":3,"user":"v"}`
					if n%2 == 0 {
						path, body = "/services/booking/visits", fmt.Sprint(i, n)
					}
					req, err := http.NewRequestWithContext(ctx, http.MethodPost, m.URL()+path, strings.NewReader(body))
					c.Check(err, qt.IsNil)
					req.Header.Set("Authorization", "Bearer "+demonstrator.APIKey("solar-quotes"))
					// Whether a request is served or refused does not matter.
					if resp, err := http.DefaultClient.Do(req); err == nil {
						resp.Body.Close()
					}
				}
			})
		}
	}
	return sync.OnceFunc(func() {
		cancel()
		wg.Wait()
	})
}

// TestServersThatLeaveOrPauseGetRequests guards against requests to servers that say in their answers that they are shutting
// down, or that want a pause, while the platform's list shows them as live.
func TestServersThatLeaveOrPauseGetRequests(t *testing.T) {
	const (
		pause = 4 * time.Second
		// grace is how long requests may still arrive that were sent before the routers knew.
		grace = 500 * time.Millisecond
		// allowed is what the users allow during a pause.
		allowed = 2
	)
	for _, tt := range []struct {
		name    string
		fault   emulator.Fault
		returns bool
	}{
		{"leaving", emulator.Fault{Leaving: true}, false},
		{"pause", emulator.Fault{PauseSeconds: pause.Seconds()}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			d := startDeployment(c, 2)
			stop := callAll(c, d)
			defer stop()
			engine, service := d.Cluster.Engines[0], d.Cluster.Services[0]
			received := func() [2]int64 { return [2]int64{engine.Received(), service.Received()} }
			others := func() int64 { return d.Cluster.Engines[1].Received() + d.Cluster.Services[1].Received() }
			// Both get requests before.
			for r := received(); r[0] < 10 || r[1] < 10; r = received() {
				<-time.After(10 * time.Millisecond)
			}
			engine.SetFault(tt.fault)
			service.SetFault(tt.fault)
			<-time.After(grace)
			before, othersBefore := received(), others()
			<-time.After(pause / 2)
			for i, n := range received() {
				c.Check(n-before[i] <= allowed, qt.IsTrue, qt.Commentf("%d requests reached server %d", n-before[i], i))
			}
			c.Check(others() > othersBefore, qt.IsTrue)
			if !tt.returns {
				return
			}
			engine.SetFault(emulator.Fault{})
			service.SetFault(emulator.Fault{})
			<-time.After(pause)
			for i, n := range received() {
				c.Check(n-before[i] > allowed, qt.IsTrue, qt.Commentf("server %d gets no requests after its pause", i))
			}
		})
	}
}
