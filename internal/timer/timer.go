// Package timer reads the clock used to measure the age of cached state.
package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted. Unlike the monotonic clock,
// it includes time during which the machine was suspended. Unlike the wall clock,
// it cannot be set.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Kernels without CLOCK_BOOTTIME do not suspend machines, so the monotonic
		// clock is equivalent there.
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
