package relayer

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/quarantiner"
	"papayapaddle/internal/sender"
)

// testCodec is a codec with minimal headers.
type testCodec struct{}

func (testCodec) DecodeRequest(h http.Header) (RequestInfo, error) {
	info := RequestInfo{ID: h.Get("Id"), APIKey: h.Get("Key"), LastEventID: h.Get("Last")}
	for _, part := range strings.Split(h.Get("Parts"), ",") {
		info.Parts = append(info.Parts, PromptPart{ID: part, Tokens: 10})
	}
	if v := h.Get("Patience"); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil {
			return info, err
		}
		info.CallerTimeout = time.Duration(ms) * time.Millisecond
	}
	return info, nil
}

func (testCodec) EncodeRequest(from http.Header, f ForwardInfo) http.Header {
	out := http.Header{"Id": from["Id"], "Expect-Server": {f.Server}}
	if f.Workspace != "" {
		out.Set("Workspace", f.Workspace)
	}
	if f.LastEventID != "" {
		out.Set("Last", f.LastEventID)
	}
	return out
}

func (testCodec) DecodeResponse(_ int, h http.Header) ResponseInfo {
	return ResponseInfo{RequestID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != ""}
}

func (testCodec) ResponseHeader(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Content-Length")
	out.Del("Connection")
	return out
}

func (testCodec) EncodeRefusal(h http.Header, _ string, retryAfter time.Duration) {
	if retryAfter > 0 {
		h.Set("Retry-After", fmt.Sprint(retryAfter.Milliseconds(), "ms"))
	}
}

// testRelayer is a relayer with scripted servers and settable dependencies.
type testRelayer struct {
	relayer        *Relayer
	sender         *sender.Sender
	backend        *scriptedServers
	configAge      time.Duration
	configAgeKnown bool
	// unproven makes the configuration's age unknown while a request is served, and changed replaces the configuration.
	unproven       atomic.Bool
	changed        atomic.Pointer[cataloger.Catalog]
	catalog        *cataloger.Catalog
	retriesLeft    int
	shutdownAge    time.Duration
	servers        []string
	refusal        *Refusal
	overloadReason string
	quarantiner    quarantiner.Quarantiner
	// ended are the servers that accept no connections.
	ended   map[string]bool
	crashes int
	// onAssign, if set, is called while a request waits for a server.
	onAssign func()
	// slotWait is how long each attempt of a request but the first waits for a server.
	slotWait time.Duration
}

var routes = []*cataloger.Route{
	{
		Name: "read", Host: "h", Prefix: "/read/", Kind: cataloger.RouteIdempotent, MaxAttempts: 2,
		Timeout: time.Second, LatencyObjective: 100 * time.Millisecond,
	},
	{
		Name: "book", Host: "h", Prefix: "/book/", Kind: cataloger.RouteNonIdempotent, MaxAttempts: 1,
		Timeout: time.Second, LatencyObjective: 100 * time.Millisecond,
	},
	{
		Name: "order", Host: "h", Prefix: "/order/", Kind: cataloger.RouteNonIdempotent, MaxAttempts: 1,
		Timeout: 15 * time.Second, LatencyObjective: 100 * time.Millisecond,
	},
	{
		Name: "chat", Host: "h", Prefix: "/chat/", Kind: cataloger.RouteStream, Resumable: true, MaxAttempts: 2,
		Timeout: 15 * time.Second, LatencyObjective: 400 * time.Millisecond, MaxEventGap: 400 * time.Millisecond,
	},
	{
		Name: "review", Host: "h", Prefix: "/review/", Kind: cataloger.RouteStream, MaxAttempts: 1,
		Timeout: 15 * time.Second, LatencyObjective: 400 * time.Millisecond, MaxEventGap: 400 * time.Millisecond,
	},
	{
		Name: "open", Host: "h", Prefix: "/open/", Kind: cataloger.RouteIdempotent, Public: true, MaxAttempts: 2,
		Timeout: time.Second, LatencyObjective: 100 * time.Millisecond,
	},
}

