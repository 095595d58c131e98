package catalog

import "lovageyard.example/lovageyard"

// Bounds of the older values that are kept.
const (
	// olderFrom is the size in bytes from which on older values are kept: the difference
	// between small rows is no shorter than the row.
	olderFrom = 4 << 10
	// olderRows and olderBytes bound what is kept of one row. Peers lag by a second, in which
	// operators make up to three changes; a fleet of 59 instances has rows of 1 MB.
	olderRows  = 8
	olderBytes = 8 << 20
)

// keepOlder keeps the value that a row is about to replace.
func (s *State) keepOlder(r lovageyard.Row) {
	before, found := s.rows[r.Table][r.Key]
	if !found || before.Deleted || len(before.Value) < olderFrom {
		return
	}
	kept := append(s.older[r.Table][r.Key], before)
	size := 0
	for _, row := range kept {
		size += len(row.Value)
	}
	for len(kept) > 1 && (len(kept) > olderRows || size > olderBytes) {
		size -= len(kept[0].Value)
		kept = kept[1:]
	}
	s.older[r.Table][r.Key] = kept
}

// DeltaBase returns the value of a row that a peer holds which knows its table up to a version, if
// that is an older one that is still kept.
func (s *State) DeltaBase(r lovageyard.Row, known int64) (lovageyard.Row, bool) {
	kept := s.older[r.Table][r.Key]
	for n := len(kept) - 1; n >= 0; n-- {
		if kept[n].Version <= known && kept[n].Version < r.Version {
			return kept[n], true
		}
	}
	return lovageyard.Row{}, false
}

// ValueAt returns the value that a row had at a version, if it is the present one or still kept.
func (s *State) ValueAt(table, key string, version int64) ([]byte, bool) {
	if r, found := s.rows[table][key]; found && r.Version == version {
		return r.Value, true
	}
	for _, r := range s.older[table][key] {
		if r.Version == version {
			return r.Value, true
		}
	}
	return nil, false
}
