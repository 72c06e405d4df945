// Package loader drives routers as callers do and judges what they get: whether
// each answer is whole and the caller's own, how long it took, and what callers
// were told of the rest.
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

// Cost draws the true length of an answer in tokens.
type Cost func(*rand.Rand) int

// LogUniform draws from low to high, each order of magnitude equally often.
func LogUniform(low, high int) Cost {
	l, h := math.Log(float64(low)), math.Log(float64(high))
	return func(r *rand.Rand) int { return int(math.Exp(l + r.Float64()*(h-l))) }
}

// Flow is a stream of alike requests of one workspace.
type Flow struct {
	Workspace string
	// Key is the workspace's bearer key.
	Key string
	// Path chooses the kind of work.
	Path  string
	Model string
	// Rate is the open loop's requests a second.
	Rate float64
	// Outstanding keeps so many requests open at each router instead.
	Outstanding int
	// URLs are the routers' base URLs; each request takes the next draw.
	URLs []string
	Cost Cost
	// HintError is the factor by which the hint is wrong at most, either way;
	// HintFactor multiplies every hint, for a workspace that lies.
	HintError  float64
	HintFactor float64
	// From and Till bound the flow; Till 0 means until the end.
	From time.Duration
	Till time.Duration
}

// Plan is a load.
type Plan struct {
	Flows []Flow
	Seed  uint64
	// Length is how long requests are started; Drain how long open ones may take
	// after that.
	Length time.Duration
	Drain  time.Duration
	// Phases are the starts of the phases after the first one, by which the
	// tallies are kept apart.
	Phases []time.Duration
	Client *http.Client
}

// charsPerToken is the rough length of a token of a prompt.
const charsPerToken = 4

// The largest values that histograms keep.
const (
	maxMicros = int64(time.Hour / time.Microsecond)
	digits    = 3
)

// Tally counts one workspace's requests of one phase.
type Tally struct {
	Started  int64
	Complete int64
	NotRun   int64
	Unknown  int64
	// Refused counts connections that were not accepted.
	Refused int64
	// Cut counts answers that visibly ended early; Wrong those that were not
	// whole or another's without the caller being able to tell.
	Cut    int64
	Wrong  int64
	Tokens int64
	// First, Between and Refusal are in µs.
	First   *hdrhistogram.Histogram
	Between *hdrhistogram.Histogram
	Refusal *hdrhistogram.Histogram
}

func newTally() *Tally {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, digits) }
	return &Tally{First: h(), Between: h(), Refusal: h()}
}

// Add sums two tallies.
func (t *Tally) Add(o *Tally) {
	t.Started += o.Started
	t.Complete += o.Complete
	t.NotRun += o.NotRun
	t.Unknown += o.Unknown
	t.Refused += o.Refused
	t.Cut += o.Cut
	t.Wrong += o.Wrong
	t.Tokens += o.Tokens
	t.First.Merge(o.First)
	t.Between.Merge(o.Between)
	t.Refusal.Merge(o.Refusal)
}

// Run is a load under way.
type Run struct {
	plan    Plan
	started time.Time
	wg      sync.WaitGroup
	nonce   atomic.Uint64

	mu      sync.Mutex
	tallies map[string][]*Tally
	service map[string]*atomic.Int64
}

// Start starts a load.
func Start(ctx context.Context, p Plan) *Run {
	if p.Client == nil {
		p.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	}
	r := &Run{plan: p, started: time.Now(), tallies: map[string][]*Tally{}, service: map[string]*atomic.Int64{}}
	for _, f := range p.Flows {
		if r.service[f.Workspace] == nil {
			r.service[f.Workspace] = &atomic.Int64{}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, p.Length+p.Drain)
	for i, f := range p.Flows {
		rng := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		if f.Outstanding > 0 {
			r.closedLoop(ctx, f, rng)
			continue
		}
		r.wg.Go(func() { r.openLoop(ctx, f, rng) })
	}
	context.AfterFunc(ctx, cancel)
	return r
}

// Wait returns when all requests have ended.
func (r *Run) Wait() { r.wg.Wait() }

// Service returns the tokens that each workspace was served so far, prompts
// and answers.
func (r *Run) Service() map[string]float64 {
	m := map[string]float64{}
	for w, n := range r.service {
		m[w] = float64(n.Load())
	}
	return m
}

// Tally returns the sum of a workspace's tallies in a phase.
func (r *Run) Tally(workspace string, phase int) *Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ts := r.tallies[workspace]; ts != nil {
		return ts[phase]
	}
	return newTally()
}

// Total returns the sum over all workspaces and phases.
func (r *Run) Total() *Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := newTally()
	for _, ts := range r.tallies {
		for _, t := range ts {
			sum.Add(t)
		}
	}
	return sum
}

// span returns when the flow starts and ends.
func (r *Run) span(f Flow) (from, till time.Time) {
	till = r.started.Add(r.plan.Length)
	if f.Till > 0 && f.Till < r.plan.Length {
		till = r.started.Add(f.Till)
	}
	return r.started.Add(f.From), till
}

func sleepTill(ctx context.Context, at time.Time) bool {
	return pauser.Sleep(ctx, time.Until(at))
}

// openLoop starts requests at seeded random times, whatever became of others.
func (r *Run) openLoop(ctx context.Context, f Flow, rng *rand.Rand) {
	at, till := r.span(f)
	for {
		at = at.Add(time.Duration(rng.ExpFloat64() / f.Rate * float64(time.Second)))
		if !at.Before(till) || !sleepTill(ctx, at) {
			return
		}
		q := r.draw(f, rng)
		r.wg.Go(func() { r.request(ctx, f, q) })
	}
}

