package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"papayapaddle/internal/claimer"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/forwarder"
	"papayapaddle/internal/scheduler"
)

// errClaimNotWon is returned if a call was not sent because it could not claim its idempotency key.
var errClaimNotWon = errors.New("the claim was not won")

// forwardService forwards a request to a plain service.
func (a *attempt) forwardService(ctx context.Context, slot scheduler.Slot, server forwarder.Server) error {
	if !a.isIdempotent() {
		// A non-idempotent request continues after the caller disconnects, so that its
		// response can be recorded.
		detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), a.Deadline)
		defer cancel()
		defer context.AfterFunc(ctx, func() { a.cancelSuperseded(cancel) })()
		ctx = detached
	}
	start := time.Now()
	response, err := a.d.Forwarder.Forward(ctx, server, a.forwardRequest(slot))
	cost := float64(time.Since(start).Milliseconds())
	a.status = response.Status
	a.releaseSlot(ctx, slot, err, cost, forwarder.StreamStats{})
	if err != nil {
		return err
	}
	a.write = func() error {
		a.observeCost(cost)
		a.recordResponse(response)
		return a.writer.WriteResponse(response.Status, response.Header, response.Body)
	}
	return nil
}

// cancelSuperseded calls cancel if another attempt goes on.
func (a *attempt) cancelSuperseded(cancel context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.superseded {
		cancel()
	}
}

func (c *call) claimKey() claimer.Key {
	return claimer.Key{Workspace: c.Workspace.Name, Service: c.Pool.Service, Key: c.IdempotencyKey}
}

// acquireClaim claims the idempotency key. It is called once the connection to the backend server
// is open, just before the request is written.
func (c *call) acquireClaim(ctx context.Context) error {
	digest := claimer.Digest(c.Method, c.Path, c.Body)
	token := c.d.Claimer.Holder + "/" + c.ID
	decision, err := c.d.Claimer.Claim(ctx, c.claimKey(), digest, token)
	if err != nil {
		c.claimErr = err
		// The claim may have been inserted even though the store's response was lost.
		c.releaseClaimToken(token)
		return errors.Join(errClaimNotWon, err)
	}
	if decision.Verdict != claimer.VerdictOwned {
		c.lostClaim = &decision
		return errClaimNotWon
	}
	c.claim = &decision.Claim
	c.d.pendingClaims.Store(c.ID, c.claimKey().RowKey())
	return nil
}

// recordResponse stores the response of a claimed request in the background.
func (c *call) recordResponse(response forwarder.Response) {
	if c.claim == nil {
		return
	}
	recorded := claimer.Response{
		Status: response.Status, ContentType: response.Header.Get("Content-Type"), Body: response.Body,
	}
	c.updateClaim("record", func(ctx context.Context) error {
		return c.d.Claimer.RecordResponse(ctx, c.claimKey(), *c.claim, recorded)
	})
}

// releaseClaim releases the claim if the request was certainly not executed.
func (c *call) releaseClaim() {
	if c.claim == nil || c.mayHaveRun {
		return
	}
	c.releaseClaimToken(c.claim.Token)
}

func (c *call) releaseClaimToken(token string) {
	c.updateClaim("release", func(ctx context.Context) error {
		return c.d.Claimer.Release(ctx, c.claimKey(), token)
	})
}

// updateClaim updates the claim in the background and logs a failure.
func (c *call) updateClaim(op string, update func(context.Context) error) {
	c.d.claimUpdates.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimUpdateTimeout)
		defer cancel()
		defer c.d.pendingClaims.Delete(c.ID)
		if err := update(ctx); err != nil {
			c.d.log("claim-unsettled", "request", c.ID, "op", op, "row", c.claimKey().RowKey(), "err", err)
		}
	})
}

