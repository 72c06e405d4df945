package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store. Value is encoded in base64, as the pages say.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store: rows in tables, transactions, and the feed of changes.
type store struct {
	mu      sync.Mutex
	ver     uint64
	rows    map[string]row
	history []row
	started time.Time
	address string
}

func startStore() (*store, error) {
	s := &store{rows: map[string]row{}, started: time.Now()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	go func() { _ = (&http.Server{Handler: mux}).Serve(ln) }()
	return s, nil
}

func rowID(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row as an operator or a server does.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: b, Ver: s.ver})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowID(table, "", key)]; !ok {
		return
	}
	s.ver++
	s.set(row{Table: table, Key: key, Ver: s.ver, Deleted: true})
}

func (s *store) set(r row) {
	if r.Deleted {
		delete(s.rows, rowID(r.Table, r.Part, r.Key))
	} else {
		s.rows[rowID(r.Table, r.Part, r.Key)] = r
	}
	s.history = append(s.history, r)
}

func (s *store) respond(w http.ResponseWriter, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": false, "ver": s.ver, "nowMs": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			out = append(out, x)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	s.respond(w, out)
}

// feed returns the changes after a version, and waits for one for waitMs at most.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("afterRevision"), 10, 64)
	if err != nil {
		http.Error(w, "afterRevision", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var out []row
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Ver > after {
				out = append(out, x)
			}
		}
		if len(out) > 0 || !time.Now().Before(until) {
			s.respond(w, out)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected, Writes, Deletes []row
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range tx.Expected {
		if s.rows[rowID(x.Table, x.Part, x.Key)].Ver != x.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			s.respond(w, nil)
			return
		}
	}
	for _, x := range append(tx.Writes, tx.Deletes...) {
		if x.Table == "op" || x.Table == "servers" {
			http.Error(w, fmt.Sprintf("table %s", x.Table), http.StatusForbidden)
			return
		}
	}
	s.ver++
	for _, x := range tx.Writes {
		x.Ver = s.ver
		s.set(x)
	}
	for _, x := range tx.Deletes {
		x.Ver, x.Deleted, x.Value = s.ver, true, nil
		s.set(x)
	}
	s.respond(w, nil)
}
