package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lovageyard.example/lovageyard/instance"
)

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

// ReportFor returns the crashes under one request, without what else was there.
func (t *Table) ReportFor(request uint64, now time.Time) Report {
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
			digest ^= instance.MixHash(server.hash() ^ request)
		}
	}
	for request := range t.cleared {
		digest ^= instance.MixHash(request)
	}
	return digest
}
