package conductor

import "runtime/debug"

const (
	// normalGCPercent is how much garbage may come before it is collected: memory is
	// dearer than processor time on these instances.
	normalGCPercent = 50
	// overloadedGCPercent is the same while the router is at its limit. Collecting takes a
	// fifth of the processor at calmGCPercent, and the memory limit still holds.
	overloadedGCPercent = 200
)

// gcTuner sets how often garbage is collected. The zero value is for a calm
// router.
type gcTuner struct {
	overloaded bool
	setPercent func(percent int)
}

func newGCTuner() *gcTuner {
	t := &gcTuner{setPercent: func(percent int) { debug.SetGCPercent(percent) }}
	t.setPercent(normalGCPercent)
	return t
}

// setOverloaded takes in whether the router is at its limit.
func (t *gcTuner) setOverloaded(busy bool) {
	if busy == t.overloaded {
		return
	}
	t.overloaded = busy
	if busy {
		t.setPercent(overloadedGCPercent)
	} else {
		t.setPercent(normalGCPercent)
	}
}
