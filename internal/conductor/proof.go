package conductor

import (
	"net/http"
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/prober"
	"papayapaddle/internal/sender"
	"papayapaddle/internal/timer"
	"papayapaddle/internal/verifier"
	"papayapaddle/platform"
)

// newProber returns what finds out whether servers outlived their responses.
func newProber(n *node, s *sender.Sender) *prober.Prober {
	booted := time.Now().Add(-timer.SinceBoot())
	return &prober.Prober{
		Sender: s, MayProbe: n.mayProbe,
		PausedUntil: func(s *cataloger.Server) time.Time { return booted.Add(n.excluder.PausedUntil(excludedServer(s))) },
		Replaced:    n.isReplaced,
		Encode: func(s *cataloger.Server, misdirected bool, id string) (string, http.Header) {
			return platform.EncodeProof(s.ID, n.healthPath(s), id, misdirected)
		},
		Decode: decodeProof,
		Responded: func(s *cataloger.Server, id string, sentAt time.Duration, status int, h http.Header) {
			// A misdirected request may have been refused by another server.
			info := platform.Codec{}.DecodeResponse(status, h)
			if status != http.StatusMisdirectedRequest && (info.Instance == "" || info.Instance == s.ID) {
				n.handleServerResponse(s, id, sentAt, info)
			}
		},
		Sent: func(_ *cataloger.Server, health bool) {
			name := "proof-requests"
			if health {
				name = "health-requests"
			}
			n.metrics.increment(name)
		},
		Decided: func(_ *cataloger.Server, v verifier.Verdict, cause verifier.Cause) {
			if v == verifier.Outlived {
				n.metrics.increment("ends-proved")
				return
			}
			n.metrics.increment("ends-unproved-" + string(cause))
		},
	}
}

// decodeProof decodes the response to a request that shows whether a server is alive, and reports whether it names the
// ID of that request.
func decodeProof(status int, h http.Header, id string) (verifier.Reply, bool) {
	info := platform.Codec{}.DecodeResponse(status, h)
	misdirected := status == http.StatusMisdirectedRequest
	return verifier.Reply{
		Instance: info.Instance, Misdirected: misdirected, Own: info.Signed || info.NotRun && !misdirected,
	}, info.RequestID == id
}

// healthPath returns the target of health requests to a server, or "" if it serves none.
func (n *node) healthPath(s *cataloger.Server) string {
	if c := n.watcher.Catalog(); c != nil && c.Services[s.Service] != nil {
		return c.Services[s.Service].HealthPath
	}
	return ""
}

// mayProbe reports whether a health request may be sent to a server now: not to one that gets no other requests, nor
// to one whose requests are counted, as those of a cold server are.
func (n *node) mayProbe(s *cataloger.Server) bool {
	_, limited := n.limits.Rate(s.ID)
	return n.healthPath(s) != "" && n.watcher.Usable(s) && !n.isExcluded(s) && !limited && !n.isCold(s.ID)
}

// isReplaced reports whether a server is listed as a later incarnation.
func (n *node) isReplaced(s *cataloger.Server) bool {
	set := n.watcher.ServerSet()
	if set == nil || set.ByID[s.ID] == nil {
		return false
	}
	listed := set.ByID[s.ID]
	return !listed.SameIncarnation(s) && listed.StartedUnixMilli >= s.StartedUnixMilli
}
