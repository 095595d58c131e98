package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/account"
)

// Spans that the state judges rows by.
const (
	// lapseGrace is how long the entry of a server that lapsed while the platform was away
	// is still believed once that is heard. Servers come back within about 2 s of the
	// platform's return, of which finding that it has returned takes a part.
	lapseGrace = 1500 * time.Millisecond
)

// State is owned by one goroutine, which applies changes and takes snapshots.
type State struct {
	decoder lovageyard.Decoder
	cursors map[string]int64
	// newest are the versions of the last changes of the tables.
	newest map[string]int64
	// floors are the versions of the whole tables read last: removals before are not known.
	floors map[string]int64
	rows   map[string]map[string]lovageyard.Row
	config *lovageyard.Configuration
	// matcher and accounts are made anew with each configuration, and shared by all snapshots of it.
	matcher  matcher
	accounts *account.Registry
	servers  map[string]*server
	drains   map[string]bool
	members  map[string]lovageyard.EntryInstance
	// undrained is when a failure domain was taken back after a drain.
	undrained map[string]time.Time
	// faulty holds the versions of the newest rows that could not be decoded.
	faulty map[string]map[string]int64
	// older holds the values that large rows had before, oldest first, so that a peer that holds
	// one of them can be sent the difference.
	older map[string]map[string][]lovageyard.Row
	// latest is the last snapshot, until something changes.
	latest *Snapshot
	// outage says that the servers' table could not be read since its last change was heard.
	outage bool
}

type server struct {
	lovageyard.BackendServer
	coldUntil time.Time
	// lapsesAt is when an entry that was removed around an outage is given up; zero for others.
	lapsesAt time.Time
	// unusable says that the newest entry names no server to use, though the one before did.
	unusable bool
}

// Fault is a row that could not be decoded. An entry of a server or of an instance then names
// none; the last good configuration and drains stay in force.
type Fault struct {
	Row lovageyard.Row
	Err error
}

// NewState returns a state that knows nothing.
func NewState(d lovageyard.Decoder) *State {
	s := &State{
		decoder:   d,
		cursors:   make(map[string]int64),
		newest:    make(map[string]int64),
		floors:    make(map[string]int64),
		rows:      make(map[string]map[string]lovageyard.Row),
		servers:   make(map[string]*server),
		drains:    make(map[string]bool),
		members:   make(map[string]lovageyard.EntryInstance),
		undrained: make(map[string]time.Time),
		faulty:    make(map[string]map[string]int64),
		older:     make(map[string]map[string][]lovageyard.Row),
	}
	for _, table := range lovageyard.FollowedTables() {
		s.rows[table] = make(map[string]lovageyard.Row)
		s.faulty[table] = make(map[string]int64)
		s.older[table] = make(map[string][]lovageyard.Row)
	}
	return s
}

// Cursor returns the version up to which a table is known, or 0.
func (s *State) Cursor(table string) int64 {
	return s.cursors[table]
}

// Newest returns the version of the last change of a table that is known, or 0. Whoever knows the table up to
// it lacks nothing that is known here: cursors also grow with the changes of other tables.
func (s *State) Newest(table string) int64 {
	return s.newest[table]
}

// Ready says whether the configuration, the servers and the instances that share their
// bounds are known.
func (s *State) Ready() bool {
	return s.config != nil && s.cursors[lovageyard.TableServers] > 0 && s.cursors[lovageyard.TableInstances] > 0
}

// ApplyList takes in a whole table; rows that it lacks are gone.
func (s *State) ApplyList(table string, list lovageyard.Changes, now time.Time) []Fault {
	if list.To < s.cursors[table] {
		return nil
	}
	present := make(map[string]bool)
	for _, r := range list.Rows {
		present[r.Key] = true
	}
	faults := s.applyRows(list.Rows, now)
	for key, known := range s.rows[table] {
		if !present[key] && !known.Deleted && known.Version <= list.To {
			gone := lovageyard.Row{Table: table, Key: key, Version: list.To, Deleted: true}
			faults = append(faults, s.applyRows([]lovageyard.Row{gone}, now)...)
		}
	}
	s.cursors[table] = list.To
	s.floors[table] = list.To
	s.latest = nil
	return faults
}

// ApplyChanges takes in the changes of a table, or all of it if they begin at version 0;
// it reports false if they would leave a gap.
func (s *State) ApplyChanges(table string, c lovageyard.Changes, now time.Time) (bool, []Fault) {
	if c.After > s.cursors[table] {
		return false, nil
	}
	if c.After == 0 && c.To > 0 {
		return true, s.ApplyList(table, c, now)
	}
	faults := s.applyRows(c.Rows, now)
	s.cursors[table] = max(s.cursors[table], c.To)
	return true, faults
}

// Lost notes that a table can't be read; what is removed by the next changes may only
// have lapsed.
func (s *State) Lost(table string) {
	if table == lovageyard.TableServers {
		s.outage = true
	}
}

// Regained notes that a table has been read again after an outage, once the changes that
// were missed are applied.
func (s *State) Regained(table string) {
	if table == lovageyard.TableServers {
		s.outage = false
	}
}

// Knows says whether a row, or a newer one of its key, was taken in before.
func (s *State) Knows(r lovageyard.Row) bool {
	known, found := s.rows[r.Table][r.Key]
	return found && known.Version >= r.Version
}

