package conductor

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/budgeter"
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/hedger"
	"papayapaddle/internal/relayer"
)

// hedging starts second attempts of requests whose answer is late.
type hedging struct {
	hedger hedger.Hedger
	// mayUse reports whether a server may get a hedge. If nil, all may.
	mayUse func(*cataloger.Server) bool
}

// newHedging returns the relayer's view of the hedging, or nil if it is off.
func (n *node) newHedging(b *budgeter.Budgeter) *relayer.Hedging {
	if n.hedging == nil {
		return nil
	}
	return &relayer.Hedging{
		Hedger: &n.hedging.hedger, Work: hedgeWork,
		MayUse:   func(s *cataloger.Server) bool { return n.hedging.mayUse == nil || n.hedging.mayUse(s) },
		MayRetry: func(service string) bool { return b.MayHedge(time.Now(), service) },
	}
}

// hedgeWork returns the work of a request: weighted tokens at a model server, and 1 at a plain one.
func hedgeWork(c *relayer.Call) float64 {
	if c.Service.Engine == nil {
		return 1
	}
	return max(1, admitter.WeightedTokens(c.PromptTokens, answerTokens(c)))
}

// excludeFromHedge excludes the servers that may get no hedges, so that no slot is asked for there.
func (n *node) excludeFromHedge(c *relayer.Call) {
	set := n.watcher.ServerSet()
	if set == nil || n.hedging == nil || n.hedging.mayUse == nil {
		return
	}
	for _, s := range set.ByService[c.Service.Name] {
		if !n.hedging.mayUse(s) {
			c.ExcludedServers = append(c.ExcludedServers, s.ID)
		}
	}
}

// withoutAvoided returns the plain servers that have not just failed or refused requests of this router.
func (n *node) withoutAvoided(servers []*cataloger.Server) []*cataloger.Server {
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(servers), func(s *cataloger.Server) bool { return n.balancer.IsAvoided(now, s.ID) })
}

// writeHedgeMetrics writes the counts and times of each service, in the format of the other metrics.
func (n *node) writeHedgeMetrics(w io.Writer) {
	if n.hedging == nil {
		return
	}
	for _, r := range n.hedging.hedger.Reports(time.Now()) {
		fmt.Fprintf(w, "hedges-started{service=%q} %d\nhedges-won{service=%q} %d\nhedges-lost{service=%q} %d\n",
			r.Service, r.Started, r.Service, r.Won, r.Service, r.Lost)
		for _, reason := range slices.Sorted(maps.Keys(r.Refused)) {
			fmt.Fprintf(w, "hedges-refused-%s{service=%q} %d\n", reason, r.Service, r.Refused[reason])
		}
		if r.Work > 0 {
			fmt.Fprintf(w, "hedge-work-percent{service=%q} %.2f\n", r.Service, 100*r.HedgeWork/r.Work)
		}
		writeHedgeTimes(w, "before", r.Service, r.Before)
		writeHedgeTimes(w, "after", r.Service, r.After)
	}
}

func writeHedgeTimes(w io.Writer, name, service string, q hedger.Quantiles) {
	for _, v := range []struct {
		quantile string
		time     time.Duration
	}{{"0.5", q.P50}, {"0.95", q.P95}, {"0.99", q.P99}} {
		fmt.Fprintf(w, "hedge-first-ms-%s{service=%q,quantile=%q} %d\n", name, service, v.quantile, v.time.Milliseconds())
	}
}

// mayHedgeTo reports whether a server may get a hedge. The few starts of a cold server are for the prompts whose home it is.
func (n *node) mayHedgeTo(s *cataloger.Server) bool {
	return !n.isColdOrWarming(s.ID) && n.outsideEvacuatedZones(s)
}
