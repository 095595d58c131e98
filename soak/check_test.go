package main

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

// The checker must report each violation that a faulty system could show.
func TestCheckerReportsViolations(t *testing.T) {
	for _, test := range []struct {
		name    string
		want    string
		trigger func(c *checker)
	}{
		{"a request that nobody sent", ".*nobody sent", func(c *checker) { c.Arrived("s", "x") }},
		{"a charge runs twice", ".*ran again.*", func(c *checker) {
			c.RecordSend("x", "127.0.0.1:1", true)
			c.Started("s", "x")
			c.Started("s", "x")
		}},
		{"a request runs after its refusal", ".*after it had been refused.*", func(c *checker) {
			c.RecordSend("x", "127.0.0.1:1", false)
			c.RecordOutcome(outcome{ID: "x", Status: 503})
			c.Started("s", "x")
		}},
		{"a request is refused after it ran", ".*but has run", func(c *checker) {
			c.RecordSend("x", "127.0.0.1:1", false)
			c.Started("s", "x")
			c.RecordOutcome(outcome{ID: "x", Status: 429})
		}},
		{"an answer to another request", ".*not its own whole answer.*", func(c *checker) {
			c.RecordOutcome(outcome{ID: "x", Status: 200, Complete: true})
		}},
		{"an incomplete answer", ".*not its own whole answer.*", func(c *checker) {
			c.RecordOutcome(outcome{ID: "x", Status: 200, Matches: true})
		}},
		{"a request is cut without a fault", ".*was cut.*", func(c *checker) {
			c.Started("s", "x")
			c.RecordOutcome(outcome{ID: "x", Sent: true, Start: time.Now(), End: time.Now()})
		}},
		{"a request to a server that left", ".*after it left", func(c *checker) {
			c.RecordSend("x", "127.0.0.1:1", false)
			c.leftAt["s"] = time.Now().Add(-time.Minute)
			c.Arrived("s", "x")
		}},
		{"a server receives a key", ".*key shown: true", func(c *checker) {
			c.RecordAccount("x", sentAccount{name: "account-0"})
			c.AccountSeen("s", "x", "account-0", true)
		}},
		{"a server receives another account", ".*as of account.*", func(c *checker) {
			c.RecordAccount("x", sentAccount{name: "account-0"})
			c.AccountSeen("s", "x", "forged", false)
		}},
		{"a request with a revoked key runs", ".*revoked more than.*", func(c *checker) {
			c.RecordAccount("x", sentAccount{name: "account-0", revoked: true})
			c.AccountSeen("s", "x", "account-0", false)
		}},
		{"the key of a permanent account is refused", ".*its key were unknown", func(c *checker) {
			c.RecordAccount("x", sentAccount{name: "account-0"})
			c.RecordOutcome(outcome{ID: "x", Status: 401})
		}},
		{"a request to a drained failure domain", ".*was drained", func(c *checker) {
			c.RecordSend("x", "127.0.0.1:1", false)
			c.SetFailureDomain("s", "d")
			c.drainedAt["d"] = time.Now().Add(-time.Minute)
			c.Arrived("s", "x")
		}},
		{"a poison request is not quarantined", ".*that had crashed 3 servers.*", func(c *checker) {
			for range 3 {
				c.RecordCrash("/d")
			}
			c.crashLimitAt["/d"] = time.Now().Add(-time.Minute)
			for i := range 4 {
				id := fmt.Sprint(i)
				c.RecordSend(id, "127.0.0.1:1", false)
				c.RecordPoison(id, "/d")
				c.Arrived("s", id)
			}
		}},
		{"too many requests to a cold server", ".*request 7 in 1s", func(c *checker) {
			c.RecordServerStart("s")
			for i := range 7 {
				id := fmt.Sprint(i)
				c.RecordSend(id, "127.0.0.1:1", false)
				c.Arrived("s", id)
			}
		}},
		{"too many repeats", ".*repeat 13 in 5s with 5 requests", func(c *checker) {
			for i := range 5 {
				c.RecordSend(fmt.Sprint(i), "127.0.0.1:1", false)
			}
			for range 14 {
				c.Arrived("s", "0")
			}
		}},
		{"a request after an answer that announces leaving", ".*after its answer that it is leaving", func(c *checker) {
			c.backpressure.leaving[link{"s", ""}] = time.Now().Add(-3 * time.Second)
			c.RecordSend("x", "127.0.0.1:1", false)
			c.Arrived("s", "x")
		}},
		{"too many requests in a backoff", ".*request 3 in a backoff.*", func(c *checker) {
			for i := range 3 {
				id := fmt.Sprint(i)
				c.RecordSend(id, "127.0.0.1:1", false)
				c.BackpressureSent("s", id, lovageyard.Backpressure{Backoff: time.Minute})
				b := c.backpressure.backoffs[link{"s", ""}]
				b.requestedAt = time.Now().Add(-2 * time.Second)
				c.backpressure.backoffs[link{"s", ""}] = b
				c.Arrived("s", id)
			}
		}},
		{"too many requests for a rate limit", ".*announced a limit of 0.5.* request 9 in 4s", func(c *checker) {
			for i := range 9 {
				id := fmt.Sprint(i)
				c.RecordSend(id, "127.0.0.1:1", false)
				c.BackpressureSent("s", id, lovageyard.Backpressure{Limited: true, Limit: 0.5})
				c.RecordOutcome(outcome{ID: id, Status: 200, Complete: true, Matches: true})
				c.backpressure.announcedAt["s"] = time.Now().Add(-time.Minute)
				c.backpressure.limited[link{"s", ""}] = time.Now().Add(-time.Minute)
				c.Arrived("s", id)
			}
		}},
		{"a configuration that goes back", ".*went back.*", func(c *checker) {
			c.RecordProbe("entry/1", 5, 200, time.Now())
			c.RecordProbe("entry/1", 4, 200, time.Now())
		}},
		{"a configuration that is not applied", ".*does not apply.*", func(c *checker) {
			c.RecordProbe("entry/1", 5, 404, time.Now().Add(-time.Minute))
		}},
		{"no recovery after the faults", ".*only 1 of 10.*", func(c *checker) { c.CheckRecovery(1, 10) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			check := newChecker()
			test.trigger(check)
			violations, _ := check.Result()
			c.Assert(violations, qt.HasLen, 1)
			c.Assert(violations[0], qt.Matches, test.want)
		})
	}
}

