// Package acceptor is the callers' side of a router: it reads a request, finds
// its workspace and its kind of work, hands it to the dispatcher, and writes
// the answer or a problem (RFC 9457) with the outcome.
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
	"papayapaddle/internal/forwarder"
)

const (
	// DefaultMaxBody bounds the body of a request in bytes.
	DefaultMaxBody = 1 << 20
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes = 32 << 10
	// HeaderTimeout and BodyTimeout bound how long a caller may take to send.
	HeaderTimeout = 5 * time.Second
	BodyTimeout   = 15 * time.Second
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// maxKeyLength bounds an idempotency key.
	maxKeyLength = 255
	// charsPerToken is the rough length of a token, for prompts.
	charsPerToken = 4
)

// The headers of the caller API.
const (
	headerRequestID = "X-Request-Id"
	headerKind      = "X-Work-Kind"
	headerKey       = "Idempotency-Key"
)

// Acceptor serves callers. Config, Do, Ready and NewID must be set.
type Acceptor struct {
	Config func() *declarer.Config
	// Do takes a classified request to its outcome.
	Do func(context.Context, *dispatcher.Request, dispatcher.Reply) dispatcher.Result
	// Ready returns why the balancer should send no callers, or nil.
	Ready func() error
	// NewID mints request ids.
	NewID func() string
	// MaxBody bounds a body in bytes; 0 means DefaultMaxBody.
	MaxBody int64
	// Log notes the end of each request; nil drops it.
	Log func(event string, keyvals ...any)
	// Observe is told of each result, for metrics; nil drops it.
	Observe func(dispatcher.Result, time.Duration)

	active atomic.Int64
}

// Active returns the number of requests being served.
func (a *Acceptor) Active() int64 { return a.active.Load() }

// Handler returns the callers' routes.
func (a *Acceptor) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/live", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "live\n") })
	r.HandleFunc("/ready", a.ready)
	r.HandleFunc("/v1/chat/completions", a.counted(a.model)).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", a.counted(a.model)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", a.counted(a.models)).Methods(http.MethodGet)
	r.PathPrefix("/services/{service}/").HandlerFunc(a.counted(a.service))
	r.HandleFunc("/services/{service}", a.counted(a.service))
	r.NotFoundHandler = a.counted(func(x *exchange) {
		x.problem(badRequest(http.StatusNotFound, "no such path", "use /v1/ for models and /services/NAME/ for services"))
	})
	r.MethodNotAllowedHandler = a.counted(func(x *exchange) {
		x.problem(badRequest(http.StatusMethodNotAllowed, "method not allowed", "the path does not take this method"))
	})
	return r
}

func (a *Acceptor) ready(w http.ResponseWriter, _ *http.Request) {
	if err := a.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// exchange is one caller's request and its answer.
type exchange struct {
	a       *Acceptor
	w       http.ResponseWriter
	r       *http.Request
	rc      *http.ResponseController
	id      string
	config  *declarer.Config
	arrived time.Time
	started bool
}

func (a *Acceptor) counted(f func(*exchange)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a.active.Add(1)
		defer a.active.Add(-1)
		x := &exchange{
			a: a, w: w, r: r, rc: http.NewResponseController(w), id: a.NewID(), config: a.Config(), arrived: time.Now(),
		}
		w.Header().Set(headerRequestID, x.id)
		f(x)
	}
}

func badRequest(status int, title, detail string) dispatcher.Failure {
	return dispatcher.Failure{Outcome: dispatcher.OutcomeNotRun, Status: status, Title: title, Detail: detail}
}

// problem is a problem document (RFC 9457).
type problem struct {
	Type      string             `json:"type"`
	Title     string             `json:"title"`
	Status    int                `json:"status"`
	Detail    string             `json:"detail,omitempty"`
	Outcome   dispatcher.Outcome `json:"outcome"`
	RequestID string             `json:"request-id"`
}

func (x *exchange) document(f dispatcher.Failure) []byte {
	b, err := json.Marshal(problem{
		Type: "about:blank", Title: f.Title, Status: f.Status, Detail: f.Detail, Outcome: f.Outcome, RequestID: x.id,
	})
	if err != nil {
		// The type holds only strings and a number.
		return nil
	}
	return b
}

func (x *exchange) problem(f dispatcher.Failure) {
	b := x.document(f)
	h := x.w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	x.extend()
	x.w.WriteHeader(f.Status)
	x.w.Write(b)
}