func newTestRelayer(t *testing.T) *testRelayer {
	tr := &testRelayer{
		backend:        &scriptedServers{scripts: map[string][]string{}, stop: make(chan struct{})},
		configAgeKnown: true, retriesLeft: 100,
	}
	for _, r := range routes {
		r.Targets = []cataloger.Target{{Service: "s", Weight: 1}}
	}
	var err error
	tr.catalog, err = cataloger.New(cataloger.Catalog{
		Version: 3, Routes: routes, KeysRequired: true,
		Services:   map[string]*cataloger.Service{"s": {Name: "s", Engine: &cataloger.Engine{Slots: 8}}},
		Workspaces: []*cataloger.Workspace{{Name: "w", Keys: []cataloger.KeyHash{cataloger.HashKey("k")}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s := &sender.Sender{Dial: tr.backend.dial}
	tr.sender = s
	tr.relayer = &Relayer{
		Codec: testCodec{},
		CurrentConfig: func() Config {
			return Config{Catalog: cmp.Or(tr.changed.Load(), tr.catalog), Age: tr.configAge, AgeKnown: tr.configAgeKnown && !tr.unproven.Load()}
		},
		MaxConfigAge: 3 * time.Second,
		AssignServer: tr.assignServer,
		Send:         s.Send, CloseIdle: s.CloseIdle,
		OnServerReplaced: func(server string) { tr.backend.logf("%s moved", server) },
		RecordRequest:    func(string) {},
		AllowRetry: func(string) bool {
			tr.retriesLeft--
			return tr.retriesLeft >= 0
		},
		MayRetry: func(string) bool { return tr.retriesLeft > 0 },
		Shutdown: func() (time.Time, time.Time) {
			if tr.shutdownAge == 0 {
				return time.Time{}, time.Time{}
			}
			return time.Now().Add(-tr.shutdownAge), time.Now().Add(7*time.Second - tr.shutdownAge)
		},
		Admit:       func(cataloger.RouteKind, string, int64) string { return tr.overloadReason },
		RequestDone: func(string) {},
		BodyBudget:  &MemoryBudget{MaxBytes: 1 << 20},
		Log:         func(string, ...any) {},
		WatchEnd:    func(s *cataloger.Server) EndWatch { return testWatch{tr, s.ID} },
		Quarantine: &Quarantine{
			Check:       func(p quarantiner.Request) (quarantiner.Verdict, bool, bool) { return tr.quarantiner.Check(0, p) },
			RequestLost: tr.requestLost,
			RequestAnswered: func(s *cataloger.Server, _ time.Duration, p quarantiner.Request) {
				if len(p.Parts) > 0 {
					tr.backend.logf("%s answered %d parts", s.ID, len(p.Parts))
				}
			},
			IsSuspect: func(s *cataloger.Server, p quarantiner.Request) bool {
				return tr.quarantiner.IsSuspect(quarantiner.ServerKey(s.ID, 0), p)
			},
		},
	}
	return tr
}

// requestLost reports a crash to the quarantiner if the server has ended.
func (tr *testRelayer) requestLost(s *cataloger.Server, p quarantiner.LostRequest) {
	if len(p.Parts) > 0 {
		tr.backend.logf("%s lost %d parts begun=%v", s.ID, len(p.Parts), p.Begun)
	}
	if tr.ended[s.ID] {
		tr.crashes++
		at := time.Duration(tr.crashes) * time.Second
		tr.quarantiner.ReportCrash(at, quarantiner.ServerKey(s.ID, 0), quarantiner.Release{}, []quarantiner.LostRequest{p})
		// Evidence counts once it has settled, before the next crash.
		tr.quarantiner.Tick(at + time.Second/2)
	}
}

func (tr *testRelayer) assignServer(ctx context.Context, c *Call) (*Assignment, *Refusal) {
	if tr.onAssign != nil {
		tr.onAssign()
	}
	if tr.refusal != nil {
		return nil, tr.refusal
	}
	i := len(c.ExcludedServers)
	if i >= len(tr.servers) {
		return nil, &Refusal{Reason: "no-server", RetryAfter: time.Second}
	}
	id := tr.servers[i]
	if i > 0 && tr.slotWait > 0 {
		select {
		case <-time.After(tr.slotWait):
		case <-ctx.Done():
			return nil, &Refusal{Reason: "caller-gone"}
		}
	}
	return &Assignment{
		Server:           &cataloger.Server{ID: id, Address: id},
		ReportFirstEvent: func() { tr.backend.logf("%s began", id) },
		ReportSilence:    func() { tr.backend.logf("%s is silent", id) },
		Release: func(result AttemptResult) {
			tr.backend.logf("%s ended failed=%v full=%v", id, result.Failed, result.Refused)
		},
	}, nil
}

// call sends one request and returns the response and the servers' log. In the first line of the
// output, "cut" means that the handler aborted the connection. In the log, "began" stands for
// Assignment.ReportFirstEvent, "ended" for Assignment.Release, where "full" is
// AttemptResult.Refused, and "moved" for Relayer.OnServerReplaced.
func (tr *testRelayer) call(d *datadriven.TestData, t *testing.T) string {
	var path, key, body, parts, last string
	d.MaybeScanArgs(t, "parts", &parts)
	d.MaybeScanArgs(t, "last", &last)
	id := "q"
	d.MaybeScanArgs(t, "id", &id)
	callerTimeout, leaveAfter := 0, 0
	d.ScanArgs(t, "path", &path)
	key = "k"
	d.MaybeScanArgs(t, "key", &key)
	d.MaybeScanArgs(t, "body", &body)
	d.MaybeScanArgs(t, "patience", &callerTimeout)
	d.MaybeScanArgs(t, "leave", &leaveAfter)
	unprovenAfter := 0
	d.MaybeScanArgs(t, "unproven-after", &unprovenAfter)
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if leaveAfter > 0 {
		time.AfterFunc(time.Duration(leaveAfter)*time.Millisecond, cancel)
	}
	if unprovenAfter > 0 {
		time.AfterFunc(time.Duration(unprovenAfter)*time.Millisecond, func() { tr.unproven.Store(true) })
	}
	tr.changed.Store(nil)
	var change string
	d.MaybeScanArgs(t, "change", &change)
	if change != "" {
		changed := tr.changedCatalog(t, change)
		time.AfterFunc(changeDelay, func() { tr.changed.Store(changed) })
	}
	req := httptest.NewRequest(method, "http://h"+path, strings.NewReader(body)).WithContext(ctx)
	req.Header.Set("Id", id)
	req.Header.Set("Last", last)
	req.Header.Set("Parts", strings.ReplaceAll(parts, "+", ","))
	req.Header.Set("Key", key)
	if callerTimeout > 0 {
		req.Header.Set("Patience", strconv.Itoa(callerTimeout))
	}
	w := httptest.NewRecorder()
	tr.backend.log = nil
	start := time.Now()
	aborted := serveHTTP(tr.relayer, w, req)
	duration := time.Since(start)
	var out strings.Builder
	if w.Flushed || w.Body.Len() > 0 || w.Code != http.StatusOK || len(w.Header()) > 0 {
		fmt.Fprintf(&out, "status %d", w.Code)
	} else {
		out.WriteString("no answer")
	}
	if v := w.Header().Get("Retry-After"); v != "" {
		fmt.Fprintf(&out, " retry-after %s", v)
	}
	if v := w.Header().Get("Signed"); v != "" {
		out.WriteString(" signed")
	}
	if v := w.Header().Get("Connection"); v != "" {
		fmt.Fprintf(&out, " connection %s", v)
	}
	if aborted {
		out.WriteString(" cut")
	}
	fmt.Fprintf(&out, " after %d ms\n", duration.Milliseconds())
	if w.Body.Len() > 0 {
		fmt.Fprintf(&out, "%q\n", w.Body.String())
	}
	synctest.Wait()
	tr.backend.mu.Lock()
	defer tr.backend.mu.Unlock()
	for _, l := range tr.logLines() {
		out.WriteString(l + "\n")
	}
	if tr.relayer.BodyBudget.UsedBytes() != 0 {
		fmt.Fprintf(&out, "%d bytes still reserved\n", tr.relayer.BodyBudget.UsedBytes())
	}
	return out.String()
}

// changeDelay is when a configuration change of a call comes into force.
const changeDelay = 50 * time.Millisecond

// changedCatalog returns the configuration after a change: all routes lead to another service, with or without the
// service before, there are no routes, or no workspace has a key.
func (tr *testRelayer) changedCatalog(t *testing.T, change string) *cataloger.Catalog {
	out := *tr.catalog
	other := &cataloger.Service{Name: "other", Engine: &cataloger.Engine{Slots: 8}}
	out.Services = map[string]*cataloger.Service{"s": tr.catalog.Services["s"], "other": other}
	switch change {
	case "service-gone":
		delete(out.Services, "s")
	case "routes-gone":
		out.Routes = nil
		return newCatalog(t, out)
	case "keys-gone":
		out.Workspaces = nil
		return newCatalog(t, out)
	}
	out.Routes = nil
	for _, r := range tr.catalog.Routes {
		moved := *r
		moved.Targets = []cataloger.Target{{Service: "other", Weight: 1}}
		out.Routes = append(out.Routes, &moved)
	}
	return newCatalog(t, out)
}

// serveHTTP reports whether the handler aborted the connection.
func serveHTTP(h http.Handler, w http.ResponseWriter, req *http.Request) (aborted bool) {
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			aborted = true
		}
	}()
	h.ServeHTTP(w, req)
	return false
}

// pausedServers is the file of TestPausedServerLosesNoStream.
const pausedServers = "testdata/paused-servers"

func TestRelayScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if path != pausedServers {
			runScenarios(t, path)
		}
	})
}

