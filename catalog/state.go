package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/account"
)

// State holds the current rows of the platform's tables. It is not safe for concurrent use: one
// goroutine applies changes and takes snapshots.
type State struct {
	decoder lovageyard.Decoder
	// cursors holds the position up to which each table has been read. The versions below are those of
	// the cursor's era, as versions of different eras can't be compared.
	cursors map[string]lovageyard.Position
	// lastChanges holds the version of the last change of each table.
	lastChanges map[string]int64
	// listVersions holds the version of the last full list of each table. Removals before it may be
	// unknown, as a list contains only the rows that exist.
	listVersions map[string]int64
	rows         map[string]map[string]lovageyard.Row
	config       *lovageyard.Configuration
	// configRow is the row of config. storedConfig is the version of the configuration in the store, which
	// is lower after the store has lost the one in force.
	configRow    lovageyard.Row
	storedConfig uint64
	// matcher and accounts are built once per configuration and shared by its snapshots.
	matcher   matcher
	accounts  *account.Registry
	servers   map[string]*server
	drained   map[string]bool
	instances map[string]lovageyard.EntryInstance
	// restoredAt is when the last drain of each failure domain ended.
	restoredAt map[string]time.Time
	// drainExpiry is when drains end that the platform's store has lost.
	drainExpiry map[string]time.Time
	// ended holds the incarnations of servers that have ended, by server name.
	ended map[string][]endedIncarnation
	// outdated holds the entries of a restored store that are not believed, by server name.
	outdated map[string]outdatedEntry
	// invalidRows holds the newest version of each invalid row, by table and key.
	invalidRows map[string]map[string]int64
	// previousValues holds earlier values of large rows, oldest first, from which deltas for peers
	// that have one of them are made.
	previousValues map[string]map[string][]lovageyard.Row
	// cached is the last snapshot; a change resets it to nil.
	cached *Snapshot
	// unreadable is set while the table of servers can't be read, until the missed changes are applied.
	unreadable bool
	// nextExpiry is when the first of the servers expires, or zero.
	nextExpiry time.Time
}

type server struct {
	lovageyard.BackendServer
	coldUntil time.Time
	// expiresAt is when the server is dropped if its entry was removed during an outage, and zero
	// otherwise.
	expiresAt time.Time
	// invalid is set if the newest entry can't be decoded, although an earlier one could.
	invalid bool
}

// InvalidRow is a row that could not be decoded. If it is the entry of a server or an instance,
// the server or instance is not used; the last valid configuration and drains stay in force.
type InvalidRow struct {
	Row lovageyard.Row
	Err error
}

// NewState returns an empty state, which is not ready until all tables have been read.
func NewState(d lovageyard.Decoder) *State {
	s := &State{
		decoder:        d,
		cursors:        make(map[string]lovageyard.Position),
		lastChanges:    make(map[string]int64),
		listVersions:   make(map[string]int64),
		rows:           make(map[string]map[string]lovageyard.Row),
		servers:        make(map[string]*server),
		drained:        make(map[string]bool),
		instances:      make(map[string]lovageyard.EntryInstance),
		restoredAt:     make(map[string]time.Time),
		drainExpiry:    make(map[string]time.Time),
		ended:          make(map[string][]endedIncarnation),
		outdated:       make(map[string]outdatedEntry),
		invalidRows:    make(map[string]map[string]int64),
		previousValues: make(map[string]map[string][]lovageyard.Row),
	}
	for _, table := range lovageyard.FollowedTables() {
		s.forgetVersions(table)
	}
	return s
}

// forgetVersions drops the rows of a table and all that is compared by their versions.
func (s *State) forgetVersions(table string) {
	s.rows[table] = make(map[string]lovageyard.Row)
	s.invalidRows[table] = make(map[string]int64)
	s.previousValues[table] = make(map[string][]lovageyard.Row)
	delete(s.lastChanges, table)
	delete(s.listVersions, table)
}

// Cursor returns the position up to which a table has been read, or the zero Position.
func (s *State) Cursor(table string) lovageyard.Position {
	return s.cursors[table]
}

// LastChange returns the position of the last change of a table. A peer that has read the table up
// to it is up to date with this state, although cursors may be higher: they also grow with the
// changes of other tables.
func (s *State) LastChange(table string) lovageyard.Position {
	return lovageyard.Position{Era: s.cursors[table].Era, Version: s.lastChanges[table]}
}

