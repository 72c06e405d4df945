// Package steerer chooses the model server for a prompt by prefix-cache affinity. Prompts
// with the same shared prefix go to one home server, which has the prefix in its cache. If
// waiting there costs more than another prefill of the prefix, a second server is chosen.
//
// The package does no I/O and does not read the clock.
package steerer

import (
	"cmp"
	"slices"
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/placer"
)

const (
	// candidateCount is the number of servers considered for a prompt. The first is its home
	// and has the shared prefix cached; the others would prefill it again.
	candidateCount = 2
	// prefillRate is the prefill rate in tokens per second used to compare the cost of
	// prefill with waiting.
	prefillRate = 40_000
	// prefillCostWeight is the weight of prefill time relative to waiting time. Repeated
	// prefill delays all requests at the server and evicts other prefixes from its cache.
	prefillCostWeight = 10
	// maxOverflowUtilization is the utilization below which a server is considered for
	// overflow requests. The owner of the server decides whether it accepts them.
	maxOverflowUtilization = 0.5
	// switchMargin is the minimum advantage of another server over the home server. Known
	// loads are a few hundred milliseconds old.
	switchMargin = 100 * time.Millisecond
)

// SharedPrefix describes the part of a prompt that it shares with other prompts.
type SharedPrefix struct {
	// Home identifies the prefix. Prompts with the same value have the same home server.
	Home string
	// Shared is the number of tokens in the prefix.
	Shared int
}

// Load is the last known load of a server.
type Load = admitter.Load

// RankServers returns the candidate servers for a prompt, best first. Excluded servers are
// omitted and suspended ones come last.
func RankServers(
	prefix SharedPrefix, servers []*cataloger.Server, loads map[string]Load, exclude []string,
) []*cataloger.Server {
	ranked := topByHash(prefix, servers, candidateCount, func(s *cataloger.Server) (int, bool) {
		return boolToInt(loads[s.ID].Suspended), !slices.Contains(exclude, s.ID)
	})
	switchCost := switchMargin +
		time.Duration(prefillCostWeight*float64(prefix.Shared)/prefillRate*float64(time.Second))
	cost := make(map[string]time.Duration, len(ranked))
	for i, s := range ranked {
		cost[s.ID] = loads[s.ID].Wait
		if i > 0 {
			cost[s.ID] += switchCost
		}
	}
	slices.SortStableFunc(ranked, func(a, b *cataloger.Server) int {
		return cmp.Or(
			cmp.Compare(boolToInt(loads[a.ID].Suspended), boolToInt(loads[b.ID].Suspended)),
			cmp.Compare(cost[a.ID], cost[b.ID]),
		)
	})
	return ranked
}

// Alternative returns another server for a prompt that a server refused for a reason, or nil: a new home if
// that server is suspended, cold, evacuated or at the limit that it names, or else a server with idle capacity. A new home
// has no limit itself if there is such a server. The prompt of an underserved workspace gets a new home also if there is no
// idle capacity: a workspace whose prompts have few homes would otherwise get what these can serve, and not its share.
func Alternative(
	prefix SharedPrefix, servers []*cataloger.Server, loads map[string]Load, exclude []string,
	reason admitter.Reason, underserved bool, limited func(server string) bool,
) (s *cataloger.Server, home bool) {
	switch reason {
	case admitter.ReasonServerLimit, admitter.ReasonServerCold, admitter.ReasonOwnerUnreachable:
		unlimited := slices.DeleteFunc(slices.Clone(servers), func(s *cataloger.Server) bool { return limited(s.ID) })
		if len(unlimited) > 0 {
			servers = unlimited
		}
	case admitter.ReasonSuspended, admitter.ReasonEvacuated:
	default:
		if s := OverflowServer(prefix, servers, loads, exclude); s != nil || !underserved {
			return s, underserved
		}
	}
	if ranked := RankServers(prefix, servers, loads, exclude); len(ranked) > 0 {
		return ranked[0], true
	}
	return nil, false
}

// OverflowServer returns a server with idle capacity for a prompt whose home server has none,
// or nil. With unchanged loads, it returns the same server for the same prefix.
func OverflowServer(
	prefix SharedPrefix, servers []*cataloger.Server, loads map[string]Load, exclude []string,
) *cataloger.Server {
	candidates := topByHash(prefix, servers, 1, func(s *cataloger.Server) (int, bool) {
		load := loads[s.ID]
		return 0, !load.Suspended && load.Use < maxOverflowUtilization && !slices.Contains(exclude, s.ID)
	})
	if len(candidates) == 0 {
		return nil
	}
	return candidates[0]
}

// topByHash returns the first n servers by rendezvous hashing of the prefix. The function
// accept filters the servers and ranks them; a lower rank comes before a higher score.
func topByHash(
	prefix SharedPrefix, servers []*cataloger.Server, n int, accept func(*cataloger.Server) (int, bool),
) []*cataloger.Server {
	type scored struct {
		server *cataloger.Server
		rank   int
		score  uint64
	}
	key := placer.HashKey(prefix.Home)
	best := make([]scored, 0, n+1)
	for _, s := range servers {
		rank, ok := accept(s)
		if !ok {
			continue
		}
		candidate := scored{s, rank, placer.Score(key, s.ID)}
		pos := len(best)
		for pos > 0 && (candidate.rank < best[pos-1].rank ||
			candidate.rank == best[pos-1].rank && candidate.score > best[pos-1].score) {
			pos--
		}
		if pos < n {
			best = slices.Insert(best, pos, candidate)
			best = best[:min(n, len(best))]
		}
	}
	out := make([]*cataloger.Server, len(best))
	for i, candidate := range best {
		out[i] = candidate.server
	}
	return out
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
