// Package flooder contains the tests of clients that are not under the operators' control. Each starts a router
// process on loopback with lowered limits and floods one of its ports with connections that never send a proper
// request. The tests check what does not depend on the speed of the machine: the process goes on, stays within its
// memory and descriptors, and still answers ordinary requests.
package flooder

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"papayapaddle/platform/standin"
)

// Limits of the router process. The bounds are the limits themselves, and the crowd has as many connections as the
// process may have descriptors.
const (
	memoryMB       = 64
	maxDescriptors = 600
	crowdSize      = maxDescriptors
	// maxHeaderBytes is the limit in the configuration, see standin.Cluster.PutConfig.
	maxHeaderBytes = 16 << 10
	// heldBytes is what a connection sends before it pauses: over maxHeaderBytes, and below what the HTTP library
	// takes by itself.
	heldBytes = 3 * maxHeaderBytes
	// overBytes and endlessBytes are what it sends in total. The latter stands for a head without end.
	overBytes    = 16 * maxHeaderBytes
	endlessBytes = 64 * maxHeaderBytes
	// rounds is the number of times that each connection is opened.
	rounds = 3
)

var binary string

// TestMain builds the program, without the race detector, which multiplies the memory.
func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "flooder")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		binary = filepath.Join(dir, "papayapaddle")
		if out, err := exec.Command("go", "build", "-o", binary, "papayapaddle/cmd/papayapaddle").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "go build: %v: %s\n", err, out)
			return 1
		}
		return m.Run()
	}())
}

// flood is what the connections of the crowd send.
type flood struct {
	port port
	// held is sent by each connection of the crowd, which then pauses, and rest afterwards. Both get the number of
	// the connection.
	held, rest func(i int) string
	// responseBytes is the least length of the responses to the crowd and to ordinary clients.
	responseBytes int
}

const requestLine = "POST " + standin.PlainPrefix + "x HTTP/1.1\r\nHost: " + standin.Host + "\r\n"

// fields returns header fields of n bytes in total. Each is short, so that a parsed head is many times as long.
func fields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x:\r\n", 0x1000+i)
	}
	return b.String()[:n]
}

var (
	heldFields    = requestLine + fields(heldBytes)
	overFields    = fields(overBytes) + "\r\n\r\n"
	endlessFields = fields(endlessBytes)
	heldLine      = requestLine + "Long: " + strings.Repeat("x", heldBytes)
	endlessLine   = strings.Repeat("x", endlessBytes)
)

