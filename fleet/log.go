package fleet

import (
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
)

// logChange logs the differences between two views.
func (c *Control) logChange(before, after *catalog.View) {
	if before.Version() != after.Version() {
		c.settings.Logger.WithFields(logrus.Fields{
			"version":  after.Version(),
			"previous": before.Version(),
			"routes":   len(after.Configuration.Routes),
		}).Info("configuration in force")
	}
	c.logServerChanges(before.Servers, after.Servers)
	if len(before.Drained) != len(after.Drained) {
		c.settings.Logger.WithFields(logrus.Fields{
			"failure-domains": sortedKeys(after.Drained),
			"source":          c.rowSource,
			"age-ms":          c.changeAge(lovageyard.TableOrders, c.settings.Timer.Now()),
		}).Info("drained failure domains changed")
	}
	// Heartbeats from other regions arrive late and irregularly, and look-ups use those regions only if
	// the own one has no live instance. So only the total is logged for them.
	if joined, left := difference(c.inRegion(before.Live), c.inRegion(after.Live)); len(joined)+len(left) > 0 {
		c.settings.Logger.WithFields(logrus.Fields{
			"live":   len(after.Live),
			"region": c.self.Region,
			"joined": joined,
			"left":   left,
		}).Info("live entry instances changed")
	}
	if before.Ready != after.Ready {
		c.settings.Logger.WithField("ready", after.Ready).Info("readiness changed")
	}
}

// difference returns the names that are only in the second list and those that are only in the first;
// both lists must be ordered by name.
func difference(before, after []lovageyard.EntryInstance) (joined, left []string) {
	for len(before)+len(after) > 0 {
		switch {
		case len(before) == 0 || len(after) > 0 && after[0].Name < before[0].Name:
			joined = append(joined, after[0].Name)
			after = after[1:]
		case len(after) == 0 || before[0].Name < after[0].Name:
			left = append(left, before[0].Name)
			before = before[1:]
		default:
			before, after = before[1:], after[1:]
		}
	}
	return joined, left
}

// maxLoggedServers limits the names in one line; a release may replace all servers of a service at once.
const maxLoggedServers = 16

// Logged sources of rows; those that a peer has sent have its name.
const (
	sourcePlatform = "platform"
	// sourceExpiry stands for the end of the grace period of servers whose entries an outage may have removed.
	sourceExpiry = "expiry"
)

// logServerChanges logs the servers that have begun to leave or are no longer listed, and where that was read.
func (c *Control) logServerChanges(before, after []catalog.Server) {
	leaving, unlisted := departures(before, after)
	if len(leaving)+len(unlisted) == 0 {
		return
	}
	fields := logrus.Fields{"source": c.rowSource, "age-ms": c.changeAge(lovageyard.TableServers, c.settings.Timer.Now())}
	if len(leaving) > 0 {
		fields["leaving"] = leaving[:min(len(leaving), maxLoggedServers)]
		fields["leaving-count"] = len(leaving)
	}
	if len(unlisted) > 0 {
		fields["unlisted"] = unlisted[:min(len(unlisted), maxLoggedServers)]
		fields["unlisted-count"] = len(unlisted)
	}
	c.settings.Logger.WithFields(fields).Info("servers no longer used")
}

// departures returns the names of the servers that are live only in the first list, by whether the second one
// still contains them; both lists must be ordered by name.
func departures(before, after []catalog.Server) (leaving, unlisted []string) {
	n := 0
	for _, s := range before {
		for n < len(after) && after[n].Name < s.Name {
			n++
		}
		switch {
		case s.State != lovageyard.StateLive:
		case n == len(after) || after[n].Name != s.Name:
			unlisted = append(unlisted, s.Name)
		case after[n].State != lovageyard.StateLive:
			leaving = append(leaving, s.Name)
		}
	}
	return leaving, unlisted
}
