package conductor

import (
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/pacer"
	"papayapaddle/internal/relayer"
	"papayapaddle/internal/timer"
	"papayapaddle/internal/watcher"
)

// recordLimit records the limit that a server names in a response.
func (n *node) recordLimit(s *cataloger.Server, requestID string, sentAt time.Duration, info relayer.ResponseInfo) {
	if info.InvalidLimit != "" {
		n.log("server-limit-unreadable", "server", s.ID, "request", requestID, "value", info.InvalidLimit[:min(len(info.InvalidLimit), maxLoggedValue)])
	}
	if !info.LimitNamed {
		if _, limited := n.limits.Rate(s.ID); !limited || info.InvalidLimit != "" || info.RequestID != requestID {
			// The answer to another request may be old, and lifts no limit.
			return
		}
	}
	statement := pacer.Statement{Named: info.LimitNamed, PerSecond: info.Limit, SentAt: sentAt, HeardAt: timer.SinceBoot()}
	if n.limits.Record(s.ID, s.StartedUnixMilli, statement) {
		n.logLimit(s.ID, info.LimitNamed, info.Limit, "request", requestID)
	}
}

// logLimit logs the new limit of a server and how this router learned of it.
func (n *node) logLimit(server string, named bool, perSecond float64, source ...any) {
	if !named {
		n.metrics.increment("server-limits-lifted")
		n.log("server-limit-lifted", append([]any{"server", server}, source...)...)
		return
	}
	n.metrics.increment("server-limits-named")
	n.log("server-limit", append([]any{"server", server, "per-second", perSecond}, source...)...)
}

// retainLimits updates which incarnations of servers are listed.
func (n *node) retainLimits(set *watcher.ServerSet) {
	listed := make(map[string]int64, len(set.ByID))
	for id, s := range set.ByID {
		listed[id] = s.StartedUnixMilli
	}
	n.limits.Retain(timer.SinceBoot(), listed)
}
