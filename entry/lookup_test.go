package entry_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/entry"
	"lovageyard.example/lovageyard/lookup"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/timer"
)

// lookUpView returns a view of a region with instances of high (h) and low (l) bandwidth in two failure domains,
// and a route with or without large bodies.
func lookUpView(largeBodies bool) *catalog.View {
	configuration := &lovageyard.Configuration{Routes: []lovageyard.Route{{Name: "r"}, {Name: "d", LargeResponses: largeBodies}}}
	view := &catalog.View{Ready: true, Snapshot: &catalog.Snapshot{Configuration: configuration}}
	for _, name := range []string{"h1", "h2", "h3", "h4", "l1", "l2", "l3"} {
		m := lovageyard.EntryInstance{Name: name, Region: "north", FailureDomain: "north-" + name[1:], CallerAddress: name, State: lovageyard.StateLive, LinkMbps: 10}
		if name[0] == 'h' {
			m.LinkMbps = 200
		}
		view.Live = append(view.Live, m)
	}
	return view
}

// reports is the reported utilisation of instances, by name.
type reports map[string]float64

func (r reports) Utilisation() map[string]float64 { return r }

// newDirectory returns a Directory that selects instances.
func newDirectory(view *catalog.View) *entry.Directory {
	return &entry.Directory{
		Source: source{view: view}, KeepFor: time.Second, Selector: lookup.NewSelector(), Timer: timer.Clock{},
		Utilisation: make(reports), Logger: logrus.New(), Metrics: meter.NewSet(),
	}
}

// lookUp returns the addresses in the answer to a look-up.
func lookUp(c *qt.C, d *entry.Directory, region string) []string {
	recorder := httptest.NewRecorder()
	target := platform.LookUpPath + "?" + url.Values{"Name": {"a.example"}, "Region": {region}, "Zone": {"z"}}.Encode()
	d.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, target, nil))
	var answer platform.LookUpResponse
	c.Assert(json.Unmarshal(recorder.Body.Bytes(), &answer), qt.IsNil)
	return answer.Addresses
}

// Large bodies must not be sent through instances of low bandwidth, and clients of a region without instances get all of the others.
func TestLookUpReturnsHighBandwidthInstances(t *testing.T) {
	c := qt.New(t)
	view := lookUpView(true)
	directory := newDirectory(view)
	c.Assert(lookUp(c, directory, "north"), qt.DeepEquals, []string{"h1", "h2", "h3", "h4"})
	c.Assert(lookUp(c, directory, "south"), qt.HasLen, 7)
	// Instances that may lack the newest configuration are replaced by low-bandwidth ones that have it.
	for n := range 4 {
		view.Live[n].Stale = true
	}
	c.Assert(lookUp(c, directory, "north"), qt.DeepEquals, []string{"l1", "l2", "l3"})
}

// When the high-bandwidth instances don't suffice, all are returned, and operators can see it in the log and the metrics.
func TestLookUpReturnsAllInstancesOfABusyRegion(t *testing.T) {
	c := qt.New(t)
	directory := newDirectory(lookUpView(true))
	var log, metrics strings.Builder
	directory.Logger.SetOutput(&log)
	directory.Utilisation = reports{"h1": 0.7, "h2": 0.7, "h3": 0.7, "h4": 0.7}
	for range 2 {
		c.Assert(lookUp(c, directory, "north"), qt.HasLen, 7)
	}
	c.Assert(strings.Count(log.String(), "look-ups return all instances of the region"), qt.Equals, 1)
	directory.Metrics.Write(&metrics)
	c.Assert(metrics.String(), qt.Contains, "region-utilisation.north")
	c.Assert(metrics.String(), qt.Contains, "look-ups.all")
}

// Deployments without large bodies are answered as if there were no selection.
func TestLookUpWithoutLargeBodiesReturnsAllInstances(t *testing.T) {
	c := qt.New(t)
	view := lookUpView(false)
	plain := &entry.Directory{Source: source{view: view}, KeepFor: time.Second}
	for _, region := range []string{"north", "south"} {
		c.Assert(lookUp(c, newDirectory(view), region), qt.DeepEquals, lookUp(c, plain, region))
		c.Assert(lookUp(c, plain, region), qt.HasLen, 7)
	}
	view.Snapshot = nil
	c.Assert(lookUp(c, newDirectory(view), "north"), qt.HasLen, 7)
}
