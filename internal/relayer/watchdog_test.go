package relayer

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestTimelyEventPreventsWatchdogExpiry guards against a race: a timer fires just before an event
// extends the deadline, but its function runs only afterwards.
func TestTimelyEventPreventsWatchdogExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var expired atomic.Int32
		w := newWatchdog(time.Second, func() { expired.Add(1) })
		time.Sleep(990 * time.Millisecond)
		w.extend(time.Second)
		w.timerFired()
		time.Sleep(980 * time.Millisecond)
		synctest.Wait()
		if expired.Load() != 0 {
			t.Fatal("expired despite an event in time")
		}
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		if expired.Load() != 1 {
			t.Fatalf("expired %d times, want 1", expired.Load())
		}
		w.stop()
	})
}

// Guards against a silence that is noticed late since a shorter timeout applies after the first event.
func TestWatchdogExpiresAtEarlierDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var expired atomic.Int32
		w := newWatchdog(1600*time.Millisecond, func() { expired.Add(1) })
		time.Sleep(100 * time.Millisecond)
		w.extend(time.Second)
		time.Sleep(time.Second)
		synctest.Wait()
		if expired.Load() != 1 || w.extend(time.Second) {
			t.Fatalf("expired %d times after the earlier deadline, want 1", expired.Load())
		}
		time.Sleep(2 * time.Second)
		if expired.Load() != 1 {
			t.Fatalf("expired %d times, want 1", expired.Load())
		}
	})
}
