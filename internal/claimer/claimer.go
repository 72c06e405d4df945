// Package claimer makes sure that a keyed non-idempotent call runs at most once
// across the fleet. Just before dispatch its router inserts a claim row in the
// table service; whoever inserts it may dispatch, once. The row later holds the
// answer, which every repetition of the call gets.
//
// A claim is not a lease: it never lapses and is never taken over, since a
// holder that is paused for an hour may still dispatch when it wakes, and one
// that died may have dispatched already. docs/DESIGN.md tells why a fencing
// number does not change this.
package claimer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/url"
	"sync/atomic"
	"time"

	"papayapaddle/internal/connector"
	"papayapaddle/internal/failer"
	"papayapaddle/internal/pauser"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindStore means that the store could not be asked; the call did not run
	// because of this attempt.
	KindStore Kind = "store unavailable"
	// KindInvalid means that a claim row cannot be read.
	KindInvalid Kind = "invalid claim"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// State is the state of a claim row.
type State string

// The states of a claim row. A row that does not exist is unclaimed.
const (
	StateClaimed State = "claimed"
	StateDone    State = "done"
)

// MaxAnswerBytes is the largest answer that is recorded.
const MaxAnswerBytes = 256 << 10

// Answer is a recorded answer; a repetition gets it byte for byte.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Claim is the value of a claim row.
type Claim struct {
	State State `json:"state"`
	// Digest is the hash of the request, so that a key is not used for another.
	Digest string `json:"digest"`
	// Token names the one request that may dispatch.
	Token string `json:"token"`
	// Holder is the router incarnation that claimed.
	Holder string `json:"holder"`
	// ClaimedAt helps an operator who looks the claim up.
	ClaimedAt time.Time `json:"claimed-at"`
	Answer    *Answer   `json:"answer,omitempty"`
	// TooLarge says that the call ran and its answer was not recorded.
	TooLarge bool `json:"too-large,omitempty"`
}

// Check refuses a row that no router writes.
func (c *Claim) Check() error {
	switch {
	case c.State != StateClaimed && c.State != StateDone:
		return failer.New("check claim", KindInvalid, fmt.Sprintf("state %q", c.State))
	case c.Digest == "" || c.Token == "":
		return failer.New("check claim", KindInvalid, "no digest or token")
	case c.State == StateDone && c.Answer == nil && !c.TooLarge:
		return failer.New("check claim", KindInvalid, "done without an answer")
	}
	return nil
}

// Key names a claim.
type Key struct {
	Workspace string
	Service   string
	// Key is the caller's idempotency key.
	Key string
}

// Row returns the key of the claim's row in the table service.
func (k Key) Row() string {
	sum := sha256.Sum256([]byte(k.Key))
	return "claim/" + url.PathEscape(k.Workspace) + "/" + url.PathEscape(k.Service) + "/" + hex.EncodeToString(sum[:])
}

// Digest hashes what makes two requests the same.
func Digest(method, path string, body []byte) string {
	h := sha256.New()
	// Lengths keep the boundary between the fields.
	fmt.Fprintf(h, "%d %s %d %s %d ", len(method), method, len(path), path, len(body))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Verdict is what a caller of Claim may do.
type Verdict string

// The verdicts.
const (
	// VerdictOwned permits one dispatch.
	VerdictOwned Verdict = "owned"
	// VerdictRecorded comes with the recorded answer.
	VerdictRecorded Verdict = "recorded"
	// VerdictPending means that another request has claimed and not finished.
	VerdictPending Verdict = "pending"
	// VerdictUnrecorded means that the call ran and its answer was too large to
	// be kept.
	VerdictUnrecorded Verdict = "unrecorded"
	// VerdictMismatch means that the key was used for another request.
	VerdictMismatch Verdict = "mismatch"
)

// Decision is the result of Claim.
type Decision struct {
	Verdict Verdict
	Claim   Claim
}

// Store is what the claimer needs of the table service, as function fields so
// that tests can put faults between. All must be set.
type Store struct {
	Get      func(ctx context.Context, key string) (connector.Row, error)
	Transact func(ctx context.Context, t connector.Transaction) error
}

// StoreOf returns the store behind a platform client.
func StoreOf(c *connector.Client) Store { return Store{Get: c.Get, Transact: c.Transact} }

const (
	// tries is how often a lost answer is resolved before the call is refused.
	tries = 3
	// recordTries is how often an answer is written before it is given up; the
	// claim then stays, and a repetition is told that the outcome is unknown.
	recordTries = 20
	// retryEvery is the wait between two tries.
	retryEvery = 100 * time.Millisecond
	// maxRetryEvery bounds the growing wait between tries in the background.
	maxRetryEvery = 5 * time.Second
)

const (
	// claimTimeout bounds the time that a claim may take: a slot is held
	// meanwhile.
	claimTimeout = 2 * time.Second
	// avoidFor is how long a store that failed is not asked again by more than
	// one claim, so that slow failures do not take up the slots of other work.
	avoidFor = time.Second
)

// Claimer claims keys for one router incarnation. Store and Holder must be set.
type Claimer struct {
	Store  Store
	Holder string

	// avoidTill is when the store is tried again, in Unix nanoseconds.
	avoidTill atomic.Int64
}

// Available says whether a claim is worth trying. It returns an error of
// KindStore while the store is known to fail; one caller in avoidFor is let
// through to find out whether it works again.
func (c *Claimer) Available(now time.Time) error {
	till := c.avoidTill.Load()
	if till == 0 {
		return nil
	}
	if now.UnixNano() >= till && c.avoidTill.CompareAndSwap(till, now.Add(avoidFor).UnixNano()) {
		return nil
	}
	return failer.New("claim", KindStore, "the store failed lately")
}

// Claim tries to become the one request that may dispatch the call. An error
// means that it may not, and that no later step will dispatch for this token.
func (c *Claimer) Claim(ctx context.Context, k Key, digest, token string) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	d, err := c.claim(ctx, k, digest, token)
	if failer.KindOf[Kind](err) == KindStore {
		c.avoidTill.Store(time.Now().Add(avoidFor).UnixNano())
	} else {
		c.avoidTill.Store(0)
	}
	return d, err
}

