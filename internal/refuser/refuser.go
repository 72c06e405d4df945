// Package refuser refuses requests on their connections, without what an HTTP server
// does for each request that it serves. A router at its limit refuses many times as
// many requests as it takes, and what that costs is missing for those.
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
	// bufferBytes takes most requests in one read.
	bufferBytes = 16 << 10
	// maxResponseBytes is more than the length of an answer.
	maxResponseBytes = 256
	// maxBodyBytes is the longest body that is read to keep a connection.
	maxBodyBytes = 256 << 10
	// idleTimeout bounds the wait for the next request on a connection, and the writing
	// of an answer.
	idleTimeout = 2 * time.Minute
	// maxRefusalDelay is the longest time for which a refusal is held back for the pace: an eighth
	// of the shortest usual objective.
	maxRefusalDelay = 50 * time.Millisecond
	// requestTimeout is how long a caller may take to send what is refused on a connection
	// that is not kept, and bodyTimeout for the body on one that is.
	requestTimeout = 500 * time.Millisecond
	bodyTimeout    = 10 * time.Second
)

// Refusal is the answer to a request that is refused.
type Refusal struct {
	Header http.Header
	// Close ends the connection after the answer.
	Close bool
}

// Refuser refuses requests. The functions must be set; without a pace the processor time
// is not bounded.
type Refuser struct {
	// Decide refuses a request, or returns nil for one that may be served.
	Decide func(*http.Request) *Refusal
	// CPULimiter counts microseconds of processor time. A refusal on a kept connection takes
	// Cost.
	CPULimiter  *rate.Limiter
	RefusalCost time.Duration

	// limiterSem is held by the one kept connection that waits for the pace. The others wait for
	// the turn, so that new connections wait for one of them and not for all.
	limiterSem     chan struct{}
	initLimiterSem sync.Once
	// OnIdle is told that a connection waits for its next request, and Used that it does
	// not any more. In between a deadline in the past ends the connection, unless
	// something was read from it.
	OnIdle   func(net.Conn)
	OnActive func(net.Conn)
	// ReturnConn takes a connection back, and what was read from it. False means that
	// nobody serves it any more.
	ReturnConn func(c net.Conn, buffered []byte) bool
}

// WaitCPU waits until the pace allows work that costs so much.
func (r *Refuser) WaitCPU(cost time.Duration) {
	if r.CPULimiter == nil {
		return
	}
	if delay := r.CPULimiter.ReserveN(time.Now(), int(cost.Microseconds())).Delay(); delay > 0 {
		time.Sleep(delay)
	}
}

// waitLimiter waits until the pace allows one more refusal on a kept connection, but not for
// long.
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

// CanKeepAlive says whether a connection can be kept by Keep after this request was refused.
func CanKeepAlive(req *http.Request) bool {
	return req.ProtoAtLeast(1, 1) && !req.Close && len(req.TransferEncoding) == 0 && req.ContentLength >= 0 &&
		req.ContentLength <= maxBodyBytes && req.Header.Get("Expect") == ""
}

// RefuseKeepAlive refuses a request, of whose body and of what follows it so much was read, and then
// each further one on the connection, until one may be served.
func (r *Refuser) RefuseKeepAlive(c net.Conn, buffered []byte, bodyLength int64, refusal *Refusal) {
	b := bufferPool.Get().(*buffer)
	b.length = copy(b.data[:], buffered)
	if r.refuse(c, b, 0, bodyLength, refusal) {
		r.refuseLoop(c, b)
		return
	}
	bufferPool.Put(b)
}

// RefuseNew refuses the requests on a new connection, of which so much was read, until one may
// be served.
func (r *Refuser) RefuseNew(c net.Conn, buffered []byte) {
	b := bufferPool.Get().(*buffer)
	b.length = copy(b.data[:], buffered)
	r.refuseLoop(c, b)
}

// refuseLoop refuses what is in the buffer, and what comes after it.
func (r *Refuser) refuseLoop(c net.Conn, b *buffer) {
	for {
		if b.length == 0 {
			bufferPool.Put(b)
			// Waiting connections hold no buffer.
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

// buffer holds what was read last.
type buffer struct {
	data   [bufferBytes]byte
	length int
}

var bufferPool = sync.Pool{New: func() any { return new(buffer) }}

// awaitRequest waits for the next request on a connection, and returns what came of it, or nil
// where the connection has ended.
func (r *Refuser) awaitRequest(c net.Conn) *buffer {
	// Connections without deadlines, as in tests, wait for ever.
	_ = c.SetDeadline(time.Now().Add(idleTimeout))
	r.OnIdle(c)
	b := readWhenReady(c)
	r.OnActive(c)
	if b == nil {
		c.Close()
	}
	return b
}

// refuse reads the body that begins at a place of the buffer, and answers. It says
// whether the connection is kept; the buffer then holds what follows the body.
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

// returnConn returns a connection with what was read, to be served.
func (r *Refuser) returnConn(c net.Conn, b *buffer) {
	_ = c.SetDeadline(time.Time{})
	if !r.ReturnConn(c, bytes.Clone(b.data[:b.length])) {
		c.Close()
	}
}

// RefuseAndClose refuses one request on a connection that is not kept.
func (r *Refuser) RefuseAndClose(c net.Conn, refusalHeader func(*http.Request) http.Header) error {
	defer c.Close()
	// A connection without deadlines, as in tests, is closed by the other side.
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
			// What is left unread would reset the connection before the answer is read.
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
	errInvalidHead = errors.New("no request")
	headTerminator = []byte("\r\n\r\n")
)

// parseHead reads the head of a request, and returns its length; nil means that it is no
// request or not whole.
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

// discardBody reads so much of a body in a time.
func discardBody(c net.Conn, scratch []byte, n int64, timeout time.Duration) error {
	// Connections without deadlines, as in tests, wait for ever.
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

// encode returns the answer as it is sent.
func (f *Refusal) encode() []byte {
	b := bytes.NewBuffer(make([]byte, 0, maxResponseBytes))
	b.WriteString("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n")
	if f.Close {
		b.WriteString("Connection: close\r\n")
	}
	// Writing to memory does not fail.
	_ = f.Header.Write(b)
	b.WriteString("\r\n")
	return b.Bytes()
}

func writeResponse(c net.Conn, refusal *Refusal) error {
	_, err := c.Write(refusal.encode())
	return err
}

// readWhenReady waits until something comes, and reads it into a buffer that it takes then; nil
// means that the connection has ended.
func readWhenReady(c net.Conn) *buffer {
	sc, ok := c.(syscall.Conn)
	if !ok {
		b := bufferPool.Get().(*buffer)
		// An end shows as nothing read.
		n, _ := c.Read(b.data[:])
		return b.withLength(n)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	var b *buffer
	// Without an error of its own the read below has shown the end, or something came.
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

// withLength notes how much was read. An empty buffer is given back.
func (b *buffer) withLength(n int) *buffer {
	if n <= 0 {
		bufferPool.Put(b)
		return nil
	}
	b.length = n
	return b
}
