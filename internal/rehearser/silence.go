package rehearser

import (
	"time"

	"papayapaddle/internal/admitter"
)

const (
	// minEventTimeout is the shortest time without an event after which a router reports that an engine is silent, and
	// firstEventTimeoutObjectives the multiple of the objective before the first event.
	minEventTimeout             = time.Second
	firstEventTimeoutObjectives = 2
)

// watchSilence reports a request that an engine holds if the engine is dead and stays so for the event timeout.
func (sim *simulation) watchSilence(eng *engine, r *request) {
	timeout := minEventTimeout
	if r.firstTokenAt == 0 {
		timeout = max(timeout, firstEventTimeoutObjectives*r.objective())
	}
	id, deaths := r.id, eng.deaths
	sim.schedule(timeout, func() {
		if r.outcome == "" && r.id == id && eng.dead && eng.deaths == deaths {
			r.silent = true
			sim.recordOutcome(r, admitter.Outcome{Failed: true})
		}
	})
}

// watchSilences does so for all requests of an engine that has just stopped.
func (sim *simulation) watchSilences(eng *engine) {
	eng.deaths++
	for _, er := range eng.running {
		sim.watchSilence(eng, er.request)
	}
	for _, er := range eng.queue {
		sim.watchSilence(eng, er.request)
	}
}

// endSilences reports the first events after a silence.
func (sim *simulation) endSilences(eng *engine) {
	for _, er := range eng.running {
		if er.request.silent && er.started {
			er.request.silent = false
			sim.recordOutcome(er.request, admitter.Outcome{First: true})
		}
	}
}
