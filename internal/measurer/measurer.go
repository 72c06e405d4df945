// Package measurer runs experiments on a whole small deployment over loopback
// TCP and prints one line for each figure. A bound comes from a stated target,
// never from a measured figure.
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

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	KindUnknownName Kind = "unknown experiment"
	KindOver        Kind = "a bound was passed"
	// KindStuck means that the experiment did not end in time.
	KindStuck Kind = "did not end"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Options choose an experiment.
type Options struct {
	Seed     uint64
	Routers  int
	Length   time.Duration
	Baseline bool
	Logger   log.Logger
}

// Figure is one measured value. A bound that is not a number means none.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	// Bound is the stated target; AtLeast says that the value must not be
	// below it instead of not above it.
	Bound   float64
	AtLeast bool
}

// Over says whether the bound is passed.
func (f Figure) Over() bool {
	if math.IsNaN(f.Bound) {
		return false
	}
	if f.AtLeast {
		return !(f.Value >= f.Bound)
	}
	return !(f.Value <= f.Bound)
}

func figure(name string, value float64, unit string) Figure {
	return Figure{Name: name, Value: value, Unit: unit, Bound: math.NaN()}
}

func (f Figure) atMost(bound float64) Figure {
	f.Bound = bound
	return f
}

func (f Figure) atLeast(bound float64) Figure {
	f.Bound, f.AtLeast = bound, true
	return f
}

