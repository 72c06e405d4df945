package relayer

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestEventInTimeIsNoSilence replays request 567686dd6f4f065c of grown ccl-routage
// scale-1: its first event came just before the deadline, and the function of the
// timer ran just after it, on a router with more to do than it could. The running
// stream was given up, and no other server had room (LOST).
func TestEventInTimeIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var expired atomic.Int32
		w := newWatchdog(time.Second, func() { expired.Add(1) })
		time.Sleep(990 * time.Millisecond)
		w.extend(time.Second)
		w.fire()
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
