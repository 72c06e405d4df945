package conductor

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/evacuator"
	"papayapaddle/internal/messenger"
	"papayapaddle/internal/pauser"
	"papayapaddle/internal/watcher"
)

var largeFleetFlag = flag.Bool("fleet.large", false, "simulate fleets of hundreds of routers too, which takes a minute")

// simLatency is how long a message or a call to the store takes each way in simulated fleets.
const simLatency = 5 * time.Millisecond

// simZonePrefix precedes the name of an evacuated zone in the keys of the simulated table.
const simZonePrefix = "zone:"

var errRefused, errHistoryGone = errors.New("refused"), errors.New("gone")

// simContent is what a store holds of the table of the configuration.
type simContent struct {
	at      watcher.Position
	rows    map[string]watcher.Row
	history []watcher.Row
}

// simStore is a store in virtual time. Copies of its content are kept for restores.
type simStore struct {
	mu sync.Mutex
	simContent
	compacted uint64
	copies    []simContent
	refused   map[string]bool
	calls     atomic.Int64
}

func newSimStore() *simStore {
	s := &simStore{refused: map[string]bool{}}
	s.at.Era, s.rows = 1, map[string]watcher.Row{}
	s.write("config", false)
	return s
}

func (s *simStore) write(key string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = append(s.copies, simContent{s.at, maps.Clone(s.rows), slices.Clone(s.history)})
	s.at.Version++
	row := watcher.Row{Key: key, Value: []byte("?"), Version: s.at.Version, Deleted: deleted}
	s.history = append(s.history, row)
	if s.rows[key] = row; deleted {
		delete(s.rows, key)
	}
}

// restore replaces the content by one of the last copies.
func (s *simStore) restore(back int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := max(1, len(s.copies)-back)
	if i >= len(s.copies) {
		return
	}
	era := s.at.Era + 1
	s.simContent, s.copies, s.compacted = s.copies[i], s.copies[:i], 0
	s.at.Era = era
}

func (s *simStore) loseHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.at.Version
}

func (s *simStore) refuse(router string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[router] = refused
}

