// Package loader generates load on routers and checks their responses: whether each one is complete
// and belongs to its request, how long it took, and which outcome is reported for the others.
package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"papayapaddle/internal/pauser"
)

// TokenSampler draws the actual length of an answer in tokens.
type TokenSampler func(*rand.Rand) int

// LogUniform returns a sampler of a log-uniform distribution from minTokens to maxTokens.
func LogUniform(minTokens, maxTokens int) TokenSampler {
	logMin, logMax := math.Log(float64(minTokens)), math.Log(float64(maxTokens))
	return func(rng *rand.Rand) int { return int(math.Exp(logMin + rng.Float64()*(logMax-logMin))) }
}

// Flow is a series of similar requests of one workspace.
type Flow struct {
	Workspace string
	APIKey    string
	// Path determines the work kind.
	Path  string
	Model string
	// RequestsPerSecond is the mean rate of Poisson arrivals. It is used if Concurrency is zero.
	RequestsPerSecond float64
	// Concurrency, if not zero, is the number of requests kept open at each router.
	Concurrency int
	// RouterURLs are the routers' base URLs. Each request goes to a random one.
	RouterURLs   []string
	AnswerTokens TokenSampler
	// MaxHintError is the largest factor by which length hints are too high or too low.
	MaxHintError float64
	// HintFactor, if not zero, multiplies every length hint, to emulate a workspace that reports
	// wrong lengths on purpose.
	HintFactor float64
	// StartAfter is the delay from the start of the run to the start of the flow.
	StartAfter time.Duration
	// StopAfter is the time from the start of the run to the end of the flow. Zero means the end of
	// the workload.
	StopAfter time.Duration
}

// Workload configures a run.
type Workload struct {
	Flows []Flow
	Seed  uint64
	// Duration is how long requests are started.
	Duration time.Duration
	// DrainTimeout is how long open requests may continue after that.
	DrainTimeout time.Duration
	// PhaseStarts are the start times of the second and later phases. Each phase has its own stats.
	PhaseStarts []time.Duration
	// Client is optional.
	Client *http.Client
}

// charsPerToken is the approximate length of a prompt token.
const charsPerToken = 4

// Limits of the histograms: the largest value and the number of significant digits.
const (
	maxHistogramMicros = int64(time.Hour / time.Microsecond)
	histogramDigits    = 3
)

// Stats are the results of one workspace's requests in one phase.
type Stats struct {
	Started        int64
	Completed      int64
	NotRun         int64
	OutcomeUnknown int64
	// ConnectionsRefused counts requests whose connection could not be established.
	ConnectionsRefused int64
	// Truncated counts streams that ended without a final event.
	Truncated int64
	// Wrong counts streams with tokens of another request, or with a final event but the wrong
	// number of tokens. A caller cannot detect either.
	Wrong  int64
	Tokens int64
	// TimeToFirstToken is in microseconds.
	TimeToFirstToken *hdrhistogram.Histogram
	// TokenInterval is the mean time between the tokens of each stream, in microseconds.
	TokenInterval *hdrhistogram.Histogram
	// RefusalLatency is in microseconds.
	RefusalLatency *hdrhistogram.Histogram
}

func newStats() *Stats {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxHistogramMicros, histogramDigits)
	}
	return &Stats{
		TimeToFirstToken: newHistogram(), TokenInterval: newHistogram(), RefusalLatency: newHistogram(),
	}
}

// Merge adds other to s.
func (s *Stats) Merge(other *Stats) {
	s.Started += other.Started
	s.Completed += other.Completed
	s.NotRun += other.NotRun
	s.OutcomeUnknown += other.OutcomeUnknown
	s.ConnectionsRefused += other.ConnectionsRefused
	s.Truncated += other.Truncated
	s.Wrong += other.Wrong
	s.Tokens += other.Tokens
	s.TimeToFirstToken.Merge(other.TimeToFirstToken)
	s.TokenInterval.Merge(other.TokenInterval)
	s.RefusalLatency.Merge(other.RefusalLatency)
}

// Run is a running or finished workload.
type Run struct {
	workload  Workload
	startTime time.Time
	wg        sync.WaitGroup
	lastNonce atomic.Uint64

	mu               sync.Mutex
	statsByWorkspace map[string][]*Stats
	servedTokens     map[string]*atomic.Int64
}

