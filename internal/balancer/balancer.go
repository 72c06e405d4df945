// Package balancer picks backend servers for services other than models, whose requests are
// short. Each router decides by itself, based only on its own requests: the expected time at
// a server is its recent latency multiplied by the router's requests in flight there.
package balancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"papayapaddle/internal/cataloger"
)

const (
	// latencySmoothing is the weight of the latest latency sample.
	latencySmoothing = 0.2
	// initialLatency is the assumed latency of a server before the first measurement.
	initialLatency = 20 * time.Millisecond
	// latencyDecay is the fraction by which the latency of an idle server approaches that of the picked one while each
	// server of the service could have been picked once. A server that was slow for a moment is measured again,
	// and one that stays slow gets about a hundredth of a share.
	latencyDecay = 0.1
	// maxConsecutiveFailures is the number of consecutive failures after which a server is
	// avoided for failureCooldown. After that, a single request probes it.
	maxConsecutiveFailures = 3
	failureCooldown        = 2 * time.Second
	// overloadCooldown is how long a server is avoided after it refused a request as overloaded.
	overloadCooldown = 100 * time.Millisecond
	// crossZonePenalty is added to the expected time at servers in other availability zones,
	// beyond the network latency, as traffic between zones is expensive.
	crossZonePenalty = 10 * time.Millisecond
	// latencyJitter spreads requests over servers with similar latency.
	latencyJitter = 2 * time.Millisecond
)

// Balancer holds the state of servers as observed by this router. The zero value is ready to
// use, and its methods are safe for concurrent use.
type Balancer struct {
	// Zone is the availability zone of the router.
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

// Pick returns the server with the lowest expected time and counts a request for it, or
// returns nil if all servers are excluded. Avoided servers are picked only if no other is left.
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
		avoided := now.Before(state.avoidedUntil) ||
			state.consecutiveFailures >= maxConsecutiveFailures && state.inFlight > 0
		if best == nil || bestAvoided && !avoided || bestAvoided == avoided && expected < bestExpected {
			best, bestExpected, bestAvoided = s, expected, avoided
		}
	}
	if best != nil {
		b.decayLatencies(best, servers)
		b.getOrCreateServer(best.ID).inFlight++
	}
	return best
}

// decayLatencies lets the latencies of idle servers approach that of the picked one. The lock must be held.
func (b *Balancer) decayLatencies(picked *cataloger.Server, servers []*cataloger.Server) {
	latency := b.servers[picked.ID].latency
	for _, s := range servers {
		if state := b.servers[s.ID]; state != nil && state.inFlight == 0 && state.latency > latency {
			state.latency -= time.Duration(latencyDecay / float64(len(servers)) * float64(state.latency-latency))
		}
	}
}

func (b *Balancer) getOrCreateServer(server string) *serverState {
	if b.servers == nil {
		b.servers = map[string]*serverState{}
	}
	state := b.servers[server]
	if state == nil {
		state = &serverState{latency: initialLatency}
		b.servers[server] = state
	}
	return state
}

// RequestDone records the result of a request to a server that Pick returned. The latency is
// ignored if it is 0 or the server was overloaded.
func (b *Balancer) RequestDone(
	now time.Time, server string, failed, overloaded bool, latency time.Duration,
) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.getOrCreateServer(server)
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

// RequestCanceled ends a request to a server that Pick returned and which was canceled after some time, as another
// attempt went on. That shows nothing but a lower bound of its latency.
func (b *Balancer) RequestCanceled(server string, after time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.getOrCreateServer(server)
	state.inFlight = max(0, state.inFlight-1)
	if after > state.latency {
		state.latency += time.Duration(latencySmoothing * float64(after-state.latency))
	}
}

// IsAvoided reports whether Pick returns a server only if no other is left.
func (b *Balancer) IsAvoided(now time.Time, server string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.servers[server]
	return state != nil && (now.Before(state.avoidedUntil) || state.consecutiveFailures >= maxConsecutiveFailures)
}

// RetainServers removes the state of servers that are not in the given map and have no
// requests in flight.
func (b *Balancer) RetainServers(servers map[string]*cataloger.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, state := range b.servers {
		if servers[id] == nil && state.inFlight == 0 {
			delete(b.servers, id)
		}
	}
}
