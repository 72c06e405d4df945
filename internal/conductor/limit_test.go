package conductor

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/platform/standin"
)

const (
	// limitWindow, limitRatio and limitSlack are the users' rule: in no such window may a server get more than
	// limitRatio times what it names and limitSlack requests.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
	// limitGrace is how long after a server first names its limit the rule begins to hold.
	limitGrace = 3 * time.Second
)

// arrivals records when requests reach a server.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func recordArrivals(s *standin.Server) *arrivals {
	a := &arrivals{}
	s.OnRequest = func(string) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.times = append(a.times, time.Now())
	}
	return a
}

// most returns the largest number of requests in a window after a time.
func (a *arrivals) most(after time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i, at := range a.times {
		if at.Before(after) {
			first = i + 1
			continue
		}
		for at.Sub(a.times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// callSteadily sends requests through the routers in turn until the end, and returns how many were served.
func (f *fleet) callSteadily(name, path, tokens string, every time.Duration, end time.Time, routers func() []string) int {
	tick := time.NewTicker(every)
	defer tick.Stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := 0; time.Now().Before(end); i++ {
		<-tick.C
		names := routers()
		request := standin.Request{
			Router: f.settings[names[i%len(names)]].Listen.Callers, Path: path, ID: fmt.Sprint(name, "-", i), APIKey: standin.APIKey,
			TokenUsage: tokens, SharedPart: fmt.Sprint("part-", i%8),
		}
		wg.Go(func() {
			// A router that has just stopped accepts no connections.
			if resp, err := request.Do(); err == nil && resp.Status == http.StatusOK {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return served
}

// Guards against servers that get more requests from all routers together than the limit that they name,
// while a router stops, and against limits that last longer than their servers name them.
func TestServersGetMoreThanTheirLimit(t *testing.T) {
	c := qt.New(t)
	const perSecond, duration = 4.0, 9 * time.Second
	f := newFleet(c, "a", "b", "c")
	servers := append(f.cluster.ModelServers, f.cluster.PlainServers...)
	reached := map[string]*arrivals{}
	for _, s := range servers {
		reached[s.ID] = recordArrivals(s)
		s.SetLimit(strconv.FormatFloat(perSecond, 'f', 1, 64))
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
			f.callSteadily(load.name, load.path, load.tokens, 12*time.Millisecond, start.Add(duration), routers)
		})
	}
	time.AfterFunc(limitGrace+time.Second, func() {
		mu.Lock()
		names = []string{"a", "c"}
		mu.Unlock()
		_ = f.routers["b"].Stop(t.Context())
	})
	wg.Wait()
	allowed := int(limitRatio*perSecond*limitWindow.Seconds()) + limitSlack
	for _, s := range servers {
		a := reached[s.ID]
		c.Check(a.most(start.Add(limitGrace)) <= allowed, qt.IsTrue, qt.Commentf("%s got %d requests in %v, %d are allowed", s.ID, a.most(start.Add(limitGrace)), limitWindow, allowed))
		s.SetLimit("")
	}
	for _, tokens := range []string{"", "100,30"} {
		path := standin.PlainPrefix + "x"
		if tokens != "" {
			path = standin.ModelPrefix + "x"
		}
		eventually(c, "all requests are served after the end of the limits", func() bool {
			for range 4 * allowed {
				if f.call("a", path, standin.APIKey, tokens).Status != http.StatusOK {
					return false
				}
			}
			return true
		})
	}
}
