package fleet_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/timer"
)

// blockingFeed holds each watch until the test lets it go with a change.
type blockingFeed struct {
	// watched gets the table of each watch as it begins.
	watched chan string
	// release ends the watch of orders that is under way.
	release chan lovageyard.Changes
}

func (f blockingFeed) Rows(context.Context, string) (lovageyard.Changes, error) {
	return lovageyard.Changes{To: 1}, nil
}

func (f blockingFeed) Watch(ctx context.Context, table string, _ int64, _ time.Duration) (lovageyard.Changes, error) {
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

// recordingRegistrar takes every row and notes that it was asked to.
type recordingRegistrar struct {
	asked atomic.Bool
}

func (r *recordingRegistrar) Transact(context.Context, lovageyard.Transaction) (int64, error) {
	r.asked.Store(true)
	return 1, nil
}

// recordingTimer is a timer service that tells of each pause that begins.
type recordingTimer struct {
	*timer.Manual
	begun chan time.Duration
}

func (p recordingTimer) After(d time.Duration) lovageyard.Ticker {
	ticks := p.Manual.After(d)
	p.begun <- d
	return ticks
}

// next returns what a channel delivers.
func next[T any](c *qt.C, what string, from <-chan T) T {
	select {
	case got := <-from:
		return got
	case <-time.After(waitTimeout):
		c.Fatalf("not reached: %s", what)
		panic("not reached")
	}
}

// drain empties a channel.
func drain[T any](from <-chan T) {
	for len(from) > 0 {
		<-from
	}
}

// A change that follows another one is asked for within a second: leaving servers and
// configurations have to be known everywhere two seconds after they are accepted.
func TestConsecutiveChangesAreReadPromptly(t *testing.T) {
	const soon = time.Second
	c := qt.New(t)
	g := newGroup(t)
	clock := recordingTimer{Manual: timer.NewManual(time.Unix(1000, 0)), begun: make(chan time.Duration, 100)}
	feed := blockingFeed{watched: make(chan string, 100), release: make(chan lovageyard.Changes)}
	rows := &recordingRegistrar{}
	s := g.settings("a", 1, feed, rows)
	s.Timer = clock
	g.startWith(s)
	defer g.stop("a")
	// Until all that goes on at a start is over, and each table is watched.
	g.until("the start is over", func() bool {
		clock.Advance(10 * time.Second)
		return rows.asked.Load() && len(feed.watched) == len(lovageyard.FollowedTables())
	})
	drain(feed.watched)
	drain(clock.begun)
	for version := int64(2); version < 5; version++ {
		gone := lovageyard.Row{Table: lovageyard.TableOrders, Key: "evacuate/north-2", Version: version, Deleted: true}
		feed.release <- lovageyard.Changes{After: version - 1, To: version, Rows: []lovageyard.Row{gone}}
		pause := next(c, "a pause after the change", clock.begun)
		c.Assert(pause <= soon, qt.IsTrue, qt.Commentf("a pause of %v", pause))
		clock.Advance(pause)
		c.Assert(next(c, "the next watch", feed.watched), qt.Equals, lovageyard.TableOrders)
	}
}
