package conductor

import (
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/messenger"
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

// applyLimitNews applies limits that a peer has heard of.
func (n *node) applyLimitNews(peer string, news []pacer.News) {
	for _, changed := range n.limits.ApplyNews(timer.SinceBoot(), news) {
		n.logLimit(changed.Server, changed.Named, changed.PerSecond, "peer", peer, "age-ms", changed.Ago.Milliseconds())
	}
}

// limitNews returns the limit of a server for the owner that is asked about it.
func (n *node) limitNews(server string) []pacer.News {
	if news, limited := n.limits.Of(timer.SinceBoot(), server); limited {
		return []pacer.News{news}
	}
	return nil
}

// isLimited reports whether the owner of a server decides when requests start there: it names a limit, or is cold.
func (n *node) isLimited(server string) bool {
	_, limited := n.limits.Rate(server)
	return limited || n.isColdOrWarming(server)
}

// withoutLimit returns the servers that name no limit and are not cold.
func (n *node) withoutLimit(servers []*cataloger.Server) []*cataloger.Server {
	if len(n.limits.Rates()) == 0 && n.cold.servers.Empty() {
		return servers
	}
	var out []*cataloger.Server
	for _, s := range servers {
		if !n.isLimited(s.ID) {
			out = append(out, s)
		}
	}
	return out
}

// handleAdmit answers the admission request of a peer.
func (n *node) handleAdmit(args *messenger.AdmitArgs) messenger.AdmitReply {
	n.applyLimitNews(args.Ask.Router, args.Limits)
	n.applyColdNews(args.Ask.Router, args.Cold)
	return n.allocator.HandleAdmit(args)
}

// ownedLimit returns the part of a server's limit that its owner may use. Routers on the other side of a
// network partition may have an owner of their own, so each side takes the share of its routers.
func (n *node) ownedLimit(server string) (perSecond float64, limited bool) {
	perSecond, limited = n.limits.Rate(server)
	if !limited {
		return 0, false
	}
	return perSecond * reachableShare(len(n.membership.Reachable()), n.membership.FleetSize()), true
}

// reachableShare returns the share of the fleet that this router can reach, itself included.
func reachableShare(reachable, fleetSize int) float64 {
	return min(1, float64(reachable)/float64(max(1, fleetSize)))
}

// retainLimits updates which incarnations of servers are listed.
func (n *node) retainLimits(set *watcher.ServerSet) {
	listed := make(map[string]int64, len(set.ByID))
	for id, s := range set.ByID {
		listed[id] = s.StartedUnixMilli
	}
	n.limits.Retain(timer.SinceBoot(), listed)
}
