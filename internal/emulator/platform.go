package emulator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"papayapaddle/internal/connector"
)

// maxBodyBytes bounds what a stand-in reads of one call.
const maxBodyBytes = 64 << 20

// Platform stands in for the platform's table service, object store and list
// of instances. The zero value is empty and not usable; see NewPlatform.
type Platform struct {
	http.Handler
	// ListLag is how long the list hides a change.
	ListLag time.Duration

	faults *faulter

	mu      sync.Mutex
	rows    map[string]connector.Row
	version uint64
	objects map[string][]byte
	list    map[string]connector.Instance
	listed  connector.InstanceList
	reads   int64
	writes  int64
}

// NewPlatform returns an empty platform with a seed for its faults.
func NewPlatform(seed uint64) *Platform {
	p := &Platform{
		rows:    map[string]connector.Row{},
		objects: map[string][]byte{},
		list:    map[string]connector.Instance{},
	}
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/table/rows/{key}", p.getRow).Methods(http.MethodGet)
	r.HandleFunc("/table/rows", p.scan).Methods(http.MethodGet)
	r.HandleFunc("/table/transact", p.transact).Methods(http.MethodPost)
	r.HandleFunc("/objects/{name}", p.getObject).Methods(http.MethodGet)
	r.HandleFunc("/objects/{name}", p.putObject).Methods(http.MethodPut)
	r.HandleFunc("/instances", p.instances).Methods(http.MethodGet)
	r.HandleFunc("/instances/{name}", p.putInstance).Methods(http.MethodPut)
	p.faults = newFaulter(seed, r)
	p.Handler = p.faults
	return p
}

// SetFault makes the platform misbehave.
func (p *Platform) SetFault(f Fault) { p.faults.Set(f) }

// Calls returns how many reads and writes the platform has served.
func (p *Platform) Calls() (reads, writes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// Rows returns the rows whose keys have the prefix, for judging experiments.
func (p *Platform) Rows(prefix string) []connector.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scanLocked(prefix, "", len(p.rows))
}

func pathVar(r *http.Request, name string) string {
	// The path is matched encoded, since keys hold slashes.
	v := mux.Vars(r)[name]
	if s, err := unescape(v); err == nil {
		return s
	}
	return v
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	w.Header().Set("Content-Length", itoa(len(b)))
	w.WriteHeader(status)
	w.Write(b)
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads++
	row, ok := p.rows[pathVar(r, "key")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, row)
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "limit must be a positive number", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.reads++
	rows := p.scanLocked(q.Get("prefix"), q.Get("after"), limit)
	p.mu.Unlock()
	reply(w, http.StatusOK, rows)
}

func (p *Platform) scanLocked(prefix, after string, limit int) []connector.Row {
	rows := []connector.Row{}
	for k, row := range p.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))]
}

var errConflict = errors.New("a check of the transaction failed")

func (p *Platform) transact(w http.ResponseWriter, r *http.Request) {
	var t connector.Transaction
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.Apply(t); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Apply applies a transaction as the table service does.
func (p *Platform) Apply(t connector.Transaction) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	for _, c := range t.Checks {
		if p.rows[c.Key].Version != c.Version {
			return errConflict
		}
	}
	p.version++
	for _, put := range t.Puts {
		p.rows[put.Key] = connector.Row{Key: put.Key, Version: p.version, Value: put.Value}
	}
	for _, k := range t.Deletes {
		delete(p.rows, k)
	}
	return nil
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads++
	b, ok := p.objects[pathVar(r, "name")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", itoa(len(b)))
	w.Write(b)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.writes++
	p.objects[pathVar(r, "name")] = b
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	p.mu.Lock()
	p.reads++
	l := p.listed
	p.mu.Unlock()
	if l.Version <= after {
		reply(w, http.StatusOK, connector.InstanceList{Version: after})
		return
	}
	reply(w, http.StatusOK, l)
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var in connector.Instance
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	in.Name = pathVar(r, "name")
	p.SetInstance(in)
	w.WriteHeader(http.StatusNoContent)
}

// SetInstance changes the list; callers see it after ListLag. An instance
// without a state is removed.
func (p *Platform) SetInstance(in connector.Instance) {
	p.mu.Lock()
	if in.State == "" {
		delete(p.list, in.Name)
	} else {
		p.list[in.Name] = in
	}
	p.mu.Unlock()
	if p.ListLag <= 0 {
		p.publish()
		return
	}
	time.AfterFunc(p.ListLag, p.publish)
}

func (p *Platform) publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := connector.InstanceList{Version: p.listed.Version + 1}
	for _, in := range p.list {
		l.Instances = append(l.Instances, in)
	}
	sort.Slice(l.Instances, func(i, j int) bool { return l.Instances[i].Name < l.Instances[j].Name })
	p.listed = l
}
