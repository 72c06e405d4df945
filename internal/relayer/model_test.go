package relayer

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"papayapaddle/internal/cataloger"
)

// conduct is one way in which a server may treat a request. Runs says that it may
// have run it.
type conduct struct {
	name   string
	script string
	runs   bool
}

const (
	signed = `HTTP/1.1 200 OK\r\nId: ID\r\nSigned: x\r\nContent-Length: 4\r\n\r\ngood`
	stray  = `HTTP/1.1 200 OK\r\nId: other\r\nSigned: x\r\nContent-Length: 5\r\n\r\nstray`
)

// conducts are all that PROTOCOL and practice know of servers, for requests that
// are no streams.
var conducts = []conduct{
	{"cannot be reached", "@refuse", false},
	{"closes unread", "@close", true},
	{"refuses", `HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`, false},
	{"refuses without saying so", `HTTP/1.1 503 Full\r\nId: ID\r\nContent-Length: 0\r\n\r\n`, true},
	{"is another server", `HTTP/1.1 421 No\r\nId: ID\r\nContent-Length: 0\r\n\r\n`, false},
	{"answers", signed, true},
	{"answers unsigned", `HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 4\r\n\r\nfake`, true},
	{"fails", `HTTP/1.1 500 Bad\r\nId: ID\r\nSigned: x\r\nContent-Length: 0\r\n\r\n`, true},
	{"breaks off", `HTTP/1.1 200 OK\r\nId: ID\r\nSigned: x\r\nContent-Length: 9\r\n\r\ngood` + "\n@close", true},
	{"is silent", "@hang", true},
	{"answers another request first", stray + signed, true},
	{"answers another request only", stray + "\n@close", true},
	{"sends garbage", "what?\n@close", true},
	{"ends an answer without a length", `HTTP/1.1 200 OK\r\nId: ID\r\nSigned: x\r\nConnection: close\r\n\r\ngood` + "\n@close", true},
}

// promised are the statuses that promise that a request has not run.
func promised(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// TestAtMostOnce tries all pairs of conducts of two servers in turn, for a request
// that may be repeated and one that may not, with and without a budget for
// repeats: what may have run is neither sent again nor refused, unless it may be
// repeated, and a success is a server's whole and signed answer.
func TestAtMostOnce(t *testing.T) {
	for _, path := range []string{"/book/x", "/read/x"} {
		for _, repeats := range []int{0, 100} {
			for _, first := range conducts {
				for _, second := range conducts {
					name := fmt.Sprintf("%s repeats=%d: a %s, b %s", path, repeats, first.name, second.name)
					synctest.Test(t, func(t *testing.T) {
						b := newBench(t)
						b.repeats, b.places = repeats, []string{"a", "b"}
						b.back.scripts = map[string][]string{"a": {first.script}, "b": {second.script}}
						w, cut := b.plain(path)
						reached := strings.Join(b.back.log, "\n")
						ran := 0
						for id, c := range map[string]conduct{"a": first, "b": second} {
							if c.runs && strings.Contains(reached, id+" got") {
								ran++
							}
						}
						if path == "/book/x" && ran > 1 {
							t.Errorf("%s: may have run %d times", name, ran)
						}
						if ran > 0 && !cut && promised(w.Code) {
							t.Errorf("%s: refused with %d though it may have run", name, w.Code)
						}
						if repeats == 0 && strings.Count(reached, " got ") > 1 {
							t.Errorf("%s: sent twice without a budget", name)
						}
						if w.Code < 300 && !cut && (w.Body.String() != "good" || w.Header().Get("Signed") == "") {
							t.Errorf("%s: answered %q, signed %q", name, w.Body, w.Header().Get("Signed"))
						}
					})
				}
			}
		}
	}
}

// plain sends one request and waits until all is quiet.
func (b *bench) plain(path string) (*httptest.ResponseRecorder, bool) {
	defer func() {
		close(b.back.stop)
		b.sender.Keep(nil)
		synctest.Wait()
	}()
	req := httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader("body"))
	req.Header.Set("Id", "q")
	req.Header.Set("Key", "k")
	w := httptest.NewRecorder()
	cut := serve(b.r, w, req)
	synctest.Wait()
	return w, cut
}

// events is the number of events of a whole stream in these tests.
const events = 4

// eventServer finds the server's name in an event's data.
var eventServer = regexp.MustCompile(`data: ([ab])`)

