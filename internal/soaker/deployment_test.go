package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"

	"papayapaddle/platform"
	"papayapaddle/platform/standin"
)

// deployment is what a run is played on.
type deployment struct {
	models, plain int
	engine        standin.Engine
	// gap is the pause between two events of a stream.
	gap time.Duration
	// revoke is when a key that was taken away is out of force.
	revoke  time.Duration
	routers []platform.ResourceLimits
	// zones of routers and servers, in turn.
	zones []string
}

// usual is the deployment that the seeds of make test are played on.
func usual(routers int) deployment {
	d := deployment{
		models: 4, plain: 3, engine: standin.DefaultEngine, gap: 15 * time.Millisecond, revoke: 5 * time.Second,
		zones: []string{standin.DefaultZone},
	}
	for range routers {
		d.routers = append(d.routers, platform.ResourceLimits{CPUShare: 1, MemoryMB: 256, MaxDescriptors: 1024})
	}
	return d
}

// drawDeployment draws one that nobody has tuned anything for.
func drawDeployment(rng *rand.Rand, routers int) deployment {
	d := deployment{
		models: 2 + rng.IntN(7), plain: 2 + rng.IntN(3),
		engine: standin.Engine{Slots: 4 << rng.IntN(6), MemoryTokens: 40_000 + rng.IntN(660_000), TokensPerEvent: 1 + rng.IntN(20)},
		gap:    time.Duration(3+rng.IntN(60)) * time.Millisecond,
		revoke: time.Duration(2000+rng.IntN(8000)) * time.Millisecond,
	}
	for i := range 1 + rng.IntN(6) {
		d.zones = append(d.zones, fmt.Sprint("zone-", i+1))
	}
	for range routers {
		d.routers = append(d.routers, platform.ResourceLimits{
			CPUShare: 0.19 + 0.61*rng.Float64(), MemoryMB: 112 + rng.IntN(425), MaxDescriptors: 1024 + rng.IntN(7000),
		})
	}
	return d
}

// settings changes the settings of a router to its part of the deployment.
func (d *deployment) settings(i int, s *platform.Settings) {
	s.AvailabilityZone, s.Limits = d.zones[i%len(d.zones)], d.routers[i]
	s.Bounds.MaxRevocationMillis = float64(d.revoke.Milliseconds())
}

func (d *deployment) String() string {
	return fmt.Sprintf("%d zones, %d routers, %d engines of %d slots and %d tokens, %d plain servers, event each %v, revoke %v",
		len(d.zones), len(d.routers), d.models, d.engine.Slots, d.engine.MemoryTokens, d.plain, d.gap, d.revoke)
}
