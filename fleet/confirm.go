package fleet

import (
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/freshness"
	"lovageyard.example/lovageyard/peer/wire"
)

// While there are client accounts, requests are served by a configuration only as long as it is known to be
// the newest: a key may be taken away at any moment. Relays ask the platform again and again, and their
// followers wait at them for word of each answer, with its age; a follower has two relays, and hears from
// random peers each second.

// confirmWaitPercent is how long a call for changes waits while the configuration has to be confirmed, in
// hundredths of the age that its knowledge should stay well below: what a follower knows is older than at
// its relay, by up to the time between two answers, and one answer of each may be lost.
const confirmWaitPercent = 20

// confirmations are what was learnt of the age of the rows that this instance knows.
type confirmations struct {
	// readCount counts the answers of the platform.
	readCount   int
	reads       []freshness.Read
	peerReports []freshness.PeerReport
}

// ConfirmationAge returns how long ago the configuration in force was known to be the newest.
func (c *Control) ConfirmationAge() time.Duration {
	return c.freshness.Age(c.settings.Timer.Elapsed())
}

// needsConfirmation says whether the age of the configuration matters.
func (c *Control) needsConfirmation() bool {
	return c.settings.MaxConfirmationAge > 0 && !c.View().Accounts.IsEmpty()
}

// behindFraction is the part of the bound on the age of knowledge from which on look-ups name other instances, so
// that callers have left before requests are refused.
const behindFraction = 0.6

// isBehind says whether this instance may not know the newest configuration.
func (c *Control) isBehind() bool {
	return c.needsConfirmation() && float64(c.ConfirmationAge()) > behindFraction*float64(c.settings.MaxConfirmationAge)
}

// recordRead notes an answer of the platform, of which the rows were taken in.
func (c *Control) recordRead(m readResult) {
	if m.table != lovageyard.TableOrders {
		return
	}
	c.confirmations.readCount++
	c.confirmations.reads = append(c.confirmations.reads, freshness.Read{
		StartedAt: m.beganAt, FinishedAt: m.endedAt, PlatformTime: m.changes.PlatformTime,
	})
}

// recordConfirmation notes what a peer has told of its knowledge, if all that it knew was taken in.
func (c *Control) recordConfirmation(w *wire.Confirmation, askedAt time.Duration) {
	if w == nil || c.state.Cursor(lovageyard.TableOrders) < w.GetVersion() {
		return
	}
	c.confirmations.peerReports = append(c.confirmations.peerReports, freshness.PeerReport{
		RequestedAt: askedAt,
		ReplyDelay:  time.Duration(w.GetHeldMs()) * time.Millisecond,
		Age:         time.Duration(w.GetAgeMs()) * time.Millisecond,
	})
}

// applyConfirmations takes in what was noted, now that the rows are in force, and tells those who wait for it.
func (c *Control) applyConfirmations() {
	pending := c.confirmations
	c.confirmations.reads, c.confirmations.peerReports = nil, nil
	for _, w := range pending.peerReports {
		c.freshness.ObservePeer(w)
	}
	for _, r := range pending.reads {
		c.freshness.ObserveRead(r)
	}
	if len(pending.reads) > 0 {
		c.answerWaiters(c.settings.Timer.Now())
	}
}

// confirmation returns what a peer is told of the knowledge here, or nil if it was never confirmed; the peer's
// call came at a moment. Spans are rounded so that the peer takes the knowledge for older.
func (c *Control) confirmation(arrivedAt time.Duration) *wire.Confirmation {
	now := c.settings.Timer.Elapsed()
	age := c.freshness.Age(now)
	if age == freshness.Unknown {
		return nil
	}
	return &wire.Confirmation{
		Version: c.state.LastChange(lovageyard.TableOrders),
		AgeMs:   (age + time.Millisecond - 1).Milliseconds(),
		HeldMs:  (now - arrivedAt).Milliseconds(),
	}
}
