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

// CallKind is the kind of a call of a plain service.
type CallKind int

// The kinds of call.
const (
	// CallKeyed reserves with an idempotency key; the caller asks again until it
	// has its answer.
	CallKeyed CallKind = iota
	// CallDuplicated is a keyed call that is sent through two routers at once.
	CallDuplicated
	// CallUnkeyed reserves without a key and is never repeated by its caller.
	CallUnkeyed
	// CallLookup is idempotent.
	CallLookup
)

// BookingWorkload is a load of plain service calls.
type BookingWorkload struct {
	RouterURLs     []string
	APIKey         string
	Service        string
	Seed           uint64
	CallsPerSecond float64
	Duration       time.Duration
	// MaxAttempts bounds how often a caller asks again.
	MaxAttempts int
	Client      *http.Client
}

// Attempt is one request and what its caller was told.
type Attempt struct {
	RequestID string
	Status    int
	Outcome   string
	Body      string
	// Incomplete says that the answer visibly broke off, or none came.
	Incomplete bool
	// Connected is false if no connection was made.
	Connected bool
	Replayed  bool
	Duration  time.Duration
	StartTime time.Time
}

// Call is one call with all its attempts.
type Call struct {
	Kind     CallKind
	ID       string
	Body     string
	Attempts []Attempt
}

// Complete says whether the caller has its answer.
func (c *Call) Complete() bool {
	for _, a := range c.Attempts {
		if a.Outcome == "complete" {
			return true
		}
	}
	return false
}

// RunBookings runs a load and returns all calls.
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
	// The client library must not repeat a request on its own.
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
