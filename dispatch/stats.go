package dispatch

import "time"

// Stats are the counts that a Table exports as metrics.
type Stats struct {
	Servers  int
	Suspects int
	InFlight int
	// Limited counts the servers that have set a rate limit.
	Limited int
	// Leaving counts the servers that have announced in a response that they are shutting down.
	Leaving int
	// BackingOff counts the servers that have requested a backoff which has not ended.
	BackingOff int
	// RemoteShares is the share of the region's requests that runs in other regions, by service.
	RemoteShares map[string]float64
	// Overloaded tells which services are overloaded, by service.
	Overloaded map[string]bool
	// SecondHomeShares is the share of the objects that have a second home, by service. Services whose
	// servers are not on shared machines are left out.
	SecondHomeShares map[string]float64
	// Slow counts the servers whose machine is slowed down by other workloads.
	Slow int
}

// Stats returns the counts at a time. It is safe for concurrent use.
func (t *Table) Stats(now time.Time) Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Stats{
		RemoteShares:     make(map[string]float64),
		Overloaded:       make(map[string]bool),
		SecondHomeShares: make(map[string]float64),
	}
	for name, s := range t.services {
		c.Overloaded[name] = s.overload.active
		if s.spillover != nil {
			c.RemoteShares[name] = s.spillover.share
		}
		if s.sharesMachines {
			c.SecondHomeShares[name] = s.objects.secondShare
		}
	}
	for _, b := range t.servers {
		c.Servers++
		c.InFlight += b.inFlight
		if b.pace.at(now) >= slowPace {
			c.Slow++
		}
		if b.isSuspect(now) {
			c.Suspects++
		}
		if _, limited := b.record.Limit(); limited {
			c.Limited++
		}
		if b.record.Leaving() {
			c.Leaving++
		} else if b.record.Rejects(now) {
			c.BackingOff++
		}
	}
	return c
}
