package fleet_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/fleet"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/platform/fake"
	"lovageyard.example/lovageyard/timer"
)

// deskServer returns a live server with a name.
func deskServer(name string) lovageyard.BackendServer {
	return lovageyard.BackendServer{Name: name, Service: "desk", Address: "127.0.0.1:9", Slots: 1, State: lovageyard.StateLive}
}

// uses reports whether an instance uses a server.
func uses(control *fleet.Control, server string) bool {
	return slices.ContainsFunc(control.View().Servers, func(s catalog.Server) bool {
		return s.Name == server && s.State == lovageyard.StateLive
	})
}

// startOnClock starts an instance that has a manual clock.
func (g *group) startOnClock(name string, clock *timer.Manual, address string, seeds ...string) *fleet.Control {
	client := platform.NewStore(address, discardLogger())
	s := g.settings(name, 1, client, client, seeds...)
	s.Timer, s.ChangeWithin = clock, changeWithin
	return g.startWith(s)
}

// untilAdvancing waits for a condition while it advances a clock.
func (g *group) untilAdvancing(clock *timer.Manual, what string, condition func() bool) {
	g.c.Helper()
	g.until(what, func() bool {
		clock.Advance(10 * time.Millisecond)
		return condition()
	})
}

// An instance that can't reach the platform itself, while its peers can, must stop using a removed server as soon as
// it learns of the removal: the entry can't have expired because of an outage.
func TestRemovalThatAPeerHasReadIsAppliedAtOnce(t *testing.T) {
	g := newGroup(t)
	g.store.PutServer(deskServer("i-1"))
	clock := timer.NewManual(time.Unix(1000, 0))
	connected := g.start("entry-0", 1, g.address)
	defer g.stop("entry-0")
	isolated := g.startOnClock("entry-1", clock, "127.0.0.1:1", "entry-0:2")
	defer g.stop("entry-1")
	g.untilAdvancing(clock, "the server is known", func() bool { return uses(connected, "i-1") && uses(isolated, "i-1") })
	g.store.RemoveServer("i-1")
	g.until("the removal at the connected instance", func() bool { return !uses(connected, "i-1") })
	// The next exchange; the clock then stops, so that no grace period ends.
	clock.Advance(time.Second)
	g.until("the removal at the isolated instance", func() bool { return !uses(isolated, "i-1") })
}

// failingOnce is a feed whose next watch of servers fails if fail is set.
type failingOnce struct {
	lovageyard.Feed
	fail atomic.Bool
}

func (f *failingOnce) Watch(ctx context.Context, table string, after lovageyard.Position, wait time.Duration) (lovageyard.Changes, error) {
	if table == lovageyard.TableServers && f.fail.CompareAndSwap(true, false) {
		return lovageyard.Changes{}, errors.New("no answer")
	}
	return f.Feed.Watch(ctx, table, after, wait)
}

// A removal that is read just after a single call has failed must be applied at once: the platform was reachable
// all the while, so that the entry can't have expired because of an outage.
func TestRemovalReadAfterOneFailedCallIsAppliedAtOnce(t *testing.T) {
	g := newGroup(t)
	g.store.PutServer(deskServer("i-1"))
	clock := timer.NewManual(time.Unix(1000, 0))
	client := platform.NewStore(g.address, discardLogger())
	feed := &failingOnce{Feed: client}
	s := g.settings("entry-0", 1, feed, client)
	s.Timer, s.ChangeWithin = clock, changeWithin
	control := g.startWith(s)
	defer g.stop("entry-0")
	// The start is over, and both tables are read regularly.
	g.untilAdvancing(clock, "recent contact", func() bool {
		return uses(control, "i-1") && clock.Now().Sub(time.Unix(1000, 0)) > 5*time.Second && control.ContactAge() < changeWithin/4
	})
	feed.fail.Store(true)
	g.untilAdvancing(clock, "a failed call", func() bool { return !feed.fail.Load() })
	removedAt := g.store.RemoveServer("i-1")
	var view *catalog.View
	g.untilAdvancing(clock, "the removal is read", func() bool {
		view = control.View()
		return view.Cursors[lovageyard.TableServers].Version >= removedAt
	})
	g.c.Assert(slices.ContainsFunc(view.Servers, func(s catalog.Server) bool { return s.Name == "i-1" }), qt.IsFalse)
}

// Entries that a list lacks after an outage of the platform may have expired. All instances, also those that learn of
// the removal from a peer, must use the servers for a grace period, and no longer.
func TestServersWhoseEntriesExpiredInAnOutageAreKeptForTheGracePeriod(t *testing.T) {
	g := newGroup(t)
	g.store.PutServer(deskServer("i-1"))
	clock := timer.NewManual(time.Unix(1000, 0))
	controls := []*fleet.Control{
		g.startOnClock("entry-0", clock, g.address),
		g.startOnClock("entry-1", clock, "127.0.0.1:1", "entry-0:2"),
	}
	defer g.stop("entry-0")
	defer g.stop("entry-1")
	all := func(condition func(control *fleet.Control) bool) func() bool {
		return func() bool { return condition(controls[0]) && condition(controls[1]) }
	}
	g.untilAdvancing(clock, "the server is known and there is contact", all(func(control *fleet.Control) bool {
		return uses(control, "i-1") && control.ContactAge() < changeWithin
	}))
	g.store.SetFaults(fake.StoreFaults{Status: 503})
	// Longer than a pending watch waits.
	g.untilAdvancing(clock, "the outage is noticed", all(func(control *fleet.Control) bool { return control.ContactAge() > 3*changeWithin }))
	removedAt := g.store.RemoveServer("i-1")
	g.store.SetFaults(fake.StoreFaults{})
	// keptAtRead holds whether each instance still used the server when it had read the removal.
	keptAtRead := make(map[int]bool)
	g.untilAdvancing(clock, "the removal is read", func() bool {
		for n, control := range controls {
			view := control.View()
			if _, seen := keptAtRead[n]; !seen && view.Cursors[lovageyard.TableServers].Version >= removedAt {
				keptAtRead[n] = slices.ContainsFunc(view.Servers, func(s catalog.Server) bool { return s.Name == "i-1" })
			}
		}
		return len(keptAtRead) == len(controls)
	})
	g.c.Assert(keptAtRead, qt.DeepEquals, map[int]bool{0: true, 1: true})
	g.untilAdvancing(clock, "the server is dropped", all(func(control *fleet.Control) bool { return !uses(control, "i-1") }))
}
