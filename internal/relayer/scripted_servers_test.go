package relayer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"papayapaddle/internal/verifier"
)

// scriptedServers responds to each request to a server with the server's next script. A script
// consists of raw bytes, in which ID stands for the request's ID, and of the commands @wait MS,
// @close and @hang, each on a line of its own. The script @refuse makes dialing fail.
type scriptedServers struct {
	mu      sync.Mutex
	scripts map[string][]string
	log     []string
	// stop ends waiting scripts when it is closed.
	stop chan struct{}
}

func (b *scriptedServers) logf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.log = append(b.log, fmt.Sprintf(format, args...))
}

func (b *scriptedServers) nextScript(server string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.scripts[server]
	if len(s) == 0 {
		return "", false
	}
	b.scripts[server] = s[1:]
	return s[0], true
}

func (b *scriptedServers) dial(_ context.Context, _, address string) (net.Conn, error) {
	b.mu.Lock()
	refused := len(b.scripts[address]) > 0 && b.scripts[address][0] == "@refuse"
	if refused {
		b.scripts[address] = b.scripts[address][1:]
	}
	b.mu.Unlock()
	if refused {
		return nil, &net.OpError{Op: "dial", Err: io.ErrClosedPipe}
	}
	client, server := net.Pipe()
	go b.serve(address, server)
	return client, nil
}

func (b *scriptedServers) serve(server string, conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		line := fmt.Sprintf("%s got %s %s %q workspace=%q",
			server, req.Method, req.URL.Path, body, req.Header.Get("Workspace"))
		if l := req.Header.Get("Last"); l != "" {
			line += " last=" + l
		}
		b.logf("%s", line)
		script, ok := b.nextScript(server)
		if !ok {
			b.logf("%s has no script", server)
			return
		}
		if !b.runScript(conn, script, req.Header.Get("Id")) {
			return
		}
	}
}

// runScript writes a script to the connection. It returns false if the connection must be closed.
func (b *scriptedServers) runScript(conn net.Conn, script, id string) bool {
	script = strings.ReplaceAll(script, "ID", id)
	for line := range strings.Lines(script) {
		line = strings.TrimSuffix(line, "\n")
		switch command, arg, _ := strings.Cut(line, " "); command {
		case "@wait":
			ms, _ := strconv.Atoi(arg)
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

// testWatch watches a server of which the tests say whether it has ended.
type testWatch struct {
	tr     *testRelayer
	server string
}

func (w testWatch) Outlived(context.Context, time.Time) (bool, verifier.Cause) {
	return !w.tr.ended[w.server], verifier.CauseRefused
}

func (w testWatch) Stop() {}
