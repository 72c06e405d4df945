package flooder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"papayapaddle/internal/messenger"
	"papayapaddle/platform"
	"papayapaddle/platform/standin"
)

const (
	// maxBodyBytes is the limit in the configuration, see standin.Cluster.PutConfig.
	maxBodyBytes = 1 << 20
	// giveUpTime ends a test that waits for something that does not come.
	giveUpTime = 60 * time.Second
	// connTime is how long a connection of the crowd tries to send, as the router may not accept it.
	connTime   = 2 * time.Second
	pollPeriod = 20 * time.Millisecond
	// ordinaryRequests is the number of requests that are answered while the crowd pauses.
	ordinaryRequests = 20
	// filledCPUShare is the CPU share of a router that fillers bring to its limit of concurrent requests, and
	// fillers is more than that limit.
	filledCPUShare = 0.05
	fillers        = 48
)

// port is a port of the router. refusalPort is that of the callers while the router is at its limit.
type port int

const (
	callerPort port = iota
	refusalPort
	readyPort
	peerPort
	operatorPort
)

func (p port) path() string {
	if p == readyPort {
		return platform.ReadyPath
	}
	return "/metrics"
}

// router is a router process and the platform around it.
type router struct {
	t        *testing.T
	settings platform.Settings
	cmd      *exec.Cmd
	log      string
	exited   chan struct{}
	requests int
	// maxMemory and maxOpen are the largest resident set in bytes and number of descriptors that were seen. mu
	// guards them.
	mu                 sync.Mutex
	maxMemory, maxOpen int
}

func (r *router) address(p port) string {
	switch p {
	case readyPort:
		return r.settings.Listen.Ready
	case peerPort:
		return r.settings.PeerAddress()
	case operatorPort:
		return r.settings.OperatorAddress()
	}
	return r.settings.Listen.Callers
}

func ordinaryRequest(id, body string) standin.Request {
	return standin.Request{Path: standin.PlainPrefix + "x", ID: id, APIKey: standin.APIKey, Body: body}
}

// start starts a cluster, whose plain servers send responses of at least the given length, and a router, and waits
// until it is ready.
func start(t *testing.T, cpuShare float64, responseBytes int) *router {
	cluster, err := standin.NewCluster(2, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		cluster.Close(ctx)
	})
	cluster.Engine = standin.Engine{Slots: 64, MemoryTokens: 1_000_000, TokensPerEvent: 10}
	for _, s := range cluster.PlainServers {
		s.ResponseBytes = responseBytes
	}
	for _, s := range cluster.ModelServers {
		s.EventInterval = 200 * time.Millisecond
		cluster.PutServer(s.ID, standin.ModelService, "ready")
	}
	cluster.SetAPIKeys(standin.APIKey)
	r := &router{t: t, settings: cluster.RouterSettings("router-01"), exited: make(chan struct{})}
	r.settings.Limits = platform.ResourceLimits{CPUShare: cpuShare, MemoryMB: memoryMB, MaxDescriptors: maxDescriptors}
	dir := t.TempDir()
	r.log = filepath.Join(dir, "log")
	settingsFile := filepath.Join(dir, "settings.json")
	data, err := json.Marshal(r.settings)
	if err == nil {
		err = os.WriteFile(settingsFile, data, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	logFile, err := os.Create(r.log)
	if err != nil {
		t.Fatal(err)
	}
	r.cmd = exec.Command(binary, "serve")
	r.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+settingsFile)
	r.cmd.Stdout, r.cmd.Stderr = logFile, logFile
	err = r.cmd.Start()
	logFile.Close()
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		// Why the process ended does not matter, since it must not end.
		_ = r.cmd.Wait()
		close(r.exited)
	}()
	go r.watch()
	t.Cleanup(func() {
		// This fails if the process has already exited.
		_ = r.cmd.Process.Kill()
		<-r.exited
		if t.Failed() {
			r.logEnd()
		}
	})
	r.waitFor("the router is ready", func() bool { return r.get(readyPort) })
	return r
}

// logEnd writes the end of the router's log to that of the test.
func (r *router) logEnd() {
	b, err := os.ReadFile(r.log)
	if err != nil {
		r.t.Log(err)
	}
	r.t.Logf("the router's log ends with\n%s", b[max(0, len(b)-1500):])
}