// A fault excuses violations of time bounds, but only those of the targets that it affects and while it is in
// effect.
func TestCheckerExcusesEffectsOfFaults(t *testing.T) {
	now := time.Now()
	seconds := func(n int) time.Time { return now.Add(time.Duration(n) * time.Second) }
	for _, test := range []struct {
		affected string
		// from and to are the start and the end of the fault in seconds from now.
		from, to int
		// violations is the number of violations that are not excused, out of three: a cut request and a late
		// version at entry-1, and a request to a server that left.
		violations int
	}{
		{"entry-1", -1, 1, 0}, {"entry-2", -1, 1, 3}, {affectsStore, -1, 1, 3}, {affectsServers, -1, 1, 3},
		// The server left, and the version was accepted, a minute before now.
		{"entry-1", -61, -58, 3}, {"entry-1", -61, -2, 0}, {"entry-2", -61, -2, 3}, {affectsStore, -61, -58, 3}, {affectsStore, -61, -2, 1},
		{affectsStore, -40, -2, 3},
	} {
		t.Run(fmt.Sprint(test.affected, test.from, test.to), func(t *testing.T) {
			check := newChecker()
			check.RegisterInstance("127.0.0.1:1", "entry-1", "north")
			check.RecordFault(test.affected, seconds(test.from), seconds(test.to))
			check.RecordSend("x", "127.0.0.1:1", false)
			check.leftAt["s"] = now.Add(-time.Minute)
			check.Arrived("s", "x")
			check.Started("s", "x")
			check.RecordOutcome(outcome{ID: "x", Instance: "127.0.0.1:1", Sent: true, Start: now, End: now})
			check.RecordProbe("entry-1/3", 5, 404, now.Add(-time.Minute))
			violations, _ := check.Result()
			qt.Assert(t, violations, qt.HasLen, test.violations)
		})
	}
}

// A server that restarts under the same name while it is cold may get as many requests as any that has just
// started. The check once also counted two requests to the previous incarnation: "cold server i-11 got
// 7019-1147, request 7 in 1s".
func TestColdServerIsCountedByIncarnation(t *testing.T) {
	c := qt.New(t)
	check := newChecker()
	for incarnation := range 2 {
		check.RecordServerStart("s")
		for n := range 6 {
			id := fmt.Sprint(incarnation, "-", n)
			check.RecordSend(id, "127.0.0.1:1", false)
			check.Arrived("s", id)
		}
	}
	violations, _ := check.Result()
	c.Assert(violations, qt.HasLen, 0)
	check.RecordSend("more", "127.0.0.1:1", false)
	check.Arrived("s", "more")
	violations, _ = check.Result()
	c.Assert(violations, qt.HasLen, 1)
}

func TestPlanIsReproducibleFromSeed(t *testing.T) {
	c := qt.New(t)
	c.Assert(makePlan(7, time.Minute), qt.DeepEquals, makePlan(7, time.Minute))
	c.Assert(makePlan(7, time.Minute), qt.Not(qt.DeepEquals), makePlan(8, time.Minute))
	kinds := make(map[kind]bool)
	for seed := range uint64(40) {
		for _, f := range makePlan(seed, time.Minute) {
			kinds[f.Kind] = true
		}
	}
	c.Assert(kinds, qt.HasLen, len(faultKinds)+len(plannedKinds))
}

// A region's requests that run in another region from one moment on must be noticed, and those of a window
// with too few requests for a verdict must not.
func TestMovedRequestsAreNoticed(t *testing.T) {
	for _, test := range []struct {
		perSecond int
		moved     bool
		violated  bool
	}{
		{400, true, true},
		{400, false, false},
		{200, true, false},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			check := newChecker()
			start := time.Now()
			for i := range 10 * test.perSecond {
				to := "north"
				if test.moved && i > 5*test.perSecond && i%4 == 0 {
					to = "south"
				}
				at := start.Add(time.Duration(i) * time.Second / time.Duration(test.perSecond))
				check.arrivals = append(check.arrivals, arrival{at, "north", to})
			}
			check.CheckShifts()
			violations, _ := check.Result()
			qt.Assert(t, len(violations) > 0, qt.Equals, test.violated, qt.Commentf("%v", violations))
		})
	}
}
