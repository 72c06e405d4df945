package relayer

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
)

// TestTornResponseHeadIsNoAnswer lets a server close the connection after each byte of a response head. The
// caller must not get a success, whose body would be empty or short, nor a promise that the request has not
// run. A head without a length would be complete with an empty body.
func TestTornResponseHeadIsNoAnswer(t *testing.T) {
	heads := map[string]string{
		"with a length":       "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: x\r\nContent-Length: 14\r\n\r\n",
		"without a length":    "HTTP/1.1 200 OK\r\nSigned: x\r\nId: ID\r\n\r\n",
		"in chunks":           "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: x\r\nTransfer-Encoding: chunked\r\n\r\n",
		"of a stream":         "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: x\r\nContent-Type: text/event-stream\r\n\r\n",
		"after informational": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nSigned: x\r\n\r\n",
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\nId: ID\r\nSigned: x\r\n\r\n",
		"of a refusal":        "HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	}
	escape := strings.NewReplacer("\r", `\r`, "\n", `\n`)
	for name, head := range heads {
		for _, path := range []string{"/book/x", "/review/x", "/chat/x"} {
			for cut := range len(head) {
				synctest.Test(t, func(t *testing.T) {
					tr := newTestRelayer(t)
					tr.servers = []string{"a"}
					tr.backend.scripts = map[string][]string{"a": {escape.Replace(head[:cut]) + "\n@close"}}
					w, aborted := tr.post(path)
					if !aborted && (w.Code < 300 || isNotRunStatus(w.Code)) {
						t.Errorf("head %s, %s, cut at byte %d %q: status %d, body %q", name, path, cut, head[max(0, cut-12):cut], w.Code, w.Body)
					}
					if !aborted && w.Code == http.StatusOK {
						t.Error(fmt.Sprint("complete answer of a torn head: ", w.Header()))
					}
				})
			}
		}
	}
}
