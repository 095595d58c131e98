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

// incarnationRow returns the entry of one incarnation of a server.
func incarnationRow(c *qt.C, name string, version, incarnation int64, state lovageyard.InstanceState) lovageyard.Row {
	server := newServer(name, state)
	server.Incarnation = incarnation
	return row(c, lovageyard.TableServers, name, version, server)
}

// find returns a server of the current snapshot, or nil.
func findServer(s *catalog.State, name string) *catalog.Server {
	for _, server := range s.Snapshot().Servers {
		if server.Name == name {
			return &server
		}
	}
	return nil
}

// A server that restarts under the same name must not stay in state leaving. It is cold again, as it
// has lost its caches.
func TestRestartUnderTheSameNameIsANewIncarnation(t *testing.T) {
	c := qt.New(t)
	s := populatedState(c, start)
	s.ApplyChanges(lovageyard.TableServers, changes(10, 11, incarnationRow(c, "a", 11, 100, lovageyard.StateLive)), start)
	s.ApplyChanges(lovageyard.TableServers, changes(11, 12, incarnationRow(c, "a", 12, 100, lovageyard.StateLeaving)), start)
	// The same incarnation can't become live again.
	s.ApplyChanges(lovageyard.TableServers, changes(12, 13, incarnationRow(c, "a", 13, 100, lovageyard.StateLive)), start)
	c.Assert(findServer(s, "a").State, qt.Equals, lovageyard.StateLeaving)
	later := start.Add(time.Minute)
	s.ApplyChanges(lovageyard.TableServers, changes(13, 14, incarnationRow(c, "a", 14, 200, lovageyard.StateLive)), later)
	c.Assert(findServer(s, "a").State, qt.Equals, lovageyard.StateLive)
	c.Assert(findServer(s, "a").ColdUntil, qt.Equals, later.Add(3*time.Second))
}

// An entry with a start time that follows one without it comes from a restarted server.
func TestFirstEntryWithAStartTimeIsANewIncarnation(t *testing.T) {
	c := qt.New(t)
	s := populatedState(c, start)
	later := start.Add(time.Minute)
	s.ApplyChanges(lovageyard.TableServers, changes(10, 11, incarnationRow(c, "a", 11, 100, lovageyard.StateLive)), later)
	c.Assert(findServer(s, "a").ColdUntil, qt.Equals, later.Add(3*time.Second))
}

// The clock of a server may step back between two incarnations, so the platform's versions order them.
func TestIncarnationsAreOrderedByPlatformVersion(t *testing.T) {
	c := qt.New(t)
	s := populatedState(c, start)
	s.ApplyChanges(lovageyard.TableServers, changes(10, 20, incarnationRow(c, "a", 20, 200, lovageyard.StateLeaving)), start)
	s.ApplyChanges(lovageyard.TableServers, changes(20, 30, incarnationRow(c, "a", 30, 100, lovageyard.StateLive)), start)
	c.Assert(findServer(s, "a").Incarnation, qt.Equals, int64(100))
	c.Assert(findServer(s, "a").State, qt.Equals, lovageyard.StateLive)
	// A late report of the previous incarnation changes nothing, whoever sends it.
	s.ApplyChanges(lovageyard.TableServers, changes(0, 25, incarnationRow(c, "a", 20, 200, lovageyard.StateLeaving)), start)
	s.ApplyList(lovageyard.TableServers, changes(0, 30, incarnationRow(c, "a", 20, 200, lovageyard.StateLeaving)), start)
	c.Assert(findServer(s, "a").Incarnation, qt.Equals, int64(100))
	c.Assert(findServer(s, "a").State, qt.Equals, lovageyard.StateLive)
}

// undecodableRow returns a row that no decoder accepts.
func undecodableRow(name string, version int64) lovageyard.Row {
	return lovageyard.Row{Table: lovageyard.TableServers, Key: name, Version: version, Value: []byte{0xff, '{'}}
}

