package fleet

import (
	"time"

	"lovageyard.example/lovageyard/meter"
)

// Each instance sends its utilisation with its heartbeats, and passes on the last one that it has received from each
// other instance. It is not a part of the view, which is published only when it changes.

// Meter measures the utilisation of this instance; see utilisation.Meter.
type Meter interface {
	// Measure returns the mean utilisation until a monotonic time, and whether it is known.
	Measure(now time.Duration) (utilisation float64, known bool)
}

// unknownUtilisation is the value of the metric while the utilisation is not known.
const unknownUtilisation = -1

// Utilisation returns the last known utilisation of instances as a fraction of their capacity, by name. Instances that
// have reported none are missing. The caller must not change the map. It is safe for concurrent use.
func (c *Control) Utilisation() map[string]float64 {
	return *c.utilisation.Load()
}

// measureUtilisation measures the utilisation of this instance, which the next heartbeat contains.
func (c *Control) measureUtilisation() {
	if c.settings.Utilisation == nil {
		return
	}
	c.self.Utilisation, c.self.UtilisationKnown = c.settings.Utilisation.Measure(c.settings.Timer.Elapsed())
	value := int64(unknownUtilisation)
	if c.self.UtilisationKnown {
		value = int64(1000 * c.self.Utilisation)
	}
	c.settings.Metrics.Update(meter.Utilisation, value)
}

// publishUtilisation publishes the last known utilisation of all members.
func (c *Control) publishUtilisation() {
	known := make(map[string]float64)
	for _, m := range c.members.Observed() {
		if m.UtilisationKnown {
			known[m.Name] = m.Utilisation
		}
	}
	c.utilisation.Store(&known)
}
