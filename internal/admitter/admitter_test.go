package admitter

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"papayapaddle/internal/pacer"
)

// testDriver runs the commands of a test script on an Admitter. Times in scripts are in
// milliseconds.
type testDriver struct {
	admitter Admitter
	now      time.Time
	ids      map[string]uint64
	// limit is the rate that the server names, negative if none.
	limit float64
	cold  ColdLimit
}

func newTestDriver() *testDriver {
	td := &testDriver{now: time.Unix(1000, 0), ids: map[string]uint64{}, limit: -1}
	td.admitter = Admitter{
		UsageTimeConstant: 2 * time.Second,
		Limit:             func(string) (float64, bool) { return td.limit, td.limit >= 0 },
		Cold:              func(string) ColdLimit { return td.cold },
	}
	return td
}

func (td *testDriver) id(name string) uint64 {
	if td.ids[name] == 0 {
		td.ids[name] = uint64(len(td.ids) + 1)
	}
	return td.ids[name]
}

func (td *testDriver) name(id uint64) string {
	for n, i := range td.ids {
		if i == id {
			return n
		}
	}
	return "?"
}

// formatDecisions returns the decisions since the previous call, one per line.
func (td *testDriver) formatDecisions() string {
	var out strings.Builder
	for _, d := range td.admitter.TakeDecisions() {
		if d.Granted {
			fmt.Fprintf(&out, "%s granted", td.name(d.Request.ID))
			if d.Cold {
				fmt.Fprintf(&out, ", cold, at %d ms", d.At.Sub(time.Unix(1000, 0)).Milliseconds())
			}
			fmt.Fprintln(&out)
			continue
		}
		fmt.Fprintf(&out, "%s refused %s, retry after %d ms\n",
			td.name(d.Request.ID), d.Reason, d.RetryAfter.Milliseconds())
	}
	return out.String()
}

// requestNames returns the requests that a command names. With count=N, "a" stands for a1 to aN.
func requestNames(t *testing.T, d *datadriven.TestData) []string {
	var names []string
	count := 0
	d.MaybeScanArgs(t, "count", &count)
	for _, arg := range d.CmdArgs {
		if len(arg.Vals) > 0 || arg.Key == "resumed" || arg.Key == "spare" || arg.Key == "standby" {
			continue
		}
		if count == 0 {
			names = append(names, arg.Key)
		}
		for i := range count {
			names = append(names, arg.Key+strconv.Itoa(i+1))
		}
	}
	return names
}

func (td *testDriver) submit(t *testing.T, d *datadriven.TestData, name string) {
	prompt, answer, objective, slots := 1000, 100, 800, 10
	workspace, part, router := "w", "", "r"
	d.MaybeScanArgs(t, "prompt", &prompt)
	d.MaybeScanArgs(t, "answer", &answer)
	d.MaybeScanArgs(t, "objective", &objective)
	d.MaybeScanArgs(t, "slots", &slots)
	d.MaybeScanArgs(t, "workspace", &workspace)
	d.MaybeScanArgs(t, "part", &part)
	d.MaybeScanArgs(t, "router", &router)
	names, tokens := []string{name}, []int{prompt}
	if part != "" {
		prefix, size, _ := strings.Cut(part, ":")
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		names, tokens = []string{prefix, name}, []int{n, prompt - n}
	}
	td.admitter.Submit(td.now, &Request{
		Router: router, ID: td.id(name), Workspace: workspace,
		Engine: Engine{ID: "e", Slots: slots, MemoryTokens: 100_000},
		Prompt: prompt, Answer: answer, Parts: HashParts("m", names, tokens), Arrived: td.now,
		FirstBy:  td.now.Add(time.Duration(objective) * time.Millisecond),
		Deadline: td.now.Add(15 * time.Second),
		Resumed:  d.HasArg("resumed"), Spare: d.HasArg("spare"), Standby: d.HasArg("standby"),
	})
}

