package freshness

import (
	"math"
	"sync/atomic"
	"time"
)

// rewriteTime is the time after a restore of the platform's store within which the operator writes again
// what the store has lost.
const rewriteTime = 2 * time.Second

// Unknown is the age of a configuration that was never confirmed.
const Unknown = time.Duration(math.MaxInt64)

// Read describes one successful read from the platform that returned all changes up to its newest version.
type Read struct {
	// StartedAt and FinishedAt are when the call started and returned.
	StartedAt  time.Duration
	FinishedAt time.Duration
	// PlatformTime is the platform's monotonic clock when it answered, or 0 if the answer did not contain it.
	PlatformTime time.Duration
}

// PeerReport describes a peer's reply that contains the age of the peer's own confirmation.
type PeerReport struct {
	// RequestedAt is when the request was sent to the peer, by the clock of this machine.
	RequestedAt time.Duration
	// ReplyDelay is a lower bound of the time the peer took to reply, and Age the age of its confirmation when
	// it replied.
	ReplyDelay time.Duration
	Age        time.Duration
}

// Tracker keeps the latest time at which the current configuration is known to have been the newest.
// Age is safe for concurrent use; the other methods must be called from one goroutine.
type Tracker struct {
	confirmedAt atomic.Int64
	// lastReadAt is a lower bound of the time at which the platform's clock showed platformTime.
	lastReadAt   time.Duration
	platformTime time.Duration
	// trustedFrom is the time before which reads say nothing, as the store may have lost changes.
	trustedFrom time.Duration
}

// ObserveRestore records that the platform's store was restored from an older copy, as noticed at a time.
// Reads confirm nothing until the operator has written again what was lost.
func (t *Tracker) ObserveRestore(at time.Duration) {
	t.trustedFrom = at + rewriteTime
	t.platformTime = 0
}

// ObserveRead records a read from the platform. It is to be called once all changes of the read are in force.
func (t *Tracker) ObserveRead(r Read) {
	at := r.StartedAt
	if r.PlatformTime > t.platformTime && t.platformTime > 0 {
		// A long poll may be answered long after it started. The time of its answer is that of the previous
		// answer plus the time that has passed on the platform's clock. A result after the call returned is
		// due to a faulty platform clock and ignored.
		if answeredAt := t.lastReadAt + r.PlatformTime - t.platformTime; answeredAt <= r.FinishedAt {
			at = max(at, answeredAt)
		}
	}
	t.lastReadAt, t.platformTime = at, r.PlatformTime
	t.confirm(at)
}

// ObservePeer records a peer's report. It is to be called once all changes known to the peer are in force.
// Reports without a valid age are ignored.
func (t *Tracker) ObservePeer(r PeerReport) {
	if r.Age == Unknown || r.Age < 0 || r.ReplyDelay < 0 {
		return
	}
	// The request reached the peer at RequestedAt at the earliest, and the peer replied ReplyDelay later at
	// the earliest.
	t.confirm(r.RequestedAt + r.ReplyDelay - r.Age)
}

func (t *Tracker) confirm(at time.Duration) {
	if at >= t.trustedFrom && at > time.Duration(t.confirmedAt.Load()) {
		t.confirmedAt.Store(int64(at))
	}
}

// Age returns an upper bound of the time since the current configuration was the newest, or Unknown if it was
// never confirmed.
func (t *Tracker) Age(now time.Duration) time.Duration {
	at := t.confirmedAt.Load()
	if at == 0 {
		return Unknown
	}
	return max(0, now-time.Duration(at))
}
