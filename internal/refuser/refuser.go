// Package refuser refuses requests directly on their connections, bypassing the HTTP server.
// An overloaded router refuses many times as many requests as it accepts, and the CPU time
// spent on refusals is lost to the accepted ones.
package refuser

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"
)

const (
	// bufferBytes is large enough to read most requests at once.
	bufferBytes = 16 << 10
	// responseBufferBytes is the initial capacity of the buffer for a response. Responses are
	// shorter.
	responseBufferBytes = 256
	// maxBodyBytes is the longest request body that is read to keep a connection alive.
	maxBodyBytes = 256 << 10
	// defaultIdleTimeout limits the wait for the next request on a connection and the time to
	// write a response, unless Refuser.IdleTimeout is set.
	defaultIdleTimeout = 2 * time.Minute
	// maxRefusalDelay is the longest time that a refusal waits behind other connections for
	// the CPU limiter: an eighth of the shortest usual latency objective.
	maxRefusalDelay = 50 * time.Millisecond
	// requestTimeout limits how long a caller may take to send a request on a connection that
	// is closed after the refusal.
	requestTimeout = 500 * time.Millisecond
	// bodyTimeout limits how long a caller may take to send the rest of a request body on a
	// keep-alive connection.
	bodyTimeout = 10 * time.Second
)

// Refusal is the response to a refused request.
type Refusal struct {
	Header http.Header
	// Close closes the connection after the response.
	Close bool
}

// Refuser refuses requests. Its function fields must be set.
type Refuser struct {
	// Decide returns the refusal of a request, or nil if the request may be served.
	Decide func(*http.Request) *Refusal
	// CPULimiter limits the CPU time of refusals, in microseconds. If it is nil, the CPU time
	// is not limited.
	CPULimiter *rate.Limiter
	// RefusalCost is the CPU time of one refusal on a keep-alive connection.
	RefusalCost time.Duration

	// limiterSem lets one keep-alive connection at a time wait for CPULimiter, so that a new
	// connection waits behind one of them at most.
	limiterSem     chan struct{}
	initLimiterSem sync.Once
	// OnIdle is called when a connection starts to wait for its next request, and OnActive
	// when the wait ends. In between, setting a past deadline ends the connection unless data
	// was read from it.
	OnIdle   func(net.Conn)
	OnActive func(net.Conn)
	// IdleTimeout returns the time that a connection may wait for its next request. If nil, it is
	// defaultIdleTimeout.
	IdleTimeout func() time.Duration
	// ReturnConn hands a connection and the data read from it back to the HTTP server. It
	// returns false if the server does not accept it any more.
	ReturnConn func(c net.Conn, buffered []byte) bool
}

// WaitCPU waits until the limiter permits work that takes the given CPU time.
func (r *Refuser) WaitCPU(cost time.Duration) {
	if r.CPULimiter == nil {
		return
	}
	if delay := r.CPULimiter.ReserveN(time.Now(), int(cost.Microseconds())).Delay(); delay > 0 {
		time.Sleep(delay)
	}
}

// waitLimiter waits until the limiter permits a refusal on a keep-alive connection. A connection
// that cannot reach the limiter within maxRefusalDelay proceeds without its permission.
func (r *Refuser) waitLimiter() {
	r.initLimiterSem.Do(func() { r.limiterSem = make(chan struct{}, 1) })
	select {
	case r.limiterSem <- struct{}{}:
	default:
		select {
		case r.limiterSem <- struct{}{}:
		case <-time.After(maxRefusalDelay):
			return
		}
	}
	r.WaitCPU(r.RefusalCost)
	<-r.limiterSem
}

// CanKeepAlive reports whether the request can be refused with the connection kept alive.
func CanKeepAlive(req *http.Request) bool {
	return req.ProtoAtLeast(1, 1) && !req.Close && len(req.TransferEncoding) == 0 && req.ContentLength >= 0 &&
		req.ContentLength <= maxBodyBytes && req.Header.Get("Expect") == ""
}

// RefuseKeepAlive refuses a request and then all further ones on the connection until one may be
// served. The buffered data begins with the request's body.
func (r *Refuser) RefuseKeepAlive(c net.Conn, buffered []byte, bodyLength int64, refusal *Refusal) {
	b := bufferPool.Get().(*buffer)
	b.length = copy(b.data[:], buffered)
	if r.refuse(c, b, 0, bodyLength, refusal) {
		r.refuseLoop(c, b)
		return
	}
	bufferPool.Put(b)
}

// RefuseNewConn refuses the requests on a new connection until one may be served. The buffered
// data was already read from the connection.
func (r *Refuser) RefuseNewConn(c net.Conn, buffered []byte) {
	b := bufferPool.Get().(*buffer)
	b.length = copy(b.data[:], buffered)
	r.refuseLoop(c, b)
}

// refuseLoop refuses requests, beginning with the buffered data, until one may be served or the
// connection ends.
func (r *Refuser) refuseLoop(c net.Conn, b *buffer) {
	for {
		if b.length == 0 {
			bufferPool.Put(b)
			// Idle connections hold no buffer.
			if b = r.awaitRequest(c); b == nil {
				return
			}
		}
		req, bodyStart := parseHead(b.data[:b.length])
		var refusal *Refusal
		if req != nil && CanKeepAlive(req) {
			refusal = r.Decide(req)
		}
		if refusal == nil {
			r.returnConn(c, b)
			break
		}
		if !r.refuse(c, b, bodyStart, req.ContentLength, refusal) {
			break
		}
	}
	bufferPool.Put(b)
}

// buffer holds data that was read but not processed.
type buffer struct {
	data   [bufferBytes]byte
	length int
}

