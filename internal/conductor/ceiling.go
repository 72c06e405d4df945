package conductor

import (
	"math"
	"slices"
	"sync/atomic"
)

const (
	// initialRequestsPerCore is the ceiling per core until the cost of requests is known. It
	// leaves a fifth of the CPU for refusals and for traffic with other routers.
	initialRequestsPerCore = 800
	// The ceiling falls by the fraction ceilingStep with each sample that finds a CPU use above
	// highCPUUse. With a use below lowCPUUse it rises by that fraction if it is reached. If at least
	// half of it is in use, it rises by up to maxCeilingIncrease, with which it doubles within a
	// second, to the number of requests that would lead to lowCPUUse. Both uses are fractions of
	// the router's CPU share.
	lowCPUUse          = 0.7
	highCPUUse         = 0.85
	ceilingStep        = 0.004
	maxCeilingIncrease = 0.03
	// ceilingReachedFraction is the fraction of the ceiling at which it counts as reached.
	// ceilingUsedFraction is less than nearlyFullFraction, so that a router whose requests are
	// cheap does not count as nearly full.
	ceilingReachedFraction = 0.85
	ceilingUsedFraction    = 0.5
	// costSamples is the number of samples, a second, after which the cost of a new stream shows in
	// the CPU use: until its first event it uses little CPU time.
	costSamples = 27
	// The cost of a request is that at the peak CPU use, since the use drops for a moment when many
	// streams end. The peak falls by the fraction peakDecay with each sample.
	peakDecay = 0.01
	// minCPUUse is the lowest CPU use from which the cost of a request is estimated.
	minCPUUse = 0.01
	// cpuUseSmoothing is the weight of the newest sample in the CPU use.
	cpuUseSmoothing = 0.1
)

// ceilingEstimator estimates how many requests may be active at the same time without overloading
// the CPU. The lag of timers rises too late for that: streams cost the most CPU time after they were
// accepted.
type ceilingEstimator struct {
	ceiling atomic.Int64
	// minCeiling is the initial and lowest ceiling, and maxCeiling the highest one, which follows
	// from the memory.
	minCeiling, maxCeiling int64
	// cpuShare is the CPU share of the router in cores, or 0 if it is unknown. The ceiling then stays
	// at maxCeiling. cpuUse is the smoothed fraction of the share that is used, and peakCPUUse its
	// decaying peak.
	cpuShare, cpuUse, peakCPUUse float64
	// recentActive is a ring of the numbers of active requests at the last samples, of which there
	// were samples in all.
	recentActive [costSamples]int64
	samples      int
}

// init sets the initial ceiling, which is at least minRequests.
func (e *ceilingEstimator) init(cpuShare float64, minRequests, maxRequests int64) {
	e.cpuShare, e.minCeiling, e.maxCeiling = cpuShare, maxRequests, maxRequests
	if cpuShare > 0 {
		e.minCeiling = min(maxRequests, max(minRequests, int64(cpuShare*initialRequestsPerCore)))
	}
	e.ceiling.Store(e.minCeiling)
}

// record adjusts the ceiling to a sample: the number of cores used since the last one and the number
// of active requests. The ceiling rises only if mayRise.
func (e *ceilingEstimator) record(cores float64, active int64, mayRise bool) {
	if e.cpuShare <= 0 {
		return
	}
	e.cpuUse += cpuUseSmoothing * (cores/e.cpuShare - e.cpuUse)
	e.peakCPUUse = max(e.cpuUse, e.peakCPUUse*(1-peakDecay))
	e.recentActive[e.samples%costSamples] = active
	e.samples++
	ceiling := float64(e.ceiling.Load())
	filled := float64(active) / ceiling
	switch {
	case e.cpuUse > highCPUUse:
		ceiling *= 1 - ceilingStep
	case e.cpuUse < lowCPUUse && mayRise && filled >= ceilingUsedFraction:
		raised := min(e.affordable(), ceiling*(1+maxCeilingIncrease))
		if filled >= ceilingReachedFraction {
			raised = max(raised, ceiling*(1+ceilingStep))
		}
		ceiling = max(ceiling, math.Ceil(raised))
	}
	e.ceiling.Store(min(max(int64(ceiling), e.minCeiling), e.maxCeiling))
}

// affordable returns the number of active requests that would lead to lowCPUUse. Requests of less than a
// second do not count, since their cost may not have shown.
func (e *ceilingEstimator) affordable() float64 {
	return float64(slices.Min(e.recentActive[:])) * lowCPUUse / max(e.peakCPUUse, minCPUUse)
}
