package hedger

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against hedges that exceed the limit in sum, also with routers that know nothing of each other, after
// pauses, and with pieces of work of very different sizes.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	type event struct {
		at          time.Time
		work, hedge float64
	}
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.SampledFrom([]float64{0.5, 2, 10, 100}).Draw(t, "percent")
		routers := make([]*Hedger, rapid.IntRange(1, 4).Draw(t, "routers"))
		for i := range routers {
			routers[i] = &Hedger{Percent: percent}
		}
		now := time.Unix(0, 0)
		var events []event
		// saved bounds what all routers had saved up at each event.
		var saved []float64
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 50, 700, 60_000}).Draw(t, "pause-ms")) * time.Millisecond)
			sum := 0.0
			for _, r := range routers {
				b := &r.service(now, "s").budget
				b.advance(now)
				sum += b.limit()
			}
			saved = append(saved, sum)
			r := routers[rapid.IntRange(0, len(routers)-1).Draw(t, "router")]
			work := rapid.SampledFrom([]float64{1, 1, 1, 30, 5000}).Draw(t, "work")
			e := event{at: now}
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				r.RecordStart(now, "s", work, 0)
				e.work = work
			} else if r.Start(now, "s", work) == "" {
				e.hedge = work
			}
			events = append(events, e)
		}
		for from := range events {
			work, hedges := 0.0, 0.0
			for _, e := range events[from:] {
				work, hedges = work+e.work, hedges+e.hedge
				if limit := percent/100*work + saved[from]; hedges > limit*1.0001 {
					t.Fatalf("%v of %v in the window from %v to %v, %v allowed", hedges, work, events[from].at, e.at, limit)
				}
			}
		}
	})
}

// Guards against a budget that never permits a hedge, as the saved work is bounded below the largest request.
func TestEachSizeOfRequestIsHedgedInTheEnd(t *testing.T) {
	for _, gap := range []time.Duration{time.Millisecond, time.Second, 10 * time.Second} {
		for _, work := range []float64{1, 40000} {
			h, now := &Hedger{Percent: 1}, time.Unix(0, 0)
			started := 0
			for range 1000 {
				now = now.Add(gap)
				h.RecordStart(now, "s", work, 0)
				if h.Start(now, "s", work) == "" {
					started++
				}
			}
			qt.Check(t, started >= 9 && started <= 10, qt.IsTrue, qt.Commentf("%v of 1000 for %v each %v", started, work, gap))
		}
	}
}

// Guards against a delay that shrinks by itself: the slow attempts are those that are canceled, and without them the
// rest looks fast, so that ever more requests are hedged.
func TestCanceledAttemptsDoNotShortenDelay(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	// One in twenty attempts is slow. A hedge takes 30 ms and cancels the first attempt.
	attempt := func() time.Duration {
		d := 20*time.Millisecond + time.Duration(r.ExpFloat64()*float64(5*time.Millisecond))
		if r.IntN(20) == 0 {
			d += time.Duration(r.IntN(1000)) * time.Millisecond
		}
		return d
	}
	for _, percent := range []float64{2, 5, 20} {
		h, plain := &Hedger{Percent: percent}, &Hedger{Percent: percent}
		key := Key{Service: "s", Route: "r"}
		now := time.Unix(0, 0)
		for range 20000 {
			now = now.Add(20 * time.Millisecond)
			d := attempt()
			plain.RecordTime(now, key, d, false)
			h.RecordStart(now, "s", 1, 0)
			plan, reason := h.Plan(now, key, 0)
			if reason == "" && d > plan.Delay && h.Start(now, "s", 1) == "" && d > plan.Delay+30*time.Millisecond {
				h.RecordTime(now, key, plan.Delay+30*time.Millisecond, true)
				continue
			}
			h.RecordTime(now, key, d, false)
		}
		got, _ := h.Plan(now, key, 0)
		want, _ := plain.Plan(now, key, 0)
		qt.Check(t, float64(got.Delay) >= 0.7*float64(want.Delay), qt.IsTrue, qt.Commentf("%v%%: delay %v, without hedges %v", percent, got.Delay, want.Delay))
		counts := h.Reports(now)[0].Counts
		qt.Check(t, counts.HedgeWork <= percent/100*counts.Work, qt.IsTrue)
	}
}

// Guards against memory that grows with the names of services, routes and sizes.
func TestMemoryIsBounded(t *testing.T) {
	h, now := &Hedger{Percent: 5}, time.Unix(0, 0)
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		h.RecordTime(now, Key{Service: fmt.Sprint(i), Route: "r", Size: SizeClass(i * i)}, time.Millisecond, false)
	}
	qt.Assert(t, h.services, qt.HasLen, maxServices)
	qt.Assert(t, h.kinds, qt.HasLen, maxKinds)
	qt.Assert(t, h.services["999"], qt.IsNotNil)
}

// TestScenarios runs scripts of the commands
//
//	requests n=N every=MS takes=(MS...) [wait=MS]  plays requests whose answers take these times in turn; each that is
//	                                               later than its delay asks for a hedge
//	wait ms=MS                                     lets time pass
//	refused                                        a request for the service is refused for lack of room
//	plan                                           prints the delay of the next request
//
// and prints how many hedges were started and refused.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		h, now := &Hedger{Percent: 5}, time.Unix(0, 0)
		key := Key{Service: "s", Route: "r"}
		ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var n, every, wait, pause int
			var takes []int
			for name, v := range map[string]any{"n": &n, "every": &every, "wait": &wait, "ms": &pause, "takes": &takes} {
				d.MaybeScanArgs(t, name, v)
			}
			switch d.Cmd {
			case "wait":
				now = now.Add(ms(pause))
				return ""
			case "refused":
				h.RecordShortage(now, "s", ShortageTime)
				return ""
			case "plan":
				plan, reason := h.Plan(now, key, 0)
				return fmt.Sprintf("delay %d ms, typical %d ms %s\n", plan.Delay.Milliseconds(), plan.Typical.Milliseconds(), reason)
			}
			refused := map[Reason]int{}
			started, lines := 0, 0
			for i := range n {
				now = now.Add(ms(every))
				h.RecordStart(now, "s", 1, ms(wait))
				took := ms(takes[i%len(takes)])
				plan, reason := h.Plan(now, key, ms(wait))
				if reason == "" && took > plan.Delay {
					if reason = h.Start(now, "s", 1); reason == "" {
						started++
					}
				}
				if reason != "" {
					refused[reason]++
					if log, _ := h.RecordRefusal(now, "s", reason); log {
						lines++
					}
				}
				h.RecordTime(now, key, took, false)
			}
			return fmt.Sprintf("started %d, refused %s, lines %d\n", started, strings.TrimPrefix(fmt.Sprint(refused), "map"), lines)
		})
	})
}
