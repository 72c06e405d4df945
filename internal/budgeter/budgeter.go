// Package budgeter bounds how many requests are sent to a service again. All
// routers share one budget; each keeps to its own part of it, so that the sum
// stays within the budget also while routers cannot hear each other.
package budgeter

import (
	"sync"
	"time"
)

// Budget are the fleet's budget for one service.
type Budget struct {
	// Ratio is the number of repeats for each request within Window.
	Ratio float64
	// Slack is the number of repeats beyond that.
	Slack float64
	// Window is the sliding span in which repeats and requests are counted.
	Window time.Duration
}

const (
	// usableBudgetFraction is the part of the budget that is used. The rest covers requests
	// that are still on their way and windows that are cut differently.
	usableBudgetFraction = 0.7
	// bucketCount is the number of parts that a window is counted in.
	bucketCount = 20
)

// Budgeter counts for one router. Terms must be set before use; Routers is the
// number of routers that share the slack and may be changed by Share.
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

// SetRouterCount sets the number of routers among which the slack is divided.
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

// advance drops the slices that have left the window.
func (w *window) advance(now time.Time, bucketDuration time.Duration) {
	if bucketDuration <= 0 {
		return
	}
	n := int(now.Sub(w.newestBucketStart) / bucketDuration)
	if n <= 0 {
		return
	}
	w.newestBucketStart = w.newestBucketStart.Add(time.Duration(n) * bucketDuration)
	for i := range bucketCount {
		from := i + n
		w.requests[i], w.retries[i] = 0, 0
		if from < bucketCount {
			w.requests[i], w.retries[i] = w.requests[from], w.retries[from]
		}
	}
}

// RecordRequest counts a request for the service.
func (b *Budgeter) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now, service).requests[bucketCount-1]++
}

// AllowRetry says whether a request may be sent to the service once more, and
// counts it if so.
func (b *Budgeter) AllowRetry(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	requests, repeats := 0.0, 0.0
	for i := range bucketCount {
		requests += w.requests[i]
		repeats += w.retries[i]
	}
	allowed := usableBudgetFraction * (b.Budget.Ratio*requests + b.Budget.Slack/float64(max(1, b.routerCount)))
	if repeats+1 > allowed {
		return false
	}
	w.retries[bucketCount-1]++
	return true
}
