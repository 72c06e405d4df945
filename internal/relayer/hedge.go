package relayer

import (
	"context"
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/hedger"
)

// A hedge is a standby (standby.go) that starts before the server of the first attempt counts as silent: when the
// answer is later than usual. It needs a server that can start it now.

// Hedging starts hedges. Hedger must be set.
type Hedging struct {
	Hedger *hedger.Hedger
	// Work returns the work of a request. If nil, each one is 1.
	Work func(*Call) float64
	// MayUse reports whether a server may get a hedge. If nil, each one may.
	MayUse func(*cataloger.Server) bool
	// MayRetry reports whether a hedge leaves enough of a service's retry budget to retries. If nil, it does.
	MayRetry func(service string) bool
}

// Reasons for refused hedges in addition to those of package hedger and those of refusals.
const (
	reasonHedgeDeadline      hedger.Reason = "deadline"
	reasonHedgeConfiguration hedger.Reason = "configuration"
	reasonHedgeRetryBudget   hedger.Reason = "retry-budget"
	reasonHedgeSuspect       hedger.Reason = "may-crash-servers"
	reasonHedgeServer        hedger.Reason = "server-not-allowed"
)

// hedge is the hedging of one request that may be repeated. It belongs to the goroutine that serves the request.
type hedge struct {
	x    *exchange
	key  hedger.Key
	work float64
	// server is the server of the first attempt, and startedAt when that started.
	server    *cataloger.Server
	startedAt time.Time
	// delay is the time until a hedge is due, or 0 if none is to start any more.
	delay time.Duration
	// started is true once a hedge has started. firstRecorded is true once the time of the first attempt
	// is recorded, and answered once an answer is.
	started, firstRecorded, answered bool
	// suspect is true if the failure of the first attempt or the hedge showed that the request may crash servers.
	suspect bool
}

// armHedge counts the work of the request at its first attempt. It returns nil if the request is not hedged, and at
// later attempts.
func (x *exchange) armHedge(server *cataloger.Server) *hedge {
	if x.Hedging == nil || x.workCounted {
		return nil
	}
	x.workCounted = true
	c, now, work := &x.call, time.Now(), 1.0
	if x.Hedging.Work != nil {
		work = x.Hedging.Work(c)
	}
	x.Hedging.Hedger.RecordStart(now, c.Service.Name, work, x.assignmentWait)
	if !c.Route.Retryable() || c.Route.MaxAttempts < 2 || c.LastEventID != "" || x.testsVerdict {
		return nil
	}
	h := &hedge{
		x: x, work: work, server: server, startedAt: now,
		key: hedger.Key{Service: c.Service.Name, Route: c.Route.Name, Size: hedger.SizeClass(c.PromptTokens)},
	}
	x.hedge = h
	plan, reason := x.Hedging.Hedger.Plan(now, h.key, x.assignmentWait)
	switch {
	case reason != "":
	case x.isShuttingDown():
		reason = reasonShuttingDown
	case now.Add(plan.Delay + plan.Typical).After(c.Deadline):
		reason = reasonHedgeDeadline
	}
	if reason != "" {
		// These are all requests of a service, late or not, so they have no log line.
		x.Hedging.Hedger.RecordRefusal(now, c.Service.Name, reason)
		return h
	}
	h.delay = plan.Delay
	return h
}

func (x *exchange) isShuttingDown() bool {
	start, _ := x.Shutdown()
	return !start.IsZero()
}

// armed reports whether a hedge may become due.
func (h *hedge) armed() bool { return h != nil && h.delay > 0 }

// dueAt returns when a hedge is due.
func (h *hedge) dueAt() time.Time { return h.startedAt.Add(h.delay) }

// disarm prevents a hedge from starting.
func (h *hedge) disarm() {
	if h != nil {
		h.delay = 0
	}
}

// take reports whether to seek a server for a hedge that has become due. It is due once.
func (h *hedge) take() bool {
	h.delay = 0
	reason := h.check()
	if reason == "" {
		reason = h.x.Hedging.Hedger.Check(time.Now(), h.key.Service, h.work)
	}
	if reason != "" {
		h.refuse(reason)
	}
	return reason == ""
}

// check returns why a hedge may not be sent now, or "", whatever server it gets. It takes nothing from a budget.
func (h *hedge) check() hedger.Reason {
	x := h.x
	switch {
	case x.isShuttingDown() || x.isAborted():
		return reasonShuttingDown
	case !h.configAllows():
		return reasonHedgeConfiguration
	case x.Quarantine != nil && x.Quarantine.IsSuspect(h.server, x.identity):
		return reasonHedgeSuspect
	case !x.MayRetry(h.key.Service) || x.Hedging.MayRetry != nil && !x.Hedging.MayRetry(h.key.Service):
		return reasonHedgeRetryBudget
	}
	return ""
}

