package conductor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"papayapaddle/platform/standin"
)

// benchBody has about the size of a request body with a long prompt.
var benchBody = strings.Repeat("x", 12<<10)

// benchRequest returns a request for a stream of the given number of events.
func benchRequest(id, events int) string {
	return standin.Request{
		Path: standin.ModelPrefix + "y", ID: fmt.Sprintf("%x", id), APIKey: standin.APIKey, TokenUsage: fmt.Sprintf("100,%d", 10*events),
		SharedPart: "aa", Body: benchBody,
	}.Raw()
}

// benchExchange sends a request, reads the response and checks its status.
func benchExchange(b *testing.B, c net.Conn, br *bufio.Reader, request string, status int) {
	if _, err := io.WriteString(c, request); err != nil {
		b.Fatal(err)
	}
	reply, _, err := standin.ReadResponse(br)
	if err != nil {
		b.Fatal(err)
	}
	if reply.Status != status {
		b.Fatalf("status %d, want %d", reply.Status, status)
	}
}

// benchRouter starts a router, and returns it and its address for callers.
func benchRouter(b *testing.B) (*node, string) {
	f := newFleet(qt.New(b), "a")
	return f.routers["a"].node, f.settings["a"].Listen.Callers
}

// benchKeepAlive sends requests for streams of 64 events on one connection.
func benchKeepAlive(b *testing.B, address string, status int) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	br := bufio.NewReader(c)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		benchExchange(b, c, br, benchRequest(i, 64), status)
	}
}

// BenchmarkStream measures a stream of 64 events through the router. The results include the
// caller and the server, which run in the same process.
func BenchmarkStream(b *testing.B) {
	_, address := benchRouter(b)
	benchKeepAlive(b, address, http.StatusOK)
}

// BenchmarkKeepAliveRefusal measures the refusal of a request on a keep-alive connection.
func BenchmarkKeepAliveRefusal(b *testing.B) {
	n, address := benchRouter(b)
	n.limiter.maxRequests = -1
	benchKeepAlive(b, address, http.StatusServiceUnavailable)
}

// BenchmarkConnectionRefusal measures the refusal of a request on a new connection.
func BenchmarkConnectionRefusal(b *testing.B) {
	n, address := benchRouter(b)
	n.limiter.maxConnections = 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		benchExchange(b, c, bufio.NewReader(c), benchRequest(i, 64), http.StatusServiceUnavailable)
		c.Close()
	}
}
