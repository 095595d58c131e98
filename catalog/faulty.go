package catalog

import (
	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// errNoStart says that an entry was written by another program than the server's.
var errNoStart = errors.New("the server's start is missing, which it has told before")

// decode returns the record of a row, or an error if it can't be what the row's owner wrote.
func (s *State) decode(r lovageyard.Row) (lovageyard.Record, error) {
	record, err := s.decoder.Decode(r)
	if err != nil || record.Server == nil || record.Removed {
		return record, err
	}
	if known := s.servers[r.Key]; known != nil && known.Incarnation != 0 && record.Server.Incarnation == 0 {
		return record, errors.Wrapf(errNoStart, "row %s/%s at version %d", r.Table, r.Key, r.Version)
	}
	return record, nil
}

// passOver takes in a row that can't be decoded, and says whether it is news. An entry of a server
// or an instance is one that another program wrote: from this version on it names none, and
// peers hear of it as of any other. The configuration and drains are the operator's, and keep
// the last good value.
func (s *State) passOver(r lovageyard.Row) bool {
	if s.faulty[r.Table][r.Key] >= r.Version {
		return false
	}
	s.faulty[r.Table][r.Key] = r.Version
	switch r.Table {
	case lovageyard.TableServers:
		s.rows[r.Table][r.Key] = r
		if known := s.servers[r.Key]; known != nil {
			known.unusable = true
		}
	case lovageyard.TableInstances:
		s.rows[r.Table][r.Key] = r
		delete(s.members, r.Key)
	}
	s.latest = nil
	return true
}

// PassedOver returns the number of entries of a table that name nobody to use at present.
func (s *State) PassedOver(table string) int {
	return len(s.faulty[table])
}
