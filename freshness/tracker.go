package freshness

import (
	"math"
	"sync/atomic"
	"time"
)

// Unknown is the age of what was never confirmed.
const Unknown = time.Duration(math.MaxInt64)

// Read is one answer of the platform that holds all changes up to its newest version.
type Read struct {
	// BeganAt and EndedAt are when the call was made and answered.
	StartedAt  time.Duration
	FinishedAt time.Duration
	// PlatformTime is the platform's steady clock as it answered, or 0 if it did not say.
	PlatformTime time.Duration
}

// PeerReport is a peer's answer that tells how old its own knowledge was.
type PeerReport struct {
	// AskedAt is when the peer was asked.
	RequestedAt time.Duration
	// Held is how long the peer took to answer, at least, and Age the age of its knowledge as it did.
	ReplyDelay time.Duration
	Age        time.Duration
}

// Tracker keeps the last moment at which the configuration in force is known to have been the newest.
// ObserveRead and Hear belong to one goroutine; Age may be called from several.
type Tracker struct {
	confirmedAt atomic.Int64
	// readAt is a moment that is not after the one at which the platform's clock showed platformTime.
	readAt       time.Duration
	platformTime time.Duration
}

// ObserveRead takes in an answer of the platform, once all changes in it are in force.
func (t *Tracker) ObserveRead(r Read) {
	at := r.StartedAt
	if r.PlatformTime > t.platformTime && t.platformTime > 0 {
		// A call that waited was answered later than it began, by the time that has passed at the platform
		// since another answer. A clock of the platform that goes wrong can't lead past the call's end.
		if by := t.readAt + r.PlatformTime - t.platformTime; by <= r.FinishedAt {
			at = max(at, by)
		}
	}
	t.readAt, t.platformTime = at, r.PlatformTime
	t.confirm(at)
}

// ObservePeer takes in a peer's word, once all changes that the peer knew are in force.
func (t *Tracker) ObservePeer(w PeerReport) {
	if w.Age == Unknown || w.Age < 0 || w.ReplyDelay < 0 {
		return
	}
	// The peer was asked at AskedAt at the earliest, and answered Held later at the earliest.
	t.confirm(w.RequestedAt + w.ReplyDelay - w.Age)
}

func (t *Tracker) confirm(at time.Duration) {
	if at > time.Duration(t.confirmedAt.Load()) {
		t.confirmedAt.Store(int64(at))
	}
}

// Age returns how long ago, at most, the configuration in force was the newest, or Unknown.
func (t *Tracker) Age(now time.Duration) time.Duration {
	at := t.confirmedAt.Load()
	if at == 0 {
		return Unknown
	}
	return max(0, now-time.Duration(at))
}
