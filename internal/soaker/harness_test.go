package soaker

import (
	"context"
	"fmt"
	"log"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"papayapaddle/platform/standin"
)

// Guarantees that are checked. They correspond to the settings of the routers.
const (
	// disturbanceMargin is how long the effects of a fault may last after its end.
	disturbanceMargin = 3 * time.Second
	// maxConfigDelay is the time after which routers must use a stored configuration.
	maxConfigDelay = 2 * time.Second
	// maxDrainDelay is the time after which a draining server must not get requests.
	maxDrainDelay = 2 * time.Second
	// maxRecoveryTime is the time after which routers must be ready again after the last fault.
	maxRecoveryTime = 12 * time.Second
	// unreadCloseWindow is how long after a request was sent a router may close the connection
	// without having read the request.
	unreadCloseWindow = 200 * time.Millisecond
	// configRollbackSlack is how long after a router accepted a key it may still handle a request
	// with an older configuration.
	configRollbackSlack = 250 * time.Millisecond
)

// soak is the state of one run of the soak test.
type soak struct {
	deployment
	seed uint64
	// faults are the faults that are drawn.
	faults    []fault
	rng       *rand.Rand
	cluster   *standin.Cluster
	servers   []*standin.Server
	processes []*process
	balancer  *balancer
	events    *log.Logger
	// storeProxies are the proxies between each router and the store, in the order of processes.
	storeProxies []*faultProxy
	// serverProxies are the proxies in front of the backend servers, by server ID.
	serverProxies map[string]*faultProxy

	stopped atomic.Bool
	// sendsDeadly makes a tenth of the streams and a twentieth of the bookings crash servers.
	sendsDeadly atomic.Bool

	mu             sync.Mutex
	culprits       map[culprit]*culpritRecord
	evidenceLosses []evidenceLoss
	// storeDownSince is since when the store has been unavailable, or zero.
	storeDownSince time.Time
	violations     []string
	requests       map[string]*request
	lostRequests   int
	lostAnswers    int
	// answersStallUntil is the time until which a third of the answers stall, as stallRNG draws.
	answersStallUntil time.Time
	stallRNG          *rand.Rand
	// disturbedUntil is the end of the latest fault, planned operations excluded, plus
	// disturbanceMargin.
	disturbedUntil time.Time
	// apiKeys are the keys of each workspace from oldest to newest. Only the newest is valid.
	apiKeys   map[string][]string
	revokedAt map[string]time.Time
	addedAt   map[string]time.Time
	// firstAccepted is when an incarnation of a router first accepted a key.
	firstAccepted map[string]time.Time
	drainingSince map[string]time.Time
	// leavingServers are the servers that say that they are shutting down, and pausingUntil is until when
	// servers ask for a pause. toldLeaving and toldPauses are when they told an incarnation of a router.
	leavingServers map[string]bool
	pausingUntil   map[string]time.Time
	toldLeaving    map[string]time.Time
	toldPauses     map[string]*toldPause
	// limits are the limits that servers name. heldBackUntil is until when requests of a router or to a
	// server may arrive late.
	limits map[string]*namedLimit
	// evacuatedAt is when the evacuation of a zone was stored.
	evacuatedAt   map[string]time.Time
	heldBackUntil map[string]time.Time
	cold          coldServers
	servedCounts  map[string]int
	requestCounts map[string]int
	// endDuration is how long servers end in the middle of responses, which have no length then. endRNG draws them.
	endDuration time.Duration
	endRNG      *rand.Rand
	// misbehaveUntil is the time until which backend servers mishandle a third of their requests.
	misbehaveUntil time.Time
}

func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *soak) isStopped() bool { return s.stopped.Load() }

// markDisturbed records a fault that starts now and lasts for a duration.
func (s *soak) markDisturbed(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := time.Now().Add(duration + disturbanceMargin); until.After(s.disturbedUntil) {
		s.disturbedUntil = until
	}
}

// undisturbedSince reports whether there has been no disturbance since t. The caller must hold the
// lock.
func (s *soak) undisturbedSince(t time.Time) bool { return t.After(s.disturbedUntil) }

// workspaces are the workspaces of the callers. Each has one valid key at a time.
var workspaces = []string{standin.Workspace, "other"}

// drawKey returns a random workspace and its valid key or, with a probability of 1/6, the previous
// key.
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

// validKeys returns the key of each workspace.
func (s *soak) validKeys() map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]string{}
	for workspace, keys := range s.apiKeys {
		out[workspace] = keys[len(keys)-1:]
	}
	return out
}

