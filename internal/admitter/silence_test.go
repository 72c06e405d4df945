package admitter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a sound server that gets no requests for seconds after a short silence: each of its streams reports the silence
// as a failure, and the suspension outlasts the events that follow.
func TestServerThatGoesOnIsNotSuspended(t *testing.T) {
	c := qt.New(t)
	const streams = 6
	a := Admitter{UsageTimeConstant: 2 * time.Second}
	now := time.Unix(1000, 0)
	request := func(id uint64) *Request {
		return &Request{
			Router: "r", ID: id, Workspace: "w", Engine: Engine{ID: "e", Slots: 20, MemoryTokens: 100_000},
			Prompt: 100, Answer: 100, Parts: HashParts("m", []string{"p"}, []int{100}), Arrived: now,
			FirstBy: now.Add(800 * time.Millisecond), Deadline: now.Add(15 * time.Second),
		}
	}
	for id := range uint64(streams) {
		a.Submit(now, request(id))
		now = now.Add(100 * time.Millisecond)
		a.RecordOutcome(now, Outcome{Router: "r", ID: id, Server: "e", First: true})
	}
	c.Assert(a.TakeDecisions(), qt.HasLen, streams)
	now = now.Add(time.Second)
	for id := range uint64(streams) {
		a.RecordOutcome(now, Outcome{Router: "r", ID: id, Server: "e", Failed: true})
	}
	now = now.Add(300 * time.Millisecond)
	for id := range uint64(streams) {
		a.RecordOutcome(now, Outcome{Router: "r", ID: id, Server: "e", First: true})
	}
	a.Submit(now, request(streams))
	decisions := a.TakeDecisions()
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].Granted, qt.IsTrue, qt.Commentf("%s, retry after %v", decisions[0].Reason, decisions[0].RetryAfter))
}
