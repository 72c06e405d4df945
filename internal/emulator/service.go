package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Execution is one execution of a call by a plain service.
type Execution struct {
	Service        string `json:"service"`
	IdempotencyKey string `json:"key"`
	RequestID      string `json:"request-id"`
	Method         string `json:"method"`
	Body           string `json:"body"`
	FencingNumber  uint64 `json:"fencing"`
}

// ExecutionLog records every execution by the plain services. Experiments use it to check
// at-most-once execution.
type ExecutionLog struct {
	mu         sync.Mutex
	executions []Execution
}

func (l *ExecutionLog) add(execution Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, execution)
	return len(l.executions)
}

// List returns all executions so far.
func (l *ExecutionLog) List() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}

// Service emulates a booking service. It executes every call and does not deduplicate by
// idempotency key.
type Service struct {
	http.Handler
	Name string
	// ServiceTime is the duration of a call.
	ServiceTime time.Duration
	// ChecksFencing makes the service refuse outdated fencing numbers with status 412.
	ChecksFencing bool

	executions        *ExecutionLog
	faultInjector     *faultInjector
	mu                sync.Mutex
	maxFencingNumbers map[string]uint64
}

// NewService returns a service that records its executions in the log. The seed determines its
// random faults.
func NewService(name string, seed uint64, executions *ExecutionLog) *Service {
	s := &Service{Name: name, executions: executions, maxFencingNumbers: map[string]uint64{}}
	s.faultInjector = newFaultInjector(seed, http.HandlerFunc(s.serve))
	s.Handler = s.faultInjector
	return s
}

// SetFault sets the fault to inject.
func (s *Service) SetFault(f Fault) { s.faultInjector.Set(f) }

// Received returns the number of calls that arrived, also those that were refused.
func (s *Service) Received() int64 { return s.faultInjector.received.Load() }

// serviceResponse is the body of a response.
type serviceResponse struct {
	Run  int    `json:"run"`
	Echo string `json:"echo"`
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/emulator/ledger" {
		writeJSON(w, http.StatusOK, s.executions.List())
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	fencingNumber, _ := strconv.ParseUint(r.Header.Get("Fencing-Number"), 10, 64)
	key := r.Header.Get("Idempotency-Key")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if s.ChecksFencing && !s.checkFencingNumber(key, fencingNumber) {
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	// Record the execution first, because it takes effect even if the client disconnects.
	number := s.executions.add(Execution{
		Service: s.Name, IdempotencyKey: key, RequestID: r.Header.Get("X-Request-Id"),
		Method: r.Method, Body: string(body), FencingNumber: fencingNumber,
	})
	time.Sleep(s.ServiceTime)
	response, _ := json.Marshal(serviceResponse{Run: number, Echo: string(body)})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", itoa(len(response)))
	w.Write(response)
}

// checkFencingNumber reports whether number is at least the highest one seen for the key, and
// records it if so. A call without a key is always allowed.
func (s *Service) checkFencingNumber(key string, number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key == "" {
		return true
	}
	if number < s.maxFencingNumbers[key] {
		return false
	}
	s.maxFencingNumbers[key] = number
	return true
}
