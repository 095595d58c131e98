package catalog_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
)

// jsonDecoder decodes rows whose values are records in JSON.
type jsonDecoder struct{}

func (jsonDecoder) Decode(r lovageyard.Row) (lovageyard.Record, error) {
	record := lovageyard.Record{Key: r.Key, Version: r.Version, Removed: r.Deleted}
	switch r.Table {
	case lovageyard.TableServers:
		record.Server = &lovageyard.BackendServer{}
	case lovageyard.TableInstances:
		record.Instance = &lovageyard.EntryInstance{}
	default:
		if r.Key == "config" {
			record.Configuration = &lovageyard.Configuration{}
		} else {
			record.Drain = &lovageyard.DomainDrain{FailureDomain: r.Key}
		}
	}
	if r.Deleted {
		if record.Server != nil {
			record.Server.Name = r.Key
		}
		return record, nil
	}
	var err error
	switch {
	case record.Server != nil:
		err = json.Unmarshal(r.Value, record.Server)
	case record.Instance != nil:
		err = json.Unmarshal(r.Value, record.Instance)
	case record.Configuration != nil:
		err = json.Unmarshal(r.Value, record.Configuration)
	}
	return record, errors.Wrap(err, r.Key)
}

func row(c *qt.C, table, key string, version int64, value any) lovageyard.Row {
	body, err := json.Marshal(value)
	c.Assert(err, qt.IsNil)
	return lovageyard.Row{Table: table, Key: key, Version: version, Value: body}
}

func newServer(name string, state lovageyard.InstanceState) lovageyard.BackendServer {
	return lovageyard.BackendServer{Name: name, Service: "desk", FailureDomain: "north-1", State: state}
}

func serverRow(c *qt.C, name string, version int64, state lovageyard.InstanceState) lovageyard.Row {
	return row(c, lovageyard.TableServers, name, version, newServer(name, state))
}

func removedRow(table, key string, version int64) lovageyard.Row {
	return lovageyard.Row{Table: table, Key: key, Version: version, Deleted: true}
}

func configRow(c *qt.C, rowVersion int64, version uint64) lovageyard.Row {
	return row(c, lovageyard.TableOrders, "config", rowVersion, lovageyard.Configuration{
		Version:  version,
		Services: map[string]lovageyard.Service{"desk": {Name: "desk", ColdFor: 3 * time.Second}},
	})
}

// at returns the position of a version in a store that does not report eras.
func at(version int64) lovageyard.Position {
	return lovageyard.Position{Version: version}
}

func changes(after, to int64, rows ...lovageyard.Row) lovageyard.Changes {
	return lovageyard.Changes{After: after, To: to, Rows: rows}
}

// populatedState returns a state with a configuration and two servers, at version 10.
func populatedState(c *qt.C, now time.Time) *catalog.State {
	s := catalog.NewState(jsonDecoder{})
	s.ApplyList(lovageyard.TableOrders, changes(0, 10, configRow(c, 5, 7)), now)
	s.ApplyList(lovageyard.TableServers, changes(0, 10,
		serverRow(c, "a", 3, lovageyard.StateLive), serverRow(c, "b", 4, lovageyard.StateLive)), now)
	s.ApplyList(lovageyard.TableInstances, changes(0, 10), now)
	return s
}

func serverNames(s *catalog.State) []string {
	var out []string
	for _, server := range s.Snapshot().Servers {
		out = append(out, server.Name)
	}
	return out
}

var start = time.Unix(1000, 0)

