package encoder

import (
	"bufio"
	"io"
	"net/rpc"
	"sync/atomic"

	"github.com/vmihailenco/msgpack/v5"

	"papayapaddle/internal/failer"
)

// The methods of the peer service, by their number on the wire.
var methods = []string{"", "Peer.Hello", "Peer.Exchange"}

func methodNumber(name string) (uint8, error) {
	for i, m := range methods {
		if m == name && i > 0 {
			return uint8(i), nil
		}
	}
	return 0, failer.New("encode", KindInvalid, "unknown method "+name)
}

// codec is one connection's msgpack coder; net/rpc serializes writes and reads.
type codec struct {
	c     io.Closer
	w     *bufio.Writer
	limit *limitReader
	enc   *msgpack.Encoder
	dec   *msgpack.Decoder
}

// limitReader refuses a message that grows above the limit.
type limitReader struct {
	r    io.Reader
	left int
}

func (l *limitReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, failer.New("decode", KindInvalid, "message too large")
	}
	if len(p) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	l.left -= n
	return n, err
}

func newCodec(c io.ReadWriteCloser) *codec {
	w := bufio.NewWriter(c)
	limit := &limitReader{r: bufio.NewReader(c), left: MaxMessageBytes}
	enc := msgpack.NewEncoder(w)
	enc.UseCompactInts(true)
	enc.UseCompactFloats(true)
	return &codec{c: c, w: w, limit: limit, enc: enc, dec: msgpack.NewDecoder(limit)}
}

func (c *codec) write(h *header, body any) error {
	if err := c.enc.Encode(h); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.w.Flush()
}

func (c *codec) readHeader() (header, error) {
	c.limit.left = MaxMessageBytes
	var h header
	err := c.dec.Decode(&h)
	return h, err
}

func (c *codec) readBody(body any) error {
	if body == nil {
		return c.dec.Skip()
	}
	if err := c.dec.Decode(body); err != nil {
		return err
	}
	if m, ok := body.(*Message); ok {
		return m.Validate()
	}
	return nil
}

func (c *codec) Close() error { return c.c.Close() }

// seqMask keeps a sequence number in one byte on the wire.
const seqMask = 0x7f

// clientCodec serves one call at a time, so the low bits of a sequence number
// name the call.
type clientCodec struct {
	*codec
	seq atomic.Uint64
}

// NewClientCodec returns the codec of the calling side.
func NewClientCodec(c io.ReadWriteCloser) rpc.ClientCodec { return &clientCodec{codec: newCodec(c)} }

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	n, err := methodNumber(r.ServiceMethod)
	if err != nil {
		return err
	}
	c.seq.Store(r.Seq)
	return c.write(&header{Method: n, Seq: r.Seq & seqMask}, body)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	h, err := c.readHeader()
	if err != nil {
		return err
	}
	r.Seq, r.Error = c.seq.Load(), h.Error
	if h.Seq != r.Seq&seqMask {
		return failer.New("decode", KindInvalid, "an answer to another call")
	}
	return nil
}

func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

type serverCodec struct{ *codec }

// NewServerCodec returns the codec of the serving side.
func NewServerCodec(c io.ReadWriteCloser) rpc.ServerCodec { return &serverCodec{newCodec(c)} }

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	h, err := c.readHeader()
	if err != nil {
		return err
	}
	if int(h.Method) >= len(methods) || h.Method == 0 {
		return failer.New("decode", KindInvalid, "unknown method number")
	}
	r.ServiceMethod, r.Seq = methods[h.Method], h.Seq
	return nil
}

func (c *serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return c.write(&header{Seq: r.Seq, Error: r.Error}, body)
}

// EncodedSize returns the bytes that a message takes on the wire as a request or a
// reply, for measurements.
func EncodedSize(m *Message) int {
	var n counter
	c := newCodec(&n)
	if err := c.write(&header{Method: 2, Seq: 1}, m); err != nil {
		return 0
	}
	return int(n)
}

// counter is a connection that only counts what is written.
type counter int

func (c *counter) Read([]byte) (int, error) { return 0, io.EOF }

func (c *counter) Write(p []byte) (int, error) {
	*c += counter(len(p))
	return len(p), nil
}

func (c *counter) Close() error { return nil }
