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
	// asked is the number of servers of which a place is asked for at most.
	asked = 2
	// readRate is the reading speed in tokens a second at which the shared parts
	// are priced against waiting.
	readRate = 40_000
	// rereadWeight is what reading again counts for against waiting: it takes the
	// time of all requests at that server, and crowds out what the server keeps.
	rereadWeight = 10
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

// Rank orders the servers for a prompt, the best first. Servers that were tried
// are left out, suspended ones come last.
func Rank(p Prompt, servers []*cataloger.Server, loads map[string]Load, exclude []string) []*cataloger.Server {
	routers := make([]placer.Router, 0, len(servers))
	byID := make(map[string]*cataloger.Server, len(servers))
	for _, s := range servers {
		if slices.Contains(exclude, s.ID) {
			continue
		}
		routers = append(routers, placer.Router{Name: s.ID})
		byID[s.ID] = s
	}
	ids := placer.Rank(routers, p.Home, "")
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(rank(loads[a].Suspended), rank(loads[b].Suspended)) })
	ids = ids[:min(homes, len(ids))]
	reread := margin + time.Duration(rereadWeight*float64(p.Shared)/readRate*float64(time.Second))
	cost := make(map[string]time.Duration, len(ids))
	for i, id := range ids {
		cost[id] = loads[id].Wait
		if i > 0 {
			cost[id] += reread
		}
	}
	slices.SortStableFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(loads[a].Suspended), rank(loads[b].Suspended)), cmp.Compare(cost[a], cost[b]))
	})
	out := make([]*cataloger.Server, 0, asked)
	for _, id := range ids[:min(asked, len(ids))] {
		out = append(out, byID[id])
	}
	return out
}

func rank(suspended bool) int {
	if suspended {
		return 1
	}
	return 0
}
