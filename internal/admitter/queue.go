package admitter

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"papayapaddle/internal/pacer"
)

// The order of waiting requests, and which of them are refused.
const (
	// usageStepRatio is the usage ratio at which one workspace takes precedence over
	// another. Workspaces with a smaller difference count as equal.
	usageStepRatio = 1.6
	// lengthStepTokens is the difference in uncached tokens by which one request counts as
	// longer than another. Beyond maxLengthSteps all count as equally long, so that the
	// longest requests are not always last.
	lengthStepTokens = 4000
	maxLengthSteps   = 2
	// answerTokenWork is the time that an engine takes for a token of an answer, in a full batch, relative to a
	// prompt token.
	answerTokenWork = 10
	// A workspace is underserved while another has used more than underservedRatio times as
	// much. The ratio is below 2, at which the shares count as unfair, since the usage granted by
	// peers is known with a delay. Requests of an underserved workspace may start too late to
	// meet their objective, but not after underservedWaitFraction of it, so that a refusal still
	// arrives within the objective.
	underservedRatio        = 1.5
	underservedWaitFraction = 0.9
	// minRetryAfter and maxRetryAfter limit the retry delay of a refusal.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 8 * time.Second
)

// schedule grants the requests that can start now and refuses those that cannot start in
// time.
func (a *Admitter) schedule(now time.Time, e *engineState) {
	if len(e.queue) == 0 {
		return
	}
	if a.refuseEvacuated(now, e) {
		return
	}
	e.updateDeadlineLimit(now)
	a.sortQueue(now, e)
	for len(e.queue) > 0 && e.canStart(now, e.queue[0]) {
		req := e.queue[0]
		e.queue = e.queue[1:]
		a.usage.charge(now, req.Workspace, req.weightedTokens())
		e.start(now, req)
		a.recordDecision(now, e, Decision{Request: req, Granted: true})
		a.sortQueue(now, e)
	}
	a.shedLate(now, e)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// sortQueue sorts the queue by scheduling order, as described in the package comment.
// Resumed streams come first because refusing one wastes the work already done for it.
// Usage and uncached tokens are compared in steps. At a limit, starts are scarce and not the engine's time, so
// the requests with the most work come first; the others find room on servers without a limit.
func (a *Admitter) sortQueue(now time.Time, e *engineState) {
	usageSteps := map[string]int{}
	lengthSteps := make(map[*Request]int, len(e.queue))
	for _, req := range e.queue {
		uncached := e.prefixCache.uncachedTokens(req.Prompt, req.Parts)
		lengthSteps[req] = min(maxLengthSteps, uncached/lengthStepTokens)
		if e.pace.limited {
			lengthSteps[req] = -bits.Len(uint(uncached + answerTokenWork*req.Answer))
		}
		if _, ok := usageSteps[req.Workspace]; !ok {
			usageSteps[req.Workspace] = int(
				math.Log(1+a.usage.workspaceTokens(now, req.Workspace)) / math.Log(usageStepRatio))
		}
	}
	slices.SortStableFunc(e.queue, func(x, y *Request) int {
		return cmp.Or(
			cmp.Compare(boolToInt(!x.Resumed), boolToInt(!y.Resumed)),
			cmp.Compare(usageSteps[x.Workspace], usageSteps[y.Workspace]),
			cmp.Compare(boolToInt(x.refusedBefore), boolToInt(y.refusedBefore)),
			cmp.Compare(lengthSteps[x], lengthSteps[y]),
			x.FirstBy.Compare(y.FirstBy),
		)
	})
}

// shedLate refuses each waiting request that would start too late behind the requests
// ahead of it. A request that was already late on arrival does not wait at all.
func (a *Admitter) shedLate(now time.Time, e *engineState) {
	engineFree := now.Add(e.prefillBacklog(now))
	kept := e.queue[:0]
	excess := len(e.running) - e.concurrencyLimit() + 1
	for _, req := range e.queue {
		prefill := e.prefillTime(e.prefixCache.uncachedTokens(req.Prompt, req.Parts))
		begin := engineFree
		if n := excess + len(kept); n > 0 {
			if slotFree := now.Add(time.Duration(n) * e.slotFreeInterval); slotFree.After(begin) {
				begin = slotFree
			}
		}
		if begin.Before(e.health.suspendedUntil) {
			begin = e.health.suspendedUntil
		}
		paced := e.pace.next(now, len(kept))
		if paced.After(begin) {
			begin = paced
		}
		latest := req.latestStart(prefill)
		if a.isUnderserved(now, req.Workspace) {
			if late := req.latestLateStart(); late.After(latest) {
				latest = late
			}
		}
		if begin.After(latest) {
			reason := ReasonTooLate
			if a.usage.workspaceTokens(now, req.Workspace) > a.usage.mean(now) {
				reason = ReasonOverShare
			}
			retryAfter := begin.Sub(now) + e.estimateWait(now)
			if paced.After(latest) {
				reason, retryAfter = e.pace.refusal(now, begin)
			}
			a.refuse(now, e, Decision{
				Request: req, Reason: reason, RetryAfter: retryAfter,
				Ahead: len(kept), StartIn: begin.Sub(now), MaxWait: latest.Sub(now),
			})
			continue
		}
		kept = append(kept, req)
		engineFree = begin.Add(prefill)
	}
	e.queue = kept
}

// isUnderserved reports whether another workspace has used more than underservedRatio times as much as this one.
func (a *Admitter) isUnderserved(now time.Time, workspace string) bool {
	return a.usage.workspaceTokens(now, workspace)*underservedRatio < a.usage.largest(now)
}

// refuse records a refusal, whose retry delay it limits.
func (a *Admitter) refuse(now time.Time, e *engineState, d Decision) {
	e.rememberRefusal(now, d.Request)
	d.RetryAfter = min(max(d.RetryAfter, minRetryAfter), maxRetryAfter)
	a.recordDecision(now, e, d)
}

func (a *Admitter) recordDecision(now time.Time, e *engineState, d Decision) {
	d.Running, d.Waiting, d.Backlog = len(e.running), len(e.queue), e.prefillBacklog(now)
	d.Limit, d.Retried = e.concurrencyLimit(), d.Request.refusedBefore
	d.At, d.Cold = now, e.pace.cold.Phase == pacer.Cold
	d.Usage, d.MeanUsage = a.usage.workspaceTokens(now, d.Request.Workspace), a.usage.mean(now)
	d.Underserved = a.isUnderserved(now, d.Request.Workspace)
	a.decisions = append(a.decisions, d)
}
