package relayer

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestTimelyEventPreventsWatchdogExpiry checks that a timer which went off before an event, and
// whose function runs after it, does not count as silence.
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
			t.Fatal("an event in time counted as silence")
		}
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		if expired.Load() != 1 {
			t.Fatalf("expired %d times", expired.Load())
		}
		w.stop()
	})
}
