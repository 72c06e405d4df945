// Package assembler builds a router process from the other packages, and starts and stops its
// components in order. docs/DESIGN.md shows the request pipeline. Package conductor builds the
// router for the users' platform.
package assembler

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"golang.org/x/time/rate"

	"papayapaddle/internal/acceptor"
	"papayapaddle/internal/claimer"
	"papayapaddle/internal/configurer"
	"papayapaddle/internal/connector"
	"papayapaddle/internal/declarer"
	"papayapaddle/internal/dispatcher"
	"papayapaddle/internal/exchanger"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/forwarder"
	"papayapaddle/internal/installer"
	"papayapaddle/internal/linker"
	"papayapaddle/internal/queuer"
	"papayapaddle/internal/scheduler"
	"papayapaddle/internal/tracker"
	"papayapaddle/internal/validator"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	KindListen   Kind = "cannot listen"
	KindNotReady Kind = "not ready"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// listInterval is the delay between reads of the platform's instance list.
	listInterval = 2500 * time.Millisecond
	// stopTimeout bounds a graceful shutdown. It exceeds the longest request timeout.
	stopTimeout = 70 * time.Minute
	// abortTimeout bounds the sending of responses to aborted requests.
	abortTimeout = 2 * time.Second
	// startTimeout bounds the startup.
	startTimeout = 15 * time.Second
)

// Options configures a router. Zero optional fields select the production behavior.
type Options struct {
	Settings configurer.Settings
	Logger   log.Logger
	// Dial opens connections to peers, the platform and backend servers. Nil uses a net.Dialer.
	Dial linker.DialFunc
	// ControlTraffic, if not nil, counts the bytes on peer and platform connections.
	ControlTraffic *linker.ByteCounter
	// Baseline selects the baseline policy, in which routers do not coordinate, for comparison.
	Baseline bool
}

// Router is a router process.
type Router struct {
	app  *fx.App
	node *node
}

// node holds the components and the state of a router.
type node struct {
	options     Options
	settings    configurer.Settings
	incarnation uint64
	logger      log.Logger

	storeClient *connector.Client
	listClient  *connector.Client
	installer   *installer.Installer
	tracker     *tracker.Tracker
	scheduler   *scheduler.Scheduler
	baseline    *scheduler.FIFO
	exchanger   *exchanger.Exchanger
	gossip      *gossip
	claimer     *claimer.Claimer
	forwarder   *forwarder.Forwarder
	dispatcher  *dispatcher.Dispatcher
	acceptor    *acceptor.Acceptor
	metrics     metrics.Registry

	callerServer   *http.Server
	operatorServer *http.Server
	// wakeReader makes the configuration reader sync with the store immediately.
	wakeReader chan struct{}
	draining   atomic.Bool
	cancel     context.CancelFunc
	// stopCtx bounds the wait for open requests during shutdown.
	stopCtx context.Context
	// requestsCtx is the parent of all request contexts; abortRequests cancels it.
	requestsCtx   context.Context
	abortRequests context.CancelFunc
	lastRequestID atomic.Uint64
}

// New builds a router. It does not run until Start is called.
func New(o Options) *Router {
	var n *node
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
		fx.Supply(o),
		fx.Provide(
			newNode,
			newPlatform,
			newInstaller,
			newTracker,
			newScheduler,
			newExchanger,
			newClaimer,
			newForwarder,
			newDispatcher,
			newAcceptor,
		),
		fx.Invoke(connectComponents, registerHooks),
		fx.Populate(&n),
	)
	return &Router{app: app, node: n}
}

// Err returns the error with which New failed, if any.
func (r *Router) Err() error { return r.app.Err() }

// Start opens the listeners and starts all components.
func (r *Router) Start(ctx context.Context) error { return r.app.Start(ctx) }

// Stop shuts down gracefully: it waits until all accepted requests have completed. Once the context
// is done, it aborts the open ones, whose callers receive the outcome known so far.
func (r *Router) Stop(ctx context.Context) error {
	// fx would return as soon as its context is done, without waiting for the hooks. So only the
	// hook gets the context.
	r.node.stopCtx = ctx
	return r.app.Stop(context.WithoutCancel(ctx))
}

// Kill stops the router immediately, simulating a crash. Experiments use it.
func (r *Router) Kill() { r.node.kill() }

// CheckReady returns an error that says why the router is not ready, or nil.
func (r *Router) CheckReady() error { return r.node.checkReady() }

// WaitingRequests returns the number of requests waiting for a slot.
func (r *Router) WaitingRequests() int {
	if r.node.baseline != nil {
		return r.node.baseline.Waiting()
	}
	n, _, _ := r.node.scheduler.Load()
	return n
}

// ConfigVersion returns the version of the installed configuration.
func (r *Router) ConfigVersion() uint64 { return r.node.installer.Version() }

// Dump returns the state of the router.
func (r *Router) Dump() State { return r.node.dump() }

// platformClients are clients of the platform that share a rate limiter.
type platformClients struct {
	store, claims, list *connector.Client
}

func newNode(o Options) *node {
	n := &node{options: o, settings: o.Settings, logger: o.Logger, metrics: metrics.NewRegistry(), wakeReader: make(chan struct{}, 1)}
	if n.logger == nil {
		n.logger = log.NewNopLogger()
	}
	n.logger = log.With(n.logger, "router", o.Settings.Name)
	var random [8]byte
	rand.Read(random[:])
	// The time in the high bits gives a later process a larger incarnation. The random low bits
	// distinguish processes that start in the same millisecond.
	n.incarnation = uint64(time.Now().UnixMilli())<<16 | uint64(binary.LittleEndian.Uint16(random[:]))
	n.lastRequestID.Store(uint64(binary.LittleEndian.Uint32(random[2:])))
	return n
}

