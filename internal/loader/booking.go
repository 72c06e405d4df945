package loader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// CallKind is the kind of a call to a plain service.
type CallKind int

const (
	// CallKeyed is a call with an idempotency key. The caller retries it until it gets a response
	// from the service.
	CallKeyed CallKind = iota
	// CallDuplicated is a call with an idempotency key that is sent through two routers at once.
	CallDuplicated
	// CallUnkeyed is a call without an idempotency key. The caller never retries it.
	CallUnkeyed
	// CallLookup is an idempotent GET request.
	CallLookup
)

// BookingWorkload configures a series of calls to a plain service.
type BookingWorkload struct {
	RouterURLs     []string
	APIKey         string
	Service        string
	Seed           uint64
	CallsPerSecond float64
	Duration       time.Duration
	// MaxAttempts is the maximum number of attempts per call, not counting the first two of a
	// duplicated call.
	MaxAttempts int
	Client      *http.Client
}

// Attempt is one request of a call and its response.
type Attempt struct {
	RequestID string
	Status    int
	Outcome   string
	Body      string
	// Incomplete is true if no response or only a part of it arrived.
	Incomplete bool
	// Connected is false if the connection could not be established.
	Connected bool
	Replayed  bool
	Duration  time.Duration
	StartTime time.Time
}

// Call is a call with all its attempts.
type Call struct {
	Kind     CallKind
	ID       string
	Body     string
	Attempts []Attempt
}

// Complete reports whether the caller got a response from the service.
func (c *Call) Complete() bool {
	for _, a := range c.Attempts {
		if a.Outcome == "complete" {
			return true
		}
	}
	return false
}

// RunBookings runs a workload and returns all calls.
func RunBookings(ctx context.Context, w BookingWorkload) []*Call {
	rng := rand.New(rand.NewPCG(w.Seed, 99))
	var calls []*Call
	var wg sync.WaitGroup
	next := time.Now()
	end := next.Add(w.Duration)
	for i := 0; ; i++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / w.CallsPerSecond * float64(time.Second)))
		if !next.Before(end) || !sleepUntil(ctx, next) {
			break
		}
		id := fmt.Sprintf("%d-%d", w.Seed, i)
		call := &Call{Kind: CallKind(i % 4), ID: id, Body: `{"visit":"` + id + `"}`}
		calls = append(calls, call)
		firstRouter := rng.IntN(len(w.RouterURLs))
		wg.Go(func() { w.runCall(ctx, call, firstRouter) })
	}
	wg.Wait()
	return calls
}

func (w BookingWorkload) runCall(ctx context.Context, call *Call, firstRouter int) {
	if call.Kind == CallDuplicated {
		duplicate := make(chan Attempt)
		go func() { duplicate <- w.sendAttempt(ctx, call, firstRouter+1) }()
		call.Attempts = append(call.Attempts, w.sendAttempt(ctx, call, firstRouter), <-duplicate)
	}
	for attempt := range w.MaxAttempts {
		if call.Complete() {
			return
		}
		call.Attempts = append(call.Attempts, w.sendAttempt(ctx, call, firstRouter+attempt))
		if call.Kind == CallUnkeyed {
			return
		}
		if attempt > 0 && !sleepUntil(ctx, time.Now().Add(time.Duration(attempt)*100*time.Millisecond)) {
			return
		}
	}
}

func (w BookingWorkload) sendAttempt(ctx context.Context, call *Call, router int) Attempt {
	method := http.MethodPost
	if call.Kind == CallLookup {
		method = http.MethodGet
	}
	start := time.Now()
	attempt := Attempt{Incomplete: true, Connected: true, StartTime: start}
	url := w.RouterURLs[router%len(w.RouterURLs)] + "/services/" + w.Service + "/visits?id=" + call.ID
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(call.Body))
	if err != nil {
		return attempt
	}
	// Without GetBody, the HTTP client cannot retry the request on its own.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+w.APIKey)
	if call.Kind == CallKeyed || call.Kind == CallDuplicated {
		req.Header.Set("Idempotency-Key", call.ID)
	}
	resp, err := w.Client.Do(req)
	attempt.Duration = time.Since(start)
	if err != nil {
		var opErr *net.OpError
		attempt.Connected = !(errors.As(err, &opErr) && opErr.Op == "dial")
		return attempt
	}
	defer resp.Body.Close()
	attempt.RequestID = resp.Header.Get("X-Request-Id")
	attempt.Status = resp.StatusCode
	attempt.Replayed = resp.Header.Get("Idempotency-Replayed") != ""
	body, err := io.ReadAll(resp.Body)
	attempt.Duration = time.Since(start)
	if err != nil {
		return attempt
	}
	attempt.Incomplete = false
	attempt.Body = string(body)
	attempt.Outcome = "complete"
	var problem problemDocument
	if json.Unmarshal(body, &problem) == nil && problem.Outcome != "" {
		attempt.Outcome = problem.Outcome
	}
	return attempt
}