// TestStreamsAreNeverJoined lets servers send pieces of streams, whole, cut,
// repeated, in wrong order and mixed with garbage. What the caller gets rises
// without repeats, comes from one server unless the stream may be taken up
// elsewhere, and has no gap there after numbers that followed one on the other. A
// server's proper end is believed, as no event says that it is the last.
func TestStreamsAreNeverJoined(t *testing.T) {
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
			n := rapid.IntRange(1, events+1).Draw(t, "event")
			return fmt.Sprintf(`id: %d\ndata: SERVER-%d\n\n`, n, n)
		}
	})
	script := rapid.Custom(func(t *rapid.T) string {
		head := `HTTP/1.1 200 OK\r\nId: ID\r\nSigned: x\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n`
		var body []string
		if rapid.IntRange(0, 2).Draw(t, "whole") > 0 {
			for n := 1; n <= events; n++ {
				body = append(body, fmt.Sprintf(`id: %d\ndata: SERVER-%d\n\n`, n, n))
			}
			body = body[:rapid.IntRange(0, events).Draw(t, "cut")]
		} else {
			body = rapid.SliceOfN(piece, 0, 6).Draw(t, "pieces")
		}
		if rapid.Bool().Draw(t, "chunked") {
			head = strings.Replace(head, `Connection: close`, `Transfer-Encoding: chunked`, 1)
			for i, p := range body {
				if !strings.HasPrefix(p, "@") {
					body[i] = fmt.Sprintf(`%x\r\n%s\r\n`, len(strings.ReplaceAll(strings.ReplaceAll(p, "SERVER", "a"), `\n`, "\n")), p)
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
		var wrong string
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t)
			b.places, b.back.scripts = []string{"a", "b"}, scripts
			w, cut := b.plain(path)
			wrong = check(w.Body.String(), path == "/chat/x")
			if wrong == "" && !cut && w.Code < 300 && w.Header().Get("Signed") == "" {
				wrong = "a success without signature"
			}
			if wrong != "" {
				wrong += fmt.Sprintf(": %d cut=%v %q", w.Code, cut, w.Body)
			}
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// check says what is wrong with the events that a caller got.
func check(body string, resumable bool) string {
	from := map[string]bool{}
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
			from[m[1]] = true
		}
		if n <= last {
			return "an event again or out of order"
		}
		if resumable && last > 0 && consecutive && n != last+1 {
			return "a gap"
		}
		consecutive = consecutive && n == last+1
		last = n
	}
	if !resumable && len(from) > 1 {
		return "pieces of two runs"
	}
	return ""
}

// TestKeysNeedProof is the last word on a key: whatever the router believed when
// the request came, a key that it cannot prove valid at the moment of sending is
// not sent.
func TestKeysNeedProof(t *testing.T) {
	for _, at := range []string{"before", "while it waits"} {
		for _, change := range []string{"proof too old", "unproven", "key gone", "route moved", "nothing"} {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				b.places = []string{"a"}
				b.back.scripts = map[string][]string{"a": {signed}}
				apply := func() {
					switch change {
					case "proof too old":
						b.age = b.r.MaxAge + 1
					case "unproven":
						b.proven = false
					case "key gone":
						c := *b.catalog
						c.Workspaces = nil
						b.catalog = index(t, c)
					case "route moved":
						c := *b.catalog
						c.Services = map[string]*cataloger.Service{"s": c.Services["s"], "other": {Name: "other"}}
						c.Routes = []*cataloger.Route{{
							Name: "book", Host: "h", Prefix: "/book/", Kind: cataloger.RouteNonIdempotent, MaxAttempts: 1,
							Targets: []cataloger.Target{{Service: "other", Weight: 1}},
						}}
						b.catalog = index(t, c)
					}
				}
				if at == "before" {
					apply()
				} else {
					b.waiting = apply
				}
				w, _ := b.plain("/book/x")
				sent := len(b.back.log) > 0 && strings.Contains(strings.Join(b.back.log, "\n"), "a got")
				want := change == "nothing" || change == "route moved" && at == "before"
				if sent != want {
					t.Errorf("%s %s: sent %v, status %d", change, at, sent, w.Code)
				}
				if !sent && w.Code != http.StatusServiceUnavailable && w.Code != http.StatusUnauthorized {
					t.Errorf("%s %s: status %d", change, at, w.Code)
				}
			})
		}
	}
}

func index(t *testing.T, c cataloger.Catalog) *cataloger.Catalog {
	out, err := cataloger.New(c)
	if err != nil {
		t.Fatal(err)
	}
	return out
}
