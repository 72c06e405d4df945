package admitter

import (
	"math"
	"time"
)

const (
	// utilizationTimeConstant is the span over which the use of an engine is smoothed.
	utilizationTimeConstant = time.Second
	// maxOverflowUtilization is the use below which an engine has room for prompts whose home is
	// elsewhere: they read again what their home keeps, and the prompts that have
	// their home here must still find it ready.
	maxOverflowUtilization = 0.4
)

// utilization is the smoothed part of the time in which an engine could not begin another
// request. The load that it answers: prompts whose home is full while other engines
// idle.
type utilization struct {
	value     float64
	updatedAt time.Time
}

// update takes in that the engine has been closed until a moment since the last look.
func (u *utilization) update(now, busyUntil time.Time) {
	elapsed := now.Sub(u.updatedAt)
	switch {
	case u.updatedAt.IsZero():
		u.updatedAt = now
		return
	case elapsed <= 0:
		return
	}
	busy := min(max(busyUntil.Sub(u.updatedAt), 0), elapsed)
	weight := 1 - math.Exp(-elapsed.Seconds()/utilizationTimeConstant.Seconds())
	u.value += weight * (busy.Seconds()/elapsed.Seconds() - u.value)
	u.updatedAt = now
}

// updateUtilization brings the use up to date; it must be called before anything changes.
func (e *engineState) updateUtilization(now time.Time) {
	busyUntil := e.prefillDoneAt.Add(-maxPrefillBacklog)
	if len(e.running) >= e.concurrencyLimit() {
		busyUntil = now
	}
	if now.Before(e.suspendedUntil) {
		busyUntil = now
	}
	e.utilization.update(now, busyUntil)
}

// canTakeOverflow says whether an ask whose home is elsewhere may begin here at once.
func (e *engineState) canTakeOverflow(now time.Time, req *Request) bool {
	if len(e.queue) > 0 || e.utilization.value >= maxOverflowUtilization || !e.canStart(now, req) {
		return false
	}
	start := now.Add(e.prefillBacklog(now))
	return !start.After(req.latestStart(e.prefillTime(e.prefixCache.uncachedTokens(req.Prompt, req.Parts))))
}
