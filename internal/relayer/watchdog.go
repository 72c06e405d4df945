package relayer

import (
	"sync"
	"time"
)

// watchdog calls onExpire once, at a deadline that can be extended until then.
type watchdog struct {
	onExpire func()

	mu       sync.Mutex
	deadline time.Time
	timer    *time.Timer
	// firesAt is when the timer fires next, at the deadline or before.
	firesAt time.Time
	expired bool
}

// newWatchdog starts a watchdog that expires after the given time.
func newWatchdog(after time.Duration, onExpire func()) *watchdog {
	w := &watchdog{onExpire: onExpire}
	w.extend(after)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.firesAt = w.deadline
	w.timer = time.AfterFunc(after, w.timerFired)
	return w
}

// extend sets the deadline to the given time from now. It returns false if the watchdog has expired.
func (w *watchdog) extend(by time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = time.Now().Add(by)
	if !w.expired && w.timer != nil && w.deadline.Before(w.firesAt) {
		w.firesAt = w.deadline
		w.timer.Reset(by)
	}
	return !w.expired
}

// timerFired rechecks the deadline, which may have been extended since the timer was set. Under
// load it may even have been extended after the timer fired, before this function ran.
func (w *watchdog) timerFired() {
	w.mu.Lock()
	timeLeft := time.Until(w.deadline)
	if timeLeft > 0 {
		w.firesAt = w.deadline
		w.timer.Reset(timeLeft)
	}
	w.expired = timeLeft <= 0
	w.mu.Unlock()
	if timeLeft <= 0 {
		w.onExpire()
	}
}

func (w *watchdog) stop() { w.timer.Stop() }
