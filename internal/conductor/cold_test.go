package conductor

import (
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/allocator"
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/evacuator"
	"papayapaddle/internal/pacer"
	"papayapaddle/internal/relayer"
	"papayapaddle/internal/timer"
	"papayapaddle/internal/watcher"
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
	f := newColdFleet(qt.New(t), "a", "b", "c")
	f.callColdServers(t, f.cluster.ModelServers[:1], f.cluster.PlainServers[:1])
}

// Guards against the same if no warm server is left.
func TestAllServersAreCold(t *testing.T) {
	f := newColdFleet(qt.New(t), "a", "b", "c")
	f.callColdServers(t, f.cluster.ModelServers, f.cluster.PlainServers)
}

// callColdServers makes servers cold, sends requests through three routers and stops one of them.
func (f *fleet) callColdServers(t *testing.T, models, plain []*standin.Server) {
	c := f.c
	const duration = 8 * time.Second
	servers := map[*standin.Server]string{}
	for _, s := range models {
		servers[s] = standin.ModelService
	}
	for _, s := range plain {
		servers[s] = standin.PlainService
	}
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
		t.Logf("%s got %d requests while it was cold, at most %d in a second", s.ID, s.ColdRequests(), s.MostColdRequests())
		c.Check(s.ColdRequests() > 0, qt.IsTrue, qt.Commentf("%s got no request in %v", s.ID, duration-coldNotice))
	}
}

// Guards against a server that started again during traffic and gets more requests than it tolerates, though its
// entry does not say that it is cold.
func TestRestartedServerIsColdWithoutSayingSo(t *testing.T) {
	c := qt.New(t)
	f := newColdFleet(c, "a", "b")
	const coldFor = 6 * time.Second
	f.cluster.ColdStart.Unstated, f.cluster.ColdStart.Duration = true, coldFor
	f.cluster.SetAPIKeys(standin.APIKey)
	s := f.cluster.PlainServers[0]
	start := time.Now()
	var most int
	var mu sync.Mutex
	s.OnColdRequest = func(inSecond int) {
		mu.Lock()
		defer mu.Unlock()
		// The last second must be one in which routers know.
		if coldFor-s.ColdRemaining() > coldNotice+time.Second {
			most = max(most, inSecond)
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		f.callSteadily("plain", standin.PlainPrefix+"x", "", 10*time.Millisecond, start.Add(8*time.Second), func() []string { return []string{"a", "b"} })
	})
	time.AfterFunc(time.Second, s.Crash)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	c.Assert(s.ColdRequests() > 0, qt.IsTrue)
	c.Assert(most <= coldAllowed, qt.IsTrue, qt.Commentf("%d requests in a second, %d are allowed", most, coldAllowed))
}

// Guards against requests that are kept from servers in a deployment whose services tolerate any number of them.
func TestServersWithoutColdLimitAreNotCold(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a")
	n := f.routers["a"].node
	for _, s := range n.watcher.ServerSet().ByID {
		n.recordCold(s, relayer.ResponseInfo{ColdRemaining: time.Minute})
		c.Check(n.isCold(s.ID), qt.IsFalse)
		c.Check(n.isLimited(s.ID), qt.IsFalse)
		c.Check(n.ownedCold(s.ID), qt.Equals, admitter.ColdLimit{})
		c.Check(n.mayProbe(s), qt.IsTrue)
	}
	c.Check(n.ownedCold("not listed"), qt.Equals, admitter.ColdLimit{})
	c.Check(n.coldMillis(), qt.HasLen, 0)
}

// Guards against a cold period that only one router knows of, and against health requests that a cold server gets on top of
// what it tolerates.
func TestColdServersGetNoHealthRequests(t *testing.T) {
	c := qt.New(t)
	f := newColdFleet(c, "a", "b")
	a, b := f.routers["a"].node, f.routers["b"].node
	for _, id := range []string{f.cluster.ModelServers[0].ID, f.cluster.PlainServers[0].ID} {
		s := a.watcher.ServerSet().ByID[id]
		c.Assert(a.mayProbe(s), qt.IsTrue, qt.Commentf("%s is warm", id))
		a.beginCold(s, pacer.ColdEvacuation, time.Minute)
		c.Assert(a.mayProbe(s), qt.IsFalse)
		eventually(c, "the other router knows that "+id+" is cold", func() bool { return b.isCold(id) })
		c.Assert(b.mayProbe(s), qt.IsFalse)
	}
}

// Guards against requests that are sent to a cold server with a grant from before it was known to be cold, with one that is
// too old, with that of a router of the release before, or without any.
func TestGrantsForColdServersExpire(t *testing.T) {
	c := qt.New(t)
	f := newColdFleet(c, "a")
	n := f.routers["a"].node
	s := n.watcher.ServerSet().ByID[f.cluster.PlainServers[0].ID]
	now := timer.SinceBoot()
	old := allocator.Grant{Cold: true, At: now - pacer.GrantTTL - 1}
	c.Check(n.mayUseGrant(s, allocator.Grant{}), qt.IsTrue, qt.Commentf("the server is warm"))
	c.Check(n.mayUseGrant(s, old), qt.IsFalse, qt.Commentf("only its owner knows that it is cold"))
	n.logCold(n.cold.servers.Record(now, pacer.ColdResponse, s.ID, s.StartedUnixMilli, time.Minute))
	c.Check(n.mayUseGrant(s, old), qt.IsFalse)
	c.Check(n.mayUseGrant(s, allocator.Grant{At: timer.SinceBoot()}), qt.IsFalse)
	c.Check(n.mayUseGrant(s, allocator.Grant{}), qt.IsFalse)
	// It stays fresh however long the check takes.
	c.Check(n.mayUseGrant(s, allocator.Grant{Cold: true, At: timer.SinceBoot() + time.Minute}), qt.IsTrue)
	assignment := n.withGrant(&relayer.Assignment{Server: s}, old)
	c.Check(assignment.MaySend(), qt.IsFalse)
}