// line is a figure as it is printed.
type line struct {
	Figure  string  `json:"figure"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	Bound   string  `json:"bound"`
	Verdict string  `json:"verdict"`
}

func (f Figure) line() line {
	l := line{Figure: f.Name, Value: math.Round(f.Value*1e4) / 1e4, Unit: f.Unit, Bound: "none", Verdict: "ok"}
	if !math.IsNaN(f.Bound) {
		op := "<="
		if f.AtLeast {
			op = ">="
		}
		l.Bound = op + fmt.Sprintf("%g", f.Bound)
	}
	if f.Over() {
		l.Verdict = "over"
	}
	return l
}

// Experiment is one named measurement.
type Experiment struct {
	Name  string
	Usage string
	Run   func(context.Context, Options) ([]Figure, error)
}

// Experiments returns all experiments by name.
func Experiments() []Experiment {
	es := []Experiment{
		{Name: "fairness", Usage: "gap in weighted service between backlogged workspaces", Run: fairness},
		{Name: "utilisation", Usage: "use of model servers while work waits", Run: utilisation},
		{Name: "flood-least-urgent", Usage: "what others keep when one workspace floods with its least urgent work", Run: floodLeast},
		{Name: "flood-most-urgent", Usage: "what others keep when one workspace floods with its most urgent work", Run: floodMost},
		{Name: "control-traffic", Usage: "bytes a second that routers spend on themselves", Run: controlTraffic},
		{Name: "at-most-once", Usage: "bookings under kills, freezes, lost, cut and crossed answers, and store outages", Run: atMostOnce},
		{Name: "store-outage", Usage: "what goes on while the platform is down, slow and back", Run: storeOutage},
		{Name: "drain", Usage: "time until a leaving server gets no new work", Run: drain},
		{Name: "silent-connections", Usage: "established connections go silent while new ones work", Run: silentConnections},
		{Name: "shutdown", Usage: "routers stopped one after another under load", Run: shutdown},
		{Name: "partition", Usage: "routers cut off from each other and healed, under a backlog", Run: partition},
		{Name: "configuration", Usage: "two operators race through restarts, partitions and store outages", Run: configuration},
		{Name: "slopes", Usage: "what one more workspace, request, account and router costs", Run: slopes},
	}
	slices.SortFunc(es, func(a, b Experiment) int { return strings.Compare(a.Name, b.Name) })
	return es
}

// overtime is how long an experiment may go on after its load.
const overtime = 90 * time.Second

// Run runs an experiment and prints its figures as text or JSON lines. It fails
// with KindOver when a bound is passed.
func Run(ctx context.Context, name string, o Options, out io.Writer, asJSON bool) error {
	i := slices.IndexFunc(Experiments(), func(e Experiment) bool { return e.Name == name })
	if i < 0 {
		return failer.New("measure", KindUnknownName, name)
	}
	ctx, cancel := context.WithTimeout(ctx, o.Length+overtime)
	defer cancel()
	type result struct {
		figures []Figure
		err     error
	}
	ended := make(chan result, 1)
	go func() {
		fs, err := Experiments()[i].Run(ctx, o)
		ended <- result{fs, err}
	}()
	var figures []Figure
	select {
	case r := <-ended:
		if r.err != nil {
			return r.err
		}
		figures = r.figures
	case <-ctx.Done():
		return failer.Wrap("measure "+name, KindStuck, ctx.Err())
	}
	over := 0
	for _, f := range figures {
		if f.Over() {
			over++
		}
		print(out, f.line(), asJSON)
	}
	if over > 0 {
		return failer.New("measure "+name, KindOver, fmt.Sprintf("%d of %d figures", over, len(figures)))
	}
	return nil
}

func print(out io.Writer, l line, asJSON bool) {
	if asJSON {
		// A line holds only strings and a number.
		_ = json.NewEncoder(out).Encode(l)
		return
	}
	fmt.Fprintf(out, "figure=%s value=%g unit=%s bound=%s verdict=%s\n", l.Figure, l.Value, l.Unit, l.Bound, l.Verdict)
}

// The sizes of today, from the brief.
const (
	engines      = 20
	engineSlots  = 4
	engineBurst  = 1
	services     = 3
	serviceSlots = 16
	zoneDelay    = 3500 * time.Microsecond
	zoneJitter   = time.Millisecond
	zoneLoss     = 0.0005
	sameDelay    = 200 * time.Microsecond
	// balancerDelay is how long the balancer takes to turn away.
	balancerDelay = time.Second
)

// The costs of requests spread over two orders of magnitude.
const (
	leastTokens = 10
	mostTokens  = 1000
)

var zones = []string{"graz-a", "graz-b", "leoben-c"}

// today starts a deployment of today's size.
func today(ctx context.Context, o Options) (*demonstrator.Deployment, *linker.Network, error) {
	network := &linker.Network{Between: func(a, b string) linker.Link {
		if a == b {
			return linker.Link{Delay: sameDelay}
		}
		return linker.Link{Delay: zoneDelay, Jitter: zoneJitter, Loss: zoneLoss}
	}}
	d, err := demonstrator.Start(ctx, demonstrator.Options{
		Plan: emulator.Config{
			Zones: zones, EngineCount: engines, EngineSlots: engineSlots, EngineBurstSlots: engineBurst, ServiceCount: services, ServiceSlots: serviceSlots,
			EngineConfig: emulator.DefaultEngineConfig, ServiceTime: 20 * time.Millisecond, Seed: o.Seed, ListDelay: time.Second,
		},
		Routers: o.Routers, Workspaces: workspaces(), Logger: o.Logger, Network: network, Plain: o.Baseline,
		BalancerDelay: balancerDelay,
	})
	if err != nil {
		return nil, nil, err
	}
	// No figure includes the first take-over of the servers.
	time.Sleep(scheduler.TakeoverWait + scheduler.ReportEvery)
	return d, network, nil
}

// largeWeight is the weight of the few large workspaces.
const largeWeight = 4

// workspaceCount and largeCount are today's.
const (
	workspaceCount = 15
	largeCount     = 3
)

func workspaceName(i int) string { return fmt.Sprintf("ws-%02d", i) }

func weightOf(i int) float64 {
	if i < largeCount {
		return largeWeight
	}
	return 1
}

func workspaces() []declarer.Workspace {
	var ws []declarer.Workspace
	for i := range workspaceCount {
		ws = append(ws, demonstrator.Workspace(workspaceName(i), weightOf(i)))
	}
	return ws
}

// routersOf spreads workspaces unevenly: a third uses one router only, the
// others two to all of them.
func routersOf(i int, ms []*demonstrator.Member) []string {
	n := 1
	if i%3 != 0 {
		n = 1 + i%len(ms)
	}
	var urls []string
	for k := range n {
		urls = append(urls, ms[(i/2+k)%len(ms)].URL())
	}
	return urls
}

// quantile returns a quantile of values, 0 of none.
func quantile(vs []float64, q float64) float64 {
	if len(vs) == 0 {
		return 0
	}
	sorted := slices.Clone(vs)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
