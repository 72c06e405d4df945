package screener

import (
	"bytes"
	"container/list"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// readAheadBytes is how much the HTTP server reads at once, and may read beyond the head.
	readAheadBytes = 4096
	// refusalTimeout limits the time to write the refusal of a head.
	refusalTimeout = time.Second
)

var (
	headEnd          = []byte("\r\n\r\n")
	lineEnd          = []byte("\n")
	headTooLargeText = []byte("HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
)

// Conn is a connection whose unfinished requests are counted. Read and SetState must not be called concurrently; the
// HTTP server does not.
type Conn struct {
	net.Conn
	port     *Port
	onGiveUp func()

	// inHead is true until the head of a request is complete, and headBytes and lines are what was read of it.
	inHead    bool
	headBytes int64
	lines     int64
	headSince time.Time
	// registered is true if the connection may be in one of the port's lists or may be charged.
	registered bool
	// messages follows the messages on a port of net/rpc.
	messages messageScanner

	// The lock of the screener guards these. gone is set once the connection was closed or given up.
	charged int64
	since   time.Time
	element *list.Element
	isIdle  bool
	counted bool
	gone    bool
}

// NetConn returns the connection that is wrapped.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// Read implements net.Conn. It refuses a request whose head is too large.
func (c *Conn) Read(p []byte) (int, error) {
	if c.port.maxMessageBytes > 0 {
		return c.readMessages(p)
	}
	if c.inHead && c.headBytes > 0 {
		left := int64(c.port.screener.Limits().MaxHeaderBytes) + readAheadBytes - c.headBytes
		if left <= 0 {
			c.refuseHead()
			return 0, c.readError()
		}
		p = p[:min(int64(len(p)), left)]
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.Count(p[:n]) {
		return 0, c.readError()
	}
	return n, err
}

// readError is the error of a connection that was given up. The HTTP server writes no response after it.
func (c *Conn) readError() error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
}

// Count counts data that was read from the connection, unless it is of a request whose head is complete. It reports
// whether the connection may go on. Read calls it; data that was read otherwise must be counted on its own.
func (c *Conn) Count(b []byte) bool {
	if !c.inHead {
		return true
	}
	isFirst := c.headBytes == 0
	c.headBytes += int64(len(b))
	c.lines += int64(bytes.Count(b, lineEnd))
	if isFirst {
		if bytes.Contains(b, headEnd) {
			// Most heads arrive at once. If the server reads on, the head is not complete after all.
			return true
		}
		c.headSince = time.Now()
		// The connection may have been closed, which the next read finds out.
		_ = c.Conn.SetReadDeadline(c.headSince.Add(c.port.screener.Limits().HeaderTimeout))
	}
	if !c.registered {
		c.register()
	}
	cost := c.cost() - freeBytes
	return cost <= 0 || c.port.screener.charge(c, cost)
}

func (c *Conn) cost() int64 { return bytesPerHeadByte*c.headBytes + bytesPerLine*c.lines }

// register adds the connection to the unfinished ones.
func (c *Conn) register() {
	s := c.port.screener
	s.mu.Lock()
	defer s.mu.Unlock()
	c.registered = true
	c.unlistLocked()
	if !c.gone {
		c.since = time.Now()
		c.element = c.port.unfinished.PushBack(c)
	}
}

// refuseHead tells the client that the head is too large.
func (c *Conn) refuseHead() {
	c.port.screener.OnGiveUp(c.port.name, ReasonHeadTooLarge)
	// A client that does not read the refusal finds its connection closed.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write(headTooLargeText)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// SetReadDeadline implements net.Conn. The HTTP server has fixed timeouts for heads and idle connections; they are
// replaced by the limits in force.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || time.Until(t) <= 0 || !c.inHead {
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.port.screener.Limits()
	if c.headBytes > 0 && !c.headSince.IsZero() {
		return c.Conn.SetReadDeadline(c.headSince.Add(limits.HeaderTimeout))
	}
	return c.Conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
}

// SetState must be called when the state of the connection changes, as from the hook of the HTTP server. While the
// request is refused without the server, it stays active until the connection is idle.
func (c *Conn) SetState(state http.ConnState) {
	switch state {
	case http.StateNew:
		c.beginHead()
		if !c.registered {
			c.register()
		}
	case http.StateActive:
		c.inHead = false
		if c.registered {
			c.complete(max(0, c.cost()-completeFreeBytes))
		}
	case http.StateIdle:
		c.beginHead()
		if c.registered || c.port.maxConns > 0 {
			c.complete(0)
			c.markIdle()
		}
	case http.StateHijacked:
		c.inHead = false
		if c.registered {
			c.complete(0)
		}
	case http.StateClosed:
	}
}

func (c *Conn) beginHead() {
	c.inHead, c.headBytes, c.lines, c.headSince = true, 0, 0, time.Time{}
}

// Begin marks the request on a connection that was taken from the HTTP server as unfinished, until SetState is
// called.
func (c *Conn) Begin() {
	c.inHead = false
	if !c.registered {
		c.register()
	}
}

// complete removes the connection from the unfinished ones and sets what it counts for.
func (c *Conn) complete(charged int64) {
	s := c.port.screener
	s.mu.Lock()
	c.unlistLocked()
	c.registered = charged > 0
	s.mu.Unlock()
	// If there is not enough memory, the connection is closed, and the server notices when it reads or writes.
	s.charge(c, charged)
}

// markIdle adds the connection to the idle ones if the port limits its connections.
func (c *Conn) markIdle() {
	if c.port.maxConns == 0 {
		return
	}
	s := c.port.screener
	s.mu.Lock()
	defer s.mu.Unlock()
	c.unlistLocked()
	if !c.gone {
		c.registered, c.isIdle, c.since = true, true, time.Now()
		c.element = c.port.idle.PushBack(c)
	}
}

// unlistLocked removes the connection from the port's lists. The lock must be held.
func (c *Conn) unlistLocked() {
	if c.element == nil {
		return
	}
	if c.isIdle {
		c.port.idle.Remove(c.element)
	} else {
		c.port.unfinished.Remove(c.element)
	}
	c.element, c.isIdle = nil, false
}

// removeLocked ends the accounting of the connection. The lock must be held.
func (c *Conn) removeLocked() {
	if c.gone {
		return
	}
	c.gone = true
	c.unlistLocked()
	c.port.screener.used -= c.charged
	c.charged = 0
	if c.counted {
		c.port.open--
	}
}

// giveUp closes a connection that was removed.
func (c *Conn) giveUp(reason string) {
	c.port.screener.OnGiveUp(c.port.name, reason)
	if c.onGiveUp != nil {
		c.onGiveUp()
	}
	// The server notices that the connection is closed.
	_ = c.Conn.Close()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	s := c.port.screener
	s.mu.Lock()
	c.removeLocked()
	s.mu.Unlock()
	return c.Conn.Close()
}
