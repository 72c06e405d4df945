package relayer

import (
	"context"
	"slices"
	"time"
)

// A standby is an attempt beside one whose server is silent. The first of both to send an event that the
// caller does not have goes on alone. The silent attempt is kept until then, as no standby may be allowed, get a slot
// or be faster.

// standbyRetryInterval is the time after which a standby is sought again.
const standbyRetryInterval = 500 * time.Millisecond

// standbySearch is the search for a server for a standby. The zero value is no search.
type standbySearch struct {
	offers chan standbyOffer
	cancel context.CancelFunc
}

// standbyOffer is the result of a search: an assignment or a refusal.
type standbyOffer struct {
	assignment *Assignment
	refusal    *Refusal
}

// stop ends the search, if there is one.
func (b *standbySearch) stop() {
	if b.cancel != nil {
		b.cancel()
	}
	*b = standbySearch{}
}

// watchUntil schedules the next call of handleSilence.
func (s *streamState) watchUntil(t time.Time) {
	if !s.x.call.Route.Resumable {
		return
	}
	if s.watch != nil && s.watch.extend(time.Until(t)) {
		return
	}
	if s.silent == nil {
		s.silent = make(chan struct{}, 1)
	}
	s.watch = newWatchdog(time.Until(t), func() {
		select {
		case s.silent <- struct{}{}:
		default:
		}
	})
}

// handleSilence reports the attempts that have become silent, and seeks a standby.
func (s *streamState) handleSilence(ctx context.Context) {
	x, now := s.x, time.Now()
	waiting := true
	for _, a := range s.attempts {
		silence := now.Sub(a.lastEventAt)
		if silence < s.eventTimeout(a) {
			waiting = false
			continue
		}
		if !a.silent && a.failure == nil {
			a.silent = true
			a.assignment.ReportSilence()
			x.Log("server-silent", "request", x.call.ID, "server", a.server.ID, "events", s.eventCount,
				"silent-ms", silence.Milliseconds(), "left-ms", time.Until(x.call.Deadline).Milliseconds())
		}
	}
	s.watchUntil(now.Add(standbyRetryInterval))
	if waiting && s.mayHaveStandby(ctx) {
		s.seekStandby(ctx)
	}
}

// mayHaveStandby reports whether a standby may be sought for the only attempt.
func (s *streamState) mayHaveStandby(ctx context.Context) bool {
	x := s.x
	if len(s.attempts) != 1 || s.standby.offers != nil || ctx.Err() != nil {
		return false
	}
	sent := x.sentAttempts
	if !s.attempts[0].counted {
		sent++
	}
	return sent < x.call.Route.MaxAttempts && len(x.call.ExcludedServers) < maxServersTried &&
		x.MayRetry(x.call.Service.Name) && x.mayContinue(x.CurrentConfig())
}

// seekStandby asks for a server in the background.
func (s *streamState) seekStandby(ctx context.Context) {
	x := s.x
	call := x.call
	call.ExcludedServers = slices.Clone(call.ExcludedServers)
	// A stream that has begun waits for a slot as if it were interrupted. One that has not takes only a free slot at
	// first: most servers that are merely at their limit go on soon, and a second prompt is more load on a full fleet.
	call.Resumed, call.Standby = s.eventCount > 0, s.eventCount == 0 && s.searches == 0
	s.searches++
	ctx, cancel := context.WithCancel(ctx)
	offers := make(chan standbyOffer)
	s.standby = standbySearch{offers: offers, cancel: cancel}
	go func() {
		assignment, refusal := x.AssignServer(ctx, &call)
		select {
		case offers <- standbyOffer{assignment, refusal}:
		case <-ctx.Done():
			if assignment != nil {
				assignment.Release(AttemptResult{Inconclusive: true})
			}
		}
	}()
}

// handleOffer starts the standby if it is still allowed.
func (s *streamState) handleOffer(ctx context.Context, offer standbyOffer) {
	x := s.x
	s.standby.stop()
	reason := ""
	if offer.refusal != nil {
		reason = offer.refusal.Reason
	} else if !x.mayContinue(x.CurrentConfig()) {
		reason = "configuration"
	} else if _, refused := x.quarantineVerdict(); refused {
		reason = reasonRequestQuarantined
	} else if !x.AllowRetry(x.call.Service.Name) {
		reason = "retry-budget"
	}
	if reason != "" {
		if offer.assignment != nil {
			offer.assignment.Release(AttemptResult{Inconclusive: true})
		}
		x.Log("standby-refused", "request", x.call.ID, "server", s.leader.server.ID, "reason", reason,
			"silent-ms", time.Since(s.leader.lastEventAt).Milliseconds())
		return
	}
	x.Log("standby-started", "request", x.call.ID, "server", offer.assignment.Server.ID, "beside", s.leader.server.ID,
		"events", s.eventCount, "silent-ms", time.Since(s.leader.lastEventAt).Milliseconds())
	s.start(ctx, offer.assignment)
}
