package conductor

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/balancer"
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/relayer"
)

// Guards against a server of a plain service that gets streams for ever though it never answers one: its silences were not
// reported, and the end of each attempt was taken for a success.
func TestSilentPlainServerIsAvoided(t *testing.T) {
	c := qt.New(t)
	n := &node{balancer: &balancer.Balancer{}}
	call := &relayer.Call{Service: &cataloger.Service{Name: "s"}, Route: &cataloger.Route{}}
	silent, sound := &cataloger.Server{ID: "silent"}, &cataloger.Server{ID: "sound"}
	for range 3 {
		a, refusal := n.pickPlainServer(context.Background(), call, []*cataloger.Server{silent})
		c.Assert(refusal, qt.IsNil)
		a.ReportSilence()
		// A silence that was reported is no failure once more.
		a.Release(relayer.AttemptResult{Duration: 15 * time.Second})
	}
	// The sound server is slower, so that only failures keep requests from the silent one.
	for range 20 {
		a, refusal := n.pickPlainServer(context.Background(), call, []*cataloger.Server{sound})
		c.Assert(refusal, qt.IsNil)
		a.Release(relayer.AttemptResult{Duration: time.Minute})
	}
	for range 10 {
		s := n.balancer.Pick(time.Now(), []*cataloger.Server{silent, sound}, nil)
		c.Assert(s.ID, qt.Equals, "sound")
		n.balancer.RequestDone(time.Now(), s.ID, false, false, 0)
	}
}
