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

// The proportions of the fleet at its target size.
const (
	serversPer     = 9
	requestsPer    = 8.2
	workspacesPer  = 103
	slotsPerServer = 4
	// virtualSeconds is the length of a run of cores in virtual time.
	virtualSeconds = 8
	coreTick       = 50 * time.Millisecond
)

// slopes prints what one more of each thing costs, at three sizes or more, so
// that a line can be seen. Bounds are not stated for slopes; docs/CAPACITY.md
// sums them up against the budgets.
func slopes(ctx context.Context, o Options) ([]Figure, error) {
	var fs []Figure
	for _, n := range []int{1_000, 10_000, 40_000} {
		fs = append(fs, configSlope(n)...)
	}
	for _, n := range []int{1_000, 4_000, 16_000} {
		fs = append(fs, queueSlope(n)...)
	}
	for _, n := range []int{1_000, 4_000, 16_000} {
		fs = append(fs, accountSlope(n))
	}
	sizes := []int{6, 24, 96}
	if o.Routers > sizes[len(sizes)-1] {
		// The target's own size takes longer and is measured on request.
		sizes = append(sizes, o.Routers)
	}
	for _, n := range sizes {
		fs = append(fs, coreSlope(o.Seed, n)...)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	return fs, nil
}

// heap returns the live bytes.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// configSlope measures the memory of a configuration and the time of a change.
func configSlope(n int) []Figure {
	var rows []declarer.Row
	for i := range n {
		w := demonstrator.Workspace(fmt.Sprintf("workspace-%06d", i), 1)
		rows = append(rows, declarer.NewRow(declarer.SectionWorkspaces, w.Name, w))
	}
	before := heap()
	c, err := (&declarer.Config{}).Apply(1, rows)
	if err != nil {
		return nil
	}
	after := heap()
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
	return []Figure{
		figure(fmt.Sprintf("config-%d-bytes-per-workspace", n), (after-before)/float64(n), "bytes"),
		figure(fmt.Sprintf("config-%d-time-per-change", n), float64(took.Microseconds()), "us"),
		figure(fmt.Sprintf("config-%d-bytes-per-change-row", n), float64(len(rows[0].Body)+len(rows[0].Key())), "bytes"),
	}
}

// queueSlope measures the memory of a waiting request without its body, and the
// time to queue and start one.
func queueSlope(n int) []Figure {
	q := &queuer.Queuer{Limits: queuer.Limits{Requests: n + 1, Bytes: 1 << 40}, Weight: func(uint32) float64 { return 1 }}
	now := time.Now()
	before := heap()
	began := time.Now()
	for i := range n {
		q.Push(&queuer.Item{ID: uint64(i), Key: queuer.Key{Pool: 1, Workspace: uint32(i % 100)}, Arrived: now, Deadline: now, Bytes: 1})
	}
	pushed := time.Since(began)
	after := heap()
	began = time.Now()
	for i := range n {
		q.Pop(now, queuer.Key{Pool: 1, Workspace: uint32(i % 100)})
	}
	popped := time.Since(began)
	return []Figure{
		figure(fmt.Sprintf("queue-%d-bytes-per-request", n), (after-before)/float64(n), "bytes"),
		figure(fmt.Sprintf("queue-%d-time-per-request", n), float64((pushed+popped).Nanoseconds())/float64(n), "ns"),
	}
}

// accountSlope measures the memory of a home's account with six owners.
func accountSlope(n int) Figure {
	var h accountant.Home
	before := heap()
	now := time.Now()
	for i := range n {
		for r := range 6 {
			h.ApplyReport(now, accountant.Source{Router: zones[r%3], Incarnation: uint64(r)}, 1, encoder.Report{Workspace: uint32(i), Seq: 1, Total: 9})
		}
	}
	after := heap()
	runtime.KeepAlive(&h)
	return figure(fmt.Sprintf("account-%d-bytes-per-account", n), (after-before)/float64(n), "bytes")
}

// cores is a fleet of decision cores that exchange messages at once. It stands
// for CPU time and bytes only; delays, losses and answers are left out.
type cores struct {
	now   time.Time
	rng   *rand.Rand
	names []string
	byN   map[string]*scheduler.Core
	ends  map[time.Time][]func()
	bytes int
	msgs  int
	id    uint64
}

// coreSlope runs a fleet of that many routers with the proportions of the
// target: a tenth of the workspaces backlogged, the load at the target's rate.
func coreSlope(seed uint64, routers int) []Figure {
	f := newCores(seed, routers)
	f.run(2, false)
	f.bytes, f.msgs = 0, 0
	cpu := cpuSeconds()
	f.run(virtualSeconds, false)
	idleCPU, idleBytes := cpuSeconds()-cpu, f.bytes
	f.run(2, true)
	f.bytes, f.msgs = 0, 0
	before := f.id
	cpu = cpuSeconds()
	f.run(virtualSeconds, true)
	busyCPU := cpuSeconds() - cpu
	per := float64(routers) * virtualSeconds
	requests := float64(f.id - before)
	name := func(s string) string { return fmt.Sprintf("fleet-%d-%s", routers, s) }
	return []Figure{
		figure(name("idle-cpu"), idleCPU/per*100, "percent-of-core"),
		figure(name("idle-control"), 2*float64(idleBytes)/per, "bytes/s"),
		figure(name("busy-cpu"), busyCPU/per*100, "percent-of-core"),
		figure(name("busy-control"), 2*float64(f.bytes)/per, "bytes/s"),
		figure(name("messages-per-request"), float64(f.msgs)/requests, "messages"),
		figure(name("bytes-per-request"), float64(f.bytes)/requests, "bytes"),
		figure(name("requests-per-router"), requests/per, "requests/s"),
	}
}

func newCores(seed uint64, routers int) *cores {
	f := &cores{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 3)), byN: map[string]*scheduler.Core{}, ends: map[time.Time][]func(){},
	}
	v := scheduler.View{Weight: func(uint32) float64 { return 1 }}
	for i := range routers {
		n := fmt.Sprintf("router-%03d", i)
		f.names = append(f.names, n)
		v.Routers = append(v.Routers, placer.Router{Name: n, AvailabilityZone: fmt.Sprint("zone-", i%13)})
	}
	for i := range routers * serversPer {
		v.Servers = append(v.Servers, scheduler.Server{
			Name: fmt.Sprintf("server-%04d", i), Pool: uint32(i % 7), AvailabilityZone: fmt.Sprint("zone-", i%13), Slots: slotsPerServer,
		})
	}
	for i, n := range f.names {
		f.byN[n] = &scheduler.Core{
			Name: n, AvailabilityZone: v.Routers[i].AvailabilityZone, Incarnation: 1, FirstTicket: uint32(i) << 16,
			Limits: queuer.Limits{Requests: 10_000, Bytes: 1 << 30},
		}
		f.byN[n].SetView(f.now, v)
	}
	return f
}

