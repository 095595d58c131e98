package catalog_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
)

// inEra returns changes of a later era of the store.
func inEra(era, after, to int64, rows ...lovageyard.Row) lovageyard.Changes {
	return lovageyard.Changes{Era: era, After: after, To: to, Rows: rows}
}

// entryRow returns an entry that a server of an incarnation has written as the one of a sequence number.
func entryRow(c *qt.C, name string, version, incarnation, sequence int64, state lovageyard.InstanceState) lovageyard.Row {
	server := newServer(name, state)
	server.Incarnation = incarnation
	server.Sequence = sequence
	return row(c, lovageyard.TableServers, name, version, server)
}

// drainRow returns the operator's drain order for a failure domain.
func drainRow(domain string, version int64) lovageyard.Row {
	return lovageyard.Row{Table: lovageyard.TableOrders, Key: domain, Version: version, Value: []byte("{}")}
}

// restoredState returns a state at version 50 of era 1, with configuration 5, server a of incarnation 100 and a
// drain of north-2.
func restoredState(c *qt.C) *catalog.State {
	s := catalog.NewState(jsonDecoder{})
	s.ApplyList(lovageyard.TableOrders, inEra(1, 0, 50, configRow(c, 40, 5), drainRow("north-2", 41)), start)
	s.ApplyList(lovageyard.TableServers, inEra(1, 0, 50, entryRow(c, "a", 42, 100, 3, lovageyard.StateLive)), start)
	s.ApplyList(lovageyard.TableInstances, inEra(1, 0, 50), start)
	return s
}

func TestConfigurationSurvivesARestore(t *testing.T) {
	c := qt.New(t)
	s := restoredState(c)
	s.ApplyList(lovageyard.TableOrders, inEra(2, 0, 30, configRow(c, 20, 4)), start)
	c.Assert(s.Snapshot().Version(), qt.Equals, uint64(5))
	lost, isLost := s.LostConfiguration()
	c.Assert(isLost, qt.IsTrue)
	c.Assert(lost.Version, qt.Equals, int64(40))
	// The operator writes it again, at any version, and goes on.
	s.ApplyChanges(lovageyard.TableOrders, inEra(2, 30, 31, configRow(c, 31, 5)), start)
	_, isLost = s.LostConfiguration()
	c.Assert(isLost, qt.IsFalse)
	s.ApplyChanges(lovageyard.TableOrders, inEra(2, 31, 40, configRow(c, 40, 6)), start)
	c.Assert(s.Snapshot().Version(), qt.Equals, uint64(6))
}

func TestLostConfigurationOfAPeerIsApplied(t *testing.T) {
	c := qt.New(t)
	s := catalog.NewState(jsonDecoder{})
	s.ApplyList(lovageyard.TableOrders, inEra(2, 0, 30, configRow(c, 20, 4)), start)
	newer, err := s.ApplyLostConfiguration(configRow(c, 40, 5))
	c.Assert(err, qt.IsNil)
	c.Assert(newer, qt.IsTrue)
	c.Assert(s.Snapshot().Version(), qt.Equals, uint64(5))
	_, isLost := s.LostConfiguration()
	c.Assert(isLost, qt.IsTrue)
	newer, err = s.ApplyLostConfiguration(configRow(c, 39, 3))
	c.Assert(err, qt.IsNil)
	c.Assert(newer, qt.IsFalse)
	_, err = s.ApplyLostConfiguration(drainRow("north-1", 2))
	c.Assert(err, qt.ErrorMatches, ".* is not a configuration")
}

func TestDrainLostInARestoreStaysForAGracePeriod(t *testing.T) {
	c := qt.New(t)
	s := restoredState(c)
	s.ApplyList(lovageyard.TableOrders, inEra(2, 0, 30, configRow(c, 20, 4)), start)
	c.Assert(s.Snapshot().Drained["north-2"], qt.IsTrue)
	c.Assert(s.Expire(start.Add(4*time.Second)), qt.IsFalse)
	c.Assert(s.Expire(start.Add(5*time.Second)), qt.IsTrue)
	c.Assert(s.Snapshot().Drained["north-2"], qt.IsFalse)
	// A drain that is written again stays.
	s = restoredState(c)
	s.ApplyList(lovageyard.TableOrders, inEra(2, 0, 30, configRow(c, 20, 4)), start)
	s.ApplyChanges(lovageyard.TableOrders, inEra(2, 30, 31, drainRow("north-2", 31)), start)
	s.Expire(start.Add(time.Minute))
	c.Assert(s.Snapshot().Drained["north-2"], qt.IsTrue)
}

