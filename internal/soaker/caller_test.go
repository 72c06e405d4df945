package soaker

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"papayapaddle/platform/standin"
)

type requestKind int

const (
	bookingRequest requestKind = iota
	streamRequest
)

// request is a caller's request and its result.
type request struct {
	id        string
	kind      requestKind
	workspace string
	key       string
	router    *process
	// incarnation is that of the router when the connection was opened.
	incarnation int
	// eventCount is the number of events of a complete stream.
	eventCount int
	// culprit is what crashes servers in the request, empty if nothing does.
	culprit culprit
	sentAt  time.Time
	endedAt time.Time
	result
	// executions is how often backend servers executed the request.
	executions int
}

// result is the response to a request as the caller received it.
type result struct {
	// status is 0 if there was no response.
	status int
	// complete is true if the whole response was received.
	complete bool
	body     string
	// stamp is the backend server's signature. It ends with the ID of the request.
	stamp string
	err   error
}

// callerConn is a caller's connection to one router.
type callerConn struct {
	net.Conn
	reader      *bufio.Reader
	incarnation int
}

// caller sends one request at a time. It keeps connections open until the routers close them.
type caller struct {
	soak         *soak
	rng          *rand.Rand
	conns        map[*process]*callerConn
	requestCount int
	name         string
}

// callerTimeout is the time limit of a request.
const callerTimeout = 4 * time.Second

func (c *caller) run() {
	for !c.soak.isStopped() {
		req := c.drawRequest()
		if req == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.send(req)
		c.soak.checkResult(req)
		pause := time.Duration(c.rng.IntN(60)) * time.Millisecond
		if req.status == http.StatusServiceUnavailable {
			pause += 100 * time.Millisecond
		}
		time.Sleep(pause)
	}
	for _, conn := range c.conns {
		conn.Close()
	}
}

// drawRequest returns a random request. If the caller has open connections, two thirds of the
// requests reuse one, even if its router is no longer ready. The others go to a router that the
// balancer picks. The result is nil if there is no router.
func (c *caller) drawRequest() *request {
	router := c.soak.balancer.pickRouter(c.rng)
	if len(c.conns) > 0 && c.rng.IntN(3) > 0 {
		skip := c.rng.IntN(len(c.conns))
		for connected := range c.conns {
			if skip == 0 {
				router = connected
			}
			skip--
		}
	}
	if router == nil {
		return nil
	}
	workspace, key := c.soak.drawKey(c.rng)
	c.requestCount++
	req := &request{
		id:        fmt.Sprintf("%s-%d", c.name, c.requestCount),
		workspace: workspace, key: key, router: router, kind: bookingRequest,
	}
	if c.rng.IntN(2) == 0 {
		req.kind, req.eventCount = streamRequest, 1+c.rng.IntN(12)
		if c.rng.IntN(10) == 0 && c.soak.sendsDeadly.Load() {
			req.culprit = []culprit{deadlyPart, deadlyStream}[c.rng.IntN(2)]
		}
	} else if c.soak.sendsDeadly.Load() && c.rng.IntN(20) == 0 {
		req.culprit = deadlyBooking
	}
	return req
}

// raw returns the request as it is sent on a connection.
func (r *request) raw() string {
	req := standin.Request{Path: standin.PlainPrefix + "x", ID: r.id, APIKey: r.key, Timeout: callerTimeout}
	if r.kind == streamRequest {
		req.Path, req.TokenUsage, req.SharedPart = standin.NarrowPrefix+"z", fmt.Sprintf("100,%d", 10*r.eventCount), "aa"
	}
	switch r.culprit {
	case deadlyPart:
		req.MoreParts = []string{string(deadlyPart)}
	case deadlyStream, deadlyBooking:
		// Its repetitions have the same content.
		req.OwnPart, req.Body = "own", deadlyBody
	}
	return req.Raw()
}

// send sends a request and stores its result.
func (c *caller) send(req *request) {
	conn := c.conns[req.router]
	if conn == nil {
		incarnation, running := req.router.currentIncarnation()
		tcpConn, err := net.DialTimeout("tcp", req.router.settings.Listen.Callers, time.Second)
		if err != nil || !running {
			req.err, req.endedAt = errors.Join(errNotSent, err), time.Now()
			return
		}
		conn = &callerConn{Conn: tcpConn, reader: bufio.NewReader(tcpConn), incarnation: incarnation}
		c.conns[req.router] = conn
	}
	req.incarnation = conn.incarnation
	c.soak.recordSent(req)
	res, reusable := conn.roundTrip(req.raw())
	c.soak.mu.Lock()
	req.result, req.endedAt = res, time.Now()
	c.soak.mu.Unlock()
	if !reusable {
		conn.Close()
		delete(c.conns, req.router)
	}
}

var errNotSent = errors.New("not sent")

// roundTrip sends a request and returns the response, and whether the connection can be reused.
func (cc *callerConn) roundTrip(request string) (res result, reusable bool) {
	// If this fails on a closed connection, the next read or write fails too.
	_ = cc.SetDeadline(time.Now().Add(callerTimeout + time.Second))
	if _, err := io.WriteString(cc, request); err != nil {
		return result{err: err}, false
	}
	response, reusable, err := standin.ReadResponse(cc.reader)
	return result{
		status: response.Status, complete: err == nil, body: response.Body, stamp: response.Stamp,
		err: err,
	}, reusable
}

// responseError describes what is wrong with a complete response of status 200. It returns an empty
// string if the response is correct.
func (r *request) responseError() string {
	switch {
	case !strings.HasSuffix(r.stamp, "."+r.id):
		return fmt.Sprintf("response has stamp %q, which does not match the request", r.stamp)
	case r.kind == bookingRequest && r.body != "POST "+standin.PlainPrefix+"x 4 bytes\n":
		return fmt.Sprintf("response body is %q", r.body)
	case r.kind == streamRequest && r.body != streamBody(r.eventCount):
		return fmt.Sprintf("body of the stream of %d events is %q", r.eventCount, r.body)
	}
	return ""
}

func streamBody(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: words of event %d\n\n", i, i)
	}
	return b.String()
}
