package relayer

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"papayapaddle/internal/cataloger"
)

// serverBehavior is one way in which a server may respond to a request.
type serverBehavior struct {
	name   string
	script string
	// mayRun is true if the server may have run the request.
	mayRun bool
}

const (
	signedResponse    = `HTTP/1.1 200 OK\r\nId: ID\r\nSigned: x\r\nContent-Length: 4\r\n\r\ngood`
	unrelatedResponse = `HTTP/1.1 200 OK\r\nId: other\r\nSigned: x\r\nContent-Length: 5\r\n\r\nstray`
)

// serverBehaviors are the responses and connection failures that can occur for requests that are
// not streams.
var serverBehaviors = []serverBehavior{
	{"is unreachable", "@refuse", false},
	{"closes without a response", "@close", true},
	{"refuses", `HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`, false},
	{"refuses without Not-Run", `HTTP/1.1 503 Full\r\nId: ID\r\nContent-Length: 0\r\n\r\n`, true},
	{"is another server", `HTTP/1.1 421 No\r\nId: ID\r\nContent-Length: 0\r\n\r\n`, false},
	{"succeeds", signedResponse, true},
	{"succeeds unsigned", `HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 4\r\n\r\nfake`, true},
	{"fails", `HTTP/1.1 500 Bad\r\nId: ID\r\nSigned: x\r\nContent-Length: 0\r\n\r\n`, true},
	{
		"truncates the response",
		`HTTP/1.1 200 OK\r\nId: ID\r\nSigned: x\r\nContent-Length: 9\r\n\r\ngood` + "\n@close", true,
	},
	{"hangs", "@hang", true},
	{"responds to another request first", unrelatedResponse + signedResponse, true},
	{"responds to another request only", unrelatedResponse + "\n@close", true},
	{"sends garbage", "what?\n@close", true},
	{
		"responds without a length",
		`HTTP/1.1 200 OK\r\nId: ID\r\nSigned: x\r\nConnection: close\r\n\r\ngood` + "\n@close", true,
	},
}

