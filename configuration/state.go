package configuration

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// Tables returns the names of the tables whose rows are replicated to every entry instance.
func Tables() []string {
	return []string{
		lovageyard.TableClasses,
		lovageyard.TableSites,
		lovageyard.TablePlans,
		lovageyard.TableGrants,
	}
}

// State is one instance's replica of the configuration. Its version never decreases, unless the
// platform's store is restored from an older copy and begins a new era. It is not safe for
// concurrent use.
type State struct {
	era     int64
	version int64
	// lastFullRead is the version of the last full read, that is, of all rows. Rows that were
	// deleted before it may be missing from rows.
	lastFullRead int64
	rows         map[rowID]lovageyard.Row
	decoded      map[rowID]decodedRow
}

// decodedRow caches a row's decoded value until the row changes.
type decodedRow struct {
	version int64
	value   any
}

type rowID struct {
	table string
	key   string
}

// NewState returns an empty state at version 0.
func NewState() *State {
	return &State{
		rows:    make(map[rowID]lovageyard.Row),
		decoded: make(map[rowID]decodedRow),
	}
}

// Version returns the version up to which the state includes every change.
func (s *State) Version() int64 {
	return s.version
}

// Position returns the position up to which the state includes every change.
func (s *State) Position() lovageyard.Position {
	return lovageyard.Position{Era: s.era, Version: s.version}
}

// Apply applies changes and reports whether the version advanced. Changes that start after the
// state's version would leave a gap, and are an error. Changes after version 0 are a full read:
// rows that are missing from them have been deleted. Changes of a later era have to be a full read,
// and those of an earlier one are ignored.
func (s *State) Apply(c lovageyard.Changes) (bool, error) {
	switch {
	case c.Era < s.era:
		return false, nil
	case c.Era > s.era && c.After != 0:
		return false, errors.Errorf("changes of era %d are no full read", c.Era)
	case c.Era > s.era:
		s.startEra(c.Era)
	}
	if c.After > s.version {
		return false, errors.Errorf("changes after version %d leave a gap after version %d", c.After, s.version)
	}
	if c.To <= s.version {
		return false, nil
	}
	present := make(map[rowID]bool)
	for _, row := range c.Rows {
		k := rowID{table: row.Table, key: row.Key}
		present[k] = true
		if row.Version > s.rows[k].Version {
			s.rows[k] = row
		}
	}
	if c.After == 0 {
		s.removeAbsent(present, c.To)
		s.lastFullRead = c.To
	}
	s.version = c.To
	return true, nil
}

// startEra drops all rows, as versions of different eras can't be compared.
func (s *State) startEra(era int64) {
	s.era = era
	s.version = 0
	s.lastFullRead = 0
	clear(s.rows)
	clear(s.decoded)
}

// removeAbsent marks as deleted the rows that are missing from a full read at a version.
func (s *State) removeAbsent(present map[rowID]bool, version int64) {
	for k, row := range s.rows {
		if !present[k] && !row.Deleted {
			s.rows[k] = lovageyard.Row{Table: k.table, Key: k.key, Version: version, Deleted: true}
		}
	}
}

// Since returns the changes after a position, ordered by version. If the position is of another era, or
// deletions since then may be unknown, it returns all rows as changes after version 0.
func (s *State) Since(p lovageyard.Position) lovageyard.Changes {
	after := p.Version
	if p.Era != s.era || after < s.lastFullRead {
		after = 0
	}
	c := lovageyard.Changes{Era: s.era, After: after, To: s.version}
	if after >= s.version {
		c.After = s.version
		return c
	}
	for _, row := range s.rows {
		if row.Version > after {
			c.Rows = append(c.Rows, row)
		}
	}
	slices.SortFunc(c.Rows, compareVersions)
	return c
}

func compareVersions(a, b lovageyard.Row) int {
	if a.Version != b.Version {
		if a.Version < b.Version {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Table+"/"+a.Key, b.Table+"/"+b.Key)
}

// Row returns a row and whether it exists; a deleted row does not.
func (s *State) Row(table, key string) (lovageyard.Row, bool) {
	row, found := s.rows[rowID{table: table, key: key}]
	return row, found && !row.Deleted
}

// Classes returns the classes, sorted by name. Rows that cannot be decoded are omitted.
func (s *State) Classes() []lovageyard.Class {
	return decodeAll[lovageyard.Class](s, lovageyard.TableClasses)
}

// Orders returns the operators' orders for sites, sorted by site name.
func (s *State) Orders() []lovageyard.SiteOrder {
	return decodeAll[lovageyard.SiteOrder](s, lovageyard.TableSites)
}

// Plans returns the current plans, sorted by class name.
func (s *State) Plans() []lovageyard.ClassPlan {
	return decodeAll[lovageyard.ClassPlan](s, lovageyard.TablePlans)
}

func decodeAll[T any](s *State, table string) []T {
	var rows []lovageyard.Row
	for k, row := range s.rows {
		if k.table == table && !row.Deleted {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b lovageyard.Row) int {
		return strings.Compare(a.Key, b.Key)
	})
	values := make([]T, 0, len(rows))
	for _, row := range rows {
		if value, ok := decode[T](s, row); ok {
			values = append(values, value)
		}
	}
	return values
}

// decode returns a row's value. Each version of a row is decoded only once.
func decode[T any](s *State, row lovageyard.Row) (value T, ok bool) {
	k := rowID{table: row.Table, key: row.Key}
	if known, found := s.decoded[k]; found && known.version == row.Version {
		value, ok = known.value.(T)
		return value, ok
	}
	if json.Unmarshal(row.Value, &value) != nil {
		return value, false
	}
	s.decoded[k] = decodedRow{version: row.Version, value: value}
	return value, true
}