// Start starts a workload.
func Start(ctx context.Context, w Workload) *Run {
	if w.Client == nil {
		w.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	}
	r := &Run{
		workload: w, startTime: time.Now(),
		statsByWorkspace: map[string][]*Stats{}, servedTokens: map[string]*atomic.Int64{},
	}
	for _, flow := range w.Flows {
		if r.servedTokens[flow.Workspace] == nil {
			r.servedTokens[flow.Workspace] = &atomic.Int64{}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, w.Duration+w.DrainTimeout)
	for i, f := range w.Flows {
		rng := rand.New(rand.NewPCG(w.Seed, uint64(i)))
		if f.Concurrency > 0 {
			r.runClosedLoop(ctx, f, rng)
			continue
		}
		r.wg.Go(func() { r.runOpenLoop(ctx, f, rng) })
	}
	context.AfterFunc(ctx, cancel)
	return r
}

// Wait returns when all requests have ended.
func (r *Run) Wait() { r.wg.Wait() }

// ServedTokens returns the number of prompt and answer tokens that each workspace received so far.
func (r *Run) ServedTokens() map[string]float64 {
	tokens := map[string]float64{}
	for workspace, count := range r.servedTokens {
		tokens[workspace] = float64(count.Load())
	}
	return tokens
}

// Stats returns the stats of a workspace in a phase.
func (r *Run) Stats(workspace string, phase int) *Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	if phases := r.statsByWorkspace[workspace]; phases != nil {
		return phases[phase]
	}
	return newStats()
}

// TotalStats returns the merged stats of all workspaces and phases.
func (r *Run) TotalStats() *Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := newStats()
	for _, phases := range r.statsByWorkspace {
		for _, stats := range phases {
			total.Merge(stats)
		}
	}
	return total
}

// flowSpan returns the start and end times of a flow.
func (r *Run) flowSpan(flow Flow) (start, end time.Time) {
	end = r.startTime.Add(r.workload.Duration)
	if flow.StopAfter > 0 && flow.StopAfter < r.workload.Duration {
		end = r.startTime.Add(flow.StopAfter)
	}
	return r.startTime.Add(flow.StartAfter), end
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	return pauser.Sleep(ctx, time.Until(t))
}

// runOpenLoop starts requests at random times, independently of the completion of earlier ones.
func (r *Run) runOpenLoop(ctx context.Context, flow Flow, rng *rand.Rand) {
	next, end := r.flowSpan(flow)
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / flow.RequestsPerSecond * float64(time.Second)))
		if !next.Before(end) || !sleepUntil(ctx, next) {
			return
		}
		request := r.drawRequest(flow, rng)
		r.wg.Go(func() { r.sendRequest(ctx, flow, request) })
	}
}

// runClosedLoop keeps a fixed number of requests open at each router, so that the workspace always
// has waiting requests.
func (r *Run) runClosedLoop(ctx context.Context, flow Flow, rng *rand.Rand) {
	start, end := r.flowSpan(flow)
	for _, url := range flow.RouterURLs {
		routerFlow := flow
		routerFlow.RouterURLs = []string{url}
		for range flow.Concurrency {
			workerRNG := rand.New(rand.NewPCG(rng.Uint64(), 0))
			r.wg.Go(func() {
				if !sleepUntil(ctx, start) {
					return
				}
				for time.Now().Before(end) && ctx.Err() == nil {
					if wait := r.sendRequest(
						ctx, routerFlow, r.drawRequest(routerFlow, workerRNG),
					); wait > 0 {
						sleepUntil(ctx, time.Now().Add(wait))
					}
				}
			})
		}
	}
}

// drawnRequest holds the randomly drawn properties of a request.
type drawnRequest struct {
	url string
	// nonce is part of every token of the answer and identifies the request.
	nonce        string
	answerTokens int
	hintTokens   int
}

func (r *Run) drawRequest(flow Flow, rng *rand.Rand) drawnRequest {
	request := drawnRequest{
		url:          flow.RouterURLs[rng.IntN(len(flow.RouterURLs))],
		nonce:        "n" + strconv.FormatUint(r.lastNonce.Add(1), 36),
		answerTokens: max(1, flow.AnswerTokens(rng)),
	}
	hint := float64(request.answerTokens)
	if flow.MaxHintError > 1 {
		hint *= math.Pow(flow.MaxHintError, 2*rng.Float64()-1)
	}
	if flow.HintFactor > 0 {
		hint *= flow.HintFactor
	}
	request.hintTokens = max(1, int(hint))
	return request
}

type requestBody struct {
	Model         string `json:"model"`
	Stream        bool   `json:"stream"`
	MaxTokens     int    `json:"max_tokens"`
	User          string `json:"user"`
	Prompt        string `json:"prompt"`
	EmulateTokens int    `json:"emulate_tokens"`
}

