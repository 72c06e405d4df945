// Package emulator emulates the systems that a router talks to: model engines, plain services and
// the platform. Each can inject faults. Demonstrations, tests and experiments use it.
package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
)

func itoa(n int) string { return strconv.Itoa(n) }

func unescape(path string) (string, error) { return url.PathUnescape(path) }

// EngineConfig configures the speed and the prompt cache of a model engine.
type EngineConfig struct {
	// TokenInterval is the time between two tokens of a stream on an idle engine.
	TokenInterval time.Duration
	// FullSpeedBatch is the largest batch that runs at full speed. In a larger batch, all streams
	// slow down in proportion to its size.
	FullSpeedBatch int
	// PrefillPerToken is the prefill time of one uncached prompt token.
	PrefillPerToken time.Duration
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// MaxCacheBlocks is the capacity of the prompt prefix cache, in blocks of cacheBlockChars.
	MaxCacheBlocks int
}

const (
	// charsPerToken is the approximate length of a prompt token.
	charsPerToken = 4
	// cacheBlockChars is the size of a block of the prefix cache.
	cacheBlockChars = 256
	// detachedStreamTTL is how long a stream without a reader keeps generating, and how long a
	// finished stream can still be resumed.
	detachedStreamTTL = 3 * time.Second
	// defaultAnswerTokens is the length of an answer if the request names none.
	defaultAnswerTokens = 32
	// maxAnswerTokens is the maximum length of an answer.
	maxAnswerTokens = 20_000
	// loadReportMaxAge is the maximum age of the load report.
	loadReportMaxAge = time.Second
)

// Engine emulates a model engine. It admits every request on arrival, uses continuous batching,
// caches prompt prefixes in an LRU cache, and lets clients resume and cancel streams.
type Engine struct {
	http.Handler
	Name string

	config        EngineConfig
	faultInjector *faultInjector

	mu             sync.Mutex
	streams        map[string]*stream
	activeRequests int
	// prefixCache maps hashes of prompt prefixes to the value of cacheClock at their last use.
	prefixCache map[uint64]int64
	cacheClock  int64
	stats       EngineStats
	// reportedStats is the load report.
	reportedStats EngineStats
	reportedAt    time.Time
}

// EngineStats are the counters of an engine.
type EngineStats struct {
	ActiveRequests  int   `json:"active"`
	Requests        int64 `json:"requests"`
	GeneratedTokens int64 `json:"tokens"`
	PromptTokens    int64 `json:"prompt-tokens"`
	CachedTokens    int64 `json:"cached-tokens"`
}

// stream is one generation. It continues for detachedStreamTTL after its last reader disconnects.
type stream struct {
	mu          sync.Mutex
	produced    int
	totalTokens int
	// nonce is part of every generated token.
	nonce string
	// changed is closed and replaced when the stream produces tokens or ends.
	changed    chan struct{}
	readers    int
	detachedAt time.Time
	canceled   bool
}

// NewEngine returns an engine. The seed determines its random faults.
func NewEngine(name string, seed uint64, config EngineConfig) *Engine {
	e := &Engine{
		Name: name, config: config,
		streams: map[string]*stream{}, prefixCache: map[uint64]int64{},
	}
	routes := mux.NewRouter()
	routes.HandleFunc("/v1/chat/completions", e.serveCompletion).Methods(http.MethodPost)
	routes.HandleFunc("/v1/completions", e.serveCompletion).Methods(http.MethodPost)
	routes.HandleFunc("/v1/streams/{id}", e.serveResume).Methods(http.MethodGet)
	routes.HandleFunc("/v1/streams/{id}", e.serveCancel).Methods(http.MethodDelete)
	routes.HandleFunc("/load", e.serveLoad).Methods(http.MethodGet)
	e.faultInjector = newFaultInjector(seed, routes)
	e.Handler = e.faultInjector
	return e
}

// SetFault sets the fault to inject.
func (e *Engine) SetFault(f Fault) { e.faultInjector.Set(f) }

// Received returns the number of calls that arrived, also those that were refused.
func (e *Engine) Received() int64 { return e.faultInjector.received.Load() }

// Stats returns the current counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.ActiveRequests = e.activeRequests
	return stats
}

