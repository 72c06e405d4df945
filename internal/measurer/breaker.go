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
	// bookingRate gives more than 10,000 requests in half a minute.
	bookingRate = 350.0
	// callerTries bounds how often a caller asks again.
	callerTries = 12
	// restartAfter is how long a killed router stays away.
	restartAfter = 1500 * time.Millisecond
)

func bookings(d *demonstrator.Deployment, o Options, length time.Duration, rate float64) loader.BookingWorkload {
	p := loader.BookingWorkload{
		APIKey: demonstrator.KeyOf(workspaceName(0)), Service: emulator.ServiceName, Seed: o.Seed, CallsPerSecond: rate, Duration: length,
		MaxAttempts: callerTries, Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 20 * time.Second},
	}
	for _, m := range d.Members {
		p.RouterURLs = append(p.RouterURLs, m.URL())
	}
	return p
}

// step is one moment of a schedule of faults.
type step struct {
	// at is a share of the experiment's length.
	at float64
	do func()
}

// play runs the steps in time, and returns when the last one is done.
func play(ctx context.Context, length time.Duration, steps []step) {
	begin := time.Now()
	for _, s := range steps {
		wait := time.Until(begin.Add(time.Duration(s.at * float64(length))))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			s.do()
		}
	}
}

// breaker breaks parts of a deployment.
type breaker struct {
	ctx context.Context
	d   *demonstrator.Deployment
	n   *linker.Network
	rng *rand.Rand
	wg  sync.WaitGroup
}

// kill ends a router like a crash and starts a new process in its place.
func (b *breaker) kill(i int) {
	m := b.d.Members[i%len(b.d.Members)]
	m.Router.Kill()
	b.wg.Go(func() {
		time.Sleep(restartAfter)
		// A start that fails shows as refused connections.
		_ = b.d.StartMember(b.ctx, m)
	})
}

// freeze cuts a router off from everything behind it, as a pause would, and
// lets it go on as if nothing had happened.
func (b *breaker) freeze(i int, on bool) {
	m := b.d.Members[i%len(b.d.Members)]
	for _, other := range b.d.Members {
		b.n.Cut(m.Name, other.Name, on)
	}
	for _, s := range b.d.Host.BackendServers {
		b.n.Cut(m.Name, s.Name, on)
	}
	b.n.Cut(m.Name, demonstrator.PlatformName, on)
}

func (b *breaker) services(f emulator.Fault) {
	for _, s := range b.d.Host.Services {
		s.SetFault(f)
	}
}

func (b *breaker) platform(f emulator.Fault) { b.d.Host.Platform.SetFault(f) }

// steady are faults that go on all the time beside the scheduled ones.
var steady = emulator.Fault{DropProbability: 0.02, TruncateProbability: 0.02, MisdeliverProbability: 0.02}

