package fleet

import (
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/meter"
)

// The age of a change is the time since the first instance read it from the platform. Messages carry
// it as a duration, so that clocks of different machines are never compared; the network delay between
// two instances (half a round trip) is not counted.

// unknownAge stands for an unknown age of a change, in milliseconds.
const unknownAge = -1

// hasNewRows reports whether any of the changed rows has not been applied yet.
func (c *Control) hasNewRows(changes lovageyard.Changes) bool {
	for _, r := range changes.Rows {
		if !c.state.HasRow(changes.Era, r) {
			return true
		}
	}
	return false
}

// recordChangeAge records that new changes of a table were received, and their age.
func (c *Control) recordChangeAge(table string, age time.Duration, now time.Time) {
	if at := now.Add(-age); at.After(c.firstReadAt[table]) {
		c.firstReadAt[table] = at
	}
	c.settings.Metrics.Observe(meter.ChangeAge, age.Milliseconds(), table)
}

// changeAge returns the age of the newest change of a table in milliseconds, or unknownAge.
func (c *Control) changeAge(table string, now time.Time) int64 {
	at, found := c.firstReadAt[table]
	if !found {
		return unknownAge
	}
	return now.Sub(at).Milliseconds()
}
