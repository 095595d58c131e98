package fleet

import (
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/freshness"
	"lovageyard.example/lovageyard/peer/wire"
)

// While there are client accounts, a configuration is used only if it was recently confirmed to be the
// newest, as a key may be revoked at any time. Relays poll the platform, and other instances wait at
// the relays for each confirmation, which carries its age. An instance that is not a relay follows two
// relays and also exchanges confirmations with random peers each second.

// confirmWaitPercent is how long a watch waits while the configuration has to be confirmed, in percent of
// MaxConfirmationAge. A confirmation is older at a follower than at its relay, by up to the interval
// between two answers, and one answer of the platform and one of the relay may be lost.
const confirmWaitPercent = 20

// confirmations holds the confirmations that were received and not applied yet.
type confirmations struct {
	// readCount is the number of successful reads of orders and servers since the start.
	readCount   int
	reads       []freshness.Read
	peerReports []freshness.PeerReport
	// contactReads and contactReports are the same for the contact with the platform.
	contactReads   []freshness.Read
	contactReports []freshness.PeerReport
}

// ConfirmationAge returns the time since the configuration in force was last confirmed to be the newest,
// or freshness.Unknown. It is safe for concurrent use.
func (c *Control) ConfirmationAge() time.Duration {
	return c.freshness.Age(c.settings.Timer.Elapsed())
}

// needsConfirmation reports whether the configuration has to be confirmed regularly.
func (c *Control) needsConfirmation() bool {
	return c.settings.MaxConfirmationAge > 0 && !c.View().Accounts.IsEmpty()
}

// staleFraction is the fraction of MaxConfirmationAge above which look-ups prefer other instances, so that
// callers have switched to them before requests are refused.
const staleFraction = 0.6

// hasStaleConfiguration reports whether the configuration has to be confirmed and its last confirmation is
// older than staleFraction allows.
func (c *Control) hasStaleConfiguration() bool {
	return c.needsConfirmation() && float64(c.ConfirmationAge()) > staleFraction*float64(c.settings.MaxConfirmationAge)
}

// recordRead records a successful read whose rows have been applied; only reads of orders confirm the
// configuration.
func (c *Control) recordRead(m readResult) {
	if m.table == lovageyard.TableInstances {
		return
	}
	c.confirmations.readCount++
	if m.table != lovageyard.TableOrders || c.isSettling() {
		// While the era settles, the store may have lost a newer configuration.
		return
	}
	c.confirmations.reads = append(c.confirmations.reads, m.asRead())
}

// asRead returns the times of a successful read.
func (m readResult) asRead() freshness.Read {
	return freshness.Read{StartedAt: m.startedAt, FinishedAt: m.finishedAt, PlatformTime: m.changes.PlatformTime}
}

// recordConfirmation records a peer's confirmation, if all changes that the peer had have been applied here.
func (c *Control) recordConfirmation(confirmation *wire.Confirmation, requestedAt time.Duration) {
	cursor := c.state.Cursor(lovageyard.TableOrders)
	switch {
	case confirmation == nil:
		return
	case cursor.Era != confirmation.GetEra() || cursor.Version < confirmation.GetVersion():
		return
	case c.state.ConfigurationVersion() < confirmation.GetConfiguration():
		return
	}
	c.confirmations.peerReports = append(c.confirmations.peerReports, freshness.PeerReport{
		RequestedAt: requestedAt,
		ReplyDelay:  time.Duration(confirmation.GetHeldMs()) * time.Millisecond,
		Age:         time.Duration(confirmation.GetAgeMs()) * time.Millisecond,
	})
}

// applyConfirmations applies the recorded confirmations and contacts, and reports whether this instance has read the
// platform. It is called once the view with their rows has been published.
func (c *Control) applyConfirmations() bool {
	pending := c.confirmations
	c.confirmations = confirmations{readCount: pending.readCount}
	for _, report := range pending.peerReports {
		c.freshness.ObservePeer(report)
	}
	for _, r := range pending.reads {
		c.freshness.ObserveRead(r)
	}
	for _, report := range pending.contactReports {
		c.contacts.newest.ObservePeer(report)
		c.contacts.reported.ObservePeer(report)
	}
	for _, r := range pending.contactReads {
		c.contacts.newest.ObserveRead(r)
	}
	return len(pending.reads)+len(pending.contactReads) > 0
}

// confirmation returns the confirmation to send in reply to a call that was received at receivedAt, or nil if
// the configuration was never confirmed. Durations are rounded such that the peer never underestimates the age.
func (c *Control) confirmation(receivedAt time.Duration) *wire.Confirmation {
	now := c.settings.Timer.Elapsed()
	age := c.freshness.Age(now)
	if age == freshness.Unknown {
		return nil
	}
	last := c.state.LastChange(lovageyard.TableOrders)
	return &wire.Confirmation{
		Era:           last.Era,
		Version:       last.Version,
		Configuration: c.state.ConfigurationVersion(),
		AgeMs:         ceilMillis(age),
		HeldMs:        (now - receivedAt).Milliseconds(),
	}
}
