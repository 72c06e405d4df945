package rehearser

import (
	"strconv"
	"time"

	"papayapaddle/internal/admitter"
	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/quarantiner"
)

const (
	// crashDowntime is how long an engine that crashed refuses requests.
	crashDowntime = 3200 * time.Millisecond
	// evidenceDelay is the time from a crash until all routers know of it.
	evidenceDelay = 300 * time.Millisecond
	// deadlyPart is the name of the prompt part that crashes engines, and deadlyContent is that of the
	// request that does.
	deadlyPart    = "deadly"
	deadlyContent = "deadly"
)

// identity returns what the quarantiner knows of a request.
func (r *request) identity() quarantiner.Request {
	content := r.uniquePart()
	if r.repeated {
		content = deadlyContent
	}
	out := quarantiner.Request{
		Workspace: quarantiner.WorkspaceKey(strconv.Itoa(r.workspace)),
		Parts:     []uint64{quarantiner.PartKey("service", "m", r.prefix)},
		Content:   quarantiner.ContentKey("service", []byte(content)),
	}
	if r.deadly && !r.repeated {
		out.Parts = append(out.Parts, quarantiner.PartKey("service", "m", deadlyPart))
	}
	return out
}

// isQuarantined reports whether a request is refused because it crashes engines, and records its end.
func (sim *simulation) isQuarantined(r *request) bool {
	if _, refused, _ := sim.quarantiner.Check(sim.now, r.identity()); !refused {
		return false
	}
	if !r.deadly {
		sim.report.WronglyQuarantined++
	}
	sim.report.recordEnd(r, "refused")
	return true
}

func (e *engine) incarnation() uint64 { return quarantiner.ServerKey(e.id, int64(e.crashes)) }

// crash ends an engine while it begins to answer a deadly prompt. All its requests fail.
func (sim *simulation) crash(eng *engine) {
	sim.report.EngineCrashes++
	incarnation := eng.incarnation()
	var lost []quarantiner.LostRequest
	for _, er := range append(eng.running, eng.queue...) {
		if !er.started || er.request.deadly {
			lost = append(lost, quarantiner.LostRequest{Request: er.request.identity(), Begun: er.started})
		}
		sim.recordOutcome(er.request, admitter.Outcome{Done: true, Failed: true})
		sim.report.recordEnd(er.request, "failed")
	}
	sim.schedule(evidenceDelay, func() {
		sim.quarantiner.ReportCrash(sim.now, incarnation, quarantiner.Release{}, lost)
	})
	eng.queue, eng.running, eng.stepping = nil, nil, false
	clear(eng.prefixUsedAt)
	clear(eng.cachedTokens)
	eng.crashes++
	eng.downUntil = sim.now + crashDowntime
}

// sendElsewhere lets a request go to another engine than the one that refused its connection.
func (sim *simulation) sendElsewhere(r *request) {
	sim.recordOutcome(r, admitter.Outcome{Done: true, Failed: true})
	for _, s := range sim.servers {
		if sim.now >= sim.engines[s.ID].downUntil {
			r.attempts--
			sim.arrive(r)
			return
		}
	}
	sim.report.recordEnd(r, "failed")
}

// upServers returns the engines that accept requests, or all if none does.
func (sim *simulation) upServers() []*cataloger.Server {
	var out []*cataloger.Server
	for _, s := range sim.servers {
		if sim.now >= sim.engines[s.ID].downUntil {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return sim.servers
	}
	return out
}

// recordStarted reports that an engine has begun to answer a request. It returns false if the engine
// crashed instead.
func (sim *simulation) recordStarted(eng *engine, started []*engineRequest) bool {
	for _, er := range started {
		if er.request.deadly {
			sim.crash(eng)
			return false
		}
	}
	for _, er := range started {
		sim.quarantiner.ReportAnswer(sim.now, eng.incarnation(), er.request.submittedAt, er.request.identity())
	}
	return true
}
