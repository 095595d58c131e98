package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lovageyard.example/lovageyard/instance"
)

// Merge applies a report from another instance. It returns whether the report changed the table.
func (t *Table) Merge(r Report, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	repeated := t.repeatedRequests(r)
	for _, reported := range r.Crashes {
		if reported.Age < crashRetention || reported.Age < repeatedRetention && reported.containsAny(repeated) {
			changed = t.mergeCrash(reported, now) || changed
		}
	}
	for _, reported := range r.Clearances {
		at := now.Add(-reported.Age)
		if known, found := t.cleared[reported.Request]; reported.Age < repeatedRetention && (!found || at.After(known.at.Add(ageTolerance))) {
			t.applyClearance(reported.Request, clearance{at: at, updatedAt: now}, now)
			changed = true
		}
	}
	return changed
}

// ageTolerance is how far the age of one event may differ between instances, as ages do not include the
// network delay of the report.
const ageTolerance = time.Second

func (t *Table) mergeCrash(reported Crash, now time.Time) bool {
	at := now.Add(-reported.Age)
	c := t.crashes[reported.Server]
	if c == nil {
		c = &crash{at: at, sentAt: make(map[uint64]time.Time)}
		t.crashes[reported.Server] = c
	}
	if at.Before(c.at) {
		// Network delays make crashes appear later than they were, so the earlier time is more accurate. With
		// the later one, a request that was sent to another server after the crash could appear to have been
		// sent before it.
		c.at = at
	}
	changed := false
	for _, l := range reported.Losses {
		changed = t.addRequest(c, l.Request, now.Add(-l.SentAge), now) || changed
	}
	if !c.confirmed {
		t.confirm(c, now)
		changed = true
	}
	return changed
}

// repeatedRequests returns the requests of a report that were in flight at more than one crash, counting the
// crashes in the report and those already known here.
func (t *Table) repeatedRequests(r Report) map[uint64]bool {
	seen := make(map[uint64]bool)
	repeated := make(map[uint64]bool)
	for _, reported := range r.Crashes {
		for _, l := range reported.Losses {
			if seen[l.Request] || t.decisions.counts[l.Request] > 0 {
				repeated[l.Request] = true
			}
			seen[l.Request] = true
		}
	}
	return repeated
}

// containsAny reports whether any of the requests was in flight at the crash.
func (c Crash) containsAny(requests map[uint64]bool) bool {
	return slices.ContainsFunc(c.Losses, func(l Loss) bool { return requests[l.Request] })
}

// Report returns the whole state that other instances need.
func (t *Table) Report(now time.Time) Report {
	return t.ReportSince(time.Time{}, now)
}

// ReportFor returns the confirmed crashes at which one request was in flight, without the other requests that
// were in flight.
func (t *Table) ReportFor(request uint64, now time.Time) Report {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var r Report
	for server, c := range t.crashes {
		if sentAt, found := c.sentAt[request]; found && c.confirmed {
			r.Crashes = append(r.Crashes, Crash{
				Server: server, Losses: []Loss{{Request: request, SentAge: now.Sub(sentAt)}}, Age: now.Sub(c.at),
			})
		}
	}
	slices.SortFunc(r.Crashes, func(a, b Crash) int { return cmp.Compare(b.Age, a.Age) })
	return r
}

// ReportSince returns what this instance has recorded or merged since a time.
func (t *Table) ReportSince(since, now time.Time) Report {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var r Report
	for server, c := range t.crashes {
		if c.confirmed && !c.updatedAt.Before(since) {
			r.Crashes = append(r.Crashes, Crash{Server: server, Losses: c.losses(now), Age: now.Sub(c.at)})
		}
	}
	for request, c := range t.cleared {
		if !c.updatedAt.Before(since) {
			r.Clearances = append(r.Clearances, Clearance{Request: request, Age: now.Sub(c.at)})
		}
	}
	slices.SortFunc(r.Crashes, func(a, b Crash) int { return cmp.Compare(a.Server.hash(), b.Server.hash()) })
	slices.SortFunc(r.Clearances, func(a, b Clearance) int { return cmp.Compare(a.Request, b.Request) })
	return r
}

// losses returns the requests that were in flight at the crash, ordered by fingerprint.
func (c *crash) losses(now time.Time) []Loss {
	var losses []Loss
	for _, request := range slices.Sorted(maps.Keys(c.sentAt)) {
		losses = append(losses, Loss{Request: request, SentAge: now.Sub(c.sentAt[request])})
	}
	return losses
}

// Digest returns a hash of the confirmed crashes and clearances. Tables with the same state have the same
// digest.
func (t *Table) Digest() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	digest := uint64(0)
	for server, c := range t.crashes {
		if !c.confirmed {
			continue
		}
		for request := range c.sentAt {
			digest ^= instance.MixHash(server.hash() ^ request)
		}
	}
	for request := range t.cleared {
		digest ^= instance.MixHash(request)
	}
	return digest
}
