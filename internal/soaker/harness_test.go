package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"papayapaddle/platform"
	"papayapaddle/platform/standin"
)

// The promises that are checked, as in the settings of the routers.
const (
	// disturbanceMargin is how long a disturbance counts after its end.
	disturbanceMargin = 3 * time.Second
	// maxConfigDelay is when a configuration is in force after it was stored.
	maxConfigDelay = 2 * time.Second
	// maxDrainDelay is when a leaving server gets nothing any more.
	maxDrainDelay = 2 * time.Second
	// maxRecoveryTime is when the routers serve again after the last fault.
	maxRecoveryTime = 12 * time.Second
	// unreadCloseWindow is how long after a request was sent the connection may be closed
	// unread.
	unreadCloseWindow = 200 * time.Millisecond
	// configRollbackSlack is after what time a request must not be judged by an older
	// configuration than one before it.
	configRollbackSlack = 250 * time.Millisecond
)

// soak is one run.
type soak struct {
	deployment
	rng       *rand.Rand
	cluster   *standin.Site
	servers   []*standin.Server
	processes []*process
	balancer  *balancer
	// storeProxies and toServers are the links, by process and by server.
	storeProxies  []*faultProxy
	serverProxies map[string]*faultProxy

	stopped atomic.Bool

	mu           sync.Mutex
	violations   []string
	requests     map[string]*request
	lostRequests int
	// disturbedUntil is until when faults count that nobody planned.
	disturbedUntil time.Time
	apiKeys        map[string][]string
	revokedAt      map[string]time.Time
	addedAt        map[string]time.Time
	// firstAccepted is when a life of a router first accepted a key.
	firstAccepted map[string]time.Time
	drainingSince map[string]time.Time
	servedCounts  map[string]int
	requestCounts map[string]int
	// conduct is the share of requests that servers treat badly, until a time.
	misbehaveUntil time.Time
}

func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *soak) isStopped() bool { return s.stopped.Load() }

// markDisturbed notes a fault that lasts for a time.
func (s *soak) markDisturbed(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := time.Now().Add(duration + disturbanceMargin); until.After(s.disturbedUntil) {
		s.disturbedUntil = until
	}
}

// undisturbedSince says whether nothing unplanned went on at a time or later; the caller
// holds the lock.
func (s *soak) undisturbedSince(t time.Time) bool { return t.After(s.disturbedUntil) }

// The workspaces of the soak; each has one key at a time, and callers go on using
// the one before for a while.
var workspaces = []string{standin.Workspace, "other"}

// drawKey returns a workspace and one of its keys, seldom one that was taken away.
func (s *soak) drawKey(rng *rand.Rand) (workspace, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := workspaces[rng.IntN(len(workspaces))]
	keys := s.apiKeys[w]
	if len(keys) > 1 && rng.IntN(6) == 0 {
		return w, keys[len(keys)-2]
	}
	return w, keys[len(keys)-1]
}

// replaceKey takes a workspace's key away and gives it another one.
func (s *soak) replaceKey(workspace string) {
	s.mu.Lock()
	newKey := fmt.Sprintf("key-of-%s-%d", workspace, len(s.apiKeys[workspace]))
	validKeys := map[string][]string{}
	for other, keys := range s.apiKeys {
		validKeys[other] = keys[len(keys)-1:]
	}
	validKeys[workspace] = []string{newKey}
	s.mu.Unlock()
	// The store's answer is what times count from.
	s.cluster.Declare(validKeys)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := s.apiKeys[workspace]
	s.revokedAt[keys[len(keys)-1]], s.addedAt[newKey] = now, now
	s.apiKeys[workspace] = append(keys, newKey)
}

// recordSent notes a request before it is sent.
func (s *soak) recordSent(req *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req.sentAt = time.Now()
	s.requests[req.id] = req
}

