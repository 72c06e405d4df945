// Package acceptor is the HTTP API for callers. It reads and authenticates a request, finds its
// pool and kind of work, passes it to the dispatcher, and writes the response or a problem document
// (RFC 9457) with the outcome.
package acceptor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"papayapaddle/internal/declarer"
	"papayapaddle/internal/dispatcher"
)

const (
	// DefaultMaxBodyBytes is the default size limit of a request body.
	DefaultMaxBodyBytes = 1 << 20
	// MaxHeaderBytes bounds the size of a request header.
	MaxHeaderBytes = 32 << 10
	// HeaderTimeout bounds the time to receive a request header.
	HeaderTimeout = 5 * time.Second
	// BodyTimeout bounds the time to receive a request body.
	BodyTimeout = 15 * time.Second
	// writeTimeout bounds the time of one write to a caller, which may have stopped reading.
	writeTimeout = 10 * time.Second
	// maxIdempotencyKeyLength bounds the length of an idempotency key in bytes.
	maxIdempotencyKeyLength = 255
	// charsPerToken is the approximate token length, used to estimate the length of a prompt.
	charsPerToken = 4
)

// Headers of the caller API.
const (
	headerRequestID      = "X-Request-Id"
	headerWorkKind       = "X-Work-Kind"
	headerIdempotencyKey = "Idempotency-Key"
)

// Acceptor serves the requests of callers. Config, Dispatch, CheckReady and NewRequestID must be
// set.
type Acceptor struct {
	Config func() *declarer.Config
	// Dispatch runs a request and writes its response.
	Dispatch func(context.Context, *dispatcher.Request, dispatcher.ResponseWriter) dispatcher.Result
	// CheckReady returns nil if the load balancer may send requests to this router, or the
	// reason why it may not.
	CheckReady func() error
	// NewRequestID returns a new unique request ID.
	NewRequestID func() string
	// MaxBodyBytes bounds the size of a request body. 0 means DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// Log logs the end of each request. If it is nil, nothing is logged.
	Log func(event string, keyvals ...any)
	// ObserveResult, if not nil, is called with the result and duration of each request.
	ObserveResult func(dispatcher.Result, time.Duration)

	activeRequests atomic.Int64
}

// ActiveRequests returns the number of requests being served.
func (a *Acceptor) ActiveRequests() int64 { return a.activeRequests.Load() }

// Handler returns the handler for all paths of the caller API.
func (a *Acceptor) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/live", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "live\n") })
	r.HandleFunc("/ready", a.handleReady)
	r.HandleFunc("/v1/chat/completions", a.newHandler(a.handleModel)).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", a.newHandler(a.handleModel)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", a.newHandler(a.handleModelList)).Methods(http.MethodGet)
	r.PathPrefix("/services/{service}/").HandlerFunc(a.newHandler(a.handleService))
	r.HandleFunc("/services/{service}", a.newHandler(a.handleService))
	r.NotFoundHandler = a.newHandler(func(x *exchange) {
		x.writeProblem(notRunFailure(
			http.StatusNotFound, "no such path", "use /v1/ for models and /services/NAME/ for services"))
	})
	r.MethodNotAllowedHandler = a.newHandler(func(x *exchange) {
		x.writeProblem(notRunFailure(
			http.StatusMethodNotAllowed, "method not allowed", "the path does not take this method"))
	})
	return r
}

