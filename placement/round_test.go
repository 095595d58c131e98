package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

var testNow = time.Unix(10000, 0)

// sites returns sites a1 and a2 in region a and b1 in region b, each in a failure domain of the same name.
func sites(capacity float64) []Site {
	return []Site{
		{Name: "a1", FailureDomain: "a1", Region: "a", Capacity: capacity, Alive: true},
		{Name: "a2", FailureDomain: "a2", Region: "a", Capacity: capacity, Alive: true},
		{Name: "b1", FailureDomain: "b1", Region: "b", Capacity: capacity, Alive: true},
	}
}

func homes(demand float64) []Home {
	list := []Home{
		{FailureDomain: "a1", Region: "a"},
		{FailureDomain: "a2", Region: "a"},
		{FailureDomain: "b1", Region: "b"},
	}
	for i := range list {
		for b := range list[i].Buckets {
			list[i].Buckets[b] = demand / lovageyard.Buckets
		}
	}
	return list
}

func input(capacity, demand float64) Input {
	return Input{
		Now: testNow,
		Class: lovageyard.Class{
			Name:   "class",
			Target: lovageyard.Target{Cap: 0.1, Interval: lovageyard.Duration(10 * time.Second)},
		},
		Sites:     sites(capacity),
		Homes:     homes(demand),
		Latencies: Latencies{SameRegion: 2 * time.Millisecond, OtherRegion: 35 * time.Millisecond},
		Headroom:  0.2,
	}
}

// shares counts the buckets of a home by site.
func bucketsBySite(p lovageyard.ClassPlan, home string) map[string]int {
	counts := make(map[string]int)
	for b := range lovageyard.Buckets {
		counts[p.SiteOf(home, b)]++
	}
	return counts
}

// loads returns the total demand that a plan assigns to each site.
func demandBySite(in Input, p lovageyard.ClassPlan) map[string]float64 {
	sums := make(map[string]float64)
	for _, h := range in.Homes {
		for b, demand := range h.Buckets {
			sums[p.SiteOf(h.FailureDomain, b)] += demand
		}
	}
	return sums
}

func TestFirstPlacementIsNearest(t *testing.T) {
	c := qt.New(t)
	out := Round(input(1000, 100))
	c.Assert(out.Changed, qt.IsTrue)
	c.Assert(out.Plan.Step, qt.Equals, int64(1))
	for _, home := range []string{"a1", "a2", "b1"} {
		c.Assert(bucketsBySite(out.Plan, home), qt.DeepEquals, map[string]int{home: lovageyard.Buckets})
	}
}

func TestRounds(t *testing.T) {
	drain := func(site string, by time.Time) func(*Input) {
		return func(in *Input) {
			in.Orders = append(in.Orders, lovageyard.SiteOrder{Site: site, Draining: true, EmptyBy: by})
		}
	}
	for _, test := range []struct {
		name   string
		change func(in *Input)
		// empty is a site that must have no buckets.
		empty string
		// goal is the site that must have all buckets of home a1.
		goal   string
		state  lovageyard.MoveState
		inTime bool
		reason string
	}{
		{name: "nothing to do", change: func(*Input) {}, goal: "a1", reason: "nothing has to move"},
		{name: "drain", change: drain("a1", time.Time{}), empty: "a1", goal: "a2",
			state: lovageyard.MoveShifting, inTime: true, reason: "work moves within the cap"},
		{name: "drain in time", change: drain("a1", testNow.Add(100*time.Second)), empty: "a1", goal: "a2",
			state: lovageyard.MoveShifting, inTime: true, reason: "work moves within the cap"},
		{name: "drain too late for the cap", change: drain("a1", testNow.Add(50*time.Second)), empty: "a1", goal: "a2",
			state: lovageyard.MoveShifting, reason: "the bound is too early for the cap; a cap of 0.20 would meet it"},
		{name: "drain with less than an interval left", change: drain("a1", testNow.Add(time.Second)), empty: "a1", goal: "a2",
			state: lovageyard.MoveShifting, reason: "less than one interval is left; .*"},
		{name: "site dead", change: func(in *Input) { in.Sites[0].Alive = false }, empty: "a1", goal: "a2",
			state: lovageyard.MoveShifting, inTime: true, reason: "work moves within the cap"},
		{name: "site not in the target", change: func(in *Input) { in.Class.Target.Sites = []string{"b1"} }, empty: "a1", goal: "b1",
			state: lovageyard.MoveShifting, inTime: true, reason: "work moves within the cap"},
		{name: "nearest site is stale", change: func(in *Input) { drain("a1", time.Time{})(in); in.Sites[1].Age = StaleAge }, empty: "a1", goal: "b1",
			state: lovageyard.MoveShifting, inTime: true, reason: "work moves within the cap"},
		{name: "nearest site is of unknown capacity", change: func(in *Input) { drain("a1", time.Time{})(in); in.Sites[1].Capacity = 0 }, empty: "a1", goal: "b1",
			state: lovageyard.MoveShifting, inTime: true, reason: "work moves within the cap"},
		{name: "nowhere to go", change: func(in *Input) {
			drain("a1", time.Time{})(in)
			in.Sites[1].Capacity = 150
			in.Sites[2].Capacity = 150
		}, goal: "", state: lovageyard.MoveShifting, reason: ".* buckets fit nowhere within headroom; .*"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			in := input(1000, 100)
			in.Current = Round(in).Plan
			in.AppliedStep = 1
			test.change(&in)
			out := Round(in)
			c.Assert(out.Reason, qt.Matches, test.reason)
			if test.goal != "" {
				c.Assert(bucketsBySite(out.Plan, "a1"), qt.DeepEquals, map[string]int{test.goal: lovageyard.Buckets})
			}
			if test.empty != "" {
				c.Assert(demandBySite(in, out.Plan)[test.empty], qt.Equals, 0.0)
			}
			for site, load := range demandBySite(in, out.Plan) {
				if site != "a1" {
					c.Assert(load <= capacityOf(in, site)*(1-in.Headroom)+1e-6, qt.IsTrue, qt.Commentf("%s carries %v", site, load))
				}
			}
			if test.state == "" {
				c.Assert(out.Changed, qt.IsFalse)
				return
			}
			c.Assert(out.Plan.Move.State, qt.Equals, test.state)
			c.Assert(out.Plan.Move.InTime, qt.Equals, test.inTime || test.name == "nowhere to go")
		})
	}
}

