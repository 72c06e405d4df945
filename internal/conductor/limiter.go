package conductor

import (
	"context"
	"sync/atomic"
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/platform"
)

const (
	// samplePeriod is the period of load samples. It has no common factor with 100 ms, the CPU
	// quota period on some instances, so that samples fall on all parts of the quota period: a
	// router that has used up its quota is throttled at the end of each.
	samplePeriod = 37 * time.Millisecond
	// lagSmoothing is the weight of the newest sample in the lag, which is the delay with which
	// timers fire.
	lagSmoothing = 0.2
	// maxMeanLag is the smoothed lag above which the CPU is overloaded. A router that uses up
	// its quota after 60 of every 100 ms has a mean lag of 8 ms, and one that needs five times
	// its quota of 32 ms.
	maxMeanLag = 8 * time.Millisecond
	// limitDecrease is the fraction by which the limit falls with each sample above
	// maxMeanLag, and limitIncrease the fraction by which it rises with each other sample. It
	// halves within a third of a second and doubles within two seconds.
	limitDecrease = 0.08
	limitIncrease = 0.015
	// nearlyFullFraction is the fraction of the ceiling from which a router is nearly full. The
	// load balancer takes seconds to direct callers to other routers, and the rest serves them
	// until then.
	nearlyFullFraction = 0.7
	// reportPeriod is the period of load log lines during overload.
	reportPeriod = time.Second
	// The limit never falls below minRequestLimit or minRequestsPerCore times the cores. A
	// stream takes about a thousandth of a core (49 µs per event, 15 events a second), and
	// refusing other requests must leave a third of the CPU for streams.
	minRequestLimit    = 8
	minRequestsPerCore = 300
	// An overloaded router keeps connectionsPerRequest caller connections for each request of
	// its limit, and minConnections more. Most callers use a connection for one request at a
	// time.
	connectionsPerRequest = 2
	minConnections        = 64
	// extraConnectionPeriod is how often an overloaded router accepts a connection beyond that
	// number. The resulting 20 connections a second are a fifth of what a router with a fifth of
	// a core can answer.
	extraConnectionPeriod = 50 * time.Millisecond
	// bytesPerRequest is the approximate memory of an active request: two connections with
	// their buffers and goroutines, headers and a timer.
	bytesPerRequest = 64 << 10
	// bytesPerConnection is the approximate memory of a caller's idle connection: its buffers,
	// the stack of its goroutine, and memory of the last request that the runtime has kept.
	bytesPerConnection = 24 << 10
	// requestMemoryFraction and connectionMemoryFraction are the fractions of the memory for
	// active requests and for caller connections.
	requestMemoryFraction    = 0.4
	connectionMemoryFraction = 0.35
	// plainServiceFactor raises the limits for requests to plain services, which are short and
	// cheap.
	plainServiceFactor = 1.25
	// reservedDescriptors is the number of file descriptors for files and for connections to
	// peers and the store. callerDescriptorFraction is the fraction of the other descriptors that
	// callers may use; the rest is for connections to servers.
	reservedDescriptors      = 240
	callerDescriptorFraction = 0.6
)

// concurrencyLimiter limits the number of concurrent requests and connections to what the
// router can handle. The request limit falls while the router's timers fire late, and rises
// again slowly. A caller that is refused early is served by another router in time, whereas a
// request that is accepted by an overloaded router is served late and delays all others.
type concurrencyLimiter struct {
	// maxRequests and maxConnections follow from the memory and the file descriptors of the
	// instance.
	maxRequests    int64
	maxConnections int64
	ceilingEstimator
	// active returns the number of active requests.
	active func() int64

	// lastExtraConnection is when a connection was last accepted beyond the usual number. Only
	// the accepting goroutine uses it.
	lastExtraConnection time.Time
	// reportOverload is called every reportPeriod while requests are refused or the limit is
	// reduced.
	reportOverload func()
	// onSample is called at each sample with whether requests were refused since the last one.
	onSample func(now time.Time, refused bool)
	// onCPUTimeError is called once if the CPU time cannot be read. The ceiling then stays as
	// it is.
	onCPUTimeError func(error)
	// cpuTime is the CPU time that this process has used, in nanoseconds.
	cpuTime atomic.Int64

	// lag is the smoothed delay with which timers fire, in nanoseconds.
	lag atomic.Int64
	// byWorkspace counts the active requests of each workspace.
	byWorkspace workspaceCounts
	// accepted and refused count requests since the router started.
	accepted atomic.Int64
	refused  atomic.Int64
	// limit is the number of requests that may be active at the same time, at least minLimit.
	limit    atomic.Int64
	minLimit int64
}

func newConcurrencyLimiter(r platform.ResourceLimits, active func() int64) *concurrencyLimiter {
	memory := float64(r.MemoryMB << 20)
	connections := memory * connectionMemoryFraction / bytesPerConnection
	if r.MaxDescriptors > reservedDescriptors {
		connections = min(connections, float64(r.MaxDescriptors-reservedDescriptors)*callerDescriptorFraction)
	}
	l := &concurrencyLimiter{
		maxRequests:    int64(memory * requestMemoryFraction / bytesPerRequest),
		maxConnections: int64(connections),
		active:         active,
	}
	l.minLimit = min(l.maxRequests, max(minRequestLimit, int64(r.CPUShare*minRequestsPerCore)))
	l.ceilingEstimator.init(r.CPUShare, l.minLimit, l.maxRequests)
	l.limit.Store(l.ceiling.Load())
	return l
}

