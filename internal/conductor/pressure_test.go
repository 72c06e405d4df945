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

// TestPressure replays ccl-routage mix --seed 310030430083, where one workspace
// sent fifty times its usual to the only router of a zone: its memory was at the
// limit and it stood still for seconds.
func TestPressure(t *testing.T) {
	c := qt.New(t)
	active := int64(100)
	p := newPressure(platform.Resource{MemoryMB: 134, MaxDescriptors: 4100}, func() int64 { return active })
	served := float64(p.maxRequests*requestBytes + p.maxConnections*connectionBytes)
	c.Assert(served <= 0.76*float64(134<<20), qt.IsTrue)
	c.Assert(p.maxConnections < 4100-200, qt.IsTrue)

	c.Assert(p.busy(cataloger.RouteStream, "w", 100), qt.Equals, "")
	c.Assert(p.busy(cataloger.RouteStream, "w", p.maxRequests+1), qt.Equals, "router-full")
	c.Assert(p.busy(cataloger.RouteNonIdempotent, "w", p.maxRequests+1), qt.Equals, "")
	c.Assert(p.busy(cataloger.RouteNonIdempotent, "w", 2*p.maxRequests), qt.Equals, "router-full")

	for range 20 {
		p.note(200 * time.Millisecond)
	}
	c.Assert(p.busy(cataloger.RouteStream, "w", active), qt.Equals, "router-slow")
	now := time.Unix(0, 0)
	c.Assert(p.takes(now, 10), qt.IsTrue)
	c.Assert(p.takes(now, 1000), qt.IsTrue, qt.Commentf("callers with a connection do not shut the others out"))
	c.Assert(p.takes(now, 1000), qt.IsFalse, qt.Commentf("what it cannot serve is not kept waiting"))
	c.Assert(p.takes(now.Add(takeEvery/2), 1000), qt.IsFalse)
	c.Assert(p.takes(now.Add(takeEvery), 1000), qt.IsTrue)
	c.Assert(p.takes(now.Add(time.Hour), p.maxConnections), qt.IsFalse)
	for range 10 {
		p.note(0)
	}
	c.Assert(p.busy(cataloger.RouteStream, "w", 1), qt.Equals, "")
}

// TestShareOfACoreIsUsedUp replays grown sdb-quotes scale-1, where one workspace
// sends seven times its usual and all its first attempts reach one router, which
// may use a fifth of each tenth of a second. Its clock is looked at only while it
// runs, so it is 80 ms late at worst and 30 ms on average; it took everything, and
// its callers left before it got to them.
func TestShareOfACoreIsUsedUp(t *testing.T) {
	c := qt.New(t)
	const (
		perSecond = 100.0 // requests that the router can serve, each in
		lasting   = 2.5   // seconds
		offered   = 300.0 // a second
	)
	active, served := 0.0, 0.0
	p := newPressure(platform.Resource{MemoryMB: 184, MaxDescriptors: 4100}, func() int64 { return int64(active) })
	step := lagStep.Seconds()
	for at := 0.0; at < 20; at += step {
		if p.busy(cataloger.RouteStream, "w", int64(active)) == "" {
			active += offered * step
		}
		use := active / lasting / perSecond
		late := 0.0
		if use > 1 {
			late = 0.03 * min(use, 3)
		}
		p.note(time.Duration(late * float64(time.Second)))
		done := active / lasting * step / max(1, use)
		active -= done
		if at > 10 {
			served += done
		}
		if at > 10 {
			c.Assert(use < 1.5, qt.IsTrue, qt.Commentf("%.1f s: uses %.2f of its share", at, use))
		}
	}
	c.Assert(served > 0.8*10*perSecond, qt.IsTrue, qt.Commentf("served %.0f in 10 s", served))
}

// TestWhatIsTurnedAwayLeavesRoom replays grown ccl-routage scale-1: turning others
// away keeps a router late by itself, and it must still serve some.
func TestWhatIsTurnedAwayLeavesRoom(t *testing.T) {
	c := qt.New(t)
	p := newPressure(platform.Resource{MemoryMB: 184, MaxDescriptors: 4100, CPUShare: 0.2}, func() int64 { return 10 })
	for range 1000 {
		p.note(80 * time.Millisecond)
	}
	c.Assert(p.busy(cataloger.RouteStream, "w", 60), qt.Equals, "")
	c.Assert(p.busy(cataloger.RouteStream, "w", 61), qt.Equals, "router-slow")
}

