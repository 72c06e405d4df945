package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one execution of a call at a plain service.
type Run struct {
	Service   string `json:"service"`
	Key       string `json:"key"`
	RequestID string `json:"request-id"`
	Method    string `json:"method"`
	Body      string `json:"body"`
	Fencing   uint64 `json:"fencing"`
}

// Ledger records every run of the plain services, as the judge of at-most-once.
type Ledger struct {
	mu   sync.Mutex
	runs []Run
}

func (l *Ledger) add(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	return len(l.runs)
}

// Runs returns all runs so far.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// Service stands in for a booking service. It runs whatever it is given, and
// never looks at idempotency keys.
type Service struct {
	http.Handler
	Name string
	// Work is how long a call takes.
	Work time.Duration
	// ChecksFencing makes it refuse an old fencing number with status 412.
	ChecksFencing bool

	ledger *Ledger
	faults *faulter
	mu     sync.Mutex
	fences map[string]uint64
}

// NewService returns a service that records its runs in the ledger.
func NewService(name string, seed uint64, ledger *Ledger) *Service {
	s := &Service{Name: name, ledger: ledger, fences: map[string]uint64{}}
	s.faults = newFaulter(seed, http.HandlerFunc(s.serve))
	s.Handler = s.faults
	return s
}

// SetFault makes the service misbehave.
func (s *Service) SetFault(f Fault) { s.faults.Set(f) }

// serviceAnswer is what the service answers.
type serviceAnswer struct {
	Run  int    `json:"run"`
	Echo string `json:"echo"`
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/emulator/ledger" {
		reply(w, http.StatusOK, s.ledger.Runs())
		return
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	fencing, _ := strconv.ParseUint(r.Header.Get("Fencing-Number"), 10, 64)
	key := r.Header.Get("Idempotency-Key")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if s.ChecksFencing && !s.admit(key, fencing) {
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	// The run is recorded before the work, since a caller that goes away does
	// not undo it.
	n := s.ledger.add(Run{
		Service: s.Name, Key: key, RequestID: r.Header.Get("X-Request-Id"),
		Method: r.Method, Body: string(b), Fencing: fencing,
	})
	time.Sleep(s.Work)
	answer, _ := json.Marshal(serviceAnswer{Run: n, Echo: string(b)})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", itoa(len(answer)))
	w.Write(answer)
}

// admit takes note of a key's fencing number and refuses a lower one.
func (s *Service) admit(key string, fencing uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key == "" {
		return true
	}
	if fencing < s.fences[key] {
		return false
	}
	s.fences[key] = fencing
	return true
}
