package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/block"
	"lovageyard.example/lovageyard/class"
	"lovageyard.example/lovageyard/configuration"
	"lovageyard.example/lovageyard/peer"
)

// readPlatform begins the reads of the platform that are due. Relays read for their
// failure domain; another instance reads only when no relay has spoken for a while.
func (c *Control) readPlatform(now time.Time) {
	if !c.isRelay() && now.Sub(c.heardAt) < staleAfter {
		return
	}
	if c.every("poll", pollEvery, now) {
		c.poll()
	}
	if c.every("list", listEvery, now) {
		c.list()
	}
	if c.every("blocks", blocksEvery, now) {
		c.readBlocks()
	}
}

// Poll reads the platform's changes at once, as after a write of an operator.
func (c *Control) Poll() {
	c.inbox.Post(pollAsked{})
}

type pollAsked struct{}

func (pollAsked) Apply(c *Control) {
	c.poll()
}

func (c *Control) poll() {
	after := c.config.Version()
	c.inbox.Call("poll", func(ctx context.Context) message {
		changes, err := c.settings.Table.Changes(ctx, configuration.Tables(), after)
		return polled{changes: changes, err: err}
	})
}

type polled struct {
	changes lovageyard.Changes
	err     error
}

func (m polled) Apply(c *Control) {
	c.counter("platform.reads").Inc(1)
	if m.err != nil {
		c.settings.Logger.WithError(m.err).Debug("the platform's changes could not be read")
		return
	}
	c.applyChanges(m.changes)
}

// applyChanges takes in changes of the configuration from the platform or a peer.
func (c *Control) applyChanges(changes lovageyard.Changes) {
	advanced, err := c.config.Apply(changes)
	if err != nil {
		c.settings.Logger.WithError(err).Debug("changes refused")
		return
	}
	if !advanced {
		return
	}
	if len(changes.Rows) > 0 {
		c.index = class.NewIndex(c.config.Classes())
		c.setWorks()
		c.settings.Logger.WithField("config-version", c.config.Version()).Info("configuration in force")
	}
	c.dirty = true
}

func (c *Control) list() {
	c.inbox.Call("list", func(ctx context.Context) message {
		listing, err := c.settings.Instances.Listing(ctx)
		return listed{listing: listing, err: err}
	})
}

type listed struct {
	listing lovageyard.Listing
	err     error
}

func (m listed) Apply(c *Control) {
	c.counter("platform.reads").Inc(1)
	if m.err != nil {
		c.settings.Logger.WithError(m.err).Debug("the platform's list could not be read")
		return
	}
	c.setListing(m.listing, c.settings.Timer.Now())
}

func (c *Control) readBlocks() {
	known := c.blocksVer
	c.inbox.Call("blocks", func(ctx context.Context) message {
		object, err := c.settings.Objects.Get(ctx, block.ObjectName)
		if errors.Is(err, lovageyard.ErrNotFound) || err == nil && object.Version == known {
			return nil
		}
		if err != nil {
			return blocksRead{err: err}
		}
		table, err := block.Decode(object.Body)
		return blocksRead{table: table, zipped: peer.Compress(object.Body), version: object.Version, err: err}
	})
}

// blocksRead is a table of blocks that the platform or a peer has given.
type blocksRead struct {
	table   *block.Table
	zipped  []byte
	version int64
	err     error
}

func (m blocksRead) Apply(c *Control) {
	if m.err != nil {
		c.settings.Logger.WithError(m.err).Debug("the table of blocks could not be read")
		return
	}
	if m.version <= c.blocksVer {
		return
	}
	c.blocks = m.table
	c.blocksZip = m.zipped
	c.blocksVer = m.version
	c.dirty = true
	c.settings.Logger.WithField("blocks", m.table.Len()).Info("table of blocks in force")
}

// hearBlocks takes in the table of blocks that a peer passes on.
func (c *Control) hearBlocks(zipped []byte, version int64) {
	c.inbox.Call("decode blocks", func(context.Context) message {
		body, err := peer.Decompress(zipped)
		if err != nil {
			return blocksRead{err: err}
		}
		table, err := block.Decode(body)
		return blocksRead{table: table, zipped: zipped, version: version, err: err}
	})
}
