package verifier

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestRepliesOfLaterIncarnations guards against a response that counts as complete because a later incarnation of its
// server, or another server at its address, responds: whenever the server ends, the end is observed, connections are
// opened and requests are sent, and whatever the responses name.
func TestRepliesOfLaterIncarnations(t *testing.T) {
	start := time.Unix(0, 0)
	rapid.Check(t, func(t *rapid.T) {
		at := func(name string, from time.Time) time.Time {
			return from.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, name)) * time.Millisecond)
		}
		alive := start
		died := at("died", alive)
		observed := at("observed", died)
		connected := at("connected", start)
		sent := at("sent", connected)
		// The end was observed when it came, or later because the client read slowly.
		e := End{AliveAt: died, ObservedAt: observed, Deadline: observed.Add(ProofTimeout)}
		if rapid.Bool().Draw(t, "slow client") {
			e.AliveAt = alive
		}
		if connected.Before(died.Add(MinRestartTime + time.Millisecond)) {
			// Only the server itself could respond on this connection, and it has ended before the request.
			t.Skip("no response")
		}
		r := Reply{
			SentAt: sent, ConnectedAt: connected, Instance: rapid.SampledFrom([]string{"", "s", "other"}).Draw(t, "instance"),
			Expected: rapid.Bool().Draw(t, "expected"), Misdirected: rapid.Bool().Draw(t, "misdirected"), Own: rapid.Bool().Draw(t, "own"),
		}
		if verdict, _ := Decide("s", e, r); verdict == Outlived {
			t.Fatalf("%+v proves %+v", r, e)
		}
	})
}

// TestOneRequestServesAllEnds guards against requests beyond need: one for all ends that were observed before it, none
// beyond the first in a pause, and no health request where a kept connection or the kind of end allows another one.
func TestOneRequestServesAllEnds(t *testing.T) {
	c, now := qt.New(t), time.Unix(100, 0)
	in, proved := Incarnation{ID: "s"}, 0
	observe := func(n int, e End) {
		for range n {
			in.Observe(&Waiting{End: e, Decided: func(v Verdict, _ Cause) {
				c.Assert(v, qt.Equals, Outlived)
				proved++
			}})
		}
	}
	e := End{AliveAt: now, ObservedAt: now, Deadline: now.Add(ProofTimeout)}
	kept := Conditions{LineConnectedAt: now.Add(-time.Second), MayProbe: true, PausedUntil: now.Add(time.Second)}
	observe(50, e)
	c.Assert(in.Next(now, kept), qt.Equals, Plan{Step: StepLine, Request: RequestMisdirected, Until: now.Add(MinRestartTime)})
	in.HandleReply(Reply{SentAt: now, ConnectedAt: kept.LineConnectedAt, Misdirected: true, Instance: "s"}, true)
	c.Assert(proved, qt.Equals, 50)

	observe(1, e)
	c.Assert(in.Next(now, kept), qt.Equals, Plan{Step: StepWait, Until: kept.PausedUntil})
	now = kept.PausedUntil
	c.Assert(in.Next(now, kept).Step, qt.Equals, StepLine)
	in.HandleReply(Reply{SentAt: now, ConnectedAt: kept.LineConnectedAt}, true)
	c.Assert(in.Next(now, kept), qt.Equals, Plan{})

	later := Conditions{LineConnectedAt: now.Add(time.Millisecond), MayProbe: true}
	observe(1, End{AliveAt: now, ObservedAt: now, Deadline: now.Add(ProofTimeout), NoHealthRequest: true})
	c.Assert(in.Next(now, Conditions{MayProbe: true}).Step, qt.Equals, StepConnect)
	c.Assert(in.Next(now, later).Request, qt.Equals, RequestMisdirected)
	observe(1, End{AliveAt: now, ObservedAt: now, Deadline: now.Add(ProofTimeout)})
	c.Assert(in.Next(now, later).Request, qt.Equals, RequestHealth)
	in.HandleReply(Reply{SentAt: now, ConnectedAt: later.LineConnectedAt, Instance: "s", Expected: true}, true)
	c.Assert(proved, qt.Equals, 53)
}
