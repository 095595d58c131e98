package fleet

import (
	"time"

	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/freshness"
	"lovageyard.example/lovageyard/peer/wire"
)

// A watch that waits says nothing about the platform, and a call that waits at a relay says nothing about the
// relay: either may have become unreachable. So each instance knows how old its contact with the platform is, that
// is, the time since all changes were known to have been read. Relays read a table each half contact period at the
// latest, and report the age to their followers, which read the platform themselves once it exceeds the limit. All
// times follow from the time within which operators need changes to be in force.

const (
	// defaultChangeWithin replaces a ChangeWithin setting of 0.
	defaultChangeWithin = 2 * time.Second
	// contactPeriodShare is the longest time between two reads of a table by a relay, as a share of ChangeWithin.
	// The tables are read in turn, so that the platform answers twice in each period.
	contactPeriodShare = 0.7
	// maxContactAgeShare is the age of the contact from which an instance does not rely on its relays, as a share of
	// ChangeWithin. The rest is left for a read of the platform and for requests under way.
	maxContactAgeShare = 0.65
	// minWatchWait is the shortest wait of a watch that is to end at a given time.
	minWatchWait = 100 * time.Millisecond
)

// contacts holds the ages of the contact with the platform.
type contacts struct {
	// newest is the latest contact of this instance or of one that reported it, and reported the latest one that was
	// reported.
	newest   freshness.Tracker
	reported freshness.Tracker
	// relied is set while the relays' contact is recent enough to rely on; it belongs to the loop's goroutine.
	relied bool
}

// changeWithin returns the time within which changes have to be in force.
func (c *Control) changeWithin() time.Duration {
	if c.settings.ChangeWithin > 0 {
		return c.settings.ChangeWithin
	}
	return defaultChangeWithin
}

func (c *Control) contactPeriod() time.Duration {
	return time.Duration(contactPeriodShare * float64(c.changeWithin()))
}

func (c *Control) maxContactAge() time.Duration {
	return time.Duration(maxContactAgeShare * float64(c.changeWithin()))
}

// ContactAge returns an upper bound of the time since all changes on the platform were known to have been read, by
// this instance or by one that it follows, or freshness.Unknown. It is safe for concurrent use.
func (c *Control) ContactAge() time.Duration {
	return c.contacts.newest.Age(c.settings.Timer.Elapsed())
}

// lacksReports reports whether the last contact that peers have reported is too old to rely on them. It is safe
// for concurrent use.
func (c *Control) lacksReports() bool {
	return c.contacts.reported.Age(c.settings.Timer.Elapsed()) > c.maxContactAge()
}

// IsListed reports whether the other instances still count this one among those that share limits, which they do for
// rowRemovalTimeout after they last heard from it. Without contact with the platform for half of that time, this
// instance must assume that they will not for much longer: limits with windows of up to the other half hold then,
// whatever the others spend later. It is safe for concurrent use.
func (c *Control) IsListed() bool {
	return c.ContactAge() <= rowRemovalTimeout/2
}

// untilContact returns how long a watch of a table may wait, so that the tables are read in turn.
func (c *Control) untilContact(table string) time.Duration {
	period := c.contactPeriod()
	running := c.settings.Timer.Now().Sub(c.startedAt)
	if table == lovageyard.TableServers {
		running += period / 2
	}
	wait := period - running%period
	if wait < minWatchWait {
		wait += period
	}
	return wait
}

// recordContact records a successful read whose rows have been applied. It says something of the other table only while
// that one is watched as well: otherwise changes of it may be missing.
func (c *Control) recordContact(m readResult) {
	if m.table == lovageyard.TableInstances || c.isPlatformUnavailable() {
		return
	}
	if c.unwatched[lovageyard.TableOrders].Load() || c.unwatched[lovageyard.TableServers].Load() {
		return
	}
	c.confirmations.contactReads = append(c.confirmations.contactReads, m.asRead())
}

// recordReport records a peer's contact, if all changes that the peer had have been applied here.
func (c *Control) recordReport(contact *wire.Contact, requestedAt time.Duration) {
	if contact == nil {
		return
	}
	for _, applied := range contact.GetApplied() {
		cursor := c.state.Cursor(applied.GetTable())
		if cursor.Era != applied.GetEra() || cursor.Version < applied.GetVersion() {
			return
		}
	}
	c.confirmations.contactReports = append(c.confirmations.contactReports, freshness.PeerReport{
		RequestedAt: requestedAt,
		ReplyDelay:  time.Duration(contact.GetHeldMs()) * time.Millisecond,
		Age:         time.Duration(contact.GetAgeMs()) * time.Millisecond,
	})
}

// contact returns the contact to report in reply to a call that was received at receivedAt, or nil if there was none.
func (c *Control) contact(receivedAt time.Duration) *wire.Contact {
	now := c.settings.Timer.Elapsed()
	age := c.contacts.newest.Age(now)
	if age == freshness.Unknown {
		return nil
	}
	report := &wire.Contact{AgeMs: ceilMillis(age), HeldMs: (now - receivedAt).Milliseconds()}
	for _, table := range []string{lovageyard.TableOrders, lovageyard.TableServers} {
		last := c.state.LastChange(table)
		report.Applied = append(report.Applied, &wire.Cursor{Table: table, Era: last.Era, Version: last.Version})
	}
	return report
}

// ceilMillis returns a duration in milliseconds, rounded up.
func ceilMillis(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

// checkContact logs when this instance begins or ends to rely on its relays.
func (c *Control) checkContact() {
	relies := len(c.relays) > 0 && c.hasHealthyRelay() && !c.lacksReports()
	if relies == c.contacts.relied {
		return
	}
	c.contacts.relied = relies
	fields := logrus.Fields{"relays": len(c.relays)}
	if age := c.contacts.reported.Age(c.settings.Timer.Elapsed()); age != freshness.Unknown {
		fields["contact-age-ms"] = age.Milliseconds()
	}
	line := c.settings.Logger.WithFields(fields)
	if relies {
		line.Info("relying on relays")
		return
	}
	line.Info("watching the platform")
}
