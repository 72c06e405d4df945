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

// histogramSamples is the reservoir size of a histogram.
const histogramSamples = 1028

// histogramAlpha is the exponential decay factor of a histogram's reservoir, which favors newer
// samples.
const histogramAlpha = 0.015

// holderName identifies a router process as the holder of claims.
func holderName(router string, incarnation uint64) string {
	return router + "@" + strconv.FormatUint(incarnation, 10)
}

// isHolderAlive reports whether the holder of a claim may still be running. A router that was never
// reached is assumed to be alive.
func (n *node) isHolderAlive(holder string) bool {
	router, incarnation, _ := strings.Cut(holder, "@")
	if router == n.settings.Name {
		return incarnation == strconv.FormatUint(n.incarnation, 10)
	}
	current := n.exchanger.PeerIncarnation(router)
	return current == 0 || incarnation == strconv.FormatUint(current, 10)
}

func (n *node) newRequestID() string {
	return n.settings.Name + "-" + strconv.FormatUint(n.incarnation, 36) + "-" + strconv.FormatUint(n.lastRequestID.Add(1), 36)
}

// checkReady returns an error that says why the load balancer should not send requests, or nil.
func (n *node) checkReady() error {
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

// listen opens a TCP listener and returns it with its TLS configuration, which is nil without TLS.
func listen(settings configurer.Listener) (net.Listener, *tls.Config, error) {
	tlsConfig, err := settings.TLS.ServerConfig()
	if err != nil {
		return nil, nil, err
	}
	ln, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return nil, nil, failer.Wrap("listen", KindListen, err)
	}
	return ln, tlsConfig, nil
}

func withTLS(ln net.Listener, tlsConfig *tls.Config) net.Listener {
	if tlsConfig == nil {
		return ln
	}
	return tls.NewListener(ln, tlsConfig)
}

// start opens the listeners and starts the background goroutines.
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
	if n.options.ControlTraffic != nil {
		peers = linker.CountListener(peers, n.options.ControlTraffic)
	}
	context.AfterFunc(ctx, func() { peers.Close() })
	n.requestsCtx, n.abortRequests = context.WithCancel(context.Background())
	n.callerServer = newHTTPServer(n.acceptor.Handler())
	n.callerServer.BaseContext = func(net.Listener) context.Context { return n.requestsCtx }
	n.operatorServer = newHTTPServer(n.operatorHandler())
	go n.exchanger.Serve(withTLS(peers, peersTLS))
	go n.operatorServer.Serve(withTLS(operators, operatorsTLS))
	go n.callerServer.Serve(withTLS(callers, callersTLS))
	go n.scheduler.Run(ctx)
	go n.pollList(ctx)
	reader := installer.Reader{Store: n.storeClient, Installer: n.installer, OnSync: n.onConfigSync, Wake: n.wakeReader}
	go reader.Run(ctx)
	n.log("started", "callers", n.settings.Callers.Address, "peers", n.settings.Peers.Address, "incarnation", n.incarnation)
	return nil
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: acceptor.HeaderTimeout,
		MaxHeaderBytes:    acceptor.MaxHeaderBytes,
	}
}

func (n *node) onConfigSync(err error) {
	if err != nil {
		n.log("config-read-failed", "err", err)
		return
	}
	n.tracker.RecordStoreContact()
}

// pollList updates the tracker from the platform's instance list until the context is done.
func (n *node) pollList(ctx context.Context) {
	var knownVersion uint64
	for {
		list, err := n.listClient.ListInstances(ctx, knownVersion)
		switch {
		case err != nil:
			if ctx.Err() == nil {
				n.log("list-read-failed", "err", err)
			}
		case list.Version > knownVersion:
			knownVersion = list.Version
			n.tracker.SetList(list)
		}
		if !pauser.Sleep(ctx, listInterval) {
			return
		}
	}
}

// stop shuts down gracefully; see Router.Stop.
func (n *node) stop(context.Context) error {
	ctx := n.stopCtx
	n.log("stopping", "active", n.acceptor.ActiveRequests())
	n.draining.Store(true)
	n.tracker.SetStopping()
	for peer := range n.tracker.Dump().Peers {
		n.exchanger.WakePeer(peer)
	}
	pauser.Sleep(ctx, time.Duration(n.settings.BalancerDelay))
	err := n.callerServer.Shutdown(ctx)
	if err != nil {
		n.abortRequests()
		abortCtx, cancel := context.WithTimeout(context.Background(), abortTimeout)
		defer cancel()
		// Connections of callers that have not received a response by then are closed.
		_ = n.callerServer.Shutdown(abortCtx)
	}
	n.drainAndClose(ctx)
	n.log("stopped", "err", err)
	return err
}