// An entry that can't be decoded removes the server; the last valid entry is not used in its place.
func TestInvalidEntryRemovesTheServer(t *testing.T) {
	c := qt.New(t)
	s := populatedState(c, start)
	later := start.Add(time.Minute)
	applied, invalid := s.ApplyChanges(lovageyard.TableServers, changes(10, 12, undecodableRow("a", 11), incarnationRow(c, "b", 12, 1, lovageyard.StateLive)), later)
	c.Assert(applied, qt.IsTrue)
	c.Assert(invalid, qt.HasLen, 1)
	c.Assert(serverNames(s), qt.DeepEquals, []string{"b"})
	c.Assert(s.Cursor(lovageyard.TableServers), qt.Equals, at(12))
	// It is reported once for each version, and passed on to peers.
	_, invalid = s.ApplyChanges(lovageyard.TableServers, changes(10, 12, undecodableRow("a", 11)), later)
	c.Assert(invalid, qt.HasLen, 0)
	c.Assert(s.ChangesSince(lovageyard.TableServers, at(10)).Rows, qt.HasLen, 2)
	// An older valid entry is not used again; a newer one is, without another warm-up.
	s.ApplyList(lovageyard.TableServers, changes(0, 12, serverRow(c, "a", 3, lovageyard.StateLive), incarnationRow(c, "b", 12, 1, lovageyard.StateLive)), later)
	c.Assert(serverNames(s), qt.DeepEquals, []string{"b"})
	s.ApplyChanges(lovageyard.TableServers, changes(12, 13, serverRow(c, "a", 13, lovageyard.StateLive)), later)
	c.Assert(serverNames(s), qt.DeepEquals, []string{"a", "b"})
	c.Assert(findServer(s, "a").ColdUntil.After(later), qt.IsFalse)
}

// An entry that can't be decoded removes the server immediately, also during an outage.
func TestInvalidEntryIsNotKeptThroughAnOutage(t *testing.T) {
	c := qt.New(t)
	s := populatedState(c, start)
	s.MarkUnreadable(lovageyard.TableServers)
	s.ApplyList(lovageyard.TableServers, changes(0, 12, undecodableRow("a", 11), serverRow(c, "b", 4, lovageyard.StateLive)), start)
	c.Assert(serverNames(s), qt.DeepEquals, []string{"b"})
}

// A server that writes its start time writes it in each entry, so an entry without it is invalid.
func TestEntryWithoutStartTimeRemovesTheServer(t *testing.T) {
	c := qt.New(t)
	s := populatedState(c, start)
	s.ApplyChanges(lovageyard.TableServers, changes(10, 11, incarnationRow(c, "a", 11, 100, lovageyard.StateLive)), start)
	s.ApplyChanges(lovageyard.TableServers, changes(11, 12, serverRow(c, "a", 12, lovageyard.StateLive)), start)
	c.Assert(serverNames(s), qt.DeepEquals, []string{"b"})
	s.ApplyChanges(lovageyard.TableServers, changes(12, 13, incarnationRow(c, "a", 13, 100, lovageyard.StateLive)), start)
	c.Assert(serverNames(s), qt.DeepEquals, []string{"a", "b"})
}

// A configuration that can't be decoded never replaces a valid one, and is reported once.
func TestInvalidConfigurationIsReportedOnce(t *testing.T) {
	c := qt.New(t)
	s := populatedState(c, start)
	bad := lovageyard.Row{Table: lovageyard.TableOrders, Key: "config", Version: 12, Value: []byte("[")}
	_, invalid := s.ApplyChanges(lovageyard.TableOrders, changes(10, 12, bad), start)
	c.Assert(invalid, qt.HasLen, 1)
	invalid = s.ApplyList(lovageyard.TableOrders, changes(0, 13, bad), start)
	c.Assert(invalid, qt.HasLen, 0)
	c.Assert(s.Snapshot().Version(), qt.Equals, uint64(7))
}

// Rows may arrive in any order, as changes or as full lists. The newest row of each key decides: the
// server is used if that row can be decoded.
func TestNewestEntryWinsInAnyOrder(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		const keys = "abc"
		var history []lovageyard.Row
		for version := int64(1); version <= int64(rapid.IntRange(1, 20).Draw(t, "rows")); version++ {
			key := string(keys[rapid.IntRange(0, len(keys)-1).Draw(t, "key")])
			switch rapid.IntRange(0, 4).Draw(t, "writer") {
			case 0:
				history = append(history, removedRow(lovageyard.TableServers, key, version))
			case 1:
				history = append(history, undecodableRow(key, version))
			default:
				incarnation := int64(rapid.IntRange(1, 3).Draw(t, "life"))
				history = append(history, incarnationRow(c, key, version, incarnation, lovageyard.StateLive))
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
		s.ApplyChanges(lovageyard.TableServers, changes(s.Cursor(lovageyard.TableServers).Version, last, history[s.Cursor(lovageyard.TableServers).Version:]...), start)
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
		c.Assert(serverNames(s), qt.DeepEquals, want)
	})
}
