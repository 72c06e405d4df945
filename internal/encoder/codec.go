package encoder

import (
	"bufio"
	"io"
	"net/rpc"
	"sync/atomic"

	"github.com/vmihailenco/msgpack/v5"

	"papayapaddle/internal/failer"
)

// methodNames holds the methods of the peer service, indexed by their number on the wire.
var methodNames = []string{"", "Peer.Hello", "Peer.Exchange"}

func methodNumber(name string) (uint8, error) {
	for i, m := range methodNames {
		if m == name && i > 0 {
			return uint8(i), nil
		}
	}
	return 0, failer.New("encode", KindInvalid, "unknown method "+name)
}

// codec encodes and decodes the messages of one connection with msgpack. It needs no lock, since
// net/rpc serializes writes and reads.
type codec struct {
	conn    io.Closer
	w       *bufio.Writer
	limiter *limitReader
	enc     *msgpack.Encoder
	dec     *msgpack.Decoder
}

// limitReader returns an error once a message exceeds MaxMessageBytes.
type limitReader struct {
	r         io.Reader
	remaining int
}

func (l *limitReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, failer.New("decode", KindInvalid, "message too large")
	}
	if len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	l.remaining -= n
	return n, err
}

func newCodec(conn io.ReadWriteCloser) *codec {
	w := bufio.NewWriter(conn)
	limiter := &limitReader{r: bufio.NewReader(conn), remaining: MaxMessageBytes}
	enc := msgpack.NewEncoder(w)
	enc.UseCompactInts(true)
	enc.UseCompactFloats(true)
	return &codec{conn: conn, w: w, limiter: limiter, enc: enc, dec: msgpack.NewDecoder(limiter)}
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
	c.limiter.remaining = MaxMessageBytes
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

func (c *codec) Close() error { return c.conn.Close() }

// seqMask limits a sequence number to one byte on the wire.
const seqMask = 0x7f

// clientCodec is the codec of the calling side. Since there is one call at a time, the low bits of
// the sequence number are enough to identify the call.
type clientCodec struct {
	*codec
	lastSeq atomic.Uint64
}

// NewClientCodec returns the codec of the calling side of a connection.
func NewClientCodec(conn io.ReadWriteCloser) rpc.ClientCodec {
	return &clientCodec{codec: newCodec(conn)}
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	n, err := methodNumber(r.ServiceMethod)
	if err != nil {
		return err
	}
	c.lastSeq.Store(r.Seq)
	return c.write(&header{Method: n, Seq: r.Seq & seqMask}, body)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	h, err := c.readHeader()
	if err != nil {
		return err
	}
	r.Seq, r.Error = c.lastSeq.Load(), h.Error
	if h.Seq != r.Seq&seqMask {
		return failer.New("decode", KindInvalid, "response to another call")
	}
	return nil
}

func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

type serverCodec struct{ *codec }

// NewServerCodec returns the codec of the serving side of a connection.
func NewServerCodec(conn io.ReadWriteCloser) rpc.ServerCodec { return &serverCodec{newCodec(conn)} }

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	h, err := c.readHeader()
	if err != nil {
		return err
	}
	if int(h.Method) >= len(methodNames) || h.Method == 0 {
		return failer.New("decode", KindInvalid, "unknown method number")
	}
	r.ServiceMethod, r.Seq = methodNames[h.Method], h.Seq
	return nil
}

func (c *serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return c.write(&header{Seq: r.Seq, Error: r.Error}, body)
}

// EncodedSize returns the size of a message on the wire in bytes, including its header. It is used
// by measurements.
func EncodedSize(m *Message) int {
	var size byteCounter
	c := newCodec(&size)
	if err := c.write(&header{Method: 2, Seq: 1}, m); err != nil {
		return 0
	}
	return int(size)
}

// byteCounter is a connection that counts the bytes written and discards them.
type byteCounter int

func (c *byteCounter) Read([]byte) (int, error) { return 0, io.EOF }

func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

func (c *byteCounter) Close() error { return nil }
