package admitter

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// testDriver drives an admitter by a script. Times are in milliseconds.
type testDriver struct {
	admitter Admitter
	now      time.Time
	ids      map[string]uint64
}

func newTestDriver() *testDriver {
	return &testDriver{admitter: Admitter{UsageTimeConstant: 2 * time.Second}, now: time.Unix(1000, 0), ids: map[string]uint64{}}
}

func (b *testDriver) id(name string) uint64 {
	if b.ids[name] == 0 {
		b.ids[name] = uint64(len(b.ids) + 1)
	}
	return b.ids[name]
}

func (b *testDriver) name(id uint64) string {
	for n, i := range b.ids {
		if i == id {
			return n
		}
	}
	return "?"
}

// formatDecisions prints what was decided.
func (b *testDriver) formatDecisions() string {
	var out strings.Builder
	for _, d := range b.admitter.TakeDecisions() {
		if d.Granted {
			fmt.Fprintf(&out, "%s granted\n", b.name(d.Request.ID))
			continue
		}
		fmt.Fprintf(&out, "%s refused %s, back in %d ms\n", b.name(d.Request.ID), d.Reason, d.RetryAfter.Milliseconds())
	}
	return out.String()
}

func (b *testDriver) submit(t *testing.T, d *datadriven.TestData) {
	prompt, answer, objective, slots := 1000, 100, 800, 10
	workspace, part, router := "w", "", "r"
	d.MaybeScanArgs(t, "prompt", &prompt)
	d.MaybeScanArgs(t, "answer", &answer)
	d.MaybeScanArgs(t, "objective", &objective)
	d.MaybeScanArgs(t, "slots", &slots)
	d.MaybeScanArgs(t, "workspace", &workspace)
	d.MaybeScanArgs(t, "part", &part)
	d.MaybeScanArgs(t, "router", &router)
	name := d.CmdArgs[0].Key
	names, tokens := []string{name}, []int{prompt}
	if part != "" {
		prefix, size, _ := strings.Cut(part, ":")
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		names, tokens = []string{prefix, name}, []int{n, prompt - n}
	}
	b.admitter.Submit(b.now, &Request{
		Router: router, ID: b.id(name), Workspace: workspace, Engine: Engine{ID: "e", Slots: slots, MemoryTokens: 100_000},
		Prompt: prompt, Answer: answer, Parts: HashParts("m", names, tokens), Arrived: b.now,
		FirstBy: b.now.Add(time.Duration(objective) * time.Millisecond), Deadline: b.now.Add(15 * time.Second),
		Resumed: d.HasArg("resumed"), Spare: d.HasArg("spare"),
	})
}

func (b *testDriver) run(t *testing.T, d *datadriven.TestData) string {
	router := "r"
	d.MaybeScanArgs(t, "router", &router)
	settle := func(o Outcome) {
		for _, arg := range d.CmdArgs {
			if arg.Key != "router" && arg.Key != "ms" {
				o.Router, o.ID, o.Server = router, b.id(arg.Key), "e"
				b.admitter.RecordOutcome(b.now, o)
			}
		}
	}
	switch d.Cmd {
	case "ask":
		b.submit(t, d)
	case "first":
		settle(Outcome{First: true})
	case "done":
		settle(Outcome{Done: true, Whole: true})
	case "failed":
		settle(Outcome{Done: true, Failed: true})
	case "cancel":
		b.admitter.Cancel(b.now, "e", router, b.id(d.CmdArgs[0].Key))
	case "forget":
		b.admitter.RemoveRouter(b.now, router)
	case "heard":
		var tokens int
		var workspace string
		d.ScanArgs(t, "workspace", &workspace)
		d.ScanArgs(t, "tokens", &tokens)
		b.admitter.MergePeerGrants(b.now, "peer", map[string]uint{workspace: uint(tokens)}, b.admitter.PeerGrantSequence("peer")+1)
	case "advance":
		var ms int
		d.ScanArgs(t, "ms", &ms)
		for range ms / 20 {
			b.now = b.now.Add(20 * time.Millisecond)
			b.admitter.Tick(b.now)
		}
	case "state":
		for _, s := range b.admitter.Dump(b.now) {
			return fmt.Sprintf("running %d of %d, waiting %d, wait %d ms, failures %d\n", s.Running, s.ConcurrencyLimit, s.Waiting, int(s.WaitMS), s.Failures)
		}
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return b.formatDecisions()
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		b := newTestDriver()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return b.run(t, d) })
	})
}

// TestRequestsAreDecidedOnce asks, settles, cancels and forgets at random: each
// ask is decided at most once, none waits longer than its objective, and no
// engine holds more than its places.
func TestRequestsAreDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Admitter{UsageTimeConstant: 2 * time.Second}
		now := time.Unix(1000, 0)
		submittedAt, decided, canceled := map[uint64]time.Time{}, map[uint64]Decision{}, map[uint64]bool{}
		var running []uint64
		e := Engine{ID: "e", Slots: 8, MemoryTokens: 50_000}
		lastID := uint64(0)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				lastID++
				submittedAt[lastID] = now
				prompt := rapid.IntRange(1, 20_000).Draw(t, "prompt")
				a.Submit(now, &Request{
					Router: "r", ID: lastID, Workspace: rapid.SampledFrom([]string{"v", "w"}).Draw(t, "workspace"), Engine: e, Prompt: prompt,
					Parts: HashParts("m", []string{fmt.Sprint(lastID)}, []int{prompt}), Answer: 10,
					Arrived: now, FirstBy: now.Add(400 * time.Millisecond), Deadline: now.Add(3 * time.Second),
				})
			case 2:
				if len(running) > 0 {
					a.RecordOutcome(now, Outcome{Router: "r", ID: running[0], Server: "e", First: true})
				}
			case 3:
				if len(running) > 0 {
					a.RecordOutcome(now, Outcome{Router: "r", ID: running[0], Server: "e", Done: true, Failed: rapid.Bool().Draw(t, "failed")})
					running = running[1:]
				}
			case 4:
				if lastID > 0 {
					id := uint64(rapid.IntRange(1, int(lastID)).Draw(t, "id"))
					if _, ok := decided[id]; !ok {
						canceled[id] = true
						a.Cancel(now, "e", "r", id)
					}
				}
			}
			a.Tick(now)
			for _, d := range a.TakeDecisions() {
				if _, repeated := decided[d.Request.ID]; repeated || canceled[d.Request.ID] {
					t.Fatalf("ask %d is decided again", d.Request.ID)
				}
				decided[d.Request.ID] = d
				if d.Granted {
					running = append(running, d.Request.ID)
				}
			}
			for _, s := range a.Dump(now) {
				if s.Running > s.ConcurrencyLimit {
					t.Fatalf("%d run on %d places", s.Running, s.ConcurrencyLimit)
				}
			}
			for id, at := range submittedAt {
				if _, ok := decided[id]; !ok && !canceled[id] && now.Sub(at) > 400*time.Millisecond {
					t.Fatalf("ask %d waits for %v", id, now.Sub(at))
				}
			}
		}
	})
}
