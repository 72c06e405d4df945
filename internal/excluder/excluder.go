// Package excluder keeps requests from servers that have asked for that in their answers: those that
// are shutting down, and those that want a pause. It knows what this router has heard itself.
//
// The package does no I/O. Times are readings of the boot clock, which a step of the time of day does
// not move.
package excluder

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxPause limits the pause that a server may ask for, so that no answer takes it out for good.
	MaxPause = 5 * time.Minute
	// After a pause, ReturnRequests requests are let through within ReturnTime, evenly spread, so that
	// not all that waited arrive at the same moment.
	ReturnTime     = time.Second
	ReturnRequests = 16
	// unlistedTTL is how long a server that is shutting down is remembered after it is no longer listed,
	// so that an older entry does not bring it back.
	unlistedTTL = 10 * time.Minute
	// maxServers limits the servers that are remembered; those unlisted for the longest time go first.
	maxServers = 4096
)

// Server identifies one incarnation of a server.
type Server struct {
	ID      string
	Address string
	// StartedUnixMilli is its start time in Unix milliseconds, or 0 if unknown.
	StartedUnixMilli int64
}

// Cause says why a server gets no requests.
type Cause string

// Causes.
const (
	// CauseLeaving: the server is shutting down.
	CauseLeaving Cause = "leaving"
	// CausePause: the server wants no requests for some time.
	CausePause Cause = "pause"
)

// exclusion is the state of one server. It is immutable but for sent.
type exclusion struct {
	leaving bool
	// pausedUntil is the end of its pause, or 0.
	pausedUntil time.Duration
	// unlistedSince is since when the server is not listed, or 0 while it is.
	unlistedSince time.Duration
	// sent counts the requests that were let through after the pause.
	sent *atomic.Int64
}

// Excluder holds the servers that get no requests. The zero value is ready to use.
type Excluder struct {
	mu sync.Mutex
	// servers is replaced with each change, so that requests read it without the lock.
	servers atomic.Pointer[map[Server]exclusion]
}

// change replaces the state of the servers.
func (e *Excluder) change(f func(servers map[Server]exclusion)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := map[Server]exclusion{}
	if current := e.servers.Load(); current != nil {
		next = maps.Clone(*current)
	}
	f(next)
	e.servers.Store(&next)
}

// Empty reports whether no server is excluded.
func (e *Excluder) Empty() bool {
	servers := e.servers.Load()
	return servers == nil || len(*servers) == 0
}

func (e *Excluder) get(s Server) (exclusion, bool) {
	if e.Empty() {
		return exclusion{}, false
	}
	x, ok := (*e.servers.Load())[s]
	return x, ok
}

// Leave records that a server is shutting down. It reports whether that is new.
func (e *Excluder) Leave(s Server) bool {
	if x, ok := e.get(s); ok && x.leaving {
		return false
	}
	e.change(func(servers map[Server]exclusion) {
		x := servers[s]
		x.leaving = true
		servers[s] = x
		evict(servers)
	})
	return true
}

// Pause records that a server wants no requests for a duration, which is limited to MaxPause. It returns
// the end of the pause, and whether the server was not paused before. A pause is never shortened.
func (e *Excluder) Pause(now time.Duration, s Server, d time.Duration) (until time.Duration, started bool) {
	until = now + min(d, MaxPause)
	if x, ok := e.get(s); ok && x.pausedUntil >= until {
		return x.pausedUntil, false
	}
	e.change(func(servers map[Server]exclusion) {
		x := servers[s]
		started = now >= x.pausedUntil
		x.pausedUntil, x.sent = max(x.pausedUntil, until), &atomic.Int64{}
		servers[s] = x
		evict(servers)
	})
	return until, started
}

// Check returns why a server gets no request now and until when, which is 0 if it gets none any more,
// or "" if it may get one.
func (e *Excluder) Check(now time.Duration, s Server) (Cause, time.Duration) {
	x, ok := e.get(s)
	switch {
	case !ok:
		return "", 0
	case x.leaving:
		return CauseLeaving, 0
	case now < x.pausedUntil:
		return CausePause, x.pausedUntil
	case x.sent != nil && x.sent.Load() >= allowed(now-x.pausedUntil):
		return CausePause, x.nextReturn()
	}
	return "", 0
}

// PausedUntil returns the end of the latest pause that a server asked for, or 0.
func (e *Excluder) PausedUntil(s Server) time.Duration {
	x, _ := e.get(s)
	return x.pausedUntil
}

// allowed returns how many requests may have been sent at a time after the end of a pause.
func allowed(sinceEnd time.Duration) int64 {
	if sinceEnd >= ReturnTime {
		return 1<<63 - 1
	}
	return 1 + int64(ReturnRequests*sinceEnd/ReturnTime)
}

// nextReturn returns when the next request may be sent.
func (x exclusion) nextReturn() time.Duration {
	return x.pausedUntil + min(ReturnTime, time.Duration(x.sent.Load())*ReturnTime/ReturnRequests)
}

// Send returns the same as Check just before a request is sent, and counts the request if it may be.
// back is true for the first one after a pause.
func (e *Excluder) Send(now time.Duration, s Server) (cause Cause, back bool) {
	if cause, _ := e.Check(now, s); cause != "" {
		return cause, false
	}
	x, ok := e.get(s)
	if !ok || x.sent == nil {
		return "", false
	}
	return "", x.sent.Add(1) == 1
}

// Retain updates which servers are listed. Servers that are no longer listed are forgotten after a time,
// pauses that are over at once.
func (e *Excluder) Retain(now time.Duration, listed map[Server]bool) {
	if e.Empty() {
		return
	}
	e.change(func(servers map[Server]exclusion) {
		for s, x := range servers {
			switch {
			case listed[s]:
				x.unlistedSince = 0
			case x.unlistedSince == 0:
				x.unlistedSince = now
			}
			gone := x.unlistedSince > 0 && now-x.unlistedSince > unlistedTTL
			if (gone || !x.leaving) && now >= x.pausedUntil+ReturnTime {
				delete(servers, s)
				continue
			}
			servers[s] = x
		}
	})
}

// evict removes the servers that have been unlisted for the longest time, or any if all are listed, while
// there are more than maxServers.
func evict(servers map[Server]exclusion) {
	for len(servers) > maxServers {
		var oldest Server
		var oldestSince time.Duration
		for s, x := range servers {
			if oldest == (Server{}) || x.unlistedSince > 0 && (oldestSince == 0 || x.unlistedSince < oldestSince) {
				oldest, oldestSince = s, x.unlistedSince
			}
		}
		delete(servers, oldest)
	}
}
