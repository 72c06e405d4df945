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

// TestConcurrencyLimiter replays ccl-routage mix --seed 310030430083, where one workspace
// sent fifty times its usual to the only router of a zone: its memory was at the
// limit and it stood still for seconds.
func TestConcurrencyLimiter(t *testing.T) {
	c := qt.New(t)
	active := int64(100)
	l := newConcurrencyLimiter(platform.Resource{MemoryMB: 134, MaxDescriptors: 4100}, func() int64 { return active })
	served := float64(l.maxRequests*bytesPerRequest + l.maxConnections*bytesPerConnection)
	c.Assert(served <= 0.76*float64(134<<20), qt.IsTrue)
	c.Assert(l.maxConnections < 4100-200, qt.IsTrue)

	c.Assert(l.admit(cataloger.WorkStream, "w", 100), qt.Equals, "")
	c.Assert(l.admit(cataloger.WorkStream, "w", l.maxRequests+1), qt.Equals, "router-full")
	c.Assert(l.admit(cataloger.WorkOnce, "w", l.maxRequests+1), qt.Equals, "")
	c.Assert(l.admit(cataloger.WorkOnce, "w", 2*l.maxRequests), qt.Equals, "router-full")

	for range 20 {
		l.updateLimit(200 * time.Millisecond)
	}
	c.Assert(l.admit(cataloger.WorkStream, "w", active), qt.Equals, "router-slow")
	now := time.Unix(0, 0)
	c.Assert(l.allowConnection(now, 10), qt.IsTrue)
	c.Assert(l.allowConnection(now, 1000), qt.IsTrue, qt.Commentf("callers with a connection do not shut the others out"))
	c.Assert(l.allowConnection(now, 1000), qt.IsFalse, qt.Commentf("what it cannot serve is not kept waiting"))
	c.Assert(l.allowConnection(now.Add(extraConnectionPeriod/2), 1000), qt.IsFalse)
	c.Assert(l.allowConnection(now.Add(extraConnectionPeriod), 1000), qt.IsTrue)
	c.Assert(l.allowConnection(now.Add(time.Hour), l.maxConnections), qt.IsFalse)
	for range 10 {
		l.updateLimit(0)
	}
	c.Assert(l.admit(cataloger.WorkStream, "w", 1), qt.Equals, "")
}

// TestLimiterUnderCPUThrottling replays grown sdb-quotes scale-1, where one workspace
// sends seven times its usual and all its first attempts reach one router, which
// may use a fifth of each tenth of a second. Its clock is looked at only while it
// runs, so it is 80 ms late at worst and 30 ms on average; it took everything, and
// its callers left before it got to them.
func TestLimiterUnderCPUThrottling(t *testing.T) {
	c := qt.New(t)
	const (
		capacity    = 100.0 // requests that the router can serve, each in
		lasting     = 2.5   // seconds
		arrivalRate = 300.0 // a second
	)
	active, served := 0.0, 0.0
	l := newConcurrencyLimiter(platform.Resource{MemoryMB: 184, MaxDescriptors: 4100}, func() int64 { return int64(active) })
	step := samplePeriod.Seconds()
	for at := 0.0; at < 20; at += step {
		if l.admit(cataloger.WorkStream, "w", int64(active)) == "" {
			active += arrivalRate * step
		}
		cpuUse := active / lasting / capacity
		late := 0.0
		if cpuUse > 1 {
			late = 0.03 * min(cpuUse, 3)
		}
		l.updateLimit(time.Duration(late * float64(time.Second)))
		done := active / lasting * step / max(1, cpuUse)
		active -= done
		if at > 10 {
			served += done
		}
		if at > 10 {
			c.Assert(cpuUse < 1.5, qt.IsTrue, qt.Commentf("%.1f s: uses %.2f of its share", at, cpuUse))
		}
	}
	c.Assert(served > 0.8*10*capacity, qt.IsTrue, qt.Commentf("served %.0f in 10 s", served))
}

// TestLimitHasMinimum replays grown ccl-routage scale-1: turning others
// away keeps a router late by itself, and it must still serve some.
func TestLimitHasMinimum(t *testing.T) {
	c := qt.New(t)
	l := newConcurrencyLimiter(platform.Resource{MemoryMB: 184, MaxDescriptors: 4100, CPUShare: 0.2}, func() int64 { return 10 })
	for range 1000 {
		l.updateLimit(80 * time.Millisecond)
	}
	c.Assert(l.admit(cataloger.WorkStream, "w", 60), qt.Equals, "")
	c.Assert(l.admit(cataloger.WorkStream, "w", 61), qt.Equals, "router-slow")
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
	c := p.conns[0]
	p.conns = p.conns[1:]
	return c, nil
}

