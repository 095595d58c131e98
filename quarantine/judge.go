package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Evidence that a request needs against it.
const (
	// enough is how many servers must have ended while they had a request until it is held: what
	// operators allow one request to cost them.
	enough = 3
	// certain is the number at which it is held even if another request was at all the same
	// servers. Until then such two are sent to different servers, which shows soon
	// which of them is the cause.
	certain = 5
)

// Decision is what is thought of a request.
type Decision struct {
	// Suspect says that the request was at a server that ended, for no reason that is known.
	Suspect bool
	// Held says that the request ends servers and is refused, until Until.
	Quarantined bool
	Until       time.Time
}

// QuarantinedRequest is a request that is held.
type QuarantinedRequest struct {
	Request uint64
	// Servers are the names of the servers that ended under it.
	Servers []string
	Until   time.Time
}

// judgements are what follows from all crashes.
type judgements struct {
	// counts is in how many crashes a request was since it was last answered well.
	counts   map[uint64]int
	held     map[uint64]QuarantinedRequest
	suspects map[uint64]bool
}

func newJudgements() judgements {
	return judgements{counts: make(map[uint64]int), held: make(map[uint64]QuarantinedRequest), suspects: make(map[uint64]bool)}
}

// judge works out anew what is thought of all requests. The request that was at most of the servers
// that ended goes first; what it explains does not count against any other, as one cause is
// enough for an end.
func (t *Table) judge(now time.Time) {
	e := t.evidence()
	t.judged = newJudgements()
	for request, servers := range e.of {
		t.judged.counts[request] = len(servers)
	}
	for {
		request, found := e.culprit()
		if !found {
			break
		}
		t.judged.held[request] = t.hold(request, e.of[request], now)
		e.explain(request)
	}
	for request := range e.of {
		if _, held := t.judged.held[request]; !held && e.open(request) > 0 {
			t.judged.suspects[request] = true
		}
	}
}

// hold returns how a request is held: as long as enough crashes under it are remembered.
func (t *Table) hold(request uint64, servers []Server, now time.Time) QuarantinedRequest {
	var names []string
	var ends []time.Time
	for _, s := range servers {
		names = append(names, s.Name)
		ends = append(ends, t.crashes[s].at.Add(memory))
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	until := now
	if len(ends) >= enough {
		until = ends[enough-1]
	}
	return QuarantinedRequest{Request: request, Servers: names, Until: until}
}

// evidence is which requests were at which servers that ended.
type evidence struct {
	// of has the servers of each request in the order of their ends.
	of        map[uint64][]Server
	crashes   map[Server]*crash
	at        map[Server][]uint64
	explained map[Server]bool
}

// evidence returns what counts: a request that was answered well since is none of it.
func (t *Table) evidence() *evidence {
	e := &evidence{of: make(map[uint64][]Server), crashes: t.crashes, at: make(map[Server][]uint64), explained: make(map[Server]bool)}
	for server, c := range t.crashes {
		if !c.ended {
			continue
		}
		for request := range c.sentAt {
			if t.isCleared(c, request) {
				continue
			}
			e.of[request] = append(e.of[request], server)
			e.at[server] = append(e.at[server], request)
		}
	}
	for _, servers := range e.of {
		slices.SortFunc(servers, func(a, b Server) int {
			return cmp.Or(t.crashes[a].at.Compare(t.crashes[b].at), cmp.Compare(a.hash(), b.hash()))
		})
	}
	return e
}

// open returns how many ends a request was at that no held request explains, each after it was sent on
// from the one before. Servers that end together have a common cause, and a request that its
// client sent again and again may be at all of them.
func (e *evidence) open(request uint64) int {
	n := 0
	var last time.Time
	for _, server := range e.of[request] {
		c := e.crashes[server]
		if e.explained[server] || n > 0 && c.sentAt[request].Before(last) {
			continue
		}
		n++
		last = c.at
	}
	return n
}

// explain notes that a request is the cause of all ends that it was at.
func (e *evidence) explain(request uint64) {
	for _, server := range e.of[request] {
		e.explained[server] = true
	}
}

// culprit returns the next request to hold, if there is one.
func (e *evidence) culprit() (uint64, bool) {
	best := enough
	var first []uint64
	for _, request := range slices.Sorted(maps.Keys(e.of)) {
		n := e.open(request)
		if n > best {
			best, first = n, nil
		}
		if n == best {
			first = append(first, request)
		}
	}
	for _, request := range first {
		if best >= certain || !e.hasRival(request, best) {
			return request, true
		}
	}
	return 0, false
}

// hasRival says whether another request explains as many ends, one of them the same: then
// either may be the cause.
func (e *evidence) hasRival(request uint64, count int) bool {
	for _, server := range e.of[request] {
		if e.explained[server] {
			continue
		}
		for _, other := range e.at[server] {
			if other != request && e.open(other) == count {
				return true
			}
		}
	}
	return false
}
