package conductor

import "runtime/debug"

const (
	// calmGCPercent is how much garbage may come before it is collected: memory is
	// dearer than processor time on these instances.
	calmGCPercent = 50
	// busyGCPercent is the same while the router is at its limit. Collecting takes a
	// fifth of the processor at calmGCPercent, and the memory limit still holds.
	busyGCPercent = 200
)

// collector sets how often garbage is collected. The zero value is for a calm
// router.
type collector struct {
	busy bool
	set  func(percent int)
}

func newCollector() *collector {
	c := &collector{set: func(percent int) { debug.SetGCPercent(percent) }}
	c.set(calmGCPercent)
	return c
}

// note takes in whether the router is at its limit.
func (c *collector) note(busy bool) {
	if busy == c.busy {
		return
	}
	c.busy = busy
	if busy {
		c.set(busyGCPercent)
	} else {
		c.set(calmGCPercent)
	}
}
