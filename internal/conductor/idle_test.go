package conductor

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// arrivingConn is a connection that calls duringRead while a request is read from it.
type arrivingConn struct {
	net.Conn
	duringRead func()
	closed     bool
	deadline   time.Time
}

func (c *arrivingConn) Read(p []byte) (int, error) {
	c.duringRead()
	return copy(p, "GET / HTTP/1.1\r\n\r\n"), nil
}

func (c *arrivingConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *arrivingConn) Close() error {
	c.closed = true
	return nil
}

// TestEvictionKeepsConnectionWithReadRequest checks that a request is served if its connection is
// evicted, or the router stopped, at the moment when the request is read.
func TestEvictionKeepsConnectionWithReadRequest(t *testing.T) {
	for name, end := range map[string]func(*idleConns){
		"new connection": func(i *idleConns) { i.evictOldest(time.Now().Add(2 * minEvictionIdleTime)) },
		"stop":           func(i *idleConns) { i.evictAll() },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := &limitListener{}
			inner := &arrivingConn{}
			conn := &limitConn{Conn: inner, listener: l}
			l.idle.setState(conn, http.StateIdle)
			inner.duringRead = func() { end(&l.idle) }
			n, err := conn.Read(make([]byte, 100))
			c.Assert(err, qt.IsNil)
			c.Assert(n > 0, qt.IsTrue)
			c.Assert(inner.closed, qt.IsFalse, qt.Commentf("the connection was closed with a request that was read"))
			c.Assert(inner.deadline.IsZero(), qt.IsTrue, qt.Commentf("the read deadline prevents reading the rest of the request"))
			c.Assert(l.idle.evictOldest(time.Now().Add(2*minEvictionIdleTime)), qt.IsFalse, qt.Commentf("the connection is active"))
		})
	}
}

// TestEvictionSkipsConnectionWithUnreadRequest checks that of two idle connections the one without
// unread data is evicted.
func TestEvictionSkipsConnectionWithUnreadRequest(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	l := &limitListener{}
	var clients []net.Conn
	var conns []*limitConn
	for range 2 {
		client, err := net.Dial("tcp", ln.Addr().String())
		c.Assert(err, qt.IsNil)
		defer client.Close()
		server, err := ln.Accept()
		c.Assert(err, qt.IsNil)
		defer server.Close()
		conn := &limitConn{Conn: server, listener: l}
		clients, conns = append(clients, client), append(conns, conn)
		l.idle.setState(conn, http.StateIdle)
	}
	_, err = clients[0].Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	for !hasUnreadData(conns[0].Conn) {
		// The loopback interface delivers the request without delay.
	}
	c.Assert(l.idle.evictOldest(time.Now().Add(2*minEvictionIdleTime)), qt.IsTrue)
	_, err = conns[1].Read(make([]byte, 1))
	c.Assert(err, qt.ErrorMatches, ".*timeout.*")
	n, err := conns[0].Read(make([]byte, 100))
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 18)
}
