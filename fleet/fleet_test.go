package fleet_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/fleet"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/platform/fake"
	"lovageyard.example/lovageyard/quarantine"
	"lovageyard.example/lovageyard/timer"
)

// waitTimeout limits each wait; a wait ends as soon as its condition holds.
const waitTimeout = 60 * time.Second

// network connects the instances of one process, by peer address; those in cut are disconnected.
type network struct {
	mu        sync.Mutex
	instances map[string]*fleet.Control
	cut       map[string]bool
}

// peers is the network as one instance sees it.
type peers struct {
	network *network
	self    string
}

func (p peers) Share(ctx context.Context, address string, r *wire.ShareRequest) (*wire.ShareReply, error) {
	p.network.mu.Lock()
	target := p.network.instances[address]
	cut := p.network.cut[address] || p.network.cut[p.self]
	p.network.mu.Unlock()
	if cut || target == nil {
		return nil, errors.New("cut off")
	}
	return target.Share(ctx, r)
}

// ignoringObserver ignores all views.
type ignoringObserver struct{}

func (ignoringObserver) SetCatalog(*catalog.Snapshot, time.Time) {}
func (ignoringObserver) SetInstances([]string, time.Time)        {}

// group is a fleet with one fake store, by default in one failure domain.
type group struct {
	c       *qt.C
	store   *fake.Store
	address string
	network *network
	clients map[string]*platform.Store
	// domains maps the names of instances that are not in north-1 to their failure domains.
	domains map[string]string
}

func newGroup(t *testing.T) *group {
	g := &group{
		c: qt.New(t), store: fake.NewStore(), clients: make(map[string]*platform.Store),
		network: &network{instances: make(map[string]*fleet.Control), cut: make(map[string]bool)},
	}
	server := httptest.NewServer(g.store)
	g.address = server.Listener.Addr().String()
	g.c.Cleanup(func() {
		g.store.Close()
		server.CloseClientConnections()
		server.Close()
	})
	g.store.PutConfiguration(lovageyard.Configuration{
		Version:  1,
		Services: map[string]lovageyard.Service{"desk": {Name: "desk"}},
		Routes: []lovageyard.Route{{
			Name: "r", Host: "a.example", Prefix: "/", Attempts: 1, Parts: []lovageyard.ServiceWeight{{Service: "desk"}},
		}},
	})
	return g
}

// silentFeed is a platform that never answers.
type silentFeed struct{}

func (silentFeed) Rows(ctx context.Context, _ string) (lovageyard.Changes, error) {
	<-ctx.Done()
	return lovageyard.Changes{}, ctx.Err()
}

func (f silentFeed) Watch(ctx context.Context, table string, _ lovageyard.Position, _ time.Duration) (lovageyard.Changes, error) {
	return f.Rows(ctx, table)
}

// start starts an instance; address is that of the store, or one at which nothing listens.
func (g *group) start(name string, incarnation int64, address string, seeds ...string) *fleet.Control {
	client := platform.NewStore(address, discardLogger())
	return g.startOn(name, incarnation, client, client, seeds...)
}

func discardLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// startOn starts an instance with a feed and a registrar.
func (g *group) startOn(name string, incarnation int64, feed lovageyard.Feed, registrar fleet.Registrar, seeds ...string) *fleet.Control {
	return g.startWith(g.settings(name, incarnation, feed, registrar, seeds...))
}

// settings returns the settings of an instance on the in-memory network.
func (g *group) settings(name string, incarnation int64, feed lovageyard.Feed, registrar fleet.Registrar, seeds ...string) fleet.Settings {
	return fleet.Settings{
		Self: lovageyard.EntryInstance{
			Name: name, Incarnation: incarnation, FailureDomain: cmp.Or(g.domains[name], "north-1"), Region: "north",
			CallerAddress: name + ":1", PeerAddress: name + ":2", State: lovageyard.StateLive,
		},
		Feed: feed, Registrar: registrar, Decoder: platform.Decoder{}, Peers: peers{network: g.network, self: name + ":2"},
		Observer: ignoringObserver{}, Quarantine: g.quarantine(), Timer: timer.Clock{}, Logger: discardLogger(), Metrics: meter.NewSet(), Seeds: seeds, Seed: uint64(incarnation),
	}
}

// quarantine returns the crash monitor of one instance.
func (g *group) quarantine() *quarantine.Monitor {
	m := quarantine.NewMonitor(quarantine.Settings{Timer: timer.Clock{}, Logger: discardLogger(), Metrics: meter.NewSet()})
	g.c.Cleanup(m.Close)
	return m
}