// run executes one command and returns the decisions that it caused. The command "ask" submits
// a request, "first", "silent", "done", "failed" and "unsent" record outcomes, "forget" removes a router, "heard"
// merges the grants of a peer, "limit" sets the limit that the server names, "cold", "warming" and "warm" set its phase, and "state" returns the state of the server instead.
func (td *testDriver) run(t *testing.T, d *datadriven.TestData) string {
	router := "r"
	d.MaybeScanArgs(t, "router", &router)
	record := func(o Outcome) {
		for _, name := range requestNames(t, d) {
			o.Router, o.ID, o.Server = router, td.id(name), "e"
			td.admitter.RecordOutcome(td.now, o)
		}
	}
	switch d.Cmd {
	case "ask":
		for _, name := range requestNames(t, d) {
			td.submit(t, d, name)
		}
	case "first":
		record(Outcome{First: true})
	case "done":
		record(Outcome{Done: true, Whole: true})
	case "silent":
		record(Outcome{Failed: true})
	case "failed":
		record(Outcome{Done: true, Failed: true})
	case "unsent":
		record(Outcome{Done: true})
	case "limit":
		td.limit = -1
		d.MaybeScanArgs(t, "per-second", &td.limit)
	case "cold", "warming", "warm":
		td.cold = ColdLimit{Phase: map[string]pacer.Phase{"cold": pacer.Cold, "warming": pacer.Warming, "warm": pacer.Warm}[d.Cmd]}
		d.MaybeScanArgs(t, "per-second", &td.cold.PerSecond)
	case "cancel":
		td.admitter.Cancel(td.now, "e", router, td.id(d.CmdArgs[0].Key))
	case "forget":
		td.admitter.RemoveRouter(td.now, router)
	case "heard":
		var tokens int
		var workspace string
		d.ScanArgs(t, "workspace", &workspace)
		d.ScanArgs(t, "tokens", &tokens)
		td.admitter.MergePeerGrants(td.now, "peer", map[string]uint{workspace: uint(tokens)},
			td.admitter.PeerGrantSequence("peer")+1)
	case "advance":
		var ms int
		d.ScanArgs(t, "ms", &ms)
		for range ms / 20 {
			td.now = td.now.Add(20 * time.Millisecond)
			td.admitter.Tick(td.now)
		}
	case "state":
		for _, s := range td.admitter.Dump(td.now) {
			return fmt.Sprintf("running %d of %d, waiting %d, wait %d ms, failures %d\n",
				s.Running, s.ConcurrencyLimit, s.Waiting, int(s.WaitMS), s.Failures)
		}
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return td.formatDecisions()
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, filepath.Join("testdata", "scripts"), func(t *testing.T, path string) {
		td := newTestDriver()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return td.run(t, d) })
	})
}

// TestRequestsAreDecidedOnce submits, completes and cancels requests at random. Each request
// must be decided at most once and must not wait longer than its objective, and no engine may
// run more requests than its concurrency limit.
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
					Router: "r", ID: lastID,
					Workspace: rapid.SampledFrom([]string{"v", "w"}).Draw(t, "workspace"), Engine: e, Prompt: prompt,
					Parts: HashParts("m", []string{fmt.Sprint(lastID)}, []int{prompt}), Answer: 10,
					Arrived: now, FirstBy: now.Add(400 * time.Millisecond), Deadline: now.Add(3 * time.Second),
				})
			case 2:
				if len(running) > 0 {
					a.RecordOutcome(now, Outcome{Router: "r", ID: running[0], Server: "e", First: true})
				}
			case 3:
				if len(running) > 0 {
					a.RecordOutcome(now, Outcome{
						Router: "r", ID: running[0], Server: "e", Done: true, Failed: rapid.Bool().Draw(t, "failed"),
					})
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
					t.Fatalf("request %d was decided twice or after it was canceled", d.Request.ID)
				}
				decided[d.Request.ID] = d
				if d.Granted {
					running = append(running, d.Request.ID)
				}
			}
			for _, s := range a.Dump(now) {
				if s.Running > s.ConcurrencyLimit {
					t.Fatalf("%d requests are running, limit is %d", s.Running, s.ConcurrencyLimit)
				}
			}
			for id, at := range submittedAt {
				if _, ok := decided[id]; !ok && !canceled[id] && now.Sub(at) > 400*time.Millisecond {
					t.Fatalf("request %d has been waiting for %v", id, now.Sub(at))
				}
			}
		}
	})
}
