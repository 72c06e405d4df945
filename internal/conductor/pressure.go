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
	// lagStep is the period in which the router looks how late it wakes. It shares
	// no factor with the tenth of a second in which an instance's share of a core is
	// counted on some: a router that uses it up stands still at the end of each.
	lagStep = 37 * time.Millisecond
	// lagSmoothing is the weight of the newest look.
	lagSmoothing = 0.2
	// maxLag is the mean lateness above which the processor cannot keep up. A router
	// whose share is used up after 60 of each 100 ms stands still for the rest, and
	// is 8 ms late on average; one that needs five times its share is 32 ms late.
	maxLag = 8 * time.Millisecond
	// slowDown is the part by which the number of requests served at the same time
	// falls with each look at which the router is too late, and speedUp the part by
	// which it rises with each other one: it halves within a third of a second, and
	// doubles within two.
	slowDown = 0.08
	speedUp  = 0.015
	// reportEvery is the period of log lines while requests are turned away.
	reportEvery = time.Second
	// minRequests are always served at the same time, and for a whole core
	// leastPerCore: a stream takes about a thousandth of a core (49 µs an event, 15
	// events a second), and turning others away must leave a third of it.
	minRequests  = 8
	leastPerCore = 300
	// mostPerCore is the most that a whole core serves at the same time before more is
	// known of what requests cost: a fifth of it goes to refusals and to the other
	// routers.
	mostPerCore = 800
	// roomyUse is the part of the share of a core up to which the most rises by mostUp
	// with each look that finds it reached, by a tenth in a second: streams show what
	// they cost after half a second. tightUse is the part above which it falls back.
	roomyUse = 0.7
	tightUse = 0.85
	mostUp   = 0.004
	// reached is the part of the most from which it counts as reached.
	reached = 0.85
	// useSmoothing is the weight of the newest look at the use of the processor.
	useSmoothing = 0.1
	// connectionsPer is the number of caller connections that a slow router keeps
	// for each request it serves, and minConnections what it always keeps: most
	// callers keep a connection for one request at a time.
	connectionsPer = 2
	minConnections = 64
	// takeEvery is the time after which it takes one more all the same: 20 a second
	// are a fifth of what a router with a fifth of a core can answer.
	takeEvery = 50 * time.Millisecond
	// requestBytes is about the memory of one request that is served: two
	// connections with their buffers and goroutines, headers and a timer.
	requestBytes = 64 << 10
	// connectionBytes is about the memory of a caller's unused connection: its
	// buffers, its goroutine's stack, and what the runtime keeps of the last request.
	connectionBytes = 24 << 10
	// requestShare and connectionShare are the parts of the memory for them.
	requestShare    = 0.4
	connectionShare = 0.35
	// plainShare is how much further requests for plain services may go: they are
	// short and light.
	plainShare = 1.25
	// reservedDescriptors are kept for files, peers and the store, and callerShare
	// is the part of the others for callers; the rest is for servers.
	reservedDescriptors = 240
	callerShare         = 0.6
)

// pressure tells when the router has to turn work away for its own sake. The
// number of requests that it serves at the same time falls while it wakes too
// late, and rises again slowly. A caller that is turned away early is served by
// another router in time; one that is taken by a router that cannot keep up is
// served late, and makes all others late.
type pressure struct {
	// maxRequests and maxConnections follow from the instance's memory and
	// descriptors.
	maxRequests    int64
	maxConnections int64
	// most is the limit while the router keeps up. It follows what the processor
	// bears, as streams cost it most after they were taken: once the router wakes
	// late, it has taken too many.
	most atomic.Int64
	// leastMost is where most begins; share is the router's part of a core, and use
	// the part of that share which was used lately.
	leastMost int64
	share     float64
	use       float64
	// active counts the requests being served.
	active func() int64

	// tookAt is when a connection beyond the number was taken; only the goroutine
	// that accepts them uses it.
	tookAt time.Time
	// report is told each reportEvery while requests are turned away, or may be.
	report func()
	// looked is told at each look whether requests were refused since the last one.
	looked func(now time.Time, refused bool)
	// blind is told once that the use of the processor cannot be read; the most then
	// stays as it is.
	blind func(error)
	// used is the processor time of this process, in nanoseconds.
	used atomic.Int64

	// lag is how late the router wakes, smoothed, in nanoseconds.
	lag atomic.Int64
	// occupied tells whose requests are served.
	occupied occupancy
	// taken and refused count the requests that busy was asked about.
	taken   atomic.Int64
	refused atomic.Int64
	// limit is the number of requests that may be served at the same time, at least
	// least.
	limit atomic.Int64
	least int64
}

