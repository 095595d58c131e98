package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Numbers of crashes from which on a request is quarantined.
const (
	// quarantineThreshold is the number of crashes at which a request is quarantined. Operators accept the
	// loss of this many servers to a single request.
	quarantineThreshold = 3
	// ambiguityLimit is the number of crashes at which a request is quarantined even if another request was in
	// flight at the same crashes. Below it, such requests are sent to different servers, so that the next
	// crash or success shows which of them is the cause.
	ambiguityLimit = 5
)

// Decision is the result of evaluating a request.
type Decision struct {
	// Suspect reports whether the request was in flight at a crash that is not attributed to a quarantined
	// request.
	Suspect bool
	// Quarantined reports whether the request is to be rejected until Until because it crashes servers.
	Quarantined bool
	Until       time.Time
}

// QuarantinedRequest is a request that is rejected because it crashes servers.
type QuarantinedRequest struct {
	Request uint64
	// Servers are the names of the servers that crashed with the request in flight.
	Servers []string
	Until   time.Time
}

// decisions is the result of evaluating all known crashes.
type decisions struct {
	// counts is the number of crashes at which each request was in flight since it last succeeded.
	counts      map[uint64]int
	quarantined map[uint64]QuarantinedRequest
	suspects    map[uint64]bool
}

func newDecisions() decisions {
	return decisions{counts: make(map[uint64]int), quarantined: make(map[uint64]QuarantinedRequest), suspects: make(map[uint64]bool)}
}

// evaluate recomputes the decisions for all requests. It repeatedly quarantines the request with the most
// unattributed crashes and attributes those crashes to it. As one cause is enough for a crash, an attributed
// crash does not count against any other request.
func (t *Table) evaluate(now time.Time) {
	e := t.evidence()
	t.decisions = newDecisions()
	for request, servers := range e.crashesOf {
		t.decisions.counts[request] = len(servers)
	}
	for {
		request, found := e.nextToQuarantine()
		if !found {
			break
		}
		t.decisions.quarantined[request] = t.quarantine(request, e.crashesOf[request], now)
		e.attribute(request)
	}
	for request := range e.crashesOf {
		if _, quarantined := t.decisions.quarantined[request]; !quarantined && e.countUnattributed(request) > 0 {
			t.decisions.suspects[request] = true
		}
	}
}

// quarantine returns the entry of a quarantined request. It expires when fewer than quarantineThreshold of the
// request's crashes are retained.
func (t *Table) quarantine(request uint64, servers []Server, now time.Time) QuarantinedRequest {
	var names []string
	var expiries []time.Time
	for _, s := range servers {
		names = append(names, s.Name)
		expiries = append(expiries, t.crashes[s].at.Add(repeatedRetention))
	}
	slices.SortFunc(expiries, func(a, b time.Time) int { return b.Compare(a) })
	until := now
	if len(expiries) >= quarantineThreshold {
		until = expiries[quarantineThreshold-1]
	}
	return QuarantinedRequest{Request: request, Servers: names, Until: until}
}

// evidence holds the confirmed crashes together with the requests that were in flight.
type evidence struct {
	// crashesOf holds the servers that crashed with each request in flight, ordered by the time of the crash.
	crashesOf  map[uint64][]Server
	crashes    map[Server]*crash
	requestsAt map[Server][]uint64
	attributed map[Server]bool
}

// evidence collects the confirmed crashes, without the requests that have succeeded since.
func (t *Table) evidence() *evidence {
	e := &evidence{crashesOf: make(map[uint64][]Server), crashes: t.crashes, requestsAt: make(map[Server][]uint64), attributed: make(map[Server]bool)}
	for server, c := range t.crashes {
		if !c.confirmed {
			continue
		}
		for request := range c.sentAt {
			if t.isCleared(c, request) {
				continue
			}
			e.crashesOf[request] = append(e.crashesOf[request], server)
			e.requestsAt[server] = append(e.requestsAt[server], request)
		}
	}
	for _, servers := range e.crashesOf {
		slices.SortFunc(servers, func(a, b Server) int {
			return cmp.Or(t.crashes[a].at.Compare(t.crashes[b].at), cmp.Compare(a.hash(), b.hash()))
		})
	}
	return e
}

// countUnattributed returns the number of crashes at which a request was in flight and that are not attributed
// to a quarantined request. A crash counts only if the request was sent to its server after the previous
// counted crash: servers that crash together have a common cause, and a request that its client has retried
// may have been in flight on all of them.
func (e *evidence) countUnattributed(request uint64) int {
	count := 0
	var lastCrash time.Time
	for _, server := range e.crashesOf[request] {
		c := e.crashes[server]
		if e.attributed[server] || count > 0 && c.sentAt[request].Before(lastCrash) {
			continue
		}
		count++
		lastCrash = c.at
	}
	return count
}

// attribute attributes to a request all crashes at which it was in flight.
func (e *evidence) attribute(request uint64) {
	for _, server := range e.crashesOf[request] {
		e.attributed[server] = true
	}
}

// nextToQuarantine returns the request with the most unattributed crashes if it can be quarantined, and whether
// there is one. Requests that are ambiguous have to wait for ambiguityLimit.
func (e *evidence) nextToQuarantine() (uint64, bool) {
	highest := quarantineThreshold
	var candidates []uint64
	for _, request := range slices.Sorted(maps.Keys(e.crashesOf)) {
		count := e.countUnattributed(request)
		if count > highest {
			highest, candidates = count, nil
		}
		if count == highest {
			candidates = append(candidates, request)
		}
	}
	for _, request := range candidates {
		if highest >= ambiguityLimit || !e.isAmbiguous(request, highest) {
			return request, true
		}
	}
	return 0, false
}

// isAmbiguous reports whether another request has the same number of unattributed crashes and shares at least
// one of them. Either of the two may be the cause then.
func (e *evidence) isAmbiguous(request uint64, count int) bool {
	for _, server := range e.crashesOf[request] {
		if e.attributed[server] {
			continue
		}
		for _, other := range e.requestsAt[server] {
			if other != request && e.countUnattributed(other) == count {
				return true
			}
		}
	}
	return false
}
