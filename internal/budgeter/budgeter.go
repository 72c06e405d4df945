// Package budgeter implements retry budgets, which limit how many requests to a service are
// retried. All routers share one budget per service. Each router uses only its own part, so
// that the total stays within the budget even while routers cannot reach each other.
package budgeter

import (
	"sync"
	"time"
)

// Budget is the fleet's retry budget for one service.
type Budget struct {
	// Ratio is the number of retries allowed per request within Window.
	Ratio float64
	// Slack is the number of retries allowed within Window regardless of requests.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// usableBudgetFraction is the fraction of the budget that is used. The rest allows for
	// requests in transit and for observers whose windows are aligned differently.
	usableBudgetFraction = 0.7
	// bucketCount is the number of buckets in a window.
	bucketCount = 20
)

// Budgeter enforces one router's part of the budget for each service. Budget must be set
// before use. SetRouterCount sets the number of routers that share the slack.
type Budgeter struct {
	Budget Budget

	mu          sync.Mutex
	routerCount int
	windows     map[string]*window
}

type window struct {
	newestBucketStart time.Time
	requests          [bucketCount]float64
	retries           [bucketCount]float64
}

// SetRouterCount sets the number of routers that share the slack.
func (b *Budgeter) SetRouterCount(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routerCount = count
}

func (b *Budgeter) window(now time.Time, service string) *window {
	if b.windows == nil {
		b.windows = map[string]*window{}
	}
	w := b.windows[service]
	if w == nil {
		w = &window{newestBucketStart: now}
		b.windows[service] = w
	}
	w.advance(now, b.Budget.Window/bucketCount)
	return w
}

// advance shifts the window up to now and drops the buckets that have left it.
func (w *window) advance(now time.Time, bucketDuration time.Duration) {
	if bucketDuration <= 0 {
		return
	}
	elapsed := int(now.Sub(w.newestBucketStart) / bucketDuration)
	if elapsed <= 0 {
		return
	}
	w.newestBucketStart = w.newestBucketStart.Add(time.Duration(elapsed) * bucketDuration)
	for i := range bucketCount {
		source := i + elapsed
		w.requests[i], w.retries[i] = 0, 0
		if source < bucketCount {
			w.requests[i], w.retries[i] = w.requests[source], w.retries[source]
		}
	}
}

// RecordRequest counts a request to a service.
func (b *Budgeter) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now, service).requests[bucketCount-1]++
}

// AllowRetry reports whether a request to a service may be retried, and counts the retry if
// so.
func (b *Budgeter) AllowRetry(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	if !b.hasBudget(w) {
		return false
	}
	w.retries[bucketCount-1]++
	return true
}

// MayRetry reports whether AllowRetry would allow a retry now. It counts nothing.
func (b *Budgeter) MayRetry(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasBudget(b.window(now, service))
}

// hedgeFraction is the part of the budget up to which hedges may use it. The rest is for requests that would
// otherwise fail.
const hedgeFraction = 0.5

// MayHedge reports whether a retry would leave a part of the budget to others. It counts nothing.
func (b *Budgeter) MayHedge(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasBudgetWithin(b.window(now, service), hedgeFraction)
}

// hasBudget reports whether a retry is left in a window.
func (b *Budgeter) hasBudget(w *window) bool { return b.hasBudgetWithin(w, 1) }

// hasBudgetWithin reports whether a retry is left in a fraction of a window's budget.
func (b *Budgeter) hasBudgetWithin(w *window, fraction float64) bool {
	requests, retries := 0.0, 0.0
	for i := range bucketCount {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := fraction * usableBudgetFraction *
		(b.Budget.Ratio*requests + b.Budget.Slack/float64(max(1, b.routerCount)))
	return retries+1 <= allowed
}
