package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// lab holds the stand-ins and processes of one run.
type lab struct {
	dir     string
	trouble bool
	began   time.Time
	store   *store

	mu       sync.Mutex
	out      *os.File
	procs    []*router
	cleanups []func()
}

func newLab(caseDir string) *lab {
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	dir, err := os.MkdirTemp("", "review2-")
	l.must(err)
	l.dir = dir
	l.out, err = os.Create(filepath.Join(caseDir, "record.txt"))
	l.must(err)
	l.record("case %s trouble=%v", filepath.Base(caseDir), l.trouble)
	l.store = newStore(l)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		l.fail("ended by a signal")
	}()
	time.AfterFunc(110*time.Second, func() { l.fail("the case took longer than 110 s") })
	return l
}

// record writes a line with the time since the start.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out != nil {
		fmt.Fprintf(l.out, "%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (l *lab) must(err error) {
	if err != nil {
		l.fail(err.Error())
	}
}

func (l *lab) fail(reason string) {
	l.record("could not run: %s", reason)
	fmt.Println("could not run:", reason)
	l.exit(exitFailed)
}

// exit ends all processes and the run.
func (l *lab) exit(code int) {
	for _, p := range l.procs {
		p.end()
	}
	for _, f := range l.cleanups {
		f()
	}
	l.record("exit %d", code)
	os.RemoveAll(l.dir)
	os.Exit(code)
}

// verdict ends the run.
func (l *lab) verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if broken {
		l.record("rule broken: %s", text)
		fmt.Println("rule broken:", text)
		l.exit(exitBroken)
	}
	l.record("rule held: %s", text)
	fmt.Println("rule held:", text)
	l.exit(exitHeld)
}

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	l       *lab
	address string
	mu      sync.Mutex
	rows    map[[3]string]row
	history []row
	ver     uint64
	began   time.Time
}

func newStore(l *lab) *store {
	s := &store{l: l, rows: map[[3]string]row{}, began: time.Now()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.must(err)
	s.address = ln.Addr().String()
	go http.Serve(ln, s)
	return s
}

func (s *store) apply(r row) {
	r.Ver = s.ver
	k := [3]string{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

// put writes a row as an operator or a server does, and returns once it is stored.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	s.l.must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Value: b})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Deleted: true})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": false, "ver": s.ver, "nowMs": time.Since(s.began).Milliseconds(),
	})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "GET /api/rows-get":
		s.mu.Lock()
		defer s.mu.Unlock()
		var rows []row
		for _, v := range s.rows {
			if v.Table == q.Get("table") && v.Part == q.Get("part") && v.Key >= q.Get("from") {
				rows = append(rows, v)
			}
		}
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
		s.answer(w, 200, rows)
	case "GET /api/rows-feed":
		after, _ := strconv.ParseUint(q.Get("afterRevision"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		until := time.Now().Add(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			var rows []row
			for _, v := range s.history {
				if v.Table == q.Get("table") && v.Ver > after {
					rows = append(rows, v)
				}
			}
			if len(rows) > 0 || !time.Now().Before(until) {
				s.answer(w, 200, rows)
				s.mu.Unlock()
				return
			}
			s.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
		}
	case "POST /api/rows-tx":
		var tx struct{ Expected, Writes, Deletes []row }
		if json.NewDecoder(r.Body).Decode(&tx) != nil {
			w.WriteHeader(400)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		var current []row
		ok := true
		for _, e := range tx.Expected {
			v := s.rows[[3]string{e.Table, e.Part, e.Key}]
			ok = ok && v.Ver == e.Ver
			current = append(current, v)
		}
		if !ok {
			s.answer(w, 412, current)
			return
		}
		for _, e := range append(tx.Writes, tx.Deletes...) {
			if e.Table == "op" || e.Table == "servers" {
				w.WriteHeader(403)
				return
			}
		}
		s.ver++
		for _, e := range tx.Writes {
			s.apply(row{Table: e.Table, Part: e.Part, Key: e.Key, Value: e.Value})
		}
		for _, e := range tx.Deletes {
			s.apply(row{Table: e.Table, Part: e.Part, Key: e.Key, Deleted: true})
		}
		s.answer(w, 200, nil)
	default:
		w.WriteHeader(404)
	}
}

// router is a process of the project.
type router struct {
	l        *lab
	name     string
	ip       string
	callers  string
	ready    string
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
	logPath  string
}

// freeIP returns a loopback address on which the ports of a router are free.
func (l *lab) freeIP(ports ...int) string {
	for n := range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()/250%60, 1+os.Getpid()%250, 2+len(l.procs)+n)
		free := true
		for _, p := range ports {
			ln, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(p)))
			if err != nil {
				free = false
				break
			}
			ln.Close()
		}
		if free {
			return ip
		}
	}
	l.fail("no free loopback address")
	return ""
}

