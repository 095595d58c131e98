package freshness_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovageyard.example/lovageyard/freshness"
)

const second = time.Second

func TestAgeIsUnknownUntilConfirmed(t *testing.T) {
	c := qt.New(t)
	var tracker freshness.Tracker
	c.Assert(tracker.Age(100*second), qt.Equals, freshness.Unknown)
	tracker.ObservePeer(freshness.PeerReport{RequestedAt: 50 * second, Age: freshness.Unknown})
	c.Assert(tracker.Age(100*second), qt.Equals, freshness.Unknown)
}

// Changes made after a call started may be missing in its answer.
func TestAgeCountsFromStartOfCall(t *testing.T) {
	c := qt.New(t)
	var tracker freshness.Tracker
	tracker.ObserveRead(freshness.Read{StartedAt: 10 * second, FinishedAt: 13 * second})
	c.Assert(tracker.Age(14*second), qt.Equals, 4*second)
}

// The platform's clock shows when a long poll was answered.
func TestLongPollCountsFromItsAnswer(t *testing.T) {
	c := qt.New(t)
	var tracker freshness.Tracker
	tracker.ObserveRead(freshness.Read{StartedAt: 10 * second, FinishedAt: 10 * second, PlatformTime: 500 * second})
	tracker.ObserveRead(freshness.Read{StartedAt: 11 * second, FinishedAt: 13 * second, PlatformTime: 503 * second})
	c.Assert(tracker.Age(14*second), qt.Equals, second)
	// A platform clock that jumps ahead or restarts is not trusted.
	tracker.ObserveRead(freshness.Read{StartedAt: 14 * second, FinishedAt: 15 * second, PlatformTime: 900 * second})
	c.Assert(tracker.Age(15*second), qt.Equals, second)
	tracker.ObserveRead(freshness.Read{StartedAt: 16 * second, FinishedAt: 17 * second, PlatformTime: 3 * second})
	c.Assert(tracker.Age(17*second), qt.Equals, second)
}

func TestPeerReportCountsFromPeerConfirmation(t *testing.T) {
	c := qt.New(t)
	var tracker freshness.Tracker
	tracker.ObservePeer(freshness.PeerReport{RequestedAt: 10 * second, ReplyDelay: 2 * second, Age: 1 * second})
	c.Assert(tracker.Age(12*second), qt.Equals, second)
	// A report that yields an earlier confirmation changes nothing.
	tracker.ObservePeer(freshness.PeerReport{RequestedAt: 10 * second, ReplyDelay: 0, Age: 1 * second})
	c.Assert(tracker.Age(20*second), qt.Equals, 9*second)
}

// However calls are delayed and overtake each other, the age is never below the true one, which is the time
// since the earliest change that the instance may lack.
func TestAgeIsNeverUnderestimated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var relay, follower freshness.Tracker
		delay := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(5*second)).Draw(t, "span"))
		})
		// The three clocks have different offsets and run at the same rate; now is a reading of the relay's
		// clock.
		now := time.Hour
		const platformAhead, followerAhead = 7 * time.Hour, 3 * time.Hour
		var relayTruth, followerTruth time.Duration
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "relay reads") {
				startedAt := now
				answeredAt := startedAt + delay.Draw(t, "waited")
				now = answeredAt + delay.Draw(t, "answer on its way")
				relay.ObserveRead(freshness.Read{StartedAt: startedAt, FinishedAt: now, PlatformTime: answeredAt + platformAhead})
				relayTruth = max(relayTruth, answeredAt)
				continue
			}
			requestedAt := now
			receivedAt := requestedAt + delay.Draw(t, "request on its way")
			answeredAt := receivedAt + delay.Draw(t, "held")
			report := freshness.PeerReport{RequestedAt: requestedAt + followerAhead, ReplyDelay: answeredAt - receivedAt, Age: relay.Age(answeredAt)}
			now = answeredAt + delay.Draw(t, "reply on its way")
			follower.ObservePeer(report)
			followerTruth = max(followerTruth, relayTruth)
			if age := follower.Age(now + followerAhead); age != freshness.Unknown && age < now-followerTruth {
				t.Fatalf("age %v is below the true age %v", age, now-followerTruth)
			}
			if age := relay.Age(now); age != freshness.Unknown && age < now-relayTruth {
				t.Fatalf("age %v at the relay is below the true age %v", age, now-relayTruth)
			}
		}
	})
}

// A store that was restored from an older copy may lack a configuration that it had acknowledged, until the
// operator has written it again.
func TestReadsSoonAfterARestoreConfirmNothing(t *testing.T) {
	c := qt.New(t)
	var tracker freshness.Tracker
	tracker.ObserveRead(freshness.Read{StartedAt: 10 * second, FinishedAt: 10 * second, PlatformTime: 500 * second})
	tracker.ObserveRestore(12 * second)
	tracker.ObserveRead(freshness.Read{StartedAt: 13 * second, FinishedAt: 13 * second, PlatformTime: 100 * second})
	tracker.ObservePeer(freshness.PeerReport{RequestedAt: 13 * second})
	c.Assert(tracker.Age(14*second), qt.Equals, 4*second)
	tracker.ObserveRead(freshness.Read{StartedAt: 14 * second, FinishedAt: 15 * second, PlatformTime: 101 * second})
	c.Assert(tracker.Age(15*second), qt.Equals, second)
}

// The platform's clock may be another one after a restore.
func TestPlatformClockOfBeforeARestoreIsNotUsed(t *testing.T) {
	c := qt.New(t)
	var tracker freshness.Tracker
	tracker.ObserveRead(freshness.Read{StartedAt: 10 * second, FinishedAt: 10 * second, PlatformTime: 500 * second})
	tracker.ObserveRestore(12 * second)
	tracker.ObserveRead(freshness.Read{StartedAt: 20 * second, FinishedAt: 23 * second, PlatformTime: 513 * second})
	c.Assert(tracker.Age(23*second), qt.Equals, 3*second)
}
