// Package connector is the client of the platform's transactional table service, object store and
// instance list. Every call has a timeout and counts against the rate limit of the process. The
// package contains only the protocol, so that another protocol can be supported by replacing it.
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
	"papayapaddle/internal/validator"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindUnavailable means that the call failed and had no effect.
	KindUnavailable Kind = "unavailable"
	// KindOutcomeUnknown means that no response was received; a write may have taken effect.
	KindOutcomeUnknown Kind = "answer lost"
	// KindConflict means that a check of a transaction failed and the transaction had no effect.
	KindConflict Kind = "conflict"
	KindNotFound Kind = "not found"
	KindInvalid  Kind = "invalid answer"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// CallTimeout bounds a call to the platform.
	CallTimeout = 1500 * time.Millisecond
	// maxResponseBytes bounds a response. The largest responses are snapshots of all workspaces.
	maxResponseBytes = 64 << 20
	// CallsPerSecond is the rate limit of one process. It keeps 390 processes below 2000 reads per
	// second.
	CallsPerSecond = 5
	// CallBurst is the number of calls that may be made at once.
	CallBurst = 20
)

// Client calls the platform. BaseURL and HTTP must be set. Clients may share a Limiter.
type Client struct {
	// BaseURL is the URL of the platform, such as "http://127.0.0.1:7000".
	BaseURL string
	HTTP    *http.Client
	// Limiter limits the rate of calls; nil means no limit.
	Limiter *rate.Limiter
	// Priority makes calls count against Limiter without waiting for it. It is for calls whose
	// loss would break a guarantee.
	Priority bool
}

// NewLimiter returns the rate limiter of one process.
func NewLimiter() *rate.Limiter { return rate.NewLimiter(CallsPerSecond, CallBurst) }

// Row is one row of the table service.
type Row struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Check is a precondition of a transaction: the row has the version or, with version 0, does not
// exist.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put is a write of a row.
type Put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Transaction is a set of writes and deletes that is applied atomically if all checks succeed.
type Transaction struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// States of instances.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// InstanceRole distinguishes routers from backend servers.
type InstanceRole string

// Roles of instances.
const (
	RoleRouter        InstanceRole = "router"
	RoleBackendServer InstanceRole = "backend-server"
)

// Instance is an entry of the instance list.
type Instance struct {
	Name             string        `json:"name"`
	Role             InstanceRole  `json:"role"`
	Address          string        `json:"address"`
	AvailabilityZone string        `json:"availability-zone"`
	Incarnation      uint64        `json:"incarnation"`
	State            InstanceState `json:"state"`
}

// InstanceList is a version of the platform's list of instances.
type InstanceList struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// call makes one request and decodes the response into out unless out is nil. An out of type
// *[]byte receives the raw body.
func (c *Client) call(ctx context.Context, op, method, path string, in, out any) error {
	if err := c.waitLimiter(ctx); err != nil {
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
	// Without User-Agent the request is smaller, which counts towards the limit on control traffic.
	req.Header["User-Agent"] = nil
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return failer.Wrap(op, transportErrorKind(err), err)
	}
	defer resp.Body.Close()
	return decodeResponse(op, resp, out)
}

// waitLimiter waits until Limiter permits a call. Priority calls do not wait.
func (c *Client) waitLimiter(ctx context.Context) error {
	if c.Limiter == nil {
		return nil
	}
	if c.Priority {
		c.Limiter.Allow()
		return nil
	}
	return c.Limiter.Wait(ctx)
}

// transportErrorKind distinguishes a call that was not sent from one without a response.
func transportErrorKind(err error) Kind {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return KindUnavailable
	}
	return KindOutcomeUnknown
}

func decodeResponse(op string, resp *http.Response, out any) error {
	if err := validator.CheckResponse(resp); err != nil {
		return failer.Wrap(op, KindOutcomeUnknown, err)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
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

// Get reads a row. It fails with KindNotFound if the row does not exist.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.call(ctx, "get "+key, http.MethodGet, "/table/rows/"+url.PathEscape(key), nil, &row)
	return row, err
}

// Scan reads up to limit rows in key order, whose keys have the prefix and are greater than after.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []Row
	err := c.call(ctx, "scan "+prefix, http.MethodGet, "/table/rows?"+query.Encode(), nil, &rows)
	return rows, err
}

// Transact applies a transaction. After an error of KindConflict or KindUnavailable it had no
// effect; after one of KindOutcomeUnknown it may have taken effect.
func (c *Client) Transact(ctx context.Context, tx Transaction) error {
	return c.call(ctx, "transact", http.MethodPost, "/table/transact", tx, nil)
}

// GetObject reads an object. It fails with KindNotFound if the object does not exist.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var b []byte
	err := c.call(ctx, "get object "+name, http.MethodGet, "/objects/"+url.PathEscape(name), nil, &b)
	return b, err
}

// PutObject writes an object, replacing its previous content.
func (c *Client) PutObject(ctx context.Context, name string, b json.RawMessage) error {
	return c.call(ctx, "put object "+name, http.MethodPut, "/objects/"+url.PathEscape(name), b, nil)
}

// ListInstances reads the list of instances if it is newer than knownVersion. Otherwise it returns
// an empty list with knownVersion.
func (c *Client) ListInstances(ctx context.Context, knownVersion uint64) (InstanceList, error) {
	list := InstanceList{Version: knownVersion}
	err := c.call(ctx, "list instances", http.MethodGet, "/instances?after="+strconv.FormatUint(knownVersion, 10), nil, &list)
	return list, err
}
