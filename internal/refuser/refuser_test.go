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

// testServer is an HTTP server that refuses requests through a Refuser. Requests to paths that
// begin with /refused are refused, all others served.
type testServer struct {
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
	refuser *Refuser
	mu      sync.Mutex
	// served and refused count the served and refused requests.
	served, refused int
}

// prefixedConn is a connection from which data was already read into a buffer.
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

func (s *testServer) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

func (s *testServer) Close() error {
	s.once.Do(func() { close(s.done) })
	return nil
}

func (s *testServer) Addr() net.Addr { return &net.TCPAddr{} }

func (s *testServer) responseHeader(req *http.Request) http.Header {
	return http.Header{"Id": req.Header["Id"]}
}

func (s *testServer) decide(req *http.Request) *Refusal {
	if !strings.HasPrefix(req.URL.Path, "/refused") {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
	return &Refusal{Header: s.responseHeader(req), Close: req.URL.Path == "/refused/last"}
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if refusal := s.decide(req); refusal != nil && CanKeepAlive(req) {
		c, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		buffered, _ := rw.Reader.Peek(rw.Reader.Buffered())
		go s.refuser.RefuseKeepAlive(c, buffered, req.ContentLength, refusal)
		return
	} else if refusal != nil {
		w.Header()["Id"] = req.Header["Id"]
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.served++
	s.mu.Unlock()
	b, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	w.Header()["Id"] = req.Header["Id"]
	fmt.Fprintf(w, "%d bytes", len(b))
}

func newTestServer() (*testServer, func()) {
	s := &testServer{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	s.refuser = &Refuser{Decide: s.decide, OnIdle: func(net.Conn) {}, OnActive: func(net.Conn) {}, ReturnConn: func(c net.Conn, buffered []byte) bool {
		s.conns <- &prefixedConn{Conn: c, buffered: buffered}
		return true
	}}
	httpServer := &http.Server{Handler: s}
	go func() { _ = httpServer.Serve(s) }()
	return s, func() { _ = httpServer.Close() }
}

// connect returns the caller's end of a new connection.
func (s *testServer) connect(t rapid.TB) net.Conn {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s.conns <- server
	return client
}

// TestMixedRequestsOnOneConnection sends refused and served requests with various bodies in
// random pieces on one connection and checks that each gets its own response, in order.
func TestMixedRequestsOnOneConnection(t *testing.T) {
	s, stop := newTestServer()
	defer stop()
	rapid.Check(t, func(t *rapid.T) {
		c := s.connect(t)
		defer c.Close()
		type request struct {
			refused bool
			body    string
		}
		var requests []request
		var input strings.Builder
		for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
			r := request{refused: rapid.Bool().Draw(t, "refused")}
			path := "/served"
			if r.refused {
				path = "/refused"
			}
			size := rapid.SampledFrom([]int{0, 1, 700, bufferBytes, 3 * bufferBytes}).Draw(t, "body")
			body := strings.Repeat("b", size)
			fmt.Fprintf(&input, "POST %s HTTP/1.1\r\nHost: h\r\nId: %d\r\n", path, i)
			switch rapid.SampledFrom([]string{"length", "chunked", "long-head"}).Draw(t, "kind") {
			case "chunked":
				fmt.Fprintf(&input, "Transfer-Encoding: chunked\r\n\r\n")
				if size > 0 {
					fmt.Fprintf(&input, "%x\r\n%s\r\n", size, body)
				}
				fmt.Fprintf(&input, "0\r\n\r\n")
			case "long-head":
				fmt.Fprintf(&input, "Long: %s\r\n", strings.Repeat("l", bufferBytes))
				fallthrough
			default:
				fmt.Fprintf(&input, "Content-Length: %d\r\n\r\n%s", size, body)
			}
			if !r.refused {
				r.body = fmt.Sprintf("%d bytes", size)
			}
			requests = append(requests, r)
		}
		pieceSizes := []int{}
		for remaining := input.Len(); remaining > 0; {
			n := min(remaining, rapid.SampledFrom([]int{1, 30, 500, 9000, 100_000}).Draw(t, "piece"))
			pieceSizes, remaining = append(pieceSizes, n), remaining-n
			if len(pieceSizes) > 200 {
				pieceSizes, remaining = append(pieceSizes, remaining), 0
			}
		}
		go func() {
			remaining := input.String()
			for _, n := range pieceSizes {
				// The error can be ignored, since reading the responses fails then.
				_, _ = io.WriteString(c, remaining[:n])
				remaining = remaining[n:]
			}
		}()
		br := bufio.NewReader(c)
		for i, r := range requests {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatalf("request %d: reading the response: %v", i, err)
			}
			b, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatalf("request %d: reading the response body: %v", i, err)
			}
			if id := resp.Header.Get("Id"); id != fmt.Sprint(i) || (resp.StatusCode == http.StatusServiceUnavailable) != r.refused || string(b) != r.body {
				t.Fatalf("request %d: response has id %s, status %d, body %q", i, id, resp.StatusCode, b)
			}
		}
	})
}

