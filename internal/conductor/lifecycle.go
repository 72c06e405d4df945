package conductor

import (
	"context"
	"net"
	"net/http"
	"time"

	"papayapaddle/internal/failer"
	"papayapaddle/internal/linker"
	"papayapaddle/internal/pauser"
	"papayapaddle/internal/refuser"
	"papayapaddle/platform"
)

const (
	// balancerReactionTime is how long after a router stops being ready callers may still be
	// sent to it: the balancer asks each second and acts on the second miss.
	balancerReactionTime = 2500 * time.Millisecond
	// exitReserve is kept free at the end of the grace: a slow instance needs some of
	// it to exit.
	exitReserve = time.Second
	// headerTimeout bounds how long a caller may take to send a header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes unused connections of callers. It is longer than any that
	// operators configure, so that callers and not routers close them.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a caller's header.
	maxHeaderBytes = 64 << 10
	// activePollPeriod is the period of looking for requests that are still served.
	activePollPeriod = 50 * time.Millisecond
)

func listen(address string, silence time.Duration) (net.Listener, error) {
	ln, err := linker.Listen(address, silence)
	if err != nil {
		return nil, failer.Wrap("listen", KindListen, err)
	}
	return ln, nil
}

// start opens the listeners and starts the loops.
func (n *node) start(context.Context) error {
	peers, err := listen(n.settings.PeerAddress(), connSilenceTimeout)
	if err != nil {
		return err
	}
	operators, err := listen(n.settings.OperatorAddress(), callerConnSilenceTimeout)
	if err != nil {
		return err
	}
	ready, err := listen(n.settings.Listen.Ready, callerConnSilenceTimeout)
	if err != nil {
		return err
	}
	callers, err := linker.Accepting(n.settings.Listen.Callers)
	if err != nil {
		return failer.Wrap("listen", KindListen, err)
	}
	if err := linker.LimitQueue(callers, acceptQueueLength); err != nil {
		return failer.Wrap("listen", KindListen, err)
	}
	bounded := newLimitListener(callers, n.limiter.allowConnection, n.refuseNewConnection, func() { n.metrics.increment("caller-connections-closed") })
	n.limiter.onSample = n.handleSample
	n.limiter.onCPUTimeError = func(err error) { n.log("processor-use-unreadable", "err", err) }
	bounded.hasCapacity = n.limiter.hasCapacity
	if bounded.sockets, err = refuser.NewAccepter(callers); err != nil {
		return failer.Wrap("listen", KindListen, err)
	}
	n.callerListener = bounded
	n.returnedListener = newReturnedListener(callers.Addr())
	bounded.refuser = &refuser.Refuser{
		Judge: n.checkKeepAlive, Pace: newRefusalLimiter(n.settings.Limits.CPUShare), Cost: refusalCPUTime,
		Unused: bounded.idle.markIdle, Used: bounded.idle.markActive, Return: n.returnedListener.deliver,
	}
	n.limiter.reportOverload = func() { n.logLoad(bounded.open.Load()) }
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	n.peerListener = peers
	n.callerServer = newServer(n.relayer)
	n.callerServer.ConnState = bounded.idle.setState
	n.readyServer = newServer(n.readyHandler())
	n.operatorServer = newServer(n.operatorHandler())
	go n.recorder.Run(n.done)
	go n.serve("peers", func() error { return n.messenger.Serve(peers) })
	go n.serve("ready", func() error { return n.readyServer.Serve(ready) })
	go n.serve("operators", func() error { return n.operatorServer.Serve(operators) })
	go n.serve("callers", func() error { return n.callerServer.Serve(bounded) })
	go n.serve("refused-callers", func() error { return n.callerServer.Serve(n.returnedListener) })
	go n.limiter.run(ctx)
	go n.watcher.Run(ctx)
	go n.allocator.Run(ctx)
	go n.runGossip(ctx)
	go n.register(ctx)
	n.log("started", "callers", n.settings.Listen.Callers, "zone", n.settings.AvailabilityZone,
		"incarnation", n.self.Incarnation, "store", n.settings.Store.Address, "memory-mb", n.settings.Limits.MemoryMB)
	return nil
}

// serve logs why a listener ended, unless the router stops.
func (n *node) serve(name string, f func() error) {
	if err := f(); err != nil && !n.isShuttingDown() {
		n.log("listener-ended", "listener", name, "err", err)
	}
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// readyHandler answers the balancer.
func (n *node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if reason := n.unreadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// unreadyReason returns why no callers should come, or nothing.
func (n *node) unreadyReason() string {
	age, proven := n.watcher.Age()
	switch {
	case n.isShuttingDown():
		return "shutting down"
	case n.watcher.Catalog() == nil:
		return "no configuration yet"
	case n.watcher.Fleet() == nil:
		return "servers not read yet"
	case !proven || age > n.relayer.MaxAge:
		return "configuration cannot be proven current"
	case n.readiness.isWithdrawn():
		return "more requests than it can serve"
	}
	return ""
}

// kill ends the router at once, as a crash would; for tests.
func (n *node) kill() {
	now := time.Now()
	n.shutdownStart.CompareAndSwap(nil, &now)
	n.cancel()
	n.messenger.Close()
	n.callerListener.idle.evictAll()
	for _, s := range []*http.Server{n.callerServer, n.readyServer, n.operatorServer} {
		// What is open is cut.
		_ = s.Close()
	}
	n.peerListener.Close()
}

// stop shuts down gracefully: callers are turned away first, and what was read
// is finished as far as the grace allows.
func (n *node) stop(context.Context) error {
	start := time.Now()
	n.shutdownStart.Store(&start)
	n.roster.Stop()
	n.log("stopping", "active", n.relayer.Active())
	_, end := n.shutdownWindow()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	pauser.Pause(ctx, balancerReactionTime)
	for n.relayer.Active() > 0 && pauser.Pause(ctx, activePollPeriod) {
	}
	// Unused connections are closed, and what came meanwhile is finished. The library
	// would close one whose request has just been read.
	n.callerListener.idle.evictAll()
	pauser.Pause(ctx, activePollPeriod)
	err := n.callerServer.Shutdown(ctx)
	// What is still open then is cut with the process: the platform would kill it.
	n.log("stopped", "active", n.relayer.Active(), "took-ms", time.Since(start).Milliseconds(), "err", err)
	n.kill()
	close(n.done)
	n.recorder.Flush()
	return nil
}
