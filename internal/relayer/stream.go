package relayer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"papayapaddle/internal/sender"
)

const (
	// firstEventTimeoutObjectives and eventTimeoutGaps are the multiples of the route's
	// objective and maximum gap without an event after which a server counts as silent.
	firstEventTimeoutObjectives = 2
	eventTimeoutGaps            = 2
	// minEventTimeout is the lower limit of the event timeout, as shorter gaps do not indicate
	// a failure.
	minEventTimeout = time.Second
)

// streamState is the state of a stream across its attempts. Each attempt reads in a goroutine of its
// own; everything else, including the exchange, belongs to the goroutine that serves the request.
type streamState struct {
	x *exchange
	// lastID is the ID of the last event forwarded.
	lastID string
	// lastNumber is the last event ID as a number, valid if lastIsNumber.
	lastNumber   int64
	lastIsNumber bool
	// eventCount is the number of events forwarded.
	eventCount int
	// consecutive is true if all event IDs so far are consecutive numbers, so that a missing
	// event can be detected.
	consecutive bool

	// attempts are the running attempts: one, or a silent one and its standby.
	attempts []*streamAttempt
	// leader is the attempt whose event was forwarded last, or the first one of several that have sent none.
	leader  *streamAttempt
	updates chan streamUpdate

	// silent receives a value when watch expires. Both are unset for streams that cannot be resumed.
	silent  chan struct{}
	watch   *watchdog
	standby standbySearch
	// searches counts the searches for a standby since the last event.
	searches int
	// first is the first attempt of the request, and hedged its hedge.
	first, hedged *streamAttempt
}

var (
	// errOvertaken ends an attempt after another one has gone on.
	errOvertaken = errors.New("another attempt went on")
	// errRejected ends an attempt whose event cannot be forwarded.
	errRejected = errors.New("event rejected")
	// errFinished ends the attempts that are left when the request is finished.
	errFinished    = errors.New("request finished")
	errCallerWrite = errors.New("write to the caller failed")
)

// resumeFrom sets the last event that the caller received.
func (s *streamState) resumeFrom(lastID string) {
	n, err := strconv.ParseInt(lastID, 10, 64)
	s.lastNumber, s.lastIsNumber, s.consecutive = n, err == nil, err == nil
}

// serveStream serves a request whose response is a stream of events.
func (x *exchange) serveStream(ctx context.Context) {
	s := &streamState{x: x, consecutive: true, updates: make(chan streamUpdate)}
	defer func() {
		s.endAttempts()
		x.BodyBudget.Release(x.body)
	}()
	if lastID := x.call.LastEventID; lastID != "" && x.call.Route.Resumable {
		s.resumeFrom(lastID)
	}
	for {
		assignment, ok := x.assignServer(ctx)
		if !ok {
			return
		}
		s.start(ctx, assignment)
		failure := s.relay(ctx)
		if failure == nil {
			return
		}
		if x.req.Context().Err() != nil {
			x.setOutcome(outcomeCallerGone, statusClientClosedRequest)
			return
		}
		if !x.mayRetry(ctx, failure) {
			x.failRequest(ctx, failure)
			return
		}
		// Events that the caller claims to have received do not count, as any caller could
		// claim some in order to be served first.
		x.call.Resumed = s.eventCount > 0
	}
}

// start begins an attempt on the assigned server.
func (s *streamState) start(ctx context.Context, assignment *Assignment) {
	x := s.x
	a := &streamAttempt{
		server: assignment.Server, assignment: assignment, eventsBefore: s.eventCount, startedAt: time.Now(),
	}
	a.lastEventAt = a.startedAt
	a.request, a.sentAt = x.newRequest(assignment, s.lastID)
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	if len(s.attempts) == 0 {
		s.leader, x.serverID = a, a.server.ID
	}
	s.attempts = append(s.attempts, a)
	h := x.armHedge(a.server)
	if h != nil {
		s.first = a
	}
	next := a.startedAt.Add(s.eventTimeout(a))
	switch {
	case h.armed() && h.dueAt().Before(next):
		next = h.dueAt()
	case x.hedge != nil:
		x.hedge.disarm()
		next = s.silenceAt()
	}
	s.watchUntil(next)
	go a.run(x, s.updates)
}

