package admitter

import "time"

// isEvacuated reports whether the zone of a server is evacuated.
func (a *Admitter) isEvacuated(e *engineState) bool { return a.Evacuated != nil && a.Evacuated(e.ID) }

// refuseEvacuated refuses all requests that wait for a server whose zone is evacuated, so that they go to other servers. It
// reports whether the zone is. Running requests are left alone.
func (a *Admitter) refuseEvacuated(now time.Time, e *engineState) bool {
	if !a.isEvacuated(e) {
		return false
	}
	waiting := e.queue
	e.queue = nil
	for _, req := range waiting {
		a.refuse(now, e, Decision{Request: req, Reason: ReasonEvacuated})
	}
	return true
}
