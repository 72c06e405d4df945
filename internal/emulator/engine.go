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

func unescape(s string) (string, error) { return url.PathUnescape(s) }

// EngineSpeed describes how fast a model engine is.
type EngineSpeed struct {
	// TokenEvery is the time between a stream's tokens at an empty engine.
	TokenEvery time.Duration
	// FullBatch is the batch size up to which the speed holds; above it all
	// streams slow down in proportion.
	FullBatch int
	// PrefillPerToken is the time that one uncached prompt token takes.
	PrefillPerToken time.Duration
	// ChunkTokens is how many tokens one event of a stream carries.
	ChunkTokens int
	// CacheBlocks bounds the prompt prefix cache.
	CacheBlocks int
}

const (
	// charsPerToken is the rough length of a token of a prompt.
	charsPerToken = 4
	// blockChars is the length of a block of the prefix cache.
	blockChars = 256
	// keepDetached is how long a stream goes on without a reader.
	keepDetached = 3 * time.Second
	// defaultTokens is the length of an answer for which nothing is asked.
	defaultTokens = 32
	// maxTokens bounds an answer.
	maxTokens = 20_000
	// loadLag is how old the engine's load report is.
	loadLag = time.Second
)

// Engine stands in for a model engine: it admits every request as it arrives,
// batches continuously, caches prompt prefixes in limited memory, and resumes
// and cancels streams.
type Engine struct {
	http.Handler
	Name string

	speed  EngineSpeed
	faults *faulter

	mu      sync.Mutex
	streams map[string]*stream
	active  int
	cache   map[uint64]int64
	clock   int64
	stats   EngineStats
	lagging EngineStats
	lagAt   time.Time
}

// EngineStats counts what an engine did.
type EngineStats struct {
	Active       int   `json:"active"`
	Requests     int64 `json:"requests"`
	Tokens       int64 `json:"tokens"`
	PromptTokens int64 `json:"prompt-tokens"`
	CachedTokens int64 `json:"cached-tokens"`
}

// stream is one generation; it lives on for a while without its reader.
type stream struct {
	mu       sync.Mutex
	produced int
	total    int
	nonce    string
	grew     chan struct{}
	readers  int
	detached time.Time
	gone     bool
}

// NewEngine returns an engine.
func NewEngine(name string, seed uint64, speed EngineSpeed) *Engine {
	e := &Engine{Name: name, speed: speed, streams: map[string]*stream{}, cache: map[uint64]int64{}}
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{id}", e.resume).Methods(http.MethodGet)
	r.HandleFunc("/v1/streams/{id}", e.cancel).Methods(http.MethodDelete)
	r.HandleFunc("/load", e.load).Methods(http.MethodGet)
	e.faults = newFaulter(seed, r)
	e.Handler = e.faults
	return e
}

// SetFault makes the engine misbehave.
func (e *Engine) SetFault(f Fault) { e.faults.Set(f) }

// Stats returns the engine's counts.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Active = e.active
	return s
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

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	var q engineRequest
	if err := json.Unmarshal(b, &q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt := q.Prompt + string(q.Messages)
	tokens := len(prompt)/charsPerToken + 1
	cached := e.usePrefix(prompt)
	s := &stream{total: answerLength(q), nonce: q.User, grew: make(chan struct{}), readers: 1}
	id := r.Header.Get("X-Request-Id")
	e.mu.Lock()
	e.streams[id] = s
	e.active++
	e.stats.Requests++
	e.stats.PromptTokens += int64(tokens)
	e.stats.CachedTokens += int64(cached)
	e.mu.Unlock()
	go e.generate(id, s, time.Duration(tokens-cached)*e.speed.PrefillPerToken)
	w.Header().Set("X-Request-Id", id)
	if q.Stream {
		e.relay(w, r, s, 0)
		return
	}
	e.whole(w, r, s, tokens)
}

func answerLength(q engineRequest) int {
	n := q.EmulateTokens
	if n <= 0 {
		n = q.MaxTokens
	}
	if n <= 0 {
		n = defaultTokens
	}
	return min(n, maxTokens)
}

