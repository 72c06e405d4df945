// Package pacer keeps the requests to a server within the rate that it names in its answers, or that it tolerates
// while it is cold. Limits and ColdServers hold what servers have said, to any router of the fleet; a Pacer spaces the
// requests that start, and a Tenure holds whether this router may let them start at a cold server.
//
// The package does no I/O. Times of Limits are readings of the boot clock.
package pacer

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxServers limits the servers whose limits are remembered.
	maxServers = 4096
	// unlistedTTL is how long a limit is kept after its server is no longer listed, since lists lag.
	unlistedTTL = time.Minute
	// liftedTTL is how long it is remembered that a limit was lifted, so that older news do not restore it.
	liftedTTL = time.Minute
	// maxNews limits the limits in one message to a peer.
	maxNews = 64
	// significantChange is the relative change of a limit from which peers are told.
	significantChange = 0.1
)

// Statement is what one answer says about the limit of its server.
type Statement struct {
	// Named is true if the answer names a limit, of PerSecond requests a second.
	Named     bool
	PerSecond float64
	// SentAt is when the request was sent, and HeardAt when the head of the answer was read.
	SentAt, HeardAt time.Duration
}

// News is the limit of a server, as routers tell each other.
type News struct {
	Server string
	// StartedUnixMilli identifies the incarnation of the server: its start in Unix milliseconds, 0 if unknown.
	StartedUnixMilli int64
	// Named is false if the server no longer names a limit.
	Named     bool
	PerSecond float64
	// Ago is how long ago the answer was read.
	Ago time.Duration
}

// limit is the state of one server.
type limit struct {
	startedUnixMilli int64
	named            bool
	perSecond        float64
	heardAt          time.Duration
	// told is the rate that peers were told, and changedAt the sequence number of that news.
	told      float64
	changedAt uint64
	// unlistedSince is since when the server is not listed, or 0 while it is.
	unlistedSince time.Duration
}

// Limits holds the limits that servers name. The zero value is ready to use, and its methods are safe for
// concurrent use.
type Limits struct {
	mu      sync.Mutex
	servers map[string]*limit
	// sequence numbers the changes that peers are told of.
	sequence uint64
	// rates holds the rate of each server with a limit. It is replaced with each change, so that requests
	// read it without the lock.
	rates atomic.Pointer[map[string]float64]
}

// Rate returns the requests a second that a server takes from all routers, and whether it has a limit.
func (l *Limits) Rate(server string) (perSecond float64, limited bool) {
	rates := l.rates.Load()
	if rates == nil {
		return 0, false
	}
	perSecond, limited = (*rates)[server]
	return perSecond, limited
}

// Rates returns the rates of all servers with a limit. The map must not be modified.
func (l *Limits) Rates() map[string]float64 {
	if rates := l.rates.Load(); rates != nil {
		return *rates
	}
	return nil
}

// Record applies what an answer says. It reports whether that changes the limit of the server.
//
// Answers arrive out of order. A limit that is lower than the known one applies at once, while a higher one,
// or none, applies only if the request was sent after the known one was last named.
func (l *Limits) Record(server string, startedUnixMilli int64, s Statement) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.servers[server]
	if e == nil && !s.Named {
		return false
	}
	if e != nil && startedUnixMilli == e.startedUnixMilli && s.Named == e.named && s.PerSecond == e.perSecond {
		e.heardAt = max(e.heardAt, s.HeardAt)
		return false
	}
	return l.apply(server, startedUnixMilli, s)
}

// apply replaces the state of a server unless the statement may be older. The lock must be held.
func (l *Limits) apply(server string, startedUnixMilli int64, s Statement) (changed bool) {
	e := l.servers[server]
	switch {
	case e == nil:
		if len(l.servers) >= maxServers && !l.evict() {
			return false
		}
		if l.servers == nil {
			l.servers = map[string]*limit{}
		}
		e = &limit{told: math.NaN()}
		l.servers[server] = e
	case startedUnixMilli < e.startedUnixMilli:
		return false
	case startedUnixMilli > e.startedUnixMilli:
		// The limit of the incarnation before does not count.
	case s.Named && (!e.named || s.PerSecond < e.perSecond):
		if s.HeardAt < e.heardAt {
			return false
		}
	case s.SentAt < e.heardAt:
		return false
	}
	changed = e.named != s.Named || e.perSecond != s.PerSecond
	e.startedUnixMilli, e.named, e.perSecond, e.heardAt = startedUnixMilli, s.Named, s.PerSecond, s.HeardAt
	if !s.Named {
		e.perSecond = 0
	}
	if e.significant() {
		l.sequence++
		e.changedAt, e.told = l.sequence, e.value()
	}
	if changed {
		l.publish()
	}
	return changed
}