func (g *group) startWith(s fleet.Settings) *fleet.Control {
	control := fleet.New(s)
	g.network.mu.Lock()
	g.network.instances[s.Self.Name+":2"] = control
	g.network.mu.Unlock()
	control.Start()
	return control
}

func (g *group) stop(name string) {
	g.network.mu.Lock()
	control := g.network.instances[name+":2"]
	delete(g.network.instances, name+":2")
	g.network.mu.Unlock()
	control.Close()
}

func (g *group) until(what string, condition func() bool) {
	g.c.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	g.c.Fatalf("not reached: %s", what)
}

func version(c *fleet.Control) uint64 {
	return c.View().Version()
}

func TestInstancesFindEachOtherAndFollowTheConfiguration(t *testing.T) {
	g := newGroup(t)
	var controls []*fleet.Control
	for i := range 3 {
		name := fmt.Sprint("entry-", i)
		controls = append(controls, g.start(name, 1, g.address))
		defer g.stop(name)
	}
	for _, control := range controls {
		g.until("three live instances", func() bool { return len(control.View().Live) == 3 && control.View().Ready })
	}
	g.store.PutConfiguration(lovageyard.Configuration{Version: 2, Services: map[string]lovageyard.Service{}})
	for _, control := range controls {
		g.until("version 2", func() bool { return version(control) == 2 })
	}
	// A leaving instance is no longer live.
	controls[0].Leave(time.Now())
	for _, control := range controls[1:] {
		g.until("two live instances", func() bool { return len(control.View().Live) == 2 })
	}
	g.c.Assert(controls[0].View().Leaving, qt.IsTrue)
}

// In a region with one failure domain, two of six instances watch the platform for the others.
func TestRelaysWatchThePlatformForOthers(t *testing.T) {
	testRelays(newGroup(t), 2)
}

// In a region with two failure domains, one instance of each watches the platform.
func TestEachFailureDomainOfARegionHasOneRelay(t *testing.T) {
	g := newGroup(t)
	g.domains = map[string]string{"entry-0": "north-2", "entry-1": "north-2", "entry-2": "north-2"}
	testRelays(g, 2)
}

// testRelays starts six instances and waits until at most maxReaders of them read the platform around a change.
func testRelays(g *group, maxReaders int) {
	const count = 6
	feeds := make(map[string]*countingFeed)
	for i := range count {
		name := fmt.Sprint("entry-", i)
		client := platform.NewStore(g.address, discardLogger())
		feeds[name] = &countingFeed{Feed: client}
		g.startOn(name, 1, feeds[name], client)
		defer g.stop(name)
	}
	controls := g.network.instances
	g.until("all live", func() bool {
		for _, control := range controls {
			if len(control.View().Live) != count || !control.View().Ready {
				return false
			}
		}
		return true
	})
	// Instances that are not relays stop watching when their pending watch returns; a change makes all
	// watches return.
	next := uint64(2)
	change := func() int {
		before := make(map[string]int64)
		for name, feed := range feeds {
			before[name] = feed.calls.Load()
		}
		g.store.PutConfiguration(lovageyard.Configuration{Version: next})
		for _, control := range controls {
			g.until("the change", func() bool { return version(control) == next })
		}
		next++
		// Longer than the pause between two watches, so that all instances that watch have called again.
		time.Sleep(1500 * time.Millisecond)
		readers := 0
		for name, feed := range feeds {
			if feed.calls.Load() > before[name] {
				readers++
			}
		}
		return readers
	}
	g.until("few readers of a change", func() bool {
		readers := change()
		return readers <= maxReaders
	})
}

// An instance that can't reach the platform becomes ready with the rows of its peers.
func TestInstanceWithoutPlatformStartsFromItsPeers(t *testing.T) {
	g := newGroup(t)
	g.start("entry-0", 1, g.address)
	defer g.stop("entry-0")
	cutOff := g.start("entry-1", 1, "127.0.0.1:1", "entry-0:2")
	defer g.stop("entry-1")
	g.until("ready from peers", func() bool { return cutOff.View().Ready && version(cutOff) == 1 })
	g.store.Drain("north-9")
	g.until("the drain from peers", func() bool { return cutOff.View().Drained["north-9"] })
}

// An instance does not wait for a call to a platform that never answers.
func TestInstanceWithSilentPlatformStartsFromItsPeers(t *testing.T) {
	g := newGroup(t)
	g.start("entry-0", 1, g.address)
	defer g.stop("entry-0")
	client := platform.NewStore("127.0.0.1:1", discardLogger())
	restarted := g.startOn("entry-1", 1, silentFeed{}, client, "entry-0:2")
	defer g.stop("entry-1")
	g.until("ready from peers", func() bool { return restarted.View().Ready && version(restarted) == 1 })
}

