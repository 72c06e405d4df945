package conductor

import (
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/excluder"
	"papayapaddle/internal/relayer"
	"papayapaddle/internal/timer"
	"papayapaddle/internal/watcher"
)

// maxLoggedValue limits the characters of a value of a server in the log.
const maxLoggedValue = 64

func excludedServer(s *cataloger.Server) excluder.Server {
	return excluder.Server{ID: s.ID, Address: s.Address, StartedUnixMilli: s.StartedUnixMilli}
}

// handleServerResponse records what a server says of itself in a response: its limit, that it is shutting
// down, or that it wants a pause.
func (n *node) handleServerResponse(s *cataloger.Server, requestID string, sentAt time.Duration, info relayer.ResponseInfo) {
	n.recordLimit(s, requestID, sentAt, info)
	n.recordCold(s, info)
	if info.InvalidPause != "" {
		n.log("server-pause-unreadable", "server", s.ID, "request", requestID, "value", info.InvalidPause[:min(len(info.InvalidPause), maxLoggedValue)])
	}
	if info.Leaving && n.excluder.Leave(excludedServer(s)) {
		n.sender.Retire(s.ID, s.Address)
		n.logExclusion(s, excluder.CauseLeaving, requestID, 0)
	}
	if info.Pause > 0 {
		now := timer.SinceBoot()
		if until, started := n.excluder.Pause(now, excludedServer(s), info.Pause); started {
			n.logExclusion(s, excluder.CausePause, requestID, until-now)
		}
	}
}

func (n *node) logExclusion(s *cataloger.Server, cause excluder.Cause, requestID string, d time.Duration) {
	n.metrics.increment("servers-excluded-" + string(cause))
	n.log("server-excluded", "server", s.ID, "address", s.Address, "cause", cause, "for-ms", d.Milliseconds(), "request", requestID)
}

// maySend reports whether a server may get a request now.
func (n *node) maySend(s *cataloger.Server) bool {
	now := timer.SinceBoot()
	if !n.outsideEvacuatedZones(s) {
		n.countMoved(s.ID)
		return false
	}
	if n.evacuations.Resuming(now) {
		return false
	}
	cause, back := n.excluder.Send(now, excludedServer(s))
	if back {
		n.metrics.increment("servers-back")
		n.log("server-back", "server", s.ID, "address", s.Address)
	}
	if cause == "" && n.isCold(s.ID) {
		n.metrics.increment("cold-starts")
	}
	return cause == ""
}

// isExcluded reports whether a server gets no requests now.
func (n *node) isExcluded(s *cataloger.Server) bool {
	cause, _ := n.excluder.Check(timer.SinceBoot(), excludedServer(s))
	return cause != ""
}

// withoutExcluded returns the servers that may get requests. If there are none, soonest is the time until
// the first pause of one ends, or 0 if none is paused.
func (n *node) withoutExcluded(servers []*cataloger.Server) (allowed []*cataloger.Server, soonest time.Duration) {
	if n.excluder.Empty() {
		return servers, 0
	}
	now := timer.SinceBoot()
	for i, s := range servers {
		cause, until := n.excluder.Check(now, excludedServer(s))
		switch {
		case cause == "" && len(allowed) == i:
			// The list is not copied as long as no server is left out.
			allowed = servers[:i+1]
		case cause == "":
			allowed = append(allowed, s)
		default:
			if cause == excluder.CausePause && (soonest == 0 || until-now < soonest) {
				soonest = until - now
			}
			allowed = allowed[:len(allowed):len(allowed)]
		}
	}
	return allowed, soonest
}

// reasonServersPaused: all servers of a service have asked for a pause.
const reasonServersPaused = "servers-paused"

// pausedRefusal returns the refusal of a call if all servers of its service that are not shutting down
// have asked for a pause, or nil.
func (n *node) pausedRefusal(set *watcher.ServerSet, c *relayer.Call) *relayer.Refusal {
	if set == nil {
		return nil
	}
	allowed, soonest := n.withoutExcluded(set.ByService[c.Service.Name])
	if len(allowed) > 0 || soonest == 0 {
		return nil
	}
	return &relayer.Refusal{Reason: reasonServersPaused, RetryAfter: soonest}
}

// retainExclusions updates which incarnations of servers are listed.
func (n *node) retainExclusions(set *watcher.ServerSet) {
	listed := make(map[excluder.Server]bool, len(set.ByID))
	for _, s := range set.ByID {
		listed[excludedServer(s)] = true
	}
	n.excluder.Retain(timer.SinceBoot(), listed)
}