func (s *State) applyRows(rows []lovageyard.Row, now time.Time) []Fault {
	var faults []Fault
	for _, r := range rows {
		if s.Knows(r) {
			continue
		}
		s.newest[r.Table] = max(s.newest[r.Table], r.Version)
		record, err := s.decode(r)
		if err != nil {
			if s.passOver(r) {
				faults = append(faults, Fault{Row: r, Err: err})
			}
			continue
		}
		delete(s.faulty[r.Table], r.Key)
		s.keepOlder(r)
		s.rows[r.Table][r.Key] = r
		s.apply(record, now)
	}
	return faults
}

func (s *State) apply(r lovageyard.Record, now time.Time) {
	s.latest = nil
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
		delete(s.members, r.Key)
	case r.Instance != nil:
		s.members[r.Key] = *r.Instance
	}
}

func (s *State) setConfiguration(c *lovageyard.Configuration) {
	s.config = c
	s.matcher = newMatcher(c)
	s.accounts = account.NewRegistry(c.Accounts)
}

func (s *State) applyDrain(r lovageyard.Record, now time.Time) {
	domain := r.Drain.FailureDomain
	if s.drains[domain] && r.Removed {
		s.undrained[domain] = now
	}
	if r.Removed {
		delete(s.drains, domain)
		return
	}
	s.drains[domain] = true
}

func (s *State) applyServer(r lovageyard.Record, now time.Time) {
	known := s.servers[r.Key]
	if r.Removed {
		s.removeServer(known, now)
		return
	}
	cold := r.Server.ColdFor.Std()
	if known == nil || known.Incarnation != r.Server.Incarnation {
		// A server that begins to tell its start has been started anew, too.
		known = &server{}
		s.servers[r.Key] = known
		cold = max(cold, s.coldOnJoining(r.Server.Service))
	}
	leaving := known.State == lovageyard.StateLeaving
	known.BackendServer = *r.Server
	known.lapsesAt = time.Time{}
	known.unusable = false
	if leaving {
		// A life that has said that it leaves never takes that back.
		known.State = lovageyard.StateLeaving
	}
	if until := now.Add(cold); cold > 0 && until.After(known.coldUntil) {
		known.coldUntil = until
	}
}

// coldOnJoining returns how long a server is to be spared that has just joined, whatever its
// entry says; servers of the first table that is read have been there before.
func (s *State) coldOnJoining(service string) time.Duration {
	if s.cursors[lovageyard.TableServers] == 0 || s.config == nil {
		return 0
	}
	return s.config.Services[service].ColdFor
}

// removeServer drops a server, or waits a little if its entry may only have lapsed.
func (s *State) removeServer(known *server, now time.Time) {
	if known == nil {
		return
	}
	if s.outage && known.State == lovageyard.StateLive && !known.unusable {
		known.lapsesAt = now.Add(lapseGrace)
		return
	}
	delete(s.servers, known.Name)
}

// Expire drops the entries that lapsed around an outage and did not come back; it says
// whether any did.
func (s *State) Expire(now time.Time) bool {
	changed := false
	for name, known := range s.servers {
		if !known.lapsesAt.IsZero() && !now.Before(known.lapsesAt) {
			delete(s.servers, name)
			s.latest = nil
			changed = true
		}
	}
	return changed
}

// Since returns the changes of a table after a version, for a peer that lags, or the whole
// table, as changes after version 0, if removals since that version may not be known.
func (s *State) Since(table string, after int64) lovageyard.Changes {
	whole := after < s.floors[table]
	c := lovageyard.Changes{After: after, To: s.cursors[table]}
	if whole {
		c.After = 0
	}
	for _, r := range s.rows[table] {
		if whole && !r.Deleted || !whole && r.Version > after {
			c.Rows = append(c.Rows, r)
		}
	}
	slices.SortFunc(c.Rows, func(a, b lovageyard.Row) int { return strings.Compare(a.Key, b.Key) })
	return c
}

// Instance returns what the platform's row says of an entry instance.
func (s *State) Instance(name string) (lovageyard.EntryInstance, bool) {
	known, found := s.members[name]
	return known, found
}

// Instances returns all entry instances that have a row on the platform.
func (s *State) Instances() []lovageyard.EntryInstance {
	return slices.Collect(maps.Values(s.members))
}

// Snapshot returns what is known, for readers that do not change it; it is the same one
// until a row changes, as a copy of all servers is dear in a large fleet.
func (s *State) Snapshot() *Snapshot {
	if s.latest == nil {
		s.latest = s.snapshot()
	}
	return s.latest
}

func (s *State) snapshot() *Snapshot {
	view := &Snapshot{
		Configuration: s.config,
		Drained:       maps.Clone(s.drains),
		Instances:     maps.Clone(s.members),
		Cursors:       maps.Clone(s.cursors),
		matcher:       s.matcher,
		Accounts:      s.accounts,
	}
	for _, known := range s.servers {
		if known.unusable {
			continue
		}
		view.Servers = append(view.Servers, Server{
			BackendServer: known.BackendServer,
			ColdUntil:     s.coldUntil(known),
		})
	}
	slices.SortFunc(view.Servers, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	return view
}

// coldUntil returns until when a server is to be spared: after its start, and after its
// failure domain was taken back, as it may have lost its caches while it got no work.
func (s *State) coldUntil(known *server) time.Time {
	back, found := s.undrained[known.FailureDomain]
	if !found || s.config == nil {
		return known.coldUntil
	}
	cold := back.Add(s.config.Services[known.Service].ColdFor)
	if cold.After(known.coldUntil) {
		return cold
	}
	return known.coldUntil
}
