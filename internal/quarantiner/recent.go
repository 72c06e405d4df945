package quarantiner

import "sync"

// recentParts remembers the parts that were answered last, at most maxRecentParts to twice as many. The
// zero value is empty.
type recentParts struct {
	mu sync.Mutex
	// newest takes new parts until it is full and becomes older.
	newest, older map[uint64]struct{}
}

// maxRecentParts is the size of one of the two generations of recentParts.
const maxRecentParts = 4096

func (r *recentParts) add(parts []uint64) {
	if len(parts) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest == nil || len(r.newest) >= maxRecentParts {
		r.newest, r.older = map[uint64]struct{}{}, r.newest
	}
	for _, part := range parts[:min(len(parts), maxRecentParts)] {
		r.newest[part] = struct{}{}
	}
}

func (r *recentParts) contains(part uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.newest[part]; ok {
		return true
	}
	_, ok := r.older[part]
	return ok
}
