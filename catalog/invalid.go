package catalog

import (
	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// errMissingStart reports an entry without the start time that earlier entries of the server had. The
// server itself would have written one.
var errMissingStart = errors.New("the server's start is missing, which it has told before")

// decode returns the record of a row. The error is errMissingStart, wrapped, if the row is a server's
// entry that can be decoded but lacks the start time that the known incarnation has.
func (s *State) decode(r lovageyard.Row) (lovageyard.Record, error) {
	record, err := s.decoder.Decode(r)
	if err != nil || record.Server == nil || record.Removed {
		return record, err
	}
	if known := s.servers[r.Key]; known != nil && known.Incarnation != 0 && record.Server.Incarnation == 0 {
		return record, errors.Wrapf(errMissingStart, "row %s/%s at version %d", r.Table, r.Key, r.Version)
	}
	return record, nil
}

// recordInvalidRow records a row for which decode failed, and reports whether this version was not
// recorded before. An invalid entry of a server or an instance removes the server or instance and
// is passed on to peers like a valid one. The configuration and drains keep their last valid value.
func (s *State) recordInvalidRow(r lovageyard.Row) bool {
	if s.invalidRows[r.Table][r.Key] >= r.Version {
		return false
	}
	s.invalidRows[r.Table][r.Key] = r.Version
	switch r.Table {
	case lovageyard.TableServers:
		s.rows[r.Table][r.Key] = r
		if known := s.servers[r.Key]; known != nil {
			known.invalid = true
		}
	case lovageyard.TableInstances:
		s.rows[r.Table][r.Key] = r
		delete(s.instances, r.Key)
	}
	s.cached = nil
	return true
}

// InvalidRowCount returns the number of rows of a table whose newest version can't be decoded.
func (s *State) InvalidRowCount(table string) int {
	return len(s.invalidRows[table])
}
