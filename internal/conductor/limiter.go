package conductor

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/platform"
)

const (
	// samplePeriod is the period in which the router looks how late it wakes. It shares
	// no factor with the tenth of a second in which an instance's share of a core is
	// counted on some: a router that uses it up stands still at the end of each.
	samplePeriod = 37 * time.Millisecond
	// lagSmoothing is the weight of the newest look.
	lagSmoothing = 0.2
	// maxMeanLag is the mean lateness above which the processor cannot keep up. A router
	// whose share is used up after 60 of each 100 ms stands still for the rest, and
	// is 8 ms late on average; one that needs five times its share is 32 ms late.
	maxMeanLag = 8 * time.Millisecond
	// limitDecrease is the part by which the number of requests served at the same time
	// falls with each look at which the router is too late, and speedUp the part by
	// which it rises with each other one: it halves within a third of a second, and
	// doubles within two.
	limitDecrease = 0.08
	limitIncrease = 0.015
	// reportPeriod is the period of log lines while requests are turned away.
	reportPeriod = time.Second
	// minRequestLimit are always served at the same time, and for a whole core
	// leastPerCore: a stream takes about a thousandth of a core (49 µs an event, 15
	// events a second), and turning others away must leave a third of it.
	minRequestLimit    = 8
	minRequestsPerCore = 300
	// initialRequestsPerCore is the most that a whole core serves at the same time before more is
	// known of what requests cost: a fifth of it goes to refusals and to the other
	// routers.
	initialRequestsPerCore = 800
	// lowCPUUse is the part of the share of a core up to which the most rises by mostUp
	// with each look that finds it reached, by a tenth in a second: streams show what
	// they cost after half a second. tightUse is the part above which it falls back.
	lowCPUUse   = 0.7
	highCPUUse  = 0.85
	ceilingStep = 0.004
	// ceilingReachedFraction is the part of the most from which it counts as reached.
	ceilingReachedFraction = 0.85
	// cpuUseSmoothing is the weight of the newest look at the use of the processor.
	cpuUseSmoothing = 0.1
	// connectionsPerRequest is the number of caller connections that a slow router keeps
	// for each request it serves, and minConnections what it always keeps: most
	// callers keep a connection for one request at a time.
	connectionsPerRequest = 2
	minConnections        = 64
	// extraConnectionPeriod is the time after which it takes one more all the same: 20 a second
	// are a fifth of what a router with a fifth of a core can answer.
	extraConnectionPeriod = 50 * time.Millisecond
	// bytesPerRequest is about the memory of one request that is served: two
	// connections with their buffers and goroutines, headers and a timer.
	bytesPerRequest = 64 << 10
	// bytesPerConnection is about the memory of a caller's unused connection: its
	// buffers, its goroutine's stack, and what the runtime keeps of the last request.
	bytesPerConnection = 24 << 10
	// requestMemoryFraction and connectionShare are the parts of the memory for them.
	requestMemoryFraction    = 0.4
	connectionMemoryFraction = 0.35
	// plainServiceFactor is how much further requests for plain services may go: they are
	// short and light.
	plainServiceFactor = 1.25
	// reservedDescriptors are kept for files, peers and the store, and callerShare
	// is the part of the others for callers; the rest is for servers.
	reservedDescriptors      = 240
	callerDescriptorFraction = 0.6
)

// concurrencyLimiter tells when the router has to turn work away for its own sake. The
// number of requests that it serves at the same time falls while it wakes too
// late, and rises again slowly. A caller that is turned away early is served by
// another router in time; one that is taken by a router that cannot keep up is
// served late, and makes all others late.
type concurrencyLimiter struct {
	// maxRequests and maxConnections follow from the instance's memory and
	// descriptors.
	maxRequests    int64
	maxConnections int64
	// ceiling is the limit while the router keeps up. It follows what the processor
	// bears, as streams cost it most after they were taken: once the router wakes
	// late, it has taken too many.
	ceiling atomic.Int64
	// minCeiling is where most begins; share is the router's part of a core, and use
	// the part of that share which was used lately.
	minCeiling int64
	cpuShare   float64
	cpuUse     float64
	// active counts the requests being served.
	active func() int64

	// lastExtraConnection is when a connection beyond the number was taken; only the goroutine
	// that accepts them uses it.
	lastExtraConnection time.Time
	// reportOverload is told each reportEvery while requests are turned away, or may be.
	reportOverload func()
	// onSample is told at each look whether requests were refused since the last one.
	onSample func(now time.Time, refused bool)
	// onCPUTimeError is told once that the use of the processor cannot be read; the most then
	// stays as it is.
	onCPUTimeError func(error)
	// cpuTime is the processor time of this process, in nanoseconds.
	cpuTime atomic.Int64

	// lag is how late the router wakes, smoothed, in nanoseconds.
	lag atomic.Int64
	// byWorkspace tells whose requests are served.
	byWorkspace workspaceCounts
	// accepted and refused count the requests that busy was asked about.
	accepted atomic.Int64
	refused  atomic.Int64
	// limit is the number of requests that may be served at the same time, at least
	// least.
	limit    atomic.Int64
	minLimit int64
}

