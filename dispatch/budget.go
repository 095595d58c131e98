package dispatch

import "time"

// budgetBuckets is the number of buckets in the sliding window of a retry budget.
const budgetBuckets = 20

// RetryBound limits the attempts beyond the first ones that all instances together may send to a
// service.
type RetryBound struct {
	// Ratio is the allowed number of retries per request within one Window.
	Ratio  float64
	Window time.Duration
	// Slack is the number of retries allowed in addition to Ratio, for all instances together.
	Slack float64
}

// retryBoundShare is the part of the bound that is used, as the windows of different instances are
// not aligned.
const retryBoundShare = 0.75

// budget counts requests and retries in a sliding window.
type budget struct {
	requests [budgetBuckets]float64
	retries  [budgetBuckets]float64
	bucket   int64
}

// advance clears the buckets that have left the window and returns the index of the current bucket.
func (b *budget) advance(bound RetryBound, now time.Time) int {
	current := now.UnixNano() / int64(bound.Window/budgetBuckets)
	for ; b.bucket < current; b.bucket++ {
		if current-b.bucket > budgetBuckets {
			b.bucket = current - budgetBuckets
		}
		next := (b.bucket + 1) % budgetBuckets
		b.requests[next] = 0
		b.retries[next] = 0
	}
	return int(current % budgetBuckets)
}

// recordRequest records a first attempt.
func (b *budget) recordRequest(bound RetryBound, now time.Time) {
	b.requests[b.advance(bound, now)]++
}

// RetryDecision tells whether a retry is allowed, and why.
type RetryDecision struct {
	Allowed bool
	// Spent is the number of retries of this instance in the last window, without this one, and Limit the number
	// that is allowed.
	Spent, Limit float64
	// Instances is the number of instances among which the bound is divided.
	Instances int
}

// takeRetry decides on a retry, and records it if it is allowed.
func (b *budget) takeRetry(bound RetryBound, instances int, now time.Time) RetryDecision {
	current := b.advance(bound, now)
	var requests, retries float64
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	instances = max(1, instances)
	limit := retryBoundShare * (bound.Ratio*requests + bound.Slack/float64(instances))
	d := RetryDecision{Allowed: retries+1 <= limit, Spent: retries, Limit: limit, Instances: instances}
	if d.Allowed {
		b.retries[current]++
	}
	return d
}