// TestKeepAliveConnectionsDoNotStarveListener checks that new connections get at least half of
// the CPU limiter's rate, however many keep-alive connections have requests to refuse.
func TestKeepAliveConnectionsDoNotStarveListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			microsPerSecond = 64_000 // microseconds of processor time
			cost            = 25 * time.Microsecond
			newConnections  = 1000
		)
		r := &Refuser{CPULimiter: rate.NewLimiter(microsPerSecond, 100), RefusalCost: cost}
		ctx, cancel := context.WithCancel(t.Context())
		var workers sync.WaitGroup
		for range 500 {
			server, client := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, client) }()
			workers.Go(func() {
				for ctx.Err() == nil && r.refuse(server, &buffer{}, 0, 0, &Refusal{}) {
				}
				server.Close()
			})
		}
		synctest.Wait()
		start := time.Now()
		for range newConnections {
			r.WaitCPU(cost)
		}
		unloaded := time.Duration(newConnections * cost.Microseconds() * int64(time.Second) / microsPerSecond)
		if elapsed := time.Since(start); elapsed > 2*unloaded+100*time.Millisecond {
			t.Errorf("%d connections waited %v, want at most twice %v", newConnections, elapsed, unloaded)
		}
		cancel()
		workers.Wait()
	})
}

// TestRefusalDelayIsBounded checks that requests on many keep-alive connections are refused
// within maxRefusalDelay, even when the refusals exceed the CPU limiter's rate.
func TestRefusalDelayIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Refuser{CPULimiter: rate.NewLimiter(64_000, 100), RefusalCost: 25 * time.Microsecond}
		start := time.Now()
		var workers sync.WaitGroup
		for range 2300 {
			server, client := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, client) }()
			workers.Go(func() {
				r.refuse(server, &buffer{}, 0, 0, &Refusal{})
				server.Close()
			})
		}
		workers.Wait()
		if elapsed := time.Since(start); elapsed > maxRefusalDelay+10*time.Millisecond {
			t.Errorf("the last request was refused after %v", elapsed)
		}
	})
}

// TestSlowBodyKeepsConnection checks that a caller that takes seconds to send a request body
// receives the refusal and that its connection is kept alive.
func TestSlowBodyKeepsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		server, client := net.Pipe()
		defer client.Close()
		keptAlive := make(chan bool, 1)
		go func() { keptAlive <- (&Refuser{}).refuse(server, &buffer{}, 0, 4, &Refusal{}) }()
		time.Sleep(3 * time.Second)
		_, err := io.WriteString(client, "body")
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(<-keptAlive, qt.IsTrue)
	})
}

// TestConnectionSwitchesBetweenRefusedAndServed checks that a connection switches between refused
// and served requests, that each request is handled once, and that a refusal can close the
// connection.
func TestConnectionSwitchesBetweenRefusedAndServed(t *testing.T) {
	c := qt.New(t)
	s, stop := newTestServer()
	defer stop()
	conn := s.connect(t)
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
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Assert(s.served, qt.Equals, 1)
	c.Assert(s.refused, qt.Equals, 4)
}