// isNotRunStatus reports whether callers conclude from a status that the request has not run.
func isNotRunStatus(code int) bool {
	switch code {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// TestRequestRunsAtMostOnce tries all pairs of behaviors of two servers, for an idempotent and a
// non-idempotent request, with and without a retry budget. A non-idempotent request that may have
// run must not be retried, none that may have run may be refused as not run, and a success must be
// a complete and signed response.
func TestRequestRunsAtMostOnce(t *testing.T) {
	for _, path := range []string{"/book/x", "/read/x"} {
		for _, retries := range []int{0, 100} {
			for _, first := range serverBehaviors {
				for _, second := range serverBehaviors {
					name := fmt.Sprintf("%s retries=%d: a %s, b %s", path, retries, first.name, second.name)
					synctest.Test(t, func(t *testing.T) {
						tr := newTestRelayer(t)
						tr.retriesLeft, tr.servers = retries, []string{"a", "b"}
						tr.backend.scripts = map[string][]string{"a": {first.script}, "b": {second.script}}
						w, aborted := tr.post(path)
						received := strings.Join(tr.backend.log, "\n")
						runs := 0
						for id, behavior := range map[string]serverBehavior{"a": first, "b": second} {
							if behavior.mayRun && strings.Contains(received, id+" got") {
								runs++
							}
						}
						if path == "/book/x" && runs > 1 {
							t.Errorf("%s: may have run %d times", name, runs)
						}
						if runs > 0 && !aborted && isNotRunStatus(w.Code) {
							t.Errorf("%s: refused with status %d but may have run", name, w.Code)
						}
						if retries == 0 && strings.Count(received, " got ") > 1 {
							t.Errorf("%s: retried without a retry budget", name)
						}
						if w.Code < 300 && !aborted && (w.Body.String() != "good" || w.Header().Get("Signed") == "") {
							t.Errorf("%s: got body %q, Signed %q", name, w.Body, w.Header().Get("Signed"))
						}
					})
				}
			}
		}
	}
}

// post sends one request, ends the scripts and waits for all goroutines. It reports whether the
// handler aborted the connection.
func (tr *testRelayer) post(path string) (*httptest.ResponseRecorder, bool) {
	defer func() {
		close(tr.backend.stop)
		tr.sender.RetainServers(nil)
		synctest.Wait()
	}()
	req := httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader("body"))
	req.Header.Set("Id", "q")
	req.Header.Set("Key", "k")
	w := httptest.NewRecorder()
	aborted := serveHTTP(tr.relayer, w, req)
	synctest.Wait()
	return w, aborted
}

// streamLength is the number of events of a complete stream.
const streamLength = 4

// eventServer matches the server's ID in the data of an event.
var eventServer = regexp.MustCompile(`data: ([ab])`)

// TestStreamsOfDifferentRunsAreNotMixed lets servers send streams whose events are complete,
// truncated, repeated, out of order or mixed with garbage, and which pause for longer than the event timeout. The IDs of the events that the caller
// receives must increase. A stream that is not resumable must come from one server. A resumable
// one must have no gap after consecutive IDs. A stream that its server ends properly counts as
// complete, as events do not tell which one is the last.
func TestStreamsOfDifferentRunsAreNotMixed(t *testing.T) {
	piece := rapid.Custom(func(t *rapid.T) string {
		switch rapid.IntRange(0, 9).Draw(t, "piece") {
		case 0:
			return `id: 2\ndata: SERVER`
		case 1:
			return "@wait 300"
		case 2:
			return ": comment"
		case 3:
			return `\n\n`
		default:
			n := rapid.IntRange(1, streamLength+1).Draw(t, "event")
			return fmt.Sprintf(`id: %d\ndata: SERVER-%d\n\n`, n, n)
		}
	})
	script := rapid.Custom(func(t *rapid.T) string {
		head := `HTTP/1.1 200 OK\r\nId: ID\r\nSigned: x\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n`
		var body []string
		if rapid.IntRange(0, 2).Draw(t, "whole") > 0 {
			for n := 1; n <= streamLength; n++ {
				body = append(body, fmt.Sprintf(`id: %d\ndata: SERVER-%d\n\n`, n, n))
			}
			body = body[:rapid.IntRange(0, streamLength).Draw(t, "cut")]
		} else {
			body = rapid.SliceOfN(piece, 0, 6).Draw(t, "pieces")
		}
		if rapid.Bool().Draw(t, "pauses") {
			i := rapid.IntRange(0, len(body)).Draw(t, "pause-at")
			body = slices.Insert(body, i, fmt.Sprintf("@wait %d", rapid.IntRange(900, 2100).Draw(t, "pause-ms")))
		}
		if rapid.Bool().Draw(t, "chunked") {
			head = strings.Replace(head, `Connection: close`, `Transfer-Encoding: chunked`, 1)
			for i, p := range body {
				if !strings.HasPrefix(p, "@") {
					body[i] = fmt.Sprintf(`%x\r\n%s\r\n`,
						len(strings.ReplaceAll(strings.ReplaceAll(p, "SERVER", "a"), `\n`, "\n")), p)
				}
			}
			if rapid.Bool().Draw(t, "ended") {
				body = append(body, `0\r\n\r\n`)
			}
		}
		return head + "\n" + strings.Join(append(body, "@close"), "\n")
	})
	rapid.Check(t, func(rt *rapid.T) {
		path := rapid.SampledFrom([]string{"/chat/x", "/review/x"}).Draw(rt, "path")
		scripts := map[string][]string{}
		for _, id := range []string{"a", "b"} {
			scripts[id] = []string{strings.ReplaceAll(script.Draw(rt, id), "SERVER", id)}
		}
		var violation string
		synctest.Test(t, func(t *testing.T) {
			tr := newTestRelayer(t)
			tr.servers, tr.backend.scripts = []string{"a", "b"}, scripts
			w, aborted := tr.post(path)
			violation = checkEvents(w.Body.String(), path == "/chat/x")
			if violation == "" && !aborted && w.Code < 300 && w.Header().Get("Signed") == "" {
				violation = "success without signature"
			}
			if violation != "" {
				violation += fmt.Sprintf(": status %d, aborted=%v, body %q", w.Code, aborted, w.Body)
			}
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// checkEvents returns what is wrong with the events that a caller received, or "".
func checkEvents(body string, resumable bool) string {
	runs := map[string]bool{}
	last, consecutive := 0, true
	for _, event := range strings.SplitAfter(body, "\n\n") {
		id, ok := eventID([]byte(event))
		if !ok {
			continue
		}
		n, err := strconv.Atoi(id)
		if err != nil {
			return err.Error()
		}
		if m := eventServer.FindStringSubmatch(event); m != nil {
			runs[m[1]] = true
		}
		if n <= last {
			return "event repeated or out of order"
		}
		if resumable && last > 0 && consecutive && n != last+1 {
			return "event missing"
		}
		consecutive = consecutive && n == last+1
		last = n
	}
	if !resumable && len(runs) > 1 {
		return "events of two runs"
	}
	return ""
}

// TestKeyNeedsCurrentConfig checks that a request is not sent if its key is no longer known to be
// valid, also if the configuration changes or becomes outdated while the request waits for a
// server.
func TestKeyNeedsCurrentConfig(t *testing.T) {
	for _, when := range []string{"before", "while waiting"} {
		for _, change := range []string{
			"config too old", "config age unknown", "key deleted", "route changed", "none",
		} {
			synctest.Test(t, func(t *testing.T) {
				tr := newTestRelayer(t)
				tr.servers = []string{"a"}
				tr.backend.scripts = map[string][]string{"a": {signedResponse}}
				applyChange := func() {
					switch change {
					case "config too old":
						tr.configAge = tr.relayer.MaxConfigAge + 1
					case "config age unknown":
						tr.configAgeKnown = false
					case "key deleted":
						c := *tr.catalog
						c.Workspaces = nil
						tr.catalog = newCatalog(t, c)
					case "route changed":
						c := *tr.catalog
						c.Services = map[string]*cataloger.Service{"s": c.Services["s"], "other": {Name: "other"}}
						c.Routes = []*cataloger.Route{{
							Name: "book", Host: "h", Prefix: "/book/", Kind: cataloger.RouteNonIdempotent, MaxAttempts: 1,
							Targets: []cataloger.Target{{Service: "other", Weight: 1}},
						}}
						tr.catalog = newCatalog(t, c)
					}
				}
				if when == "before" {
					applyChange()
				} else {
					tr.onAssign = applyChange
				}
				w, _ := tr.post("/book/x")
				sent := len(tr.backend.log) > 0 && strings.Contains(strings.Join(tr.backend.log, "\n"), "a got")
				want := change == "none" || change == "route changed" && when == "before"
				if sent != want {
					t.Errorf("%s, %s: got sent=%v, status %d", change, when, sent, w.Code)
				}
				if !sent && w.Code != http.StatusServiceUnavailable && w.Code != http.StatusUnauthorized {
					t.Errorf("%s, %s: got status %d", change, when, w.Code)
				}
			})
		}
	}
}

func newCatalog(t *testing.T, c cataloger.Catalog) *cataloger.Catalog {
	out, err := cataloger.New(c)
	if err != nil {
		t.Fatal(err)
	}
	return out
}
