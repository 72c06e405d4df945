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
	// hedge is true if the search is for a hedge.
	hedge bool
}

// standbyOffer is the result of a search: an assignment or a refusal.
type standbyOffer struct {
	assignment *Assignment
	refusal    *Refusal
}

// giveBack releases the offered slot, if there is one.
func (o standbyOffer) giveBack() {
	if o.assignment != nil {
		o.assignment.Release(AttemptResult{Inconclusive: true})
	}
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

// handleWatch seeks a hedge when one is due, and handles silence later.
func (s *streamState) handleWatch(ctx context.Context) {
	h := s.x.hedge
	if !h.armed() {
		s.handleSilence(ctx)
		return
	}
	s.watchUntil(s.silenceAt())
	if len(s.attempts) == 1 && s.attempts[0].failure == nil && s.standby.offers == nil && h.take() {
		s.standby = s.x.seekHedge(ctx)
	}
	h.disarm()
}

// silenceAt returns when the server of a running attempt counts as silent next.
func (s *streamState) silenceAt() time.Time {
	var next time.Time
	for _, a := range s.attempts {
		if a.silent || a.failure != nil {
			continue
		}
		if t := a.lastEventAt.Add(s.eventTimeout(a)); next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if next.IsZero() {
		next = time.Now().Add(standbyRetryInterval)
	}
	return next
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
	if len(s.attempts) != 1 || s.standby.offers != nil || ctx.Err() != nil || x.hedge.isSuspect() {
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
	// A stream that has begun waits for a slot as if it were interrupted. One that has not takes only a free slot at
	// first: most servers that are merely at their limit go on soon, and a second prompt is more load on a full fleet.
	call.Resumed, call.Standby = s.eventCount > 0, s.eventCount == 0 && s.searches == 0
	s.searches++
	s.standby = x.seekServer(ctx, call)
}

// seekServer asks for a server for a second attempt in the background.
func (x *exchange) seekServer(ctx context.Context, call Call) standbySearch {
	call.ExcludedServers = slices.Clone(call.ExcludedServers)
	ctx, cancel := context.WithCancel(ctx)
	offers := make(chan standbyOffer)
	go func() {
		assignment, refusal := x.AssignServer(ctx, &call)
		offer := standbyOffer{assignment, refusal}
		select {
		case offers <- offer:
		case <-ctx.Done():
			offer.giveBack()
		}
	}()
	return standbySearch{offers: offers, cancel: cancel}
}

// handleOffer starts the standby if it is still allowed.
func (s *streamState) handleOffer(ctx context.Context, offer standbyOffer) {
	x := s.x
	forHedge := s.standby.hedge
	s.standby.stop()
	if forHedge {
		if !x.hedge.start(ctx, offer) {
			offer.giveBack()
			return
		}
		s.start(ctx, offer.assignment)
		s.hedged = s.attempts[len(s.attempts)-1]
		return
	}
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
		offer.giveBack()
		x.Log("standby-refused", "request", x.call.ID, "server", s.leader.server.ID, "reason", reason,
			"silent-ms", time.Since(s.leader.lastEventAt).Milliseconds())
		return
	}
	x.Log("standby-started", "request", x.call.ID, "server", offer.assignment.Server.ID, "beside", s.leader.server.ID,
		"events", s.eventCount, "silent-ms", time.Since(s.leader.lastEventAt).Milliseconds())
	s.start(ctx, offer.assignment)
}
