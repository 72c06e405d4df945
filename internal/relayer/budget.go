package relayer

import (
	"container/list"
	"errors"
	"hash/fnv"
	"io"
	"sync"
	"time"
)

var (
	errTooLarge = errors.New("request body too large")
	errNoMemory = errors.New("memory budget for request bodies exceeded")
	errGivenUp  = errors.New("request body took longer than others")
)

const (
	// initialBufferBytes is the initial buffer size for a body of unknown length, and for one of known length that
	// exceeds it by far.
	initialBufferBytes = 4 << 10
	// maxInitialBufferBytes is the largest body for which the whole buffer is reserved before its bytes arrive.
	maxInitialBufferBytes = 64 << 10
	// bufferGrowth is by how many times its size a full buffer grows. Each growth leaves the smaller buffer as
	// garbage.
	bufferGrowth = 3
	// workspaceBodyFraction is the fraction of the budget for the bodies of one workspace.
	workspaceBodyFraction = 0.75
	// stallTime is how long a body may take until its request no longer counts toward the load. Bodies of ordinary
	// clients arrive sooner.
	stallTime = 500 * time.Millisecond
)

// MemoryBudget limits the memory used by buffered request bodies, in total and for each workspace. When it is
// exceeded, the bodies that have been incomplete for the longest are given up, of the workspace if only its part is
// exceeded.
type MemoryBudget struct {
	// MaxBytes must be set.
	MaxBytes int64

	mu          sync.Mutex
	used        int64
	byWorkspace map[string]int64
	// reading lists the bodies that are being read, the longest unfinished first. Those before fresh count as
	// stalled; it is nil if all do.
	reading list.List
	fresh   *list.Element
	// stalled is the number of stalled ones, including those that were given up and have not ended yet.
	stalled int64
}

// bodyReader is a body that is being read. The lock of the budget guards its fields.
type bodyReader struct {
	workspace string
	since     time.Time
	// abort is called with the lock, so that it never meets a later request on the connection.
	abort    func()
	reserved int64
	element  *list.Element
	// stalled is set once the body counts as stalled, and givenUp once it is to be given up.
	stalled, givenUp bool
}

// UsedBytes returns the bytes reserved by buffered bodies.
func (b *MemoryBudget) UsedBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Release returns the memory that ReadAll reserved for a body.
func (b *MemoryBudget) Release(body []byte) {
	if cap(body) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= int64(cap(body))
}

// Stalled returns the number of bodies that have been incomplete for stallTime.
func (b *MemoryBudget) Stalled(now time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.fresh != nil {
		r := b.fresh.Value.(*bodyReader)
		if now.Sub(r.since) < stallTime {
			break
		}
		b.markStalledLocked(r)
	}
	return b.stalled
}

func (b *MemoryBudget) markStalledLocked(r *bodyReader) {
	if r.stalled {
		return
	}
	if b.fresh == r.element {
		b.fresh = r.element.Next()
	}
	r.stalled = true
	b.stalled++
}

// UnfinishedSince returns since when the longest incomplete body has been so.
func (b *MemoryBudget) UnfinishedSince() (since time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.reading.Front(); e != nil {
		return e.Value.(*bodyReader).since, true
	}
	return time.Time{}, false
}

// GiveUpOldest gives up the body that has been incomplete for the longest, and reports whether there was one.
func (b *MemoryBudget) GiveUpOldest() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.giveUpOldestLocked()
}

func (b *MemoryBudget) giveUpOldestLocked() bool {
	e := b.reading.Front()
	if e == nil {
		return false
	}
	b.giveUpLocked(e.Value.(*bodyReader))
	return true
}

func (b *MemoryBudget) giveUpLocked(r *bodyReader) {
	b.markStalledLocked(r)
	b.reading.Remove(r.element)
	b.addLocked(r, -r.reserved)
	r.element, r.givenUp = nil, true
	r.abort()
}

// reserve reserves n more bytes for a body that is being read. While they exceed the budget, the bodies that have
// been incomplete for longer are given up.
func (b *MemoryBudget) reserve(r *bodyReader, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.givenUp {
		return errGivenUp
	}
	own := b.byWorkspace[r.workspace]
	limit := int64(workspaceBodyFraction * float64(b.MaxBytes))
	// A single body may be longer than the part of its workspace.
	if own > r.reserved && !b.makeRoomLocked(r, own+n-limit, true) || !b.makeRoomLocked(r, b.used+n-b.MaxBytes, false) {
		return errNoMemory
	}
	b.addLocked(r, n)
	return nil
}