// extend gives the caller another writeTimeout to read what is written next.
func (x *exchange) extend() {
	// Writers without deadlines, as in tests, are not bounded.
	_ = x.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// workspace finds the caller's workspace by its bearer key.
func (x *exchange) workspace() *declarer.Workspace {
	scheme, key, _ := strings.Cut(x.r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		x.w.Header().Set("WWW-Authenticate", "Bearer")
		x.problem(badRequest(http.StatusUnauthorized, "no key", "send Authorization: Bearer KEY"))
		return nil
	}
	w := x.config.WorkspaceByKey(key)
	if w == nil {
		x.w.Header().Set("WWW-Authenticate", "Bearer")
		x.problem(badRequest(http.StatusUnauthorized, "unknown key", "the key belongs to no workspace"))
	}
	return w
}

// body reads the request's body within its bounds of size and time.
func (x *exchange) body() ([]byte, bool) {
	_ = x.rc.SetReadDeadline(time.Now().Add(BodyTimeout))
	limit := x.a.MaxBody
	if limit <= 0 {
		limit = DefaultMaxBody
	}
	b, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	_ = x.rc.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return b, true
	case errors.As(err, &large):
		x.problem(badRequest(http.StatusRequestEntityTooLarge, "body too large", fmt.Sprintf("at most %d bytes are taken", limit)))
	default:
		x.problem(badRequest(http.StatusBadRequest, "body not received", "the body broke off or came too slowly"))
	}
	return nil, false
}

// kind finds the declared kind of work; false says that a problem was written.
func (x *exchange) kind(w *declarer.Workspace, p *declarer.Pool, path, model string) (*declarer.WorkKind, bool) {
	name := x.r.Header.Get(headerKind)
	if name == "" {
		return x.config.MatchWorkKind(p.Name, x.r.Method, path, model), true
	}
	if !w.KindHeader {
		x.problem(badRequest(http.StatusForbidden, "kind header not allowed", "the workspace may not use "+headerKind))
		return nil, false
	}
	k := x.config.WorkKinds[name]
	if k == nil || k.Pool != p.Name {
		x.problem(badRequest(http.StatusBadRequest, "unknown kind", fmt.Sprintf("pool %s has no kind %q", p.Name, name)))
		return nil, false
	}
	return k, true
}

// modelBody is what is read of a model request; the rest is passed on as it is.
type modelBody struct {
	Model     string  `json:"model"`
	Stream    bool    `json:"stream"`
	MaxTokens float64 `json:"max_tokens"`
}

func (x *exchange) newRequest(w *declarer.Workspace, p *declarer.Pool, k *declarer.WorkKind) *dispatcher.Request {
	timeout := declarer.DefaultTimeout
	if k != nil && k.Timeout > 0 {
		timeout = time.Duration(k.Timeout)
	}
	return &dispatcher.Request{
		ID: x.id, Workspace: w, Pool: p, Kind: k, Method: x.r.Method, Header: x.r.Header,
		Arrived: x.arrived, Deadline: x.arrived.Add(timeout),
	}
}

func (a *Acceptor) model(x *exchange) {
	w := x.workspace()
	if w == nil {
		return
	}
	b, ok := x.body()
	if !ok {
		return
	}
	var q modelBody
	if err := json.Unmarshal(b, &q); err != nil {
		x.problem(badRequest(http.StatusBadRequest, "broken JSON", err.Error()))
		return
	}
	p := x.config.PoolByModel(q.Model)
	if p == nil {
		x.problem(badRequest(http.StatusNotFound, "unknown model", fmt.Sprintf("no pool serves model %q; see /v1/models", q.Model)))
		return
	}
	k, ok := x.kind(w, p, x.r.URL.Path, q.Model)
	if !ok {
		return
	}
	streamed, err := asStream(b)
	if err != nil {
		x.problem(badRequest(http.StatusBadRequest, "broken JSON", err.Error()))
		return
	}
	req := x.newRequest(w, p, k)
	req.Path, req.Body, req.Model, req.Stream = x.r.URL.Path, streamed, q.Model, q.Stream
	req.Hint = q.MaxTokens
	req.PromptTokens = float64(len(b) / charsPerToken)
	a.dispatch(x, req)
}

