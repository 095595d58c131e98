package control

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/block"
	"lovageyard.example/lovageyard/class"
	"lovageyard.example/lovageyard/configuration"
	"lovageyard.example/lovageyard/peer"
)

// readPlatform starts the reads of the platform that are due. Relays read on behalf of their
// failure domain; other instances read only if no relay has replied for relayTimeout.
func (c *Control) readPlatform(now time.Time) {
	if !c.isRelay() && now.Sub(c.relayReplyAt) < relayTimeout {
		return
	}
	if c.isDue("poll", pollPeriod, now) {
		c.poll()
	}
	if c.isDue("list", listPeriod, now) {
		c.list()
	}
	if c.isDue("blocks", blocksPeriod, now) {
		c.readBlocks()
	}
}

// Poll reads the platform's changes immediately, for example after an operator's write.
func (c *Control) Poll() {
	c.inbox.Post(pollMessage{})
}

type pollMessage struct{}

func (pollMessage) Apply(c *Control) {
	c.poll()
}

func (c *Control) poll() {
	after := c.config.Position()
	c.inbox.Call("poll", func(ctx context.Context) message {
		changes, err := c.settings.Table.Changes(ctx, configuration.Tables(), after)
		return pollResult{changes: changes, err: err}
	})
}

type pollResult struct {
	changes lovageyard.Changes
	err     error
}

func (m pollResult) Apply(c *Control) {
	c.counter("platform.reads").Inc(1)
	if m.err != nil {
		c.settings.Logger.WithError(m.err).Debug("the platform's changes could not be read")
		return
	}
	c.applyChanges(m.changes)
	c.notifyEra()
}

// notifyEra reports the era of the configuration, which was just compared with the platform's or a relay's.
func (c *Control) notifyEra() {
	if c.settings.Eras != nil {
		c.settings.Eras.ObserveEra(c.config.Position().Era)
	}
}

// applyChanges applies configuration changes from the platform or a peer.
func (c *Control) applyChanges(changes lovageyard.Changes) {
	era := c.config.Position().Era
	advanced, err := c.config.Apply(changes)
	if err != nil {
		c.settings.Logger.WithError(err).Debug("configuration changes rejected")
		return
	}
	if !advanced {
		return
	}
	if era != c.config.Position().Era {
		c.settings.Logger.WithFields(logrus.Fields{"era": changes.Era, "version": changes.To}).Warn("platform restored from an older copy")
	}
	if len(changes.Rows) > 0 {
		c.index = class.NewIndex(c.config.Classes())
		c.updateClasses()
		c.settings.Logger.WithField("config-version", c.config.Version()).Info("configuration in force")
	}
	c.dirty = true
}

func (c *Control) list() {
	c.inbox.Call("list", func(ctx context.Context) message {
		listing, err := c.settings.Instances.Listing(ctx)
		return listResult{listing: listing, err: err}
	})
}

type listResult struct {
	listing lovageyard.Listing
	err     error
}

func (m listResult) Apply(c *Control) {
	c.counter("platform.reads").Inc(1)
	if m.err != nil {
		c.settings.Logger.WithError(m.err).Debug("reading the platform's instance list failed")
		return
	}
	c.setListing(m.listing, c.settings.Timer.Now())
}

func (c *Control) readBlocks() {
	known := c.blocksVersion
	c.inbox.Call("blocks", func(ctx context.Context) message {
		object, err := c.settings.Objects.Get(ctx, block.ObjectName)
		if errors.Is(err, lovageyard.ErrNotFound) || err == nil && object.Version == known {
			return nil
		}
		if err != nil {
			return blocksResult{err: err}
		}
		table, err := block.Decode(object.Body)
		return blocksResult{table: table, compressed: peer.Compress(object.Body), version: object.Version, err: err}
	})
}

// blocksResult is a block table read from the platform or received from a peer.
type blocksResult struct {
	table      *block.Table
	compressed []byte
	version    int64
	err        error
}

func (m blocksResult) Apply(c *Control) {
	if m.err != nil {
		c.settings.Logger.WithError(m.err).Debug("reading the block table failed")
		return
	}
	if m.version <= c.blocksVersion {
		return
	}
	c.blocks = m.table
	c.compressedBlocks = m.compressed
	c.blocksVersion = m.version
	c.dirty = true
	c.settings.Logger.WithField("blocks", m.table.Len()).Info("block table updated")
}

// receiveBlocks decodes and applies a block table from a peer.
func (c *Control) receiveBlocks(compressed []byte, version int64) {
	c.inbox.Call("decode blocks", func(context.Context) message {
		body, err := peer.Decompress(compressed)
		if err != nil {
			return blocksResult{err: err}
		}
		table, err := block.Decode(body)
		return blocksResult{table: table, compressed: compressed, version: version, err: err}
	})
}