// value returns the rate, or infinity without a limit.
func (e *limit) value() float64 {
	if !e.named {
		return math.Inf(1)
	}
	return e.perSecond
}

// significant reports whether the rate differs enough from the one that peers know to tell them.
func (e *limit) significant() bool {
	v := e.value()
	if math.IsInf(v, 1) || math.IsInf(e.told, 1) {
		return v != e.told
	}
	return !(math.Abs(v-e.told) <= significantChange*e.told)
}

// evict forgets a server that has no limit or is not listed. It reports whether there was one.
func (l *Limits) evict() bool {
	for id, e := range l.servers {
		if !e.named || e.unlistedSince > 0 {
			delete(l.servers, id)
			return true
		}
	}
	return false
}

// publish updates rates. The lock must be held.
func (l *Limits) publish() {
	rates := map[string]float64{}
	for id, e := range l.servers {
		if e.named {
			rates[id] = e.perSecond
		}
	}
	l.rates.Store(&rates)
}

// Update carries limits that changed after the sequence number After, which the receiver has acknowledged,
// up to Till.
type Update struct {
	News  []News
	After uint64
	Till  uint64
}

// ForPeer returns the limits that changed since the sequence number that the peer has acknowledged, at most
// maxNews.
func (l *Limits) ForPeer(now time.Duration, acked uint64) Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	if acked > l.sequence {
		// The peer acknowledges an earlier process of this router.
		acked = 0
	}
	if acked == l.sequence {
		return Update{After: acked, Till: acked}
	}
	var changed []string
	for id, e := range l.servers {
		if e.changedAt > acked {
			changed = append(changed, id)
		}
	}
	slices.SortFunc(changed, func(a, b string) int {
		return int(l.servers[a].changedAt) - int(l.servers[b].changedAt)
	})
	out := Update{After: acked, Till: l.sequence}
	if len(changed) > maxNews {
		changed = changed[:maxNews]
		out.Till = l.servers[changed[maxNews-1]].changedAt
	}
	for _, id := range changed {
		out.News = append(out.News, l.servers[id].news(now, id))
	}
	return out
}

// Seen returns the sequence number to acknowledge after an update, if seen was acknowledged before.
func (u Update) Seen(seen uint64) uint64 {
	if u.After > seen {
		// Updates before this one are missing: the peer takes this process for an earlier one.
		return seen
	}
	return max(seen, u.Till)
}

func (e *limit) news(now time.Duration, id string) News {
	return News{Server: id, StartedUnixMilli: e.startedUnixMilli, Named: e.named, PerSecond: e.perSecond, Ago: now - e.heardAt}
}

// Of returns the limit of one server as news, and whether it has one.
func (l *Limits) Of(now time.Duration, server string) (News, bool) {
	if _, limited := l.Rate(server); !limited {
		return News{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.servers[server]
	if e == nil || !e.named {
		return News{}, false
	}
	return e.news(now, server), true
}

// ApplyNews applies limits that a peer has heard of, and returns those that were new to this router.
func (l *Limits) ApplyNews(now time.Duration, news []News) (changed []News) {
	if len(news) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range news {
		e := l.servers[n.Server]
		if !n.valid() || e == nil && !n.Named || e != nil && n.Named == e.named && n.PerSecond == e.perSecond && n.StartedUnixMilli == e.startedUnixMilli {
			continue
		}
		at := now - n.Ago
		switch {
		case l.apply(n.Server, n.StartedUnixMilli, Statement{Named: n.Named, PerSecond: n.PerSecond, SentAt: at, HeardAt: at}):
			changed = append(changed, n)
		case e != nil && e.heardAt > at:
			// The peer does not know what this router has heard since.
			l.sequence++
			e.changedAt = l.sequence
		}
	}
	return changed
}

// valid reports whether news of a peer can be true.
func (n News) valid() bool { return n.Server != "" && n.Ago >= 0 && n.PerSecond >= 0 }

// Retain updates which servers are listed, with their starts. Limits of servers that are no longer listed
// are forgotten after a time.
func (l *Limits) Retain(now time.Duration, listed map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := len(l.servers)
	maps.DeleteFunc(l.servers, func(id string, e *limit) bool {
		started, ok := listed[id]
		switch {
		case ok && started <= e.startedUnixMilli:
			e.unlistedSince = 0
		case e.unlistedSince == 0:
			e.unlistedSince = now
		}
		return e.unlistedSince > 0 && now-e.unlistedSince > unlistedTTL || !e.named && now-e.heardAt > liftedTTL
	})
	if len(l.servers) != before {
		l.publish()
	}
}