// pipes is a listener that accepts the given connections.
type pipes struct {
	net.Listener
	conns []net.Conn
}

func (p *pipes) Accept() (net.Conn, error) {
	if len(p.conns) == 0 {
		return nil, net.ErrClosed
	}
	c := p.conns[0]
	p.conns = p.conns[1:]
	return c, nil
}

// TestConnectionsBeyondTheBound checks that a request on a connection too many is
// refused with its id and a time to come back, and garbage closed without one.
func TestConnectionsBeyondTheBound(t *testing.T) {
	c := qt.New(t)
	var there []net.Conn
	in := &pipes{}
	for range 5 {
		a, b := net.Pipe()
		in.conns, there = append(in.conns, a), append(there, b)
	}
	closed := make(chan bool, 2)
	refuse := func(req *http.Request) http.Header {
		return http.Header{"Retry-After": {"1"}, "Id": req.Header["Id"]}
	}
	l := bound(in, func(_ time.Time, open int64) bool { return open < 2 }, refuse, func() { closed <- true })
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

	_, err = io.WriteString(there[3], "POST /a HTTP/1.1\r\nHost: h\r\nId: q\r\nContent-Length: 4\r\n\r\nbody")
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(there[3]), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(resp.Header.Get("Id"), qt.Equals, "q")
	c.Assert(resp.Header.Get("Retry-After"), qt.Equals, "1")
	c.Assert(resp.Close, qt.IsTrue)

	_, err = io.WriteString(there[4], "what?\r\n\r\n")
	c.Assert(err, qt.IsNil)
	c.Assert(<-closed, qt.IsTrue)
	_, err = there[4].Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
}

// TestTurningAwayKeepsNobodyWaiting replays deploy/days/hungry-and-lossy.toml on
// sdb-quotes, --vary --seed 966399810799: with a pace for turning away, callers
// waited 11 s in the system's queue, had left, and their requests were sent on
// (GONE). Whatever is queued is answered in no time of the clock.
func TestTurningAwayKeepsNobodyWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := &pipes{}
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
		l := bound(in, func(time.Time, int64) bool { return false }, func(*http.Request) http.Header { return nil }, func() {})
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

// TestFairInAFlood checks that a flooded router begins, in each second, half of what
// it can work off: what a workspace is owed of its share.
func TestFairInAFlood(t *testing.T) {
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
	p := newPressure(platform.Resource{MemoryMB: 184, MaxDescriptors: 4100, CPUShare: share}, active)
	step := lagStep.Seconds()
	due, ended, began := 0.0, 0.0, map[int]int{}
	for at := 0.0; at < 20; at += step {
		rate := calm
		if at >= floodAt {
			rate = flood
		}
		for due += rate * step; due >= 1; due-- {
			if p.busy(cataloger.RouteStream, "w", active()+1) == "" {
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
			p.done("w")
		}
		p.noteUse(share * min(1, use))
		late := 0.0
		if use > 1 {
			late = 0.03 * min(use, 3)
		}
		p.note(time.Duration(late * float64(time.Second)))
	}
	for s := int(floodAt) + 1; s < 20; s++ {
		c.Check(float64(began[s]) >= room/2, qt.IsTrue, qt.Commentf("second %d: %d of %.0f", s, began[s], room))
	}
}

// TestTurningAwayLeavesTheProcessor checks that however many callers connect, two
// thirds of the processor are left for the requests that were taken.
func TestTurningAwayLeavesTheProcessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			share   = 0.192
			callers = 5000
		)
		in := &pipes{}
		for range callers {
			here, there := net.Pipe()
			in.conns = append(in.conns, here)
			go func() {
				_, _ = io.WriteString(there, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
				_, _ = http.ReadResponse(bufio.NewReader(there), nil)
				there.Close()
			}()
		}
		l := bound(in, func(time.Time, int64) bool { return false }, func(*http.Request) http.Header { return nil }, func() {})
		l.refuser.Pace = refusalPace(share)
		began := time.Now()
		if _, err := l.Accept(); err != net.ErrClosed {
			t.Fatal(err)
		}
		synctest.Wait()
		took := time.Since(began)
		if used := callers * turnCost.Seconds() / took.Seconds(); used > 1.05*share/3 {
			t.Fatalf("%d callers in %v: %.3f cores of %.3f", callers, took, used, share)
		}
	})
}

