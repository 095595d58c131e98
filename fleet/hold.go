package fleet

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/quarantine"
)

// Which requests are held is kept on the platform as well, one row each, and read once by an instance that
// starts: if all instances end at once, none is left to tell.

// quarantineRetryInterval is the pause between attempts to write or read these rows.
const quarantineRetryInterval = time.Second

// quarantineRow is the row of a request that is held; its key is the request's fingerprint.
type quarantineRow struct {
	Crashes []crashRow `json:"crashes"`
}

// crashRow is the end of a server under the request, in Unix milliseconds.
type crashRow struct {
	Server  string `json:"server"`
	Life    int64  `json:"life,omitzero"`
	EndedAt int64  `json:"ended-at-ms"`
	SentAt  int64  `json:"sent-at-ms"`
}

// storeQuarantineRows writes a row for each request that this instance was the one to hold.
func (c *Control) storeQuarantineRows() {
	for _, request := range c.settings.Quarantine.NewlyQuarantined() {
		c.inbox.Go(func() { c.storeQuarantineRow(request) })
	}
}

// storeQuarantineRow writes the row of a request, until it is done or the request is held no more.
func (c *Control) storeQuarantineRow(request uint64) {
	key := quarantine.Format(request)
	for c.inbox.Context().Err() == nil && c.settings.Quarantine.Evaluate(request).Quarantined {
		row := toQuarantineRow(c.settings.Quarantine.ReportFor(request), c.settings.Timer.Now())
		value, err := json.Marshal(row)
		if err != nil {
			c.settings.Logger.WithError(err).Error("a held request can't be kept")
			return
		}
		c.settings.Metrics.Count(meter.PlatformWrites)
		// A write of which the outcome is not known may be made again.
		_, err = c.settings.Registrar.Transact(c.inbox.Context(), lovageyard.Transaction{
			Writes: []lovageyard.Write{{Table: lovageyard.TableQuarantine, Key: key, Value: value}},
		})
		if err == nil {
			return
		}
		c.settings.Logger.WithError(err).WithField("fingerprint", key).Info("a held request is not kept yet")
		c.sleep(quarantineRetryInterval)
	}
}

// readQuarantineRows reads the requests that are held, once, and removes rows of others.
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

// applyQuarantineRows takes in rows of requests that are held.
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

// removeQuarantineRow removes the row of a request that is held no more, unless it has been written again.
func (c *Control) removeQuarantineRow(row lovageyard.Row) {
	c.settings.Metrics.Count(meter.PlatformWrites)
	_, err := c.settings.Registrar.Transact(c.inbox.Context(), lovageyard.Transaction{
		Conditions: []lovageyard.Condition{{Table: row.Table, Key: row.Key, Version: row.Version}},
		Writes:     []lovageyard.Write{{Table: row.Table, Key: row.Key, Delete: true}},
	})
	if err != nil && !isConflict(err) {
		// The next instance that starts removes it.
		c.settings.Logger.WithError(err).WithField("key", row.Key).Info("an old row of a held request is not removed")
	}
}

// toQuarantineRow returns the row of a request from the crashes under it.
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

// fromQuarantineRow returns a request and the crashes under it that a row tells of. The time of day may have jumped since it was
// written: what seems to lie ahead is taken for new.
func fromQuarantineRow(row lovageyard.Row, now time.Time) (uint64, quarantine.Report, error) {
	var report quarantine.Report
	request, err := strconv.ParseUint(row.Key, 16, 64)
	if err != nil {
		return 0, report, errors.Wrap(err, "fingerprint")
	}
	var held quarantineRow
	if err := json.Unmarshal(row.Value, &held); err != nil {
		return 0, report, errors.Wrap(err, "crashes")
	}
	for _, crash := range held.Crashes {
		report.Crashes = append(report.Crashes, quarantine.Crash{
			Server: quarantine.Server{Name: crash.Server, Incarnation: crash.Life},
			Losses: []quarantine.Loss{{Request: request, SentAge: max(0, now.Sub(time.UnixMilli(crash.SentAt)))}},
			Age:    max(0, now.Sub(time.UnixMilli(crash.EndedAt))),
		})
	}
	return request, report, nil
}
