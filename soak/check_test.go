package main

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

// Each promise is tripped by what a broken system would show.
func TestCheckerTrips(t *testing.T) {
	for _, test := range []struct {
		name string
		want string
		play func(c *checker)
	}{
		{"a request that nobody sent", ".*nobody sent", func(c *checker) { c.Arrived("s", "x") }},
		{"a charge twice", ".*ran again.*", func(c *checker) {
			c.Send("x", "127.0.0.1:1", true)
			c.Started("s", "x")
			c.Started("s", "x")
		}},
		{"run after a refusal", ".*after it had been refused.*", func(c *checker) {
			c.Send("x", "127.0.0.1:1", false)
			c.Ended(outcome{ID: "x", Status: 503})
			c.Started("s", "x")
		}},
		{"refused after a run", ".*but has run", func(c *checker) {
			c.Send("x", "127.0.0.1:1", false)
			c.Started("s", "x")
			c.Ended(outcome{ID: "x", Status: 429})
		}},
		{"a foreign answer", ".*not its own whole answer.*", func(c *checker) {
			c.Ended(outcome{ID: "x", Status: 200, Whole: true})
		}},
		{"a torn answer", ".*not its own whole answer.*", func(c *checker) {
			c.Ended(outcome{ID: "x", Status: 200, Own: true})
		}},
		{"cut in quiet", ".*was cut.*", func(c *checker) {
			c.Started("s", "x")
			c.Ended(outcome{ID: "x", Sent: true, Began: time.Now(), At: time.Now()})
		}},
		{"work for a server that left", ".*after it left", func(c *checker) {
			c.Send("x", "127.0.0.1:1", false)
			c.leftAt["s"] = time.Now().Add(-time.Minute)
			c.Arrived("s", "x")
		}},
		{"a key shown to a server", ".*key shown: true", func(c *checker) {
			c.SendAs("x", sentAs{name: "account-0"})
			c.AccountSeen("s", "x", "account-0", true)
		}},
		{"another account at a server", ".*as of account.*", func(c *checker) {
			c.SendAs("x", sentAs{name: "account-0"})
			c.AccountSeen("s", "x", "forged", false)
		}},
		{"a key that was taken away", ".*taken away more than.*", func(c *checker) {
			c.SendAs("x", sentAs{name: "account-0", taken: true})
			c.AccountSeen("s", "x", "account-0", false)
		}},
		{"a lasting key told unknown", ".*its key is unknown", func(c *checker) {
			c.SendAs("x", sentAs{name: "account-0"})
			c.Ended(outcome{ID: "x", Status: 401})
		}},
		{"work for a drained failure domain", ".*was drained", func(c *checker) {
			c.Send("x", "127.0.0.1:1", false)
			c.Place("s", "d")
			c.drainedAt["d"] = time.Now().Add(-time.Minute)
			c.Arrived("s", "x")
		}},
		{"a deadly request goes on", ".*that had ended 3 servers.*", func(c *checker) {
			for range 3 {
				c.DeadlyEnded("/d")
			}
			c.thirdAt["/d"] = time.Now().Add(-time.Minute)
			for i := range 4 {
				id := fmt.Sprint(i)
				c.Send(id, "127.0.0.1:1", false)
				c.Deadly(id, "/d")
				c.Arrived("s", id)
			}
		}},
		{"too much for a cold server", ".*request 7 in 1s", func(c *checker) {
			c.Joined("s")
			for i := range 7 {
				id := fmt.Sprint(i)
				c.Send(id, "127.0.0.1:1", false)
				c.Arrived("s", id)
			}
		}},
		{"too many repeats", ".*repeat 13 in 10s with 5 requests", func(c *checker) {
			for i := range 5 {
				c.Send(fmt.Sprint(i), "127.0.0.1:1", false)
			}
			for range 14 {
				c.Arrived("s", "0")
			}
		}},
		{"work after an answer that leaves", ".*after its answer that it leaves", func(c *checker) {
			c.notices.leaving[way{"s", ""}] = time.Now().Add(-3 * time.Second)
			c.Send("x", "127.0.0.1:1", false)
			c.Arrived("s", "x")
		}},
		{"work in a backoff", ".*request 3 in a backoff.*", func(c *checker) {
			for i := range 3 {
				id := fmt.Sprint(i)
				c.Send(id, "127.0.0.1:1", false)
				c.BackpressureSent("s", id, lovageyard.Backpressure{Backoff: time.Minute})
				r := c.notices.backoffs[way{"s", ""}]
				r.asked = time.Now().Add(-2 * time.Second)
				c.notices.backoffs[way{"s", ""}] = r
				c.Arrived("s", id)
			}
		}},
		{"work beyond a limit", ".*names a limit of 0.5.* request 9 in 4s", func(c *checker) {
			for i := range 9 {
				id := fmt.Sprint(i)
				c.Send(id, "127.0.0.1:1", false)
				c.BackpressureSent("s", id, lovageyard.Backpressure{Limited: true, Limit: 0.5})
				c.Ended(outcome{ID: id, Status: 200, Whole: true, Own: true})
				c.notices.namedAt["s"] = time.Now().Add(-time.Minute)
				c.notices.limited[way{"s", ""}] = time.Now().Add(-time.Minute)
				c.Arrived("s", id)
			}
		}},
		{"a configuration that goes back", ".*went back.*", func(c *checker) {
			c.Probed("entry/1", 5, 200, time.Now())
			c.Probed("entry/1", 4, 200, time.Now())
		}},
		{"a configuration that is not applied", ".*does not apply.*", func(c *checker) {
			c.Probed("entry/1", 5, 404, time.Now().Add(-time.Minute))
		}},
		{"no recovery", ".*only 1 of 10.*", func(c *checker) { c.Recovered(1, 10) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			checks := newChecker()
			test.play(checks)
			violations, _ := checks.Result()
			c.Assert(violations, qt.HasLen, 1)
			c.Assert(violations[0], qt.Matches, test.want)
		})
	}
}

