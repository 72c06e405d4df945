package watcher

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"papayapaddle/internal/cataloger"
)

// harness runs a watcher without a store.
type harness struct {
	w   *Watcher
	now time.Duration
	log []string
	// lastAnswerAt is when this router or a peer last received an answer of the store.
	lastAnswerAt time.Duration
}

func newHarness() *harness {
	h := &harness{now: time.Hour, lastAnswerAt: time.Hour}
	h.w = &Watcher{
		ConfigKey: "config", Now: func() time.Duration { return h.now },
		Log: func(event string, _ ...any) { h.log = append(h.log, event) },
		DecodeCatalog: func(raw []byte) (*cataloger.Catalog, error) {
			v, err := strconv.ParseUint(string(raw), 10, 64)
			if err != nil {
				return nil, err
			}
			return cataloger.New(cataloger.Catalog{Version: v})
		},
		DecodeServer: func(r Row) (*cataloger.Server, error) {
			var s cataloger.Server
			if err := json.Unmarshal(r.Value, &s); err != nil {
				return nil, err
			}
			if s.Address == "" {
				return nil, errors.New("no address")
			}
			s.ID = r.Key
			return &s, nil
		},
	}
	return h
}

// parseRows parses lines such as "s1 address=x born=1 leaving", "s1 deleted" and
// "s1 garbage": born is the start time of the server, leaving marks it as draining, and
// garbage is a value that cannot be decoded.
func parseRows(t *testing.T, input string) []Row {
	var out []Row
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		r := Row{Key: fields[0]}
		s := cataloger.Server{Service: "pool"}
		for _, field := range fields[1:] {
			k, v, _ := strings.Cut(field, "=")
			switch k {
			case "deleted":
				r.Deleted = true
			case "garbage":
				r.Value = []byte("{")
			case "address":
				s.Address = v
			case "at":
				n, err := strconv.ParseUint(v, 10, 64)
				qt.Assert(t, err, qt.IsNil)
				r.Version = n
			case "born":
				n, err := strconv.ParseInt(v, 10, 64)
				qt.Assert(t, err, qt.IsNil)
				s.StartedUnixMilli = n
			case "leaving":
				s.Draining = true
			case "version":
				r.Value = []byte(v)
			default:
				t.Fatalf("unknown field %q", field)
			}
		}
		if r.Value == nil && !r.Deleted {
			b, err := json.Marshal(s)
			qt.Assert(t, err, qt.IsNil)
			r.Value = b
		}
		out = append(out, r)
	}
	return out
}

func (h *harness) batch(t *testing.T, d *datadriven.TestData) batch {
	out := batch{
		rows: parseRows(t, d.Input), fullTable: d.HasArg("whole"), requestedAt: h.now,
		confirmationAge: max(0, h.now-h.lastAnswerAt),
	}
	if d.HasArg("era") {
		d.ScanArgs(t, "era", &out.position.Era)
	}
	out.position.Version = newestVersion(out.rows)
	h.lastAnswerAt = h.now
	return out
}

func (h *harness) describeServers() string {
	var s strings.Builder
	set := h.w.ServerSet()
	for _, id := range slices.Sorted(maps.Keys(set.ByID)) {
		server := set.ByID[id]
		status := "usable"
		if !slices.Contains(set.ByService[server.Service], server) {
			status = "not usable"
		}
		fmt.Fprintf(&s, "%s at %s %s\n", id, server.Address, status)
	}
	if s.Len() == 0 {
		return "none\n"
	}
	return s.String()
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		h := newHarness()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "servers":
				h.w.handleAnswer("servers", &h.w.serversState, h.batch(t, d), h.w.applyServers)
				return h.describeServers()
			case "config":
				h.w.handleAnswer("configuration", &h.w.configState, h.batch(t, d), h.w.applyConfig)
				return h.describeConfig()
			case "peer-proof":
				var version uint64
				var ago int
				d.ScanArgs(t, "version", &version)
				d.ScanArgs(t, "ago-ms", &ago)
				h.w.ConfirmConfig(version, h.now-time.Duration(ago)*time.Millisecond)
				return h.describeConfig()
			case "peer-contact":
				var ms int
				var era uint64
				d.ScanArgs(t, "ms", &ms)
				if d.HasArg("era") {
					d.ScanArgs(t, "era", &era)
				}
				h.w.ApplyPeerContact("peer", era, time.Duration(ms)*time.Millisecond)
				return h.describeServers()
			case "answers-elsewhere":
				h.w.RemoveServer(d.CmdArgs[0].Key, "test")
				return h.describeServers()
			case "advance":
				var ms int
				d.ScanArgs(t, "ms", &ms)
				h.now += time.Duration(ms) * time.Millisecond
				if d.HasArg("in-contact") {
					h.lastAnswerAt = h.now
				}
				return ""
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

func (h *harness) describeConfig() string {
	age, ok := h.w.ConfigAge()
	if !ok {
		return "nothing proven\n"
	}
	return fmt.Sprintf("version %d proven %d ms ago\n", h.w.Catalog().Version, age.Milliseconds())
}

// TestConfigVersionNeverDecreases installs configurations in random order. The newest one
// that was installed must be in force.
func TestConfigVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		highest := uint64(0)
		for _, v := range rapid.SliceOf(rapid.Uint64Range(1, 9)).Draw(t, "versions") {
			c, err := h.w.InstallConfig([]byte(strconv.FormatUint(v, 10)), "test")
			if err != nil {
				t.Fatal(err)
			}
			highest = max(highest, v)
			if c.Version != highest || h.w.Catalog().Version != highest {
				t.Fatalf("version %d is in force, but version %d was installed", h.w.Catalog().Version, highest)
			}
		}
	})
}

