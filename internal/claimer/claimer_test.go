package claimer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"papayapaddle/internal/connector"
	"papayapaddle/internal/emulator"
	"papayapaddle/internal/failer"
)

// fakeTable is an in-memory table service with injected faults. Delayed
// transactions take effect after their caller has given up.
type fakeTable struct {
	rows    map[string]connector.Row
	version uint64
	delayed []connector.Transaction
	// drawFault chooses the fault of the next call.
	drawFault func() callFault
}

type callFault int

const (
	faultNone callFault = iota
	faultUnavailable
	faultReplyLost
	faultDelayed
	faultCount
)

var errReplyLost = failer.Wrap("test", connector.KindOutcomeUnknown, errors.New("lost"))

func (t *fakeTable) apply(tx connector.Transaction) error {
	for _, c := range tx.Checks {
		if t.rows[c.Key].Version != c.Version {
			return failer.New("test", connector.KindConflict, "check")
		}
	}
	t.version++
	for _, p := range tx.Puts {
		t.rows[p.Key] = connector.Row{Key: p.Key, Version: t.version, Value: p.Value}
	}
	for _, k := range tx.Deletes {
		delete(t.rows, k)
	}
	return nil
}

func (t *fakeTable) transact(_ context.Context, tx connector.Transaction) error {
	switch t.drawFault() {
	case faultUnavailable:
		return failer.New("test", connector.KindUnavailable, "down")
	case faultReplyLost:
		// The transaction may take effect, but its reply is lost.
		_ = t.apply(tx)
		return errReplyLost
	case faultDelayed:
		t.delayed = append(t.delayed, tx)
		return errReplyLost
	}
	return t.apply(tx)
}

func (t *fakeTable) get(_ context.Context, key string) (connector.Row, error) {
	if f := t.drawFault(); f == faultUnavailable || f == faultReplyLost {
		return connector.Row{}, errReplyLost
	}
	if r, ok := t.rows[key]; ok {
		return r, nil
	}
	return connector.Row{}, failer.New("test", connector.KindNotFound, key)
}

// applyDelayed applies the delayed transaction at index.
func (t *fakeTable) applyDelayed(index int) {
	tx := t.delayed[index]
	t.delayed = append(t.delayed[:index], t.delayed[index+1:]...)
	// The caller has given up, so a failed check is not reported.
	_ = t.apply(tx)
}

// simulatedRequest is a request at a router that may pause or crash between steps.
type simulatedRequest struct {
	token string
	claim *Claim
	// nextStep is the step that advance runs next. A crashed request runs none.
	nextStep int
	crashed  bool
}

// TestAtMostOneDispatch interleaves requests with the same key at routers that
// pause or crash between any two steps. The table service loses replies and
// delays transactions. The call must run at most once. In particular, a claim
// must not be released after its call was sent.
func TestAtMostOneDispatch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb := &fakeTable{rows: map[string]connector.Row{}}
		tb.drawFault = func() callFault { return callFault(rapid.IntRange(0, int(faultCount)-1).Draw(rt, "fault")) }
		key := Key{Workspace: "w", Service: "s", Key: "k"}
		var requests []*simulatedRequest
		runs := 0
		// A request repeats a step that failed, as a paused process would. The
		// canceled context skips the retry delays.
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		steps := rapid.IntRange(1, 60).Draw(rt, "steps")
		for range steps {
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0:
				requests = append(requests, &simulatedRequest{token: fmt.Sprint("t", len(requests))})
			case 1:
				if len(tb.delayed) > 0 {
					tb.applyDelayed(rapid.IntRange(0, len(tb.delayed)-1).Draw(rt, "delayed"))
				}
			case 2:
				if len(requests) > 0 {
					requests[rapid.IntRange(0, len(requests)-1).Draw(rt, "crash")].crashed = true
				}
			default:
				if len(requests) == 0 {
					continue
				}
				req := requests[rapid.IntRange(0, len(requests)-1).Draw(rt, "request")]
				c := &Claimer{Store: Store{Get: tb.get, Transact: tb.transact}, Holder: req.token}
				req.advance(ctx, rt, c, key, &runs)
			}
			if runs > 1 {
				rt.Fatalf("the call ran %d times", runs)
			}
		}
	})
}

