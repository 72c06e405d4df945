// Package emulator holds small stand-ins for what papayapaddle meets: model
// engines, plain services and the platform, with faults on request. They serve
// demonstrations, tests and measurements.
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

// EngineConfig describes how fast a model engine is.
type EngineConfig struct {
	// TokenInterval is the time between a stream's tokens at an empty engine.
	TokenInterval time.Duration
	// FullSpeedBatch is the batch size up to which the speed holds; above it all
	// streams slow down in proportion.
	FullSpeedBatch int
	// PrefillPerToken is the time that one uncached prompt token takes.
	PrefillPerToken time.Duration
	// TokensPerEvent is how many tokens one event of a stream carries.
	TokensPerEvent int
	// MaxCacheBlocks bounds the prompt prefix cache.
	MaxCacheBlocks int
}

const (
	// charsPerToken is the rough length of a token of a prompt.
	charsPerToken = 4
	// cacheBlockChars is the length of a block of the prefix cache.
	cacheBlockChars = 256
	// detachedStreamTTL is how long a stream goes on without a reader.
	detachedStreamTTL = 3 * time.Second
	// defaultAnswerTokens is the length of an answer for which nothing is asked.
	defaultAnswerTokens = 32
	// maxAnswerTokens bounds an answer.
	maxAnswerTokens = 20_000
	// loadReportInterval is how old the engine's load report is.
	loadReportInterval = time.Second
)

// Engine stands in for a model engine: it admits every request as it arrives,
// batches continuously, caches prompt prefixes in limited memory, and resumes
// and cancels streams.
type Engine struct {
	http.Handler
	Name string

	config        EngineConfig
	faultInjector *faultInjector

	mu             sync.Mutex
	streams        map[string]*stream
	activeRequests int
	prefixCache    map[uint64]int64
	cacheClock     int64
	stats          EngineStats
	reportedStats  EngineStats
	reportedAt     time.Time
}

// EngineStats counts what an engine did.
type EngineStats struct {
	ActiveRequests  int   `json:"active"`
	Requests        int64 `json:"requests"`
	GeneratedTokens int64 `json:"tokens"`
	PromptTokens    int64 `json:"prompt-tokens"`
	CachedTokens    int64 `json:"cached-tokens"`
}

// stream is one generation; it lives on for a while without its reader.
type stream struct {
	mu          sync.Mutex
	produced    int
	totalTokens int
	nonce       string
	changed     chan struct{}
	readers     int
	detachedAt  time.Time
	canceled    bool
}

// NewEngine returns an engine.
func NewEngine(name string, seed uint64, config EngineConfig) *Engine {
	e := &Engine{Name: name, config: config, streams: map[string]*stream{}, prefixCache: map[uint64]int64{}}
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", e.serveCompletion).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", e.serveCompletion).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{id}", e.serveResume).Methods(http.MethodGet)
	router.HandleFunc("/v1/streams/{id}", e.serveCancel).Methods(http.MethodDelete)
	router.HandleFunc("/load", e.serveLoad).Methods(http.MethodGet)
	e.faultInjector = newFaultInjector(seed, router)
	e.Handler = e.faultInjector
	return e
}

// SetFault makes the engine misbehave.
func (e *Engine) SetFault(f Fault) { e.faultInjector.Set(f) }

// Stats returns the engine's counts.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.ActiveRequests = e.activeRequests
	return stats
}

// engineRequest is what the engine reads of a caller's body.
type engineRequest struct {
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    string          `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	// User is put into every token, by which a caller knows its own answer.
	User string `json:"user"`
	// EmulateTokens is the true length of the answer, which only the engine
	// knows.
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
	s := &stream{totalTokens: answerLength(req), nonce: req.User, changed: make(chan struct{}), readers: 1}
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

// cachePrefix returns how many tokens of the prompt were cached, and caches it.
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

// tokenInterval is the time between tokens at the present batch size.
func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	interval := e.config.TokenInterval
	if e.activeRequests > e.config.FullSpeedBatch {
		interval = interval * time.Duration(e.activeRequests) / time.Duration(e.config.FullSpeedBatch)
	}
	return interval
}

// generate produces a stream's tokens, whoever reads them.
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

// produce adds tokens and says whether the stream goes on.
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

// finish leaves the batch; the answer stays readable for a while.
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

// wait returns once the stream has more than offset tokens or has ended.
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

// completion is one event of a stream.
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

func (e *Engine) writeWholeResponse(w http.ResponseWriter, r *http.Request, s *stream, promptTokens int) {
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

// serveLoad reports the engine's load as it was a while ago.
func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	current := e.Stats()
	e.mu.Lock()
	if now.Sub(e.reportedAt) > loadReportInterval {
		e.reportedStats, e.reportedAt = current, now
	}
	reported := e.reportedStats
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, reported)
}
