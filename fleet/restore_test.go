package fleet_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/fleet"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/platform/fake"
	"lovageyard.example/lovageyard/timer"
)

// putVersion writes a configuration that has only a version and a service, as the operator does.
func (g *group) putVersion(version uint64) {
	g.store.PutConfiguration(lovageyard.Configuration{
		Version: version, Services: map[string]lovageyard.Service{"desk": {Name: "desk"}},
	})
}

// putServer writes the entry of one incarnation of a server, as the server does.
func (g *group) putServer(name string, state lovageyard.InstanceState) {
	g.store.PutServer(lovageyard.BackendServer{
		Name: name, Incarnation: 7, Service: "desk", FailureDomain: "north-1", Address: "127.0.0.1:9", Slots: 4, State: state,
	})
}

// serverOf returns a server as an instance sees it, or nil.
func serverOf(control *fleet.Control, name string) *catalog.Server {
	for _, s := range control.View().Servers {
		if s.Name == name {
			return &s
		}
	}
	return nil
}

// isLeaving reports whether an instance sees a server as leaving.
func isLeaving(control *fleet.Control, name string) bool {
	s := serverOf(control, name)
	return s != nil && s.State == lovageyard.StateLeaving
}

// startFleet starts three instances and waits until they know each other and the server "a".
func (g *group) startFleet() []*fleet.Control {
	var controls []*fleet.Control
	for i := range 3 {
		name := fmt.Sprint("entry-", i)
		controls = append(controls, g.start(name, 1, g.address))
		g.c.Cleanup(func() { g.stop(name) })
	}
	for _, control := range controls {
		g.until("readiness", func() bool {
			return len(control.View().Live) == 3 && control.View().Ready && serverOf(control, "a") != nil
		})
	}
	return controls
}

// The store comes back from an older copy and assigns versions again that the instances have seen.
func TestConfigurationAfterARestoreIsInForce(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.putServer("a", lovageyard.StateLive)
	controls := g.startFleet()
	copied := g.store.Checkpoint()
	for next := uint64(2); next <= 20; next++ {
		g.putVersion(next)
	}
	for _, control := range controls {
		g.until("version 20", func() bool { return version(control) == 20 })
	}
	g.store.Restore(copied)
	g.putVersion(20)
	g.putVersion(21)
	for _, control := range controls {
		g.until("version 21", func() bool { return version(control) == 21 })
	}
}

// A server's entry says that it is leaving, at a version that had been assigned before the restore.
func TestServerLeavingAfterARestoreIsSeen(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.putServer("a", lovageyard.StateLive)
	controls := g.startFleet()
	copied := g.store.Checkpoint()
	for range 20 {
		g.putServer("b", lovageyard.StateLive)
	}
	for _, control := range controls {
		g.until("server b", func() bool { return serverOf(control, "b") != nil })
	}
	g.store.Restore(copied)
	g.putServer("b", lovageyard.StateLive)
	g.putServer("a", lovageyard.StateLeaving)
	for _, control := range controls {
		g.until("server a leaving", func() bool { return isLeaving(control, "a") })
	}
}

// While the store is away, versions of the new era pass those that the instances have read. A watch after
// them is not refused, but what was written below them would be missed.
func TestVersionsThatPassTheCursorAreReadFromTheBeginning(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.putServer("a", lovageyard.StateLive)
	controls := g.startFleet()
	copied := g.store.Checkpoint()
	g.putVersion(2)
	for _, control := range controls {
		g.until("version 2", func() bool { return version(control) == 2 })
	}
	g.store.SetFaults(fake.StoreFaults{Status: 503})
	g.store.Restore(copied)
	g.putVersion(3)
	for range 20 {
		g.putServer("b", lovageyard.StateLive)
	}
	g.store.SetFaults(fake.StoreFaults{})
	for _, control := range controls {
		g.until("version 3", func() bool { return version(control) == 3 })
	}
}

// The second restore comes before all instances have noticed the first one, and answers of both eras before
// arrive late.
func TestStoreRestoredTwiceInARow(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.putServer("a", lovageyard.StateLive)
	controls := g.startFleet()
	copied := g.store.Checkpoint()
	for next := uint64(2); next <= 10; next++ {
		g.putVersion(next)
	}
	g.until("version 10", func() bool { return version(controls[0]) == 10 })
	g.store.SetFaults(fake.StoreFaults{AnswerDelay: 300 * time.Millisecond})
	g.store.Restore(copied)
	g.putVersion(10)
	copied = g.store.Checkpoint()
	g.putVersion(11)
	time.Sleep(100 * time.Millisecond)
	g.store.Restore(copied)
	g.store.SetFaults(fake.StoreFaults{})
	g.putVersion(12)
	g.putServer("a", lovageyard.StateLeaving)
	for _, control := range controls {
		g.until("version 12", func() bool { return version(control) == 12 && isLeaving(control, "a") })
		g.c.Assert(control.View().Cursors[lovageyard.TableOrders].Era, qt.Equals, int64(2))
	}
}

