package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Spans and sizes of what a Table remembers.
const (
	// confirmWithin is how long a server that broke off may take to show that it has ended.
	confirmWithin = 5 * time.Second
	// memory is how long crashes count in which a request was that other crashes met as well, and
	// so how long a request is held. A shorter one costs three more servers each time it ends.
	memory = 10 * time.Minute
	// briefMemory is how long other crashes count. On a day on which many servers end, each of
	// them is remembered with all that it had.
	briefMemory = 2 * time.Minute
	// maxCrashes bounds the crashes that are remembered, and maxRequests the requests of each: more
	// than a server's slots and queue hold.
	maxCrashes  = 128
	maxRequests = 64
)

// crash is a server that broke off requests, and may have ended.
type crash struct {
	at time.Time
	// heardAt is when this instance last learnt something of it.
	heardAt time.Time
	ended   bool
	// sentAt is when each request was sent to the server, by its fingerprint.
	sentAt map[uint64]time.Time
}

// clearance is when a request was answered well.
type clearance struct {
	at      time.Time
	heardAt time.Time
}

// Table remembers which requests were at servers that ended. Its methods may be called from several
// goroutines.
type Table struct {
	mu      sync.RWMutex
	crashes map[Server]*crash
	cleared map[uint64]clearance
	judged  judgements
	recent  recent
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{crashes: make(map[Server]*crash), cleared: make(map[uint64]clearance), judged: newJudgements()}
}

// RecordLoss notes that a server broke off a request. It says whether it is open if the server has ended, and
// whether others should know, as it has. A request that was answered well a moment ago, as one
// that many callers send, does not end servers: it was there by chance.
func (t *Table) RecordLoss(server Server, request uint64, sentAt, now time.Time) (open, news bool) {
	if t.recent.has(request, now) {
		return false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.crashes[server]
	if c == nil {
		c = &crash{at: now, sentAt: make(map[uint64]time.Time)}
		t.crashes[server] = c
	}
	added := t.add(c, request, sentAt, now)
	return !c.ended, c.ended && added
}

// add notes that a request was at a server, and says whether that is news. Nearly all requests that
// fall with a server were at no other, so that nothing has to be worked out anew for them.
func (t *Table) add(c *crash, request uint64, sentAt, now time.Time) bool {
	if _, known := c.sentAt[request]; known || len(c.sentAt) >= maxRequests {
		return false
	}
	c.sentAt[request] = sentAt
	c.heardAt = now
	if c.ended && t.count(c, request) {
		t.judge(now)
	}
	return true
}

// count counts an end of a server against a request that was there, and says whether all has to be
// judged anew for it.
func (t *Table) count(c *crash, request uint64) bool {
	if t.isCleared(c, request) {
		return false
	}
	t.judged.counts[request]++
	if !t.isExplained(c) {
		t.judged.suspects[request] = true
	}
	return t.judged.counts[request] >= enough
}

// isExplained says whether a request is held that was at a crash.
func (t *Table) isExplained(c *crash) bool {
	for request := range c.sentAt {
		if _, held := t.judged.held[request]; held {
			return true
		}
	}
	return false
}

// isCleared says whether a request was answered well since a crash.
func (t *Table) isCleared(c *crash, request uint64) bool {
	cleared, found := t.cleared[request]
	return found && !cleared.at.Before(c.at)
}

// RecordCrash notes that a server has ended, and returns the requests that it had if that is news.
func (t *Table) RecordCrash(server Server, now time.Time) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.crashes[server]
	if c == nil || c.ended {
		return nil
	}
	t.end(c, now)
	return slices.Sorted(maps.Keys(c.sentAt))
}

// end notes that the server of a crash has ended.
func (t *Table) end(c *crash, now time.Time) {
	c.ended = true
	c.heardAt = now
	judge := false
	for request := range c.sentAt {
		judge = t.count(c, request) || judge
	}
	if t.bound() || judge {
		t.judge(now)
	}
}

// RecordSuccess notes that a server answered a request well, and says whether other instances should know. They
// needn't of a request that was at one crash, as most are that fell with a server: on a day on which
// many servers end, that would be thousands.
func (t *Table) RecordSuccess(request uint64, now time.Time) bool {
	t.recent.note(request, now)
	if !t.isKnown(request) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.judged.counts[request] < 2 {
		delete(t.judged.suspects, request)
		return false
	}
	t.clear(request, clearance{at: now, heardAt: now}, now)
	return true
}

// clear notes that a request was answered well.
func (t *Table) clear(request uint64, c clearance, now time.Time) {
	t.cleared[request] = c
	if t.judged.counts[request] > 0 {
		// Ends that came later still count against it.
		t.judge(now)
	}
}

// isKnown says whether a request counts as one that was at a server which ended. Nearly all
// requests are not, and ask no more than that.
func (t *Table) isKnown(request uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.judged.counts[request] > 0
}

// Evaluate returns what is thought of a request.
func (t *Table) Evaluate(request uint64, now time.Time) Decision {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if h, found := t.judged.held[request]; found && now.Before(h.Until) {
		return Decision{Quarantined: true, Until: h.Until}
	}
	return Decision{Suspect: t.judged.suspects[request]}
}

// Quarantined returns the requests that are held, in order.
func (t *Table) Quarantined() []QuarantinedRequest {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.SortedFunc(maps.Values(t.judged.held), func(a, b QuarantinedRequest) int { return cmp.Compare(a.Request, b.Request) })
}

// Expire forgets what is too old to count.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := len(t.crashes) + len(t.cleared)
	maps.DeleteFunc(t.crashes, func(_ Server, c *crash) bool { return now.Sub(c.at) > t.lifetime(c) })
	maps.DeleteFunc(t.cleared, func(_ uint64, c clearance) bool { return now.Sub(c.at) > memory })
	if len(t.crashes)+len(t.cleared) != before {
		t.judge(now)
	}
}

// lifetime returns how long a crash is remembered.
func (t *Table) lifetime(c *crash) time.Duration {
	switch {
	case !c.ended:
		return confirmWithin
	case t.isRepeated(c):
		return memory
	}
	return briefMemory
}

// isRepeated says whether a crash had a request that was at others too.
func (t *Table) isRepeated(c *crash) bool {
	for request := range c.sentAt {
		if t.judged.counts[request] > 1 {
			return true
		}
	}
	return false
}

// bound forgets crashes beyond the bound, first those whose requests no other one had, and says whether it
// did. Which ones doesn't depend on when this instance heard of them, so that instances agree.
func (t *Table) bound() bool {
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
