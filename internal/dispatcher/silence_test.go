package dispatcher_test

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"papayapaddle/internal/claimer"
	"papayapaddle/internal/connector"
	"papayapaddle/internal/declarer"
	"papayapaddle/internal/dispatcher"
	"papayapaddle/internal/emulator"
	"papayapaddle/internal/encoder"
	"papayapaddle/internal/forwarder"
	"papayapaddle/internal/scheduler"
)

// pausingFleet is a set of servers with one slot each, connected in memory. Each server executes one script of steps for
// each request and repeats the last one.
type pausingFleet struct {
	startedAt time.Time
	names     []string
	scripts   map[string][]string
	dialUntil map[string]time.Duration
	// refuse makes Acquire refuse at once if no slot is free.
	refuse bool
	// callerDelay is how long the caller takes to read an event.
	callerDelay time.Duration

	mu sync.Mutex
	// nextServer is the index of the server that is asked for a slot first.
	nextServer int
	freed      chan struct{}
	busy       map[string]bool
	withdrawn  map[string]bool
	received   map[string]int
	trace      []traceLine
	events     int
	conns      []net.Conn
	// stopped ends the pauses of the servers.
	stopped context.Context
}

// traceLine is what happened at one time, which is a time after the start of the call.
type traceLine struct {
	at   time.Duration
	text string
}

// newPausingFleet parses lines of the form "name [dial-until=MILLIS]: step, step; step", with the scripts of successive
// requests separated by semicolons.
func newPausingFleet(input string) *pausingFleet {
	f := &pausingFleet{
		scripts: map[string][]string{}, dialUntil: map[string]time.Duration{},
		busy: map[string]bool{}, withdrawn: map[string]bool{}, received: map[string]int{},
	}
	for line := range strings.Lines(strings.TrimSpace(input)) {
		head, scripts, _ := strings.Cut(line, ":")
		name, option, _ := strings.Cut(head, " ")
		if v, ok := strings.CutPrefix(option, "dial-until="); ok {
			f.dialUntil[name] = millis(v)
		}
		f.names = append(f.names, name)
		f.scripts[name] = strings.Split(scripts, ";")
	}
	return f
}

func millis(s string) time.Duration {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil {
		panic(err)
	}
	return time.Duration(n) * time.Millisecond
}

// record adds a line with the virtual time to the trace.
func (f *pausingFleet) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trace = append(f.trace, traceLine{at: time.Since(f.startedAt), text: fmt.Sprintf(format, args...)})
}

// recordEvent records an event that the caller gets, with its position in the stream.
func (f *pausingFleet) recordEvent(e forwarder.Event) error {
	f.events++
	f.record("event %d: %s", f.events, e.Data)
	time.Sleep(f.callerDelay)
	return nil
}

// printTrace prints the trace. Lines of the same time are sorted, because they may come from several goroutines.
func (f *pausingFleet) printTrace() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.SortStableFunc(f.trace, func(a, b traceLine) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.text, b.text))
	})
	var b strings.Builder
	for _, l := range f.trace {
		fmt.Fprintf(&b, "%d ms: %s\n", l.at.Milliseconds(), l.text)
	}
	return b.String()
}

func (f *pausingFleet) acquire(ctx context.Context, _ scheduler.Request) (scheduler.Slot, error) {
	for {
		f.mu.Lock()
		freed := f.freed
		for range f.names {
			if ctx.Err() != nil {
				break
			}
			i := f.nextServer
			f.nextServer = (f.nextServer + 1) % len(f.names)
			if name := f.names[i]; !f.busy[name] && !f.withdrawn[name] {
				f.busy[name] = true
				f.mu.Unlock()
				return scheduler.Slot{ID: scheduler.SlotID{Server: uint32(i)}, Server: name}, nil
			}
		}
		f.mu.Unlock()
		if f.refuse {
			return scheduler.Slot{}, &scheduler.Error{Op: "acquire", Kind: scheduler.KindRefused, Err: &scheduler.RefusedError{
				Refusal: scheduler.Refusal{Reason: scheduler.ReasonOverloaded},
			}}
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return scheduler.Slot{}, &scheduler.Error{Op: "acquire", Kind: scheduler.KindCanceled, Err: ctx.Err()}
		}
	}
}

