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
	// balancerReactionTime is how long the load balancer may still send callers to a router
	// that is no longer ready: it checks every second and acts on the second failed check.
	balancerReactionTime = 2500 * time.Millisecond
	// exitReserve is left at the end of the grace period for the process to exit, which takes
	// some time on a slow instance.
	exitReserve = time.Second
	// answerReserve is left before that to answer the requests whose servers are still at work.
	answerReserve = 250 * time.Millisecond
	// activePollPeriod is how often the shutdown checks for active requests.
	activePollPeriod = 50 * time.Millisecond
)

func listen(address string, silenceTimeout time.Duration) (net.Listener, error) {
	ln, err := linker.ListenKeepAlive(address, silenceTimeout)
	if err != nil {
		return nil, failer.Wrap("listen", KindListen, err)
	}
	return ln, nil
}

// start opens the listeners and starts the goroutines.
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
	callers, err := linker.ListenWithoutKeepAlive(n.settings.Listen.Callers)
	if err != nil {
		return failer.Wrap("listen", KindListen, err)
	}
	if err := linker.SetBuffers(callers, callerBufferBytes(n.settings.Limits)); err != nil {
		return failer.Wrap("listen", KindListen, err)
	}
	if err := linker.SetBacklog(callers, acceptQueueLength); err != nil {
		return failer.Wrap("listen", KindListen, err)
	}
	callerListener := newLimitListener(callers, n.limiter.allowConnection, n.refuseNewConnection, func() { n.metrics.increment("caller-connections-closed") })
	n.limiter.onSample = n.handleSample
	n.limiter.onCPUTimeError = func(err error) { n.log("processor-use-unreadable", "err", err) }
	callerListener.hasCapacity = n.limiter.hasCapacity
	callerListener.port = n.screener.NewPort("callers", 0)
	callerListener.giveUpUnfinished = n.giveUpUnfinished
	if callerListener.sockets, err = refuser.NewAccepter(callers); err != nil {
		return failer.Wrap("listen", KindListen, err)
	}
	n.callerListener = callerListener
	n.returnedListener = newReturnedListener(callers.Addr())
	callerListener.refuser = &refuser.Refuser{
		Decide: n.checkKeepAlive, CPULimiter: newRefusalLimiter(n.settings.Limits.CPUShare), RefusalCost: refusalCPUTime,
		OnIdle: callerListener.idle.markIdle, OnActive: callerListener.idle.markActive, ReturnConn: n.returnedListener.deliver,
		IdleTimeout: func() time.Duration { return n.requestLimits().IdleTimeout },
	}
	n.limiter.reportOverload = func() { n.logLoad(callerListener.open.Load()) }
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	n.peerListener = n.screenPeers(peers)
	n.callerServer = newServer(n.relayer)
	n.callerServer.ConnState = callerListener.idle.setState
	n.readyServer = newServer(n.readyHandler())
	n.operatorServer = newServer(n.operatorHandler())
	n.readyServer.WriteTimeout, n.operatorServer.WriteTimeout = ownWriteTimeout, ownWriteTimeout
	go n.recorder.Run(n.done)
	go n.serve("peers", func() error { return n.messenger.Serve(n.peerListener) })
	go n.serve("ready", func() error { return n.readyServer.Serve(n.screen("ready", ready)) })
	go n.serve("operators", func() error { return n.operatorServer.Serve(n.screen("operators", operators)) })
	go n.serve("callers", func() error { return n.callerServer.Serve(callerListener) })
	go n.serve("refused-callers", func() error { return n.callerServer.Serve(n.returnedListener) })
	go n.limiter.run(ctx)
	go n.watcher.Run(ctx)
	go n.allocator.Run(ctx)
	go n.runGossip(ctx)
	go n.watchEvacuations(ctx)
	go n.keepVerdicts(ctx)
	go n.keepSettledEra(ctx)
	go n.register(ctx)
	go n.keepRegistered(ctx)
	n.log("started", "callers", n.settings.Listen.Callers, "zone", n.settings.AvailabilityZone,
		"incarnation", n.self.Incarnation, "store", n.settings.Store.Address, "memory-mb", n.settings.Limits.MemoryMB)
	return nil
}

// serve runs f and logs its error, unless the router is shutting down.
func (n *node) serve(name string, f func() error) {
	if err := f(); err != nil && !n.isShuttingDown() {
		n.log("listener-ended", "listener", name, "err", err)
	}
}

// readyHandler serves the load balancer's readiness checks.
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

// unreadyReason returns why the router is not ready, or "" if it is.
func (n *node) unreadyReason() string {
	age, confirmed := n.watcher.ConfigAge()
	switch {
	case n.isShuttingDown():
		return "shutting down"
	case n.watcher.Catalog() == nil:
		return "no configuration yet"
	case n.watcher.ServerSet() == nil:
		return "servers not read yet"
	case !n.evacuations.known():
		return "evacuated zones not read yet"
	case !confirmed || age > n.relayer.MaxConfigAge:
		return "configuration cannot be proven current"
	case n.readiness.isWithdrawn():
		return "more requests than it can serve"
	}
	return ""
}

// kill stops the router at once and cuts its connections. Tests use it to simulate a crash.
func (n *node) kill() {
	now := time.Now()
	n.shutdownStart.CompareAndSwap(nil, &now)
	n.cancel()
	n.messenger.Close()
	n.callerListener.idle.evictAll()
	for _, s := range []*http.Server{n.callerServer, n.readyServer, n.operatorServer} {
		// Close cuts open connections.
		_ = s.Close()
	}
	n.peerListener.Close()
}

// stop shuts down gracefully: the router becomes unready first, and active requests are
// finished as far as the grace period allows.
func (n *node) stop(context.Context) error {
	start := time.Now()
	n.shutdownStart.Store(&start)
	n.membership.StopOwning()
	n.log("stopping", "active", n.relayer.Active())
	_, end := n.shutdownWindow()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	defer time.AfterFunc(time.Until(end.Add(-answerReserve)), n.abort).Stop()
	pauser.Sleep(ctx, balancerReactionTime)
	for n.relayer.Active() > 0 && pauser.Sleep(ctx, activePollPeriod) {
	}
	// Idle connections are evicted first, and requests that have just arrived get time to
	// become active. Server.Shutdown would close a connection whose request was just read.
	n.callerListener.idle.evictAll()
	pauser.Sleep(ctx, activePollPeriod)
	err := n.callerServer.Shutdown(ctx)
	// Remaining connections are cut, since the platform kills the process after the grace period.
	n.log("stopped", "active", n.relayer.Active(), "took-ms", time.Since(start).Milliseconds(), "err", err)
	n.kill()
	close(n.done)
	n.recorder.Flush()
	return nil
}
