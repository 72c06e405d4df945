package conductor

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"
)

// maxRefusalLogLinesPerSecond is the number of lines a second about requests that this router
// refuses for its own sake. A flooded router refuses thousands, and the lines
// about what it still does must not drown in them.
const maxRefusalLogLinesPerSecond = 50

// refusalLogLimiter bounds the lines about refusals. The zero value is ready to use.
type refusalLogLimiter struct {
	limiter atomic.Pointer[rate.Limiter]
	// suppressed counts the refusals without a line.
	suppressed atomic.Int64
}

// allow says whether one more refusal gets a line.
func (l *refusalLogLimiter) allow() bool {
	limiter := l.limiter.Load()
	if limiter == nil {
		l.limiter.CompareAndSwap(nil, rate.NewLimiter(maxRefusalLogLinesPerSecond, maxRefusalLogLinesPerSecond))
		limiter = l.limiter.Load()
	}
	if limiter.Allow() {
		return true
	}
	l.suppressed.Add(1)
	return false
}

// processCPUTime returns the processor time that this process has used, as the
// kernel counts it.
func processCPUTime() (time.Duration, error) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// logLoad logs how the router stands. All counts are since its start, so
// that a line which is missing loses nothing.
func (n *node) logLoad(connections int64) {
	l := n.limiter
	n.log("pressure", "lag-ms", time.Duration(l.lag.Load()).Milliseconds(), "limit", l.limit.Load(),
		"most", l.ceiling.Load(), "active", n.relayer.Active(), "connections", connections,
		"taken", l.accepted.Load(), "refused", l.refused.Load(),
		"turned-away", n.metrics.counter("caller-connections-turned-away"), "closed", n.metrics.counter("caller-connections-closed"),
		"unlogged", n.refusalLog.suppressed.Load(), "processor-ms", time.Duration(l.cpuTime.Load()).Milliseconds())
}
