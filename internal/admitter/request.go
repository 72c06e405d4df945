package admitter

import "time"

// Engine describes the inference engine of a model server.
type Engine struct {
	// ID is the ID of the server.
	ID string
	// Slots is the maximum number of concurrent requests, or 0 if only their starts are limited, as on servers of
	// plain services. The admitter is then told nothing after the start.
	Slots int
	// MemoryTokens is the size of the KV cache in tokens, or 0 if it is not limited.
	MemoryTokens int
}

// Request is a request for a slot on one server.
type Request struct {
	// Router and ID identify the request.
	Router    string
	ID        uint64
	Workspace string
	Engine    Engine
	// Prompt is the number of tokens in the prompt, which consists of Parts.
	Prompt int
	Parts  []PromptPart
	// Answer is the expected number of tokens in the answer.
	Answer int
	// FirstBy is the target time of the first event.
	FirstBy time.Time
	// Deadline is when the answer must be complete.
	Deadline time.Time
	Arrived  time.Time
	// Resumed reports whether the caller already has the beginning of the answer.
	Resumed bool
	// Spare marks an overflow request: another server is the home of its prompt. It is
	// granted only if the server has idle capacity, and never waits.
	Spare bool
	// Standby marks a second attempt of a stream whose server is silent and may yet go on. It is granted only if
	// it can start now and nothing waits, and its refusal is not remembered, as its caller has not been refused.
	Standby bool

	// refusedBefore reports whether the same request was refused recently.
	refusedBefore bool
}

// promptID identifies the request across retries. The ID of the last part covers the whole
// prompt.
func (r *Request) promptID() (uint64, bool) {
	if len(r.Parts) == 0 {
		return 0, false
	}
	return r.Parts[len(r.Parts)-1].ID, true
}

// latestStart returns the latest time at which the engine can start the request. A long
// prompt is not refused for its length alone: its first event may be late, but it waits
// only for the part of its objective beyond maxPrefillAllowance.
func (r *Request) latestStart(prefill time.Duration) time.Time {
	objective := r.FirstBy.Sub(r.Arrived)
	allowance := min(prefill+firstEventOverhead, time.Duration(maxPrefillAllowance*float64(objective)))
	start := r.FirstBy.Add(-allowance)
	if r.refusedBefore {
		start = start.Add(-time.Duration(retryWaitReduction * float64(objective)))
	}
	return start
}

// latestLateStart returns the latest time at which the engine may start a request of an
// underserved workspace.
func (r *Request) latestLateStart() time.Time {
	return r.Arrived.Add(time.Duration(underservedWaitFraction * float64(r.FirstBy.Sub(r.Arrived))))
}

// weightedTokens returns the tokens that the request adds to its workspace's usage.
func (r *Request) weightedTokens() float64 { return WeightedTokens(r.Prompt, r.Answer) }

// WeightedTokens returns the work of a request with a prompt and an expected answer of these lengths.
func WeightedTokens(promptTokens, answerTokens int) float64 {
	return float64(promptTokens) + answerTokenWeight*float64(answerTokens)
}

// Reason is the reason of a refusal.
type Reason string

const (
	// ReasonOverShare: the request would start too late, and the usage of its workspace is
	// above the mean of all workspaces.
	ReasonOverShare Reason = "over-share"
	// ReasonTooLate: the request would start after its latest start time.
	ReasonTooLate Reason = "too-late"
	// ReasonSuspended: the server is suspended after failures, or it was removed.
	ReasonSuspended Reason = "server-suspended"
	// ReasonServerLimit: the request would start too late at the limit that the server names.
	ReasonServerLimit Reason = "server-limit"
	// ReasonServerCold: the request would start too late at the rate that the server tolerates while it is cold, or its
	// owner has not been the owner for long enough.
	ReasonServerCold Reason = "server-cold"
	// ReasonOwnerUnreachable: no router that may own a server with a limit can be reached.
	ReasonOwnerUnreachable Reason = "owner-unreachable"
	// ReasonEvacuated: the zone of the server is evacuated. The request may run on another server.
	ReasonEvacuated Reason = "server-evacuated"
	// ReasonNoRoom: the server has no idle capacity for overflow requests.
	ReasonNoRoom Reason = "no-room"
)

// Decision is the decision about a request, with the inputs that led to it.
type Decision struct {
	Request *Request
	Granted bool
	Reason  Reason
	// RetryAfter is the estimated time until the request would be granted.
	RetryAfter time.Duration
	// Running, Waiting and Backlog are the numbers of running and waiting requests and the
	// prefill backlog of the server at the time of the decision.
	Running int
	Waiting int
	Backlog time.Duration
	// Limit is the number of requests that the server may run at the same time.
	Limit int
	// Retried reports whether the same request was refused recently. Ahead is the number of
	// waiting requests ahead of a request that would start too late, StartIn the time until it
	// would start, and MaxWait the longest time that it may wait.
	Retried bool
	Ahead   int
	StartIn time.Duration
	MaxWait time.Duration
	// Usage is the recent usage of the workspace in weighted tokens, and MeanUsage the mean
	// of all workspaces.
	Usage     float64
	MeanUsage float64
	// Underserved reports whether another workspace has used more than underservedRatio times as much.
	Underserved bool
	// At is the time of the decision. Cold says that the server was cold then, so that a grant must be used soon.
	At   time.Time
	Cold bool
}

// Outcome is a report about a granted request from the router that sent it.
type Outcome struct {
	Router string
	ID     uint64
	Server string
	// First reports that the first event was received, or an event after a silence.
	First bool
	// Done reports that the request ended.
	Done bool
	// Whole reports that the complete answer was received.
	Whole bool
	// Failed reports that the server failed the request or, without Done, that it has been silent for longer than
	// the event timeout.
	Failed bool
}
