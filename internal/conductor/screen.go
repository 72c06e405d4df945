package conductor

import (
	"net"
	"net/http"
	"time"

	"papayapaddle/internal/screener"
	"papayapaddle/platform"
)

// Limits for clients that the configuration does not set.
const (
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultMaxHeaderBytes = 64 << 10
	// ownWriteTimeout limits the time to write a response on the ready and operator ports.
	ownWriteTimeout = 10 * time.Second
	// maxHeaderBytes is what the HTTP server takes at most, whatever the configuration says.
	maxHeaderBytes = 1 << 20
)

const (
	// unfinishedMemoryFraction is the fraction of the memory for request heads and messages of peers that are
	// incomplete. Their garbage takes as much again, and bodies and connections have most of the memory.
	unfinishedMemoryFraction = 1.0 / 16
	// minUnfinishedTime is how long a request must have been unfinished before it may be given up in favor of a new
	// connection. Ordinary clients send a request within milliseconds.
	minUnfinishedTime = 500 * time.Millisecond
	// minUnreadTime is the same for a client that does not read its response. The window of a sound connection moves
	// on after a retransmission, which takes some hundred milliseconds.
	minUnreadTime = 2 * time.Second
	// maxProbeConns limits the connections of the load balancer's checks, and maxOperatorConns those of operators.
	maxProbeConns    = 32
	maxOperatorConns = 32
	// Each router keeps one connection to each of those that it calls. peerDescriptorFraction of the descriptors
	// exceeds the number of routers in a fleet, and minPeerConns does so in a small one.
	peerDescriptorFraction = 0.25
	minPeerConns           = 64
	maxPeerConns           = 1024
)

const (
	// callerBufferFraction and serverBufferFraction are the fractions of the memory that the kernel may buffer, in each
	// direction, for a connection of a caller and one to a server. Without a limit it buffers several megabytes for a
	// connection whose other side reads slowly.
	callerBufferFraction = 1.0 / 2048
	serverBufferFraction = 1.0 / 1024
	// minBufferBytes keeps a connection over 8 ms, as between zones, at 4 MB a second at least, and maxBufferBytes at 64.
	minBufferBytes = 32 << 10
	maxBufferBytes = 512 << 10
)

// callerBufferBytes returns what the kernel may buffer for a caller's connection in each direction.
func callerBufferBytes(r platform.ResourceLimits) int { return bufferBytes(r, callerBufferFraction) }

// serverBufferBytes returns the same for a connection to a server.
func serverBufferBytes(r platform.ResourceLimits) int { return bufferBytes(r, serverBufferFraction) }

func bufferBytes(r platform.ResourceLimits, fraction float64) int {
	return min(max(int(float64(r.MemoryMB<<20)*fraction), minBufferBytes), maxBufferBytes)
}

// requestLimits returns the operators' limits for clients.
func (n *node) requestLimits() screener.Limits {
	limits := screener.Limits{MaxHeaderBytes: defaultMaxHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	catalog := n.watcher.Catalog()
	if catalog == nil {
		return limits
	}
	configured := catalog.Limits
	if configured.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = min(configured.MaxHeaderBytes, maxHeaderBytes)
	}
	if configured.HeaderTimeout > 0 {
		limits.HeaderTimeout = configured.HeaderTimeout
	}
	if configured.IdleTimeout > 0 {
		limits.IdleTimeout = configured.IdleTimeout
	}
	return limits
}

func (n *node) newScreener() *screener.Screener {
	return &screener.Screener{
		MaxBytes: int64(float64(n.settings.Limits.MemoryMB<<20) * unfinishedMemoryFraction),
		Limits:   n.requestLimits,
		OnGiveUp: func(port, reason string) {
			n.metrics.increment("given-up-" + port + "-" + reason)
			if n.screenLog.allow() {
				n.log("connection-given-up", "port", port, "reason", reason, "unlogged", n.screenLog.suppressed.Load())
			}
		},
	}
}

// screen applies the limits to the connections of an HTTP listener.
func (n *node) screen(name string, ln net.Listener) net.Listener {
	maxConns := maxOperatorConns
	if name == "ready" {
		maxConns = maxProbeConns
	}
	return &screener.Listener{Listener: ln, Port: n.screener.NewPort(name, maxConns)}
}

// screenPeers applies the limits to the connections of peers.
func (n *node) screenPeers(ln net.Listener) net.Listener {
	maxConns := min(max(int(float64(n.settings.Limits.MaxDescriptors)*peerDescriptorFraction), minPeerConns), maxPeerConns)
	// A message may take the whole budget, since a peer that has lost an owner reports all its requests at once.
	return &screener.Listener{Listener: ln, Port: n.screener.NewMessagePort("peers", maxConns, n.screener.MaxBytes)}
}

// giveUpUnfinished ends the caller's request that has been unfinished for the longest, head or body, in favor of a
// new connection, or else the response whose client has not read for the longest. It reports false if there is none
// that has been so for minUnfinishedTime or minUnreadTime.
func (n *node) giveUpUnfinished(now time.Time) bool {
	headSince, hasHead := n.callerListener.port.UnfinishedSince()
	bodySince, hasBody := n.relayer.BodyBudget.UnfinishedSince()
	hasHead = hasHead && now.Sub(headSince) >= minUnfinishedTime
	hasBody = hasBody && now.Sub(bodySince) >= minUnfinishedTime
	switch {
	case hasHead && !(hasBody && bodySince.Before(headSince)):
		return n.callerListener.port.GiveUpOldest()
	case hasBody:
		n.metrics.increment("given-up-callers-body")
		return n.relayer.BodyBudget.GiveUpOldest()
	}
	return n.relayer.ResponseBudget.CutSlowest(now, minUnreadTime)
}

// newServer returns an HTTP server whose connections have the limits of a screener.Conn. The timeouts apply to
// connections without one, as in tests.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: func(c net.Conn, state http.ConnState) {
			if screened, ok := c.(*screener.Conn); ok {
				screened.SetState(state)
			}
		},
	}
}
