// Package conductor assembles the router that runs on the users' platform, and
// starts and stops its parts in order. docs/PLATFORM.md shows the path of a
// request.
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
	"papayapaddle/internal/failer"
	"papayapaddle/internal/linker"
	"papayapaddle/internal/messenger"
	"papayapaddle/internal/recorder"
	"papayapaddle/internal/relayer"
	"papayapaddle/internal/sender"
	"papayapaddle/internal/timer"
	"papayapaddle/internal/watcher"
	"papayapaddle/platform"
)

// Kind classifies the errors of this package.
type Kind string

// KindListen marks an address that cannot be listened on.
const KindListen Kind = "cannot listen"

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// silence is after how long a connection counts as silent: three lost packets
	// in a row are not, as the first repeat takes a fifth of a second.
	silence = 2 * time.Second
	// callerSilence is the same towards callers, whose links may be worse.
	callerSilence = 10 * time.Second
	// peerSilence is how long a router may be unheard and still be asked, at the
	// shortest period of news.
	peerSilence = 700 * time.Millisecond
	// newsPeriod is the shortest period in which two routers exchange news;
	// newsRate bounds the exchanges of one router a second.
	newsPeriod = 100 * time.Millisecond
	newsRate   = 40
	// silentPeriods is the number of periods without news after which a router is
	// not asked any more.
	silentPeriods = 4
	// keyMargin is the part of the time for taking a key out of force that a proof
	// may be old. The rest covers a feed of the store that lags, and the way of a
	// request.
	keyMargin = 0.7
	// memoryShare is the part of the memory limit at which the runtime collects
	// garbage harder, bodyShare the part that bodies may take.
	memoryShare = 0.75
	bodyShare   = 0.25
	// fadeShare is the span over which past grants are forgotten, as a part of
	// the window in which shares are judged.
	fadeShare = 0.5
	// startTimeout bounds the start.
	startTimeout = 15 * time.Second
)

// Router is one assembled router process.
type Router struct {
	app  *fx.App
	node *node
}

// node holds the parts of a router.
type node struct {
	settings platform.Settings
	self     messenger.Peer
	logger   log.Logger
	recorder *recorder.AsyncWriter

	store     *platform.Store
	watcher   *watcher.Watcher
	roster    *messenger.Roster
	messenger *messenger.Messenger
	allocator *allocator.Allocator
	balancer  *balancer.Balancer
	budgeter  *budgeter.Budgeter
	sender    *sender.Sender
	relayer   *relayer.Relayer
	meter     *meter
	pressure  *pressure
	refusals  refusalLog
	collector *collector
	// backpressure tells the balancer of the pressure.
	backpressure backpressure
	comeback     comeback

	peers     net.Listener
	bounded   *boundedListener
	returned  *returnedListener
	callers   *http.Server
	ready     *http.Server
	operators *http.Server
	cancel    context.CancelFunc
	done      chan struct{}
	// closingAt is when the shutdown began, nil before.
	closingAt atomic.Pointer[time.Time]
	// startedAt and listedAt are when the process started and when it first read the
	// list of routers, on the boot clock; 0 for not yet.
	startedAt time.Duration
	listedAt  atomic.Int64
	// asking says that a peer is being asked for a fresher proof, and fetching that
	// it is for servers' entries.
	asking   atomic.Bool
	fetching atomic.Bool
}

// New assembles a router that logs to out; nothing runs before Start.
func New(s platform.Settings, out io.Writer) *Router {
	var n *node
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.Bounds.Grace()),
		fx.Supply(s, &recorder.AsyncWriter{Out: out}),
		fx.Provide(newNode, newStore, newWatcher, newMessenger, newAllocator, newBudgeter, newSender, newRelayer),
		fx.Invoke(wire, func(lc fx.Lifecycle, n *node) {
			lc.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
		}),
		fx.Populate(&n),
	)
	return &Router{app: app, node: n}
}

// Err returns why the router could not be assembled.
func (r *Router) Err() error { return r.app.Err() }

// Start opens the listeners and starts all parts.
func (r *Router) Start(ctx context.Context) error { return r.app.Start(ctx) }

// Stop shuts down gracefully within the platform's grace.
func (r *Router) Stop(ctx context.Context) error { return r.app.Stop(ctx) }

// Reload notes that the settings file changed. What a running process could
// take over is logged; addresses and limits need a restart.
func (r *Router) Reload(s platform.Settings) {
	r.node.log("reload", "changed", s != r.node.settings)
}

func newNode(s platform.Settings, rec *recorder.AsyncWriter) *node {
	var b [2]byte
	rand.Read(b[:])
	n := &node{
		settings: s, recorder: rec, meter: newMeter(), balancer: &balancer.Balancer{Zone: s.AvailabilityZone},
		done: make(chan struct{}), startedAt: timer.SinceBoot(),
		self: messenger.Peer{
			Name: s.Name, Address: s.PeerAddress(), AvailabilityZone: s.AvailabilityZone, CPUShare: s.Limits.CPUShare,
			// Milliseconds first, so that a later process has a larger incarnation.
			Incarnation: uint64(time.Now().UnixMilli())<<16 | uint64(binary.LittleEndian.Uint16(b[:])),
		},
	}
	n.logger = log.With(log.NewLogfmtLogger(rec), "router", s.Name)
	n.pressure = newPressure(s.Limits, func() int64 { return n.relayer.Active() })
	n.roster = messenger.NewRoster(n.self, peerSilence, timer.SinceBoot)
	n.collector = newCollector()
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMB<<20) * memoryShare))
	return n
}

