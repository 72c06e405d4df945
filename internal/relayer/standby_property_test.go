package relayer

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// standbyCase is a request for a stream of propertyEvents events whose servers are silent for random times.
type standbyCase struct {
	scripts map[string]string
	// patience, leave and abort are when the deadline passes, the caller leaves and the router stops, in milliseconds. The last two
	// may be 0, never.
	patience, leave, abort int
	retries, attempts      int
	slotWait, writeDelay   time.Duration
	// hedge is true if requests without an event after a while are hedged.
	hedge bool
}

const propertyEvents = 4

// drawServer returns a script of a server that sends all events in order, is silent in between, and may break off.
func drawServer(t *rapid.T, id string) string {
	var b strings.Builder
	wait := func() {
		if ms := rapid.SampledFrom([]int{0, 0, 0, 0, 300, 900, 1100, 1300, 1900, 2600}).Draw(t, id+" wait"); ms > 0 {
			fmt.Fprintf(&b, "\n@wait %d\n", ms)
		}
	}
	switch rapid.SampledFrom([]string{"stream", "stream", "stream", "stream", "stream", "refuse", "full", "bad", "hang"}).Draw(t, id+" kind") {
	case "refuse":
		return "@refuse"
	case "full":
		return `HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`
	case "bad":
		wait()
		return b.String() + `HTTP/1.1 500 Bad\r\nId: ID\r\nSigned: x\r\nContent-Length: 0\r\n\r\n`
	case "hang":
		return "@hang"
	}
	wait()
	b.WriteString(strings.TrimSuffix(streamHead, "\n"))
	breakAfter := rapid.IntRange(0, 3*propertyEvents).Draw(t, id+" breaks after")
	for i := range propertyEvents {
		wait()
		fmt.Fprintf(&b, `c\r\nid: %d\ndata\n\n\r\n`, i+1)
		if i+1 == breakAfter {
			return b.String() + "\n@close"
		}
	}
	wait()
	return b.String() + `0\r\n\r\n`
}

func drawStandbyCase(t *rapid.T) standbyCase {
	times := []int{0, 0, 1000, 1100, 1300, 2000, 2400}
	c := standbyCase{
		scripts:  map[string]string{},
		patience: rapid.SampledFrom([]int{1000, 1300, 2000, 2300, 3000, 15000}).Draw(t, "patience"),
		leave:    rapid.SampledFrom(times).Draw(t, "leave"), abort: rapid.SampledFrom(times).Draw(t, "abort"),
		retries: rapid.SampledFrom([]int{0, 1, 100}).Draw(t, "retries"), attempts: rapid.IntRange(1, 3).Draw(t, "attempts"),
		slotWait:   time.Duration(rapid.SampledFrom([]int{0, 0, 200, 600}).Draw(t, "slot wait")) * time.Millisecond,
		writeDelay: time.Duration(rapid.SampledFrom([]int{0, 0, 100, 800, 2000}).Draw(t, "write delay")) * time.Millisecond,
	}
	c.hedge = rapid.Bool().Draw(t, "hedge")
	for _, id := range []string{"s1", "s2", "s3"} {
		c.scripts[id] = drawServer(t, id)
	}
	return c
}

// run serves the request and returns what is wrong, or "".
func (sc standbyCase) run(t *testing.T) (wrong string) {
	var mu sync.Mutex
	fail := func(format string, args ...any) { wrong += fmt.Sprintf(format, args...) + "\n" }
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
			route.MaxAttempts = sc.attempts
			catalog.Routes = append(catalog.Routes, &route)
		}
		tr.catalog = newCatalog(t, catalog)
		tr.retriesLeft, tr.slotWait = sc.retries, sc.slotWait
		if sc.hedge {
			tr.relayer.Hedging = &Hedging{Hedger: tr.newHedger(200, 10)}
		}
		tr.servers = []string{"s1", "s2", "s3"}
		for id, script := range sc.scripts {
			tr.backend.scripts[id] = []string{script}
		}
		held := 0
		tr.relayer.AssignServer = func(ctx context.Context, call *Call) (*Assignment, *Refusal) {
			a, refusal := tr.assignServer(ctx, call)
			if a == nil {
				return a, refusal
			}
			mu.Lock()
			defer mu.Unlock()
			released := false
			held++
			if held > 2 {
				fail("%d assignments at once", held)
			}
			check := func() {
				mu.Lock()
				defer mu.Unlock()
				if released {
					fail("%s: report after release", a.Server.ID)
				}
			}
			a.ReportFirstEvent, a.ReportSilence = check, check
			a.Release = func(AttemptResult) {
				mu.Lock()
				defer mu.Unlock()
				if released {
					fail("%s: released twice", a.Server.ID)
				}
				released = true
				held--
			}
			return a, refusal
		}
		aborted, abort := context.WithCancel(context.Background())
		defer abort()
		tr.relayer.Aborted = aborted
		if sc.abort > 0 {
			time.AfterFunc(time.Duration(sc.abort)*time.Millisecond, abort)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if sc.leave > 0 {
			time.AfterFunc(time.Duration(sc.leave)*time.Millisecond, cancel)
		}
		req := httptest.NewRequest("POST", "http://h/chat/1", strings.NewReader("x")).WithContext(ctx)
		for k, v := range map[string]string{"Id": "q", "Key": "k", "Patience": fmt.Sprint(sc.patience)} {
			req.Header.Set(k, v)
		}
		w := &slowCaller{ResponseRecorder: httptest.NewRecorder(), delay: sc.writeDelay}
		start := time.Now()
		cut := serveHTTP(tr.relayer, w, req)
		if limit := time.Duration(sc.patience)*time.Millisecond + sc.writeDelay; time.Since(start) > limit {
			fail("took %v", time.Since(start))
		}
		left := ctx.Err() != nil
		synctest.Wait()
		body, whole := w.Body.String(), ""
		for i := range propertyEvents {
			whole += fmt.Sprintf("id: %d\ndata\n\n", i+1)
		}
		if !strings.HasPrefix(whole, body) {
			fail("body %q", body)
		}
		if w.Code == 200 && !cut && !left && body != whole {
			fail("complete with %q", body)
		}
		if held != 0 {
			fail("%d assignments not released", held)
		}
		if n := tr.relayer.BodyBudget.UsedBytes(); n != 0 {
			fail("%d bytes reserved", n)
		}
		if tr.relayer.Active() != 0 {
			fail("still active")
		}
		if sent := strings.Count(strings.Join(tr.backend.log, "\n"), " got "); sent > sc.attempts {
			fail("sent %d times", sent)
		}
	})
	return wrong
}

// TestStandbysKeepTheirBounds searches for streams with silent servers that lose, repeat or mix events, end as complete
// without all of them, outlast their deadline, are sent too often, or leave a slot or memory behind.
func TestStandbysKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawStandbyCase(rt)
		if wrong := sc.run(t); wrong != "" {
			rt.Fatalf("%s%+v", wrong, sc)
		}
	})
}
