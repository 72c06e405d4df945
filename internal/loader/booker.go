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
	// CallTwice is a keyed call that is sent through two routers at once.
	CallTwice
	// CallUnkeyed reserves without a key and is never repeated by its caller.
	CallUnkeyed
	// CallLookup is idempotent.
	CallLookup
)

// BookingPlan is a load of plain service calls.
type BookingPlan struct {
	URLs    []string
	Key     string
	Service string
	Seed    uint64
	Rate    float64
	Length  time.Duration
	// Tries bounds how often a caller asks again.
	Tries  int
	Client *http.Client
}

// Attempt is one request and what its caller was told.
type Attempt struct {
	RequestID string
	Status    int
	Outcome   string
	Body      string
	// Broken says that the answer visibly broke off, or none came.
	Broken bool
	// Dialed is false if no connection was made.
	Dialed   bool
	Replayed bool
	Took     time.Duration
	Started  time.Time
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

// Book runs a load and returns all calls.
func Book(ctx context.Context, p BookingPlan) []*Call {
	rng := rand.New(rand.NewPCG(p.Seed, 99))
	var calls []*Call
	var wg sync.WaitGroup
	at := time.Now()
	till := at.Add(p.Length)
	for i := 0; ; i++ {
		at = at.Add(time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second)))
		if !at.Before(till) || !sleepTill(ctx, at) {
			break
		}
		id := fmt.Sprintf("%d-%d", p.Seed, i)
		c := &Call{Kind: CallKind(i % 4), ID: id, Body: `{"visit":"` + id + `"}`}
		calls = append(calls, c)
		first := rng.IntN(len(p.URLs))
		wg.Go(func() { p.call(ctx, c, first) })
	}
	wg.Wait()
	return calls
}

func (p BookingPlan) call(ctx context.Context, c *Call, first int) {
	if c.Kind == CallTwice {
		other := make(chan Attempt)
		go func() { other <- p.attempt(ctx, c, first+1) }()
		c.Attempts = append(c.Attempts, p.attempt(ctx, c, first), <-other)
	}
	for try := range p.Tries {
		if c.Complete() {
			return
		}
		c.Attempts = append(c.Attempts, p.attempt(ctx, c, first+try))
		if c.Kind == CallUnkeyed {
			return
		}
		if try > 0 && !sleepTill(ctx, time.Now().Add(time.Duration(try)*100*time.Millisecond)) {
			return
		}
	}
}

func (p BookingPlan) attempt(ctx context.Context, c *Call, router int) Attempt {
	method := http.MethodPost
	if c.Kind == CallLookup {
		method = http.MethodGet
	}
	started := time.Now()
	a := Attempt{Broken: true, Dialed: true, Started: started}
	url := p.URLs[router%len(p.URLs)] + "/services/" + p.Service + "/visits?id=" + c.ID
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(c.Body))
	if err != nil {
		return a
	}
	// The client library must not repeat a request on its own.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+p.Key)
	if c.Kind == CallKeyed || c.Kind == CallTwice {
		req.Header.Set("Idempotency-Key", c.ID)
	}
	resp, err := p.Client.Do(req)
	a.Took = time.Since(started)
	if err != nil {
		var op *net.OpError
		a.Dialed = !(errors.As(err, &op) && op.Op == "dial")
		return a
	}
	defer resp.Body.Close()
	a.RequestID = resp.Header.Get("X-Request-Id")
	a.Status = resp.StatusCode
	a.Replayed = resp.Header.Get("Idempotency-Replayed") != ""
	b, err := io.ReadAll(resp.Body)
	a.Took = time.Since(started)
	if err != nil {
		return a
	}
	a.Broken = false
	a.Body = string(b)
	a.Outcome = "complete"
	var pr problem
	if json.Unmarshal(b, &pr) == nil && pr.Outcome != "" {
		a.Outcome = pr.Outcome
	}
	return a
}
