package move

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestGateNeverExceedsCap checks every window of every length against the gate's bound,
// and every window of at least one interval's requests against the cap itself.
func TestGateNeverExceedsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.001, 0.99).Draw(t, "cap")
		interval := rapid.IntRange(2, 400).Draw(t, "interval")
		asks := rapid.SliceOfN(rapid.Bool(), 1, 3*interval).Draw(t, "asks")
		always := rapid.Bool().Draw(t, "always")
		forced := rapid.SliceOfN(rapid.Bool(), len(asks), len(asks)).Draw(t, "forced")
		g := NewLimiter(limit, float64(interval))
		moved := make([]int, len(asks)+1)
		for i, asked := range asks {
			g.CountArrival()
			moved[i+1] = moved[i]
			if (asked || always) && (forced[i] && g.AllowFailover() || !forced[i] && g.Allow()) {
				moved[i+1]++
			}
		}
		allowed := math.Max(1, limit*float64(interval))
		for from := range asks {
			to := min(len(asks), from+interval)
			if got := float64(moved[to] - moved[from]); got > allowed+1e-6 {
				t.Fatalf("%v of %d requests moved, the cap allows %v", got, to-from, allowed)
			}
		}
	})
}

func TestGateUsesTheCap(t *testing.T) {
	for _, test := range []struct {
		name     string
		limit    float64
		interval int
		least    float64
	}{
		{"large class", 0.1, 10000, 0.95},
		{"small class", 0.25, 100, 0.7},
		{"everything", 1, 100, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := NewLimiter(test.limit, float64(test.interval))
			moved := 0
			for range test.interval {
				g.CountArrival()
				if g.Allow() {
					moved++
				}
			}
			c.Assert(float64(moved) >= test.least*test.limit*float64(test.interval), qt.IsTrue, qt.Commentf("moved %d", moved))
			c.Assert(g.ResetCounts().Requested, qt.Equals, uint64(test.interval))
		})
	}
}
