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
	// refusalCPUTime is the processor time for refusing one request on a kept connection, in
	// the pressure lines of flooded routers.
	refusalCPUTime = 25 * time.Microsecond
	// refusalCPUFraction is the part of the processor that refusals may take; the rest is for
	// the requests that were taken. The scheduler runs what has just arrived before
	// streams whose events have, so callers who keep coming would stop all of them.
	refusalCPUFraction = 1.0 / 3
	// refusalBurstTime is the time for which more may be refused at once.
	refusalBurstTime = 100 * time.Millisecond
)

// newRefusalLimiter returns the pace of refusals for a share of a core, in cores; 0 means that
// it is unknown, and the pace unbounded.
func newRefusalLimiter(cpuShare float64) *rate.Limiter {
	if cpuShare <= 0 {
		return nil
	}
	perSecond := cpuShare * refusalCPUFraction * float64(time.Second/time.Microsecond)
	return rate.NewLimiter(rate.Limit(perSecond), max(int(connectionRefusalCPUTime/time.Microsecond), int(perSecond*refusalBurstTime.Seconds())))
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

// deliver takes a connection back with what was read from it.
func (l *returnedListener) deliver(c net.Conn, buffered []byte) bool {
	lc, ok := c.(*limitConn)
	if !ok {
		return false
	}
	lc.buffered = buffered
	if err := lc.detectDeadPeer(); err != nil {
		return false
	}
	select {
	case l.conns <- c:
		return true
	case <-l.done:
		return false
	}
}

// refuseKeepAlive takes a connection from the HTTP server and refuses the request that came on
// it, and others after it.
func (n *node) refuseKeepAlive(w http.ResponseWriter, req *http.Request, h http.Header) bool {
	if !refuser.Keeps(req) {
		return false
	}
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	// All that is buffered can be peeked at.
	buffered, _ := rw.Reader.Peek(rw.Reader.Buffered())
	go n.callerListener.refuser.Keep(c, buffered, req.ContentLength, &refuser.Refusal{Header: h, Close: n.isShuttingDown()})
	return true
}

// checkKeepAlive refuses a request on a connection whose requests were refused before, or
// returns nil for one that may be served.
func (n *node) checkKeepAlive(req *http.Request) *refuser.Refusal {
	overload := n.relayer.Overloaded(req)
	if overload == nil {
		return nil
	}
	n.metrics.increment("requests-refused")
	n.metrics.increment("refused-" + overload.Reason)
	return n.newRefusal(&overload.Envelope, overload.Workspace, overload.Reason, true)
}

// refuseNewConnection refuses a request for which this router has no connection left: the
// next try reaches another router.
func (n *node) refuseNewConnection(req *http.Request) http.Header {
	e, err := n.relayer.Codec.DecodeRequest(req.Header)
	n.metrics.increment("caller-connections-turned-away")
	n.limiter.refused.Add(1)
	reason := "router-slow"
	if n.limiter.limit.Load() >= n.limiter.ceiling.Load() {
		reason = "router-full"
	}
	return n.newRefusal(&e, n.workspaceName(e.Key), reason, false, "err", err).Header
}

// newRefusal returns the answer to a request that is refused for the router's own sake, and
// logs it with the details.
func (n *node) newRefusal(e *relayer.Envelope, workspace, reason string, keepAlive bool, details ...any) *refuser.Refusal {
	refusal := &refuser.Refusal{Header: http.Header{}, Close: !keepAlive || n.isShuttingDown() || n.readiness.isOutOfRotation(time.Now())}
	after := n.retryAfter.randomDelay(e.Patience)
	n.relayer.Codec.EncodeRefusal(refusal.Header, e.ID, after)
	if n.refusalLog.allow() {
		n.log("request", append([]any{"request", e.ID, "outcome", "refused", "status", http.StatusServiceUnavailable, "reason", reason,
			"workspace", workspace, "prompt", e.PromptTokens, "kept", keepAlive,
			"lag-ms", time.Duration(n.limiter.lag.Load()).Milliseconds(), "limit", n.limiter.limit.Load(),
			"active", n.relayer.Active(), "retry-after-ms", after.Milliseconds()}, details...)...)
	}
	return refusal
}

// workspaceName names the workspace of a key for a log line, if it is known.
func (n *node) workspaceName(key string) string {
	c := n.watcher.Catalog()
	if c == nil || key == "" {
		return ""
	}
	if w := c.Workspace(key); w != nil {
		return w.Name
	}
	return ""
}
