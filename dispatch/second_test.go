package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/dispatch"
)

// previews is a load on servers with shared machines. 981 objects are distributed over 204 servers, whose
// slots are busy 60% to 70% of the time.
var previews = workload{
	servers: map[string]int{"east": 100, "west": 20, "south": 84}, slots: 4, cacheSize: 20, objects: 327,
	rate: 540, uncachedWork: 750 * time.Millisecond, goal: 600 * time.Millisecond, timeout: 4 * time.Second,
	duration: 24 * time.Second, instances: 4, demandShare: 1.0 / 3,
	slowShare: 0.15, slowPace: 2.5, slowLength: 600 * time.Millisecond, longShare: 0.03, longFactor: 7,
}

// With one home for each object, hashing assigns twice the mean load to some servers, and requests wait while
// other workloads slow down the home's machine. Two homes must answer more requests within the goal once the
// objects are cached.
func TestTwoHomesAnswerMoreInGoal(t *testing.T) {
	const minGain = 0.03
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			one, two := inGoalWithHomes(t, previews, seed)
			qt.Check(t, two >= one+minGain, qt.IsTrue)
		})
	}
}

// approvals is a load on servers that cache hardly more objects than one home for each requires.
var approvals = workload{
	servers: map[string]int{"east": 41, "west": 8, "south": 35}, slots: 5, cacheSize: 13, objects: 280,
	rate: 195, uncachedWork: 990 * time.Millisecond, goal: 800 * time.Millisecond, timeout: 6 * time.Second,
	duration: 24 * time.Second, instances: 4, demandShare: 1.0 / 3,
	slowShare: 0.15, slowPace: 2.5, slowLength: 600 * time.Millisecond, longShare: 0.03, longFactor: 7,
}

// Where servers can't cache twice the objects, second homes must not cost more than they gain. With a second home
// for all objects, 0.52 instead of 0.77 are answered within the goal.
func TestSecondHomesDoNotFillCaches(t *testing.T) {
	const maxLoss = 0.025
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			one, two := inGoalWithHomes(t, approvals, seed)
			qt.Check(t, two >= one-maxLoss, qt.IsTrue)
		})
	}
}

// inGoalWithHomes returns the shares of requests in goal once the objects are cached, with one home for each object
// and with two.
func inGoalWithHomes(t *testing.T, l workload, seed uint64) (one, two float64) {
	const cached = 8
	var inGoal [2]float64
	for i, reportsPace := range []bool{false, true} {
		l.seed = seed
		l.reportsPace = reportsPace
		m := newSimulation(l)
		all := m.run(chooseByTable(m))
		inGoal[i] = m.shareFrom(cached, m.inGoalAt)
		busy := m.busy.Seconds() / (l.duration.Seconds() * float64(len(m.servers)*l.slots))
		t.Logf("two homes %t: in goal %.4f, with the first seconds %.4f, refused %.4f, servers of an object %.2f, largest shift %.3f, slots busy %.2f",
			reportsPace, inGoal[i], all, float64(m.refused)/float64(m.requests), m.serversOfAnObject(), m.largestShift(), busy)
		qt.Check(t, m.largestShift() <= largestAllowedShift, qt.IsTrue)
	}
	return inGoal[0], inGoal[1]
}

// usualWork is how long requests run at the usual pace.
const usualWork = 100 * time.Millisecond

// finishAtPace answers a request with a report of other instances' requests and of the pace, at which it has run.
func (tt *testTable) finishAtPace(choice dispatch.Choice, others int, pace float64) {
	tt.now = tt.now.Add(time.Duration(max(1, pace) * float64(usualWork)))
	tt.finish(choice, dispatch.Outcome{Answered: true, Meta: lovageyard.ResponseMeta{
		Reported: true, Load: lovageyard.LoadReport{InFlight: others, Slots: 2, Pace: pace},
	}})
}

// reportPace lets the servers report a pace until the number of objects is known.
func (tt *testTable) reportPace(pace float64) {
	const objects = 20
	for i := range 5 * objects {
		tt.finishAtPace(tt.choose(fmt.Sprint(i%objects)), 0, pace)
	}
}

// Objects of servers that report no pace must not run at a second server, where they are not cached.
func TestServersWithoutPaceHaveOneHome(t *testing.T) {
	for _, pace := range []float64{0, 1} {
		tt := newTestTable(t)
		tt.reportPace(pace)
		rules := make(map[string]int)
		for choice := tt.choose("k"); !choice.Refused; choice = tt.choose("k") {
			rules[choice.Rule]++
		}
		tt.c.Check(rules[dispatch.RuleSecondHome] > 0, qt.Equals, pace > 0)
		tt.c.Check(rules[dispatch.RuleHome] > 0, qt.IsTrue)
	}
}

// bothHomes returns the names of both homes of an object, the second of which is found by a slow pace of the first.
func (tt *testTable) bothHomes(key string) (first, second lovageyard.BackendServer) {
	choice := tt.choose(key)
	tt.c.Assert(choice.Rule, qt.Equals, dispatch.RuleHome)
	tt.finishAtPace(choice, 0, 5)
	other := tt.choose(key)
	tt.c.Assert(other.Rule, qt.Equals, dispatch.RuleSecondHome)
	tt.finishAtPace(other, 0, 1)
	tt.now = tt.now.Add(15 * time.Second)
	return choice.Server, other.Server
}

