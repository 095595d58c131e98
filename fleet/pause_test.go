package fleet_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/timer"
)

// blockingFeed is a feed that lists empty tables and blocks watches, until the test releases one of orders.
type blockingFeed struct {
	// watched receives the table of each watch when it starts.
	watched chan string
	// release makes the pending watch of orders return.
	release chan lovageyard.Changes
}

func (f blockingFeed) Rows(context.Context, string) (lovageyard.Changes, error) {
	return lovageyard.Changes{To: 1}, nil
}

func (f blockingFeed) Watch(ctx context.Context, table string, _ lovageyard.Position, _ time.Duration) (lovageyard.Changes, error) {
	f.watched <- table
	var released chan lovageyard.Changes
	if table == lovageyard.TableOrders {
		released = f.release
	}
	select {
	case changes := <-released:
		return changes, nil
	case <-ctx.Done():
		return lovageyard.Changes{}, ctx.Err()
	}
}

// recordingRegistrar accepts every transaction and records that there was one.
type recordingRegistrar struct {
	called atomic.Bool
}

func (r *recordingRegistrar) Transact(context.Context, lovageyard.Transaction) (int64, error) {
	r.called.Store(true)
	return 1, nil
}

// recordingTimer is a manual timer that records each call of After.
type recordingTimer struct {
	*timer.Manual
	started chan time.Duration
}

func (t recordingTimer) After(d time.Duration) lovageyard.Ticker {
	ticks := t.Manual.After(d)
	t.started <- d
	return ticks
}

// next returns the next value of a channel, or fails the test after waitTimeout.
func next[T any](c *qt.C, what string, from <-chan T) T {
	select {
	case got := <-from:
		return got
	case <-time.After(waitTimeout):
		c.Fatalf("not reached: %s", what)
		panic("not reached")
	}
}

// drain removes all values that a channel has buffered.
func drain[T any](from <-chan T) {
	for len(from) > 0 {
		<-from
	}
}

// The next watch after a change must start within a second, as leaving servers and configurations have to
// be known everywhere two seconds after they are accepted.
func TestConsecutiveChangesAreReadPromptly(t *testing.T) {
	const maxPause = time.Second
	c := qt.New(t)
	g := newGroup(t)
	clock := recordingTimer{Manual: timer.NewManual(time.Unix(1000, 0)), started: make(chan time.Duration, 100)}
	feed := blockingFeed{watched: make(chan string, 100), release: make(chan lovageyard.Changes)}
	rows := &recordingRegistrar{}
	s := g.settings("a", 1, feed, rows)
	s.Timer = clock
	g.startWith(s)
	defer g.stop("a")
	// Wait until the instance has started completely and watches each table.
	g.until("the start is over", func() bool {
		clock.Advance(10 * time.Second)
		return rows.called.Load() && len(feed.watched) == len(lovageyard.FollowedTables())
	})
	drain(feed.watched)
	drain(clock.started)
	for version := int64(2); version < 5; version++ {
		removed := lovageyard.Row{Table: lovageyard.TableOrders, Key: "evacuate/north-2", Version: version, Deleted: true}
		feed.release <- lovageyard.Changes{After: version - 1, To: version, Rows: []lovageyard.Row{removed}}
		pause := next(c, "a pause after the change", clock.started)
		c.Assert(pause <= maxPause, qt.IsTrue, qt.Commentf("a pause of %v", pause))
		clock.Advance(pause)
		c.Assert(next(c, "the next watch", feed.watched), qt.Equals, lovageyard.TableOrders)
	}
}

// Time limits apply to an instance 3 s after its start. A change that it could have read since must not wait for
// the end of a long pause: a server that leaves gets no requests 2 s after its departure is accepted.
func TestChangesAreReadPromptlySoonAfterTheStart(t *testing.T) {
	const limitsApplyAfter, maxPause = 3 * time.Second, time.Second
	g := newGroup(t)
	start := time.Unix(1000, 0)
	clock := recordingTimer{Manual: timer.NewManual(start), started: make(chan time.Duration, 1000)}
	feed := blockingFeed{watched: make(chan string, 100), release: make(chan lovageyard.Changes)}
	s := g.settings("a", 1, feed, &recordingRegistrar{})
	s.Timer = clock
	g.startWith(s)
	defer g.stop("a")
	version := int64(1)
	change := func() {
		g.until("a watch of orders", func() bool {
			clock.Advance(10 * time.Millisecond)
			return len(feed.watched) > 0 && <-feed.watched == lovageyard.TableOrders
		})
		drain(clock.started)
		version++
		removed := lovageyard.Row{Table: lovageyard.TableOrders, Key: "evacuate/north-2", Version: version, Deleted: true}
		feed.release <- lovageyard.Changes{After: version - 1, To: version, Rows: []lovageyard.Row{removed}}
		pause := next(g.c, "a pause after the change", clock.started)
		earliest := clock.Now().Sub(start)
		g.c.Assert(earliest+pause <= max(limitsApplyAfter, earliest+maxPause), qt.IsTrue,
			qt.Commentf("a pause of %v, %v after the start", pause, earliest))
		clock.Advance(pause)
	}
	for clock.Now().Sub(start) < 2*limitsApplyAfter {
		change()
	}
}

// The limits of cold servers are divided among the instances that are known. So an instance that has just started must
// read the table of instances again no later than that of servers, in which servers may have joined meanwhile.
func TestAllTablesAreReadAgainAtTheSameTimeAfterTheStart(t *testing.T) {
	g := newGroup(t)
	clock := recordingTimer{Manual: timer.NewManual(time.Unix(1000, 0)), started: make(chan time.Duration, 100)}
	feed := blockingFeed{watched: make(chan string, 100), release: make(chan lovageyard.Changes)}
	s := g.settings("a", 1, feed, &recordingRegistrar{})
	s.Timer = clock
	g.startWith(s)
	defer g.stop("a")
	first := next(g.c, "a pause after the first list", clock.started)
	for range len(lovageyard.FollowedTables()) - 1 {
		g.c.Assert(next(g.c, "a pause after another list", clock.started), qt.Equals, first)
	}
}

// An instance that has just started reads the platform rarely, so that others must not rely on it.
func TestInstanceThatJustStartedIsNoRelay(t *testing.T) {
	g := newGroup(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	client := platform.NewStore(g.address, discardLogger())
	s := g.settings("a", 1, client, client)
	s.Timer = clock
	control := g.startWith(s)
	defer g.stop("a")
	isStale := func() bool {
		reply, err := control.Share(t.Context(), &wire.ShareRequest{From: &wire.Member{}})
		g.c.Assert(err, qt.IsNil)
		return reply.GetStale()
	}
	g.until("readiness", func() bool { return control.View().Ready })
	g.c.Assert(isStale(), qt.IsTrue)
	clock.Advance(3 * time.Second)
	g.until("the instance is a relay", func() bool { return !isStale() })
}
