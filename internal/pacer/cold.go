package pacer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxCold limits the cold period that a peer may report, as the platform's adapter limits those of servers.
	maxCold = time.Minute
	// coldSlack is by how much a peer's report must exceed what is known to count, since the time that it took to
	// arrive is part of it. A report is passed on over at most maxColdHops routers: from a leaf over two hubs to
	// another leaf. Together they keep routers from extending a period in turn.
	coldSlack   = 250 * time.Millisecond
	maxColdHops = 3
	// startedLongAgo is the age above which a server that first appears has not just started. The clocks of machines
	// differ by seconds and may jump, so a smaller age shows nothing.
	startedLongAgo = time.Minute
	// incarnationTTL is how long an incarnation is remembered that is no longer listed. Lists lag, and may lapse while the
	// store is away; an incarnation that returns has not started again.
	incarnationTTL = 10 * time.Minute
	// After a cold period, the rate of a server doubles in each warmingDoubling for warmingTime, so that the load that
	// was moved elsewhere does not return all at once.
	warmingTime     = 1500 * time.Millisecond
	warmingDoubling = 500 * time.Millisecond
)

// Phase is a phase of a server's life.
type Phase int

// Phases. A server that is warming takes requests at a rate that grows.
const (
	Warm Phase = iota
	Warming
	Cold
)

// ColdCause says why a server counts as cold.
type ColdCause string

// Causes.
const (
	// ColdEntry: its entry says so. ColdResponse: a response does. ColdStart: it started during traffic.
	ColdEntry    ColdCause = "entry"
	ColdResponse ColdCause = "response"
	ColdStart    ColdCause = "start"
	// ColdPeer: a peer reported it. ColdEvacuation: the evacuation of its zone ended.
	ColdPeer       ColdCause = "peer"
	ColdEvacuation ColdCause = "evacuation"
	// ColdCrash: it ended, and starts again.
	ColdCrash ColdCause = "crash"
)

// ColdChange is a cold period that began, or is longer than was known.
type ColdChange struct {
	Server string
	Cause  ColdCause
	// Remaining is how much longer the server stays cold.
	Remaining time.Duration
	// Began is true if the server was not cold before.
	Began bool
}

// ListedServer is a server as its entry describes it.
type ListedServer struct {
	ID               string
	StartedUnixMilli int64
	// Entry is the version of the entry, and Remaining how much longer the server stays cold as of its writing.
	Entry     uint64
	Remaining time.Duration
	// ColdStart is how long a server of its service is cold after a start during traffic, 0 if it is not.
	ColdStart time.Duration
}

// ColdNews is a cold period, as routers tell each other.
type ColdNews struct {
	Server           string
	StartedUnixMilli int64
	// Remaining is how much longer the server stays cold by its own statements, and StartRemaining because it started
	// during traffic; 0 if not for that reason.
	Remaining      time.Duration
	StartRemaining time.Duration
	// Hops is the number of routers that passed the statements on.
	Hops int
}

// coldPeriod is the cold period of one incarnation of a server.
type coldPeriod struct {
	startedUnixMilli int64
	// statedUntil is the end by the server's own statements: the latest one, since an older statement must not shorten a
	// newer one. startUntil is the end that follows from its start: the earliest one that any router has computed, since
	// all learn of the start after it. Both are 0 if unknown.
	statedUntil, startUntil time.Duration
	hops                    int
	// told is the end that peers were told, and changedAt the sequence number of that news.
	told      time.Duration
	changedAt uint64
	// reported is true while the end of the period has not been returned by Tick.
	reported bool
}

func (p *coldPeriod) until() time.Duration { return max(p.statedUntil, p.startUntil) }

// incarnation is the newest known incarnation of a server.
type incarnation struct {
	startedUnixMilli int64
	// entry is the version of the last entry that was applied.
	entry         uint64
	unlistedSince time.Duration
}

// ColdServers holds which servers are cold until when. Times are readings of the boot clock. The zero value is ready to
// use, and its methods are safe for concurrent use.
type ColdServers struct {
	mu      sync.Mutex
	periods map[string]*coldPeriod
	// periodCount is the number of periods. Requests read it without the lock.
	periodCount atomic.Int64
	// sequence numbers the changes that peers are told of.
	sequence uint64
	// incarnations is nil before the servers were listed for the first time.
	incarnations map[string]*incarnation
}

// Empty reports whether all servers are warm.
func (c *ColdServers) Empty() bool { return c.periodCount.Load() == 0 }

