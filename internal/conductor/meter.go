package conductor

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/messenger"
	"papayapaddle/internal/relayer"
)

const (
	// sampleSize and sampleAlpha make histograms follow the last minutes; see the
	// library.
	sampleSize  = 512
	sampleAlpha = 0.015
)

// meter holds the router's metrics. Latencies are in milliseconds.
type meter struct{ registry metrics.Registry }

func newMeter() *meter { return &meter{registry: metrics.NewRegistry()} }

func (m *meter) count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// get returns a counter's value.
func (m *meter) get(name string) int64 { return metrics.GetOrRegisterCounter(name, m.registry).Count() }

func (m *meter) sample(name string, d time.Duration) {
	h := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
	h.Update(d.Milliseconds())
}

func (m *meter) opened()                { m.count("server-connections-opened") }
func (m *meter) waited(d time.Duration) { m.sample("place-wait-ms", d) }

func (m *meter) observe(s relayer.Summary) {
	m.count("requests-" + s.Outcome)
	if s.Reason != "" {
		m.count("refused-" + s.Reason)
	}
	if s.Work == "" {
		return
	}
	if s.Late {
		m.count("late-" + string(s.Work))
	}
	m.sample("first-ms-"+string(s.Work), s.First)
	m.sample("whole-ms-"+string(s.Work), s.Took)
}

// write prints the metrics as lines of name and value.
func (m *meter) write(w io.Writer) {
	var lines []string
	m.registry.Each(func(name string, v any) {
		switch v := v.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
		case metrics.Histogram:
			s := v.Snapshot()
			lines = append(lines, fmt.Sprintf("%s-count %d", name, s.Count()))
			for _, q := range []float64{0.5, 0.95, 0.99} {
				lines = append(lines, fmt.Sprintf("%s{quantile=%q} %.0f", name, fmt.Sprint(q), s.Percentile(q)))
			}
		}
	})
	sort.Strings(lines)
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
}

// state is the dump of a router.
type state struct {
	Self      messenger.Peer    `json:"self"`
	Beliefs   string            `json:"beliefs"`
	Unready   string            `json:"unready,omitempty"`
	Reachable []messenger.Peer  `json:"reachable"`
	Active    int64             `json:"active"`
	BodyBytes int64             `json:"body-bytes"`
	Servers   []admitter.State  `json:"owned-servers"`
	Listed    map[string]string `json:"listed-servers"`
}

// operatorHandler serves metrics and the state dump.
func (n *node) operatorHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.meter.write(w)
		fmt.Fprintf(w, "active-requests %d\nbody-bytes %d\nrouters-reachable %d\nlag-ms %d\n",
			n.relayer.Active(), n.relayer.Buffer.Used(), len(n.roster.Reachable()), time.Duration(n.pressure.lag.Load()).Milliseconds())
	})
	r.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		if err := e.Encode(n.dump()); err != nil {
			n.log("dump-failed", "err", err)
		}
	})
	return r
}

func (n *node) dump() state {
	s := state{
		Self: n.self, Beliefs: n.watcher.Describe(), Unready: n.unready(), Reachable: n.roster.Reachable(),
		Active: n.relayer.Active(), BodyBytes: n.relayer.Buffer.Used(), Servers: n.allocator.Dump(),
		Listed: map[string]string{},
	}
	if f := n.watcher.Fleet(); f != nil {
		for id, v := range f.ByID {
			s.Listed[id] = fmt.Sprintf("%s at %s in %s, leaving %v", v.Service, v.Address, v.AvailabilityZone, v.Draining)
		}
	}
	return s
}
