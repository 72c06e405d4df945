package dispatcher

import "sync"

const (
	// retryShare is how many retries each first attempt pays for.
	retryShare = 0.1
	// maxSaved bounds the retries saved up in quiet times.
	maxSaved = 20
)

// RetryBudget limits retries to a share of the first attempts, so that retries
// cannot feed a flood. The zero value starts with maxSaved retries.
type RetryBudget struct {
	mu    sync.Mutex
	spent float64
}

// RecordRequest notes a first attempt.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retryShare)
}

// AllowRetry takes one retry out and says whether there was one.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > maxSaved {
		return false
	}
	b.spent++
	return true
}
