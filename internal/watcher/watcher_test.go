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

// bench drives a watcher without a store.
type bench struct {
	w   *Watcher
	now time.Duration
	log []string
	// heardAt is when the store last answered.
	heardAt time.Duration
}

func newBench() *bench {
	b := &bench{now: time.Hour, heardAt: time.Hour}
	b.w = &Watcher{
		ConfigKey: "config", Now: func() time.Duration { return b.now },
		Log: func(event string, _ ...any) { b.log = append(b.log, event) },
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
	return b
}

// rows reads lines such as "s1 address=x born=1 leaving", "s1 deleted" and
// "s1 garbage".
func rows(t *testing.T, input string) []Row {
	var out []Row
	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		r := Row{Key: f[0]}
		s := cataloger.Server{Service: "pool"}
		for _, w := range f[1:] {
			k, v, _ := strings.Cut(w, "=")
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
				t.Fatalf("unknown word %q", w)
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

func (b *bench) batch(t *testing.T, d *datadriven.TestData) batch {
	out := batch{rows: rows(t, d.Input), whole: d.HasArg("whole"), askedAt: b.now, away: max(0, b.now-b.heardAt)}
	b.heardAt = b.now
	return out
}

func (b *bench) servers() string {
	var s strings.Builder
	f := b.w.Fleet()
	for _, id := range slices.Sorted(maps.Keys(f.ByID)) {
		v := f.ByID[id]
		use := "usable"
		if !slices.Contains(f.ByService[v.Service], v) {
			use = "not usable"
		}
		fmt.Fprintf(&s, "%s at %s %s\n", id, v.Address, use)
	}
	if s.Len() == 0 {
		return "none\n"
	}
	return s.String()
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		b := newBench()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "servers":
				bt := b.batch(t, d)
				b.w.onServers(bt)
				b.w.servers.prove(bt.askedAt)
				return b.servers()
			case "config":
				bt := b.batch(t, d)
				b.w.onConfig(bt)
				b.w.config.prove(bt.askedAt)
				return b.belief()
			case "peer-proof":
				var version uint64
				var ago int
				d.ScanArgs(t, "version", &version)
				d.ScanArgs(t, "ago-ms", &ago)
				b.w.Prove(version, b.now-time.Duration(ago)*time.Millisecond)
				return b.belief()
			case "peer-contact":
				var ms int
				d.ScanArgs(t, "ms", &ms)
				b.w.PeerContact("peer", time.Duration(ms)*time.Millisecond)
				return b.servers()
			case "answers-elsewhere":
				b.w.Gone(d.CmdArgs[0].Key, "test")
				return b.servers()
			case "advance":
				var ms int
				d.ScanArgs(t, "ms", &ms)
				b.now += time.Duration(ms) * time.Millisecond
				if d.HasArg("in-contact") {
					b.heardAt = b.now
				}
				return ""
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

func (b *bench) belief() string {
	age, ok := b.w.Age()
	if !ok {
		return "nothing proven\n"
	}
	return fmt.Sprintf("version %d proven %d ms ago\n", b.w.Catalog().Version, age.Milliseconds())
}

// TestVersionsNeverFall delivers configurations in any order.
func TestVersionsNeverFall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench()
		highest := uint64(0)
		for _, v := range rapid.SliceOf(rapid.Uint64Range(1, 9)).Draw(t, "versions") {
			c, err := b.w.Install([]byte(strconv.FormatUint(v, 10)), "test")
			if err != nil {
				t.Fatal(err)
			}
			highest = max(highest, v)
			if c.Version != highest || b.w.Catalog().Version != highest {
				t.Fatalf("version %d in force, %d was installed", b.w.Catalog().Version, highest)
			}
		}
	})
}

// TestPeersPassEntriesOn lets two routers follow the store and take entries from
// each other, at any moments: each believes what the store held at the last
// version that it knows of, also of rows that were deleted between two whole reads.
func TestPeersPassEntriesOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := []*bench{newBench(), newBench()}
		read, known := []uint64{0, 0}, []uint64{0, 0}
		var history []Row
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			r := rapid.IntRange(0, 1).Draw(t, "router")
			me, other := routers[r], routers[1-r]
			for _, b := range routers {
				// All within awayAfter, or entries would be kept as lapsed.
				b.now += 30 * time.Millisecond
			}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				// The store changes.
				n := uint64(len(history) + 1)
				row := Row{Key: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), Version: n, Deleted: rapid.Bool().Draw(t, "deleted")}
				if !row.Deleted {
					row.Value = fmt.Appendf(nil, `{"Service":"pool","Address":"x:%d","Born":%d}`, n, n)
				}
				history = append(history, row)
			case 2:
				b := batch{askedAt: me.now, version: uint64(len(history))}
				if b.whole = read[r] == 0 || rapid.IntRange(0, 4).Draw(t, "whole") == 0; b.whole {
					b.rows = table(history)
				} else {
					b.rows = slices.Clone(history[read[r]:])
				}
				me.w.onServers(b)
				me.w.servers.prove(b.askedAt)
				read[r] = uint64(len(history))
				known[r] = read[r]
			case 3:
				changed, _, _ := other.w.ServersAge()
				mine, _, _ := me.w.ServersAge()
				if changed <= mine {
					continue
				}
				rows, whole := other.w.ServerRows(mine)
				me.w.TakeServerRows(rows, whole, changed, me.now, true)
				known[r] = changed
			}
			if me.w.Fleet() == nil {
				continue
			}
			want := newBench()
			want.w.onServers(batch{rows: table(history[:known[r]]), whole: true, askedAt: want.now})
			if me.servers() != want.servers() {
				t.Fatalf("it has\n%sand the store had at version %d\n%s", me.servers(), known[r], want.servers())
			}
		}
	})
}

