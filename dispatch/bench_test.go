package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/dispatch"
)

// BenchmarkChooseAmongAThousand selects a server for an object among 1,000 servers in three
// regions.
func BenchmarkChooseAmongAThousand(b *testing.B) {
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
	route := &view.Configuration.Routes[0]
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		choice := table.Choose(dispatch.Request{
			Now: now, Route: route, Rank: route.Rank, Regions: route.HomeRegions, Service: "desk", Key: fmt.Sprint(i % 300), Deadline: now.Add(time.Minute),
		})
		table.Done(choice, dispatch.Outcome{At: now.Add(time.Microsecond), Answered: true})
	}
}