// advance runs the next step of the request: claim, dispatch, then record the
// response, or release the claim if the call was not sent.
func (req *simulatedRequest) advance(ctx context.Context, rt *rapid.T, c *Claimer, key Key, runs *int) {
	if req.crashed {
		return
	}
	switch req.nextStep {
	case 0:
		d, err := c.claim(ctx, key, "digest", req.token)
		if err != nil || d.Verdict != VerdictOwned {
			// Without the claim, the request never dispatches.
			req.nextStep = 9
			return
		}
		req.claim = &d.Claim
		req.nextStep = 1
	case 1:
		if rapid.Bool().Draw(rt, "sent") {
			*runs++
			req.nextStep = 2
			return
		}
		req.nextStep = 3
	case 2:
		_, _ = c.tryUpdateClaim(ctx, key, req.token, connector.Transaction{Puts: []connector.Put{{
			Key: key.RowKey(), Value: encode(Claim{State: StateDone, Digest: "digest", Token: req.token, Response: &Response{Status: 200}}),
		}}})
	case 3:
		_, _ = c.tryUpdateClaim(ctx, key, req.token, connector.Transaction{Deletes: []string{key.RowKey()}})
	}
}

// TestTakeoverWouldRunCallTwice shows why the claim of a crashed holder is not
// taken over, even if the service checks fencing numbers. A higher number
// rejects delayed calls, but cannot undo a call that already ran.
func TestTakeoverWouldRunCallTwice(t *testing.T) {
	c := qt.New(t)
	executions := &emulator.ExecutionLog{}
	service := emulator.NewService("booking", 1, executions)
	service.ChecksFencing = true
	send := func(fencingNumber string) int {
		r := httptest.NewRequest(http.MethodPost, "/visits", nil)
		r.Header.Set("Idempotency-Key", "k")
		r.Header.Set("Fencing-Number", fencingNumber)
		w := httptest.NewRecorder()
		service.ServeHTTP(w, r)
		return w.Code
	}
	// The first holder sends the call and crashes before it records the response.
	c.Assert(send("1"), qt.Equals, http.StatusOK)
	// A router that took over the claim would send a higher number.
	c.Assert(send("2"), qt.Equals, http.StatusOK)
	// Only calls with a lower number are rejected.
	c.Assert(send("1"), qt.Equals, http.StatusPreconditionFailed)
	c.Assert(executions.List(), qt.HasLen, 2)
}

// TestRecordedResponseIsReplayed checks that a repeated call gets the recorded
// response byte for byte, and that a different request with the key is a
// mismatch.
func TestRecordedResponseIsReplayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tb := &fakeTable{rows: map[string]connector.Row{}, drawFault: func() callFault { return faultNone }}
		cl := &Claimer{Store: Store{Get: tb.get, Transact: tb.transact}, Holder: "h"}
		key := Key{Workspace: "w", Service: "s", Key: "k"}
		d, err := cl.Claim(t.Context(), key, "d1", "t1")
		c.Assert(err, qt.IsNil)
		c.Assert(d.Verdict, qt.Equals, VerdictOwned)
		repeat, err := cl.Claim(t.Context(), key, "d1", "t2")
		c.Assert(err, qt.IsNil)
		c.Assert(repeat.Verdict, qt.Equals, VerdictPending)
		body := []byte("{\"x\": \"\u00e9\"}\n\x00")
		c.Assert(cl.RecordResponse(t.Context(), key, d.Claim, Response{Status: 201, Body: body}), qt.IsNil)
		repeat, err = cl.Claim(t.Context(), key, "d1", "t3")
		c.Assert(err, qt.IsNil)
		c.Assert(repeat.Verdict, qt.Equals, VerdictRecorded)
		c.Assert(repeat.Claim.Response.Body, qt.DeepEquals, body)
		other, err := cl.Claim(t.Context(), key, "d2", "t4")
		c.Assert(err, qt.IsNil)
		c.Assert(other.Verdict, qt.Equals, VerdictMismatch)
	})
}

// TestFailedStoreIsProbedOncePerInterval checks that only one claim per
// probeInterval is let through to a failed store.
func TestFailedStoreIsProbedOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tb := &fakeTable{rows: map[string]connector.Row{}, drawFault: func() callFault { return faultUnavailable }}
		cl := &Claimer{Store: Store{Get: tb.get, Transact: tb.transact}}
		_, err := cl.Claim(t.Context(), Key{Key: "k"}, "d", "t")
		c.Assert(failer.KindOf[Kind](err), qt.Equals, KindStore)
		c.Assert(cl.CheckStore(time.Now()), qt.IsNotNil)
		<-time.After(probeInterval)
		c.Assert(cl.CheckStore(time.Now()), qt.IsNil)
		c.Assert(cl.CheckStore(time.Now()), qt.IsNotNil)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"state":"done","digest":"d","token":"t","answer":{"status":200}}`))
	f.Add([]byte(`{"state":"claimed"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := Decode(b)
		if err == nil && c.Validate() != nil {
			t.Fatal("Decode accepted a claim that fails Validate")
		}
	})
}
