// Package balancer picks servers of plain services, whose requests are short.
// Each router decides alone from its own requests: the expected time at a
// server is what its answers took lately times the requests of this router that
// it has at hand.
package balancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"papayapaddle/internal/cataloger"
)

const (
	// smoothing is the weight of the newest answer's time.
	smoothing = 0.2
	// initialTook is the time of an answer before any was measured.
	initialTook = 20 * time.Millisecond
	// failuresToAvoid is the number of failures in a row after which a server is
	// avoided, for avoidFor, and then tried with one request.
	failuresToAvoid = 3
	avoidFor        = 2 * time.Second
	// fullFor is how long a server that refused for lack of room is avoided.
	fullFor = 100 * time.Millisecond
	// otherZone is the added time of a server in another zone, beyond the way
	// there: bytes between zones are dear.
	otherZone = 10 * time.Millisecond
	// noise spreads requests over servers that look the same.
	noise = 2 * time.Millisecond
)

// Balancer holds what this router saw of the servers. The zero value knows
// nothing.
type Balancer struct {
	// Zone is the router's own.
	Zone string

	mu      sync.Mutex
	servers map[string]*server
}

type server struct {
	open     int
	took     time.Duration
	failures int
	avoid    time.Time
}

// Pick returns a server and counts a request for it, or nil if there is none
// left to try.
func (b *Balancer) Pick(now time.Time, servers []*cataloger.Server, exclude []string) *cataloger.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *cataloger.Server
	var bestTime time.Duration
	bestAvoided := false
	for _, s := range servers {
		if slices.Contains(exclude, s.ID) {
			continue
		}
		v := b.server(s.ID)
		t := v.took*time.Duration(v.open+1) + rand.N(noise)
		if s.AvailabilityZone != b.Zone {
			t += otherZone
		}
		avoided := now.Before(v.avoid) || v.failures >= failuresToAvoid && v.open > 0
		if best == nil || bestAvoided && !avoided || bestAvoided == avoided && t < bestTime {
			best, bestTime, bestAvoided = s, t, avoided
		}
	}
	if best != nil {
		b.server(best.ID).open++
	}
	return best
}

func (b *Balancer) server(id string) *server {
	if b.servers == nil {
		b.servers = map[string]*server{}
	}
	v := b.servers[id]
	if v == nil {
		v = &server{took: initialTook}
		b.servers[id] = v
	}
	return v
}

// End counts the end of a request.
func (b *Balancer) End(now time.Time, id string, failed, full bool, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.server(id)
	v.open = max(0, v.open-1)
	switch {
	case full:
		v.avoid = now.Add(fullFor)
	case failed:
		v.failures++
		if v.failures >= failuresToAvoid {
			v.avoid = now.Add(avoidFor)
		}
	default:
		v.failures = 0
	}
	if took > 0 && !full {
		v.took += time.Duration(smoothing * float64(took-v.took))
	}
}

// Keep forgets all servers but those named.
func (b *Balancer) Keep(servers map[string]*cataloger.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, v := range b.servers {
		if servers[id] == nil && v.open == 0 {
			delete(b.servers, id)
		}
	}
}