// An instance that can't reach the store follows the new era through its peers.
func TestInstanceWithoutPlatformNoticesARestoreFromItsPeers(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.putServer("a", lovageyard.StateLive)
	g.start("entry-0", 1, g.address)
	defer g.stop("entry-0")
	cutOff := g.start("entry-1", 1, "127.0.0.1:1", "entry-0:2")
	defer g.stop("entry-1")
	copied := g.store.Checkpoint()
	for next := uint64(2); next <= 20; next++ {
		g.putVersion(next)
	}
	g.until("version 20", func() bool { return version(cutOff) == 20 })
	g.store.Restore(copied)
	g.putVersion(20)
	g.putVersion(21)
	g.putServer("a", lovageyard.StateLeaving)
	g.until("version 21", func() bool { return version(cutOff) == 21 && isLeaving(cutOff, "a") })
}

// A configuration that the store has lost stays in force, and reaches an instance that starts before the
// operator has written it again.
func TestLostConfigurationReachesAnInstanceThatStarts(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.putServer("a", lovageyard.StateLive)
	first := g.start("entry-0", 1, g.address)
	defer g.stop("entry-0")
	g.until("readiness", func() bool { return first.View().Ready })
	copied := g.store.Checkpoint()
	g.putVersion(2)
	g.until("version 2", func() bool { return version(first) == 2 })
	g.store.Restore(copied)
	g.until("the new era", func() bool { return first.View().Cursors[lovageyard.TableOrders].Era == 1 })
	g.c.Assert(version(first), qt.Equals, uint64(2))
	second := g.start("entry-1", 1, g.address, "entry-0:2")
	defer g.stop("entry-1")
	g.until("version 2", func() bool { return version(second) == 2 })
}

// The store loses the row of an instance that has just been written. Instances that start before it is written
// again would divide common limits among too few: "cold server i-7 got 1-1496, request 7 in 1s" (allowed 6).
func TestRowOfAnInstanceIsWrittenAgainSoonAfterARestore(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	copied := g.store.Checkpoint()
	client := platform.NewStore(g.address, discardLogger())
	settings := g.settings("entry-0", 1, client, client)
	clock := timer.NewManual(time.Unix(1000, 0))
	settings.Timer = clock
	control := g.startWith(settings)
	defer g.stop("entry-0")
	listed := func() bool { return len(control.View().Instances) == 1 }
	after := func(step time.Duration, condition func() bool) func() bool {
		return func() bool {
			clock.Advance(step)
			return condition()
		}
	}
	g.until("the row", after(time.Second, listed))
	g.store.Restore(copied)
	g.until("the loss", after(100*time.Millisecond, func() bool { return !listed() }))
	clock.Advance(time.Second)
	g.until("the write", func() bool { return g.store.Has("lovageyard-instances", "entry-0") })
}

// A peer that had found this instance to be silent removes its row, or a removal from before a restore is
// committed late, as the row has the same version again.
func TestRowOfAnInstanceIsWrittenAgainAfterARemoval(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	control := g.start("entry-0", 1, g.address)
	defer g.stop("entry-0")
	listed := func() bool { return len(control.View().Instances) == 1 }
	g.until("the row", listed)
	g.store.Remove("lovageyard-instances", "entry-0")
	g.until("the removal", func() bool { return !listed() })
	g.until("the row again", listed)
}

// namesObserver records the instances among which limits are divided.
type namesObserver struct {
	ignoringObserver
	names chan []string
}

func (o namesObserver) SetInstances(names []string, _ time.Time) {
	for len(o.names) > 0 {
		<-o.names
	}
	o.names <- names
}

// An instance that is cut off from all others must not lose its share of common limits to them when the store
// loses its row.
func TestInstanceWhoseRowIsLostKeepsItsShareOfLimits(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	copied := g.store.Checkpoint()
	client := platform.NewStore(g.address, discardLogger())
	settings := g.settings("entry-0", 1, client, client)
	observer := namesObserver{names: make(chan []string, 1)}
	settings.Observer = observer
	control := g.startWith(settings)
	defer g.stop("entry-0")
	g.start("entry-1", 1, g.address, "entry-0:2")
	g.until("both rows", func() bool { return len(control.View().Instances) == 2 && len(control.View().Live) == 2 })
	g.stop("entry-1")
	g.until("entry-1 is not live", func() bool { return len(control.View().Live) == 1 })
	g.store.Restore(copied)
	g.until("the loss", func() bool { _, listed := control.View().Instances["entry-1"]; return !listed })
	g.c.Assert(<-observer.names, qt.DeepEquals, []string{"entry-0", "entry-1"})
}

