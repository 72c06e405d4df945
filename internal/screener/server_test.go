package screener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// pipeListener accepts the server's ends of pipes.
type pipeListener struct{ conns chan net.Conn }

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serve runs an HTTP server with fixed timeouts of an hour behind a port, in virtual time.
func serve(t *testing.T, limits *atomic.Pointer[Limits], test func(connect func() net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		s := &Screener{MaxBytes: 1 << 20, OnGiveUp: func(string, string) {}, Limits: func() Limits { return *limits.Load() }}
		in := &pipeListener{conns: make(chan net.Conn)}
		server := &http.Server{
			ReadHeaderTimeout: time.Hour, IdleTimeout: time.Hour,
			Handler:   http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }),
			ConnState: func(c net.Conn, state http.ConnState) { c.(*Conn).SetState(state) },
		}
		go func() { _ = server.Serve(&Listener{Listener: in, Port: s.NewPort("callers", 10)}) }()
		test(func() net.Conn {
			server, client := net.Pipe()
			in.conns <- server
			return client
		})
		close(in.conns)
		_ = server.Close()
		synctest.Wait()
		if s.UsedBytes() != 0 {
			t.Errorf("%d bytes are still counted", s.UsedBytes())
		}
	})
}

// send writes a request and returns the status of the response, or 0 if the connection is closed.
func send(conn net.Conn, text string) int {
	// A connection that the server closes has no response either.
	go func() { _, _ = io.WriteString(conn, text) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	// The body is short and has arrived with the head.
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

const small = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"

// Guards against limits of the configuration that are not used, or not changed while the router runs.
func TestLimitsOfHeads(t *testing.T) {
	c := qt.New(t)
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{MaxHeaderBytes: 16 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	head := func(n int) string {
		return "GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", n) + "\r\n\r\n"
	}
	serve(t, &limits, func(connect func() net.Conn) {
		c.Check(send(connect(), head(16000)), qt.Equals, http.StatusOK)
		c.Check(send(connect(), head(32000)), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
		kept := connect()
		c.Check(send(kept, small), qt.Equals, http.StatusOK)
		c.Check(send(kept, head(16000)), qt.Equals, http.StatusOK)
		limits.Store(&Limits{MaxHeaderBytes: 64 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
		c.Check(send(kept, head(32000)), qt.Equals, http.StatusOK)
		limits.Store(&Limits{MaxHeaderBytes: 1 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
		c.Check(send(kept, head(8000)), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	})
}

// Guards against connections that are closed while ordinary clients use them again, and against ones that stay open
// without a request, or with a head that never ends.
func TestTimesOfHeads(t *testing.T) {
	c := qt.New(t)
	const idle, headers = 15 * time.Second, 3 * time.Second
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{MaxHeaderBytes: 16 << 10, HeaderTimeout: headers, IdleTimeout: idle})
	serve(t, &limits, func(connect func() net.Conn) {
		conn := connect()
		for range 3 {
			time.Sleep(idle * 4 / 5)
			c.Check(send(conn, small), qt.Equals, http.StatusOK)
		}
		start := time.Now()
		_, err := conn.Read(make([]byte, 1))
		c.Check(err, qt.Equals, io.EOF)
		c.Check(time.Since(start), qt.Equals, idle)

		// The head arrives byte by byte until the connection is closed.
		for _, begun := range []string{"", small} {
			conn := connect()
			if begun != "" {
				c.Check(send(conn, begun), qt.Equals, http.StatusOK)
			}
			// The server waits for the next request.
			synctest.Wait()
			closed := make(chan time.Time, 1)
			go func() {
				// The server may answer with 400 before it closes the connection.
				_, _ = io.Copy(io.Discard, conn)
				closed <- time.Now()
			}()
			start, sent, err := time.Now(), 0, error(nil)
			for ; err == nil; sent++ {
				_, err = fmt.Fprint(conn, "x")
				time.Sleep(100 * time.Millisecond)
			}
			c.Check((<-closed).Sub(start), qt.Equals, headers)
			c.Check(sent > 20, qt.IsTrue, qt.Commentf("%d bytes", sent))
		}
	})
}
