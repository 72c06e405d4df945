// Package timer reads the clock that ages of beliefs are measured with.
package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine's start. Unlike the monotonic clock
// it counts the time for which the machine was suspended, and unlike the wall
// clock it is never set.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Kernels without this clock do not suspend machines; the monotonic clock
		// is as good there.
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
