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

// Intervals of the calls to the platform.
const (
	// watchInstancesWait is how long a watch of the table of instances waits for changes; the table is needed
	// only to discover them. This watch is cancelled together with those of the other tables.
	watchInstancesWait = 20 * time.Second
	// coalesceInterval is the pause between two watches of a table, so that further changes are batched.
	// It is well below the time limits for leaving servers and for configurations, of 2 s and more.
	coalesceInterval = 200 * time.Millisecond
	// coalesceIntervalInstances is the same for the table of instances.
	coalesceIntervalInstances = 3 * time.Second
	// startPeriod is the time after the start in which an instance reads each table at most twice, as all
	// servers may be registering and the relays are not known yet. It is not used as a relay meanwhile, and
	// time limits do not apply to an instance that has been running for less than 3 s.
	startPeriod = 2500 * time.Millisecond
	// relayCheckInterval is how often an instance that follows relays checks whether it has to watch the
	// platform itself.
	relayCheckInterval = 200 * time.Millisecond
	// Exponential backoff after failed calls. Instances that are not relays back off longer, as they usually learn
	// from their relays that the platform has recovered. Operators allow 3 s after an outage, of which a call
	// without an answer takes up to storeTimeout of package platform.
	minBackoff         = 200 * time.Millisecond
	maxBackoff         = 800 * time.Millisecond
	maxBackoffNonRelay = 1200 * time.Millisecond
	// rowRemovalTimeout is how long the row of an instance that is not a member is kept.
	rowRemovalTimeout = 20 * time.Second
)

// followTable reads and watches one table until the loop stops.
func (c *Control) followTable(table string) {
	var cursor lovageyard.Position
	backoff := minBackoff
	wait := c.watchWaitOf(table)
	for c.awaitWatching(table) {
		if !cursor.IsZero() && c.isSuppressed(table) {
			c.sleep(relayCheckInterval)
			continue
		}
		if applied := c.View().Cursors[table]; !cursor.IsZero() && cursor.Before(applied) {
			// Relays may have sent newer changes.
			cursor = applied
		}
		result := c.readTable(table, cursor, wait)
		if errors.Is(result.err, errWatchCancelled) {
			wait = 0
			continue
		}
		result.applied = make(chan lovageyard.Position, 1)
		if !c.inbox.Post(result) {
			return
		}
		select {
		case cursor = <-result.applied:
		case <-c.inbox.Context().Done():
			return
		}
		if result.err == nil {
			backoff = minBackoff
			wait = c.watchWaitOf(table)
			c.sleep(c.coalesceIntervalOf(table))
			continue
		}
		// Calls that do not wait detect the end of an outage quickly.
		wait = 0
		if errors.Is(result.err, lovageyard.ErrHistoryLost) {
			cursor = lovageyard.Position{}
			c.sleep(coalesceInterval)
			continue
		}
		c.sleep(backoff)
		backoff = min(2*backoff, c.backoffLimit())
	}
}

// isSuppressed reports whether a table is not read because orders can't be read: one table is enough to
// detect the end of an outage. Relays read all tables, as others rely on them.
func (c *Control) isSuppressed(table string) bool {
	return table != lovageyard.TableOrders && c.ordersUnreadable.Load() && !c.isRelay.Load()
}

// backoffLimit returns the maximum backoff after failed calls.
func (c *Control) backoffLimit() time.Duration {
	if c.isRelay.Load() {
		return maxBackoff
	}
	return maxBackoffNonRelay
}

// watchWaitOf returns how long a watch of a table waits for changes. After a short outage the platform may never
// answer the watches that were pending; they time out storeTimeout of package platform after the wait.
func (c *Control) watchWaitOf(table string) time.Duration {
	switch {
	case table == lovageyard.TableInstances:
		return watchInstancesWait
	case table == lovageyard.TableOrders && c.needsConfirmation():
		return min(c.untilContact(table), confirmWaitPercent*c.settings.MaxConfirmationAge/100)
	}
	return c.untilContact(table)
}

// errWatchCancelled reports a pending watch that was cancelled because a call for another table failed.
var errWatchCancelled = errors.New("watch cancelled: another call to the platform failed")