func (n *node) log(event string, keyvals ...any) {
	fields := append([]any{"ts", log.DefaultTimestampUTC(), "event", event}, keyvals...)
	// A failure to log must not fail a request.
	_ = n.logger.Log(fields...)
}

func newPlatform(n *node) (platformClients, error) {
	tlsConfig, err := n.settings.PlatformTLS.ClientConfig()
	if err != nil {
		return platformClients{}, err
	}
	transport := &http.Transport{
		DialContext:         n.controlDialer(),
		TLSClientConfig:     tlsConfig,
		MaxIdleConnsPerHost: 2,
		DisableCompression:  true,

		MaxResponseHeaderBytes: validator.MaxHeaderBytes,
	}
	newClient := func(limiter *rate.Limiter, priority bool) *connector.Client {
		return &connector.Client{BaseURL: n.settings.PlatformURL, HTTP: &http.Client{Transport: transport}, Limiter: limiter, Priority: priority}
	}
	limiter := connector.NewLimiter()
	return platformClients{store: newClient(limiter, false), claims: newClient(limiter, true), list: newClient(limiter, false)}, nil
}

// controlDialer returns the dial function for control connections, whose bytes it counts.
func (n *node) controlDialer() linker.DialFunc {
	baseDial := n.dialer()
	if n.options.ControlTraffic == nil {
		return baseDial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := baseDial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return linker.CountConn(conn, n.options.ControlTraffic), nil
	}
}

func (n *node) dialer() linker.DialFunc {
	if n.options.Dial != nil {
		return n.options.Dial
	}
	var d net.Dialer
	return d.DialContext
}

func newInstaller() *installer.Installer { return &installer.Installer{} }

func newTracker(n *node) *tracker.Tracker {
	return &tracker.Tracker{Name: n.settings.Name, AvailabilityZone: n.settings.AvailabilityZone}
}

func newScheduler(n *node) *scheduler.Scheduler {
	return &scheduler.Scheduler{Core: scheduler.Core{
		Name:             n.settings.Name,
		AvailabilityZone: n.settings.AvailabilityZone,
		Incarnation:      n.incarnation,
		FirstTicket:      uint32(n.incarnation),
		Limits:           queuer.Limits{Requests: n.settings.Limits.WaitingRequests, Bytes: n.settings.Limits.WaitingBytes},
	}}
}

func newExchanger(n *node) (*exchanger.Exchanger, error) {
	tlsConfig, err := n.settings.Peers.TLS.ClientConfig()
	if err != nil {
		return nil, err
	}
	return &exchanger.Exchanger{
		Name: n.settings.Name, Incarnation: n.incarnation, Dial: linker.WithTLS(n.controlDialer(), tlsConfig),
	}, nil
}

func newClaimer(n *node, clients platformClients) *claimer.Claimer {
	return &claimer.Claimer{Store: claimer.NewStore(clients.claims), Holder: holderName(n.settings.Name, n.incarnation)}
}

func newForwarder(n *node) *forwarder.Forwarder { return &forwarder.Forwarder{Dial: n.options.Dial} }

func newDispatcher(
	n *node, in *installer.Installer, t *tracker.Tracker, s *scheduler.Scheduler, f *forwarder.Forwarder, c *claimer.Claimer,
) *dispatcher.Dispatcher {
	d := &dispatcher.Dispatcher{
		Config: in.Config, Forwarder: f, Claimer: c, Log: n.log,
		Slots: dispatcher.SlotAllocator{
			Acquire: s.Acquire, Release: s.Release, ReportLimit: s.ReportLimit, ReportPause: s.ReportPause,
			ReportLeaving: t.MarkLeaving, Incarnation: t.Incarnation,
		},
	}
	if n.options.Baseline {
		d.Claimer = nil
		n.baseline = &scheduler.FIFO{Limits: queuer.Limits{Requests: n.settings.Limits.WaitingRequests}}
		d.Slots = dispatcher.SlotAllocator{Acquire: n.baseline.Acquire, Release: n.baseline.Release}
	}
	return d
}

func newAcceptor(n *node, in *installer.Installer, d *dispatcher.Dispatcher) *acceptor.Acceptor {
	return &acceptor.Acceptor{
		Config: in.Config, Dispatch: d.Do, CheckReady: n.checkReady, NewRequestID: n.newRequestID, Log: n.log, ObserveResult: n.observeResult,
		MaxBodyBytes: int64(n.settings.Limits.BodyBytes),
	}
}

// connectComponents sets the callbacks between components.
func connectComponents(n *node, clients platformClients, in *installer.Installer, t *tracker.Tracker, s *scheduler.Scheduler,
	e *exchanger.Exchanger, f *forwarder.Forwarder, c *claimer.Claimer, d *dispatcher.Dispatcher, a *acceptor.Acceptor) {
	n.storeClient, n.listClient, n.installer, n.tracker = clients.store, clients.list, in, t
	n.scheduler, n.exchanger, n.forwarder, n.claimer = s, e, f, c
	n.dispatcher, n.acceptor = d, a
	n.gossip = &gossip{node: n}
	in.OnInstall = func(c *declarer.Config) {
		t.SetConfig(c)
		n.gossip.scheduleAnnouncement()
	}
	t.OnView = s.SetView
	if n.baseline != nil {
		t.OnView = n.baseline.SetView
	}
	t.OnPeers = e.SetPeers
	t.OnTombstones = n.gossip.broadcastTombstones
	t.OnRouterRemoved = n.gossip.removeRouter
	s.WakePeer = e.WakePeer
	e.Handlers = n.gossip.handlers()
	d.IsHolderAlive = n.isHolderAlive
}

// registerHooks runs start and stop with the fx application.
func registerHooks(lc fx.Lifecycle, n *node) {
	lc.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
}
