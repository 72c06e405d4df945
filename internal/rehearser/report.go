package rehearser

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Score counts requests by outcome.
type Score struct {
	Submitted int
	InTime    int
	Late      int
	Refused   int
	Failed    int
	// EarnedValue is the value of the answers. MaxValue is the value if all answers had
	// started in time.
	EarnedValue float64
	MaxValue    float64
}

// ValueShare returns the ratio of the earned value to the maximum.
func (s Score) ValueShare() float64 {
	if s.MaxValue == 0 {
		return 1
	}
	return s.EarnedValue / s.MaxValue
}

// Report holds the results of a simulation.
type Report struct {
	Total      Score
	Classes    map[string]*Score
	Workspaces []Score
	Refusals   int
	// MaxRefusalDelay is the longest time from an attempt to its refusal.
	MaxRefusalDelay time.Duration
	// UpperBound is the value share of an ideal scheduler; see Workload.UpperBound.
	UpperBound float64
	// IdleEngineSamples counts the samples in which an engine was idle while requests
	// were queued for it. Engines are sampled every tickInterval.
	IdleEngineSamples int
	// PrefixTokensPrefilled is the number of shared prefix tokens that engines prefilled.
	PrefixTokensPrefilled int
	// Fairness is the lowest ratio of served to due tokens over all workspaces and all
	// windows of fairnessWindowSeconds in which the workspace was underserved in every
	// second. The tokens due in a second are those that the workspace requested, up to
	// those served to the workspace that was served most. From the sum over a window,
	// fairnessSlackRequests times the largest request is subtracted.
	Fairness float64
	// LongPrompts counts the requests with the longest tenth of the prompts of each
	// class.
	LongPrompts Score
	// EngineCrashes counts the engines that a prompt part ended, DeadlySent the requests with it that
	// were sent to engines, and WronglyQuarantined the refused requests without it.
	EngineCrashes      int
	DeadlySent         int
	WronglyQuarantined int
	// OverLimit is the largest ratio of the requests that an engine with a limit got in some limitWindow to those
	// that the users allow it.
	OverLimit float64
	// OverCold is the same of cold engines and coldWindow.
	OverCold float64

	usage          [][]usageSecond
	largestRequest float64
}

func (r *Report) scoresOf(req *request) []*Score {
	c := r.Classes[req.class.Name]
	if c == nil {
		c = &Score{}
		r.Classes[req.class.Name] = c
	}
	out := []*Score{&r.Total, c, &r.Workspaces[req.workspace]}
	if req.longPrompt {
		out = append(out, &r.LongPrompts)
	}
	return out
}

func (r *Report) recordArrival(req *request) {
	for _, s := range r.scoresOf(req) {
		s.Submitted++
		s.MaxValue += req.relativeValue * req.class.Value
	}
	r.usageAt(req.workspace, req.arrivedAt).demand += req.weightedTokens()
	r.largestRequest = max(r.largestRequest, req.weightedTokens())
}

func (r *Report) recordEnd(req *request, outcome string) {
	if req.outcome != "" {
		return
	}
	req.outcome = outcome
	for _, s := range r.scoresOf(req) {
		switch outcome {
		case "in-time":
			s.InTime++
			s.EarnedValue += req.relativeValue * req.class.Value
		case "late":
			s.Late++
			s.EarnedValue += req.relativeValue * req.class.LateValue
		case "refused":
			s.Refused++
		default:
			s.Failed++
		}
	}
}

// usageSecond holds the tokens requested by and served to a workspace in one second.
type usageSecond struct {
	demand, served float64
	// underserved means that a request was refused or started late.
	underserved bool
}

const (
	// fairnessWindowSeconds is the length of the windows for Report.Fairness.
	fairnessWindowSeconds = 6
	// fairnessSlackRequests is the number of largest requests that a workspace may lack in
	// a window without an effect on Report.Fairness.
	fairnessSlackRequests = 3
)

func (r *Report) usageAt(workspace int, at time.Duration) *usageSecond {
	if r.usage == nil {
		r.usage = make([][]usageSecond, len(r.Workspaces))
	}
	s := int(at / time.Second)
	for len(r.usage[workspace]) <= s {
		r.usage[workspace] = append(r.usage[workspace], usageSecond{})
	}
	return &r.usage[workspace][s]
}

// computeFairness sets Fairness from the recorded usage.
func (r *Report) computeFairness() {
	var mostServed []float64
	for _, w := range r.usage {
		for i, s := range w {
			if len(mostServed) <= i {
				mostServed = append(mostServed, 0)
			}
			mostServed[i] = max(mostServed[i], s.served)
		}
	}
	r.Fairness = 1
	for _, w := range r.usage {
		for from := 0; from+fairnessWindowSeconds <= len(w); from++ {
			due, served, underserved := 0.0, 0.0, true
			for i, s := range w[from : from+fairnessWindowSeconds] {
				due += min(s.demand, mostServed[from+i])
				served += s.served
				underserved = underserved && s.underserved
			}
			if due -= fairnessSlackRequests * r.largestRequest; underserved && due > 0 {
				r.Fairness = min(r.Fairness, served/due)
			}
		}
	}
}

// ServedRatio returns the ratio of requests that were served, in time or late.
func (s Score) ServedRatio() float64 {
	if s.Submitted == 0 {
		return 1
	}
	return float64(s.InTime+s.Late) / float64(s.Submitted)
}

// Write prints the report as text.
func (r *Report) Write(w io.Writer) {
	line := func(name string, s Score) {
		fmt.Fprintf(w, "%s asked=%d in-time=%d late=%d refused=%d failed=%d share=%.3f\n",
			name, s.Submitted, s.InTime, s.Late, s.Refused, s.Failed, s.ValueShare())
	}
	line("total", r.Total)
	names := make([]string, 0, len(r.Classes))
	for n := range r.Classes {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		line("class "+n, *r.Classes[n])
	}
	line("longest-tenth", r.LongPrompts)
	fmt.Fprintf(w, "bound %.3f of-bound %.3f\n", r.UpperBound, r.Total.ValueShare()/r.UpperBound)
	fmt.Fprintf(w, "refusals %d longest-ms=%d\n", r.Refusals, r.MaxRefusalDelay.Milliseconds())
	if r.OverLimit > 0 {
		fmt.Fprintf(w, "over-limit %.2f\n", r.OverLimit)
	}
	if r.OverCold > 0 {
		fmt.Fprintf(w, "over-cold %.2f\n", r.OverCold)
	}
	if r.DeadlySent > 0 {
		fmt.Fprintf(w, "engine-crashes %d deadly-sent %d wrongly-quarantined %d\n", r.EngineCrashes, r.DeadlySent, r.WronglyQuarantined)
	}
	fmt.Fprintf(w, "shared-tokens-read %d\nfairness %.3f\n", r.PrefixTokensPrefilled, r.Fairness)
}
