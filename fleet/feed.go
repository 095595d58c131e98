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
	// watchWait is how long a call waits for changes of orders and servers. A platform that falls silent
	// for a moment may never answer the calls that waited then, which are given up storeTimeout later;
	// both together are within the time that operators allow after an outage.
	watchWait = 2500 * time.Millisecond
	// watchInstancesWait is the same for the table of instances, which only introduces them; the call is
	// given up with those of the other tables.
	watchInstancesWait = 20 * time.Second
	// coalesceInterval is the pause between two calls of one table, in which further changes gather;
	// it is well inside the bounds on leaving servers and on configurations, of 2 s and more.
	coalesceInterval = 200 * time.Millisecond
	// coalesceIntervalInstances is the same for the table of instances, which only introduces them.
	coalesceIntervalInstances = 3 * time.Second
	// coalesceIntervalAtStart is the same for all tables in the first startFor of an instance, when
	// all servers may be registering and it is not known yet who relays.
	coalesceIntervalAtStart = 2500 * time.Millisecond
	startPeriod             = 4 * time.Second
	// relayCheckInterval is how often an instance that follows relays looks whether it still does.
	relayCheckInterval = 200 * time.Millisecond
	// Pauses after calls that failed; they double from the first to the last. Instances that do not relay
	// make fewer: they hear of the platform's return from their relays.
	minBackoff         = 200 * time.Millisecond
	maxBackoff         = 800 * time.Millisecond
	maxBackoffNonRelay = 3200 * time.Millisecond
	// registerRetryInterval is the pause between attempts to write this instance's row.
	registerRetryInterval = time.Second
	// rowRemovalTimeout is the silence after which another instance's row is removed.
	rowRemovalTimeout = 20 * time.Second
)

// followTable keeps one table up to date until the loop ends.
func (c *Control) followTable(table string) {
	cursor := int64(0)
	pause := minBackoff
	wait := c.watchWaitOf(table)
	for c.awaitWatching() {
		if cursor > 0 && c.isSuppressed(table) {
			c.sleep(relayCheckInterval)
			continue
		}
		if cursor > 0 {
			// Relays may have told of changes since.
			cursor = max(cursor, c.View().Cursors[table])
		}
		news := c.readTable(table, cursor, wait)
		if errors.Is(news.err, errWatchCancelled) {
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
			pause = minBackoff
			wait = c.watchWaitOf(table)
			c.sleep(c.coalesceIntervalOf(table))
			continue
		}
		// Short calls find the end of an outage soon.
		wait = 0
		if errors.Is(news.err, lovageyard.ErrHistoryLost) {
			cursor = 0
			c.sleep(coalesceInterval)
			continue
		}
		c.sleep(pause)
		pause = min(2*pause, c.backoffLimit())
	}
}

// isSuppressed says whether a table is not asked for while another one can't be read: one call shows as well as
// three whether the platform answers again. Relays ask for each, as others rely on them.
func (c *Control) isSuppressed(table string) bool {
	return table != lovageyard.TableOrders && c.ordersUnreadable.Load() && !c.isRelay.Load()
}

// backoffLimit returns the longest pause after calls that failed.
func (c *Control) backoffLimit() time.Duration {
	if c.isRelay.Load() {
		return maxBackoff
	}
	return maxBackoffNonRelay
}

// watchWaitOf returns how long a call waits for changes of a table.
func (c *Control) watchWaitOf(table string) time.Duration {
	switch {
	case table == lovageyard.TableInstances:
		return watchInstancesWait
	case table == lovageyard.TableOrders && c.needsConfirmation():
		return min(watchWait, confirmWaitPercent*c.settings.MaxConfirmationAge/100)
	}
	return watchWait
}

// errWatchCancelled reports a call that waited for changes and was given up as another call failed.
var errWatchCancelled = errors.New("given up, as another call to the platform failed")

// coalesceIntervalOf returns the pause between two calls of a table.
func (c *Control) coalesceIntervalOf(table string) time.Duration {
	switch {
	case c.settings.Timer.Now().Sub(c.startedAt) < startPeriod:
		return coalesceIntervalAtStart
	case table == lovageyard.TableInstances:
		return coalesceIntervalInstances
	}
	return coalesceInterval
}

