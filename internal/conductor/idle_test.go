package conductor

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// arriving is a connection whose request is read just while something else happens.
type arriving struct {
	net.Conn
	meanwhile func()
	closed    bool
	deadline  time.Time
}

func (c *arriving) Read(p []byte) (int, error) {
	c.meanwhile()
	return copy(p, "GET / HTTP/1.1\r\n\r\n"), nil
}

func (c *arriving) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *arriving) Close() error {
	c.closed = true
	return nil
}

// TestEvictionKeepsConnectionWithReadRequest: a request that was read from a connection
// is served, also if the connection was to make room for another one at that moment, or
// the router to stop.
func TestEvictionKeepsConnectionWithReadRequest(t *testing.T) {
	for name, end := range map[string]func(*idleConns){
		"another one": func(i *idleConns) { i.evict(time.Now().Add(2 * evictAfter)) },
		"stop":        func(i *idleConns) { i.evictAll() },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := &boundedListener{}
			in := &arriving{}
			conn := &boundedConn{Conn: in, l: l}
			l.idle.note(conn, http.StateIdle)
			in.meanwhile = func() { end(&l.idle) }
			n, err := conn.Read(make([]byte, 100))
			c.Assert(err, qt.IsNil)
			c.Assert(n > 0, qt.IsTrue)
			c.Assert(in.closed, qt.IsFalse, qt.Commentf("closed with a request that was read"))
			c.Assert(in.deadline.IsZero(), qt.IsTrue, qt.Commentf("the rest of the request could not be read"))
			c.Assert(l.idle.evict(time.Now().Add(2*evictAfter)), qt.IsFalse, qt.Commentf("it is in use"))
		})
	}
}

// TestEvictionSkipsConnectionWithUnreadRequest: of two unused connections the one goes on which
// nothing has arrived.
func TestEvictionSkipsConnectionWithUnreadRequest(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	l := &boundedListener{}
	var clients []net.Conn
	var conns []*boundedConn
	for range 2 {
		client, err := net.Dial("tcp", ln.Addr().String())
		c.Assert(err, qt.IsNil)
		defer client.Close()
		server, err := ln.Accept()
		c.Assert(err, qt.IsNil)
		defer server.Close()
		conn := &boundedConn{Conn: server, l: l}
		clients, conns = append(clients, client), append(conns, conn)
		l.idle.note(conn, http.StateIdle)
	}
	_, err = clients[0].Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	for !pending(conns[0].Conn) {
		// Loopback delivers it at once.
	}
	c.Assert(l.idle.evict(time.Now().Add(2*evictAfter)), qt.IsTrue)
	_, err = conns[1].Read(make([]byte, 1))
	c.Assert(err, qt.ErrorMatches, ".*timeout.*")
	n, err := conns[0].Read(make([]byte, 100))
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 18)
}