// makeRoomLocked gives up bodies that have been incomplete for longer than a given one, until they had at least
// excess bytes. If these do not suffice, it gives up none and returns false.
func (b *MemoryBudget) makeRoomLocked(r *bodyReader, excess int64, ownWorkspace bool) bool {
	var victims []*bodyReader
	for e := b.reading.Front(); excess > 0; e = e.Next() {
		v := e.Value.(*bodyReader)
		if v == r {
			return false
		}
		if !ownWorkspace || v.workspace == r.workspace {
			excess -= v.reserved
			victims = append(victims, v)
		}
	}
	for _, v := range victims {
		b.giveUpLocked(v)
	}
	return true
}

func (b *MemoryBudget) addLocked(r *bodyReader, n int64) {
	b.used += n
	r.reserved += n
	b.addToWorkspaceLocked(r.workspace, n)
}

func (b *MemoryBudget) addToWorkspaceLocked(workspace string, n int64) {
	if b.byWorkspace == nil {
		b.byWorkspace = map[string]int64{}
	}
	if b.byWorkspace[workspace] += n; b.byWorkspace[workspace] == 0 {
		delete(b.byWorkspace, workspace)
	}
}

// releaseWorkspace returns to a workspace's part what a body has reserved. Release returns it to the budget.
func (b *MemoryBudget) releaseWorkspace(workspace string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addToWorkspaceLocked(workspace, -n)
}

func (b *MemoryBudget) begin(workspace string, abort func()) *bodyReader {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &bodyReader{workspace: workspace, since: time.Now(), abort: abort}
	r.element = b.reading.PushBack(r)
	if b.fresh == nil {
		b.fresh = r.element
	}
	return r
}

// end ends the reading of a body. Unless it failed, its memory stays reserved.
func (b *MemoryBudget) end(r *bodyReader, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.stalled {
		b.stalled--
	}
	if r.givenUp {
		return errGivenUp
	}
	if b.fresh == r.element {
		b.fresh = r.element.Next()
	}
	b.reading.Remove(r.element)
	if err != nil {
		b.addLocked(r, -r.reserved)
	}
	return err
}

// ReadAll reads a body of a workspace's request of at most limit bytes. A negative contentLength means that the length
// is unknown. The memory stays reserved until Release and releaseWorkspace. abort must make a pending read fail; it is called if the body is
// given up in favor of others. stalled reports whether the body did not count toward the load in the end.
func (b *MemoryBudget) ReadAll(workspace string, body io.Reader, contentLength, limit int64, abort func()) (data []byte, stalled bool, err error) {
	if contentLength == 0 {
		return nil, false, nil
	}
	r := b.begin(workspace, abort)
	data, err = b.read(r, body, contentLength, limit)
	if err = b.end(r, err); err != nil {
		return nil, r.stalled, err
	}
	return data, r.stalled, nil
}

// Discard reads at most limit bytes of a body. abort is as for ReadAll.
func (b *MemoryBudget) Discard(body io.Reader, limit int64, abort func()) {
	r := b.begin("", abort)
	// A body that ends early is of no concern: the request is not served.
	_, err := io.CopyN(io.Discard, body, limit)
	_ = b.end(r, err)
}

// read reads a body into a buffer that grows as its bytes arrive, so that a body that is announced and not sent takes
// little memory.
func (b *MemoryBudget) read(r *bodyReader, body io.Reader, contentLength, limit int64) ([]byte, error) {
	size := int64(initialBufferBytes)
	if contentLength > 0 {
		size = min(contentLength, maxInitialBufferBytes)
	}
	if err := b.reserve(r, size); err != nil {
		return nil, err
	}
	data := make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			if int64(len(data)) == contentLength {
				return data, nil
			}
			growBy := bufferGrowth * int64(cap(data))
			if contentLength > 0 {
				growBy = min(growBy, contentLength-int64(cap(data)))
			}
			if err := b.reserve(r, growBy); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, int64(cap(data))+growBy), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			return nil, errTooLarge
		}
		switch {
		case errors.Is(err, io.EOF) && contentLength > 0 && int64(len(data)) < contentLength:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// hashFraction maps a request ID to [0,1), so that all attempts of a request select the same
// service.
func hashFraction(id string) float64 {
	h := fnv.New32a()
	// Writes to a hash never fail.
	_, _ = io.WriteString(h, id)
	return float64(h.Sum32()) / (1 << 32)
}