// TestServerEntriesFromPeers lets two routers read the store and entries of each other in
// random order. Each router must have the entries that the store held at the last version
// that it knows, also if rows were deleted between two reads of the full table.
func TestServerEntriesFromPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := []*harness{newHarness(), newHarness()}
		readVersions, knownVersions := []uint64{0, 0}, []uint64{0, 0}
		var history []Row
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			r := rapid.IntRange(0, 1).Draw(t, "router")
			self, other := routers[r], routers[1-r]
			for _, h := range routers {
				// All steps together are shorter than outageThreshold, or entries would lapse.
				h.now += 30 * time.Millisecond
			}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				// The store changes.
				n := uint64(len(history) + 1)
				row := Row{
					Key: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), Version: n,
					Deleted: rapid.Bool().Draw(t, "deleted"),
				}
				if !row.Deleted {
					row.Value = fmt.Appendf(nil, `{"Service":"pool","Address":"x:%d","StartedUnixMilli":%d}`, n, n)
				}
				history = append(history, row)
			case 2:
				b := batch{requestedAt: self.now, position: Position{Version: uint64(len(history))}}
				if b.fullTable = readVersions[r] == 0 || rapid.IntRange(0, 4).Draw(t, "full table") == 0; b.fullTable {
					b.rows = liveRows(history)
				} else {
					b.rows = slices.Clone(history[readVersions[r]:])
				}
				self.w.applyServers(b)
				self.w.serversState.confirm(b.requestedAt)
				readVersions[r] = uint64(len(history))
				knownVersions[r] = readVersions[r]
			case 3:
				changed, _, _ := other.w.ServersAge()
				applied, _, _ := self.w.ServersAge()
				if changed.Compare(applied) <= 0 {
					continue
				}
				rows, full := other.w.ServerRows(applied)
				self.w.ApplyPeerRows(rows, full, changed, self.now, true)
				knownVersions[r] = changed.Version
			}
			if self.w.ServerSet() == nil {
				continue
			}
			want := newHarness()
			want.w.applyServers(batch{
				rows: liveRows(history[:knownVersions[r]]), fullTable: true, requestedAt: want.now,
			})
			if self.describeServers() != want.describeServers() {
				t.Fatalf("the router has\n%sbut the store had at version %d\n%s",
					self.describeServers(), knownVersions[r], want.describeServers())
			}
		}
	})
}

// liveRows returns the rows that exist after a history of changes.
func liveRows(history []Row) []Row {
	last := map[string]Row{}
	for _, r := range history {
		last[r.Key] = r
	}
	var out []Row
	for _, k := range slices.Sorted(maps.Keys(last)) {
		if !last[k].Deleted {
			out = append(out, last[k])
		}
	}
	return out
}

// TestStaleRowsFromPeer checks that outdated entries from a peer or the store are ignored.
func TestStaleRowsFromPeer(t *testing.T) {
	c := qt.New(t)
	h := newHarness()
	row := func(version uint64, deleted bool) Row {
		return Row{
			Key: "a", Version: version, Deleted: deleted, Value: []byte(`{"Service":"pool","Address":"x:1"}`),
		}
	}
	h.w.applyServers(batch{rows: []Row{row(1, false)}, fullTable: true, requestedAt: h.now})
	h.w.applyServers(batch{rows: []Row{row(3, true)}, requestedAt: h.now})
	c.Assert(h.describeServers(), qt.Equals, "none\n")
	h.w.ApplyPeerRows([]Row{row(1, false)}, true, Position{Version: 2}, h.now, true)
	c.Assert(h.describeServers(), qt.Equals, "none\n")
	h.w.applyServers(batch{rows: []Row{row(1, false)}, requestedAt: h.now})
	c.Assert(h.describeServers(), qt.Equals, "none\n",
		qt.Commentf("an outdated row was read from the store"))
}

// TestUsable checks whether a server that was selected earlier may still receive requests.
func TestUsable(t *testing.T) {
	c := qt.New(t)
	h := newHarness()
	version := uint64(0)
	put := func(born int64, leaving, deleted bool) {
		version++
		v := fmt.Appendf(nil, `{"Service":"pool","Address":"x:1","StartedUnixMilli":%d,"Draining":%v}`, born, leaving)
		h.w.applyServers(batch{
			rows: []Row{{Key: "a", Version: version, Value: v, Deleted: deleted}}, requestedAt: h.now,
		})
	}
	put(1, false, false)
	selected := h.w.ServerSet().ByID["a"]
	c.Assert(h.w.Usable(selected), qt.IsTrue)
	put(1, true, false)
	c.Assert(h.w.Usable(selected), qt.IsFalse, qt.Commentf("the server is draining"))
	put(2, false, false)
	c.Assert(h.w.Usable(selected), qt.IsFalse, qt.Commentf("the server was restarted"))
	put(2, false, true)
	c.Assert(h.w.Usable(h.w.ServerSet().ByID["a"]), qt.IsFalse, qt.Commentf("the entry was deleted"))
}
