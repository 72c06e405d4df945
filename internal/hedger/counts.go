package hedger

import (
	"maps"
	"slices"
	"time"
)

// Counts are totals of one service since the start of the router.
type Counts struct {
	Started, Won, Lost int64
	Refused            map[Reason]int64
	// Work is the work of first attempts, and HedgeWork that of hedges, counted whole although the loser is
	// canceled.
	Work, HedgeWork float64
}

// Quantiles are those of recent times until an answer began.
type Quantiles struct{ P50, P95, P99 time.Duration }

// Report describes the hedging of one service.
type Report struct {
	Service string
	Counts
	// Before are the times that first attempts take, estimated for those that were canceled, and After those that
	// callers saw.
	Before, After Quantiles
}

// RecordEnd counts the end of a request with a hedge: won if the caller got the answer of the hedge.
func (h *Hedger) RecordEnd(now time.Time, service string, won bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &h.service(now, service).counts
	if won {
		c.Won++
	} else {
		c.Lost++
	}
}

// RecordRefusal counts a hedge that did not start. It reports whether to log it, and how many refusals for the same
// reason were not logged before.
func (h *Hedger) RecordRefusal(now time.Time, service string, reason Reason) (log bool, unlogged int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(now, service)
	if s.counts.Refused == nil {
		s.counts.Refused = map[Reason]int64{}
	}
	s.counts.Refused[reason]++
	l := s.logged[reason]
	if l == nil {
		l = &refusalLog{}
		s.logged[reason] = l
	}
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < logPeriod {
		l.unlogged++
		return false, 0
	}
	unlogged, l.unlogged, l.loggedAt = l.unlogged, 0, now
	return true, unlogged
}

// Reports returns the state of all services, sorted by name.
func (h *Hedger) Reports(now time.Time) []Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]Report, 0, len(h.services))
	for _, name := range slices.Sorted(maps.Keys(h.services)) {
		s := h.services[name]
		r := Report{Service: name, Counts: s.counts, Before: s.before.quantiles(now), After: s.after.quantiles(now)}
		r.Refused = maps.Clone(s.counts.Refused)
		out = append(out, r)
	}
	return out
}

func (l *latencies) quantiles(now time.Time) Quantiles {
	l.decay(now)
	if l.total < 1 {
		return Quantiles{}
	}
	return Quantiles{P50: l.quantile(0.5), P95: l.quantile(0.95), P99: l.quantile(0.99)}
}
