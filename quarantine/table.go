package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Retention times and sizes of a Table.
const (
	// confirmTimeout is how long a crash is kept unconfirmed after the server closed a connection.
	confirmTimeout = 5 * time.Second
	// repeatedRetention is how long a crash is kept if one of its requests was in flight at another crash as
	// well; it also bounds how long a request is quarantined. Each time the quarantine of such a request
	// expires, it can crash three more servers.
	repeatedRetention = 10 * time.Minute
	// crashRetention is how long other crashes are kept. It is shorter because on a day with many crashes each
	// is kept with all requests that were in flight.
	crashRetention = 2 * time.Minute
	// maxCrashes bounds the number of crashes that are kept, and maxRequests the number of requests of each.
	// The latter exceeds what the slots and the queue of a server hold.
	maxCrashes  = 128
	maxRequests = 64
)

// crash is the suspected crash of a server that closed connections with requests in flight. It counts once
// confirmed is set.
type crash struct {
	at time.Time
	// updatedAt is when this instance last recorded or merged something about the crash.
	updatedAt time.Time
	confirmed bool
	// sentAt holds the time at which each request was sent to the server, by fingerprint.
	sentAt map[uint64]time.Time
}

// clearance is the last success of a request.
type clearance struct {
	at        time.Time
	updatedAt time.Time
}

// Table records which requests were in flight on servers that crashed, and decides which of them to
// quarantine. It is safe for concurrent use.
type Table struct {
	mu        sync.RWMutex
	crashes   map[Server]*crash
	cleared   map[uint64]clearance
	decisions decisions
	recent    recentSuccesses
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{crashes: make(map[Server]*crash), cleared: make(map[uint64]clearance), decisions: newDecisions()}
}

// RecordLoss records that a server closed the connection of a request in flight. It returns unconfirmed if it
// is not known yet whether the server has crashed, and changed if that is known and the request was added to
// the crash, so that other instances should be notified. A request that succeeded within recentWindow is
// ignored: it is one that many clients send, and was in flight only by coincidence.
func (t *Table) RecordLoss(server Server, request uint64, sentAt, now time.Time) (unconfirmed, changed bool) {
	if t.recent.contains(request, now) {
		return false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.crashes[server]
	if c == nil {
		c = &crash{at: now, sentAt: make(map[uint64]time.Time)}
		t.crashes[server] = c
	}
	added := t.addRequest(c, request, sentAt, now)
	return !c.confirmed, c.confirmed && added
}

// addRequest adds a request to a crash and returns whether it was new. Most requests of a crash were in flight
// at no other one, so that they need no evaluation.
func (t *Table) addRequest(c *crash, request uint64, sentAt, now time.Time) bool {
	if _, known := c.sentAt[request]; known || len(c.sentAt) >= maxRequests {
		return false
	}
	c.sentAt[request] = sentAt
	c.updatedAt = now
	if c.confirmed && t.countCrash(c, request) {
		t.evaluate(now)
	}
	return true
}

// countCrash counts a crash against a request, and returns whether all requests have to be evaluated again.
func (t *Table) countCrash(c *crash, request uint64) bool {
	if t.isCleared(c, request) {
		return false
	}
	t.decisions.counts[request]++
	if !t.isAttributed(c) {
		t.decisions.suspects[request] = true
	}
	return t.decisions.counts[request] >= quarantineThreshold
}

// isAttributed reports whether a request that was in flight at the crash is quarantined.
func (t *Table) isAttributed(c *crash) bool {
	for request := range c.sentAt {
		if _, quarantined := t.decisions.quarantined[request]; quarantined {
			return true
		}
	}
	return false
}

// isCleared reports whether a request has succeeded since a crash.
func (t *Table) isCleared(c *crash, request uint64) bool {
	cleared, found := t.cleared[request]
	return found && !cleared.at.Before(c.at)
}

// RecordCrash confirms that a server has crashed. It returns the requests that were in flight, or nil if the
// crash was confirmed before or no request was.
func (t *Table) RecordCrash(server Server, now time.Time) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.crashes[server]
	if c == nil || c.confirmed {
		return nil
	}
	t.confirm(c, now)
	return slices.Sorted(maps.Keys(c.sentAt))
}

