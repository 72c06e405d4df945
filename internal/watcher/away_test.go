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

// TestStoreThatIsAwayIsAskedByFew counts the calls of one router to a store that refuses
// all of them.
func TestStoreThatIsAwayIsAskedByFew(t *testing.T) {
	const away = 20 * time.Second
	for _, tt := range []struct {
		name    string
		backoff time.Duration
		peers   bool
		most    int64
	}{
		// One call each 0.4 s and 2 s on average, and the first ones.
		{"the first by rank", 0, false, 60},
		{"a late one by rank", 2 * time.Second, false, 20},
		// A peer gets answers all the time.
		{"one whose peers reach it", 0, true, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				start := time.Now()
				var calls atomic.Int64
				fail := func() ([]Row, uint64, error) {
					calls.Add(1)
					return nil, 0, errors.New("refused")
				}
				table := Table{
					Read:    func(context.Context) ([]Row, uint64, error) { return fail() },
					Changes: func(context.Context, uint64) ([]Row, uint64, error) { return fail() },
					Gone:    func(error) bool { return false },
				}
				w := New(&Watcher{
					Operator: table, Servers: table, Log: func(string, ...any) {},
					Now:        func() time.Duration { return time.Hour + time.Since(start) },
					AskAfter:   func() time.Duration { return time.Second },
					MaxBackoff: func() time.Duration { return tt.backoff },
				})
				ctx, cancel := context.WithTimeout(t.Context(), away)
				defer cancel()
				if tt.peers {
					go func() {
						for ctx.Err() == nil {
							w.config.prove(w.Now())
							time.Sleep(300 * time.Millisecond)
						}
					}()
				}
				w.follow(ctx, "configuration", table, &w.config, func(batch) bool { return true })
				// The peer ends.
				time.Sleep(time.Second)
				c.Assert(calls.Load() > 0, qt.IsTrue)
				c.Assert(calls.Load() <= tt.most, qt.IsTrue, qt.Commentf("%d calls", calls.Load()))
			})
		})
	}
}
