// Package sender writes a request to one backend server and reads its answer,
// and tells exactly how far it came. Unlike the standard library's transport it
// never sends a request twice by itself, and it reuses a connection only if
// nothing unexpected lies on it.
package sender

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"papayapaddle/internal/failer"
	"papayapaddle/internal/linker"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindNotSent means that no byte of the request left this process.
	KindNotSent Kind = "not sent"
	// KindNoResponse means that the request may have run.
	KindNoResponse Kind = "answer lost"
	// KindInvalidResponse means that what came back was no answer to the request.
	KindInvalidResponse Kind = "no answer in the protocol"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// dialTimeout bounds the opening of a connection. A round trip between zones
	// takes milliseconds, and one lost packet costs a second.
	dialTimeout = 1200 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// maxIdleConns is the number of unused connections kept to one server.
	maxIdleConns = 8
	// maxIdleTime is how long an unused connection is kept where the server tells
	// no limit.
	maxIdleTime = 10 * time.Second
	// idleTimeMargin keeps a connection from being used just as the server closes it.
	idleTimeMargin = 500 * time.Millisecond
	// maxAtMostOnceIdle is how long a connection may have been unused to carry a request
	// that must not be sent twice: a server may drop it without notice.
	maxAtMostOnceIdle = time.Second
	// maxUnrelatedResponses is the number of answers to other requests that are read over
	// before a connection is given up.
	maxUnrelatedResponses = 2
	// maxInformational is the number of informational answers that are read over before
	// a connection is given up; servers send one or two.
	maxInformational = 16
	// maxUnrelatedBytes bounds an answer to another request.
	maxUnrelatedBytes = 64 << 10
	// maxPooledBufferBytes is the largest buffer that is kept for another request; few
	// prompts are longer.
	maxPooledBufferBytes = 64 << 10
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
)

// Request is what is written to a server.
type Request struct {
	// Server names the server; connections are kept for it alone, as its address
	// may be given to another server later.
	Server  string
	Address string
	Method  string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce marks a request that must not be sent again after it may have run.
	AtMostOnce bool
	// MatchesResponse says whether an answer belongs to this request.
	MatchesResponse func(http.Header) bool
}

// Response is the head of a server's answer; its body follows. Close must be
// called once.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the body's length, or -1.
	ContentLength int64
	// Body ends with io.EOF only where the server ended it properly.
	Body io.Reader

	httpResp    *http.Response
	conn        *conn
	cancelWatch func() bool
	once        sync.Once
}

// conn is one connection to a server.
type conn struct {
	net.Conn
	br            *bufio.Reader
	headerLimit   *io.LimitedReader
	pool          *pool
	lastUsed      time.Time
	reusableUntil time.Time
	reused        bool
	wroteAny      bool
	writeErr      error
}

// pool keeps the unused connections to one server.
type pool struct {
	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// Sender sends requests. Dial must be set. Opened is told of each new
// connection and may be nil.
type Sender struct {
	Dial      linker.DialFunc
	OnConnect func()

	mu    sync.Mutex
	pools map[string]*pool
}

func (s *Sender) pool(server, address string) *pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools == nil {
		s.pools = map[string]*pool{}
	}
	key := server + "@" + address
	p := s.pools[key]
	if p == nil {
		p = &pool{}
		s.pools[key] = p
	}
	return p
}

// CloseAllExcept closes the connections to all servers but those named, each given as
// its id and address.
func (s *Sender) CloseAllExcept(servers map[string]string) {
	s.mu.Lock()
	var removed []*pool
	for key, p := range s.pools {
		server, address, _ := strings.Cut(key, "@")
		if servers[server] != address {
			removed = append(removed, p)
			delete(s.pools, key)
		}
	}
	s.mu.Unlock()
	for _, p := range removed {
		p.close()
	}
}

// CloseIdle closes the unused connections to a server, because one of them failed
// and the others may have been lost with it.
func (s *Sender) CloseIdle(server, address string) {
	s.mu.Lock()
	p := s.pools[server+"@"+address]
	s.mu.Unlock()
	if p != nil {
		p.closeIdle()
	}
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}

// get returns an unused connection that is still sound, or nil.
func (p *pool) get(now time.Time, atMostOnce bool) *conn {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.After(c.reusableUntil) || atMostOnce && now.Sub(c.lastUsed) > maxAtMostOnceIdle || !c.isIdle() {
			c.Close()
			continue
		}
		c.reused = true
		return c
	}
}