// replaceKey revokes a workspace's key and adds a new one.
func (s *soak) replaceKey(workspace string) {
	validKeys := s.validKeys()
	s.mu.Lock()
	newKey := fmt.Sprintf("key-of-%s-%d", workspace, len(s.apiKeys[workspace]))
	s.mu.Unlock()
	validKeys[workspace] = []string{newKey}
	// Delays are measured from the time when the store has applied the change.
	s.cluster.PutConfig(validKeys)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := s.apiKeys[workspace]
	s.revokedAt[keys[len(keys)-1]], s.addedAt[newKey] = now, now
	s.apiKeys[workspace] = append(keys, newKey)
}

// recordSent records a request before it is sent.
func (s *soak) recordSent(req *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req.sentAt = time.Now()
	s.requests[req.id] = req
}

// recordExecution records and checks the execution of a request by a backend server.
func (s *soak) recordExecution(server, id, workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	req := s.requests[id]
	report := func(format string, args ...any) {
		s.violations = append(s.violations,
			fmt.Sprintf("request %s at %s: ", id, server)+fmt.Sprintf(format, args...))
	}
	if req == nil {
		report("it was executed but never sent")
		return
	}
	if req.workspace != workspace {
		report("it was executed for workspace %q instead of %q", workspace, req.workspace)
	}
	if at, ok := s.revokedAt[req.key]; ok && req.sentAt.After(at.Add(s.deployment.maxRevocationDelay)) {
		report("its key was revoked %v before it was sent", req.sentAt.Sub(at))
	}
	if at, ok := s.drainingSince[server]; ok &&
		now.After(at.Add(maxDrainDelay)) && s.undisturbedSince(at) {
		report("the server has been draining for %v", now.Sub(at))
	}
	req.executions++
	if req.culprit != "" {
		r := s.culpritRecord(req.culprit)
		r.reachedBy = append(r.reachedBy, req.sentAt)
		s.events.Printf("event=culprit-reached culprit=%s server=%s request=%s workspace=%s router=%s sent-before=%v",
			req.culprit, server, id, workspace, req.router.settings.Name, now.Sub(req.sentAt))
	}
	if req.executions > 1 && req.kind == bookingRequest {
		report("it was executed %d times", req.executions)
	}
	if !req.endedAt.IsZero() && isRefusal(req.status) {
		report("it was executed after it was refused with %d", req.status)
	}
}

// isRefusal reports whether a status guarantees that the request was not executed.
func isRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkResult checks the result of a request.
func (s *soak) checkResult(req *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := func(format string, args ...any) {
		s.violations = append(s.violations, fmt.Sprintf("request %s through %s, incarnation %d: ",
			req.id, req.router.settings.Name, req.incarnation)+fmt.Sprintf(format, args...))
	}
	s.requestCounts[req.workspace]++
	now := time.Now()
	keyIsValid := s.revokedAt[req.key].IsZero()
	acceptedKey := fmt.Sprintf("%s/%d/%s", req.router.settings.Name, req.incarnation, req.key)
	switch {
	case req.status == http.StatusOK && req.complete:
		s.servedCounts[req.workspace]++
		if reason := req.responseError(); reason != "" {
			report("%s", reason)
		}
		if s.firstAccepted[acceptedKey].IsZero() {
			s.firstAccepted[acceptedKey] = now
		}
	case req.status == http.StatusOK:
		if complete := streamBody(req.eventCount); req.kind == streamRequest &&
			!(len(req.body) <= len(complete) && complete[:len(req.body)] == req.body) {
			report("body of the truncated stream of %d events is %q", req.eventCount, req.body)
		}
		s.checkLostAnswer(req, report)
	case isRefusal(req.status):
		if req.executions > 0 {
			report("it was refused with %d but executed", req.status)
		}
	case req.status == http.StatusUnauthorized:
		accepted := s.firstAccepted[acceptedKey]
		switch {
		case keyIsValid && !accepted.IsZero() && req.sentAt.After(accepted.Add(configRollbackSlack)):
			report("its key was rejected %v after the same incarnation accepted it", req.sentAt.Sub(accepted))
		case keyIsValid && req.sentAt.After(s.addedAt[req.key].Add(maxConfigDelay)) &&
			s.undisturbedSince(s.addedAt[req.key]):
			report("its key was rejected %v after it was stored", req.sentAt.Sub(s.addedAt[req.key]))
		}
	case req.status == http.StatusUnprocessableEntity && req.culprit != "":
		s.culpritRecord(req.culprit).addRefused(req.sentAt)
	case req.status == http.StatusBadGateway || req.status == http.StatusGatewayTimeout:
		s.checkLostAnswer(req, report)
	case req.status != 0:
		report("unexpected status %d", req.status)
	case !req.sentAt.IsZero() && s.undisturbedSince(req.sentAt):
		s.checkLostAnswer(req, report)
		s.checkLostRequest(req, report)
	}
}

