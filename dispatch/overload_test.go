package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Under overload the servers must not spend their capacity on requests that miss their goal: as
// load rises, the number of requests answered in goal per second must not fall by more than a
// tenth.
func TestWorkInTimeDoesNotFallAsLoadRises(t *testing.T) {
	loads := map[string]workload{"statements": statements, "desks": desks, "recipes": waves, "registers": rareObjects}
	for name, l := range loads {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				l := l
				l.shared = false
				l.seed = seed
				l.duration = 36 * time.Second
				best := 0.0
				for _, factor := range []float64{0.5, 1, 1.5, 2, 4} {
					heavier := l
					heavier.rate *= factor
					m := newSimulation(heavier)
					m.run(chooseByTable(m))
					perSecond := float64(m.inGoal) / l.duration.Seconds()
					t.Logf("%.1f times: %.0f a second in goal of %.0f, refused %.3f", factor, perSecond,
						float64(m.requests)/l.duration.Seconds(), float64(m.refused)/float64(m.requests))
					qt.Check(t, perSecond >= 0.9*best, qt.IsTrue)
					best = max(best, perSecond)
				}
			})
		}
	}
}