// newRouter prepares a router with the settings of a small deployment. edit may change them.
func (l *lab) newRouter(name, zone string, edit func(map[string]any)) *router {
	ip := l.freeIP(8783, 8780, 7400, 7415)
	r := &router{l: l, name: name, ip: ip, callers: ip + ":8783", ready: ip + ":8780"}
	s := map[string]any{
		"nodeName": name, "role": "router", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone,
		"region": "at-south", "zones": map[string]string{"graz-a": "at-south", "graz-b": "at-south", "leoben-c": "at-south"},
		"listen":        map[string]string{"frontend": r.callers, "ready": r.ready},
		"internalPorts": []int{7400, 7415}, "seedNodes": []string{}, "bootstrap": true, "lossCounts": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": 284, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "maxStretchMs": 5000, "failClosed": true,
			"revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 52, "recoveryS": 12, "passMs": 120,
			"reuseWindowS": 10, "quotaWindowS": 4,
		},
		"platform": map[string]any{
			"address": l.store.address, "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 5.0, "partWritesS": 200,
			"rowBytes": 65536, "across": false, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
		},
	}
	if edit != nil {
		edit(s)
	}
	b, err := json.MarshalIndent(s, "", "  ")
	l.must(err)
	r.settings = filepath.Join(l.dir, name+".json")
	l.must(os.WriteFile(r.settings, b, 0o600))
	l.procs = append(l.procs, r)
	return r
}

// start starts the process.
func (r *router) start() {
	r.logPath = filepath.Join(r.l.dir, r.name+".log")
	f, err := os.OpenFile(r.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	r.l.must(err)
	defer f.Close()
	r.cmd = exec.Command("target/papayapaddle", "serve")
	r.cmd.Env = append(os.Environ(), "PAPAYAPADDLE_NODE_FILE="+r.settings)
	r.cmd.Stdout, r.cmd.Stderr = f, f
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.l.must(r.cmd.Start())
	r.l.record("%s started, pid %d, callers at %s", r.name, r.cmd.Process.Pid, r.callers)
	r.done = make(chan struct{})
	cmd, done := r.cmd, r.done
	go func() {
		err := cmd.Wait()
		r.l.record("%s ended: %v", r.name, err)
		close(done)
	}()
}

// signal sends a signal.
func (r *router) signal(s syscall.Signal) {
	r.l.record("%s gets %v", r.name, s)
	r.cmd.Process.Signal(s)
}

// end kills the process if it runs.
func (r *router) end() {
	if r.cmd == nil || r.cmd.Process == nil {
		return
	}
	r.cmd.Process.Signal(syscall.SIGCONT)
	r.cmd.Process.Kill()
	<-r.done
	if dest := os.Getenv("KEEP_LOGS"); dest != "" {
		b, _ := os.ReadFile(r.logPath)
		os.WriteFile(filepath.Join(dest, r.name+".log"), b, 0o600)
	}
}

// awaitReady waits until the router is ready.
func (r *router) awaitReady() {
	for range 300 {
		resp, err := http.Get("http://" + r.ready + "/api/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				r.l.record("%s is ready", r.name)
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	b, _ := os.ReadFile(r.logPath)
	r.l.fail(r.name + " did not become ready: " + string(b))
}

// logLines returns the lines of the process's log that contain a text.
func (r *router) logLines(text string) []string {
	b, _ := os.ReadFile(r.logPath)
	var out []string
	for _, line := range strings.Split(string(b), "\n") {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

// entry returns a server's entry.
func entry(service, address, zone string, slots int, state string, born int64) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": state,
		"coldRemainingMs": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
		"sequence": 0, "born": born,
	}
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	// whole is false if the response ended before its end.
	whole bool
	// last is true if the connection ends after the response.
	last bool
	err  error
	at   time.Time
}

func (a answer) String() string {
	if a.err != nil && a.status == 0 {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d stamp=%q body=%q whole=%v", a.status, a.header.Get("Server-Stamp"), clip(a.body), a.whole)
}

func clip(s string) string {
	if len(s) > 120 {
		return s[:120] + "..."
	}
	return s
}

// readAnswer reads one response.
func readAnswer(br *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(b), whole: err == nil, last: resp.Close, err: err, at: time.Now()}
}

// head returns a request head with a body of a length.
func head(method, path, host, id string, length int, extra ...string) string {
	h := method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\n"
	if length >= 0 {
		h += "Content-Length: " + strconv.Itoa(length) + "\r\n"
	}
	for _, e := range extra {
		h += e + "\r\n"
	}
	return h + "\r\n"
}
