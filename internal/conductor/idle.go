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
	// evictAfter is how long a caller's connection must have been unused to be closed
	// for another one: callers who are about to use one again do so sooner.
	evictAfter = time.Second
	// evictTries bounds the connections that are looked at for one to close.
	evictTries = 16
)

// idleConns lists the unused connections of callers, the longest unused first. The
// load that it answers: a flood leaves thousands behind, which would shut all new
// callers out of a router that has room. The zero value is empty.
type idleConns struct {
	mu    sync.Mutex
	order list.List
	at    map[*boundedConn]*list.Element
}

type idleConn struct {
	conn  *boundedConn
	since time.Time
}

// note takes in a state of the HTTP server's connection.
func (i *idleConns) note(c net.Conn, state http.ConnState) {
	b, ok := c.(*boundedConn)
	if !ok {
		return
	}
	if state != http.StateIdle {
		i.remove(b)
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.at == nil {
		i.at = map[*boundedConn]*list.Element{}
	}
	if i.at[b] == nil {
		i.at[b] = i.order.PushBack(idleConn{conn: b, since: time.Now()})
		b.unused.Store(true)
	}
}

// wait and use tell of a connection whose requests are refused beside the HTTP server.
func (i *idleConns) wait(c net.Conn) { i.note(c, http.StateIdle) }
func (i *idleConns) use(c net.Conn)  { i.note(c, http.StateActive) }

// remove takes a connection off the list. It says whether the connection had been
// retired meanwhile.
func (i *idleConns) remove(c *boundedConn) (retired bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.drop(c)
	retired, c.retired = c.retired, false
	c.unused.Store(false)
	return retired
}

// drop takes a connection off the list. The lock must be held.
func (i *idleConns) drop(c *boundedConn) {
	if e := i.at[c]; e != nil {
		i.order.Remove(e)
		delete(i.at, c)
	}
}

// retire ends the wait for a request on a connection, and with it the connection. A
// request that has been read already is served all the same. The lock must be held.
func (i *idleConns) retire(c *boundedConn) {
	i.drop(c)
	c.retired = true
	// Without deadlines, as in tests, the connection stays.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// evict retires the connection that has been unused for the longest time and on which
// nothing has arrived, if that is long enough, and says so.
func (i *idleConns) evict(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	e := i.order.Front()
	for range evictTries {
		if e == nil || now.Sub(e.Value.(idleConn).since) < evictAfter {
			return false
		}
		c := e.Value.(idleConn).conn
		if !pending(c.Conn) {
			i.retire(c)
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
		if !pending(c.Conn) {
			i.retire(c)
		}
	}
}

// pending says whether something has arrived on a connection that nobody has read, as
// far as that can be told.
func pending(c net.Conn) bool {
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