func TestReadyOnceAllTablesAreRead(t *testing.T) {
	c := qt.New(t)
	s := catalog.NewState(jsonDecoder{})
	c.Assert(s.Ready(), qt.IsFalse)
	c.Assert(populatedState(c, start).Ready(), qt.IsTrue)
	// A state without any one of the tables is not ready.
	for _, missing := range lovageyard.FollowedTables() {
		s := catalog.NewState(jsonDecoder{})
		for _, table := range lovageyard.FollowedTables() {
			switch {
			case table == missing:
			case table == lovageyard.TableOrders:
				s.ApplyList(table, changes(0, 10, configRow(c, 5, 7)), start)
			default:
				s.ApplyList(table, changes(0, 10), start)
			}
		}
		c.Assert(s.Ready(), qt.IsFalse, qt.Commentf("without %s", missing))
	}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	s := populatedState(c, start)
	s.ApplyChanges(lovageyard.TableOrders, changes(10, 12, configRow(c, 12, 9)), start)
	c.Assert(s.Snapshot().Version(), qt.Equals, uint64(9))
	// Changes from a lagging peer, a stale list, and an older version in a newer row change nothing.
	s.ApplyChanges(lovageyard.TableOrders, changes(0, 10, configRow(c, 5, 7)), start)
	s.ApplyList(lovageyard.TableOrders, changes(0, 11, configRow(c, 5, 7)), start)
	s.ApplyChanges(lovageyard.TableOrders, changes(12, 13, configRow(c, 13, 8)), start)
	c.Assert(s.Snapshot().Version(), qt.Equals, uint64(9))
}

func TestChangesThatLeaveAGapAreRejected(t *testing.T) {
	c := qt.New(t)
	s := populatedState(c, start)
	applied, _ := s.ApplyChanges(lovageyard.TableServers, changes(12, 14, removedRow(lovageyard.TableServers, "a", 13)), start)
	c.Assert(applied, qt.IsFalse)
	c.Assert(serverNames(s), qt.DeepEquals, []string{"a", "b"})
	c.Assert(s.Cursor(lovageyard.TableServers), qt.Equals, at(10))
}

func TestMalformedConfigurationKeepsTheLastValidOne(t *testing.T) {
	c := qt.New(t)
	s := populatedState(c, start)
	bad := lovageyard.Row{Table: lovageyard.TableOrders, Key: "config", Version: 11, Value: []byte("{")}
	_, invalid := s.ApplyChanges(lovageyard.TableOrders, changes(10, 11, bad), start)
	c.Assert(invalid, qt.HasLen, 1)
	c.Assert(s.Snapshot().Version(), qt.Equals, uint64(7))
}

func TestRemovedServerIsDroppedImmediately(t *testing.T) {
	c := qt.New(t)
	s := populatedState(c, start)
	s.ApplyChanges(lovageyard.TableServers, changes(10, 11, removedRow(lovageyard.TableServers, "a", 11)), start)
	c.Assert(serverNames(s), qt.DeepEquals, []string{"b"})
}

func TestLeavingServerNeverComesBack(t *testing.T) {
	c := qt.New(t)
	s := populatedState(c, start)
	s.ApplyChanges(lovageyard.TableServers, changes(10, 12, serverRow(c, "a", 11, lovageyard.StateLeaving)), start)
	s.ApplyChanges(lovageyard.TableServers, changes(12, 13, serverRow(c, "a", 13, lovageyard.StateLive)), start)
	c.Assert(s.Snapshot().Servers[0].State, qt.Equals, lovageyard.StateLeaving)
}

// Entries expire during an outage of the platform, and servers register again within seconds of its end.
func TestEntryThatExpiredInAnOutageIsKeptForTheGracePeriod(t *testing.T) {
	c := qt.New(t)
	s := populatedState(c, start)
	s.MarkUnreadable(lovageyard.TableServers)
	s.ApplyList(lovageyard.TableServers, changes(0, 20), start)
	s.MarkReadable(lovageyard.TableServers)
	c.Assert(serverNames(s), qt.DeepEquals, []string{"a", "b"})

	// One registers again; the other is dropped after the grace period.
	s.ApplyChanges(lovageyard.TableServers, changes(20, 21, serverRow(c, "a", 21, lovageyard.StateLive)), start.Add(time.Second))
	c.Assert(s.Expire(start.Add(1400*time.Millisecond)), qt.IsFalse)
	c.Assert(s.Expire(start.Add(1600*time.Millisecond)), qt.IsTrue)
	c.Assert(serverNames(s), qt.DeepEquals, []string{"a"})

	// Removals after the first read take effect immediately, because the grace period applies only
	// to entries that may have expired during the outage.
	s.ApplyChanges(lovageyard.TableServers, changes(21, 22, removedRow(lovageyard.TableServers, "a", 22)), start.Add(1700*time.Millisecond))
	c.Assert(serverNames(s), qt.HasLen, 0)
}

