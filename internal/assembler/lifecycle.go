package assembler

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"papayapaddle/internal/acceptor"
	"papayapaddle/internal/configurer"
	"papayapaddle/internal/dispatcher"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/installer"
	"papayapaddle/internal/linker"
	"papayapaddle/internal/pauser"
	"papayapaddle/internal/scheduler"
	"papayapaddle/internal/tracker"
)

// histogramReserve is the number of samples that a histogram keeps.
const histogramReserve = 1028

// histogramAlpha weighs newer samples more; see the library.
const histogramAlpha = 0.015

func holderName(router string, incarnation uint64) string {
	return router + "@" + strconv.FormatUint(incarnation, 10)
}

// alive says whether the holder of a claim is known to run. A router that was
// never reached is taken for alive.
func (n *node) alive(holder string) bool {
	router, inc, _ := strings.Cut(holder, "@")
	if router == n.settings.Name {
		return inc == strconv.FormatUint(n.incarnation, 10)
	}
	known := n.exchanger.PeerIncarnation(router)
	return known == 0 || inc == strconv.FormatUint(known, 10)
}

func (n *node) newID() string {
	return n.settings.Name + "-" + strconv.FormatUint(n.incarnation, 36) + "-" + strconv.FormatUint(n.ids.Add(1), 36)
}

// ready returns why the balancer should send no callers.
func (n *node) ready() error {
	switch {
	case n.draining.Load():
		return failer.New("ready", KindNotReady, "shutting down")
	case n.installer.Version() == 0:
		return failer.New("ready", KindNotReady, "no configuration yet")
	case !n.tracker.HasList():
		return failer.New("ready", KindNotReady, "the platform's list was not read yet")
	case !n.tracker.IsConfigCurrent(time.Now()):
		return failer.New("ready", KindNotReady, "neither the store nor a peer was heard lately")
	}
	return nil
}

// listen opens a listener with its TLS.
func listen(l configurer.Listener) (net.Listener, *tls.Config, error) {
	tc, err := l.TLS.ServerConfig()
	if err != nil {
		return nil, nil, err
	}
	ln, err := net.Listen("tcp", l.Address)
	if err != nil {
		return nil, nil, failer.Wrap("listen", KindListen, err)
	}
	return ln, tc, nil
}

func secured(ln net.Listener, tc *tls.Config) net.Listener {
	if tc == nil {
		return ln
	}
	return tls.NewListener(ln, tc)
}

// start opens the listeners and starts the loops.
func (n *node) start(context.Context) error {
	peers, peersTLS, err := listen(n.settings.Peers)
	if err != nil {
		return err
	}
	operators, operatorsTLS, err := listen(n.settings.Operators)
	if err != nil {
		peers.Close()
		return err
	}
	callers, callersTLS, err := listen(n.settings.Callers)
	if err != nil {
		peers.Close()
		operators.Close()
		return err
	}
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	if n.options.Control != nil {
		peers = linker.CountListener(peers, n.options.Control)
	}
	context.AfterFunc(ctx, func() { peers.Close() })
	n.requests, n.abort = context.WithCancel(context.Background())
	n.callers = newServer(n.acceptor.Handler())
	n.callers.BaseContext = func(net.Listener) context.Context { return n.requests }
	n.operators = newServer(n.operatorHandler())
	go n.exchanger.Serve(secured(peers, peersTLS))
	go n.operators.Serve(secured(operators, operatorsTLS))
	go n.callers.Serve(secured(callers, callersTLS))
	go n.scheduler.Run(ctx)
	go n.readList(ctx)
	reader := installer.Reader{Store: n.store, Installer: n.installer, OnSync: n.onRead, Wake: n.kick}
	go reader.Run(ctx)
	n.log("started", "callers", n.settings.Callers.Address, "peers", n.settings.Peers.Address, "incarnation", n.incarnation)
	return nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: acceptor.HeaderTimeout,
		MaxHeaderBytes:    acceptor.MaxHeaderBytes,
	}
}

func (n *node) onRead(err error) {
	if err != nil {
		n.log("config-read-failed", "err", err)
		return
	}
	n.tracker.RecordStoreContact()
}

// readList keeps the tracker up to date with the platform's list.
func (n *node) readList(ctx context.Context) {
	var known uint64
	for {
		l, err := n.list.ListInstances(ctx, known)
		switch {
		case err != nil:
			if ctx.Err() == nil {
				n.log("list-read-failed", "err", err)
			}
		case l.Version > known:
			known = l.Version
			n.tracker.SetList(l)
		}
		if !pauser.Sleep(ctx, listEvery) {
			return
		}
	}
}

