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
	// answerBytes is more than the length of an answer.
	answerBytes = 256
	// maxBodyBytes is the longest body that is read to keep a connection.
	maxBodyBytes = 256 << 10
	// idleTimeout bounds the wait for the next request on a connection, and the writing
	// of an answer.
	idleTimeout = 2 * time.Minute
	// maxHold is the longest time for which a refusal is held back for the pace: an eighth
	// of the shortest usual objective.
	maxHold = 50 * time.Millisecond
	// sendTimeout is how long a caller may take to send what is refused on a connection
	// that is not kept, and bodyTimeout for the body on one that is.
	sendTimeout = 500 * time.Millisecond
	bodyTimeout = 10 * time.Second
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
	// Judge refuses a request, or returns nil for one that may be served.
	Judge func(*http.Request) *Refusal
	// Pace counts microseconds of processor time. A refusal on a kept connection takes
	// Cost.
	Pace *rate.Limiter
	Cost time.Duration

	// turn is held by the one kept connection that waits for the pace. The others wait for
	// the turn, so that new connections wait for one of them and not for all.
	turn     chan struct{}
	makeTurn sync.Once
	// Unused is told that a connection waits for its next request, and Used that it does
	// not any more. In between a deadline in the past ends the connection, unless
	// something was read from it.
	Unused func(net.Conn)
	Used   func(net.Conn)
	// Return takes a connection back, and what was read from it. False means that
	// nobody serves it any more.
	Return func(c net.Conn, read []byte) bool
}

// Wait waits until the pace allows work that costs so much.
func (r *Refuser) Wait(cost time.Duration) {
	if r.Pace == nil {
		return
	}
	if d := r.Pace.ReserveN(time.Now(), int(cost.Microseconds())).Delay(); d > 0 {
		time.Sleep(d)
	}
}

// waitTurn waits until the pace allows one more refusal on a kept connection, but not for
// long.
func (r *Refuser) waitTurn() {
	r.makeTurn.Do(func() { r.turn = make(chan struct{}, 1) })
	select {
	case r.turn <- struct{}{}:
	default:
		select {
		case r.turn <- struct{}{}:
		case <-time.After(maxHold):
			return
		}
	}
	r.Wait(r.Cost)
	<-r.turn
}

// Keeps says whether a connection can be kept by Keep after this request was refused.
func Keeps(req *http.Request) bool {
	return req.ProtoAtLeast(1, 1) && !req.Close && len(req.TransferEncoding) == 0 && req.ContentLength >= 0 &&
		req.ContentLength <= maxBodyBytes && req.Header.Get("Expect") == ""
}

// Keep refuses a request, of whose body and of what follows it so much was read, and then
// each further one on the connection, until one may be served.
func (r *Refuser) Keep(c net.Conn, read []byte, body int64, f *Refusal) {
	b := buffers.Get().(*buffer)
	b.n = copy(b.bytes[:], read)
	if r.refuse(c, b, 0, body, f) {
		r.follow(c, b)
		return
	}
	buffers.Put(b)
}

// Watch refuses the requests on a new connection, of which so much was read, until one may
// be served.
func (r *Refuser) Watch(c net.Conn, read []byte) {
	b := buffers.Get().(*buffer)
	b.n = copy(b.bytes[:], read)
	r.follow(c, b)
}

// follow refuses what is in the buffer, and what comes after it.
func (r *Refuser) follow(c net.Conn, b *buffer) {
	for {
		if b.n == 0 {
			buffers.Put(b)
			// Waiting connections hold no buffer.
			if b = r.await(c); b == nil {
				return
			}
		}
		req, at := parse(b.bytes[:b.n])
		var f *Refusal
		if req != nil && Keeps(req) {
			f = r.Judge(req)
		}
		if f == nil {
			r.giveBack(c, b)
			break
		}
		if !r.refuse(c, b, at, req.ContentLength, f) {
			break
		}
	}
	buffers.Put(b)
}

// buffer holds what was read last.
type buffer struct {
	bytes [bufferBytes]byte
	n     int
}

var buffers = sync.Pool{New: func() any { return new(buffer) }}

// await waits for the next request on a connection, and returns what came of it, or nil
// where the connection has ended.
func (r *Refuser) await(c net.Conn) *buffer {
	// Connections without deadlines, as in tests, wait for ever.
	_ = c.SetDeadline(time.Now().Add(idleTimeout))
	r.Unused(c)
	b := receive(c)
	r.Used(c)
	if b == nil {
		c.Close()
	}
	return b
}

