// Package estimator learns what requests really cost. A hint is only rough, so
// the estimate is the hint times the ratio of cost to hint that this workspace
// and kind of work showed lately; a workspace that lies in its hints corrects
// itself within a few requests.
package estimator

const (
	// decay is the weight that the past keeps with each new request.
	decay = 0.9
	// minHint keeps a hint of nothing from making every ratio infinite.
	minHint = 1
	// MaxCost bounds a single estimate, in tokens or milliseconds.
	MaxCost = 10_000_000
	// maxEntries bounds memory; the table is cleared when it is full, which
	// costs a few rough estimates.
	maxEntries = 100_000
)

// Key names what is learned separately.
type Key struct {
	Workspace uint32
	Kind      string
}

type entry struct {
	cost float64
	hint float64
}

// Estimator holds what was learned. The zero value knows nothing and trusts
// hints. It is not safe for concurrent use.
type Estimator struct {
	entries map[Key]entry
}

// Estimate returns the expected cost of a request with this hint.
func (e *Estimator) Estimate(k Key, hint float64) float64 {
	hint = clamp(hint)
	n, ok := e.entries[k]
	if !ok {
		return hint
	}
	return clamp(hint * n.cost / n.hint)
}

// Learn takes the true cost of a finished request in.
func (e *Estimator) Learn(k Key, hint, cost float64) {
	if e.entries == nil || len(e.entries) >= maxEntries {
		e.entries = map[Key]entry{}
	}
	n := e.entries[k]
	n.cost = n.cost*decay + clamp(cost)
	n.hint = n.hint*decay + clamp(hint)
	e.entries[k] = n
}

func clamp(v float64) float64 {
	if !(v > minHint) {
		return minHint
	}
	return min(v, MaxCost)
}
