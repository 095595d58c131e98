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

// ports answers probes: a server has ended from the probe of a number on, or never if that is 0.
type ports struct {
	endsAt int64
	probes atomic.Int64
}

func (p *ports) RefusesConnections(context.Context, lovageyard.BackendServer) bool {
	n := p.probes.Add(1)
	return p.endsAt > 0 && n >= p.endsAt
}

func newWatch(c *qt.C, p *ports) *quarantine.Monitor {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	w := quarantine.NewMonitor(quarantine.Settings{Prober: p, Timer: timer.Clock{}, Logger: logger, Metrics: meter.NewSet()})
	c.Cleanup(w.Close)
	return w
}

func until(c *qt.C, what string, holds func() bool) {
	for end := time.Now().Add(time.Minute); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.Fatalf("not reached: %s", what)
		}
	}
}

// A server's connections may be closed a moment before its port is.
func TestServerIsProbedAgain(t *testing.T) {
	c := qt.New(t)
	p := &ports{endsAt: 2}
	w := newWatch(c, p)
	w.RecordLoss(lovageyard.BackendServer{Name: "server"}, deadly, time.Now())
	until(c, "the request is a suspect", func() bool { return w.Evaluate(deadly).Suspect })
	<-w.Updates()
}

// A server that goes on is probed a few times for all the requests that it broke off at once.
func TestServerThatGoesOnIsProbedAFewTimes(t *testing.T) {
	c := qt.New(t)
	p := &ports{}
	w := newWatch(c, p)
	for request := range uint64(50) {
		w.RecordLoss(lovageyard.BackendServer{Name: "server"}, request, time.Now())
	}
	until(c, "two probes", func() bool { return p.probes.Load() == 2 })
	c.Assert(w.Evaluate(deadly), qt.Equals, quarantine.Decision{})
}

// What was there is told only by what this instance saw itself; word of others is not found here.
func TestFoundAreThoseThatWereSeenHere(t *testing.T) {
	c := qt.New(t)
	seen, told := newWatch(c, &ports{endsAt: 1}), newWatch(c, &ports{})
	for _, name := range []string{"1", "2", "3"} {
		server := lovageyard.BackendServer{Name: name}
		time.Sleep(2 * time.Millisecond)
		seen.RecordLoss(server, deadly, time.Now())
		seen.RecordCrash(server)
	}
	c.Assert(told.Merge(seen.ReportFor(deadly)), qt.IsTrue)
	c.Assert(told.Evaluate(deadly).Quarantined, qt.IsTrue)
	c.Assert(seen.NewlyQuarantined(), qt.DeepEquals, []uint64{deadly})
	c.Assert(seen.NewlyQuarantined(), qt.HasLen, 0)
	c.Assert(told.NewlyQuarantined(), qt.HasLen, 0)
}
