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
	modelServers, plainServers int
	engine                     standin.Engine
	// eventInterval is the pause between two events of a stream.
	eventInterval time.Duration
	// maxRevocationDelay is when a key that was taken away is out of force.
	maxRevocationDelay time.Duration
	routerLimits       []platform.Resource
	// zones of routers and servers, in turn.
	zones []string
}

// defaultDeployment is the deployment that the seeds of make test are played on.
func defaultDeployment(routerCount int) deployment {
	d := deployment{
		modelServers: 4, plainServers: 3, engine: standin.UsualEngine, eventInterval: 15 * time.Millisecond, maxRevocationDelay: 5 * time.Second,
		zones: []string{standin.Zone},
	}
	for range routerCount {
		d.routerLimits = append(d.routerLimits, platform.Resource{CPUShare: 1, MemoryMB: 256, MaxDescriptors: 1024})
	}
	return d
}

// randomDeployment draws one that nobody has tuned anything for.
func randomDeployment(rng *rand.Rand, routerCount int) deployment {
	d := deployment{
		modelServers: 2 + rng.IntN(7), plainServers: 2 + rng.IntN(3),
		engine:             standin.Engine{Slots: 4 << rng.IntN(6), MemoryTokens: 40_000 + rng.IntN(660_000), Stride: 1 + rng.IntN(20)},
		eventInterval:      time.Duration(3+rng.IntN(60)) * time.Millisecond,
		maxRevocationDelay: time.Duration(2000+rng.IntN(8000)) * time.Millisecond,
	}
	for i := range 1 + rng.IntN(6) {
		d.zones = append(d.zones, fmt.Sprint("zone-", i+1))
	}
	for range routerCount {
		d.routerLimits = append(d.routerLimits, platform.Resource{
			CPUShare: 0.19 + 0.61*rng.Float64(), MemoryMB: 112 + rng.IntN(425), MaxDescriptors: 1024 + rng.IntN(7000),
		})
	}
	return d
}

// applyTo changes the settings of a router to its part of the deployment.
func (d *deployment) applyTo(router int, settings *platform.Settings) {
	settings.AvailabilityZone, settings.Limits = d.zones[router%len(d.zones)], d.routerLimits[router]
	settings.Bounds.RevokeMillis = float64(d.maxRevocationDelay.Milliseconds())
}

func (d *deployment) String() string {
	return fmt.Sprintf("%d zones, %d routers, %d engines of %d slots and %d tokens, %d plain servers, event each %v, revoke %v",
		len(d.zones), len(d.routerLimits), d.modelServers, d.engine.Slots, d.engine.MemoryTokens, d.plainServers, d.eventInterval, d.maxRevocationDelay)
}