// closedLoop keeps requests open, as a workspace that is always backlogged.
func (r *Run) closedLoop(ctx context.Context, f Flow, rng *rand.Rand) {
	from, till := r.span(f)
	for _, url := range f.URLs {
		one := f
		one.URLs = []string{url}
		for range f.Outstanding {
			own := rand.New(rand.NewPCG(rng.Uint64(), 0))
			r.wg.Go(func() {
				if !sleepTill(ctx, from) {
					return
				}
				for time.Now().Before(till) && ctx.Err() == nil {
					if wait := r.request(ctx, one, r.draw(one, own)); wait > 0 {
						sleepTill(ctx, time.Now().Add(wait))
					}
				}
			})
		}
	}
}

// query is one drawn request.
type query struct {
	url    string
	nonce  string
	tokens int
	hint   int
}

func (r *Run) draw(f Flow, rng *rand.Rand) query {
	q := query{
		url:    f.URLs[rng.IntN(len(f.URLs))],
		nonce:  "n" + strconv.FormatUint(r.nonce.Add(1), 36),
		tokens: max(1, f.Cost(rng)),
	}
	hint := float64(q.tokens)
	if f.HintError > 1 {
		hint *= math.Pow(f.HintError, 2*rng.Float64()-1)
	}
	if f.HintFactor > 0 {
		hint *= f.HintFactor
	}
	q.hint = max(1, int(hint))
	return q
}

type requestBody struct {
	Model         string `json:"model"`
	Stream        bool   `json:"stream"`
	MaxTokens     int    `json:"max_tokens"`
	User          string `json:"user"`
	Prompt        string `json:"prompt"`
	EmulateTokens int    `json:"emulate_tokens"`
}

// request makes one request and returns how long the caller was told to wait.
func (r *Run) request(ctx context.Context, f Flow, q query) time.Duration {
	started := time.Now()
	b, err := json.Marshal(requestBody{
		Model: f.Model, Stream: true, MaxTokens: q.hint, User: q.nonce, EmulateTokens: q.tokens, Prompt: "p " + q.nonce,
	})
	if err != nil {
		return 0
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, q.url+f.Path, bytes.NewReader(b))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+f.Key)
	resp, err := r.plan.Client.Do(req)
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		var op *net.OpError
		refused := errors.As(err, &op) && op.Op == "dial"
		r.note(f, started, func(t *Tally) {
			if refused {
				t.Refused++
			} else {
				t.Unknown++
			}
		})
		return time.Second
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r.refused(f, started, resp)
	}
	r.read(ctx, f, q, started, len(b)/charsPerToken, resp)
	return 0
}

func (r *Run) note(f Flow, started time.Time, add func(*Tally)) {
	phase := 0
	for _, p := range r.plan.Phases {
		if started.Sub(r.started) >= p {
			phase++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ts := r.tallies[f.Workspace]
	if ts == nil {
		for range len(r.plan.Phases) + 1 {
			ts = append(ts, newTally())
		}
		r.tallies[f.Workspace] = ts
	}
	ts[phase].Started++
	add(ts[phase])
}

// problem is what is read of a problem document.
type problem struct {
	Outcome string `json:"outcome"`
}

func (r *Run) refused(f Flow, started time.Time, resp *http.Response) time.Duration {
	var p problem
	b, _ := io.ReadAll(resp.Body)
	took := time.Since(started)
	if json.Unmarshal(b, &p) == nil && p.Outcome == "not-run" {
		r.note(f, started, func(t *Tally) {
			t.NotRun++
			t.Refusal.RecordValue(took.Microseconds())
		})
	} else {
		r.note(f, started, func(t *Tally) { t.Unknown++ })
	}
	s, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return time.Second
	}
	return time.Duration(s) * time.Second
}

type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// read follows a stream and checks that every token is the request's own and in
// its place. Its prompt counts as service with the first token.
func (r *Run) read(ctx context.Context, f Flow, q query, started time.Time, prompt int, resp *http.Response) {
	s := bufio.NewScanner(resp.Body)
	s.Buffer(make([]byte, 0, 4096), 1<<20)
	tokens, done, failed, own := 0, false, false, true
	var first, last time.Time
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			failed = failed || strings.HasPrefix(s.Text(), "event: error")
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var e streamEvent
		if failed || json.Unmarshal([]byte(data), &e) != nil || len(e.Choices) != 1 {
			continue
		}
		last = time.Now()
		n := 0
		if first.IsZero() {
			first = last
			r.service[f.Workspace].Add(int64(prompt))
		}
		for _, word := range strings.Fields(e.Choices[0].Text) {
			own = own && word == fmt.Sprintf("%s-%d", q.nonce, tokens)
			tokens++
			n++
		}
		r.service[f.Workspace].Add(int64(n))
	}
	if ctx.Err() != nil && !done {
		return
	}
	r.note(f, started, func(t *Tally) {
		t.Tokens += int64(tokens)
		switch {
		case !own || done && tokens != q.tokens:
			t.Wrong++
		case done:
			t.Complete++
		default:
			t.Cut++
		}
		if !first.IsZero() {
			t.First.RecordValue(max(1, first.Sub(started).Microseconds()))
		}
		if tokens > 1 {
			t.Between.RecordValue(max(1, last.Sub(first).Microseconds()/int64(tokens)))
		}
	})
}
