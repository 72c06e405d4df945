package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"papayapaddle/internal/forwarder"
)

// Fault configures the faults that an emulated system injects. The zero value injects none.
type Fault struct {
	// Down aborts every call before it takes effect, without a response.
	Down bool `json:"down,omitempty"`
	// DelayMillis delays each call before it takes effect.
	DelayMillis int `json:"delay-millis,omitempty"`
	// SilentMillis makes the system send nothing for this long, once, and then go on. Calls that arrive take effect
	// afterwards; responses in progress stop in the middle of their next write.
	SilentMillis int `json:"silent-millis,omitempty"`
	// DropProbability is the probability that a call takes effect but gets no response.
	DropProbability float64 `json:"lose-answers,omitempty"`
	// TruncateProbability is the probability that a response ends after half of its body.
	TruncateProbability float64 `json:"cut-answers,omitempty"`
	// MisdeliverProbability is the probability that a call gets the response to an earlier call.
	MisdeliverProbability float64 `json:"cross-answers,omitempty"`
	// CrashText ends the system when a call has this text in its body: all calls in progress are
	// aborted, and all others for crashDowntime.
	CrashText string `json:"crash-text,omitempty"`
	// LimitPerSecond is the limit that the system names in its responses, in requests a second. It serves all
	// calls nevertheless.
	LimitPerSecond *float64 `json:"limit-per-second,omitempty"`
	// Leaving makes the system say in its responses that it is shutting down. It serves all calls nevertheless.
	Leaving bool `json:"leaving,omitempty"`
	// PauseSeconds makes the system refuse all calls and ask for a pause.
	PauseSeconds float64 `json:"pause-seconds,omitempty"`
}

// crashDowntime is how long a system that crashed aborts all calls.
const crashDowntime = 3 * time.Second

// faultInjector wraps a handler and injects faults.
type faultInjector struct {
	next http.Handler
	// received counts the calls that arrived, also those that are refused or aborted.
	received atomic.Int64

	mu               sync.Mutex
	fault            Fault
	rng              *rand.Rand
	previousResponse *recordedResponse
	// downUntil is until when the system is down after a crash.
	downUntil time.Time
	// silentUntil is until when the system sends nothing.
	silentUntil time.Time
	// inProgress cancels the calls in progress, by their number.
	inProgress map[uint64]context.CancelCauseFunc
	lastCall   uint64
}

// recordedResponse is an http.ResponseWriter that buffers a response.
type recordedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recordedResponse) Header() http.Header { return r.header }

func (r *recordedResponse) WriteHeader(status int) { r.status = status }

func (r *recordedResponse) Write(p []byte) (int, error) { return r.body.Write(p) }

func newFaultInjector(seed uint64, next http.Handler) *faultInjector {
	return &faultInjector{next: next, rng: rand.New(rand.NewPCG(seed, 0))}
}

// Set replaces the faults to inject.
func (f *faultInjector) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	f.silentUntil = time.Now().Add(time.Duration(fault.SilentMillis) * time.Millisecond)
}

// silence returns how much longer the system sends nothing.
func (f *faultInjector) silence() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Until(f.silentUntil)
}

// silentWriter is an http.ResponseWriter that stops in the middle of a write while the system sends nothing.
type silentWriter struct {
	http.ResponseWriter
	request *http.Request
	silence func() time.Duration
}

