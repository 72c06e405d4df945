package forwarder

import (
	"io"
	"sync"
	"time"
)

// silenceWatch reports when a response is silent and when it goes on. It is made by watchSilence.
type silenceWatch struct {
	report func(silent bool)

	mu      sync.Mutex
	timer   *time.Timer
	silent  bool
	stopped bool
}

// watchSilence calls report with true after each StallTimeout without progress, and with false once there is progress
// again. report must not call the silenceWatch.
func watchSilence(report func(silent bool)) *silenceWatch {
	w := &silenceWatch{report: report}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(StallTimeout, w.expire)
	return w
}

func (w *silenceWatch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.silent = true
	w.report(true)
	w.timer.Reset(StallTimeout)
}

// progress records that a part of the response was received.
func (w *silenceWatch) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.silent {
		w.silent = false
		w.report(false)
	}
	w.timer.Reset(StallTimeout)
}

// stop ends the reports.
func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// progressReader records the progress of a response body.
type progressReader struct {
	io.Reader
	watch *silenceWatch
}

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.watch.progress()
	}
	return n, err
}
