package fleet_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"lovageyard.example/lovageyard/fleet"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/platform"
)

// fixedUtilisation is a Meter that returns always the same value.
type fixedUtilisation float64

func (u fixedUtilisation) Measure(time.Duration) (float64, bool) { return float64(u), true }

// startMeasuring starts an instance with a utilisation.
func (g *group) startMeasuring(name string, m fleet.Meter, seeds ...string) *fleet.Control {
	client := platform.NewStore(g.address, discardLogger())
	s := g.settings(name, 1, client, client, seeds...)
	s.Utilisation = m
	return g.startWith(s)
}

// Instances that do not know how utilised others are return too few of them in look-ups. An instance of a version
// that reports none must still be a member, and a stopped one keeps its last report while it is live.
func TestUtilisationReachesAllInstances(t *testing.T) {
	g := newGroup(t)
	var controls []*fleet.Control
	for n := range 4 {
		name := fmt.Sprint("entry-", n)
		controls = append(controls, g.startMeasuring(name, fixedUtilisation(0.125*float64(n))))
		if n > 0 {
			defer g.stop(name)
		}
	}
	silent := g.start("entry-4", 1, g.address)
	defer g.stop("entry-4")
	for _, control := range append(controls, silent) {
		g.until("all reports", func() bool { return len(control.Utilisation()) == 4 && len(control.View().Live) == 5 })
		g.c.Assert(control.Utilisation(), qt.DeepEquals, map[string]float64{"entry-0": 0, "entry-1": 0.125, "entry-2": 0.25, "entry-3": 0.375})
	}
	g.stop("entry-0")
	g.until("the loss of an instance", func() bool { return len(silent.View().Live) == 4 })
	g.c.Assert(silent.Utilisation(), qt.HasLen, 4)
}

// An instance of an older version passes on heartbeats without utilisation. They must not erase the last report, unless
// the instance has restarted since.
func TestHeartbeatWithoutUtilisationKeepsTheLastReport(t *testing.T) {
	g := newGroup(t)
	control := g.start("entry-0", 1, g.address)
	defer g.stop("entry-0")
	g.until("ready", func() bool { return control.View().Ready })
	share := func(r *wire.ShareRequest) {
		_, err := control.Share(context.Background(), r)
		g.c.Assert(err, qt.IsNil)
	}
	pulse := func(life, heartbeat int64, utilisation *uint32) *wire.ShareRequest {
		return &wire.ShareRequest{Pulses: []*wire.Pulse{{Instance: "entry-9", Life: life, Heartbeat: heartbeat, Utilisation: utilisation}}}
	}
	untilReported := func(want map[string]float64) {
		g.c.Helper()
		g.until(fmt.Sprint("reports ", want), func() bool { return fmt.Sprint(control.Utilisation()) == fmt.Sprint(want) })
	}
	shareMember := func(name string, utilisation uint32) {
		share(&wire.ShareRequest{From: &wire.Member{
			Instance: name, Life: 1, FailureDomain: "north-1", Region: "north", CallerAddress: name + ":1", PeerAddress: name + ":2",
			State: "live", Heartbeat: 1, Utilisation: proto.Uint32(utilisation),
		}})
	}
	shareMember("entry-9", 700)
	untilReported(map[string]float64{"entry-9": 0.7})
	share(pulse(1, 2, proto.Uint32(800)))
	untilReported(map[string]float64{"entry-9": 0.8})
	// The other instance's report is applied after the heartbeat.
	share(pulse(1, 3, nil))
	shareMember("entry-8", 100)
	untilReported(map[string]float64{"entry-8": 0.1, "entry-9": 0.8})
	share(pulse(2, 1, nil))
	untilReported(map[string]float64{"entry-8": 0.1})
}
