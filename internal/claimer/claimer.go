// Package claimer ensures that a non-idempotent call with an idempotency key runs
// at most once across the fleet. Just before dispatch, a router inserts a claim
// row in the table service. Only the router whose insert succeeds may dispatch
// the call, once. The row later stores the response, which is replayed to
// repeated calls with the same key.
//
// A claim is not a lease: it never expires and is never taken over. A paused
// holder may still dispatch when it resumes, and a crashed holder may already
// have dispatched. docs/DESIGN.md explains why fencing numbers do not change
// this.
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

// Kinds of errors.
const (
	// KindStore means that the store was unavailable. The call was not dispatched by
	// this attempt.
	KindStore Kind = "store unavailable"
	// KindInvalid means that a claim row is malformed.
	KindInvalid Kind = "invalid claim"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// State is the state of a claim row.
type State string

// States of a claim row. A key without a row is unclaimed.
const (
	StateClaimed State = "claimed"
	StateDone    State = "done"
)

// MaxResponseBytes is the size of the largest response body that is recorded.
const MaxResponseBytes = 256 << 10

// Response is a recorded response. It is replayed byte for byte.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Claim is the value of a claim row.
type Claim struct {
	State State `json:"state"`
	// Digest is the hash of the request. It detects reuse of the key for a
	// different request.
	Digest string `json:"digest"`
	// Token identifies the request that may dispatch the call.
	Token string `json:"token"`
	// Holder is the router incarnation that inserted the claim.
	Holder string `json:"holder"`
	// ClaimedAt is shown to operators who look up the claim.
	ClaimedAt time.Time `json:"claimed-at"`
	Response  *Response `json:"answer,omitempty"`
	// ResponseTooLarge means that the call ran and its response exceeded
	// MaxResponseBytes, so it was not recorded.
	ResponseTooLarge bool `json:"too-large,omitempty"`
}

// Validate returns an error of KindInvalid for a claim that no router writes.
func (c *Claim) Validate() error {
	switch {
	case c.State != StateClaimed && c.State != StateDone:
		return failer.New("check claim", KindInvalid, fmt.Sprintf("unknown state %q", c.State))
	case c.Digest == "" || c.Token == "":
		return failer.New("check claim", KindInvalid, "no digest or token")
	case c.State == StateDone && c.Response == nil && !c.ResponseTooLarge:
		return failer.New("check claim", KindInvalid, "done without a response")
	}
	return nil
}

// Key identifies a claim.
type Key struct {
	Workspace string
	Service   string
	// Key is the caller's idempotency key.
	Key string
}

// RowKey returns the key of the claim's row in the table service.
func (k Key) RowKey() string {
	sum := sha256.Sum256([]byte(k.Key))
	return "claim/" + url.PathEscape(k.Workspace) + "/" + url.PathEscape(k.Service) + "/" + hex.EncodeToString(sum[:])
}

// Digest hashes the parts of a request that must match for a repeated call.
func Digest(method, path string, body []byte) string {
	h := sha256.New()
	// The lengths make the concatenation of the fields unambiguous.
	fmt.Fprintf(h, "%d %s %d %s %d ", len(method), method, len(path), path, len(body))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Verdict tells the caller of Claim how to proceed.
type Verdict string

// Verdicts of Claim.
const (
	// VerdictOwned permits the caller to dispatch once.
	VerdictOwned Verdict = "owned"
	// VerdictRecorded means that the call ran and its response is in the claim.
	VerdictRecorded Verdict = "recorded"
	// VerdictPending means that another request holds the claim and has not
	// recorded a response.
	VerdictPending Verdict = "pending"
	// VerdictUnrecorded means that the call ran and its response was too large to
	// record.
	VerdictUnrecorded Verdict = "unrecorded"
	// VerdictMismatch means that the key was used for a different request.
	VerdictMismatch Verdict = "mismatch"
)

// Decision is the result of Claim.
type Decision struct {
	Verdict Verdict
	Claim   Claim
}

// Store is the part of the table service that the claimer uses. Its fields are
// functions so that tests can inject faults. All must be set.
type Store struct {
	Get      func(ctx context.Context, key string) (connector.Row, error)
	Transact func(ctx context.Context, tx connector.Transaction) error
}

// NewStore returns a Store that calls the table service through c.
func NewStore(c *connector.Client) Store { return Store{Get: c.Get, Transact: c.Transact} }

const (
	// maxClaimAttempts is the number of attempts to claim a key while the result of
	// the insert is unknown. The call is refused after the last.
	maxClaimAttempts = 3
	// maxUpdateAttempts is the number of attempts to update a claim. After the last,
	// the claim stays as it is, and repeated calls are told that the outcome is
	// unknown.
	maxUpdateAttempts = 20
	// retryDelay is the delay between attempts to claim, and the initial delay
	// between attempts to update.
	retryDelay = 100 * time.Millisecond
	// maxRetryDelay bounds the exponential backoff between attempts to update.
	maxRetryDelay = 5 * time.Second
)

const (
	// claimTimeout bounds the time to claim a key, during which the request holds a
	// slot. It leaves time for an insert after two seconds without an answer.
	claimTimeout = 4 * time.Second
	// probeInterval is the interval at which single claims probe a failed store.
	// Other claims are rejected at once, so that slow store failures do not occupy
	// the slots of other requests.
	probeInterval = time.Second
)

// Claimer claims keys for one router incarnation. Store and Holder must be set.
type Claimer struct {
	Store  Store
	Holder string

	// nextProbe is when the failed store may be probed, in Unix nanoseconds. It is 0
	// while the store works.
	nextProbe atomic.Int64
}

// CheckStore returns an error of KindStore while the store is known to fail. Once
// per probeInterval it returns nil to one caller, whose claim probes the store.
func (c *Claimer) CheckStore(now time.Time) error {
	probeAt := c.nextProbe.Load()
	if probeAt == 0 {
		return nil
	}
	if now.UnixNano() >= probeAt && c.nextProbe.CompareAndSwap(probeAt, now.Add(probeInterval).UnixNano()) {
		return nil
	}
	return failer.New("claim", KindStore, "store failed recently")
}

// Claim tries to claim the key for the request identified by token. After an
// error the request must not dispatch the call.
func (c *Claimer) Claim(ctx context.Context, k Key, digest, token string) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	d, err := c.claim(ctx, k, digest, token)
	if failer.KindOf[Kind](err) == KindStore {
		c.nextProbe.Store(time.Now().Add(probeInterval).UnixNano())
	} else {
		c.nextProbe.Store(0)
	}
	return d, err
}

func (c *Claimer) claim(ctx context.Context, k Key, digest, token string) (Decision, error) {
	claim := Claim{State: StateClaimed, Digest: digest, Token: token, Holder: c.Holder, ClaimedAt: time.Now().UTC()}
	tx := connector.Transaction{
		Checks: []connector.Check{{Key: k.RowKey()}},
		Puts:   []connector.Put{{Key: k.RowKey(), Value: encode(claim)}},
	}
	for attempt := 0; ; attempt++ {
		err := c.Store.Transact(ctx, tx)
		if err == nil {
			return Decision{Verdict: VerdictOwned, Claim: claim}, nil
		}
		kind := failer.KindOf[connector.Kind](err)
		if kind == connector.KindUnavailable {
			return Decision{}, failer.Wrap("claim", KindStore, err)
		}
		// Either the reply was lost or the row exists, so read the row. An insert
		// that is still in flight takes effect at most once, since it requires that
		// the row does not exist.
		d, found, err := c.readDecision(ctx, k, digest, token)
		if err == nil && found {
			return d, nil
		}
		if err != nil && failer.KindOf[Kind](err) == KindInvalid {
			return Decision{}, err
		}
		if attempt+1 >= maxClaimAttempts || !pauser.Sleep(ctx, retryDelay) {
			return Decision{}, failer.New("claim", KindStore, "result of the insert is unknown")
		}
	}
}

// readDecision returns the decision that follows from the current row. found is
// false if there is no row.
func (c *Claimer) readDecision(ctx context.Context, k Key, digest, token string) (d Decision, found bool, err error) {
	row, err := c.Store.Get(ctx, k.RowKey())
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
	return Decision{Verdict: verdictFor(claim, digest, token), Claim: claim}, true, nil
}

// Decode decodes and validates the value of a claim row.
func Decode(b []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(b, &c); err != nil {
		return Claim{}, failer.Wrap("decode claim", KindInvalid, err)
	}
	return c, c.Validate()
}

func verdictFor(c Claim, digest, token string) Verdict {
	switch {
	case c.Token == token && c.State == StateClaimed:
		return VerdictOwned
	case c.Digest != digest:
		return VerdictMismatch
	case c.ResponseTooLarge:
		return VerdictUnrecorded
	case c.State == StateDone:
		return VerdictRecorded
	default:
		return VerdictPending
	}
}

// RecordResponse stores the response of the call in an owned claim. It may retry
// for a long time, so it should run in the background after the response was
// sent to the caller.
func (c *Claimer) RecordResponse(ctx context.Context, k Key, claim Claim, response Response) error {
	claim.State = StateDone
	claim.Response = &response
	if len(response.Body) > MaxResponseBytes {
		claim.Response, claim.ResponseTooLarge = nil, true
	}
	tx := connector.Transaction{Puts: []connector.Put{{Key: k.RowKey(), Value: encode(claim)}}}
	return c.updateClaim(ctx, "record", k, claim.Token, tx)
}

// Release deletes an owned claim. The call must certainly not have been sent.
func (c *Claimer) Release(ctx context.Context, k Key, token string) error {
	return c.updateClaim(ctx, "release", k, token, connector.Transaction{Deletes: []string{k.RowKey()}})
}

// updateClaim applies tx to the claim row while token still holds the claim. The
// check of the row version keeps a delayed attempt from overwriting a later
// change.
func (c *Claimer) updateClaim(ctx context.Context, op string, k Key, token string, tx connector.Transaction) error {
	delay := retryDelay
	var lastErr error
	for range maxUpdateAttempts {
		done, err := c.tryUpdateClaim(ctx, k, token, tx)
		if done {
			return err
		}
		lastErr = err
		if !pauser.Sleep(ctx, delay) {
			break
		}
		delay = min(2*delay, maxRetryDelay)
	}
	return failer.Wrap(op, KindStore, lastErr)
}

func (c *Claimer) tryUpdateClaim(ctx context.Context, k Key, token string, tx connector.Transaction) (done bool, err error) {
	row, err := c.Store.Get(ctx, k.RowKey())
	if failer.KindOf[connector.Kind](err) == connector.KindNotFound {
		// An earlier attempt to release took effect.
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
	tx.Checks = []connector.Check{{Key: k.RowKey(), Version: row.Version}}
	err = c.Store.Transact(ctx, tx)
	return err == nil, err
}

func encode(c Claim) json.RawMessage {
	b, err := json.Marshal(c)
	if err != nil {
		// Encoding a Claim cannot fail.
		panic(err)
	}
	return b
}
