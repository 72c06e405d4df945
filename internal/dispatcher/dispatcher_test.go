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

// script is a backend server that does one thing for each request, in turn, and
// counts how often it was reached.
type script struct {
	steps   []string
	next    atomic.Int64
	reached atomic.Int64
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i := int(s.next.Add(1)) - 1
	s.reached.Add(1)
	step := s.steps[min(i, len(s.steps)-1)]
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

// world is one dispatcher before one scripted server and a table service.
type world struct {
	d        *dispatcher.Dispatcher
	platform *emulator.Platform
	server   *script
	// down says that the table service is down, where nothing is waited for.
	down bool
}

func newWorld(t *testing.T, steps []string) *world {
	s := &script{steps: steps}
	backend := httptest.NewServer(s)
	t.Cleanup(backend.Close)
	platform := emulator.NewPlatform(1)
	table := httptest.NewServer(platform)
	t.Cleanup(table.Close)
	address := backend.Listener.Addr().String()
	cfg := &declarer.Config{BackendServers: map[string]*declarer.BackendServer{
		"s": {Name: "s", Address: address, NotRunStatuses: []int{http.StatusTooManyRequests}},
	}}
	store := &connector.Client{Base: table.URL, HTTP: table.Client()}
	d := &dispatcher.Dispatcher{
		Config:    func() *declarer.Config { return cfg },
		Forwarder: &forwarder.Forwarder{},
		Claimer:   &claimer.Claimer{Store: claimer.StoreOf(store), Holder: "r@1"},
		Slots: dispatcher.Slots{
			Acquire: func(context.Context, scheduler.Request) (scheduler.Slot, error) {
				return scheduler.Slot{Server: "s"}, nil
			},
			Release: func(scheduler.Slot, encoder.Release) {},
		},
	}
	return &world{d: d, platform: platform, server: s}
}

// request makes the request that a script's command names.
func request(d *datadriven.TestData, n int) *dispatcher.Request {
	r := &dispatcher.Request{
		ID: fmt.Sprint("req-", n), Workspace: &declarer.Workspace{Name: "w"}, Pool: &declarer.Pool{Name: "p", Service: "svc"},
		Kind: &declarer.WorkKind{Name: "k", Idempotent: d.HasArg("idempotent")}, Method: http.MethodPost, Path: "/x",
		Header: http.Header{}, Body: []byte("body"), Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second),
	}
	if d.HasArg("key") {
		r.Key = "k1"
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

// TestScripts runs the scripts of testdata: what the caller sent, what the
// server did, and what the caller was told.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var w *world
		n := 0
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "server":
				w = newWorld(t, strings.Fields(d.Input))
				return ""
			case "table":
				w.down = d.HasArg("down")
				w.platform.SetFault(emulator.Fault{Down: w.down})
				return ""
			}
			n++
			var told strings.Builder
			reply := dispatcher.Reply{
				Whole: func(status int, h http.Header, b []byte) error {
					fmt.Fprintf(&told, "answer: %d %s\n", status, b)
					return nil
				},
				Event: func(e forwarder.Event) error { fmt.Fprintf(&told, "event: %s\n", e.Data); return nil },
				Done:  func() error { told.WriteString("closed: whole\n"); return nil },
				Cut:   func(dispatcher.Failure) { told.WriteString("closed: cut visibly\n") },
			}
			res := w.d.Do(t.Context(), request(d, n), reply)
			if !w.down {
				w.d.Wait()
			}
			fmt.Fprintf(&told, "outcome: %s\n", res.Outcome)
			if res.Failure != nil {
				fmt.Fprintf(&told, "told: %s\n", res.Failure.Title)
			}
			fmt.Fprintf(&told, "server reached: %d\n", w.server.reached.Load())
			return told.String()
		})
	})
}

// TestNotSentIsNotRun checks that a call whose connection was never made is told
// not-run, and that its claim is given back.
func TestNotSentIsNotRun(t *testing.T) {
	c := qt.New(t)
	w := newWorld(t, []string{"answer"})
	w.d.Forwarder.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	r := request(&datadriven.TestData{CmdArgs: []datadriven.CmdArg{{Key: "key"}}}, 1)
	res := w.d.Do(t.Context(), r, dispatcher.Reply{})
	c.Assert(res.Outcome, qt.Equals, dispatcher.OutcomeNotRun)
	w.d.Wait()
	c.Assert(w.platform.Rows("claim/"), qt.HasLen, 0)
	c.Assert(w.server.reached.Load(), qt.Equals, int64(0))
}

// TestBudgetBoundsRetries lets every attempt fail and counts the retries.
func TestBudgetBoundsRetries(t *testing.T) {
	c := qt.New(t)
	var b dispatcher.Budget
	retries := 0
	const first = 1000
	for range first {
		b.First()
		for b.Retry() {
			retries++
		}
	}
	c.Assert(retries <= first/10+20, qt.IsTrue, qt.Commentf("%d", retries))
	c.Assert(retries >= first/10, qt.IsTrue, qt.Commentf("%d", retries))
}
