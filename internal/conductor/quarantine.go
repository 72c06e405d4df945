package conductor

import (
	"fmt"
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/excluder"
	"papayapaddle/internal/pacer"
	"papayapaddle/internal/prober"
	"papayapaddle/internal/quarantiner"
	"papayapaddle/internal/relayer"
	"papayapaddle/internal/timer"
	"papayapaddle/internal/watcher"
)

// newQuarantiner returns the quarantiner of a router. The first owner by rank tests a part whose
// quarantine time is over, so that one request of the fleet does.
func newQuarantiner(n *node) *quarantiner.Quarantiner {
	return &quarantiner.Quarantiner{
		MayTest: func(part uint64) bool {
			owners := n.membership.Owners(fmt.Sprintf("part/%x", part), "", 1)
			return len(owners) > 0 && owners[0].Name == n.self.Name
		},
		OnChange: n.logVerdict,
	}
}

func (n *node) logVerdict(v quarantiner.Verdict, quarantined bool) {
	event := "prompt-part"
	if v.Content {
		event = "request"
	}
	if quarantined {
		event += "-quarantined"
	} else {
		event += "-released"
	}
	notify(n.verdictsChanged)
	n.metrics.increment(event)
	n.log(event, "part-key", fmt.Sprintf("%x", v.Part), "one-workspace", v.Workspace != 0, "crashes", v.Crashes,
		"test-in-s", int((v.Until - timer.SinceBoot()).Seconds()))
}

// describeVerdicts describes the verdicts in force for the state dump.
func (n *node) describeVerdicts() []string {
	var out []string
	for _, v := range n.quarantiner.Verdicts() {
		scope := "all workspaces"
		if v.Workspace != 0 {
			scope = "one workspace"
		}
		kind := "part"
		if v.Content {
			kind = "request"
		}
		out = append(out, fmt.Sprintf("%s %x for %s after %d crashes, to be tested in %v", kind, v.Part, scope, v.Crashes, max(0, v.Until-timer.SinceBoot()).Round(time.Second)))
	}
	return out
}

func newCrashDetector(n *node, q *quarantiner.Quarantiner, p *prober.Prober) *crashDetector {
	return &crashDetector{
		Check: p.Check, MaySuspect: n.maySuspect,
		OnCrash: func(s *cataloger.Server, lost []quarantiner.LostRequest) {
			begun := 0
			for _, p := range lost {
				if p.Begun {
					begun++
				}
			}
			n.metrics.increment("server-crashes-seen")
			n.log("server-ended", "server", s.ID, "born", s.StartedUnixMilli, "prompts", len(lost), "begun", begun)
			// The next process at its address is cold, and the store may be away.
			n.beginCold(s, pacer.ColdCrash, unseenRestart)
			q.ReportCrash(timer.SinceBoot(), serverKey(s), releaseOf(s), lost)
		},
	}
}

// maySuspect reports whether the end of a server would show that it has crashed.
func (n *node) maySuspect(s *cataloger.Server) bool {
	cause, _ := n.excluder.Check(timer.SinceBoot(), excludedServer(s))
	return !n.isDraining(s) && cause != excluder.CauseLeaving
}

// isDraining reports whether a server is listed as draining.
func (n *node) isDraining(s *cataloger.Server) bool {
	set := n.watcher.ServerSet()
	return set != nil && set.ByID[s.ID] != nil && set.ByID[s.ID].Draining
}

func releaseOf(s *cataloger.Server) quarantiner.Release {
	return quarantiner.NewRelease(s.Service, s.Release)
}

// newQuarantine connects a relayer to the quarantiner.
func newQuarantine(q *quarantiner.Quarantiner, d *crashDetector) *relayer.Quarantine {
	return &relayer.Quarantine{
		Check: func(p quarantiner.Request) (quarantiner.Verdict, bool, bool) {
			return q.Check(timer.SinceBoot(), p)
		},
		RequestLost: d.requestLost,
		RequestAnswered: func(s *cataloger.Server, sentAt time.Duration, r quarantiner.Request) {
			q.ReportAnswer(timer.SinceBoot(), serverKey(s), sentAt, r)
		},
		IsSuspect: func(s *cataloger.Server, p quarantiner.Request) bool { return q.IsSuspect(serverKey(s), p) },
	}
}

// setReleases tells the quarantiner what the listed servers run.
func (n *node) setReleases(set *watcher.ServerSet) {
	releases := make([]quarantiner.Release, 0, len(set.ByID))
	for _, s := range set.ByID {
		releases = append(releases, releaseOf(s))
	}
	n.quarantiner.SetReleases(timer.SinceBoot(), releases)
}
