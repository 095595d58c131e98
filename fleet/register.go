package fleet

import (
	"context"
	"encoding/json"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/meter"
)

// registerSettleTime is how long after a write this instance's row is not checked, as the change has to arrive
// here: it may pass through a relay, and the table of instances is read at most each 3 s.
const registerSettleTime = 10 * time.Second

// register writes this instance's row, so that new instances find it, unless the platform has it. The row may
// be lost when the platform's store is restored from an older copy, or be removed by a peer to which this
// instance was silent. A row that an earlier incarnation has left is not written again.
func (c *Control) register(now time.Time) {
	row := c.settings.Self
	// The row outlives this incarnation, so it must not contain its number.
	row.Incarnation = 0
	listed, _ := c.state.Instance(row.Name)
	switch {
	case c.state.Cursor(lovageyard.TableInstances).IsZero(), listed == row, c.leaving:
		return
	case !c.registeredAt.IsZero() && now.Sub(c.registeredAt) < registerSettleTime:
		return
	}
	value, err := json.Marshal(row)
	if err != nil {
		c.settings.Logger.WithError(err).Error("failed to encode this instance's row")
		return
	}
	write := lovageyard.Write{Table: lovageyard.TableInstances, Key: row.Name, Value: value}
	era := c.state.Cursor(lovageyard.TableInstances).Era
	c.inbox.Call("register", func(ctx context.Context) message {
		c.settings.Metrics.Count(meter.PlatformWrites)
		// The write is idempotent, so it may be repeated if its outcome is unknown.
		_, err := c.settings.Registrar.Transact(ctx, lovageyard.Transaction{Writes: []lovageyard.Write{write}})
		return registerResult{err: err, era: era}
	})
}

// registerResult is the result of writing this instance's row.
type registerResult struct {
	err error
	// era is that of the table of instances before the write.
	era int64
}

func (m registerResult) Apply(c *Control) {
	if m.err == nil {
		c.registerFailed = false
		if m.era == c.state.Cursor(lovageyard.TableInstances).Era {
			c.registeredAt = c.settings.Timer.Now()
		}
		return
	}
	if !c.registerFailed {
		c.settings.Logger.WithError(m.err).Warn("failed to register this instance; retrying")
	}
	c.registerFailed = true
}
