package rehearser

import (
	"time"
)

const (
	// limitNewsDelay is the time from a change of a limit until all routers know of it.
	limitNewsDelay = 300 * time.Millisecond
	// An engine with a limit may get limitRatio times what it allows and limitSlack requests in each limitWindow, from
	// limitGrace after it first named it. The users specify these values.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
	limitGrace  = 3 * time.Second
)

// engineLimit is the limit that an engine names, and when it got requests meanwhile.
type engineLimit struct {
	perSecond float64
	since     time.Duration
	starts    []time.Duration
}

// scheduleLimits schedules the beginning and the end of the limits of an event.
func (sim *simulation) scheduleLimits(e Event) {
	if e.Kind != "limited-engines" {
		return
	}
	start := time.Duration(e.StartSecond * float64(time.Second))
	end := time.Duration((e.StartSecond + e.DurationSeconds) * float64(time.Second))
	for _, s := range sim.servers[:min(e.EngineCount, len(sim.servers))] {
		eng := sim.engines[s.ID]
		sim.schedule(start, func() { eng.limit = &engineLimit{perSecond: e.LimitPerSecond, since: start} })
		sim.schedule(start+limitNewsDelay, func() { sim.limits[s.ID] = e.LimitPerSecond })
		sim.schedule(end, func() { eng.limit = nil })
		sim.schedule(end+limitNewsDelay, func() { delete(sim.limits, s.ID) })
	}
}

// recordLimitedStart updates the report when an engine gets a request.
func (sim *simulation) recordLimitedStart(eng *engine) {
	l := eng.limit
	if l == nil || sim.now < l.since+limitGrace {
		return
	}
	l.starts = append(l.starts, sim.now)
	for sim.now-l.starts[0] >= limitWindow {
		l.starts = l.starts[1:]
	}
	allowed := limitRatio*l.perSecond*limitWindow.Seconds() + limitSlack
	sim.report.OverLimit = max(sim.report.OverLimit, float64(len(l.starts))/allowed)
}
