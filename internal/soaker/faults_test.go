package soaker

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"papayapaddle/platform/standin"
)

// fault injects one kind of fault. Faults with a duration end on their own.
type fault func(s *soak, duration time.Duration)

// faults are drawn with equal probability, so an entry that occurs more often is more likely.
// Planned operations such as a graceful stop are not marked as disturbances.
var faults = []fault{
	killRouter, killRouter, pauseRouter, pauseRouter, killAllRouters, stopRouter, stopRouter, stopRouter,
	sendSIGHUP, disruptStoreProxies, disruptStoreProxies, disruptServerProxy, disruptServerProxy,
	makeStoreUnavailable, compactStore, makeServersMisbehave, makeServersMisbehave,
	rotateKey, rotateKey, rotateKey, drainServer, sendDeadly, leaveServer, pauseServers, limitServers,
	restoreStore, restoreStore}

// injectFaults injects random faults for a duration. Faults can overlap.
func (s *soak) injectFaults(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		faultDuration := time.Duration(200+s.rng.IntN(3000)) * time.Millisecond
		f := s.faults[s.rng.IntN(len(s.faults))]
		s.events.Printf("event=fault kind=%v duration=%v", f, faultDuration)
		f(s, faultDuration)
		time.Sleep(time.Duration(s.rng.IntN(1200)) * time.Millisecond)
	}
}

// schedule calls f after d.
func schedule(d time.Duration, f func()) { time.AfterFunc(d, f) }

func (s *soak) randomProcess() *process { return s.processes[s.rng.IntN(len(s.processes))] }

func killRouter(s *soak, _ time.Duration) {
	s.markDisturbed(time.Second)
	s.randomProcess().signal(syscall.SIGKILL)
}

