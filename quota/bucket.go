package quota

import (
	"math"
	"time"
)

// Times and shares by which a bucket is judged.
const (
	// demandSpan is the time over which an account's demand is averaged.
	demandSpan = time.Second
	// An account becomes tight when its bucket is less than tightLevel full or its demand above
	// tightDemand of its limit, and is no longer when both are well past that: a surge is heard of some
	// tenths of a second later, in which several times the usual may run.
	tightLevel  = 0.5
	tightDemand = 0.75
	looseLevel  = 0.6
	looseDemand = 0.65
	// usualSpread is how far the demand of a second strays from its mean, in roots of the limit.
	usualSpread = 2.0
	// firstPart is the part of a bucket that an owner begins with if nobody knows anything, as after a stop
	// of all instances: enough for accounts below their limits, and within what the bound allows beyond a limit.
	firstPart = 0.2
	// leastRetry and longestRetry bound when a refused caller comes back.
	leastRetry   = 50 * time.Millisecond
	longestRetry = 2 * time.Second
)

// bucket holds the tokens of one account.
type bucket struct {
	level  float64
	demand float64
	at     time.Duration
	tight  bool
	// takenAt is when the account was last taken over from another owner.
	takenAt time.Duration
	// isFirst says that nobody knew of the account when the bucket was made, and first is the part of firstPart
	// that it has got since.
	isFirst bool
	first   float64
	// used counts what was handed out of late.
	used usage
}

// take takes tokens out, or puts them back if the number is below 0.
func (b *bucket) take(tokens, capacity float64, span, now time.Duration) {
	b.level = min(b.level-tokens, max(b.level, capacity))
	b.used.add(tokens, span, now)
}

// advance lets time pass.
func (b *bucket) advance(rate, capacity float64, now time.Duration) {
	passed := now - b.at
	b.at = now
	// What is there beyond the capacity stays, as after a take-over from which few instances were heard yet.
	b.level = max(b.level, min(capacity, b.level+rate*passed.Seconds()))
	b.demand = max(0, b.demand) * math.Exp(-float64(passed)/float64(demandSpan))
}

// fillFirst gives a bucket that knows nothing of before what it begins with, for the instances that report by now,
// once these are most of all: one that ends again and again by itself gets nothing.
func (b *bucket) fillFirst(share, capacity float64) {
	if !b.isFirst || share <= max(b.first, mostInstances) {
		return
	}
	b.level += firstPart * capacity * (share - b.first)
	b.first = share
}

// judge decides whether requests need tokens.
func (b *bucket) judge(left, rate, capacity float64) {
	switch {
	case left < tightLevel*capacity || b.demand > tightDemand*rate+usualSpread*math.Sqrt(rate):
		b.tight = true
	case left >= looseLevel*capacity && b.demand <= looseDemand*rate+usualSpread*math.Sqrt(rate):
		b.tight = false
	}
}

// retryAfter returns when there will be room for requests that got no token.
func retryAfter(missing, left, rate float64) time.Duration {
	if missing <= 0 {
		return 0
	}
	if rate <= 0 {
		return longestRetry
	}
	wait := time.Duration((missing - left) / rate * float64(time.Second))
	return min(longestRetry, max(leastRetry, wait))
}
