package conductor

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"papayapaddle/internal/linker"
	"papayapaddle/internal/refuser"
	"papayapaddle/internal/screener"
)

const (
	// maxConcurrentRefusals is the number of connections beyond the limit that are refused at
	// the same time. It limits the memory for their buffers to 0.5 MB.
	maxConcurrentRefusals = 32
	// connectionRefusalCPUTime is the CPU time for refusing one connection. It varies between
	// 0.05 and 0.1 ms on flooded routers.
	connectionRefusalCPUTime = 80 * time.Microsecond
	// immediateRefusalCPUTime is the same for a connection that is refused before it is
	// registered with the network poller, with less than half of the system calls.
	immediateRefusalCPUTime = 30 * time.Microsecond
	// acceptQueueLength is the number of connections in the accept queue of the kernel. It
	// holds half a second of the connections that a small router refuses; callers wait a
	// second for a connection.
	acceptQueueLength = 128
)

// limitListener accepts connections up to a limit. On each connection beyond it, one request is
// read and refused, because callers whose connection is closed without an answer reconnect at
// once.
type limitListener struct {
	net.Listener
	// allow reports whether another connection may be accepted beside the open ones.
	allow func(now time.Time, open int64) bool
	// refuse returns the header of the response to a refused request.
	refuse func(req *http.Request) http.Header
	// onUnansweredClose is called for each connection that was closed without an answer.
	onUnansweredClose func()
	// sockets accepts connections while the router has no capacity. It is nil for listeners
	// without sockets, as in tests.
	sockets *refuser.Accepter
	// hasCapacity reports whether the router can accept requests; nil means no. If it can, a
	// connection beyond the limit replaces one that has been idle for long.
	hasCapacity func() bool
	idle        idleConns
	// port counts unfinished requests, and giveUpUnfinished ends the one of this listener that has been
	// unfinished for the longest, in favor of a new connection. Both may be nil.
	port             *screener.Port
	giveUpUnfinished func(now time.Time) bool
	// refuser reads and refuses requests.
	refuser *refuser.Refuser

	// open counts the open connections, except those beyond the limit that are being refused.
	open atomic.Int64
	// refusing is the semaphore for maxConcurrentRefusals.
	refusing chan struct{}
}

// newLimitListener returns a listener without sockets and hasCapacity, which can be set later.
func newLimitListener(ln net.Listener, allow func(time.Time, int64) bool, refuse func(*http.Request) http.Header, onUnansweredClose func()) *limitListener {
	return &limitListener{
		Listener: ln, allow: allow, refuse: refuse, onUnansweredClose: onUnansweredClose, refusing: make(chan struct{}, maxConcurrentRefusals),
		refuser: &refuser.Refuser{},
	}
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		if l.sockets != nil && !l.hasCapacity() {
			if err := l.acceptOverloaded(); err != nil {
				return nil, err
			}
			continue
		}
		if c, err := l.accept(); c != nil || err != nil {
			return c, err
		}
	}
}

// Close closes the listener.
func (l *limitListener) Close() error {
	err := l.Listener.Close()
	if l.sockets != nil {
		err = errors.Join(err, l.sockets.Close())
	}
	return err
}

// accept returns the next connection, or nil if it was refused or has failed.
func (l *limitListener) accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if !l.allow(now, l.open.Load()) && (l.hasCapacity == nil || !l.hasCapacity() || !l.makeRoom(now)) {
		l.refuseConnection(c)
		return nil, nil
	}
	lc := l.track(c)
	if err := lc.detectDeadPeer(); err != nil {
		// The connection has already failed.
		l.onUnansweredClose()
		lc.Close()
		return nil, nil
	}
	return lc, nil
}

// makeRoom ends a connection that is idle or whose request is unfinished, and reports whether there was one.
func (l *limitListener) makeRoom(now time.Time) bool {
	return l.idle.evictOldest(now) || l.giveUpUnfinished != nil && l.giveUpUnfinished(now)
}

