package conductor

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/cataloger"
	"papayapaddle/platform"
)

// TestConcurrencyLimiter checks the limits on requests and connections. Without them, a workspace
// that sent fifty times its usual load to the only router of a zone filled up the router's memory,
// and the router stalled for seconds.
func TestConcurrencyLimiter(t *testing.T) {
	c := qt.New(t)
	active := int64(100)
	l := newConcurrencyLimiter(platform.ResourceLimits{MemoryMB: 134, MaxDescriptors: 4100}, func() int64 { return active })
	memory := float64(l.maxRequests*bytesPerRequest + l.maxConnections*bytesPerConnection)
	c.Assert(memory <= 0.76*float64(134<<20), qt.IsTrue)
	c.Assert(l.maxConnections < 4100-200, qt.IsTrue)

	c.Assert(l.admit(cataloger.RouteStream, "w", 100), qt.Equals, "")
	c.Assert(l.admit(cataloger.RouteStream, "w", l.maxRequests+1), qt.Equals, "router-full")
	c.Assert(l.admit(cataloger.RouteNonIdempotent, "w", l.maxRequests+1), qt.Equals, "")
	c.Assert(l.admit(cataloger.RouteNonIdempotent, "w", 2*l.maxRequests), qt.Equals, "router-full")

	for range 20 {
		l.updateLimit(200 * time.Millisecond)
	}
	c.Assert(l.admit(cataloger.RouteStream, "w", active), qt.Equals, "router-slow")
	now := time.Unix(0, 0)
	c.Assert(l.allowConnection(now, 10), qt.IsTrue)
	c.Assert(l.allowConnection(now, 1000), qt.IsTrue, qt.Commentf("open connections keep out new callers"))
	c.Assert(l.allowConnection(now, 1000), qt.IsFalse, qt.Commentf("an extra connection is accepted too early"))
	c.Assert(l.allowConnection(now.Add(extraConnectionPeriod/2), 1000), qt.IsFalse)
	c.Assert(l.allowConnection(now.Add(extraConnectionPeriod), 1000), qt.IsTrue)
	c.Assert(l.allowConnection(now.Add(time.Hour), l.maxConnections), qt.IsFalse)
	for range 10 {
		l.updateLimit(0)
	}
	c.Assert(l.admit(cataloger.RouteStream, "w", 1), qt.Equals, "")
}

// TestLimiterUnderCPUThrottling checks that a router with a CPU quota of 20 of every 100 ms limits
// its requests to what it can serve, while one workspace sends seven times its usual load to it.
// Timers fire only while the process runs, so the lag is 80 ms at most and 30 ms on average. When
// such a router accepted everything, its callers timed out before they were served.
func TestLimiterUnderCPUThrottling(t *testing.T) {
	c := qt.New(t)
	const (
		capacity    = 100.0 // requests that the router can process per second
		streamTime  = 2.5   // duration of a request in seconds
		arrivalRate = 300.0 // requests per second
	)
	active, served := 0.0, 0.0
	l := newConcurrencyLimiter(platform.ResourceLimits{MemoryMB: 184, MaxDescriptors: 4100}, func() int64 { return int64(active) })
	step := samplePeriod.Seconds()
	for at := 0.0; at < 20; at += step {
		if l.admit(cataloger.RouteStream, "w", int64(active)) == "" {
			active += arrivalRate * step
		}
		cpuUse := active / streamTime / capacity
		lag := 0.0
		if cpuUse > 1 {
			lag = 0.03 * min(cpuUse, 3)
		}
		l.updateLimit(time.Duration(lag * float64(time.Second)))
		done := active / streamTime * step / max(1, cpuUse)
		active -= done
		if at > 10 {
			served += done
		}
		if at > 10 {
			c.Assert(cpuUse < 1.5, qt.IsTrue, qt.Commentf("at %.1f s: CPU demand is %.2f of the quota", at, cpuUse))
		}
	}
	c.Assert(served > 0.8*10*capacity, qt.IsTrue, qt.Commentf("%.0f requests served in 10 s", served))
}