// A relay that has not noticed the new era yet must not keep its followers waiting, nor be followed.
func TestRelayInAnEarlierEraAnswersAtOnce(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	control := g.start("entry-0", 1, g.address)
	defer g.stop("entry-0")
	g.until("readiness", func() bool { return control.View().Ready })
	at := control.View().Cursors[lovageyard.TableOrders]
	reply, err := control.Share(t.Context(), &wire.ShareRequest{
		From: &wire.Member{}, WaitMs: time.Hour.Milliseconds(), Eras: true,
		Cursors: []*wire.Cursor{{Table: lovageyard.TableOrders, Era: at.Era + 1, Version: 1}},
	})
	g.c.Assert(err, qt.IsNil)
	g.c.Assert(reply.GetStale(), qt.IsTrue)
	g.c.Assert(reply.GetEra(), qt.Equals, at.Era)
	g.c.Assert(reply.GetChanges(), qt.HasLen, 0)
}

// During a rolling upgrade, a peer of an older version does not state its era. It must not get whole tables
// each time.
func TestOlderPeerComparesVersionsWithoutEras(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	control := g.start("entry-0", 1, g.address)
	defer g.stop("entry-0")
	g.until("readiness", func() bool { return control.View().Ready })
	g.store.Restore(g.store.Checkpoint())
	g.until("the new era", func() bool { return control.View().Cursors[lovageyard.TableOrders].Era == 1 })
	at := control.View().Cursors[lovageyard.TableOrders]
	share := func(version int64) []*wire.TableChanges {
		reply, err := control.Share(t.Context(), &wire.ShareRequest{
			From: &wire.Member{}, Cursors: []*wire.Cursor{{Table: lovageyard.TableOrders, Version: version}},
		})
		g.c.Assert(err, qt.IsNil)
		return reply.GetChanges()
	}
	g.c.Assert(share(at.Version), qt.HasLen, 0)
	g.c.Assert(share(0), qt.HasLen, 1)
}

// An instance that starts just after a restore must not serve by what the copy has: "server i-3 got 3-2182, whose
// key was revoked more than 5s before". The store has lost the newest configuration, and no peer has it.
func TestInstanceStartsOnlyOnceTheEraHasSettled(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.putVersion(2)
	g.store.Restore(g.store.Checkpoint())
	clock := timer.NewManual(time.Unix(1000, 0))
	start := func(name string) *fleet.Control {
		client := platform.NewStore(g.address, discardLogger())
		settings := g.settings(name, 1, client, client)
		settings.Timer = clock
		return g.startWith(settings)
	}
	first := start("entry-0")
	defer g.stop("entry-0")
	g.until("version 2", func() bool { return version(first) == 2 })
	g.until("all tables", func() bool { return len(first.View().Cursors) == len(lovageyard.FollowedTables()) })
	clock.Advance(time.Second)
	g.c.Assert(first.View().Ready, qt.IsFalse)
	g.putVersion(3)
	g.until("readiness", func() bool {
		clock.Advance(time.Second)
		return first.View().Ready
	})
	g.until("version 3", func() bool {
		clock.Advance(time.Second)
		return version(first) == 3
	})
	// The era is recorded, so that later instances need not wait.
	g.until("the record", func() bool { return g.store.Has("lovageyard-eras", "era") })
}

// An instance that starts long after a restore is ready at once: another instance has recorded the era, or answers
// that it has settled, also if the store can't be reached.
func TestInstanceStartsAtOnceInASettledEra(t *testing.T) {
	t.Parallel()
	for _, address := range []string{"", "127.0.0.1:1"} {
		g := newGroup(t)
		g.store.Restore(g.store.Checkpoint())
		first := g.start("entry-0", 1, g.address)
		g.until("readiness", func() bool { return first.View().Ready })
		g.until("the record", func() bool { return g.store.Has("lovageyard-eras", "era") })
		time.Sleep(2 * time.Second)
		client := platform.NewStore(cmp.Or(address, g.address), discardLogger())
		settings := g.settings("entry-1", 1, client, client, "entry-0:2")
		// The clock stands still, so that no time passes in which the era would settle by itself.
		clock := timer.NewManual(time.Unix(1000, 0))
		settings.Timer = clock
		second := g.startWith(settings)
		step := time.Duration(0)
		if address != "" {
			// Peers are asked after a while.
			step = 10 * time.Millisecond
		}
		advanced := time.Duration(0)
		g.until("readiness", func() bool {
			if advanced < time.Second {
				clock.Advance(step)
				advanced += step
			}
			return second.View().Ready
		})
		g.stop("entry-1")
		g.stop("entry-0")
	}
}
