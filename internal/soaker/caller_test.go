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

// kind is a kind of request.
type kind int

const (
	booking kind = iota
	stream
)

// request is one attempt of a caller.
type request struct {
	id        string
	kind      kind
	workspace string
	key       string
	router    *process
	life      int
	events    int
	sentAt    time.Time
	endedAt   time.Time
	result
	// runs is how often servers ran it.
	runs int
}

// result is what a caller saw of its request.
type result struct {
	// status is 0 if no answer came.
	status int
	// whole says that the answer ended properly.
	whole bool
	body  string
	stamp string
	err   error
}

// callerConn is a caller's connection to one router.
type callerConn struct {
	net.Conn
	br   *bufio.Reader
	life int
}

// caller sends requests one after the other, and keeps its connections for as long
// as the routers do.
type caller struct {
	s     *soak
	rng   *rand.Rand
	conns map[*process]*callerConn
	n     int
	name  string
}

// answerTimeout is when a caller gives up.
const answerTimeout = 4 * time.Second

func (c *caller) run() {
	for !c.s.over() {
		r := c.next()
		if r == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.do(r)
		c.s.judge(r)
		pause := time.Duration(c.rng.IntN(60)) * time.Millisecond
		if r.status == http.StatusServiceUnavailable {
			pause += 100 * time.Millisecond
		}
		time.Sleep(pause)
	}
	for _, cc := range c.conns {
		cc.Close()
	}
}

// next draws a request. Most go where the balancer sends new connections, some on
// a connection that is still open, whatever became of its router.
func (c *caller) next() *request {
	p := c.s.balancer.pick(c.rng)
	if len(c.conns) > 0 && c.rng.IntN(3) > 0 {
		k := c.rng.IntN(len(c.conns))
		for q := range c.conns {
			if k == 0 {
				p = q
			}
			k--
		}
	}
	if p == nil {
		return nil
	}
	workspace, key := c.s.drawKey(c.rng)
	c.n++
	r := &request{id: fmt.Sprintf("%s-%d", c.name, c.n), workspace: workspace, key: key, router: p, kind: booking}
	if c.rng.IntN(2) == 0 {
		r.kind, r.events = stream, 1+c.rng.IntN(12)
	}
	return r
}

// text is the request as it is sent.
func (r *request) text() string {
	c := standin.Request{Path: standin.PlainPrefix + "x", ID: r.id, APIKey: r.key, Timeout: answerTimeout}
	if r.kind == stream {
		c.Path, c.TokenUsage, c.SharedPart = standin.ModelPrefix+"y", fmt.Sprintf("100,%d", 10*r.events), "aa"
	}
	return c.Raw()
}

// do sends a request and reads its answer.
func (c *caller) do(r *request) {
	cc := c.conns[r.router]
	if cc == nil {
		life, running := r.router.lives()
		conn, err := net.DialTimeout("tcp", r.router.settings.Listen.Callers, time.Second)
		if err != nil || !running {
			r.err, r.endedAt = errors.Join(errNotSent, err), time.Now()
			return
		}
		cc = &callerConn{Conn: conn, br: bufio.NewReader(conn), life: life}
		c.conns[r.router] = cc
	}
	r.life = cc.life
	c.s.register(r)
	res, keep := cc.exchange(r.text())
	c.s.mu.Lock()
	r.result, r.endedAt = res, time.Now()
	c.s.mu.Unlock()
	if !keep {
		cc.Close()
		delete(c.conns, r.router)
	}
}

var errNotSent = errors.New("not sent")

// exchange sends a request, and says whether the connection may be used again.
func (cc *callerConn) exchange(text string) (res result, keep bool) {
	// A connection that has ended fails with what is read or written next.
	_ = cc.SetDeadline(time.Now().Add(answerTimeout + time.Second))
	if _, err := io.WriteString(cc, text); err != nil {
		return result{err: err}, false
	}
	reply, keep, err := standin.ReadResponse(cc.br)
	return result{status: reply.Status, whole: err == nil, body: reply.Body, stamp: reply.Stamp, err: err}, keep
}

// wrong says what is wrong with a whole answer of success.
func (r *request) wrong() string {
	switch {
	case !strings.HasSuffix(r.stamp, "."+r.id):
		return fmt.Sprintf("the answer has the signature %q", r.stamp)
	case r.kind == booking && r.body != "POST "+standin.PlainPrefix+"x 4 bytes\n":
		return fmt.Sprintf("the answer is %q", r.body)
	case r.kind == stream && r.body != events(r.events):
		return fmt.Sprintf("the stream of %d events is %q", r.events, r.body)
	}
	return ""
}

func events(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: words of event %d\n\n", i, i)
	}
	return b.String()
}
