package verifier

import (
	"slices"
	"time"
)

// Incarnation decides about the ends at one incarnation of a server, with one request at a time for all that have been
// observed before it. ID must be set.
type Incarnation struct {
	ID string

	waiting []*Waiting
	// broken counts the connections since the last reply that were accepted and closed without a response.
	broken  int
	retryAt time.Time
	// pauseSpentUntil is the end of the pause in which a request was sent, and pauseRepeated that of one in which a
	// further request may be sent, as the connection of the first one was closed.
	pauseSpentUntil, pauseRepeated time.Time
}

// Waiting is an end that is not decided yet.
type Waiting struct {
	End
	// Decided is called once with the verdict.
	Decided func(Verdict, Cause)
}

// Conditions is what is known of a server now.
type Conditions struct {
	// Replaced is true if the server is listed as another incarnation.
	Replaced bool
	// LineConnectedAt is when the open connection to the server was established, or zero if there is none.
	LineConnectedAt time.Time
	// PausedUntil is until when the server wants no requests.
	PausedUntil time.Time
	// MayProbe is true if a health request may be sent to the server now.
	MayProbe bool
}

// Step is what to do next.
type Step int

// Steps.
const (
	// StepNone: no end is left to be decided.
	StepNone Step = iota
	// StepWait: nothing may be sent until a time.
	StepWait
	// StepLine: send the request on the open connection.
	StepLine
	// StepConnect: open a connection, and send the request on it.
	StepConnect
)

// Request is what to send.
type Request int

// Requests.
const (
	// RequestMisdirected names no server that exists, so that any live one refuses it without executing it.
	RequestMisdirected Request = iota
	// RequestHealth is a health request.
	RequestHealth
)

// Plan is the next step and its parameters.
type Plan struct {
	Step    Step
	Request Request
	// Until limits a wait, and the time to connect.
	Until time.Time
}

// Observe adds an end.
func (in *Incarnation) Observe(w *Waiting) { in.waiting = append(in.waiting, w) }

// Forget removes an end that nobody waits for any more.
func (in *Incarnation) Forget(w *Waiting) {
	in.waiting = slices.DeleteFunc(in.waiting, func(other *Waiting) bool { return other == w })
}

// Waiting returns the number of ends that are not decided.
func (in *Incarnation) Waiting() int { return len(in.waiting) }

// decide decides the ends for which f returns a verdict.
func (in *Incarnation) decide(f func(e End) (Verdict, Cause)) {
	in.waiting = slices.DeleteFunc(in.waiting, func(w *Waiting) bool {
		verdict, cause := f(w.End)
		if verdict != Undecided {
			w.Decided(verdict, cause)
		}
		return verdict != Undecided
	})
	if len(in.waiting) == 0 {
		in.broken, in.retryAt = 0, time.Time{}
	}
}

// Next decides the ends that are due and returns the next step for the others.
func (in *Incarnation) Next(now time.Time, c Conditions) Plan {
	hasLine, actAt := !c.LineConnectedAt.IsZero(), now
	if in.retryAt.After(now) {
		actAt = in.retryAt
	}
	in.decide(func(e End) (Verdict, Cause) {
		connectUntil := e.AliveAt.Add(MinRestartTime)
		switch {
		case c.Replaced:
			return Ended, CauseReplaced
		case !now.Before(e.Deadline):
			return Unproven, CauseTimeout
		case (!hasLine || c.LineConnectedAt.After(connectUntil)) && !actAt.Before(connectUntil):
			return Unproven, CauseLate
		}
		return Undecided, CauseNone
	})
	if len(in.waiting) == 0 {
		return Plan{}
	}
	plan := Plan{Step: StepConnect}
	deadline, kept, health := in.waiting[0].Deadline, true, false
	for _, w := range in.waiting {
		connectUntil := w.AliveAt.Add(MinRestartTime)
		if connectUntil.After(plan.Until) {
			plan.Until = connectUntil
		}
		if hasLine && !c.LineConnectedAt.After(connectUntil) {
			plan.Step = StepLine
		}
		if w.Deadline.Before(deadline) {
			deadline = w.Deadline
		}
		kept = kept && !c.LineConnectedAt.After(w.AliveAt)
		health = health || !w.NoHealthRequest
	}
	paused := plan.Step == StepLine && now.Before(c.PausedUntil)
	if paused && actAt.Before(in.pauseSpentUntil) {
		actAt = in.pauseSpentUntil
	}
	if now.Before(actAt) {
		if deadline.Before(actAt) {
			actAt = deadline
		}
		return Plan{Step: StepWait, Until: actAt}
	}
	if paused {
		in.pauseSpentUntil = c.PausedUntil
	}
	if health && c.MayProbe && !(plan.Step == StepLine && kept) {
		plan.Request = RequestHealth
	}
	return plan
}

// HandleReply decides the ends that a reply shows something of. probe is true for the reply to a request of Next. No
// later connection could prove what that one does not.
func (in *Incarnation) HandleReply(r Reply, probe bool) {
	in.broken = 0
	in.decide(func(e End) (Verdict, Cause) {
		verdict, cause := Decide(in.ID, e, r)
		if probe && verdict == Undecided && cause != CauseNone {
			verdict = Unproven
		}
		return verdict, cause
	})
}

// HandleRefused decides the ends that had been observed when a connection was tried that was refused.
func (in *Incarnation) HandleRefused(triedAt time.Time) {
	in.decide(func(e End) (Verdict, Cause) {
		if triedAt.Before(e.ObservedAt) {
			return Undecided, CauseNone
		}
		return Ended, CauseRefused
	})
}

// HandleUnreachable handles a connection that was neither opened nor refused.
func (in *Incarnation) HandleUnreachable(now time.Time) { in.retryAt = now.Add(retryDelay) }

// HandleClosed handles a connection that was closed without a response to the request. A connection from before may
// have been closed for being idle, so that the server is asked on another one.
func (in *Incarnation) HandleClosed(now, triedAt time.Time, line bool) {
	if !in.pauseSpentUntil.Equal(in.pauseRepeated) {
		in.pauseRepeated, in.pauseSpentUntil = in.pauseSpentUntil, time.Time{}
	}
	if line {
		return
	}
	in.broken++
	in.retryAt = now.Add(retryDelay)
	if in.broken < maxBroken {
		return
	}
	in.decide(func(e End) (Verdict, Cause) {
		if triedAt.Before(e.ObservedAt) {
			return Undecided, CauseNone
		}
		return Unproven, CauseClosed
	})
}
