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

// crashServer lets an instance see a server end under a request.
func crashServer(w *quarantine.Monitor, server string, request uint64) {
	s := lovageyard.BackendServer{Name: server, Service: "desk"}
	w.RecordLoss(s, request, time.Now())
	w.RecordCrash(s)
}

// Each of three instances sees one server end under a request. All of a fleet learn that it is held, one
// that starts later too, and that another one was answered well.
func TestCrashReportsReachAllInstances(t *testing.T) {
	const count, deadly, popular = 14, 1, 2
	g := newGroup(t)
	client := platform.NewStore(g.address, discardLogger())
	var watches []*quarantine.Monitor
	start := func(n int) {
		s := g.settings(fmt.Sprint("entry-", n), 1, client, client)
		w := quarantine.NewMonitor(quarantine.Settings{Prober: neverExited{}, Timer: s.Timer, Logger: s.Logger, Metrics: s.Metrics})
		s.Quarantine = w
		control := g.startWith(s)
		g.c.Cleanup(func() {
			g.stop(s.Self.Name)
			w.Close()
		})
		watches = append(watches, w)
		g.until("readiness", func() bool { return control.View().Ready })
	}
	untilAll := func(what string, holds func(w *quarantine.Monitor) bool) {
		for n, w := range watches {
			g.until(fmt.Sprintf("%s at instance %d", what, n), func() bool { return holds(w) })
		}
	}
	for n := range count {
		start(n)
	}
	for n := range 3 {
		w := watches[4*n]
		// It is sent on only once the server before has ended.
		g.until("word of the end before", func() bool { return n == 0 || w.Evaluate(deadly).Suspect })
		crashServer(w, fmt.Sprint("server-", n), deadly)
	}
	for n := range 2 {
		crashServer(watches[5*n], fmt.Sprint("other-", n), popular)
	}
	untilAll("the deadly request is held", func(w *quarantine.Monitor) bool { return w.Evaluate(deadly).Quarantined })
	untilAll("the popular request is suspect", func(w *quarantine.Monitor) bool { return w.Evaluate(popular).Suspect })
	// An answer is told only by an instance that knows of more than one end.
	untilAll("all ends are known", func(w *quarantine.Monitor) bool { return w.Digest() == watches[0].Digest() })
	watches[7].RecordSuccess(popular)
	untilAll("the popular request is cleared", func(w *quarantine.Monitor) bool { return !w.Evaluate(popular).Suspect })
	start(count)
	untilAll("the deadly request is held", func(w *quarantine.Monitor) bool { return w.Evaluate(deadly).Quarantined })
	untilAll("the popular request is cleared", func(w *quarantine.Monitor) bool { return !w.Evaluate(popular).Suspect })
	g.until("all know the same", func() bool { return watches[0].Digest() == watches[count].Digest() })
}

// neverExited finds out nothing of servers.
type neverExited struct{}

func (neverExited) RefusesConnections(context.Context, lovageyard.BackendServer) bool { return false }

// countingPeers counts the bytes of what instances tell each other of ends.
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

// Servers end one after the other, each with three dozen requests that several instances had sent there. An
// instance is to spend 5 KB a second on control: word of one end, of 0.5 KB, may take no more than that.
// It took 30 KB a second on a day on which 29 servers ended, as all news of three seconds was sent with
// each exchange, and again for each request that fell.
func TestCrashReportsUseLittleBandwidth(t *testing.T) {
	const count, ends, requests, most = 8, 6, 36, 5 << 10
	g := newGroup(t)
	client := platform.NewStore(g.address, discardLogger())
	var bytes atomic.Int64
	var watches []*quarantine.Monitor
	for n := range count {
		s := g.settings(fmt.Sprint("entry-", n), 1, client, client)
		s.Peers = countingPeers{s.Peers, &bytes}
		w := quarantine.NewMonitor(quarantine.Settings{Prober: neverExited{}, Timer: s.Timer, Logger: s.Logger, Metrics: s.Metrics})
		s.Quarantine = w
		control := g.startWith(s)
		g.c.Cleanup(func() {
			g.stop(s.Self.Name)
			w.Close()
		})
		watches = append(watches, w)
		g.until("readiness", func() bool { return control.View().Ready })
	}
	for end := range ends {
		for r := range requests {
			crashServer(watches[r%count], fmt.Sprint("server-", end), uint64(1000*end+r+1))
		}
		time.Sleep(300 * time.Millisecond)
	}
	for n, w := range watches {
		g.until(fmt.Sprint("all is known at ", n), func() bool { return w.Digest() == watches[0].Digest() && len(w.Report().Crashes) == ends })
	}
	each := bytes.Load() / count / ends
	t.Logf("%d bytes an instance and end", each)
	g.c.Assert(each <= most, qt.IsTrue, qt.Commentf("%d bytes an instance and end", each))
}
