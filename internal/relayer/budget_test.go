package relayer

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against bodies that are changed while their buffers grow, and against memory that stays reserved.
func TestReadAllReturnsBodies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		b := &MemoryBudget{MaxBytes: 4 * limit}
		want := make([]byte, rapid.SampledFrom([]int{1, 4095, 4096, 4097, 65536, 65537, 300_000, limit, limit + 1}).Draw(t, "size"))
		for i := range want {
			want[i] = byte(i * 7)
		}
		length, err := int64(len(want)), error(nil)
		var r io.Reader = bytes.NewReader(want)
		switch rapid.IntRange(0, 3).Draw(t, "reader") {
		case 0:
			length = -1
		case 1:
			r = iotest.HalfReader(r)
		case 2:
			r, err = iotest.DataErrReader(r), nil
		case 3:
			r, err = bytes.NewReader(want[1:]), io.ErrUnexpectedEOF
		}
		if len(want) > limit {
			err = errTooLarge
		}
		if errors.Is(err, io.ErrUnexpectedEOF) && len(want) > limit {
			err = errTooLarge
		}
		data, _, gotErr := b.ReadAll("demo", r, length, limit, func() {})
		if length == limit+1 && errors.Is(gotErr, io.ErrUnexpectedEOF) {
			// The relayer refuses such a body before it is read.
			gotErr = errTooLarge
		}
		switch {
		case !errors.Is(gotErr, err):
			t.Fatalf("got %v, want %v", gotErr, err)
		case err == nil && !bytes.Equal(data, want):
			t.Fatal("the body was changed")
		case b.UsedBytes() != int64(cap(data)):
			t.Fatalf("%d bytes are reserved for a buffer of %d", b.UsedBytes(), cap(data))
		}
		b.Release(data)
		b.releaseWorkspace("demo", int64(cap(data)))
		if b.UsedBytes() != 0 || len(b.byWorkspace) != 0 || b.Stalled(time.Now().Add(time.Hour)) != 0 {
			t.Fatalf("%d bytes and %d bodies are left", b.UsedBytes(), b.Stalled(time.Now()))
		}
	})
}

// slowBody is a body that is sent by hand.
type slowBody struct {
	send  net.Conn
	data  []byte
	stall bool
	err   error
}

// Guards against bodies that are never sent completely and keep others out, by their memory or as a part of the load.
func TestLongestUnfinishedBodyIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const size = 64 << 10
		b := &MemoryBudget{MaxBytes: 3 * size}
		var readers sync.WaitGroup
		start := func(workspace string) *slowBody {
			receive, send := net.Pipe()
			s := &slowBody{send: send}
			readers.Go(func() {
				s.data, s.stall, s.err = b.ReadAll(workspace, receive, size, size, func() { receive.Close() })
			})
			synctest.Wait()
			return s
		}
		finish := func(s *slowBody) {
			_, err := s.send.Write(make([]byte, size))
			c.Assert(err, qt.IsNil)
		}
		var bodies []*slowBody
		for i := range 3 {
			bodies = append(bodies, start([]string{"a", "b", "a"}[i]))
			time.Sleep(stallTime / 2)
		}
		c.Check(b.Stalled(time.Now()), qt.Equals, int64(2))
		last := start("b")
		synctest.Wait()
		c.Check(bodies[0].err, qt.Equals, errGivenUp)
		c.Check(b.UsedBytes(), qt.Equals, int64(3*size))
		c.Check(b.Stalled(time.Now()), qt.Equals, int64(1))
		for _, s := range []*slowBody{bodies[1], bodies[2], last} {
			finish(s)
		}
		readers.Wait()
		c.Check(bodies[1].stall, qt.IsTrue)
		c.Check(last.stall, qt.IsFalse)
		c.Check(b.Stalled(time.Now().Add(time.Hour)), qt.Equals, int64(0))
		// Complete bodies are never given up: their requests may be running.
		refused := start("c")
		readers.Wait()
		c.Check(refused.err, qt.Equals, errNoMemory)
		for _, s := range []*slowBody{bodies[1], bodies[2], last} {
			c.Check(s.err, qt.IsNil)
			b.Release(s.data)
		}
		// The workspaces have all that was reserved for their bodies until it is returned to them too.
		full := start("b")
		c.Check(full.err, qt.Equals, errNoMemory)
		b.releaseWorkspace("b", 2*size)
		b.releaseWorkspace("a", size)
		c.Check(b.byWorkspace, qt.HasLen, 0)
		c.Check(b.UsedBytes(), qt.Equals, int64(0))
	})
}
