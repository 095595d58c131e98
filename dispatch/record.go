package dispatch

import (
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/backpressure"
)

// Any response of a server may request a rate limit or a backoff, or announce that the server is
// shutting down. This backpressure is recorded per incarnation of a server and applies to first
// attempts, retries and resends alike.

const (
	// recordTTL is how long the record of a server is kept while the platform does not list the
	// server: its entry may expire during an outage of the platform and return.
	recordTTL = 10 * time.Minute
	// assumedRestartGap applies to a server that does not report its incarnation. If it is listed
	// again after a longer gap, it is assumed to have restarted and its record is discarded.
	assumedRestartGap = 5 * time.Second
)

// incarnation identifies one incarnation of a server.
type incarnation struct {
	name      string
	startedAt int64
}

func incarnationOf(s lovageyard.BackendServer) incarnation {
	return incarnation{name: s.Name, startedAt: s.Incarnation}
}

// recordEntry is the backpressure record of one incarnation.
type recordEntry struct {
	record *backpressure.Record
	// lastSeen is when the server last answered, and unlistedAt when the platform stopped listing
	// it; zero while it is listed.
	lastSeen   time.Time
	unlistedAt time.Time
}

type recordTable map[incarnation]*recordEntry

// recordOf returns the record of a listed server, or a new one if the server has requested nothing.
func (t *Table) recordOf(s lovageyard.BackendServer, now time.Time) *backpressure.Record {
	entry := t.records[incarnationOf(s)]
	if entry != nil && s.Incarnation == 0 && !entry.unlistedAt.IsZero() && now.Sub(entry.unlistedAt) > assumedRestartGap {
		delete(t.records, incarnationOf(s))
		entry = nil
	}
	if entry == nil {
		return backpressure.NewRecord(t.settings.Self, s.Name, t.instances)
	}
	return entry.record
}

// Observe applies the backpressure that a response of a server requests, and returns what has
// changed. The request was sent at sentAt.
func (t *Table) Observe(s lovageyard.BackendServer, requested lovageyard.Backpressure, sentAt, now time.Time) backpressure.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.records[incarnationOf(s)]
	if entry == nil {
		if requested == (lovageyard.Backpressure{}) {
			return backpressure.Change{}
		}
		entry = t.addRecord(s, now)
	}
	entry.lastSeen = now
	return entry.record.Observe(requested, sentAt, now)
}

// addRecord starts to keep the record of a server.
func (t *Table) addRecord(s lovageyard.BackendServer, now time.Time) *recordEntry {
	entry := &recordEntry{record: backpressure.NewRecord(t.settings.Self, s.Name, t.instances)}
	if known := t.servers[s.Name]; known != nil && known.Incarnation == s.Incarnation {
		entry.record = known.record
		entry.record.SetInstances(t.instances, now)
	} else {
		entry.unlistedAt = now
	}
	t.records[incarnationOf(s)] = entry
	return entry
}

// updateListed records which servers the platform lists, and deletes expired records.
func (t *Table) updateListed(now time.Time) {
	for key, entry := range t.records {
		known := t.servers[key.name]
		isListed := known != nil && known.record == entry.record
		switch {
		case isListed:
			entry.unlistedAt = time.Time{}
		case entry.unlistedAt.IsZero():
			entry.unlistedAt = now
		case now.Sub(entry.unlistedAt) > recordTTL && now.Sub(entry.lastSeen) > recordTTL:
			delete(t.records, key)
		}
	}
}

// TakeResend reports whether the request may be sent to the server of a choice once more, and
// counts it against the server's rate limit and the bound on cold servers if so.
func (t *Table) TakeResend(c Choice, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isInUse(c.server) || !c.server.record.Allows(now) || !t.coldBoundAllows(c.service, c.server, now) {
		return false
	}
	c.server.record.RecordSend(now)
	c.server.recordColdSend(now)
	return true
}

// MaySend reports whether the request may still be sent to the server of a choice, which may have
// requested a backoff, announced its shutdown, left the platform's list or been drained since.
func (t *Table) MaySend(c Choice, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isInUse(c.server) && !c.server.record.Rejects(now)
}

// isInUse reports whether a server that was chosen earlier may still get requests, by the platform's list.
func (t *Table) isInUse(s *server) bool {
	return t.servers[s.Name] == s && s.isAvailable() && !t.drained[s.FailureDomain]
}

// backpressureUntil returns the earliest time at which a server accepts the request, among those
// that are not eligible because of backpressure only, and whether there is any.
func (t *Table) backpressureUntil(r Request, s *service) (time.Time, bool) {
	var earliest time.Time
	found := false
	for _, b := range s.servers {
		if !t.isEligibleExceptBackpressure(r, s, b) || b.record.Allows(r.Now) {
			continue
		}
		if until, ever := b.record.EarliestSend(r.Now); ever && (!found || until.Before(earliest)) {
			earliest, found = until, true
		}
	}
	return earliest, found
}
