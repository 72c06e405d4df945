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

// maxBodyBytes is the maximum number of bytes that is read of a request body.
const maxBodyBytes = 64 << 20

// Platform emulates the platform's table service, object store and list of instances. Use
// NewPlatform to create one.
type Platform struct {
	http.Handler
	// ListDelay is the time until a change appears in the list of instances.
	ListDelay time.Duration

	faultInjector *faultInjector

	mu            sync.Mutex
	rows          map[string]connector.Row
	lastVersion   uint64
	objects       map[string][]byte
	instances     map[string]connector.Instance
	publishedList connector.InstanceList
	readCount     int64
	writeCount    int64
}

// NewPlatform returns an empty platform. The seed determines its random faults.
func NewPlatform(seed uint64) *Platform {
	p := &Platform{
		rows:      map[string]connector.Row{},
		objects:   map[string][]byte{},
		instances: map[string]connector.Instance{},
	}
	routes := mux.NewRouter().UseEncodedPath()
	routes.HandleFunc("/table/rows/{key}", p.getRow).Methods(http.MethodGet)
	routes.HandleFunc("/table/rows", p.scanRows).Methods(http.MethodGet)
	routes.HandleFunc("/table/transact", p.transact).Methods(http.MethodPost)
	routes.HandleFunc("/objects/{name}", p.getObject).Methods(http.MethodGet)
	routes.HandleFunc("/objects/{name}", p.putObject).Methods(http.MethodPut)
	routes.HandleFunc("/instances", p.serveInstances).Methods(http.MethodGet)
	routes.HandleFunc("/instances/{name}", p.putInstance).Methods(http.MethodPut)
	p.faultInjector = newFaultInjector(seed, routes)
	p.Handler = p.faultInjector
	return p
}

// SetFault sets the fault to inject.
func (p *Platform) SetFault(f Fault) { p.faultInjector.Set(f) }

// CallCounts returns the numbers of reads and writes so far.
func (p *Platform) CallCounts() (reads, writes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readCount, p.writeCount
}

// Rows returns the rows whose keys have the prefix. It does not count as a read.
func (p *Platform) Rows(prefix string) []connector.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scanRowsLocked(prefix, "", len(p.rows))
}

func pathVar(r *http.Request, name string) string {
	// Routes match the encoded path because keys can contain slashes.
	encoded := mux.Vars(r)[name]
	if decoded, err := unescape(encoded); err == nil {
		return decoded
	}
	return encoded
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	w.Header().Set("Content-Length", itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.readCount++
	row, ok := p.rows[pathVar(r, "key")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, row)
}

func (p *Platform) scanRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "limit must be a positive number", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.readCount++
	rows := p.scanRowsLocked(query.Get("prefix"), query.Get("after"), limit)
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, rows)
}

func (p *Platform) scanRowsLocked(prefix, after string, limit int) []connector.Row {
	rows := []connector.Row{}
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))]
}

var errConflict = errors.New("a check of the transaction failed")

func (p *Platform) transact(w http.ResponseWriter, r *http.Request) {
	var transaction connector.Transaction
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&transaction); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.Apply(transaction); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Apply applies a transaction atomically, or fails if a row does not have its expected version.
func (p *Platform) Apply(transaction connector.Transaction) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeCount++
	for _, check := range transaction.Checks {
		if p.rows[check.Key].Version != check.Version {
			return errConflict
		}
	}
	p.lastVersion++
	for _, put := range transaction.Puts {
		p.rows[put.Key] = connector.Row{Key: put.Key, Version: p.lastVersion, Value: put.Value}
	}
	for _, key := range transaction.Deletes {
		delete(p.rows, key)
	}
	return nil
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.readCount++
	object, ok := p.objects[pathVar(r, "name")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", itoa(len(object)))
	w.Write(object)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	object, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.writeCount++
	p.objects[pathVar(r, "name")] = object
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	p.mu.Lock()
	p.readCount++
	list := p.publishedList
	p.mu.Unlock()
	if list.Version <= after {
		writeJSON(w, http.StatusOK, connector.InstanceList{Version: after})
		return
	}
	writeJSON(w, http.StatusOK, list)
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var instance connector.Instance
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&instance); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	instance.Name = pathVar(r, "name")
	p.SetInstance(instance)
	w.WriteHeader(http.StatusNoContent)
}

// SetInstance adds or replaces an instance in the list, or removes it if its state is empty.
// Callers see the change after ListDelay.
func (p *Platform) SetInstance(instance connector.Instance) {
	p.mu.Lock()
	if instance.State == "" {
		delete(p.instances, instance.Name)
	} else {
		p.instances[instance.Name] = instance
	}
	p.mu.Unlock()
	if p.ListDelay <= 0 {
		p.publishList()
		return
	}
	time.AfterFunc(p.ListDelay, p.publishList)
}

func (p *Platform) publishList() {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := connector.InstanceList{Version: p.publishedList.Version + 1}
	for _, instance := range p.instances {
		list.Instances = append(list.Instances, instance)
	}
	sort.Slice(list.Instances, func(i, j int) bool {
		return list.Instances[i].Name < list.Instances[j].Name
	})
	p.publishedList = list
}
