package conductor

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/relayer"
	"papayapaddle/internal/watcher"
	"papayapaddle/platform"
	"papayapaddle/platform/standin"
)

// Kinds of responses, as the parts of their bodies and the routes of their requests.
type responseKind struct {
	name, path, contentType string
	first, second           string
	// repeatable is true if the request may be sent to another server, and forwarded if the first half reaches the
	// client in any case.
	repeatable, forwarded bool
}

var responseKinds = []responseKind{
	{"buffered, idempotent", "/read/", "text/plain", "one", "two", true, false},
	{"buffered, non-idempotent", "/book/", "text/plain", "one", "two", false, false},
	{"beyond the buffer, idempotent", "/read/", "text/plain", strings.Repeat("x", 300<<10), "two", false, true},
	{"beyond the buffer, non-idempotent", "/book/", "text/plain", strings.Repeat("x", 300<<10), "two", false, true},
	{"resumable stream", "/chat/", "text/event-stream", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", true, true},
	{"other stream", "/talk/", "text/event-stream", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", false, true},
	{"no stream on the route of one", "/talk/", "text/plain", "one", "two", false, false},
	{"no stream, beyond the buffer", "/talk/", "text/plain", strings.Repeat("x", 300<<10), "two", false, true},
}

// serverStates are the states in which a server may be when its response ends.
var serverStates = []struct {
	name  string
	apply func(f *endFleet)
}{
	{"ready", func(*endFleet) {}},
	{"draining", func(f *endFleet) { f.list(standin.ServerRow("s1", "draining", 1)) }},
	{"leaving", func(f *endFleet) {
		f.node.handleServerResponse(f.server, "q", 0, relayer.ResponseInfo{Leaving: true, Instance: "s1"})
	}},
	{"paused", func(f *endFleet) {
		f.first.SetPaused()
		f.node.handleServerResponse(f.server, "q", 0, relayer.ResponseInfo{Pause: 2 * time.Second})
	}},
	{"unlisted", func(f *endFleet) { f.list(watcher.Row{Key: "s1", Deleted: true}) }},
	{"in an evacuated zone", func(f *endFleet) { f.evacuated.Store(true) }},
}

// endFleet is a router without a network, and two servers: the one under test and another one.
type endFleet struct {
	c             *qt.C
	node          *node
	server        *cataloger.Server
	first, second *standin.EndServer

	// evacuated is true if the zone of the first server gets no requests.
	evacuated atomic.Bool

	mu       sync.Mutex
	rows     []watcher.Row
	version  uint64
	assigned int
}

// list writes an entry of a server.
func (f *endFleet) list(r watcher.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	r.Version = f.version
	f.rows = append(f.rows, r)
}

func (f *endFleet) read(_ context.Context, after uint64) ([]watcher.Row, watcher.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []watcher.Row
	for _, r := range f.rows {
		if r.Version > after {
			out = append(out, r)
		}
	}
	return out, watcher.Position{Era: 1, Version: f.version}, nil
}

// newEndFleet returns a router whose first server has a fate. It must be closed.
func newEndFleet(c *qt.C, k responseKind, of standin.Fate, pause time.Duration) (f *endFleet, stop func()) {
	f = &endFleet{
		c:      c,
		first:  &standin.EndServer{ID: "s1", ContentType: k.contentType, First: k.first, Second: k.second, Pause: pause, Fate: of},
		second: &standin.EndServer{ID: "s2", ContentType: k.contentType, First: k.first, Second: k.second},
	}
	r := New(platform.Settings{
		Name: "a", Limits: platform.ResourceLimits{CPUShare: 1, MemoryMB: 256, MaxDescriptors: 1024},
		Bounds: platform.Bounds{MaxRevocationMillis: 5000, GracePeriodSeconds: 8, RetryRatio: 0.2, RetrySlack: 50, RetryWindowSeconds: 10},
	}, io.Discard)
	c.Assert(r.Err(), qt.IsNil)
	n := r.node
	f.node = n
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if strings.HasPrefix(address, "10.0.0.1:") {
			return f.first.Dial(ctx, network, address)
		}
		return f.second.Dial(ctx, network, address)
	}
	n.sender.Dial = dial
	f.connect(dial)
	start := time.Now()
	n.watcher.Now = func() time.Duration { return time.Since(start) + time.Minute }
	n.evacuations.now = n.watcher.Now
	n.watcher.ReadStoreAfter = func() time.Duration { return 10 * time.Millisecond }
	n.watcher.WaitForPeersUntil, n.watcher.ReadSettledEra, n.watcher.OnSettled, n.watcher.OnEra = nil, nil, nil, nil
	config := []watcher.Row{{Key: platform.ConfigKey, Value: []byte(standin.EndConfig), Version: 1}}
	n.watcher.ConfigTable = watcher.Table{
		Read: func(context.Context) ([]watcher.Row, watcher.Position, error) {
			return config, watcher.Position{Era: 1, Version: 1}, nil
		},
		Changes: func(context.Context, uint64) ([]watcher.Row, watcher.Position, error) {
			return nil, watcher.Position{Era: 1, Version: 1}, nil
		},
		IsHistoryGone: func(error) bool { return false },
	}
	n.watcher.ServerTable = watcher.Table{
		Read:    func(ctx context.Context) ([]watcher.Row, watcher.Position, error) { return f.read(ctx, 0) },
		Changes: f.read, IsHistoryGone: func(error) bool { return false },
	}
	f.list(standin.ServerRow("s1", "ready", 1))
	f.list(standin.ServerRow("s2", "ready", 1))
	ctx, cancel := context.WithCancel(context.Background())
	go n.watcher.Run(ctx)
	time.Sleep(100 * time.Millisecond)
	set := n.watcher.ServerSet()
	c.Assert(set, qt.IsNotNil)
	f.server = set.ByID["s1"]
	c.Assert(f.server, qt.IsNotNil)
	n.relayer.CurrentConfig = func() relayer.Config {
		return relayer.Config{Catalog: n.watcher.Catalog(), AgeKnown: true}
	}
	n.relayer.AssignServer = func(context.Context, *relayer.Call) (*relayer.Assignment, *relayer.Refusal) {
		f.assigned++
		s := set.ByID[fmt.Sprint("s", min(2, f.assigned))]
		return &relayer.Assignment{
			Server: s, ReportFirstEvent: func() {}, ReportSilence: func() {}, Release: func(relayer.AttemptResult) {},
		}, nil
	}
	return f, func() {
		cancel()
		n.sender.RetainServers(nil)
		f.first.Close()
		f.second.Close()
		// Whatever was kept for the responses expires.
		time.Sleep(time.Minute)
		synctest.Wait()
	}
}

// send sends a request and returns the response, and whether it looks complete.
func (f *endFleet) send(path string) (w *httptest.ResponseRecorder, complete bool, took time.Duration) {
	method := http.MethodPost
	if path == "/read/" {
		method = http.MethodGet
	}
	req := httptest.NewRequest(method, "http://h"+path, nil)
	standin.SetRequestID(req.Header, "q")
	w, complete = httptest.NewRecorder(), true
	start := time.Now()
	func() {
		defer func() {
			if p := recover(); p != nil {
				f.c.Assert(p, qt.Equals, http.ErrAbortHandler)
				complete = false
			}
		}()
		f.node.relayer.ServeHTTP(w, req)
	}()
	return w, complete, time.Since(start)
}

// Guards against responses without a length that look complete though their server ended in the middle of them, and
// against complete ones that are given up: in each state of a server, for each kind of response, and for responses
// that end at once or later. The state is in force before the response ends.
func TestEndsOfResponsesInEachState(t *testing.T) {
	for _, state := range serverStates {
		for _, k := range responseKinds {
			for _, of := range []standin.Fate{standin.Outlives, standin.Killed, standin.Replaced, standin.Restarted, standin.Muted} {
				for _, pause := range []time.Duration{0, 500 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s/%s/%s/%v", state.name, k.name, of, pause), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { checkEnd(t, state.apply, k, of, pause) })
					})
				}
			}
		}
	}
}