// resolve converts the error of the last attempt into the result of the request.
func (c *call) resolve(err error) Result {
	if c.lostClaim != nil {
		return c.resolveDuplicate(*c.lostClaim)
	}
	if c.claimErr != nil {
		return c.fail(storeUnavailable())
	}
	var refused *scheduler.RefusedError
	if errors.As(err, &refused) {
		c.releaseClaim()
		return c.fail(refusalFailure(refused.Refusal))
	}
	if failer.KindOf[scheduler.Kind](err) != "" {
		c.releaseClaim()
		return c.fail(Failure{
			Outcome: OutcomeNotRun, Status: http.StatusServiceUnavailable,
			Title: "deadline passed", Detail: "the request was given up while it waited", RetryAfter: time.Second,
		})
	}
	switch failer.KindOf[forwarder.Kind](err) {
	case forwarder.KindNotSent, forwarder.KindRefused:
		c.releaseClaim()
		return c.fail(Failure{
			Outcome: OutcomeNotRun, Status: http.StatusServiceUnavailable,
			Title: "no backend server took the request", Detail: err.Error(), RetryAfter: time.Second,
		})
	}
	return c.fail(Failure{
		Outcome: OutcomeUnknown, Status: http.StatusBadGateway,
		Title: "the answer was lost", Detail: err.Error(),
	})
}

// fail returns a failed result and aborts the stream if one was started.
func (c *call) fail(f Failure) Result {
	if c.mayHaveRun && f.Outcome == OutcomeNotRun {
		f.Outcome = OutcomeUnknown
		f.Detail += "; an earlier attempt may have run"
	}
	c.result.Outcome = f.Outcome
	c.result.Failure = &f
	if c.result.StreamStarted {
		c.writer.AbortStream(f)
	}
	return c.result
}

func storeUnavailable() Failure {
	return Failure{
		Outcome: OutcomeNotRun, Status: http.StatusServiceUnavailable,
		Title:  "the request could not be claimed",
		Detail: "the table service does not answer; a keyed call is not run without a claim", RetryAfter: time.Second,
	}
}

func refusalFailure(r scheduler.Refusal) Failure {
	f := Failure{
		Outcome: OutcomeNotRun, Status: http.StatusServiceUnavailable,
		Title: string(r.Reason), RetryAfter: r.RetryAfter,
		Detail: "the request was not run; try again after the stated time",
	}
	if r.Reason == scheduler.ReasonOverloaded {
		f.Status = http.StatusTooManyRequests
	}
	return f
}

// resolveDuplicate returns the result of a call whose idempotency key was claimed by an earlier
// call. It replays the recorded response, if there is one.
func (c *call) resolveDuplicate(decision claimer.Decision) Result {
	switch decision.Verdict {
	case claimer.VerdictRecorded:
		recorded := decision.Claim.Response
		c.result.Replayed = true
		header := http.Header{"Idempotency-Replayed": {"true"}}
		if recorded.ContentType != "" {
			header.Set("Content-Type", recorded.ContentType)
		}
		if err := c.writer.WriteResponse(recorded.Status, header, recorded.Body); err != nil {
			return c.fail(Failure{Outcome: OutcomeUnknown, Title: "caller gone", Status: http.StatusBadGateway})
		}
		c.result.Outcome = OutcomeComplete
		return c.result
	case claimer.VerdictMismatch:
		return c.fail(Failure{
			Outcome: OutcomeNotRun, Status: http.StatusUnprocessableEntity, Title: "key used for another request",
			Detail: "the idempotency key was used before with another method, path or body; use a new key",
		})
	case claimer.VerdictUnrecorded:
		return c.fail(Failure{
			Outcome: OutcomeUnknown, Status: http.StatusConflict, Title: "ran before",
			Detail: "the call ran before, and its answer was too large to be kept",
		})
	}
	if c.d.IsHolderAlive != nil && !c.d.IsHolderAlive(decision.Claim.Holder) {
		return c.fail(Failure{
			Outcome: OutcomeUnknown, Status: http.StatusConflict, Title: "outcome unknown",
			Detail: "the call was started by a router that is gone; it is not run again. An operator can look it up.",
		})
	}
	return c.fail(Failure{
		Outcome: OutcomeUnknown, Status: http.StatusConflict, Title: "in progress",
		Detail: "the call with this key is running; ask again for its answer", RetryAfter: time.Second,
	})
}
