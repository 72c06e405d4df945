// Package steerer chooses the model server for a prompt. Prompts with the same
// shared parts go to one home server, which keeps what it has read of them; a
// second home takes over where waiting at the first costs more than reading the
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
	// homes is the number of servers that a prompt may be sent to while they work.
	homes = 2
	// readRate is the reading speed in tokens a second at which the shared parts
	// are priced against waiting.
	readRate = 40_000
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
	out := make([]*cataloger.Server, 0, len(routers))
	for _, id := range placer.Rank(routers, p.Home, "") {
		out = append(out, byID[id])
	}
	slices.SortStableFunc(out, func(a, b *cataloger.Server) int {
		return cmp.Compare(rank(loads[a.ID].Suspended), rank(loads[b.ID].Suspended))
	})
	if len(out) > homes {
		out = out[:homes]
	}
	if len(out) < homes {
		return out
	}
	first, second := loads[out[0].ID], loads[out[1].ID]
	reread := time.Duration(float64(p.Shared) / readRate * float64(time.Second))
	if !second.Suspended && first.Wait > second.Wait+reread+margin {
		out[0], out[1] = out[1], out[0]
	}
	return out
}

func rank(suspended bool) int {
	if suspended {
		return 1
	}
	return 0
}
