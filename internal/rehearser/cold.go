package rehearser

import (
	"math"
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/pacer"
)

const (
	// coldNewsDelay is the time until all routers know that an engine is cold: entries are written every 1.2 s and
	// reach routers up to 0.8 s later. The rule holds from then on.
	coldNewsDelay = 2 * time.Second
	coldWindow    = time.Second
)

// coldRule holds the users' values.
var coldRule = pacer.ColdRule{Overage: 1.5, Tolerance: 5}

// engineCold is the cold period of an engine, and when it got requests meanwhile.
type engineCold struct {
	perSecond float64
	since     time.Duration
	starts    []time.Duration
}

// scheduleCold schedules the beginning and the end of the cold periods of an event. An engine that becomes cold has no
// prompts cached.
func (sim *simulation) scheduleCold(e Event) {
	if e.Kind != "cold-engines" {
		return
	}
	start := time.Duration(e.StartSecond * float64(time.Second))
	duration := time.Duration(e.DurationSeconds * float64(time.Second))
	for _, s := range sim.servers[:min(e.EngineCount, len(sim.servers))] {
		eng := sim.engines[s.ID]
		sim.schedule(start, func() {
			eng.cold = &engineCold{perSecond: e.LimitPerSecond, since: start}
			clear(eng.prefixUsedAt)
			clear(eng.cachedTokens)
		})
		// The entry was written 0.8 s before, and is counted from when it is read.
		sim.schedule(start+coldNewsDelay, func() {
			sim.coldRate = e.LimitPerSecond
			sim.cold.Record(sim.now, pacer.ColdEntry, s.ID, 0, duration-coldNewsDelay+800*time.Millisecond)
		})
		sim.schedule(start+duration, func() { eng.cold = nil })
	}
}

// isCold reports whether the routers take an engine for cold.
func (sim *simulation) isCold(server string) bool {
	phase, _ := sim.cold.Phase(sim.now, server)
	return phase == pacer.Cold
}

// coldLimit is the limit of an engine at its owner. Engines have no warming phase.
func (sim *simulation) coldLimit(server string) admitter.ColdLimit {
	if !sim.isCold(server) {
		return admitter.ColdLimit{}
	}
	return admitter.ColdLimit{Phase: pacer.Cold, PerSecond: coldRule.Rate(sim.coldRate)}
}

// recordColdStart updates the report when an engine gets a request.
func (sim *simulation) recordColdStart(eng *engine) {
	c := eng.cold
	if c == nil || sim.now < c.since+coldNewsDelay+2*networkDelay {
		return
	}
	c.starts = append(c.starts, sim.now)
	for sim.now-c.starts[0] >= coldWindow {
		c.starts = c.starts[1:]
	}
	allowed := math.Floor(coldRule.Allowed(c.perSecond))
	sim.report.OverCold = max(sim.report.OverCold, float64(len(c.starts))/allowed)
}
