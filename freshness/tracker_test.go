package freshness_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lovageyard.example/lovageyard/freshness"
)

const second = time.Second

func TestNothingIsKnownUntilItIsConfirmed(t *testing.T) {
	c := qt.New(t)
	var tracker freshness.Tracker
	c.Assert(tracker.Age(100*second), qt.Equals, freshness.Unknown)
	tracker.ObservePeer(freshness.PeerReport{RequestedAt: 50 * second, Age: freshness.Unknown})
	c.Assert(tracker.Age(100*second), qt.Equals, freshness.Unknown)
}

// What changed after a call was made may be missing in its answer.
func TestAgeCountsFromTheBeginningOfACall(t *testing.T) {
	c := qt.New(t)
	var tracker freshness.Tracker
	tracker.ObserveRead(freshness.Read{StartedAt: 10 * second, FinishedAt: 13 * second})
	c.Assert(tracker.Age(14*second), qt.Equals, 4*second)
}

// The platform's own clock tells when a call that waited was answered.
func TestCallThatWaitedCountsFromItsAnswer(t *testing.T) {
	c := qt.New(t)
	var tracker freshness.Tracker
	tracker.ObserveRead(freshness.Read{StartedAt: 10 * second, FinishedAt: 10 * second, PlatformTime: 500 * second})
	tracker.ObserveRead(freshness.Read{StartedAt: 11 * second, FinishedAt: 13 * second, PlatformTime: 503 * second})
	c.Assert(tracker.Age(14*second), qt.Equals, second)
	// A clock that has jumped ahead is not believed, nor one that began anew.
	tracker.ObserveRead(freshness.Read{StartedAt: 14 * second, FinishedAt: 15 * second, PlatformTime: 900 * second})
	c.Assert(tracker.Age(15*second), qt.Equals, second)
	tracker.ObserveRead(freshness.Read{StartedAt: 16 * second, FinishedAt: 17 * second, PlatformTime: 3 * second})
	c.Assert(tracker.Age(17*second), qt.Equals, second)
}

func TestWordOfAPeerCountsFromItsKnowledge(t *testing.T) {
	c := qt.New(t)
	var tracker freshness.Tracker
	tracker.ObservePeer(freshness.PeerReport{RequestedAt: 10 * second, ReplyDelay: 2 * second, Age: 1 * second})
	c.Assert(tracker.Age(12*second), qt.Equals, second)
	// Word that was long on its way does not make the knowledge older, nor newer.
	tracker.ObservePeer(freshness.PeerReport{RequestedAt: 10 * second, ReplyDelay: 0, Age: 1 * second})
	c.Assert(tracker.Age(20*second), qt.Equals, 9*second)
}

// Whatever calls wait, are held up and overtake each other, the age is never below the true one: the time
// since the last change that the instance lacks could have been made.
func TestKnowledgeIsNeverTakenForNewerThanItIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var relay, follower freshness.Tracker
		span := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(5*second)).Draw(t, "span"))
		})
		// The three clocks stand far apart and run alike; now is that of the relay.
		now := time.Hour
		const platformAhead, followerAhead = 7 * time.Hour, 3 * time.Hour
		var relayTruth, followerTruth time.Duration
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "relay reads") {
				began := now
				answered := began + span.Draw(t, "waited")
				now = answered + span.Draw(t, "answer on its way")
				relay.ObserveRead(freshness.Read{StartedAt: began, FinishedAt: now, PlatformTime: answered + platformAhead})
				relayTruth = max(relayTruth, answered)
				continue
			}
			asked := now
			arrived := asked + span.Draw(t, "question on its way")
			answered := arrived + span.Draw(t, "held")
			word := freshness.PeerReport{RequestedAt: asked + followerAhead, ReplyDelay: answered - arrived, Age: relay.Age(answered)}
			now = answered + span.Draw(t, "word on its way")
			follower.ObservePeer(word)
			followerTruth = max(followerTruth, relayTruth)
			if age := follower.Age(now + followerAhead); age != freshness.Unknown && age < now-followerTruth {
				t.Fatalf("an age of %v, the true one is %v", age, now-followerTruth)
			}
			if age := relay.Age(now); age != freshness.Unknown && age < now-relayTruth {
				t.Fatalf("an age of %v at the relay, the true one is %v", age, now-relayTruth)
			}
		}
	})
}
