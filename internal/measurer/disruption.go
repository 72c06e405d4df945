package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"papayapaddle/internal/applier"
	"papayapaddle/internal/declarer"
	"papayapaddle/internal/demonstrator"
	"papayapaddle/internal/emulator"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/linker"
	"papayapaddle/internal/loader"
)

// silentBoundSeconds is the required maximum time until idempotent requests complete
// again.
const silentBoundSeconds = 2.0

// silentConnections twice blackholes all established connections to a third of the
// engines, one router, the platform and one service.
func silentConnections(ctx context.Context, o Options) ([]Metric, error) {
	d, n, err := startDeployment(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	run := loader.Start(ctx, loader.Workload{
		Seed: o.Seed, Duration: o.LoadDuration, DrainTimeout: 15 * time.Second, Flows: normalFlows(d, normalLoadFactor),
	})
	blackhole := func() {
		for i := 0; i < engineCount; i += 3 {
			n.BlackholeConnections(d.Cluster.Engines[i].Name)
		}
		n.BlackholeConnections(d.Members[1].Name)
		n.BlackholeConnections(demonstrator.PlatformEndpoint)
		n.BlackholeConnections(d.Cluster.Services[0].Name)
	}
	go runSteps(ctx, o.LoadDuration, []scheduledStep{{0.3, blackhole}, {0.6, blackhole}})
	var slowLookups, lostLookups int
	var longestLookup time.Duration
	calls := loader.RunBookings(ctx, bookingWorkload(d, o, o.LoadDuration, bookingsPerSecond/3))
	for _, c := range calls {
		if c.Kind != loader.CallLookup {
			continue
		}
		for _, a := range c.Attempts {
			longestLookup = max(longestLookup, a.Duration)
			if a.Duration.Seconds() > silentBoundSeconds {
				slowLookups++
			}
			if a.Incomplete || a.Outcome != "complete" {
				lostLookups++
			}
		}
	}
	run.Wait()
	results := evaluateCalls(calls, d.Cluster.Executions.List())
	total := run.TotalStats()
	return append([]Metric{
		newMetric("lookup-longest", longestLookup.Seconds(), "s").atMost(silentBoundSeconds),
		newMetric("lookups-over-bound", float64(slowLookups), "count").atMost(0),
		newMetric("lookups-lost", float64(lostLookups), "count").atMost(0),
		newMetric("first-token-longest", float64(total.TimeToFirstToken.Max())/1e6, "s").atMost(silentBoundSeconds),
		newMetric("model-requests-lost", float64(total.Truncated+total.OutcomeUnknown), "count").atMost(0),
		newMetric("model-complete", float64(total.Completed)/float64(max(1, total.Started)), "share"),
	}, results.metrics()...), nil
}

// idleSlotBoundSeconds is the required maximum time until slots of a stopped or
// unreachable router are used again.
const idleSlotBoundSeconds = 2.0

// shutdown stops three routers one after another under load. Each gets new requests
// until its shutdown begins; the other routers keep a backlog.
func shutdown(ctx context.Context, o Options) ([]Metric, error) {
	d, _, err := startDeployment(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	roundTime := o.LoadDuration / 4
	var truncated, unknown, wrong, refusedConns, started, complete int64
	var longestIdle time.Duration
	for i := range 3 {
		m := d.Members[i]
		ownFlows := normalFlowsAt(d, normalLoadFactor/2, m.URL())
		otherFlows := backlogFlowsExcept(d, i)
		own := loader.Start(ctx, loader.Workload{
			Seed: o.Seed + uint64(i), Duration: roundTime / 2, DrainTimeout: 20 * time.Second, Flows: ownFlows,
		})
		others := loader.Start(ctx, loader.Workload{
			Seed: o.Seed + 10 + uint64(i), Duration: roundTime, DrainTimeout: drainTimeout, Flows: otherFlows,
		})
		time.Sleep(roundTime / 2)
		stopped := make(chan struct{})
		go func() {
			// An error is visible as truncated answers.
			_ = m.Router.Stop(ctx)
			close(stopped)
		}()
		usage := sampleUsageAfter(ctx, d, roundTime/2, 0)
		longestIdle = max(longestIdle, usage.longestIdle)
		own.Wait()
		others.Wait()
		<-stopped
		for _, r := range []*loader.Run{own, others} {
			t := r.TotalStats()
			truncated, unknown, wrong = truncated+t.Truncated, unknown+t.OutcomeUnknown, wrong+t.Wrong
			refusedConns, started, complete = refusedConns+t.ConnectionsRefused, started+t.Started, complete+t.Completed
		}
		if err := d.StartMember(ctx, m); err != nil {
			return nil, err
		}
		time.Sleep(2 * time.Second)
	}
	return []Metric{
		newMetric("requests-cut", float64(truncated), "count").atMost(0),
		newMetric("requests-unknown", float64(unknown), "count").atMost(0),
		newMetric("wrong-answers", float64(wrong), "count").atMost(0),
		newMetric("connections-refused", float64(refusedConns), "count").atMost(0),
		newMetric("complete", float64(complete)/float64(max(1, started)), "share"),
		newMetric("longest-idle-slot", longestIdle.Seconds(), "s").atMost(idleSlotBoundSeconds),
	}, nil
}

// normalFlowsAt returns normal load at one router only.
func normalFlowsAt(d *demonstrator.Deployment, loadFactor float64, url string) []loader.Flow {
	flows := normalFlows(d, loadFactor)
	for i := range flows {
		flows[i].RouterURLs = []string{url}
	}
	return flows
}

// backlogFlowsExcept returns flows that keep a backlog at all routers but one, so
// that a free slot counts as idle.
func backlogFlowsExcept(d *demonstrator.Deployment, excluded int) []loader.Flow {
	var urls []string
	for k, m := range d.Members {
		if k != excluded {
			urls = append(urls, m.URL())
		}
	}
	var flows []loader.Flow
	for i := range workspaceCount {
		f := backlogFlow(i, d, 0)
		f.RouterURLs, f.Concurrency = urls, max(2, backlogConcurrency(i)/len(urls))
		flows = append(flows, f)
	}
	return flows
}

// healTimeout is the required maximum time from the end of a partition until the
// service gap is within its bound.
const healTimeout = 10 * time.Second

// lastHealFraction is the end of the last partition as a fraction of the run.
const lastHealFraction = 0.65

// partition cuts off one router, then a zone, then half of the fleet under a
// backlog, and reconnects them each time.
func partition(ctx context.Context, o Options) ([]Metric, error) {
	d, n, err := startDeployment(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	var all []int
	for i := range workspaceCount {
		all = append(all, i)
	}
	run := loader.Start(ctx, loader.Workload{
		Seed: o.Seed, Duration: o.LoadDuration, DrainTimeout: drainTimeout, Flows: backlogFlows(d),
	})
	var mu sync.Mutex
	var longestIdle time.Duration
	eighth := o.LoadDuration / 8
	sides := [][]int{{0}, {1, 4}, {0, 2, 4}}
	var steps []scheduledStep
	for i, side := range sides {
		steps = append(steps,
			scheduledStep{lastHealFraction - 0.09 - 0.22*float64(len(sides)-1-i), func() { setSidePartitioned(d, n, side, true) }},
			scheduledStep{lastHealFraction - 0.22*float64(len(sides)-1-i), func() { setSidePartitioned(d, n, side, false) }})
	}
	go runSteps(ctx, o.LoadDuration, steps)
	go func() {
		usage := sampleUsage(ctx, d, o.LoadDuration-eighth)
		mu.Lock()
		longestIdle = usage.longestIdle
		mu.Unlock()
	}()
	time.Sleep(warmupTime)
	base := run.ServedTokens()
	lastHeal := time.Duration(lastHealFraction * float64(o.LoadDuration))
	time.Sleep(lastHeal - warmupTime)
	gapAtHeal := serviceGap(run.ServedTokens(), base, all)
	time.Sleep(min(healTimeout, o.LoadDuration-lastHeal-time.Second))
	worstGap := 0.0
	for range 8 {
		worstGap = max(worstGap, serviceGap(run.ServedTokens(), base, all))
		time.Sleep(gapSampleInterval)
	}
	run.Wait()
	total := run.TotalStats()
	mu.Lock()
	defer mu.Unlock()
	return []Metric{
		newMetric("requests-lost", float64(total.Truncated+total.OutcomeUnknown), "count").atMost(0),
		newMetric("wrong-answers", float64(total.Wrong), "count").atMost(0),
		newMetric("gap-at-heal", gapAtHeal, "weighted-tokens"),
		newMetric("gap-after-heal", worstGap, "weighted-tokens").atMost(2 * maxTokens),
		newMetric("longest-idle-slot", longestIdle.Seconds(), "s").atMost(idleSlotBoundSeconds),
		newMetric("tokens-per-second", float64(total.Tokens)/o.LoadDuration.Seconds(), "tokens/s"),
	}, nil
}

// setSidePartitioned cuts or restores the links between the routers of one side and
// the others.
func setSidePartitioned(d *demonstrator.Deployment, n *linker.Network, side []int, partitioned bool) {
	onSide := map[int]bool{}
	for _, i := range side {
		onSide[i] = true
	}
	for i, a := range d.Members {
		for k, b := range d.Members {
			if onSide[i] && !onSide[k] {
				n.SetPartitioned(a.Name, b.Name, partitioned)
			}
		}
	}
}

// inForceBoundSeconds is the required maximum time from an accepted change until it is
// in force at all connected routers.
const inForceBoundSeconds = 5.0

// configuration runs two operators that apply changes concurrently while routers
// restart without state or lose all connections, and the store is down, slow or
// loses answers.
func configuration(ctx context.Context, o Options) ([]Metric, error) {
	d, n, err := startDeployment(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	f := &faultInjector{ctx: ctx, deployment: d, network: n, rng: rand.New(rand.NewPCG(o.Seed, 5))}
	m := &versionMonitor{
		deployment: d, lastVersion: map[string]uint64{}, pendingSince: map[uint64]time.Time{}, isolated: map[string]bool{},
	}
	operatorCtx, stopOperators := context.WithCancel(ctx)
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	defer stopMonitor()
	go m.run(monitorCtx)
	var operators sync.WaitGroup
	for i := range 2 {
		operators.Go(func() { runOperator(operatorCtx, d, m, i, o.Seed) })
	}
	runSteps(ctx, o.LoadDuration, []scheduledStep{
		{0.15, func() { f.killRouter(0) }},
		{0.25, func() { f.isolateRouter(1, true); m.setIsolated(d.Members[1].Name, true) }},
		{0.35, func() { f.isolateRouter(1, false); m.setIsolated(d.Members[1].Name, false) }},
		{0.40, func() { f.setPlatformFault(emulator.Fault{DropProbability: 0.4}) }},
		{0.55, func() { f.setPlatformFault(emulator.Fault{Down: true}) }},
		{0.62, func() { f.killRouter(2); f.setPlatformFault(emulator.Fault{}) }},
		{0.66, func() { f.setPlatformFault(emulator.Fault{DelayMillis: 300}) }},
		{0.80, func() { f.setPlatformFault(emulator.Fault{}) }},
		{0.99, func() {}},
	})
	stopOperators()
	operators.Wait()
	f.restarts.Wait()
	time.Sleep(time.Duration(inForceBoundSeconds * float64(time.Second)))
	return m.metrics(d), nil
}

// versionMonitor tracks the configuration versions at all routers and the changes
// by operators.
type versionMonitor struct {
	deployment *demonstrator.Deployment

	mu           sync.Mutex
	lastVersion  map[string]uint64
	reverts      int
	pendingSince map[uint64]time.Time
	// isolated holds the routers without connections, to which inForceBoundSeconds
	// does not apply.
	isolated       map[string]bool
	refusedCount   int
	unknownCount   int
	acceptedNames  []string
	refusedNames   []string
	inForceSeconds []float64
}

func (m *versionMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		m.checkVersions(time.Now())
	}
}

// checkVersions counts versions that decrease, and records how long accepted versions
// took to be in force at all routers that are ready and not isolated.
func (m *versionMonitor) checkVersions(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	minVersion := ^uint64(0)
	for _, router := range m.deployment.Members {
		// The key includes the pointer, since a restarted router begins at version 0.
		v := router.Router.ConfigVersion()
		key := fmt.Sprintf("%s %p", router.Name, router.Router)
		if v < m.lastVersion[key] {
			m.reverts++
		}
		m.lastVersion[key] = v
		if router.Router.CheckReady() == nil && !m.isolated[router.Name] {
			minVersion = min(minVersion, v)
		}
	}
	for v, acceptedAt := range m.pendingSince {
		if v <= minVersion {
			m.inForceSeconds = append(m.inForceSeconds, now.Sub(acceptedAt).Seconds())
			delete(m.pendingSince, v)
		}
	}
}

func (m *versionMonitor) setIsolated(router string, isolated bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isolated[router] = isolated
}

// runOperator adds workspaces in a loop, each in a change of its own.
func runOperator(ctx context.Context, d *demonstrator.Deployment, m *versionMonitor, index int, seed uint64) {
	a := applier.Applier{Store: d.Store(), SnapshotInterval: 50}
	rng := rand.New(rand.NewPCG(seed, uint64(index)))
	for i := 0; ctx.Err() == nil; i++ {
		base, err := a.ReadLatest(ctx)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		name := fmt.Sprintf("op-%d-%d", index, i)
		ws := demonstrator.SampleWorkspace(name, 1+rng.Float64())
		target, err := base.Config.Apply(base.Head.Version, []declarer.Row{declarer.NewRow(declarer.SectionWorkspaces, name, ws)})
		if err != nil {
			return
		}
		// The end of the load does not cancel a commit, or its outcome would be unknown.
		commitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
		res, err := a.Apply(commitCtx, base, target)
		m.recordResult(name, res, err)
		if err == nil {
			// Notify a router as papayapaddle apply does. The router need not be reachable.
			_, _ = applier.HintConfigVersion(commitCtx, new(net.Dialer).DialContext, d.Members[i%len(d.Members)].PeerAddress, res.Version)
		}
		cancel()
		time.Sleep(time.Duration(20+rng.IntN(60)) * time.Millisecond)
	}
}

func (m *versionMonitor) recordResult(name string, res applier.Result, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		m.pendingSince[res.Version] = time.Now()
		m.acceptedNames = append(m.acceptedNames, name)
	case failer.KindOf[applier.Kind](err) == applier.KindConflict:
		m.refusedCount++
		m.refusedNames = append(m.refusedNames, name)
	default:
		m.unknownCount++
	}
}

func (m *versionMonitor) metrics(d *demonstrator.Deployment) []Metric {
	m.checkVersions(time.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	declared := declaredWorkspaces(d)
	lostAccepted, appliedRefused := 0, 0
	for _, name := range m.acceptedNames {
		if !declared[name] {
			lostAccepted++
		}
	}
	for _, name := range m.refusedNames {
		if declared[name] {
			appliedRefused++
		}
	}
	reads, writes := d.Cluster.Platform.CallCounts()
	worst := 0.0
	for _, seconds := range m.inForceSeconds {
		worst = max(worst, seconds)
	}
	return []Metric{
		newMetric("accepted", float64(len(m.acceptedNames)), "changes"),
		newMetric("refused", float64(m.refusedCount), "changes"),
		newMetric("unknown", float64(m.unknownCount), "changes"),
		newMetric("reverts", float64(m.reverts), "count").atMost(0),
		newMetric("accepted-and-lost", float64(lostAccepted), "changes").atMost(0),
		newMetric("refused-and-in-effect", float64(appliedRefused), "changes").atMost(0),
		newMetric("not-in-force-at-the-end", float64(len(m.pendingSince)), "changes").atMost(0),
		newMetric("in-force-p95", quantile(m.inForceSeconds, 0.95), "s").atMost(inForceBoundSeconds),
		newMetric("in-force-worst", worst, "s").atMost(inForceBoundSeconds),
		newMetric("platform-reads", float64(reads), "count"),
		newMetric("platform-writes", float64(writes), "count"),
	}
}

// declaredWorkspaces returns the workspaces in the change rows of the store.
func declaredWorkspaces(d *demonstrator.Deployment) map[string]bool {
	names := map[string]bool{}
	for _, row := range d.Cluster.Platform.Rows("config/change/") {
		for _, part := range strings.Split(string(row.Value), `"name":"`)[1:] {
			name, _, _ := strings.Cut(part, `"`)
			names[name] = true
		}
	}
	return names
}
