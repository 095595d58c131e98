package fleet

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/quarantine"
)

// Quarantined requests are also stored on the platform, one row each, and each instance reads the rows once
// when it starts. Otherwise they would be lost if all instances exited at the same time.

// quarantineRetryInterval is the interval between attempts to write or read these rows.
const quarantineRetryInterval = time.Second

// quarantineRow is the value of the row of a quarantined request; its key is the request's fingerprint.
type quarantineRow struct {
	Crashes []crashRow `json:"crashes"`
}

// crashRow is the crash of a server at which the request was in flight; times are in Unix milliseconds.
type crashRow struct {
	Server  string `json:"server"`
	Life    int64  `json:"life,omitzero"`
	EndedAt int64  `json:"ended-at-ms"`
	SentAt  int64  `json:"sent-at-ms"`
}

// storeQuarantineRows writes a row for each request that was newly quarantined by this instance.
func (c *Control) storeQuarantineRows() {
	for _, request := range c.settings.Quarantine.NewlyQuarantined() {
		c.quarantined = append(c.quarantined, request)
		c.inbox.Go(func() { c.storeQuarantineRow(request) })
	}
}

// rewriteQuarantineRows writes the rows of this instance again, after the platform's store was restored from a
// copy that may lack them.
func (c *Control) rewriteQuarantineRows() {
	c.quarantined = slices.DeleteFunc(c.quarantined, func(request uint64) bool {
		return !c.settings.Quarantine.Evaluate(request).Quarantined
	})
	for _, request := range c.quarantined {
		c.inbox.Go(func() { c.storeQuarantineRow(request) })
	}
}

// storeQuarantineRow writes the row of a request; it retries until it succeeds or the request is no
// longer quarantined.
func (c *Control) storeQuarantineRow(request uint64) {
	key := quarantine.Format(request)
	for c.inbox.Context().Err() == nil && c.settings.Quarantine.Evaluate(request).Quarantined {
		row := toQuarantineRow(c.settings.Quarantine.ReportFor(request), c.settings.Timer.Now())
		value, err := json.Marshal(row)
		if err != nil {
			c.settings.Logger.WithError(err).Error("failed to encode the row of a quarantined request")
			return
		}
		c.settings.Metrics.Count(meter.PlatformWrites)
		// The write is idempotent, so it may be repeated if its outcome is unknown.
		_, err = c.settings.Registrar.Transact(c.inbox.Context(), lovageyard.Transaction{
			Writes: []lovageyard.Write{{Table: lovageyard.TableQuarantine, Key: key, Value: value}},
		})
		if err == nil {
			return
		}
		c.settings.Logger.WithError(err).WithField("fingerprint", key).Info("failed to store a quarantined request; retrying")
		c.sleep(quarantineRetryInterval)
	}
}

// readQuarantineRows reads the rows of quarantined requests once; it retries until it succeeds.
func (c *Control) readQuarantineRows() {
	for c.inbox.Context().Err() == nil {
		c.settings.Metrics.Count(meter.PlatformReads, lovageyard.TableQuarantine)
		list, err := c.settings.Feed.Rows(c.inbox.Context(), lovageyard.TableQuarantine)
		if err == nil {
			c.applyQuarantineRows(list.Rows)
			return
		}
		c.settings.Metrics.Count(meter.PlatformFailures, lovageyard.TableQuarantine, causeOf(err))
		c.sleep(quarantineRetryInterval)
	}
}

// applyQuarantineRows applies the rows of quarantined requests, and removes the rows of requests that are
// no longer quarantined.
func (c *Control) applyQuarantineRows(rows []lovageyard.Row) {
	for _, row := range rows {
		request, report, err := fromQuarantineRow(row, c.settings.Timer.Now())
		if err != nil {
			c.settings.Logger.WithError(err).WithField("key", row.Key).Warn("a row is passed over")
			continue
		}
		c.settings.Quarantine.Merge(report)
		if !c.settings.Quarantine.Evaluate(request).Quarantined {
			c.removeQuarantineRow(row)
		}
	}
}

// removeQuarantineRow removes a row unless it has been written again since it was read.
func (c *Control) removeQuarantineRow(row lovageyard.Row) {
	c.settings.Metrics.Count(meter.PlatformWrites)
	_, err := c.settings.Registrar.Transact(c.inbox.Context(), lovageyard.Transaction{
		Conditions: []lovageyard.Condition{{Table: row.Table, Key: row.Key, Version: row.Version}},
		Writes:     []lovageyard.Write{{Table: row.Table, Key: row.Key, Delete: true}},
	})
	if err != nil && !isConflict(err) {
		// The next instance that starts will remove it.
		c.settings.Logger.WithError(err).WithField("key", row.Key).Info("failed to remove the row of a request that is no longer quarantined")
	}
}

// toQuarantineRow returns the row of a request from a report of the crashes at which it was in flight.
func toQuarantineRow(r quarantine.Report, now time.Time) quarantineRow {
	var row quarantineRow
	for _, crash := range r.Crashes {
		for _, l := range crash.Losses {
			row.Crashes = append(row.Crashes, crashRow{
				Server: crash.Server.Name, Life: crash.Server.Incarnation,
				EndedAt: now.Add(-crash.Age).UnixMilli(), SentAt: now.Add(-l.SentAge).UnixMilli(),
			})
		}
	}
	return row
}

// fromQuarantineRow returns the request and the crashes of a row. The wall clock may have stepped back since
// the row was written: a time in the future counts as now.
func fromQuarantineRow(row lovageyard.Row, now time.Time) (uint64, quarantine.Report, error) {
	var report quarantine.Report
	request, err := strconv.ParseUint(row.Key, 16, 64)
	if err != nil {
		return 0, report, errors.Wrap(err, "fingerprint")
	}
	var stored quarantineRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return 0, report, errors.Wrap(err, "crashes")
	}
	for _, crash := range stored.Crashes {
		report.Crashes = append(report.Crashes, quarantine.Crash{
			Server: quarantine.Server{Name: crash.Server, Incarnation: crash.Life},
			Losses: []quarantine.Loss{{Request: request, SentAge: max(0, now.Sub(time.UnixMilli(crash.SentAt)))}},
			Age:    max(0, now.Sub(time.UnixMilli(crash.EndedAt))),
		})
	}
	return request, report, nil
}