// TestCollectorFollowsThePressure checks that the runtime is told once of each
// change.
func TestCollectorFollowsThePressure(t *testing.T) {
	c := qt.New(t)
	var set []int
	g := &collector{set: func(percent int) { set = append(set, percent) }}
	for _, busy := range []bool{false, true, true, true, false, false} {
		g.note(busy)
	}
	c.Assert(set, qt.DeepEquals, []int{busyGCPercent, calmGCPercent})
}

// TestMostFollowsTheProcessor checks that the most rises only while it is reached and
// the processor has room, and falls back.
func TestMostFollowsTheProcessor(t *testing.T) {
	c := qt.New(t)
	active := int64(0)
	p := newPressure(platform.Resource{MemoryMB: 134, MaxDescriptors: 4100, CPUShare: 0.4}, func() int64 { return active })
	look := func(cores float64) {
		p.noteUse(cores)
		p.note(0)
	}
	for range 300 {
		look(0.1)
	}
	c.Assert(p.limit.Load(), qt.Equals, int64(320), qt.Commentf("what is not reached does not rise"))
	for range 200 {
		active = p.limit.Load()
		look(0.0005 * float64(active))
	}
	c.Assert(p.limit.Load() > 500, qt.IsTrue, qt.Commentf("%d", p.limit.Load()))
	c.Assert(0.0005*float64(p.limit.Load()) < tightUse*0.4, qt.IsTrue, qt.Commentf("%d", p.limit.Load()))
	for range 200 {
		look(0.4)
	}
	c.Assert(p.limit.Load(), qt.Equals, int64(320))
}

// TestFairAtOneRouter checks that a workspace gets what it asks for, up to its even
// share, beside one that floods the same router.
func TestFairAtOneRouter(t *testing.T) {
	c := qt.New(t)
	ends := map[string][]float64{} // of the requests at the same time
	active := func() int64 { return int64(len(ends["flood"]) + len(ends["other"])) }
	n := 0
	lasting := func() float64 {
		// One to five seconds.
		n++
		return 1 + float64(n%9)/2
	}
	p := newPressure(platform.Resource{MemoryMB: 134, MaxDescriptors: 4100, CPUShare: 0.4}, active)
	asked, taken := 0, 0
	step := lagStep.Seconds()
	dueFlood, dueOther := 0.0, 0.0
	for at := 0.0; at < 20; at += step {
		for dueFlood += 400 * step; dueFlood >= 1; dueFlood-- {
			if p.busy(cataloger.RouteStream, "flood", active()+1) == "" {
				ends["flood"] = append(ends["flood"], at+lasting())
			}
		}
		for dueOther += 40 * step; dueOther >= 1; dueOther-- {
			if at > 5 {
				asked++
			}
			if p.busy(cataloger.RouteStream, "other", active()+1) == "" {
				ends["other"] = append(ends["other"], at+lasting())
				if at > 5 {
					taken++
				}
			}
		}
		for w, open := range ends {
			ends[w] = slices.DeleteFunc(open, func(end float64) bool {
				if end <= at {
					p.done(w)
				}
				return end <= at
			})
		}
	}
	c.Assert(float64(taken) >= 0.95*float64(asked), qt.IsTrue, qt.Commentf("%d of %d", taken, asked))
}

// TestUnusedConnectionsMakeRoom checks that connections which a flood left unused do
// not shut new callers out.
func TestUnusedConnectionsMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		in := &pipes{}
		for range 6 {
			a, b := net.Pipe()
			defer a.Close()
			in.conns = append(in.conns, a)
			go func() { _, _ = io.Copy(io.Discard, b) }()
		}
		room := true
		l := bound(in, func(_ time.Time, open int64) bool { return open < 3 }, func(*http.Request) http.Header { return nil }, func() {})
		l.room = func() bool { return room }
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
		l.idle.note(first, http.StateIdle)
		time.Sleep(evictAfter)
		l.idle.note(second, http.StateIdle)
		l.idle.note(third, http.StateIdle)
		l.idle.note(third, http.StateActive)
		accept()
		_, err := first.Write(nil)
		c.Assert(err, qt.IsNotNil, qt.Commentf("the longest unused one is closed"))
		c.Assert(l.open.Load(), qt.Equals, int64(3))
		time.Sleep(evictAfter)
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
