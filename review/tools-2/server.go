package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	id  string
	at  time.Time
	ran bool
}

// server is a stand-in of a backend server in this process.
type server struct {
	l       *lab
	id      string
	address string
	ln      net.Listener
	// run answers a request that the server runs.
	run func(w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	arrivals []arrival
}

// newServer starts a server. Its entry is written by the caller.
func (l *lab) newServer(id string, run func(http.ResponseWriter, *http.Request)) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.must(err)
	s := &server{l: l, id: id, address: ln.Addr().String(), ln: ln, run: run}
	go http.Serve(ln, s)
	return s
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	h := w.Header()
	h["Request-Id"] = []string{id}
	if e := r.Header.Get("Expect-Instance"); e != "" && e != s.id {
		h.Set("Instance-Id", s.id)
		w.WriteHeader(421)
		return
	}
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.id)
		w.WriteHeader(200)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id: id, at: time.Now(), ran: true})
	s.mu.Unlock()
	s.l.record("server %s runs %s (%s %s)", s.id, id, r.Method, r.URL.Path)
	s.run(w, r)
}

// runs returns how often the server ran a request.
func (s *server) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.arrivals {
		if a.id == id && a.ran {
			n++
		}
	}
	return n
}

func stamp(w http.ResponseWriter, id string) { w.Header().Set("Server-Stamp", "stamp."+id) }

// stream writes events with IDs from 1 at a pace until the client leaves.
func stream(w http.ResponseWriter, r *http.Request, events int, pace time.Duration) {
	stamp(w, r.Header.Get("Request-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(200)
	for i := 1; i <= events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: token\n\n", i)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(pace):
		case <-r.Context().Done():
			return
		}
	}
}