// usePrefix returns how many tokens of the prompt were cached, and caches it.
func (e *Engine) usePrefix(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached, hit := 0, true
	d := xxhash.New()
	for i := 0; i+blockChars <= len(prompt); i += blockChars {
		d.WriteString(prompt[i : i+blockChars])
		k := d.Sum64()
		_, ok := e.cache[k]
		if hit = hit && ok; hit {
			cached += blockChars / charsPerToken
		}
		e.clock++
		e.cache[k] = e.clock
	}
	for len(e.cache) > e.speed.CacheBlocks {
		e.evict()
	}
	return cached
}

func (e *Engine) evict() {
	var oldest uint64
	at := int64(-1)
	for k, v := range e.cache {
		if at < 0 || v < at {
			oldest, at = k, v
		}
	}
	delete(e.cache, oldest)
}

// tokenEvery is the time between tokens at the present batch size.
func (e *Engine) tokenEvery() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.speed.TokenEvery
	if e.active > e.speed.FullBatch {
		d = d * time.Duration(e.active) / time.Duration(e.speed.FullBatch)
	}
	return d
}

// generate produces a stream's tokens, whoever reads them.
func (e *Engine) generate(id string, s *stream, prefill time.Duration) {
	defer e.finish(id, s)
	next := time.Now().Add(prefill)
	for {
		n := max(1, e.speed.ChunkTokens)
		next = next.Add(time.Duration(n) * e.tokenEvery())
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
	if s.readers == 0 && time.Since(s.detached) > keepDetached {
		s.gone = true
	}
	if s.gone {
		close(s.grew)
		s.grew = make(chan struct{})
		return false
	}
	s.produced = min(s.produced+n, s.total)
	close(s.grew)
	s.grew = make(chan struct{})
	return s.produced < s.total
}

// finish leaves the batch; the answer stays readable for a while.
func (e *Engine) finish(id string, s *stream) {
	s.mu.Lock()
	produced := s.produced
	s.mu.Unlock()
	e.mu.Lock()
	e.active--
	e.stats.Tokens += int64(produced)
	e.mu.Unlock()
	time.AfterFunc(keepDetached, func() {
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
		produced, ended = s.produced, s.produced >= s.total || s.gone
		gone := s.gone
		grew := s.grew
		s.mu.Unlock()
		if produced > offset || ended {
			return produced, ended, !gone
		}
		select {
		case <-grew:
		case <-r.Context().Done():
			return produced, false, false
		}
	}
}

func (s *stream) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.detached = time.Now()
}

// event is one event of a stream.
type event struct {
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

func (e *Engine) relay(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	defer s.detach()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	rc.Flush()
	for {
		produced, ended, ok := s.wait(r, offset)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		if produced > offset {
			b, _ := json.Marshal(event{Choices: []choice{{Text: s.text(offset, produced)}}})
			offset = produced
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, b)
		}
		if ended {
			io.WriteString(w, "data: [DONE]\n\n")
		}
		if rc.Flush() != nil || ended {
			return
		}
	}
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, s *stream, promptTokens int) {
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
	reply(w, http.StatusOK, event{
		Choices: []choice{{Text: s.text(0, s.total)}},
		Usage:   &usage{PromptTokens: promptTokens, CompletionTokens: s.total},
	})
}

func (e *Engine) find(r *http.Request) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[mux.Vars(r)["id"]]
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	s := e.find(r)
	if s == nil || err != nil || offset < 0 {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.mu.Lock()
	s.readers++
	s.mu.Unlock()
	w.Header().Set("X-Request-Id", mux.Vars(r)["id"])
	e.relay(w, r, s, offset)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	if s := e.find(r); s != nil {
		s.mu.Lock()
		s.gone = true
		s.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

// load reports the engine's load as it was a while ago.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	current := e.Stats()
	e.mu.Lock()
	if now.Sub(e.lagAt) > loadLag {
		e.lagging, e.lagAt = current, now
	}
	s := e.lagging
	e.mu.Unlock()
	reply(w, http.StatusOK, s)
}
