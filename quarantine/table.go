package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lovageyard.example/lovageyard/instance"
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

// Lose notes that a server broke off a request. It says whether it is open if the server has ended, and
// whether others should know, as it has. A request that was answered well a moment ago, as one
// that many callers send, does not end servers: it was there by chance.
func (t *Table) Lose(server Server, request uint64, sentAt, now time.Time) (open, news bool) {
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

// End notes that a server has ended, and returns the requests that it had if that is news.
func (t *Table) End(server Server, now time.Time) []uint64 {
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

// Clear notes that a server answered a request well, and says whether other instances should know. They
// needn't of a request that was at one crash, as most are that fell with a server: on a day on which
// many servers end, that would be thousands.
func (t *Table) Clear(request uint64, now time.Time) bool {
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
	if t.judged.counts[request] >= enough {
		t.judge(now)
		return
	}
	delete(t.judged.counts, request)
	delete(t.judged.suspects, request)
}

// isKnown says whether a request counts as one that was at a server which ended. Nearly all
// requests are not, and ask no more than that.
func (t *Table) isKnown(request uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.judged.counts[request] > 0
}

// Judge returns what is thought of a request.
func (t *Table) Judge(request uint64, now time.Time) Judgement {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if h, found := t.judged.held[request]; found && now.Before(h.Until) {
		return Judgement{Held: true, Until: h.Until}
	}
	return Judgement{Suspect: t.judged.suspects[request]}
}

// Held returns the requests that are held, in order.
func (t *Table) Held() []Hold {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.SortedFunc(maps.Values(t.judged.held), func(a, b Hold) int { return cmp.Compare(a.Request, b.Request) })
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

// Merge takes in what another instance tells, and says whether any of it was news.
func (t *Table) Merge(r Report, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	news := false
	repeated := t.repeated(r)
	for _, told := range r.Crashes {
		if told.Age < briefMemory || told.Age < memory && told.has(repeated) {
			news = t.mergeCrash(told, now) || news
		}
	}
	for _, told := range r.Clearances {
		at := now.Add(-told.Age)
		if known, found := t.cleared[told.Request]; told.Age < memory && (!found || at.After(known.at.Add(clockSlack))) {
			t.clear(told.Request, clearance{at: at, heardAt: now}, now)
			news = true
		}
	}
	return news
}

// clockSlack is how far the ages of one event may differ between instances, as the way of a
// message counts as none of it.
const clockSlack = time.Second

func (t *Table) mergeCrash(told Crash, now time.Time) bool {
	at := now.Add(-told.Age)
	c := t.crashes[told.Server]
	if c == nil {
		c = &crash{at: at, sentAt: make(map[uint64]time.Time)}
		t.crashes[told.Server] = c
	}
	if at.Before(c.at) {
		// Word that took less time on its way is nearer to the truth. A request that was sent on since
		// would else seem to have been sent before.
		c.at = at
	}
	news := false
	for _, l := range told.Losses {
		news = t.add(c, l.Request, now.Add(-l.SentAge), now) || news
	}
	if !c.ended {
		t.end(c, now)
		news = true
	}
	return news
}

// repeated returns the requests of a report that were at more than one crash that is known here or told of.
func (t *Table) repeated(r Report) map[uint64]bool {
	seen := make(map[uint64]bool)
	repeated := make(map[uint64]bool)
	for _, told := range r.Crashes {
		for _, l := range told.Losses {
			if seen[l.Request] || t.judged.counts[l.Request] > 0 {
				repeated[l.Request] = true
			}
			seen[l.Request] = true
		}
	}
	return repeated
}

// has says whether a crash had one of some requests.
func (c Crash) has(requests map[uint64]bool) bool {
	return slices.ContainsFunc(c.Losses, func(l Loss) bool { return requests[l.Request] })
}

// Report returns all that other instances should know.
func (t *Table) Report(now time.Time) Report {
	return t.ReportSince(time.Time{}, now)
}

// ReportOf returns the crashes under one request, without what else was there.
func (t *Table) ReportOf(request uint64, now time.Time) Report {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var r Report
	for server, c := range t.crashes {
		if sentAt, found := c.sentAt[request]; found && c.ended {
			r.Crashes = append(r.Crashes, Crash{
				Server: server, Losses: []Loss{{Request: request, SentAge: now.Sub(sentAt)}}, Age: now.Sub(c.at),
			})
		}
	}
	slices.SortFunc(r.Crashes, func(a, b Crash) int { return cmp.Compare(b.Age, a.Age) })
	return r
}

// ReportSince returns what this instance has learnt since a moment.
func (t *Table) ReportSince(since, now time.Time) Report {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var r Report
	for server, c := range t.crashes {
		if c.ended && !c.heardAt.Before(since) {
			r.Crashes = append(r.Crashes, Crash{Server: server, Losses: c.losses(now), Age: now.Sub(c.at)})
		}
	}
	for request, c := range t.cleared {
		if !c.heardAt.Before(since) {
			r.Clearances = append(r.Clearances, Clearance{Request: request, Age: now.Sub(c.at)})
		}
	}
	slices.SortFunc(r.Crashes, func(a, b Crash) int { return cmp.Compare(a.Server.hash(), b.Server.hash()) })
	slices.SortFunc(r.Clearances, func(a, b Clearance) int { return cmp.Compare(a.Request, b.Request) })
	return r
}

// losses returns the requests that fell with a server, in order.
func (c *crash) losses(now time.Time) []Loss {
	var losses []Loss
	for _, request := range slices.Sorted(maps.Keys(c.sentAt)) {
		losses = append(losses, Loss{Request: request, SentAge: now.Sub(c.sentAt[request])})
	}
	return losses
}

// Digest returns a number that is the same for tables that know the same.
func (t *Table) Digest() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	digest := uint64(0)
	for server, c := range t.crashes {
		if !c.ended {
			continue
		}
		for request := range c.sentAt {
			digest ^= instance.Mix(server.hash() ^ request)
		}
	}
	for request := range t.cleared {
		digest ^= instance.Mix(request)
	}
	return digest
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
