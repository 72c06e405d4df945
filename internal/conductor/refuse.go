package conductor

import (
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"papayapaddle/internal/refuser"
	"papayapaddle/internal/relayer"
)

const (
	// refuseCost is the processor time for refusing one request on a kept connection, in
	// the pressure lines of flooded routers.
	refuseCost = 25 * time.Microsecond
	// refuseShare is the part of the processor that refusals may take; the rest is for
	// the requests that were taken. The scheduler runs what has just arrived before
	// streams whose events have, so callers who keep coming would stop all of them.
	refuseShare = 1.0 / 3
	// refuseBurst is the time for which more may be refused at once.
	refuseBurst = 100 * time.Millisecond
)

// refusalPace returns the pace of refusals for a share of a core, in cores; 0 means that
// it is unknown, and the pace unbounded.
func refusalPace(cpuShare float64) *rate.Limiter {
	if cpuShare <= 0 {
		return nil
	}
	perSecond := cpuShare * refuseShare * float64(time.Second/time.Microsecond)
	return rate.NewLimiter(rate.Limit(perSecond), max(int(turnCost/time.Microsecond), int(perSecond*refuseBurst.Seconds())))
}

// returnedListener hands on the connections that the refuser gives back.
type returnedListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newReturnedListener(addr net.Addr) *returnedListener {
	return &returnedListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept returns the next connection.
func (l *returnedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *returnedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns the address for callers.
func (l *returnedListener) Addr() net.Addr { return l.addr }

// take takes a connection back with what was read from it.
func (l *returnedListener) take(c net.Conn, read []byte) bool {
	b, ok := c.(*boundedConn)
	if !ok {
		return false
	}
	b.read = read
	if err := b.probe(); err != nil {
		return false
	}
	select {
	case l.conns <- c:
		return true
	case <-l.done:
		return false
	}
}

// refuseKept takes a connection from the HTTP server and refuses the request that came on
// it, and others after it.
func (n *node) refuseKept(w http.ResponseWriter, req *http.Request, h http.Header) bool {
	if !refuser.Keeps(req) {
		return false
	}
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	// All that is buffered can be peeked at.
	read, _ := rw.Reader.Peek(rw.Reader.Buffered())
	go n.bounded.refuser.Keep(c, read, req.ContentLength, &refuser.Refusal{Header: h, Close: n.isClosing()})
	return true
}

// judgeKept refuses a request on a connection whose requests were refused before, or
// returns nil for one that may be served.
func (n *node) judgeKept(req *http.Request) *refuser.Refusal {
	o := n.relayer.Overloaded(req)
	if o == nil {
		return nil
	}
	n.meter.count("requests-refused")
	n.meter.count("refused-" + o.Reason)
	return n.refusal(&o.Envelope, o.Workspace, o.Reason, true)
}

// turnedAway refuses a request for which this router has no connection left: the
// next try reaches another router.
func (n *node) turnedAway(req *http.Request) http.Header {
	e, err := n.relayer.Codec.DecodeRequest(req.Header)
	n.meter.count("caller-connections-turned-away")
	n.pressure.refused.Add(1)
	reason := "router-slow"
	if n.pressure.limit.Load() >= n.pressure.most.Load() {
		reason = "router-full"
	}
	return n.refusal(&e, n.workspaceOf(e.Key), reason, false, "err", err).Header
}

// refusal returns the answer to a request that is refused for the router's own sake, and
// logs it with the details.
func (n *node) refusal(e *relayer.Envelope, workspace, reason string, kept bool, details ...any) *refuser.Refusal {
	f := &refuser.Refusal{Header: http.Header{}, Close: !kept || n.isClosing() || n.backpressure.left(time.Now())}
	after := n.comeback.retryAfter(e.Patience)
	n.relayer.Codec.EncodeRefusal(f.Header, e.ID, after)
	if n.refusals.allow() {
		n.log("request", append([]any{"request", e.ID, "outcome", "refused", "status", http.StatusServiceUnavailable, "reason", reason,
			"workspace", workspace, "prompt", e.PromptTokens, "kept", kept,
			"lag-ms", time.Duration(n.pressure.lag.Load()).Milliseconds(), "limit", n.pressure.limit.Load(),
			"active", n.relayer.Active(), "retry-after-ms", after.Milliseconds()}, details...)...)
	}
	return f
}

// workspaceOf names the workspace of a key for a log line, if it is known.
func (n *node) workspaceOf(key string) string {
	c := n.watcher.Catalog()
	if c == nil || key == "" {
		return ""
	}
	if w := c.WorkspaceByKey(key); w != nil {
		return w.Name
	}
	return ""
}