func (f *cores) run(seconds int, load bool) {
	end := f.now.Add(time.Duration(seconds) * time.Second)
	for f.now.Before(end) {
		f.now = f.now.Add(coreTick)
		for _, end := range f.ends[f.now] {
			end()
		}
		delete(f.ends, f.now)
		for _, n := range f.names {
			if load && f.rng.Float64() < requestsPer*coreTick.Seconds() {
				f.submit(n)
			}
			f.byN[n].Tick(f.now)
			f.collect(n)
		}
		f.exchange()
	}
}

// submit sends a request of a workspace that uses few routers.
func (f *cores) submit(router string) {
	f.id++
	ws := uint32(f.rng.IntN(len(f.names) * workspacesPer / 10))
	f.byN[router].Submit(f.now, &queuer.Item{
		ID: f.id, Key: scheduler.Key{Pool: ws % 7, Workspace: ws}, Urgency: 1, Arrived: f.now, Deadline: f.now.Add(time.Hour), Cost: 200,
	})
	f.collect(router)
}

// collect ends each started request four seconds later on average.
func (f *cores) collect(router string) {
	c := f.byN[router]
	for _, s := range c.Take().Starts {
		at := f.now.Add(time.Duration(1+f.rng.IntN(160)) * coreTick)
		f.ends[at] = append(f.ends[at], func() {
			c.Finish(f.now, s.Slot, encoder.Release{Cost: 200, FirstMillis: 80, BetweenMillis: 10})
			f.collect(router)
		})
	}
}

// exchange delivers all due messages and their replies.
func (f *cores) exchange() {
	for range 4 {
		for _, from := range f.names {
			c := f.byN[from]
			for _, fl := range c.Flushes() {
				if fl.At.After(f.now) {
					continue
				}
				m := c.Drain(f.now, fl.Peer)
				reply := f.byN[fl.Peer].Receive(f.now, accountant.Source{Router: from, Incarnation: 1}, &m)
				f.collect(fl.Peer)
				c.Absorb(f.now, accountant.Source{Router: fl.Peer, Incarnation: 1}, &reply)
				f.collect(from)
				f.bytes += encoder.Size(&m) + encoder.Size(&reply)
				f.msgs += 2
			}
		}
	}
}
