package conductor

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"papayapaddle/internal/messenger"
)

// evacuationCheck follows what routers must know about evacuated zones.
type evacuationCheck struct {
	*simFleet
	// writtenAt is since when the store holds the row of a zone, in its present era.
	writtenAt map[string]time.Duration
	// knownAt is since when a process of a router knows an evacuation, by router and zone.
	knownAt map[[2]string]time.Duration
	// changedAt is when a router's contact with the store, named by "" and its name, or that of two routers last changed.
	changedAt map[[2]string]time.Duration
	wrong     string
}

// connected reports whether a pair has had contact for the time in which an evacuation must take effect.
func (e *evacuationCheck) connected(a, b string) bool {
	pair := simPair(a, b)
	return !e.cut[pair] && e.now()-e.changedAt[pair] > evacuationTakesEffect
}

// mustKnow reports whether a router reads the store or hears a router that does.
func (e *evacuationCheck) mustKnow(name string) bool {
	for other, p := range e.routers {
		if other != name && !p.previousRelease && e.connected("", other) && e.connected(name, other) {
			return true
		}
	}
	return e.connected("", name)
}

// check records a router that does not know an evacuation which it must know, or knew before.
func (e *evacuationCheck) check() {
	for name, r := range e.routers {
		for zone, at := range e.writtenAt {
			key := [2]string{name, zone}
			known := e.knownAt[key]
			switch {
			case r.previousRelease || e.wrong != "":
			case r.Listed(zone) && known == 0:
				e.knownAt[key] = e.now()
			case r.Evacuated(zone):
				// A router that knows no evacuations sends no requests.
			case known > at:
				e.wrong = fmt.Sprintf("%s has forgotten the evacuation of %q, which it knew %v ago", name, zone, e.now()-known)
			case e.mustKnow(name) && e.now()-max(at, r.startedAt) > evacuationTakesEffect:
				e.wrong = fmt.Sprintf("%s does not know the evacuation of %q, stored %v ago", name, zone, e.now()-at)
			}
		}
	}
}

func (e *evacuationCheck) advance(d time.Duration) {
	for end := e.now() + d; e.now() < end; e.check() {
		time.Sleep(2 * simLatency)
	}
}

func (e *evacuationCheck) toggle(pair [2]string) {
	if pair[0] == pair[1] {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut[pair], e.changedAt[pair] = !e.cut[pair], e.now()
	if pair[0] == "" {
		e.store.refuse(pair[1], e.cut[pair])
	}
}

// apply applies a step. Its arguments are drawn from 0 to 9.
func (e *evacuationCheck) apply(kind, x, y int) {
	a, b, zone := fmt.Sprintf("r%03d", x%4), fmt.Sprintf("r%03d", y%4), []string{"a", "b", ""}[x%3]
	switch kind {
	case 0, 1:
		e.advance(time.Duration([]int{20, 100, 700, 3000, 6000}[x%5]) * time.Millisecond)
	case 2:
		e.store.write(simZonePrefix+zone, false)
		if e.writtenAt[zone] == 0 {
			e.writtenAt[zone] = e.now()
		}
	case 3:
		e.store.write(simZonePrefix+zone, true)
		delete(e.writtenAt, zone)
		maps.DeleteFunc(e.knownAt, func(key [2]string, _ time.Duration) bool { return key[1] == zone })
	case 4:
		e.store.restore(1 + x%5)
		clear(e.writtenAt)
		clear(e.knownAt)
		for _, zone := range e.store.zones() {
			e.writtenAt[zone] = e.now()
		}
	case 5:
		e.store.loseHistory()
	case 6:
		e.toggle(simPair("", a))
	case 7:
		e.toggle(simPair(a, b))
	case 8:
		old := e.routers[a]
		old.cancel()
		old.peer.Incarnation++
		var known []messenger.Peer
		for _, r := range e.routers {
			known = append(known, r.peer)
		}
		maps.DeleteFunc(e.knownAt, func(key [2]string, _ time.Duration) bool { return key[0] == a })
		e.startRouter(old.peer, old.previousRelease, known...)
	}
}

// runEvacuations applies steps to four routers, of which one may be of the release before, and returns what was wrong.
func runEvacuations(t *testing.T, previous int, steps []int) (wrong string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := &evacuationCheck{
			simFleet:  newSimFleet(ctx, 4, func(i int) bool { return i == previous }),
			writtenAt: map[string]time.Duration{}, knownAt: map[[2]string]time.Duration{}, changedAt: map[[2]string]time.Duration{},
		}
		for _, step := range steps {
			e.apply(step/100, step/10%10, step%10)
			e.check()
		}
		for pair, cut := range e.cut {
			if cut {
				e.toggle(pair)
			}
		}
		e.advance(2 * evacuationTakesEffect)
		for name, r := range e.routers {
			got, want := slices.Sorted(maps.Keys(r.Zones())), e.store.zones()
			if !r.previousRelease && (!slices.Equal(got, want) || !r.known()) && e.wrong == "" {
				e.wrong = fmt.Sprintf("at the end %s has %q evacuated, the store %q", name, got, want)
			}
		}
		wrong = e.wrong
		cancel()
		e.wg.Wait()
	})
	return wrong
}

// Guards against evacuations that routers miss, forget before the row is deleted, or never end: with any order of writes, lost
// history, restores of the store, restarts, routers that the store refuses or that do not reach each other, and with a router of the
// release before, which confirms the configuration and knows no evacuations.
func TestRoutersAgreeOnEvacuations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		previous := rapid.IntRange(-2, 3).Draw(rt, "router of the release before")
		steps := rapid.SliceOfN(rapid.IntRange(0, 899), 1, 40).Draw(rt, "steps")
		if wrong := runEvacuations(t, previous, steps); wrong != "" {
			rt.Fatal(wrong)
		}
	})
}
