// Package assembler builds a router process out of the other packages and
// starts and stops its parts in order. docs/DESIGN.md shows the pipeline.
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
	// listEvery is the period of reading the platform's list.
	listEvery = 2500 * time.Millisecond
	// stopTimeout bounds a graceful shutdown; the longest request fits.
	stopTimeout = 70 * time.Minute
	// abortWait is how long callers whose requests were ended may take to be told.
	abortWait = 2 * time.Second
	// startTimeout bounds the start.
	startTimeout = 15 * time.Second
)

// Options build a router. Zero seams mean the real thing.
type Options struct {
	Settings configurer.Settings
	Logger   log.Logger
	// Dial opens connections to peers, the platform and backend servers.
	Dial linker.DialFunc
	// Control counts the bytes on peer and platform connections; may be nil.
	Control *linker.ByteCounter
	// Plain replaces the fleet's scheduling by the baseline policy.
	Plain bool
}

// Router is one assembled router process.
type Router struct {
	app  *fx.App
	node *node
}

// node holds the parts of a router.
type node struct {
	options     Options
	settings    configurer.Settings
	incarnation uint64
	logger      log.Logger

	store     *connector.Client
	list      *connector.Client
	installer *installer.Installer
	tracker   *tracker.Tracker
	scheduler *scheduler.Scheduler
	plain     *scheduler.FIFO
	exchanger *exchanger.Exchanger
	gossip    *gossip
	claimer   *claimer.Claimer
	forwarder *forwarder.Forwarder
	dispatch  *dispatcher.Dispatcher
	acceptor  *acceptor.Acceptor
	metrics   metrics.Registry

	callers   *http.Server
	operators *http.Server
	// kick makes the reader of the configuration look at once.
	kick     chan struct{}
	draining atomic.Bool
	cancel   context.CancelFunc
	// stopping bounds the wait for open requests at the stop.
	stopping context.Context
	// requests is the parent of every request's context.
	requests context.Context
	abort    context.CancelFunc
	ids      atomic.Uint64
}

// New assembles a router; nothing runs before Start.
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
		fx.Invoke(wire, hook),
		fx.Populate(&n),
	)
	return &Router{app: app, node: n}
}

// Err returns why the router could not be assembled.
func (r *Router) Err() error { return r.app.Err() }

// Start opens the listeners and starts all parts.
func (r *Router) Start(ctx context.Context) error { return r.app.Start(ctx) }

// Stop shuts down gracefully: every accepted request is finished first. Once the
// context ends, the open ones are ended and told their true outcome.
func (r *Router) Stop(ctx context.Context) error {
	// The application would return at the end of its context without waiting for
	// its hooks, so the hook gets the context and the application none.
	r.node.stopping = ctx
	return r.app.Stop(context.WithoutCancel(ctx))
}

// Kill ends the router at once, as a crash would; for experiments.
func (r *Router) Kill() { r.node.kill() }

// Ready returns why the router is not ready, or nil.
func (r *Router) Ready() error { return r.node.ready() }

// Waiting returns the number of requests that wait for a slot.
func (r *Router) Waiting() int {
	if r.node.plain != nil {
		return r.node.plain.Waiting()
	}
	n, _, _ := r.node.scheduler.Load()
	return n
}

// Version returns the configuration version in force.
func (r *Router) Version() uint64 { return r.node.installer.Version() }

// Dump returns the router's whole state.
func (r *Router) Dump() State { return r.node.dump() }

// platformClients are the clients of the platform with one budget.
type platformClients struct {
	store, claims, list *connector.Client
}

func newNode(o Options) *node {
	n := &node{options: o, settings: o.Settings, logger: o.Logger, metrics: metrics.NewRegistry(), kick: make(chan struct{}, 1)}
	if n.logger == nil {
		n.logger = log.NewNopLogger()
	}
	n.logger = log.With(n.logger, "router", o.Settings.Name)
	var b [8]byte
	rand.Read(b[:])
	// Milliseconds first, so that a later process has a larger incarnation; the
	// random part tells two that start at once apart.
	n.incarnation = uint64(time.Now().UnixMilli())<<16 | uint64(binary.LittleEndian.Uint16(b[:]))
	n.ids.Store(uint64(binary.LittleEndian.Uint32(b[2:])))
	return n
}

