package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/meter"
)

// Periods of the calls to the platform.
const (
	// watchFor is how long a call waits for changes of orders and servers. A platform that falls silent
	// for a moment may never answer the calls that waited then, which are given up storeTimeout later;
	// both together are within the time that operators allow after an outage.
	watchFor = 2500 * time.Millisecond
	// watchInstancesFor is the same for the table of instances, which only introduces them; the call is
	// given up with those of the other tables.
	watchInstancesFor = 20 * time.Second
	// coalesce is the pause between two calls of one table, in which further changes gather;
	// it is well inside the bounds on leaving servers and on configurations, of 2 s and more.
	coalesce = 200 * time.Millisecond
	// coalesceInstances is the same for the table of instances, which only introduces them.
	coalesceInstances = 3 * time.Second
	// coalesceStart is the same for all tables in the first startFor of an instance, when
	// all servers may be registering and it is not known yet who relays.
	coalesceStart = 2500 * time.Millisecond
	startFor      = 4 * time.Second
	// turnEvery is how often an instance that follows relays looks whether it still does.
	turnEvery = 200 * time.Millisecond
	// Pauses after calls that failed; they double from the first to the last. Instances that do not relay
	// make fewer: they hear of the platform's return from their relays.
	firstPause      = 200 * time.Millisecond
	lastPause       = 800 * time.Millisecond
	lastPauseOthers = 3200 * time.Millisecond
	// registerEvery is the pause between attempts to write this instance's row.
	registerEvery = time.Second
	// forgetAfter is the silence after which another instance's row is removed.
	forgetAfter = 20 * time.Second
)

// follow keeps one table up to date until the loop ends.
func (c *Control) follow(table string) {
	cursor := int64(0)
	pause := firstPause
	wait := c.waitOf(table)
	for c.awaitTurn() {
		if cursor > 0 && c.isHeldBack(table) {
			c.pause(turnEvery)
			continue
		}
		if cursor > 0 {
			// Relays may have told of changes since.
			cursor = max(cursor, c.View().Cursors[table])
		}
		news := c.read(table, cursor, wait)
		if errors.Is(news.err, errGivenUp) {
			wait = 0
			continue
		}
		news.applied = make(chan int64, 1)
		if !c.inbox.Post(news) {
			return
		}
		select {
		case cursor = <-news.applied:
		case <-c.inbox.Context().Done():
			return
		}
		if news.err == nil {
			pause = firstPause
			wait = c.waitOf(table)
			c.pause(c.pauseOf(table))
			continue
		}
		// Short calls find the end of an outage soon.
		wait = 0
		if errors.Is(news.err, lovageyard.ErrHistoryLost) {
			cursor = 0
			c.pause(coalesce)
			continue
		}
		c.pause(pause)
		pause = min(2*pause, c.longestPause())
	}
}

// isHeldBack says whether a table is not asked for while another one can't be read: one call shows as well as
// three whether the platform answers again. Relays ask for each, as others rely on them.
func (c *Control) isHeldBack(table string) bool {
	return table != lovageyard.TableOrders && c.ordersLost.Load() && !c.relaying.Load()
}

// longestPause returns the longest pause after calls that failed.
func (c *Control) longestPause() time.Duration {
	if c.relaying.Load() {
		return lastPause
	}
	return lastPauseOthers
}

// waitOf returns how long a call waits for changes of a table.
func (c *Control) waitOf(table string) time.Duration {
	switch {
	case table == lovageyard.TableInstances:
		return watchInstancesFor
	case table == lovageyard.TableOrders && c.mustConfirm():
		return min(watchFor, confirmShare*c.settings.ConfirmWithin/100)
	}
	return watchFor
}

// errGivenUp reports a call that waited for changes and was given up as another call failed.
var errGivenUp = errors.New("given up, as another call to the platform failed")

// pauseOf returns the pause between two calls of a table.
func (c *Control) pauseOf(table string) time.Duration {
	switch {
	case c.settings.Timer.Now().Sub(c.began) < startFor:
		return coalesceStart
	case table == lovageyard.TableInstances:
		return coalesceInstances
	}
	return coalesce
}

// read makes one call: the whole table if nothing is known, else its changes.
func (c *Control) read(table string, cursor int64, wait time.Duration) heard {
	m := heard{table: table, whole: cursor == 0, beganAt: c.settings.Timer.Elapsed()}
	if m.whole {
		m.changes, m.err = c.settings.Feed.Rows(c.inbox.Context(), table)
	} else {
		m.changes, m.err = c.watch(table, cursor, wait)
	}
	m.endedAt = c.settings.Timer.Elapsed()
	return m
}

// watch asks for the changes of a table. Only calls that wait are given up with others.
func (c *Control) watch(table string, cursor int64, wait time.Duration) (lovageyard.Changes, error) {
	if wait == 0 {
		return c.settings.Feed.Watch(c.inbox.Context(), table, cursor, wait)
	}
	ctx, end := c.waits.begin(c.inbox.Context(), table)
	defer end()
	changes, err := c.settings.Feed.Watch(ctx, table, cursor, wait)
	if err != nil && ctx.Err() != nil && c.inbox.Context().Err() == nil {
		return changes, errGivenUp
	}
	return changes, err
}