func TestListRemovesMissingRows(t *testing.T) {
	c := qt.New(t)
	s := populatedState(c, start)
	s.ApplyList(lovageyard.TableServers, changes(0, 20, serverRow(c, "b", 4, lovageyard.StateLive)), start)
	c.Assert(serverNames(s), qt.DeepEquals, []string{"b"})
}

// A server that joins is cold even if its entry has no warm-up time.
func TestJoiningServerIsCold(t *testing.T) {
	c := qt.New(t)
	s := populatedState(c, start)
	s.ApplyChanges(lovageyard.TableServers, changes(10, 11, serverRow(c, "c", 11, lovageyard.StateLive)), start)
	view := s.Snapshot()
	c.Assert(view.Servers[0].ColdUntil.After(start), qt.IsFalse)
	c.Assert(view.Servers[2].ColdUntil, qt.Equals, start.Add(3*time.Second))
}

func TestServersAreColdAfterADrain(t *testing.T) {
	c := qt.New(t)
	s := populatedState(c, start)
	s.ApplyChanges(lovageyard.TableOrders, changes(10, 11, lovageyard.Row{Table: lovageyard.TableOrders, Key: "north-1", Version: 11}), start)
	c.Assert(s.Snapshot().Drained["north-1"], qt.IsTrue)
	restored := start.Add(time.Minute)
	s.ApplyChanges(lovageyard.TableOrders, changes(11, 12, removedRow(lovageyard.TableOrders, "north-1", 12)), restored)
	view := s.Snapshot()
	c.Assert(view.Drained["north-1"], qt.IsFalse)
	c.Assert(view.Servers[0].ColdUntil, qt.Equals, restored.Add(3*time.Second))
}

// An instance that starts after a server was removed never reads the removal, but a lagging peer that
// still has the server must receive it.
func TestLaggingPeerGetsTheWholeTableIfRemovalsAreUnknown(t *testing.T) {
	c := qt.New(t)
	peer := populatedState(c, start)
	fresh := catalog.NewState(jsonDecoder{})
	fresh.ApplyList(lovageyard.TableServers, changes(0, 20, serverRow(c, "b", 4, lovageyard.StateLive)), start)
	for _, table := range []string{lovageyard.TableServers} {
		applied, _ := peer.ApplyChanges(table, fresh.ChangesSince(table, peer.Cursor(table)), start)
		c.Assert(applied, qt.IsTrue)
	}
	c.Assert(serverNames(peer), qt.DeepEquals, []string{"b"})
	c.Assert(peer.Cursor(lovageyard.TableServers), qt.Equals, at(20))
}

func TestLaggingPeerGetsOnlyTheChanges(t *testing.T) {
	c := qt.New(t)
	ahead, behind := populatedState(c, start), populatedState(c, start)
	ahead.ApplyChanges(lovageyard.TableServers, changes(10, 11, removedRow(lovageyard.TableServers, "a", 11)), start)
	delta := ahead.ChangesSince(lovageyard.TableServers, behind.Cursor(lovageyard.TableServers))
	c.Assert(delta.Rows, qt.HasLen, 1)
	behind.ApplyChanges(lovageyard.TableServers, delta, start)
	c.Assert(serverNames(behind), qt.DeepEquals, []string{"b"})
}

