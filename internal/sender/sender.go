// Package sender sends a request to a backend server and reads the response. Its errors tell
// whether the request may have run. Unlike http.Transport, it never retries a request of which
// a part may have been sent, and it reuses a connection only if nothing unexpected was received
// on it.
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
	"papayapaddle/internal/validator"
)

// Kind classifies errors.
type Kind string

// Error kinds.
const (
	// KindNotSent means that no byte of the request was sent.
	KindNotSent Kind = "not sent"
	// KindNoResponse means that no response was received and the request may have run.
	KindNoResponse Kind = "answer lost"
	// KindInvalidResponse means that what was received is not a response to the request, which
	// may have run.
	KindInvalidResponse Kind = "no answer in the protocol"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// dialTimeout allows for one lost packet, which delays a connection by a second. Round
	// trips between zones take milliseconds.
	dialTimeout = 1200 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// maxIdleConns limits the idle connections to one server.
	maxIdleConns = 8
	// maxIdleTime limits how long a connection stays idle. The server's Keep-Alive header can
	// only shorten it.
	maxIdleTime = 10 * time.Second
	// idleTimeMargin is subtracted from the server's keep-alive timeout, so that a connection
	// is not used just as the server closes it.
	idleTimeMargin = 500 * time.Millisecond
	// maxAtMostOnceIdle limits how long a connection may have been idle to be used for an
	// at-most-once request, as the server may have dropped it without notice.
	maxAtMostOnceIdle = time.Second
	// maxUnrelatedResponses is the number of responses to other requests that are skipped
	// before the connection is closed.
	maxUnrelatedResponses = 2
	// maxInformational is the number of informational (1xx) responses that are skipped before
	// the connection is closed. Servers send one or two.
	maxInformational = 16
	// maxUnrelatedBytes limits the body of a skipped response.
	maxUnrelatedBytes = 64 << 10
	// maxCopiedBodyBytes is the largest body that is copied behind the header, for one packet. A server that
	// reads slowly would otherwise hold a longer body twice.
	maxCopiedBodyBytes = 16 << 10
	// maxPooledBufferBytes limits the write buffers that are kept for reuse. Headers are shorter.
	maxPooledBufferBytes = 64 << 10
	// maxHeaderBytes limits a response header.
	maxHeaderBytes = validator.MaxHeaderBytes
)

// Request is a request to a server.
type Request struct {
	// Server is the server's ID. Connections are reused only for the same server, as its
	// address may be assigned to another one later.
	Server  string
	Address string
	Method  string
	// Target is the path and query as sent by the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce is true if the request must not be sent again once it may have run.
	AtMostOnce bool
	// MatchesResponse reports whether a response header belongs to this request. first says that it is
	// the first response on a connection that has carried no other request.
	MatchesResponse func(h http.Header, first bool) bool
	// MaySend, if not nil, reports whether the request may still be sent, just before it is written.
	MaySend func() bool
	// OnResponse, if not nil, is called for the header of each response that is received, also if it
	// belongs to another request.
	OnResponse func(status int, h http.Header)
}

// Response is a server's response. Close must be called once.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the length of the body, or -1 if unknown.
	ContentLength int64
	// Body returns io.EOF only if the server ended the body properly.
	Body io.Reader

	httpResp *http.Response
	conn     *conn
	// cancelWatch keeps the end of the context from closing the connection. It returns false
	// if the context has already ended.
	cancelWatch func() bool
	once        sync.Once
}

// conn is a connection to a server.
type conn struct {
	net.Conn
	br *bufio.Reader
	// headerLimit limits the bytes read while a response header is read, and is practically
	// unlimited otherwise.
	headerLimit   *io.LimitedReader
	pool          *pool
	connectedAt   time.Time
	lastUsed      time.Time
	reusableUntil time.Time
	reused        bool
	// wroteAny is true if any part of the current request may have been sent.
	wroteAny bool
	// writeErr is the error of a request of which only a part was sent.
	writeErr error
}

