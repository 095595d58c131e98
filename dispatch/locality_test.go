package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard/dispatch"
)

// measureDistances finishes requests over new connections, by which the table learns the distance to region west.
func (tt *testTable) measureDistances(west time.Duration) {
	for i := range 60 {
		choice := tt.choose(fmt.Sprint(i))
		dialTime := time.Millisecond
		if choice.Server.Region == "west" {
			dialTime = west
		}
		tt.finish(choice, dispatch.Outcome{Answered: true, DialTime: dialTime})
	}
}

// shareAt returns the share of objects, 0 to 1, whose home is at a server that the filter admits.
func (tt *testTable) shareAt(admits func(c dispatch.Choice) bool) float64 {
	const objects = 1000
	count := 0
	for i := range objects {
		choice := tt.choose(fmt.Sprint("object-", i))
		tt.c.Assert(choice.Refused, qt.IsFalse)
		if admits(choice) {
			count++
		}
		tt.table.Cancel(choice)
	}
	return float64(count) / objects
}

func isEast(c dispatch.Choice) bool { return c.Server.Region == "east" }

// A request with a goal of 200 ms whose home is 70 ms away is late if it opens a connection or waits at all. Most of
// these must run in their region, and the others must be spread over the regions.
func TestTightGoalsHaveHomesInTheirRegion(t *testing.T) {
	for _, test := range []struct {
		goal, distance time.Duration
		least, most    float64
	}{
		{goal: 200 * time.Millisecond, distance: 70 * time.Millisecond, least: 0.8, most: 0.95},
		{goal: 250 * time.Millisecond, distance: 70 * time.Millisecond, least: 0.6, most: 0.73},
		{goal: 200 * time.Millisecond, distance: 10 * time.Millisecond, least: 0.6, most: 0.73},
		{goal: 0, distance: 70 * time.Millisecond, least: 0.6, most: 0.73},
	} {
		tt := newTestTable(t)
		tt.measureDistances(test.distance)
		tt.route.Goal = test.goal
		share := tt.shareAt(isEast)
		tt.c.Check(share >= test.least && share <= test.most, qt.IsTrue, qt.Commentf("%+v: %.3f", test, share))
	}
}

// Large bodies must not use up the links between the failure domains of a region, nor leave the region more often.
func TestLargeBodiesHaveHomesInTheirFailureDomain(t *testing.T) {
	for _, large := range []bool{false, true} {
		tt := newTestTable(t)
		tt.view.Servers[1].FailureDomain = "east-2"
		tt.view.Servers[2].FailureDomain = "east-2"
		tt.route.LargeRequests = large
		tt.table.SetCatalog(tt.view, tt.now)
		inRegion := tt.shareAt(isEast)
		own := tt.shareAt(func(c dispatch.Choice) bool { return c.Server.FailureDomain == "east-1" })
		t.Logf("large %t: in the region %.3f, in the own failure domain %.3f", large, inRegion, own)
		tt.c.Check(inRegion >= 0.6 && inRegion <= 0.75, qt.IsTrue, qt.Commentf("large %t: %.3f", large, inRegion))
		if large {
			tt.c.Check(own >= 0.6*inRegion, qt.IsTrue)
		} else {
			tt.c.Check(own <= 0.4*inRegion, qt.IsTrue)
		}
	}
}

// An object of large bodies whose failure domain has no server runs elsewhere in the region.
func TestLargeBodiesRunElsewhereWithoutOwnServers(t *testing.T) {
	tt := newTestTable(t)
	for i := range 3 {
		tt.view.Servers[i].FailureDomain = "east-2"
	}
	tt.route.LargeResponses = true
	tt.table.SetCatalog(tt.view, tt.now)
	share := tt.shareAt(isEast)
	tt.c.Check(share >= 0.6, qt.IsTrue, qt.Commentf("%.3f", share))
}