// readTable makes one call: the whole table if nothing is known, else its changes.
func (c *Control) readTable(table string, cursor int64, wait time.Duration) readResult {
	m := readResult{table: table, whole: cursor == 0, beganAt: c.settings.Timer.Elapsed()}
	if m.whole {
		m.changes, m.err = c.settings.Feed.Rows(c.inbox.Context(), table)
	} else {
		m.changes, m.err = c.watchTable(table, cursor, wait)
	}
	m.endedAt = c.settings.Timer.Elapsed()
	return m
}

// watchTable asks for the changes of a table. Only calls that wait are given up with others.
func (c *Control) watchTable(table string, cursor int64, wait time.Duration) (lovageyard.Changes, error) {
	if wait == 0 {
		return c.settings.Feed.Watch(c.inbox.Context(), table, cursor, wait)
	}
	ctx, end := c.watches.add(c.inbox.Context(), table)
	defer end()
	changes, err := c.settings.Feed.Watch(ctx, table, cursor, wait)
	if err != nil && ctx.Err() != nil && c.inbox.Context().Err() == nil {
		return changes, errWatchCancelled
	}
	return changes, err
}

// readResult is the end of a call to the platform.
type readResult struct {
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

func (m readResult) Apply(c *Control) {
	now := c.settings.Timer.Now()
	c.settings.Metrics.Count(meter.PlatformReads, m.table)
	if m.err != nil {
		c.recordFeedFailure(m, now)
		m.applied <- c.state.Cursor(m.table)
		return
	}
	if !m.whole && c.hasNewRows(m.changes.Rows) {
		c.recordChangeAge(m.table, 0, now)
	}
	var faults []catalog.InvalidRow
	if m.whole {
		faults = c.state.ApplyList(m.table, m.changes, now)
	} else {
		_, faults = c.state.ApplyChanges(m.table, m.changes, now)
	}
	c.logInvalidRows(faults)
	c.recordFeedSuccess(m.table, now)
	c.recordRead(m)
	if m.whole || len(m.changes.Rows) > 0 {
		c.dirty = true
	}
	m.applied <- c.state.Cursor(m.table)
}

// recordFeedSuccess notes that a table was read.
func (c *Control) recordFeedSuccess(table string, now time.Time) {
	since, found := c.failingSince[table]
	if !found {
		return
	}
	delete(c.failingSince, table)
	c.ordersUnreadable.Store(c.isUnreadable(lovageyard.TableOrders))
	c.state.MarkReadable(table)
	c.settings.Logger.WithFields(logrus.Fields{
		"table":     table,
		"outage-ms": now.Sub(since).Milliseconds(),
	}).Info("platform regained")
}

func (c *Control) recordFeedFailure(m readResult, now time.Time) {
	if errors.Is(m.err, lovageyard.ErrHistoryLost) {
		return
	}
	c.settings.Metrics.Count(meter.PlatformFailures, m.table, causeOf(m.err))
	c.state.MarkUnreadable(m.table)
	c.watches.cancelAll()
	defer c.answerWaiters(now)
	if _, found := c.failingSince[m.table]; found {
		return
	}
	c.failingSince[m.table] = now
	c.ordersUnreadable.Store(c.isUnreadable(lovageyard.TableOrders))
	c.settings.Logger.WithError(m.err).WithField("table", m.table).Warn("platform lost")
}

// isUnreadable says whether a table can't be read at present.
func (c *Control) isUnreadable(table string) bool {
	_, failing := c.failingSince[table]
	return failing
}

// logInvalidRows tells of rows that are passed over; each version of a row is told once.
func (c *Control) logInvalidRows(faults []catalog.InvalidRow) {
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

// removeStaleRows removes the rows of instances that have long been silent; the first of the
// live instances does it for all.
func (c *Control) removeStaleRows(now time.Time) {
	live := c.members.Live()
	if len(live) == 0 || live[0].Name != c.self.Name || len(c.failingSince) > 0 {
		return
	}
	alive := make(map[string]bool)
	for _, m := range c.members.Members() {
		alive[m.Name] = true
	}
	for _, r := range c.state.ChangesSince(lovageyard.TableInstances, 0).Rows {
		if r.Deleted || alive[r.Key] {
			delete(c.silentSince, r.Key)
			continue
		}
		first, found := c.silentSince[r.Key]
		if !found {
			c.silentSince[r.Key] = now
			continue
		}
		if now.Sub(first) >= rowRemovalTimeout {
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
