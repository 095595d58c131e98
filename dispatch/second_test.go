package dispatch_test

import (
	"fmt"
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
	const cached = 8
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var inGoal [2]float64
			for i, reportsPace := range []bool{false, true} {
				l := previews
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
			qt.Check(t, inGoal[1] >= inGoal[0]+minGain, qt.IsTrue)
		})
	}
}

// reportPace answers a request for each of 60 objects with a report of the pace.
func (tt *testTable) reportPace(pace float64) {
	for i := range 60 {
		tt.finish(tt.choose(fmt.Sprint(i)), dispatch.Outcome{Answered: true, Meta: lovageyard.ResponseMeta{
			Reported: true, Load: lovageyard.LoadReport{Slots: 2, Pace: pace},
		}})
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