func (s *simStore) zones() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []string{}
	for key := range s.rows {
		if zone, ok := strings.CutPrefix(key, simZonePrefix); ok {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

func (s *simStore) call(router string, f func() ([]watcher.Row, error)) ([]watcher.Row, watcher.Position, error) {
	time.Sleep(simLatency)
	defer time.Sleep(simLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Add(1)
	if s.refused[router] {
		return nil, watcher.Position{}, errRefused
	}
	rows, err := f()
	return rows, s.at, err
}

func (s *simStore) table(router string) watcher.Table {
	return watcher.Table{
		Read: func(context.Context) ([]watcher.Row, watcher.Position, error) {
			return s.call(router, func() ([]watcher.Row, error) { return slices.Collect(maps.Values(s.rows)), nil })
		},
		Changes: func(_ context.Context, after uint64) ([]watcher.Row, watcher.Position, error) {
			return s.call(router, func() ([]watcher.Row, error) {
				if after < s.compacted || after > s.at.Version {
					return nil, errHistoryGone
				}
				i := slices.IndexFunc(s.history, func(r watcher.Row) bool { return r.Version > after })
				if i < 0 {
					return nil, nil
				}
				return slices.Clone(s.history[i:]), nil
			})
		},
		IsHistoryGone: func(err error) bool { return errors.Is(err, errHistoryGone) },
	}
}

// simRouter is the part of a router that learns of evacuations.
type simRouter struct {
	evacuations
	fleet      *simFleet
	peer       messenger.Peer
	membership *messenger.Membership
	startedAt  time.Duration
	confirming atomic.Bool
	cancel     context.CancelFunc
	// previousRelease is true for a router that knows no evacuations.
	previousRelease bool
}

// simFleet is a fleet in virtual time. Its routers exchange gossip as package conductor does.
type simFleet struct {
	store   *simStore
	origin  time.Time
	wg      sync.WaitGroup
	ctx     context.Context
	mu      sync.Mutex
	routers map[string]*simRouter
	// cut holds the pairs of routers that do not reach each other.
	cut map[[2]string]bool
}

func (f *simFleet) now() time.Duration { return time.Hour + time.Since(f.origin) }

func simPair(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// startRouter starts a router, or another process of it. previousRelease says that it knows no evacuations.
func (f *simFleet) startRouter(peer messenger.Peer, previousRelease bool, known ...messenger.Peer) *simRouter {
	r := &simRouter{fleet: f, peer: peer, startedAt: f.now(), previousRelease: previousRelease}
	r.membership = messenger.NewMembership(peer, minFailureTimeout, f.now)
	r.membership.Add(known...)
	noServers := watcher.Table{
		Read: func(context.Context) ([]watcher.Row, watcher.Position, error) {
			return nil, watcher.Position{}, errRefused
		},
	}
	noServers.IsHistoryGone = func(error) bool { return false }
	w := watcher.New(&watcher.Watcher{
		ConfigTable: f.store.table(peer.Name), ServerTable: noServers, ConfigKey: "config", Now: f.now, Log: func(string, ...any) {},
		DecodeCatalog: func([]byte) (*cataloger.Catalog, error) { return cataloger.New(cataloger.Catalog{Version: 1}) },
		ReadStoreAfter: func() time.Duration {
			return storeReadAge(r.membership.StoreReadRank(), r.membership.FleetSize(), r.gossipPeriod(), referenceMaxAge)
		},
		WaitForPeersUntil: func() time.Duration { return r.startedAt + startListTimeout },
		MaxBackoff: func() time.Duration {
			return min(maxBackoffStep*time.Duration(r.membership.StoreReadRank()), backoffLimit)
		},
	})
	if !previousRelease {
		w.EvacuatedZone = func(key string) (string, bool) { return strings.CutPrefix(key, simZonePrefix) }
		w.OnEvacuations, w.EvacuationsAge, w.Evacuated = r.applyStore, r.age, r.Evacuated
	}
	r.evacuations.now, r.watcher, r.log = f.now, w, func(string, ...any) {}
	r.onChange = func([]evacuator.Change, ...any) { w.RefreshServers() }
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(f.ctx)
	r.tell = func(source string) {
		for _, p := range r.membership.Neighbors(source) {
			f.wg.Go(func() { r.exchange(ctx, p.Name) })
		}
	}
	f.mu.Lock()
	f.routers[peer.Name] = r
	f.mu.Unlock()
	f.wg.Go(func() { w.Run(ctx) })
	f.wg.Go(func() { r.gossip(ctx) })
	return r
}

func (r *simRouter) gossipPeriod() time.Duration {
	return max(minGossipPeriod, time.Duration(r.membership.HubCount())*time.Second/(2*maxExchangesPerSecond))
}

func (r *simRouter) gossip(ctx context.Context) {
	for pauser.Sleep(ctx, r.gossipPeriod()/2) {
		p := r.gossipPeriod()
		r.membership.SetFailureTimeout(max(minFailureTimeout, maxMissedPeriods*p))
		age, confirmed := r.watcher.ConfigAge()
		for _, peer := range r.membership.PeersDue(p, !confirmed || age > gossipWithAllAge) {
			r.fleet.wg.Go(func() { r.exchange(ctx, peer.Name) })
		}
		r.tick()
	}
}

// message returns a gossip message, as node.buildGossip does.
func (r *simRouter) message(to string) messenger.Gossip {
	out := messenger.Gossip{ProvenAgo: -1, ServersAgo: -1, KnowsEras: true}
	r.membership.FillGossip(to, &out)
	age, ok := r.watcher.ConfigAge()
	if out.Version = r.watcher.ConfigVersion(); ok {
		out.ProvenAgo = age
	}
	if !r.previousRelease {
		out.Evacuations = r.forPeer()
	}
	return out
}

func (r *simRouter) receive(in *messenger.Gossip) {
	r.membership.ApplyGossip(in)
	if !r.previousRelease {
		r.applyPeer(in.From.Name, &in.Evacuations)
	}
}

// exchange exchanges gossip with a peer, as node.gossipWith does.
func (r *simRouter) exchange(ctx context.Context, name string) {
	f := r.fleet
	reach := func() *simRouter {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.cut[simPair(r.peer.Name, name)] {
			return nil
		}
		return f.routers[name]
	}
	sentAt, out := f.now(), r.message(name)
	time.Sleep(simLatency)
	to := reach()
	if to == nil {
		return
	}
	to.receive(&out)
	if age, ok := to.watcher.ConfigAge(); out.ProvenAgo >= 0 && (!ok || out.ProvenAgo+minAgeAdvantage < age) && to.confirming.CompareAndSwap(false, true) {
		f.wg.Go(func() {
			defer to.confirming.Store(false)
			to.exchange(ctx, r.peer.Name)
		})
	}
	reply := to.message(r.peer.Name)
	time.Sleep(simLatency)
	if reach() != to || ctx.Err() != nil {
		return
	}
	r.receive(&reply)
	if !r.previousRelease {
		r.confirm(&reply.Evacuations, sentAt)
	}
	if reply.ProvenAgo >= 0 {
		r.watcher.ConfirmConfig(reply.Version, sentAt-reply.ProvenAgo)
	}
}

// newSimFleet starts the routers of a fleet in four zones, which know each other.
func newSimFleet(ctx context.Context, size int, previousRelease func(i int) bool) *simFleet {
	f := &simFleet{store: newSimStore(), origin: time.Now(), ctx: ctx, routers: map[string]*simRouter{}, cut: map[[2]string]bool{}}
	peers := make([]messenger.Peer, size)
	for i := range peers {
		name := fmt.Sprintf("r%03d", i)
		peers[i] = messenger.Peer{Name: name, Address: name, AvailabilityZone: fmt.Sprint("zone-", i%4), Incarnation: 1, CPUShare: 0.2}
	}
	for i, p := range peers {
		f.startRouter(p, previousRelease != nil && previousRelease(i), peers...)
	}
	return f
}

// Guards against evacuations that take effect late: the row may be written just after a read of the store, routers may be cut off
// from the store, the ones that usually read it first above all, and in a large fleet most routers hear of it through hubs. The
// bounds follow from storeReadAge and the time that two failed calls take; nothing depends on the machine, as time is virtual.
func TestEvacuationTakesEffectInTime(t *testing.T) {
	for _, tt := range []struct {
		name  string
		size  int
		bound time.Duration
		// refused says which routers the store refuses, in the order of names.
		refused func(i int) bool
	}{
		{"6 routers", 6, 500 * time.Millisecond, nil},
		{"6 routers, only the last reaches the store", 6, 1300 * time.Millisecond, func(i int) bool { return i < 5 }},
		{"60 routers", 60, 500 * time.Millisecond, nil},
		{"60 routers, only the last reaches the store", 60, 2500 * time.Millisecond, func(i int) bool { return i < 59 }},
		{"295 routers", 295, 500 * time.Millisecond, nil},
		{"295 routers, only the last reaches the store", 295, 2500 * time.Millisecond, func(i int) bool { return i < 294 }},
	} {
		if tt.size > 100 && !*largeFleetFlag {
			continue
		}
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newSimFleet(ctx, tt.size, nil)
				if tt.refused != nil {
					for i := range tt.size {
						f.store.refuse(fmt.Sprintf("r%03d", i), tt.refused(i))
					}
				}
				time.Sleep(5 * time.Second)
				calls, began := f.store.calls.Load(), f.now()
				var latest, sum time.Duration
				n := 0
				for i := range 12 {
					time.Sleep(time.Second + time.Duration(i)*37*time.Millisecond)
					zone := fmt.Sprint("evacuated-", i)
					f.store.write(simZonePrefix+zone, false)
					written := f.now()
					missing := slices.Collect(maps.Values(f.routers))
					for len(missing) > 0 && f.now() < written+evacuationTakesEffect {
						time.Sleep(simLatency)
						missing = slices.DeleteFunc(missing, func(r *simRouter) bool {
							if r.Listed(zone) {
								sum, n = sum+f.now()-written, n+1
								return true
							}
							return false
						})
					}
					latest = max(latest, f.now()-written)
				}
				t.Logf("latest %v, mean %v, %.1f calls of the store a second", latest, (sum / time.Duration(max(1, n))).Round(time.Millisecond),
					float64(f.store.calls.Load()-calls)/(f.now()-began).Seconds())
				qt.Check(t, latest <= tt.bound, qt.IsTrue, qt.Commentf("latest %v, bound %v", latest, tt.bound))
				cancel()
				f.wg.Wait()
			})
		})
	}
}
