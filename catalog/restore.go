package catalog

import (
	"bytes"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// The platform's store may be restored from a copy that is some seconds old, and then begins a new
// era. What the operator and the servers wrote since the copy was made is written again shortly
// after. Until then the copy is older than this state, which therefore keeps what the copy lacks: a
// configuration until the store has it again, drains and servers for a grace period. A server that
// has left, and an incarnation that has been replaced, do not come back with the copy, unless their
// entries stay, as the platform removes the entries of servers that are silent.

const (
	// lostDrainGrace is how long a drain that the store has lost stays in force. The operator writes
	// it again within about 2 s; a failure domain that is drained for too long is the lesser harm.
	lostDrainGrace = 5 * time.Second
	// outdatedEntryTimeout is how long an outdated entry is not believed. The platform removes the entry of
	// a server after three heartbeat intervals of silence, of 1.5 s each.
	outdatedEntryTimeout = 10 * time.Second
	// endedRetention is how long the ended incarnations of servers are remembered. Copies are only
	// some seconds old.
	endedRetention = 2 * time.Minute
)

// endedIncarnation is an incarnation of a server that was replaced or whose entry was removed.
type endedIncarnation struct {
	incarnation int64
	// sequence is the highest sequence number with which the incarnation can't be live.
	sequence int64
	endedAt  time.Time
}

// outdatedEntry is a server's entry that was not applied; until is when it is, if it is still in the store.
type outdatedEntry struct {
	version int64
	until   time.Time
}

// applyRestoredList applies the first full list of a table in a new era.
func (s *State) applyRestoredList(table string, list lovageyard.Changes, now time.Time) []InvalidRow {
	before := s.rows[table]
	s.forgetVersions(table)
	if table == lovageyard.TableOrders {
		s.storedConfig = 0
	}
	var invalid []InvalidRow
	for _, r := range list.Rows {
		switch {
		case s.isUnchangedEntry(before[r.Key], r):
			s.setRow(r)
		case s.isOutdatedEntry(r):
			s.keepNewer(r, now)
		default:
			invalid = append(invalid, s.applyRows([]lovageyard.Row{r}, now)...)
		}
	}
	for key, known := range before {
		if _, present := s.rows[table][key]; !present && !known.Deleted {
			s.holdLostRow(known, now)
		}
	}
	s.setListed(table, list)
	return invalid
}

// isUnchangedEntry reports whether a row of a restored table is the entry of a server in use, as it was before
// the restore. Most entries are, and need not be decoded again.
func (s *State) isUnchangedEntry(before, r lovageyard.Row) bool {
	known := s.servers[r.Key]
	return r.Table == lovageyard.TableServers && known != nil && !known.invalid &&
		!before.Deleted && before.Version == r.Version && bytes.Equal(before.Value, r.Value)
}

// setRow records a row without applying it.
func (s *State) setRow(r lovageyard.Row) {
	s.rows[r.Table][r.Key] = r
	s.lastChanges[r.Table] = max(s.lastChanges[r.Table], r.Version)
}

// isOutdatedEntry reports whether a row of a restored table is a server's entry from before its last
// known state.
func (s *State) isOutdatedEntry(r lovageyard.Row) bool {
	if r.Table != lovageyard.TableServers {
		return false
	}
	record, err := s.decode(r)
	if err != nil || record.Removed {
		return false
	}
	entry := record.Server
	if known := s.servers[r.Key]; known != nil && known.Incarnation == entry.Incarnation {
		// An invalid entry that is lost no longer counts.
		return !known.invalid && entry.Sequence <= known.Sequence
	}
	return slices.ContainsFunc(s.ended[r.Key], func(e endedIncarnation) bool {
		return e.incarnation == entry.Incarnation && entry.Sequence <= e.sequence
	})
}

// keepNewer records an outdated entry without applying it. If the server has restarted since, the entry
// of the current incarnation is lost.
func (s *State) keepNewer(r lovageyard.Row, now time.Time) {
	s.setRow(r)
	s.outdated[r.Key] = outdatedEntry{version: r.Version, until: now.Add(outdatedEntryTimeout)}
	record, err := s.decode(r)
	known := s.servers[r.Key]
	if err == nil && known != nil && known.Incarnation != record.Server.Incarnation {
		s.holdServer(known, now)
	}
}

// holdLostRow keeps what a row that the store has lost says for the grace period of its kind.
func (s *State) holdLostRow(r lovageyard.Row, now time.Time) {
	removed := lovageyard.Row{Table: r.Table, Key: r.Key, Deleted: true}
	record, err := s.decoder.Decode(removed)
	switch {
	case err != nil:
		// The configuration, which is kept until the store has it again.
	case record.Drain != nil:
		s.drainExpiry[record.Drain.FailureDomain] = now.Add(lostDrainGrace)
	case record.Server != nil:
		s.holdServer(s.servers[r.Key], now)
	case record.Instance != nil:
		delete(s.instances, r.Key)
	}
}

// holdServer lets a server whose entry is lost expire, unless its entry is written again in time.
func (s *State) holdServer(known *server, now time.Time) {
	switch {
	case known == nil:
	case known.State != lovageyard.StateLive || known.invalid:
		s.dropServer(known, now)
	case known.expiresAt.IsZero():
		s.expireAt(known, now.Add(expiryGrace))
	}
}

// expireDrains ends the lost drains whose grace period is over, and reports whether it ended any.
func (s *State) expireDrains(now time.Time) bool {
	changed := false
	for domain, until := range s.drainExpiry {
		if now.Before(until) {
			continue
		}
		delete(s.drainExpiry, domain)
		delete(s.drained, domain)
		s.restoredAt[domain] = now
		changed = true
	}
	return changed
}

// adoptOutdated applies the outdated entries of servers that are not in use and whose entries have stayed in
// the store, so that the servers must be live. It reports whether there were any.
func (s *State) adoptOutdated(now time.Time) bool {
	changed := false
	for name, entry := range s.outdated {
		if now.Before(entry.until) {
			continue
		}
		delete(s.outdated, name)
		r := s.rows[lovageyard.TableServers][name]
		if r.Deleted || r.Version != entry.version || s.servers[name] != nil {
			continue
		}
		record, err := s.decode(r)
		if err != nil {
			continue
		}
		delete(s.ended, name)
		s.applyServer(record, now)
		changed = true
	}
	return changed
}

// recordEnded remembers an incarnation whose entry was removed. It may still be live, for example if it
// was cut off from the store: then its next entry has a higher sequence number.
func (s *State) recordEnded(known *server, now time.Time) {
	s.addEnded(known.Name, endedIncarnation{incarnation: known.Incarnation, sequence: known.Sequence, endedAt: now})
}

// recordReplaced remembers an incarnation that was replaced by another one, if there was any.
func (s *State) recordReplaced(known *server, now time.Time) {
	if known != nil {
		s.addEnded(known.Name, endedIncarnation{incarnation: known.Incarnation, sequence: math.MaxInt64, endedAt: now})
	}
}

func (s *State) addEnded(name string, e endedIncarnation) {
	kept := slices.DeleteFunc(s.ended[name], func(o endedIncarnation) bool { return o.incarnation == e.incarnation })
	s.ended[name] = append(kept, e)
}

// forgetEnded drops the incarnations that ended too long ago to be in a copy.
func (s *State) forgetEnded(now time.Time) {
	for name, list := range s.ended {
		list = slices.DeleteFunc(list, func(e endedIncarnation) bool { return now.Sub(e.endedAt) > endedRetention })
		if len(list) == 0 {
			delete(s.ended, name)
			continue
		}
		s.ended[name] = list
	}
}

// recordStoredConfiguration records the configuration that the store has, after it has been applied.
func (s *State) recordStoredConfiguration(c *lovageyard.Configuration, r lovageyard.Row) {
	s.storedConfig = c.Version
	if s.config == c {
		s.configRow = r
	}
}

// ConfigurationVersion returns the version of the configuration in force, or 0.
func (s *State) ConfigurationVersion() uint64 {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// LostConfiguration returns the row of the configuration in force, and true if the store has lost it.
func (s *State) LostConfiguration() (lovageyard.Row, bool) {
	return s.configRow, s.config != nil && s.storedConfig < s.config.Version
}

// ApplyLostConfiguration applies the row of a configuration that the store has lost, as a peer has it. It
// reports whether the configuration is newer than the one in force.
func (s *State) ApplyLostConfiguration(r lovageyard.Row) (bool, error) {
	record, err := s.decoder.Decode(r)
	if err != nil {
		return false, err
	}
	if record.Configuration == nil {
		return false, errors.Errorf("row %s/%s is not a configuration", r.Table, r.Key)
	}
	if s.config != nil && record.Configuration.Version <= s.config.Version {
		return false, nil
	}
	s.setConfiguration(record.Configuration)
	s.configRow = r
	s.cached = nil
	return true, nil
}
