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
	// maxTurning is the number of connections that are turned away at the same time,
	// which bounds their memory to 0.5 MB of buffers.
	maxTurning = 32
	// turnCost is the processor time for turning one connection away, 0.05 to 0.1 ms
	// in the pressure lines of flooded routers.
	turnCost = 80 * time.Microsecond
	// atOnceCost is the same for one that is refused without being polled: less than half
	// of the system calls.
	atOnceCost = 30 * time.Microsecond
	// maxQueue is the number of connections that may wait in the system's queue. Half a
	// second of what a small router turns away; callers wait a second for one.
	maxQueue = 128
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
	// sockets accepts for a crowded router; nil for listeners without sockets, as in tests.
	sockets *refuser.Accepter
	// room says whether requests could be taken; nil says no. Then a connection too
	// many takes the place of one that has long been unused.
	room func() bool
	idle idleConns
	// refuser reads and refuses them.
	refuser *refuser.Refuser

	open    atomic.Int64
	turning chan struct{}
}

// bound returns a listener that hands on connections within a bound.
func bound(ln net.Listener, takes func(time.Time, int64) bool, refuse func(*http.Request) http.Header, closed func()) *boundedListener {
	return &boundedListener{
		Listener: ln, takes: takes, refuse: refuse, closed: closed, turning: make(chan struct{}, maxTurning),
		refuser: &refuser.Refuser{},
	}
}

// Accept returns the next connection within the bound.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		if l.sockets != nil && !l.room() {
			if err := l.acceptCrowded(); err != nil {
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
func (l *boundedListener) Close() error {
	err := l.Listener.Close()
	if l.sockets != nil {
		err = errors.Join(err, l.sockets.Close())
	}
	return err
}

// accept returns the next connection, or nil for one that is turned away.
func (l *boundedListener) accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if !l.takes(now, l.open.Load()) && (l.room == nil || !l.room() || !l.idle.evict(now)) {
		l.turnAway(c)
		return nil, nil
	}
	b := l.count(c)
	if err := b.probe(); err != nil {
		// It has just ended.
		l.closed()
		b.Close()
		return nil, nil
	}
	return b, nil
}

// acceptCrowded refuses the request of the next connection before that is polled, if it
// has arrived. The refuser sees to all others within the bound.
func (l *boundedListener) acceptCrowded() error {
	s, err := l.sockets.Accept()
	if err != nil {
		return err
	}
	judge := l.refuser.Judge
	inside := l.takes(time.Now(), l.open.Load())
	if !inside {
		judge = func(req *http.Request) *refuser.Refusal { return &refuser.Refusal{Header: l.refuse(req)} }
	}
	l.refuser.Wait(atOnceCost)
	read, done := l.refuser.AtOnce(s, judge)
	if done {
		return nil
	}
	c, err := s.Conn()
	switch {
	case err != nil:
		l.closed()
	case inside:
		go l.refuser.Watch(l.count(c), read)
	default:
		l.turnAway(&boundedConn{Conn: c, l: l, read: read, outside: true})
	}
	return nil
}

// count counts a connection as open until it is closed.
func (l *boundedListener) count(c net.Conn) *boundedConn {
	l.open.Add(1)
	return &boundedConn{Conn: c, l: l}
}

// turnAway reads one request and refuses it, in a while.
func (l *boundedListener) turnAway(c net.Conn) {
	l.turning <- struct{}{}
	l.refuser.Wait(turnCost)
	go func() {
		if err := l.refuser.Once(c, l.refuse); err != nil {
			l.closed()
		}
		<-l.turning
	}()
}

// boundedConn is a caller's connection.
type boundedConn struct {
	net.Conn
	l    *boundedListener
	once sync.Once
	// unused says that it is on the list of unused connections; retired, under that
	// list's lock, that it was taken off it to end.
	unused  atomic.Bool
	retired bool
	// read was read before the connection was handed on.
	read []byte
	// probing says that it fails once its caller has been silent.
	probing bool
	// outside says that it does not count as open.
	outside bool
}

// probe makes the connection fail once its caller has been silent.
func (c *boundedConn) probe() error {
	if c.probing {
		return nil
	}
	c.probing = true
	return linker.EnableKeepAlive(c.Conn, callerSilence)
}

// SyscallConn gives access to the socket.
func (c *boundedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// Read reads from the connection, which is then in use.
func (c *boundedConn) Read(p []byte) (int, error) {
	if len(c.read) > 0 {
		n := copy(p, c.read)
		c.read = c.read[n:]
		return n, nil
	}
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
		if !c.outside {
			c.l.open.Add(-1)
		}
		c.l.idle.remove(c)
	})
	return c.Conn.Close()
}
