package relayer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/hedger"
	"papayapaddle/internal/quarantiner"
	"papayapaddle/internal/sender"
)

// newHedger returns a hedger that has seen a hundred requests of each route, with answers after the usual time.
func (tr *testRelayer) newHedger(usual int, percent float64) *hedger.Hedger {
	h, now := &hedger.Hedger{Percent: percent}, time.Now()
	for range 100 {
		h.RecordStart(now, "s", 1, 0)
		for _, r := range tr.catalog.Routes {
			h.RecordTime(now, hedger.Key{Service: "s", Route: r.Name}, time.Duration(usual)*time.Millisecond, false)
		}
	}
	return h
}

// runHedgeCommand runs a command about hedges:
//
//	hedging [usual=MS] [percent=N] [never=ID] [short] [suspect] [spare=false] [taken]
//	        starts hedges of answers that take longer than usual, forgets earlier ones and logs what is decided:
//	        "seeks" is a call of AssignServer for a hedge, "inconclusive" is AttemptResult.Inconclusive.
//	        Short of room, a suspect and a retry budget without a spare part prevent hedges. Another request takes the
//	        last retry of the budget if it is taken.
//	hedges  prints the counts of hedges since then, and why none may start now
func (tr *testRelayer) runHedgeCommand(d *datadriven.TestData, t *testing.T) string {
	if d.Cmd == "hedges" {
		h := tr.relayer.Hedging.Hedger
		c := h.Reports(time.Now())[0].Counts
		return fmt.Sprintf("started %d won %d lost %d refused%s work %v of %v, %d retries left %s\n", c.Started, c.Won, c.Lost,
			strings.TrimPrefix(fmt.Sprint(c.Refused), "map"), c.HedgeWork, c.Work, tr.retriesLeft, h.Check(time.Now(), "s", 1))
	}
	usual, percent, never, spare := 100, 10.0, "", true
	d.MaybeScanArgs(t, "usual", &usual)
	d.MaybeScanArgs(t, "never", &never)
	d.MaybeScanArgs(t, "spare", &spare)
	if d.HasArg("percent") {
		d.ScanArgs(t, "percent", &percent)
	}
	h, suspect := tr.newHedger(usual, percent), d.HasArg("suspect")
	if d.HasArg("short") {
		h.RecordShortage(time.Now(), "s", time.Minute)
	}
	tr.relayer.Hedging = &Hedging{
		Hedger: h, MayUse: func(s *cataloger.Server) bool { return s.ID != never }, MayRetry: func(string) bool { return spare },
	}
	tr.relayer.Quarantine.IsSuspect = func(*cataloger.Server, quarantiner.Request) bool { return suspect }
	if d.HasArg("taken") {
		tr.relayer.AllowRetry = func(string) bool { return false }
	}
	tr.relayer.Log = func(event string, keyvals ...any) {
		if strings.HasPrefix(event, "hedge-") {
			keyvals = append(keyvals, "reason", "")
			tr.backend.logf("%s %v", event, keyvals[slices.Index(keyvals, any("reason"))+1])
		}
	}
	tr.relayer.AssignServer = func(ctx context.Context, call *Call) (*Assignment, *Refusal) {
		if call.Hedge {
			tr.backend.logf("seeks standby=%v", call.Standby)
		}
		a, refusal := tr.assignServer(ctx, call)
		if a != nil {
			release := a.Release
			a.Release = func(result AttemptResult) {
				release(result)
				if result.Inconclusive {
					tr.backend.logf("%s inconclusive", a.Server.ID)
				}
			}
		}
		return a, refusal
	}
	return ""
}

// logLines returns the servers' log, in short form on one line for requests that may be hedged.
func (tr *testRelayer) logLines() []string {
	if tr.relayer.Hedging == nil || len(tr.backend.log) == 0 {
		return tr.backend.log
	}
	short := strings.NewReplacer(` workspace="w"`, "", " failed=false", "", " full=false", "")
	return []string{short.Replace(strings.Join(tr.backend.log, "; "))}
}

