package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard/dispatch"
)

// warmServers is a load that servers carry with little to spare once they have cached their objects.
var warmServers = workload{
	servers: map[string]int{"east": 23, "west": 5, "south": 19}, slots: 9, cacheSize: 24, objects: 253,
	rate: 153, uncachedWork: 2500 * time.Millisecond, goal: 1500 * time.Millisecond, timeout: 3 * time.Second,
	duration: 90 * time.Second, instances: 8, demandShare: 1.0 / 3,
}

// After an overload or a slow spell of all servers, instances must not go on to refuse requests because of what
// they measured in it. From 5 s after its end on, at most 0.01 more of all requests are refused than by instances
// that start at that moment.
func TestRequestsAreNotRefusedAfterAnOverload(t *testing.T) {
	const from, to, settled = 30 * time.Second, 40 * time.Second, 45 * time.Second
	burstOfAll := warmServers
	burstOfAll.bursts = []burst{{from, to, 4, ""}}
	slowServers := warmServers
	slowServers.slowFrom, slowServers.slowTo, slowServers.slowFactor = from, to, 5
	for name, l := range map[string]workload{"burst": burstOfAll, "slow servers": slowServers} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				l := l
				l.seed = seed
				m := newSimulation(l)
				m.run(chooseByTable(m))
				l.restartAt = settled
				restarted := newSimulation(l)
				restarted.run(chooseByTable(restarted))
				second := int(settled.Seconds())
				got, atBest := m.refusedFrom(second), restarted.refusedFrom(second)
				t.Logf("refused %.4f, after a restart %.4f", got, atBest)
				qt.Check(t, got <= atBest+0.01, qt.IsTrue)
			})
		}
	}
}

// Further plays of TestWorkInTimeDoesNotFallAsLoadRises, of the workload whose runs are slowest if not cached.
func TestWorkInTimeDoesNotFallInFurtherPlays(t *testing.T) {
	for seed := uint64(2); seed < 8; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			l := rareObjects
			l.seed = seed
			best := 0.0
			for _, factor := range []float64{1, 1.5, 2, 4} {
				heavier := l
				heavier.rate *= factor
				m := newSimulation(heavier)
				m.run(chooseByTable(m))
				perSecond := float64(m.inGoal) / l.duration.Seconds()
				t.Logf("%.1f times: %.0f a second in goal", factor, perSecond)
				qt.Check(t, perSecond >= 0.9*best, qt.IsTrue)
				best = max(best, perSecond)
			}
		})
	}
}

// An estimate by which every request is hopeless must not keep all requests refused for good, as no answer corrects
// it.
func TestHopelessEstimateFadesWithoutAnswers(t *testing.T) {
	tt := newTestTable(t)
	for i := range 100 {
		choice := tt.table.Choose(dispatch.Request{
			Now: tt.now, Route: tt.route, Service: "desk", Key: fmt.Sprint(i), Deadline: tt.now.Add(10 * time.Second),
		})
		tt.now = tt.now.Add(3 * time.Second)
		tt.finish(choice, dispatch.Outcome{Answered: true})
	}
	tt.c.Assert(tt.choose("k").Cause, qt.Equals, dispatch.CauseDeadline)
	for start := tt.now; tt.choose("k").Refused; tt.now = tt.now.Add(100 * time.Millisecond) {
		tt.c.Assert(tt.now.Sub(start) < 15*time.Second, qt.IsTrue)
	}
}
