package quarantine

import (
	"sync/atomic"
	"time"
)

// Recent answers.
const (
	// recentFor is how long before a crash a good answer still speaks for a request.
	recentFor = 2 * time.Second
	// recentSlots is how many requests are remembered as answered of late: those that come
	// often, which are at many servers at once.
	recentSlots = 4096
)

// recent remembers which requests were answered well of late, without a lock, as it is told of every
// answer. A request is at the slot that its fingerprint gives; the last one there stays.
type recent [recentSlots]atomic.Pointer[recentAnswer]

// recentAnswer is the last good answer to a request.
type recentAnswer struct {
	request uint64
	at      time.Time
}

func (r *recent) note(request uint64, now time.Time) {
	r[request%recentSlots].Store(&recentAnswer{request: request, at: now})
}

// has says whether a request was answered well of late.
func (r *recent) has(request uint64, now time.Time) bool {
	last := r[request%recentSlots].Load()
	return last != nil && last.request == request && now.Sub(last.at) <= recentFor
}
