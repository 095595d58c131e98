package dispatch

import (
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/backpressure"
)

// The load that this file answers: servers that ask for less than they would get, in answers to any request,
// whichever way it came to them.

const (
	// forgetAfter is how long what a server asked for is kept while the platform does not list it: its entry may
	// lapse in an outage and come back.
	forgetAfter = 10 * time.Minute
	// restartAfter is the same for a server that does not tell its lives apart: one that is listed again later than
	// that has started anew.
	restartAfter = 5 * time.Second
)

// life is one life of a server.
type life struct {
	name  string
	start int64
}

func lifeOf(s lovageyard.BackendServer) life {
	return life{name: s.Name, start: s.Life}
}

// keptRecord is what a server asked for.
type keptRecord struct {
	record *backpressure.Record
	// heardAt is when the server was heard last, and unlistedAt when the platform ceased to list it; zero if it lists it.
	heardAt    time.Time
	unlistedAt time.Time
}

type notices map[life]*keptRecord

// recordOf returns the record of a server that is listed, a new one if it has asked for nothing.
func (t *Table) recordOf(s lovageyard.BackendServer, now time.Time) *backpressure.Record {
	kept := t.notices[lifeOf(s)]
	if kept != nil && s.Life == 0 && !kept.unlistedAt.IsZero() && now.Sub(kept.unlistedAt) > restartAfter {
		delete(t.notices, lifeOf(s))
		kept = nil
	}
	if kept == nil {
		return backpressure.NewRecord(t.settings.Self, s.Name, t.instances)
	}
	return kept.record
}

// Observe takes in what an answer of a server asks for; its request was sent at a time. It says what that has
// changed.
func (t *Table) Observe(s lovageyard.BackendServer, n lovageyard.Notice, sentAt, now time.Time) backpressure.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.notices[lifeOf(s)]
	if kept == nil {
		if n == (lovageyard.Notice{}) {
			return backpressure.Change{}
		}
		kept = t.keep(s, now)
	}
	kept.heardAt = now
	return kept.record.Observe(n, sentAt, now)
}

// keep keeps the record of a server from now on.
func (t *Table) keep(s lovageyard.BackendServer, now time.Time) *keptRecord {
	kept := &keptRecord{record: backpressure.NewRecord(t.settings.Self, s.Name, t.instances)}
	if known := t.servers[s.Name]; known != nil && known.Life == s.Life {
		kept.record = known.record
		kept.record.SetInstances(t.instances, now)
	} else {
		kept.unlistedAt = now
	}
	t.notices[lifeOf(s)] = kept
	return kept
}

// relist notes which servers the platform lists, and forgets records that are too old.
func (t *Table) relist(now time.Time) {
	for one, kept := range t.notices {
		known := t.servers[one.name]
		isListed := known != nil && known.record == kept.record
		switch {
		case isListed:
			kept.unlistedAt = time.Time{}
		case kept.unlistedAt.IsZero():
			kept.unlistedAt = now
		case now.Sub(kept.unlistedAt) > forgetAfter && now.Sub(kept.heardAt) > forgetAfter:
			delete(t.notices, one)
		}
	}
}

// TakeResend says whether the server of a choice may get the request once more, and takes that from what it
// allows.
func (t *Table) TakeResend(c Choice, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.server.record.Allows(now) {
		return false
	}
	c.server.record.RecordSend(now)
	return true
}

// MaySend says whether the server of a choice still takes the request, which was chosen a moment ago.
func (t *Table) MaySend(c Choice, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !c.server.record.Rejects(now)
}

// heldBackUntil returns when a server takes the request that could run it but for what it has asked for, if there is
// one.
func (t *Table) heldBackUntil(r Request, s *service) (time.Time, bool) {
	var earliest time.Time
	found := false
	for _, one := range s.servers {
		if !t.couldRun(r, s, one) || one.record.Allows(r.Now) {
			continue
		}
		if until, ever := one.record.EarliestSend(r.Now); ever && (!found || until.Before(earliest)) {
			earliest, found = until, true
		}
	}
	return earliest, found
}
