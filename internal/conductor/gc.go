package conductor

import "runtime/debug"

const (
	// normalGCPercent is the GC percentage of a router that is not overloaded. It is below
	// the default of 100 because memory is scarcer than CPU time on the instances.
	normalGCPercent = 50
	// overloadedGCPercent is used under overload, where garbage collection at normalGCPercent
	// takes a fifth of the CPU time. The soft memory limit still applies.
	overloadedGCPercent = 200
)

// gcTuner adjusts the GC percentage of the Go runtime to the load.
type gcTuner struct {
	overloaded bool
	setPercent func(percent int)
}

func newGCTuner() *gcTuner {
	t := &gcTuner{setPercent: func(percent int) { debug.SetGCPercent(percent) }}
	t.setPercent(normalGCPercent)
	return t
}

// setOverloaded changes the GC percentage if the overload state has changed.
func (t *gcTuner) setOverloaded(overloaded bool) {
	if overloaded == t.overloaded {
		return
	}
	t.overloaded = overloaded
	if overloaded {
		t.setPercent(overloadedGCPercent)
	} else {
		t.setPercent(normalGCPercent)
	}
}