// configAllows reports whether a configuration that is known to be current would send the request to its service
// and permits another attempt.
func (h *hedge) configAllows() bool {
	x := h.x
	config := x.CurrentConfig()
	if config.Catalog == nil || !x.isProven(config) {
		return false
	}
	if config.Catalog == x.config.Catalog {
		return true
	}
	route, workspace, denied := x.match(config, x.req, x.call.APIKey)
	return denied == nil && workspace == x.call.Workspace && route.LeadsTo(h.key.Service) &&
		config.Catalog.Services[h.key.Service] != nil && route.Retryable() && route.MaxAttempts >= 2
}

// start reports whether a hedge may be sent to the offered server, and counts it if so. It logs a refusal.
func (h *hedge) start(ctx context.Context, offer standbyOffer) bool {
	if ctx.Err() != nil {
		// The end of the request ended the search, which shows nothing of the service.
		return false
	}
	x, now, service := h.x, time.Now(), h.key.Service
	reason := h.checkOffer(offer)
	if reason == "" {
		reason = x.Hedging.Hedger.Start(now, service, h.work)
	}
	if reason == "" && !x.AllowRetry(service) {
		x.Hedging.Hedger.Withdraw(now, service, h.work)
		reason = reasonHedgeRetryBudget
	}
	if reason != "" {
		h.refuse(reason)
		return false
	}
	h.started = true
	x.Log("hedge-started", "request", x.call.ID, "server", offer.assignment.Server.ID, "beside", h.server.ID,
		"after-ms", now.Sub(h.startedAt).Milliseconds(), "work", int(h.work))
	return true
}

func (h *hedge) checkOffer(offer standbyOffer) hedger.Reason {
	x := h.x
	if r := offer.refusal; r != nil {
		x.Hedging.Hedger.RecordShortage(time.Now(), h.key.Service, hedger.NoRoomTime)
		return hedger.Reason(r.Reason)
	}
	if x.Hedging.MayUse != nil && !x.Hedging.MayUse(offer.assignment.Server) {
		return reasonHedgeServer
	}
	if reason := h.check(); reason != "" {
		return reason
	}
	// A hedge does not test a verdict: its answer may be canceled.
	if _, refused := x.quarantineVerdict(); refused || x.testsVerdict {
		return reasonRequestQuarantined
	}
	return ""
}

// refuse counts a hedge that does not start.
func (h *hedge) refuse(reason hedger.Reason) {
	x, now := h.x, time.Now()
	if log, unlogged := x.Hedging.Hedger.RecordRefusal(now, h.key.Service, reason); log {
		x.Log("hedge-refused", "request", x.call.ID, "service", h.key.Service, "server", h.server.ID, "reason", reason,
			"after-ms", now.Sub(h.startedAt).Milliseconds(), "unlogged", unlogged)
	}
}

// recordFailure notes what the failure of one of two attempts shows of the request.
func (h *hedge) recordFailure(failure *attemptFailure) {
	if h != nil && h.started && failure != nil && failure.mayCrashServers {
		h.suspect = true
	}
}

// isSuspect reports whether no other server may get the request, as one of two attempts failed.
func (h *hedge) isSuspect() bool { return h != nil && h.suspect }

// recordFirst records the time of the first attempt: until its answer began or, if it was canceled, until then.
func (h *hedge) recordFirst(canceled bool) {
	if h == nil || h.firstRecorded {
		return
	}
	h.firstRecorded = true
	now := time.Now()
	h.x.Hedging.Hedger.RecordTime(now, h.key, now.Sub(h.startedAt), canceled)
}

// recordAnswer records that an answer began, and whether it is that of the hedge.
func (h *hedge) recordAnswer(byHedge bool, server *cataloger.Server) {
	if h == nil || h.answered {
		return
	}
	h.answered = true
	x, now := h.x, time.Now()
	x.Hedging.Hedger.RecordAnswer(now, h.key.Service, now.Sub(h.startedAt))
	if !h.started {
		return
	}
	x.Hedging.Hedger.RecordEnd(now, h.key.Service, byHedge)
	if byHedge {
		x.Log("hedge-won", "request", x.call.ID, "server", server.ID, "beside", h.server.ID,
			"after-ms", now.Sub(h.startedAt).Milliseconds())
	}
}

// end counts a hedge of a request that got no answer.
func (h *hedge) end() {
	if h != nil && h.started && !h.answered {
		h.answered = true
		h.x.Hedging.Hedger.RecordEnd(time.Now(), h.key.Service, false)
	}
}

// reportShortage tells the hedger that a request got no room.
func (x *exchange) reportShortage() {
	if x.Hedging != nil && x.call.Service != nil {
		x.Hedging.Hedger.RecordShortage(time.Now(), x.call.Service.Name, hedger.ShortageTime)
	}
}

// seekHedge asks for a server in the background that can start a hedge now.
func (x *exchange) seekHedge(ctx context.Context) standbySearch {
	call := x.call
	call.Resumed, call.Standby, call.Hedge = false, true, true
	search := x.seekServer(ctx, call)
	search.hedge = true
	return search
}