func capacityOf(in Input, site string) float64 {
	for _, s := range in.Sites {
		if s.Name == site {
			return s.Capacity
		}
	}
	return 0
}

func TestMoveIsSuspendedWhileTheReceivingSiteIsOverloaded(t *testing.T) {
	c := qt.New(t)
	in := input(1000, 100)
	in.Current = Round(in).Plan
	in.AppliedStep = 1
	in.Orders = []lovageyard.SiteOrder{{Site: "a1", Draining: true}}
	in.Current = Round(in).Plan
	in.Remaining = 0.8
	c.Assert(Round(in).Changed, qt.IsFalse)
	in.Sites[1].Capacity = 150
	in.Sites[2].Capacity = 120
	held := Round(in)
	c.Assert(held.Plan.Move.State, qt.Equals, lovageyard.MoveHeld)
	c.Assert(held.Plan.Step, qt.Equals, in.Current.Step)
	in.Current = held.Plan
	c.Assert(Round(in).Changed, qt.IsFalse)
	in.Sites[1].Capacity = 1000
	in.Sites[2].Capacity = 1000
	in.Current = Round(in).Plan
	c.Assert(in.Current.Move.State, qt.Equals, lovageyard.MoveShifting)
	in.AppliedStep = in.Current.Step
	finished := Round(in)
	c.Assert(finished.Plan.Move, qt.IsNil)
	c.Assert(finished.Plan.OriginOf("a1", 0), qt.Equals, "")
}

func TestMovingWorkCountsAtBothSites(t *testing.T) {
	c := qt.New(t)
	in := input(250, 100)
	in.Current = Round(in).Plan
	in.AppliedStep = 1
	in.Orders = []lovageyard.SiteOrder{{Site: "a1", Draining: true}}
	in.Current = Round(in).Plan
	// The buckets of home a1 have not moved yet, so its site has no capacity left for those of b1.
	in.Orders = []lovageyard.SiteOrder{{Site: "b1", Draining: true}}
	out := Round(in)
	c.Assert(demandBySite(in, out.Plan)["a1"] <= 100+1e-6, qt.IsTrue, qt.Commentf("%v", demandBySite(in, out.Plan)))
}

func TestWorkReturnsToARestoredSite(t *testing.T) {
	c := qt.New(t)
	in := input(1000, 100)
	in.Current = Round(in).Plan
	in.AppliedStep = 1
	in.Orders = []lovageyard.SiteOrder{{Site: "a1", Draining: true}}
	in.Current = Round(in).Plan
	in.AppliedStep = in.Current.Step
	in.Orders = nil
	in.Latencies.SameRegion = minLatencyGain
	out := Round(in)
	c.Assert(bucketsBySite(out.Plan, "a1"), qt.DeepEquals, map[string]int{"a1": lovageyard.Buckets})
}

// BenchmarkRound measures a round at the current size of the system and at the target size.
func BenchmarkRound(b *testing.B) {
	for _, size := range []struct {
		name         string
		homes, sites int
	}{{"today", 6, 6}, {"target", 64, 420}} {
		in := input(1000, 100)
		in.Homes = nil
		in.Sites = nil
		for n := range size.homes {
			h := Home{FailureDomain: fmt.Sprintf("domain-%02d", n), Region: fmt.Sprintf("region-%02d", n/3)}
			for bucket := range h.Buckets {
				h.Buckets[bucket] = 5
			}
			in.Homes = append(in.Homes, h)
		}
		for n := range size.sites {
			h := in.Homes[n%size.homes]
			in.Sites = append(in.Sites, Site{Name: fmt.Sprintf("site-%03d", n), FailureDomain: h.FailureDomain, Region: h.Region, Capacity: 1000, Alive: true})
		}
		in.Current = Round(in).Plan
		in.AppliedStep = 1
		b.Run(size.name+"/at rest", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Round(in)
			}
		})
		in.Orders = []lovageyard.SiteOrder{{Site: "site-001", Draining: true}}
		b.Run(size.name+"/drain", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Round(in)
			}
		})
	}
}
