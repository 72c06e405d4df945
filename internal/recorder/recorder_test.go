package recorder

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"papayapaddle/internal/pauser"
)

// blockedWriter blocks writes until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return w.Buffer.Write(p)
}

// TestBlockedOutputNeverBlocksWrite writes far more than the buffer holds while the
// output is blocked. No write may block, and the number of dropped lines must be
// logged afterwards.
func TestBlockedOutputNeverBlocksWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &blockedWriter{unblock: make(chan struct{})}
		r := &AsyncWriter{Out: out}
		done, stopped := make(chan struct{}), make(chan struct{})
		go func() {
			r.Run(done)
			close(stopped)
		}()
		line := []byte(strings.Repeat("x", 1023) + "\n")
		start := time.Now()
		for range 10 {
			for range 100 {
				n, err := r.Write(line)
				c.Assert(err, qt.IsNil)
				c.Assert(n, qt.Equals, len(line))
			}
			pauser.Sleep(t.Context(), flushInterval)
		}
		c.Assert(time.Since(start), qt.Equals, 10*flushInterval, qt.Commentf("Write blocked"))
		close(out.unblock)
		close(done)
		<-stopped
		c.Assert(out.String(), qt.Contains, "event=lines-dropped count=")
		kept := strings.Count(out.String(), "x\n")
		c.Assert(kept < 1000 && kept >= maxPendingBytes/len(line), qt.IsTrue, qt.Commentf("%d lines written", kept))
	})
}

func TestLinesKeepOrder(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	r := &AsyncWriter{Out: &out}
	for _, l := range []string{"a\n", "b\n"} {
		_, err := r.Write([]byte(l))
		c.Assert(err, qt.IsNil)
	}
	r.Flush()
	r.Flush()
	c.Assert(out.String(), qt.Equals, "a\nb\n")
}
