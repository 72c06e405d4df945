package watcher

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"papayapaddle/internal/cataloger"
)

// exchange lets a router process the answer of a peer, as package conductor does.
func (h *harness) exchange(peer *harness) {
	changed, age, confirmed := peer.w.ServersAge()
	if confirmed && h.w.ConfirmServers(changed, h.now-age) {
		known, _, _ := h.w.ServersAge()
		rows, full := peer.w.ServerRows(known)
		h.w.ApplyPeerRows(rows, full, changed, h.now-age, true)
	}
}

// Guards against routers that take a version of the store after it was restored from a copy for the same version before, and
// confirm each other's entries although only one of them has read the restored ones.
func TestPeersConfirmEntriesOfLostHistory(t *testing.T) {
	c := qt.New(t)
	a, b := newHarness(), newHarness()
	read := func(position Position, whole bool, entries string) {
		rows := parseRows(t, entries)
		for i := range rows {
			if rows[i].Version == 0 {
				rows[i].Version = position.Version
			}
		}
		b := batch{rows: rows, fullTable: whole, position: position, requestedAt: a.now}
		c.Assert(a.w.handleAnswer("servers", &a.w.serversState, b, a.w.applyServers), qt.Equals, answerConfirms)
	}
	read(Position{Era: 1, Version: 46}, true, "x address=x:1 at=40\ny address=y:1 at=46")
	b.exchange(a)
	c.Assert(b.describeServers(), qt.Equals, "x at x:1 usable\ny at y:1 usable\n")
	read(Position{Era: 2, Version: 43}, true, "x address=x:1 at=40\ny address=y:1 at=43")
	b.exchange(a)
	read(Position{Era: 2, Version: 44}, false, "x address=x:1 leaving")
	b.exchange(a)
	c.Check(b.describeServers(), qt.Equals, "x at x:1 not usable\ny at y:1 usable\n")
	read(Position{Era: 2, Version: 46}, false, "y address=y:1 leaving")
	b.exchange(a)
	c.Check(b.describeServers(), qt.Equals, "x at x:1 not usable\ny at y:1 not usable\n")
}

// fakeStore is a store with the table of the configuration only.
type fakeStore struct {
	mu       sync.Mutex
	position Position
	config   uint64
}

func (s *fakeStore) set(position Position, config uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position, s.config = position, config
}

func (s *fakeStore) read() ([]Row, Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := Row{Key: "config", Value: strconv.AppendUint(nil, s.config, 10), Version: 10 * s.config}
	return []Row{row}, s.position, nil
}

func (s *fakeStore) table() Table {
	return Table{
		Read:          func(context.Context) ([]Row, Position, error) { return s.read() },
		Changes:       func(context.Context, uint64) ([]Row, Position, error) { return s.read() },
		IsHistoryGone: func(error) bool { return false },
	}
}

// Guards against a configuration that counts as the newest because a restored store holds it, before the operators
// have written again what the copy lacks: a key that was revoked in between would be accepted.
func TestRestoredStoreConfirmsOlderConfig(t *testing.T) {
	for _, tt := range []struct {
		name string
		// inForce is the version that the router knows before it reads the restored store, which holds copied.
		inForce, copied uint64
		// known says that the router has followed the store before.
		known bool
		// wait is the time until the operators write again.
		wait time.Duration
	}{
		{"router starts", 0, 1, false, time.Second},
		{"router knows the lost change", 2, 1, true, time.Second},
		{"router missed the lost change", 1, 1, true, time.Second},
		{"operators are slow", 2, 1, true, 3 * rewriteTime},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				start := time.Now()
				now := func() time.Duration { return time.Hour + time.Since(start) }
				s := &fakeStore{}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				w := New(&Watcher{
					ConfigTable: s.table(), ServerTable: s.table(), ConfigKey: "config", Now: now, Log: func(string, ...any) {},
					DecodeServer:   func(Row) (*cataloger.Server, error) { return &cataloger.Server{ID: "config"}, nil },
					DecodeCatalog:  newHarness().w.DecodeCatalog,
					ReadStoreAfter: func() time.Duration { return 300 * time.Millisecond },
				})
				if tt.known {
					s.set(Position{Era: 1, Version: 50}, tt.inForce)
				} else {
					s.set(Position{Era: 2, Version: 40}, tt.copied)
				}
				followed := make(chan struct{})
				go func() {
					w.Run(ctx)
					close(followed)
				}()
				if tt.known {
					time.Sleep(10 * time.Second)
				}
				s.set(Position{Era: 2, Version: 40}, tt.copied)
				restored := now()
				time.Sleep(tt.wait)
				if age, ok := w.ConfigAge(); ok {
					c.Check(now()-age < restored, qt.IsTrue, qt.Commentf("version %d was confirmed by the copy", w.ConfigVersion()))
				}
				s.set(Position{Era: 2, Version: 41}, 3)
				time.Sleep(5 * time.Second)
				age, ok := w.ConfigAge()
				c.Check(ok && age < time.Second, qt.IsTrue, qt.Commentf("confirmed %v, %v ago", ok, age))
				c.Check(w.ConfigVersion(), qt.Equals, uint64(3))
				cancel()
				<-followed
			})
		})
	}
}