// Observe applies the list of servers. wall is the time of day, and traffic whether this router has had requests.
//
// The servers of the first list were there before this router; its peers know which of them have just started. A server
// that appears later, or with a later start, is cold from its start on, unless there has been no traffic yet, or its age
// exceeds any difference of clocks.
func (c *ColdServers) Observe(now time.Duration, wall time.Time, listed []ListedServer, traffic bool) (changes []ColdChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.incarnations == nil
	if first {
		c.incarnations = map[string]*incarnation{}
	}
	ids := make(map[string]bool, len(listed))
	for _, s := range listed {
		ids[s.ID] = true
		known := c.incarnations[s.ID]
		if known != nil && s.StartedUnixMilli < known.startedUnixMilli {
			// An outdated entry.
			continue
		}
		appeared := known == nil || s.StartedUnixMilli > known.startedUnixMilli
		written := appeared || s.Entry != known.entry
		if appeared {
			known = &incarnation{startedUnixMilli: s.StartedUnixMilli}
			c.incarnations[s.ID] = known
		}
		started := appeared && !first
		known.unlistedSince = 0
		if age := wall.Sub(time.UnixMilli(s.StartedUnixMilli)); s.StartedUnixMilli > 0 && age > startedLongAgo {
			started = false
		}
		if started && traffic && s.ColdStart > 0 {
			changes = c.apply(changes, now, ColdStart, ColdNews{Server: s.ID, StartedUnixMilli: s.StartedUnixMilli, StartRemaining: s.ColdStart})
		}
		if s.Remaining > 0 && written {
			// The value is as of the writing, up to two seconds ago, so it ends no sooner than the period.
			changes = c.apply(changes, now, ColdEntry, ColdNews{Server: s.ID, StartedUnixMilli: s.StartedUnixMilli, Remaining: s.Remaining})
		}
		known.entry = s.Entry
	}
	maps.DeleteFunc(c.incarnations, func(id string, i *incarnation) bool {
		if !ids[id] && i.unlistedSince == 0 {
			i.unlistedSince = now
		}
		return i.unlistedSince > 0 && (now-i.unlistedSince > incarnationTTL || len(c.incarnations) > maxServers)
	})
	return changes
}

// Record applies that a server stays cold for a duration, as it states in a response or for another cause.
func (c *ColdServers) Record(now time.Duration, cause ColdCause, server string, startedUnixMilli int64, remaining time.Duration) []ColdChange {
	if remaining <= 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.apply(nil, now, cause, ColdNews{Server: server, StartedUnixMilli: startedUnixMilli, Remaining: remaining})
}

// RecordLocally does the same as Record, but peers are not told through gossip.
func (c *ColdServers) RecordLocally(now time.Duration, cause ColdCause, server string, startedUnixMilli int64, remaining time.Duration) []ColdChange {
	if remaining <= 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.apply(nil, now, cause, ColdNews{Server: server, StartedUnixMilli: startedUnixMilli, Remaining: remaining, Hops: maxColdHops})
}

// ApplyNews applies what a peer knows.
func (c *ColdServers) ApplyNews(now time.Duration, news []ColdNews) (changes []ColdChange) {
	if len(news) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range news {
		if n.Server == "" || n.Hops < 0 || n.Remaining <= 0 && n.StartRemaining <= 0 {
			continue
		}
		n.Hops++
		changes = c.apply(changes, now, ColdPeer, n)
	}
	return changes
}

// apply adds what is known of a period and appends the change, if there is one. The lock must be held.
func (c *ColdServers) apply(changes []ColdChange, now time.Duration, cause ColdCause, n ColdNews) []ColdChange {
	if known := c.incarnations[n.Server]; known != nil && n.StartedUnixMilli < known.startedUnixMilli {
		return changes
	}
	p := c.periods[n.Server]
	switch {
	case p != nil && n.StartedUnixMilli < p.startedUnixMilli:
		return changes
	case p == nil || n.StartedUnixMilli > p.startedUnixMilli:
		if p == nil && len(c.periods) >= maxServers && !c.evict() {
			return changes
		}
		if c.periods == nil {
			c.periods = map[string]*coldPeriod{}
		}
		// The period of the incarnation before does not count.
		p = &coldPeriod{startedUnixMilli: n.StartedUnixMilli, hops: n.Hops, reported: p != nil && p.reported}
		c.periods[n.Server] = p
		c.periodCount.Store(int64(len(c.periods)))
	}
	before := p.until()
	if n.StartRemaining > 0 {
		if until := now + min(n.StartRemaining, maxCold); p.startUntil == 0 || until < p.startUntil {
			p.startUntil = until
		}
	}
	slack := time.Duration(0)
	if n.Hops > 0 {
		slack = coldSlack
	}
	if until := now + min(n.Remaining, maxCold); n.Remaining > 0 && until > p.statedUntil+slack {
		p.statedUntil, p.hops = until, n.Hops
	}
	until := p.until()
	if until > p.told+coldSlack && n.Hops < maxColdHops {
		c.sequence++
		p.told, p.changedAt = until, c.sequence
	}
	began := !p.reported && until > now
	if !began && until <= before {
		return changes
	}
	p.reported = true
	return append(changes, ColdChange{Server: n.Server, Cause: cause, Remaining: until - now, Began: began})
}