// TestLimitHasMinimum checks that a router always accepts some requests. The CPU use of refusals
// alone can keep the lag of a flooded router high.
func TestLimitHasMinimum(t *testing.T) {
	c := qt.New(t)
	l := newConcurrencyLimiter(platform.ResourceLimits{MemoryMB: 184, MaxDescriptors: 4100, CPUShare: 0.2}, func() int64 { return 10 })
	for range 1000 {
		l.updateLimit(80 * time.Millisecond)
	}
	c.Assert(l.admit(cataloger.RouteStream, "w", 60), qt.Equals, "")
	c.Assert(l.admit(cataloger.RouteStream, "w", 61), qt.Equals, "router-slow")
}

// pipeListener is a listener that accepts the given connections.
type pipeListener struct {
	net.Listener
	conns []net.Conn
}

func (p *pipeListener) Accept() (net.Conn, error) {
	if len(p.conns) == 0 {
		return nil, net.ErrClosed
	}
	conn := p.conns[0]
	p.conns = p.conns[1:]
	return conn, nil
}

// TestExcessConnectionsAreRefused checks that a request on a connection beyond the limit is refused
// with its ID and a retry delay, and that a connection with an invalid request is closed.
func TestExcessConnectionsAreRefused(t *testing.T) {
	c := qt.New(t)
	var clients []net.Conn
	in := &pipeListener{}
	for range 5 {
		server, client := net.Pipe()
		in.conns, clients = append(in.conns, server), append(clients, client)
	}
	closed := make(chan bool, 2)
	refuse := func(req *http.Request) http.Header {
		return http.Header{"Retry-After": {"1"}, "Id": req.Header["Id"]}
	}
	l := newLimitListener(in, func(_ time.Time, open int64) bool { return open < 2 }, refuse, func() { closed <- true })
	first, err := l.Accept()
	c.Assert(err, qt.IsNil)
	_, err = l.Accept()
	c.Assert(err, qt.IsNil)
	c.Assert(first.Close(), qt.IsNil)
	c.Assert(first.Close(), qt.IsNil, qt.Commentf("a connection that is closed twice must be counted once"))
	_, err = l.Accept()
	c.Assert(err, qt.IsNil)
	_, err = l.Accept()
	c.Assert(err, qt.Equals, net.ErrClosed)

	_, err = io.WriteString(clients[3], "POST /a HTTP/1.1\r\nHost: h\r\nId: q\r\nContent-Length: 4\r\n\r\nbody")
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(clients[3]), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(resp.Header.Get("Id"), qt.Equals, "q")
	c.Assert(resp.Header.Get("Retry-After"), qt.Equals, "1")
	c.Assert(resp.Close, qt.IsTrue)

	_, err = io.WriteString(clients[4], "what?\r\n\r\n")
	c.Assert(err, qt.IsNil)
	c.Assert(<-closed, qt.IsTrue)
	_, err = clients[4].Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
}

// TestExcessConnectionsAreRefusedWithoutDelay checks that without a CPU limiter all queued
// connections are refused in no simulated time. When refusals were paced, callers waited 11 s in
// the accept queue and timed out, and their requests were still sent to servers.
func TestExcessConnectionsAreRefusedWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := &pipeListener{}
		var answered atomic.Int64
		for range 500 {
			server, client := net.Pipe()
			in.conns = append(in.conns, server)
			go func() {
				_, _ = io.WriteString(client, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
				if _, err := http.ReadResponse(bufio.NewReader(client), nil); err == nil {
					answered.Add(1)
				}
				client.Close()
			}()
		}
		l := newLimitListener(in, func(time.Time, int64) bool { return false }, func(*http.Request) http.Header { return nil }, func() {})
		start := time.Now()
		if _, err := l.Accept(); err != net.ErrClosed {
			t.Fatal(err)
		}
		synctest.Wait()
		if took := time.Since(start); took != 0 || answered.Load() != 500 {
			t.Fatalf("%d of 500 requests answered in %v", answered.Load(), took)
		}
	})
}

