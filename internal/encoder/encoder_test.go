package encoder

import (
	"bytes"
	"io"
	"net/rpc"
	"testing"

	qt "github.com/frankban/quicktest"
)

// readWriteCloser combines a reader and a writer into a connection.
type readWriteCloser struct {
	io.Reader
	io.Writer
}

func (readWriteCloser) Close() error { return nil }

func encodeResponse(c *qt.C, m *Message) []byte {
	var buffer bytes.Buffer
	codec := NewServerCodec(readWriteCloser{&buffer, &buffer})
	c.Assert(codec.WriteResponse(&rpc.Response{Seq: 1}, m), qt.IsNil)
	return buffer.Bytes()
}

// TestEncodedSizes bounds the encoded size of frequent messages, which determines the volume of
// control traffic.
func TestEncodedSizes(t *testing.T) {
	c := qt.New(t)
	empty := len(encodeResponse(c, &Message{}))
	offer := len(encodeResponse(c, &Message{Offers: []Offer{{Server: 1 << 31, Ticket: 1 << 31, Workspace: 1 << 31, Charge: 200}}}))
	release := len(encodeResponse(c, &Message{Releases: []Release{{Ticket: 1 << 31, Cost: 400, FirstMillis: 70, BetweenMillis: 10}}}))
	c.Assert(empty <= 8, qt.IsTrue, qt.Commentf("empty message: %d bytes", empty))
	c.Assert(offer-empty <= 24, qt.IsTrue, qt.Commentf("message with an offer: %d bytes", offer))
	c.Assert(release-empty <= 20, qt.IsTrue, qt.Commentf("message with a release: %d bytes", release))
}

func TestValidateRejectsOutOfRangeTotals(t *testing.T) {
	c := qt.New(t)
	m := &Message{Reports: []PoolReports{{Reports: []Report{{Total: 1 << 60}}}}}
	c.Assert(m.Validate(), qt.IsNotNil)
}

func FuzzDecode(f *testing.F) {
	c := qt.New(f)
	f.Add(encodeResponse(c, &Message{ConfigVersion: 3, Registrations: []Registration{{Pool: 1, Count: 2}}}))
	f.Add([]byte{0x93, 2, 1, 0xa0, 0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		s := NewServerCodec(readWriteCloser{bytes.NewReader(b), io.Discard})
		var r rpc.Request
		if s.ReadRequestHeader(&r) != nil {
			return
		}
		var m Message
		if s.ReadRequestBody(&m) == nil && m.Validate() != nil {
			t.Fatal("decoded a message that is not valid")
		}
	})
}