func newPressure(r platform.Resource, active func() int64) *pressure {
	memory := float64(r.MemoryMB << 20)
	connections := memory * connectionShare / connectionBytes
	if r.MaxDescriptors > reservedDescriptors {
		connections = min(connections, float64(r.MaxDescriptors-reservedDescriptors)*callerShare)
	}
	p := &pressure{
		maxRequests:    int64(memory * requestShare / requestBytes),
		maxConnections: int64(connections),
		active:         active,
	}
	p.least = min(p.maxRequests, max(minRequests, int64(r.CPUShare*leastPerCore)))
	p.leastMost, p.share = p.maxRequests, r.CPUShare
	if r.CPUShare > 0 {
		p.leastMost = min(p.maxRequests, max(p.least, int64(r.CPUShare*mostPerCore)))
	}
	p.most.Store(p.leastMost)
	p.limit.Store(p.leastMost)
	return p
}

// run measures the lag until the context ends.
func (p *pressure) run(ctx context.Context) {
	t := time.NewTimer(lagStep)
	defer t.Stop()
	var reported time.Time
	var reportedRefused, lookedRefused int64
	var usedAt time.Time
	blind := false
	for {
		began := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			used, err := processorTime()
			switch now := time.Now(); {
			case err == nil:
				before := time.Duration(p.used.Swap(int64(used)))
				if !usedAt.IsZero() {
					p.noteUse((used - before).Seconds() / now.Sub(usedAt).Seconds())
				}
				usedAt = now
			case !blind:
				blind = true
				p.blind(err)
			}
			p.note(time.Since(began) - lagStep)
			refused := p.refused.Load()
			p.looked(time.Now(), refused > lookedRefused)
			lookedRefused = refused
			if time.Since(reported) > reportEvery {
				if p.limit.Load() < p.most.Load() || refused > reportedRefused {
					reported, reportedRefused = time.Now(), refused
					p.report()
				}
			}
			t.Reset(lagStep)
		}
	}
}

// noteUse takes in how many cores were used since the last look. The most follows
// slowly what requests cost here.
func (p *pressure) noteUse(cores float64) {
	if p.share <= 0 {
		return
	}
	p.use += useSmoothing * (cores/p.share - p.use)
	most := float64(p.most.Load())
	atMost := p.limit.Load() == p.most.Load()
	switch {
	case p.use > tightUse:
		most *= 1 - mostUp
	case p.use < roomyUse && atMost && float64(p.active()) >= reached*most:
		most = math.Ceil(most * (1 + mostUp))
	}
	next := min(max(int64(most), p.leastMost), p.maxRequests)
	p.most.Store(next)
	if atMost || p.limit.Load() > next {
		p.limit.Store(next)
	}
}

// note takes in how late the router woke.
func (p *pressure) note(late time.Duration) {
	old := time.Duration(p.lag.Load())
	lag := old + time.Duration(lagSmoothing*float64(late-old))
	p.lag.Store(int64(lag))
	limit := float64(p.limit.Load())
	if lag > maxLag {
		// What is above the present number was never in use.
		limit = min(limit, float64(p.active())+1) * (1 - slowDown)
	} else {
		limit += max(1, limit*speedUp)
	}
	p.limit.Store(min(max(int64(limit), p.least), p.most.Load()))
}

// busy says why a request cannot be taken, or nothing; done must be called at the
// end of one that is taken.
func (p *pressure) busy(work cataloger.RouteKind, workspace string, active int64) string {
	why := p.crowded(work, workspace, active)
	if why != "" {
		return why
	}
	p.taken.Add(1)
	p.occupied.add(workspace)
	return ""
}

// crowded says why a request cannot be taken, or nothing.
func (p *pressure) crowded(work cataloger.RouteKind, workspace string, active int64) string {
	why := p.judge(work, workspace, active)
	if why != "" {
		p.refused.Add(1)
	}
	return why
}

func (p *pressure) done(workspace string) { p.occupied.remove(workspace) }

func (p *pressure) judge(work cataloger.RouteKind, workspace string, active int64) string {
	share := 1.0
	if work != cataloger.RouteStream {
		share = plainShare
	}
	limit := float64(p.limit.Load())
	switch {
	case float64(active) > share*float64(p.maxRequests):
		return "router-full"
	case float64(active) > share*limit:
		return "router-slow"
	case work == cataloger.RouteStream && float64(active) > contestedShare*limit && !p.occupied.below(workspace, contestedShare*limit):
		return "router-share"
	}
	return ""
}

// room says whether the router could take more requests of any workspace.
func (p *pressure) room() bool { return float64(p.active()) < contestedShare*float64(p.limit.Load()) }

// takes says whether one more connection may be opened beside so many. A slow
// router keeps few, as the requests on them cost more to refuse; but it always
// takes some, or the unused ones would shut all others out.
func (p *pressure) takes(now time.Time, open int64) bool {
	limit := p.limit.Load()
	switch {
	case open >= p.maxConnections:
		return false
	case limit >= p.most.Load() || open < connectionsPer*limit+minConnections:
		return true
	case now.Sub(p.tookAt) < takeEvery:
		return false
	}
	p.tookAt = now
	return true
}