// checkLostRequest checks a request whose connection was closed without a response while there was
// no disturbance. Up to three such requests per run are tolerated, except at a graceful stop.
func (s *soak) checkLostRequest(req *request, report func(string, ...any)) {
	termSentAt := req.router.termTime(req.incarnation)
	elapsed := req.endedAt.Sub(req.sentAt)
	switch {
	case elapsed >= callerTimeout:
		// The caller timed out.
	case req.executions == 0 && elapsed < unreadCloseWindow:
		// The router closed the connection while the request was on its way.
	case !termSentAt.IsZero() &&
		req.endedAt.Before(termSentAt.Add(req.router.settings.Bounds.GracePeriod())):
		report("lost during a graceful stop: sent %v after SIGTERM, closed after %v, executed %d times: %v",
			req.sentAt.Sub(termSentAt), elapsed, req.executions, req.err)
	default:
		if s.lostRequests++; s.lostRequests > 3 {
			report("lost without a disturbance (4th or later): closed after %v, executed %d times: %v",
				elapsed, req.executions, req.err)
		}
	}
}

// newSoak starts the platform, the backend servers and the proxies, and prepares the routers.
func newSoak(logDir, binary string, seed uint64, d deployment) (*soak, error) {
	cluster, err := standin.NewCluster(d.modelServers, d.plainServers)
	if err != nil {
		return nil, err
	}
	cluster.Engine, cluster.Zones, cluster.ColdStart = d.engine, d.zones, d.coldStart
	if err := cluster.AddSpareServers(spareServers); err != nil {
		return nil, err
	}
	events, err := newEventLog(logDir)
	if err != nil {
		return nil, err
	}
	s := &soak{
		events:        events,
		deployment:    d,
		seed:          seed,
		rng:           rand.New(rand.NewPCG(seed, 2)),
		stallRNG:      rand.New(rand.NewPCG(seed, 4)),
		endRNG:        rand.New(rand.NewPCG(seed, 6)),
		cluster:       cluster,
		servers:       append(slices.Clone(cluster.ModelServers), cluster.PlainServers...),
		serverProxies: map[string]*faultProxy{},
		requests:      map[string]*request{},
		revokedAt:     map[string]time.Time{},
		addedAt:       map[string]time.Time{},
		firstAccepted: map[string]time.Time{},
		drainingSince: map[string]time.Time{}, leavingServers: map[string]bool{}, pausingUntil: map[string]time.Time{},
		toldLeaving: map[string]time.Time{}, toldPauses: map[string]*toldPause{},
		culprits: map[culprit]*culpritRecord{}, limits: map[string]*namedLimit{}, heldBackUntil: map[string]time.Time{},
		servedCounts:  map[string]int{},
		requestCounts: map[string]int{},
		apiKeys:       map[string][]string{standin.Workspace: {standin.APIKey}, "other": {"key-of-other"}},
	}
	behaviorRNG := rand.New(rand.NewPCG(seed, 3))
	for _, server := range slices.Concat(s.servers, cluster.SpareServers) {
		proxy, err := newFaultProxy(cluster.SetServerAddress(server.ID, ""))
		if err != nil {
			return nil, err
		}
		s.serverProxies[server.ID] = proxy
		cluster.SetServerAddress(server.ID, proxy.address())
		server.EventInterval = d.eventInterval
		server.CrashPart, server.CrashBody, server.Crash = string(deadlyPart), deadlyBody, func() { s.crashServer(server) }
		server.End = func() { s.endServer(server) }
		server.OnRun = func(id, workspace string) { s.recordExecution(server.ID, id, workspace) }
		server.OnRequest = func(id string) { s.recordArrival(server, id) }
		server.ChooseBehavior = func() standin.Behavior { return s.chooseBehavior(behaviorRNG) }
		server.StallDuration = func() time.Duration {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.drawStall(s.stallRNG)
		}
		cluster.PutServer(server.ID, serviceOf(cluster, server), "ready")
	}
	cluster.PutConfig(s.apiKeys)
	for i := range d.routerLimits {
		settings := cluster.RouterSettings(fmt.Sprintf("router-%02d", i+1))
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
	s.balancer = &balancer{
		processes: s.processes, failedProbes: make([]atomic.Int32, len(d.routerLimits)),
		client: http.Client{Timeout: 500 * time.Millisecond},
	}
	for i := range s.balancer.failedProbes {
		s.balancer.failedProbes[i].Store(2)
	}
	return s, nil
}

func serviceOf(cluster *standin.Cluster, server *standin.Server) string {
	switch {
	case slices.Contains(cluster.ModelServers, server):
		return standin.ModelService
	case slices.Contains(cluster.SpareServers, server):
		return standin.SpareService
	}
	return standin.PlainService
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
