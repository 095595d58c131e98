package grant

import (
	"math"
	"sync"
	"time"
)

// burstTime is the span whose grant an Allowance may spend at once.
const burstTime = 250 * time.Millisecond

// TokenBucket spends one grant as time passes.
type TokenBucket struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	at     time.Time
}

// NewTokenBucket returns an allowance of a rate in requests a second, with nothing saved up.
func NewTokenBucket(rate float64, now time.Time) *TokenBucket {
	return &TokenBucket{rate: rate, at: now}
}

// SetRate changes the rate.
func (a *TokenBucket) SetRate(rate float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now)
	a.rate = rate
}

// Take says whether the grant allows one more request now.
func (a *TokenBucket) Take(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// Wait returns how long it is until the grant allows a request; an empty grant allows none in the longest time
// that there is.
func (a *TokenBucket) Wait(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now)
	switch {
	case a.tokens >= 1:
		return 0
	case a.rate <= 0:
		return math.MaxInt64
	}
	// Rounded up, so that the request is allowed then.
	return time.Duration((1-a.tokens)/a.rate*float64(time.Second)) + time.Microsecond
}

func (a *TokenBucket) refill(now time.Time) {
	passed := now.Sub(a.at)
	if passed <= 0 {
		return
	}
	a.at = now
	a.tokens = min(a.tokens+a.rate*passed.Seconds(), max(1, a.rate*burstTime.Seconds()))
	if a.rate <= 0 {
		a.tokens = 0
	}
}
