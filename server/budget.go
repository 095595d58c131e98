package server

import "sync"

// Retry budget: retries are a share of recent first attempts.
const (
	retryShare = 0.1
	retryBurst = 10.0
)

// RetryBudget bounds retries to a share of the requests.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget that allows a few retries from the start.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: retryBurst / 2}
}

// Deposit credits one first attempt.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryBurst, b.tokens+retryShare)
}

// Withdraw says whether a retry is allowed, and debits it.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