// Ready reports whether a configuration and the tables of servers and of instances, which share the
// servers' limits, have been read.
func (s *State) Ready() bool {
	return s.config != nil && !s.cursors[lovageyard.TableServers].IsZero() && !s.cursors[lovageyard.TableInstances].IsZero()
}

// ApplyList applies a full list of a table and removes the rows that it lacks. A list older than
// the cursor is ignored. It returns the rows that could not be decoded.
func (s *State) ApplyList(table string, list lovageyard.Changes, now time.Time) []InvalidRow {
	cursor := s.cursors[table]
	if list.End().Before(cursor) {
		return nil
	}
	if list.Era > cursor.Era && !cursor.IsZero() {
		return s.applyRestoredList(table, list, now)
	}
	present := make(map[string]bool)
	for _, r := range list.Rows {
		present[r.Key] = true
	}
	invalid := s.applyRows(list.Rows, now)
	for key, known := range s.rows[table] {
		if !present[key] && !known.Deleted && known.Version <= list.To {
			removed := lovageyard.Row{Table: table, Key: key, Version: list.To, Deleted: true}
			invalid = append(invalid, s.applyRows([]lovageyard.Row{removed}, now)...)
		}
	}
	s.setListed(table, list)
	return invalid
}

// setListed records that a full list of a table has been applied.
func (s *State) setListed(table string, list lovageyard.Changes) {
	s.cursors[table] = list.End()
	s.listVersions[table] = list.To
	s.cached = nil
}

// ApplyChanges applies the changes of a table, or a full list if they begin at version 0. It
// applies nothing and returns false if changes between the cursor and c.After are missing, or if c
// is from another era than the cursor and not a full list of a later one.
func (s *State) ApplyChanges(table string, c lovageyard.Changes, now time.Time) (bool, []InvalidRow) {
	if c.After == 0 && c.To > 0 {
		return true, s.ApplyList(table, c, now)
	}
	cursor := s.cursors[table]
	if c.Era != cursor.Era || c.After > cursor.Version {
		return false, nil
	}
	invalid := s.applyRows(c.Rows, now)
	if cursor.Before(c.End()) {
		s.cursors[table] = c.End()
	}
	return true, invalid
}

// HasRow reports whether a row of an era, or a newer version of it in the same era, has been applied.
// Invalid entries of servers and instances count as applied.
func (s *State) HasRow(era int64, r lovageyard.Row) bool {
	return era == s.cursors[r.Table].Era && s.hasVersion(r)
}

// hasVersion reports whether a row of the cursor's era, or a newer version of it, has been applied.
func (s *State) hasVersion(r lovageyard.Row) bool {
	known, found := s.rows[r.Table][r.Key]
	return found && known.Version >= r.Version
}

func (s *State) applyRows(rows []lovageyard.Row, now time.Time) []InvalidRow {
	var invalid []InvalidRow
	for _, r := range rows {
		if s.hasVersion(r) {
			continue
		}
		s.lastChanges[r.Table] = max(s.lastChanges[r.Table], r.Version)
		record, err := s.decode(r)
		record.KeepFor = r.KeepFor
		if err != nil {
			if s.recordInvalidRow(r) {
				invalid = append(invalid, InvalidRow{Row: r, Err: err})
			}
			continue
		}
		delete(s.invalidRows[r.Table], r.Key)
		s.keepPrevious(r)
		s.rows[r.Table][r.Key] = r
		s.apply(record, now)
		if record.Configuration != nil {
			s.recordStoredConfiguration(record.Configuration, r)
		}
	}
	return invalid
}

func (s *State) apply(r lovageyard.Record, now time.Time) {
	s.cached = nil
	switch {
	case r.Configuration != nil:
		if s.config == nil || r.Configuration.Version > s.config.Version {
			s.setConfiguration(r.Configuration)
		}
	case r.Drain != nil:
		s.applyDrain(r, now)
	case r.Server != nil:
		s.applyServer(r, now)
	case r.Instance != nil && r.Removed:
		delete(s.instances, r.Key)
	case r.Instance != nil:
		s.instances[r.Key] = *r.Instance
	}
}

func (s *State) setConfiguration(c *lovageyard.Configuration) {
	s.config = c
	s.matcher = newMatcher(c)
	s.accounts = account.NewRegistry(c.Accounts)
}

