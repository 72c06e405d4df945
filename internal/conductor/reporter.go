package conductor

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"
)

// maxRefusalLines is the number of lines a second about requests that this router
// refuses for its own sake. A flooded router refuses thousands, and the lines
// about what it still does must not drown in them.
const maxRefusalLines = 50

// refusalLog bounds the lines about refusals. The zero value is ready to use.
type refusalLog struct {
	limiter atomic.Pointer[rate.Limiter]
	// unlogged counts the refusals without a line.
	unlogged atomic.Int64
}

// allow says whether one more refusal gets a line.
func (l *refusalLog) allow() bool {
	limiter := l.limiter.Load()
	if limiter == nil {
		l.limiter.CompareAndSwap(nil, rate.NewLimiter(maxRefusalLines, maxRefusalLines))
		limiter = l.limiter.Load()
	}
	if limiter.Allow() {
		return true
	}
	l.unlogged.Add(1)
	return false
}

// processorTime returns the processor time that this process has used, as the
// kernel counts it.
func processorTime() (time.Duration, error) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// reportPressure logs how the router stands. All counts are since its start, so
// that a line which is missing loses nothing.
func (n *node) reportPressure(connections int64) {
	p := n.pressure
	n.log("pressure", "lag-ms", time.Duration(p.lag.Load()).Milliseconds(), "limit", p.limit.Load(),
		"most", p.most.Load(), "active", n.relayer.Active(), "connections", connections,
		"taken", p.taken.Load(), "refused", p.refused.Load(),
		"turned-away", n.meter.get("caller-connections-turned-away"), "closed", n.meter.get("caller-connections-closed"),
		"unlogged", n.refusals.unlogged.Load(), "processor-ms", time.Duration(p.used.Load()).Milliseconds())
}
