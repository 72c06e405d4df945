package relayer

import (
	"errors"
	"hash/fnv"
	"io"
	"sync/atomic"
)

var (
	errTooLarge = errors.New("request body too large")
	errNoMemory = errors.New("memory budget for request bodies exceeded")
)

// MemoryBudget limits the memory used by buffered request bodies.
type MemoryBudget struct {
	// MaxBytes must be set.
	MaxBytes int64

	used atomic.Int64
}

// UsedBytes returns the bytes reserved by buffered bodies.
func (b *MemoryBudget) UsedBytes() int64 { return b.used.Load() }

func (b *MemoryBudget) reserve(n int64) bool {
	if b.used.Add(n) > b.MaxBytes {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release returns the memory that ReadAll reserved for a body.
func (b *MemoryBudget) Release(body []byte) { b.used.Add(-int64(cap(body))) }

// initialBufferBytes is the initial buffer size for a body of unknown length.
const initialBufferBytes = 4 << 10

// ReadAll reads a body of at most limit bytes. A negative contentLength means that the length
// is unknown. The memory stays reserved until Release.
func (b *MemoryBudget) ReadAll(r io.Reader, contentLength, limit int64) ([]byte, error) {
	if contentLength == 0 {
		return nil, nil
	}
	size := contentLength
	if contentLength < 0 {
		size = initialBufferBytes
	}
	if !b.reserve(size) {
		return nil, errNoMemory
	}
	if contentLength > 0 {
		body := make([]byte, contentLength)
		if _, err := io.ReadFull(r, body); err != nil {
			b.used.Add(-size)
			return nil, err
		}
		return body, nil
	}
	return b.grow(r, make([]byte, 0, size), limit)
}

// grow reads a body of unknown length, doubling the buffer as needed.
func (b *MemoryBudget) grow(r io.Reader, body []byte, limit int64) ([]byte, error) {
	for {
		if len(body) == cap(body) {
			growBy := int64(cap(body))
			if !b.reserve(growBy) {
				b.Release(body)
				return nil, errNoMemory
			}
			body = append(make([]byte, 0, 2*growBy), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limit {
			b.Release(body)
			return nil, errTooLarge
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			b.Release(body)
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
