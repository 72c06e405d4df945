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

// table is a table service in memory whose faults a test draws. Delayed
// transactions take effect later, after their caller has given up.
type table struct {
	rows    map[string]connector.Row
	version uint64
	delayed []connector.Transaction
	// fate draws what becomes of one call.
	fate func() fate
}

type fate int

const (
	fateOK fate = iota
	fateUnavailable
	fateLost
	fateDelayed
	fates
)

var errLost = failer.Wrap("test", connector.KindUnknown, errors.New("lost"))

func (t *table) apply(tx connector.Transaction) error {
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

func (t *table) transact(_ context.Context, tx connector.Transaction) error {
	switch t.fate() {
	case fateUnavailable:
		return failer.New("test", connector.KindUnavailable, "down")
	case fateLost:
		// It may have taken effect; the caller does not learn of it.
		_ = t.apply(tx)
		return errLost
	case fateDelayed:
		t.delayed = append(t.delayed, tx)
		return errLost
	}
	return t.apply(tx)
}

func (t *table) get(_ context.Context, key string) (connector.Row, error) {
	if f := t.fate(); f == fateUnavailable || f == fateLost {
		return connector.Row{}, errLost
	}
	if r, ok := t.rows[key]; ok {
		return r, nil
	}
	return connector.Row{}, failer.New("test", connector.KindNotFound, key)
}

// late lets one delayed transaction take effect.
func (t *table) late(i int) {
	tx := t.delayed[i]
	t.delayed = append(t.delayed[:i], t.delayed[i+1:]...)
	// Its caller is gone; a failed check is no one's business.
	_ = t.apply(tx)
}

// holder is one request in the hands of a router, between the steps at which it
// may be paused or crash.
type holder struct {
	token string
	claim *Claim
	// step is the next thing it does; a crashed holder does nothing more.
	step    int
	crashed bool
}

// TestAtMostOneDispatch interleaves requests of the same key at routers that
// pause or crash between any two steps, over a table whose answers get lost
// and whose transactions arrive late. The call runs at most once, and once it
// has run its claim is never released.
func TestAtMostOneDispatch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb := &table{rows: map[string]connector.Row{}}
		tb.fate = func() fate { return fate(rapid.IntRange(0, int(fates)-1).Draw(rt, "fate")) }
		key := Key{Workspace: "w", Service: "s", Key: "k"}
		var holders []*holder
		runs := 0
		// A failing step leaves its holder where it is, as a retry of a paused
		// process would; waits are left out by a canceled context.
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		steps := rapid.IntRange(1, 60).Draw(rt, "steps")
		for range steps {
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0:
				holders = append(holders, &holder{token: fmt.Sprint("t", len(holders))})
			case 1:
				if len(tb.delayed) > 0 {
					tb.late(rapid.IntRange(0, len(tb.delayed)-1).Draw(rt, "late"))
				}
			case 2:
				if len(holders) > 0 {
					holders[rapid.IntRange(0, len(holders)-1).Draw(rt, "crash")].crashed = true
				}
			default:
				if len(holders) == 0 {
					continue
				}
				h := holders[rapid.IntRange(0, len(holders)-1).Draw(rt, "holder")]
				c := &Claimer{Store: Store{Get: tb.get, Transact: tb.transact}, Holder: h.token}
				h.advance(ctx, rt, c, key, &runs)
			}
			if runs > 1 {
				rt.Fatalf("the call ran %d times", runs)
			}
		}
	})
}

// advance does the holder's next step: claim, dispatch, then record; or release
// where the call was certainly not sent.
func (h *holder) advance(ctx context.Context, rt *rapid.T, c *Claimer, key Key, runs *int) {
	if h.crashed {
		return
	}
	switch h.step {
	case 0:
		d, err := c.claim(ctx, key, "digest", h.token)
		if err != nil || d.Verdict != VerdictOwned {
			// It was told not-run, pending or the record, and never dispatches.
			h.step = 9
			return
		}
		h.claim = &d.Claim
		h.step = 1
	case 1:
		if rapid.Bool().Draw(rt, "sent") {
			*runs++
			h.step = 2
			return
		}
		h.step = 3
	case 2:
		_, _ = c.settleOnce(ctx, key, h.token, connector.Transaction{Puts: []connector.Put{{
			Key: key.Row(), Value: encode(Claim{State: StateDone, Digest: "digest", Token: h.token, Answer: &Answer{Status: 200}}),
		}}})
	case 3:
		_, _ = c.settleOnce(ctx, key, h.token, connector.Transaction{Deletes: []string{key.Row()}})
	}
}

