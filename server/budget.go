package server

import "sync"

// Parameters of the retry budget: the tokens that each first attempt adds, and the maximum number
// of tokens.
const (
	retryShare = 0.1
	retryBurst = 10.0
)

// RetryBudget limits retries to a share of the first attempts, as a token bucket. It is safe for
// concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget that is half full, so that a few retries are allowed before the
// first request.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: retryBurst / 2}
}

// Deposit adds the credit of one first attempt.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryBurst, b.tokens+retryShare)
}

// Withdraw reports whether a retry is allowed, and takes a token if so.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
