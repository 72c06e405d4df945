package relayer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"papayapaddle/internal/cataloger"
	"papayapaddle/internal/sender"
)

// plainCodec uses headers of its own.
type plainCodec struct{}

func (plainCodec) DecodeRequest(h http.Header) (Envelope, error) {
	e := Envelope{ID: h.Get("Id"), Key: h.Get("Key"), LastEvent: h.Get("Last")}
	if v := h.Get("Patience"); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil {
			return e, err
		}
		e.Patience = time.Duration(ms) * time.Millisecond
	}
	return e, nil
}

func (plainCodec) EncodeRequest(from http.Header, f Forwarding) http.Header {
	out := http.Header{"Id": from["Id"], "Expect-Server": {f.Server}}
	if f.Workspace != "" {
		out.Set("Workspace", f.Workspace)
	}
	if f.LastEvent != "" {
		out.Set("Last", f.LastEvent)
	}
	return out
}

func (plainCodec) DecodeAnswer(_ int, h http.Header) Verdict {
	return Verdict{ID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != ""}
}

func (plainCodec) AnswerHeader(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Content-Length")
	out.Del("Connection")
	return out
}

func (plainCodec) EncodeRefusal(h http.Header, _ string, retryAfter time.Duration) {
	if retryAfter > 0 {
		h.Set("Retry-After", fmt.Sprint(retryAfter.Milliseconds(), "ms"))
	}
}

// backend answers each request at a server with its next script: raw bytes, in
// which ID stands for the request's id, and lines that begin with "@" are
// orders: @wait MS, @close, @hang.
type backend struct {
	mu      sync.Mutex
	scripts map[string][]string
	log     []string
	stop    chan struct{}
}

func (b *backend) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.log = append(b.log, fmt.Sprintf(format, args...))
}

func (b *backend) next(server string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.scripts[server]
	if len(s) == 0 {
		return "", false
	}
	b.scripts[server] = s[1:]
	return s[0], true
}

func (b *backend) dial(_ context.Context, _, address string) (net.Conn, error) {
	b.mu.Lock()
	refused := len(b.scripts[address]) > 0 && b.scripts[address][0] == "@refuse"
	if refused {
		b.scripts[address] = b.scripts[address][1:]
	}
	b.mu.Unlock()
	if refused {
		return nil, &net.OpError{Op: "dial", Err: io.ErrClosedPipe}
	}
	here, there := net.Pipe()
	go b.serve(address, there)
	return here, nil
}

func (b *backend) serve(server string, conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		line := fmt.Sprintf("%s got %s %s %q workspace=%q", server, req.Method, req.URL.Path, body, req.Header.Get("Workspace"))
		if l := req.Header.Get("Last"); l != "" {
			line += " last=" + l
		}
		b.note("%s", line)
		script, ok := b.next(server)
		if !ok {
			b.note("%s has no script", server)
			return
		}
		if !b.play(conn, script, req.Header.Get("Id")) {
			return
		}
	}
}

// play writes a script; false says that the connection is over.
func (b *backend) play(conn net.Conn, script, id string) bool {
	script = strings.ReplaceAll(script, "ID", id)
	for line := range strings.Lines(script) {
		line = strings.TrimSuffix(line, "\n")
		switch order, rest, _ := strings.Cut(line, " "); order {
		case "@wait":
			ms, _ := strconv.Atoi(rest)
			select {
			case <-time.After(time.Duration(ms) * time.Millisecond):
			case <-b.stop:
				return false
			}
		case "@close":
			return false
		case "@hang":
			<-b.stop
			return false
		default:
			text := strings.ReplaceAll(strings.ReplaceAll(line, `\r`, "\r"), `\n`, "\n")
			if _, err := io.WriteString(conn, text); err != nil {
				return false
			}
		}
	}
	return true
}

// bench holds a relayer with its servers.
type bench struct {
	r       *Relayer
	sender  *sender.Sender
	back    *backend
	age     time.Duration
	proven  bool
	catalog *cataloger.Catalog
	repeats int
	closing time.Duration
	places  []string
	refusal *Refusal
	busy    string
	// waiting is called while a request waits for its place, if set.
	waiting func()
}

var routes = []*cataloger.Route{
	{Name: "read", Host: "h", Prefix: "/read/", Kind: cataloger.RouteIdempotent, MaxAttempts: 2, Timeout: time.Second, LatencyObjective: 100 * time.Millisecond},
	{Name: "book", Host: "h", Prefix: "/book/", Kind: cataloger.RouteNonIdempotent, MaxAttempts: 1, Timeout: time.Second, LatencyObjective: 100 * time.Millisecond},
	{Name: "chat", Host: "h", Prefix: "/chat/", Kind: cataloger.RouteStream, Resumable: true, MaxAttempts: 2, Timeout: 15 * time.Second, LatencyObjective: 400 * time.Millisecond, MaxEventGap: 400 * time.Millisecond},
	{Name: "review", Host: "h", Prefix: "/review/", Kind: cataloger.RouteStream, MaxAttempts: 1, Timeout: 15 * time.Second, LatencyObjective: 400 * time.Millisecond, MaxEventGap: 400 * time.Millisecond},
	{Name: "open", Host: "h", Prefix: "/open/", Kind: cataloger.RouteIdempotent, Public: true, MaxAttempts: 2, Timeout: time.Second, LatencyObjective: 100 * time.Millisecond},
}

