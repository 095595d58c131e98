package configuration

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
)

// Tables lists the tables whose rows are replicated to every entry instance.
func Tables() []string {
	return []string{
		lovageyard.TableClasses,
		lovageyard.TableSites,
		lovageyard.TablePlans,
		lovageyard.TableGrants,
	}
}

// State is one instance's copy of the configuration. It never goes to a lower version.
type State struct {
	version int64
	// floor is the version of the last whole reading: removals before it are not known.
	floor   int64
	rows    map[rowKey]lovageyard.Row
	decoded map[rowKey]decodedRow
}

// decodedRow keeps a row's decoded value until the row changes.
type decodedRow struct {
	version int64
	value   any
}

type rowKey struct {
	table string
	key   string
}

// NewState returns a state at version 0 without rows.
func NewState() *State {
	return &State{
		rows:    make(map[rowKey]lovageyard.Row),
		decoded: make(map[rowKey]decodedRow),
	}
}

// Version returns the version up to which the state holds every change.
func (s *State) Version() int64 {
	return s.version
}

// Apply takes in changes and says whether the state advanced. Changes that start
// after the state's version would leave a gap; they are refused. Changes after version 0
// are all rows; those that they lack are gone.
func (s *State) Apply(c lovageyard.Changes) (bool, error) {
	if c.After > s.version {
		return false, errors.Errorf("changes after %d leave a gap behind version %d", c.After, s.version)
	}
	if c.To <= s.version {
		return false, nil
	}
	present := make(map[rowKey]bool)
	for _, row := range c.Rows {
		k := rowKey{table: row.Table, key: row.Key}
		present[k] = true
		if row.Version > s.rows[k].Version {
			s.rows[k] = row
		}
	}
	if c.After == 0 {
		s.removeAbsent(present, c.To)
		s.floor = c.To
	}
	s.version = c.To
	return true, nil
}

// removeAbsent marks the rows as deleted that a whole reading up to a version lacks.
func (s *State) removeAbsent(present map[rowKey]bool, version int64) {
	for k, row := range s.rows {
		if !present[k] && !row.Deleted {
			s.rows[k] = lovageyard.Row{Table: k.table, Key: k.key, Version: version, Deleted: true}
		}
	}
}

// Since returns the changes after a version, in the order of their versions, or all rows,
// as changes after version 0, if removals since that version may not be known.
func (s *State) Since(after int64) lovageyard.Changes {
	if after < s.floor {
		after = 0
	}
	c := lovageyard.Changes{After: after, To: s.version}
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

// Row returns a row that exists, and whether it does.
func (s *State) Row(table, key string) (lovageyard.Row, bool) {
	row, found := s.rows[rowKey{table: table, key: key}]
	return row, found && !row.Deleted
}

// Classes returns the classes in force, in the order of their names.
func (s *State) Classes() []lovageyard.Class {
	return decodeAll[lovageyard.Class](s, lovageyard.TableClasses)
}

// Orders returns the orders for sites, in the order of the sites' names.
func (s *State) Orders() []lovageyard.SiteOrder {
	return decodeAll[lovageyard.SiteOrder](s, lovageyard.TableSites)
}

// Plans returns the plans in force, in the order of the classes' names.
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

// decode returns a row's value; it decodes a row once for each version.
func decode[T any](s *State, row lovageyard.Row) (value T, ok bool) {
	k := rowKey{table: row.Table, key: row.Key}
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