// Sender sends requests and pools connections.
type Sender struct {
	// Dial must be set.
	Dial linker.DialFunc
	// OnConnect is called for each new connection. It may be nil.
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

// RetainServers closes the connections to all servers except the given ones, a map from server
// ID to address. Connections in use are closed after use.
func (s *Sender) RetainServers(servers map[string]string) {
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

// CloseIdle closes the idle connections to a server after one of them failed, as the others may
// be broken too.
func (s *Sender) CloseIdle(server, address string) {
	s.mu.Lock()
	p := s.pools[server+"@"+address]
	s.mu.Unlock()
	if p != nil {
		p.closeIdle()
	}
}

// Retire closes the idle connections to a server that gets no more requests. Connections in use are
// closed after use.
func (s *Sender) Retire(server, address string) {
	key := server + "@" + address
	s.mu.Lock()
	p := s.pools[key]
	delete(s.pools, key)
	s.mu.Unlock()
	if p != nil {
		p.close()
	}
}

// Send sends the request and returns once the response header was read. If the context ends
// before the response is closed, the connection is closed.
func (s *Sender) Send(ctx context.Context, r *Request) (*Response, error) {
	for {
		resp, reused, err := s.sendOnce(ctx, r)
		if reused && failer.KindOf[Kind](err) == KindNotSent && !errors.Is(err, ErrWithdrawn) && ctx.Err() == nil {
			// The idle connection was broken and nothing was written to it.
			s.CloseIdle(r.Server, r.Address)
			continue
		}
		return resp, err
	}
}

// sendOnce sends the request on one connection and reports whether the connection was reused.
func (s *Sender) sendOnce(ctx context.Context, r *Request) (*Response, bool, error) {
	c, err := s.connect(ctx, r)
	if err != nil {
		return nil, false, failer.Wrap("send", KindNotSent, err)
	}
	cancelWatch := context.AfterFunc(ctx, func() { c.Close() })
	resp, err := c.roundTrip(r)
	if errors.Is(err, ErrWithdrawn) && cancelWatch() {
		// The request may be assigned to the same server again. Another one may take the connection at once.
		reused := c.reused
		c.keepUnused()
		return nil, reused, failer.Wrap("send", KindNotSent, err)
	}
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
	c, err := s.dialConn(ctx, r.Address)
	if err != nil {
		return nil, err
	}
	c.pool = p
	return c, nil
}

// ErrWithdrawn is the cause of an error if the request was not sent because MaySend did not permit it.
var ErrWithdrawn = errors.New("the server wants no requests any more")

var errInvalidResponse = errors.New("garbled answer")

// roundTrip writes the request and reads the response header.
func (c *conn) roundTrip(r *Request) (*Response, error) {
	c.wroteAny = false
	if r.MaySend != nil && !r.MaySend() {
		return nil, ErrWithdrawn
	}
	if err := c.writeRequest(r); err != nil {
		// The server may have responded before it read the whole request, so the response is
		// read nevertheless.
		if !c.wroteAny {
			return nil, err
		}
		c.writeErr = err
	}
	for skipped := range maxUnrelatedResponses + 1 {
		resp, err := c.readResponse(r)
		if err != nil {
			if c.writeErr != nil {
				err = errors.Join(err, c.writeErr)
			}
			return nil, err
		}
		if r.OnResponse != nil {
			r.OnResponse(resp.StatusCode, resp.Header)
		}
		if r.MatchesResponse(resp.Header, !c.reused && skipped == 0) {
			return c.newResponse(resp), nil
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnrelatedBytes)); err != nil ||
			n == maxUnrelatedBytes || resp.Close {
			break
		}
	}
	return nil, errors.Join(errInvalidResponse, errors.New("response belongs to another request"))
}

// writeRequest writes the request in a single call, so that a small one fits into one packet.
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
	if len(r.Body) > maxCopiedBodyBytes {
		parts := net.Buffers{buf.Bytes(), r.Body}
		n, err := parts.WriteTo(c.Conn)
		c.wroteAny = n > 0 || err == nil
		return err
	}
	buf.Write(r.Body)
	n, err := c.Conn.Write(buf.Bytes())
	// A failed write may have sent part of the request.
	c.wroteAny = n > 0 || err == nil
	return err
}

// requestBuffers pools the buffers for writing requests.
var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func writeHeader(buf *bytes.Buffer, name, value string) {
	buf.WriteString(name)
	buf.WriteString(": ")
	buf.WriteString(value)
	buf.WriteString("\r\n")
}

// readResponse reads a response header, skipping informational responses.
func (c *conn) readResponse(r *Request) (*http.Response, error) {
	for range maxInformational + 1 {
		c.headerLimit.N = maxHeaderBytes
		resp, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		tooLong := c.headerLimit.N <= 0
		c.headerLimit.N = 1 << 62
		if err != nil {
			if tooLong {
				return nil, errors.Join(errInvalidResponse, errors.New("response header too long"), err)
			}
			var ne net.Error
			if errors.As(err, &ne) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
				errors.Is(err, net.ErrClosed) {
				return nil, err
			}
			return nil, errors.Join(errInvalidResponse, err)
		}
		if err := validator.CheckResponse(resp); err != nil {
			return nil, errors.Join(errInvalidResponse, err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.Join(errInvalidResponse, errors.New("unexpected protocol switch"))
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
	return nil, errors.Join(errInvalidResponse, errors.New("too many informational responses"))
}

func (c *conn) newResponse(httpResp *http.Response) *Response {
	resp := &Response{
		Status: httpResp.StatusCode, Header: httpResp.Header,
		ContentLength: httpResp.ContentLength, Body: httpResp.Body,
		httpResp: httpResp, conn: c,
	}
	if c.writeErr != nil && resp.DelimitedByClose() {
		resp.Body = unendedBody{resp.Body}
	}
	return resp
}

// unendedBody is the body of a response whose end cannot be known: it is delimited by the end of its
// connection, and the failed write of the request has taken the error of a reset from the socket.
type unendedBody struct{ r io.Reader }

// Read implements io.Reader. It never returns io.EOF.
func (b unendedBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// DelimitedByClose reports whether only the end of the connection shows where the body ends. A response to HEAD has no
// body and may have no length.
func (r *Response) DelimitedByClose() bool {
	return r.httpResp != nil && r.ContentLength < 0 && len(r.httpResp.TransferEncoding) == 0 && r.httpResp.Body != http.NoBody
}

// ConnectedAt returns when the connection on which the response came was established.
func (r *Response) ConnectedAt() time.Time {
	if r.conn == nil {
		return time.Time{}
	}
	return r.conn.connectedAt
}

// Close releases the connection. complete says whether the body was read to its end. The
// connection is reused if the whole request was written and the whole response read. Otherwise
// it is closed, so that the server stops its work.
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

// keepAliveTime returns how long the connection may stay idle.
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
