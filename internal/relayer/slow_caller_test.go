package relayer

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowCaller records a response whose event with ID 2 takes a while to write, as its caller does not read.
type slowCaller struct {
	*httptest.ResponseRecorder
	delay   time.Duration
	flushes []flush
}

// flush says how much of the response has been sent at a time.
type flush struct {
	at    time.Time
	bytes int
}

func (w *slowCaller) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte("id: 2\n")) {
		time.Sleep(w.delay)
	}
	return w.ResponseRecorder.Write(p)
}

func (w *slowCaller) Flush() {
	w.flushes = append(w.flushes, flush{time.Now(), w.Body.Len()})
}

// Parts of scripts.
const (
	streamHead = `HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n` + "\n"
	event1     = `c\r\nid: 1\ndata\n\n\r\n` + "\n"
	event2     = `c\r\nid: 2\ndata\n\n\r\n` + "\n"
	// rest is the events 2 to 4 and the end of the stream in one piece.
	rest = `c\r\nid: 2\ndata\n\n\r\nc\r\nid: 3\ndata\n\n\r\nc\r\nid: 4\ndata\n\n\r\n0\r\n\r\n`
)

// streamResult is what a caller got of a stream.
type streamResult struct {
	body    string
	cut     bool
	started time.Time
	took    time.Duration
	flushes []flush
	// ended is when the attempt on a server ended, by server.
	ended map[string]time.Duration
}

// callSlowly sends a request for a stream to s1, and to s2 as its standby, with scripted responses.
func callSlowly(t *testing.T, scripts map[string]string, patience string, delay time.Duration) (out streamResult) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTestRelayer(t)
		defer func() {
			close(tr.backend.stop)
			tr.sender.RetainServers(nil)
			synctest.Wait()
		}()
		tr.servers = []string{"s1", "s2"}
		for id, script := range scripts {
			tr.backend.scripts[id] = []string{script}
		}
		req := httptest.NewRequest("POST", "http://h/chat/1", strings.NewReader("x"))
		req.Header.Set("Id", "q")
		req.Header.Set("Key", "k")
		req.Header.Set("Patience", patience)
		w := &slowCaller{ResponseRecorder: httptest.NewRecorder(), delay: delay}
		start := time.Now()
		out.started, out.ended = start, map[string]time.Duration{}
		tr.relayer.AssignServer = func(ctx context.Context, call *Call) (*Assignment, *Refusal) {
			a, refusal := tr.assignServer(ctx, call)
			if a != nil {
				release := a.Release
				a.Release = func(result AttemptResult) {
					out.ended[a.Server.ID] = time.Since(start)
					release(result)
				}
			}
			return a, refusal
		}
		out.cut = serveHTTP(tr.relayer, w, req)
		out.body, out.took, out.flushes = w.Body.String(), time.Since(start), w.flushes
	})
	return out
}

// Guards against a stream that ends as complete without its last events: at the deadline an attempt that had ended made the
// router drop what the other one had still sent, and then take its proper end.
func TestDeadlineDropsNoEventOfCompleteStream(t *testing.T) {
	c := qt.New(t)
	r := callSlowly(t, map[string]string{
		"s1": streamHead + event1 + "@hang",
		"s2": streamHead + rest,
	}, "2000", 1500*time.Millisecond)
	c.Logf("cut %v after %v: %q", r.cut, r.took, r.body)
	c.Assert(r.cut || strings.Contains(r.body, "id: 4\n"), qt.IsTrue)
}

// Guards against a request that never ends: at the deadline the end of an abandoned attempt was received beside the proper end
// of the other one, and then waited for once more.
func TestDeadlineEndsRequestWithAbandonedAttempt(t *testing.T) {
	c := qt.New(t)
	r := callSlowly(t, map[string]string{
		"s1": streamHead + event1 + "@wait 1300\n" + event2 + `0\r\n\r\n`,
		"s2": "@hang",
	}, "2000", 1500*time.Millisecond)
	c.Assert(r.took <= 3*time.Second, qt.IsTrue, qt.Commentf("took %v", r.took))
}

// Guards against two servers that work on a request while its caller does not read: the slower one was closed only after the
// event of the other one had been written.
func TestSlowCallerDoesNotKeepOvertakenAttempt(t *testing.T) {
	c := qt.New(t)
	r := callSlowly(t, map[string]string{
		"s1": streamHead + event1 + "@hang",
		"s2": streamHead + rest,
	}, "15000", 5*time.Second)
	c.Assert(r.body, qt.Contains, "id: 4\n")
	c.Assert(r.ended["s1"] < 1400*time.Millisecond, qt.IsTrue, qt.Commentf("s1 ended after %v", r.ended["s1"]))
}

// Guards against an event that is withheld until its server, which stalls within the next event, goes on.
func TestStallWithinEventDelaysNoOtherEvent(t *testing.T) {
	c := qt.New(t)
	r := callSlowly(t, map[string]string{
		"s1": streamHead + `11\r\nid: 1\ndata\n\nid: 2\r\n` + "\n@wait 900\n" + `7\r\n\ndata\n\n\r\n0\r\n\r\n`,
	}, "15000", 0)
	c.Assert(r.body, qt.Equals, "id: 1\ndata\n\nid: 2\ndata\n\n")
	c.Assert(r.flushes, qt.Not(qt.HasLen), 0)
	first := r.flushes[0]
	c.Assert(first.at.Sub(r.started) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%d bytes sent after %v", first.bytes, first.at.Sub(r.started)))
}