// The copy has the entry from before the server said that it leaves.
func TestLeavingServerStaysLeavingInARestore(t *testing.T) {
	c := qt.New(t)
	s := restoredState(c)
	s.ApplyChanges(lovageyard.TableServers, inEra(1, 50, 51, entryRow(c, "a", 51, 100, 4, lovageyard.StateLeaving)), start)
	s.ApplyList(lovageyard.TableServers, inEra(2, 0, 30, entryRow(c, "a", 12, 100, 3, lovageyard.StateLive)), start)
	c.Assert(findServer(s, "a").State, qt.Equals, lovageyard.StateLeaving)
	// An entry that it wrote later does not make it live either.
	s.ApplyChanges(lovageyard.TableServers, inEra(2, 30, 31, entryRow(c, "a", 31, 100, 5, lovageyard.StateLive)), start)
	c.Assert(findServer(s, "a").State, qt.Equals, lovageyard.StateLeaving)
}

// The copy has the entry of a server that has left since.
func TestServerThatLeftDoesNotComeBackInARestore(t *testing.T) {
	c := qt.New(t)
	s := restoredState(c)
	s.ApplyChanges(lovageyard.TableServers, inEra(1, 50, 51, removedRow(lovageyard.TableServers, "a", 51)), start)
	s.ApplyList(lovageyard.TableServers, inEra(2, 0, 30, entryRow(c, "a", 12, 100, 3, lovageyard.StateLive)), start)
	c.Assert(findServer(s, "a"), qt.IsNil)
	s.Expire(start.Add(9 * time.Second))
	c.Assert(findServer(s, "a"), qt.IsNil)
	// The platform removes the entry, as the server is silent.
	s.ApplyChanges(lovageyard.TableServers, inEra(2, 30, 31, removedRow(lovageyard.TableServers, "a", 31)), start)
	s.Expire(start.Add(time.Minute))
	c.Assert(findServer(s, "a"), qt.IsNil)
}

// The entry of a server was removed although it is live, for example because it was cut off from the store.
func TestLiveServerComesBackAfterARestore(t *testing.T) {
	c := qt.New(t)
	for _, written := range []bool{true, false} {
		s := restoredState(c)
		s.ApplyChanges(lovageyard.TableServers, inEra(1, 50, 51, removedRow(lovageyard.TableServers, "a", 51)), start)
		s.ApplyList(lovageyard.TableServers, inEra(2, 0, 30, entryRow(c, "a", 12, 100, 3, lovageyard.StateLive)), start)
		if written {
			s.ApplyChanges(lovageyard.TableServers, inEra(2, 30, 31, entryRow(c, "a", 31, 100, 4, lovageyard.StateLive)), start)
		} else {
			// Its entry stays in the store, as it is not silent.
			c.Assert(s.Expire(start.Add(10*time.Second)), qt.IsTrue)
		}
		c.Assert(findServer(s, "a"), qt.IsNotNil)
		c.Assert(findServer(s, "a").State, qt.Equals, lovageyard.StateLive)
	}
}

// The copy has the entry of the incarnation before.
func TestReplacedIncarnationDoesNotComeBackInARestore(t *testing.T) {
	c := qt.New(t)
	s := restoredState(c)
	s.ApplyChanges(lovageyard.TableServers, inEra(1, 50, 51, entryRow(c, "a", 51, 200, 1, lovageyard.StateLive)), start)
	s.ApplyList(lovageyard.TableServers, inEra(2, 0, 30, entryRow(c, "a", 12, 100, 3, lovageyard.StateLive)), start)
	c.Assert(findServer(s, "a").Incarnation, qt.Equals, int64(200))
	s.Expire(start.Add(1500 * time.Millisecond))
	c.Assert(findServer(s, "a"), qt.IsNil)
	s.ApplyChanges(lovageyard.TableServers, inEra(2, 30, 31, entryRow(c, "a", 31, 200, 2, lovageyard.StateLive)), start)
	c.Assert(findServer(s, "a").Incarnation, qt.Equals, int64(200))
}

func TestServerLostInARestoreStaysForAGracePeriod(t *testing.T) {
	c := qt.New(t)
	s := restoredState(c)
	s.ApplyList(lovageyard.TableServers, inEra(2, 0, 30), start)
	c.Assert(findServer(s, "a"), qt.IsNotNil)
	s.Expire(start.Add(1500 * time.Millisecond))
	c.Assert(findServer(s, "a"), qt.IsNil)
	// A server that writes its entry again in time stays, and is not cold again.
	s = restoredState(c)
	coldUntil := findServer(s, "a").ColdUntil
	s.ApplyList(lovageyard.TableServers, inEra(2, 0, 30), start)
	s.ApplyChanges(lovageyard.TableServers, inEra(2, 30, 31, entryRow(c, "a", 31, 100, 4, lovageyard.StateLive)), start)
	s.Expire(start.Add(time.Minute))
	c.Assert(findServer(s, "a").ColdUntil, qt.Equals, coldUntil)
}