// handleReady handles the load balancer's readiness check.
func (a *Acceptor) handleReady(w http.ResponseWriter, _ *http.Request) {
	if err := a.CheckReady(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// exchange is one request of a caller and its response.
type exchange struct {
	acceptor      *Acceptor
	w             http.ResponseWriter
	r             *http.Request
	controller    *http.ResponseController
	requestID     string
	config        *declarer.Config
	arrived       time.Time
	streamStarted bool
}

// newHandler returns an HTTP handler that calls serve and counts the active requests.
func (a *Acceptor) newHandler(serve func(*exchange)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a.activeRequests.Add(1)
		defer a.activeRequests.Add(-1)
		x := &exchange{
			acceptor: a, w: w, r: r, controller: http.NewResponseController(w),
			requestID: a.NewRequestID(), config: a.Config(), arrived: time.Now(),
		}
		w.Header().Set(headerRequestID, x.requestID)
		serve(x)
	}
}

// notRunFailure returns the failure of a request that was rejected before it was dispatched.
func notRunFailure(status int, title, detail string) dispatcher.Failure {
	return dispatcher.Failure{Outcome: dispatcher.OutcomeNotRun, Status: status, Title: title, Detail: detail}
}

// problemDocument is a problem document (RFC 9457).
type problemDocument struct {
	Type      string             `json:"type"`
	Title     string             `json:"title"`
	Status    int                `json:"status"`
	Detail    string             `json:"detail,omitempty"`
	Outcome   dispatcher.Outcome `json:"outcome"`
	RequestID string             `json:"request-id"`
}

func (x *exchange) encodeProblem(f dispatcher.Failure) []byte {
	b, err := json.Marshal(problemDocument{
		Type: "about:blank", Title: f.Title, Status: f.Status, Detail: f.Detail, Outcome: f.Outcome,
		RequestID: x.requestID,
	})
	if err != nil {
		// Not reached: the fields are strings and a number.
		return nil
	}
	return b
}

func (x *exchange) writeProblem(f dispatcher.Failure) {
	body := x.encodeProblem(f)
	header := x.w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if f.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	x.extendWriteDeadline()
	x.w.WriteHeader(f.Status)
	x.w.Write(body)
}

// extendWriteDeadline sets the deadline of the next write to writeTimeout from now.
func (x *exchange) extendWriteDeadline() {
	// The error is ignored because test writers do not support deadlines.
	_ = x.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// authenticate returns the workspace of the bearer key. If there is none, it writes a problem and
// returns nil.
func (x *exchange) authenticate() *declarer.Workspace {
	scheme, key, _ := strings.Cut(x.r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		x.w.Header().Set("WWW-Authenticate", "Bearer")
		x.writeProblem(notRunFailure(http.StatusUnauthorized, "no key", "send Authorization: Bearer KEY"))
		return nil
	}
	workspace := x.config.WorkspaceByKey(key)
	if workspace == nil {
		x.w.Header().Set("WWW-Authenticate", "Bearer")
		x.writeProblem(notRunFailure(http.StatusUnauthorized, "unknown key", "the key belongs to no workspace"))
	}
	return workspace
}

// readBody reads the request body. If the body is too large or too slow, it writes a problem and
// returns false.
func (x *exchange) readBody() ([]byte, bool) {
	_ = x.controller.SetReadDeadline(time.Now().Add(BodyTimeout))
	limit := x.acceptor.MaxBodyBytes
	if limit <= 0 {
		limit = DefaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	_ = x.controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, true
	case errors.As(err, &tooLarge):
		x.writeProblem(notRunFailure(
			http.StatusRequestEntityTooLarge, "body too large", fmt.Sprintf("at most %d bytes are taken", limit)))
	default:
		x.writeProblem(notRunFailure(
			http.StatusBadRequest, "body not received", "the body broke off or came too slowly"))
	}
	return nil, false
}

// findKind returns the kind of work of the request, or nil if none is declared for it. If the
// caller's kind header is invalid, it writes a problem and returns false.
func (x *exchange) findKind(
	workspace *declarer.Workspace, pool *declarer.Pool, path, model string,
) (*declarer.WorkKind, bool) {
	name := x.r.Header.Get(headerWorkKind)
	if name == "" {
		return x.config.MatchWorkKind(pool.Name, x.r.Method, path, model), true
	}
	if !workspace.KindHeader {
		x.writeProblem(notRunFailure(
			http.StatusForbidden, "kind header not allowed", "the workspace may not use "+headerWorkKind))
		return nil, false
	}
	kind := x.config.WorkKinds[name]
	if kind == nil || kind.Pool != pool.Name {
		x.writeProblem(notRunFailure(
			http.StatusBadRequest, "unknown kind", fmt.Sprintf("pool %s has no kind %q", pool.Name, name)))
		return nil, false
	}
	return kind, true
}

// modelRequest holds the fields of a model request that the router reads. All others are forwarded
// unchanged.
type modelRequest struct {
	Model     string  `json:"model"`
	Stream    bool    `json:"stream"`
	MaxTokens float64 `json:"max_tokens"`
}

func (x *exchange) newRequest(
	workspace *declarer.Workspace, pool *declarer.Pool, kind *declarer.WorkKind,
) *dispatcher.Request {
	timeout := declarer.DefaultTimeout
	if kind != nil && kind.Timeout > 0 {
		timeout = time.Duration(kind.Timeout)
	}
	return &dispatcher.Request{
		ID: x.requestID, Workspace: workspace, Pool: pool, Kind: kind, Method: x.r.Method, Header: x.r.Header,
		Arrived: x.arrived, Deadline: x.arrived.Add(timeout),
	}
}

func (a *Acceptor) handleModel(x *exchange) {
	workspace := x.authenticate()
	if workspace == nil {
		return
	}
	body, ok := x.readBody()
	if !ok {
		return
	}
	var parsed modelRequest
	if err := json.Unmarshal(body, &parsed); err != nil {
		x.writeProblem(notRunFailure(http.StatusBadRequest, "broken JSON", err.Error()))
		return
	}
	pool := x.config.PoolByModel(parsed.Model)
	if pool == nil {
		x.writeProblem(notRunFailure(
			http.StatusNotFound, "unknown model", fmt.Sprintf("no pool serves model %q; see /v1/models", parsed.Model)))
		return
	}
	kind, ok := x.findKind(workspace, pool, x.r.URL.Path, parsed.Model)
	if !ok {
		return
	}
	streamed, err := setStreamFlag(body)
	if err != nil {
		x.writeProblem(notRunFailure(http.StatusBadRequest, "broken JSON", err.Error()))
		return
	}
	req := x.newRequest(workspace, pool, kind)
	req.Path, req.Body, req.Model, req.Stream = x.r.URL.Path, streamed, parsed.Model, parsed.Stream
	req.CostHint = parsed.MaxTokens
	req.PromptTokens = float64(len(body) / charsPerToken)
	a.dispatch(x, req)
}

// setStreamFlag returns the body with the stream flag set, since the engine is always asked for a
// stream.
func setStreamFlag(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}

func (a *Acceptor) handleService(x *exchange) {
	workspace := x.authenticate()
	if workspace == nil {
		return
	}
	name := mux.Vars(x.r)["service"]
	pool := x.config.PoolByService(name)
	if pool == nil {
		x.writeProblem(notRunFailure(
			http.StatusNotFound, "unknown service", fmt.Sprintf("no pool serves %q", name)))
		return
	}
	path := strings.TrimPrefix(x.r.URL.EscapedPath(), "/services/"+name)
	if path == "" {
		path = "/"
	}
	idempotencyKey := x.r.Header.Get(headerIdempotencyKey)
	if len(idempotencyKey) > maxIdempotencyKeyLength {
		x.writeProblem(notRunFailure(
			http.StatusBadRequest, "idempotency key too long", fmt.Sprintf("use at most %d characters", maxIdempotencyKeyLength)))
		return
	}
	body, ok := x.readBody()
	if !ok {
		return
	}
	kind, ok := x.findKind(workspace, pool, path, "")
	if !ok {
		return
	}
	req := x.newRequest(workspace, pool, kind)
	req.Path, req.Body, req.IdempotencyKey = path, body, idempotencyKey
	if query := x.r.URL.RawQuery; query != "" {
		req.Path += "?" + query
	}
	a.dispatch(x, req)
}

// dispatch passes the request to the dispatcher and reports its result.
func (a *Acceptor) dispatch(x *exchange, req *dispatcher.Request) {
	result := a.Dispatch(x.r.Context(), req, dispatcher.ResponseWriter{
		WriteEvent: x.writeEvent, WriteResponse: x.writeResponse, EndStream: x.endStream, AbortStream: x.abortStream,
	})
	if result.Failure != nil && !result.StreamStarted {
		x.writeProblem(*result.Failure)
	}
	duration := time.Since(x.arrived)
	if a.ObserveResult != nil {
		a.ObserveResult(result, duration)
	}
	a.logResult(x, req, result, duration)
	if result.StreamStarted && result.Failure != nil {
		// Close the connection so that the caller can tell that the stream is incomplete.
		panic(http.ErrAbortHandler)
	}
}

func (a *Acceptor) logResult(x *exchange, req *dispatcher.Request, result dispatcher.Result, duration time.Duration) {
	if a.Log == nil {
		return
	}
	kind := ""
	if req.Kind != nil {
		kind = req.Kind.Name
	}
	keyvals := []any{
		"request", x.requestID, "workspace", req.Workspace.Name, "pool", req.Pool.Name, "kind", kind,
		"outcome", result.Outcome,
		"server", result.Server, "attempts", result.Attempts, "cost", int(result.Cost), "millis", duration.Milliseconds(),
		"waited-millis", result.SlotWait.Milliseconds(), "first-millis", result.Stats.TimeToFirstToken.Milliseconds(),
	}
	if result.Failure != nil {
		keyvals = append(keyvals, "title", result.Failure.Title)
	}
	a.Log("request", keyvals...)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (a *Acceptor) handleModelList(x *exchange) {
	if x.authenticate() == nil {
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, pool := range x.config.Pools {
		for _, model := range pool.Models {
			list.Data = append(list.Data, modelEntry{ID: model, Object: "model"})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	body, err := json.Marshal(list)
	if err != nil {
		return
	}
	_ = x.writeResponse(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, body)
}
