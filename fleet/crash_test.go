package fleet_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/fleet"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/quarantine"
)

// crashServer makes a monitor record the crash of a server at which a request was in flight.
func crashServer(m *quarantine.Monitor, server string, request uint64) {
	s := lovageyard.BackendServer{Name: server, Service: "desk"}
	m.RecordLoss(s, request, time.Now())
	m.RecordCrash(s)
}

// Each of three instances observes one server crash with the same request. All instances must quarantine
// the request, including one that starts later, and must learn that another request was answered.
func TestCrashReportsReachAllInstances(t *testing.T) {
	const count, poison, popular = 14, 1, 2
	g := newGroup(t)
	client := platform.NewStore(g.address, discardLogger())
	var monitors []*quarantine.Monitor
	start := func(n int) {
		s := g.settings(fmt.Sprint("entry-", n), 1, client, client)
		m := quarantine.NewMonitor(quarantine.Settings{Prober: neverExited{}, Timer: s.Timer, Logger: s.Logger, Metrics: s.Metrics})
		s.Quarantine = m
		control := g.startWith(s)
		g.c.Cleanup(func() {
			g.stop(s.Self.Name)
			m.Close()
		})
		monitors = append(monitors, m)
		g.until("readiness", func() bool { return control.View().Ready })
	}
	untilAll := func(what string, condition func(m *quarantine.Monitor) bool) {
		for n, m := range monitors {
			g.until(fmt.Sprintf("%s at instance %d", what, n), func() bool { return condition(m) })
		}
	}
	for n := range count {
		start(n)
	}
	for n := range 3 {
		m := monitors[4*n]
		// The request is retried only after the previous server has crashed.
		g.until("the report of the previous crash", func() bool { return n == 0 || m.Evaluate(poison).Suspect })
		crashServer(m, fmt.Sprint("server-", n), poison)
	}
	for n := range 2 {
		crashServer(monitors[5*n], fmt.Sprint("other-", n), popular)
	}
	untilAll("the poison request is quarantined", func(m *quarantine.Monitor) bool { return m.Evaluate(poison).Quarantined })
	untilAll("the popular request is suspect", func(m *quarantine.Monitor) bool { return m.Evaluate(popular).Suspect })
	// An instance reports an answered request only if it knows of more than one crash.
	untilAll("all crashes are known", func(m *quarantine.Monitor) bool { return m.Digest() == monitors[0].Digest() })
	monitors[7].RecordSuccess(popular)
	untilAll("the popular request is cleared", func(m *quarantine.Monitor) bool { return !m.Evaluate(popular).Suspect })
	start(count)
	untilAll("the poison request is quarantined", func(m *quarantine.Monitor) bool { return m.Evaluate(poison).Quarantined })
	untilAll("the popular request is cleared", func(m *quarantine.Monitor) bool { return !m.Evaluate(popular).Suspect })
	g.until("equal digests", func() bool { return monitors[0].Digest() == monitors[count].Digest() })
}

// neverExited is a prober that never finds that a server has exited.
type neverExited struct{}

func (neverExited) RefusesConnections(context.Context, lovageyard.BackendServer) bool { return false }

// countingPeers counts the bytes of crash reports that instances exchange.
type countingPeers struct {
	fleet.Peers
	bytes *atomic.Int64
}

func (p countingPeers) Share(ctx context.Context, address string, r *wire.ShareRequest) (*wire.ShareReply, error) {
	reply, err := p.Peers.Share(ctx, address, r)
	p.bytes.Add(int64(proto.Size(&wire.ShareRequest{Crashes: r.GetCrashes(), Clearances: r.GetClearances()})))
	p.bytes.Add(int64(proto.Size(&wire.ShareReply{Crashes: reply.GetCrashes(), Clearances: reply.GetClearances()})))
	return reply, err
}

// Guards against sending crash reports too often. Servers crash one after the other, each with three dozen
// requests from several instances. Control traffic is limited to 5 KB a second per instance, so all messages
// about one crash, whose report has 0.5 KB, may take no more than that. They took 30 KB a second when 29
// servers crashed on one day: each exchange, and each lost request, sent all reports of the last three
// seconds.
func TestCrashReportsUseLittleBandwidth(t *testing.T) {
	const count, crashes, requests, maxBytes = 8, 6, 36, 5 << 10
	g := newGroup(t)
	client := platform.NewStore(g.address, discardLogger())
	var bytes atomic.Int64
	var monitors []*quarantine.Monitor
	for n := range count {
		s := g.settings(fmt.Sprint("entry-", n), 1, client, client)
		s.Peers = countingPeers{s.Peers, &bytes}
		m := quarantine.NewMonitor(quarantine.Settings{Prober: neverExited{}, Timer: s.Timer, Logger: s.Logger, Metrics: s.Metrics})
		s.Quarantine = m
		control := g.startWith(s)
		g.c.Cleanup(func() {
			g.stop(s.Self.Name)
			m.Close()
		})
		monitors = append(monitors, m)
		g.until("readiness", func() bool { return control.View().Ready })
	}
	for crash := range crashes {
		for r := range requests {
			crashServer(monitors[r%count], fmt.Sprint("server-", crash), uint64(1000*crash+r+1))
		}
		time.Sleep(300 * time.Millisecond)
	}
	for n, m := range monitors {
		g.until(fmt.Sprint("all crashes are known at ", n), func() bool { return m.Digest() == monitors[0].Digest() && len(m.Report().Crashes) == crashes })
	}
	perCrash := bytes.Load() / count / crashes
	t.Logf("%d bytes per instance and crash", perCrash)
	g.c.Assert(perCrash <= maxBytes, qt.IsTrue, qt.Commentf("%d bytes per instance and crash", perCrash))
}