func killAllRouters(s *soak, _ time.Duration) {
	s.markDisturbed(time.Second)
	for _, p := range s.processes {
		p.signal(syscall.SIGKILL)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.storeDownSince.IsZero() {
		s.evidenceLosses = append(s.evidenceLosses, evidenceLoss{from: s.storeDownSince, to: time.Now()})
	}
}

func pauseRouter(s *soak, duration time.Duration) {
	s.markDisturbed(duration)
	p := s.randomProcess()
	s.holdBack(p.settings.Name, duration)
	p.signal(syscall.SIGSTOP)
	schedule(duration, func() { p.signal(syscall.SIGCONT) })
}

// stopRouter requests a graceful stop.
func stopRouter(s *soak, _ time.Duration) { s.randomProcess().signal(syscall.SIGTERM) }

func sendSIGHUP(s *soak, _ time.Duration) { s.randomProcess().signal(syscall.SIGHUP) }

// injectProxyFault injects a random fault into the connections through a proxy.
func (s *soak) injectProxyFault(proxy *faultProxy, duration time.Duration) {
	switch s.rng.IntN(6) {
	case 0:
		proxy.delayNanos.Store(int64(time.Duration(10+s.rng.IntN(300)) * time.Millisecond))
	case 1:
		proxy.stallToTarget.Store(true)
	case 2:
		proxy.stallFromTarget.Store(true)
	case 3:
		proxy.refuseNew.Store(true)
		proxy.resetConns()
	case 4:
		proxy.resetConns()
	case 5:
		proxy.blackholeConns()
	}
	schedule(duration, proxy.clearFaults)
}

func disruptStoreProxies(s *soak, duration time.Duration) {
	s.markDisturbed(duration)
	s.markStoreDisturbed(duration)
	if s.rng.IntN(3) > 0 {
		s.injectProxyFault(s.storeProxies[s.rng.IntN(len(s.storeProxies))], duration)
		return
	}
	for _, proxy := range s.storeProxies {
		s.injectProxyFault(proxy, duration)
	}
}

func disruptServerProxy(s *soak, duration time.Duration) {
	s.markDisturbed(duration)
	server := s.servers[s.rng.IntN(len(s.servers))]
	s.holdBack(server.ID, duration)
	s.injectProxyFault(s.serverProxies[server.ID], duration)
}

func (s *soak) setStoreDown(down bool) {
	s.mu.Lock()
	switch {
	case !down:
		s.storeDownSince = time.Time{}
	case s.storeDownSince.IsZero():
		s.storeDownSince = time.Now()
	}
	s.mu.Unlock()
	s.cluster.Store.SetDown(down)
}

func makeStoreUnavailable(s *soak, duration time.Duration) {
	s.markDisturbed(duration)
	s.markStoreDisturbed(duration)
	s.setStoreDown(true)
	schedule(duration, func() { s.setStoreDown(false) })
}

func compactStore(s *soak, _ time.Duration) {
	s.markDisturbed(0)
	s.cluster.Store.Compact()
}

// maxCopyAge and maxRewriteDelay bound the age of a copy from which the store is restored and the time until operators and
// servers write again what it lost.
const (
	maxCopyAge      = 9 * time.Second
	maxRewriteDelay = 1500 * time.Millisecond
)

// restoreStore makes the store unavailable and then restores it from a copy.
func restoreStore(s *soak, duration time.Duration) {
	delay := time.Duration(s.rng.Int64N(int64(maxRewriteDelay)))
	copied := s.cluster.Store.VersionAt(time.Now().Add(-time.Duration(s.rng.Int64N(int64(maxCopyAge)))))
	s.markDisturbed(duration + delay)
	s.markStoreDisturbed(duration + delay)
	s.setStoreDown(true)
	schedule(duration, func() {
		s.cluster.Store.Restore(copied)
		s.setStoreDown(false)
		schedule(delay, s.cluster.Store.WriteAgain)
	})
}

func makeServersMisbehave(s *soak, duration time.Duration) {
	s.markDisturbed(duration)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.misbehaveUntil = time.Now().Add(duration)
}

func rotateKey(s *soak, _ time.Duration) { s.replaceKey(workspaces[s.rng.IntN(len(workspaces))]) }

// drainServer marks a random server as draining for the rest of the run. At most one server of each
// service is drained.
func drainServer(s *soak, _ time.Duration) {
	for _, server := range s.servers {
		service := serviceOf(s.cluster, server)
		drainingCount := 0
		s.mu.Lock()
		for id := range s.drainingSince {
			if slices.ContainsFunc(s.servers, func(other *standin.Server) bool {
				return other.ID == id && serviceOf(s.cluster, other) == service
			}) {
				drainingCount++
			}
		}
		_, draining := s.drainingSince[server.ID]
		s.mu.Unlock()
		if draining || drainingCount > 0 || s.rng.IntN(3) > 0 {
			continue
		}
		s.cluster.PutServer(server.ID, service, "draining")
		s.mu.Lock()
		s.drainingSince[server.ID] = time.Now()
		s.mu.Unlock()
		return
	}
}

// serverDowntime is how long a server that crashed is down.
const serverDowntime = time.Second

// sendDeadly makes callers send requests that crash servers for the rest of the run.
func sendDeadly(s *soak, _ time.Duration) { s.sendsDeadly.Store(true) }

// crashServer ends a server, which starts again as another incarnation.
func (s *soak) crashServer(server *standin.Server) {
	s.markDisturbed(serverDowntime)
	s.serverProxies[server.ID].crash(serverDowntime)
	s.mu.Lock()
	_, draining := s.drainingSince[server.ID]
	s.mu.Unlock()
	if !draining {
		schedule(serverDowntime, func() {
			s.markCold(server.ID)
			s.cluster.PutRestartedServer(server.ID, serviceOf(s.cluster, server))
		})
	}
}

// clearFaults ends all faults. Blackholed connections stay blackholed.
func (s *soak) clearFaults() {
	s.clearLimits()
	s.endEvacuations()
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
	}
	for _, proxy := range s.storeProxies {
		proxy.clearFaults()
	}
	for _, proxy := range s.serverProxies {
		proxy.clearFaults()
	}
	s.setStoreDown(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.misbehaveUntil = time.Time{}
}

// chooseBehavior returns how a backend server handles its next request.
func (s *soak) chooseBehavior(rng *rand.Rand) standin.Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(s.misbehaveUntil) || rng.IntN(3) > 0 {
		if s.endDuration > 0 && rng.IntN(4) > 0 {
			return standin.ServeWithoutLength
		}
		return s.stallBehavior()
	}
	return []standin.Behavior{
		standin.RefuseRequest, standin.DropResponse, standin.TruncateStream, standin.AppendStrayResponse,
	}[rng.IntN(4)]
}
