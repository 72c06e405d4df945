// Package pauser waits between tries.
package pauser

import (
	"context"
	"time"
)

// Pause waits, and returns false as soon as the context ends.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