// atMostOnce brings all that can run a booking twice together, some of it twice
// in a row.
func atMostOnce(ctx context.Context, o Options) ([]Figure, error) {
	d, n, err := today(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	b := &breaker{ctx: ctx, d: d, n: n, rng: rand.New(rand.NewPCG(o.Seed, 7))}
	b.services(steady)
	b.platform(emulator.Fault{DropProbability: 0.05})
	victim := b.rng.IntN(len(d.Members))
	go play(ctx, o.Length, []step{
		{0.10, func() { b.kill(victim) }},
		{0.20, func() { b.platform(emulator.Fault{Down: true}) }},
		{0.28, func() { b.platform(emulator.Fault{DropProbability: 0.5}) }},
		{0.36, func() { b.platform(emulator.Fault{DelayMillis: 700, DropProbability: 0.05}) }},
		{0.44, func() { b.platform(emulator.Fault{DropProbability: 0.05}) }},
		{0.48, func() { b.freeze(victim+1, true) }},
		{0.55, func() { b.freeze(victim+1, false) }},
		{0.58, func() { b.freeze(victim+1, true) }},
		{0.64, func() { b.freeze(victim+1, false); b.kill(victim + 2) }},
		{0.70, func() { b.kill(victim + 3) }},
		{0.75, func() { n.Silence("booking-1") }},
		{0.80, func() { b.platform(emulator.Fault{Down: true}); b.kill(victim + 4) }},
		{0.88, func() { b.platform(emulator.Fault{DropProbability: 0.05}) }},
	})
	calls := loader.RunBookings(ctx, bookings(d, o, o.Length, bookingRate))
	b.wg.Wait()
	v := judge(calls, d.Host.Executions.List())
	return v.promises(), nil
}

// storeOutage takes the platform away for a third of the time, slows it for
// another, and gives it back.
func storeOutage(ctx context.Context, o Options) ([]Figure, error) {
	d, n, err := today(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	b := &breaker{ctx: ctx, d: d, n: n}
	third := o.Length / 3
	run := loader.Start(ctx, loader.Workload{Seed: o.Seed, Duration: o.Length, DrainTimeout: drainTime, Flows: ordinary(d, ordinaryLoad)})
	var parts [3]verdict
	for i, f := range []emulator.Fault{{Down: true}, {DelayMillis: 3000}, {}} {
		b.platform(f)
		p := bookings(d, o, third, bookingRate/3)
		p.Seed, p.MaxAttempts = o.Seed*10+uint64(i), 1
		parts[i] = judge(loader.RunBookings(ctx, p), d.Host.Executions.List())
	}
	run.Wait()
	total := run.TotalStats()
	var fs []Figure
	for i, name := range []string{"down", "slow", "back"} {
		v := parts[i]
		fs = append(fs,
			figure(name+"-runs-above-one", float64(v.runsAboveOne), "count").atMost(0),
			figure(name+"-not-run-but-ran", float64(v.falseNotRun), "count").atMost(0),
			figure(name+"-complete", float64(v.complete)/float64(max(1, v.attempts)), "share"),
			figure(name+"-told-not-run", float64(v.notRun)/float64(max(1, v.attempts)), "share"),
			figure(name+"-refusal-p95", v.refusalP95(), "ms"),
		)
	}
	return append(fs,
		figure("model-goodput", float64(total.Completed)/float64(max(1, total.Started)), "share").atLeast(keptGoodput),
		figure("first-token-p95", float64(total.TimeToFirstToken.ValueAtQuantile(95))/1000, "ms").atMost(550),
	), nil
}

// drainBound is the stated time after which a leaving server gets no new work.
const drainBound = 3.0

// drain lists a model engine and a booking server as leaving, with a router cut
// off from the platform.
func drain(ctx context.Context, o Options) ([]Figure, error) {
	d, n, err := today(ctx, o)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	n.Cut(d.Members[0].Name, demonstrator.PlatformName, true)
	run := loader.Start(ctx, loader.Workload{Seed: o.Seed, Duration: o.Length, DrainTimeout: 12 * time.Second, Flows: ordinary(d, ordinaryLoad)})
	time.Sleep(o.Length / 3)
	listed := time.Now()
	engine := d.Host.Engines[0]
	before := engine.Stats().Requests
	for _, s := range d.Host.BackendServers {
		if s.Name == engine.Name {
			d.Host.Platform.SetInstance(connector.Instance{
				Name: s.Name, Role: connector.RoleBackendServer, Address: s.Address, AvailabilityZone: s.AvailabilityZone,
				Incarnation: 1, State: connector.StateLeaving,
			})
		}
	}
	last, count := listed, engine.Stats().Requests
	for time.Since(listed) < o.Length*2/3 {
		time.Sleep(20 * time.Millisecond)
		if now := engine.Stats().Requests; now != count {
			count, last = now, time.Now()
		}
	}
	run.Wait()
	total := run.TotalStats()
	lag := d.Host.Platform.ListDelay.Seconds()
	return []Figure{
		figure("requests-before-listing", float64(before), "count").atLeast(1),
		figure("last-new-request-after-visible", max(0, last.Sub(listed).Seconds()-lag), "s").atMost(drainBound),
		figure("last-new-request-after-listing", last.Sub(listed).Seconds(), "s"),
		figure("requests-cut", float64(total.Truncated), "count").atMost(0),
		figure("unknown", float64(total.OutcomeUnknown), "count").atMost(0),
		figure("wrong-answers", float64(total.Wrong), "count").atMost(0),
		figure("complete", float64(total.Completed)/float64(max(1, total.Started)), "share"),
	}, nil
}
