package conductor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/refuser"
	"papayapaddle/platform"
	"papayapaddle/platform/standin"
)

// TestCPUUseOfKeepAliveRefusalsIsLimited checks that two thirds of the CPU share are left for
// accepted requests, however many requests callers send on keep-alive connections.
func TestCPUUseOfKeepAliveRefusalsIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const (
			cpuShare = 0.192
			callers  = 20
			requests = 4000
		)
		r := &refuser.Refuser{
			CPULimiter: newRefusalLimiter(cpuShare), RefusalCost: refusalCPUTime, Decide: func(*http.Request) *refuser.Refusal { return &refuser.Refusal{} },
			OnIdle: func(net.Conn) {}, OnActive: func(net.Conn) {},
		}
		start := time.Now()
		var wg sync.WaitGroup
		for range callers {
			server, client := net.Pipe()
			go r.RefuseNewConn(server, nil)
			wg.Go(func() {
				defer client.Close()
				br := bufio.NewReader(client)
				for range requests / callers {
					_, err := io.WriteString(client, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
					c.Check(err, qt.IsNil)
					resp, err := http.ReadResponse(br, nil)
					c.Check(err, qt.IsNil)
					c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
				}
			})
		}
		wg.Wait()
		took := time.Since(start) + refusalBurstTime
		if cpuUse := requests * refusalCPUTime.Seconds() / took.Seconds(); cpuUse > 1.05*cpuShare/3 {
			t.Errorf("%d requests refused in %v: used %.3f of %.3f cores", requests, took, cpuUse, cpuShare)
		}
	})
}

// TestRouterLimitsCPUUseOfRefusals checks that a router sets up the limiter of its refusals.
func TestRouterLimitsCPUUseOfRefusals(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a")
	r := f.routers["a"].node.callerListener.refuser
	c.Assert(r.RefusalCost, qt.Equals, refusalCPUTime)
	c.Assert(r.CPULimiter.Limit(), qt.Equals, newRefusalLimiter(f.settings["a"].Limits.CPUShare).Limit())
}

// TestRefusedConnectionIsServedOnceThereIsCapacity checks that a request is served on a connection
// with earlier refusals once the router has capacity, and that stopping the router closes it.
func TestRefusedConnectionIsServedOnceThereIsCapacity(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c)
	// Without a CPU share the limiter's sampling goroutine does not read maxRequests, which this
	// test changes.
	f.start("a", func(s *platform.Settings) { s.Limits.CPUShare = 0 })
	n := f.routers["a"].node
	conn, err := net.Dial("tcp", f.settings["a"].Listen.Callers)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	br := bufio.NewReader(conn)
	call := func(id string) standin.Response {
		_, err := io.WriteString(conn, standin.Request{
			Path: standin.ModelPrefix + "y", ID: id, APIKey: standin.APIKey, TokenUsage: "100,30", SharedPart: "aa",
		}.Raw())
		c.Assert(err, qt.IsNil)
		r, keepAlive, err := standin.ReadResponse(br)
		c.Assert(err, qt.IsNil)
		c.Assert(keepAlive, qt.IsTrue)
		return r
	}
	maxRequests := n.limiter.maxRequests
	n.limiter.maxRequests = -1
	for i := range 3 {
		r := call(fmt.Sprintf("refused-%d", i))
		c.Assert(r.Status, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(r.RetryAfter, qt.Not(qt.Equals), "")
	}
	n.limiter.maxRequests = maxRequests
	c.Assert(call("served").Status, qt.Equals, http.StatusOK)
	n.limiter.maxRequests = -1
	c.Assert(call("refused").Status, qt.Equals, http.StatusServiceUnavailable)
	// The relayer counts the first refusal on a connection concurrently with the response.
	eventually(c, "all refusals are counted", func() bool { return n.metrics.counter("refused-router-full") == 4 })
	c.Assert(f.routers["a"].Stop(t.Context()), qt.IsNil)
	_, err = br.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
}

// TestNewConnectionsOfOverloadedRouter checks the response to a request on a new connection to a
// router without capacity: with the request sent at once or split, refused or served, and within
// the connection limit or beyond it.
func TestNewConnectionsOfOverloadedRouter(t *testing.T) {
	for _, test := range []struct {
		name, path         string
		withinLimit, split bool
		status             int
	}{
		{"refused", "/no", true, false, http.StatusServiceUnavailable},
		{"refused, split", "/no", true, true, http.StatusServiceUnavailable},
		{"served", "/yes", true, false, http.StatusOK},
		{"served, split", "/yes", true, true, http.StatusOK},
		{"beyond the limit", "/yes", false, false, http.StatusServiceUnavailable},
		{"beyond the limit, split", "/yes", false, true, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			id := func(req *http.Request) http.Header { return http.Header{"Id": req.Header["Id"]} }
			l := newLimitListener(ln, func(time.Time, int64) bool { return test.withinLimit }, id, func() {})
			l.hasCapacity = func() bool { return false }
			l.sockets, err = refuser.NewAccepter(ln.(*net.TCPListener))
			c.Assert(err, qt.IsNil)
			returned := newReturnedListener(ln.Addr())
			l.refuser = &refuser.Refuser{
				Decide: func(req *http.Request) *refuser.Refusal {
					if req.URL.Path == "/yes" {
						return nil
					}
					return &refuser.Refusal{Header: id(req)}
				},
				OnIdle: l.idle.markIdle, OnActive: l.idle.markActive, ReturnConn: returned.deliver,
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				w.Header()["Id"] = req.Header["Id"]
				if req.URL.Path == "/no" {
					// The relayer refuses requests that the refuser left to the server.
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})}
			defer server.Close()
			go func() { _ = server.Serve(l) }()
			go func() { _ = server.Serve(returned) }()
			conn, err := net.Dial("tcp", ln.Addr().String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 4\r\n\r\nbody", test.path)
			if test.split {
				// The listener counts a connection after it has tried to read the request.
				_, err = io.WriteString(conn, text[:20])
				c.Assert(err, qt.IsNil)
				eventually(c, "the connection is accepted", func() bool { return !test.withinLimit || l.open.Load() == 1 })
				text = text[20:]
			}
			_, err = io.WriteString(conn, text)
			c.Assert(err, qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.StatusCode, qt.Equals, test.status)
			c.Assert(resp.Header.Get("Id"), qt.Equals, "7")
			conn.Close()
			eventually(c, "no connection is open", func() bool { return l.open.Load() == 0 })
		})
	}
}
