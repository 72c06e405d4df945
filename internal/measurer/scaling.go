package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"papayapaddle/internal/accountant"
	"papayapaddle/internal/declarer"
	"papayapaddle/internal/demonstrator"
	"papayapaddle/internal/encoder"
	"papayapaddle/internal/placer"
	"papayapaddle/internal/queuer"
	"papayapaddle/internal/scheduler"
)

// Proportions of the fleet at its target size.
const (
	serversPerRouter        = 9
	requestsPerRouterSecond = 8.2
	workspacesPerRouter     = 103
	slotsPerServer          = 4
	// simulatedSeconds is the virtual time of one measurement of schedulers.
	simulatedSeconds = 8
	tickInterval     = 50 * time.Millisecond
)

// scalingCosts returns the cost of one more workspace, request, account and router
// at three sizes or more, which shows whether it grows linearly. The metrics have no
// bounds; docs/CAPACITY.md compares their sum with the budgets.
func scalingCosts(ctx context.Context, o Options) ([]Metric, error) {
	var metrics []Metric
	for _, n := range []int{1_000, 10_000, 40_000} {
		metrics = append(metrics, configCost(n)...)
	}
	for _, n := range []int{1_000, 4_000, 16_000} {
		metrics = append(metrics, queueCost(n)...)
	}
	for _, n := range []int{1_000, 4_000, 16_000} {
		metrics = append(metrics, accountCost(n))
	}
	sizes := []int{6, 24, 96}
	if o.RouterCount > sizes[len(sizes)-1] {
		// The target size takes longer and is measured only on request.
		sizes = append(sizes, o.RouterCount)
	}
	for _, n := range sizes {
		metrics = append(metrics, schedulerCost(o.Seed, n)...)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return metrics, nil
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// configCost measures the memory of a configuration with n workspaces and the time
// of a change.
func configCost(n int) []Metric {
	var rows []declarer.Row
	for i := range n {
		w := demonstrator.SampleWorkspace(fmt.Sprintf("workspace-%06d", i), 1)
		rows = append(rows, declarer.NewRow(declarer.SectionWorkspaces, w.Name, w))
	}
	before := heapBytes()
	c, err := (&declarer.Config{}).Apply(1, rows)
	if err != nil {
		return nil
	}
	after := heapBytes()
	const changes = 200
	began := time.Now()
	next := c
	for i := range changes {
		if next, err = next.Apply(uint64(i+2), rows[i:i+1]); err != nil {
			return nil
		}
	}
	took := time.Since(began) / changes
	runtime.KeepAlive(next)
	return []Metric{
		newMetric(fmt.Sprintf("config-%d-bytes-per-workspace", n), (after-before)/float64(n), "bytes"),
		newMetric(fmt.Sprintf("config-%d-time-per-change", n), float64(took.Microseconds()), "us"),
		newMetric(fmt.Sprintf("config-%d-bytes-per-change-row", n), float64(len(rows[0].Body)+len(rows[0].Key())), "bytes"),
	}
}

// queueCost measures the memory of a queued request without its body, and the time
// to push and pop one.
func queueCost(n int) []Metric {
	q := &queuer.Queuer{Limits: queuer.Limits{Requests: n + 1, Bytes: 1 << 40}, Weight: func(uint32) float64 { return 1 }}
	now := time.Now()
	before := heapBytes()
	began := time.Now()
	for i := range n {
		q.Push(&queuer.Item{ID: uint64(i), Key: queuer.Key{Pool: 1, Workspace: uint32(i % 100)}, Arrived: now, Deadline: now, Bytes: 1})
	}
	pushed := time.Since(began)
	after := heapBytes()
	began = time.Now()
	for i := range n {
		q.Pop(now, queuer.Key{Pool: 1, Workspace: uint32(i % 100)})
	}
	popped := time.Since(began)
	return []Metric{
		newMetric(fmt.Sprintf("queue-%d-bytes-per-request", n), (after-before)/float64(n), "bytes"),
		newMetric(fmt.Sprintf("queue-%d-time-per-request", n), float64((pushed+popped).Nanoseconds())/float64(n), "ns"),
	}
}

// accountCost measures the memory of an account that six routers report.
func accountCost(n int) Metric {
	var home accountant.Home
	before := heapBytes()
	now := time.Now()
	for i := range n {
		for r := range 6 {
			home.ApplyReport(now, accountant.Source{Router: zones[r%3], Incarnation: uint64(r)}, 1, encoder.Report{Workspace: uint32(i), Seq: 1, Total: 9})
		}
	}
	after := heapBytes()
	runtime.KeepAlive(&home)
	return newMetric(fmt.Sprintf("account-%d-bytes-per-account", n), (after-before)/float64(n), "bytes")
}

// simulatedFleet is a fleet of scheduler cores that exchange messages without delay.
// It models CPU time and bytes only; delays, losses and answers are left out.
type simulatedFleet struct {
	now         time.Time
	rng         *rand.Rand
	names       []string
	cores       map[string]*scheduler.Core
	completions map[time.Time][]func()
	bytes       int
	messages    int
	lastID      uint64
}

// schedulerCost measures the schedulers of a fleet with the target's proportions,
// idle and under the target's load by a tenth of the workspaces.
func schedulerCost(seed uint64, routerCount int) []Metric {
	f := newSimulatedFleet(seed, routerCount)
	f.run(2, false)
	f.bytes, f.messages = 0, 0
	cpu := cpuSeconds()
	f.run(simulatedSeconds, false)
	idleCPU, idleBytes := cpuSeconds()-cpu, f.bytes
	f.run(2, true)
	f.bytes, f.messages = 0, 0
	idBefore := f.lastID
	cpu = cpuSeconds()
	f.run(simulatedSeconds, true)
	busyCPU := cpuSeconds() - cpu
	routerSeconds := float64(routerCount) * simulatedSeconds
	requests := float64(f.lastID - idBefore)
	name := func(s string) string { return fmt.Sprintf("fleet-%d-%s", routerCount, s) }
	return []Metric{
		newMetric(name("idle-cpu"), idleCPU/routerSeconds*100, "percent-of-core"),
		newMetric(name("idle-control"), 2*float64(idleBytes)/routerSeconds, "bytes/s"),
		newMetric(name("busy-cpu"), busyCPU/routerSeconds*100, "percent-of-core"),
		newMetric(name("busy-control"), 2*float64(f.bytes)/routerSeconds, "bytes/s"),
		newMetric(name("messages-per-request"), float64(f.messages)/requests, "messages"),
		newMetric(name("bytes-per-request"), float64(f.bytes)/requests, "bytes"),
		newMetric(name("requests-per-router"), requests/routerSeconds, "requests/s"),
	}
}

func newSimulatedFleet(seed uint64, routerCount int) *simulatedFleet {
	f := &simulatedFleet{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 3)),
		cores: map[string]*scheduler.Core{}, completions: map[time.Time][]func(){},
	}
	v := scheduler.View{Weight: func(uint32) float64 { return 1 }}
	for i := range routerCount {
		n := fmt.Sprintf("router-%03d", i)
		f.names = append(f.names, n)
		v.Routers = append(v.Routers, placer.Router{Name: n, AvailabilityZone: fmt.Sprint("zone-", i%13)})
	}
	for i := range routerCount * serversPerRouter {
		v.Servers = append(v.Servers, scheduler.Server{
			Name: fmt.Sprintf("server-%04d", i), Pool: uint32(i % 7), AvailabilityZone: fmt.Sprint("zone-", i%13), Slots: slotsPerServer,
		})
	}
	for i, n := range f.names {
		f.cores[n] = &scheduler.Core{
			Name: n, AvailabilityZone: v.Routers[i].AvailabilityZone, Incarnation: 1, FirstTicket: uint32(i) << 16,
			Limits: queuer.Limits{Requests: 10_000, Bytes: 1 << 30},
		}
		f.cores[n].SetView(f.now, v)
	}
	return f
}

