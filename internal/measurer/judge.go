package measurer

import (
	"encoding/json"
	"slices"
	"time"

	"papayapaddle/internal/emulator"
	"papayapaddle/internal/loader"
)

// verdict counts broken promises over a load of calls, with the services'
// ledger as the judge.
type verdict struct {
	calls, attempts int
	// runsAboveOne counts non-idempotent calls that ran more than once.
	runsAboveOne int
	// falseNotRun counts requests that were told not-run and ran.
	falseNotRun int
	// wrongCaller counts answers to another request, cutUnseen broken answers
	// that look whole, and otherRepeat repetitions with another answer.
	wrongCaller, cutUnseen, otherRepeat int
	complete, notRun, unknown, replayed int
	broken, refused                     int
	unanswered                          int
	refusals                            []time.Duration
}

// serviceAnswer is what the stand-in answers.
type serviceAnswer struct {
	Run  int    `json:"run"`
	Echo string `json:"echo"`
}

func judge(calls []*loader.Call, runs []emulator.Execution) verdict {
	byBody := map[string]int{}
	byRequest := map[string]bool{}
	for _, r := range runs {
		byBody[r.Body]++
		byRequest[r.RequestID] = true
	}
	v := verdict{calls: len(calls)}
	for _, c := range calls {
		if c.Kind != loader.CallLookup && byBody[c.Body] > 1 {
			v.runsAboveOne++
		}
		if !c.Complete() {
			v.unanswered++
		}
		v.judgeAttempts(c, byRequest)
	}
	return v
}

func (v *verdict) judgeAttempts(c *loader.Call, ran map[string]bool) {
	first := ""
	for _, a := range c.Attempts {
		v.attempts++
		switch {
		case !a.Connected:
			v.refused++
		case a.Incomplete:
			v.broken++
		case a.Outcome == "not-run":
			v.notRun++
			v.refusals = append(v.refusals, a.Duration)
			if ran[a.RequestID] {
				v.falseNotRun++
			}
		case a.Outcome == "unknown":
			v.unknown++
		case a.Outcome == "complete":
			v.complete++
			first = v.judgeAnswer(c, a, first)
		}
	}
}

// judgeAnswer returns the first answer, with which repetitions are compared.
func (v *verdict) judgeAnswer(c *loader.Call, a loader.Attempt, first string) string {
	if a.Replayed {
		v.replayed++
	}
	var ans serviceAnswer
	if json.Unmarshal([]byte(a.Body), &ans) != nil {
		v.cutUnseen++
		return first
	}
	if ans.Echo != c.Body {
		v.wrongCaller++
	}
	if first != "" && c.Kind != loader.CallLookup && first != a.Body {
		v.otherRepeat++
	}
	if first == "" {
		return a.Body
	}
	return first
}

// promises are the figures that must be zero.
func (v *verdict) promises() []Figure {
	zero := func(name string, n int) Figure { return figure(name, float64(n), "count").atMost(0) }
	share := func(name string, n int) Figure {
		return figure(name, float64(n)/float64(max(1, v.attempts)), "share")
	}
	return []Figure{
		figure("calls", float64(v.calls), "count"),
		figure("attempts", float64(v.attempts), "count"),
		zero("runs-above-one", v.runsAboveOne),
		zero("not-run-but-ran", v.falseNotRun),
		zero("answers-to-wrong-caller", v.wrongCaller),
		zero("answers-cut-unseen", v.cutUnseen),
		zero("repetitions-with-other-answer", v.otherRepeat),
		share("told-unknown", v.unknown),
		share("told-not-run", v.notRun),
		share("answered-from-record", v.replayed),
		share("connections-broken", v.broken),
		share("connections-refused", v.refused),
		figure("calls-without-answer", float64(v.unanswered), "count"),
	}
}

// refusalP95 returns the 95th percentile of the time to a refusal in ms.
func (v *verdict) refusalP95() float64 {
	if len(v.refusals) == 0 {
		return 0
	}
	slices.Sort(v.refusals)
	return float64(v.refusals[len(v.refusals)*95/100].Milliseconds())
}
