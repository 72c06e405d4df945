package admitter

import (
	"math"
	"slices"
	"time"
)

const (
	// minConcurrencyFraction is the part of an engine's places that is always used. It is also
	// what is used while nothing is known of the engine's pace.
	minConcurrencyFraction = 0.6
	// minLatencySampleTokens is the least expected answer from which a pace can be told: a
	// shorter one comes in one or two events.
	minLatencySampleTokens = 40
	// tokenLatencySmoothing is the weight of the newest answer.
	tokenLatencySmoothing = 0.05
	// answerLengthMargin is how many times longer than expected an answer is taken to be.
	// Hints are right in the median; nine in ten answers are shorter than this.
	answerLengthMargin = 2
	// tolerableLateFraction is the part of the running requests that may be on their way to miss
	// their deadlines before fewer are run at the same time.
	tolerableLateFraction = 0.15
	// limitUpdateInterval is how long a limit holds before it is worked out anew.
	limitUpdateInterval = 100 * time.Millisecond
)

// tokenLatency is how long an engine takes for a token of an answer, learned from the
// answers that it finished. A token takes longer the more requests run, as all of
// them wait for each step and for the prompts that are read in it. The load that
// it answers: engines with many places, whose long answers miss their deadlines
// when all are used, and engines with few, which idle when some are kept free.
type tokenLatency struct {
	// logSeconds is the smoothed logarithm of the seconds for a token. Hints are off
	// by factors, which a mean of logarithms evens out.
	logSeconds float64
	// meanRunning is the smoothed number of requests that ran meanwhile.
	meanRunning float64
	known       bool
}

// recordAnswer takes in an answer of so many expected tokens.
func (l *tokenLatency) recordAnswer(took time.Duration, tokens, running int) {
	if took <= 0 || tokens < minLatencySampleTokens || running < 1 {
		return
	}
	logSeconds := math.Log(took.Seconds() / float64(tokens))
	if !l.known {
		*l = tokenLatency{logSeconds: logSeconds, meanRunning: float64(running), known: true}
		return
	}
	l.logSeconds += tokenLatencySmoothing * (logSeconds - l.logSeconds)
	l.meanRunning += tokenLatencySmoothing * (float64(running) - l.meanRunning)
}

// secondsPerToken returns the seconds for a token while the usual number runs.
func (l *tokenLatency) secondsPerToken() float64 { return math.Exp(l.logSeconds) }

// maxConcurrency returns how many requests may run at the same time for this one to end
// by its deadline, even if its answer is much longer than expected.
func (l *tokenLatency) maxConcurrency(now time.Time, r *runningRequest) float64 {
	generated := 0.0
	if !r.firstEventAt.IsZero() {
		generated = now.Sub(r.firstEventAt).Seconds() / l.secondsPerToken()
	}
	remaining := answerLengthMargin*float64(r.request.Answer) - generated
	if remaining <= 0 {
		// It is longer than could be told.
		return math.Inf(1)
	}
	return l.meanRunning * r.request.Deadline.Sub(now).Seconds() / (remaining * l.secondsPerToken())
}

// updateDeadlineLimit works out how many requests the engine may run at the same time: as many as
// leave nearly all of them the time to end.
func (e *engineState) updateDeadlineLimit(now time.Time) {
	if !e.tokenLatency.known || now.Sub(e.limitUpdatedAt) < limitUpdateInterval {
		return
	}
	e.limitUpdatedAt = now
	limits := make([]float64, 0, len(e.running))
	for _, r := range e.running {
		limits = append(limits, e.tokenLatency.maxConcurrency(now, r))
	}
	slices.Sort(limits)
	tolerable := max(1, int(tolerableLateFraction*float64(len(limits))))
	e.deadlineLimit = float64(e.Slots)
	if tolerable < len(limits) {
		e.deadlineLimit = min(e.deadlineLimit, limits[tolerable])
	}
}

// concurrencyLimit is the number of requests that the engine may run at the same time.
func (e *engineState) concurrencyLimit() int {
	minimum := max(1, int(float64(e.Slots)*minConcurrencyFraction))
	if !e.tokenLatency.known {
		return minimum
	}
	return max(minimum, int(e.deadlineLimit))
}
