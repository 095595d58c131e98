package main

import "sync"

// verdicts collects what clients and servers see of each request.
type verdicts struct {
	mu   sync.Mutex
	runs map[string]int
	// soundRuns counts the runs at servers that did not misbehave then.
	soundRuns map[string]int
	statuses  map[string]int
	// repeats holds the id under which a client has sent a request again, by the id before.
	repeats map[string]string
	// cutKept holds the requests on kept connections that ended without a complete answer before their deadline.
	cutKept map[string]bool
	kinds   map[string]kind
}

var judge = &verdicts{runs: make(map[string]int), soundRuns: make(map[string]int), statuses: make(map[string]int), cutKept: make(map[string]bool), repeats: make(map[string]string), kinds: make(map[string]kind)}

// ran records that a server began to work on a request; sound means that the server did not misbehave.
func (v *verdicts) ran(id string, sound bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runs[id]++
	if sound {
		v.soundRuns[id]++
	}
}

// unanswered records that a connection ended without a complete answer; late means that the deadline had passed.
func (v *verdicts) unanswered(id string, kept, late bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if kept && !late {
		v.cutKept[id] = true
	}
}

// answered records the status of a complete answer.
func (v *verdicts) answered(id string, k kind, status int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.statuses[id] = status
	v.kinds[id] = k
}

// refusedAndRan returns the requests that may not be repeated, were answered 408, 421, 429 or 503, and have run.
func (v *verdicts) refusedAndRan() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ids []string
	for id, status := range v.statuses {
		if !v.kinds[id].idempotent && v.runs[id] > 0 && (status == 408 || status == 421 || status == 429 || status == 503) {
			ids = append(ids, id)
		}
	}
	return ids
}

// ranTwice returns the requests that may not be repeated and ran more than once.
func (v *verdicts) ranTwice() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ids []string
	for id, runs := range v.runs {
		if runs > 1 && !v.kinds[id].idempotent {
			ids = append(ids, id)
		}
	}
	return ids
}

// count returns how many requests were answered with a status.
func (v *verdicts) count(status int) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, s := range v.statuses {
		if s == status {
			n++
		}
	}
	return n
}

// lost returns the requests from kept connections that a sound server ran and whose connection ended without an answer.
func (v *verdicts) lost() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ids []string
	for id := range v.cutKept {
		if v.soundRuns[id] > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// runsOf returns how often a request has run.
func (v *verdicts) runsOf(id string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.runs[id]
}

// repeated records that a client has sent a request again under another id.
func (v *verdicts) repeated(before, id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.repeats[before] = id
}

// ranAgain returns whether a request that a client has sent again has run under the other id.
func (v *verdicts) ranAgain(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.runs[v.repeats[id]] > 0
}
