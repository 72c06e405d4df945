package allocator

import (
	"slices"
	"time"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/messenger"
	"papayapaddle/internal/pacer"
	"papayapaddle/internal/steerer"
	"papayapaddle/internal/timer"
)

// Grant is an owner's permission to start a request on a server.
type Grant struct {
	// Cold says that the owner took the server for cold and spaced the start. Owners of the release before do not.
	Cold bool
	// At is a reading of the boot clock from before the grant. The clocks of routers differ, so it is the time at which
	// this router asked and how long the request waited at the owner after that.
	At time.Duration
}

// Fresh reports whether the grant may be used for a server that is cold.
func (g Grant) Fresh(now time.Duration) bool { return g.Cold && now-g.At <= pacer.GrantTTL }

// answer is the reply of the router that decided on a request.
type answer struct {
	messenger.AdmitReply
	owner messenger.Peer
	grant Grant
}

// newAnswer returns the answer to a request that was sent at a reading of the boot clock.
func (a *Allocator) newAnswer(askedAt time.Duration, reply messenger.AdmitReply, owner messenger.Peer) answer {
	at := min(askedAt+max(0, reply.Waited), a.now())
	return answer{AdmitReply: reply, owner: owner, grant: Grant{Cold: reply.Cold, At: at}}
}

// now reads the boot clock.
func (a *Allocator) now() time.Duration {
	if a.Now == nil {
		return timer.SinceBoot()
	}
	return a.Now()
}

// coldNews returns the cold period of a server, empty if it is not cold.
func (a *Allocator) coldNews(server string) []pacer.ColdNews {
	if a.Cold == nil {
		return nil
	}
	return a.Cold(server)
}

// avoids reports whether a server gets only the prompts whose home it is.
func (a *Allocator) avoids(s *cataloger.Server) bool { return a.Avoid != nil && a.Avoid(s.ID) }

// withoutAvoided returns the servers that need not be avoided and home, or all if none of them is left to try.
func (a *Allocator) withoutAvoided(servers []*cataloger.Server, tried []string, home *cataloger.Server) []*cataloger.Server {
	if !slices.ContainsFunc(servers, a.avoids) {
		return servers
	}
	left := slices.DeleteFunc(slices.Clone(servers), func(s *cataloger.Server) bool { return s != home && a.avoids(s) })
	if !slices.ContainsFunc(left, func(s *cataloger.Server) bool { return !slices.Contains(tried, s.ID) }) {
		return servers
	}
	return left
}

// candidates returns the servers for a prompt. Of those that are cold it is only the home of the prompt, as starts are
// scarce there and must warm the server for the prompts whose home it is.
func (a *Allocator) candidates(req *SlotRequest, servers []*cataloger.Server) []*cataloger.Server {
	if !slices.ContainsFunc(servers, a.avoids) {
		return servers
	}
	var home *cataloger.Server
	if ranked := steerer.RankServers(req.SharedPrefix, servers, nil, nil); len(ranked) > 0 {
		home = ranked[0]
	}
	return a.withoutAvoided(servers, req.ExcludedServers, home)
}