// Whatever servers report, the choice between both homes must not change the region in which an object's requests
// run, nor use a third server while both have room.
func TestBothHomesAreInOneRegion(t *testing.T) {
	const rounds = 5000
	tt, unpaced := newTestTable(t), newTestTable(t)
	tt.reportPace(1)
	random := rand.New(rand.NewPCG(1, 1))
	servers := make(map[string]map[string]bool)
	for range rounds {
		tt.now = tt.now.Add(20 * time.Millisecond)
		key := fmt.Sprint(random.IntN(20))
		choice := tt.choose(key)
		tt.c.Assert(choice.Server.Region, qt.Equals, unpaced.run(key).Region)
		tt.finishAtPace(choice, random.IntN(4), 1+random.Float64())
		if servers[key] == nil {
			servers[key] = make(map[string]bool)
		}
		servers[key][choice.Server.Name] = true
		tt.c.Assert(len(servers[key]) <= 2, qt.IsTrue)
	}
}

// An object that alternates between homes that are about equally loaded is evicted from caches sooner.
func TestObjectStaysAtItsHomeAtEqualLoad(t *testing.T) {
	tt := newTestTable(t)
	tt.reportPace(1)
	for i := range 400 {
		tt.now = tt.now.Add(50 * time.Millisecond)
		choice := tt.choose(fmt.Sprint(i % 20))
		tt.c.Assert(choice.Rule, qt.Equals, dispatch.RuleHome)
		tt.finishAtPace(choice, i%2, 1)
	}
}

// A slow period must send requests to the second home, but not for longer than such periods last.
func TestSecondHomeIsUsedInASlowPeriod(t *testing.T) {
	tt := newTestTable(t)
	tt.reportPace(1)
	first, second := tt.bothHomes("k")
	tt.finishAtPace(tt.choose("k"), 0, 2.5)
	tt.now = tt.now.Add(200 * time.Millisecond)
	choice := tt.choose("k")
	tt.c.Check(choice.Server.Name, qt.Equals, second.Name)
	tt.finishAtPace(choice, 0, 1)
	tt.now = tt.now.Add(3 * time.Second)
	tt.c.Check(tt.choose("k").Server.Name, qt.Equals, first.Name)
}

// After a start or a fault, when servers are short of slots, uncached runs at second homes hold up all requests. A
// second home that has not run the object gets it only if that is faster by more than a slow period of the first one.
func TestUncachedSecondHomeIsNotUsedInASlowPeriod(t *testing.T) {
	tt := newTestTable(t)
	tt.reportPace(1)
	first, _ := tt.bothHomes("k")
	tt.now = tt.now.Add(time.Minute)
	tt.finishAtPace(tt.choose("k"), 0, 2.5)
	tt.now = tt.now.Add(200 * time.Millisecond)
	tt.c.Check(tt.choose("k").Server.Name, qt.Equals, first.Name)
}

// While one home gets no requests, those for its objects must go to the other, where they are cached, but not to a
// region to which they would not have gone without it: a whole region may be unreachable.
func TestOtherHomeWhileOneGetsNoRequests(t *testing.T) {
	for name, exclude := range map[string]func(*testTable, dispatch.Choice){
		"no answer": func(tt *testTable, c dispatch.Choice) { tt.finish(c, dispatch.Outcome{}) },
		"backoff": func(tt *testTable, c dispatch.Choice) {
			tt.table.Observe(c.Server, lovageyard.Backpressure{Backoff: time.Minute}, tt.now, tt.now)
			tt.table.Cancel(c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			kept := 0
			for i := range 30 {
				key := fmt.Sprint(i)
				tt, unpaced := newTestTable(t), newTestTable(t)
				tt.reportPace(1)
				first, second := tt.bothHomes(key)
				unpaced.now = tt.now
				exclude(tt, tt.choose(key))
				exclude(unpaced, unpaced.choose(key))
				got, before := tt.choose(key).Server, unpaced.choose(key).Server
				if second.Region == "east" || second.Region == before.Region {
					tt.c.Check(got.Name, qt.Equals, second.Name)
				} else {
					tt.c.Check(got.Name, qt.Equals, before.Name)
				}
				if got.Region == first.Region && before.Region != first.Region {
					kept++
				}
			}
			qt.Check(t, kept > 0, qt.IsTrue)
		})
	}
}

// A slow period that servers report must not raise the slowdown that is learned from their answers: it would count
// twice, and for longer than the period lasts.
func TestReportedPaceIsNoSlowdown(t *testing.T) {
	var expected [2]time.Duration
	const slowest = 250 * time.Millisecond
	for i, pace := range []float64{0, 2.5} {
		tt := newTestTable(t)
		tt.view.Servers = tt.view.Servers[:1]
		tt.table.SetCatalog(tt.view, tt.now)
		for range 20 {
			tt.finishAtPace(tt.choose("k"), 0, min(1, pace))
		}
		for range 5 {
			choice := tt.choose("k")
			tt.now = tt.now.Add(slowest - time.Duration(max(1, pace)*float64(usualWork)))
			tt.finishAtPace(choice, 0, pace)
		}
		tt.now = tt.now.Add(2 * time.Second)
		expected[i] = tt.choose("k").Expected
	}
	qt.Check(t, float64(expected[1]) < 0.7*float64(expected[0]), qt.IsTrue, qt.Commentf("%v", expected))
}
