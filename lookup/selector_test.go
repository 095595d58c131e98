package lookup_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/lookup"
)

var startedAt = time.Unix(1_000_000, 0)

// region returns a region of two failure domains, with the given numbers of instances of 200 and of 10 Mbit/s in each.
func region(high, low int) []*lovageyard.EntryInstance {
	var out []*lovageyard.EntryInstance
	for _, domain := range []string{"north-1", "north-2"} {
		for n := range high + low {
			i := &lovageyard.EntryInstance{Name: fmt.Sprintf("%s-low-%d", domain, n-high), FailureDomain: domain, Region: "north", LinkMbps: 10}
			if n < high {
				i.Name, i.LinkMbps = fmt.Sprintf("%s-high-%d", domain, n), 200
			}
			out = append(out, i)
		}
	}
	return out
}

// fleet returns the input of a selection with large bodies.
func fleet(instances []*lovageyard.EntryInstance) lookup.Fleet {
	return lookup.Fleet{Region: "north", Instances: instances, LargeBodies: true, Utilisation: make(map[string]float64)}
}

func names(s lookup.Selection) []string {
	var out []string
	for _, i := range s.Instances {
		out = append(out, i.Name)
	}
	return out
}

// Clients that get low-bandwidth instances receive large bodies slowly.
func TestHighBandwidthInstancesAreSelected(t *testing.T) {
	c := qt.New(t)
	selection := lookup.NewSelector().Select(fleet(region(2, 8)), startedAt)
	c.Assert(names(selection), qt.DeepEquals, []string{"north-1-high-0", "north-1-high-1", "north-2-high-0", "north-2-high-1"})
	c.Assert(selection.Narrowed, qt.IsTrue)
}

// A quarter of the highest bandwidth counts as high: a machine that is somewhat smaller is not left out.
func TestQuarterOfTheHighestBandwidthCountsAsHigh(t *testing.T) {
	c := qt.New(t)
	instances := region(2, 2)
	instances[2].LinkMbps, instances[3].LinkMbps = 50, 49.9
	c.Assert(names(lookup.NewSelector().Select(fleet(instances), startedAt)), qt.DeepEquals,
		[]string{"north-1-high-0", "north-1-high-1", "north-1-low-0", "north-2-high-0", "north-2-high-1"})
}

// Deployments without large bodies, or whose bandwidths are not all known, keep all their instances.
func TestAllInstancesAreSelectedWithoutNeed(t *testing.T) {
	c := qt.New(t)
	selector := lookup.NewSelector()
	small := fleet(region(2, 8))
	small.LargeBodies = false
	c.Assert(selector.Select(small, startedAt).Instances, qt.DeepEquals, region(2, 8))
	partlyUnknown := region(2, 8)
	partlyUnknown[4].LinkMbps = 0
	c.Assert(selector.Select(fleet(partlyUnknown), startedAt).Instances, qt.DeepEquals, partlyUnknown)
	c.Assert(selector.Select(fleet(region(0, 3)), startedAt).Instances, qt.DeepEquals, region(0, 3))
	c.Assert(selector.Select(fleet(nil), startedAt).Instances, qt.HasLen, 0)
}

// use sets the utilisation of the high-bandwidth instances.
func use(f lookup.Fleet, utilisation float64) {
	for _, i := range f.Instances {
		if i.LinkMbps > 10 {
			f.Utilisation[i.Name] = utilisation
		}
	}
}

// High-bandwidth instances that don't suffice must not get all clients, and a load close to a threshold must not change
// the selection back and forth: each change moves clients to other connections.
func TestSelectionWidensWhenUtilisedAndNarrowsWithDelay(t *testing.T) {
	c := qt.New(t)
	selector := lookup.NewSelector()
	f := fleet(region(2, 2))
	for _, step := range []struct {
		at          time.Duration
		utilisation float64
		want        int
		changed     bool
	}{
		{0, 0.59, 4, false},
		{time.Second, 0.6, 8, true},
		// All instances are returned, so that the high-bandwidth ones alone would have twice the utilisation.
		{2 * time.Second, 0.3, 8, false},
		{8 * time.Second, 0.18, 8, false},
		{9 * time.Second, 0.17, 8, false},
		{13 * time.Second, 0.18, 8, false},
		{14 * time.Second, 0.17, 8, false},
		{18900 * time.Millisecond, 0.17, 8, false},
		{19 * time.Second, 0.17, 4, true},
		{20 * time.Second, 0.59, 4, false},
	} {
		use(f, step.utilisation)
		selection := selector.Select(f, startedAt.Add(step.at))
		c.Assert(selection.Instances, qt.HasLen, step.want, qt.Commentf("%s", step.at))
		c.Assert(selection.Changed, qt.Equals, step.changed, qt.Commentf("%s", step.at))
	}
}

