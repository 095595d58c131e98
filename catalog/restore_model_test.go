package catalog_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
)

// restorableStore is a model of the platform's store, which assigns versions and can be restored from a copy.
type restorableStore struct {
	era     int64
	version int64
	rows    map[string]lovageyard.Row
	history []lovageyard.Row
}

func (r *restorableStore) write(row lovageyard.Row) {
	r.version++
	row.Version = r.version
	r.rows[row.Table+"/"+row.Key] = row
	r.history = append(r.history, row)
}

func (r *restorableStore) copied() restorableStore {
	return restorableStore{version: r.version, rows: maps.Clone(r.rows), history: slices.Clone(r.history)}
}

func (r *restorableStore) restore(from restorableStore) {
	r.era++
	r.version = from.version
	r.rows = maps.Clone(from.rows)
	r.history = slices.Clone(from.history)
}

func (r *restorableStore) list(table string) lovageyard.Changes {
	list := lovageyard.Changes{Era: r.era, To: r.version}
	for _, row := range r.rows {
		if row.Table == table && !row.Deleted {
			list.Rows = append(list.Rows, row)
		}
	}
	return list
}

// read returns the answer to a watch after a position, or a list if the watch is refused.
func (r *restorableStore) read(table string, after lovageyard.Position) lovageyard.Changes {
	if after.IsZero() || after.Era != r.era || after.Version > r.version {
		return r.list(table)
	}
	changes := lovageyard.Changes{Era: r.era, After: after.Version, To: r.version}
	for _, row := range r.history {
		if row.Table == table && row.Version > after.Version {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes
}

// restoreModel is a store, its writers and the states that follow it.
type restoreModel struct {
	c     *qt.C
	store *restorableStore
	now   time.Time
	// config is the newest version that the operator has written, sequences and leaving what each server
	// would write, and drained what the operator has ordered.
	config    uint64
	sequences map[string]int64
	leaving   map[string]bool
	drained   bool
	states    []*catalog.State
	// inForce and seenLeaving are the newest version and the leaving servers that each state has shown.
	inForce     []uint64
	seenLeaving []map[string]bool
	// late holds answers that have not arrived yet.
	late []func()
}

func newRestoreModel(c *qt.C) *restoreModel {
	m := &restoreModel{
		c: c, store: &restorableStore{era: 1, rows: make(map[string]lovageyard.Row)}, now: start,
		sequences: make(map[string]int64), leaving: make(map[string]bool), inForce: make([]uint64, 2),
	}
	for range 2 {
		m.states = append(m.states, catalog.NewState(jsonDecoder{}))
		m.seenLeaving = append(m.seenLeaving, make(map[string]bool))
	}
	m.writeConfig()
	return m
}

func (m *restoreModel) writeConfig() {
	m.config++
	m.store.write(configRow(m.c, 0, m.config))
}

func (m *restoreModel) writeServer(name string) {
	m.sequences[name]++
	state := lovageyard.StateLive
	if m.leaving[name] {
		state = lovageyard.StateLeaving
	}
	m.store.write(entryRow(m.c, name, 0, 100, m.sequences[name], state))
}

func (m *restoreModel) writeDrain() {
	r := drainRow("north-9", 0)
	r.Deleted = !m.drained
	m.store.write(r)
}

// rewrite writes again all that the operator and the servers have written.
func (m *restoreModel) rewrite() {
	m.store.write(configRow(m.c, 0, m.config))
	for _, name := range slices.Sorted(maps.Keys(m.sequences)) {
		m.writeServer(name)
	}
	m.writeDrain()
}

// apply applies an answer to a state, and checks that the state does not go back.
func (m *restoreModel) apply(n int, table string, changes lovageyard.Changes) {
	m.states[n].ApplyChanges(table, changes, m.now)
	snapshot := m.states[n].Snapshot()
	m.c.Assert(snapshot.Version() >= m.inForce[n], qt.IsTrue, qt.Commentf("version %d after %d", snapshot.Version(), m.inForce[n]))
	m.inForce[n] = snapshot.Version()
	for _, server := range snapshot.Servers {
		if m.seenLeaving[n][server.Name] {
			m.c.Assert(server.State, qt.Equals, lovageyard.StateLeaving)
		}
		m.seenLeaving[n][server.Name] = server.State == lovageyard.StateLeaving
	}
}

// States follow a store that is restored again and again, at different paces, one also by the other's rows, and
// with answers that arrive late. None goes back to an older configuration or uses a server again that it knew
// to be leaving, and in the end all agree with the store.
func TestStatesFollowAStoreThatIsRestored(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(r *rapid.T) {
		m := newRestoreModel(c)
		copies := []restorableStore{m.store.copied()}
		names := []string{"a", "b", "c"}
		tables := []string{lovageyard.TableOrders, lovageyard.TableServers}
		for range rapid.IntRange(10, 60).Draw(r, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(r, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(r, "server")
			table := rapid.SampledFrom(tables).Draw(r, "table")
			n := rapid.IntRange(0, 1).Draw(r, "state")
			switch rapid.IntRange(0, 9).Draw(r, "step") {
			case 0:
				m.writeConfig()
			case 1:
				m.writeServer(name)
			case 2:
				m.leaving[name] = true
				m.writeServer(name)
			case 3:
				m.drained = !m.drained
				m.writeDrain()
			case 4:
				copies = append(copies, m.store.copied())
			case 5:
				m.store.restore(rapid.SampledFrom(copies).Draw(r, "copy"))
				copies = []restorableStore{m.store.copied()}
			case 6:
				m.rewrite()
			case 7:
				answer := m.store.read(table, m.states[n].Cursor(table))
				m.late = append(m.late, func() { m.apply(n, table, answer) })
			case 8:
				if len(m.late) > 0 {
					m.late[0]()
					m.late = m.late[1:]
				}
			case 9:
				other := m.states[1-n]
				if cursor := m.states[n].Cursor(table); cursor.Before(other.Cursor(table)) {
					m.apply(n, table, other.ChangesSince(table, cursor))
				}
			}
			m.states[n].Expire(m.now)
		}
		m.rewrite()
		m.finish(tables)
	})
}

// finish lets all late answers arrive, all states read the store and all grace periods end, and checks that the
// states agree with the store.
func (m *restoreModel) finish(tables []string) {
	for _, arrive := range m.late {
		arrive()
	}
	for n, s := range m.states {
		for _, table := range tables {
			m.apply(n, table, m.store.read(table, s.Cursor(table)))
		}
		m.now = m.now.Add(time.Minute)
		s.Expire(m.now)
		m.c.Assert(s.Snapshot().Version(), qt.Equals, m.config)
		m.c.Assert(s.Snapshot().Drained["north-9"], qt.Equals, m.drained)
		for name := range m.sequences {
			server := findServer(s, name)
			m.c.Assert(server, qt.IsNotNil)
			m.c.Assert(server.State == lovageyard.StateLeaving, qt.Equals, m.leaving[name])
		}
	}
}