// Guards against an answer from before a restore that arrives after one of the new era and brings back the entries and the
// position of the lost history.
func TestAnswerFromBeforeRestoreIsIgnored(t *testing.T) {
	c := qt.New(t)
	h := newHarness()
	answer := func(era uint64, whole bool, sentAgo time.Duration, entries string) answerUse {
		b := batch{
			rows: parseRows(t, entries), fullTable: whole, position: Position{Era: era, Version: 9}, requestedAt: h.now - sentAgo,
		}
		return h.w.handleAnswer("servers", &h.w.serversState, b, h.w.applyServers)
	}
	c.Assert(answer(1, true, 0, "x address=x:1 at=9"), qt.Equals, answerConfirms)
	h.now += time.Second
	c.Assert(answer(2, true, 0, "x address=x:1 at=8 leaving"), qt.Equals, answerConfirms)
	h.now += time.Second
	c.Assert(answer(1, true, 1500*time.Millisecond, "x address=x:1 at=9\ny address=y:1 at=9"), qt.Equals, answerOutdated)
	c.Assert(answer(1, false, 1500*time.Millisecond, "y address=y:1 at=9"), qt.Equals, answerOutdated)
	c.Assert(h.describeServers(), qt.Equals, "x at x:1 not usable\n")
	c.Assert(h.w.serversState.next, qt.Equals, Position{Era: 2, Version: 9})
}

// Guards against a row of the copy that is taken for one that the operators have written since the restore.
func TestRowOfCopyIsNotRewritten(t *testing.T) {
	row := func(era, rowVersion, version uint64) storedConfig {
		return storedConfig{row: Position{Era: era, Version: rowVersion}, version: version}
	}
	for _, tt := range []struct {
		name        string
		before, now storedConfig
		rewritten   bool
	}{
		{"first read", storedConfig{}, row(2, 10, 1), false},
		{"same row", row(1, 10, 1), row(2, 10, 1), false},
		{"older configuration", row(1, 10, 2), row(2, 5, 1), false},
		{"newer one that was not read before the restore", row(1, 10, 1), row(2, 12, 2), false},
		{"same configuration, another row version", row(1, 10, 1), row(2, 9, 1), true},
		{"newer configuration, row version of an older one", row(1, 10, 1), row(2, 10, 2), true},
		{"written in this era", row(2, 10, 1), row(2, 11, 2), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			qt.Assert(t, tt.now.rewrittenSince(tt.before), qt.Equals, tt.rewritten)
		})
	}
}

// Guards against a table of removed servers that grows with servers that come and go.
func TestRemovedServersAreBounded(t *testing.T) {
	c := qt.New(t)
	h := newHarness()
	for i := range maxRemovedServers + 100 {
		rows := parseRows(t, fmt.Sprintf("s%d address=x:1 at=%d", i, 2*i+1))
		h.w.applyServers(batch{rows: rows, requestedAt: h.now})
		h.now += time.Millisecond
		h.w.RemoveServer(rows[0].Key, "test")
	}
	c.Assert(h.w.removed, qt.HasLen, maxRemovedServers)
	_, newest := h.w.removed[fmt.Sprint("s", maxRemovedServers+99)]
	c.Assert(newest, qt.IsTrue)
	h.now += 2 * removedTTL
	h.w.applyServers(batch{rows: parseRows(t, "last address=x:1 at=99999"), requestedAt: h.now})
	h.w.RemoveServer("last", "test")
	c.Assert(h.w.removed, qt.HasLen, 1)
}