// TestExcessConnectionsAreRefused checks that a request on a connection too many is
// refused with its id and a time to come back, and garbage closed without one.
func TestExcessConnectionsAreRefused(t *testing.T) {
	c := qt.New(t)
	var clients []net.Conn
	in := &pipeListener{}
	for range 5 {
		a, b := net.Pipe()
		in.conns, clients = append(in.conns, a), append(clients, b)
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
	c.Assert(first.Close(), qt.IsNil, qt.Commentf("closed twice, counted once"))
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

// TestExcessConnectionsAreRefusedWithoutDelay replays deploy/days/hungry-and-lossy.toml on
// sdb-quotes, --vary --seed 966399810799: with a pace for turning away, callers
// waited 11 s in the system's queue, had left, and their requests were sent on
// (GONE). Whatever is queued is answered in no time of the clock.
func TestExcessConnectionsAreRefusedWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := &pipeListener{}
		var answered atomic.Int64
		for range 500 {
			here, there := net.Pipe()
			in.conns = append(in.conns, here)
			go func() {
				_, _ = io.WriteString(there, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
				if _, err := http.ReadResponse(bufio.NewReader(there), nil); err == nil {
					answered.Add(1)
				}
				there.Close()
			}()
		}
		l := newLimitListener(in, func(time.Time, int64) bool { return false }, func(*http.Request) http.Header { return nil }, func() {})
		began := time.Now()
		if _, err := l.Accept(); err != net.ErrClosed {
			t.Fatal(err)
		}
		synctest.Wait()
		if took := time.Since(began); took != 0 || answered.Load() != 500 {
			t.Fatalf("%d answered in %v", answered.Load(), took)
		}
	})
}

// TestFloodedRouterKeepsAcceptingRequests checks that a flooded router begins, in each second, half of what
// it can work off: what a workspace is owed of its share.
func TestFloodedRouterKeepsAcceptingRequests(t *testing.T) {
	c := qt.New(t)
	const (
		share     = 0.192
		calm      = 30.0    // requests a second before the flood
		flood     = 650.0   // and in it
		floodAt   = 5.0     // seconds
		wait      = 0.5     // seconds until a request's first event
		lasting   = 4.0     // seconds of its stream
		perSecond = 0.00095 // cores that a stream takes
		base      = 0.04    // cores for everything else
		room      = (share - base) / perSecond / lasting
	)
	var waiting []float64 // when each first event comes
	streams := 0.0
	active := func() int64 { return int64(streams) + int64(len(waiting)) }
	l := newConcurrencyLimiter(platform.Resource{MemoryMB: 184, MaxDescriptors: 4100, CPUShare: share}, active)
	step := samplePeriod.Seconds()
	due, ended, began := 0.0, 0.0, map[int]int{}
	for at := 0.0; at < 20; at += step {
		rate := calm
		if at >= floodAt {
			rate = flood
		}
		for due += rate * step; due >= 1; due-- {
			if l.admit(cataloger.WorkStream, "w", active()+1) == "" {
				waiting = append(waiting, at+wait)
				began[int(at)]++
			}
		}
		for len(waiting) > 0 && waiting[0] <= at {
			waiting, streams = waiting[1:], streams+1
		}
		use := (base + streams*perSecond) / share
		for ended += streams / lasting * step / max(1, use); ended >= 1; ended-- {
			streams--
			l.release("w")
		}
		l.updateCeiling(share * min(1, use))
		late := 0.0
		if use > 1 {
			late = 0.03 * min(use, 3)
		}
		l.updateLimit(time.Duration(late * float64(time.Second)))
	}
	for s := int(floodAt) + 1; s < 20; s++ {
		c.Check(float64(began[s]) >= room/2, qt.IsTrue, qt.Commentf("second %d: %d of %.0f", s, began[s], room))
	}
}

// TestCPUUseOfConnectionRefusalsIsLimited checks that however many callers connect, two
// thirds of the processor are left for the requests that were taken.
func TestCPUUseOfConnectionRefusalsIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			share   = 0.192
			callers = 5000
		)
		in := &pipeListener{}
		for range callers {
			here, there := net.Pipe()
			in.conns = append(in.conns, here)
			go func() {
				_, _ = io.WriteString(there, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
				_, _ = http.ReadResponse(bufio.NewReader(there), nil)
				there.Close()
			}()
		}
		l := newLimitListener(in, func(time.Time, int64) bool { return false }, func(*http.Request) http.Header { return nil }, func() {})
		l.refuser.Pace = newRefusalLimiter(share)
		began := time.Now()
		if _, err := l.Accept(); err != net.ErrClosed {
			t.Fatal(err)
		}
		synctest.Wait()
		took := time.Since(began)
		if used := callers * connectionRefusalCPUTime.Seconds() / took.Seconds(); used > 1.05*share/3 {
			t.Fatalf("%d callers in %v: %.3f cores of %.3f", callers, took, used, share)
		}
	})
}

