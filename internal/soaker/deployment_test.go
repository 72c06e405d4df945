package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"

	"papayapaddle/platform"
	"papayapaddle/platform/standin"
)

// deployment is the configuration of the routers and backend servers of a run.
type deployment struct {
	modelServers, plainServers int
	engine                     standin.Engine
	// eventInterval is the time between two events of a stream.
	eventInterval time.Duration
	// maxRevocationDelay is the time after which routers must reject a revoked key.
	maxRevocationDelay time.Duration
	routerLimits       []platform.ResourceLimits
	// zones are assigned to routers and servers in turn.
	zones []string
	// coldStart is zero if servers are never cold.
	coldStart standin.ColdStart
}

// defaultDeployment is the deployment that the fixed seeds of make test use.
func defaultDeployment(routerCount int) deployment {
	d := deployment{
		modelServers: 4, plainServers: 3, engine: standin.DefaultEngine,
		eventInterval: 15 * time.Millisecond, maxRevocationDelay: 5 * time.Second,
		zones: []string{standin.DefaultZone},
	}
	for range routerCount {
		d.routerLimits = append(d.routerLimits, platform.ResourceLimits{
			CPUShare: 1, MemoryMB: 256, MaxDescriptors: 1024,
		})
	}
	return d
}

// randomDeployment returns a random deployment, to find faults that depend on the sizes of the
// default one.
func randomDeployment(rng *rand.Rand, routerCount int) deployment {
	d := deployment{
		modelServers: 2 + rng.IntN(7), plainServers: 2 + rng.IntN(3),
		engine: standin.Engine{
			Slots: 4 << rng.IntN(6), MemoryTokens: 40_000 + rng.IntN(660_000), TokensPerEvent: 1 + rng.IntN(20),
		},
		eventInterval:      time.Duration(3+rng.IntN(60)) * time.Millisecond,
		maxRevocationDelay: time.Duration(2000+rng.IntN(8000)) * time.Millisecond,
	}
	for i := range 1 + rng.IntN(6) {
		d.zones = append(d.zones, fmt.Sprint("zone-", i+1))
	}
	for range routerCount {
		d.routerLimits = append(d.routerLimits, platform.ResourceLimits{
			CPUShare: 0.19 + 0.61*rng.Float64(), MemoryMB: 112 + rng.IntN(425),
			MaxDescriptors: 1024 + rng.IntN(7000),
		})
	}
	return d
}

// applyTo sets the zone, the limits and the revocation delay in the settings of a router.
func (d *deployment) applyTo(router int, settings *platform.Settings) {
	settings.AvailabilityZone, settings.Limits = d.zones[router%len(d.zones)], d.routerLimits[router]
	settings.Bounds.MaxRevocationMillis = float64(d.maxRevocationDelay.Milliseconds())
}

func (d *deployment) String() string {
	return fmt.Sprintf(
		"%d zones, %d routers, %d engines (%d slots, %d tokens), %d plain servers, event interval %v, revocation delay %v",
		len(d.zones), len(d.routerLimits), d.modelServers, d.engine.Slots, d.engine.MemoryTokens,
		d.plainServers, d.eventInterval, d.maxRevocationDelay)
}
