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
	// homes is the number of servers that are weighed for a prompt. Its first home
	// keeps what it has read of the shared parts; the others read them again.
	homes = 2
	// readRate is the reading speed in tokens a second at which the shared parts
	// are priced against waiting.
	readRate = 40_000
	// rereadWeight is what reading again counts for against waiting: it takes the
	// time of all requests at that server, and crowds out what the server keeps.
	rereadWeight = 10
	// roomyUse is the use below which a server may have room for prompts whose home is
	// elsewhere; its owner decides.
	roomyUse = 0.5
	// margin is the wait by which another home must be better: loads are some
	// hundred milliseconds old.
	margin = 100 * time.Millisecond
)

// Prompt is what is known of a request's prompt.
type Prompt struct {
	// Home names the shared parts; prompts with the same name share a home.
	Home string
	// Shared is the number of tokens of the shared parts.
	Shared int
}

// Load is a server's load as last heard.
type Load = admitter.Load

// Rank orders the homes of a prompt, the best first. Servers that were tried are left
// out, suspended ones come last.
func Rank(p Prompt, servers []*cataloger.Server, loads map[string]Load, exclude []string) []*cataloger.Server {
	found := nearest(p, servers, homes, func(s *cataloger.Server) (int, bool) {
		return rank(loads[s.ID].Suspended), !slices.Contains(exclude, s.ID)
	})
	reread := margin + time.Duration(rereadWeight*float64(p.Shared)/readRate*float64(time.Second))
	cost := make(map[string]time.Duration, len(found))
	for i, s := range found {
		cost[s.ID] = loads[s.ID].Wait
		if i > 0 {
			cost[s.ID] += reread
		}
	}
	slices.SortStableFunc(found, func(a, b *cataloger.Server) int {
		return cmp.Or(
			cmp.Compare(rank(loads[a.ID].Suspended), rank(loads[b.ID].Suspended)),
			cmp.Compare(cost[a.ID], cost[b.ID]),
		)
	})
	return found
}

// Spare returns a server that has room for a prompt whose home has none, or nil. Of
// those with room it is always the same for a prompt, as far as the loads are known.
func Spare(p Prompt, servers []*cataloger.Server, loads map[string]Load, exclude []string) *cataloger.Server {
	found := nearest(p, servers, 1, func(s *cataloger.Server) (int, bool) {
		l := loads[s.ID]
		return 0, !l.Suspended && l.Use < roomyUse && !slices.Contains(exclude, s.ID)
	})
	if len(found) == 0 {
		return nil
	}
	return found[0]
}

// nearest returns the n servers that a prompt's name hashes to, the nearest first.
// Accept says which servers count, and ranks them: those of a lower rank come first.
func nearest(p Prompt, servers []*cataloger.Server, n int, accept func(*cataloger.Server) (int, bool)) []*cataloger.Server {
	type scored struct {
		server *cataloger.Server
		rank   int
		score  uint64
	}
	key := placer.HashKey(p.Home)
	best := make([]scored, 0, n+1)
	for _, s := range servers {
		r, ok := accept(s)
		if !ok {
			continue
		}
		v := scored{s, r, placer.Score(key, s.ID)}
		at := len(best)
		for at > 0 && (v.rank < best[at-1].rank || v.rank == best[at-1].rank && v.score > best[at-1].score) {
			at--
		}
		if at < n {
			best = slices.Insert(best, at, v)
			best = best[:min(n, len(best))]
		}
	}
	out := make([]*cataloger.Server, len(best))
	for i, v := range best {
		out[i] = v.server
	}
	return out
}

func rank(suspended bool) int {
	if suspended {
		return 1
	}
	return 0
}
