package grant

import (
	"math"
	"sync"
	"time"
)

// burstWindow is the time whose tokens a TokenBucket may accumulate.
const burstWindow = 250 * time.Millisecond

// TokenBucket limits requests to the rate of a grant. It is safe for concurrent use.
type TokenBucket struct {
	mu         sync.Mutex
	rate       float64
	tokens     float64
	refilledAt time.Time
}

// NewTokenBucket returns an empty bucket with a rate in requests per second.
func NewTokenBucket(rate float64, now time.Time) *TokenBucket {
	return &TokenBucket{rate: rate, refilledAt: now}
}

// SetRate changes the rate, in requests per second. A rate of 0 discards the accumulated tokens at
// the next call.
func (b *TokenBucket) SetRate(rate float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.rate = rate
}

// Take reports whether one more request is allowed now, and takes a token if so.
func (b *TokenBucket) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return gives back the token of a request that was not sent.
func (b *TokenBucket) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
}

// Wait returns the time until a request is allowed, or the longest possible duration if the rate is
// 0.
func (b *TokenBucket) Wait(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	switch {
	case b.tokens >= 1:
		return 0
	case b.rate <= 0:
		return math.MaxInt64
	}
	// Rounded up, so that a request is allowed after that time.
	return time.Duration((1-b.tokens)/b.rate*float64(time.Second)) + time.Microsecond
}

func (b *TokenBucket) refill(now time.Time) {
	passed := now.Sub(b.refilledAt)
	if passed <= 0 {
		return
	}
	b.refilledAt = now
	b.tokens = min(b.tokens+b.rate*passed.Seconds(), max(1, b.rate*burstWindow.Seconds()))
	if b.rate <= 0 {
		b.tokens = 0
	}
}
