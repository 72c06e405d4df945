package relayer

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/sender"
)

// standbyRun is what happened to a request for a stream whose first server is silent.
type standbyRun struct {
	body        string
	cut         bool
	took        time.Duration
	assignments int
	results     map[string]AttemptResult
	silent      map[string]bool
}

// runStandby sends a request for a stream to s1 and s2 with scripted responses. setUp changes the relayer and its chat route.
func runStandby(t *testing.T, scripts map[string]string, setUp func(*testRelayer, *cataloger.Route)) (out standbyRun) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTestRelayer(t)
		defer func() {
			close(tr.backend.stop)
			tr.sender.RetainServers(nil)
			synctest.Wait()
		}()
		catalog := *tr.catalog
		catalog.Routes = nil
		for _, r := range tr.catalog.Routes {
			route := *r
			if route.Name == "chat" {
				setUp(tr, &route)
			}
			catalog.Routes = append(catalog.Routes, &route)
		}
		tr.catalog = newCatalog(t, catalog)
		tr.servers = []string{"s1", "s2"}
		for id, script := range scripts {
			tr.backend.scripts[id] = []string{script}
		}
		out.results, out.silent = map[string]AttemptResult{}, map[string]bool{}
		tr.relayer.AssignServer = func(ctx context.Context, call *Call) (*Assignment, *Refusal) {
			a, refusal := tr.assignServer(ctx, call)
			if a != nil {
				out.assignments++
				id := a.Server.ID
				a.ReportSilence = func() { out.silent[id] = true }
				a.Release = func(result AttemptResult) { out.results[id] = result }
			}
			return a, refusal
		}
		req := httptest.NewRequest("POST", "http://h/chat/1", strings.NewReader("x"))
		for k, v := range map[string]string{"Id": "q", "Key": "k", "Patience": "15000"} {
			req.Header.Set(k, v)
		}
		w := httptest.NewRecorder()
		start := time.Now()
		out.cut = serveHTTP(tr.relayer, w, req)
		out.body, out.took = w.Body.String(), time.Since(start)
	})
	return out
}

// Guards against a sound standby that is taken for failed or silent, as the time that it has for its first event was measured by
// the pauses that are usual later in the stream.
func TestStandbyHasTimeForItsFirstEvent(t *testing.T) {
	event3 := strings.Replace(event2, "id: 2", "id: 3", 1)
	for name, script := range map[string]string{
		"before the first event": "@wait 5500\n" + streamHead + event1 + event2,
		"after an event":         "@wait 3800\n" + streamHead + event1 + "@wait 100\n" + event2 + "@wait 2500\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := runStandby(t, map[string]string{"s1": script + event3 + `0\r\n\r\n`, "s2": "@hang"}, func(_ *testRelayer, r *cataloger.Route) {
				r.LatencyObjective, r.MaxEventGap = 2*time.Second, 400*time.Millisecond
			})
			c.Assert(r.cut, qt.IsFalse)
			c.Assert(r.body, qt.Equals, "id: 1\ndata\n\nid: 2\ndata\n\nid: 3\ndata\n\n")
			c.Assert(r.assignments, qt.Equals, 2)
			c.Assert(r.silent["s2"], qt.IsFalse)
			c.Assert(r.results["s2"].Failed, qt.IsFalse)
		})
	}
}

// Guards against a silence that is noticed late, as the timer still ran for the time that the first event may take.
func TestSilenceAfterEarlyEventIsNoticed(t *testing.T) {
	c := qt.New(t)
	r := runStandby(t, map[string]string{
		"s1": streamHead + event1 + "@hang",
		"s2": streamHead + event2 + `0\r\n\r\n`,
	}, func(_ *testRelayer, r *cataloger.Route) {
		r.LatencyObjective, r.MaxEventGap = 800*time.Millisecond, 400*time.Millisecond
	})
	c.Assert(r.body, qt.Equals, "id: 1\ndata\n\nid: 2\ndata\n\n")
	c.Assert(r.took, qt.Equals, time.Second)
}

// Guards against a stream that loses its place in a queue: the search for a standby was ended when the silent server broke off,
// and begun anew.
func TestBrokenServerKeepsSearchForStandby(t *testing.T) {
	c := qt.New(t)
	r := runStandby(t, map[string]string{
		"s1": streamHead + event1 + "@wait 1400\n@close",
		"s2": streamHead + event2 + `0\r\n\r\n`,
	}, func(tr *testRelayer, _ *cataloger.Route) { tr.slotWait = 500 * time.Millisecond })
	c.Assert(r.body, qt.Equals, "id: 1\ndata\n\nid: 2\ndata\n\n")
	c.Assert(r.took, qt.Equals, 1500*time.Millisecond)
}

// Guards against a silent stream that takes slots from other requests though the retry budget is spent, so that it may not use them.
func TestSpentRetryBudgetTakesNoSlots(t *testing.T) {
	c := qt.New(t)
	r := runStandby(t, map[string]string{"s1": streamHead + event1 + "@hang"}, func(tr *testRelayer, _ *cataloger.Route) { tr.retriesLeft = 0 })
	c.Assert(r.cut, qt.IsTrue)
	c.Assert(r.assignments, qt.Equals, 1)
}

// Guards against a router that ends because an attempt panics on what a server sent.
func TestPanicInAttemptEndsOnlyItsRequest(t *testing.T) {
	c := qt.New(t)
	r := runStandby(t, map[string]string{"s1": streamHead + event1}, func(tr *testRelayer, _ *cataloger.Route) {
		tr.retriesLeft = 0
		tr.relayer.Send = func(context.Context, *sender.Request) (*sender.Response, error) { panic("odd response") }
	})
	c.Assert(r.body, qt.Equals, "")
	c.Assert(r.results, qt.HasLen, 1)
}
