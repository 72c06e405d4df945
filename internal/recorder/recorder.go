// Package recorder writes log lines asynchronously. Lines are buffered briefly and
// written in batches. Lines that arrive faster than they can be written are
// dropped and counted.
package recorder

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the buffer.
	maxPendingBytes = 256 << 10
	// flushInterval is the longest time that a line is buffered.
	flushInterval = 100 * time.Millisecond
)

// AsyncWriter is a buffered writer of log lines. Out must be set, and Run must be
// running.
type AsyncWriter struct {
	Out io.Writer

	mu      sync.Mutex
	pending bytes.Buffer
	dropped int
	writeMu sync.Mutex
}

// Write buffers or drops one line. It never blocks on Out and never fails.
func (r *AsyncWriter) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending.Len()+len(line) > maxPendingBytes {
		r.dropped++
		return len(line), nil
	}
	return r.pending.Write(line)
}

// Run flushes the buffer periodically until done is closed, and then once more.
func (r *AsyncWriter) Run(done <-chan struct{}) {
	t := time.NewTicker(flushInterval)
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

// Flush writes the buffered lines to Out.
func (r *AsyncWriter) Flush() {
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
		// A failure to write the log cannot be logged.
		_, _ = r.Out.Write(b)
	}
}