// relay forwards the events of the running attempts. It returns nil when the request is finished, and the
// last failure once all attempts have failed.
func (s *streamState) relay(ctx context.Context) *attemptFailure {
	x := s.x
	var failure *attemptFailure
	// idle is done if no attempt is left that the end of the context would end.
	var idle <-chan struct{}
	for {
		select {
		case u := <-s.updates:
			if u.end == nil {
				if !s.handleEvent(u) {
					return nil
				}
				continue
			}
			if ctx.Err() != nil {
				return s.handleCancel(u)
			}
			if failure = s.handleEnd(u); failure == nil {
				return nil
			}
			x.hedge.disarm()
			x.hedge.recordFailure(failure)
			// A request whose only attempt failed is retried instead of hedged.
			if failure.mayCrashServers || s.standby.hedge {
				s.standby.stop()
			}
		case <-s.silent:
			s.handleWatch(ctx)
		case offer := <-s.standby.offers:
			s.handleOffer(ctx, offer)
		case <-idle:
			return failure
		}
		idle = nil
		if len(s.attempts) == 0 {
			if s.standby.offers == nil {
				return failure
			}
			// The search goes on for the next attempt.
			idle = ctx.Done()
		}
	}
}

// handleEvent forwards an event. It returns false if the caller cannot be written to, which finishes the request.
func (s *streamState) handleEvent(u streamUpdate) bool {
	x, a := s.x, u.attempt
	if a.failure != nil {
		return true
	}
	a.count(x)
	failure := s.forwardEvent(a, u)
	if failure == nil {
		return true
	}
	s.abandon(a, failure, errRejected)
	if errors.Is(failure.err, errCallerWrite) {
		x.setOutcome(outcomeCallerGone, statusClientClosedRequest)
		return false
	}
	return true
}

// forwardEvent forwards an event of an attempt unless the caller already received it.
func (s *streamState) forwardEvent(a *streamAttempt, u streamUpdate) *attemptFailure {
	x := s.x
	switch {
	case u.onlyComments && a != s.leader:
		return nil
	case !u.onlyComments:
		s.recordSignOfLife(a)
		if containsResponseHead(u.event) {
			return &attemptFailure{sent: true, reason: "answer-in-stream", err: errors.New("a response within the stream")}
		}
		a.events++
		if a.events == minAnswerEvents {
			x.reportEvidence(a.ctx, a.server, a.sentAt, u.resp, nil, true)
		}
	}
	id, hasID := eventID(u.event)
	isNew, failure := s.checkEvent(a, u, id, hasID)
	if failure != nil {
		return failure
	}
	if isNew {
		// The other attempt must end even if the caller takes a while to read this event.
		if !u.onlyComments {
			s.lead(a)
		}
		if failure := s.writeEvent(u, id, hasID); failure != nil {
			return failure
		}
	}
	if !u.onlyComments && a == s.leader {
		s.watchUntil(a.lastEventAt.Add(s.eventTimeout(a)))
	}
	if !u.flush {
		return nil
	}
	if err := x.respCtl.Flush(); err != nil {
		return &attemptFailure{sent: true, reason: "caller-gone", err: errors.Join(errCallerWrite, err)}
	}
	return nil
}

// recordSignOfLife records that a server has sent an event, whether or not the caller has it already.
func (s *streamState) recordSignOfLife(a *streamAttempt) {
	x, now := s.x, time.Now()
	if a.events == 0 || a.silent {
		a.assignment.ReportFirstEvent()
	}
	if a == s.first {
		x.hedge.recordFirst(false)
	}
	if a.silent {
		a.silent = false
		x.Log("server-went-on", "request", x.call.ID, "server", a.server.ID, "events", s.eventCount,
			"silent-ms", now.Sub(a.lastEventAt).Milliseconds())
	}
	a.lastEventAt, s.searches = now, 0
}

// lead makes an attempt the only one, as it has sent an event that the caller did not have. The server of
// another one must not work on.
func (s *streamState) lead(a *streamAttempt) {
	s.standby.stop()
	s.x.hedge.disarm()
	s.x.hedge.recordAnswer(a == s.hedged, a.server)
	if s.leader == a && len(s.attempts) == 1 {
		return
	}
	s.leader, s.x.serverID = a, a.server.ID
	for _, other := range s.attempts {
		if other != a {
			reason := "overtaken"
			if other.silent {
				reason = "silent"
			}
			s.abandon(other, &attemptFailure{sent: true, reason: reason, err: errOvertaken}, errOvertaken)
		}
	}
}

// handleEnd handles the end of an attempt. It returns nil if the request is finished.
func (s *streamState) handleEnd(u streamUpdate) *attemptFailure {
	x, a, resp := s.x, u.attempt, u.end.resp
	s.attempts = slices.DeleteFunc(s.attempts, func(other *streamAttempt) bool { return other == a })
	failure, complete := u.end.failure, false
	if failure == nil || failure.sent {
		a.count(x)
	}
	switch {
	case a.failure != nil:
	case failure != nil:
	case u.end.nonStream:
		failure, complete = s.handleNonStream(a.ctx, u.end)
		if h := x.hedge; failure == nil && h != nil && h.started {
			h.recordAnswer(a == s.hedged, a.server)
		}
	default:
		failure = s.finishStream(resp)
		complete = failure == nil
	}
	if a.failure == nil && a.events < minAnswerEvents {
		x.reportEvidence(a.ctx, a.server, a.sentAt, resp, failure, complete && a.events > 0)
	}
	if resp != nil {
		resp.Close(complete || u.end.drained)
	}
	u.end.responseEnd.stop()
	a.cancel(nil)
	if a.failure != nil {
		return a.failure
	}
	s.settle(a, resp, failure, complete)
	return failure
}