// TestTakeOverWouldRunTwice shows, at the stand-in that checks fencing numbers,
// why a claim of a dead holder is not taken over: a higher number keeps a late
// order from running, not one that has run.
func TestTakeOverWouldRunTwice(t *testing.T) {
	c := qt.New(t)
	ledger := &emulator.ExecutionLog{}
	service := emulator.NewService("booking", 1, ledger)
	service.ChecksFencing = true
	send := func(number string) int {
		r := httptest.NewRequest(http.MethodPost, "/visits", nil)
		r.Header.Set("Idempotency-Key", "k")
		r.Header.Set("Fencing-Number", number)
		w := httptest.NewRecorder()
		service.ServeHTTP(w, r)
		return w.Code
	}
	// The first holder sends and dies before it records.
	c.Assert(send("1"), qt.Equals, http.StatusOK)
	// Who took over would send with a higher number.
	c.Assert(send("2"), qt.Equals, http.StatusOK)
	// Only what comes late is kept out.
	c.Assert(send("1"), qt.Equals, http.StatusPreconditionFailed)
	c.Assert(ledger.List(), qt.HasLen, 2)
}

// TestRecordIsRepeated checks that a second call gets the recorded answer byte
// for byte, and that another request with the key is refused.
func TestRecordIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tb := &table{rows: map[string]connector.Row{}, fate: func() fate { return fateOK }}
		cl := &Claimer{Store: Store{Get: tb.get, Transact: tb.transact}, Holder: "h"}
		key := Key{Workspace: "w", Service: "s", Key: "k"}
		d, err := cl.Claim(t.Context(), key, "d1", "t1")
		c.Assert(err, qt.IsNil)
		c.Assert(d.Verdict, qt.Equals, VerdictOwned)
		again, err := cl.Claim(t.Context(), key, "d1", "t2")
		c.Assert(err, qt.IsNil)
		c.Assert(again.Verdict, qt.Equals, VerdictPending)
		body := []byte("{\"x\": \"\u00e9\"}\n\x00")
		c.Assert(cl.Record(t.Context(), key, d.Claim, Answer{Status: 201, Body: body}), qt.IsNil)
		again, err = cl.Claim(t.Context(), key, "d1", "t3")
		c.Assert(err, qt.IsNil)
		c.Assert(again.Verdict, qt.Equals, VerdictRecorded)
		c.Assert(again.Claim.Answer.Body, qt.DeepEquals, body)
		other, err := cl.Claim(t.Context(), key, "d2", "t4")
		c.Assert(err, qt.IsNil)
		c.Assert(other.Verdict, qt.Equals, VerdictMismatch)
	})
}

// TestStoreIsAvoided checks that a failing store takes one claim's time in
// avoidFor, and is asked again after it.
func TestStoreIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tb := &table{rows: map[string]connector.Row{}, fate: func() fate { return fateUnavailable }}
		cl := &Claimer{Store: Store{Get: tb.get, Transact: tb.transact}}
		_, err := cl.Claim(t.Context(), Key{Key: "k"}, "d", "t")
		c.Assert(failer.KindOf[Kind](err), qt.Equals, KindStore)
		c.Assert(cl.Available(time.Now()), qt.IsNotNil)
		<-time.After(avoidFor)
		c.Assert(cl.Available(time.Now()), qt.IsNil)
		c.Assert(cl.Available(time.Now()), qt.IsNotNil)
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"state":"done","digest":"d","token":"t","answer":{"status":200}}`))
	f.Add([]byte(`{"state":"claimed"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := Decode(b)
		if err == nil && c.Check() != nil {
			t.Fatal("a claim that fails its check was decoded")
		}
	})
}
