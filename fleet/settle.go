package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/peer/wire"
)

// An instance that starts does not know whether the platform's store was restored just before, so that the rows
// lack changes that had been acknowledged: a configuration that revokes a key, a drain, a server that is leaving.
// It therefore serves only once the era has settled. It learns that from a row that records when the era was
// noticed, or from a peer, and otherwise waits. Instances that have run before the restore serve on, as they
// know what the copy lacks.

const (
	// settleTime is the time after the beginning of an era within which the operator and the servers write again
	// what the store has lost.
	settleTime = 2 * time.Second
	// eraRowKey is the key of the row that records the current era.
	eraRowKey = "era"
	// eraReadAttempts limits the attempts to read that row; peers and time settle an era as well.
	eraReadAttempts = 3
)

// eraRow is the value of the row that records the current era.
type eraRow struct {
	Era int64 `json:"era"`
	// NoticedAt is the platform's monotonic clock when an instance noticed the era, in milliseconds.
	NoticedAt int64 `json:"noticed-at-ms"`
}

// isSettling reports whether this instance has just started and its rows can't be relied on yet. A store that was
// never restored needs no time.
func (c *Control) isSettling() bool {
	return !c.settled && c.state.Cursor(lovageyard.TableOrders).Era > 0
}

// settle records that the era has settled.
func (c *Control) settle(reason string) {
	if c.settled {
		return
	}
	c.settled = true
	c.dirty = true
	c.settings.Logger.WithField("reason", reason).WithField("era", c.state.Cursor(lovageyard.TableOrders).Era).Info("era settled")
}

// checkSettled settles the era once its time has passed, counted from when all tables had been read if it is not
// known when it was noticed.
func (c *Control) checkSettled(now time.Time) {
	if c.settled || !c.hasAllTables() {
		return
	}
	if c.settleAt.IsZero() {
		c.settleAt = now.Add(settleTime)
	}
	if !now.Before(c.settleAt) {
		c.settle("time has passed")
		c.markEra()
	}
}

// applySettled settles the era if a peer in the same one says that it is.
func (c *Control) applySettled(reply *wire.ShareReply) {
	at := c.state.Cursor(lovageyard.TableOrders)
	if reply.GetSettled() && reply.GetEra() == at.Era && c.hasAllTables() {
		c.settle("a peer knows it")
	}
}

// hasSettledForPeers reports whether peers that start can rely on the rows in this instance's era.
func (c *Control) hasSettledForPeers() bool {
	return !c.isSettling() && c.settings.Timer.Elapsed()-c.restoreNoticedAt >= settleTime
}

// readEra reads when the era was noticed, at the start.
func (c *Control) readEra() {
	for range eraReadAttempts {
		age, err := c.readEraAge(c.inbox.Context())
		if err == nil {
			c.inbox.Post(eraAge(age))
			return
		}
		if errors.Is(err, lovageyard.ErrNotFound) || c.inbox.Context().Err() != nil {
			return
		}
		c.settings.Metrics.Count(meter.PlatformFailures, lovageyard.TableEras, causeOf(err))
		c.sleep(startCheckInterval)
	}
}

// readEraAge returns the time since the store's current era was noticed, or ErrNotFound if that is not recorded.
func (c *Control) readEraAge(ctx context.Context) (time.Duration, error) {
	list, row, _, err := c.readEraRow(ctx)
	if err != nil {
		return 0, err
	}
	if row.Era != list.Era {
		return 0, lovageyard.ErrNotFound
	}
	return list.PlatformTime - time.Duration(row.NoticedAt)*time.Millisecond, nil
}

// readEraRow returns the row that records the era and its version, or zero values if there is none.
func (c *Control) readEraRow(ctx context.Context) (list lovageyard.Changes, row eraRow, version int64, err error) {
	c.settings.Metrics.Count(meter.PlatformReads, lovageyard.TableEras)
	list, err = c.settings.Feed.Rows(ctx, lovageyard.TableEras)
	if err != nil {
		return list, row, 0, err
	}
	for _, r := range list.Rows {
		if r.Key != eraRowKey {
			continue
		}
		if err := json.Unmarshal(r.Value, &row); err != nil {
			c.settings.Logger.WithError(err).WithField("key", r.Key).Warn("a row is passed over")
		}
		version = r.Version
	}
	return list, row, version, nil
}

// eraAge is the time since the current era was noticed, by the platform's clock.
type eraAge time.Duration

func (m eraAge) Apply(c *Control) {
	if time.Duration(m) >= settleTime {
		c.settle("its row says so")
		return
	}
	c.settleAt = c.settings.Timer.Now().Add(settleTime - max(0, time.Duration(m)))
}

// markEra records the store's current era on the platform, if this instance is a relay and no other instance has
// done so.
func (c *Control) markEra() {
	if !c.isRelay.Load() || c.state.Cursor(lovageyard.TableOrders).Era == 0 {
		return
	}
	c.inbox.Call("mark era", func(ctx context.Context) message {
		if err := c.writeEraRow(ctx); err != nil && !isConflict(err) {
			// Instances that start take longer to become ready.
			c.settings.Logger.WithError(err).Warn("failed to record the era of the platform's store")
		}
		return nil
	})
}

func (c *Control) writeEraRow(ctx context.Context) error {
	list, row, version, err := c.readEraRow(ctx)
	if err != nil || row.Era == list.Era {
		return err
	}
	value, err := json.Marshal(eraRow{Era: list.Era, NoticedAt: list.PlatformTime.Milliseconds()})
	if err != nil {
		return errors.Wrap(err, "era")
	}
	c.settings.Metrics.Count(meter.PlatformWrites)
	_, err = c.settings.Registrar.Transact(ctx, lovageyard.Transaction{
		Conditions: []lovageyard.Condition{{Table: lovageyard.TableEras, Key: eraRowKey, Version: version}},
		Writes:     []lovageyard.Write{{Table: lovageyard.TableEras, Key: eraRowKey, Value: value}},
	})
	return err
}