func newConcurrencyLimiter(r platform.Resource, active func() int64) *concurrencyLimiter {
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
	l.minCeiling, l.cpuShare = l.maxRequests, r.CPUShare
	if r.CPUShare > 0 {
		l.minCeiling = min(l.maxRequests, max(l.minLimit, int64(r.CPUShare*initialRequestsPerCore)))
	}
	l.ceiling.Store(l.minCeiling)
	l.limit.Store(l.minCeiling)
	return l
}

// run measures the lag until the context ends.
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
				before := time.Duration(l.cpuTime.Swap(int64(cpuTime)))
				if !cpuTimeAt.IsZero() {
					l.updateCeiling((cpuTime - before).Seconds() / now.Sub(cpuTimeAt).Seconds())
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

// updateCeiling takes in how many cores were used since the last look. The most follows
// slowly what requests cost here.
func (l *concurrencyLimiter) updateCeiling(cores float64) {
	if l.cpuShare <= 0 {
		return
	}
	l.cpuUse += cpuUseSmoothing * (cores/l.cpuShare - l.cpuUse)
	ceiling := float64(l.ceiling.Load())
	atCeiling := l.limit.Load() == l.ceiling.Load()
	switch {
	case l.cpuUse > highCPUUse:
		ceiling *= 1 - ceilingStep
	case l.cpuUse < lowCPUUse && atCeiling && float64(l.active()) >= ceilingReachedFraction*ceiling:
		ceiling = math.Ceil(ceiling * (1 + ceilingStep))
	}
	next := min(max(int64(ceiling), l.minCeiling), l.maxRequests)
	l.ceiling.Store(next)
	if atCeiling || l.limit.Load() > next {
		l.limit.Store(next)
	}
}

// updateLimit takes in how late the router woke.
func (l *concurrencyLimiter) updateLimit(delay time.Duration) {
	old := time.Duration(l.lag.Load())
	lag := old + time.Duration(lagSmoothing*float64(delay-old))
	l.lag.Store(int64(lag))
	limit := float64(l.limit.Load())
	if lag > maxMeanLag {
		// What is above the present number was never in use.
		limit = min(limit, float64(l.active())+1) * (1 - limitDecrease)
	} else {
		limit += max(1, limit*limitIncrease)
	}
	l.limit.Store(min(max(int64(limit), l.minLimit), l.ceiling.Load()))
}

// admit says why a request cannot be taken, or nothing; done must be called at the
// end of one that is taken.
func (l *concurrencyLimiter) admit(work cataloger.Work, workspace string, active int64) string {
	reason := l.countedRefusalReason(work, workspace, active)
	if reason != "" {
		return reason
	}
	l.accepted.Add(1)
	l.byWorkspace.add(workspace)
	return ""
}

// countedRefusalReason says why a request cannot be taken, or nothing.
func (l *concurrencyLimiter) countedRefusalReason(work cataloger.Work, workspace string, active int64) string {
	reason := l.refusalReason(work, workspace, active)
	if reason != "" {
		l.refused.Add(1)
	}
	return reason
}

func (l *concurrencyLimiter) release(workspace string) { l.byWorkspace.remove(workspace) }

func (l *concurrencyLimiter) refusalReason(work cataloger.Work, workspace string, active int64) string {
	factor := 1.0
	if work != cataloger.WorkStream {
		factor = plainServiceFactor
	}
	limit := float64(l.limit.Load())
	switch {
	case float64(active) > factor*float64(l.maxRequests):
		return "router-full"
	case float64(active) > factor*limit:
		return "router-slow"
	case work == cataloger.WorkStream && float64(active) > unreservedFraction*limit && !l.byWorkspace.isBelowFairShare(workspace, unreservedFraction*limit):
		return "router-share"
	}
	return ""
}

// hasCapacity says whether the router could take more requests of any workspace.
func (l *concurrencyLimiter) hasCapacity() bool {
	return float64(l.active()) < unreservedFraction*float64(l.limit.Load())
}

// allowConnection says whether one more connection may be opened beside so many. A slow
// router keeps few, as the requests on them cost more to refuse; but it always
// takes some, or the unused ones would shut all others out.
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
