package refuser

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"
)

// testServer is an HTTP server whose refusals a Refuser takes over. Requests to /refused are
// refused, all others served.
type testServer struct {
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
	refuser *Refuser
	// served and refused count the requests that the server and the refuser answered.
	mu              sync.Mutex
	served, refused int
}

// prefixedConn is a connection of which something was read before.
type prefixedConn struct {
	net.Conn
	buffered []byte
}

func (p *prefixedConn) Read(b []byte) (int, error) {
	if len(p.buffered) > 0 {
		n := copy(b, p.buffered)
		p.buffered = p.buffered[n:]
		return n, nil
	}
	return p.Conn.Read(b)
}

func (f *testServer) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

func (f *testServer) Close() error {
	f.once.Do(func() { close(f.done) })
	return nil
}

func (f *testServer) Addr() net.Addr { return &net.TCPAddr{} }

func (f *testServer) responseHeader(req *http.Request) http.Header {
	return http.Header{"Id": req.Header["Id"]}
}

func (f *testServer) decide(req *http.Request) *Refusal {
	if !strings.HasPrefix(req.URL.Path, "/refused") {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused++
	return &Refusal{Header: f.responseHeader(req), Close: req.URL.Path == "/refused/last"}
}

func (f *testServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if v := f.decide(req); v != nil && CanKeepAlive(req) {
		c, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		read, _ := rw.Reader.Peek(rw.Reader.Buffered())
		go f.refuser.RefuseKeepAlive(c, read, req.ContentLength, v)
		return
	} else if v != nil {
		w.Header()["Id"] = req.Header["Id"]
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.mu.Lock()
	f.served++
	f.mu.Unlock()
	b, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	w.Header()["Id"] = req.Header["Id"]
	fmt.Fprintf(w, "%d bytes", len(b))
}

func newTestServer() (*testServer, func()) {
	f := &testServer{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	f.refuser = &Refuser{Decide: f.decide, OnIdle: func(net.Conn) {}, OnActive: func(net.Conn) {}, ReturnConn: func(c net.Conn, read []byte) bool {
		f.conns <- &prefixedConn{Conn: c, buffered: read}
		return true
	}}
	s := &http.Server{Handler: f}
	go func() { _ = s.Serve(f) }()
	return f, func() { _ = s.Close() }
}

// connect returns the caller's end of a new connection.
func (f *testServer) connect(t rapid.TB) net.Conn {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	there, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	f.conns <- there
	return c
}

// TestMixedRequestsOnOneConnection sends requests in random pieces, with bodies of all
// kinds, and checks that each gets its own answer, in order.
func TestMixedRequestsOnOneConnection(t *testing.T) {
	f, end := newTestServer()
	defer end()
	rapid.Check(t, func(t *rapid.T) {
		c := f.connect(t)
		defer c.Close()
		type sent struct {
			refused bool
			answer  string
		}
		var all []sent
		var out strings.Builder
		for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
			s := sent{refused: rapid.Bool().Draw(t, "refused")}
			path := "/served"
			if s.refused {
				path = "/refused"
			}
			size := rapid.SampledFrom([]int{0, 1, 700, bufferBytes, 3 * bufferBytes}).Draw(t, "body")
			body := strings.Repeat("b", size)
			fmt.Fprintf(&out, "POST %s HTTP/1.1\r\nHost: h\r\nId: %d\r\n", path, i)
			switch rapid.SampledFrom([]string{"length", "chunked", "long-head"}).Draw(t, "kind") {
			case "chunked":
				fmt.Fprintf(&out, "Transfer-Encoding: chunked\r\n\r\n")
				if size > 0 {
					fmt.Fprintf(&out, "%x\r\n%s\r\n", size, body)
				}
				fmt.Fprintf(&out, "0\r\n\r\n")
			case "long-head":
				fmt.Fprintf(&out, "Long: %s\r\n", strings.Repeat("l", bufferBytes))
				fallthrough
			default:
				fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", size, body)
			}
			if !s.refused {
				s.answer = fmt.Sprintf("%d bytes", size)
			}
			all = append(all, s)
		}
		pieces := []int{}
		for left := out.Len(); left > 0; {
			n := min(left, rapid.SampledFrom([]int{1, 30, 500, 9000, 100_000}).Draw(t, "piece"))
			pieces, left = append(pieces, n), left-n
			if len(pieces) > 200 {
				pieces, left = append(pieces, left), 0
			}
		}
		go func() {
			text := out.String()
			for _, n := range pieces {
				// A connection that ended shows where its answers are read.
				_, _ = io.WriteString(c, text[:n])
				text = text[n:]
			}
		}()
		br := bufio.NewReader(c)
		for i, s := range all {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
			b, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
			if id := resp.Header.Get("Id"); id != fmt.Sprint(i) || (resp.StatusCode == http.StatusServiceUnavailable) != s.refused || string(b) != s.answer {
				t.Fatalf("request %d: id %s, status %d, %q", i, id, resp.StatusCode, b)
			}
		}
	})
}

// TestKeepAliveConnectionsDoNotStarveListener checks that new connections are accepted at
// half of the pace at least, however many kept ones have requests to refuse.
func TestKeepAliveConnectionsDoNotStarveListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			perSecond = 64_000 // microseconds of processor time
			cost      = 25 * time.Microsecond
			accepts   = 1000
		)
		r := &Refuser{CPULimiter: rate.NewLimiter(perSecond, 100), RefusalCost: cost}
		ctx, cancel := context.WithCancel(t.Context())
		var kept sync.WaitGroup
		for range 500 {
			here, there := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, there) }()
			kept.Go(func() {
				for ctx.Err() == nil && r.refuse(here, &buffer{}, 0, 0, &Refusal{}) {
				}
				here.Close()
			})
		}
		synctest.Wait()
		began := time.Now()
		for range accepts {
			r.WaitCPU(cost)
		}
		alone := time.Duration(accepts * cost.Microseconds() * int64(time.Second) / perSecond)
		if took := time.Since(began); took > 2*alone+100*time.Millisecond {
			t.Errorf("%d accepted in %v, alone in %v", accepts, took, alone)
		}
		cancel()
		kept.Wait()
	})
}

