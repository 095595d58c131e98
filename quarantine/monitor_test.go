package quarantine_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/quarantine"
	"lovageyard.example/lovageyard/timer"
)

// fakeProber is a Prober whose servers refuse connections from the given probe on, or never if that is 0.
type fakeProber struct {
	crashAt int64
	probes  atomic.Int64
}

func (p *fakeProber) RefusesConnections(context.Context, lovageyard.BackendServer) bool {
	n := p.probes.Add(1)
	return p.crashAt > 0 && n >= p.crashAt
}

func newMonitor(c *qt.C, p *fakeProber) *quarantine.Monitor {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	m := quarantine.NewMonitor(quarantine.Settings{Prober: p, Timer: timer.Clock{}, Logger: logger, Metrics: meter.NewSet()})
	c.Cleanup(m.Close)
	return m
}

// waitUntil waits until a condition holds.
func waitUntil(c *qt.C, condition string, reached func() bool) {
	for end := time.Now().Add(time.Minute); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// A crashing server may close its connections shortly before its listening port, so that the first probe still
// succeeds.
func TestServerIsProbedAgain(t *testing.T) {
	c := qt.New(t)
	p := &fakeProber{crashAt: 2}
	m := newMonitor(c, p)
	m.RecordLoss(lovageyard.BackendServer{Name: "server"}, poison, time.Now())
	waitUntil(c, "the request is a suspect", func() bool { return m.Evaluate(poison).Suspect })
	<-m.Updates()
}

// A server that is still running is probed only a few times, however many connections it closed at the same
// time.
func TestRunningServerIsProbedAFewTimes(t *testing.T) {
	c := qt.New(t)
	p := &fakeProber{}
	m := newMonitor(c, p)
	for request := range uint64(50) {
		m.RecordLoss(lovageyard.BackendServer{Name: "server"}, request, time.Now())
	}
	waitUntil(c, "two probes", func() bool { return p.probes.Load() == 2 })
	c.Assert(m.Evaluate(poison), qt.Equals, quarantine.Decision{})
}

// Only the observations of this instance count as newly quarantined, not the reports of others.
func TestOnlyLocalObservationsAreNewlyQuarantined(t *testing.T) {
	c := qt.New(t)
	observer, receiver := newMonitor(c, &fakeProber{crashAt: 1}), newMonitor(c, &fakeProber{})
	for _, name := range []string{"1", "2", "3"} {
		server := lovageyard.BackendServer{Name: name}
		time.Sleep(2 * time.Millisecond)
		observer.RecordLoss(server, poison, time.Now())
		observer.RecordCrash(server)
	}
	c.Assert(receiver.Merge(observer.ReportFor(poison)), qt.IsTrue)
	c.Assert(receiver.Evaluate(poison).Quarantined, qt.IsTrue)
	c.Assert(observer.NewlyQuarantined(), qt.DeepEquals, []uint64{poison})
	c.Assert(observer.NewlyQuarantined(), qt.HasLen, 0)
	c.Assert(receiver.NewlyQuarantined(), qt.HasLen, 0)
}
