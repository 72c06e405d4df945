package pacer

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestColdPeriods runs scripts about what one router knows of server a. It guards against cold periods that older or
// repeated statements end or extend, and against servers that count as cold although they have not started again, or
// as warm although they have.
func TestColdPeriods(t *testing.T) {
	cold, now, traffic := &ColdServers{}, time.Minute, true
	wall := func() time.Time { return time.Unix(1_000_000, 0).Add(now) }
	resetAt := wall()
	datadriven.RunTest(t, "testdata/cold", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "reset" {
			cold, traffic, resetAt = &ColdServers{}, true, wall()
			return ""
		}
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			f := strings.Fields(line)
			args := map[string]string{}
			for i := 1; i+1 < len(f); i += 2 {
				args[f[i]] = f[i+1]
			}
			duration := func(key string) time.Duration {
				if args[key] == "" {
					return 0
				}
				return parseDuration(t, args[key])
			}
			// Starts are given as ages at the last reset.
			started := int64(0)
			if args["born"] != "" {
				started = resetAt.Add(-duration("born")).UnixMilli()
			}
			var changes []ColdChange
			switch f[0] {
			case "after":
				now += parseDuration(t, f[1])
			case "no-traffic":
				traffic = false
			case "listed":
				entry, _ := strconv.ParseUint(args["entry"], 10, 64)
				listed := []ListedServer{{ID: "a", StartedUnixMilli: started, Entry: entry, Remaining: duration("cold"), ColdStart: 3 * time.Second}}
				changes = cold.Observe(now, wall(), listed, traffic)
			case "unlisted":
				changes = cold.Observe(now, wall(), nil, traffic)
			case "response":
				changes = cold.Record(now, ColdResponse, "a", started, duration("cold"))
			case "peer":
				hops, _ := strconv.Atoi(args["hops"])
				changes = cold.ApplyNews(now, []ColdNews{{Server: "a", StartedUnixMilli: started, Remaining: duration("cold"), StartRemaining: duration("start"), Hops: hops}})
			case "tick":
				fmt.Fprintf(&out, "warm: %v\n", cold.Tick(now))
			case "phase":
				phase, since := cold.Phase(now, "a")
				fmt.Fprintf(&out, "%s, left %v, rate %.1f\n", [...]string{"warm", "warming", "cold"}[phase], cold.Remaining(now)["a"], WarmingRate(8, since))
			case "news":
				update := cold.ForPeer(now, 0)
				fmt.Fprintf(&out, "till %d:", update.Till)
				for _, n := range update.News {
					fmt.Fprintf(&out, " %s %v start %v hops %d", n.Server, n.Remaining, n.StartRemaining, n.Hops)
				}
				fmt.Fprintln(&out)
			default:
				t.Fatalf("unknown command %q", line)
			}
			for _, c := range changes {
				fmt.Fprintf(&out, "cold for %v by %s, began %v\n", c.Remaining, c.Cause, c.Began)
			}
		}
		return out.String()
	})
}

// Guards against cold periods that one router takes for shorter than what any router has heard, that routers extend in
// turn by the time that their messages take, and that they do not agree on.
func TestRoutersAgreeOnColdPeriods(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const routers = 4
		now := time.Minute
		cold, seen := make([]ColdServers, routers), [routers][routers]uint64{}
		// stated is the latest end that the server has stated.
		var stated time.Duration
		exchange := func(from, to int, delay time.Duration) {
			update := cold[from].ForPeer(now, seen[to][from])
			if delay < 0 {
				// The message is lost.
				return
			}
			now += delay
			cold[to].ApplyNews(now, update.News)
			seen[to][from] = update.Seen(seen[to][from])
		}
		until := func(i int) time.Duration {
			if left, ok := cold[i].Remaining(now)["s"]; ok {
				return now + left
			}
			return 0
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			i := rapid.IntRange(0, routers-1).Draw(rt, "router")
			now += time.Duration(rapid.IntRange(1, 200).Draw(rt, "ms")) * time.Millisecond
			if rapid.IntRange(0, 4).Draw(rt, "step") == 0 {
				left := time.Duration(rapid.IntRange(1, 3000).Draw(rt, "cold")) * time.Millisecond
				stated = max(stated, now+left)
				cold[i].Record(now, ColdResponse, "s", 1, left)
				if until(i) < now+left {
					rt.Fatalf("router %d has heard of %v more, and knows of %v", i, left, until(i)-now)
				}
				continue
			}
			exchange(i, rapid.IntRange(0, routers-1).Draw(rt, "peer"), time.Duration(rapid.IntRange(-20, 200).Draw(rt, "delay"))*time.Millisecond)
		}
		for range 3 * routers {
			for i := range routers {
				exchange(i, (i+1)%routers, 5*time.Millisecond)
				exchange(i, (i+2)%routers, 5*time.Millisecond)
			}
		}
		for i := range routers {
			// A message takes up to 200 ms, and three routers pass it on.
			if latest := stated + maxColdHops*200*time.Millisecond; until(i) > latest {
				rt.Fatalf("router %d takes the period for %v longer than the server said", i, until(i)-stated)
			}
			if stated > now+coldSlack && until(i) < stated-coldSlack {
				rt.Fatalf("router %d takes the period for %v shorter than the server said", i, stated-until(i))
			}
		}
	})
}

func TestMadeUpColdPeriodsAreBounded(t *testing.T) {
	c := qt.New(t)
	var cold ColdServers
	listed := []ListedServer{{ID: "listed", Entry: 1}}
	cold.Observe(time.Minute, time.Now(), listed, true)
	for i := range 2 * maxServers {
		cold.ApplyNews(time.Minute, []ColdNews{{Server: fmt.Sprint("s", i), Remaining: 1000 * time.Hour}})
	}
	c.Assert(cold.periods, qt.HasLen, maxServers)
	c.Assert(cold.Record(time.Minute, ColdResponse, "listed", 0, time.Second), qt.HasLen, 1)
	c.Assert(cold.periods, qt.HasLen, maxServers)
	for _, n := range []ColdNews{{Remaining: 1}, {Server: "x", Remaining: -1}, {Server: "x", Remaining: 1, Hops: -1}} {
		c.Assert(new(ColdServers).ApplyNews(time.Minute, []ColdNews{n}), qt.HasLen, 0)
	}
	update := cold.ForPeer(time.Minute, 0)
	c.Assert(update.News, qt.HasLen, maxNews)
	// An update to the process before this one leaves a gap, which is not acknowledged.
	c.Assert(cold.ForPeer(time.Minute, 5).Seen(0), qt.Equals, uint64(0))
	cold.Tick(time.Minute + maxCold + warmingTime)
	c.Assert(cold.Empty(), qt.IsTrue)
	many := make([]ListedServer, 2*maxServers)
	for i := range many {
		many[i].ID = fmt.Sprint("l", i)
	}
	cold.Observe(time.Minute, time.Now(), many, true)
	cold.Observe(time.Minute, time.Now(), listed, true)
	c.Assert(len(cold.incarnations) <= maxServers, qt.IsTrue)
}
