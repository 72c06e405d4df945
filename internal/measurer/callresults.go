package measurer

import (
	"encoding/json"
	"slices"
	"time"

	"papayapaddle/internal/emulator"
	"papayapaddle/internal/loader"
)

// callResults counts the outcomes of calls, and the guarantees that they violate
// according to the services' ledger of runs.
type callResults struct {
	calls, attempts int
	// duplicateRuns counts non-idempotent calls that ran more than once.
	duplicateRuns int
	// ranButReportedNotRun counts requests that ran although the caller was told
	// that they did not.
	ranButReportedNotRun int
	// misdelivered counts answers to another request, undetectedTruncations truncated
	// answers that look complete, and inconsistentReplays repeated calls whose
	// answers differ.
	misdelivered, undetectedTruncations, inconsistentReplays int
	complete, notRun, unknown, replayed                      int
	brokenConns, refusedConns                                int
	unanswered                                               int
	refusalTimes                                             []time.Duration
}

// serviceResponse is the response body of the emulated service.
type serviceResponse struct {
	RunNumber int    `json:"run"`
	Echo      string `json:"echo"`
}

func evaluateCalls(calls []*loader.Call, runs []emulator.Run) callResults {
	runsByBody := map[string]int{}
	ranRequests := map[string]bool{}
	for _, run := range runs {
		runsByBody[run.Body]++
		ranRequests[run.RequestID] = true
	}
	r := callResults{calls: len(calls)}
	for _, c := range calls {
		if c.Kind != loader.CallLookup && runsByBody[c.Body] > 1 {
			r.duplicateRuns++
		}
		if !c.Complete() {
			r.unanswered++
		}
		r.addAttempts(c, ranRequests)
	}
	return r
}

func (r *callResults) addAttempts(c *loader.Call, ranRequests map[string]bool) {
	first := ""
	for _, a := range c.Attempts {
		r.attempts++
		switch {
		case !a.Dialed:
			r.refusedConns++
		case a.Broken:
			r.brokenConns++
		case a.Outcome == "not-run":
			r.notRun++
			r.refusalTimes = append(r.refusalTimes, a.Took)
			if ranRequests[a.RequestID] {
				r.ranButReportedNotRun++
			}
		case a.Outcome == "unknown":
			r.unknown++
		case a.Outcome == "complete":
			r.complete++
			first = r.addResponse(c, a, first)
		}
	}
}

// addResponse counts a response and returns the first valid one of the call, with
// which later ones are compared.
func (r *callResults) addResponse(c *loader.Call, a loader.Attempt, first string) string {
	if a.Replayed {
		r.replayed++
	}
	var response serviceResponse
	if json.Unmarshal([]byte(a.Body), &response) != nil {
		r.undetectedTruncations++
		return first
	}
	if response.Echo != c.Body {
		r.misdelivered++
	}
	if first != "" && c.Kind != loader.CallLookup && first != a.Body {
		r.inconsistentReplays++
	}
	if first == "" {
		return a.Body
	}
	return first
}

// metrics returns the counts; those of violated guarantees must be zero.
func (r *callResults) metrics() []Metric {
	zero := func(name string, n int) Metric { return newMetric(name, float64(n), "count").atMost(0) }
	share := func(name string, n int) Metric {
		return newMetric(name, float64(n)/float64(max(1, r.attempts)), "share")
	}
	return []Metric{
		newMetric("calls", float64(r.calls), "count"),
		newMetric("attempts", float64(r.attempts), "count"),
		zero("runs-above-one", r.duplicateRuns),
		zero("not-run-but-ran", r.ranButReportedNotRun),
		zero("answers-to-wrong-caller", r.misdelivered),
		zero("answers-cut-unseen", r.undetectedTruncations),
		zero("repetitions-with-other-answer", r.inconsistentReplays),
		share("told-unknown", r.unknown),
		share("told-not-run", r.notRun),
		share("answered-from-record", r.replayed),
		share("connections-broken", r.brokenConns),
		share("connections-refused", r.refusedConns),
		newMetric("calls-without-answer", float64(r.unanswered), "count"),
	}
}

// refusalP95Millis returns the 95th percentile of the time to a refusal.
func (r *callResults) refusalP95Millis() float64 {
	if len(r.refusalTimes) == 0 {
		return 0
	}
	slices.Sort(r.refusalTimes)
	return float64(r.refusalTimes[len(r.refusalTimes)*95/100].Milliseconds())
}