func (c *Claimer) claim(ctx context.Context, k Key, digest, token string) (Decision, error) {
	claim := Claim{State: StateClaimed, Digest: digest, Token: token, Holder: c.Holder, ClaimedAt: time.Now().UTC()}
	t := connector.Transaction{
		Checks: []connector.Check{{Key: k.Row()}},
		Puts:   []connector.Put{{Key: k.Row(), Value: encode(claim)}},
	}
	for try := 0; ; try++ {
		err := c.Store.Transact(ctx, t)
		if err == nil {
			return Decision{Verdict: VerdictOwned, Claim: claim}, nil
		}
		kind := failer.KindOf[connector.Kind](err)
		if kind == connector.KindUnavailable {
			return Decision{}, failer.Wrap("claim", KindStore, err)
		}
		// The answer was lost or the row exists: the row tells. An insert that
		// is still on its way takes effect at most once, since it is checked.
		d, found, err := c.read(ctx, k, digest, token)
		if err == nil && found {
			return d, nil
		}
		if err != nil && failer.KindOf[Kind](err) == KindInvalid {
			return Decision{}, err
		}
		if try+1 >= tries || !pauser.Pause(ctx, retryEvery) {
			return Decision{}, failer.New("claim", KindStore, "the store did not say whether the claim was made")
		}
	}
}

// read judges the row as it is; found is false when there is none.
func (c *Claimer) read(ctx context.Context, k Key, digest, token string) (d Decision, found bool, err error) {
	row, err := c.Store.Get(ctx, k.Row())
	if failer.KindOf[connector.Kind](err) == connector.KindNotFound {
		return Decision{}, false, nil
	}
	if err != nil {
		return Decision{}, false, failer.Wrap("read claim", KindStore, err)
	}
	claim, err := Decode(row.Value)
	if err != nil {
		return Decision{}, false, err
	}
	return Decision{Verdict: judge(claim, digest, token), Claim: claim}, true, nil
}

// Decode reads a claim row's value.
func Decode(b []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(b, &c); err != nil {
		return Claim{}, failer.Wrap("decode claim", KindInvalid, err)
	}
	return c, c.Check()
}

func judge(c Claim, digest, token string) Verdict {
	switch {
	case c.Token == token && c.State == StateClaimed:
		return VerdictOwned
	case c.Digest != digest:
		return VerdictMismatch
	case c.TooLarge:
		return VerdictUnrecorded
	case c.State == StateDone:
		return VerdictRecorded
	default:
		return VerdictPending
	}
}

// Record writes the answer of an owned claim. It tries for a while, so it is
// called in the background after the caller was answered.
func (c *Claimer) Record(ctx context.Context, k Key, claim Claim, a Answer) error {
	claim.State = StateDone
	claim.Answer = &a
	if len(a.Body) > MaxAnswerBytes {
		claim.Answer, claim.TooLarge = nil, true
	}
	t := connector.Transaction{Puts: []connector.Put{{Key: k.Row(), Value: encode(claim)}}}
	return c.settle(ctx, "record", k, claim.Token, t)
}

// Release deletes an owned claim whose call was certainly not sent.
func (c *Claimer) Release(ctx context.Context, k Key, token string) error {
	return c.settle(ctx, "release", k, token, connector.Transaction{Deletes: []string{k.Row()}})
}

// settle applies a change to the own claim row as long as the row is still the
// own claim. The check on the row's version keeps a late try from changing what
// came after.
func (c *Claimer) settle(ctx context.Context, op string, k Key, token string, t connector.Transaction) error {
	every := retryEvery
	var last error
	for range recordTries {
		done, err := c.settleOnce(ctx, k, token, t)
		if done {
			return err
		}
		last = err
		if !pauser.Pause(ctx, every) {
			break
		}
		every = min(2*every, maxRetryEvery)
	}
	return failer.Wrap(op, KindStore, last)
}

func (c *Claimer) settleOnce(ctx context.Context, k Key, token string, t connector.Transaction) (done bool, err error) {
	row, err := c.Store.Get(ctx, k.Row())
	if failer.KindOf[connector.Kind](err) == connector.KindNotFound {
		// An earlier try to release took effect.
		return true, nil
	}
	if err != nil {
		return false, err
	}
	claim, err := Decode(row.Value)
	if err != nil {
		return true, err
	}
	if claim.Token != token || claim.State == StateDone {
		return true, nil
	}
	t.Checks = []connector.Check{{Key: k.Row(), Version: row.Version}}
	err = c.Store.Transact(ctx, t)
	return err == nil, err
}

func encode(c Claim) json.RawMessage {
	b, err := json.Marshal(c)
	if err != nil {
		// A Claim always encodes.
		panic(err)
	}
	return b
}
