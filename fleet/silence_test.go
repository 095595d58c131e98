package fleet_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/instance"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/platform/fake"
	"lovageyard.example/lovageyard/timer"
)

// watchCall records one call of Watch.
type watchCall struct {
	table string
	wait  time.Duration
}

// failingFeed is a feed that lists empty tables and blocks watches, until the test makes watches of orders
// fail.
type failingFeed struct {
	calls chan watchCall
	// failing is closed to make watches of orders fail.
	failing chan struct{}
	once    sync.Once
}

func (f *failingFeed) Rows(context.Context, string) (lovageyard.Changes, error) {
	return lovageyard.Changes{To: 1}, nil
}

func (f *failingFeed) Watch(ctx context.Context, table string, _ lovageyard.Position, wait time.Duration) (lovageyard.Changes, error) {
	f.calls <- watchCall{table: table, wait: wait}
	var failing chan struct{}
	if table == lovageyard.TableOrders {
		failing = f.failing
	}
	select {
	case <-failing:
		return lovageyard.Changes{}, errors.New("no answer")
	case <-ctx.Done():
		return lovageyard.Changes{}, ctx.Err()
	}
}

func (f *failingFeed) fail() {
	f.once.Do(func() { close(f.failing) })
}

// startAndAwaitWatches starts an instance, waits until it watches all tables, and returns the wait time of each watch.
func startAndAwaitWatches(g *group, feed *failingFeed) map[string]time.Duration {
	clock := timer.NewManual(time.Unix(1000, 0))
	rows := &recordingRegistrar{}
	s := g.settings("a", 1, feed, rows)
	s.Timer = clock
	g.startWith(s)
	waits := make(map[string]time.Duration)
	g.until("all tables are watched", func() bool {
		clock.Advance(time.Second)
		for len(feed.calls) > 0 {
			call := <-feed.calls
			waits[call.table] = call.wait
		}
		return len(waits) == len(lovageyard.FollowedTables())
	})
	return waits
}

// After a short outage the platform may never answer the watches that were pending. The first one that
// fails must cancel the others, so that changes made meanwhile are read.
func TestPendingWatchesAreCancelledWhenOneFails(t *testing.T) {
	c := qt.New(t)
	feed := &failingFeed{calls: make(chan watchCall, 100), failing: make(chan struct{})}
	g := newGroup(t)
	startAndAwaitWatches(g, feed)
	defer g.stop("a")
	feed.fail()
	for {
		call := next(c, "a call for the changes of servers", feed.calls)
		if call.table == lovageyard.TableServers {
			// The call does not wait, so that it shows quickly whether the platform answers again.
			c.Assert(call.wait, qt.Equals, time.Duration(0))
			return
		}
	}
}

// A lost watch must be detected well within the time limit for changes, which operators count from four
// seconds after the end of an outage.
func TestCallsForConfigurationsAndServersDoNotWaitLong(t *testing.T) {
	const maxWait = 3 * time.Second
	c := qt.New(t)
	feed := &failingFeed{calls: make(chan watchCall, 100), failing: make(chan struct{})}
	g := newGroup(t)
	waits := startAndAwaitWatches(g, feed)
	defer g.stop("a")
	for _, table := range []string{lovageyard.TableOrders, lovageyard.TableServers} {
		c.Assert(waits[table] > 0 && waits[table] <= maxWait, qt.IsTrue, qt.Commentf("%s waits %v", table, waits[table]))
	}
}

// countingFeed counts the calls to a feed.
type countingFeed struct {
	lovageyard.Feed
	calls atomic.Int64
}

func (f *countingFeed) Rows(ctx context.Context, table string) (lovageyard.Changes, error) {
	f.calls.Add(1)
	return f.Feed.Rows(ctx, table)
}

func (f *countingFeed) Watch(ctx context.Context, table string, after lovageyard.Position, wait time.Duration) (lovageyard.Changes, error) {
	f.calls.Add(1)
	return f.Feed.Watch(ctx, table, after, wait)
}

// During an outage the relays poll the platform; other instances must make few calls.
func TestFewInstancesProbeThePlatformDuringAnOutage(t *testing.T) {
	const count, relayCalls = 6, 60
	g := newGroup(t)
	feeds := make(map[string]*countingFeed)
	for n := range count {
		name := fmt.Sprint("entry-", n)
		client := platform.NewStore(g.address, discardLogger())
		feeds[name] = &countingFeed{Feed: client}
		g.startOn(name, 1, feeds[name], client)
		defer g.stop(name)
	}
	g.until("all live", func() bool {
		for _, control := range g.network.instances {
			if len(control.View().Live) != count || !control.View().Ready {
				return false
			}
		}
		return true
	})
	relays := instance.ChooseRelays(g.network.instances["entry-0:2"].View().Live, "north-1")
	g.store.SetFaults(fake.StoreFaults{Status: 503})
	before := make(map[string]int64)
	for name, feed := range feeds {
		before[name] = feed.calls.Load()
	}
	g.until("many calls of the relays", func() bool {
		for _, name := range relays {
			if feeds[name].calls.Load()-before[name] < relayCalls {
				return false
			}
		}
		return true
	})
	for name, feed := range feeds {
		if !slices.Contains(relays, name) {
			calls := feed.calls.Load() - before[name]
			g.c.Check(calls < relayCalls/2, qt.IsTrue, qt.Commentf("%s made %d calls", name, calls))
		}
	}
	g.store.SetFaults(fake.StoreFaults{})
	g.store.Drain("north-9")
	for name, control := range g.network.instances {
		g.until("the change at "+name, func() bool { return control.View().Drained["north-9"] })
	}
}
