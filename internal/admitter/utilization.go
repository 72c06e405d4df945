package admitter

import (
	"math"
	"time"

	"papayapaddle/internal/pacer"
)

const (
	// utilizationTimeConstant is the time constant of the smoothing of utilization.
	utilizationTimeConstant = time.Second
	// maxOverflowUtilization is the utilization below which an engine accepts overflow
	// requests. They prefill again what their home server has cached, and must leave capacity
	// for the prompts whose home is this server.
	maxOverflowUtilization = 0.4
)

// utilization is the smoothed fraction of time in which an engine could not start another
// request. It serves to find servers for overflow requests, whose home server is full while
// other engines are idle.
type utilization struct {
	value     float64
	updatedAt time.Time
}

// update records that the engine was busy from the last update until busyUntil, and idle
// after that.
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

// updateUtilization updates the utilization. It must be called before any change of the
// engine's state.
func (e *engineState) updateUtilization(now time.Time) {
	busyUntil := e.prefillDoneAt.Add(-maxPrefillBacklog)
	if len(e.running) >= e.concurrencyLimit() {
		busyUntil = now
	}
	if e.isSuspended(now) {
		busyUntil = now
	}
	if next := e.pace.next(now, 0); next.After(busyUntil) {
		busyUntil = next
	}
	e.utilization.update(now, busyUntil)
}

// canTakeOverflow reports whether the engine has idle capacity to start an overflow request
// immediately.
func (e *engineState) canTakeOverflow(now time.Time, req *Request) bool {
	if e.pace.cold.Phase == pacer.Cold {
		// What starts here must warm the server for the prompts whose home it is.
		return false
	}
	if len(e.queue) > 0 || e.utilization.value >= maxOverflowUtilization || !e.canStart(now, req) {
		return false
	}
	start := now.Add(e.prefillBacklog(now))
	return !start.After(req.latestStart(e.prefillTime(e.prefixCache.uncachedTokens(req.Prompt, req.Parts))))
}