func (f *pausingFleet) release(s scheduler.Slot, r encoder.Release) {
	f.record("%s released, failed=%t charged=%t", s.Server, r.Failed, r.Cost > 0)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy[s.Server] = false
	close(f.freed)
	f.freed = make(chan struct{})
}

func (f *pausingFleet) config() *declarer.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &declarer.Config{BackendServers: map[string]*declarer.BackendServer{}}
	for _, name := range f.names {
		if !f.withdrawn[name] {
			c.BackendServers[name] = &declarer.BackendServer{
				Name: name, Address: name + ":80", NotRunStatuses: []int{http.StatusTooManyRequests},
			}
		}
	}
	return c
}

// sleepUntil waits until a time after the start of the call.
func (f *pausingFleet) sleepUntil(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(time.Until(f.startedAt.Add(d))):
	case <-ctx.Done():
	}
}

func (f *pausingFleet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if until := f.dialUntil[name]; until > 0 {
		f.sleepUntil(ctx, until)
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
	client, server := net.Pipe()
	f.mu.Lock()
	f.conns = append(f.conns, client)
	f.mu.Unlock()
	go f.serve(name, server)
	return client, nil
}

func (f *pausingFleet) closeConns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns {
		conn.Close()
	}
}

func (f *pausingFleet) serve(name string, conn net.Conn) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		f.mu.Lock()
		n := f.received[name]
		f.received[name]++
		f.mu.Unlock()
		f.record("%s got %s %s", name, r.Method, r.URL)
		scripts := f.scripts[name]
		for step := range strings.SplitSeq(scripts[min(n, len(scripts)-1)], ",") {
			if !f.execute(strings.Fields(step), conn, r.Header.Get("X-Request-Id"), name) {
				return
			}
		}
	}
}

// execute executes one step of a script. It reports whether the connection is still open.
func (f *pausingFleet) execute(step []string, w io.Writer, id, name string) bool {
	head := func(status, framing string) string {
		return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id + "\r\n" + framing + "\r\n\r\n"
	}
	event := func(n string) string {
		return "id: " + n + "\ndata: {\"choices\":[{\"text\":\"" + name + n + " \"}]}\n\n"
	}
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	text := ""
	switch step[0] {
	case "until":
		f.sleepUntil(f.stopped, millis(step[1]))
	case "drop":
		return false
	case "half-head":
		text = "HTTP/1.1 200 OK\r\nX-Requ"
	case "rest":
		text = "est-Id: " + id + "\r\nContent-Length: 6\r\n\r\nfrom " + name
	case "head":
		text = head("200 OK", "Content-Length: 6")
	case "half-body":
		text = "from"
	case "rest-body":
		text = " " + name
	case "answer":
		text = head("200 OK", "Content-Length: 6") + "from " + name
	case "busy":
		text = head("429 Too Many Requests", "Content-Length: 0")
	case "error":
		text = head("500 Internal Server Error", "Content-Length: 0")
	case "gone":
		text = head("404 Not Found", "Content-Length: 0")
	case "stream":
		text = head("200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked")
	case "event":
		text = chunk(event(step[1]))
	case "unnumbered":
		text = chunk(strings.SplitAfterN(event(step[1]), "\n", 2)[1])
	case "half-event":
		text = chunk(event(step[1])[:20])
	case "rest-event":
		text = chunk(event(step[1])[20:])
	case "done":
		text = chunk("data: [DONE]\n\n") + "0\r\n\r\n"
	default:
		panic("unknown step " + step[0])
	}
	_, err := io.WriteString(w, text)
	return err == nil
}

// handlerTransport passes the requests of an HTTP client to a handler without a network.
type handlerTransport struct {
	handler http.Handler
	// pause waits while the handler is silent.
	pause func(context.Context)
}

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	h.pause(r.Context())
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	return w.Result(), r.Context().Err()
}

