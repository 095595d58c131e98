package dispatch

import "time"

// windowBuckets is the number of buckets of a windowCount.
const windowBuckets = 20

// windowCount is a count over a sliding window that is divided into buckets. The oldest bucket is left
// out, so that the count covers between 19 twentieths of the window and all of it.
type windowCount struct {
	buckets [windowBuckets]float64
	window  time.Duration
	// startedAt is the time of the first call with this window, and newest the index of the newest bucket
	// since then.
	startedAt time.Time
	newest    int64
}

// add adds n to the count.
func (c *windowCount) add(n float64, window time.Duration, now time.Time) {
	*c.advance(window, now) += n
}

// sum returns the count.
func (c *windowCount) sum(window time.Duration, now time.Time) float64 {
	c.advance(window, now)
	return c.total()
}

func (c *windowCount) total() float64 {
	total := 0.0
	for _, n := range c.buckets {
		total += n
	}
	return total
}

// advance clears the buckets that have left the window, and returns the newest one. It uses the
// difference of times, which a step of the wall clock does not change.
func (c *windowCount) advance(window time.Duration, now time.Time) *float64 {
	if c.window != window {
		// What was counted over the former window counts as of now, so that nothing spent is forgotten.
		total := c.total()
		*c = windowCount{window: window, startedAt: now}
		c.buckets[0] = total
	}
	current := int64(now.Sub(c.startedAt) / (window / windowBuckets))
	c.newest = max(c.newest, current-windowBuckets)
	for c.newest < current {
		c.newest++
		c.buckets[c.newest%windowBuckets] = 0
	}
	return &c.buckets[c.newest%windowBuckets]
}
