// Package measurer runs experiments on a small deployment over loopback TCP and
// prints one line for each metric. Bounds are requirements, never earlier
// results.
package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"

	"papayapaddle/internal/declarer"
	"papayapaddle/internal/demonstrator"
	"papayapaddle/internal/emulator"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/linker"
	"papayapaddle/internal/scheduler"
)

// Kind classifies errors of this package.
type Kind string

// Error kinds.
const (
	KindUnknownExperiment Kind = "unknown experiment"
	KindBoundViolated     Kind = "a bound was passed"
	// KindTimeout means that the experiment did not end in time.
	KindTimeout Kind = "did not end"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Options configures an experiment.
type Options struct {
	Seed         uint64
	RouterCount  int
	LoadDuration time.Duration
	Baseline     bool
	Logger       log.Logger
}

// Metric is one measured value.
type Metric struct {
	Name  string
	Value float64
	Unit  string
	// Bound is the required limit of the value; NaN means none.
	Bound float64
	// LowerBound means that Bound is a minimum instead of a maximum.
	LowerBound bool
}

// ViolatesBound reports whether the value is out of its bound. NaN violates any bound.
func (m Metric) ViolatesBound() bool {
	if math.IsNaN(m.Bound) {
		return false
	}
	if m.LowerBound {
		return !(m.Value >= m.Bound)
	}
	return !(m.Value <= m.Bound)
}

func newMetric(name string, value float64, unit string) Metric {
	return Metric{Name: name, Value: value, Unit: unit, Bound: math.NaN()}
}

func (m Metric) atMost(bound float64) Metric {
	m.Bound = bound
	return m
}

func (m Metric) atLeast(bound float64) Metric {
	m.Bound, m.LowerBound = bound, true
	return m
}

// outputLine is a metric as it is printed.
type outputLine struct {
	Name    string  `json:"figure"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	Bound   string  `json:"bound"`
	Verdict string  `json:"verdict"`
}

func (m Metric) outputLine() outputLine {
	l := outputLine{Name: m.Name, Value: math.Round(m.Value*1e4) / 1e4, Unit: m.Unit, Bound: "none", Verdict: "ok"}
	if !math.IsNaN(m.Bound) {
		op := "<="
		if m.LowerBound {
			op = ">="
		}
		l.Bound = op + fmt.Sprintf("%g", m.Bound)
	}
	if m.ViolatesBound() {
		l.Verdict = "over"
	}
	return l
}

// Experiment is a named measurement.
type Experiment struct {
	Name  string
	Usage string
	Run   func(context.Context, Options) ([]Metric, error)
}

// Experiments returns all experiments, sorted by name.
func Experiments() []Experiment {
	experiments := []Experiment{
		{Name: "fairness", Usage: "gap in weighted service between backlogged workspaces", Run: fairness},
		{Name: "utilisation", Usage: "use of model server slots while requests wait", Run: utilisation},
		{Name: "flood-least-urgent", Usage: "goodput of other workspaces during a flood of least urgent requests", Run: floodLeastUrgent},
		{Name: "flood-most-urgent", Usage: "goodput of other workspaces during a flood of most urgent requests", Run: floodMostUrgent},
		{Name: "control-traffic", Usage: "control traffic of a router in bytes a second", Run: controlTraffic},
		{Name: "at-most-once", Usage: "bookings under crashes, partitions, store outages and lost, truncated or misdelivered answers", Run: atMostOnce},
		{Name: "store-outage", Usage: "requests while the platform is down, slow and back", Run: storeOutage},
		{Name: "drain", Usage: "time until a leaving server gets no new requests", Run: drain},
		{Name: "silent-connections", Usage: "established connections are blackholed while new ones work", Run: silentConnections},
		{Name: "shutdown", Usage: "routers stopped one after another under load", Run: shutdown},
		{Name: "partition", Usage: "routers partitioned and reconnected under a backlog", Run: partition},
		{Name: "configuration", Usage: "concurrent changes by two operators during restarts, partitions and store outages", Run: configuration},
		{Name: "slopes", Usage: "cost of one more workspace, request, account and router", Run: scalingCosts},
	}
	slices.SortFunc(experiments, func(a, b Experiment) int { return strings.Compare(a.Name, b.Name) })
	return experiments
}

// finishTimeout bounds the time that an experiment takes beyond its load.
const finishTimeout = 90 * time.Second

// Run runs an experiment and prints its metrics as text or JSON lines. It fails
// with KindBoundViolated if any metric is out of its bound.
func Run(ctx context.Context, name string, o Options, out io.Writer, asJSON bool) error {
	i := slices.IndexFunc(Experiments(), func(e Experiment) bool { return e.Name == name })
	if i < 0 {
		return failer.New("measure", KindUnknownExperiment, name)
	}
	ctx, cancel := context.WithTimeout(ctx, o.LoadDuration+finishTimeout)
	defer cancel()
	type result struct {
		metrics []Metric
		err     error
	}
	ended := make(chan result, 1)
	go func() {
		metrics, err := Experiments()[i].Run(ctx, o)
		ended <- result{metrics, err}
	}()
	var metrics []Metric
	select {
	case r := <-ended:
		if r.err != nil {
			return r.err
		}
		metrics = r.metrics
	case <-ctx.Done():
		return failer.Wrap("measure "+name, KindTimeout, ctx.Err())
	}
	violations := 0
	for _, m := range metrics {
		if m.ViolatesBound() {
			violations++
		}
		printLine(out, m.outputLine(), asJSON)
	}
	if violations > 0 {
		return failer.New("measure "+name, KindBoundViolated, fmt.Sprintf("%d of %d figures", violations, len(metrics)))
	}
	return nil
}

func printLine(out io.Writer, l outputLine, asJSON bool) {
	if asJSON {
		// A NaN or infinite value cannot be encoded and prints no line.
		_ = json.NewEncoder(out).Encode(l)
		return
	}
	fmt.Fprintf(out, "figure=%s value=%g unit=%s bound=%s verdict=%s\n", l.Name, l.Value, l.Unit, l.Bound, l.Verdict)
}

// Size of the measured deployment: that of the current fleet.
const (
	engineCount      = 20
	engineSlots      = 4
	engineBurstSlots = 1
	serviceCount     = 3
	serviceSlots     = 16
	crossZoneDelay   = 3500 * time.Microsecond
	crossZoneJitter  = time.Millisecond
	crossZoneLoss    = 0.0005
	sameZoneDelay    = 200 * time.Microsecond
	// balancerDelay is how long a load balancer takes to stop using a router that
	// is not ready.
	balancerDelay = time.Second
)

// Bounds of the request cost, two orders of magnitude apart.
const (
	minTokens = 10
	maxTokens = 1000
)

var zones = []string{"graz-a", "graz-b", "leoben-c"}

// startDeployment starts a deployment of the current fleet's size.
func startDeployment(ctx context.Context, o Options) (*demonstrator.Deployment, *linker.Network, error) {
	network := &linker.Network{LinkBetween: func(a, b string) linker.Link {
		if a == b {
			return linker.Link{Delay: sameZoneDelay}
		}
		return linker.Link{Delay: crossZoneDelay, Jitter: crossZoneJitter, Loss: crossZoneLoss}
	}}
	d, err := demonstrator.Start(ctx, demonstrator.Options{
		ClusterConfig: emulator.Config{
			Zones: zones, EngineCount: engineCount, EngineSlots: engineSlots, EngineBurstSlots: engineBurstSlots,
			ServiceCount: serviceCount, ServiceSlots: serviceSlots,
			EngineConfig: emulator.DefaultEngineConfig, ServiceTime: 20 * time.Millisecond, Seed: o.Seed, ListDelay: time.Second,
		},
		RouterCount: o.RouterCount, Workspaces: workspaces(), Logger: o.Logger, Network: network, Baseline: o.Baseline,
		BalancerDelay: balancerDelay,
	})
	if err != nil {
		return nil, nil, err
	}
	// Keep the initial takeover of the servers out of the metrics.
	time.Sleep(scheduler.TakeoverDelay + scheduler.ReportInterval)
	return d, network, nil
}

// largeWorkspaceWeight is the weight of a large workspace; others have 1.
const largeWorkspaceWeight = 4

// Workspaces of the current fleet.
const (
	workspaceCount      = 15
	largeWorkspaceCount = 3
)

func workspaceName(i int) string { return fmt.Sprintf("ws-%02d", i) }

func workspaceWeight(i int) float64 {
	if i < largeWorkspaceCount {
		return largeWorkspaceWeight
	}
	return 1
}

func workspaces() []declarer.Workspace {
	var ws []declarer.Workspace
	for i := range workspaceCount {
		ws = append(ws, demonstrator.SampleWorkspace(workspaceName(i), workspaceWeight(i)))
	}
	return ws
}

// workspaceURLs returns the routers of a workspace. The spread is uneven: a third
// of the workspaces use one router, the others two or more.
func workspaceURLs(i int, members []*demonstrator.Member) []string {
	count := 1
	if i%3 != 0 {
		count = 1 + i%len(members)
	}
	var urls []string
	for k := range count {
		urls = append(urls, members[(i/2+k)%len(members)].URL())
	}
	return urls
}

// quantile returns the q-quantile of values, or 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
