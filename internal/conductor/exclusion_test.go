package conductor

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/platform/standin"
)

// countRequests counts the requests that reach a server.
func countRequests(s *standin.Server) *atomic.Int64 {
	n := &atomic.Int64{}
	s.OnRequest = func(string) { n.Add(1) }
	return n
}

// Guards against requests to a server that has said in an answer that it is shutting down, while the store,
// which cannot be reached, lists it as ready.
func TestLeavingServerGetsRequestsDuringStoreOutage(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a")
	for _, s := range append(f.cluster.ModelServers, f.cluster.PlainServers...) {
		path, tokens := standin.PlainPrefix+"x", ""
		if s.ID[0] == 'm' {
			path, tokens = standin.ModelPrefix+"x", "100,30"
		}
		if s.ID == "booking-2" || s.ID == "model-3" {
			// One server of each service stays.
			continue
		}
		n := countRequests(s)
		s.SetLeaving(true)
		tries := 50
		if s.ID[0] != 'm' {
			// A server of a plain service gets a request in the end, however slow it was before.
			tries = 1000
		}
		for i := 0; n.Load() == 0 && i < tries; i++ {
			f.call("a", path, standin.APIKey, tokens)
		}
		c.Assert(n.Load() > 0 || s.ID[0] == 'm', qt.IsTrue, qt.Commentf("%s got no request that it could answer", s.ID))
		f.cluster.Store.SetDown(true)
		reached := n.Load()
		for range 30 {
			f.call("a", path, standin.APIKey, tokens)
		}
		c.Assert(n.Load(), qt.Equals, reached, qt.Commentf("%s", s.ID))
		f.cluster.Store.SetDown(false)
	}
}

// Guards against requests to a server that has asked for a pause, and against callers that wait although
// all servers have.
func TestServersThatAskForPauseGetRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a")
	const pause = 2 * time.Second
	for _, service := range []struct {
		servers      []*standin.Server
		path, tokens string
	}{
		{f.cluster.PlainServers, standin.PlainPrefix + "x", ""},
		{f.cluster.ModelServers, standin.ModelPrefix + "x", "100,30"},
	} {
		counts := map[string]*atomic.Int64{}
		for _, s := range service.servers {
			counts[s.ID] = countRequests(s)
			s.SetRetryAfter(strconv.FormatFloat(pause.Seconds(), 'f', 1, 64))
		}
		start := time.Now()
		var refused standin.Response
		for range 40 {
			refused = f.call("a", service.path, standin.APIKey, service.tokens)
			c.Assert(refused.Status, qt.Equals, http.StatusServiceUnavailable)
		}
		if time.Since(start) < pause {
			for id, n := range counts {
				c.Assert(n.Load() <= 1, qt.IsTrue, qt.Commentf("%d requests reached %s", n.Load(), id))
			}
			retryAfter, err := strconv.ParseFloat(refused.RetryAfter, 64)
			c.Assert(err, qt.IsNil)
			c.Assert(retryAfter > 0 && retryAfter <= pause.Seconds(), qt.IsTrue, qt.Commentf("Retry-After is %v", retryAfter))
		}
		for _, s := range service.servers {
			s.SetRetryAfter("")
		}
		eventually(c, "requests are served after the pause", func() bool {
			return f.call("a", service.path, standin.APIKey, service.tokens).Status == http.StatusOK
		})
	}
}
