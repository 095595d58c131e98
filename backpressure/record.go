package backpressure

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/grant"
	"lovageyard.example/lovageyard/instance"
)

const (
	// limitShare is the part of a limit that is used, as instances differ in how many others they
	// know.
	limitShare = 0.9
	// Instances without a share of a limit probe the server at intervals, as only a response can
	// report that the limit was lifted. All of them together send probeShare of the limit plus
	// minProbeRate probes per second.
	probeShare   = 0.1
	minProbeRate = 0.25
	// probeWindow is how long a due probe waits for a request that can serve as the probe. Then it
	// is skipped; if probes accumulated, those of all instances could coincide.
	probeWindow = 4 * time.Second
)

// Record holds what one incarnation of a backend server has requested from this instance. It is not
// safe for concurrent use.
type Record struct {
	self   string
	server string
	// instances are the names of all instances that share the server's limits.
	instances []string

	// leaving means that this incarnation accepts no further requests.
	leaving bool
	// backoffUntil is when the server accepts requests from this instance again.
	backoffUntil time.Time

	limited bool
	limit   float64
	// limitedSince is when a limit was first reported after a time without one, and limitSeenAt
	// when it was last reported.
	limitedSince time.Time
	limitSeenAt  time.Time
	// share is this instance's share of the limit in requests per second, or 0 if it has none;
	// bucket enforces it.
	share  float64
	bucket *grant.TokenBucket
	// probeInterval is the time between two probes of an instance without a share, and lastProbe is
	// when the last one was sent.
	probeInterval time.Duration
	lastProbe     time.Time
}

// NewRecord returns the record of a server that has requested nothing, for the instance named self.
func NewRecord(self, server string, instances []string) *Record {
	return &Record{self: self, server: server, instances: instances}
}

// SetInstances sets the names of all active instances and recomputes this instance's share of the
// limit.
func (r *Record) SetInstances(names []string, now time.Time) {
	r.instances = names
	if r.limited {
		r.divide(now)
	}
}

// Change describes which parts of a record a response has changed.
type Change struct {
	Limit   bool
	Leaving bool
	// Backoff means that a backoff has begun; the extension of one that is in effect does not
	// count.
	Backoff bool
}

// Observe applies the backpressure of a response to a request that was sent at sentAt, and returns
// what has changed.
func (r *Record) Observe(requested lovageyard.Backpressure, sentAt, now time.Time) Change {
	change := Change{Limit: r.observeLimit(requested, sentAt, now), Leaving: requested.Leaving && !r.leaving}
	r.leaving = r.leaving || requested.Leaving
	if requested.Backoff > 0 {
		change.Backoff = !r.backoffUntil.After(now)
		// A response that was sent earlier must not shorten the backoff that another has requested.
		r.backoffUntil = later(r.backoffUntil, now.Add(requested.Backoff))
	}
	return change
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// observeLimit applies the limit of a response and reports whether the limit has changed. A
// response without a limit lifts it only if its request was sent after the limit was last reported,
// as responses may arrive out of order.
func (r *Record) observeLimit(requested lovageyard.Backpressure, sentAt, now time.Time) bool {
	switch {
	case requested.Limited && r.limited && requested.Limit == r.limit:
		r.limitSeenAt = now
		return false
	case requested.Limited:
		if !r.limited {
			r.limitedSince = now
			r.bucket = grant.NewTokenBucket(0, now)
		}
		r.limited, r.limit, r.limitSeenAt = true, requested.Limit, now
		r.divide(now)
		return true
	case requested.InvalidLimit, !r.limited, !sentAt.After(r.limitSeenAt):
		return false
	}
	r.limited, r.limit = false, 0
	return true
}

// divide recomputes this instance's share of the limit and its probe interval.
func (r *Record) divide(now time.Time) {
	r.share = grant.ShareOf(limitShare*r.limit, r.instances, r.server, r.self)
	r.bucket.SetRate(r.share, now)
	probeRate := probeShare*r.limit + minProbeRate
	r.probeInterval = max(probeWindow, time.Duration(float64(len(r.instances))/probeRate*float64(time.Second)))
}

// Limit returns the rate limit in requests per second, and whether the server has set one.
func (r *Record) Limit() (float64, bool) {
	return r.limit, r.limited
}

// Leaving reports whether the server has announced that it is shutting down.
func (r *Record) Leaving() bool {
	return r.leaving
}

// Allows reports whether the server may get a request now.
func (r *Record) Allows(now time.Time) bool {
	until, ever := r.EarliestSend(now)
	return ever && !until.After(now)
}

// RecordSend counts a request that is sent to the server against the limit.
func (r *Record) RecordSend(now time.Time) {
	if r.limited && !r.bucket.Take(now) {
		r.lastProbe = now
	}
}

// Rejects reports whether the server accepts no requests now because of a backoff or its shutdown,
// whatever its rate limit.
func (r *Record) Rejects(now time.Time) bool {
	return r.leaving || now.Before(r.backoffUntil)
}

// EarliestSend returns the earliest time at which the server may get a request, or false if this
// incarnation accepts no more.
func (r *Record) EarliestSend(now time.Time) (time.Time, bool) {
	if r.leaving {
		return time.Time{}, false
	}
	return later(r.backoffUntil, r.limitAllowsAt(now)), true
}

// limitAllowsAt returns the earliest time at which the rate limit allows a request.
func (r *Record) limitAllowsAt(now time.Time) time.Time {
	switch {
	case !r.limited:
		return now
	case r.share > 0:
		return now.Add(r.bucket.Wait(now))
	}
	return r.nextProbe(now)
}

// nextProbe returns when the next probe may be sent. A hash spreads the probes of all instances
// evenly over time. None is sent soon after this instance first saw the limit: otherwise instances
// that restart repeatedly would each send one after every restart.
func (r *Record) nextProbe(now time.Time) time.Time {
	phase := float64(instance.MixHash(xxhash.Sum64String(r.self)^xxhash.Sum64String(r.server))>>11) / (1 << 53)
	elapsed := now.Sub(r.limitedSince) - time.Duration((0.5+phase)*float64(r.probeInterval))
	if elapsed < 0 {
		return now.Add(-elapsed)
	}
	windowStart := now.Add(-(elapsed % r.probeInterval))
	if now.Sub(windowStart) < probeWindow && r.lastProbe.Before(windowStart) {
		return now
	}
	return windowStart.Add(r.probeInterval)
}