func (f *simulatedFleet) run(seconds int, loaded bool) {
	end := f.now.Add(time.Duration(seconds) * time.Second)
	for f.now.Before(end) {
		f.now = f.now.Add(tickInterval)
		for _, complete := range f.completions[f.now] {
			complete()
		}
		delete(f.completions, f.now)
		for _, n := range f.names {
			if loaded && f.rng.Float64() < requestsPerRouterSecond*tickInterval.Seconds() {
				f.submit(n)
			}
			f.cores[n].Tick(f.now)
			f.scheduleCompletions(n)
		}
		f.deliverMessages()
	}
}

// submit submits a request of a random workspace out of a tenth of all.
func (f *simulatedFleet) submit(router string) {
	f.lastID++
	ws := uint32(f.rng.IntN(len(f.names) * workspacesPerRouter / 10))
	f.cores[router].Submit(f.now, &queuer.Item{
		ID: f.lastID, Key: scheduler.Key{Pool: ws % 7, Workspace: ws}, Urgency: 1, Arrived: f.now, Deadline: f.now.Add(time.Hour), Cost: 200,
	})
	f.scheduleCompletions(router)
}

// scheduleCompletions completes each started request after four seconds on average.
func (f *simulatedFleet) scheduleCompletions(router string) {
	c := f.cores[router]
	for _, s := range c.TakeOutput().Starts {
		at := f.now.Add(time.Duration(1+f.rng.IntN(160)) * tickInterval)
		f.completions[at] = append(f.completions[at], func() {
			c.ReleaseSlot(f.now, s.Slot, encoder.Release{Cost: 200, FirstMillis: 80, BetweenMillis: 10})
			f.scheduleCompletions(router)
		})
	}
}

// deliverMessages delivers all due messages and their replies.
func (f *simulatedFleet) deliverMessages() {
	for range 4 {
		for _, from := range f.names {
			c := f.cores[from]
			for _, pending := range c.PendingSends() {
				if pending.SendBy.After(f.now) {
					continue
				}
				m := c.TakeMessage(f.now, pending.Peer)
				reply := f.cores[pending.Peer].HandleMessage(f.now, accountant.Source{Router: from, Incarnation: 1}, &m)
				f.scheduleCompletions(pending.Peer)
				c.HandleReply(f.now, accountant.Source{Router: pending.Peer, Incarnation: 1}, &reply)
				f.scheduleCompletions(from)
				f.bytes += encoder.EncodedSize(&m) + encoder.EncodedSize(&reply)
				f.messages += 2
			}
		}
	}
}