// asStream sets the stream flag, since the engine is always asked for a stream.
func asStream(b []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(b, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	return json.Marshal(fields)
}

func (a *Acceptor) service(x *exchange) {
	w := x.workspace()
	if w == nil {
		return
	}
	name := mux.Vars(x.r)["service"]
	p := x.config.PoolByService(name)
	if p == nil {
		x.problem(badRequest(http.StatusNotFound, "unknown service", fmt.Sprintf("no pool serves %q", name)))
		return
	}
	path := strings.TrimPrefix(x.r.URL.EscapedPath(), "/services/"+name)
	if path == "" {
		path = "/"
	}
	key := x.r.Header.Get(headerKey)
	if len(key) > maxKeyLength {
		x.problem(badRequest(http.StatusBadRequest, "idempotency key too long", fmt.Sprintf("use at most %d characters", maxKeyLength)))
		return
	}
	b, ok := x.body()
	if !ok {
		return
	}
	k, ok := x.kind(w, p, path, "")
	if !ok {
		return
	}
	req := x.newRequest(w, p, k)
	req.Path, req.Body, req.Key = path, b, key
	if q := x.r.URL.RawQuery; q != "" {
		req.Path += "?" + q
	}
	a.dispatch(x, req)
}

func (a *Acceptor) dispatch(x *exchange, req *dispatcher.Request) {
	res := a.Do(x.r.Context(), req, dispatcher.Reply{Event: x.event, Whole: x.whole, Done: x.done, Cut: x.cut})
	if res.Failure != nil && !res.Started {
		x.problem(*res.Failure)
	}
	took := time.Since(x.arrived)
	if a.Observe != nil {
		a.Observe(res, took)
	}
	a.log(x, req, res, took)
	if res.Started && res.Failure != nil {
		// The connection is cut, so that the caller sees the stream is not whole.
		panic(http.ErrAbortHandler)
	}
}

func (a *Acceptor) log(x *exchange, req *dispatcher.Request, res dispatcher.Result, took time.Duration) {
	if a.Log == nil {
		return
	}
	kind := ""
	if req.Kind != nil {
		kind = req.Kind.Name
	}
	kv := []any{
		"request", x.id, "workspace", req.Workspace.Name, "pool", req.Pool.Name, "kind", kind, "outcome", res.Outcome,
		"server", res.Server, "attempts", res.Attempts, "cost", int(res.Cost), "millis", took.Milliseconds(),
		"waited-millis", res.Waited.Milliseconds(), "first-millis", res.Stats.FirstAfter.Milliseconds(),
	}
	if res.Failure != nil {
		kv = append(kv, "title", res.Failure.Title)
	}
	a.Log("request", kv...)
}

// event passes one event of a stream on.
func (x *exchange) event(e forwarder.Event) error {
	if !x.started {
		x.started = true
		x.w.Header().Set("Content-Type", "text/event-stream")
		x.w.Header().Set("Cache-Control", "no-store")
	}
	x.extend()
	if _, err := fmt.Fprintf(x.w, "data: %s\n\n", e.Data); err != nil {
		return err
	}
	return x.rc.Flush()
}

// whole writes a whole answer with its length.
func (x *exchange) whole(status int, header http.Header, body []byte) error {
	h := x.w.Header()
	for _, k := range []string{"Content-Type", "Content-Encoding", "Location", "Etag", "Cache-Control", "Retry-After", "Idempotency-Replayed"} {
		if v := header[k]; v != nil {
			h[k] = v
		}
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.extend()
	x.w.WriteHeader(status)
	if x.r.Method == http.MethodHead {
		return nil
	}
	_, err := x.w.Write(body)
	return err
}

// done writes the closing marker of a stream.
func (x *exchange) done() error {
	return x.event(forwarder.Event{Data: []byte("[DONE]")})
}

// cut tells the problem inside the stream, which then ends without its marker.
func (x *exchange) cut(f dispatcher.Failure) {
	x.extend()
	fmt.Fprintf(x.w, "event: error\ndata: %s\n\n", x.document(f))
	_ = x.rc.Flush()
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (a *Acceptor) models(x *exchange) {
	if x.workspace() == nil {
		return
	}
	l := modelList{Object: "list", Data: []modelEntry{}}
	for _, p := range x.config.Pools {
		for _, m := range p.Models {
			l.Data = append(l.Data, modelEntry{ID: m, Object: "model"})
		}
	}
	sort.Slice(l.Data, func(i, j int) bool { return l.Data[i].ID < l.Data[j].ID })
	b, err := json.Marshal(l)
	if err != nil {
		return
	}
	_ = x.whole(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, b)
}
