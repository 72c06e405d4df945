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
	// stable is how long a disturbance counts after its end.
	stable = 3 * time.Second
	// configApply is when a configuration is in force after it was stored.
	configApply = 2 * time.Second
	// drain is when a leaving server gets nothing any more.
	drain = 2 * time.Second
	// recovery is when the routers serve again after the last fault.
	recovery = 12 * time.Second
	// lossSlack is how long after a request was sent the connection may be closed
	// unread.
	lossSlack = 200 * time.Millisecond
	// downgradeSlack is after what time a request must not be judged by an older
	// configuration than one before it.
	downgradeSlack = 250 * time.Millisecond
)

// soak is one run.
type soak struct {
	deployment
	rng       *rand.Rand
	site      *standin.Cluster
	servers   []*standin.Server
	processes []*process
	balancer  *balancer
	// toStore and toServers are the links, by process and by server.
	toStore   []*link
	toServers map[string]*link

	ended atomic.Bool

	mu         sync.Mutex
	violations []string
	requests   map[string]*request
	losses     int
	// disturbedTill is until when faults count that nobody planned.
	disturbedTill time.Time
	keys          map[string][]string
	revokedAt     map[string]time.Time
	addedAt       map[string]time.Time
	// accepted is when a life of a router first accepted a key.
	accepted map[string]time.Time
	draining map[string]time.Time
	served   map[string]int
	asked    map[string]int
	// conduct is the share of requests that servers treat badly, until a time.
	conductTill time.Time
}

func (s *soak) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *soak) over() bool { return s.ended.Load() }

// disturb notes a fault that lasts for a time.
func (s *soak) disturb(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if till := time.Now().Add(d + stable); till.After(s.disturbedTill) {
		s.disturbedTill = till
	}
}

// calmSince says whether nothing unplanned went on at a time or later; the caller
// holds the lock.
func (s *soak) calmSince(at time.Time) bool { return at.After(s.disturbedTill) }

// The workspaces of the soak; each has one key at a time, and callers go on using
// the one before for a while.
var workspaces = []string{standin.Workspace, "other"}

// drawKey returns a workspace and one of its keys, seldom one that was taken away.
func (s *soak) drawKey(rng *rand.Rand) (workspace, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := workspaces[rng.IntN(len(workspaces))]
	keys := s.keys[w]
	if len(keys) > 1 && rng.IntN(6) == 0 {
		return w, keys[len(keys)-2]
	}
	return w, keys[len(keys)-1]
}

// rotate takes a workspace's key away and gives it another one.
func (s *soak) rotate(workspace string) {
	s.mu.Lock()
	next := fmt.Sprintf("key-of-%s-%d", workspace, len(s.keys[workspace]))
	declared := map[string][]string{}
	for w, keys := range s.keys {
		declared[w] = keys[len(keys)-1:]
	}
	declared[workspace] = []string{next}
	s.mu.Unlock()
	// The store's answer is what times count from.
	s.site.PutConfig(declared)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := s.keys[workspace]
	s.revokedAt[keys[len(keys)-1]], s.addedAt[next] = now, now
	s.keys[workspace] = append(keys, next)
}

// register notes a request before it is sent.
func (s *soak) register(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.sentAt = time.Now()
	s.requests[r.id] = r
}

// ran is called by a server that runs a request.
func (s *soak) ran(server, id, workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	r := s.requests[id]
	bad := func(format string, args ...any) {
		s.violations = append(s.violations, fmt.Sprintf("request %s at %s: ", id, server)+fmt.Sprintf(format, args...))
	}
	if r == nil {
		bad("nobody sent it")
		return
	}
	if r.workspace != workspace {
		bad("ran for workspace %q of %q", workspace, r.workspace)
	}
	if at, ok := s.revokedAt[r.key]; ok && r.sentAt.After(at.Add(s.deployment.revoke)) {
		bad("its key was taken away %v before it was sent", r.sentAt.Sub(at))
	}
	if at, ok := s.draining[server]; ok && now.After(at.Add(drain)) && s.calmSince(at) {
		bad("the server has been leaving for %v", now.Sub(at))
	}
	r.runs++
	if r.runs > 1 && r.kind == booking {
		bad("ran %d times", r.runs)
	}
	if !r.endedAt.IsZero() && refusal(r.status) {
		bad("ran after it was refused with %d", r.status)
	}
}

// refusal says whether a status promises that the request has not run.
func refusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// judge checks what a caller got.
func (s *soak) judge(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bad := func(format string, args ...any) {
		s.violations = append(s.violations, fmt.Sprintf("request %s through %s, life %d: ", r.id, r.router.settings.Name, r.life)+
			fmt.Sprintf(format, args...))
	}
	s.asked[r.workspace]++
	now := time.Now()
	valid := s.revokedAt[r.key].IsZero()
	acceptance := fmt.Sprintf("%s/%d/%s", r.router.settings.Name, r.life, r.key)
	switch {
	case r.status == http.StatusOK && r.whole:
		s.served[r.workspace]++
		if why := r.wrong(); why != "" {
			bad("%s", why)
		}
		if s.accepted[acceptance].IsZero() {
			s.accepted[acceptance] = now
		}
	case r.status == http.StatusOK:
		if full := events(r.events); r.kind == stream && !(len(r.body) <= len(full) && full[:len(r.body)] == r.body) {
			bad("the stream of %d events is %q", r.events, r.body)
		}
	case refusal(r.status):
		if r.runs > 0 {
			bad("refused with %d and ran", r.status)
		}
	case r.status == http.StatusUnauthorized:
		since := s.accepted[acceptance]
		switch {
		case valid && !since.IsZero() && r.sentAt.After(since.Add(downgradeSlack)):
			bad("its key is refused that was accepted %v before", r.sentAt.Sub(since))
		case valid && r.sentAt.After(s.addedAt[r.key].Add(configApply)) && s.calmSince(s.addedAt[r.key]):
			bad("its key is refused %v after it was stored", r.sentAt.Sub(s.addedAt[r.key]))
		}
	case r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout:
	case r.status != 0:
		bad("answered with %d", r.status)
	case !r.sentAt.IsZero() && s.calmSince(r.sentAt):
		s.lost(r, bad)
	}
}

