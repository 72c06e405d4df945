package dispatcher

import "sync"

const (
	// retryRatio is the number of retries that each request adds to the budget.
	retryRatio = 0.1
	// maxSavedRetries bounds the unused retries that the budget accumulates.
	maxSavedRetries = 20
)

// RetryBudget limits retries to a fraction of the requests, so that retries do not amplify an
// overload. The zero value starts with maxSavedRetries retries.
type RetryBudget struct {
	mu sync.Mutex
	// spent is the number of retries taken that later requests have not earned back.
	spent float64
}

// RecordRequest adds retryRatio retries to the budget. It is called once for each request.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retryRatio)
}

// AllowRetry takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > maxSavedRetries {
		return false
	}
	b.spent++
	return true
}