// engineRequest contains the fields of a request body that the engine uses.
type engineRequest struct {
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    string          `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	// User is part of every generated token, so that a caller can detect another request's answer.
	User string `json:"user"`
	// EmulateTokens is the actual length of the answer, which only the engine reads.
	EmulateTokens int `json:"emulate_tokens"`
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	var req engineRequest
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt := req.Prompt + string(req.Messages)
	promptTokens := len(prompt)/charsPerToken + 1
	cached := e.cachePrefix(prompt)
	s := &stream{
		totalTokens: answerLength(req), nonce: req.User, changed: make(chan struct{}), readers: 1,
	}
	id := r.Header.Get("X-Request-Id")
	e.mu.Lock()
	e.streams[id] = s
	e.activeRequests++
	e.stats.Requests++
	e.stats.PromptTokens += int64(promptTokens)
	e.stats.CachedTokens += int64(cached)
	e.mu.Unlock()
	go e.generate(id, s, time.Duration(promptTokens-cached)*e.config.PrefillPerToken)
	w.Header().Set("X-Request-Id", id)
	if req.Stream {
		e.streamResponse(w, r, s, 0)
		return
	}
	e.writeWholeResponse(w, r, s, promptTokens)
}

func answerLength(req engineRequest) int {
	n := req.EmulateTokens
	if n <= 0 {
		n = req.MaxTokens
	}
	if n <= 0 {
		n = defaultAnswerTokens
	}
	return min(n, maxAnswerTokens)
}

// cachePrefix adds the prompt's blocks to the prefix cache and returns the number of tokens that
// were cached before.
func (e *Engine) cachePrefix(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	cachedTokens, hit := 0, true
	hash := xxhash.New()
	for i := 0; i+cacheBlockChars <= len(prompt); i += cacheBlockChars {
		hash.WriteString(prompt[i : i+cacheBlockChars])
		key := hash.Sum64()
		_, ok := e.prefixCache[key]
		if hit = hit && ok; hit {
			cachedTokens += cacheBlockChars / charsPerToken
		}
		e.cacheClock++
		e.prefixCache[key] = e.cacheClock
	}
	for len(e.prefixCache) > e.config.MaxCacheBlocks {
		e.evictOldest()
	}
	return cachedTokens
}

func (e *Engine) evictOldest() {
	var oldest uint64
	oldestUse := int64(-1)
	for key, lastUse := range e.prefixCache {
		if oldestUse < 0 || lastUse < oldestUse {
			oldest, oldestUse = key, lastUse
		}
	}
	delete(e.prefixCache, oldest)
}

// tokenInterval returns the time between two tokens at the current batch size.
func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	interval := e.config.TokenInterval
	if e.activeRequests > e.config.FullSpeedBatch {
		interval = interval * time.Duration(e.activeRequests) / time.Duration(e.config.FullSpeedBatch)
	}
	return interval
}

// generate produces a stream's tokens, independently of its readers.
func (e *Engine) generate(id string, s *stream, prefill time.Duration) {
	defer e.finish(id, s)
	next := time.Now().Add(prefill)
	for {
		n := max(1, e.config.TokensPerEvent)
		next = next.Add(time.Duration(n) * e.tokenInterval())
		time.Sleep(time.Until(next))
		if !s.produce(n) {
			return
		}
	}
}

// produce adds up to n tokens and reports whether the stream continues.
func (s *stream) produce(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers == 0 && time.Since(s.detachedAt) > detachedStreamTTL {
		s.canceled = true
	}
	if s.canceled {
		close(s.changed)
		s.changed = make(chan struct{})
		return false
	}
	s.produced = min(s.produced+n, s.totalTokens)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.produced < s.totalTokens
}

// finish removes the stream from the batch. It can be resumed for detachedStreamTTL.
func (e *Engine) finish(id string, s *stream) {
	s.mu.Lock()
	produced := s.produced
	s.mu.Unlock()
	e.mu.Lock()
	e.activeRequests--
	e.stats.GeneratedTokens += int64(produced)
	e.mu.Unlock()
	time.AfterFunc(detachedStreamTTL, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[id] == s {
			delete(e.streams, id)
		}
	})
}

// wait returns when the stream has more than offset tokens or has ended. ok is false if the stream
// was canceled or the client disconnected.
func (s *stream) wait(r *http.Request, offset int) (produced int, ended, ok bool) {
	for {
		s.mu.Lock()
		produced, ended = s.produced, s.produced >= s.totalTokens || s.canceled
		canceled := s.canceled
		changed := s.changed
		s.mu.Unlock()
		if produced > offset || ended {
			return produced, ended, !canceled
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return produced, false, false
		}
	}
}

func (s *stream) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.detachedAt = time.Now()
}

// completion is one event of a stream, or the body of a response that is not streamed.
type completion struct {
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Text  string `json:"text"`
	Index int    `json:"index"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

func (s *stream) text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "%s-%d ", s.nonce, i)
	}
	return b.String()
}

func (e *Engine) streamResponse(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	defer s.detach()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	controller.Flush()
	for {
		produced, ended, ok := s.wait(r, offset)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		if produced > offset {
			data, _ := json.Marshal(completion{Choices: []choice{{Text: s.text(offset, produced)}}})
			offset = produced
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
		}
		if ended {
			io.WriteString(w, "data: [DONE]\n\n")
		}
		if controller.Flush() != nil || ended {
			return
		}
	}
}

func (e *Engine) writeWholeResponse(
	w http.ResponseWriter, r *http.Request, s *stream, promptTokens int,
) {
	defer s.detach()
	for offset := 0; ; {
		produced, ended, ok := s.wait(r, offset)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		offset = produced
		if ended {
			break
		}
	}
	writeJSON(w, http.StatusOK, completion{
		Choices: []choice{{Text: s.text(0, s.totalTokens)}},
		Usage:   &usage{PromptTokens: promptTokens, CompletionTokens: s.totalTokens},
	})
}

func (e *Engine) findStream(r *http.Request) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[mux.Vars(r)["id"]]
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	s := e.findStream(r)
	if s == nil || err != nil || offset < 0 {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.mu.Lock()
	s.readers++
	s.mu.Unlock()
	w.Header().Set("X-Request-Id", mux.Vars(r)["id"])
	e.streamResponse(w, r, s, offset)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if s := e.findStream(r); s != nil {
		s.mu.Lock()
		s.canceled = true
		s.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveLoad returns the load report, which is up to loadReportMaxAge old.
func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	current := e.Stats()
	e.mu.Lock()
	if now.Sub(e.reportedAt) > loadReportMaxAge {
		e.reportedStats, e.reportedAt = current, now
	}
	reported := e.reportedStats
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, reported)
}
