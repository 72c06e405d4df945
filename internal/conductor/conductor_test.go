package conductor

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/platform"
	"papayapaddle/platform/standin"
)

// waitTimeout limits how long a test waits for an expected event. No result depends on how soon the
// event occurs.
const waitTimeout = 20 * time.Second

// eventually waits until a condition holds.
func eventually(c *qt.C, what string, f func() bool) {
	c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for !f() {
		select {
		case <-t.C:
		case <-ctx.Done():
			c.Fatalf("timed out waiting until %s", what)
		}
	}
}

// fleet is a simulated cluster with running routers.
type fleet struct {
	c        *qt.C
	cluster  *standin.Cluster
	routers  map[string]*Router
	settings map[string]platform.Settings
	lastID   int
}

func newFleet(c *qt.C, names ...string) *fleet {
	cluster, err := standin.NewCluster(3, 2)
	c.Assert(err, qt.IsNil)
	f := &fleet{c: c, cluster: cluster, routers: map[string]*Router{}, settings: map[string]platform.Settings{}}
	c.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		cluster.Close(ctx)
	})
	for _, n := range names {
		f.start(n)
	}
	return f
}

// start starts a router. Each of adjust may change its settings first.
func (f *fleet) start(name string, adjust ...func(*platform.Settings)) {
	s := f.cluster.RouterSettings(name)
	for _, a := range adjust {
		a(&s)
	}
	c := f.c
	c.Assert(s.Validate(), qt.HasLen, 0)
	r := New(s, io.Discard)
	c.Assert(r.Err(), qt.IsNil)
	c.Assert(r.Start(context.Background()), qt.IsNil)
	f.routers[name], f.settings[name] = r, s
	c.Cleanup(func() { _ = r.Stop(context.Background()) })
	eventually(c, name+" is ready", func() bool {
		resp, err := http.Get("http://" + s.Listen.Ready + platform.ReadyPath)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (f *fleet) call(router, path, key, tokens string) standin.Response {
	f.lastID++
	return f.callWithID(router, path, key, tokens, fmt.Sprintf("id-%d", f.lastID))
}

func (f *fleet) callWithID(router, path, key, tokens, id string) standin.Response {
	r, err := standin.Request{Router: f.settings[router].Listen.Callers, Path: path, ID: id, APIKey: key, TokenUsage: tokens, SharedPart: "aa"}.Do()
	f.c.Assert(err, qt.IsNil)
	return r
}

func TestRequestsReachBackendServers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a", "b")
	for _, router := range []string{"a", "b"} {
		r := f.call(router, standin.PlainPrefix+"x", standin.APIKey, "")
		c.Assert(r.Status, qt.Equals, http.StatusOK)
		c.Assert(r.Body, qt.Equals, "POST /booking/x 4 bytes\n")
		c.Assert(r.Stamp, qt.Matches, `booking-\d\.id-\d+`)
		r = f.call(router, standin.ModelPrefix+"y", standin.APIKey, "100,30")
		c.Assert(r.Status, qt.Equals, http.StatusOK)
		c.Assert(strings.Count(r.Body, "data: "), qt.Equals, 3)
		c.Assert(f.call(router, standin.PlainPrefix+"x", "wrong", "").Status, qt.Equals, http.StatusUnauthorized)
		c.Assert(f.call(router, "/other/", standin.APIKey, "").Status, qt.Equals, http.StatusNotFound)
	}
	for _, s := range append(f.cluster.ModelServers, f.cluster.PlainServers...) {
		for id, n := range s.RunCounts() {
			c.Assert(n, qt.Equals, 1, qt.Commentf("request %s at %s", id, s.ID))
		}
		for _, w := range s.Workspaces() {
			c.Assert(w, qt.Equals, standin.Workspace)
		}
	}
}

// TestRegisterWritesBeforeReading checks that a router writes its entry before it reads the list
// of routers. With the opposite order, routers that started at the same time did not find each
// other for 20 s.
func TestRegisterWritesBeforeReading(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a")
	var calls []string
	eventually(c, "the router entries are read", func() bool {
		calls = f.cluster.Store.Calls()
		return slices.Contains(calls, standin.CallReadRouters)
	})
	write, read := slices.Index(calls, standin.CallWrite), slices.Index(calls, standin.CallReadRouters)
	c.Assert(write >= 0 && write < read, qt.IsTrue, qt.Commentf("%v", calls))
}

// TestPromptsWithSharedPrefixUseOneServer checks that prompts with a common prefix are sent to the
// same server by both routers.
func TestPromptsWithSharedPrefixUseOneServer(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a", "b")
	for i := range 10 {
		c.Assert(f.call([]string{"a", "b"}[i%2], standin.ModelPrefix+"y", standin.APIKey, "100,10").Status, qt.Equals, http.StatusOK)
	}
	used := 0
	for _, s := range f.cluster.ModelServers {
		if len(s.RunCounts()) > 0 {
			used++
		}
	}
	c.Assert(used, qt.Equals, 1)
}

func TestRevokedKeyIsRejected(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a", "b")
	f.cluster.SetAPIKeys("another")
	for _, router := range []string{"a", "b"} {
		eventually(c, "the old key is rejected", func() bool {
			return f.call(router, standin.PlainPrefix+"x", standin.APIKey, "").Status == http.StatusUnauthorized
		})
		c.Assert(f.call(router, standin.PlainPrefix+"x", "another", "").Status, qt.Equals, http.StatusOK)
	}
}

// TestKeysAreRefusedDuringStoreOutage checks that requests are refused once the configuration can
// no longer be confirmed during a store outage, and accepted again after it.
func TestKeysAreRefusedDuringStoreOutage(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a")
	f.cluster.Store.SetDown(true)
	eventually(c, "keys are refused", func() bool {
		r := f.call("a", standin.PlainPrefix+"x", standin.APIKey, "")
		return r.Status == http.StatusServiceUnavailable && r.RetryAfter != ""
	})
	f.cluster.Store.Compact()
	f.cluster.Store.SetDown(false)
	eventually(c, "keys are accepted", func() bool {
		return f.call("a", standin.PlainPrefix+"x", standin.APIKey, "").Status == http.StatusOK
	})
}

func TestDrainingServerGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a", "b")
	f.cluster.PutServer("booking-1", "booking", "draining")
	f.cluster.Store.Put("servers", "booking-3", []byte(`{"service":7}`))
	for _, r := range f.routers {
		eventually(c, "the router has read the server entry", func() bool { return len(r.node.watcher.ServerSet().ByService["booking"]) == 1 })
	}
	before := len(f.cluster.PlainServers[0].RunCounts())
	for i := range 10 {
		c.Assert(f.call([]string{"a", "b"}[i%2], standin.PlainPrefix+"x", standin.APIKey, "").Status, qt.Equals, http.StatusOK)
	}
	c.Assert(len(f.cluster.PlainServers[0].RunCounts()), qt.Equals, before)
}

// TestServersOfCrashedRouterAreTakenOver checks that after a router crash the other router grants
// slots on the servers that the crashed one owned.
func TestServersOfCrashedRouterAreTakenOver(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a", "b")
	f.routers["b"].node.kill()
	eventually(c, "the other router grants slots on all servers", func() bool {
		for i := range 6 {
			if f.callWithID("a", standin.ModelPrefix+"y", standin.APIKey, "100,10", fmt.Sprintf("k%d-%d", f.lastID, i)).Status != http.StatusOK {
				return false
			}
		}
		f.lastID++
		return len(f.routers["a"].node.membership.Reachable()) == 1
	})
}

// TestGracefulStop checks that a stream is finished if its router stops meanwhile.
func TestGracefulStop(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a")
	for _, s := range f.cluster.ModelServers {
		s.EventInterval = 100 * time.Millisecond
	}
	got := make(chan standin.Response, 1)
	go func() { got <- f.call("a", standin.ModelPrefix+"y", standin.APIKey, "100,100") }()
	eventually(c, "the stream is active", func() bool { return f.routers["a"].node.relayer.Active() > 0 })
	c.Assert(f.routers["a"].Stop(context.Background()), qt.IsNil)
	r := <-got
	c.Assert(r.Status, qt.Equals, http.StatusOK)
	c.Assert(strings.Count(r.Body, "data: "), qt.Equals, 10)
}

// Guards against requests that a stop cuts without an answer at the end of the grace period, while their
// server is still at work.
func TestRequestsAtEndOfGracePeriodAreAnswered(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	f.start("a", func(s *platform.Settings) { s.Bounds.GracePeriodSeconds = 5 })
	atWork := make(chan struct{})
	defer close(atWork)
	for _, s := range append(f.cluster.ModelServers, f.cluster.PlainServers...) {
		s.OnRun = func(string, string) { <-atWork }
	}
	type result struct {
		resp standin.Response
		err  error
	}
	results := make(chan result, 2)
	for id, request := range map[string]standin.Request{
		"plain": {Path: standin.PlainPrefix + "x"}, "model": {Path: standin.ModelPrefix + "x", TokenUsage: "100,30", SharedPart: "aa"},
	} {
		request.Router, request.ID, request.APIKey = f.settings["a"].Listen.Callers, id, standin.APIKey
		go func() {
			resp, err := request.Do()
			results <- result{resp, err}
		}()
	}
	eventually(c, "both requests are active", func() bool { return f.routers["a"].node.relayer.Active() == 2 })
	c.Assert(f.routers["a"].Stop(t.Context()), qt.IsNil)
	for range 2 {
		r := <-results
		c.Check(r.err, qt.IsNil)
		c.Check(r.resp.Status, qt.Equals, http.StatusBadGateway)
	}
}

// Guards against an entry of another writer among those of the servers that ends the routers, keeps them
// from following the list, or adds headers to requests.
func TestOddServerEntriesDoNotStopTheList(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a")
	nested := strings.Repeat("[", 20_000)
	entry := `{"service":"models","address":%q,"zone":"here","slots":%s,"state":"ready","models":%s}`
	for id, value := range map[string]string{
		"odd-nested": nested,
		"odd-number": fmt.Sprintf(entry, "127.0.0.1:9", "1e999", "1"),
		"odd-slots":  fmt.Sprintf(entry, "127.0.0.1:9", "1e300", "1"),
		"odd-port":   fmt.Sprintf(entry, "127.0.0.1:99999", "8", "1"),
		"odd-bytes":  "\xff\xfe\x00",
		// The server at this address would take the second header for the request's own.
		"model-2\r\nTenant: forged": fmt.Sprintf(entry, f.cluster.SetServerAddress("model-2", ""), "8", "1"),
	} {
		f.cluster.Store.Put("servers", id, []byte(value))
	}
	for _, s := range f.cluster.ModelServers {
		f.cluster.Store.Delete("servers", s.ID)
	}
	added := f.cluster.ModelServers[0]
	f.cluster.PutServer(added.ID, "models", "ready")
	f.start("b")
	for _, router := range []string{"a", "b"} {
		eventually(c, router+" uses the server that was added", func() bool {
			r := f.call(router, standin.ModelPrefix+"x", standin.APIKey, "100,30")
			return r.Status == http.StatusOK && strings.HasPrefix(r.Stamp, added.ID+".")
		})
		for range 20 {
			c.Assert(f.call(router, standin.ModelPrefix+"x", standin.APIKey, "100,30").Status, qt.Equals, http.StatusOK)
		}
	}
	for _, s := range f.cluster.ModelServers {
		for _, workspace := range s.Workspaces() {
			c.Assert(workspace, qt.Equals, standin.Workspace)
		}
	}
}
