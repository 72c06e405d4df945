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
	// refusalCPUTime is the CPU time for refusing one request on a keep-alive connection.
	refusalCPUTime = 25 * time.Microsecond
	// refusalCPUFraction is the fraction of the CPU share that refusals may use. The rest is for
	// accepted requests. The Go scheduler runs new arrivals before streams whose events have
	// arrived, so a steady flow of refusals without this limit would stop all streams.
	refusalCPUFraction = 1.0 / 3
	// refusalBurstTime is the burst of the refusal limiter, as a time at its rate.
	refusalBurstTime = 100 * time.Millisecond
)

// newRefusalLimiter returns a limiter of the CPU time for refusals, in microseconds. cpuShare is
// the CPU share of the router in cores; if it is 0, it is unknown, and the limiter is nil, so that
// refusals are not limited.
func newRefusalLimiter(cpuShare float64) *rate.Limiter {
	if cpuShare <= 0 {
		return nil
	}
	perSecond := cpuShare * refusalCPUFraction * float64(time.Second/time.Microsecond)
	return rate.NewLimiter(rate.Limit(perSecond), max(int(connectionRefusalCPUTime/time.Microsecond), int(perSecond*refusalBurstTime.Seconds())))
}

// returnedListener accepts the connections that the refuser returns to the HTTP server.
type returnedListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newReturnedListener(addr net.Addr) *returnedListener {
	return &returnedListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept returns the next returned connection.
func (l *returnedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener.
func (l *returnedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns the address that callers connect to.
func (l *returnedListener) Addr() net.Addr { return l.addr }

// deliver passes a connection to Accept, with the data that was already read from it. It
// reports false if the connection could not be passed on.
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

// refuseKeepAlive hijacks the connection of a request from the HTTP server and lets the refuser
// refuse this request and later ones on the connection. It reports false if it cannot do so.
func (n *node) refuseKeepAlive(w http.ResponseWriter, req *http.Request, h http.Header) bool {
	if !refuser.CanKeepAlive(req) {
		return false
	}
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	// Peek never fails for data that is already buffered.
	buffered, _ := rw.Reader.Peek(rw.Reader.Buffered())
	if lc, ok := c.(*limitConn); ok {
		lc.beginRefusal()
	}
	go n.callerListener.refuser.RefuseKeepAlive(c, buffered, req.ContentLength, &refuser.Refusal{Header: h, Close: n.isShuttingDown()})
	return true
}

// checkKeepAlive returns the refusal of a request on a connection with earlier refusals, or nil
// if the request can be served.
func (n *node) checkKeepAlive(req *http.Request) *refuser.Refusal {
	overload := n.relayer.CheckOverload(req)
	if overload == nil {
		return nil
	}
	n.metrics.increment("requests-refused")
	n.metrics.increment("refused-" + overload.Reason)
	return n.newRefusal(&overload.RequestInfo, overload.Workspace, overload.Reason, true)
}

// refuseNewConnection returns the header of the refusal of a request on a connection beyond the
// limit. The connection is then closed, so that the retry reaches another router.
func (n *node) refuseNewConnection(req *http.Request) http.Header {
	request, err := n.relayer.Codec.DecodeRequest(req.Header)
	n.metrics.increment("caller-connections-turned-away")
	n.limiter.refused.Add(1)
	reason := "router-slow"
	if n.limiter.limit.Load() >= n.limiter.ceiling.Load() {
		reason = "router-full"
	}
	return n.newRefusal(&request, n.workspaceName(request.APIKey), reason, false, "err", err).Header
}

// newRefusal returns the response to a request that is refused because of overload, and logs it
// with the details.
func (n *node) newRefusal(request *relayer.RequestInfo, workspace, reason string, keepAlive bool, details ...any) *refuser.Refusal {
	refusal := &refuser.Refusal{Header: http.Header{}, Close: !keepAlive || n.isShuttingDown() || n.readiness.isOutOfRotation(time.Now())}
	retryAfter := n.retryAfter.randomDelay(request.CallerTimeout)
	n.relayer.Codec.EncodeRefusal(refusal.Header, request.ID, retryAfter)
	if n.refusalLog.allow() {
		n.log("request", append([]any{"request", request.ID, "outcome", "refused", "status", http.StatusServiceUnavailable, "reason", reason,
			"workspace", workspace, "prompt", request.PromptTokens, "kept", keepAlive,
			"lag-ms", time.Duration(n.limiter.lag.Load()).Milliseconds(), "limit", n.limiter.limit.Load(),
			"active", n.relayer.Active(), "retry-after-ms", retryAfter.Milliseconds()}, details...)...)
	}
	return refusal
}

// workspaceName returns the name of a key's workspace for a log line, or "" if it is unknown.
func (n *node) workspaceName(key string) string {
	c := n.watcher.Catalog()
	if c == nil || key == "" {
		return ""
	}
	if w := c.WorkspaceByKey(key); w != nil {
		return w.Name
	}
	return ""
}