// table returns the rows that a history leaves.
func table(history []Row) []Row {
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

// TestLateRowsOfAPeer checks that entries which a peer gave too late change
// nothing.
func TestLateRowsOfAPeer(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	row := func(version uint64, deleted bool) Row {
		return Row{Key: "a", Version: version, Deleted: deleted, Value: []byte(`{"Service":"pool","Address":"x:1"}`)}
	}
	b.w.onServers(batch{rows: []Row{row(1, false)}, whole: true, askedAt: b.now})
	b.w.onServers(batch{rows: []Row{row(3, true)}, askedAt: b.now})
	c.Assert(b.servers(), qt.Equals, "none\n")
	b.w.TakeServerRows([]Row{row(1, false)}, true, 2, b.now, true)
	c.Assert(b.servers(), qt.Equals, "none\n")
	b.w.onServers(batch{rows: []Row{row(1, false)}, askedAt: b.now})
	c.Assert(b.servers(), qt.Equals, "none\n", qt.Commentf("the store's feed repeats what a peer told before"))
}

// TestUsable checks what may still get work that was chosen a while ago.
func TestUsable(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	version := uint64(0)
	put := func(born int64, leaving, deleted bool) {
		version++
		v := fmt.Appendf(nil, `{"Service":"pool","Address":"x:1","Born":%d,"Leaving":%v}`, born, leaving)
		b.w.onServers(batch{rows: []Row{{Key: "a", Version: version, Value: v, Deleted: deleted}}, askedAt: b.now})
	}
	put(1, false, false)
	chosen := b.w.Fleet().ByID["a"]
	c.Assert(b.w.Usable(chosen), qt.IsTrue)
	put(1, true, false)
	c.Assert(b.w.Usable(chosen), qt.IsFalse, qt.Commentf("it leaves"))
	put(2, false, false)
	c.Assert(b.w.Usable(chosen), qt.IsFalse, qt.Commentf("it was born again"))
	put(2, false, true)
	c.Assert(b.w.Usable(b.w.Fleet().ByID["a"]), qt.IsFalse, qt.Commentf("it is gone"))
}
