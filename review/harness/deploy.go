package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the deployment that the cases share.
const (
	host         = "ficu95.example"
	streamPrefix = "/stream/"
	resumePrefix = "/resume/"
	bookPrefix   = "/book/"
	readPrefix   = "/read/"
	apiKey       = "asnmgkcuyj8pjbvk9m68"
	tenant       = "hule930"
	heartbeat    = 1200 * time.Millisecond
)

// deployment is one store, routers and servers, all on loopback.
type deployment struct {
	dir     string
	store   *store
	routers []*router
	servers map[string]*server
	version uint64
	keys    []string
	// streams counts the streams that were asked for.
	streams int
	// memoryMB is the memory limit in the settings of the routers.
	memoryMB int

	mu     sync.Mutex
	record *os.File
	start  time.Time
}

type router struct {
	name, ip, callers, ready, settings string

	cmd  *exec.Cmd
	done chan struct{}
}

type server struct {
	id, service, address, state string
	born                        int64
	slots                       int

	cmd  *exec.Cmd
	done chan struct{}
	mu   sync.Mutex
	runs map[string]int
	// ended and turnedAway count the requests whose answers have ended and those that did not run.
	ended, turnedAway int
	// listed says that the server writes to the store.
	listed bool
}

func newDeployment(recordFile string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	return &deployment{dir: dir, store: s, servers: map[string]*server{}, keys: []string{apiKey}, memoryMB: 284, record: f, start: time.Now()}, nil
}

// note writes one line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the deployment started.
func (d *deployment) close() {
	for _, r := range d.routers {
		if r.cmd != nil {
			_ = r.cmd.Process.Signal(syscall.SIGCONT)
			_ = r.cmd.Process.Kill()
			<-r.done
		}
	}
	for _, s := range d.servers {
		_ = s.cmd.Process.Signal(syscall.SIGCONT)
		_ = s.cmd.Process.Kill()
		<-s.done
	}
	_ = d.record.Close()
	_ = os.RemoveAll(d.dir)
}

// startServer starts a server process, which writes to the store while it is alive.
func (d *deployment) startServer(id, service string, args ...string) (*server, error) {
	s := &server{id: id, service: service, state: "ready", born: time.Now().UnixMilli(), slots: 64, runs: map[string]int{}, done: make(chan struct{}), listed: true}
	s.cmd = exec.Command(os.Args[0], append([]string{"server", "-id", id}, args...)...)
	s.cmd.Stderr = os.Stderr
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	d.servers[id] = s
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("server %s printed nothing", id)
	}
	s.address = strings.TrimPrefix(lines.Text(), "listening ")
	go func() {
		for lines.Scan() {
			d.note("server: %s", lines.Text())
			if f := strings.Fields(lines.Text()); f[0] == "run" {
				s.mu.Lock()
				s.runs[f[1]]++
				s.mu.Unlock()
			} else if f[0] == "done" || f[0] == "broken" {
				s.mu.Lock()
				s.ended++
				s.mu.Unlock()
			} else if f[0] == "turned-away" {
				s.mu.Lock()
				s.turnedAway++
				s.mu.Unlock()
			}
		}
		_ = s.cmd.Wait()
		close(s.done)
	}()
	d.report(s)
	go func() {
		for {
			select {
			case <-s.done:
				// The store removes the entry after three status report intervals of silence.
				time.Sleep(3 * heartbeat)
				if s.unlist() {
					d.store.remove("servers", s.id)
				}
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return s, nil
}

func (s *server) unlist() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.listed
	s.listed = false
	return was
}

// inProgress returns how many answers the server has begun and not ended.
func (s *server) inProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.runs {
		n += k
	}
	return n - s.ended
}

func (s *server) turnedSomeAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turnedAway > 0
}

// report writes the entry of a server.
func (d *deployment) report(s *server) {
	d.store.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": "graz-a", "version": "v1", "slots": s.slots, "state": s.state,
		"coldRemainingMs": 0, "sequence": 1, "born": s.born, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
	})
	d.note("store: server %s of %s at %s is %s", s.id, s.service, s.address, s.state)
}

