package conductor

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// evictAfter is how long a caller's connection must have been unused to be closed
// for another one: callers who are about to use one again do so sooner.
const evictAfter = time.Second

// idleConns lists the unused connections of callers, the longest unused first. The
// load that it answers: a flood leaves thousands behind, which would shut all new
// callers out of a router that has room. The zero value is empty.
type idleConns struct {
	mu    sync.Mutex
	order list.List
	at    map[net.Conn]*list.Element
}

type idleConn struct {
	conn  net.Conn
	since time.Time
}

// note takes in a state of the HTTP server's connection.
func (i *idleConns) note(c net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		i.remove(c)
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.at == nil {
		i.at = map[net.Conn]*list.Element{}
	}
	if i.at[c] == nil {
		i.at[c] = i.order.PushBack(idleConn{conn: c, since: time.Now()})
	}
}

func (i *idleConns) remove(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if e := i.at[c]; e != nil {
		i.order.Remove(e)
		delete(i.at, c)
	}
}

// evict closes the connection that has been unused for the longest time, if that is
// long enough, and says so.
func (i *idleConns) evict(now time.Time) bool {
	i.mu.Lock()
	e := i.order.Front()
	if e == nil || now.Sub(e.Value.(idleConn).since) < evictAfter {
		i.mu.Unlock()
		return false
	}
	c := i.order.Remove(e).(idleConn).conn
	delete(i.at, c)
	i.mu.Unlock()
	// What its caller sends meanwhile is not read, and is sent again.
	c.Close()
	return true
}
