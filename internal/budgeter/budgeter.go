// Package budgeter bounds how many requests are sent to a service again. All
// routers share one budget; each keeps to its own part of it, so that the sum
// stays within the budget also while routers cannot hear each other.
package budgeter

import (
	"sync"
	"time"
)

// Terms are the fleet's budget for one service.
type Terms struct {
	// Ratio is the number of repeats for each request within Window.
	Ratio float64
	// Slack is the number of repeats beyond that.
	Slack float64
	// Window is the sliding span in which repeats and requests are counted.
	Window time.Duration
}

const (
	// safety is the part of the budget that is used. The rest covers requests
	// that are still on their way and windows that are cut differently.
	safety = 0.7
	// slices is the number of parts that a window is counted in.
	slices = 20
)

// Budgeter counts for one router. Terms must be set before use; Routers is the
// number of routers that share the slack and may be changed by Share.
type Budgeter struct {
	Terms Terms

	mu       sync.Mutex
	routers  int
	services map[string]*window
}

type window struct {
	began    time.Time
	requests [slices]float64
	repeats  [slices]float64
}

// Share sets the number of routers among which the slack is divided.
func (b *Budgeter) Share(routers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routers = routers
}

func (b *Budgeter) window(now time.Time, service string) *window {
	if b.services == nil {
		b.services = map[string]*window{}
	}
	w := b.services[service]
	if w == nil {
		w = &window{began: now}
		b.services[service] = w
	}
	w.advance(now, b.Terms.Window/slices)
	return w
}

// advance drops the slices that have left the window.
func (w *window) advance(now time.Time, slice time.Duration) {
	if slice <= 0 {
		return
	}
	n := int(now.Sub(w.began) / slice)
	if n <= 0 {
		return
	}
	w.began = w.began.Add(time.Duration(n) * slice)
	for i := range slices {
		from := i + n
		w.requests[i], w.repeats[i] = 0, 0
		if from < slices {
			w.requests[i], w.repeats[i] = w.requests[from], w.repeats[from]
		}
	}
}

// Request counts a request for the service.
func (b *Budgeter) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now, service).requests[slices-1]++
}

// Repeat says whether a request may be sent to the service once more, and
// counts it if so.
func (b *Budgeter) Repeat(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	requests, repeats := 0.0, 0.0
	for i := range slices {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := safety * (b.Terms.Ratio*requests + b.Terms.Slack/float64(max(1, b.routers)))
	if repeats+1 > allowed {
		return false
	}
	w.repeats[slices-1]++
	return true
}
