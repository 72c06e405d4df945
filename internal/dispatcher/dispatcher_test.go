package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/claimer"
	"papayapaddle/internal/connector"
	"papayapaddle/internal/declarer"
	"papayapaddle/internal/dispatcher"
	"papayapaddle/internal/emulator"
	"papayapaddle/internal/encoder"
	"papayapaddle/internal/forwarder"
	"papayapaddle/internal/scheduler"
)

// scriptedServer is a backend server that executes one step for each request and repeats the last
// one. It counts the requests.
type scriptedServer struct {
	steps    []string
	next     atomic.Int64
	requests atomic.Int64
}

func (s *scriptedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := int(s.next.Add(1)) - 1
	s.requests.Add(1)
	step := s.steps[min(n, len(s.steps)-1)]
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	switch step {
	case "answer":
		fmt.Fprint(w, "done")
	case "cut":
		w.Header().Set("Content-Length", "100")
		fmt.Fprint(w, "do")
		panic(http.ErrAbortHandler)
	case "drop":
		panic(http.ErrAbortHandler)
	case "cross":
		w.Header().Set("X-Request-Id", "another")
		fmt.Fprint(w, "another's answer")
	case "busy":
		w.WriteHeader(http.StatusTooManyRequests)
	case "stream":
		fmt.Fprint(w, "id: 1\ndata: {\"choices\":[{\"text\":\"a \"}]}\n\ndata: [DONE]\n\n")
	case "stream-cut":
		fmt.Fprint(w, "id: 1\ndata: {\"choices\":[{\"text\":\"a \"}]}\n\n")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	case "gone":
		w.WriteHeader(http.StatusNotFound)
	}
}

// fixture is a dispatcher with one scripted backend server and a table service.
type fixture struct {
	d        *dispatcher.Dispatcher
	platform *emulator.Platform
	server   *scriptedServer
	// storeDown reports whether the table service is down. The test then does not wait for claim
	// updates, which are retried for a long time.
	storeDown bool
}

func newFixture(t *testing.T, steps []string) *fixture {
	server := &scriptedServer{steps: steps}
	backend := httptest.NewServer(server)
	t.Cleanup(backend.Close)
	platform := emulator.NewPlatform(1)
	table := httptest.NewServer(platform)
	t.Cleanup(table.Close)
	address := backend.Listener.Addr().String()
	config := &declarer.Config{BackendServers: map[string]*declarer.BackendServer{
		"s": {Name: "s", Address: address, NotRunStatuses: []int{http.StatusTooManyRequests}},
	}}
	store := &connector.Client{BaseURL: table.URL, HTTP: table.Client()}
	d := &dispatcher.Dispatcher{
		Config:    func() *declarer.Config { return config },
		Forwarder: &forwarder.Forwarder{},
		Claimer:   &claimer.Claimer{Store: claimer.NewStore(store), Holder: "r@1"},
		Slots: dispatcher.SlotAllocator{
			Acquire: func(context.Context, scheduler.Request) (scheduler.Slot, error) {
				return scheduler.Slot{Server: "s"}, nil
			},
			Release: func(scheduler.Slot, encoder.Release) {},
		},
	}
	return &fixture{d: d, platform: platform, server: server}
}

// newRequest returns the nth request of a scenario, with the arguments of its call command.
func newRequest(d *datadriven.TestData, n int) *dispatcher.Request {
	r := &dispatcher.Request{
		ID: fmt.Sprint("req-", n), Workspace: &declarer.Workspace{Name: "w"},
		Pool: &declarer.Pool{Name: "p", Service: "svc"},
		Kind: &declarer.WorkKind{Name: "k", Idempotent: d.HasArg("idempotent")}, Method: http.MethodPost, Path: "/x",
		Header: http.Header{}, Body: []byte("body"), Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second),
	}
	if d.HasArg("key") {
		r.IdempotencyKey = "k1"
		r.Header.Set("Idempotency-Key", "k1")
	}
	if d.HasArg("other-body") {
		r.Body = []byte("other")
	}
	if d.HasArg("model") {
		r.Model, r.Stream, r.Kind.Idempotent = "m", true, true
	}
	return r
}

// TestDispatchScenarios runs the scenarios in testdata. The server command sets the steps of the
// backend server, the table command sets the state of the table service, and the call command sends
// a request and prints the response and the outcome.
func TestDispatchScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/outcomes", func(t *testing.T, path string) {
		var f *fixture
		n := 0
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "server":
				f = newFixture(t, strings.Fields(d.Input))
				return ""
			case "table":
				f.storeDown = d.HasArg("down")
				f.platform.SetFault(emulator.Fault{Down: f.storeDown})
				return ""
			}
			n++
			var output strings.Builder
			writer := dispatcher.ResponseWriter{
				WriteResponse: func(status int, h http.Header, b []byte) error {
					fmt.Fprintf(&output, "answer: %d %s\n", status, b)
					return nil
				},
				WriteEvent:  func(e forwarder.Event) error { fmt.Fprintf(&output, "event: %s\n", e.Data); return nil },
				EndStream:   func() error { output.WriteString("closed: whole\n"); return nil },
				AbortStream: func(dispatcher.Failure) { output.WriteString("closed: cut visibly\n") },
			}
			result := f.d.Do(t.Context(), newRequest(d, n), writer)
			if !f.storeDown {
				f.d.Wait()
			}
			fmt.Fprintf(&output, "outcome: %s\n", result.Outcome)
			if result.Failure != nil {
				fmt.Fprintf(&output, "told: %s\n", result.Failure.Title)
			}
			fmt.Fprintf(&output, "server reached: %d\n", f.server.requests.Load())
			return output.String()
		})
	})
}

// TestUnsentRequestIsReportedNotRun checks that a request has the outcome not-run and leaves no
// claim if the connection to the backend server fails.
func TestUnsentRequestIsReportedNotRun(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, []string{"answer"})
	f.d.Forwarder.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("connection refused") }
	r := newRequest(&datadriven.TestData{CmdArgs: []datadriven.CmdArg{{Key: "key"}}}, 1)
	result := f.d.Do(t.Context(), r, dispatcher.ResponseWriter{})
	c.Assert(result.Outcome, qt.Equals, dispatcher.OutcomeNotRun)
	f.d.Wait()
	c.Assert(f.platform.Rows("claim/"), qt.HasLen, 0)
	c.Assert(f.server.requests.Load(), qt.Equals, int64(0))
}

// TestRetryBudgetLimitsRetries checks the number of retries if every attempt fails.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	c := qt.New(t)
	var budget dispatcher.RetryBudget
	retries := 0
	const requests = 1000
	for range requests {
		budget.RecordRequest()
		for budget.AllowRetry() {
			retries++
		}
	}
	c.Assert(retries <= requests/10+20, qt.IsTrue, qt.Commentf("%d retries", retries))
	c.Assert(retries >= requests/10, qt.IsTrue, qt.Commentf("%d retries", retries))
}