// The wall clock may step back between two incarnations of an instance.
func TestInstanceThatRestartsWithAnOlderClockIsLive(t *testing.T) {
	g := newGroup(t)
	other := g.start("entry-0", 1, g.address)
	defer g.stop("entry-0")
	first := g.start("entry-1", 1000, g.address)
	g.until("both live", func() bool { return len(other.View().Live) == 2 })
	first.Leave(time.Now())
	g.until("one live", func() bool { return len(other.View().Live) == 1 })
	g.stop("entry-1")
	g.start("entry-1", 500, g.address)
	defer g.stop("entry-1")
	g.until("both live again", func() bool { return len(other.View().Live) == 2 })
}

func TestLostHistoryIsReadAgain(t *testing.T) {
	g := newGroup(t)
	control := g.start("entry-0", 1, g.address)
	defer g.stop("entry-0")
	g.store.PutServer(lovageyard.BackendServer{Name: "i-1", Service: "desk", Address: "127.0.0.1:9", Slots: 4, State: lovageyard.StateLive})
	g.until("the server", func() bool { return len(control.View().Servers) == 1 })
	g.store.SetFaults(fake.StoreFaults{Status: 503})
	g.store.Drain("north-9")
	g.store.DropHistory()
	g.store.SetFaults(fake.StoreFaults{})
	g.until("the drain", func() bool { return control.View().Drained["north-9"] })
	g.c.Assert(control.View().Servers, qt.HasLen, 1)
}

// An invalid entry in the servers' table must affect no other server, whether an instance reads the table
// from the platform or receives it from a peer.
func TestInvalidEntryDoesNotAffectOtherServers(t *testing.T) {
	g := newGroup(t)
	first := g.start("entry-0", 1, g.address)
	defer g.stop("entry-0")
	// entry-1 can't reach the platform.
	second := g.start("entry-1", 1, "127.0.0.1:1", "entry-0:2")
	defer g.stop("entry-1")
	server := func(name string, slots int) lovageyard.BackendServer {
		return lovageyard.BackendServer{
			Name: name, Service: "desk", FailureDomain: "north-1", Address: "127.0.0.1:9", Slots: slots, Incarnation: 5, State: lovageyard.StateLive,
		}
	}
	untilServers := func(what string, want ...string) {
		for _, control := range []*fleet.Control{first, second} {
			g.until(what, func() bool {
				var names []string
				for _, s := range control.View().Servers {
					names = append(names, s.Name)
				}
				return slices.Equal(names, want)
			})
		}
	}
	g.store.PutServer(server("i-1", 4))
	g.store.PutServer(server("i-2", 4))
	untilServers("both", "i-1", "i-2")
	reads := g.store.PageReads()
	g.store.Put("servers", "i-1", []any{"not an entry"})
	untilServers("without the undecodable entry", "i-2")
	g.store.PutServer(server("i-3", 4))
	untilServers("one more", "i-2", "i-3")
	g.store.PutServer(server("i-1", 4))
	untilServers("all", "i-1", "i-2", "i-3")
	g.store.PutServer(server("i-2", -4))
	untilServers("without the one with slots below 0", "i-1", "i-3")
	// No table was listed again.
	g.c.Assert(g.store.PageReads(), qt.Equals, reads)
}

// The age of a change must be measured also at an instance that receives the change from a peer.
func TestAgeOfChangesIsMeasured(t *testing.T) {
	g := newGroup(t)
	first := g.settings("entry-0", 1, platform.NewStore(g.address, discardLogger()), platform.NewStore(g.address, discardLogger()))
	unreachable := platform.NewStore("127.0.0.1:1", discardLogger())
	second := g.settings("entry-1", 1, unreachable, unreachable, "entry-0:2")
	for _, s := range []fleet.Settings{first, second} {
		control := g.startWith(s)
		defer g.stop(s.Self.Name)
		g.until("readiness", func() bool { return control.View().Ready })
	}
	g.store.Drain("north-9")
	for _, s := range []fleet.Settings{first, second} {
		g.until("the age of a change at "+s.Self.Name, func() bool {
			var text strings.Builder
			s.Metrics.Write(&text)
			_, counts, found := strings.Cut(text.String(), "histogram change-age.orders\n")
			return found && !strings.Contains(strings.SplitN(counts, "\n", 2)[0], " 0")
		})
	}
}
