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
	"papayapaddle/internal/watcher"
)

// encodeCalls encodes calls, given as pairs of method and arguments, as a peer sends them.
func encodeCalls(calls ...any) []byte {
	var b bytes.Buffer
	e := gob.NewEncoder(&b)
	for i := 0; i+1 < len(calls); i += 2 {
		// Encoding to memory cannot fail.
		_ = e.Encode(rpc.Request{ServiceMethod: "Router." + calls[i].(string), Seq: uint64(i)})
		_ = e.Encode(calls[i+1])
	}
	return b.Bytes()
}

// TestMalformedMessages sends randomly corrupted calls to a router, which must close the
// connection or answer with an error, and must still serve the next peer.
func TestMalformedMessages(t *testing.T) {
	admitCalls := 0
	handlers := Handlers{
		Gossip:         func(*Gossip) Gossip { return Gossip{} },
		Admit:          func(*AdmitArgs) AdmitReply { admitCalls++; return AdmitReply{} },
		UpdateRequests: func(*RequestUpdates) bool { return false },
		FetchConfig:    func(uint64) FetchConfigReply { return FetchConfigReply{} },
		FetchServers:   func(watcher.Position) FetchServersReply { return FetchServersReply{} },
	}
	valid := encodeCalls(
		"News", Gossip{
			From: Peer{Name: "p"}, Loads: []admitter.Load{{Server: "s"}},
			Grants: Grants{Tokens: map[string]uint{"w": 1}}, Evacuations: Evacuations{Known: true, Zones: []string{"z"}},
		},
		"Ask", AdmitArgs{Ask: admitter.Request{Router: "p", Parts: []admitter.PromptPart{{ID: 1, Tokens: 2}}}},
		"Settle", RequestUpdates{From: "p", Canceled: []CanceledRequest{{Server: "s"}}},
		"Servers", FetchServersArgs{After: 3},
		"Nothing", Gossip{},
	)
	serve := func(b []byte) {
		s := rpc.NewServer()
		if err := s.RegisterName("Router", &service{handlers: handlers}); err != nil {
			t.Fatal(err)
		}
		client, server := net.Pipe()
		done := make(chan struct{})
		go func() {
			s.ServeConn(server)
			close(done)
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		// The router may close the connection before it has read everything.
		_, _ = client.Write(b)
		client.Close()
		<-done
	}
	rapid.Check(t, func(t *rapid.T) {
		b := bytes.Clone(valid)
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			i := rapid.IntRange(0, len(b)-1).Draw(t, "offset")
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				b[i] = rapid.Byte().Draw(t, "byte")
			case 1:
				b = b[:i+1]
			case 2:
				b = append(b[:i:i], b[min(len(b), i+rapid.IntRange(1, 9).Draw(t, "removed bytes")):]...)
			default:
				b = append(b[:i:i], append(rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "inserted bytes"), b[i:]...)...)
			}
			if len(b) == 0 {
				return
			}
		}
		serve(b)
	})
	admitCalls = 0
	serve(valid)
	if admitCalls == 0 {
		t.Fatal("a valid call is not served")
	}
}