// confirm marks a crash as confirmed and counts it against its requests.
func (t *Table) confirm(c *crash, now time.Time) {
	c.confirmed = true
	c.updatedAt = now
	reevaluate := false
	for request := range c.sentAt {
		reevaluate = t.countCrash(c, request) || reevaluate
	}
	if t.evict() || reevaluate {
		t.evaluate(now)
	}
}

// RecordSuccess records that a server answered a request successfully, and returns whether to report that to
// other instances. A request that was in flight at a single crash, as most are, is not reported: on a day with
// many crashes that would be thousands of reports.
func (t *Table) RecordSuccess(request uint64, now time.Time) bool {
	t.recent.record(request, now)
	if !t.hasCrashes(request) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.decisions.counts[request] < 2 {
		delete(t.decisions.suspects, request)
		return false
	}
	t.applyClearance(request, clearance{at: now, updatedAt: now}, now)
	return true
}

// applyClearance stores a clearance and evaluates the requests again if the cleared one is affected.
func (t *Table) applyClearance(request uint64, c clearance, now time.Time) {
	t.cleared[request] = c
	if t.decisions.counts[request] > 0 {
		// Crashes after the success still count against the request.
		t.evaluate(now)
	}
}

// hasCrashes reports whether any crash counts against a request. Nearly all requests have none, and need only
// this read lock.
func (t *Table) hasCrashes(request uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.decisions.counts[request] > 0
}

// Evaluate returns the current decision on a request.
func (t *Table) Evaluate(request uint64, now time.Time) Decision {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if q, found := t.decisions.quarantined[request]; found && now.Before(q.Until) {
		return Decision{Quarantined: true, Until: q.Until}
	}
	return Decision{Suspect: t.decisions.suspects[request]}
}

// Quarantined returns the quarantined requests, ordered by fingerprint.
func (t *Table) Quarantined() []QuarantinedRequest {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.SortedFunc(maps.Values(t.decisions.quarantined), func(a, b QuarantinedRequest) int { return cmp.Compare(a.Request, b.Request) })
}

// Expire removes the crashes and clearances that are too old to count.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := len(t.crashes) + len(t.cleared)
	maps.DeleteFunc(t.crashes, func(_ Server, c *crash) bool { return now.Sub(c.at) > t.retention(c) })
	maps.DeleteFunc(t.cleared, func(_ uint64, c clearance) bool { return now.Sub(c.at) > repeatedRetention })
	if len(t.crashes)+len(t.cleared) != before {
		t.evaluate(now)
	}
}

// retention returns how long a crash is kept.
func (t *Table) retention(c *crash) time.Duration {
	switch {
	case !c.confirmed:
		return confirmTimeout
	case t.isRepeated(c):
		return repeatedRetention
	}
	return crashRetention
}

// isRepeated reports whether a request that was in flight at the crash was also in flight at another one.
func (t *Table) isRepeated(c *crash) bool {
	for request := range c.sentAt {
		if t.decisions.counts[request] > 1 {
			return true
		}
	}
	return false
}

// evict removes crashes beyond maxCrashes, first those whose requests were in flight at no other one, and
// returns whether it removed any. The choice does not depend on the order in which this instance learned of
// them, so that all instances keep the same ones.
func (t *Table) evict() bool {
	if len(t.crashes) <= maxCrashes {
		return false
	}
	servers := slices.Collect(maps.Keys(t.crashes))
	slices.SortFunc(servers, func(a, b Server) int {
		if repeated := t.isRepeated(t.crashes[a]); repeated != t.isRepeated(t.crashes[b]) {
			if repeated {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.hash(), b.hash())
	})
	for _, server := range servers[maxCrashes:] {
		delete(t.crashes, server)
	}
	return true
}
