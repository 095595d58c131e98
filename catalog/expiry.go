package catalog

import (
	"time"

	"lovageyard.example/lovageyard"
)

// The platform removes the entries of servers that don't renew them, also if it is the platform that could not be
// reached. Servers whose entries may have been removed so are used until a grace period has ended.

// expiryGrace is how long a server is still used after its removal is read, if its entry may
// have expired during an outage of the platform. Servers register again within about 2 s of
// the end of an outage, and detecting the end takes a part of these 2 s.
const expiryGrace = 1500 * time.Millisecond

// MarkUnreadable records that a table can't be read: entries of servers that the next changes
// remove may only have expired during the outage.
func (s *State) MarkUnreadable(table string) {
	if table == lovageyard.TableServers {
		s.unreadable = true
	}
}

// MarkReadable records that a table can be read again. It is called after the changes that were
// missed during the outage have been applied.
func (s *State) MarkReadable(table string) {
	if table == lovageyard.TableServers {
		s.unreadable = false
	}
}

// removeServer drops a server, or sets it to expire if its entry may only have expired during an outage, which this
// instance or the peer that sent the removal has noticed.
func (s *State) removeServer(known *server, keepFor time.Duration, now time.Time) {
	if known == nil {
		return
	}
	if s.unreadable {
		keepFor = expiryGrace
	}
	if keepFor > 0 && known.State == lovageyard.StateLive && !known.invalid {
		s.expireAt(known, now.Add(min(keepFor, expiryGrace)))
		return
	}
	s.dropServer(known, now)
}

// expireAt sets a server to expire.
func (s *State) expireAt(known *server, at time.Time) {
	known.expiresAt = at
	if s.nextExpiry.IsZero() || at.Before(s.nextExpiry) {
		s.nextExpiry = at
	}
}

// NextExpiry returns when Expire is to be called for servers whose grace period ends, at the latest, or the zero
// time if there are none.
func (s *State) NextExpiry() time.Time {
	return s.nextExpiry
}

// KeptFor returns how long a server whose entry is gone is still used.
func (s *State) KeptFor(name string, now time.Time) time.Duration {
	known := s.servers[name]
	if known == nil || known.expiresAt.IsZero() {
		return 0
	}
	return max(0, known.expiresAt.Sub(now))
}

// dropServer removes a server whose entry is gone.
func (s *State) dropServer(known *server, now time.Time) {
	s.recordEnded(known, now)
	delete(s.servers, known.Name)
}

// Expire drops the servers and drains that the platform's store lost and that did not come back within
// their grace periods. It reports whether it dropped any.
func (s *State) Expire(now time.Time) bool {
	changed := s.expireDrains(now)
	if s.expireServers(now) {
		changed = true
	}
	s.forgetEnded(now)
	if s.adoptOutdated(now) {
		changed = true
	}
	if changed {
		s.cached = nil
	}
	return changed
}

// expireServers drops the servers whose grace period is over, and reports whether there were any.
func (s *State) expireServers(now time.Time) bool {
	if s.nextExpiry.IsZero() || now.Before(s.nextExpiry) {
		return false
	}
	changed := false
	s.nextExpiry = time.Time{}
	for _, known := range s.servers {
		switch {
		case known.expiresAt.IsZero():
		case now.Before(known.expiresAt):
			s.expireAt(known, known.expiresAt)
		default:
			s.dropServer(known, now)
			changed = true
		}
	}
	return changed
}