// coalesceIntervalOf returns the pause between two watches of a table.
func (c *Control) coalesceIntervalOf(table string) time.Duration {
	if left := c.startPeriodLeft(); left > coalesceInterval {
		return left
	}
	if table == lovageyard.TableInstances {
		return coalesceIntervalInstances
	}
	return coalesceInterval
}

// startPeriodLeft returns how long startPeriod still lasts; it is negative afterwards.
func (c *Control) startPeriodLeft() time.Duration {
	return startPeriod - c.settings.Timer.Now().Sub(c.startedAt)
}

// readTable makes one call to the platform. It lists the table if the cursor is 0, and watches it otherwise.
func (c *Control) readTable(table string, cursor lovageyard.Position, wait time.Duration) readResult {
	m := readResult{table: table, whole: cursor.IsZero(), startedAt: c.settings.Timer.Elapsed()}
	if m.whole {
		m.changes, m.err = c.settings.Feed.Rows(c.inbox.Context(), table)
	} else {
		m.changes, m.err = c.watchTable(table, cursor, wait)
	}
	m.finishedAt = c.settings.Timer.Elapsed()
	return m
}

// watchTable calls the feed for the changes of a table. Only watches that wait are cancelled with others.
func (c *Control) watchTable(table string, cursor lovageyard.Position, wait time.Duration) (lovageyard.Changes, error) {
	if wait == 0 {
		return c.settings.Feed.Watch(c.inbox.Context(), table, cursor, wait)
	}
	ctx, cancel := c.watches.add(c.inbox.Context(), table)
	defer cancel()
	changes, err := c.settings.Feed.Watch(ctx, table, cursor, wait)
	if err != nil && ctx.Err() != nil && c.inbox.Context().Err() == nil {
		return changes, errWatchCancelled
	}
	return changes, err
}

// readResult is the result of a call to the platform.
type readResult struct {
	table   string
	changes lovageyard.Changes
	// whole is set if the call listed the whole table.
	whole bool
	err   error
	// startedAt and finishedAt are when the call started and returned, as lovageyard.Timer's elapsed time.
	startedAt  time.Duration
	finishedAt time.Duration
	// applied receives the cursor of the table after the result has been applied.
	applied chan lovageyard.Position
}

func (m readResult) Apply(c *Control) {
	now := c.settings.Timer.Now()
	c.settings.Metrics.Count(meter.PlatformReads, m.table)
	if m.err != nil {
		c.recordFeedFailure(m, now)
		m.applied <- c.state.Cursor(m.table)
		return
	}
	cursor := c.state.Cursor(m.table)
	if m.changes.Era < cursor.Era || m.whole && m.changes.End().Before(cursor) {
		c.recordOutdatedRead(m, cursor)
	}
	if m.changes.Era < cursor.Era {
		m.applied <- cursor
		return
	}
	delete(c.historyLost, m.table)
	c.rowSource = sourcePlatform
	if !m.whole && c.hasNewRows(m.changes) {
		c.recordChangeAge(m.table, 0, now)
	}
	if c.mayHaveExpired(m.table) {
		c.state.MarkUnreadable(m.table)
		defer c.state.MarkReadable(m.table)
	}
	var invalid []catalog.InvalidRow
	if m.whole {
		invalid = c.state.ApplyList(m.table, m.changes, now)
	} else {
		_, invalid = c.state.ApplyChanges(m.table, m.changes, now)
	}
	c.logInvalidRows(invalid)
	c.recordEra(m.table, cursor, now)
	c.recordFeedSuccess(m.table, now)
	c.recordRead(m)
	c.unwatched[m.table].Store(false)
	c.recordContact(m)
	if m.whole || len(m.changes.Rows) > 0 {
		c.dirty = true
	}
	m.applied <- c.state.Cursor(m.table)
}

// mayHaveExpired reports whether entries that the next read of a table lacks may have expired in an outage of the
// platform. An outage that only this instance has seen does not keep servers from renewing their entries.
func (c *Control) mayHaveExpired(table string) bool {
	return c.isUnreadable(table) && c.ContactAge() > c.maxContactAge()
}