// Under periodic load, the selection must change at most twice in each period, and under constant load at most once. The
// utilisation follows the selection with a delay, as clients keep answers for 2 s and reports are averages.
func TestSelectionDoesNotAlternateUnderLoad(t *testing.T) {
	const period, periods = 60, 5
	for _, low := range []int{8, 16} {
		for _, variation := range []float64{0, 0.55} {
			for mean := 0.1; mean < 1.2; mean += 0.05 {
				c := qt.New(t)
				selector := lookup.NewSelector()
				f := fleet(region(2, low))
				utilisation, changes := 0.0, 0
				for second := range period * periods {
					load := mean * (1 + variation*math.Sin(2*math.Pi*float64(second)/period))
					use(f, utilisation)
					selection := selector.Select(f, startedAt.Add(time.Duration(second)*time.Second))
					if selection.Changed {
						changes++
					}
					// Load is that of the four high-bandwidth instances if they serve all requests.
					utilisation += (load*4/float64(len(selection.Instances)) - utilisation) / 3
				}
				limit := 1
				if variation > 0 {
					limit = 2 * periods
				}
				c.Assert(changes <= limit, qt.IsTrue, qt.Commentf("%d changes, %d low-bandwidth instances, load %.2f, variation %.2f", changes, low, mean, variation))
			}
		}
	}
}

// During an upgrade some instances report no utilisation. They must not make the others look idle, and regions must not
// share their state.
func TestInstancesWithoutReport(t *testing.T) {
	c := qt.New(t)
	selector := lookup.NewSelector()
	f := fleet(region(2, 4))
	f.Utilisation["north-1-high-0"] = 0.9
	c.Assert(selector.Select(f, startedAt).Narrowed, qt.IsFalse)
	other := fleet(region(2, 4))
	other.Region = "south"
	c.Assert(selector.Select(other, startedAt).Narrowed, qt.IsTrue)
	c.Assert(selector.Select(f, startedAt).Narrowed, qt.IsFalse)
}

// When most high-bandwidth instances are lost, the low-bandwidth ones that make up the minimum are soon overloaded,
// although the remaining high-bandwidth ones are not.
func TestUtilisationOfInstancesThatMakeUpTheMinimumCounts(t *testing.T) {
	c := qt.New(t)
	var instances []*lovageyard.EntryInstance
	for _, i := range region(1, 4) {
		if i.Name != "north-2-high-0" {
			instances = append(instances, i)
		}
	}
	f := fleet(instances)
	use(f, 0.2)
	f.Utilisation["north-1-low-0"], f.Utilisation["north-2-low-0"] = 1, 1
	c.Assert(lookup.NewSelector().Select(f, startedAt).Instances, qt.HasLen, len(instances))
}

// A client must have another instance to connect to when one instance or one failure domain is lost.
func TestMinimumNumbersAreMadeUp(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name string
		drop []string
		want []string
	}{
		{"one failure domain has no high-bandwidth instance", []string{"north-2-high-0", "north-2-high-1"},
			[]string{"north-1-high-0", "north-1-high-1", "north-2-low-0"}},
		{"one high-bandwidth instance is left", []string{"north-1-high-0", "north-1-high-1", "north-2-high-1"},
			[]string{"north-1-low-0", "north-1-low-1", "north-2-high-0"}},
		{"all high-bandwidth instances are lost", []string{"north-1-high-0", "north-1-high-1", "north-2-high-0", "north-2-high-1"},
			[]string{"north-1-low-0", "north-1-low-1", "north-1-low-2", "north-2-low-0", "north-2-low-1", "north-2-low-2"}},
		{"one failure domain is lost", []string{"north-1-high-0", "north-1-high-1", "north-1-low-0", "north-1-low-1", "north-1-low-2"},
			[]string{"north-2-high-0", "north-2-high-1", "north-2-low-0"}},
	} {
		var instances []*lovageyard.EntryInstance
		for _, i := range region(2, 3) {
			if !slices.Contains(test.drop, i.Name) {
				instances = append(instances, i)
			}
		}
		c.Check(names(lookup.NewSelector().Select(fleet(instances), startedAt)), qt.DeepEquals, test.want, qt.Commentf("%s", test.name))
	}
}
