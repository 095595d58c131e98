package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

var start = time.Unix(1000, 0)

// The sum of the quotas of all instances must not exceed the bound of a cold server, whatever the
// number of instances: the bound is divided by the number of registered instances.
func TestColdBoundHoldsOverAllInstances(t *testing.T) {
	c := qt.New(t)
	bound := ColdBound{Excess: 1.5, Slack: 5}
	service := lovageyard.Service{Name: "desk", ColdRate: 9.1}
	allowed := bound.Excess*service.ColdRate + bound.Slack
	for _, count := range []int{1, 9, 12, 18, 68, 300} {
		var instances []string
		for i := range count {
			instances = append(instances, fmt.Sprintf("entry-%d", i))
		}
		total := 0
		for _, self := range instances {
			total += coldQuota(bound, service, "server-1", self, instances)
		}
		c.Assert(float64(total) <= allowed, qt.IsTrue, qt.Commentf("%d instances send %d", count, total))
		c.Assert(total > 0, qt.IsTrue, qt.Commentf("%d instances", count))
	}
}

func TestColdLimiterHoldsInAnySecond(t *testing.T) {
	c := qt.New(t)
	var limiter coldLimiter
	var sends []time.Time
	for ms := range 5000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if limiter.allows(3, now) {
			limiter.record(now)
			sends = append(sends, now)
		}
	}
	for i := 3; i < len(sends); i++ {
		c.Assert(sends[i].Sub(sends[i-3]) >= time.Second, qt.IsTrue)
	}
	c.Assert(len(sends) >= 12, qt.IsTrue)
}

// In any window the retries of all instances together must stay within the bound.
func TestRetryBudgetHoldsInAnyWindow(t *testing.T) {
	c := qt.New(t)
	bound := RetryBound{Ratio: 0.2, Window: 10 * time.Second, Slack: 60}
	const instances = 12
	var spent []time.Time
	budgets := make([]budget, instances)
	requests := 0
	for ms := range 40_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%20 == 0 && ms < 20_000 {
			budgets[ms/20%instances].recordRequest(bound, now)
			requests++
		}
		// All requests fail, and the instances ask for retries in turn, one every millisecond.
		if budgets[ms%instances].takeRetry(bound, bound.Slack/instances, now).Allowed {
			spent = append(spent, now)
		}
	}
	perWindow := 10_000.0 / 20
	allowed := bound.Ratio*perWindow + bound.Slack
	for i := range spent {
		last := i
		for last+1 < len(spent) && spent[last+1].Sub(spent[i]) < bound.Window {
			last++
		}
		c.Assert(float64(last-i+1) <= allowed, qt.IsTrue, qt.Commentf("%d retries from %s", last-i+1, spent[i].Sub(start)))
	}
	c.Assert(len(spent) > 0, qt.IsTrue)
}

func TestSplitKeepsTheWeights(t *testing.T) {
	c := qt.New(t)
	parts := []lovageyard.ServiceWeight{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
	var s weightedSplitter
	counts := make(map[string]int)
	for i := range 200 {
		counts[s.next(parts)]++
		if i == 9 {
			c.Assert(counts["b"], qt.Equals, 1)
		}
	}
	c.Assert(counts, qt.DeepEquals, map[string]int{"a": 180, "b": 20})
}

// Requests that leave the region use at most 0.4 of the allowed change per window, and requests
// that return a tenth of that, whatever the bound.
func TestSpilloverChangesInProportionToBound(t *testing.T) {
	for _, bound := range []ShiftBound{
		{MaxChange: 0.05, Window: 2 * time.Second},
		{MaxChange: 0.15, Window: 2 * time.Second},
		{MaxChange: 0.3, Window: 5 * time.Second},
	} {
		t.Run(fmt.Sprint(bound), func(t *testing.T) {
			c := qt.New(t)
			const updates = 200
			var s spillover
			change := func(remoteIsFaster bool, from time.Time) float64 {
				before := s.share
				for i := range updates {
					s.update(remoteIsFaster, bound, from.Add(bound.Window*time.Duration(i+1)/updates))
				}
				return s.share - before
			}
			s.update(false, bound, start)
			left := change(true, start)
			c.Assert(left <= 0.4*bound.MaxChange+1e-9, qt.IsTrue, qt.Commentf("%f", left))
			c.Assert(left >= 0.3*bound.MaxChange, qt.IsTrue, qt.Commentf("%f", left))
			returned := -change(false, start.Add(bound.Window))
			c.Assert(returned <= 0.04*bound.MaxChange+1e-9, qt.IsTrue, qt.Commentf("%f", returned))
		})
	}
}

// However many requests find their home full, and at whatever rate the instances get them, those of a
// region must not move by more than the bound in any window.
func TestDisplacedRequestsKeepTheShiftBound(t *testing.T) {
	bound := ShiftBound{MaxChange: 0.15, Window: 2 * time.Second}
	for _, rate := range []int{2, 10, 100} {
		t.Run(fmt.Sprint(rate, " a second"), func(t *testing.T) {
			const instances = 50
			const seconds = 20
			tables := make([]displacement, instances)
			random := rand.New(rand.NewPCG(1, uint64(rate)))
			displaced := make([]int, seconds*rate)
			for i := range seconds * rate {
				now := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
				for j := range tables {
					region := "west"
					// From the middle on all homes in the west are full.
					if i > len(displaced)/2 && tables[j].admits("west", "east", bound, random.Float64(), now) {
						region = "east"
						displaced[i]++
					}
					tables[j].record("west", region, bound.Window, now)
				}
			}
			window := 2 * rate
			total := 0
			for i := range displaced {
				sum := 0
				for _, n := range displaced[i:min(i+window, len(displaced))] {
					sum += n
				}
				total += displaced[i]
				qt.Assert(t, float64(sum) <= bound.MaxChange*float64(window*instances), qt.IsTrue, qt.Commentf("%d of %d from %d on", sum, window*instances, i))
			}
			qt.Assert(t, total > 0, qt.IsTrue)
		})
	}
}

// Requests that are displaced in both directions do not change a region's share and are not limited.
func TestDisplacedRequestsInBothDirectionsAreAdmitted(t *testing.T) {
	c := qt.New(t)
	bound := ShiftBound{MaxChange: 0.15, Window: 2 * time.Second}
	var d displacement
	for i := range 200 {
		d.record("east", "east", bound.Window, start.Add(time.Duration(i)*10*time.Millisecond))
	}
	now := start.Add(2 * time.Second)
	for range 100 {
		c.Assert(d.admits("west", "east", bound, 0.5, now), qt.IsTrue)
		d.record("west", "east", bound.Window, now)
		c.Assert(d.admits("east", "west", bound, 0.5, now), qt.IsTrue)
		d.record("east", "west", bound.Window, now)
	}
}
