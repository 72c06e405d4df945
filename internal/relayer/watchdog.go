package relayer

import (
	"sync"
	"time"
)

// watchdog expires once, at a deadline that can be extended until then.
type watchdog struct {
	onExpire func()

	mu       sync.Mutex
	deadline time.Time
	timer    *time.Timer
}

// newWatchdog starts a watchdog that expires after a time.
func newWatchdog(after time.Duration, onExpire func()) *watchdog {
	w := &watchdog{onExpire: onExpire}
	w.extend(after)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(after, w.timerFired)
	return w
}

// extend moves the deadline to a time from now.
func (w *watchdog) extend(by time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = time.Now().Add(by)
}

// timerFired looks at the deadline, as it may have been extended since the timer was
// set, and on a busy router also after it went off.
func (w *watchdog) timerFired() {
	w.mu.Lock()
	timeLeft := time.Until(w.deadline)
	if timeLeft > 0 {
		w.timer.Reset(timeLeft)
	}
	w.mu.Unlock()
	if timeLeft <= 0 {
		w.onExpire()
	}
}

func (w *watchdog) stop() { w.timer.Stop() }
