package fleet

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/peer"
	"lovageyard.example/lovageyard/peer/wire"
)

// When the platform's store is restored from an older copy, it begins a new era and assigns versions again.
// Instances notice at different times, by their own reads or from peers; cursors of different eras are never
// compared by version. What this instance wrote to the store may be lost and is written again.

// recordEra handles a change of a table's era; cursor is the table's cursor before the last changes.
func (c *Control) recordEra(table string, cursor lovageyard.Position, now time.Time) {
	at := c.state.Cursor(table)
	if cursor.IsZero() || at.Era == cursor.Era {
		return
	}
	_, configurationLost := c.state.LostConfiguration()
	c.settings.Metrics.Count(meter.PlatformRestores, table)
	c.settings.Logger.WithFields(logrus.Fields{
		"table":              table,
		"era":                at.Era,
		"version":            at.Version,
		"previous-era":       cursor.Era,
		"previous-version":   cursor.Version,
		"configuration-lost": configurationLost,
	}).Warn("platform restored from an older copy")
	c.dirty = true
	// Watches of other tables are still those of the previous era.
	c.watches.cancelAll()
	switch table {
	case lovageyard.TableOrders:
		c.restoreNoticedAt = c.settings.Timer.Elapsed()
		c.freshness.ObserveRestore(c.restoreNoticedAt)
		c.contacts.newest.ObserveRestore(c.restoreNoticedAt)
		c.contacts.reported.ObserveRestore(c.restoreNoticedAt)
		c.markEra()
		c.distrustRelays(at.Era)
		c.rewriteQuarantineRows()
	case lovageyard.TableInstances:
		c.retainLostInstances(now)
		// An instance that starts now divides common limits among the instances that have rows.
		c.registeredAt = time.Time{}
	}
}

// distrustRelays marks relays that are in an earlier era as unhealthy, until they answer in this one.
func (c *Control) distrustRelays(era int64) {
	for _, r := range c.relays {
		if r.era < era {
			r.healthy = false
		}
	}
	c.watchesPlatform.Store(!c.hasHealthyRelay())
}

// retainLostInstances keeps the instances whose rows were lost among those that may be running: they write
// their rows again once they can reach the platform, and until then must keep their share of common limits.
func (c *Control) retainLostInstances(now time.Time) {
	for name := range c.View().Instances {
		if _, listed := c.state.Instance(name); !listed {
			c.lostInstances[name] = now.Add(rowRemovalTimeout)
		}
	}
}

// expireLostInstances forgets the lost instances whose time is over, and reports whether there were any.
func (c *Control) expireLostInstances(now time.Time) bool {
	before := len(c.lostInstances)
	maps.DeleteFunc(c.lostInstances, func(_ string, until time.Time) bool { return !now.Before(until) })
	return len(c.lostInstances) != before
}

// isInEarlierEra reports whether this instance has not noticed yet that a new era has begun, which the sender
// of a request has.
func (c *Control) isInEarlierEra(r *wire.ShareRequest) bool {
	for _, cursor := range r.GetCursors() {
		if c.state.Cursor(cursor.GetTable()).Era < cursor.GetEra() {
			return true
		}
	}
	return false
}

// lacksLostConfiguration reports whether the store has lost the configuration in force and the sender of a
// request for rows has an older one. Peers of older versions don't state theirs.
func (c *Control) lacksLostConfiguration(r *wire.ShareRequest) bool {
	if len(r.GetCursors()) == 0 || r.GetConfiguration() == 0 {
		return false
	}
	_, lost := c.state.LostConfiguration()
	return lost && r.GetConfiguration() < c.state.ConfigurationVersion()
}

// lostConfiguration returns the row of the configuration in force for a peer.
func (c *Control) lostConfiguration() *wire.Row {
	row, _ := c.state.LostConfiguration()
	return peer.EncodeRow(row)
}

// applyLostConfiguration applies a configuration that the store has lost, as a peer has it.
func (c *Control) applyLostConfiguration(sent *wire.Row) {
	row, err := peer.ToRow(lovageyard.TableOrders, sent, nil)
	if err == nil {
		var newer bool
		newer, err = c.state.ApplyLostConfiguration(row)
		c.dirty = c.dirty || newer
	}
	if err != nil {
		c.settings.Logger.WithError(err).Warn("failed to apply a peer's configuration")
	}
}
