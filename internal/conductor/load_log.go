package conductor

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"
)

// maxRefusalLogLinesPerSecond limits the log lines about requests that are refused because of
// overload. A flooded router refuses thousands a second, which would hide all other log lines.
const maxRefusalLogLinesPerSecond = 50

// refusalLogLimiter limits the rate of log lines about refusals. The zero value is ready to use.
type refusalLogLimiter struct {
	limiter atomic.Pointer[rate.Limiter]
	// suppressed counts the refusals without a log line.
	suppressed atomic.Int64
}

// allow reports whether to log another refusal.
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

// processCPUTime returns the user and system CPU time that this process has used.
func processCPUTime() (time.Duration, error) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// logLoad logs the load of the router. Counters are totals since the start, so that a lost line
// loses no information. It must be called by the goroutine of concurrencyLimiter.run.
func (n *node) logLoad(connections int64) {
	l := n.limiter
	workspace, most := l.byWorkspace.largest()
	overloaded, size := n.membership.CountOverloaded()
	n.log("pressure", "lag-ms", time.Duration(l.lag.Load()).Milliseconds(), "limit", l.limit.Load(),
		"most", l.ceiling.Load(), "active", n.relayer.Active(), "connections", connections,
		"taken", l.accepted.Load(), "refused", l.refused.Load(),
		"turned-away", n.metrics.counter("caller-connections-turned-away"), "closed", n.metrics.counter("caller-connections-closed"),
		"refused-slow", n.metrics.counter("refused-router-slow"), "refused-share", n.metrics.counter("refused-router-share"),
		"refused-by-owners", n.metrics.counter("refused-over-share")+n.metrics.counter("refused-too-late"),
		"retry-spread-ms", time.Duration(n.retryAfter.spreadNanos.Load()).Milliseconds(), "away", n.readiness.isWithdrawn(),
		"zone-crowded", overloaded, "zone-routers", size, "most-active", workspace, "most-active-requests", most,
		"unlogged", n.refusalLog.suppressed.Load(), "processor-ms", time.Duration(l.cpuTime.Load()).Milliseconds(),
		"processor-percent", int(100*l.cpuUse))
}
