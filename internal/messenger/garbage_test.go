package messenger

import (
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"testing"

	"pgregory.net/rapid"

	"papayapaddle/internal/admitter"
)

// message encodes calls as a peer sends them.
func message(calls ...any) []byte {
	var b bytes.Buffer
	e := gob.NewEncoder(&b)
	for i := 0; i+1 < len(calls); i += 2 {
		// Encoding to memory does not fail.
		_ = e.Encode(rpc.Request{ServiceMethod: "Router." + calls[i].(string), Seq: uint64(i)})
		_ = e.Encode(calls[i+1])
	}
	return b.Bytes()
}

// TestGarbageOfPeers sends broken and mixed messages to a router: it closes the
// connection or answers with an error, and serves the next peer.
func TestGarbageOfPeers(t *testing.T) {
	asked := 0
	handlers := Handlers{
		News:    func(*News) News { return News{} },
		Ask:     func(*AskArgs) AskReply { asked++; return AskReply{} },
		Settle:  func(*Settlement) bool { return false },
		Fetch:   func(uint64) FetchReply { return FetchReply{} },
		Servers: func(uint64) ServersReply { return ServersReply{} },
	}
	good := message(
		"News", News{From: Peer{Name: "p"}, Loads: []admitter.Load{{Server: "s"}}, Grants: Grants{Tokens: map[string]uint{"w": 1}}},
		"Ask", AskArgs{Ask: admitter.Request{Router: "p", Parts: []admitter.PromptPart{{ID: 1, Tokens: 2}}}},
		"Settle", Settlement{From: "p", Canceled: []Canceled{{Server: "s"}}},
		"Servers", ServersArgs{After: 3},
		"Nothing", News{},
	)
	serve := func(b []byte) {
		s := rpc.NewServer()
		if err := s.RegisterName("Router", &service{h: handlers}); err != nil {
			t.Fatal(err)
		}
		here, there := net.Pipe()
		done := make(chan struct{})
		go func() {
			s.ServeConn(there)
			close(done)
		}()
		go func() { _, _ = io.Copy(io.Discard, here) }()
		// The router may close the connection before it has read all.
		_, _ = here.Write(b)
		here.Close()
		<-done
	}
	rapid.Check(t, func(t *rapid.T) {
		b := bytes.Clone(good)
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			i := rapid.IntRange(0, len(b)-1).Draw(t, "at")
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				b[i] = rapid.Byte().Draw(t, "byte")
			case 1:
				b = b[:i+1]
			case 2:
				b = append(b[:i:i], b[min(len(b), i+rapid.IntRange(1, 9).Draw(t, "cut")):]...)
			default:
				b = append(b[:i:i], append(rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "more"), b[i:]...)...)
			}
			if len(b) == 0 {
				return
			}
		}
		serve(b)
	})
	asked = 0
	serve(good)
	if asked == 0 {
		t.Fatal("a sound peer is not served")
	}
}
