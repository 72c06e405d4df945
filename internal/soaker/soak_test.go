// Package soaker plays random faults against the real programs: router processes on
// loopback, the platform's stand-ins, links that delay, stall, reset and silence
// connections, and signals. It checks what callers and backend servers see. All of
// it is a test; docs/DEVELOPERS.md says how to run it by hand.
package soaker

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	seedFlag    = flag.Uint64("soak.seed", 0, "play this `seed` instead of the fixed ones")
	seedsFlag   = flag.Int("soak.seeds", 1, "number of seeds to play from soak.seed on")
	secondsFlag = flag.Int("soak.seconds", 12, "`seconds` of faults for each seed")
	routersFlag = flag.Int("soak.routers", 4, "number of router processes")
	drawnFlag   = flag.Bool("soak.drawn", false, "draw a deployment for each seed")
	raceFlag    = flag.Bool("soak.race", true, "build the routers with the race detector")
	dirFlag     = flag.String("soak.dir", "", "keep logs in this `directory`")
	otherFlag   = flag.String("soak.other", "", "run this `program`, of another version, at every other start of a router")
)

// fixedSeeds are played by make test. Those that ever failed stay here, with their
// cause.
var fixedSeeds = []uint64{
	1,
	// A second SIGTERM in the last moment of a stop ended the process as a kill.
	208,
	// SIGTERM while a router starts made it fail with "context canceled".
	1004,
	// SIGHUP in the last moment of a stop killed the router.
	1042,
}

// callersPerRouter is the number of callers for each router.
const callersPerRouter = 3

func TestSoak(t *testing.T) {
	seeds := fixedSeeds
	if *seedFlag != 0 {
		seeds = nil
		for i := range *seedsFlag {
			seeds = append(seeds, *seedFlag+uint64(i))
		}
	}
	dir := *dirFlag
	if dir == "" {
		dir = t.TempDir()
	}
	binary := filepath.Join(dir, "papayapaddle")
	build := exec.Command("go", "build", fmt.Sprintf("-race=%v", *raceFlag), "-o", binary, "papayapaddle/cmd/papayapaddle")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			logs := filepath.Join(dir, fmt.Sprint("seed-", seed))
			if err := os.MkdirAll(logs, 0o755); err != nil {
				t.Fatal(err)
			}
			d := usual(*routersFlag)
			if *drawnFlag {
				d = drawDeployment(rand.New(rand.NewPCG(seed, 7)), *routersFlag)
				t.Log(d.String())
			}
			s, err := newSoak(logs, binary, seed, d)
			if err != nil {
				t.Fatal(err)
			}
			defer s.close()
			s.play(time.Duration(*secondsFlag) * time.Second)
			s.examine(logs)
			t.Log(s.summary())
			for i, v := range s.violations {
				if i == 20 {
					t.Errorf("and %d more", len(s.violations)-i)
					break
				}
				t.Error(v)
			}
		})
	}
}

// play starts everything, injects faults for a time, heals all, and stops.
func (s *soak) play(faults time.Duration) {
	var supervisors, callers sync.WaitGroup
	for i, p := range s.processes {
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i)))
		supervisors.Go(func() { s.supervise(p, rng) })
	}
	go s.balancer.run(s)
	s.await("the start", recovery)
	for i := range callersPerRouter * len(s.processes) {
		c := &caller{s: s, rng: rand.New(rand.NewPCG(s.rng.Uint64(), 9)), conns: map[*process]*callerConn{}, name: fmt.Sprintf("c%d", i)}
		callers.Go(c.run)
	}
	time.Sleep(time.Second)
	s.inject(faults)
	s.heal()
	s.await("the last fault", recovery)
	s.checkServed()
	s.ended.Store(true)
	callers.Wait()
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGTERM)
	}
	supervisors.Wait()
}

// supervise keeps a router running, as the platform does.
func (s *soak) supervise(p *process, rng *rand.Rand) {
	for !s.over() {
		if err := p.start(); err != nil {
			s.violate("%s cannot be started: %v", p.settings.Name, err)
			return
		}
		if why := p.wait(); why != "" {
			s.violate("%s", why)
		}
		time.Sleep(time.Duration(100+rng.IntN(500)) * time.Millisecond)
	}
}

// await waits until all routers are ready.
func (s *soak) await(after string, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s.balancer.allReady() {
			return
		}
	}
	var slow []string
	for i, p := range s.processes {
		if s.balancer.misses[i].Load() > 0 {
			slow = append(slow, p.settings.Name)
		}
	}
	s.violate("not ready %v after %s: %s", limit, after, strings.Join(slow, " "))
}

// checkServed checks that after the last fault a quarter of each workspace's
// requests is served.
func (s *soak) checkServed() {
	count := func() (asked, served map[string]int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		asked, served = map[string]int{}, map[string]int{}
		for _, w := range workspaces {
			asked[w], served[w] = s.asked[w], s.served[w]
		}
		return asked, served
	}
	asked, served := count()
	time.Sleep(2 * time.Second)
	askedLater, servedLater := count()
	for _, w := range workspaces {
		a, v := askedLater[w]-asked[w], servedLater[w]-served[w]
		if a == 0 || 4*v < a {
			s.violate("after the last fault %d of %d requests of workspace %s are served", v, a, w)
		}
	}
}

// examine looks for what only the end or the logs show.
func (s *soak) examine(logs string) {
	files, err := filepath.Glob(filepath.Join(logs, "*.log"))
	if err != nil {
		s.violate("%v", err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			s.violate("%v", err)
			continue
		}
		for _, sign := range []string{"DATA RACE", "panic:", "fatal error:"} {
			if strings.Contains(string(b), sign) {
				s.violate("%s: %s", filepath.Base(f), sign)
			}
		}
	}
}

func (s *soak) summary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := map[string]int{}
	for _, r := range s.requests {
		switch {
		case r.status == 0:
			count["closed"]++
		case r.status == 200 && r.whole:
			count["served"]++
		case r.status == 200:
			count["cut"]++
		default:
			count[fmt.Sprint(r.status)]++
		}
	}
	return fmt.Sprintf("%d requests: %v", len(s.requests), count)
}
