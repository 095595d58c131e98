package dispatch

import (
	"time"

	"lovageyard.example/lovageyard"
)

// Other instances may ask this one to send requests to servers that they can't reach. They have selected the
// server; what the server has asked of this instance applies as to its own requests.

// Forward returns the server with a name and an incarnation, and counts a request to it. It returns false if
// the server may get no request of this instance now.
func (t *Table) Forward(name string, incarnation int64, now time.Time) (lovageyard.BackendServer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil || s.Incarnation != incarnation || !t.isInUse(s) || !s.record.Allows(now) {
		return lovageyard.BackendServer{}, false
	}
	s.record.RecordSend(now)
	return s.BackendServer, true
}

// MayForward reports whether a request may still be sent to a server that Forward has returned.
func (t *Table) MayForward(b lovageyard.BackendServer, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[b.Name]
	return s != nil && s.Incarnation == b.Incarnation && t.isInUse(s) && !s.record.Rejects(now)
}

// ForgetFailures ends the exclusions of all servers and failure domains. It is called when this instance
// finds that it could not reach any server, so that their failures say nothing about them.
func (t *Table) ForgetFailures() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		s.consecutiveFailures = 0
		s.suspectUntil = time.Time{}
		s.failureRate = 0
	}
	for _, r := range t.reachability {
		r.recordSuccess()
	}
}
