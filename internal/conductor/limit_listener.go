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
)

const (
	// maxConcurrentRefusals is the number of connections that are turned away at the same time,
	// which bounds their memory to 0.5 MB of buffers.
	maxConcurrentRefusals = 32
	// connectionRefusalCPUTime is the processor time for turning one connection away, 0.05 to 0.1 ms
	// in the pressure lines of flooded routers.
	connectionRefusalCPUTime = 80 * time.Microsecond
	// immediateRefusalCPUTime is the same for one that is refused without being polled: less than half
	// of the system calls.
	immediateRefusalCPUTime = 30 * time.Microsecond
	// acceptQueueLength is the number of connections that may wait in the system's queue. Half a
	// second of what a small router turns away; callers wait a second for one.
	acceptQueueLength = 128
)

// limitListener hands on the connections within a bound. On each other one, one
// request is read and refused, as callers whose connection is closed unread come
// back at once.
type limitListener struct {
	net.Listener
	// allow says whether one more connection may be opened beside so many.
	allow func(now time.Time, open int64) bool
	// refuse refuses a request.
	refuse func(req *http.Request) http.Header
	// onUnreadClose is told of each connection that was closed unread.
	onUnreadClose func()
	// sockets accepts for a crowded router; nil for listeners without sockets, as in tests.
	sockets *refuser.Accepter
	// hasCapacity says whether requests could be taken; nil says no. Then a connection too
	// many takes the place of one that has long been unused.
	hasCapacity func() bool
	idle        idleConns
	// refuser reads and refuses them.
	refuser *refuser.Refuser

	open     atomic.Int64
	refusing chan struct{}
}

// newLimitListener returns a listener that hands on connections within a bound.
func newLimitListener(ln net.Listener, allow func(time.Time, int64) bool, refuse func(*http.Request) http.Header, onUnreadClose func()) *limitListener {
	return &limitListener{
		Listener: ln, allow: allow, refuse: refuse, onUnreadClose: onUnreadClose, refusing: make(chan struct{}, maxConcurrentRefusals),
		refuser: &refuser.Refuser{},
	}
}

// Accept returns the next connection within the bound.
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

// Close ends the listener.
func (l *limitListener) Close() error {
	err := l.Listener.Close()
	if l.sockets != nil {
		err = errors.Join(err, l.sockets.Close())
	}
	return err
}

// accept returns the next connection, or nil for one that is turned away.
func (l *limitListener) accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if !l.allow(now, l.open.Load()) && (l.hasCapacity == nil || !l.hasCapacity() || !l.idle.evictOldest(now)) {
		l.refuseConnection(c)
		return nil, nil
	}
	lc := l.track(c)
	if err := lc.detectDeadPeer(); err != nil {
		// It has just ended.
		l.onUnreadClose()
		lc.Close()
		return nil, nil
	}
	return lc, nil
}

// acceptOverloaded refuses the request of the next connection before that is polled, if it
// has arrived. The refuser sees to all others within the bound.
func (l *limitListener) acceptOverloaded() error {
	socket, err := l.sockets.Accept()
	if err != nil {
		return err
	}
	judge := l.refuser.Judge
	withinLimit := l.allow(time.Now(), l.open.Load())
	if !withinLimit {
		judge = func(req *http.Request) *refuser.Refusal { return &refuser.Refusal{Header: l.refuse(req)} }
	}
	l.refuser.Wait(immediateRefusalCPUTime)
	buffered, done := l.refuser.AtOnce(socket, judge)
	if done {
		return nil
	}
	c, err := socket.Conn()
	switch {
	case err != nil:
		l.onUnreadClose()
	case withinLimit:
		go l.refuser.Watch(l.track(c), buffered)
	default:
		l.refuseConnection(&limitConn{Conn: c, listener: l, buffered: buffered, uncounted: true})
	}
	return nil
}

// track counts a connection as open until it is closed.
func (l *limitListener) track(c net.Conn) *limitConn {
	l.open.Add(1)
	return &limitConn{Conn: c, listener: l}
}

// refuseConnection reads one request and refuses it, in a while.
func (l *limitListener) refuseConnection(c net.Conn) {
	l.refusing <- struct{}{}
	l.refuser.Wait(connectionRefusalCPUTime)
	go func() {
		if err := l.refuser.Once(c, l.refuse); err != nil {
			l.onUnreadClose()
		}
		<-l.refusing
	}()
}

// limitConn is a caller's connection.
type limitConn struct {
	net.Conn
	listener  *limitListener
	closeOnce sync.Once
	// idle says that it is on the list of unused connections; retired, under that
	// list's lock, that it was taken off it to end.
	idle    atomic.Bool
	evicted bool
	// buffered was read before the connection was handed on.
	buffered []byte
	// detectsDeadPeer says that it fails once its caller has been silent.
	detectsDeadPeer bool
	// uncounted says that it does not count as open.
	uncounted bool
}

// detectDeadPeer makes the connection fail once its caller has been silent.
func (c *limitConn) detectDeadPeer() error {
	if c.detectsDeadPeer {
		return nil
	}
	c.detectsDeadPeer = true
	return linker.Probe(c.Conn, callerConnSilenceTimeout)
}

// SyscallConn gives access to the socket.
func (c *limitConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// Read reads from the connection, which is then in use.
func (c *limitConn) Read(p []byte) (int, error) {
	if len(c.buffered) > 0 {
		n := copy(p, c.buffered)
		c.buffered = c.buffered[n:]
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.idle.Load() && c.listener.idle.remove(c) {
		// The request came first.
		if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
			return n, err
		}
	}
	return n, err
}

// Close closes the connection and makes room for another one.
func (c *limitConn) Close() error {
	c.closeOnce.Do(func() {
		if !c.uncounted {
			c.listener.open.Add(-1)
		}
		c.listener.idle.remove(c)
	})
	return c.Conn.Close()
}
