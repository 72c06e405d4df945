// Package estimator predicts the cost of requests. Cost hints are rough, so the
// estimate is the hint multiplied by the recent ratio of cost to hint for the same
// workspace and kind of work. A workspace that sends wrong hints is corrected
// within a few requests.
package estimator

const (
	// decayFactor is the factor applied to the past sums with each new request.
	decayFactor = 0.9
	// minHint keeps a zero hint from making the ratio infinite.
	minHint = 1
	// MaxCost bounds a single estimate, in tokens for model servers or in
	// milliseconds for other services.
	MaxCost = 10_000_000
	// maxEntries bounds memory. A full table is cleared, which only makes the next
	// few estimates less accurate.
	maxEntries = 100_000
)

// Key identifies requests whose costs are estimated together.
type Key struct {
	Workspace uint32
	Kind      string
}

// decayedSums holds sums over past requests with exponential decay.
type decayedSums struct {
	cost float64
	hint float64
}

// Estimator estimates costs from past requests. The zero value has no history and
// returns the hint as the estimate. It is not safe for concurrent use.
type Estimator struct {
	sums map[Key]decayedSums
}

// Estimate returns the expected cost of a request with this hint.
func (e *Estimator) Estimate(k Key, hint float64) float64 {
	hint = clamp(hint)
	s, ok := e.sums[k]
	if !ok {
		return hint
	}
	return clamp(hint * s.cost / s.hint)
}

// Observe records the actual cost of a completed request.
func (e *Estimator) Observe(k Key, hint, cost float64) {
	if e.sums == nil || len(e.sums) >= maxEntries {
		e.sums = map[Key]decayedSums{}
	}
	s := e.sums[k]
	s.cost = s.cost*decayFactor + clamp(cost)
	s.hint = s.hint*decayFactor + clamp(hint)
	e.sums[k] = s
}

func clamp(v float64) float64 {
	if !(v > minHint) {
		return minHint
	}
	return min(v, MaxCost)
}
