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
	// turnAway is how long after a router stops being ready callers may still be
	// sent to it: the balancer asks each second and acts on the second miss.
	turnAway = 2500 * time.Millisecond
	// exitMargin is kept free at the end of the grace: a slow instance needs some of
	// it to exit.
	exitMargin = time.Second
	// headerTimeout bounds how long a caller may take to send a header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes unused connections of callers. It is longer than any that
	// operators configure, so that callers and not routers close them.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a caller's header.
	maxHeaderBytes = 64 << 10
	// pollActive is the period of looking for requests that are still served.
	pollActive = 50 * time.Millisecond
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
	peers, err := listen(n.settings.PeerAddress(), silence)
	if err != nil {
		return err
	}
	operators, err := listen(n.settings.OperatorAddress(), callerSilence)
	if err != nil {
		return err
	}
	ready, err := listen(n.settings.Listen.Ready, callerSilence)
	if err != nil {
		return err
	}
	callers, err := linker.Accepting(n.settings.Listen.Callers)
	if err != nil {
		return failer.Wrap("listen", KindListen, err)
	}
	if err := linker.LimitQueue(callers, maxQueue); err != nil {
		return failer.Wrap("listen", KindListen, err)
	}
	bounded := bound(callers, n.pressure.takes, n.turnedAway, func() { n.meter.count("caller-connections-closed") })
	n.pressure.looked = n.onLook
	n.pressure.blind = func(err error) { n.log("processor-use-unreadable", "err", err) }
	bounded.room = n.pressure.room
	if bounded.sockets, err = refuser.NewAccepter(callers); err != nil {
		return failer.Wrap("listen", KindListen, err)
	}
	n.bounded = bounded
	n.returned = newReturnedListener(callers.Addr())
	bounded.refuser = &refuser.Refuser{
		Judge: n.judgeKept, Pace: refusalPace(n.settings.Limits.CPUShare), Cost: refuseCost,
		Unused: bounded.idle.wait, Used: bounded.idle.use, Return: n.returned.take,
	}
	n.pressure.report = func() { n.reportPressure(bounded.open.Load()) }
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	n.peers = peers
	n.callers = newServer(n.relayer)
	n.callers.ConnState = bounded.idle.note
	n.ready = newServer(n.readyHandler())
	n.operators = newServer(n.operatorHandler())
	go n.recorder.Run(n.done)
	go n.serve("peers", func() error { return n.messenger.Serve(peers) })
	go n.serve("ready", func() error { return n.ready.Serve(ready) })
	go n.serve("operators", func() error { return n.operators.Serve(operators) })
	go n.serve("callers", func() error { return n.callers.Serve(bounded) })
	go n.serve("refused-callers", func() error { return n.callers.Serve(n.returned) })
	go n.pressure.run(ctx)
	go n.watcher.Run(ctx)
	go n.allocator.Run(ctx)
	go n.exchangeNews(ctx)
	go n.register(ctx)
	n.log("started", "callers", n.settings.Listen.Callers, "zone", n.settings.AvailabilityZone,
		"incarnation", n.self.Incarnation, "store", n.settings.Store.Address, "memory-mb", n.settings.Limits.MemoryMB)
	return nil
}

// serve logs why a listener ended, unless the router stops.
func (n *node) serve(name string, f func() error) {
	if err := f(); err != nil && !n.isClosing() {
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
		if why := n.unready(); why != "" {
			http.Error(w, why, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// unready returns why no callers should come, or nothing.
func (n *node) unready() string {
	age, proven := n.watcher.Age()
	switch {
	case n.isClosing():
		return "shutting down"
	case n.watcher.Catalog() == nil:
		return "no configuration yet"
	case n.watcher.Fleet() == nil:
		return "servers not read yet"
	case !proven || age > n.relayer.MaxAge:
		return "configuration cannot be proven current"
	case n.backpressure.away():
		return "more requests than it can serve"
	}
	return ""
}

// kill ends the router at once, as a crash would; for tests.
func (n *node) kill() {
	now := time.Now()
	n.closingAt.CompareAndSwap(nil, &now)
	n.cancel()
	n.messenger.Close()
	n.bounded.idle.evictAll()
	for _, s := range []*http.Server{n.callers, n.ready, n.operators} {
		// What is open is cut.
		_ = s.Close()
	}
	n.peers.Close()
}

// stop shuts down gracefully: callers are turned away first, and what was read
// is finished as far as the grace allows.
func (n *node) stop(context.Context) error {
	began := time.Now()
	n.closingAt.Store(&began)
	n.roster.Stop()
	n.log("stopping", "active", n.relayer.Active())
	_, end := n.closing()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	pauser.Sleep(ctx, turnAway)
	for n.relayer.Active() > 0 && pauser.Sleep(ctx, pollActive) {
	}
	// Unused connections are closed, and what came meanwhile is finished. The library
	// would close one whose request has just been read.
	n.bounded.idle.evictAll()
	pauser.Sleep(ctx, pollActive)
	err := n.callers.Shutdown(ctx)
	// What is still open then is cut with the process: the platform would kill it.
	n.log("stopped", "active", n.relayer.Active(), "took-ms", time.Since(began).Milliseconds(), "err", err)
	n.kill()
	close(n.done)
	n.recorder.Flush()
	return nil
}