// TestRefusalDelayIsBounded checks that callers on many kept connections are refused soon,
// also where that takes more of the processor than the pace allows.
func TestRefusalDelayIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Refuser{CPULimiter: rate.NewLimiter(64_000, 100), RefusalCost: 25 * time.Microsecond}
		began := time.Now()
		var all sync.WaitGroup
		for range 2300 {
			here, there := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, there) }()
			all.Go(func() {
				r.refuse(here, &buffer{}, 0, 0, &Refusal{})
				here.Close()
			})
		}
		all.Wait()
		if took := time.Since(began); took > maxRefusalDelay+10*time.Millisecond {
			t.Errorf("the last one was refused after %v", took)
		}
	})
}

// TestSlowBodyKeepsConnection checks that a caller who takes seconds to send a body gets the
// refusal and keeps the connection.
func TestSlowBodyKeepsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		here, there := net.Pipe()
		defer there.Close()
		kept := make(chan bool, 1)
		go func() { kept <- (&Refuser{}).refuse(here, &buffer{}, 0, 4, &Refusal{}) }()
		time.Sleep(3 * time.Second)
		_, err := io.WriteString(there, "body")
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(there), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(<-kept, qt.IsTrue)
	})
}

// TestRefusedRequestsBypassServer checks that the server sees only the first of many
// requests that are refused.
func TestRefusedRequestsBypassServer(t *testing.T) {
	c := qt.New(t)
	f, end := newTestServer()
	defer end()
	conn := f.connect(t)
	defer conn.Close()
	br := bufio.NewReader(conn)
	for _, path := range []string{"/refused", "/refused", "/served", "/refused", "/refused/last"} {
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n", path)
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(br, nil)
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, resp.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode == http.StatusOK, qt.Equals, path == "/served")
		c.Assert(resp.Close, qt.Equals, path == "/refused/last")
	}
	_, err := br.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Assert(f.served, qt.Equals, 1)
	c.Assert(f.refused, qt.Equals, 4)
}
