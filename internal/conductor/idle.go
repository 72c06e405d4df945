package conductor

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minEvictionIdleTime is how long a caller's connection must have been idle before it may
	// be closed in favor of a new one. Callers that reuse a connection usually do so sooner.
	minEvictionIdleTime = time.Second
	// maxEvictionCandidates limits the connections that one eviction examines.
	maxEvictionCandidates = 16
)

// idleConns lists the idle connections of callers, the longest idle first. A flood leaves
// thousands of them behind, which would otherwise keep new callers out of a router that has
// capacity. The zero value is empty.
type idleConns struct {
	mu       sync.Mutex
	order    list.List
	elements map[*limitConn]*list.Element
}

type idleConn struct {
	conn      *limitConn
	idleSince time.Time
}

// setState updates the list when a connection changes its state. It is the ConnState hook of
// the HTTP server.
func (i *idleConns) setState(c net.Conn, state http.ConnState) {
	lc, ok := c.(*limitConn)
	if !ok {
		return
	}
	if lc.screened != nil {
		lc.screened.SetState(state)
	}
	if state != http.StateIdle {
		i.remove(lc)
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.elements == nil {
		i.elements = map[*limitConn]*list.Element{}
	}
	if i.elements[lc] == nil {
		i.elements[lc] = i.order.PushBack(idleConn{conn: lc, idleSince: time.Now()})
		lc.idle.Store(true)
	}
}

// markIdle and markActive set the state of a connection whose requests are refused without the
// HTTP server.
func (i *idleConns) markIdle(c net.Conn) { i.setState(c, http.StateIdle) }
func (i *idleConns) markActive(c net.Conn) {
	i.setState(c, http.StateActive)
	if lc, ok := c.(*limitConn); ok {
		lc.beginRefusal()
	}
}

// remove removes a connection from the list, and reports whether it had been evicted.
func (i *idleConns) remove(c *limitConn) (wasEvicted bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.removeLocked(c)
	wasEvicted, c.evicted = c.evicted, false
	c.idle.Store(false)
	return wasEvicted
}

// removeLocked removes a connection from the list. The caller must hold the lock.
func (i *idleConns) removeLocked(c *limitConn) {
	if e := i.elements[c]; e != nil {
		i.order.Remove(e)
		delete(i.elements, c)
	}
}

// evictLocked evicts a connection: its pending read fails, and the server closes it. A
// request that has already been read is still served. The caller must hold the lock.
func (i *idleConns) evictLocked(c *limitConn) {
	i.removeLocked(c)
	c.evicted = true
	// A connection without support for deadlines, as in tests, is left open.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// evictOldest evicts the longest idle connection without unread data, if it has been idle for
// minEvictionIdleTime, and reports whether it evicted one.
func (i *idleConns) evictOldest(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	e := i.order.Front()
	for range maxEvictionCandidates {
		if e == nil || now.Sub(e.Value.(idleConn).idleSince) < minEvictionIdleTime {
			return false
		}
		c := e.Value.(idleConn).conn
		if !hasUnreadData(c.Conn) {
			i.evictLocked(c)
			return true
		}
		e = e.Next()
	}
	return false
}

// evictAll evicts all idle connections without unread data.
func (i *idleConns) evictAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for e := i.order.Front(); e != nil; {
		c := e.Value.(idleConn).conn
		e = e.Next()
		if !hasUnreadData(c.Conn) {
			i.evictLocked(c)
		}
	}
}

// hasUnreadData reports whether data has arrived on a connection and was not read yet. It
// returns false if that cannot be determined.
func hasUnreadData(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	var b [1]byte
	// Unlike Read, Control does not wait for a goroutine that is blocked in a read.
	err = raw.Control(func(fd uintptr) {
		n, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