// stop shuts down gracefully.
func (n *node) stop(context.Context) error {
	ctx := n.stopping
	n.log("stopping", "active", n.acceptor.ActiveRequests())
	n.draining.Store(true)
	n.tracker.SetStopping()
	for peer := range n.tracker.Dump().Peers {
		n.exchanger.WakePeer(peer)
	}
	pauser.Sleep(ctx, time.Duration(n.settings.BalancerDelay))
	err := n.callers.Shutdown(ctx)
	if err != nil {
		n.abort()
		short, cancel := context.WithTimeout(context.Background(), abortWait)
		defer cancel()
		// Callers who are not told by then see their connection cut.
		_ = n.callers.Shutdown(short)
	}
	n.finish(ctx)
	n.log("stopped", "err", err)
	return err
}

// finish waits for what is recorded in the background, and closes.
func (n *node) finish(ctx context.Context) {
	recorded := make(chan struct{})
	go func() {
		n.dispatch.Wait()
		close(recorded)
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
	}
	// One more exchange tells the owners of the last released slots.
	pauser.Sleep(ctx, 2*scheduler.MaxBatchDelay)
	n.kill()
}

func (n *node) kill() {
	if n.cancel == nil {
		return
	}
	n.draining.Store(true)
	n.cancel()
	n.abort()
	n.callers.Close()
	n.operators.Close()
	n.exchanger.Close()
	n.forwarder.Close()
}

// observe counts a result.
func (n *node) observe(res dispatcher.Result, took time.Duration) {
	metrics.GetOrRegisterCounter("requests."+string(res.Outcome), n.metrics).Inc(1)
	metrics.GetOrRegisterCounter("retries", n.metrics).Inc(int64(max(0, res.Attempts-1)))
	metrics.GetOrRegisterCounter("stream-resumes", n.metrics).Inc(int64(res.Stats.Resumes))
	if res.Replayed {
		metrics.GetOrRegisterCounter("replayed", n.metrics).Inc(1)
	}
	n.histogram("request-millis").Update(took.Milliseconds())
	n.histogram("waited-millis").Update(res.SlotWait.Milliseconds())
	if res.Stats.TimeToFirstToken > 0 {
		n.histogram("first-token-millis").Update(res.Stats.TimeToFirstToken.Milliseconds())
	}
}

func (n *node) histogram(name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, n.metrics, metrics.NewExpDecaySample(histogramReserve, histogramAlpha))
}

// gauges brings the gauges up to date.
func (n *node) gauges() {
	requests, bytes, held := n.scheduler.Load()
	gauge := func(name string, v int64) { metrics.GetOrRegisterGauge(name, n.metrics).Update(v) }
	gauge("waiting-requests", int64(requests))
	gauge("waiting-bytes", int64(bytes))
	gauge("held-slots", int64(held))
	gauge("active-requests", n.acceptor.ActiveRequests())
	gauge("config-version", int64(n.installer.Version()))
}

// State is a dump of a router. It holds no secret.
type State struct {
	Router        string            `json:"router"`
	Incarnation   uint64            `json:"incarnation"`
	Ready         string            `json:"ready"`
	ConfigVersion uint64            `json:"config-version"`
	Workspaces    int               `json:"workspaces"`
	Active        int64             `json:"active-requests"`
	View          tracker.State     `json:"view"`
	Scheduling    scheduler.State   `json:"scheduling"`
	Claims        map[string]string `json:"claims-in-flight"`
}

func (n *node) dump() State {
	s := State{
		Router: n.settings.Name, Incarnation: n.incarnation, Ready: "yes",
		ConfigVersion: n.installer.Version(), Workspaces: n.installer.Config().WorkspaceCount(),
		Active: n.acceptor.ActiveRequests(), View: n.tracker.Dump(), Scheduling: n.scheduler.Dump(), Claims: n.dispatch.PendingClaims(),
	}
	if err := n.ready(); err != nil {
		s.Ready = err.Error()
	}
	return s
}

// operatorHandler serves the operators behind their token.
func (n *node) operatorHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		e.Encode(n.dump())
	}).Methods(http.MethodGet)
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.gauges()
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(n.metrics, w)
	}).Methods(http.MethodGet)
	r.Use(n.guard)
	return r
}

func (n *node) guard(next http.Handler) http.Handler {
	want := []byte("Bearer " + n.settings.OperatorToken)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			w.WriteHeader(http.StatusUnauthorized)
			io.WriteString(w, "the operators' token is missing or wrong\n")
			return
		}
		next.ServeHTTP(w, r)
	})
}