// evict forgets a server that is not listed. It reports whether there was one.
func (c *ColdServers) evict() bool {
	for id := range c.periods {
		if i := c.incarnations[id]; i == nil || i.unlistedSince > 0 {
			delete(c.periods, id)
			return true
		}
	}
	return false
}

// Tick returns the servers whose cold periods have ended since the last call, sorted.
func (c *ColdServers) Tick(now time.Duration) (warm []string) {
	if c.Empty() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.periods {
		if now >= p.until() && p.reported {
			p.reported = false
			warm = append(warm, id)
		}
		if now >= p.until()+warmingTime {
			delete(c.periods, id)
		}
	}
	c.periodCount.Store(int64(len(c.periods)))
	slices.Sort(warm)
	return warm
}

// Phase returns the phase of a server, and how long ago its cold period ended if it is warming.
func (c *ColdServers) Phase(now time.Duration, server string) (phase Phase, since time.Duration) {
	if c.Empty() {
		return Warm, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.periods[server]
	switch {
	case p == nil || now >= p.until()+warmingTime:
		return Warm, 0
	case now >= p.until():
		return Warming, now - p.until()
	}
	return Cold, 0
}

// WarmingRate returns the rate of a server whose cold period ended some time ago, if it takes perSecond requests a
// second while it is cold.
func WarmingRate(perSecond float64, since time.Duration) float64 {
	return perSecond * math.Exp2(float64(since)/float64(warmingDoubling))
}

// Remaining returns how much longer servers stay cold, by ID.
func (c *ColdServers) Remaining(now time.Duration) map[string]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]time.Duration{}
	for id, p := range c.periods {
		if left := p.until() - now; left > 0 {
			out[id] = left
		}
	}
	return out
}

// ColdUpdate carries periods that changed after the sequence number After, which the receiver has acknowledged, up to
// Till.
type ColdUpdate struct {
	News  []ColdNews
	After uint64
	Till  uint64
}

// Seen returns the sequence number to acknowledge after an update, if seen was acknowledged before.
func (u ColdUpdate) Seen(seen uint64) uint64 { return Update{After: u.After, Till: u.Till}.Seen(seen) }

// ForPeer returns the periods that changed since the sequence number that the peer has acknowledged, at most maxNews.
func (c *ColdServers) ForPeer(now time.Duration, acked uint64) ColdUpdate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if acked > c.sequence {
		// The peer acknowledges an earlier process of this router.
		acked = 0
	}
	out := ColdUpdate{After: acked, Till: c.sequence}
	var changed []string
	for id, p := range c.periods {
		if p.changedAt > acked && p.until() > now {
			changed = append(changed, id)
		}
	}
	slices.SortFunc(changed, func(a, b string) int {
		return cmp.Compare(c.periods[a].changedAt, c.periods[b].changedAt)
	})
	if len(changed) > maxNews {
		changed = changed[:maxNews]
		out.Till = c.periods[changed[maxNews-1]].changedAt
	}
	for _, id := range changed {
		out.News = append(out.News, c.periods[id].news(now, id))
	}
	return out
}

// Of returns the period of one server as news, empty if it is not cold.
func (c *ColdServers) Of(now time.Duration, server string) []ColdNews {
	if c.Empty() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.periods[server]; p != nil && p.until() > now {
		return []ColdNews{p.news(now, server)}
	}
	return nil
}

func (p *coldPeriod) news(now time.Duration, id string) ColdNews {
	return ColdNews{
		Server: id, StartedUnixMilli: p.startedUnixMilli, Hops: p.hops,
		Remaining: max(0, p.statedUntil-now), StartRemaining: max(0, p.startUntil-now),
	}
}