// routersAndStore is a chain of routers of which the first one reads the store.
type routersAndStore struct {
	routers []*harness
	era     uint64
	// history holds the changes of the current era, and live what the servers would write.
	history []Row
	live    map[string]Row
}

func (s *routersAndStore) write(r Row) {
	r.Version = uint64(len(s.history) + 1)
	s.history = append(s.history, r)
	s.live[r.Key] = r
}

// read lets a router read the store.
func (s *routersAndStore) read(router int) {
	w := s.routers[router].w
	for range 2 {
		b := w.newBatch(&w.serversState)
		from := w.serversState.next.Version
		b.position = Position{Era: s.era, Version: uint64(len(s.history))}
		switch {
		case b.fullTable:
			b.rows = liveRows(s.history)
		case from > uint64(len(s.history)):
			w.serversState.loaded = false
			continue
		default:
			b.rows = slices.Clone(s.history[from:])
		}
		if w.handleAnswer("servers", &w.serversState, b, w.applyServers) != answerOfOtherEra {
			return
		}
	}
}

// restore loses the changes after a version. All servers and, where some have gone, the store write again what differs.
func (s *routersAndStore) restore(version int) {
	s.era++
	s.history = slices.Clone(s.history[:version])
}

func (s *routersAndStore) writeAgain() {
	stored := map[string]Row{}
	for _, r := range s.history {
		stored[r.Key] = r
	}
	for _, key := range slices.Sorted(maps.Keys(s.live)) {
		if was, live := stored[key], s.live[key]; string(was.Value) != string(live.Value) || was.Deleted != live.Deleted {
			s.write(live)
		}
	}
}

// Guards against routers that do not agree with the store some time after it was restored, whichever of them read it and
// however their messages and the store's answers were ordered or lost.
func TestEntriesConvergeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &routersAndStore{routers: []*harness{newHarness(), newHarness(), newHarness()}, era: 1, live: map[string]Row{}}
		wait := func(d time.Duration) {
			for _, h := range s.routers {
				h.now += d
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			wait(30 * time.Millisecond)
			router := rapid.IntRange(0, 2).Draw(t, "router")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				n := len(s.history) + 1
				row := Row{
					Key:     rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"),
					Deleted: rapid.Bool().Draw(t, "deleted"),
				}
				if !row.Deleted {
					row.Value = fmt.Appendf(nil, `{"Service":"pool","Address":"x:%d","StartedUnixMilli":%d}`, n, s.routers[0].now)
				}
				s.write(row)
			case 3, 4:
				s.read(router)
			case 5, 6, 7:
				s.routers[router].exchange(s.routers[rapid.IntRange(0, 2).Draw(t, "peer")])
			case 8:
				s.restore(rapid.IntRange(0, len(s.history)).Draw(t, "copied version"))
				if rapid.Bool().Draw(t, "written again at once") {
					s.writeAgain()
				}
			case 9:
				s.routers[router] = newHarness()
				s.routers[router].now = s.routers[(router+1)%3].now
			}
		}
		s.writeAgain()
		for range 2 {
			s.read(0)
			s.routers[1].exchange(s.routers[0])
			s.routers[2].exchange(s.routers[1])
			wait(copiedEntryGracePeriod + time.Second)
			for _, h := range s.routers {
				h.w.ApplyPeerContact("peer", 0, 0)
			}
		}
		want := newHarness()
		want.w.applyServers(batch{rows: liveRows(s.history), fullTable: true, requestedAt: want.now})
		for i, h := range s.routers {
			if h.describeServers() != want.describeServers() {
				t.Fatalf("router %d has\n%sbut the store has\n%s", i, h.describeServers(), want.describeServers())
			}
		}
	})
}

// Guards against a store that names no era and whose first answer is not taken for a confirmation.
func TestStoreWithoutErasConfirmsAtOnce(t *testing.T) {
	h := newHarness()
	b := batch{rows: parseRows(t, "config version=1 at=3"), fullTable: true, position: Position{Version: 3}, requestedAt: h.now - time.Second}
	qt.Assert(t, h.w.handleAnswer("configuration", &h.w.configState, b, h.w.applyConfig), qt.Equals, answerConfirms)
}
