package emulator

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Fault tells a stand-in to misbehave. The zero value is no fault.
type Fault struct {
	// Down closes every connection without an answer and without effect.
	Down bool `json:"down,omitempty"`
	// DelayMillis is added before each call takes effect.
	DelayMillis int `json:"delay-millis,omitempty"`
	// LoseAnswers is the probability that a call takes effect and its answer is
	// lost.
	LoseAnswers float64 `json:"lose-answers,omitempty"`
	// CutAnswers is the probability that an answer breaks off half-way.
	CutAnswers float64 `json:"cut-answers,omitempty"`
	// CrossAnswers is the probability that a call gets the answer to the call
	// before it.
	CrossAnswers float64 `json:"cross-answers,omitempty"`
}

// faulter puts faults before a handler.
type faulter struct {
	next http.Handler

	mu    sync.Mutex
	fault Fault
	rng   *rand.Rand
	last  *recording
}

// recording is an answer that was held back to be misdelivered.
type recording struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recording) Header() http.Header { return r.header }

func (r *recording) WriteHeader(status int) { r.status = status }

func (r *recording) Write(p []byte) (int, error) { return r.body.Write(p) }

func newFaulter(seed uint64, next http.Handler) *faulter {
	return &faulter{next: next, rng: rand.New(rand.NewPCG(seed, 0))}
}

// Set replaces the fault.
func (f *faulter) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// plan is what happens to one call.
type plan struct {
	fault            Fault
	lose, cut, cross bool
}

func (f *faulter) plan() plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	return plan{
		fault: f.fault,
		lose:  f.rng.Float64() < f.fault.LoseAnswers,
		cut:   f.rng.Float64() < f.fault.CutAnswers,
		cross: f.rng.Float64() < f.fault.CrossAnswers,
	}
}

func (f *faulter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/emulator/fault" {
		f.serveFault(w, r)
		return
	}
	p := f.plan()
	if p.fault.Down {
		panic(http.ErrAbortHandler)
	}
	if !pause(r, time.Duration(p.fault.DelayMillis)*time.Millisecond) {
		return
	}
	switch {
	case p.lose:
		f.next.ServeHTTP(&recording{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	case p.cut:
		f.serveCut(w, r)
	case p.cross:
		f.serveCrossed(w, r)
	default:
		f.next.ServeHTTP(w, r)
	}
}

// serveFault takes a fault from an experiment or an operator.
func (f *faulter) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(fault)
	w.WriteHeader(http.StatusNoContent)
}

// serveCut announces the whole length and sends half.
func (f *faulter) serveCut(w http.ResponseWriter, r *http.Request) {
	rec := &recording{header: http.Header{}, status: http.StatusOK}
	f.next.ServeHTTP(rec, r)
	copyRecording(w, rec, rec.body.Len()/2)
	panic(http.ErrAbortHandler)
}

func (f *faulter) serveCrossed(w http.ResponseWriter, r *http.Request) {
	rec := &recording{header: http.Header{}, status: http.StatusOK}
	f.next.ServeHTTP(rec, r)
	f.mu.Lock()
	answer := f.last
	f.last = rec
	f.mu.Unlock()
	if answer == nil {
		answer = rec
	}
	copyRecording(w, answer, answer.body.Len())
}

func copyRecording(w http.ResponseWriter, rec *recording, n int) {
	for k, v := range rec.header {
		w.Header()[k] = v
	}
	w.Header().Set("Content-Length", itoa(rec.body.Len()))
	w.WriteHeader(rec.status)
	w.Write(rec.body.Bytes()[:n])
	if fl, ok := w.(http.Flusher); ok {
		fl.Flush()
	}
}

// pause waits, and says false when the caller has gone.
func pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
