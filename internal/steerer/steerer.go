// Package steerer chooses the model server for a prompt. Prompts with the same
// shared parts go to one home server, which keeps what it has read of them;
// another home takes over where waiting at the first costs more than reading the
// shared parts again. The package does no I/O and reads no clock.
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
	// candidateCount is the number of servers that are weighed for a prompt. Its first home
	// keeps what it has read of the shared parts; the others read them again.
	candidateCount = 2
	// prefillRate is the reading speed in tokens a second at which the shared parts
	// are priced against waiting.
	prefillRate = 40_000
	// prefillCostWeight is what reading again counts for against waiting: it takes the
	// time of all requests at that server, and crowds out what the server keeps.
	prefillCostWeight = 10
	// maxOverflowUtilization is the use below which a server may have room for prompts whose home is
	// elsewhere; its owner decides.
	maxOverflowUtilization = 0.5
	// switchMargin is the wait by which another home must be better: loads are some
	// hundred milliseconds old.
	switchMargin = 100 * time.Millisecond
)

// SharedPrefix is what is known of a request's prompt.
type SharedPrefix struct {
	// Home names the shared parts; prompts with the same name share a home.
	Home string
	// Shared is the number of tokens of the shared parts.
	Shared int
}

// Load is a server's load as last heard.
type Load = admitter.Load

// RankServers orders the homes of a prompt, the best first. Servers that were tried are left
// out, suspended ones come last.
func RankServers(prefix SharedPrefix, servers []*cataloger.Server, loads map[string]Load, exclude []string) []*cataloger.Server {
	ranked := topByHash(prefix, servers, candidateCount, func(s *cataloger.Server) (int, bool) {
		return boolToInt(loads[s.ID].Suspended), !slices.Contains(exclude, s.ID)
	})
	prefillCost := switchMargin + time.Duration(prefillCostWeight*float64(prefix.Shared)/prefillRate*float64(time.Second))
	cost := make(map[string]time.Duration, len(ranked))
	for i, s := range ranked {
		cost[s.ID] = loads[s.ID].Wait
		if i > 0 {
			cost[s.ID] += prefillCost
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

// OverflowServer returns a server that has room for a prompt whose home has none, or nil. Of
// those with room it is always the same for a prompt, as far as the loads are known.
func OverflowServer(prefix SharedPrefix, servers []*cataloger.Server, loads map[string]Load, exclude []string) *cataloger.Server {
	candidates := topByHash(prefix, servers, 1, func(s *cataloger.Server) (int, bool) {
		load := loads[s.ID]
		return 0, !load.Suspended && load.Use < maxOverflowUtilization && !slices.Contains(exclude, s.ID)
	})
	if len(candidates) == 0 {
		return nil
	}
	return candidates[0]
}

// topByHash returns the n servers that a prompt's name hashes to, the nearest first.
// Accept says which servers count, and ranks them: those of a lower rank come first.
func topByHash(prefix SharedPrefix, servers []*cataloger.Server, n int, accept func(*cataloger.Server) (int, bool)) []*cataloger.Server {
	type scored struct {
		server *cataloger.Server
		rank   int
		score  uint64
	}
	key := placer.Key(prefix.Home)
	best := make([]scored, 0, n+1)
	for _, s := range servers {
		rank, ok := accept(s)
		if !ok {
			continue
		}
		candidate := scored{s, rank, placer.Score(key, s.ID)}
		pos := len(best)
		for pos > 0 && (candidate.rank < best[pos-1].rank || candidate.rank == best[pos-1].rank && candidate.score > best[pos-1].score) {
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

func boolToInt(suspended bool) int {
	if suspended {
		return 1
	}
	return 0
}
