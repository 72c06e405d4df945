package admitter

import (
	"math"
	"slices"
	"time"
)

const (
	// minConcurrencyFraction is the fraction of an engine's slots that is always used. Until
	// the token latency is known, no more are used.
	minConcurrencyFraction = 0.6
	// minLatencySampleTokens is the smallest expected answer that is used as a sample, since
	// shorter ones arrive in one or two events.
	minLatencySampleTokens = 40
	// tokenLatencySmoothing is the weight of the latest sample.
	tokenLatencySmoothing = 0.05
	// answerLengthMargin is the factor applied to the expected answer length. Length hints
	// are right in the median; 90 % of answers are shorter than the hint times this factor.
	answerLengthMargin = 2
	// tolerableLateFraction is the fraction of running requests that may be expected to miss
	// their deadlines before the concurrency limit is lowered.
	tolerableLateFraction = 0.15
	// limitUpdateInterval is the minimum interval between updates of the deadline limit.
	limitUpdateInterval = 100 * time.Millisecond
)

// tokenLatency is the time an engine takes per answer token, measured on completed answers.
// It grows with the number of running requests, as all of them wait for each decoding step
// and for the prefill done in it. Engines with many slots miss the deadlines of long answers
// if all slots are used, while engines with few slots idle if some are kept free; the
// latency tells how many to use.
type tokenLatency struct {
	// logSeconds is the smoothed logarithm of the seconds per token. Length hints are wrong
	// by factors, which average out in a mean of logarithms.
	logSeconds float64
	// meanRunning is the smoothed number of requests that were running at the end of the
	// sampled answers.
	meanRunning float64
	known       bool
}

// recordAnswer adds a completed answer with its expected number of tokens as a sample.
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

// secondsPerToken returns the seconds per token while meanRunning requests run.
func (l *tokenLatency) secondsPerToken() float64 { return math.Exp(l.logSeconds) }

// maxConcurrency returns the number of concurrent requests up to which r completes by its
// deadline, even if its answer is answerLengthMargin times as long as expected.
func (l *tokenLatency) maxConcurrency(now time.Time, r *runningRequest) float64 {
	generated := 0.0
	if !r.firstEventAt.IsZero() {
		generated = now.Sub(r.firstEventAt).Seconds() / l.secondsPerToken()
	}
	remaining := answerLengthMargin*float64(r.request.Answer) - generated
	if remaining <= 0 {
		// The answer is longer than the margin; its remaining length is unknown.
		return math.Inf(1)
	}
	return l.meanRunning * r.request.Deadline.Sub(now).Seconds() / (remaining * l.secondsPerToken())
}

// updateDeadlineLimit computes the number of concurrent requests at which all but a
// tolerable fraction of the running requests complete by their deadlines.
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

// concurrencyLimit returns the maximum number of requests that the engine may run now.
func (e *engineState) concurrencyLimit() int {
	minimum := max(1, int(float64(e.Slots)*minConcurrencyFraction))
	if !e.tokenLatency.known {
		return minimum
	}
	return max(minimum, int(e.deadlineLimit))
}