// recordExecution is called by a server that runs a request.
func (s *soak) recordExecution(server, id, workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	req := s.requests[id]
	violation := func(format string, args ...any) {
		s.violations = append(s.violations, fmt.Sprintf("request %s at %s: ", id, server)+fmt.Sprintf(format, args...))
	}
	if req == nil {
		violation("nobody sent it")
		return
	}
	if req.workspace != workspace {
		violation("ran for workspace %q of %q", workspace, req.workspace)
	}
	if at, ok := s.revokedAt[req.key]; ok && req.sentAt.After(at.Add(s.deployment.maxRevocationDelay)) {
		violation("its key was taken away %v before it was sent", req.sentAt.Sub(at))
	}
	if at, ok := s.drainingSince[server]; ok && now.After(at.Add(maxDrainDelay)) && s.undisturbedSince(at) {
		violation("the server has been leaving for %v", now.Sub(at))
	}
	req.executions++
	if req.executions > 1 && req.kind == bookingRequest {
		violation("ran %d times", req.executions)
	}
	if !req.endedAt.IsZero() && isRefusal(req.status) {
		violation("ran after it was refused with %d", req.status)
	}
}

// isRefusal says whether a status promises that the request has not run.
func isRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkResult checks what a caller got.
func (s *soak) checkResult(req *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	violation := func(format string, args ...any) {
		s.violations = append(s.violations, fmt.Sprintf("request %s through %s, life %d: ", req.id, req.router.settings.Name, req.incarnation)+
			fmt.Sprintf(format, args...))
	}
	s.requestCounts[req.workspace]++
	now := time.Now()
	keyIsValid := s.revokedAt[req.key].IsZero()
	acceptedKey := fmt.Sprintf("%s/%d/%s", req.router.settings.Name, req.incarnation, req.key)
	switch {
	case req.status == http.StatusOK && req.complete:
		s.servedCounts[req.workspace]++
		if reason := req.responseError(); reason != "" {
			violation("%s", reason)
		}
		if s.firstAccepted[acceptedKey].IsZero() {
			s.firstAccepted[acceptedKey] = now
		}
	case req.status == http.StatusOK:
		if body := streamBody(req.eventCount); req.kind == streamRequest && !(len(req.body) <= len(body) && body[:len(req.body)] == req.body) {
			violation("the stream of %d events is %q", req.eventCount, req.body)
		}
	case isRefusal(req.status):
		if req.executions > 0 {
			violation("refused with %d and ran", req.status)
		}
	case req.status == http.StatusUnauthorized:
		accepted := s.firstAccepted[acceptedKey]
		switch {
		case keyIsValid && !accepted.IsZero() && req.sentAt.After(accepted.Add(configRollbackSlack)):
			violation("its key is refused that was accepted %v before", req.sentAt.Sub(accepted))
		case keyIsValid && req.sentAt.After(s.addedAt[req.key].Add(maxConfigDelay)) && s.undisturbedSince(s.addedAt[req.key]):
			violation("its key is refused %v after it was stored", req.sentAt.Sub(s.addedAt[req.key]))
		}
	case req.status == http.StatusBadGateway || req.status == http.StatusGatewayTimeout:
	case req.status != 0:
		violation("answered with %d", req.status)
	case !req.sentAt.IsZero() && s.undisturbedSince(req.sentAt):
		s.checkLostRequest(req, violation)
	}
}

// checkLostRequest judges a request whose connection ended without an answer in calm times.
func (s *soak) checkLostRequest(req *request, violation func(string, ...any)) {
	termSentAt := req.router.termTime(req.incarnation)
	elapsed := req.endedAt.Sub(req.sentAt)
	switch {
	case elapsed >= callerTimeout:
		// Its caller gave up.
	case req.executions == 0 && elapsed < unreadCloseWindow:
		// It crossed the close.
	case !termSentAt.IsZero() && req.endedAt.Before(termSentAt.Add(req.router.settings.Bounds.Grace())):
		violation("lost at a planned stop: sent %v after it, closed %v later, ran %d times: %v", req.sentAt.Sub(termSentAt), elapsed, req.executions, req.err)
	default:
		if s.lostRequests++; s.lostRequests > 3 {
			violation("lost with nothing going on, the fourth or later: %v after it was sent, ran %d times: %v", elapsed, req.executions, req.err)
		}
	}
}

// balancer asks the routers whether they are ready, as the platform's does.
type balancer struct {
	processes    []*process
	failedProbes []atomic.Int32
	client       http.Client
}