// recordFeedSuccess records that a table can be read, and logs the end of an outage.
func (c *Control) recordFeedSuccess(table string, now time.Time) {
	since, found := c.failingSince[table]
	if !found {
		return
	}
	delete(c.failingSince, table)
	c.ordersUnreadable.Store(c.isUnreadable(lovageyard.TableOrders))
	c.settings.Logger.WithFields(logrus.Fields{
		"table":     table,
		"outage-ms": now.Sub(since).Milliseconds(),
	}).Info("platform regained")
}

func (c *Control) recordFeedFailure(m readResult, now time.Time) {
	if errors.Is(m.err, lovageyard.ErrHistoryLost) {
		c.recordHistoryLost(m)
		return
	}
	c.settings.Metrics.Count(meter.PlatformFailures, m.table, causeOf(m.err))
	c.watches.cancelAll()
	defer c.answerWaiters(now)
	if _, found := c.failingSince[m.table]; found {
		return
	}
	c.failingSince[m.table] = now
	c.ordersUnreadable.Store(c.isUnreadable(lovageyard.TableOrders))
	c.settings.Logger.WithError(m.err).WithField("table", m.table).Warn("platform lost")
}

// recordHistoryLost counts a refused watch, and logs the first one since the table was last applied.
func (c *Control) recordHistoryLost(m readResult) {
	c.settings.Metrics.Count(meter.HistoryLost, m.table)
	if c.historyLost[m.table] {
		return
	}
	c.historyLost[m.table] = true
	cursor := c.state.Cursor(m.table)
	c.settings.Logger.WithError(m.err).WithFields(logrus.Fields{
		"table":   m.table,
		"era":     cursor.Era,
		"version": cursor.Version,
	}).Warn("platform refused a watch; reading the table again")
}

// recordOutdatedRead counts and logs a read that is older than the rows in use. Its answer may have been
// overtaken by a peer's rows, or come from before a restore of the platform's store.
func (c *Control) recordOutdatedRead(m readResult, known lovageyard.Position) {
	c.settings.Metrics.Count(meter.OutdatedReads, m.table)
	c.settings.Logger.WithFields(logrus.Fields{
		"table":         m.table,
		"era":           m.changes.Era,
		"version":       m.changes.To,
		"known-era":     known.Era,
		"known-version": known.Version,
	}).Info("a read of the platform is older than the rows in use and was ignored")
}

// isUnreadable reports whether a table currently can't be read.
func (c *Control) isUnreadable(table string) bool {
	_, failing := c.failingSince[table]
	return failing
}

// logInvalidRows counts and logs rows that could not be decoded; each version of a row is logged once.
func (c *Control) logInvalidRows(invalid []catalog.InvalidRow) {
	for _, r := range invalid {
		field := "row"
		var fieldErr *lovageyard.FieldError
		if errors.As(r.Err, &fieldErr) && fieldErr.Field != "" {
			field = fieldErr.Field
		}
		c.settings.Metrics.Count(meter.RowsSkipped, r.Row.Table, field)
		c.settings.Logger.WithFields(logrus.Fields{
			"table":       r.Row.Table,
			"key":         r.Row.Key,
			"row-version": r.Row.Version,
			"field":       field,
			"reason":      r.Err.Error(),
		}).Warn("a row is passed over")
	}
}

// removeStaleRows removes the rows of instances that have not been members for rowRemovalTimeout. Only the
// first live instance, by name, does so, while it can read all tables.
func (c *Control) removeStaleRows(now time.Time) {
	live := c.members.Live()
	if len(live) == 0 || live[0].Name != c.self.Name || len(c.failingSince) > 0 {
		return
	}
	isMember := make(map[string]bool)
	for _, m := range c.members.Members() {
		isMember[m.Name] = true
	}
	for _, r := range c.state.ChangesSince(lovageyard.TableInstances, lovageyard.Position{}).Rows {
		if r.Deleted || isMember[r.Key] {
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
			c.settings.Logger.WithError(err).WithField("instance", r.Key).Warn("failed to remove the row of a silent instance; it will be retried")
			return nil
		}
		c.settings.Logger.WithField("instance", r.Key).Info("removed the row of a silent instance")
		return nil
	})
}
