// Package verifier decides whether a response that is delimited by the end of its connection is complete: only if
// the incarnation of its server is proved to have outlived it. A server that is killed closes its connections in the
// same way as one that has sent everything.
//
// The package does no I/O and reads no clock.
package verifier

import "time"

const (
	// ProofTimeout is how long after the end of a response a proof may take. A sound server may pause for two seconds,
	// and a lost packet is repeated within a further one.
	ProofTimeout = 3 * time.Second
	// MinRestartTime is less than a server needs to end and to serve again at its address under its ID. Whoever
	// accepts a connection within this time after a server was alive is that incarnation.
	MinRestartTime = 250 * time.Millisecond
	// retryDelay is when a connection is tried again that could not be opened, or was accepted and closed without a
	// response. The listening socket of a killed process closes last, and a live server closes connections beyond its
	// limit.
	retryDelay = 50 * time.Millisecond
	// maxBroken is how many such connections leave it open what became of the server.
	maxBroken = 2
)

// Verdict says what is known of a server at the end of its response.
type Verdict int

// Verdicts.
const (
	Undecided Verdict = iota
	// Outlived: the incarnation responded after the end, so the response is complete.
	Outlived
	// Ended: the incarnation has ended.
	Ended
	// Unproven: there is no proof in time.
	Unproven
)

// Cause says why a response counts as incomplete.
type Cause string

// Causes.
const (
	CauseNone Cause = ""
	// CauseRefused: no process listens at the address.
	CauseRefused Cause = "refused"
	// CauseReplaced: another server, or another incarnation, is at the address.
	CauseReplaced Cause = "replaced"
	// CauseClosed: connections are accepted and closed without a response.
	CauseClosed Cause = "closed"
	// CauseLate: whoever responds now may have been started after the end.
	CauseLate Cause = "late"
	// CauseAnonymous: the response does not say whose it is.
	CauseAnonymous Cause = "anonymous"
	// CauseTimeout: there was no response in time.
	CauseTimeout Cause = "timeout"
	// CauseStopped: whoever wanted to know left, or the router stops.
	CauseStopped Cause = "stopped"
)

// End is the end of a response, or the loss of a connection, at one incarnation of a server.
type End struct {
	// AliveAt is when the incarnation was last known to be alive, and ObservedAt when the end was observed, which is
	// later if the client reads slowly.
	AliveAt, ObservedAt time.Time
	// Deadline is until when a proof is waited for.
	Deadline time.Time
	// NoHealthRequest keeps health requests from being sent for this end.
	NoHealthRequest bool
}

// Reply is a response of whoever is at the address of a server.
type Reply struct {
	// SentAt is before the request was written, and ConnectedAt when its connection was established.
	SentAt, ConnectedAt time.Time
	// Instance is the ID that the response names, or empty.
	Instance string
	// Expected is true if the request named the server as the only one that may execute it, and Misdirected if the
	// response says that the request named another server.
	Expected, Misdirected bool
	// Own is true if the response shows that the request was not misdirected.
	Own bool
}

// Decide returns what a reply says of the server with an ID at an end.
func Decide(id string, e End, r Reply) (Verdict, Cause) {
	switch {
	case r.SentAt.Before(e.ObservedAt):
		return Undecided, CauseNone
	case r.Instance != "" && r.Instance != id, r.Misdirected && r.Expected:
		return Ended, CauseReplaced
	case r.ConnectedAt.After(e.AliveAt.Add(MinRestartTime)):
		return Undecided, CauseLate
	case r.Instance == id, r.Own, !r.ConnectedAt.After(e.AliveAt):
		// A connection from before the end leads to the incarnation that accepted it, whatever it responds.
		return Outlived, CauseNone
	}
	return Undecided, CauseAnonymous
}
