package admitter

import "time"

// Engine describes a model server.
type Engine struct {
	ID           string
	Slots        int
	MemoryTokens int
}

// Request is a request for a place on one server.
type Request struct {
	// Router and ID name the ask.
	Router    string
	ID        uint64
	Workspace string
	Engine    Engine
	// Prompt is the number of tokens of the prompt, made up of Parts; Answer the
	// expected number of the answer.
	Prompt int
	Parts  []PromptPart
	Answer int
	// FirstBy is when the first event should be there, Deadline when the whole
	// answer has to be.
	FirstBy  time.Time
	Deadline time.Time
	Arrived  time.Time
	// Resumed says that the caller has the beginning of the answer.
	Resumed bool
	// Spare asks for room that would stay unused: the prompt's home is elsewhere. It
	// is granted at once or not at all.
	Spare bool

	// refusedBefore says that the same request was refused before.
	refusedBefore bool
}

// promptID tells the request from others, also when its caller comes back: the last
// part of a prompt is its own.
func (r *Request) promptID() (uint64, bool) {
	if len(r.Parts) == 0 {
		return 0, false
	}
	return r.Parts[len(r.Parts)-1].ID, true
}

// latestStart is when the engine has to begin with the request at the latest. A long
// prompt is not refused for its length alone: it may be late, but not wait long
// before that.
func (r *Request) latestStart(prefill time.Duration) time.Time {
	objective := r.FirstBy.Sub(r.Arrived)
	allowance := min(prefill+firstEventOverhead, time.Duration(maxPrefillAllowance*float64(objective)))
	start := r.FirstBy.Add(-allowance)
	if r.refusedBefore {
		start = start.Add(-time.Duration(retryWaitReduction * float64(objective)))
	}
	return start
}

// weightedTokens is what the ask counts for in shares.
func (r *Request) weightedTokens() float64 {
	return float64(r.Prompt) + answerTokenWeight*float64(r.Answer)
}

// Reason says why an ask was refused.
type Reason string

// The reasons.
const (
	// ReasonOverShare: the workspace uses more than others, who wait too.
	ReasonOverShare Reason = "over-share"
	// ReasonTooLate: the first event would come too late.
	ReasonTooLate Reason = "too-late"
	// ReasonSuspended: the server keeps failing.
	ReasonSuspended Reason = "server-suspended"
	// ReasonNoRoom: the server has none for prompts that have their home elsewhere.
	ReasonNoRoom Reason = "no-room"
)

// Decision is the answer to an ask, with what decided it.
type Decision struct {
	Request *Request
	Granted bool
	Reason  Reason
	// RetryAfter is when the ask would probably be granted.
	RetryAfter time.Duration
	// Running, Waiting and Backlog are the server's at the decision.
	Running int
	Waiting int
	Backlog time.Duration
	// Usage and Mean are what the workspace and the mean one were granted lately,
	// in tokens.
	Usage     float64
	MeanUsage float64
}

// Outcome is what a router tells of a granted request.
type Outcome struct {
	Router string
	ID     uint64
	Server string
	// First says that the first event came, Done that the request ended.
	First bool
	Done  bool
	// Whole says that the answer came whole.
	Whole bool
	// Failed says that the server failed it.
	Failed bool
}
