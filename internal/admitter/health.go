package admitter

import "time"

const (
	// failuresToSuspend is the number of consecutive failures that suspend a server.
	failuresToSuspend = 3
	// minSuspension and maxSuspension limit how long a failing server gets no requests.
	minSuspension = time.Second
	maxSuspension = 8 * time.Second
)

// health is what the failures of a server's requests show of it. A silence is a failure that may still end: a sound
// server may pause.
type health struct {
	// failures and silences count the failures since the latest first event or event after a silence. Only one
	// of them counts per request and silence.
	failures, silences int
	suspendedUntil     time.Time
	// suspension is the duration of the latest suspension, zero if there was an event since.
	suspension time.Duration
}

// failing reports whether only a single request may run on the server, which probes whether it works again.
func (h *health) failing() bool { return h.failures+h.silences >= failuresToSuspend }

func (h *health) recordFailure(now time.Time) {
	h.failures++
	if h.failing() {
		h.suspend(now)
	}
}

// recordSilence counts a request that is silent. All silences before the end of the first suspension are those of one
// pause; after that, only probes show that the server is still silent.
func (h *health) recordSilence(now time.Time, probe bool) {
	h.silences++
	if h.failing() && (probe || h.suspension == 0) {
		h.suspend(now)
	}
}

// suspend suspends the server, twice as long as before.
func (h *health) suspend(now time.Time) {
	h.suspension = min(max(h.suspension*2, minSuspension), maxSuspension)
	h.suspendedUntil = now.Add(h.suspension)
}

// recordEvent records a sign of life. It ends a suspension unless there were enough failures other than silences.
func (h *health) recordEvent() {
	if h.suspension > 0 && h.failures < failuresToSuspend {
		h.suspendedUntil = time.Time{}
	}
	h.failures, h.silences, h.suspension = 0, 0, 0
}

// isSuspended reports whether the server gets no requests: during a suspension, and while requests that are silent
// hold all its slots, so that none can probe it.
func (e *engineState) isSuspended(now time.Time) bool {
	return now.Before(e.health.suspendedUntil) ||
		e.health.failing() && len(e.running) >= max(1, e.Slots) && e.awaitedCount() == 0
}

// awaitedCount returns the number of running requests that are not silent.
func (e *engineState) awaitedCount() int {
	n := 0
	for _, r := range e.running {
		if !r.silent {
			n++
		}
	}
	return n
}

// recordOutcome updates the health of the server with the outcome of a running request.
func (e *engineState) recordOutcome(now time.Time, r *runningRequest, o Outcome) {
	if o.First {
		r.silent = false
		e.health.recordEvent()
	}
	switch {
	case r.silent:
		// The silence was counted when it began.
	case o.Failed && !o.Done:
		r.silent = true
		e.health.recordSilence(now, r.probe)
	case o.Failed:
		e.health.recordFailure(now)
	case o.Done && !o.Whole && r.probe && !r.prefilled:
		// The probe was not sent or got no event.
		e.health.recordSilence(now, true)
	}
}