// Guards against streams that are cut or answered with an error because their server sends nothing for a while.
func TestPausedServerLosesNoStream(t *testing.T) { runScenarios(t, pausedServers) }

func runScenarios(t *testing.T, path string) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTestRelayer(t)
		defer func() {
			close(tr.backend.stop)
			tr.sender.RetainServers(nil)
			synctest.Wait()
		}()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return tr.runCommand(d, t)
		})
	})
}

// runCommand runs a command of the scripts in testdata:
//
//	server ID                           adds the input to the scripts of a server
//	places ID... [wait=MS]              sets the servers that are assigned, in this order; all but the
//	                                    first after a wait
//	refusal retry-after=MS              assigns no server from now on
//	beliefs [age=MS] [unproven] [none]  sets the configuration's age, makes its age unknown, or
//	                                    removes the configuration
//	busy                                makes the router refuse requests because of overload
//	repeats left=N                      sets the number of retries left in the retry budget
//	closing since=MS                    sets the time since the shutdown started
//	ended ID...                         says which servers accept no connections
//	call path=PATH [id=ID] [parts=PART+PART] [key=KEY] [body=BODY] [patience=MS] [leave=MS] [unproven-after=MS]
//	     [change=CHANGE]                sends a request, which the caller cancels after leave; the
//	                                    configuration's age is unknown after unproven-after, and the
//	                                    configuration changes after changeDelay, see changedCatalog
func (tr *testRelayer) runCommand(d *datadriven.TestData, t *testing.T) string {
	switch d.Cmd {
	case "server":
		id := d.CmdArgs[0].Key
		tr.backend.scripts[id] = append(tr.backend.scripts[id], d.Input)
	case "places":
		tr.servers, tr.refusal, tr.slotWait = nil, nil, 0
		for _, a := range d.CmdArgs {
			if a.Key == "wait" {
				var ms int
				a.Scan(t, 0, &ms)
				tr.slotWait = time.Duration(ms) * time.Millisecond
				continue
			}
			tr.servers = append(tr.servers, a.Key)
		}
	case "refusal":
		var ms int
		d.ScanArgs(t, "retry-after", &ms)
		tr.refusal = &Refusal{Reason: "too-late", RetryAfter: time.Duration(ms) * time.Millisecond}
	case "beliefs":
		var ms int
		d.MaybeScanArgs(t, "age", &ms)
		tr.configAge = time.Duration(ms) * time.Millisecond
		tr.configAgeKnown = !d.HasArg("unproven")
		tr.unproven.Store(false)
		if d.HasArg("none") {
			tr.catalog = nil
		}
	case "busy":
		tr.overloadReason = "router-full"
	case "repeats":
		d.ScanArgs(t, "left", &tr.retriesLeft)
	case "ended":
		tr.ended = map[string]bool{}
		for _, a := range d.CmdArgs {
			tr.ended[a.Key] = true
		}
	case "closing":
		var ms int
		d.ScanArgs(t, "since", &ms)
		tr.shutdownAge = time.Duration(ms) * time.Millisecond
	case "call":
		tr.addScripts(d)
		return tr.call(d, t)
	case "hedging", "hedges":
		return tr.runHedgeCommand(d, t)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}