func newBench(t *testing.T) *bench {
	b := &bench{back: &backend{scripts: map[string][]string{}, stop: make(chan struct{})}, proven: true, repeats: 100}
	for _, r := range routes {
		r.Targets = []cataloger.Target{{Service: "s", Weight: 1}}
	}
	var err error
	b.catalog, err = cataloger.New(cataloger.Catalog{
		Version: 3, Routes: routes, Services: map[string]*cataloger.Service{"s": {Name: "s"}}, KeysRequired: true,
		Workspaces: []*cataloger.Workspace{{Name: "w", Keys: []cataloger.KeyHash{cataloger.HashKey("k")}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s := &sender.Sender{Dial: b.back.dial}
	b.sender = s
	b.r = &Relayer{
		Codec:   plainCodec{},
		Beliefs: func() Beliefs { return Beliefs{Catalog: b.catalog, Age: b.age, Proven: b.proven} },
		MaxAge:  3 * time.Second,
		Place:   b.place,
		Send:    s.Send, Drop: s.Drop,
		Moved:   func(server string) { b.back.note("%s moved", server) },
		Request: func(string) {},
		Repeat: func(string) bool {
			b.repeats--
			return b.repeats >= 0
		},
		Closing: func() (time.Time, time.Time) {
			if b.closing == 0 {
				return time.Time{}, time.Time{}
			}
			return time.Now().Add(-b.closing), time.Now().Add(7*time.Second - b.closing)
		},
		Busy:   func(cataloger.RouteKind, string, int64) string { return b.busy },
		Done:   func(string) {},
		Buffer: &Budget{Bytes: 1 << 20},
		Log:    func(string, ...any) {},
	}
	return b
}

func (b *bench) place(ctx context.Context, c *Call) (*Place, *Refusal) {
	if b.waiting != nil {
		b.waiting()
	}
	if b.refusal != nil {
		return nil, b.refusal
	}
	i := len(c.Exclude)
	if i >= len(b.places) {
		return nil, &Refusal{Reason: "no-server", RetryAfter: time.Second}
	}
	id := b.places[i]
	return &Place{
		Server: &cataloger.Server{ID: id, Address: id},
		Began:  func() { b.back.note("%s began", id) },
		End:    func(e End) { b.back.note("%s ended failed=%v full=%v", id, e.Failed, e.Full) },
	}, nil
}

// call sends one request and tells what came of it.
func (b *bench) call(d *datadriven.TestData, t *testing.T) string {
	var path, key, body string
	patience, leave := 0, 0
	d.ScanArgs(t, "path", &path)
	key = "k"
	d.MaybeScanArgs(t, "key", &key)
	d.MaybeScanArgs(t, "body", &body)
	d.MaybeScanArgs(t, "patience", &patience)
	d.MaybeScanArgs(t, "leave", &leave)
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if leave > 0 {
		time.AfterFunc(time.Duration(leave)*time.Millisecond, cancel)
	}
	req := httptest.NewRequest(method, "http://h"+path, strings.NewReader(body)).WithContext(ctx)
	req.Header.Set("Id", "q")
	req.Header.Set("Key", key)
	if patience > 0 {
		req.Header.Set("Patience", strconv.Itoa(patience))
	}
	w := httptest.NewRecorder()
	b.back.log = nil
	began := time.Now()
	cut := serve(b.r, w, req)
	took := time.Since(began)
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
	if cut {
		out.WriteString(" cut")
	}
	fmt.Fprintf(&out, " after %d ms\n", took.Milliseconds())
	if w.Body.Len() > 0 {
		fmt.Fprintf(&out, "%q\n", w.Body.String())
	}
	synctest.Wait()
	b.back.mu.Lock()
	defer b.back.mu.Unlock()
	for _, l := range b.back.log {
		out.WriteString(l + "\n")
	}
	if b.r.Buffer.Used() != 0 {
		fmt.Fprintf(&out, "%d bytes still held\n", b.r.Buffer.Used())
	}
	return out.String()
}

// serve says whether the handler cut the connection.
func serve(h http.Handler, w http.ResponseWriter, req *http.Request) (cut bool) {
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			cut = true
		}
	}()
	h.ServeHTTP(w, req)
	return false
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t)
			defer func() {
				close(b.back.stop)
				b.sender.Keep(nil)
				synctest.Wait()
			}()
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return b.run(d, t) })
		})
	})
}

func (b *bench) run(d *datadriven.TestData, t *testing.T) string {
	switch d.Cmd {
	case "server":
		id := d.CmdArgs[0].Key
		b.back.scripts[id] = append(b.back.scripts[id], d.Input)
	case "places":
		b.places, b.refusal = nil, nil
		for _, a := range d.CmdArgs {
			b.places = append(b.places, a.Key)
		}
	case "refusal":
		var ms int
		d.ScanArgs(t, "retry-after", &ms)
		b.refusal = &Refusal{Reason: "too-late", RetryAfter: time.Duration(ms) * time.Millisecond}
	case "beliefs":
		var ms int
		d.MaybeScanArgs(t, "age", &ms)
		b.age = time.Duration(ms) * time.Millisecond
		b.proven = !d.HasArg("unproven")
		if d.HasArg("none") {
			b.catalog = nil
		}
	case "busy":
		b.busy = "router-full"
	case "repeats":
		d.ScanArgs(t, "left", &b.repeats)
	case "closing":
		var ms int
		d.ScanArgs(t, "since", &ms)
		b.closing = time.Duration(ms) * time.Millisecond
	case "call":
		return b.call(d, t)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}
