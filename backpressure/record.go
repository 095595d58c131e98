package backpressure

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/grant"
	"lovageyard.example/lovageyard/instance"
)

const (
	// limitShare is the part of a limit that is given out, as instances differ in how many of them they know.
	limitShare = 0.9
	// Instances without a part of a limit try the server now and then, all of them together at trialShare of
	// the limit and leastTrials a second more: only its answer tells them that it takes more again.
	trialShare  = 0.1
	leastTrials = 0.25
	// trialSpan is how long a trial may wait for a request. Trials that are not made in time are left out: saved
	// up, those of all instances could come at once.
	trialSpan = 4 * time.Second
)

// Record is what one life of a backend server has asked of this instance.
type Record struct {
	self   string
	server string
	// instances are all that share the server's limits.
	instances []string

	// leaving says that the server takes no new work any more in this life.
	leaving bool
	// backoffUntil is when the server takes requests from this instance again.
	backoffUntil time.Time

	limited bool
	limit   float64
	// namedAt is when the limit was first named since it was lifted last, and heardAt when it was named last.
	namedAt time.Time
	heardAt time.Time
	// rate is this instance's part of the limit in requests a second, or 0 if it has none, and
	// allowance spends it.
	rate      float64
	allowance *grant.TokenBucket
	// trialEvery is the time between two trials of an instance without a part; triedAt was the last one.
	trialEvery time.Duration
	triedAt    time.Time
}

// NewRecord returns the record of a server that has asked for nothing.
func NewRecord(self, server string, instances []string) *Record {
	return &Record{self: self, server: server, instances: instances}
}

// SetInstances sets the names of all instances that may be at work.
func (r *Record) SetInstances(names []string, now time.Time) {
	r.instances = names
	if r.limited {
		r.divide(now)
	}
}

// Change says what an answer has changed of what is known of its server.
type Change struct {
	Limit   bool
	Leaving bool
	// Backoff says that a backoff began which goes on.
	Backoff bool
}

// Observe takes in what an answer says to a request that was sent at a time.
func (r *Record) Observe(n lovageyard.Backpressure, sentAt, now time.Time) Change {
	change := Change{Limit: r.hearLimit(n, sentAt, now), Leaving: n.Leaving && !r.leaving}
	r.leaving = r.leaving || n.Leaving
	if n.Backoff > 0 {
		change.Backoff = !r.backoffUntil.After(now)
		// An answer that was on its way does not cut short what another has asked for.
		r.backoffUntil = later(r.backoffUntil, now.Add(n.Backoff))
	}
	return change
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hearLimit takes in the limit of an answer, and says whether it has changed. An answer without a limit lifts it only
// if its request was sent after the limit was named: answers may overtake each other.
func (r *Record) hearLimit(n lovageyard.Backpressure, sentAt, now time.Time) bool {
	switch {
	case n.Limited && r.limited && n.Limit == r.limit:
		r.heardAt = now
		return false
	case n.Limited:
		if !r.limited {
			r.namedAt = now
			r.allowance = grant.NewTokenBucket(0, now)
		}
		r.limited, r.limit, r.heardAt = true, n.Limit, now
		r.divide(now)
		return true
	case n.InvalidLimit, !r.limited, !sentAt.After(r.heardAt):
		return false
	}
	r.limited, r.limit = false, 0
	return true
}

// divide works out this instance's part of the limit.
func (r *Record) divide(now time.Time) {
	r.rate = grant.ShareOf(limitShare*r.limit, r.instances, r.server, r.self)
	r.allowance.SetRate(r.rate, now)
	trials := trialShare*r.limit + leastTrials
	r.trialEvery = max(trialSpan, time.Duration(float64(len(r.instances))/trials*float64(time.Second)))
}

// Limit returns the limit that the server names, and whether it names any.
func (r *Record) Limit() (float64, bool) {
	return r.limit, r.limited
}

// Leaving says whether the server takes no new work any more.
func (r *Record) Leaving() bool {
	return r.leaving
}

// Allows says whether the server may get a request now.
func (r *Record) Allows(now time.Time) bool {
	until, ever := r.EarliestSend(now)
	return ever && !until.After(now)
}

// RecordSend notes that a request is sent to the server.
func (r *Record) RecordSend(now time.Time) {
	if r.limited && !r.allowance.Take(now) {
		r.triedAt = now
	}
}

// Rejects says whether the server takes nothing now, whatever limit it names.
func (r *Record) Rejects(now time.Time) bool {
	return r.leaving || now.Before(r.backoffUntil)
}

// EarliestSend returns when the server may get a request at the earliest, or false if it never will.
func (r *Record) EarliestSend(now time.Time) (time.Time, bool) {
	if r.leaving {
		return time.Time{}, false
	}
	return later(r.backoffUntil, r.limitUntil(now)), true
}

// limitUntil returns when the limit allows a request at the earliest.
func (r *Record) limitUntil(now time.Time) time.Time {
	switch {
	case !r.limited:
		return now
	case r.rate > 0:
		return now.Add(r.allowance.Wait(now))
	}
	return r.nextTrial(now)
}

// nextTrial returns when the next trial may begin. The trials of instances are spread evenly over time, and none is made
// soon after the limit was named: instances that are restarted again and again would make one each time.
func (r *Record) nextTrial(now time.Time) time.Time {
	phase := float64(instance.Mix(xxhash.Sum64String(r.self)^xxhash.Sum64String(r.server))>>11) / (1 << 53)
	since := now.Sub(r.namedAt) - time.Duration((0.5+phase)*float64(r.trialEvery))
	if since < 0 {
		return now.Add(-since)
	}
	began := now.Add(-(since % r.trialEvery))
	if now.Sub(began) < trialSpan && r.triedAt.Before(began) {
		return now
	}
	return began.Add(r.trialEvery)
}
