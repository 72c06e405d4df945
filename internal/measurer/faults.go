package measurer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"papayapaddle/internal/connector"
	"papayapaddle/internal/demonstrator"
	"papayapaddle/internal/emulator"
	"papayapaddle/internal/linker"
	"papayapaddle/internal/loader"
)

const (
	// bookingsPerSecond gives more than 10,000 requests in half a minute.
	bookingsPerSecond = 350.0
	// maxCallerAttempts bounds the attempts of a caller at one call.
	maxCallerAttempts = 12
	// restartDelay is how long a killed router stays down.
	restartDelay = 1500 * time.Millisecond
)

func bookingWorkload(d *demonstrator.Deployment, o Options, duration time.Duration, callsPerSecond float64) loader.BookingWorkload {
	workload := loader.BookingWorkload{
		APIKey: demonstrator.APIKey(workspaceName(0)), Service: emulator.ServiceName, Seed: o.Seed, CallsPerSecond: callsPerSecond, Duration: duration,
		MaxAttempts: maxCallerAttempts, Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 20 * time.Second},
	}
	for _, m := range d.Members {
		workload.RouterURLs = append(workload.RouterURLs, m.URL())
	}
	return workload
}

// scheduledStep is one step of a fault schedule.
type scheduledStep struct {
	// fraction is the time of the step as a fraction of the experiment's duration.
	fraction float64
	run      func()
}

// runSteps runs each step at its time and returns after the last one.
func runSteps(ctx context.Context, duration time.Duration, steps []scheduledStep) {
	begin := time.Now()
	for _, s := range steps {
		wait := time.Until(begin.Add(time.Duration(s.fraction * float64(duration))))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			s.run()
		}
	}
}

// faultInjector injects faults into a deployment.
type faultInjector struct {
	ctx        context.Context
	deployment *demonstrator.Deployment
	network    *linker.Network
	rng        *rand.Rand
	restarts   sync.WaitGroup
}

// killRouter crashes a router and starts a new one at its addresses later.
func (f *faultInjector) killRouter(router int) {
	m := f.deployment.Members[router%len(f.deployment.Members)]
	m.Router.Kill()
	f.restarts.Go(func() {
		time.Sleep(restartDelay)
		// A failed start is visible as refused connections.
		_ = f.deployment.StartMember(f.ctx, m)
	})
}

// isolateRouter cuts a router off from its peers, the backend servers and the
// platform, as a paused process would be, or reconnects it with its state kept.
func (f *faultInjector) isolateRouter(router int, isolated bool) {
	m := f.deployment.Members[router%len(f.deployment.Members)]
	for _, other := range f.deployment.Members {
		f.network.SetPartitioned(m.Name, other.Name, isolated)
	}
	for _, s := range f.deployment.Cluster.BackendServers {
		f.network.SetPartitioned(m.Name, s.Name, isolated)
	}
	f.network.SetPartitioned(m.Name, demonstrator.PlatformEndpoint, isolated)
}

func (f *faultInjector) setServiceFault(fault emulator.Fault) {
	for _, s := range f.deployment.Cluster.Services {
		s.SetFault(fault)
	}
}

func (f *faultInjector) setPlatformFault(fault emulator.Fault) {
	f.deployment.Cluster.Platform.SetFault(fault)
}

// backgroundFault applies throughout, in addition to the scheduled faults.
var backgroundFault = emulator.Fault{DropProbability: 0.02, TruncateProbability: 0.02, MisdeliverProbability: 0.02}