// heard is the end of a call to the platform.
type heard struct {
	table   string
	changes lovageyard.Changes
	whole   bool
	err     error
	// beganAt and endedAt are when the call was made and answered; see lovageyard.Timer.
	beganAt time.Duration
	endedAt time.Duration
	// applied gets the version up to which the table is known.
	applied chan int64
}

func (m heard) Apply(c *Control) {
	now := c.settings.Timer.Now()
	c.settings.Metrics.Count(meter.PlatformReads, m.table)
	if m.err != nil {
		c.feedFailed(m, now)
		m.applied <- c.state.Cursor(m.table)
		return
	}
	if !m.whole && c.hasNews(m.changes.Rows) {
		c.noteAge(m.table, 0, now)
	}
	var faults []catalog.Fault
	if m.whole {
		faults = c.state.ApplyList(m.table, m.changes, now)
	} else {
		_, faults = c.state.ApplyChanges(m.table, m.changes, now)
	}
	c.logFaults(faults)
	c.feedWorks(m.table, now)
	c.noteRead(m)
	if m.whole || len(m.changes.Rows) > 0 {
		c.dirty = true
	}
	m.applied <- c.state.Cursor(m.table)
}

// feedWorks notes that a table was read.
func (c *Control) feedWorks(table string, now time.Time) {
	since, found := c.failing[table]
	if !found {
		return
	}
	delete(c.failing, table)
	c.ordersLost.Store(c.isLost(lovageyard.TableOrders))
	c.state.Regained(table)
	c.settings.Logger.WithFields(logrus.Fields{
		"table":     table,
		"outage-ms": now.Sub(since).Milliseconds(),
	}).Info("platform regained")
}

func (c *Control) feedFailed(m heard, now time.Time) {
	if errors.Is(m.err, lovageyard.ErrHistoryLost) {
		return
	}
	c.settings.Metrics.Count(meter.PlatformFailures, m.table, causeOf(m.err))
	c.state.Lost(m.table)
	c.waits.giveUp()
	defer c.answerWaiters(now)
	if _, found := c.failing[m.table]; found {
		return
	}
	c.failing[m.table] = now
	c.ordersLost.Store(c.isLost(lovageyard.TableOrders))
	c.settings.Logger.WithError(m.err).WithField("table", m.table).Warn("platform lost")
}

// isLost says whether a table can't be read at present.
func (c *Control) isLost(table string) bool {
	_, failing := c.failing[table]
	return failing
}

// logFaults tells of rows that are passed over; each version of a row is told once.
func (c *Control) logFaults(faults []catalog.Fault) {
	for _, f := range faults {
		field := "row"
		var wrong *lovageyard.FieldError
		if errors.As(f.Err, &wrong) && wrong.Field != "" {
			field = wrong.Field
		}
		c.settings.Metrics.Count(meter.RowsSkipped, f.Row.Table, field)
		c.settings.Logger.WithFields(logrus.Fields{
			"table":       f.Row.Table,
			"key":         f.Row.Key,
			"row-version": f.Row.Version,
			"field":       field,
			"reason":      f.Err.Error(),
		}).Warn("a row is passed over")
	}
}

// removeSilent removes the rows of instances that have long been silent; the first of the
// live instances does it for all.
func (c *Control) removeSilent(now time.Time) {
	live := c.members.Live()
	if len(live) == 0 || live[0].Name != c.self.Name || len(c.failing) > 0 {
		return
	}
	alive := make(map[string]bool)
	for _, m := range c.members.Known() {
		alive[m.Name] = true
	}
	for _, r := range c.state.Since(lovageyard.TableInstances, 0).Rows {
		if r.Deleted || alive[r.Key] {
			delete(c.unheard, r.Key)
			continue
		}
		first, found := c.unheard[r.Key]
		if !found {
			c.unheard[r.Key] = now
			continue
		}
		if now.Sub(first) >= forgetAfter {
			c.removeRow(r)
		}
	}
}

func (c *Control) removeRow(r lovageyard.Row) {
	c.inbox.Call("remove "+r.Key, func(ctx context.Context) message {
		c.settings.Metrics.Count(meter.PlatformWrites)
		_, err := c.settings.Registrar.Transact(ctx, lovageyard.Transaction{
			Conditions: []lovageyard.Condition{{Table: r.Table, Key: r.Key, Version: r.Version}},
			Writes:     []lovageyard.Write{{Table: r.Table, Key: r.Key, Delete: true}},
		})
		if err != nil && !isConflict(err) {
			c.settings.Logger.WithError(err).WithField("instance", r.Key).Warn("a silent instance's row is not removed yet")
			return nil
		}
		c.settings.Logger.WithField("instance", r.Key).Info("a silent instance's row was removed")
		return nil
	})
}