// run samples the load until the context ends.
func (l *concurrencyLimiter) run(ctx context.Context) {
	t := time.NewTimer(samplePeriod)
	defer t.Stop()
	var reported time.Time
	var reportedRefused, sampledRefused int64
	var cpuTimeAt time.Time
	cpuTimeFailed := false
	for {
		start := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			cpuTime, err := processCPUTime()
			switch now := time.Now(); {
			case err == nil:
				previous := time.Duration(l.cpuTime.Swap(int64(cpuTime)))
				if !cpuTimeAt.IsZero() {
					l.updateCeiling((cpuTime - previous).Seconds() / now.Sub(cpuTimeAt).Seconds())
				}
				cpuTimeAt = now
			case !cpuTimeFailed:
				cpuTimeFailed = true
				l.onCPUTimeError(err)
			}
			l.updateLimit(time.Since(start) - samplePeriod)
			refused := l.refused.Load()
			l.onSample(time.Now(), refused > sampledRefused)
			sampledRefused = refused
			if time.Since(reported) > reportPeriod {
				if l.limit.Load() < l.ceiling.Load() || refused > reportedRefused {
					reported, reportedRefused = time.Now(), refused
					l.reportOverload()
				}
			}
			t.Reset(samplePeriod)
		}
	}
}

// updateCeiling adjusts the ceiling to the number of cores used since the last sample.
func (l *concurrencyLimiter) updateCeiling(cores float64) {
	atCeiling := l.limit.Load() == l.ceiling.Load()
	l.ceilingEstimator.record(cores, l.active(), atCeiling)
	if next := l.ceiling.Load(); atCeiling || l.limit.Load() > next {
		l.limit.Store(next)
	}
}

// updateLimit adjusts the limit to the delay with which the last timer fired.
func (l *concurrencyLimiter) updateLimit(delay time.Duration) {
	old := time.Duration(l.lag.Load())
	lag := old + time.Duration(lagSmoothing*float64(delay-old))
	l.lag.Store(int64(lag))
	limit := float64(l.limit.Load())
	if lag > maxMeanLag {
		// Starts from the active requests if they are below the limit, since the rest of
		// the limit was not in use.
		limit = min(limit, float64(l.active())+1) * (1 - limitDecrease)
	} else {
		limit += max(1, limit*limitIncrease)
	}
	l.limit.Store(min(max(int64(limit), l.minLimit), l.ceiling.Load()))
}

// admit accepts a request and returns "", or returns the reason for refusing it. The caller
// must call release at the end of an accepted request.
func (l *concurrencyLimiter) admit(kind cataloger.RouteKind, workspace string, active int64) string {
	reason := l.checkAdmission(kind, workspace, active)
	if reason != "" {
		return reason
	}
	l.accepted.Add(1)
	l.byWorkspace.add(workspace)
	return ""
}

// checkAdmission returns the reason for refusing a request, which then counts as refused, or ""
// if it can be accepted.
func (l *concurrencyLimiter) checkAdmission(kind cataloger.RouteKind, workspace string, active int64) string {
	reason := l.refusalReason(kind, workspace, active)
	if reason != "" {
		l.refused.Add(1)
	}
	return reason
}

func (l *concurrencyLimiter) release(workspace string) { l.byWorkspace.remove(workspace) }

func (l *concurrencyLimiter) refusalReason(kind cataloger.RouteKind, workspace string, active int64) string {
	factor := 1.0
	if kind != cataloger.RouteStream {
		factor = plainServiceFactor
	}
	limit := float64(l.limit.Load())
	switch {
	case float64(active) > factor*float64(l.maxRequests):
		return "router-full"
	case float64(active) > factor*limit:
		return "router-slow"
	case kind == cataloger.RouteStream && float64(active) > unreservedFraction*limit && !l.byWorkspace.isBelowFairShare(workspace, unreservedFraction*limit):
		return "router-share"
	}
	return ""
}

// isNearlyFull reports whether the active requests come close to the ceiling, and the ceiling to what
// the router can bear: it rises while most of the CPU share is unused and memory is left. The limit is
// not suitable, as it falls to the number of active requests when timers fire late. Only the sampling
// goroutine may call it.
func (l *concurrencyLimiter) isNearlyFull() bool {
	ceiling := l.ceiling.Load()
	if float64(l.active()) < nearlyFullFraction*float64(ceiling) {
		return false
	}
	return ceiling >= l.maxCeiling || l.limit.Load() < ceiling || l.cpuUse >= nearlyFullFraction*lowCPUUse
}

// hasCapacity reports whether the router can accept more requests of any workspace.
func (l *concurrencyLimiter) hasCapacity() bool {
	return float64(l.active()) < unreservedFraction*float64(l.limit.Load())
}

// allowConnection reports whether another connection may be accepted beside the open ones. An
// overloaded router keeps few, because refusing requests on them costs more CPU time. It still
// accepts some all the time, since idle connections would otherwise keep out all new callers.
func (l *concurrencyLimiter) allowConnection(now time.Time, open int64) bool {
	limit := l.limit.Load()
	switch {
	case open >= l.maxConnections:
		return false
	case limit >= l.ceiling.Load() || open < connectionsPerRequest*limit+minConnections:
		return true
	case now.Sub(l.lastExtraConnection) < extraConnectionPeriod:
		return false
	}
	l.lastExtraConnection = now
	return true
}