var bufferPool = sync.Pool{New: func() any { return new(buffer) }}

// awaitRequest waits for the next request on a connection and returns the first data of it, or nil
// if the connection has ended.
func (r *Refuser) awaitRequest(c net.Conn) *buffer {
	// Connections without deadlines, such as those of tests, wait forever.
	timeout := defaultIdleTimeout
	if r.IdleTimeout != nil {
		timeout = r.IdleTimeout()
	}
	_ = c.SetDeadline(time.Now().Add(timeout))
	r.OnIdle(c)
	b := readWhenReady(c)
	r.OnActive(c)
	if b == nil {
		c.Close()
	}
	return b
}

// refuse reads the request body, which begins at bodyStart in the buffer, and sends the refusal.
// It reports whether the connection is kept alive; the buffer then holds the data after the body.
func (r *Refuser) refuse(c net.Conn, b *buffer, bodyStart int, bodyLength int64, refusal *Refusal) bool {
	r.waitLimiter()
	unread := bodyLength - int64(b.length-bodyStart)
	if unread < 0 {
		b.length = copy(b.data[:], b.data[int64(bodyStart)+bodyLength:b.length])
	} else {
		b.length = 0
	}
	if unread > 0 && discardBody(c, b.data[:], unread, bodyTimeout) != nil || writeResponse(c, refusal) != nil || refusal.Close {
		c.Close()
		return false
	}
	return true
}

// returnConn hands a connection with the buffered data back to the HTTP server.
func (r *Refuser) returnConn(c net.Conn, b *buffer) {
	_ = c.SetDeadline(time.Time{})
	if !r.ReturnConn(c, bytes.Clone(b.data[:b.length])) {
		c.Close()
	}
}

// RefuseAndClose refuses one request and closes the connection.
func (r *Refuser) RefuseAndClose(c net.Conn, refusalHeader func(*http.Request) http.Header) error {
	defer c.Close()
	// Connections without deadlines, such as those of tests, are closed by the other side.
	_ = c.SetDeadline(time.Now().Add(requestTimeout))
	b := bufferPool.Get().(*buffer)
	defer bufferPool.Put(b)
	b.length = 0
	for {
		n, err := c.Read(b.data[b.length:])
		b.length += n
		req, bodyStart := parseHead(b.data[:b.length])
		switch {
		case req != nil:
			// Closing with unread data would reset the connection before the caller reads
			// the response.
			if unread := req.ContentLength - int64(b.length-bodyStart); unread > 0 && discardBody(c, b.data[:], min(unread, maxBodyBytes), requestTimeout) != nil {
				return io.ErrUnexpectedEOF
			}
			return writeResponse(c, &Refusal{Header: refusalHeader(req), Close: true})
		case err != nil:
			return err
		case b.length == len(b.data) || bytes.Contains(b.data[:b.length], headTerminator):
			return errInvalidHead
		}
	}
}

var (
	errInvalidHead = errors.New("request head is invalid or too long")
	headTerminator = []byte("\r\n\r\n")
)

// parseHead parses a request head and returns its length. The request is nil if the head is
// incomplete or invalid.
func parseHead(b []byte) (req *http.Request, headLength int) {
	end := bytes.Index(b, headTerminator)
	if end < 0 {
		return nil, 0
	}
	headLength = end + len(headTerminator)
	br := readerPool.Get().(*bufio.Reader)
	defer readerPool.Put(br)
	br.Reset(bytes.NewReader(b[:headLength]))
	req, err := http.ReadRequest(br)
	if err != nil {
		return nil, 0
	}
	return req, headLength
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// discardBody reads and discards n bytes of a body within the timeout.
func discardBody(c net.Conn, scratch []byte, n int64, timeout time.Duration) error {
	// Connections without deadlines, such as those of tests, wait forever.
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	for n > 0 {
		read, err := c.Read(scratch[:min(int64(len(scratch)), n)])
		n -= int64(read)
		if err != nil && n > 0 {
			return err
		}
	}
	return nil
}

// encode returns the response in wire format.
func (r *Refusal) encode() []byte {
	b := bytes.NewBuffer(make([]byte, 0, responseBufferBytes))
	b.WriteString("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n")
	if r.Close {
		b.WriteString("Connection: close\r\n")
	}
	// Writes to a bytes.Buffer do not fail.
	_ = r.Header.Write(b)
	b.WriteString("\r\n")
	return b.Bytes()
}

func writeResponse(c net.Conn, refusal *Refusal) error {
	_, err := c.Write(refusal.encode())
	return err
}

// readWhenReady waits for data and reads it into a buffer, or returns nil if the connection has
// ended. On a socket it allocates the buffer only when the socket is ready for reading.
func readWhenReady(c net.Conn) *buffer {
	sc, ok := c.(syscall.Conn)
	if !ok {
		b := bufferPool.Get().(*buffer)
		// No data means that the connection has ended.
		n, _ := c.Read(b.data[:])
		return b.withLength(n)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	var b *buffer
	// The error can be ignored: b stays nil unless data was read.
	_ = raw.Read(func(fd uintptr) bool {
		b = bufferPool.Get().(*buffer)
		n, err := syscall.Read(int(fd), b.data[:])
		for errors.Is(err, syscall.EINTR) {
			n, err = syscall.Read(int(fd), b.data[:])
		}
		b = b.withLength(n)
		return !errors.Is(err, syscall.EAGAIN)
	})
	return b
}

// withLength sets the number of bytes read. If there are none, it returns the buffer to the pool
// and returns nil.
func (b *buffer) withLength(n int) *buffer {
	if n <= 0 {
		bufferPool.Put(b)
		return nil
	}
	b.length = n
	return b
}
