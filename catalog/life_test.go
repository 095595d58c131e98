package catalog_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
)

// lifeRow is the entry of one life of a server.
func lifeRow(c *qt.C, name string, version, life int64, state lovageyard.InstanceState) lovageyard.Row {
	server := desk(name, state)
	server.Incarnation = life
	return row(c, lovageyard.TableServers, name, version, server)
}

// find returns a server of the present view, or nil.
func find(s *catalog.State, name string) *catalog.Server {
	for _, server := range s.Snapshot().Servers {
		if server.Name == name {
			return &server
		}
	}
	return nil
}

// A server that starts again under its name is not leaving any more, and has lost its caches.
func TestRestartUnderTheSameNameIsANewLife(t *testing.T) {
	c := qt.New(t)
	s := known(c, start)
	s.ApplyChanges(lovageyard.TableServers, changes(10, 11, lifeRow(c, "a", 11, 100, lovageyard.StateLive)), start)
	s.ApplyChanges(lovageyard.TableServers, changes(11, 12, lifeRow(c, "a", 12, 100, lovageyard.StateLeaving)), start)
	// Its own life never takes it back.
	s.ApplyChanges(lovageyard.TableServers, changes(12, 13, lifeRow(c, "a", 13, 100, lovageyard.StateLive)), start)
	c.Assert(find(s, "a").State, qt.Equals, lovageyard.StateLeaving)
	later := start.Add(time.Minute)
	s.ApplyChanges(lovageyard.TableServers, changes(13, 14, lifeRow(c, "a", 14, 200, lovageyard.StateLive)), later)
	c.Assert(find(s, "a").State, qt.Equals, lovageyard.StateLive)
	c.Assert(find(s, "a").ColdUntil, qt.Equals, later.Add(3*time.Second))
}

// An entry with a start after one without it is that of a server which was started anew.
func TestServerThatBeginsToTellItsStartIsANewLife(t *testing.T) {
	c := qt.New(t)
	s := known(c, start)
	later := start.Add(time.Minute)
	s.ApplyChanges(lovageyard.TableServers, changes(10, 11, lifeRow(c, "a", 11, 100, lovageyard.StateLive)), later)
	c.Assert(find(s, "a").ColdUntil, qt.Equals, later.Add(3*time.Second))
}

// The clock of a server may go back between two lives: the order is that of the platform's versions.
func TestLivesAreOrderedByThePlatform(t *testing.T) {
	c := qt.New(t)
	s := known(c, start)
	s.ApplyChanges(lovageyard.TableServers, changes(10, 20, lifeRow(c, "a", 20, 200, lovageyard.StateLeaving)), start)
	s.ApplyChanges(lovageyard.TableServers, changes(20, 30, lifeRow(c, "a", 30, 100, lovageyard.StateLive)), start)
	c.Assert(find(s, "a").Incarnation, qt.Equals, int64(100))
	c.Assert(find(s, "a").State, qt.Equals, lovageyard.StateLive)
	// Late word of the life before changes nothing, whoever passes it on.
	s.ApplyChanges(lovageyard.TableServers, changes(0, 25, lifeRow(c, "a", 20, 200, lovageyard.StateLeaving)), start)
	s.ApplyList(lovageyard.TableServers, changes(0, 30, lifeRow(c, "a", 20, 200, lovageyard.StateLeaving)), start)
	c.Assert(find(s, "a").Incarnation, qt.Equals, int64(100))
	c.Assert(find(s, "a").State, qt.Equals, lovageyard.StateLive)
}

// garbage is a row that no decoder understands.
func garbage(name string, version int64) lovageyard.Row {
	return lovageyard.Row{Table: lovageyard.TableServers, Key: name, Version: version, Value: []byte{0xff, '{'}}
}

// An entry that can't be understood names no server; the last good one is not used in its place.
func TestEntryOfAnotherWriterNamesNoServer(t *testing.T) {
	c := qt.New(t)
	s := known(c, start)
	later := start.Add(time.Minute)
	applied, faults := s.ApplyChanges(lovageyard.TableServers, changes(10, 12, garbage("a", 11), lifeRow(c, "b", 12, 1, lovageyard.StateLive)), later)
	c.Assert(applied, qt.IsTrue)
	c.Assert(faults, qt.HasLen, 1)
	c.Assert(names(s), qt.DeepEquals, []string{"b"})
	c.Assert(s.Cursor(lovageyard.TableServers), qt.Equals, int64(12))
	// It is told once for each version, and passed on to peers.
	_, faults = s.ApplyChanges(lovageyard.TableServers, changes(10, 12, garbage("a", 11)), later)
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(s.Since(lovageyard.TableServers, 10).Rows, qt.HasLen, 2)
	// An older good entry does not come back, a newer one does, and its caches are what they were.
	s.ApplyList(lovageyard.TableServers, changes(0, 12, serverRow(c, "a", 3, lovageyard.StateLive), lifeRow(c, "b", 12, 1, lovageyard.StateLive)), later)
	c.Assert(names(s), qt.DeepEquals, []string{"b"})
	s.ApplyChanges(lovageyard.TableServers, changes(12, 13, serverRow(c, "a", 13, lovageyard.StateLive)), later)
	c.Assert(names(s), qt.DeepEquals, []string{"a", "b"})
	c.Assert(find(s, "a").ColdUntil.After(later), qt.IsFalse)
}

