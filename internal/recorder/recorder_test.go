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

// stuck is an output that nobody reads until it is released.
type stuck struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// TestNobodyReads writes far more than may wait while the output is stuck: no
// write waits for it, and what was dropped is told afterwards.
func TestNobodyReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &stuck{release: make(chan struct{})}
		r := &Recorder{Out: out}
		done, ended := make(chan struct{}), make(chan struct{})
		go func() {
			r.Run(done)
			close(ended)
		}()
		line := []byte(strings.Repeat("x", 1023) + "\n")
		began := time.Now()
		for range 10 {
			for range 100 {
				n, err := r.Write(line)
				c.Assert(err, qt.IsNil)
				c.Assert(n, qt.Equals, len(line))
			}
			pauser.Pause(t.Context(), flushEvery)
		}
		c.Assert(time.Since(began), qt.Equals, 10*flushEvery, qt.Commentf("writing took no time"))
		close(out.release)
		close(done)
		<-ended
		c.Assert(out.String(), qt.Contains, "event=lines-dropped count=")
		kept := strings.Count(out.String(), "x\n")
		c.Assert(kept < 1000 && kept >= maxPending/len(line), qt.IsTrue, qt.Commentf("%d lines kept", kept))
	})
}

func TestLinesKeepTheirOrder(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	r := &Recorder{Out: &out}
	for _, l := range []string{"a\n", "b\n"} {
		_, err := r.Write([]byte(l))
		c.Assert(err, qt.IsNil)
	}
	r.Flush()
	r.Flush()
	c.Assert(out.String(), qt.Equals, "a\nb\n")
}