// atMostOnce combines all faults that could run a booking twice, some of them
// repeatedly.
func atMostOnce(ctx context.Context, o Options) ([]Metric, error) {
	d, n, err := startDeployment(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	f := &faultInjector{ctx: ctx, deployment: d, network: n, rng: rand.New(rand.NewPCG(o.Seed, 7))}
	f.setServiceFault(backgroundFault)
	f.setPlatformFault(emulator.Fault{DropProbability: 0.05})
	first := f.rng.IntN(len(d.Members))
	go runSteps(ctx, o.LoadDuration, []scheduledStep{
		{0.10, func() { f.killRouter(first) }},
		{0.20, func() { f.setPlatformFault(emulator.Fault{Down: true}) }},
		{0.28, func() { f.setPlatformFault(emulator.Fault{DropProbability: 0.5}) }},
		{0.36, func() { f.setPlatformFault(emulator.Fault{DelayMillis: 700, DropProbability: 0.05}) }},
		{0.44, func() { f.setPlatformFault(emulator.Fault{DropProbability: 0.05}) }},
		{0.48, func() { f.isolateRouter(first+1, true) }},
		{0.55, func() { f.isolateRouter(first+1, false) }},
		{0.58, func() { f.isolateRouter(first+1, true) }},
		{0.64, func() { f.isolateRouter(first+1, false); f.killRouter(first + 2) }},
		{0.70, func() { f.killRouter(first + 3) }},
		{0.75, func() { n.BlackholeConnections("booking-1") }},
		{0.80, func() { f.setPlatformFault(emulator.Fault{Down: true}); f.killRouter(first + 4) }},
		{0.88, func() { f.setPlatformFault(emulator.Fault{DropProbability: 0.05}) }},
	})
	calls := loader.RunBookings(ctx, bookingWorkload(d, o, o.LoadDuration, bookingsPerSecond))
	f.restarts.Wait()
	results := evaluateCalls(calls, d.Cluster.Executions.List())
	return results.metrics(), nil
}

// storeOutage keeps the platform down for the first third, slow for the second,
// and healthy for the last.
func storeOutage(ctx context.Context, o Options) ([]Metric, error) {
	d, n, err := startDeployment(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	f := &faultInjector{ctx: ctx, deployment: d, network: n}
	third := o.LoadDuration / 3
	run := loader.Start(ctx, loader.Workload{
		Seed: o.Seed, Duration: o.LoadDuration, DrainTimeout: drainTimeout, Flows: normalFlows(d, normalLoadFactor),
	})
	var results [3]callResults
	for i, fault := range []emulator.Fault{{Down: true}, {DelayMillis: 3000}, {}} {
		f.setPlatformFault(fault)
		workload := bookingWorkload(d, o, third, bookingsPerSecond/3)
		workload.Seed, workload.MaxAttempts = o.Seed*10+uint64(i), 1
		results[i] = evaluateCalls(loader.RunBookings(ctx, workload), d.Cluster.Executions.List())
	}
	run.Wait()
	total := run.TotalStats()
	var metrics []Metric
	for i, name := range []string{"down", "slow", "back"} {
		r := results[i]
		metrics = append(metrics,
			newMetric(name+"-runs-above-one", float64(r.duplicateExecutions), "count").atMost(0),
			newMetric(name+"-not-run-but-ran", float64(r.executedButReportedNotRun), "count").atMost(0),
			newMetric(name+"-complete", float64(r.complete)/float64(max(1, r.attempts)), "share"),
			newMetric(name+"-told-not-run", float64(r.notRun)/float64(max(1, r.attempts)), "share"),
			newMetric(name+"-refusal-p95", r.refusalP95Millis(), "ms"),
		)
	}
	return append(metrics,
		newMetric("model-goodput", float64(total.Completed)/float64(max(1, total.Started)), "share").atLeast(minGoodputRatio),
		newMetric("first-token-p95", float64(total.TimeToFirstToken.ValueAtQuantile(95))/1000, "ms").atMost(550),
	), nil
}

// drainBoundSeconds is the required maximum time until a leaving server gets no new
// requests.
const drainBoundSeconds = 3.0

// drain lists a model engine as leaving while one router is cut off from the
// platform.
func drain(ctx context.Context, o Options) ([]Metric, error) {
	d, n, err := startDeployment(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	n.SetPartitioned(d.Members[0].Name, demonstrator.PlatformEndpoint, true)
	run := loader.Start(ctx, loader.Workload{
		Seed: o.Seed, Duration: o.LoadDuration, DrainTimeout: 12 * time.Second, Flows: normalFlows(d, normalLoadFactor),
	})
	time.Sleep(o.LoadDuration / 3)
	listedAt := time.Now()
	engine := d.Cluster.Engines[0]
	requestsBefore := engine.Stats().Requests
	for _, s := range d.Cluster.BackendServers {
		if s.Name == engine.Name {
			d.Cluster.Platform.SetInstance(connector.Instance{
				Name: s.Name, Role: connector.RoleBackendServer, Address: s.Address, AvailabilityZone: s.AvailabilityZone,
				Incarnation: 1, State: connector.StateLeaving,
			})
		}
	}
	lastRequestAt, requests := listedAt, engine.Stats().Requests
	for time.Since(listedAt) < o.LoadDuration*2/3 {
		time.Sleep(20 * time.Millisecond)
		if now := engine.Stats().Requests; now != requests {
			requests, lastRequestAt = now, time.Now()
		}
	}
	run.Wait()
	total := run.TotalStats()
	listDelay := d.Cluster.Platform.ListDelay.Seconds()
	return []Metric{
		newMetric("requests-before-listing", float64(requestsBefore), "count").atLeast(1),
		newMetric("last-new-request-after-visible", max(0, lastRequestAt.Sub(listedAt).Seconds()-listDelay), "s").atMost(drainBoundSeconds),
		newMetric("last-new-request-after-listing", lastRequestAt.Sub(listedAt).Seconds(), "s"),
		newMetric("requests-cut", float64(total.Truncated), "count").atMost(0),
		newMetric("unknown", float64(total.OutcomeUnknown), "count").atMost(0),
		newMetric("wrong-answers", float64(total.Wrong), "count").atMost(0),
		newMetric("complete", float64(total.Completed)/float64(max(1, total.Started)), "share"),
	}, nil
}
