package dispatch

import "time"

// Stats counts what the table holds, for metrics.
type Stats struct {
	Servers  int
	Suspects int
	InFlight int
	// Limited counts the servers that name a limit to what they take.
	Limited int
	// Leaving counts those that have said in answers that they leave.
	Leaving int
	// BackingOff counts those that want nothing from this instance for now.
	BackingOff int
	// Elsewhere is, for each service, the share of the region's requests that runs in other regions.
	RemoteShares map[string]float64
}

// Stats returns the counts at a time.
func (t *Table) Stats(now time.Time) Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Stats{RemoteShares: make(map[string]float64)}
	for name, s := range t.services {
		if s.spill != nil {
			c.RemoteShares[name] = s.spill.share
		}
	}
	for _, one := range t.servers {
		c.Servers++
		c.InFlight += one.inFlight
		if one.isSuspect(now) {
			c.Suspects++
		}
		if _, limited := one.record.Limit(); limited {
			c.Limited++
		}
		if one.record.Leaving() {
			c.Leaving++
		} else if one.record.Rejects(now) {
			c.BackingOff++
		}
	}
	return c
}
