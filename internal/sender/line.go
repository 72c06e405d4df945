package sender

import (
	"bufio"
	"context"
	"errors"
	"io"
	"time"

	"papayapaddle/internal/failer"
)

// Line is a connection to a server outside of the pool, for one request at a time. It outlives the server's removal
// from the pool, so that a server can be asked after it has left.
type Line struct {
	conn *conn
	// ConnectedAt is when the connection was established.
	ConnectedAt time.Time
}

// Open opens a line to an address.
func (s *Sender) Open(ctx context.Context, address string) (*Line, error) {
	c, err := s.dialConn(ctx, address)
	if err != nil {
		return nil, err
	}
	return &Line{conn: c, ConnectedAt: c.connectedAt}, nil
}

// dialConn opens a connection that belongs to no pool.
func (s *Sender) dialConn(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := s.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if s.OnConnect != nil {
		s.OnConnect()
	}
	c := &conn{Conn: nc, connectedAt: time.Now()}
	c.headerLimit = &io.LimitedReader{R: nc, N: 1 << 62}
	c.br = bufio.NewReaderSize(c.headerLimit, readBufferBytes)
	return c, nil
}

// IsIdle reports, without blocking, whether the line is open and nothing has been received on it.
func (l *Line) IsIdle() bool { return l.conn.isIdle() }

// Close closes the line.
func (l *Line) Close() { l.conn.Close() }

// Send sends a request and returns once the response header was read. The line is closed unless it can be used
// again, which reusable reports.
func (l *Line) Send(ctx context.Context, r *Request) (resp *Response, reusable bool, err error) {
	c := l.conn
	stop := context.AfterFunc(ctx, func() { c.Close() })
	resp, err = c.roundTrip(r)
	if err == nil && resp.ContentLength >= 0 && resp.ContentLength <= maxUnrelatedBytes {
		_, readErr := io.Copy(io.Discard, resp.Body)
		reusable = readErr == nil && !resp.httpResp.Close && c.writeErr == nil && c.br.Buffered() == 0
	}
	if reusable = stop() && reusable; !reusable {
		c.Close()
	}
	c.reused = true
	switch {
	case err == nil:
		return resp, reusable, nil
	case errors.Is(err, errInvalidResponse):
		return nil, false, failer.Wrap("send on a line", KindInvalidResponse, err)
	}
	return nil, false, failer.Wrap("send on a line", KindNoResponse, err)
}
