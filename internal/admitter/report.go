package admitter

import (
	"cmp"
	"slices"
	"time"
)

// Load is the load of a server, as published to other routers.
type Load struct {
	Server string
	// Wait is the estimated wait of a new request.
	Wait time.Duration
	// Suspended reports whether the server gets no requests because it keeps failing.
	Suspended bool
	// Use is the fraction of time, smoothed over about a second, in which the server could
	// not start another request.
	Use float32
}

// Loads returns the loads of the active servers, sorted by server.
func (a *Admitter) Loads(now time.Time) []Load {
	out := make([]Load, 0, len(a.engines))
	for id, e := range a.engines {
		if !e.isActive(now) {
			// Another router may own the server by now.
			continue
		}
		a.update(now, e)
		out = append(out, Load{
			Server: id, Wait: e.estimateWait(now), Suspended: e.isSuspended(now),
			Use: float32(e.utilization.value),
		})
	}
	slices.SortFunc(out, func(x, y Load) int { return cmp.Compare(x.Server, y.Server) })
	return out
}

// ServerState is the state of a server in Dump.
type ServerState struct {
	Server string `json:"server"`
	// Active reports whether the server got a request recently.
	Active           bool    `json:"active"`
	Running          int     `json:"running"`
	Waiting          int     `json:"waiting"`
	ConcurrencyLimit int     `json:"places"`
	PrefillRate      float64 `json:"read-tokens-per-second"`
	Failures         int     `json:"failures"`
	WaitMS           float64 `json:"wait-ms"`
	// LimitPerSecond is the limit that the server names, or that it has since it is or was cold, nil without one.
	LimitPerSecond *float64 `json:"limit-per-second,omitempty"`
}

// Dump returns the state of all known servers for operators, sorted by server.
func (a *Admitter) Dump(now time.Time) []ServerState {
	var out []ServerState
	for id, e := range a.engines {
		state := ServerState{
			Server: id, Active: e.isActive(now), Running: len(e.running), Waiting: len(e.queue),
			ConcurrencyLimit: e.concurrencyLimit(), PrefillRate: e.prefillRate,
			Failures: e.health.failures + e.health.silences, WaitMS: e.estimateWait(now).Seconds() * 1000,
		}
		if e.pace.limited {
			perSecond := e.pace.perSecond
			state.LimitPerSecond = &perSecond
		}
		out = append(out, state)
	}
	slices.SortFunc(out, func(x, y ServerState) int { return cmp.Compare(x.Server, y.Server) })
	return out
}
