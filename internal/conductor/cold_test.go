package conductor

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/platform/standin"
)

// coldNotice is how long after a server became cold the rule begins to hold: its entry is written at once here,
// and reaches routers within the time between two reads of the store.
const coldNotice = 2 * time.Second

var (
	testColdStart = standin.ColdStart{Duration: 3 * time.Second, PerSecond: 8.3, Overage: 1.5, Tolerance: 5}
	// coldAllowed is the number of requests that the rule allows in one second.
	coldAllowed = testColdStart.Allowed()
)

// newColdFleet returns a fleet whose servers may be cold, and write their entries again and again.
func newColdFleet(c *qt.C, names ...string) *fleet {
	f := newFleet(c)
	f.cluster.ColdStart = testColdStart
	f.cluster.SetAPIKeys(standin.APIKey)
	for _, name := range names {
		f.start(name)
	}
	done := make(chan struct{})
	c.Cleanup(func() { close(done) })
	go f.cluster.KeepWriting(1200*time.Millisecond, done)
	return f
}

// Guards against cold servers that get more requests from all routers together than they tolerate: the routers
// learn it from the entry, one of them is stopped meanwhile, and requests go to models and to a plain service.
func TestColdServersGetMoreThanTheyTolerate(t *testing.T) {
	c := qt.New(t)
	f := newColdFleet(c, "a", "b", "c")
	const duration = 8 * time.Second
	servers := map[*standin.Server]string{f.cluster.ModelServers[0]: standin.ModelService, f.cluster.PlainServers[0]: standin.PlainService}
	start := time.Now()
	var mu sync.Mutex
	names := []string{"a", "b", "c"}
	routers := func() []string {
		mu.Lock()
		defer mu.Unlock()
		return names
	}
	var wg sync.WaitGroup
	for _, load := range []struct{ name, path, tokens string }{
		{"plain", standin.PlainPrefix + "x", ""}, {"model", standin.ModelPrefix + "x", "100,30"},
	} {
		wg.Go(func() {
			f.callSteadily(load.name, load.path, load.tokens, 10*time.Millisecond, start.Add(duration), routers)
		})
	}
	for s, service := range servers {
		f.cluster.SetCold(s, service, duration)
	}
	time.AfterFunc(coldNotice, func() {
		for s := range servers {
			s.ResetColdRequests()
		}
	})
	time.AfterFunc(coldNotice+time.Second, func() {
		mu.Lock()
		names = []string{"a", "c"}
		mu.Unlock()
		_ = f.routers["b"].Stop(t.Context())
	})
	wg.Wait()
	for s := range servers {
		c.Check(s.MostColdRequests() <= coldAllowed, qt.IsTrue, qt.Commentf("%s got %d requests in a second, %d are allowed", s.ID, s.MostColdRequests(), coldAllowed))
		c.Check(s.ColdRequests() > 0, qt.IsTrue, qt.Commentf("%s got no request in %v", s.ID, duration-coldNotice))
	}
}

// Guards against a server that started again during traffic and gets more requests than it tolerates, though its
// entry does not say that it is cold.
func TestRestartedServerIsColdWithoutSayingSo(t *testing.T) {
	c := qt.New(t)
	f := newColdFleet(c, "a", "b")
	f.cluster.ColdStart.Unstated = true
	s := f.cluster.PlainServers[0]
	start := time.Now()
	var most int
	var mu sync.Mutex
	var restarted sync.Once
	s.OnColdRequest = func(inSecond int) {
		mu.Lock()
		defer mu.Unlock()
		most = max(most, inSecond)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		f.callSteadily("plain", standin.PlainPrefix+"x", "", 10*time.Millisecond, start.Add(6*time.Second), func() []string { return []string{"a", "b"} })
	})
	time.AfterFunc(time.Second, func() { restarted.Do(s.Crash) })
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	c.Assert(s.ColdRequests() > 0, qt.IsTrue)
	c.Assert(most <= coldAllowed, qt.IsTrue, qt.Commentf("%d requests in a second, %d are allowed", most, coldAllowed))
}
