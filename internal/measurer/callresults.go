package measurer

import (
	"encoding/json"
	"slices"
	"time"

	"papayapaddle/internal/emulator"
	"papayapaddle/internal/loader"
)

// callResults counts the outcomes of calls, and the guarantees that they violate
// according to the execution log of the services.
type callResults struct {
	calls, attempts int
	// duplicateExecutions counts non-idempotent calls that were executed more than once.
	duplicateExecutions int
	// executedButReportedNotRun counts requests that were executed although the
	// caller got the outcome not-run.
	executedButReportedNotRun int
	// misdelivered counts answers to another request, undetectedTruncations truncated
	// answers that look complete, and inconsistentReplays repeated calls whose
	// answers differ.
	misdelivered, undetectedTruncations, inconsistentReplays int
	complete, notRun, unknown, replayed                      int
	brokenConns, refusedConns                                int
	unanswered                                               int
	refusalLatencies                                         []time.Duration
}

// serviceResponse is the response body of the emulated service.
type serviceResponse struct {
	RunNumber int    `json:"run"`
	Echo      string `json:"echo"`
}

func evaluateCalls(calls []*loader.Call, executions []emulator.Execution) callResults {
	executionsByBody := map[string]int{}
	executedRequests := map[string]bool{}
	for _, execution := range executions {
		executionsByBody[execution.Body]++
		executedRequests[execution.RequestID] = true
	}
	r := callResults{calls: len(calls)}
	for _, c := range calls {
		if c.Kind != loader.CallLookup && executionsByBody[c.Body] > 1 {
			r.duplicateExecutions++
		}
		if !c.Complete() {
			r.unanswered++
		}
		r.addAttempts(c, executedRequests)
	}
	return r
}

func (r *callResults) addAttempts(c *loader.Call, executedRequests map[string]bool) {
	first := ""
	for _, a := range c.Attempts {
		r.attempts++
		switch {
		case !a.Connected:
			r.refusedConns++
		case a.Incomplete:
			r.brokenConns++
		case a.Outcome == "not-run":
			r.notRun++
			r.refusalLatencies = append(r.refusalLatencies, a.Duration)
			if executedRequests[a.RequestID] {
				r.executedButReportedNotRun++
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
		zero("runs-above-one", r.duplicateExecutions),
		zero("not-run-but-ran", r.executedButReportedNotRun),
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
	if len(r.refusalLatencies) == 0 {
		return 0
	}
	slices.Sort(r.refusalLatencies)
	return float64(r.refusalLatencies[len(r.refusalLatencies)*95/100].Milliseconds())
}
