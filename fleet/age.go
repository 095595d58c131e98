package fleet

import (
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/meter"
)

// The age of a change counts from the moment when the first instance heard of it from the
// platform. It is carried along as a span, so that no two clocks are compared; the time on the
// way between two instances is left out (half a round trip).

// unknownAge is the age of changes that nobody has told the age of, in milliseconds.
const unknownAge = -1

// hasNewRows says whether any of the rows is not known yet.
func (c *Control) hasNewRows(rows []lovageyard.Row) bool {
	for _, r := range rows {
		if !c.state.HasRow(r) {
			return true
		}
	}
	return false
}

// recordChangeAge notes that news of a table came that the first instance heard of some time ago.
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
