package soaker

import (
	"math/rand/v2"
	"syscall"
	"time"

	"papayapaddle/platform/standin"
)

const (
	// minStall and maxStall bound how long a sound server is silent before it goes on.
	minStall = 500 * time.Millisecond
	maxStall = 2 * time.Second
	// callerPatience is how long callers wait for an answer or its next event. An answer that ends sooner is lost.
	callerPatience = 3200 * time.Millisecond
	// shortTimeout is what operators shorten the timeout of the routes to.
	shortTimeout = 3500 * time.Millisecond
	// spareServers is the number of the servers to which operators move a route's weight.
	spareServers = 2
)

// plannedWork is done beside stalls. None of it is a disturbance.
var plannedWork = []fault{stopRouter, reloadRouter, rotateKey, changeRouting, changeRouting}

// injectPlanned stalls servers and does planned work meanwhile, without any fault.
func (s *soak) injectPlanned(duration time.Duration) {
	if duration == 0 {
		return
	}
	// The seed draws the same faults later whatever is drawn here.
	faultRNG := s.rng
	s.rng = rand.New(rand.NewPCG(s.seed, 5))
	defer func() { s.rng = faultRNG }()
	end := time.Now().Add(duration)
	s.mu.Lock()
	s.answersStallUntil = end
	s.mu.Unlock()
	for time.Now().Before(end) {
		stallEnd := time.Now().Add(s.drawStall(s.rng))
		s.stallServers(stallEnd)
		for time.Now().Before(stallEnd) {
			time.Sleep(time.Duration(s.rng.IntN(1000)) * time.Millisecond)
			plannedWork[s.rng.IntN(len(plannedWork))](s, 0)
		}
	}
	s.cluster.Routing = standin.Routing{}
	s.cluster.PutConfig(s.validKeys())
	// Until here no request that met a stall may have met a fault.
	time.Sleep(maxStall)
}

func (s *soak) drawStall(rng *rand.Rand) time.Duration {
	return minStall + time.Duration(rng.Int64N(int64(maxStall-minStall)))
}

// stallServers stalls one server or all servers of a service.
func (s *soak) stallServers(until time.Time) {
	services := [][]*standin.Server{s.cluster.ModelServers, s.cluster.PlainServers, s.cluster.SpareServers}
	stalled := services[s.rng.IntN(len(services))]
	torn := s.rng.IntN(2) == 0
	if s.rng.IntN(2) == 0 {
		chosen := s.rng.IntN(len(stalled))
		stalled = stalled[chosen : chosen+1]
	}
	for _, server := range stalled {
		server.Stall(until, torn)
	}
}

// stallBehavior returns how a server stalls in an answer. The caller must hold the lock.
func (s *soak) stallBehavior() standin.Behavior {
	if time.Now().After(s.answersStallUntil) || s.stallRNG.IntN(3) > 0 {
		return standin.ServeNormally
	}
	return []standin.Behavior{
		standin.StallBeforeHead, standin.StallInHead, standin.StallBetweenEvents, standin.StallInEvent,
	}[s.stallRNG.IntN(4)]
}

// reloadRouter makes a router read its settings again. A process that has not come to its main function yet cannot.
func reloadRouter(s *soak, _ time.Duration) {
	if p := s.randomProcess(); p.hasStarted() {
		p.signal(syscall.SIGHUP)
	}
}

// changeRouting moves the weights of the model route, changes the timeouts or adds or removes a route.
func changeRouting(s *soak, _ time.Duration) {
	routing := &s.cluster.Routing
	switch s.rng.IntN(3) {
	case 0:
		routing.SpareWeight = float64(s.rng.IntN(3)) / 2
	case 1:
		routing.Timeout = shortTimeout - routing.Timeout
	case 2:
		routing.NarrowRoute = !routing.NarrowRoute
	}
	s.cluster.PutConfig(s.validKeys())
}

// checkLostAnswer checks a request without a whole answer, which may have run, while there was no disturbance. A server that
// stalls is none.
func (s *soak) checkLostAnswer(req *request, report func(string, ...any)) {
	elapsed := req.endedAt.Sub(req.sentAt)
	if req.executions == 0 || elapsed >= callerPatience || !s.undisturbedSince(req.sentAt) {
		return
	}
	termSentAt := req.router.termTime(req.incarnation)
	if !termSentAt.IsZero() && req.endedAt.After(termSentAt.Add(req.router.settings.Bounds.GracePeriod())) {
		return
	}
	s.lostAnswers++
	report("its answer was lost without a disturbance: status %d, %d bytes, after %v, executed %d times: %v",
		req.status, len(req.body), elapsed, req.executions, req.err)
}
