package pacer

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func parseDuration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	qt.Assert(t, err, qt.IsNil)
	return d
}

func formatRate(perSecond float64, named bool) string {
	if !named {
		return "none"
	}
	return strconv.FormatFloat(perSecond, 'g', -1, 64)
}

// TestLimitsFromAnswers runs scripts about one server, a. It guards against limits that are taken back by
// answers of before, or never.
func TestLimitsFromAnswers(t *testing.T) {
	l, now := &Limits{}, time.Minute
	datadriven.RunTest(t, "testdata/limits", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "reset" {
			l = &Limits{}
			return ""
		}
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			f := strings.Fields(line)
			args := map[string]string{}
			for i := 2; i+1 < len(f); i += 2 {
				args[f[i]] = f[i+1]
			}
			started, _ := strconv.ParseInt(args["started"], 10, 64)
			switch f[0] {
			case "after":
				now += parseDuration(t, f[1])
			case "answer":
				// An unnamed limit stays 0.
				perSecond, err := strconv.ParseFloat(f[1], 64)
				sentAt := now
				if before := args["sent-before"]; before != "" {
					sentAt -= parseDuration(t, before)
				}
				changed := l.Record("a", started, Statement{Named: err == nil, PerSecond: perSecond, SentAt: sentAt, HeardAt: now})
				fmt.Fprintf(&out, "changed %v\n", changed)
			case "peer":
				perSecond, err := strconv.ParseFloat(f[1], 64)
				news := News{Server: "a", Named: err == nil, PerSecond: perSecond, Ago: parseDuration(t, args["ago"])}
				fmt.Fprintf(&out, "changed %v\n", len(l.ApplyNews(now, []News{news})) > 0)
			case "rate":
				fmt.Fprintln(&out, formatRate(l.Rate("a")))
			case "news":
				acked, err := strconv.ParseUint(f[2], 10, 64)
				qt.Assert(t, err, qt.IsNil)
				update := l.ForPeer(now, acked)
				fmt.Fprintf(&out, "till %d:", update.Till)
				for _, n := range update.News {
					fmt.Fprintf(&out, " %s %s ago %v", n.Server, formatRate(n.PerSecond, n.Named), n.Ago)
				}
				fmt.Fprintln(&out)
			case "listed":
				l.Retain(now, map[string]int64{"a": 0})
			case "unlisted":
				l.Retain(now, nil)
			case "size":
				fmt.Fprintf(&out, "%d remembered\n", len(l.servers))
			default:
				t.Fatalf("unknown command %q", line)
			}
		}
		return out.String()
	})
}

// Guards against a table that peers fill, against news that get lost, and against limits that routers do
// not agree on once they have exchanged their news.
func TestRoutersAgreeOnLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Minute
		routers, seen := make([]Limits, 3), [3][3]uint64{}
		exchange := func(from, to int) {
			update := routers[from].ForPeer(now, seen[to][from])
			routers[to].ApplyNews(now, update.News)
			seen[to][from] = update.Seen(seen[to][from])
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(rt, "ms")) * time.Millisecond
			i := rapid.IntRange(0, 2).Draw(rt, "router")
			switch rapid.IntRange(0, 2).Draw(rt, "step") {
			case 0:
				rate := float64(rapid.IntRange(-3, 5).Draw(rt, "rate"))
				server := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "server")
				routers[i].Record(server, 0, Statement{Named: rate >= 0, PerSecond: max(0, rate), SentAt: now, HeardAt: now})
			default:
				exchange(i, (i+1)%3)
			}
		}
		for range 6 {
			now += 100 * time.Millisecond
			for i := range routers {
				exchange(i, (i+1)%3)
				exchange(i, (i+2)%3)
			}
		}
		for _, server := range []string{"a", "b"} {
			first, named := routers[0].Rate(server)
			for i := range routers {
				rate, limited := routers[i].Rate(server)
				if limited != named || math.Abs(rate-first) > significantChange*max(rate, first) {
					rt.Fatalf("server %s: router %d has %s, router 0 %s", server, i, formatRate(rate, limited), formatRate(first, named))
				}
			}
		}
	})
}

func TestMadeUpLimitsAreBounded(t *testing.T) {
	c := qt.New(t)
	var l Limits
	for i := range 2 * maxServers {
		l.ApplyNews(time.Minute, []News{{Server: fmt.Sprint("s", i), Named: true, PerSecond: 1}})
	}
	c.Assert(l.servers, qt.HasLen, maxServers)
	for _, n := range []News{{Server: "x", Named: true, PerSecond: -1}, {Server: "x", Named: true, PerSecond: math.NaN()}, {Named: true}, {Server: "x", Named: true, Ago: -1}} {
		c.Assert(new(Limits).ApplyNews(time.Minute, []News{n}), qt.HasLen, 0)
	}
	update := l.ForPeer(time.Minute, 0)
	c.Assert(update.News, qt.HasLen, maxNews)
	// An update to the process before this one leaves a gap, which is not acknowledged.
	c.Assert(l.ForPeer(time.Minute, 5).Seen(0), qt.Equals, uint64(0))
	l.Retain(time.Minute, nil)
	l.Retain(time.Minute+2*unlistedTTL, nil)
	c.Assert(l.servers, qt.HasLen, 0)
}