func (n *node) log(event string, keyvals ...any) {
	kv := append([]any{"ts", log.DefaultTimestampUTC(), "event", event}, keyvals...)
	// A log that cannot be written must not stop a request.
	_ = n.logger.Log(kv...)
}

func newPlatform(n *node) (platformClients, error) {
	tc, err := n.settings.PlatformTLS.ClientConfig()
	if err != nil {
		return platformClients{}, err
	}
	t := &http.Transport{
		DialContext:         n.controlDial(),
		TLSClientConfig:     tc,
		MaxIdleConnsPerHost: 2,
		DisableCompression:  true,
	}
	client := func(b *rate.Limiter, priority bool) *connector.Client {
		return &connector.Client{BaseURL: n.settings.PlatformURL, HTTP: &http.Client{Transport: t}, Limiter: b, Priority: priority}
	}
	budget := connector.NewLimiter()
	return platformClients{store: client(budget, false), claims: client(budget, true), list: client(budget, false)}, nil
}

// controlDial counts the bytes of control connections.
func (n *node) controlDial() linker.DialFunc {
	dial := n.dial()
	if n.options.Control == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return linker.CountConn(conn, n.options.Control), nil
	}
}

func (n *node) dial() linker.DialFunc {
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
	tc, err := n.settings.Peers.TLS.ClientConfig()
	if err != nil {
		return nil, err
	}
	return &exchanger.Exchanger{
		Name: n.settings.Name, Incarnation: n.incarnation, Dial: linker.WithTLS(n.controlDial(), tc),
	}, nil
}

func newClaimer(n *node, p platformClients) *claimer.Claimer {
	return &claimer.Claimer{Store: claimer.NewStore(p.claims), Holder: holderName(n.settings.Name, n.incarnation)}
}

func newForwarder(n *node) *forwarder.Forwarder { return &forwarder.Forwarder{Dial: n.options.Dial} }

func newDispatcher(n *node, in *installer.Installer, s *scheduler.Scheduler, f *forwarder.Forwarder, c *claimer.Claimer) *dispatcher.Dispatcher {
	d := &dispatcher.Dispatcher{
		Config: in.Config, Forwarder: f, Claimer: c, Log: n.log,
		Slots: dispatcher.SlotAllocator{Acquire: s.Acquire, Release: s.Release},
	}
	if n.options.Plain {
		d.Claimer = nil
		n.plain = &scheduler.FIFO{Limits: queuer.Limits{Requests: n.settings.Limits.WaitingRequests}}
		d.Slots = dispatcher.SlotAllocator{Acquire: n.plain.Acquire, Release: n.plain.Release}
	}
	return d
}

func newAcceptor(n *node, in *installer.Installer, d *dispatcher.Dispatcher) *acceptor.Acceptor {
	return &acceptor.Acceptor{
		Config: in.Config, Dispatch: d.Do, CheckReady: n.ready, NewRequestID: n.newID, Log: n.log, ObserveResult: n.observe,
		MaxBodyBytes: int64(n.settings.Limits.BodyBytes),
	}
}

// wire joins the parts that call each other.
func wire(n *node, p platformClients, in *installer.Installer, t *tracker.Tracker, s *scheduler.Scheduler,
	e *exchanger.Exchanger, f *forwarder.Forwarder, c *claimer.Claimer, d *dispatcher.Dispatcher, a *acceptor.Acceptor) {
	n.store, n.list, n.installer, n.tracker = p.store, p.list, in, t
	n.scheduler, n.exchanger, n.forwarder, n.claimer = s, e, f, c
	n.dispatch, n.acceptor = d, a
	n.gossip = &gossip{node: n}
	in.OnInstall = func(c *declarer.Config) {
		t.SetConfig(c)
		n.gossip.announce()
	}
	t.OnView = s.SetView
	if n.plain != nil {
		t.OnView = n.plain.SetView
	}
	t.OnPeers = e.SetPeers
	t.OnTombstones = n.gossip.spreadLeaving
	t.OnRouterRemoved = n.gossip.forget
	s.WakePeer = e.WakePeer
	e.Handlers = n.gossip.handlers()
	d.IsHolderAlive = n.alive
}

// hook starts and stops the parts with the application.
func hook(lc fx.Lifecycle, n *node) {
	lc.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
}