// putConfig writes a version of the config.
func (d *deployment) putConfig() {
	d.version += 3
	route := func(name, prefix, kind, service string, timeout, goal, attempts int, resumable, model bool) map[string]any {
		r := map[string]any{"name": name, "host": host, "prefix": prefix, "routeKind": kind, "timeoutMs": timeout, "latencyGoalMs": goal,
			"priority": 1, "service": service, "maxAttempts": attempts, "public": false, "sticky": model, "resumable": resumable}
		if kind == "streaming" {
			r["gapTargetMs"] = 400
		}
		return r
	}
	d.store.put("op", "config", map[string]any{
		"version": d.version,
		"routeList": []any{
			route("r-stream", streamPrefix, "streaming", "models", 15000, 800, 1, false, true),
			route("r-resume", resumePrefix, "streaming", "models", 15000, 400, 2, true, true),
			route("r-book", bookPrefix, "non_idempotent", "booking", 15000, 120, 1, false, false),
			route("r-read", readPrefix, "idempotent", "booking", 15000, 120, 2, false, false),
		},
		"services": []any{
			map[string]any{"name": "models", "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kvCapacity": 672082, "kvTokenBytes": 18432, "linkMbps": 370000.0, "moves": true, "backups": true,
					"stride": 5, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "booking", "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 480000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": d.keys, "priority": 1}},
	})
	d.note("store: config version %d", d.version)
}

// freePorts returns n consecutive ports that are free on an address.
func freePorts(ip string, n int) (int, error) {
	for port := 20000 + os.Getpid()%20000; port < 60000; port += n {
		free := true
		for i := range n {
			ln, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(port+i)))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free ports on %s", ip)
}

// addRouter starts a router process.
func (d *deployment) addRouter() (*router, error) {
	n := len(d.routers) + 1
	ip := fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()/250%100, 1+os.Getpid()%250, n)
	port, err := freePorts(ip, 8)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return net.JoinHostPort(ip, fmt.Sprint(port+i)) }
	r := &router{name: fmt.Sprintf("edge-graz-a-%d", n), ip: ip, callers: at(0), ready: at(1)}
	settings, err := json.MarshalIndent(map[string]any{
		"nodeName": r.name, "role": "router", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": "graz-a", "region": "at-south",
		"zones":  map[string]string{"graz-a": "at-south"},
		"listen": map[string]string{"frontend": at(0), "ready": at(1)}, "internalPorts": []int{port + 2, port + 7}, "seedNodes": []string{},
		"bootstrap": true, "lossCounts": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": d.memoryMB, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "maxStretchMs": 5000, "failClosed": true, "revokeMs": 5000,
			"retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 52, "recoveryS": 12, "passMs": 120, "reuseWindowS": 10, "quotaWindowS": 4},
		"platform": map[string]any{"address": d.store.address, "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 5.0, "partWritesS": 200,
			"rowBytes": 65536, "across": false, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	r.settings = filepath.Join(d.dir, r.name+".json")
	if err := os.WriteFile(r.settings, settings, 0o600); err != nil {
		return nil, err
	}
	d.routers = append(d.routers, r)
	return r, d.startRouter(r)
}

// startRouter starts the process of a router, as the deploy file says.
func (d *deployment) startRouter(r *router) error {
	log, err := os.OpenFile(filepath.Join(d.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.cmd = exec.Command("target/papayapaddle", "serve")
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PAPAYAPADDLE_NODE_FILE=" + r.settings}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.done = make(chan struct{})
	cmd, done := r.cmd, r.done
	go func() {
		err := cmd.Wait()
		d.note("router: %s ended: %v", r.name, err)
		close(done)
	}()
	return nil
}

// logOf returns the lines of a router's log that contain all texts.
func (d *deployment) logOf(r *router, texts ...string) []string {
	b, _ := os.ReadFile(filepath.Join(d.dir, r.name+".log"))
	var out []string
lines:
	for _, line := range strings.Split(string(b), "\n") {
		for _, t := range texts {
			if !strings.Contains(line, t) {
				continue lines
			}
		}
		out = append(out, line)
	}
	return out
}

// noteLog copies the lines of a router's log that contain all texts into the record.
func (d *deployment) noteLog(r *router, texts ...string) {
	time.Sleep(300 * time.Millisecond)
	for _, line := range d.logOf(r, texts...) {
		d.note("log: %s", line)
	}
}