// addScripts adds the scripts of a call's arguments s1 and s2 in short form: (800,one) answers "one" after 800 ms,
// (50,1:one,300,2:one) streams two events, and (300,close) and (hang) do what these commands do.
func (tr *testRelayer) addScripts(d *datadriven.TestData) {
	for _, a := range d.CmdArgs {
		if a.Key != "s1" && a.Key != "s2" {
			continue
		}
		var lines []string
		streams := false
		for _, v := range a.Vals {
			_, err := strconv.Atoi(v)
			id, text, isEvent := strings.Cut(v, ":")
			switch {
			case err == nil:
				lines = append(lines, "@wait "+v)
			case isEvent:
				if !streams {
					lines = append(lines, strings.TrimSuffix(streamHead, "\n"))
				}
				streams = true
				event := fmt.Sprintf(`id: %s\n%s\n\n`, id, text)
				lines = append(lines, fmt.Sprintf(`%x\r\n%s\r\n`, len(strings.ReplaceAll(event, `\n`, "n")), event))
			case v == "close" || v == "hang":
				lines = append(lines, "@"+v)
			default:
				lines = append(lines, fmt.Sprintf(`HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n%s`, len(v), v))
			}
		}
		if streams {
			lines = append(lines, `0\r\n\r\n`)
		}
		tr.backend.scripts[a.Key] = append(tr.backend.scripts[a.Key], strings.Join(lines, "\n"))
	}
}

// hedgedCase is a request with the scripts of the servers s1, s2 and so on. Answers after 100 ms are late.
type hedgedCase struct {
	path        string
	maxAttempts int
	scripts     []string
	// slow is true for a caller that takes half a second for each write.
	slow bool
	// leave is the time after which the caller leaves, unless it is 0.
	leave  time.Duration
	change func(*testRelayer)
}

// hedgedOutcome describes the end of a request. servers are those that got it, in this order.
type hedgedOutcome struct {
	*httptest.ResponseRecorder
	cut, left bool
	took      time.Duration
	servers   []string
	log       string
}

type sluggishCaller struct{ *httptest.ResponseRecorder }

func (w sluggishCaller) Write(p []byte) (int, error) {
	time.Sleep(500 * time.Millisecond)
	return w.ResponseRecorder.Write(p)
}

func (hc hedgedCase) run(t *testing.T) (out hedgedOutcome) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTestRelayer(t)
		catalog := *tr.catalog
		catalog.Routes = nil
		for _, r := range tr.catalog.Routes {
			route := *r
			route.MaxAttempts, route.Timeout = hc.maxAttempts, time.Second
			catalog.Routes = append(catalog.Routes, &route)
		}
		tr.catalog = newCatalog(t, catalog)
		for i, script := range hc.scripts {
			tr.servers = append(tr.servers, fmt.Sprint("s", i+1))
			tr.backend.scripts[tr.servers[i]] = []string{script}
		}
		tr.relayer.Hedging = &Hedging{Hedger: tr.newHedger(100, 10)}
		hc.change(tr)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if hc.leave > 0 {
			time.AfterFunc(hc.leave, cancel)
		}
		req := httptest.NewRequest("POST", "http://h"+hc.path, strings.NewReader("x")).WithContext(ctx)
		req.Header.Set("Id", "q")
		req.Header.Set("Key", "k")
		out.ResponseRecorder = httptest.NewRecorder()
		w, start := http.ResponseWriter(out.ResponseRecorder), time.Now()
		if hc.slow {
			w = sluggishCaller{out.ResponseRecorder}
		}
		out.cut = serveHTTP(tr.relayer, w, req)
		out.took, out.left = time.Since(start), ctx.Err() != nil
		synctest.Wait()
		out.log = strings.Join(tr.backend.log, "\n")
		for _, line := range tr.backend.log {
			if server, _, ok := strings.Cut(line, " got "); ok {
				out.servers = append(out.servers, server)
			}
		}
		if tr.relayer.BodyBudget.UsedBytes() != 0 || tr.relayer.Active() != 0 {
			out.log += "\nmemory or activity left"
		}
		close(tr.backend.stop)
		tr.sender.RetainServers(nil)
		synctest.Wait()
	})
	return out
}

