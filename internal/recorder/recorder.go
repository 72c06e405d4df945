// Package recorder writes log lines without making anyone wait: lines are
// gathered for a moment and written together, and are dropped, and counted, when
// they come faster than they can be written.
package recorder

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPending bounds the bytes that wait to be written.
	maxPending = 256 << 10
	// flushEvery is how long a line may wait for others.
	flushEvery = 100 * time.Millisecond
)

// Recorder is a writer of log lines. Out must be set; Run must be running.
type Recorder struct {
	Out io.Writer

	mu      sync.Mutex
	pending bytes.Buffer
	dropped int
	writeMu sync.Mutex
}

// Write takes one line. It never blocks on Out and never fails.
func (r *Recorder) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending.Len()+len(line) > maxPending {
		r.dropped++
		return len(line), nil
	}
	return r.pending.Write(line)
}

// Run writes lines until done is closed, and then what is left.
func (r *Recorder) Run(done <-chan struct{}) {
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.Flush()
		case <-done:
			r.Flush()
			return
		}
	}
}

// Flush writes what waits.
func (r *Recorder) Flush() {
	r.writeMu.Lock()
	defer r.writeMu.Unlock()
	r.mu.Lock()
	b := bytes.Clone(r.pending.Bytes())
	r.pending.Reset()
	dropped := r.dropped
	r.dropped = 0
	r.mu.Unlock()
	if dropped > 0 {
		b = fmt.Appendf(b, "event=lines-dropped count=%d\n", dropped)
	}
	if len(b) > 0 {
		// There is no one left to tell that a log cannot be written.
		_, _ = r.Out.Write(b)
	}
}