// refuse reads the body that begins at a place of the buffer, and answers. It says
// whether the connection is kept; the buffer then holds what follows the body.
func (r *Refuser) refuse(c net.Conn, b *buffer, at int, body int64, f *Refusal) bool {
	r.waitTurn()
	rest := body - int64(b.n-at)
	if rest < 0 {
		b.n = copy(b.bytes[:], b.bytes[int64(at)+body:b.n])
	} else {
		b.n = 0
	}
	if rest > 0 && discard(c, b.bytes[:], rest, bodyTimeout) != nil || answer(c, f) != nil || f.Close {
		c.Close()
		return false
	}
	return true
}

// giveBack returns a connection with what was read, to be served.
func (r *Refuser) giveBack(c net.Conn, b *buffer) {
	_ = c.SetDeadline(time.Time{})
	if !r.Return(c, bytes.Clone(b.bytes[:b.n])) {
		c.Close()
	}
}

// Once refuses one request on a connection that is not kept.
func (r *Refuser) Once(c net.Conn, judge func(*http.Request) http.Header) error {
	defer c.Close()
	// A connection without deadlines, as in tests, is closed by the other side.
	_ = c.SetDeadline(time.Now().Add(sendTimeout))
	b := buffers.Get().(*buffer)
	defer buffers.Put(b)
	b.n = 0
	for {
		n, err := c.Read(b.bytes[b.n:])
		b.n += n
		req, head := parse(b.bytes[:b.n])
		switch {
		case req != nil:
			// What is left unread would reset the connection before the answer is read.
			if rest := req.ContentLength - int64(b.n-head); rest > 0 && discard(c, b.bytes[:], min(rest, maxBodyBytes), sendTimeout) != nil {
				return io.ErrUnexpectedEOF
			}
			return answer(c, &Refusal{Header: judge(req), Close: true})
		case err != nil:
			return err
		case b.n == len(b.bytes) || bytes.Contains(b.bytes[:b.n], endOfHead):
			return errNoRequest
		}
	}
}

var (
	errNoRequest = errors.New("no request")
	endOfHead    = []byte("\r\n\r\n")
)

// parse reads the head of a request, and returns its length; nil means that it is no
// request or not whole.
func parse(b []byte) (req *http.Request, head int) {
	i := bytes.Index(b, endOfHead)
	if i < 0 {
		return nil, 0
	}
	head = i + len(endOfHead)
	br := readers.Get().(*bufio.Reader)
	defer readers.Put(br)
	br.Reset(bytes.NewReader(b[:head]))
	req, err := http.ReadRequest(br)
	if err != nil {
		return nil, 0
	}
	return req, head
}

var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// discard reads so much of a body in a time.
func discard(c net.Conn, b []byte, n int64, in time.Duration) error {
	// Connections without deadlines, as in tests, wait for ever.
	_ = c.SetReadDeadline(time.Now().Add(in))
	for n > 0 {
		k, err := c.Read(b[:min(int64(len(b)), n)])
		n -= int64(k)
		if err != nil && n > 0 {
			return err
		}
	}
	return nil
}

// bytes returns the answer as it is sent.
func (f *Refusal) bytes() []byte {
	b := bytes.NewBuffer(make([]byte, 0, answerBytes))
	b.WriteString("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n")
	if f.Close {
		b.WriteString("Connection: close\r\n")
	}
	// Writing to memory does not fail.
	_ = f.Header.Write(b)
	b.WriteString("\r\n")
	return b.Bytes()
}

func answer(c net.Conn, f *Refusal) error {
	_, err := c.Write(f.bytes())
	return err
}

// receive waits until something comes, and reads it into a buffer that it takes then; nil
// means that the connection has ended.
func receive(c net.Conn) *buffer {
	sc, ok := c.(syscall.Conn)
	if !ok {
		b := buffers.Get().(*buffer)
		// An end shows as nothing read.
		n, _ := c.Read(b.bytes[:])
		return b.holding(n)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	var b *buffer
	// Without an error of its own the read below has shown the end, or something came.
	_ = raw.Read(func(fd uintptr) bool {
		b = buffers.Get().(*buffer)
		n, err := syscall.Read(int(fd), b.bytes[:])
		for errors.Is(err, syscall.EINTR) {
			n, err = syscall.Read(int(fd), b.bytes[:])
		}
		b = b.holding(n)
		return !errors.Is(err, syscall.EAGAIN)
	})
	return b
}

// holding notes how much was read. An empty buffer is given back.
func (b *buffer) holding(n int) *buffer {
	if n <= 0 {
		buffers.Put(b)
		return nil
	}
	b.n = n
	return b
}