func (b *balancer) run(s *soak) {
	for !s.isStopped() {
		for i, p := range b.processes {
			go func() {
				resp, err := b.client.Get("http://" + p.settings.Listen.Ready + platform.ReadyPath)
				if err == nil {
					resp.Body.Close()
				}
				if err == nil && resp.StatusCode == http.StatusOK {
					b.failedProbes[i].Store(0)
				} else {
					b.failedProbes[i].Add(1)
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

func (b *balancer) inRotation(i int) bool { return b.failedProbes[i].Load() < 2 }

func (b *balancer) allReady() bool {
	for i := range b.processes {
		if b.failedProbes[i].Load() > 0 {
			return false
		}
	}
	return true
}

// pickRouter draws a router in rotation; all are if fewer than half would be.
func (b *balancer) pickRouter(rng *rand.Rand) *process {
	var candidates []*process
	for i, p := range b.processes {
		if b.inRotation(i) {
			candidates = append(candidates, p)
		}
	}
	if 2*len(candidates) < len(b.processes) {
		candidates = b.processes
	}
	return candidates[rng.IntN(len(candidates))]
}

// newSoak starts stand-ins, links and routers.
func newSoak(logDir, binary string, seed uint64, d deployment) (*soak, error) {
	cluster, err := standin.NewSite(d.modelServers, d.plainServers)
	if err != nil {
		return nil, err
	}
	cluster.Engine, cluster.Zones = d.engine, d.zones
	s := &soak{
		deployment: d,
		rng:        rand.New(rand.NewPCG(seed, 2)), cluster: cluster, servers: append(slices.Clone(cluster.Models), cluster.Plain...),
		serverProxies: map[string]*faultProxy{}, requests: map[string]*request{}, revokedAt: map[string]time.Time{},
		addedAt: map[string]time.Time{}, firstAccepted: map[string]time.Time{}, drainingSince: map[string]time.Time{},
		servedCounts: map[string]int{}, requestCounts: map[string]int{},
		apiKeys: map[string][]string{standin.Workspace: {standin.Key}, "other": {"key-of-other"}},
	}
	behaviorRNG := rand.New(rand.NewPCG(seed, 3))
	for _, server := range s.servers {
		proxy, err := newFaultProxy(cluster.Place(server.ID, ""))
		if err != nil {
			return nil, err
		}
		s.serverProxies[server.ID] = proxy
		cluster.Place(server.ID, proxy.address())
		server.Gap = d.eventInterval
		server.Ran = func(id, workspace string) { s.recordExecution(server.ID, id, workspace) }
		server.Conduct = func() standin.Conduct { return s.chooseBehavior(behaviorRNG) }
		cluster.List(server.ID, serviceOf(cluster, server), "ready")
	}
	cluster.Declare(s.apiKeys)
	for i := range d.routerLimits {
		settings := cluster.Settings(fmt.Sprintf("router-%02d", i+1))
		d.applyTo(i, &settings)
		proxy, err := newFaultProxy(settings.Store.Address)
		if err != nil {
			return nil, err
		}
		settings.Store.Address = proxy.address()
		binaries := [2]string{binary, binary}
		if *otherBinaryFlag != "" {
			binaries[i%2] = *otherBinaryFlag
		}
		router, err := newProcess(logDir, binaries, settings)
		if err != nil {
			return nil, err
		}
		s.storeProxies, s.processes = append(s.storeProxies, proxy), append(s.processes, router)
	}
	s.balancer = &balancer{processes: s.processes, failedProbes: make([]atomic.Int32, len(d.routerLimits)), client: http.Client{Timeout: 500 * time.Millisecond}}
	for i := range s.balancer.failedProbes {
		s.balancer.failedProbes[i].Store(2)
	}
	return s, nil
}

func serviceOf(cluster *standin.Site, server *standin.Server) string {
	if slices.Contains(cluster.Models, server) {
		return "models"
	}
	return "booking"
}

// chooseBehavior draws how a server serves a request.
func (s *soak) chooseBehavior(rng *rand.Rand) standin.Conduct {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(s.misbehaveUntil) || rng.IntN(3) > 0 {
		return standin.Serve
	}
	return []standin.Conduct{standin.RefuseRun, standin.LoseAnswer, standin.CutStream, standin.AnswerTwice}[rng.IntN(4)]
}

func (s *soak) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.cluster.Close(ctx)
	for _, proxy := range s.storeProxies {
		proxy.close()
	}
	for _, proxy := range s.serverProxies {
		proxy.close()
	}
}
