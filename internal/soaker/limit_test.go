package soaker

import (
	"fmt"
	"slices"
	"time"
)

const (
	// Servers that name a limit may get limitRatio times what it allows and limitSlack requests in each limitWindow,
	// from limitGrace after they first named it, from the routers that have heard it for limitNoticeTime.
	limitWindow     = 4 * time.Second
	limitRatio      = 1.5
	limitSlack      = 5
	limitGrace      = 3 * time.Second
	limitNoticeTime = 500 * time.Millisecond
	// limitDuration is how long a server names its limit.
	limitDuration = 12 * time.Second
)

// namedLimit is a limit that a server names.
type namedLimit struct {
	perSecond float64
	since     time.Time
	// told is when an incarnation of a router first got a request through, and so an answer that names it.
	told map[string]time.Time
	// arrivals are the requests that count in the current window.
	arrivals []time.Time
}

// limitServers makes one server name a limit, or all servers of its service.
func limitServers(s *soak, _ time.Duration) {
	chosen := s.servers[s.rng.IntN(len(s.servers))]
	all := s.rng.IntN(3) == 0
	perSecond := []float64{0, 2, 4.5}[s.rng.IntN(3)]
	for _, server := range s.servers {
		if server != chosen && (!all || serviceOf(s.cluster, server) != serviceOf(s.cluster, chosen)) {
			continue
		}
		l := &namedLimit{perSecond: perSecond, since: time.Now(), told: map[string]time.Time{}}
		s.mu.Lock()
		s.limits[server.ID] = l
		s.mu.Unlock()
		server.SetLimit(fmt.Sprint(perSecond))
		schedule(limitDuration, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.limits[server.ID] == l {
				delete(s.limits, server.ID)
				server.SetLimit("")
			}
		})
	}
}

// clearLimits ends all limits.
func (s *soak) clearLimits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.limits)
	for _, server := range s.servers {
		server.SetLimit("")
	}
}

// checkLimit checks a request that reached a server against the limit that the server names. Requests that a
// frozen router or a faulty connection held back do not count. The caller must hold the lock.
func (s *soak) checkLimit(serverID string, req *request, now time.Time, report func(string, ...any)) {
	l := s.limits[serverID]
	if l == nil {
		return
	}
	router := fmt.Sprint(req.router.settings.Name, " ", req.incarnation)
	told, ok := l.told[router]
	if !ok {
		l.told[router] = now
	}
	if !ok || now.Before(told.Add(limitNoticeTime)) || now.Before(l.since.Add(limitGrace)) ||
		now.Before(s.heldBackUntil[serverID]) || now.Before(s.heldBackUntil[req.router.settings.Name]) {
		return
	}
	l.arrivals = append(l.arrivals, now)
	l.arrivals = slices.DeleteFunc(l.arrivals, func(at time.Time) bool { return now.Sub(at) >= limitWindow })
	allowed := limitRatio*l.perSecond*limitWindow.Seconds() + limitSlack
	if n := len(l.arrivals); float64(n) > allowed {
		report("%d requests in %v at a server that names %v a second; %v are allowed", n, limitWindow, l.perSecond, allowed)
	}
}

// holdBack records that requests of a router or to a server may arrive late for a duration.
func (s *soak) holdBack(name string, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := time.Now().Add(duration + disturbanceMargin); until.After(s.heldBackUntil[name]) {
		s.heldBackUntil[name] = until
	}
}
