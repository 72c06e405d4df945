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

// errClaim marks a call that was not sent because its claim was not won.
var errClaim = errors.New("the claim was not won")

// whole runs a call of a plain service.
func (c *call) whole(ctx context.Context, slot scheduler.Slot, to forwarder.Server) error {
	j := c.job()
	if !c.idempotent() {
		// Once sent, the run goes on to its record whether or not the caller
		// still waits.
		deadline := c.Deadline
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), deadline)
		defer cancel()
	}
	if c.keyed() && c.claim == nil {
		j.Before = c.claimNow
	}
	started := time.Now()
	a, err := c.d.Forwarder.Whole(ctx, to, j)
	cost := float64(time.Since(started).Milliseconds())
	c.settle(slot, err, cost, forwarder.StreamStats{})
	if err != nil {
		return err
	}
	c.learn(cost)
	c.record(a)
	return c.reply.Whole(a.Status, a.Header, a.Body)
}

func (c *call) claimKey() claimer.Key {
	return claimer.Key{Workspace: c.Workspace.Name, Service: c.Pool.Service, Key: c.Key}
}

// claimNow claims on an open connection, just before the first byte.
func (c *call) claimNow(ctx context.Context) error {
	digest := claimer.Digest(c.Method, c.Path, c.Body)
	token := c.d.Claimer.Holder + "/" + c.ID
	decision, err := c.d.Claimer.Claim(ctx, c.claimKey(), digest, token)
	if err != nil {
		c.claimErr = err
		// The insert may take effect although its answer was lost.
		c.releaseToken(token)
		return errors.Join(errClaim, err)
	}
	if decision.Verdict != claimer.VerdictOwned {
		c.decision = &decision
		return errClaim
	}
	c.claim = &decision.Claim
	c.d.claims.Store(c.ID, c.claimKey().RowKey())
	return nil
}

// record writes the answer of keyed work in the background.
func (c *call) record(a forwarder.Answer) {
	if c.claim == nil {
		return
	}
	rec := claimer.Response{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: a.Body}
	c.settleClaim("record", func(ctx context.Context) error {
		return c.d.Claimer.RecordResponse(ctx, c.claimKey(), *c.claim, rec)
	})
}

// releaseClaim gives the claim of a call up that was certainly not sent.
func (c *call) releaseClaim() {
	if c.claim == nil || c.ran {
		return
	}
	c.releaseToken(c.claim.Token)
}

func (c *call) releaseToken(token string) {
	c.settleClaim("release", func(ctx context.Context) error {
		return c.d.Claimer.Release(ctx, c.claimKey(), token)
	})
}

func (c *call) settleClaim(op string, f func(context.Context) error) {
	c.d.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		defer c.d.claims.Delete(c.ID)
		if err := f(ctx); err != nil {
			c.d.log("claim-unsettled", "request", c.ID, "op", op, "row", c.claimKey().RowKey(), "err", err)
		}
	})
}

// conclude turns the last error into the outcome that the caller is told.
func (c *call) conclude(err error) Result {
	if c.decision != nil {
		return c.repeated(*c.decision)
	}
	if c.claimErr != nil {
		return c.fail(storeFailure())
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

func (c *call) fail(f Failure) Result {
	if c.ran && f.Outcome == OutcomeNotRun {
		f.Outcome = OutcomeUnknown
		f.Detail += "; an earlier attempt may have run"
	}
	c.result.Outcome = f.Outcome
	c.result.Failure = &f
	if c.result.Started {
		c.reply.Cut(f)
	}
	return c.result
}

func storeFailure() Failure {
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

// repeated answers a call whose key was claimed before.
func (c *call) repeated(d claimer.Decision) Result {
	switch d.Verdict {
	case claimer.VerdictRecorded:
		a := d.Claim.Response
		c.result.Replayed = true
		h := http.Header{"Idempotency-Replayed": {"true"}}
		if a.ContentType != "" {
			h.Set("Content-Type", a.ContentType)
		}
		if err := c.reply.Whole(a.Status, h, a.Body); err != nil {
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
	if c.d.Alive != nil && !c.d.Alive(d.Claim.Holder) {
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