// TestFloodedRouterKeepsAcceptingRequests checks that a flooded router accepts, in each second, at
// least half of the requests that it can process, which is the guaranteed share of a workspace.
func TestFloodedRouterKeepsAcceptingRequests(t *testing.T) {
	c := qt.New(t)
	const (
		cpuShare         = 0.192
		normalRate       = 30.0    // requests per second before the flood
		floodRate        = 650.0   // requests per second during the flood
		floodStart       = 5.0     // seconds
		timeToFirstEvent = 0.5     // seconds until the first event of a request
		streamTime       = 4.0     // duration of a stream in seconds
		coresPerStream   = 0.00095 // cores used by a stream
		baseCores        = 0.04    // cores for everything else
		capacity         = (cpuShare - baseCores) / coresPerStream / streamTime
	)
	var waiting []float64 // times of the first events
	streams := 0.0
	active := func() int64 { return int64(streams) + int64(len(waiting)) }
	l := newConcurrencyLimiter(platform.ResourceLimits{MemoryMB: 184, MaxDescriptors: 4100, CPUShare: cpuShare}, active)
	step := samplePeriod.Seconds()
	arrivals, ended, started := 0.0, 0.0, map[int]int{}
	for at := 0.0; at < 20; at += step {
		rate := normalRate
		if at >= floodStart {
			rate = floodRate
		}
		for arrivals += rate * step; arrivals >= 1; arrivals-- {
			if l.admit(cataloger.RouteStream, "w", active()+1) == "" {
				waiting = append(waiting, at+timeToFirstEvent)
				started[int(at)]++
			}
		}
		for len(waiting) > 0 && waiting[0] <= at {
			waiting, streams = waiting[1:], streams+1
		}
		cpuUse := (baseCores + streams*coresPerStream) / cpuShare
		for ended += streams / streamTime * step / max(1, cpuUse); ended >= 1; ended-- {
			streams--
			l.release("w")
		}
		l.updateCeiling(cpuShare * min(1, cpuUse))
		lag := 0.0
		if cpuUse > 1 {
			lag = 0.03 * min(cpuUse, 3)
		}
		l.updateLimit(time.Duration(lag * float64(time.Second)))
	}
	for s := int(floodStart) + 1; s < 20; s++ {
		c.Check(float64(started[s]) >= capacity/2, qt.IsTrue, qt.Commentf("second %d: %d requests accepted, capacity %.0f", s, started[s], capacity))
	}
}

// TestCPUUseOfConnectionRefusalsIsLimited checks that two thirds of the CPU share are left for
// accepted requests, however many callers connect.
func TestCPUUseOfConnectionRefusalsIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			cpuShare = 0.192
			callers  = 5000
		)
		in := &pipeListener{}
		for range callers {
			server, client := net.Pipe()
			in.conns = append(in.conns, server)
			go func() {
				_, _ = io.WriteString(client, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
				_, _ = http.ReadResponse(bufio.NewReader(client), nil)
				client.Close()
			}()
		}
		l := newLimitListener(in, func(time.Time, int64) bool { return false }, func(*http.Request) http.Header { return nil }, func() {})
		l.refuser.CPULimiter = newRefusalLimiter(cpuShare)
		start := time.Now()
		if _, err := l.Accept(); err != net.ErrClosed {
			t.Fatal(err)
		}
		synctest.Wait()
		took := time.Since(start)
		if cpuUse := callers * connectionRefusalCPUTime.Seconds() / took.Seconds(); cpuUse > 1.05*cpuShare/3 {
			t.Fatalf("%d connections refused in %v: used %.3f of %.3f cores", callers, took, cpuUse, cpuShare)
		}
	})
}

// TestGCPercentIsSetOnChange checks that the GC percentage is set once for each change of the
// overload state.
func TestGCPercentIsSetOnChange(t *testing.T) {
	c := qt.New(t)
	var set []int
	tuner := &gcTuner{setPercent: func(percent int) { set = append(set, percent) }}
	for _, overloaded := range []bool{false, true, true, true, false, false} {
		tuner.setOverloaded(overloaded)
	}
	c.Assert(set, qt.DeepEquals, []int{overloadedGCPercent, normalGCPercent})
}

// TestCeilingFollowsCPUUse checks that the ceiling rises only while it is reached and the CPU use is
// low, and that it falls at a high CPU use.
func TestCeilingFollowsCPUUse(t *testing.T) {
	c := qt.New(t)
	active := int64(0)
	l := newConcurrencyLimiter(platform.ResourceLimits{MemoryMB: 134, MaxDescriptors: 4100, CPUShare: 0.4}, func() int64 { return active })
	sample := func(cores float64) {
		l.updateCeiling(cores)
		l.updateLimit(0)
	}
	for range 300 {
		sample(0.1)
	}
	c.Assert(l.limit.Load(), qt.Equals, int64(320), qt.Commentf("the ceiling rose without being reached"))
	for range 200 {
		active = l.limit.Load()
		sample(0.0005 * float64(active))
	}
	c.Assert(l.limit.Load() > 500, qt.IsTrue, qt.Commentf("%d", l.limit.Load()))
	c.Assert(0.0005*float64(l.limit.Load()) < highCPUUse*0.4, qt.IsTrue, qt.Commentf("%d", l.limit.Load()))
	for range 200 {
		sample(0.4)
	}
	c.Assert(l.limit.Load(), qt.Equals, int64(320))
}