func TestMatchPrefersTheLongestPrefixOfTheHost(t *testing.T) {
	c := qt.New(t)
	s := catalog.NewState(jsonDecoder{})
	s.ApplyList(lovageyard.TableOrders, changes(0, 1, row(c, lovageyard.TableOrders, "config", 1, lovageyard.Configuration{
		Version: 1,
		Routes: []lovageyard.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		},
	})), start)
	view := s.Snapshot()
	c.Assert(view.Match("A.example:80", "/x/y/z").Name, qt.Equals, "long")
	c.Assert(view.Match("a.example", "/x/yz").Name, qt.Equals, "short")
	c.Assert(view.Match("a.example", "/x"), qt.IsNil)
	c.Assert(view.Match("b.example", "/x/"), qt.IsNil)
}

// A copy of all servers is expensive in a large fleet, so it is made only after a change.
func TestSnapshotIsKeptUntilSomethingChanges(t *testing.T) {
	c := qt.New(t)
	s := populatedState(c, start)
	first := s.Snapshot()
	c.Assert(s.Snapshot() == first, qt.IsTrue)
	s.ApplyChanges(lovageyard.TableServers, changes(10, 11, removedRow(lovageyard.TableServers, "a", 11)), start)
	c.Assert(s.Snapshot() == first, qt.IsFalse)
	c.Assert(serverNames(s), qt.DeepEquals, []string{"b"})

	// A full list without rows changes the cursor, so it needs a new snapshot.
	empty := catalog.NewState(jsonDecoder{})
	c.Assert(empty.Snapshot().Cursors[lovageyard.TableInstances], qt.Equals, at(0))
	empty.ApplyList(lovageyard.TableInstances, changes(0, 5), start)
	c.Assert(empty.Snapshot().Cursors[lovageyard.TableInstances], qt.Equals, at(5))
}

// The longest prefix must win also among thousands of routes.
func TestMatchAmongManyRoutes(t *testing.T) {
	c := qt.New(t)
	configuration := lovageyard.Configuration{Version: 1}
	const count = 2000
	for i := range count {
		configuration.Routes = append(configuration.Routes, lovageyard.Route{
			Name: fmt.Sprint("r", i), Host: "a.example", Prefix: strings.Repeat("/x", i%20) + fmt.Sprintf("/%d/", i),
		})
	}
	s := catalog.NewState(jsonDecoder{})
	s.ApplyList(lovageyard.TableOrders, changes(0, 1, row(c, lovageyard.TableOrders, "config", 1, configuration)), start)
	view := s.Snapshot()
	for _, route := range configuration.Routes {
		found := view.Match("a.example", route.Prefix+"object")
		c.Assert(found, qt.IsNotNil)
		c.Assert(found.Name, qt.Equals, route.Name)
	}
	c.Assert(view.Match("a.example", "/none/"), qt.IsNil)
}

// A removal that a peer has sent with the time for which it keeps the server takes effect after that time, and at
// most after the grace period; one without takes effect immediately, also while the table can't be read here.
func TestRemovedServerIsKeptAsLongAsThePeerKeepsIt(t *testing.T) {
	for _, test := range []struct{ keepFor, kept time.Duration }{
		{0, 0},
		{400 * time.Millisecond, 400 * time.Millisecond},
		{time.Hour, 1500 * time.Millisecond},
	} {
		c := qt.New(t)
		s := populatedState(c, start)
		removed := removedRow(lovageyard.TableServers, "a", 20)
		removed.KeepFor = test.keepFor
		s.ApplyChanges(lovageyard.TableServers, changes(10, 20, removed), start)
		if test.kept > 0 {
			c.Assert(serverNames(s), qt.DeepEquals, []string{"a", "b"})
			c.Assert(s.NextExpiry(), qt.Equals, start.Add(test.kept))
			c.Assert(s.KeptFor("a", start.Add(test.kept/2)), qt.Equals, test.kept-test.kept/2)
			c.Assert(s.Expire(start.Add(test.kept-time.Millisecond)), qt.IsFalse)
			c.Assert(s.Expire(start.Add(test.kept)), qt.IsTrue)
		}
		c.Assert(serverNames(s), qt.DeepEquals, []string{"b"})
		c.Assert(s.NextExpiry().IsZero(), qt.IsTrue)
		c.Assert(s.KeptFor("a", start), qt.Equals, time.Duration(0))
	}
}