// gobLength is the prefix of a message of 4 bytes' length to the peer port, which uses net/rpc with gob.
func gobLength(n int) string {
	return string([]byte{0xfc, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
}

func nothing(int) string { return "" }

// headsOverLimit are heads over maxHeaderBytes, and at the peer port messages of an eighth of the memory.
func headsOverLimit(p port) flood {
	if p == peerPort {
		const size = memoryMB << 20 / 8
		return flood{port: p, held: func(int) string { return gobLength(size) + endlessLine[:heldBytes] }, rest: func(int) string { return endlessLine[:overBytes] }}
	}
	return flood{port: p, held: func(int) string { return heldFields }, rest: func(int) string { return overFields }}
}

// headsWithoutEnd are heads that never end, of many fields or of a single one, and at the peer port messages of a
// gigabyte.
func headsWithoutEnd(p port) flood {
	if p == peerPort {
		return flood{port: p, held: func(int) string { return gobLength(1<<30-1) + endlessLine[:heldBytes] }, rest: func(int) string { return endlessLine }}
	}
	return flood{port: p, held: func(i int) string { return []string{heldFields, heldLine}[i%2] }, rest: func(i int) string { return []string{endlessFields, endlessLine}[i%2] }}
}

// emptyLines are empty lines without end before a request, and at the peer port also empty messages.
func emptyLines(p port) flood {
	line := func(i int) string { return []string{"\r\n", "\n"}[i%2] }
	if p == peerPort {
		line = func(i int) string { return []string{"\r\n", "\x00"}[i%2] }
	}
	repeat := func(n int) func(int) string {
		return func(i int) string { return strings.Repeat(line(i), n/len(line(i))) }
	}
	return flood{port: p, held: repeat(heldBytes), rest: repeat(endlessBytes)}
}

// slowHeads are heads within the limit that pause half way.
func slowHeads(p port) flood {
	return flood{port: p, held: func(int) string { return requestLine + fields(maxHeaderBytes/2) }, rest: nothing}
}

// slowBodies are requests within the limits whose bodies pause half way.
func slowBodies() flood {
	return flood{port: callerPort, rest: nothing, held: func(i int) string {
		raw := ordinaryRequest(fmt.Sprint("slow-", i), strings.Repeat("b", maxBodyBytes)).Raw()
		return raw[:len(raw)-maxBodyBytes/2]
	}}
}

// slowRejectedBodies are requests of unknown clients whose bodies pause half way. They are short enough for the router to
// keep the connection.
func slowRejectedBodies() flood {
	return flood{port: callerPort, rest: nothing, held: func(i int) string {
		req := ordinaryRequest(fmt.Sprint("unknown-", i), strings.Repeat("b", maxBodyBytes/16))
		req.APIKey = "unknown"
		raw := req.Raw()
		return raw[:len(raw)-maxBodyBytes/32]
	}}
}

// manyFields are requests for streams within the limits, whose heads are many times as long once they are parsed.
func manyFields() flood {
	return flood{port: callerPort, rest: nothing, held: func(i int) string {
		req := standin.Request{
			Path: standin.ModelPrefix + "x", ID: fmt.Sprint("many-", i), APIKey: standin.APIKey, TokenUsage: "100,3000", SharedPart: fmt.Sprint("part-", i),
		}
		head, body, _ := strings.Cut(req.Raw(), "\r\n\r\n")
		more := fields(maxHeaderBytes - len(head) - 4)
		return head + "\r\n" + more[:strings.LastIndex(more, "\r\n")] + "\r\n\r\n" + body
	}}
}

// slowReaders are requests with long responses that the clients do not read.
func slowReaders() flood {
	return flood{port: callerPort, rest: nothing, responseBytes: 200 << 10, held: func(i int) string {
		return ordinaryRequest(fmt.Sprint("unread-", i), "").Raw()
	}}
}

// idle are connections that send nothing, or one request and nothing after it.
func idle(p port) flood {
	return flood{port: p, rest: nothing, held: func(i int) string {
		switch {
		case i%2 == 0 || p == peerPort:
			return ""
		case p == callerPort:
			return ordinaryRequest(fmt.Sprint("idle-", i), "").Raw()
		}
		return "GET " + p.path() + " HTTP/1.1\r\nHost: x\r\n\r\n"
	}}
}

// These guard against routers that run out of memory or descriptors, or hang, because clients send heads over the
// limit.

func TestHeadsOverLimitAtCallers(t *testing.T)   { run(t, headsOverLimit(callerPort)) }
func TestHeadsOverLimitAtRefusals(t *testing.T)  { run(t, headsOverLimit(refusalPort)) }
func TestHeadsOverLimitAtReady(t *testing.T)     { run(t, headsOverLimit(readyPort)) }
func TestHeadsOverLimitAtPeers(t *testing.T)     { run(t, headsOverLimit(peerPort)) }
func TestHeadsOverLimitAtOperators(t *testing.T) { run(t, headsOverLimit(operatorPort)) }

// The same for heads without end.

func TestHeadsWithoutEndAtCallers(t *testing.T)   { run(t, headsWithoutEnd(callerPort)) }
func TestHeadsWithoutEndAtRefusals(t *testing.T)  { run(t, headsWithoutEnd(refusalPort)) }
func TestHeadsWithoutEndAtReady(t *testing.T)     { run(t, headsWithoutEnd(readyPort)) }
func TestHeadsWithoutEndAtPeers(t *testing.T)     { run(t, headsWithoutEnd(peerPort)) }
func TestHeadsWithoutEndAtOperators(t *testing.T) { run(t, headsWithoutEnd(operatorPort)) }

// The same for empty lines without end before a request.

func TestEmptyLinesAtCallers(t *testing.T)   { run(t, emptyLines(callerPort)) }
func TestEmptyLinesAtRefusals(t *testing.T)  { run(t, emptyLines(refusalPort)) }
func TestEmptyLinesAtReady(t *testing.T)     { run(t, emptyLines(readyPort)) }
func TestEmptyLinesAtPeers(t *testing.T)     { run(t, emptyLines(peerPort)) }
func TestEmptyLinesAtOperators(t *testing.T) { run(t, emptyLines(operatorPort)) }

func TestManyFieldsAtCallers(t *testing.T) { run(t, manyFields()) }

// The same for heads and bodies that pause, which keep ordinary clients out as long as they last.

func TestSlowHeadsAtCallers(t *testing.T)   { run(t, slowHeads(callerPort)) }
func TestSlowHeadsAtRefusals(t *testing.T)  { run(t, slowHeads(refusalPort)) }
func TestSlowHeadsAtReady(t *testing.T)     { run(t, slowHeads(readyPort)) }
func TestSlowHeadsAtOperators(t *testing.T) { run(t, slowHeads(operatorPort)) }
func TestSlowBodies(t *testing.T)           { run(t, slowBodies()) }
func TestSlowRejectedBodies(t *testing.T)   { run(t, slowRejectedBodies()) }

// The same for responses that clients do not read.

func TestSlowReadersAtCallers(t *testing.T) { run(t, slowReaders()) }

// The same for more idle connections than the process may have descriptors.

func TestIdleConnectionsAtCallers(t *testing.T)   { run(t, idle(callerPort)) }
func TestIdleConnectionsAtReady(t *testing.T)     { run(t, idle(readyPort)) }
func TestIdleConnectionsAtPeers(t *testing.T)     { run(t, idle(peerPort)) }
func TestIdleConnectionsAtOperators(t *testing.T) { run(t, idle(operatorPort)) }
