package encoder

import (
	"bytes"
	"io"
	"net/rpc"
	"testing"

	qt "github.com/frankban/quicktest"
)

type pipe struct {
	io.Reader
	io.Writer
}

func (pipe) Close() error { return nil }

func encoded(c *qt.C, m *Message) []byte {
	var b bytes.Buffer
	w := NewServerCodec(pipe{&b, &b})
	c.Assert(w.WriteResponse(&rpc.Response{Seq: 1}, m), qt.IsNil)
	return b.Bytes()
}

// TestEncodedSizes keeps the cost of messages in view: each byte counts against the
// control budget.
func TestEncodedSizes(t *testing.T) {
	c := qt.New(t)
	empty := len(encoded(c, &Message{}))
	offer := len(encoded(c, &Message{Offers: []Offer{{Server: 1 << 31, Ticket: 1 << 31, Workspace: 1 << 31, Charge: 200}}}))
	release := len(encoded(c, &Message{Releases: []Release{{Ticket: 1 << 31, Cost: 400, FirstMillis: 70, BetweenMillis: 10}}}))
	c.Assert(empty <= 8, qt.IsTrue, qt.Commentf("%d", empty))
	c.Assert(offer-empty <= 24, qt.IsTrue, qt.Commentf("%d", offer))
	c.Assert(release-empty <= 20, qt.IsTrue, qt.Commentf("%d", release))
}

func TestValidateRejectsOutOfRangeTotals(t *testing.T) {
	c := qt.New(t)
	m := &Message{Reports: []PoolReports{{Reports: []Report{{Total: 1 << 60}}}}}
	c.Assert(m.Validate(), qt.IsNotNil)
}

func FuzzDecode(f *testing.F) {
	c := qt.New(f)
	f.Add(encoded(c, &Message{ConfigVersion: 3, Registrations: []Registration{{Pool: 1, Count: 2}}}))
	f.Add([]byte{0x93, 2, 1, 0xa0, 0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		s := NewServerCodec(pipe{bytes.NewReader(b), io.Discard})
		var r rpc.Request
		if s.ReadRequestHeader(&r) != nil {
			return
		}
		var m Message
		if s.ReadRequestBody(&m) == nil && m.Validate() != nil {
			t.Fatal("a message that fails its check was decoded")
		}
	})
}
