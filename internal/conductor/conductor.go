// Package conductor assembles a router process from its components and starts and stops
// them in order. docs/PLATFORM.md describes the path of a request.
package conductor

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"go.uber.org/fx"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/allocator"
	"papayapaddle/internal/balancer"
	"papayapaddle/internal/budgeter"
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/excluder"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/hedger"
	"papayapaddle/internal/linker"
	"papayapaddle/internal/messenger"
	"papayapaddle/internal/pacer"
	"papayapaddle/internal/prober"
	"papayapaddle/internal/quarantiner"
	"papayapaddle/internal/recorder"
	"papayapaddle/internal/relayer"
	"papayapaddle/internal/screener"
	"papayapaddle/internal/sender"
	"papayapaddle/internal/timer"
	"papayapaddle/internal/watcher"
	"papayapaddle/platform"
)

// Kind classifies the errors of this package.
type Kind string

// KindListen is the kind of errors from opening a listener.
const KindListen Kind = "cannot listen"

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// connSilenceTimeout is how long the other side of a connection to a router or the
	// store may be silent before the connection fails. Three lost packets in a row stay
	// below it, since the first retransmission takes 200 ms.
	connSilenceTimeout = 2 * time.Second
	// serverConnSilenceTimeout is the same for connections to servers, on which nothing may be sent while a request
	// runs. It counts from the last packet, and the first probe is sent after a second; a silence of two
	// seconds stays below it.
	serverConnSilenceTimeout = 3500 * time.Millisecond
	// callerConnSilenceTimeout is the same for callers, whose links may be worse.
	callerConnSilenceTimeout = 10 * time.Second
	// minFailureTimeout is the time without a message after which a router counts as
	// unreachable, at the shortest gossip period.
	minFailureTimeout = 700 * time.Millisecond
	// minGossipPeriod is the shortest period in which two routers exchange gossip, and
	// maxExchangesPerSecond limits the exchanges of one router.
	minGossipPeriod       = 100 * time.Millisecond
	maxExchangesPerSecond = 40
	// maxMissedPeriods is the number of gossip periods without a message after which a router
	// counts as unreachable, if that is longer than minFailureTimeout.
	maxMissedPeriods = 4
	// configAgeFraction is the fraction of the key revocation time for which a configuration
	// is used after it was last confirmed to be current. The rest covers a change feed that
	// lags and the time that a request takes to arrive.
	configAgeFraction = 0.7
	// softMemoryLimitFraction is the fraction of the memory limit that is set as the soft
	// limit of the Go runtime, and bodyMemoryFraction the fraction for request bodies.
	softMemoryLimitFraction = 0.75
	bodyMemoryFraction      = 0.25
	// responseMemoryFraction is the fraction of the memory for responses that are longer than the limit of concurrent requests
	// covers.
	responseMemoryFraction = 1.0 / 8
	// usageDecayFraction is the time constant of the exponential decay of workspace usage, as
	// a fraction of the window over which fair shares are measured.
	usageDecayFraction = 0.5
	// startTimeout limits the time to start.
	startTimeout = 15 * time.Second
)

// Router is one assembled router process.
type Router struct {
	app  *fx.App
	node *node
}

