package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"papayapaddle/platform/standin"
)

const (
	// coldNotice is the time from which on routers must know that a server is cold: entries reach them within 0.8 s, and the
	// soak writes them at once.
	coldNotice = 2 * time.Second
	// coldDuration is how long the soak makes a server cold, and heartbeat the period in which entries are written.
	coldDuration = 7 * time.Second
	heartbeat    = 1200 * time.Millisecond
)

// soakColdStart is the cold start of the servers of TestSoakColdServers.
var soakColdStart = standin.ColdStart{Duration: 5 * time.Second, PerSecond: 8.3, Overage: 1.5, Tolerance: 5}

// coldServer is a server that became cold.
type coldServer struct {
	since time.Time
	// exempt is true if the store was disturbed when routers should have read of it.
	exempt bool
	// arrivals are the requests that count in the current second.
	arrivals []time.Time
}

// coldServers are the servers that are or were cold, by ID. The zero value is ready to use.
type coldServers struct {
	servers              map[string]*coldServer
	storeDisturbedUntil  time.Time
	counted, mostInAnyOf int
}

// Guards against cold servers that get more requests than they tolerate while routers are killed, frozen and stopped, servers
// crash and start again, and connections to them fail.
func TestSoakColdServers(t *testing.T) {
	seeds := []uint64{1, 2}
	if *seedFlag != 0 {
		seeds = chosenSeeds()
	}
	runDeployments(t, seeds, 0, time.Duration(*secondsFlag)*time.Second, faults, func(d *deployment) { d.coldStart = soakColdStart })
}

// runColdServers writes the entries of servers again and again, as servers do, and makes servers cold.
func (s *soak) runColdServers(rng *rand.Rand) {
	nextCold := time.Now()
	for ; !s.isStopped(); time.Sleep(heartbeat) {
		var chosen []*standin.Server
		if time.Now().After(nextCold) {
			nextCold = time.Now().Add(coldDuration + 2*time.Second)
			// One server, or all of a service.
			first := s.servers[rng.IntN(len(s.servers))]
			all := rng.IntN(3) == 0
			for _, server := range s.servers {
				if server == first || all && serviceOf(s.cluster, server) == serviceOf(s.cluster, first) {
					chosen = append(chosen, server)
				}
			}
		}
		for _, server := range s.servers {
			s.mu.Lock()
			_, draining := s.drainingSince[server.ID]
			s.mu.Unlock()
			switch {
			case draining:
			case slices.Contains(chosen, server):
				s.events.Printf("event=cold server=%s", server.ID)
				s.markCold(server.ID)
				s.cluster.SetCold(server, serviceOf(s.cluster, server), coldDuration)
			default:
				s.cluster.PutServer(server.ID, serviceOf(s.cluster, server), "ready")
			}
		}
	}
}

// markCold records that a server becomes cold.
func (s *soak) markCold(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cold.servers == nil {
		s.cold.servers = map[string]*coldServer{}
	}
	now := time.Now()
	s.cold.servers[server] = &coldServer{since: now, exempt: now.Before(s.cold.storeDisturbedUntil)}
}

// markStoreDisturbed records that routers cannot read the store. They need not know of servers that have just become cold.
func (s *soak) markStoreDisturbed(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if until := now.Add(duration + disturbanceMargin); until.After(s.cold.storeDisturbedUntil) {
		s.cold.storeDisturbedUntil = until
	}
	for _, c := range s.cold.servers {
		c.exempt = c.exempt || now.Before(c.since.Add(coldNotice))
	}
}

// checkCold checks a request that reached a cold server. Requests that a frozen router or a faulty connection held back do
// not count.
func (s *soak) checkCold(server string, now time.Time, report func(string, ...any)) {
	c := s.cold.servers[server]
	if c == nil || c.exempt || now.Before(c.since.Add(coldNotice)) || now.Before(s.heldBackUntil[server]) {
		return
	}
	c.arrivals = append(c.arrivals, now)
	c.arrivals = slices.DeleteFunc(c.arrivals, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	s.cold.counted++
	s.cold.mostInAnyOf = max(s.cold.mostInAnyOf, len(c.arrivals))
	if allowed := s.coldStart.Allowed(); len(c.arrivals) > allowed {
		report("%d requests in a second at a server that has been cold for %v; %d are allowed", len(c.arrivals), now.Sub(c.since), allowed)
	}
}

// coldSummary describes what cold servers got.
func (s *soak) coldSummary() string {
	if s.coldStart.Duration == 0 {
		return ""
	}
	return fmt.Sprintf(", %d at cold servers, at most %d in a second", s.cold.counted, s.cold.mostInAnyOf)
}