// lost judges a request whose connection ended without an answer in calm times.
func (s *soak) lost(r *request, bad func(string, ...any)) {
	term := r.router.termOf(r.life)
	took := r.endedAt.Sub(r.sentAt)
	switch {
	case took >= answerTimeout:
		// Its caller gave up.
	case r.runs == 0 && took < lossSlack:
		// It crossed the close.
	case !term.IsZero() && r.endedAt.Before(term.Add(r.router.settings.Bounds.GracePeriod())):
		bad("lost at a planned stop: sent %v after it, closed %v later, ran %d times: %v", r.sentAt.Sub(term), took, r.runs, r.err)
	default:
		if s.losses++; s.losses > 3 {
			bad("lost with nothing going on, the fourth or later: %v after it was sent, ran %d times: %v", took, r.runs, r.err)
		}
	}
}

// balancer asks the routers whether they are ready, as the platform's does.
type balancer struct {
	processes []*process
	misses    []atomic.Int32
	client    http.Client
}

func (b *balancer) run(s *soak) {
	for !s.over() {
		for i, p := range b.processes {
			go func() {
				resp, err := b.client.Get("http://" + p.settings.Listen.Ready + platform.ReadyPath)
				if err == nil {
					resp.Body.Close()
				}
				if err == nil && resp.StatusCode == http.StatusOK {
					b.misses[i].Store(0)
				} else {
					b.misses[i].Add(1)
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

func (b *balancer) ready(i int) bool { return b.misses[i].Load() < 2 }

func (b *balancer) allReady() bool {
	for i := range b.processes {
		if b.misses[i].Load() > 0 {
			return false
		}
	}
	return true
}

// pick draws a router in rotation; all are if fewer than half would be.
func (b *balancer) pick(rng *rand.Rand) *process {
	var in []*process
	for i, p := range b.processes {
		if b.ready(i) {
			in = append(in, p)
		}
	}
	if 2*len(in) < len(b.processes) {
		in = b.processes
	}
	return in[rng.IntN(len(in))]
}

// newSoak starts stand-ins, links and routers.
func newSoak(dir, binary string, seed uint64, d deployment) (*soak, error) {
	site, err := standin.NewCluster(d.models, d.plain)
	if err != nil {
		return nil, err
	}
	site.Engine, site.Zones = d.engine, d.zones
	s := &soak{
		deployment: d,
		rng:        rand.New(rand.NewPCG(seed, 2)), site: site, servers: append(slices.Clone(site.ModelServers), site.PlainServers...),
		toServers: map[string]*link{}, requests: map[string]*request{}, revokedAt: map[string]time.Time{},
		addedAt: map[string]time.Time{}, accepted: map[string]time.Time{}, draining: map[string]time.Time{},
		served: map[string]int{}, asked: map[string]int{},
		keys: map[string][]string{standin.Workspace: {standin.APIKey}, "other": {"key-of-other"}},
	}
	conductRNG := rand.New(rand.NewPCG(seed, 3))
	for _, v := range s.servers {
		l, err := newLink(site.SetServerAddress(v.ID, ""))
		if err != nil {
			return nil, err
		}
		s.toServers[v.ID] = l
		site.SetServerAddress(v.ID, l.address())
		v.EventInterval = d.gap
		v.OnRun = func(id, workspace string) { s.ran(v.ID, id, workspace) }
		v.ChooseBehavior = func() standin.Behavior { return s.conduct(conductRNG) }
		site.PutServer(v.ID, serviceOf(site, v), "ready")
	}
	site.PutConfig(s.keys)
	for i := range d.routers {
		settings := site.RouterSettings(fmt.Sprintf("router-%02d", i+1))
		d.settings(i, &settings)
		l, err := newLink(settings.Store.Address)
		if err != nil {
			return nil, err
		}
		settings.Store.Address = l.address()
		programs := [2]string{binary, binary}
		if *otherFlag != "" {
			programs[i%2] = *otherFlag
		}
		p, err := newProcess(dir, programs, settings)
		if err != nil {
			return nil, err
		}
		s.toStore, s.processes = append(s.toStore, l), append(s.processes, p)
	}
	s.balancer = &balancer{processes: s.processes, misses: make([]atomic.Int32, len(d.routers)), client: http.Client{Timeout: 500 * time.Millisecond}}
	for i := range s.balancer.misses {
		s.balancer.misses[i].Store(2)
	}
	return s, nil
}

func serviceOf(site *standin.Cluster, v *standin.Server) string {
	if slices.Contains(site.ModelServers, v) {
		return "models"
	}
	return "booking"
}

// conduct draws how a server serves a request.
func (s *soak) conduct(rng *rand.Rand) standin.Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(s.conductTill) || rng.IntN(3) > 0 {
		return standin.ServeNormally
	}
	return []standin.Behavior{standin.RefuseRequest, standin.DropResponse, standin.TruncateStream, standin.AppendStrayResponse}[rng.IntN(4)]
}

func (s *soak) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.site.Close(ctx)
	for _, l := range s.toStore {
		l.close()
	}
	for _, l := range s.toServers {
		l.close()
	}
}