// TestGCPercentIsSetOnChange checks that the runtime is told once of each
// change.
func TestGCPercentIsSetOnChange(t *testing.T) {
	c := qt.New(t)
	var set []int
	tuner := &gcTuner{setPercent: func(percent int) { set = append(set, percent) }}
	for _, busy := range []bool{false, true, true, true, false, false} {
		tuner.setOverloaded(busy)
	}
	c.Assert(set, qt.DeepEquals, []int{overloadedGCPercent, normalGCPercent})
}

// TestCeilingFollowsCPUUse checks that the most rises only while it is reached and
// the processor has room, and falls back.
func TestCeilingFollowsCPUUse(t *testing.T) {
	c := qt.New(t)
	active := int64(0)
	l := newConcurrencyLimiter(platform.Resource{MemoryMB: 134, MaxDescriptors: 4100, CPUShare: 0.4}, func() int64 { return active })
	look := func(cores float64) {
		l.updateCeiling(cores)
		l.updateLimit(0)
	}
	for range 300 {
		look(0.1)
	}
	c.Assert(l.limit.Load(), qt.Equals, int64(320), qt.Commentf("what is not reached does not rise"))
	for range 200 {
		active = l.limit.Load()
		look(0.0005 * float64(active))
	}
	c.Assert(l.limit.Load() > 500, qt.IsTrue, qt.Commentf("%d", l.limit.Load()))
	c.Assert(0.0005*float64(l.limit.Load()) < highCPUUse*0.4, qt.IsTrue, qt.Commentf("%d", l.limit.Load()))
	for range 200 {
		look(0.4)
	}
	c.Assert(l.limit.Load(), qt.Equals, int64(320))
}

// TestFloodLeavesOtherWorkspaceItsFairShare checks that a workspace gets what it asks for, up to its even
// share, beside one that floods the same router.
func TestFloodLeavesOtherWorkspaceItsFairShare(t *testing.T) {
	c := qt.New(t)
	ends := map[string][]float64{} // of the requests at the same time
	active := func() int64 { return int64(len(ends["flood"]) + len(ends["other"])) }
	n := 0
	lasting := func() float64 {
		// One to five seconds.
		n++
		return 1 + float64(n%9)/2
	}
	l := newConcurrencyLimiter(platform.Resource{MemoryMB: 134, MaxDescriptors: 4100, CPUShare: 0.4}, active)
	asked, taken := 0, 0
	step := samplePeriod.Seconds()
	dueFlood, dueOther := 0.0, 0.0
	for at := 0.0; at < 20; at += step {
		for dueFlood += 400 * step; dueFlood >= 1; dueFlood-- {
			if l.admit(cataloger.WorkStream, "flood", active()+1) == "" {
				ends["flood"] = append(ends["flood"], at+lasting())
			}
		}
		for dueOther += 40 * step; dueOther >= 1; dueOther-- {
			if at > 5 {
				asked++
			}
			if l.admit(cataloger.WorkStream, "other", active()+1) == "" {
				ends["other"] = append(ends["other"], at+lasting())
				if at > 5 {
					taken++
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
	c.Assert(float64(taken) >= 0.95*float64(asked), qt.IsTrue, qt.Commentf("%d of %d", taken, asked))
}

// TestIdleConnectionsAreEvictedForNewOnes checks that connections which a flood left unused do
// not shut new callers out.
func TestIdleConnectionsAreEvictedForNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		in := &pipeListener{}
		for range 6 {
			a, b := net.Pipe()
			defer a.Close()
			in.conns = append(in.conns, a)
			go func() { _, _ = io.Copy(io.Discard, b) }()
		}
		room := true
		l := newLimitListener(in, func(_ time.Time, open int64) bool { return open < 3 }, func(*http.Request) http.Header { return nil }, func() {})
		l.hasCapacity = func() bool { return room }
		accept := func() net.Conn {
			c.Helper()
			conn, err := l.Accept()
			c.Assert(err, qt.IsNil)
			go func() {
				// As the server does with an unused connection.
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
		c.Assert(err, qt.IsNotNil, qt.Commentf("the longest unused one is closed"))
		c.Assert(l.open.Load(), qt.Equals, int64(3))
		time.Sleep(minEvictionIdleTime)
		accept()
		_, err = second.Write(nil)
		c.Assert(err, qt.IsNotNil)
		_, err = third.Write(nil)
		c.Assert(err, qt.IsNil, qt.Commentf("one in use is kept"))
		room = false
		_, err = l.Accept()
		c.Assert(err, qt.Equals, net.ErrClosed, qt.Commentf("the sixth is turned away"))
	})
}