// An outage does not keep an entry of another writer alive.
func TestEntryOfAnotherWriterIsNotKeptThroughAnOutage(t *testing.T) {
	c := qt.New(t)
	s := known(c, start)
	s.Lost(lovageyard.TableServers)
	s.ApplyList(lovageyard.TableServers, changes(0, 12, garbage("a", 11), serverRow(c, "b", 4, lovageyard.StateLive)), start)
	c.Assert(names(s), qt.DeepEquals, []string{"b"})
}

// A server that has told its start does so in each entry.
func TestEntryWithoutItsStartNamesNoServer(t *testing.T) {
	c := qt.New(t)
	s := known(c, start)
	s.ApplyChanges(lovageyard.TableServers, changes(10, 11, lifeRow(c, "a", 11, 100, lovageyard.StateLive)), start)
	s.ApplyChanges(lovageyard.TableServers, changes(11, 12, serverRow(c, "a", 12, lovageyard.StateLive)), start)
	c.Assert(names(s), qt.DeepEquals, []string{"b"})
	s.ApplyChanges(lovageyard.TableServers, changes(12, 13, lifeRow(c, "a", 13, 100, lovageyard.StateLive)), start)
	c.Assert(names(s), qt.DeepEquals, []string{"a", "b"})
}

// A configuration that can't be understood never replaces a good one, and is told once.
func TestBadConfigurationIsToldOnce(t *testing.T) {
	c := qt.New(t)
	s := known(c, start)
	bad := lovageyard.Row{Table: lovageyard.TableOrders, Key: "config", Version: 12, Value: []byte("[")}
	_, faults := s.ApplyChanges(lovageyard.TableOrders, changes(10, 12, bad), start)
	c.Assert(faults, qt.HasLen, 1)
	faults = s.ApplyList(lovageyard.TableOrders, changes(0, 13, bad), start)
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(s.Snapshot().Version(), qt.Equals, uint64(7))
}

// Whatever writers write, and in whatever order and form rows come, the newest row of each
// key decides: a server of an understandable one, none of another.
func TestNewestEntryDecidesWhateverComes(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		const keys = "abc"
		var history []lovageyard.Row
		for version := int64(1); version <= int64(rapid.IntRange(1, 20).Draw(t, "rows")); version++ {
			key := string(keys[rapid.IntRange(0, len(keys)-1).Draw(t, "key")])
			switch rapid.IntRange(0, 4).Draw(t, "writer") {
			case 0:
				history = append(history, removed(lovageyard.TableServers, key, version))
			case 1:
				history = append(history, garbage(key, version))
			default:
				life := int64(rapid.IntRange(1, 3).Draw(t, "life"))
				history = append(history, lifeRow(c, key, version, life, lovageyard.StateLive))
			}
		}
		s := catalog.NewState(jsonDecoder{})
		s.ApplyList(lovageyard.TableServers, lovageyard.Changes{}, start)
		for range rapid.IntRange(0, 10).Draw(t, "messages") {
			from := rapid.IntRange(0, len(history)).Draw(t, "from")
			to := rapid.IntRange(from, len(history)).Draw(t, "to")
			s.ApplyChanges(lovageyard.TableServers, changes(int64(from), int64(to), history[from:to]...), start)
		}
		last := int64(len(history))
		s.ApplyChanges(lovageyard.TableServers, changes(s.Cursor(lovageyard.TableServers), last, history[s.Cursor(lovageyard.TableServers):]...), start)
		newest := make(map[string]lovageyard.Row)
		for _, r := range history {
			newest[r.Key] = r
		}
		var want []string
		for _, key := range strings.Split(keys, "") {
			if r, found := newest[key]; found && !r.Deleted && r.Value[0] == '{' {
				want = append(want, key)
			}
		}
		c.Assert(names(s), qt.DeepEquals, want)
	})
}
