package soaker

import (
	"fmt"
	"time"

	"papayapaddle/platform/standin"
)

// endInterval is the time between two ends of servers.
const endInterval = 1500 * time.Millisecond

const (
	// stateDelay is how long a state of a server lasts before it ends, so that routers know it.
	stateDelay = 150 * time.Millisecond
	// slowEventInterval is the time between events that leaves responses in progress then.
	slowEventInterval = 80 * time.Millisecond
)

// prepareEnds lets servers end in the middle of responses for a duration.
func (s *soak) prepareEnds(duration time.Duration) {
	s.endDuration = duration
	for _, server := range s.cluster.ModelServers {
		server.EventInterval = slowEventInterval
	}
}

// injectEnds ends servers in the middle of responses for a duration: by turns while they are ready, draining, or in a
// pause that they have asked for.
func (s *soak) injectEnds(duration time.Duration) {
	for n := 0; time.Duration(n)*endInterval < duration; n++ {
		server := s.cluster.ModelServers[s.endRNG.IntN(len(s.cluster.ModelServers))]
		state := []string{"ready", "draining", "pausing"}[n%3]
		s.events.Printf("event=end server=%s state=%s", server.ID, state)
		switch state {
		case "draining":
			s.cluster.PutServer(server.ID, serviceOf(s.cluster, server), "draining")
		case "pausing":
			server.SetRetryAfter(fmt.Sprint(serverPause.Seconds()))
		}
		time.Sleep(stateDelay)
		server.SetEnding(true)
		time.Sleep(endInterval)
		// A server without a response in progress lives on.
		server.SetEnding(false)
		server.SetRetryAfter("")
		if state == "draining" {
			s.cluster.PutServer(server.ID, serviceOf(s.cluster, server), "ready")
		}
	}
}

// endServer ends a server in order, which starts again as another incarnation.
func (s *soak) endServer(server *standin.Server) {
	s.markDisturbed(serverDowntime)
	s.events.Printf("event=ended server=%s", server.ID)
	s.serverProxies[server.ID].exit(serverDowntime)
	schedule(serverDowntime, func() {
		server.SetRetryAfter("")
		s.cluster.PutRestartedServer(server.ID, serviceOf(s.cluster, server))
	})
}
