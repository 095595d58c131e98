package move

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestLimiterNeverExceedsCap checks the cap in every window of at most one interval's requests.
func TestLimiterNeverExceedsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.001, 0.99).Draw(t, "cap")
		interval := rapid.IntRange(2, 400).Draw(t, "interval")
		requested := rapid.SliceOfN(rapid.Bool(), 1, 3*interval).Draw(t, "asks")
		always := rapid.Bool().Draw(t, "always")
		forced := rapid.SliceOfN(rapid.Bool(), len(requested), len(requested)).Draw(t, "forced")
		l := NewLimiter(limit, float64(interval))
		moved := make([]int, len(requested)+1)
		for i, request := range requested {
			l.CountArrival()
			moved[i+1] = moved[i]
			if (request || always) && (forced[i] && l.AllowFailover() || !forced[i] && l.Allow()) {
				moved[i+1]++
			}
		}
		allowed := math.Max(1, limit*float64(interval))
		for from := range requested {
			to := min(len(requested), from+interval)
			if got := float64(moved[to] - moved[from]); got > allowed+1e-6 {
				t.Fatalf("%v of %d requests moved, the cap allows %v", got, to-from, allowed)
			}
		}
	})
}

func TestLimiterUsesTheCap(t *testing.T) {
	for _, test := range []struct {
		name     string
		limit    float64
		interval int
		minShare float64
	}{
		{"large class", 0.1, 10000, 0.95},
		{"small class", 0.25, 100, 0.7},
		{"everything", 1, 100, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := NewLimiter(test.limit, float64(test.interval))
			moved := 0
			for range test.interval {
				l.CountArrival()
				if l.Allow() {
					moved++
				}
			}
			c.Assert(float64(moved) >= test.minShare*test.limit*float64(test.interval), qt.IsTrue, qt.Commentf("moved %d", moved))
			c.Assert(l.ResetCounts().Requested, qt.Equals, uint64(test.interval))
		})
	}
}