// The remaining warm-up time in an entry counts from when it was written, not from the restore.
func TestRestoreDoesNotExtendTheWarmUp(t *testing.T) {
	c := qt.New(t)
	s := restoredState(c)
	before := newServer("a", lovageyard.StateLive)
	before.Incarnation, before.Sequence, before.ColdFor = 100, 2, lovageyard.Duration(3*time.Second)
	s.ApplyList(lovageyard.TableServers, inEra(2, 0, 30, row(c, lovageyard.TableServers, "a", 12, before)), start.Add(time.Minute))
	c.Assert(findServer(s, "a").ColdUntil.After(start.Add(time.Minute)), qt.IsFalse)
}

// The version of an invalid entry was that of another invalid entry before the restore, or higher.
func TestInvalidEntryAfterARestoreRemovesTheServer(t *testing.T) {
	c := qt.New(t)
	s := restoredState(c)
	s.ApplyChanges(lovageyard.TableServers, inEra(1, 50, 51, undecodableRow("a", 51)), start)
	c.Assert(findServer(s, "a"), qt.IsNil)
	// The copy still has the server's own entry.
	s.ApplyList(lovageyard.TableServers, inEra(2, 0, 45, entryRow(c, "a", 42, 100, 3, lovageyard.StateLive)), start)
	c.Assert(findServer(s, "a"), qt.IsNotNil)
	_, invalid := s.ApplyChanges(lovageyard.TableServers, inEra(2, 45, 51, undecodableRow("a", 51)), start)
	c.Assert(invalid, qt.HasLen, 1)
	c.Assert(findServer(s, "a"), qt.IsNil)
}

// An answer from before the restore may arrive after one of the new era.
func TestAnswersFromBeforeARestoreAreIgnored(t *testing.T) {
	c := qt.New(t)
	s := restoredState(c)
	s.ApplyList(lovageyard.TableServers, inEra(2, 0, 30, entryRow(c, "a", 12, 100, 5, lovageyard.StateLeaving)), start)
	s.ApplyList(lovageyard.TableServers, inEra(1, 0, 90, entryRow(c, "b", 80, 100, 1, lovageyard.StateLive)), start)
	applied, _ := s.ApplyChanges(lovageyard.TableServers, inEra(1, 50, 90, entryRow(c, "b", 80, 100, 1, lovageyard.StateLive)), start)
	c.Assert(applied, qt.IsFalse)
	c.Assert(findServer(s, "b"), qt.IsNil)
	c.Assert(s.Cursor(lovageyard.TableServers), qt.Equals, lovageyard.Position{Era: 2, Version: 30})
}

// The versions of the new era may have passed the cursor. Changes after it then lack what was written below it.
func TestChangesOfALaterEraNeedAFullList(t *testing.T) {
	c := qt.New(t)
	s := restoredState(c)
	applied, _ := s.ApplyChanges(lovageyard.TableOrders, inEra(2, 50, 60, configRow(c, 60, 9)), start)
	c.Assert(applied, qt.IsFalse)
	c.Assert(s.Snapshot().Version(), qt.Equals, uint64(5))
	// A list of it may be of any version, and eras may have been missed.
	s.ApplyList(lovageyard.TableOrders, inEra(4, 0, 60, configRow(c, 41, 9)), start)
	c.Assert(s.Snapshot().Version(), qt.Equals, uint64(9))
}

// Versions of rows are reused, so rows and bases of deltas of another era are unknown.
func TestRowsOfAnotherEraAreUnknown(t *testing.T) {
	c := qt.New(t)
	s := restoredState(c)
	known := configRow(c, 40, 5)
	c.Assert(s.HasRow(1, known), qt.IsTrue)
	c.Assert(s.HasRow(2, known), qt.IsFalse)
	_, found := s.ValueAt(lovageyard.TableOrders, "config", lovageyard.Position{Era: 2, Version: 40})
	c.Assert(found, qt.IsFalse)
	large := configRow(c, 51, 6)
	large.Value = append(large.Value, slices.Repeat([]byte(" "), 5000)...)
	s.ApplyChanges(lovageyard.TableOrders, inEra(1, 50, 51, large), start)
	s.ApplyChanges(lovageyard.TableOrders, inEra(1, 51, 52, configRow(c, 52, 7)), start)
	_, found = s.DeltaBase(configRow(c, 52, 7), lovageyard.Position{Era: 1, Version: 51})
	c.Assert(found, qt.IsTrue)
	_, found = s.DeltaBase(configRow(c, 52, 7), lovageyard.Position{Era: 2, Version: 51})
	c.Assert(found, qt.IsFalse)
	whole := s.ChangesSince(lovageyard.TableOrders, lovageyard.Position{Era: 2, Version: 60})
	c.Assert(whole.Start(), qt.Equals, lovageyard.Position{Era: 1})
	c.Assert(whole.Rows, qt.HasLen, 2)
}
