package relayer

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"papayapaddle/internal/sender"
)

const (
	// coveredBytes of a response are part of the memory that each concurrent request is known to need. Most
	// responses and events are shorter.
	coveredBytes = 16 << 10
	// maxPieceBytes is how much of a response the client must read within writeTimeout.
	maxPieceBytes = 16 << 10
	// workspaceResponseFraction is the fraction of the budget for the responses of one workspace.
	workspaceResponseFraction = 0.5
	// minSlowWrite is how long a client must have made no progress until it may be cut off in favor of a response that
	// is being received.
	minSlowWrite = 250 * time.Millisecond
)

var errSlowReader = errors.New("client reads more slowly than others")

// ResponseBudget limits the memory for responses that clients have not read yet, in total and for each workspace.
// When it is exceeded, the client that has made no progress for the longest is cut off. MaxBytes must be set.
type ResponseBudget struct {
	MaxBytes int64
	// OnCut, if not nil, is called for each client that is cut off.
	OnCut func()

	mu          sync.Mutex
	used        int64
	byWorkspace map[string]int64
	// writes lists the responses that are being written, in the order of the last progress of their clients.
	writes list.List
	// freed is closed when memory is released, if a response waits for it.
	freed chan struct{}
}

// heldWrite is a part of a response that is being written. since is when its client last made progress.
type heldWrite struct {
	workspace string
	since     time.Time
	// cut is called with the lock, so that it never meets a later response on the connection.
	cut func(since time.Time)
}

// UsedBytes returns the reserved bytes.
func (b *ResponseBudget) UsedBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// excessLocked reports whether n more bytes of a workspace exceed the budget, and if it is only the workspace's part,
// its name.
func (b *ResponseBudget) excessLocked(workspace string, n int64) (exceeded bool, only string) {
	if b.used+n > b.MaxBytes {
		return true, ""
	}
	if float64(b.byWorkspace[workspace]+n) > workspaceResponseFraction*float64(b.MaxBytes) {
		return true, workspace
	}
	return false, ""
}

// Stalled returns the number of clients that have made no progress for stallTime.
func (b *ResponseBudget) Stalled(now time.Time) (n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for e := b.writes.Front(); e != nil && now.Sub(e.Value.(*heldWrite).since) >= stallTime; e = e.Next() {
		n++
	}
	return n
}

// CutSlowest cuts off the client that has made no progress for the longest, if that is at least as long as given, and
// reports whether there was one.
func (b *ResponseBudget) CutSlowest(now time.Time, atLeast time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.writes.Len()
	b.cutSlowestLocked("", now.Add(-atLeast))
	return b.writes.Len() < before
}

// cutSlowestLocked cuts off the slowest client, of one workspace or, if only is empty, of any, that has made no
// progress since a time.
func (b *ResponseBudget) cutSlowestLocked(only string, by time.Time) {
	for e := b.writes.Front(); e != nil; e = e.Next() {
		w := e.Value.(*heldWrite)
		if w.since.After(by) {
			return
		}
		if only == "" || w.workspace == only {
			b.writes.Remove(e)
			w.cut(w.since)
			if b.OnCut != nil {
				b.OnCut()
			}
			return
		}
	}
}

func (b *ResponseBudget) addLocked(workspace string, n int64) {
	if b.byWorkspace == nil {
		b.byWorkspace = map[string]int64{}
	}
	b.used += n
	if b.byWorkspace[workspace] += n; b.byWorkspace[workspace] == 0 {
		delete(b.byWorkspace, workspace)
	}
}

// Reserve reserves memory for a response that is being received. While it exceeds the budget, the slowest client is
// cut off, and the server waits.
func (b *ResponseBudget) Reserve(ctx context.Context, workspace string, n int64) error {
	for {
		now := time.Now()
		b.mu.Lock()
		exceeded, only := b.excessLocked(workspace, n)
		if !exceeded || b.used == 0 {
			b.addLocked(workspace, n)
			b.mu.Unlock()
			return nil
		}
		b.cutSlowestLocked(only, now.Add(-minSlowWrite))
		if b.freed == nil {
			b.freed = make(chan struct{})
		}
		freed := b.freed
		b.mu.Unlock()
		// Another client may become the slowest one without an event.
		again := time.NewTimer(minSlowWrite)
		select {
		case <-freed:
		case <-again.C:
		case <-ctx.Done():
			again.Stop()
			return ctx.Err()
		}
		again.Stop()
	}
}

