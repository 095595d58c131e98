package quota

import (
	"math"
	"time"
)

// Times and fractions that control a bucket.
const (
	// demandWindow is the time constant of the moving average of an account's demand.
	demandWindow = time.Second
	// An account becomes metered when its bucket is less than meteredLevel full or its demand exceeds
	// meteredDemand of its limit, and unmetered when it is past both unmeteredLevel and unmeteredDemand. The
	// levels leave room because instances learn of a surge some tenths of a second late, and admit several
	// times the usual load until then.
	meteredLevel    = 0.5
	meteredDemand   = 0.75
	unmeteredLevel  = 0.6
	unmeteredDemand = 0.65
	// demandDeviations is how far the demand of one second deviates from its mean, in units of the square root
	// of the limit.
	demandDeviations = 2.0
	// initialFraction is the fraction of a full bucket that an owner starts with if no instance knows the
	// account's state, as after a restart of all instances. It suffices for accounts below their limits and
	// stays within the excess that the bound allows.
	initialFraction = 0.2
	// minRetry and maxRetry bound the retry time that is sent to refused callers.
	minRetry = 50 * time.Millisecond
	maxRetry = 2 * time.Second
)

// bucket is the token bucket of one account.
type bucket struct {
	level     float64
	demand    float64
	updatedAt time.Duration
	metered   bool
	// takenOverAt is when the account was last taken over from another owner.
	takenOverAt time.Duration
	// unknownBefore reports whether no instance knew the account's state when the bucket was created;
	// initialShare is the share of the instances for which it has been given initial tokens.
	unknownBefore bool
	initialShare  float64
	// spent counts the tokens handed out recently.
	spent usage
}

// take removes tokens, or adds them if the number is negative.
func (b *bucket) take(tokens, capacity float64, window, now time.Duration) {
	b.level = min(b.level-tokens, max(b.level, capacity))
	b.spent.add(tokens, window, now)
}

// advance refills the bucket and decays the demand up to now.
func (b *bucket) advance(rate, capacity float64, now time.Duration) {
	passed := now - b.updatedAt
	b.updatedAt = now
	// A level beyond the capacity is kept. It occurs after a take-over, while few instances have reported yet
	// and the capacity is small.
	b.level = max(b.level, min(capacity, b.level+rate*passed.Seconds()))
	b.demand = max(0, b.demand) * math.Exp(-float64(passed)/float64(demandWindow))
}

// fillInitial adds the initial tokens to a bucket without known state, in proportion to the instances that
// have reported. It requires a majority of them, so that an instance that restarts repeatedly does not get
// tokens each time.
func (b *bucket) fillInitial(share, capacity float64) {
	if !b.unknownBefore || share <= max(b.initialShare, majority) {
		return
	}
	b.level += initialFraction * capacity * (share - b.initialShare)
	b.initialShare = share
}

// updateMetered decides whether requests of the account need tokens.
func (b *bucket) updateMetered(left, rate, capacity float64) {
	switch {
	case left < meteredLevel*capacity || b.demand > meteredDemand*rate+demandDeviations*math.Sqrt(rate):
		b.metered = true
	case left >= unmeteredLevel*capacity && b.demand <= unmeteredDemand*rate+demandDeviations*math.Sqrt(rate):
		b.metered = false
	}
}

// retryAfter returns when the missing tokens will be available.
func retryAfter(missing, left, rate float64) time.Duration {
	if missing <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxRetry
	}
	wait := time.Duration((missing - left) / rate * float64(time.Second))
	return min(maxRetry, max(minRetry, wait))
}