// handleCancel handles the ends of all attempts in their order after the context has ended them. It returns nil if
// the request is finished, and the last failure otherwise.
func (s *streamState) handleCancel(first streamUpdate) *attemptFailure {
	ends := map[*streamAttempt]streamUpdate{first.attempt: first}
	finished := false
	for len(ends) < len(s.attempts) {
		if u := <-s.updates; u.end != nil {
			ends[u.attempt] = u
		} else if !s.handleEvent(u) {
			finished = true
		}
	}
	var failure *attemptFailure
	for _, a := range slices.Clone(s.attempts) {
		if finished {
			s.abandon(a, &attemptFailure{sent: true, reason: "finished", err: errFinished}, errFinished)
		}
		failure = s.handleEnd(ends[a])
		finished = finished || failure == nil
	}
	if finished {
		return nil
	}
	return failure
}

// abandon closes the connection of an attempt and settles it. Its end is still received as an update.
func (s *streamState) abandon(a *streamAttempt, failure *attemptFailure, cause error) {
	if a.failure == nil {
		a.failure = failure
		a.cancel(cause)
		s.settle(a, nil, failure, false)
	}
}

// settle releases the slot of an attempt and logs its failure, if any.
func (s *streamState) settle(a *streamAttempt, resp *sender.Response, failure *attemptFailure, complete bool) {
	x := s.x
	s.release(a, resp, failure, complete)
	if failure == nil {
		return
	}
	if !failure.notRun {
		x.mayHaveRun = true
	}
	if !errors.Is(failure.err, errFinished) && !errors.Is(failure.err, errCallerWrite) {
		x.Log("attempt-failed", "request", x.call.ID, "server", a.server.ID,
			"reason", failure.reason, "not-run", failure.notRun, "events", s.eventCount,
			"silent-ms", time.Since(a.lastEventAt).Milliseconds(), "left-ms", time.Until(x.call.Deadline).Milliseconds(),
			"parts", describeSharedParts(x.call.Parts), "err", failure.err)
	}
}

// release returns the slot of an attempt that has ended and reports whether its server failed.
func (s *streamState) release(a *streamAttempt, resp *sender.Response, failure *attemptFailure, complete bool) {
	x := s.x
	wasSilent := time.Since(a.lastEventAt) >= s.eventTimeout(a)
	failed, inconclusive := failure != nil && !failure.notRun, false
	if a == s.first && failed && a.events == 0 && a.ctx.Err() != nil {
		x.hedge.recordFirst(true)
	}
	switch {
	case failed && x.req.Context().Err() != nil:
		// If the caller disconnects, the server has failed only if it was silent from the start.
		failed = a.events == 0 && wasSilent
	case failed && (errors.Is(failure.err, errOvertaken) || errors.Is(failure.err, errFinished)):
		failed, inconclusive = wasSilent, !wasSilent && a.events == 0
	case failed:
		failed = !errors.Is(failure.err, errCallerWrite)
	case failure == nil:
		failed = resp.Status >= http.StatusInternalServerError
	}
	a.assignment.Release(AttemptResult{
		// A silence is reported once.
		Failed: failed && !a.silent && !x.isAborted(), Inconclusive: inconclusive,
		Refused: failure != nil && failure.notRun && failure.sent, Duration: time.Since(a.startedAt),
		Complete: complete && a.eventsBefore == 0,
	})
}

// endAttempts ends and settles all attempts that still run.
func (s *streamState) endAttempts() {
	s.standby.stop()
	if s.watch != nil {
		s.watch.stop()
	}
	x := s.x
	defer func() { x.hedge.end() }()
	for _, a := range s.attempts {
		s.abandon(a, &attemptFailure{sent: true, reason: "finished", err: errFinished}, errFinished)
	}
	for len(s.attempts) > 0 {
		if u := <-s.updates; u.end != nil {
			s.handleEnd(u)
		}
	}
}

// eventTimeout returns how long the server of an attempt may send no event before it counts as silent. It reads the
// prompt before its first one, also when it continues a stream.
func (s *streamState) eventTimeout(a *streamAttempt) time.Duration {
	if a.events == 0 {
		return s.x.firstEventTimeout()
	}
	return max(minEventTimeout, eventTimeoutGaps*s.x.call.Route.MaxEventGap)
}

// firstEventTimeout returns how long a server may send nothing from the start of an attempt.
func (x *exchange) firstEventTimeout() time.Duration {
	return max(minEventTimeout, firstEventTimeoutObjectives*x.call.Route.LatencyObjective)
}