// drainAndClose waits until responses are recorded in the background, and then closes the router.
func (n *node) drainAndClose(ctx context.Context) {
	recorded := make(chan struct{})
	go func() {
		n.dispatcher.Wait()
		close(recorded)
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
	}
	// Allow one more message exchange, so that owners learn of the slots released last.
	pauser.Sleep(ctx, 2*scheduler.MaxBatchDelay)
	n.kill()
}

func (n *node) kill() {
	if n.cancel == nil {
		return
	}
	n.draining.Store(true)
	n.cancel()
	n.abortRequests()
	n.callerServer.Close()
	n.operatorServer.Close()
	n.exchanger.Close()
	n.forwarder.Close()
}

// observeResult updates the metrics for the result of a request.
func (n *node) observeResult(result dispatcher.Result, duration time.Duration) {
	metrics.GetOrRegisterCounter("requests."+string(result.Outcome), n.metrics).Inc(1)
	metrics.GetOrRegisterCounter("retries", n.metrics).Inc(int64(max(0, result.Attempts-1)))
	metrics.GetOrRegisterCounter("stream-resumes", n.metrics).Inc(int64(result.Stats.Resumes))
	if result.Replayed {
		metrics.GetOrRegisterCounter("replayed", n.metrics).Inc(1)
	}
	n.histogram("request-millis").Update(duration.Milliseconds())
	n.histogram("waited-millis").Update(result.SlotWait.Milliseconds())
	if result.Stats.TimeToFirstToken > 0 {
		n.histogram("first-token-millis").Update(result.Stats.TimeToFirstToken.Milliseconds())
	}
}

func (n *node) histogram(name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, n.metrics, metrics.NewExpDecaySample(histogramSamples, histogramAlpha))
}

// updateGauges sets all gauges to their current values.
func (n *node) updateGauges() {
	requests, bytes, held := n.scheduler.Load()
	setGauge := func(name string, value int64) { metrics.GetOrRegisterGauge(name, n.metrics).Update(value) }
	setGauge("waiting-requests", int64(requests))
	setGauge("waiting-bytes", int64(bytes))
	setGauge("held-slots", int64(held))
	setGauge("active-requests", n.acceptor.ActiveRequests())
	setGauge("config-version", int64(n.installer.Version()))
}

// State is a snapshot of a router's state for operators. It contains no secrets.
type State struct {
	Router      string `json:"router"`
	Incarnation uint64 `json:"incarnation"`
	// Ready is "yes" or the reason why the router is not ready.
	Ready          string          `json:"ready"`
	ConfigVersion  uint64          `json:"config-version"`
	WorkspaceCount int             `json:"workspaces"`
	ActiveRequests int64           `json:"active-requests"`
	View           tracker.State   `json:"view"`
	Scheduling     scheduler.State `json:"scheduling"`
	// PendingClaims holds the row keys of the claims in flight by request ID.
	PendingClaims map[string]string `json:"claims-in-flight"`
}

func (n *node) dump() State {
	s := State{
		Router: n.settings.Name, Incarnation: n.incarnation, Ready: "yes",
		ConfigVersion: n.installer.Version(), WorkspaceCount: n.installer.Config().WorkspaceCount(),
		ActiveRequests: n.acceptor.ActiveRequests(), View: n.tracker.Dump(), Scheduling: n.scheduler.Dump(), PendingClaims: n.dispatcher.PendingClaims(),
	}
	if err := n.checkReady(); err != nil {
		s.Ready = err.Error()
	}
	return s
}

// operatorHandler serves the dump and the metrics to clients that send the operator token.
func (n *node) operatorHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		e.Encode(n.dump())
	}).Methods(http.MethodGet)
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.updateGauges()
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(n.metrics, w)
	}).Methods(http.MethodGet)
	r.Use(n.requireToken)
	return r
}

// requireToken rejects requests without the operator token.
func (n *node) requireToken(next http.Handler) http.Handler {
	expected := []byte("Bearer " + n.settings.OperatorToken)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), expected) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			w.WriteHeader(http.StatusUnauthorized)
			io.WriteString(w, "the operators' token is missing or wrong\n")
			return
		}
		next.ServeHTTP(w, r)
	})
}