// log writes one line; the recorder neither blocks nor fails.
func (n *node) log(event string, keyvals ...any) {
	kv := append([]any{"ts", time.Now().UTC().Format("15:04:05.000"), "event", event}, keyvals...)
	_ = n.logger.Log(kv...)
}

func newStore(s platform.Settings) *platform.Store {
	return platform.NewStore(s.Store.Address, linker.NewDialer(silence))
}

func newWatcher(n *node, s *platform.Store) *watcher.Watcher {
	return watcher.New(&watcher.Watcher{
		Operator: s.OperatorTable(), Servers: s.ServerTable(),
		DecodeCatalog: platform.DecodeCatalog, DecodeServer: platform.DecodeServer,
		ConfigKey: platform.ConfigKey, Now: timer.SinceBoot, AskAfter: n.askAfter, StartBy: n.startBy, MaxBackoff: n.storeBackoff, Log: n.log,
	})
}

func newMessenger() *messenger.Messenger {
	return &messenger.Messenger{Dial: linker.NewDialer(silence)}
}

func newAllocator(n *node, m *messenger.Messenger, w *watcher.Watcher) *allocator.Allocator {
	return allocator.New(&allocator.Allocator{
		Self: n.self, Roster: n.roster, Messenger: m, Log: n.log,
		Admitter: admitter.Admitter{Fade: time.Duration(float64(n.settings.Bounds.ShareWindow()) * fadeShare)},
		Servers: func(service string) []*cataloger.Server {
			if f := w.Fleet(); f != nil {
				return f.ByService[service]
			}
			return nil
		},
	})
}

func newBudgeter(s platform.Settings) *budgeter.Budgeter {
	return &budgeter.Budgeter{Terms: budgeter.Terms{
		Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow(),
	}}
}

func newSender(n *node) *sender.Sender {
	return &sender.Sender{Dial: linker.NewDialer(silence), Opened: n.meter.opened}
}

func newRelayer(n *node, w *watcher.Watcher, s *sender.Sender, b *budgeter.Budgeter) *relayer.Relayer {
	return &relayer.Relayer{
		Codec: platform.Wire{},
		Beliefs: func() relayer.Beliefs {
			age, ok := w.Age()
			return relayer.Beliefs{Catalog: w.Catalog(), Age: age, Proven: ok}
		},
		MaxAge: time.Duration(float64(n.settings.Bounds.Revoke()) * keyMargin),
		Place:  n.place,
		Send:   s.Send, Drop: s.Drop,
		Moved:   func(server string) { w.Gone(server, "another server answers at its address") },
		Request: func(service string) { b.Request(time.Now(), service) },
		Repeat:  func(service string) bool { return b.Repeat(time.Now(), service) },
		Closing: n.closing,
		Busy:    n.pressure.busy,
		Crowded: n.pressure.crowded,
		Done:    n.pressure.done,
		Refuse:  n.refuseKept, ComeBack: n.comeback.retryAfter,
		Away:   func() bool { return n.backpressure.left(time.Now()) },
		Buffer: &relayer.Budget{Bytes: int64(float64(n.settings.Limits.MemoryMB<<20) * bodyShare)},
		Log:    n.log, LogRefusal: n.refusals.allow, Observe: n.meter.observe,
	}
}

// wire joins the parts that call each other.
func wire(n *node, st *platform.Store, w *watcher.Watcher, m *messenger.Messenger, a *allocator.Allocator,
	b *budgeter.Budgeter, s *sender.Sender, r *relayer.Relayer) {
	n.store, n.watcher, n.messenger, n.allocator = st, w, m, a
	n.budgeter, n.sender, n.relayer = b, s, r
	w.OnServers = n.onServers
	m.Lost = func(address string, outcomes int, err error) {
		n.log("settle-lost", "peer", address, "outcomes", outcomes, "err", err)
	}
	m.Forgotten = func(address string) {
		n.log("holds-told-again", "peer", address)
		a.Retell(address)
	}
	m.Handlers = messenger.Handlers{
		News: n.onNews, Ask: a.HandleAsk, Settle: a.HandleSettle, Fetch: n.onFetch,
		Servers: n.onServersAsked,
	}
}

// onServers drops what is kept of servers that are gone.
func (n *node) onServers(f *watcher.Fleet) {
	addresses := make(map[string]string, len(f.ByID))
	for id, s := range f.ByID {
		addresses[id] = s.Address
	}
	n.sender.Keep(addresses)
	n.allocator.Keep(f.ByID)
	n.balancer.Keep(f.ByID)
}

// closing returns when the shutdown began and when it ends, or zero times.
func (n *node) closing() (began, end time.Time) {
	at := n.closingAt.Load()
	if at == nil {
		return time.Time{}, time.Time{}
	}
	return *at, at.Add(n.settings.Bounds.Grace() - exitMargin)
}

func (n *node) isClosing() bool { return n.closingAt.Load() != nil }