// Release returns reserved memory.
func (b *ResponseBudget) Release(workspace string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked(workspace, n)
}

func (b *ResponseBudget) releaseLocked(workspace string, n int64) {
	b.addLocked(workspace, -n)
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// begin records that a part of a response is being written, for which n bytes more than those that are reserved are
// held. While they exceed the budget, the slowest clients are cut off, this one included. cut is called if this client
// is cut off. progress must be called when the client has read a piece, and end at the end of the write.
func (b *ResponseBudget) begin(workspace string, n int64, cut func(since time.Time)) (progress, end func()) {
	now := time.Now()
	b.mu.Lock()
	w := &heldWrite{workspace: workspace, since: now, cut: cut}
	e := b.writes.PushBack(w)
	b.addLocked(workspace, n)
	if exceeded, only := b.excessLocked(workspace, 0); exceeded && n > 0 {
		b.cutSlowestLocked(only, now)
	}
	b.mu.Unlock()
	progress = func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		w.since = time.Now()
		b.writes.MoveToBack(e)
	}
	return progress, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		// A write that was cut off is no longer in the list.
		b.writes.Remove(e)
		b.releaseLocked(workspace, n)
	}
}

// readResponse reads the body of a response up to one byte more than maxBufferedBytes.
func (x *exchange) readResponse(resp *sender.Response) ([]byte, error) {
	if x.ResponseBudget == nil {
		return io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	}
	covered, err := io.ReadAll(io.LimitReader(resp.Body, coveredBytes+1))
	if err != nil || len(covered) <= coveredBytes {
		return covered, err
	}
	size := int64(maxBufferedBytes + 1)
	if resp.ContentLength >= 0 {
		size = min(size, resp.ContentLength)
	}
	ctx, cancel := context.WithDeadline(x.req.Context(), x.call.Deadline)
	defer cancel()
	if err := x.ResponseBudget.Reserve(ctx, x.admittedWorkspace, size); err != nil {
		return nil, err
	}
	x.heldBytes += size
	body := append(make([]byte, 0, size), covered...)
	for len(body) < cap(body) {
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	if size <= maxBufferedBytes {
		// The proper end follows.
		_, err := io.ReadFull(resp.Body, make([]byte, 1))
		if !errors.Is(err, io.EOF) {
			return nil, errors.Join(errTooLarge, err)
		}
	}
	return body, nil
}

// releaseResponse returns the memory that is reserved for the response.
func (x *exchange) releaseResponse() {
	if x.heldBytes > 0 {
		x.ResponseBudget.Release(x.admittedWorkspace, x.heldBytes)
	}
}

// heldWriter writes a response and records how long its client takes to read it.
type heldWriter struct {
	http.ResponseWriter
	x *exchange
}

// Unwrap lets http.ResponseController find the methods of the wrapped writer.
func (w *heldWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements io.Writer. Each piece of a longer response may take up to writeTimeout.
func (w *heldWriter) Write(p []byte) (int, error) {
	x := w.x
	if x.cutOff.Load() {
		return 0, errSlowReader
	}
	if len(p) <= coveredBytes {
		return w.ResponseWriter.Write(p)
	}
	progress, end := x.ResponseBudget.begin(x.admittedWorkspace, max(0, int64(len(p))-x.heldBytes), x.cutSlowReader)
	defer end()
	written := 0
	for written < len(p) {
		x.extendWriteDeadline()
		if x.cutOff.Load() {
			return written, errSlowReader
		}
		n, err := w.ResponseWriter.Write(p[written:min(len(p), written+maxPieceBytes)])
		written += n
		if err != nil {
			return written, err
		}
		progress()
	}
	return written, nil
}

// cutSlowReader ends the response to a client that reads too slowly. Another goroutine calls it.
func (x *exchange) cutSlowReader(since time.Time) {
	x.cutOff.Store(true)
	x.Log("slow-reader-cut", "request", x.call.ID, "workspace", x.admittedWorkspace, "millis", time.Since(since).Milliseconds())
	// Response writers without deadlines, as in tests, end on their own.
	_ = x.respCtl.SetWriteDeadline(time.Unix(1, 0))
}
