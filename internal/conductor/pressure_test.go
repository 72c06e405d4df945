package conductor

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/cataloger"
	"papayapaddle/platform"
)

// TestPressure replays ccl-routage mix --seed 310030430083, where one workspace
// sent fifty times its usual to the only router of a zone: its memory was at the
// limit and it stood still for seconds.
func TestPressure(t *testing.T) {
	c := qt.New(t)
	p := newPressure(platform.Resource{MemoryMB: 134, MaxDescriptors: 4100})
	served := float64(p.maxRequests*requestBytes + p.maxConnections*connectionBytes)
	c.Assert(served <= 0.76*float64(134<<20), qt.IsTrue)
	c.Assert(p.maxConnections < 4100-200, qt.IsTrue)

	c.Assert(p.busy(cataloger.WorkStream, 100), qt.Equals, "")
	c.Assert(p.busy(cataloger.WorkStream, p.maxRequests+1), qt.Equals, "router-full")
	c.Assert(p.busy(cataloger.WorkOnce, p.maxRequests+1), qt.Equals, "")
	c.Assert(p.busy(cataloger.WorkOnce, 2*p.maxRequests), qt.Equals, "router-full")

	for range 20 {
		p.note(200 * time.Millisecond)
	}
	c.Assert(p.busy(cataloger.WorkStream, 1), qt.Equals, "router-slow")
	c.Assert(p.busy(cataloger.WorkOnce, 1), qt.Equals, "")
	for range 20 {
		p.note(0)
	}
	c.Assert(p.busy(cataloger.WorkStream, 1), qt.Equals, "")
}

// pipes is a listener that accepts the given connections.
type pipes struct {
	net.Listener
	conns []net.Conn
}

func (p *pipes) Accept() (net.Conn, error) {
	if len(p.conns) == 0 {
		return nil, net.ErrClosed
	}
	c := p.conns[0]
	p.conns = p.conns[1:]
	return c, nil
}

func TestConnectionsBeyondTheBoundAreClosed(t *testing.T) {
	c := qt.New(t)
	var there []net.Conn
	in := &pipes{}
	for range 4 {
		a, b := net.Pipe()
		in.conns, there = append(in.conns, a), append(there, b)
	}
	refused := 0
	l := &boundedListener{Listener: in, most: 2, refused: func() { refused++ }}
	first, err := l.Accept()
	c.Assert(err, qt.IsNil)
	_, err = l.Accept()
	c.Assert(err, qt.IsNil)
	c.Assert(first.Close(), qt.IsNil)
	c.Assert(first.Close(), qt.IsNil, qt.Commentf("closed twice, counted once"))
	_, err = l.Accept()
	c.Assert(err, qt.IsNil)
	_, err = l.Accept()
	c.Assert(err, qt.Equals, net.ErrClosed)
	c.Assert(refused, qt.Equals, 1)
	_, err = there[3].Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
}