// Unwrap lets http.ResponseController find the connection.
func (w silentWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush implements http.Flusher.
func (w silentWriter) Flush() {
	if d := w.silence(); d > 0 {
		sleep(w.request, d)
	}
	// A connection that can't be flushed is at its end.
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

func (w silentWriter) Write(p []byte) (int, error) {
	d := w.silence()
	if d <= 0 {
		return w.ResponseWriter.Write(p)
	}
	n, err := w.ResponseWriter.Write(p[:len(p)/2])
	if err != nil {
		return n, err
	}
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	sleep(w.request, d)
	rest, err := w.ResponseWriter.Write(p[n:])
	return n + rest, err
}

// faultDecision holds the faults chosen for one call.
type faultDecision struct {
	fault                      Fault
	drop, truncate, misdeliver bool
}

func (f *faultInjector) decide() faultDecision {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.fault
	fault.Down = fault.Down || time.Now().Before(f.downUntil)
	return faultDecision{
		fault:      fault,
		drop:       f.rng.Float64() < f.fault.DropProbability,
		truncate:   f.rng.Float64() < f.fault.TruncateProbability,
		misdeliver: f.rng.Float64() < f.fault.MisdeliverProbability,
	}
}

func (f *faultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/emulator/fault" {
		f.serveSetFault(w, r)
		return
	}
	f.received.Add(1)
	decision := f.decide()
	if decision.fault.Down {
		panic(http.ErrAbortHandler)
	}
	if l := decision.fault.LimitPerSecond; l != nil {
		w.Header().Set(forwarder.LimitHeader, strconv.FormatFloat(*l, 'f', -1, 64))
	}
	if decision.fault.Leaving {
		w.Header().Set(forwarder.LeavingHeader, "1")
	}
	if pause := decision.fault.PauseSeconds; pause > 0 {
		w.Header().Set(forwarder.PauseHeader, strconv.FormatFloat(pause, 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if text := decision.fault.CrashText; text != "" {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if bytes.Contains(body, []byte(text)) {
			f.crash()
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer f.begin(cancel)()
	f.serveWithFaults(w, r.WithContext(ctx), decision)
	if context.Cause(ctx) == errCrashed {
		panic(http.ErrAbortHandler)
	}
}

var errCrashed = errors.New("the system crashed")

// begin registers a call in progress. The function that it returns must be called at its end.
func (f *faultInjector) begin(cancel context.CancelCauseFunc) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inProgress == nil {
		f.inProgress = map[uint64]context.CancelCauseFunc{}
	}
	f.lastCall++
	call := f.lastCall
	f.inProgress[call] = cancel
	return func() {
		cancel(nil)
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.inProgress, call)
	}
}

// crash aborts all calls in progress, and all others for crashDowntime.
func (f *faultInjector) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.downUntil = time.Now().Add(crashDowntime)
	for _, cancel := range f.inProgress {
		cancel(errCrashed)
	}
}

func (f *faultInjector) serveWithFaults(w http.ResponseWriter, r *http.Request, decision faultDecision) {
	if !sleep(r, f.silence()) || !sleep(r, time.Duration(decision.fault.DelayMillis)*time.Millisecond) {
		return
	}
	w = silentWriter{ResponseWriter: w, request: r, silence: f.silence}
	switch {
	case decision.drop:
		f.next.ServeHTTP(&recordedResponse{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	case decision.truncate:
		f.serveTruncated(w, r)
	case decision.misdeliver:
		f.serveMisdelivered(w, r)
	default:
		f.next.ServeHTTP(w, r)
	}
}

// serveSetFault sets the fault from a JSON request body.
func (f *faultInjector) serveSetFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(fault)
	w.WriteHeader(http.StatusNoContent)
}

// serveTruncated sends the full Content-Length but only half of the body.
func (f *faultInjector) serveTruncated(w http.ResponseWriter, r *http.Request) {
	recorded := &recordedResponse{header: http.Header{}, status: http.StatusOK}
	f.next.ServeHTTP(recorded, r)
	writeRecorded(w, recorded, recorded.body.Len()/2)
	panic(http.ErrAbortHandler)
}

// serveMisdelivered sends the response of the previous misdelivered call and keeps this call's
// response for the next one. The first call gets its own response.
func (f *faultInjector) serveMisdelivered(w http.ResponseWriter, r *http.Request) {
	recorded := &recordedResponse{header: http.Header{}, status: http.StatusOK}
	f.next.ServeHTTP(recorded, r)
	f.mu.Lock()
	response := f.previousResponse
	f.previousResponse = recorded
	f.mu.Unlock()
	if response == nil {
		response = recorded
	}
	writeRecorded(w, response, response.body.Len())
}

func writeRecorded(w http.ResponseWriter, recorded *recordedResponse, n int) {
	for name, values := range recorded.header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", itoa(recorded.body.Len()))
	w.WriteHeader(recorded.status)
	w.Write(recorded.body.Bytes()[:n])
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}

// sleep waits for d. It returns false if the client disconnects first.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