// node holds the components and the state of a router.
type node struct {
	settings platform.Settings
	self     messenger.Peer
	logger   log.Logger
	recorder *recorder.AsyncWriter

	store      *platform.Store
	watcher    *watcher.Watcher
	membership *messenger.Membership
	messenger  *messenger.Messenger
	allocator  *allocator.Allocator
	balancer   *balancer.Balancer
	budgeter   *budgeter.Budgeter
	sender     *sender.Sender
	relayer    *relayer.Relayer
	prober     *prober.Prober
	// quarantiner holds what crashes servers, and crashDetector finds out that they crashed.
	quarantiner   *quarantiner.Quarantiner
	crashDetector *crashDetector
	// verdictsChanged receives a value after changes of the verdicts on prompt parts.
	verdictsChanged chan struct{}
	// settledEras receives an era when the operators have written again what the store lost before it.
	settledEras chan uint64
	// era is the store's era. eraLearned receives a value when it or registeredEra, in which the store has this
	// router's entry, has changed.
	era           atomic.Uint64
	registeredEra atomic.Uint64
	eraLearned    chan struct{}
	// excluder holds the servers that told this router to send them nothing.
	excluder excluder.Excluder
	// evacuations holds the evacuated zones, and runningByZone counts the requests in all zones.
	evacuations   evacuations
	runningByZone zoneCounter
	// limits holds the rates that servers name in their answers.
	limits pacer.Limits
	// cold holds the servers that are cold.
	cold coldState
	// hedging is nil if the operators have not turned it on.
	hedging    *hedging
	metrics    *metricSet
	limiter    *concurrencyLimiter
	refusalLog refusalLogLimiter
	// screener bounds the memory for unfinished requests, and screenLog the log lines about them.
	screener  *screener.Screener
	screenLog refusalLogLimiter
	gcTuner   *gcTuner
	// readiness takes an overloaded router out of the load balancer's rotation.
	readiness  readinessGate
	retryAfter retryAfterEstimator

	peerListener     net.Listener
	callerListener   *limitListener
	returnedListener *returnedListener
	callerServer     *http.Server
	readyServer      *http.Server
	operatorServer   *http.Server
	cancel           context.CancelFunc
	done             chan struct{}
	// aborted is done once the remaining requests must be answered; abort makes it so.
	aborted context.Context
	abort   context.CancelFunc
	// shutdownStart is nil before the shutdown.
	shutdownStart atomic.Pointer[time.Time]
	// startedAt is when the process started, and routersListedAt when it first read the list
	// of routers, or 0. Both are readings of the boot clock.
	startedAt       time.Duration
	routersListedAt atomic.Int64
	// confirming is set while a peer with a more recent confirmation of the configuration or
	// of the server entries is queried, and fetchingServers while server entries are fetched.
	confirming      atomic.Bool
	fetchingServers atomic.Bool
}

// New assembles a router that logs to out. Nothing runs before Start.
func New(s platform.Settings, out io.Writer) *Router {
	var n *node
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.Bounds.GracePeriod()),
		fx.Supply(s, &recorder.AsyncWriter{Out: out}),
		fx.Provide(newNode, newStore, newWatcher, newMessenger, newAllocator, newBudgeter, newSender, newProber, newQuarantiner, newCrashDetector, newRelayer),
		fx.Invoke(wire, func(lc fx.Lifecycle, n *node) {
			lc.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
		}),
		fx.Populate(&n),
	)
	return &Router{app: app, node: n}
}

// Err returns why the router could not be assembled.
func (r *Router) Err() error { return r.app.Err() }

// Start opens the listeners and starts all components.
func (r *Router) Start(ctx context.Context) error { return r.app.Start(ctx) }

// Stop shuts down gracefully within the platform's grace period.
func (r *Router) Stop(ctx context.Context) error { return r.app.Stop(ctx) }

// Reload logs whether the settings file changed. Changes take effect at the next start.
func (r *Router) Reload(s platform.Settings) {
	r.node.log("reload", "changed", s != r.node.settings)
}

func newNode(s platform.Settings, rec *recorder.AsyncWriter) *node {
	var b [2]byte
	rand.Read(b[:])
	n := &node{
		settings: s, recorder: rec, metrics: newMetricSet(), balancer: &balancer.Balancer{Zone: s.AvailabilityZone},
		done: make(chan struct{}), verdictsChanged: make(chan struct{}, 1), settledEras: make(chan uint64, 1), eraLearned: make(chan struct{}, 1), startedAt: timer.SinceBoot(),
		self: messenger.Peer{
			Name: s.Name, Address: s.PeerAddress(), AvailabilityZone: s.AvailabilityZone, CPUShare: s.Limits.CPUShare,
			// The high bits are the time, so that a later process has a larger incarnation.
			Incarnation: uint64(time.Now().UnixMilli())<<16 | uint64(binary.LittleEndian.Uint16(b[:])),
		},
	}
	if s.HedgePercent > 0 {
		n.hedging = &hedging{hedger: hedger.Hedger{Percent: s.HedgePercent}, mayUse: n.mayHedgeTo}
	}
	n.logger = log.With(log.NewLogfmtLogger(rec), "router", s.Name)
	n.evacuations.now, n.evacuations.log = timer.SinceBoot, n.log
	n.evacuations.onChange, n.evacuations.tell = n.handleEvacuationChanges, n.tellNeighbors
	n.limiter = newConcurrencyLimiter(s.Limits, func() int64 { return n.relayer.Load() })
	n.screener = n.newScreener()
	n.membership = messenger.NewMembership(n.self, minFailureTimeout, timer.SinceBoot)
	n.gcTuner = newGCTuner()
	n.aborted, n.abort = context.WithCancel(context.Background())
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMB<<20) * softMemoryLimitFraction))
	return n
}

