package lookup_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/lookup"
)

var startedAt = time.Unix(1_000_000, 0)

// region returns a region of two failure domains, with the given numbers of instances of 200 and of 10 Mbit/s in each.
func region(high, low int) []lovageyard.EntryInstance {
	var out []lovageyard.EntryInstance
	for _, domain := range []string{"north-1", "north-2"} {
		for n := range high + low {
			i := lovageyard.EntryInstance{Name: fmt.Sprintf("%s-low-%d", domain, n-high), FailureDomain: domain, Region: "north", LinkMbps: 10}
			if n < high {
				i.Name, i.LinkMbps = fmt.Sprintf("%s-high-%d", domain, n), 200
			}
			out = append(out, i)
		}
	}
	return out
}

// fleet returns the input of a selection with large bodies.
func fleet(instances []lovageyard.EntryInstance) lookup.Fleet {
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
		var instances []lovageyard.EntryInstance
		for _, i := range region(2, 3) {
			if !slices.Contains(test.drop, i.Name) {
				instances = append(instances, i)
			}
		}
		c.Check(names(lookup.NewSelector().Select(fleet(instances), startedAt)), qt.DeepEquals, test.want, qt.Commentf("%s", test.name))
	}
}