func (p *pool) put(now time.Time, c *conn) {
	c.lastUsed = now
	p.mu.Lock()
	if p.closed || len(p.idle) >= maxIdleConns {
		p.mu.Unlock()
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// Send writes the request and returns once the head of its answer was read. The
// connection is closed when the context ends, until the answer is closed.
func (s *Sender) Send(ctx context.Context, r *Request) (*Response, error) {
	for {
		resp, reused, err := s.sendOnce(ctx, r)
		if reused && failer.KindOf[Kind](err) == KindNotSent && ctx.Err() == nil {
			// The unused connection had ended; nothing was written on it.
			s.CloseIdle(r.Server, r.Address)
			continue
		}
		return resp, err
	}
}

// sendOnce sends the request on one connection, and says whether that had been used
// before.
func (s *Sender) sendOnce(ctx context.Context, r *Request) (*Response, bool, error) {
	c, err := s.connect(ctx, r)
	if err != nil {
		return nil, false, failer.Wrap("send", KindNotSent, err)
	}
	cancelWatch := context.AfterFunc(ctx, func() { c.Close() })
	resp, err := c.roundTrip(r)
	if err != nil {
		cancelWatch()
		c.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = errors.Join(err, cause)
		}
		kind := KindNoResponse
		switch {
		case !c.wroteAny:
			kind = KindNotSent
		case errors.Is(err, errInvalidResponse):
			kind = KindInvalidResponse
		}
		return nil, c.reused, failer.Wrap("send", kind, err)
	}
	resp.cancelWatch = cancelWatch
	return resp, c.reused, nil
}

func (s *Sender) connect(ctx context.Context, r *Request) (*conn, error) {
	p := s.pool(r.Server, r.Address)
	if c := p.get(time.Now(), r.AtMostOnce); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := s.Dial(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	if s.OnConnect != nil {
		s.OnConnect()
	}
	c := &conn{Conn: nc, pool: p}
	c.headerLimit = &io.LimitedReader{R: nc, N: 1 << 62}
	c.br = bufio.NewReaderSize(c.headerLimit, readBufferBytes)
	return c, nil
}

var errInvalidResponse = errors.New("garbled answer")

// roundTrip writes the request and reads the head of its answer.
func (c *conn) roundTrip(r *Request) (*Response, error) {
	c.wroteAny = false
	if err := c.writeRequest(r); err != nil {
		// A server may refuse a long request before it has read it; its answer is
		// read all the same.
		if !c.wroteAny {
			return nil, err
		}
		c.writeErr = err
	}
	for range maxUnrelatedResponses + 1 {
		resp, err := c.readResponse(r)
		if err != nil {
			if c.writeErr != nil {
				err = errors.Join(err, c.writeErr)
			}
			return nil, err
		}
		if r.MatchesResponse(resp.Header) {
			return c.newResponse(resp), nil
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnrelatedBytes)); err != nil || n == maxUnrelatedBytes || resp.Close {
			break
		}
	}
	return nil, errors.Join(errInvalidResponse, errors.New("the answer belongs to another request"))
}

// writeRequest sends the request in one piece, so that a small one is one packet.
func (c *conn) writeRequest(r *Request) error {
	buf := requestBuffers.Get().(*bytes.Buffer)
	defer func() {
		if buf.Cap() <= maxPooledBufferBytes {
			buf.Reset()
			requestBuffers.Put(buf)
		}
	}()
	for _, s := range []string{r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		buf.WriteString(s)
	}
	for k, vs := range r.Header {
		for _, v := range vs {
			writeHeader(buf, k, v)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		writeHeader(buf, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	buf.WriteString("\r\n")
	buf.Write(r.Body)
	n, err := c.Conn.Write(buf.Bytes())
	// A write that fails at once may still have put bytes on the wire.
	c.wroteAny = n > 0 || err == nil
	return err
}

// requestBuffers keeps the buffers in which requests are written.
var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func writeHeader(buf *bytes.Buffer, name, value string) {
	buf.WriteString(name)
	buf.WriteString(": ")
	buf.WriteString(value)
	buf.WriteString("\r\n")
}

// readResponse reads the head of one answer, over informational ones.
func (c *conn) readResponse(r *Request) (*http.Response, error) {
	for range maxInformational + 1 {
		c.headerLimit.N = maxHeaderBytes
		resp, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		tooLong := c.headerLimit.N <= 0
		c.headerLimit.N = 1 << 62
		if err != nil {
			if tooLong {
				return nil, errors.Join(errInvalidResponse, errors.New("head without an end"), err)
			}
			var ne net.Error
			if errors.As(err, &ne) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
				return nil, err
			}
			return nil, errors.Join(errInvalidResponse, err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.Join(errInvalidResponse, errors.New("unasked change of protocol"))
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
	return nil, errors.Join(errInvalidResponse, errors.New("informational answers without an end"))
}

func (c *conn) newResponse(httpResp *http.Response) *Response {
	return &Response{
		Status: httpResp.StatusCode, Header: httpResp.Header, ContentLength: httpResp.ContentLength, Body: httpResp.Body,
		httpResp: httpResp, conn: c,
	}
}

// Close gives the connection back, if the whole answer was read and the request
// written; whole says so. Otherwise the server sees the connection close, and
// stops its work.
func (r *Response) Close(complete bool) {
	r.once.Do(func() {
		c := r.conn
		if !r.cancelWatch() || !complete || c.writeErr != nil || r.httpResp.Close || c.br.Buffered() > 0 {
			c.Close()
			return
		}
		now := time.Now()
		c.reusableUntil = now.Add(keepAliveTime(r.Header))
		c.pool.put(now, c)
	})
}

// keepAliveTime returns how long the connection may stay unused.
func keepAliveTime(h http.Header) time.Duration {
	for _, v := range strings.Split(h.Get("Keep-Alive"), ",") {
		k, s, _ := strings.Cut(strings.TrimSpace(v), "=")
		if !strings.EqualFold(k, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(s); err == nil {
			return max(0, min(maxIdleTime, time.Duration(n)*time.Second-idleTimeMargin))
		}
	}
	return maxIdleTime
}
