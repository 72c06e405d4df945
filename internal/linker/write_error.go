package linker

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// WithWriteErrors returns a dial function whose connections end with io.ErrUnexpectedEOF instead of
// io.EOF after a failed write. The write may have taken the error of a reset from the socket, which
// then reports a proper end to the reader.
func WithWriteErrors(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &writeErrorConn{Conn: c}, nil
	}
}

type writeErrorConn struct {
	net.Conn
	// mu is held during each write, so that a reader does not miss the failure of one that has
	// already returned from the system call.
	mu     sync.Mutex
	failed bool
}

// Write implements net.Conn.
func (c *writeErrorConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.failed = c.failed || err != nil
	return n, err
}

// Read implements net.Conn.
func (c *writeErrorConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
