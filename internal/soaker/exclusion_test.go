package soaker

import (
	"fmt"
	"time"

	"papayapaddle/platform/standin"
)

const (
	// serverPause is the pause that servers ask for, and pauseSlack how long after its beginning requests
	// may still arrive. maxPauseRequests may arrive later.
	serverPause      = 1500 * time.Millisecond
	pauseSlack       = 500 * time.Millisecond
	maxPauseRequests = 2
	// leavingTime is how long a server says that it is shutting down before it starts again.
	leavingTime = 4 * time.Second
)

// toldPause is a pause that a server has asked an incarnation of a router for.
type toldPause struct {
	from, until time.Time
	requests    int
}

// recordArrival records and checks a request that reached a backend server, from which a router may have
// heard that it is shutting down or wants a pause.
func (s *soak) recordArrival(server *standin.Server, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req, now := s.requests[id], time.Now()
	if req == nil {
		return
	}
	key := fmt.Sprintf("%s, incarnation %d, at %s", req.router.settings.Name, req.incarnation, server.ID)
	report := func(format string, args ...any) {
		s.violations = append(s.violations, fmt.Sprintf("request %s through %s: ", id, key)+fmt.Sprintf(format, args...))
	}
	s.checkLimit(server.ID, req, now, report)
	if server.ColdRemaining() > 0 && !now.Before(s.heldBackUntil[req.router.settings.Name]) {
		s.checkCold(server.ID, now, report)
	}
	s.checkEvacuation(server.ID, now, report)
	if at, ok := s.toldLeaving[key]; ok && s.leavingServers[server.ID] && req.sentAt.After(at.Add(maxDrainDelay)) && s.undisturbedSince(at) {
		report("the server has said for %v that it is shutting down", now.Sub(at))
	}
	if p := s.toldPauses[key]; p != nil && now.After(p.from.Add(pauseSlack)) && now.Before(p.until) && s.undisturbedSince(p.from) {
		if p.requests++; p.requests > maxPauseRequests {
			report("request %d in a pause that the server asked for %v ago", p.requests, now.Sub(p.from))
		}
	}
	if s.leavingServers[server.ID] && s.toldLeaving[key].IsZero() {
		s.toldLeaving[key] = now
	}
	if now.Before(s.pausingUntil[server.ID]) {
		s.toldPauses[key] = &toldPause{from: now, until: now.Add(serverPause)}
	}
}

// leaveServer makes a server say that it is shutting down, which the store does not, and start again later.
func leaveServer(s *soak, _ time.Duration) {
	server := s.servers[s.rng.IntN(len(s.servers))]
	s.mu.Lock()
	_, draining := s.drainingSince[server.ID]
	busy := draining || len(s.leavingServers) > 0
	if !busy {
		s.leavingServers[server.ID] = true
	}
	s.mu.Unlock()
	if busy {
		return
	}
	server.SetLeaving(true)
	schedule(leavingTime, func() {
		server.SetLeaving(false)
		s.mu.Lock()
		delete(s.leavingServers, server.ID)
		for key := range s.toldLeaving {
			delete(s.toldLeaving, key)
		}
		s.mu.Unlock()
		s.cluster.PutRestartedServer(server.ID, serviceOf(s.cluster, server))
	})
}

// pauseServers makes one server refuse requests and ask for a pause, or all servers of its service.
func pauseServers(s *soak, duration time.Duration) {
	chosen := s.servers[s.rng.IntN(len(s.servers))]
	all := s.rng.IntN(3) == 0
	for _, server := range s.servers {
		if server != chosen && (!all || serviceOf(s.cluster, server) != serviceOf(s.cluster, chosen)) {
			continue
		}
		s.mu.Lock()
		s.pausingUntil[server.ID] = time.Now().Add(duration)
		s.mu.Unlock()
		server.SetRetryAfter(fmt.Sprint(serverPause.Seconds()))
		schedule(duration, func() { server.SetRetryAfter("") })
	}
}
