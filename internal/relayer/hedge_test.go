package relayer

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
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
//	hedging [usual=MS] [percent=N] [never=ID] [short] [suspect] [spare=false]
//	        starts hedges of answers that take longer than usual, forgets earlier ones and logs what is decided:
//	        "seeks" is a call of AssignServer for a hedge, "inconclusive" is AttemptResult.Inconclusive.
//	        Short of room, a suspect and a retry budget without a spare part prevent hedges.
//	hedges  prints the counts of hedges since then
func (tr *testRelayer) runHedgeCommand(d *datadriven.TestData, t *testing.T) string {
	if d.Cmd == "hedges" {
		c := tr.relayer.Hedging.Hedger.Reports(time.Now())[0].Counts
		return fmt.Sprintf("started %d won %d lost %d refused%s work %v of %v, %d retries left\n", c.Started, c.Won, c.Lost,
			strings.TrimPrefix(fmt.Sprint(c.Refused), "map"), c.HedgeWork, c.Work, tr.retriesLeft)
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

// Guards against a plain request with a hedge that runs too often, gets an answer that is not whole, is mixed or is not the server's own,
// outlasts its deadline, is refused although it may have run, or leaves a slot or memory behind.
func TestHedgedRequestsGetOneAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scripts, refuses := map[string]string{}, true
		for _, id := range []string{"s1", "s2", "s3"} {
			b := rapid.SampledFrom(serverBehaviors).Draw(rt, id)
			wait := rapid.SampledFrom([]int{0, 50, 150, 300, 950}).Draw(rt, id+" wait")
			scripts[id] = strings.ReplaceAll(b.script, "good", "go"+id)
			if b.script != "@refuse" {
				scripts[id] = fmt.Sprintf("@wait %d\n%s", wait, scripts[id])
			}
			refuses = refuses && !b.mayRun
		}
		path := rapid.SampledFrom([]string{"/read/x", "/read/x", "/read/x", "/book/x"}).Draw(rt, "path")
		retries := rapid.SampledFrom([]int{0, 1, 100}).Draw(rt, "retries")
		slotWait := rapid.SampledFrom([]int{0, 0, 100}).Draw(rt, "slot wait")
		leave := rapid.SampledFrom([]int{9999, 9999, 120, 300}).Draw(rt, "leave")
		problems := ""
		fail := func(format string, args ...any) { problems += fmt.Sprintf(format+"; ", args...) }
		synctest.Test(t, func(t *testing.T) {
			tr := newTestRelayer(t)
			defer func() {
				close(tr.backend.stop)
				tr.sender.RetainServers(nil)
				synctest.Wait()
			}()
			catalog := *tr.catalog
			catalog.Routes = nil
			for _, r := range tr.catalog.Routes {
				route := *r
				route.MaxAttempts, route.Timeout = 2, time.Second
				catalog.Routes = append(catalog.Routes, &route)
			}
			tr.catalog = newCatalog(t, catalog)
			for id, script := range scripts {
				tr.backend.scripts[id] = []string{script}
			}
			tr.servers, tr.retriesLeft, tr.slotWait = []string{"s1", "s2", "s3"}, retries, time.Duration(slotWait)*time.Millisecond
			tr.relayer.Hedging = &Hedging{Hedger: tr.newHedger(100, 10)}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			time.AfterFunc(time.Duration(leave)*time.Millisecond, cancel)
			req := httptest.NewRequest("POST", "http://h"+path, strings.NewReader("body")).WithContext(ctx)
			req.Header.Set("Id", "q")
			req.Header.Set("Key", "k")
			w, start := httptest.NewRecorder(), time.Now()
			cut := serveHTTP(tr.relayer, w, req)
			if took := time.Since(start); took > time.Second {
				fail("took %v", took)
			}
			synctest.Wait()
			log := strings.Join(tr.backend.log, "\n")
			sent := strings.Count(log, " got ")
			if limit := map[string]int{"/read/x": 2, "/book/x": 1}[path]; sent > limit && !strings.Contains(log, "full=true") && !strings.Contains(log, "moved") {
				fail("sent %d times", sent)
			}
			if w.Code < 300 && !cut && ctx.Err() == nil && (len(w.Body.String()) != 4 || !strings.HasPrefix(w.Body.String(), "gos") || w.Header().Get("Signed") == "") {
				fail("got %q", w.Body)
			}
			if isNotRunStatus(w.Code) && !refuses && strings.Contains(log, "failed=true") {
				fail("refused with status %d but may have run", w.Code)
			}
			if ended := strings.Count(log, " ended "); sent > ended {
				fail("%d sent and %d ended", sent, ended)
			}
			if tr.relayer.BodyBudget.UsedBytes() != 0 || tr.relayer.Active() != 0 {
				fail("memory or activity left")
			}
		})
		if problems != "" {
			rt.Fatal(problems)
		}
	})
}

// sluggishCaller takes half a second for each write.
type sluggishCaller struct{ *httptest.ResponseRecorder }

func (w sluggishCaller) Write(p []byte) (int, error) {
	time.Sleep(500 * time.Millisecond)
	return w.ResponseRecorder.Write(p)
}

// Guards against a server that works on for a loser while the answer is written to a slow caller.
func TestLoserIsCanceledAtOnce(t *testing.T) {
	for _, path := range []string{"/read/1", "/chat/1"} {
		synctest.Test(t, func(t *testing.T) {
			tr := newTestRelayer(t)
			tr.servers = []string{"s1", "s2"}
			tr.backend.scripts = map[string][]string{"s1": {"@hang"}, "s2": {signedResponse}}
			if path == "/chat/1" {
				tr.backend.scripts["s2"] = []string{streamHead + event1 + `0\r\n\r\n`}
			}
			tr.relayer.Hedging = &Hedging{Hedger: tr.newHedger(100, 10)}
			start, canceled := time.Now(), make(chan time.Duration, 2)
			tr.relayer.Send = func(ctx context.Context, r *sender.Request) (*sender.Response, error) {
				context.AfterFunc(ctx, func() { canceled <- time.Since(start) })
				return tr.sender.Send(ctx, r)
			}
			req := httptest.NewRequest("POST", "http://h"+path, strings.NewReader("x"))
			req.Header.Set("Id", "q")
			req.Header.Set("Key", "k")
			serveHTTP(tr.relayer, sluggishCaller{httptest.NewRecorder()}, req)
			qt.Check(t, <-canceled < 200*time.Millisecond, qt.IsTrue)
			close(tr.backend.stop)
			tr.sender.RetainServers(nil)
			synctest.Wait()
		})
	}
}

// Guards against a part that is missing from a long error response, as a race reads its remainder before it is forwarded.
func TestLongServerErrorIsForwardedWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTestRelayer(t)
		tr.servers, tr.retriesLeft = []string{"s1"}, 0
		body := strings.Repeat("x", maxBufferedBytes+20_000)
		tr.backend.scripts["s1"] = []string{fmt.Sprintf(`HTTP/1.1 500 Bad\r\nId: ID\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n%s`, len(body), body)}
		tr.relayer.Hedging = &Hedging{Hedger: tr.newHedger(100, 10)}
		req := httptest.NewRequest("POST", "http://h/read/1", strings.NewReader("x"))
		req.Header.Set("Id", "q")
		req.Header.Set("Key", "k")
		w := httptest.NewRecorder()
		serveHTTP(tr.relayer, w, req)
		qt.Check(t, w.Body.Len(), qt.Equals, len(body))
		close(tr.backend.stop)
		tr.sender.RetainServers(nil)
		synctest.Wait()
	})
}
