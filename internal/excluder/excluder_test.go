package excluder

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

func TestExclusions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		e, now := &Excluder{}, time.Second
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				f := strings.Fields(line)
				duration := func(text string) time.Duration {
					v, err := time.ParseDuration(text)
					if err != nil {
						t.Fatal(err)
					}
					return v
				}
				switch f[0] {
				case "after":
					now += duration(f[1])
				case "leave":
					fmt.Fprintf(&out, "new %v\n", e.Leave(server(f[1])))
				case "pause":
					until, started := e.Pause(now, server(f[1]), duration(f[2]))
					fmt.Fprintf(&out, "for %v, new %v\n", until-now, started)
				case "check":
					cause, until := e.Check(now, server(f[1]))
					fmt.Fprintf(&out, "%q for %v\n", cause, max(0, until-now))
				case "send":
					cause, back := e.Send(now, server(f[1]))
					fmt.Fprintf(&out, "%q back %v\n", cause, back)
				case "listed":
					listed := map[Server]bool{}
					for _, id := range f[1:] {
						listed[server(id)] = true
					}
					e.Retain(now, listed)
				default:
					t.Fatalf("unknown command %q", line)
				}
			}
			return out.String()
		})
	})
}

// server parses ID@START.
func server(text string) Server {
	id, started, _ := strings.Cut(text, "@")
	return Server{ID: id, Address: "10.0.0.1:80", StartedUnixMilli: int64(len(started))}
}

// Guards against requests during a pause or to a server that is shutting down, against a pause that never
// ends, and against a table that grows.
func TestNoRequestIsSentWhileExcluded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e, now := &Excluder{}, time.Duration(0)
		pausedUntil, leaving := map[Server]time.Duration{}, map[Server]bool{}
		anyServer := rapid.Custom(func(t *rapid.T) Server {
			return Server{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "ID"), StartedUnixMilli: int64(rapid.IntRange(1, 3).Draw(t, "start"))}
		})
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			s := anyServer.Draw(rt, "server")
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				e.Leave(s)
				leaving[s] = true
			case 1:
				d := time.Duration(rapid.Int64Range(0, int64(2*MaxPause)).Draw(rt, "pause"))
				e.Pause(now, s, d)
				pausedUntil[s] = max(pausedUntil[s], now+min(d, MaxPause))
			case 2:
				now += time.Duration(rapid.Int64Range(0, int64(MaxPause)).Draw(rt, "later"))
			case 3:
				e.Retain(now, map[Server]bool{s: true})
			default:
				cause, _ := e.Send(now, s)
				if cause == "" && now < pausedUntil[s] {
					rt.Fatalf("a request %v before the end of the pause", pausedUntil[s]-now)
				}
				if cause == CausePause && now >= pausedUntil[s]+ReturnTime {
					rt.Fatalf("paused %v after the end", now-pausedUntil[s])
				}
				if cause == CauseLeaving && !leaving[s] {
					rt.Fatalf("a server is excluded that never said that it leaves")
				}
			}
		}
	})
}

// Guards against a table that grows over weeks of releases.
func TestServersThatLeftAreForgotten(t *testing.T) {
	e := &Excluder{}
	for i := range maxServers + 1000 {
		s := Server{ID: fmt.Sprint(i)}
		e.Leave(s)
		if i%1000 == 0 {
			e.Retain(time.Duration(i+1)*time.Second, map[Server]bool{s: true})
		}
	}
	if n := len(*e.servers.Load()); n > maxServers {
		t.Fatalf("%d servers are remembered", n)
	}
	e.Retain(100*time.Hour, nil)
	e.Retain(101*time.Hour, nil)
	if n := len(*e.servers.Load()); n != 0 {
		t.Fatalf("%d servers are remembered", n)
	}
}