// TestFloodLeavesOtherWorkspaceItsFairShare checks that requests of a workspace are accepted up to
// its fair share while another workspace floods the same router.
func TestFloodLeavesOtherWorkspaceItsFairShare(t *testing.T) {
	c := qt.New(t)
	ends := map[string][]float64{} // end times of active requests by workspace
	active := func() int64 { return int64(len(ends["flood"]) + len(ends["other"])) }
	n := 0
	streamTime := func() float64 {
		// 1 to 5 seconds.
		n++
		return 1 + float64(n%9)/2
	}
	l := newConcurrencyLimiter(platform.ResourceLimits{MemoryMB: 134, MaxDescriptors: 4100, CPUShare: 0.4}, active)
	requests, accepted := 0, 0
	step := samplePeriod.Seconds()
	floodArrivals, otherArrivals := 0.0, 0.0
	for at := 0.0; at < 20; at += step {
		for floodArrivals += 400 * step; floodArrivals >= 1; floodArrivals-- {
			if l.admit(cataloger.RouteStream, "flood", active()+1) == "" {
				ends["flood"] = append(ends["flood"], at+streamTime())
			}
		}
		for otherArrivals += 40 * step; otherArrivals >= 1; otherArrivals-- {
			if at > 5 {
				requests++
			}
			if l.admit(cataloger.RouteStream, "other", active()+1) == "" {
				ends["other"] = append(ends["other"], at+streamTime())
				if at > 5 {
					accepted++
				}
			}
		}
		for w, open := range ends {
			ends[w] = slices.DeleteFunc(open, func(end float64) bool {
				if end <= at {
					l.release(w)
				}
				return end <= at
			})
		}
	}
	c.Assert(float64(accepted) >= 0.95*float64(requests), qt.IsTrue, qt.Commentf("%d of %d requests accepted", accepted, requests))
}

// TestIdleConnectionsAreEvictedForNewOnes checks that idle connections left behind by a flood do not
// keep out new callers.
func TestIdleConnectionsAreEvictedForNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		in := &pipeListener{}
		for range 6 {
			server, client := net.Pipe()
			defer server.Close()
			in.conns = append(in.conns, server)
			go func() { _, _ = io.Copy(io.Discard, client) }()
		}
		hasCapacity := true
		l := newLimitListener(in, func(_ time.Time, open int64) bool { return open < 3 }, func(*http.Request) http.Header { return nil }, func() {})
		l.hasCapacity = func() bool { return hasCapacity }
		accept := func() net.Conn {
			c.Helper()
			conn, err := l.Accept()
			c.Assert(err, qt.IsNil)
			go func() {
				// The HTTP server handles an idle connection like this.
				if _, err := conn.Read(make([]byte, 1)); err != nil {
					conn.Close()
				}
			}()
			synctest.Wait()
			return conn
		}
		first, second, third := accept(), accept(), accept()
		l.idle.setState(first, http.StateIdle)
		time.Sleep(minEvictionIdleTime)
		l.idle.setState(second, http.StateIdle)
		l.idle.setState(third, http.StateIdle)
		l.idle.setState(third, http.StateActive)
		accept()
		_, err := first.Write(nil)
		c.Assert(err, qt.IsNotNil, qt.Commentf("the longest idle connection must be closed"))
		c.Assert(l.open.Load(), qt.Equals, int64(3))
		time.Sleep(minEvictionIdleTime)
		accept()
		_, err = second.Write(nil)
		c.Assert(err, qt.IsNotNil)
		_, err = third.Write(nil)
		c.Assert(err, qt.IsNil, qt.Commentf("an active connection must be kept"))
		hasCapacity = false
		_, err = l.Accept()
		c.Assert(err, qt.Equals, net.ErrClosed, qt.Commentf("the sixth connection must be refused"))
	})
}