// log writes one line. The recorder never blocks and never fails, so the error is ignored.
func (n *node) log(event string, keyvals ...any) {
	kv := append([]any{"ts", time.Now().UTC().Format("15:04:05.000"), "event", event}, keyvals...)
	_ = n.logger.Log(kv...)
}

func newStore(s platform.Settings) *platform.Store {
	return platform.NewStore(s.Store.Address, linker.NewKeepAliveDialer(connSilenceTimeout))
}

func newWatcher(n *node, s *platform.Store) *watcher.Watcher {
	return watcher.New(&watcher.Watcher{
		ConfigTable: s.ConfigTable(), ServerTable: s.ServerTable(),
		DecodeCatalog: platform.DecodeConfig, DecodeServer: platform.DecodeServer,
		ConfigKey: platform.ConfigKey, Now: timer.SinceBoot, ReadStoreAfter: n.storeReadAge, WaitForPeersUntil: n.waitForPeersUntil, MaxBackoff: n.maxStoreBackoff, Log: n.log,
		ReadSettledEra: s.GetSettledEra, OnSettled: n.handleSettledEra, OnEra: n.handleEra,
		EvacuatedZone: platform.EvacuatedZone, OnEvacuations: n.evacuations.applyStore, EvacuationsAge: n.evacuations.age,
		Evacuated: n.evacuations.Evacuated,
	})
}

func newMessenger() *messenger.Messenger {
	return &messenger.Messenger{Dial: linker.NewKeepAliveDialer(connSilenceTimeout)}
}

func newAllocator(n *node, m *messenger.Messenger, w *watcher.Watcher) *allocator.Allocator {
	return allocator.New(&allocator.Allocator{
		Self: n.self, Membership: n.membership, Messenger: m, Log: n.log,
		Admitter: admitter.Admitter{
			UsageTimeConstant: time.Duration(float64(n.settings.Bounds.QuotaWindow()) * usageDecayFraction), Limit: n.ownedLimit,
			Cold: n.ownedCold, Evacuated: n.isServerEvacuated,
		},
		Limit: n.limitNews, Cold: n.coldNews, Avoid: n.isColdOrWarming, Now: timer.SinceBoot,
		OnMoved: func() { n.metrics.increment("cold-moved") }, OnEvacuated: n.countMoved,
		Servers: func(service string) []*cataloger.Server {
			if set := w.ServerSet(); set != nil {
				servers, _ := n.withoutExcluded(set.ByService[service])
				return servers
			}
			return nil
		},
	})
}

func newBudgeter(s platform.Settings) *budgeter.Budgeter {
	return &budgeter.Budgeter{Budget: budgeter.Budget{
		Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow(),
	}}
}

func newSender(n *node) *sender.Sender {
	dial := linker.WithBuffers(linker.NewKeepAliveDialer(serverConnSilenceTimeout), serverBufferBytes(n.settings.Limits))
	return &sender.Sender{Dial: dial, OnConnect: n.metrics.countServerConn}
}