// acceptOverloaded accepts the next connection and refuses its request if that has already
// arrived, without registering the socket with the network poller. The refuser handles all
// other connections within the limit.
func (l *limitListener) acceptOverloaded() error {
	socket, err := l.sockets.Accept()
	if err != nil {
		return err
	}
	decide := l.refuser.Decide
	withinLimit := l.allow(time.Now(), l.open.Load())
	if !withinLimit {
		decide = func(req *http.Request) *refuser.Refusal { return &refuser.Refusal{Header: l.refuse(req)} }
	}
	l.refuser.WaitCPU(immediateRefusalCPUTime)
	buffered, refused := l.refuser.TryRefuse(socket, decide)
	if refused {
		return nil
	}
	c, err := socket.Conn()
	switch {
	case err != nil:
		l.onUnansweredClose()
	case withinLimit:
		lc := l.track(c)
		lc.beginRefusal()
		go l.refuser.RefuseNewConn(lc, buffered)
	default:
		l.refuseConnection(&limitConn{Conn: c, listener: l, buffered: buffered, uncounted: true})
	}
	return nil
}

// track counts a connection as open until it is closed.
func (l *limitListener) track(c net.Conn) *limitConn {
	l.open.Add(1)
	lc := &limitConn{Conn: c, listener: l}
	if l.port != nil {
		lc.screened = l.port.Wrap(c, lc.release)
		lc.Conn = lc.screened
	}
	return lc
}

// refuseConnection reads one request from a connection and refuses it in the background. It
// blocks while maxConcurrentRefusals others are in progress or the CPU limit is reached.
func (l *limitListener) refuseConnection(c net.Conn) {
	l.refusing <- struct{}{}
	l.refuser.WaitCPU(connectionRefusalCPUTime)
	go func() {
		if err := l.refuser.RefuseAndClose(c, l.refuse); err != nil {
			l.onUnansweredClose()
		}
		<-l.refusing
	}()
}

// limitConn is a caller's connection.
type limitConn struct {
	net.Conn
	listener  *limitListener
	closeOnce sync.Once
	// idle is set while the connection is on the list of idle connections. evicted is set when
	// the connection is evicted from the list; the lock of the list guards it.
	idle    atomic.Bool
	evicted bool
	// screened is Conn, or nil if unfinished requests are not counted.
	screened *screener.Conn
	// buffered is data that was read before the connection was passed on.
	buffered []byte
	// detectsDeadPeer is set once detectDeadPeer was called.
	detectsDeadPeer bool
	// uncounted is set for a connection that does not count as open.
	uncounted bool
}

// detectDeadPeer makes the connection fail once the caller has been silent for
// callerConnSilenceTimeout.
func (c *limitConn) detectDeadPeer() error {
	if c.detectsDeadPeer {
		return nil
	}
	c.detectsDeadPeer = true
	return linker.EnableKeepAlive(c.Conn, callerConnSilenceTimeout)
}

// SyscallConn implements syscall.Conn.
func (c *limitConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// Read reads from the connection and, if it gets data, removes it from the idle connections.
func (c *limitConn) Read(p []byte) (int, error) {
	if len(c.buffered) > 0 {
		n := copy(p, c.buffered)
		c.buffered = c.buffered[n:]
		if c.screened != nil && !c.screened.Count(p[:n]) {
			return 0, net.ErrClosed
		}
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.idle.Load() && c.listener.idle.remove(c) {
		// The request was read before the eviction took effect.
		if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
			return n, err
		}
	}
	return n, err
}

// beginRefusal marks the request as unfinished while the refuser reads it.
func (c *limitConn) beginRefusal() {
	if c.screened != nil {
		c.screened.Begin()
	}
}

// release ends the accounting of the connection, which no longer counts as open.
func (c *limitConn) release() {
	c.closeOnce.Do(func() {
		if !c.uncounted {
			c.listener.open.Add(-1)
		}
		c.listener.idle.remove(c)
	})
}

// Close closes the connection.
func (c *limitConn) Close() error {
	c.release()
	return c.Conn.Close()
}