// Guards against a plain request with a hedge that runs too often, gets an answer that is not whole, is mixed or is not the
// server's own, outlasts its deadline, is refused although it may have run, or leaves a slot or memory behind.
func TestHedgedRequestsGetOneAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		refuses := true
		hc := hedgedCase{path: rapid.SampledFrom([]string{"/read/x", "/read/x", "/read/x", "/book/x"}).Draw(rt, "path"), maxAttempts: 2}
		for _, id := range []string{"s1", "s2", "s3"} {
			b := rapid.SampledFrom(serverBehaviors).Draw(rt, id)
			wait := rapid.SampledFrom([]int{0, 50, 150, 300, 950}).Draw(rt, id+" wait")
			script := strings.ReplaceAll(b.script, "good", "go"+id)
			if b.script != "@refuse" {
				script = fmt.Sprintf("@wait %d\n%s", wait, script)
			}
			hc.scripts, refuses = append(hc.scripts, script), refuses && !b.mayRun
		}
		retries := rapid.SampledFrom([]int{0, 1, 100}).Draw(rt, "retries")
		slotWait := rapid.SampledFrom([]int{0, 0, 100}).Draw(rt, "slot wait")
		hc.leave = time.Duration(rapid.SampledFrom([]int{0, 0, 120, 300}).Draw(rt, "leave")) * time.Millisecond
		hc.change = func(tr *testRelayer) { tr.retriesLeft, tr.slotWait = retries, time.Duration(slotWait)*time.Millisecond }
		out := hc.run(t)
		body, sent := out.Body.String(), len(out.servers)
		if out.took > time.Second {
			rt.Errorf("took %v", out.took)
		}
		limit := map[string]int{"/read/x": 2, "/book/x": 1}[hc.path]
		if sent > limit && !strings.Contains(out.log, "full=true") && !strings.Contains(out.log, "moved") {
			rt.Errorf("sent %d times", sent)
		}
		whole := len(body) == 4 && strings.HasPrefix(body, "gos") && out.Header().Get("Signed") != ""
		if out.Code < 300 && !out.cut && !out.left && !whole {
			rt.Errorf("got %q", body)
		}
		if isNotRunStatus(out.Code) && !refuses && strings.Contains(out.log, "failed=true") {
			rt.Errorf("refused with status %d but may have run", out.Code)
		}
		if ended := strings.Count(out.log, " ended "); sent > ended {
			rt.Errorf("%d sent and %d ended", sent, ended)
		}
		if strings.Contains(out.log, "memory or activity left") {
			rt.Errorf("memory or activity left")
		}
	})
}

// Guards against a server that works on for a loser while the answer is written to a slow caller, and a caller that waits for
// the end of the loser, as net/http holds back a short answer until the handler returns.
func TestLoserIsCanceledAtOnce(t *testing.T) {
	for path, answer := range map[string]string{"/read/1": signedResponse, "/chat/1": streamHead + event1 + `0\r\n\r\n`} {
		var canceled []time.Duration
		out := hedgedCase{path: path, maxAttempts: 2, scripts: []string{"@hang", answer}, slow: true, change: func(tr *testRelayer) {
			start := time.Now()
			tr.relayer.Send = func(ctx context.Context, r *sender.Request) (*sender.Response, error) {
				resp, err := tr.sender.Send(ctx, r)
				if err != nil {
					canceled = append(canceled, time.Since(start))
				}
				return resp, err
			}
		}}.run(t)
		qt.Check(t, out.Flushed, qt.IsTrue, qt.Commentf("%s", path))
		qt.Assert(t, canceled, qt.HasLen, 1)
		qt.Check(t, canceled[0] < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", canceled))
	}
}

// Guards against a part that is missing from a long error response, as its remainder is read before it is forwarded.
func TestLongServerErrorIsForwardedWhole(t *testing.T) {
	body := strings.Repeat("x", maxBufferedBytes+20_000)
	script := fmt.Sprintf(`HTTP/1.1 500 Bad\r\nId: ID\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n%s`, len(body), body)
	out := hedgedCase{path: "/read/1", maxAttempts: 2, scripts: []string{script}, change: func(tr *testRelayer) { tr.retriesLeft = 0 }}.run(t)
	qt.Check(t, out.Body.Len(), qt.Equals, len(body))
}

// Guards against a third server that ends under a request, since the hedge failed for another reason than the first
// attempt, which shows that the request may end servers.
func TestSuspectIsNotRetriedAfterHedge(t *testing.T) {
	for _, path := range []string{"/read/1", "/chat/1"} {
		for _, hedgeEnd := range []string{"@close", `HTTP/1.1 500 Bad\r\nId: ID\r\nSigned: 1\r\nContent-Length: 0\r\n\r\n`} {
			scripts := []string{"@wait 200\n@close", "@wait 300\n" + hedgeEnd, signedResponse}
			out := hedgedCase{path: path, maxAttempts: 3, scripts: scripts, change: func(tr *testRelayer) {
				start := time.Now()
				tr.relayer.Quarantine.IsSuspect = func(s *cataloger.Server, _ quarantiner.Request) bool {
					return s.ID == "s1" && time.Since(start) > 150*time.Millisecond
				}
			}}.run(t)
			qt.Check(t, out.servers, qt.DeepEquals, []string{"s1", "s2"}, qt.Commentf("%s %s", path, hedgeEnd))
		}
	}
}