// A bound in time is not held against what a fault harms, and only there.
func TestCheckerExcusesWhatAFaultHarms(t *testing.T) {
	now := time.Now()
	seconds := func(n int) time.Time { return now.Add(time.Duration(n) * time.Second) }
	for _, test := range []struct {
		harmed string
		// from and to are when that was so, in seconds from now.
		from, to int
		// broken are the promises that still count, of a cut and a late version at entry-1
		// and of work for a server that left.
		broken int
	}{
		{"entry-1", -1, 1, 0}, {"entry-2", -1, 1, 3}, {harmsStore, -1, 1, 3}, {harmsServers, -1, 1, 3},
		// The server left, and the version was accepted, a minute ago.
		{"entry-1", -61, -58, 3}, {"entry-1", -61, -2, 0}, {"entry-2", -61, -2, 3}, {harmsStore, -61, -58, 3}, {harmsStore, -61, -2, 1},
		{harmsStore, -40, -2, 3},
	} {
		t.Run(fmt.Sprint(test.harmed, test.from, test.to), func(t *testing.T) {
			checks := newChecker()
			checks.Name("127.0.0.1:1", "entry-1")
			checks.Disturb(test.harmed, seconds(test.from), seconds(test.to))
			checks.Send("x", "127.0.0.1:1", false)
			checks.leftAt["s"] = now.Add(-time.Minute)
			checks.Arrived("s", "x")
			checks.Started("s", "x")
			checks.Ended(outcome{ID: "x", Instance: "127.0.0.1:1", Sent: true, Began: now, At: now})
			checks.Probed("entry-1/3", 5, 404, now.Add(-time.Minute))
			violations, _ := checks.Result()
			qt.Assert(t, violations, qt.HasLen, test.broken)
		})
	}
}

// A server that starts again under its name while it is cold bears as much as any that has just started:
// "cold server i-11 got 7019-1147, request 7 in 1s" counted two requests at the life before.
func TestColdServerIsCountedByItsLife(t *testing.T) {
	c := qt.New(t)
	check := newChecker()
	for life := range 2 {
		check.Joined("s")
		for n := range 6 {
			id := fmt.Sprint(life, "-", n)
			check.Send(id, "127.0.0.1:1", false)
			check.Arrived("s", id)
		}
	}
	broken, _ := check.Result()
	c.Assert(broken, qt.HasLen, 0)
	check.Send("more", "127.0.0.1:1", false)
	check.Arrived("s", "more")
	broken, _ = check.Result()
	c.Assert(broken, qt.HasLen, 1)
}

func TestPlanIsMadeAgainFromItsSeed(t *testing.T) {
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
