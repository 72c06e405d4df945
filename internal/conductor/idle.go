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
	// minEvictionIdleTime is how long a caller's connection must have been unused to be closed
	// for another one: callers who are about to use one again do so sooner.
	minEvictionIdleTime = time.Second
	// maxEvictionCandidates bounds the connections that are looked at for one to close.
	maxEvictionCandidates = 16
)

// idleConns lists the unused connections of callers, the longest unused first. The
// load that it answers: a flood leaves thousands behind, which would shut all new
// callers out of a router that has room. The zero value is empty.
type idleConns struct {
	mu       sync.Mutex
	order    list.List
	elements map[*limitConn]*list.Element
}

type idleConn struct {
	conn      *limitConn
	idleSince time.Time
}

// setState takes in a state of the HTTP server's connection.
func (i *idleConns) setState(c net.Conn, state http.ConnState) {
	lc, ok := c.(*limitConn)
	if !ok {
		return
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

// markIdle and use tell of a connection whose requests are refused beside the HTTP server.
func (i *idleConns) markIdle(c net.Conn)   { i.setState(c, http.StateIdle) }
func (i *idleConns) markActive(c net.Conn) { i.setState(c, http.StateActive) }

// remove takes a connection off the list. It says whether the connection had been
// retired meanwhile.
func (i *idleConns) remove(c *limitConn) (retired bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.removeLocked(c)
	retired, c.evicted = c.evicted, false
	c.idle.Store(false)
	return retired
}

// removeLocked takes a connection off the list. The lock must be held.
func (i *idleConns) removeLocked(c *limitConn) {
	if e := i.elements[c]; e != nil {
		i.order.Remove(e)
		delete(i.elements, c)
	}
}

// interruptLocked ends the wait for a request on a connection, and with it the connection. A
// request that has been read already is served all the same. The lock must be held.
func (i *idleConns) interruptLocked(c *limitConn) {
	i.removeLocked(c)
	c.evicted = true
	// Without deadlines, as in tests, the connection stays.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// evictOldest retires the connection that has been unused for the longest time and on which
// nothing has arrived, if that is long enough, and says so.
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
			i.interruptLocked(c)
			return true
		}
		e = e.Next()
	}
	return false
}

// evictAll retires all unused connections on which nothing has arrived.
func (i *idleConns) evictAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for e := i.order.Front(); e != nil; {
		c := e.Value.(idleConn).conn
		e = e.Next()
		if !hasUnreadData(c.Conn) {
			i.interruptLocked(c)
		}
	}
}

// hasUnreadData says whether something has arrived on a connection that nobody has read, as
// far as that can be told.
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
	// Control does not wait for the reader that is blocked on the connection.
	err = raw.Control(func(fd uintptr) {
		n, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
