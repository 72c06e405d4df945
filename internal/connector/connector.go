// Package connector speaks to the platform: its transactional table service,
// its object store and its list of instances. Every call has a deadline and a
// share of the process's request budget. Another protocol is put in place by
// replacing this package; no decision is made here.
package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"papayapaddle/internal/failer"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// KindUnavailable means that the call certainly had no effect.
	KindUnavailable Kind = "unavailable"
	// KindOutcomeUnknown means that the answer was lost; a write may have taken effect.
	KindOutcomeUnknown Kind = "answer lost"
	// KindConflict means that a transaction's check failed; it had no effect.
	KindConflict Kind = "conflict"
	KindNotFound Kind = "not found"
	KindInvalid  Kind = "invalid answer"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// CallTimeout bounds one call to the platform.
	CallTimeout = 1500 * time.Millisecond
	// maxAnswerBytes bounds an answer, large enough for a snapshot of all
	// workspaces.
	maxAnswerBytes = 64 << 20
	// CallsPerSecond is one process's share of the platform's calls: 390
	// processes stay below two thousand reads a second with it.
	CallsPerSecond = 5
	// CallBurst is how many calls may be made at once.
	CallBurst = 20
)

// Client calls the platform. Base and HTTP must be set. Clients may share a
// Budget.
type Client struct {
	// BaseURL is the platform's address, like "http://127.0.0.1:7000".
	BaseURL string
	HTTP    *http.Client
	// Limiter limits the calls of one process; nil does not limit them.
	Limiter *rate.Limiter
	// Priority lets calls through whose loss would cost a promise; they use up
	// the budget but never wait for it.
	Priority bool
}

// NewLimiter returns the request budget of one process.
func NewLimiter() *rate.Limiter { return rate.NewLimiter(CallsPerSecond, CallBurst) }

// Row is one row of the table service.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Check demands that a row is at a version; version 0 demands its absence.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Transaction is applied as a whole or not at all.
type Transaction struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states of an instance.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// InstanceRole tells routers from backend servers.
type InstanceRole string

// The roles of an instance.
const (
	RoleRouter        InstanceRole = "router"
	RoleBackendServer InstanceRole = "backend-server"
)

// Instance is one entry of the platform's list.
type Instance struct {
	Name             string        `json:"name"`
	Role             InstanceRole  `json:"role"`
	Address          string        `json:"address"`
	AvailabilityZone string        `json:"availability-zone"`
	Incarnation      uint64        `json:"incarnation"`
	State            InstanceState `json:"state"`
}

// InstanceList is the platform's list of instances at one version.
type InstanceList struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// call makes one request. A nil out discards the answer.
func (c *Client) call(ctx context.Context, op, method, path string, in, out any) error {
	if err := c.spend(ctx); err != nil {
		return failer.Wrap(op, KindUnavailable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return failer.Wrap(op, KindInvalid, err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, body)
	if err != nil {
		return failer.Wrap(op, KindInvalid, err)
	}
	// An empty user agent saves bytes of the control budget.
	req.Header["User-Agent"] = nil
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return failer.Wrap(op, lossKind(err), err)
	}
	defer resp.Body.Close()
	return decode(op, resp, out)
}

func (c *Client) spend(ctx context.Context) error {
	if c.Limiter == nil {
		return nil
	}
	if c.Priority {
		c.Limiter.Allow()
		return nil
	}
	return c.Limiter.Wait(ctx)
}

// lossKind tells a call that was never sent from one whose answer was lost.
func lossKind(err error) Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return KindUnavailable
	}
	return KindOutcomeUnknown
}

func decode(op string, resp *http.Response, out any) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return failer.Wrap(op, KindOutcomeUnknown, err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
	case http.StatusNotFound:
		return failer.New(op, KindNotFound, "no such entry")
	case http.StatusConflict:
		return failer.New(op, KindConflict, strings.TrimSpace(string(b)))
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return failer.New(op, KindUnavailable, "the platform refused the call")
	default:
		return failer.New(op, KindOutcomeUnknown, "status "+resp.Status)
	}
	if out == nil {
		return nil
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = b
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return failer.Wrap(op, KindInvalid, err)
	}
	return nil
}

// Get reads one row, or fails with KindNotFound.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var r Row
	err := c.call(ctx, "get "+key, http.MethodGet, "/table/rows/"+url.PathEscape(key), nil, &r)
	return r, err
}

// Scan reads up to limit rows whose keys have the prefix and come after a key.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []Row
	err := c.call(ctx, "scan "+prefix, http.MethodGet, "/table/rows?"+q.Encode(), nil, &rows)
	return rows, err
}

// Transact applies a transaction. KindConflict and KindUnavailable say that it
// had no effect; KindUnknown that it may have had.
func (c *Client) Transact(ctx context.Context, t Transaction) error {
	return c.call(ctx, "transact", http.MethodPost, "/table/transact", t, nil)
}

// GetObject reads an object, or fails with KindNotFound.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var b []byte
	err := c.call(ctx, "get object "+name, http.MethodGet, "/objects/"+url.PathEscape(name), nil, &b)
	return b, err
}

// PutObject writes an object whole.
func (c *Client) PutObject(ctx context.Context, name string, b json.RawMessage) error {
	return c.call(ctx, "put object "+name, http.MethodPut, "/objects/"+url.PathEscape(name), b, nil)
}

// ListInstances reads the platform's list if it is newer than the known version;
// the answer's version is the known one if nothing changed.
func (c *Client) ListInstances(ctx context.Context, known uint64) (InstanceList, error) {
	l := InstanceList{Version: known}
	err := c.call(ctx, "list instances", http.MethodGet, "/instances?after="+strconv.FormatUint(known, 10), nil, &l)
	return l, err
}