func (s *State) applyDrain(r lovageyard.Record, now time.Time) {
	domain := r.Drain.FailureDomain
	if s.drained[domain] && r.Removed {
		s.restoredAt[domain] = now
	}
	delete(s.drainExpiry, domain)
	if r.Removed {
		delete(s.drained, domain)
		return
	}
	s.drained[domain] = true
}

func (s *State) applyServer(r lovageyard.Record, now time.Time) {
	known := s.servers[r.Key]
	if r.Removed {
		s.removeServer(known, r.KeepFor, now)
		return
	}
	warmUp := r.Server.ColdFor.Std()
	if known == nil || known.Incarnation != r.Server.Incarnation {
		// An entry with a start time that follows entries without one comes from a restarted server.
		s.recordReplaced(known, now)
		known = &server{}
		s.servers[r.Key] = known
		warmUp = max(warmUp, s.joinWarmUp(r.Server.Service))
	}
	leaving := known.State == lovageyard.StateLeaving
	known.BackendServer = *r.Server
	known.expiresAt = time.Time{}
	known.invalid = false
	if leaving {
		// An incarnation that is leaving never becomes live again.
		known.State = lovageyard.StateLeaving
	}
	if until := now.Add(warmUp); warmUp > 0 && until.After(known.coldUntil) {
		known.coldUntil = until
	}
}

// joinWarmUp returns the minimum warm-up time of a server that has just joined, whatever its entry
// says. Servers in the first list of the table were running before, so they need none.
func (s *State) joinWarmUp(service string) time.Duration {
	if s.cursors[lovageyard.TableServers].IsZero() || s.config == nil {
		return 0
	}
	return s.config.Services[service].ColdFor
}

// ChangesSince returns the changes of a table after a position, for a lagging peer. If the position is
// from another era, or removals since then may be unknown, it returns the whole table, as changes
// after version 0.
func (s *State) ChangesSince(table string, after lovageyard.Position) lovageyard.Changes {
	cursor := s.cursors[table]
	whole := after.Era != cursor.Era || after.Version < s.listVersions[table]
	c := lovageyard.Changes{Era: cursor.Era, After: after.Version, To: cursor.Version}
	if whole {
		c.After = 0
	}
	for _, r := range s.rows[table] {
		if whole && !r.Deleted || !whole && r.Version > after.Version {
			c.Rows = append(c.Rows, r)
		}
	}
	slices.SortFunc(c.Rows, func(a, b lovageyard.Row) int { return strings.Compare(a.Key, b.Key) })
	return c
}

// Instance returns an entry instance as its row on the platform describes it, and whether it has a row.
func (s *State) Instance(name string) (lovageyard.EntryInstance, bool) {
	known, found := s.instances[name]
	return known, found
}

// Instances returns the entry instances that have a row on the platform, in no particular order.
func (s *State) Instances() []lovageyard.EntryInstance {
	return slices.Collect(maps.Values(s.instances))
}

// Snapshot returns an immutable view of the state. It returns the same one until a row changes, as
// a copy of all servers is expensive in a large fleet.
func (s *State) Snapshot() *Snapshot {
	if s.cached == nil {
		s.cached = s.buildSnapshot()
	}
	return s.cached
}

func (s *State) buildSnapshot() *Snapshot {
	snapshot := &Snapshot{
		Configuration: s.config,
		Drained:       maps.Clone(s.drained),
		Instances:     maps.Clone(s.instances),
		Cursors:       maps.Clone(s.cursors),
		matcher:       s.matcher,
		Accounts:      s.accounts,
	}
	for _, known := range s.servers {
		if known.invalid {
			continue
		}
		snapshot.Servers = append(snapshot.Servers, Server{
			BackendServer: known.BackendServer,
			ColdUntil:     s.coldUntil(known),
		})
	}
	slices.SortFunc(snapshot.Servers, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	return snapshot
}

// coldUntil returns when the warm-up of a server ends. A server is cold after its start, and after
// a drain of its failure domain, as its caches may have expired while it had no requests.
func (s *State) coldUntil(known *server) time.Time {
	restored, found := s.restoredAt[known.FailureDomain]
	if !found || s.config == nil {
		return known.coldUntil
	}
	coldUntil := restored.Add(s.config.Services[known.Service].ColdFor)
	if coldUntil.After(known.coldUntil) {
		return coldUntil
	}
	return known.coldUntil
}