func checkEnd(t *testing.T, apply func(*endFleet), k responseKind, of standin.Fate, pause time.Duration) {
	c := qt.New(t)
	f, stop := newEndFleet(c, k, of, pause)
	defer stop()
	if pause == 0 {
		apply(f)
		time.Sleep(50 * time.Millisecond)
		// The attempt has been sent already; only the end of its response comes in this state.
		f.node.relayer.MaySend = nil
	} else {
		time.AfterFunc(pause/2, func() { apply(f) })
	}
	w, complete, took := f.send(k.path)
	whole := w.Body.String() == k.first+k.second
	comment := qt.Commentf("status %d, %d bytes, complete %v, after %v, first server got %v", w.Code, w.Body.Len(), complete, took, f.first.Requests())
	switch {
	case of == standin.Outlives || k.repeatable:
		c.Assert(w.Code == http.StatusOK && whole && complete, qt.IsTrue, comment)
	case k.forwarded:
		c.Assert(complete, qt.IsFalse, comment)
	default:
		c.Assert(w.Code, qt.Equals, http.StatusBadGateway, comment)
	}
	// A sound server is proved at once, and one that says nothing is waited for no longer than the timeout.
	limit := 100 * time.Millisecond
	if of == standin.Muted {
		limit = 4 * time.Second
	}
	c.Assert(took <= pause+limit, qt.IsTrue, comment)
}
