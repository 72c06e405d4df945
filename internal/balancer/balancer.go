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
	// latencySmoothing is the weight of the newest answer's time.
	latencySmoothing = 0.2
	// initialLatency is the time of an answer before any was measured.
	initialLatency = 20 * time.Millisecond
	// maxConsecutiveFailures is the number of failures in a row after which a server is
	// avoided, for avoidFor, and then tried with one request.
	maxConsecutiveFailures = 3
	failureCooldown        = 2 * time.Second
	// overloadCooldown is how long a server that refused for lack of room is avoided.
	overloadCooldown = 100 * time.Millisecond
	// crossZonePenalty is the added time of a server in another zone, beyond the way
	// there: bytes between zones are dear.
	crossZonePenalty = 10 * time.Millisecond
	// latencyJitter spreads requests over servers that look the same.
	latencyJitter = 2 * time.Millisecond
)

// Balancer holds what this router saw of the servers. The zero value knows
// nothing.
type Balancer struct {
	// Zone is the router's own.
	Zone string

	mu      sync.Mutex
	servers map[string]*serverState
}

type serverState struct {
	inFlight            int
	latency             time.Duration
	consecutiveFailures int
	avoidedUntil        time.Time
}

// Pick returns a server and counts a request for it, or nil if there is none
// left to try.
func (b *Balancer) Pick(now time.Time, servers []*cataloger.Server, exclude []string) *cataloger.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *cataloger.Server
	var bestExpected time.Duration
	bestAvoided := false
	for _, s := range servers {
		if slices.Contains(exclude, s.ID) {
			continue
		}
		state := b.getOrCreateServer(s.ID)
		expected := state.latency*time.Duration(state.inFlight+1) + rand.N(latencyJitter)
		if s.AvailabilityZone != b.Zone {
			expected += crossZonePenalty
		}
		avoided := now.Before(state.avoidedUntil) || state.consecutiveFailures >= maxConsecutiveFailures && state.inFlight > 0
		if best == nil || bestAvoided && !avoided || bestAvoided == avoided && expected < bestExpected {
			best, bestExpected, bestAvoided = s, expected, avoided
		}
	}
	if best != nil {
		b.getOrCreateServer(best.ID).inFlight++
	}
	return best
}

func (b *Balancer) getOrCreateServer(id string) *serverState {
	if b.servers == nil {
		b.servers = map[string]*serverState{}
	}
	state := b.servers[id]
	if state == nil {
		state = &serverState{latency: initialLatency}
		b.servers[id] = state
	}
	return state
}

// RequestDone counts the end of a request.
func (b *Balancer) RequestDone(now time.Time, id string, failed, overloaded bool, latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.getOrCreateServer(id)
	state.inFlight = max(0, state.inFlight-1)
	switch {
	case overloaded:
		state.avoidedUntil = now.Add(overloadCooldown)
	case failed:
		state.consecutiveFailures++
		if state.consecutiveFailures >= maxConsecutiveFailures {
			state.avoidedUntil = now.Add(failureCooldown)
		}
	default:
		state.consecutiveFailures = 0
	}
	if latency > 0 && !overloaded {
		state.latency += time.Duration(latencySmoothing * float64(latency-state.latency))
	}
}

// RetainServers forgets all servers but those named.
func (b *Balancer) RetainServers(servers map[string]*cataloger.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, state := range b.servers {
		if servers[id] == nil && state.inFlight == 0 {
			delete(b.servers, id)
		}
	}
}