// waitFor polls a condition while the process runs.
func (r *router) waitFor(what string, done func() bool) {
	r.t.Helper()
	poll := time.NewTicker(pollPeriod)
	defer poll.Stop()
	timeout := time.After(giveUpTime)
	for !done() {
		select {
		case <-r.exited:
			r.t.Fatalf("the router has ended before %s", what)
		case <-timeout:
			r.t.Fatalf("gave up waiting until %s", what)
		case <-poll.C:
		}
	}
}

// measure reads the resident set, its peak and the open descriptors of the process.
func (r *router) measure() {
	dir := fmt.Sprintf("/proc/%d/", r.cmd.Process.Pid)
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return
	}
	descriptors, err := os.ReadDir(dir + "fd")
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxOpen = max(r.maxOpen, len(descriptors))
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			// An unreadable value counts as 0, and the check below fails.
			kB, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			r.maxMemory = max(r.maxMemory, kB<<10)
		}
	}
}

// watch ends the process once it exceeds its memory, as the platform does.
func (r *router) watch() {
	poll := time.NewTicker(pollPeriod)
	defer poll.Stop()
	for {
		select {
		case <-r.exited:
			return
		case <-poll.C:
		}
		r.measure()
		r.mu.Lock()
		over := r.maxMemory > memoryMB<<20
		r.mu.Unlock()
		if over {
			// This fails if the process has already exited.
			_ = r.cmd.Process.Kill()
			return
		}
	}
}

// check checks that the process runs and has stayed within its limits.
func (r *router) check(when string) {
	r.t.Helper()
	r.measure()
	r.mu.Lock()
	memory, open := r.maxMemory, r.maxOpen
	r.mu.Unlock()
	r.t.Logf("%s: at most %.1f MB and %d descriptors", when, float64(memory)/(1<<20), open)
	if memory == 0 || memory > memoryMB<<20 {
		r.t.Errorf("%s: the resident set was %d bytes, want at most %d", when, memory, memoryMB<<20)
	}
	if open > maxDescriptors {
		r.t.Errorf("%s: the process had %d descriptors, want at most %d", when, open, maxDescriptors)
	}
	select {
	case <-r.exited:
		r.t.Fatalf("%s: the router has ended", when)
	default:
	}
}

// get reports whether a GET request to an HTTP port is answered with 200.
func (r *router) get(p port) bool {
	client := http.Client{Timeout: connTime, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.address(p) + p.path())
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && (p == readyPort || bytes.Contains(b, []byte("active-requests")))
}

// answersOrdinary waits until an ordinary client of the flooded port and one of the callers' port got an answer. They repeat a
// request that is refused or whose connection is closed.
func (r *router) answersOrdinary(p port, when string) {
	r.t.Helper()
	if p == readyPort || p == operatorPort {
		r.waitFor("a request to the port is answered "+when, func() bool { return r.get(p) })
	}
	if p == peerPort {
		r.waitFor("a call of a peer is answered "+when, func() bool {
			m := &messenger.Messenger{Dial: (&net.Dialer{}).DialContext}
			defer m.Close()
			_, err := m.FetchConfig(context.Background(), r.address(p), 0)
			return err == nil
		})
	}
	r.waitFor("an ordinary request is answered "+when, func() bool {
		r.requests++
		req := ordinaryRequest(fmt.Sprint("ordinary-", r.requests), "")
		req.Router = r.address(callerPort)
		resp, err := doWithin(req, connTime)
		return err == nil && resp.Status == http.StatusOK && resp.Stamp != ""
	})
}

// fill starts streams that bring the router to its limit, and waits until it is there.
func (r *router) fill() {
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	for i := range fillers {
		workers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				req := standin.Request{
					Router: r.address(callerPort), Path: standin.ModelPrefix + "x", ID: fmt.Sprintf("filler-%d-%d", i, n),
					APIKey: standin.APIKey, TokenUsage: "100,3000", SharedPart: fmt.Sprint("part-", i),
				}
				if err := stream(ctx, req); err != nil {
					// A refused filler comes back, but not at once.
					select {
					case <-ctx.Done():
					case <-time.After(pollPeriod * 10):
					}
				}
			}
		})
	}
	r.t.Cleanup(func() {
		cancel()
		workers.Wait()
	})
	r.waitFor("the router is at its limit", func() bool {
		resp, err := http.Get("http://" + r.address(operatorPort) + "/metrics")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		return err == nil && bytes.Contains(b, []byte("refused-router-share"))
	})
}