func newRelayer(
	n *node, w *watcher.Watcher, s *sender.Sender, b *budgeter.Budgeter, q *quarantiner.Quarantiner, d *crashDetector, p *prober.Prober,
) *relayer.Relayer {
	return &relayer.Relayer{
		Codec: platform.Codec{},
		CurrentConfig: func() relayer.Config {
			age, ok := w.ConfigAge()
			return relayer.Config{Catalog: w.Catalog(), Age: age, AgeKnown: ok}
		},
		MaxConfigAge: time.Duration(float64(n.settings.Bounds.MaxRevocationDelay()) * configAgeFraction),
		AssignServer: n.assignServer,
		Quarantine:   newQuarantine(q, d), HandleReply: p.HandleResponse,
		WatchEnd: func(s *cataloger.Server) relayer.EndWatch { return p.Watch(s) },
		MaySend:  n.maySend, ServerResponded: n.handleServerResponse,
		Send: s.Send, CloseIdle: s.CloseIdle,
		OnServerReplaced: func(server string) { w.RemoveServer(server, "another server answers at its address") },
		RecordRequest:    func(service string) { b.RecordRequest(time.Now(), service) },
		AllowRetry:       func(service string) bool { return b.AllowRetry(time.Now(), service) },
		MayRetry:         func(service string) bool { return b.MayRetry(time.Now(), service) },
		Shutdown:         n.shutdownWindow, Aborted: n.aborted,
		Admit:           n.limiter.admit,
		CheckAdmission:  n.limiter.checkAdmission,
		RequestDone:     n.limiter.release,
		HijackAndRefuse: n.refuseKeepAlive, RetryAfter: n.retryAfter.randomDelay,
		Hedging:    n.newHedging(b),
		Withdrawn:  func() bool { return n.readiness.isOutOfRotation(time.Now()) },
		BodyBudget: &relayer.MemoryBudget{MaxBytes: int64(float64(n.settings.Limits.MemoryMB<<20) * bodyMemoryFraction)},
		ResponseBudget: &relayer.ResponseBudget{
			MaxBytes: int64(float64(n.settings.Limits.MemoryMB<<20) * responseMemoryFraction), OnCut: func() { n.metrics.increment("slow-readers-cut") },
		},
		Log: n.log, ShouldLogRefusal: n.refusalLog.allow, Observe: n.metrics.recordRequest,
	}
}

// wire connects components that call each other.
func wire(n *node, st *platform.Store, w *watcher.Watcher, m *messenger.Messenger, a *allocator.Allocator,
	b *budgeter.Budgeter, s *sender.Sender, r *relayer.Relayer, p *prober.Prober, q *quarantiner.Quarantiner, d *crashDetector) {
	n.store, n.watcher, n.messenger, n.allocator = st, w, m, a
	n.budgeter, n.sender, n.relayer, n.prober = b, s, r, p
	n.quarantiner, n.crashDetector = q, d
	n.evacuations.watcher = w
	w.BeforeServers, w.OnServers = n.observeColdServers, n.handleServerChange
	m.OnUpdatesLost = func(address string, outcomes int, err error) {
		n.log("settle-lost", "peer", address, "outcomes", outcomes, "err", err)
	}
	m.OnSlotsReleased = func(address string) {
		n.log("holds-told-again", "peer", address)
		a.ResendSlots(address)
	}
	m.Handlers = messenger.Handlers{
		Gossip: n.handleGossip, Admit: n.handleAdmit, UpdateRequests: a.HandleRequestUpdates, FetchConfig: n.handleFetchConfig,
		FetchServers: n.handleFetchServers,
	}
}

// handleServerChange drops the state of servers that are no longer listed.
func (n *node) handleServerChange(set *watcher.ServerSet) {
	addresses := make(map[string]string, len(set.ByID))
	for id, s := range set.ByID {
		addresses[id] = s.Address
	}
	n.sender.RetainServers(addresses)
	n.allocator.RetainServers(set.ByID)
	n.balancer.RetainServers(set.ByID)
	n.setReleases(set)
	n.retainExclusions(set)
	n.retainLimits(set)
	n.logObservedCold()
	n.crashDetector.handleServerList(set.ByID)
}

// shutdownWindow returns when the shutdown began and when it must be over, or zero times if
// the router is not shutting down.
func (n *node) shutdownWindow() (began, end time.Time) {
	at := n.shutdownStart.Load()
	if at == nil {
		return time.Time{}, time.Time{}
	}
	return *at, at.Add(n.settings.Bounds.GracePeriod() - exitReserve)
}

func (n *node) isShuttingDown() bool { return n.shutdownStart.Load() != nil }
