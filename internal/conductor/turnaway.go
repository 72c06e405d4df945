package conductor

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"papayapaddle/internal/linker"
	"papayapaddle/internal/relayer"
)

const (
	// maxTurning is the number of connections that are turned away at the same time,
	// which bounds their memory to 0.5 MB of buffers.
	maxTurning = 32
	// turnCost is the processor time for turning one connection away, 0.05 to 0.1 ms
	// in the pressure lines of flooded routers. turnShare is the part of the
	// processor that it may take; the rest is for the requests that were taken.
	turnCost  = 80 * time.Microsecond
	turnShare = 1.0 / 3
	// turnBurst is the time for which more connections may be turned away at once.
	turnBurst = 100 * time.Millisecond
	// maxQueue is the number of connections that may wait in the system's queue. Half a
	// second of what a small router turns away; callers wait a second for one.
	maxQueue = 128
	// turnTimeout is how long a caller may take to send what is turned away.
	turnTimeout = 500 * time.Millisecond
	// turnBytes is what is read of a request; most are far shorter.
	turnBytes = 64 << 10
	// turnBuffer takes most requests in one read.
	turnBuffer = 16 << 10
)

// boundedListener hands on the connections within a bound. On each other one, one
// request is read and refused, as callers whose connection is closed unread come
// back at once.
type boundedListener struct {
	net.Listener
	// takes says whether one more connection may be opened beside so many.
	takes func(now time.Time, open int64) bool
	// refuse refuses a request.
	refuse func(req *http.Request) http.Header
	// closed is told of each connection that was closed unread.
	closed func()
	// room says whether requests could be taken; nil says no. Then a connection too
	// many takes the place of one that has long been unused.
	room func() bool
	idle idleConns
	// pace bounds how many are turned away a second; nil does not. The scheduler runs
	// what was just accepted before streams whose events have arrived, so callers who
	// keep coming would stop all of them.
	pace *rate.Limiter

	open    atomic.Int64
	turning chan struct{}
}

// bound returns a listener that hands on connections within a bound.
func bound(ln net.Listener, takes func(time.Time, int64) bool, refuse func(*http.Request) http.Header, closed func()) *boundedListener {
	return &boundedListener{Listener: ln, takes: takes, refuse: refuse, closed: closed, turning: make(chan struct{}, maxTurning)}
}

// turnPace returns the pace of turning connections away for a share of a core, in
// cores; 0 means that it is unknown, and the pace unbounded.
func turnPace(cpuShare float64) *rate.Limiter {
	if cpuShare <= 0 {
		return nil
	}
	perSecond := cpuShare * turnShare / turnCost.Seconds()
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*turnBurst.Seconds())))
}

// Accept returns the next connection within the bound.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		if l.takes(now, l.open.Add(1)-1) || l.room != nil && l.room() && l.idle.evict(now) {
			if err := linker.Probe(c, callerSilence); err != nil {
				// It has just ended.
				l.open.Add(-1)
				l.closed()
				c.Close()
				continue
			}
			return &boundedConn{Conn: c, l: l}, nil
		}
		l.open.Add(-1)
		l.turning <- struct{}{}
		if l.pace != nil {
			time.Sleep(l.pace.Reserve().Delay())
		}
		go l.turnAway(c)
	}
}

// turnBuffers keeps the buffers of connections that are turned away.
var turnBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, turnBuffer) }}

// turnAway reads one request and refuses it.
func (l *boundedListener) turnAway(c net.Conn) {
	defer func() {
		c.Close()
		<-l.turning
	}()
	// A connection without deadlines, as in tests, is closed by the other side.
	_ = c.SetDeadline(time.Now().Add(turnTimeout))
	br := turnBuffers.Get().(*bufio.Reader)
	br.Reset(io.LimitReader(c, turnBytes))
	defer func() {
		br.Reset(nil)
		turnBuffers.Put(br)
	}()
	req, err := http.ReadRequest(br)
	if err != nil {
		l.closed()
		return
	}
	// What is left unread would reset the connection before the answer is read.
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		l.closed()
		return
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n",
		http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable))
	// Writing to memory does not fail.
	_ = l.refuse(req).Write(&b)
	b.WriteString("\r\n")
	if _, err := c.Write(b.Bytes()); err != nil {
		l.closed()
	}
}

type boundedConn struct {
	net.Conn
	l    *boundedListener
	once sync.Once
	// unused says that it is on the list of unused connections; retired, under that
	// list's lock, that it was taken off it to end.
	unused  atomic.Bool
	retired bool
}

// Read reads from the connection, which is then in use.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.unused.Load() && c.l.idle.remove(c) {
		// The request came first.
		if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
			return n, err
		}
	}
	return n, err
}

// Close closes the connection and makes room for another one.
func (c *boundedConn) Close() error {
	c.once.Do(func() {
		c.l.open.Add(-1)
		c.l.idle.remove(c)
	})
	return c.Conn.Close()
}

// turnedAway refuses a request for which this router has no connection left: the
// next try reaches another router.
func (n *node) turnedAway(req *http.Request) http.Header {
	h := http.Header{}
	e, err := n.relayer.Codec.DecodeRequest(req.Header)
	n.relayer.Codec.EncodeRefusal(h, e.ID, relayer.RetryElsewhere)
	n.meter.count("caller-connections-turned-away")
	n.pressure.refused.Add(1)
	if !n.refusals.allow() {
		return h
	}
	reason := "router-slow"
	if n.pressure.limit.Load() >= n.pressure.most.Load() {
		reason = "router-full"
	}
	n.log("request", "request", e.ID, "outcome", "refused", "status", http.StatusServiceUnavailable, "reason", reason,
		"workspace", n.workspaceOf(e.Key), "prompt", e.PromptTokens, "kept", false,
		"lag-ms", time.Duration(n.pressure.lag.Load()).Milliseconds(), "limit", n.pressure.limit.Load(),
		"active", n.relayer.Active(), "retry-after-ms", relayer.RetryElsewhere.Milliseconds(), "err", err)
	return h
}

// workspaceOf names the workspace of a key for a log line, if it is known.
func (n *node) workspaceOf(key string) string {
	c := n.watcher.Catalog()
	if c == nil || key == "" {
		return ""
	}
	if w := c.Workspace(key); w != nil {
		return w.Name
	}
	return ""
}
