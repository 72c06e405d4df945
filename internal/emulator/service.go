package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Execution is one execution of a call at a plain service.
type Execution struct {
	Service        string `json:"service"`
	IdempotencyKey string `json:"key"`
	RequestID      string `json:"request-id"`
	Method         string `json:"method"`
	Body           string `json:"body"`
	FencingNumber  uint64 `json:"fencing"`
}

// ExecutionLog records every run of the plain services, as the judge of at-most-once.
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

// List returns all runs so far.
func (l *ExecutionLog) List() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}

// Service stands in for a booking service. It runs whatever it is given, and
// never looks at idempotency keys.
type Service struct {
	http.Handler
	Name string
	// ServiceTime is how long a call takes.
	ServiceTime time.Duration
	// ChecksFencing makes it refuse an old fencing number with status 412.
	ChecksFencing bool

	executions        *ExecutionLog
	faultInjector     *faultInjector
	mu                sync.Mutex
	maxFencingNumbers map[string]uint64
}

// NewService returns a service that records its runs in the ledger.
func NewService(name string, seed uint64, executions *ExecutionLog) *Service {
	s := &Service{Name: name, executions: executions, maxFencingNumbers: map[string]uint64{}}
	s.faultInjector = newFaultInjector(seed, http.HandlerFunc(s.serve))
	s.Handler = s.faultInjector
	return s
}

// SetFault makes the service misbehave.
func (s *Service) SetFault(f Fault) { s.faultInjector.Set(f) }

// serviceResponse is what the service answers.
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
	// The run is recorded before the work, since a caller that goes away does
	// not undo it.
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

// checkFencingNumber takes note of a key's fencing number and refuses a lower one.
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
