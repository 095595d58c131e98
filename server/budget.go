package server

import "sync"

// Retry budget: retries are a share of recent first attempts.
const (
	retryShare = 0.1
	retryBurst = 10.0
)

// Budget bounds retries to a share of the requests.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget that allows a few retries from the start.
func NewBudget() *Budget {
	return &Budget{tokens: retryBurst / 2}
}

// Earn credits one first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryBurst, b.tokens+retryShare)
}

// Spend says whether a retry is allowed, and debits it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