// sendRequest sends a request, records its result and returns how long to wait before the next one.
func (r *Run) sendRequest(ctx context.Context, flow Flow, request drawnRequest) time.Duration {
	start := time.Now()
	body, err := json.Marshal(requestBody{
		Model: flow.Model, Stream: true, MaxTokens: request.hintTokens, User: request.nonce,
		EmulateTokens: request.answerTokens, Prompt: "p " + request.nonce,
	})
	if err != nil {
		return 0
	}
	req, err := http.NewRequestWithContext(
		ctx, http.MethodPost, request.url+flow.Path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+flow.APIKey)
	resp, err := r.workload.Client.Do(req)
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		var opErr *net.OpError
		dialFailed := errors.As(err, &opErr) && opErr.Op == "dial"
		r.record(flow, start, func(stats *Stats) {
			if dialFailed {
				stats.ConnectionsRefused++
			} else {
				stats.OutcomeUnknown++
			}
		})
		return time.Second
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r.recordRefusal(flow, start, resp)
	}
	r.readStream(ctx, flow, request, start, len(body)/charsPerToken, resp)
	return 0
}

// record counts a request and applies update to the stats of the phase in which it started.
func (r *Run) record(flow Flow, start time.Time, update func(*Stats)) {
	phase := 0
	for _, phaseStart := range r.workload.PhaseStarts {
		if start.Sub(r.startTime) >= phaseStart {
			phase++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	phases := r.statsByWorkspace[flow.Workspace]
	if phases == nil {
		for range len(r.workload.PhaseStarts) + 1 {
			phases = append(phases, newStats())
		}
		r.statsByWorkspace[flow.Workspace] = phases
	}
	phases[phase].Started++
	update(phases[phase])
}

// problemDocument contains the field of a problem document that the loader reads.
type problemDocument struct {
	Outcome string `json:"outcome"`
}

// recordRefusal records a response with an error status. It returns the Retry-After delay, or one
// second if there is none.
func (r *Run) recordRefusal(flow Flow, start time.Time, resp *http.Response) time.Duration {
	var problem problemDocument
	body, _ := io.ReadAll(resp.Body)
	latency := time.Since(start)
	if json.Unmarshal(body, &problem) == nil && problem.Outcome == "not-run" {
		r.record(flow, start, func(stats *Stats) {
			stats.NotRun++
			stats.RefusalLatency.RecordValue(latency.Microseconds())
		})
	} else {
		r.record(flow, start, func(stats *Stats) { stats.OutcomeUnknown++ })
	}
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return time.Second
	}
	return time.Duration(seconds) * time.Second
}

type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// readStream reads a stream and checks that every token belongs to the request and is in order. The
// prompt's tokens count as served when the first token arrives.
func (r *Run) readStream(
	ctx context.Context, flow Flow, request drawnRequest, start time.Time, promptTokens int,
	resp *http.Response,
) {
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4096), 1<<20)
	tokens, done, failed, tokensMatch := 0, false, false, true
	var firstEvent, lastEvent time.Time
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			failed = failed || strings.HasPrefix(scanner.Text(), "event: error")
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var event streamEvent
		if failed || json.Unmarshal([]byte(data), &event) != nil || len(event.Choices) != 1 {
			continue
		}
		lastEvent = time.Now()
		eventTokens := 0
		if firstEvent.IsZero() {
			firstEvent = lastEvent
			r.servedTokens[flow.Workspace].Add(int64(promptTokens))
		}
		for _, token := range strings.Fields(event.Choices[0].Text) {
			tokensMatch = tokensMatch && token == fmt.Sprintf("%s-%d", request.nonce, tokens)
			tokens++
			eventTokens++
		}
		r.servedTokens[flow.Workspace].Add(int64(eventTokens))
	}
	if ctx.Err() != nil && !done {
		return
	}
	r.record(flow, start, func(stats *Stats) {
		stats.Tokens += int64(tokens)
		switch {
		case !tokensMatch || done && tokens != request.answerTokens:
			stats.Wrong++
		case done:
			stats.Completed++
		default:
			stats.Truncated++
		}
		if !firstEvent.IsZero() {
			stats.TimeToFirstToken.RecordValue(max(1, firstEvent.Sub(start).Microseconds()))
		}
		if tokens > 1 {
			stats.TokenInterval.RecordValue(max(1, lastEvent.Sub(firstEvent).Microseconds()/int64(tokens)))
		}
	})
}
