package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/dispatch"
)

// manyServers returns a table of 1,000 servers in three regions, and their route.
func manyServers() (*dispatch.Table, *lovageyard.Route) {
	view := &catalog.Snapshot{Configuration: &lovageyard.Configuration{
		Routes:   []lovageyard.Route{{Name: "r", Goal: time.Second, Sticky: true, Parts: []lovageyard.ServiceWeight{{Service: "desk", Weight: 1}}}},
		Services: map[string]lovageyard.Service{"desk": {Name: "desk"}},
	}}
	for i := range 1000 {
		region := regions[i%len(regions)]
		view.Servers = append(view.Servers, catalog.Server{BackendServer: lovageyard.BackendServer{
			Name: fmt.Sprint(region, "-", i), Service: "desk", Region: region, FailureDomain: region + "-1",
			Slots: 9, State: lovageyard.StateLive,
		}})
	}
	table := dispatch.NewTable(dispatch.Settings{
		Self: "entry", FailureDomain: "east-1", Region: "east",
		Bounds: dispatch.Bounds{Shift: dispatch.ShiftBound{MaxChange: 0.15, Window: 2 * time.Second}},
	})
	table.SetCatalog(view, time.Unix(1000, 0))
	return table, &view.Configuration.Routes[0]
}

// chooseAmongMany returns a function that selects a server for one of 300 objects among 1,000 servers, which report
// a pace if it is above 0.
func chooseAmongMany(pace float64) func() {
	table, route := manyServers()
	now := time.Unix(1000, 0)
	var keys []string
	for i := range 300 {
		keys = append(keys, fmt.Sprint(i))
	}
	requests := 0
	return func() {
		now = now.Add(time.Millisecond)
		requests++
		choice := table.Choose(dispatch.Request{
			Now: now, Route: route, Rank: route.Rank, Regions: route.HomeRegions, Service: "desk", Key: keys[requests%len(keys)], Deadline: now.Add(time.Minute),
		})
		table.Done(choice, dispatch.Outcome{At: now.Add(time.Microsecond), Answered: true, Meta: lovageyard.ResponseMeta{
			Reported: pace > 0, Load: lovageyard.LoadReport{Slots: 9, Pace: pace},
		}})
	}
}

// BenchmarkChooseAmongAThousand selects a server for an object among 1,000 servers in three
// regions.
func BenchmarkChooseAmongAThousand(b *testing.B) {
	for name, pace := range map[string]float64{"one home": 0, "two homes": 1} {
		b.Run(name, func(b *testing.B) {
			choose := chooseAmongMany(pace)
			b.ReportAllocs()
			for b.Loop() {
				choose()
			}
		})
	}
}

// Each request is a choice, so that allocations in it cost instances with a part of a core.
func TestChoiceDoesNotAllocate(t *testing.T) {
	for _, pace := range []float64{0, 1} {
		qt.Check(t, testing.AllocsPerRun(2000, chooseAmongMany(pace)), qt.Equals, 0.0)
	}
}