// call sends one request through a dispatcher and returns the trace.
func (f *pausingFleet) call(t *testing.T, data *datadriven.TestData) string {
	var stop context.CancelFunc
	f.stopped, stop = context.WithCancel(t.Context())
	defer stop()
	f.startedAt = time.Now()
	f.freed = make(chan struct{})
	f.refuse = data.HasArg("refuse")
	platform := emulator.NewPlatform(1)
	if arg, ok := data.Arg("slow-caller"); ok {
		f.callerDelay = millis(arg.Vals[0])
	}
	var storeUntil time.Duration
	if arg, ok := data.Arg("store-until"); ok {
		storeUntil = millis(arg.Vals[0])
	}
	transport := handlerTransport{platform, func(ctx context.Context) { f.sleepUntil(ctx, storeUntil) }}
	store := &connector.Client{BaseURL: "http://platform", HTTP: &http.Client{Transport: transport}}
	d := &dispatcher.Dispatcher{
		Config: f.config, Forwarder: &forwarder.Forwarder{Dial: f.dial},
		Claimer: &claimer.Claimer{Store: claimer.NewStore(store), Holder: "r@1"},
		Slots:   dispatcher.SlotAllocator{Acquire: f.acquire, Release: f.release},
	}
	defer f.closeConns()
	if data.HasArg("no-budget") {
		spendRetryBudget(t, d)
	}
	if arg, ok := data.Arg("withdraw"); ok {
		time.AfterFunc(millis(arg.Vals[1]), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.withdrawn[arg.Vals[0]] = true
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if arg, ok := data.Arg("leave"); ok {
		time.AfterFunc(millis(arg.Vals[0]), cancel)
	}
	r := newRequest(data, 1)
	r.Stream = r.Stream && !data.HasArg("joined")
	if data.HasArg("unsafe") {
		r.Kind.Idempotent = false
	}
	if arg, ok := data.Arg("deadline"); ok {
		r.Deadline = time.Now().Add(millis(arg.Vals[0]))
	}
	result := d.Do(ctx, r, dispatcher.ResponseWriter{
		WriteResponse: func(status int, _ http.Header, b []byte) error { f.record("answer: %d %s", status, b); return nil },
		WriteEvent:    f.recordEvent,
		EndStream:     func() error { f.record("stream ended"); return nil },
		AbortStream:   func(dispatcher.Failure) { f.record("stream cut") },
	})
	f.record("outcome: %s", result.Outcome)
	if result.Failure != nil {
		f.record("outcome: told %d %s", result.Failure.Status, result.Failure.Title)
	}
	d.Wait()
	return f.printTrace()
}

// spendRetryBudget makes requests that fail until the dispatcher no longer retries.
func spendRetryBudget(t *testing.T, d *dispatcher.Dispatcher) {
	dial, slots := d.Forwarder.Dial, d.Slots
	d.Forwarder.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("connection refused") }
	d.Slots.Acquire = func(context.Context, scheduler.Request) (scheduler.Slot, error) {
		return scheduler.Slot{Server: "a"}, nil
	}
	d.Slots.Release = func(scheduler.Slot, encoder.Release) {}
	for range 8 {
		d.Do(t.Context(), newRequest(&datadriven.TestData{}, 1), dispatcher.ResponseWriter{})
	}
	d.Forwarder.Dial, d.Slots = dial, slots
}

// TestSilentServerLosesNoAnswer guards against answers that are given up although their server is sound and only silent
// for a second or two. The servers command sets the scripts of the servers, and the call command sends a request and
// prints what happened at which time.
func TestSilentServerLosesNoAnswer(t *testing.T) {
	datadriven.Walk(t, "testdata/silence", func(t *testing.T, path string) {
		var f *pausingFleet
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) (output string) {
			if d.Cmd == "servers" {
				f = newPausingFleet(d.Input)
				return ""
			}
			synctest.Test(t, func(t *testing.T) { output = f.call(t, d) })
			return output
		})
	})
}
