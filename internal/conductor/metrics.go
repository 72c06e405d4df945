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
	// sampleSize and sampleAlpha are the parameters of the exponentially decaying samples of
	// histograms, which then cover the last minutes.
	sampleSize  = 512
	sampleAlpha = 0.015
)

// metricSet holds the router's metrics. Durations are in milliseconds.
type metricSet struct{ registry metrics.Registry }

func newMetricSet() *metricSet { return &metricSet{registry: metrics.NewRegistry()} }

func (m *metricSet) increment(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// counter returns the value of a counter.
func (m *metricSet) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, m.registry).Count()
}

func (m *metricSet) recordDuration(name string, d time.Duration) {
	h := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
	h.Update(d.Milliseconds())
}

func (m *metricSet) countServerConn()               { m.increment("server-connections-opened") }
func (m *metricSet) recordSlotWait(d time.Duration) { m.recordDuration("place-wait-ms", d) }

func (m *metricSet) recordRequest(s relayer.Summary) {
	m.increment("requests-" + s.Outcome)
	if s.RefusalReason != "" {
		m.increment("refused-" + s.RefusalReason)
	}
	if s.Kind == "" {
		return
	}
	if s.MissedObjective {
		m.increment("late-" + string(s.Kind))
	}
	m.recordDuration("first-ms-"+string(s.Kind), s.TimeToFirstEvent)
	m.recordDuration("whole-ms-"+string(s.Kind), s.Duration)
}

// write writes each metric as a line with its name and value.
func (m *metricSet) write(w io.Writer) {
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

// routerState is the state that operators can query.
type routerState struct {
	Self messenger.Peer `json:"self"`
	// Beliefs describes the configuration in force.
	Beliefs string `json:"beliefs"`
	// Unready is the reason why the router is not ready, or "" if it is.
	Unready   string           `json:"unready,omitempty"`
	Reachable []messenger.Peer `json:"reachable"`
	Active    int64            `json:"active"`
	BodyBytes int64            `json:"body-bytes"`
	// Servers are the backend servers that this router owns.
	Servers []admitter.ServerState `json:"owned-servers"`
	// QuarantinedParts are the prompt parts that are kept from servers.
	QuarantinedParts []string `json:"quarantined-parts,omitempty"`
	// ServerLimits are the rates, in requests a second, that servers name in their answers, by ID.
	ServerLimits map[string]float64 `json:"server-limits,omitempty"`
	// ColdServers holds how many milliseconds longer servers stay cold, by ID.
	ColdServers map[string]int64 `json:"cold-servers-ms,omitempty"`
	// EvacuatedZones describes the evacuated zones by name.
	EvacuatedZones map[string]string `json:"evacuated-zones,omitempty"`
	// Listed describes all known backend servers by ID.
	Listed map[string]string `json:"listed-servers"`
}

// operatorHandler serves the metrics and the router's state.
func (n *node) operatorHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.metrics.write(w)
		n.writeHedgeMetrics(w)
		zones, running := n.evacuationGauges()
		fmt.Fprintf(w, "evacuated-zones %d\nevacuation-running %d\n", zones, running)
		fmt.Fprintf(w, "active-requests %d\nbody-bytes %d\nunfinished-bytes %d\nresponse-bytes %d\nrouters-reachable %d\nlag-ms %d\nservers-cold %d\n",
			n.relayer.Active(), n.relayer.BodyBudget.UsedBytes(), n.screener.UsedBytes(), n.relayer.ResponseBudget.UsedBytes(),
			len(n.membership.Reachable()), time.Duration(n.limiter.lag.Load()).Milliseconds(), len(n.coldMillis()))
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

func (n *node) dump() routerState {
	s := routerState{
		Self: n.self, Beliefs: n.watcher.Describe(), Unready: n.unreadyReason(), Reachable: n.membership.Reachable(),
		Active: n.relayer.Active(), BodyBytes: n.relayer.BodyBudget.UsedBytes(), Servers: n.allocator.Dump(),
		Listed: map[string]string{}, QuarantinedParts: n.describeVerdicts(),
		ServerLimits: n.limits.Rates(), ColdServers: n.coldMillis(), EvacuatedZones: n.describeEvacuations(),
	}
	if set := n.watcher.ServerSet(); set != nil {
		for id, v := range set.ByID {
			s.Listed[id] = fmt.Sprintf("%s at %s in %s, leaving %v", v.Service, v.Address, v.AvailabilityZone, v.Draining)
		}
	}
	return s
}
