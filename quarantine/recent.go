package quarantine

import (
	"sync/atomic"
	"time"
)

// Bounds of the record of recent successes.
const (
	// recentWindow is how long a success clears a request of a crash that follows it.
	recentWindow = 2 * time.Second
	// recentSlots is the number of requests whose last success is kept. It is meant for frequent requests,
	// which are in flight on many servers at the same time.
	recentSlots = 4096
)

// recentSuccesses records the last success of each request. It uses no lock, as it is updated on every
// successful answer. Each request has the slot given by its fingerprint; a collision overwrites the older
// entry.
type recentSuccesses [recentSlots]atomic.Pointer[recentSuccess]

// recentSuccess is the last success of a request.
type recentSuccess struct {
	request uint64
	at      time.Time
}

func (r *recentSuccesses) record(request uint64, now time.Time) {
	r[request%recentSlots].Store(&recentSuccess{request: request, at: now})
}

// contains reports whether a request succeeded within recentWindow.
func (r *recentSuccesses) contains(request uint64, now time.Time) bool {
	last := r[request%recentSlots].Load()
	return last != nil && last.request == request && now.Sub(last.at) <= recentWindow
}
