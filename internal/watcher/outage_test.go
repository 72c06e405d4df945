package watcher

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCallsDuringStoreOutage bounds the number of calls of one router to a store that
// refuses all of them, so that an unavailable store is not overloaded by retries.
func TestCallsDuringStoreOutage(t *testing.T) {
	const outage = 20 * time.Second
	for _, tt := range []struct {
		name        string
		maxBackoff  time.Duration
		peerAnswers bool
		maxCalls    int64
	}{
		// One call every 0.4 s or 2 s on average, and the first retries.
		{"rank 0", 0, false, 60},
		{"late rank", 2 * time.Second, false, 20},
		// A peer receives answers all the time.
		{"peer reaches the store", 0, true, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				start := time.Now()
				var calls atomic.Int64
				fail := func() ([]Row, Position, error) {
					calls.Add(1)
					return nil, Position{}, errors.New("refused")
				}
				table := Table{
					Read:          func(context.Context) ([]Row, Position, error) { return fail() },
					Changes:       func(context.Context, uint64) ([]Row, Position, error) { return fail() },
					IsHistoryGone: func(error) bool { return false },
				}
				w := New(&Watcher{
					ConfigTable: table, ServerTable: table, Log: func(string, ...any) {},
					Now:            func() time.Duration { return time.Hour + time.Since(start) },
					ReadStoreAfter: func() time.Duration { return time.Second },
					MaxBackoff:     func() time.Duration { return tt.maxBackoff },
					ReadSettledEra: func(context.Context) (uint64, uint64, error) {
						_, _, err := fail()
						return 0, 0, err
					},
				})
				ctx, cancel := context.WithTimeout(t.Context(), outage)
				defer cancel()
				if tt.peerAnswers {
					go func() {
						for ctx.Err() == nil {
							w.configState.confirm(w.Now())
							time.Sleep(300 * time.Millisecond)
						}
					}()
				}
				w.followTable(ctx, "configuration", table, &w.configState, func(batch) answerUse { return answerConfirms })
				// Let the goroutine of the peer end.
				time.Sleep(time.Second)
				c.Assert(calls.Load() > 0, qt.IsTrue)
				c.Assert(calls.Load() <= tt.maxCalls, qt.IsTrue, qt.Commentf("%d calls", calls.Load()))
			})
		})
	}
}
