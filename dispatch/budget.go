package dispatch

import "time"

// budgetBuckets divides the window of a retry budget.
const budgetBuckets = 20

// RetryBound is what all instances together may send to a service beyond first attempts.
type RetryBound struct {
	// Ratio is the share of the requests in one Window.
	Ratio  float64
	Window time.Duration
	// Slack is added to the share, for all instances together.
	Slack float64
}

// retryShare is the part of the bound that is used, as windows of instances differ.
const retryShare = 0.75

// budget counts requests and repeats in a sliding window.
type budget struct {
	requests [budgetBuckets]float64
	repeats  [budgetBuckets]float64
	bucket   int64
}

// advance empties the buckets that the window has left behind.
func (b *budget) advance(bound RetryBound, now time.Time) int {
	current := now.UnixNano() / int64(bound.Window/budgetBuckets)
	for ; b.bucket < current; b.bucket++ {
		if current-b.bucket > budgetBuckets {
			b.bucket = current - budgetBuckets
		}
		next := (b.bucket + 1) % budgetBuckets
		b.requests[next] = 0
		b.repeats[next] = 0
	}
	return int(current % budgetBuckets)
}

// earn notes a first attempt.
func (b *budget) earn(bound RetryBound, now time.Time) {
	b.requests[b.advance(bound, now)]++
}

// spend says whether a repeat is allowed, and notes it.
func (b *budget) spend(bound RetryBound, sharers int, now time.Time) bool {
	position := b.advance(bound, now)
	var requests, repeats float64
	for i := range b.requests {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	allowed := retryShare * (bound.Ratio*requests + bound.Slack/float64(max(1, sharers)))
	if repeats+1 > allowed {
		return false
	}
	b.repeats[position]++
	return true
}
