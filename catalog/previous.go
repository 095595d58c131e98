package catalog

import "lovageyard.example/lovageyard"

// Limits on the previous values that are kept as bases for deltas.
const (
	// minDeltaSize is the smallest value, in bytes, whose previous values are kept: a delta
	// between small values is no shorter than the value.
	minDeltaSize = 4 << 10
	// maxPreviousRows and maxPreviousBytes limit the previous values of one row. Peers lag by up to a
	// second, in which operators make up to three changes; a fleet of 59 instances has rows of 1 MB.
	maxPreviousRows  = 8
	maxPreviousBytes = 8 << 20
)

// keepPrevious saves the value that a row is about to replace, and drops the oldest saved values
// beyond the limits.
func (s *State) keepPrevious(r lovageyard.Row) {
	before, found := s.rows[r.Table][r.Key]
	if !found || before.Deleted || len(before.Value) < minDeltaSize {
		return
	}
	kept := append(s.previousValues[r.Table][r.Key], before)
	size := 0
	for _, row := range kept {
		size += len(row.Value)
	}
	for len(kept) > 1 && (len(kept) > maxPreviousRows || size > maxPreviousBytes) {
		size -= len(kept[0].Value)
		kept = kept[1:]
	}
	s.previousValues[r.Table][r.Key] = kept
}

// DeltaBase returns the row that a delta to r can be based on: the version before r that a peer has
// if it has read the table up to a position. It returns false if that version is not kept.
func (s *State) DeltaBase(r lovageyard.Row, known lovageyard.Position) (lovageyard.Row, bool) {
	if known.Era != s.cursors[r.Table].Era {
		return lovageyard.Row{}, false
	}
	kept := s.previousValues[r.Table][r.Key]
	for n := len(kept) - 1; n >= 0; n-- {
		if kept[n].Version <= known.Version && kept[n].Version < r.Version {
			return kept[n], true
		}
	}
	return lovageyard.Row{}, false
}

// ValueAt returns the value of a row at a position, if that is the current version or one still kept.
func (s *State) ValueAt(table, key string, at lovageyard.Position) ([]byte, bool) {
	if at.Era != s.cursors[table].Era {
		return nil, false
	}
	if r, found := s.rows[table][key]; found && r.Version == at.Version {
		return r.Value, true
	}
	for _, r := range s.previousValues[table][key] {
		if r.Version == at.Version {
			return r.Value, true
		}
	}
	return nil, false
}