// Guards against a burst at the servers of a zone whose evacuation has ended: they count as cold before they get requests
// again, though their entries do not say so yet.
func TestServersAreColdAfterEvacuation(t *testing.T) {
	c := qt.New(t)
	f := newColdFleet(c, "a")
	f.useZones("here", "there")
	n := f.routers["a"].node
	inZone := func(zone string) (cold, listed int) {
		for _, s := range n.watcher.ServerSet().ByID {
			if s.AvailabilityZone == zone {
				listed++
				if n.isCold(s.ID) {
					cold++
				}
			}
		}
		return cold, listed
	}
	eventually(c, "the zones are known", func() bool { _, listed := inZone("there"); return listed > 0 })
	f.cluster.EvacuateZone("there", "{}")
	eventually(c, "the zone is evacuated", func() bool { return len(n.evacuations.Zones()) == 1 })
	f.cluster.EndEvacuation("there")
	eventually(c, "the evacuation has ended", func() bool { return len(n.evacuations.Zones()) == 0 })
	cold, listed := inZone("there")
	c.Assert(cold, qt.Equals, listed)
	cold, _ = inZone("here")
	c.Assert(cold, qt.Equals, 0)
}

// Guards against a router that learns of the end of an evacuation late, as it was suspended or cut off, and makes the other
// routers take the zone's servers for cold once more.
func TestLateEndOfEvacuationIsNotPassedOn(t *testing.T) {
	c := qt.New(t)
	f := newColdFleet(c, "a")
	n := f.routers["a"].node
	s := f.cluster.PlainServers[0]
	end := evacuator.Change{Zone: f.cluster.ServerZone(s.ID)}
	news := func() []pacer.ColdNews { return n.cold.servers.ForPeer(timer.SinceBoot(), 0).News }
	n.handleEvacuationChanges([]evacuator.Change{end})
	c.Check(n.isCold(s.ID), qt.IsTrue)
	c.Check(news(), qt.HasLen, 0)
	end.Recent = true
	n.handleEvacuationChanges([]evacuator.Change{end})
	c.Check(len(news()) > 0, qt.IsTrue)
}

// Guards against requests that reach a server that has just started after it is listed and before it counts as cold.
func TestServersAreColdBeforeTheyAreUsed(t *testing.T) {
	c := qt.New(t)
	n, rows := newColdNode(c)
	n.cold.hadTraffic.Store(true)
	started, known := rows[len(rows)-1].Key, false
	next := n.watcher.OnServers
	n.watcher.OnServers = func(set *watcher.ServerSet) {
		s := set.ByID[started]
		known = known || s != nil && n.watcher.Usable(s) && n.isCold(started)
		next(set)
	}
	for i, present := range [][]watcher.Row{rows[:len(rows)-1], rows} {
		n.watcher.ApplyPeerRows(present, true, watcher.Position{Version: rows[len(rows)-1].Version + uint64(i)}, 0, false)
	}
	c.Check(n.isCold(started), qt.IsTrue)
	c.Check(known, qt.IsTrue)
}

// newColdNode returns a router that does not run, and entries of servers that it may apply.
func newColdNode(c *qt.C) (*node, []watcher.Row) {
	f := newColdFleet(c, "a")
	n := New(f.settings["a"], io.Discard).node
	raw, _ := f.routers["a"].node.watcher.RawConfig(0)
	_, err := n.watcher.InstallConfig(raw, "a")
	c.Assert(err, qt.IsNil)
	n.evacuations.applyStore(nil, watcher.Position{}, timer.SinceBoot())
	rows, full := f.routers["a"].node.watcher.ServerRows(watcher.Position{Era: 1 << 32})
	c.Assert(full, qt.IsTrue)
	return n, rows
}

// Guards against a request that asks for all servers of a service in turn, since their owners grant what may not be used: they
// are of the release before, or take the servers for warm already.
func TestUnusableGrantsEndSearch(t *testing.T) {
	c := qt.New(t)
	n, rows := newColdNode(c)
	n.allocator.Admitter.Cold = nil
	n.watcher.ApplyPeerRows(rows, true, watcher.Position{Version: rows[len(rows)-1].Version}, 0, false)
	for _, s := range n.watcher.ServerSet().ByID {
		n.beginCold(s, pacer.ColdResponse, time.Minute)
	}
	now := time.Now()
	service := n.watcher.Catalog().Services[standin.ModelService]
	call := &relayer.Call{Service: service, Route: &cataloger.Route{LatencyObjective: time.Second}, Arrived: now, Deadline: now.Add(time.Minute)}
	_, refusal := n.assignServer(t.Context(), call)
	c.Assert(refusal.Reason, qt.Equals, string(admitter.ReasonServerCold))
	c.Assert(call.ExcludedServers, qt.HasLen, maxColdGivenBack)
}
