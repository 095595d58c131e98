package control

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/operator"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/placement"
	"lovageyard.example/lovageyard/platform/memory"
	"lovageyard.example/lovageyard/server"
	"lovageyard.example/lovageyard/timer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testStep is the increment of the fake clock; maxSteps limits every wait.
const (
	testStep = 100 * time.Millisecond
	maxSteps = 600
	// maxPolls limits the number of polls for the goroutines to finish one step.
	maxPolls = 200000
)

// testCluster is a set of entry instances in one process, with a fake clock.
type testCluster struct {
	c     *qt.C
	clock *timer.Manual
	store *memory.Store

	mu             sync.Mutex
	controls       map[string]*Control
	partitioned    map[string]bool
	platformDown   bool
	listsNoServers bool
}

func newTestCluster(t *testing.T) *testCluster {
	cl := &testCluster{
		c:           qt.New(t),
		clock:       timer.NewManual(time.Unix(1000, 0)),
		store:       memory.NewStore(),
		controls:    make(map[string]*Control),
		partitioned: make(map[string]bool),
	}
	for _, site := range []string{"a1", "a2", "b1"} {
		cl.store.SetBackendServer(lovageyard.BackendServer{
			Name: site + "-desk", Service: "desk", Site: site, FailureDomain: site, Region: site[:1],
			Address: site, Slots: 8, State: lovageyard.StateLive,
		})
	}
	t.Cleanup(cl.close)
	return cl
}

func (cl *testCluster) close() {
	for _, c := range cl.controls {
		c.Close()
	}
}

// instancePorts is an instance's connection to the platform and its peers. It fails while the
// instance is partitioned; calls of the platform also fail while that is down.
type instancePorts struct {
	*memory.Store
	cluster *testCluster
	name    string
}

func (p instancePorts) unreachable() error {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	if p.cluster.platformDown || p.cluster.partitioned[p.name] {
		return errors.New("network partition")
	}
	return nil
}

func (p instancePorts) Changes(ctx context.Context, tables []string, after lovageyard.Position) (lovageyard.Changes, error) {
	if err := p.unreachable(); err != nil {
		return lovageyard.Changes{}, err
	}
	return p.Store.Changes(ctx, tables, after)
}

func (p instancePorts) Transact(ctx context.Context, t lovageyard.Transaction) (int64, error) {
	if err := p.unreachable(); err != nil {
		return 0, err
	}
	return p.Store.Transact(ctx, t)
}

func (p instancePorts) Get(ctx context.Context, name string) (lovageyard.Object, error) {
	if err := p.unreachable(); err != nil {
		return lovageyard.Object{}, err
	}
	return p.Store.Get(ctx, name)
}

func (p instancePorts) Listing(ctx context.Context) (lovageyard.Listing, error) {
	if err := p.unreachable(); err != nil {
		return lovageyard.Listing{}, err
	}
	listing, err := p.Store.Listing(ctx)
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	if p.cluster.listsNoServers {
		listing.BackendServers = nil
	}
	return listing, err
}

func (p instancePorts) findPeer(address string) (*Control, error) {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	peer := p.cluster.controls[address]
	if peer == nil || p.cluster.partitioned[p.name] || p.cluster.partitioned[address] {
		return nil, errors.New("no route to " + address)
	}
	return peer, nil
}

func (p instancePorts) Exchange(ctx context.Context, address string, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	peer, err := p.findPeer(address)
	if err != nil {
		return nil, err
	}
	return peer.Exchange(ctx, r)
}

func (p instancePorts) Report(ctx context.Context, address string, r *wire.DemandReport) error {
	peer, err := p.findPeer(address)
	if err != nil {
		return err
	}
	_, err = peer.Report(ctx, r)
	return err
}

func (p instancePorts) Stream(*http.Request, lovageyard.BackendServer, func() bool) (*http.Response, error) {
	return nil, errors.New("no traffic in these tests")
}

func (p instancePorts) Probe(context.Context, lovageyard.BackendServer) (lovageyard.LoadReport, error) {
	return lovageyard.LoadReport{Slots: 8}, p.unreachable()
}

func (p instancePorts) Record(lovageyard.Decision) {}

// start runs an instance. Its name is also its address; the name's first two characters are
// its failure domain, and the first one is its region.
func (cl *testCluster) start(name string, incarnation int64) *Control {
	self := lovageyard.EntryInstance{
		Name: name, Incarnation: incarnation, FailureDomain: name[:2], Region: name[:1],
		PeerAddress: name, CallerAddress: name, State: lovageyard.StateLive,
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	p := instancePorts{Store: cl.store, cluster: cl, name: name}
	c := New(Settings{
		Self: self, Table: p, Objects: p, Instances: p, Backend: p, Peers: p, Timer: cl.clock, Recorder: p,
		Logger: logger, Metrics: metrics.NewRegistry(), LookUpTTL: time.Second, Headroom: 0.2,
		SeedPeers:     []string{"a1-1", "a1-2"},
		Pool:          server.Settings{Mode: server.Shared, QueuePerSlot: 1},
		Latencies:     placement.Latencies{SameRegion: time.Millisecond, OtherRegion: 10 * time.Millisecond},
		LeaseDuration: 6 * time.Second, Seed: uint64(incarnation),
	})
	cl.mu.Lock()
	cl.controls[name] = c
	cl.mu.Unlock()
	cl.store.SetEntryInstance(self)
	c.Start()
	return c
}

func (cl *testCluster) kill(name string) {
	cl.mu.Lock()
	c := cl.controls[name]
	delete(cl.controls, name)
	cl.mu.Unlock()
	c.Close()
}

func (cl *testCluster) withLock(fault func()) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	fault()
}

func (cl *testCluster) putClass(name string, moveCap float64) {
	value, err := json.Marshal(lovageyard.Class{
		Name: name, Service: "desk", Match: []lovageyard.Match{{PathPrefix: "/"}},
		Deadline: lovageyard.Duration(time.Second),
		Target:   lovageyard.Target{Cap: moveCap, Interval: lovageyard.Duration(time.Second)},
	})
	cl.c.Assert(err, qt.IsNil)
	cl.write(lovageyard.Write{Table: lovageyard.TableClasses, Key: name, Value: value})
}

func (cl *testCluster) write(w lovageyard.Write) {
	ctx := context.Background()
	row, _ := cl.store.Read(ctx, w.Table, w.Key)
	_, err := cl.store.Transact(ctx, lovageyard.Transaction{
		Conditions: []lovageyard.Condition{{Table: w.Table, Key: w.Key, Version: row.Version}},
		Writes:     []lovageyard.Write{w},
	})
	cl.c.Assert(err, qt.IsNil)
}

// waitFor advances the clock until a condition holds, and returns the time that passed.
func (cl *testCluster) waitFor(what string, holds func() bool) time.Duration {
	for n := range maxSteps {
		if holds() {
			return time.Duration(n) * testStep
		}
		cl.clock.Advance(testStep)
		cl.settle()
	}
	cl.c.Fatalf("%s: condition not met within %s", what, maxSteps*testStep)
	return 0
}

// settle waits until every instance has processed all ticks up to the current time.
func (cl *testCluster) settle() {
	for _, c := range cl.running() {
		for n := 0; !c.settled(cl.clock.Now()); n++ {
			if n > maxPolls {
				cl.c.Fatalf("%s did not process its ticks", c.self.Name)
			}
			time.Sleep(50 * time.Microsecond)
		}
	}
}

func (cl *testCluster) running() []*Control {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var list []*Control
	for _, c := range cl.controls {
		list = append(list, c)
	}
	return list
}

func (c *Control) settled(now time.Time) bool {
	settled, err := runQuery(context.Background(), c, func() bool {
		return c.inbox.IsIdle() && c.steppedAt.Equal(now) && now.Sub(c.tickedAt) < tickPeriod
	})
	return settled && err == nil
}

func (cl *testCluster) status(name string) operator.Status {
	cl.mu.Lock()
	c := cl.controls[name]
	cl.mu.Unlock()
	s, err := c.Status(context.Background())
	cl.c.Assert(err, qt.IsNil)
	return s
}

func (cl *testCluster) placed(class string, names ...string) bool {
	for _, name := range names {
		placed := false
		for _, m := range cl.status(name).Moves {
			placed = placed || m.Class == class && m.Step > 0 && m.LocalStep == m.Step
		}
		if !placed {
			return false
		}
	}
	return true
}

func (cl *testCluster) explain(name, class, client string) operator.Explanation {
	e, err := cl.controls[name].Explain(context.Background(), class, netip.MustParseAddr(client))
	cl.c.Assert(err, qt.IsNil)
	return e
}

var allInstances = []string{"a1-1", "a1-2", "a1-3", "a2-1", "b1-1"}

func (cl *testCluster) startAll() {
	for _, name := range allInstances {
		cl.start(name, 1)
	}
}

func TestClassIsPlacedEverywhere(t *testing.T) {
	cl := newTestCluster(t)
	cl.startAll()
	cl.putClass("lookups", 0.5)
	cl.waitFor("placement", func() bool { return cl.placed("lookups", allInstances...) })
	for _, name := range allInstances {
		e := cl.explain(name, "lookups", "192.0.2.1")
		cl.c.Assert(e.Site, qt.Equals, name[:2])
		cl.c.Assert(cl.controls[name].Snapshot().Directory.Len(), qt.Equals, len(allInstances))
	}
}

func TestBlocksReachEveryInstance(t *testing.T) {
	cl := newTestCluster(t)
	cl.startAll()
	put := func(version int64, body string) int64 {
		accepted, err := cl.store.Put(context.Background(), lovageyard.Object{Name: "blocks", Version: version, Body: []byte(body)})
		cl.c.Assert(err, qt.IsNil)
		return accepted
	}
	have := func(count int, names ...string) bool {
		for _, name := range names {
			if cl.status(name).Blocks != count {
				return false
			}
		}
		return true
	}
	first := put(0, `[{"prefix": "192.0.2.0/24", "failure-domain": "b1"}]`)
	cl.waitFor("blocks", func() bool { return have(1, allInstances...) })
	put(first, `[{"prefix": "192.0.2.0/24", "failure-domain": "b1"}, {"prefix": "198.51.100.0/24", "failure-domain": "a1"}]`)
	cl.waitFor("new blocks", func() bool { return have(2, allInstances...) })
	cl.withLock(func() { cl.platformDown = true })
	cl.kill("a1-3")
	cl.start("a1-3", 2)
	cl.waitFor("blocks from peers", func() bool { return have(2, "a1-3") })
}

func TestDrainMovesWorkEverywhere(t *testing.T) {
	cl := newTestCluster(t)
	cl.startAll()
	cl.putClass("lookups", 0.5)
	cl.waitFor("placement", func() bool { return cl.placed("lookups", allInstances...) })
	value, err := json.Marshal(lovageyard.SiteOrder{Site: "a1", Draining: true})
	cl.c.Assert(err, qt.IsNil)
	cl.write(lovageyard.Write{Table: lovageyard.TableSites, Key: "a1", Value: value})
	cl.waitFor("drain", func() bool {
		for _, name := range []string{"a1-1", "a1-2", "a1-3"} {
			if cl.explain(name, "lookups", "192.0.2.1").Site == "a1" {
				return false
			}
		}
		return true
	})
}

func TestPlatformDown(t *testing.T) {
	cl := newTestCluster(t)
	cl.startAll()
	cl.putClass("lookups", 0.5)
	cl.waitFor("placement", func() bool { return cl.placed("lookups", allInstances...) })
	version := cl.status("a1-1").Version
	cl.withLock(func() { cl.platformDown = true })
	cl.kill("a1-3")
	cl.waitFor("the stopped instance is removed from look-ups", func() bool {
		return cl.controls["a1-1"].Snapshot().Directory.Len() == len(allInstances)-1
	})
	// A replacement gets its state from its peers while the platform is down.
	cl.start("a1-3", 2)
	cl.waitFor("the replacement has the placement", func() bool { return cl.placed("lookups", "a1-3") })
	cl.c.Assert(cl.status("a1-3").Version >= version, qt.IsTrue)
	cl.c.Assert(cl.explain("a1-3", "lookups", "192.0.2.1").Site, qt.Equals, "a1")
	cl.c.Assert(cl.status("a1-3").Pools, qt.HasLen, 3, qt.Commentf("the listing is also received from peers"))
}

func TestPartitionedInstanceCatchesUp(t *testing.T) {
	cl := newTestCluster(t)
	cl.startAll()
	cl.putClass("lookups", 0.5)
	cl.waitFor("placement", func() bool { return cl.placed("lookups", allInstances...) })
	cl.withLock(func() { cl.partitioned["a2-1"] = true })
	before := cl.status("a2-1").Version
	cl.putClass("charges", 0.5)
	cl.waitFor("placement elsewhere", func() bool { return cl.placed("charges", "a1-1", "b1-1") })
	cl.c.Assert(cl.status("a2-1").Version, qt.Equals, before)
	cl.c.Assert(cl.explain("a2-1", "lookups", "192.0.2.1").Site, qt.Equals, "a2")
	cl.withLock(func() { cl.partitioned["a2-1"] = false })
	took := cl.waitFor("catching up", func() bool { return cl.placed("charges", "a2-1") })
	cl.c.Assert(took <= 16*time.Second, qt.IsTrue, qt.Commentf("took %s", took))
}

func TestClassIsPlacedAfterRelayIsKilled(t *testing.T) {
	cl := newTestCluster(t)
	cl.startAll()
	cl.putClass("lookups", 0.5)
	cl.waitFor("placement", func() bool { return cl.placed("lookups", allInstances...) })
	killed := ""
	for _, name := range []string{"a1-1", "a1-2", "a1-3"} {
		if killed == "" && cl.status(name).Relay {
			killed = name
		}
	}
	cl.kill(killed)
	cl.putClass("charges", 0.5)
	var remaining []string
	for _, name := range allInstances {
		if name != killed {
			remaining = append(remaining, name)
		}
	}
	took := cl.waitFor("placement by the remaining instances", func() bool { return cl.placed("charges", remaining...) })
	cl.c.Assert(took <= 16*time.Second, qt.IsTrue, qt.Commentf("took %s", took))
}

func TestLeavingInstanceIsRemovedFromLookUps(t *testing.T) {
	cl := newTestCluster(t)
	cl.startAll()
	cl.putClass("lookups", 0.5)
	cl.waitFor("placement", func() bool { return cl.placed("lookups", allInstances...) })
	cl.controls["a1-2"].Leave()
	took := cl.waitFor("removal from look-ups", func() bool {
		for _, name := range allInstances {
			if cl.controls[name].Snapshot().Directory.Len() != len(allInstances)-1 {
				return false
			}
		}
		return true
	})
	cl.c.Assert(took <= 5*time.Second, qt.IsTrue, qt.Commentf("took %s", took))
	cl.c.Assert(cl.controls["a1-2"].Snapshot().Leaving, qt.IsTrue)
}

// An empty list of servers is not used, so that it must not make the list in use look fresh.
func TestEmptyListDoesNotRefreshTheAgeOfTheListInUse(t *testing.T) {
	cl := newTestCluster(t)
	cl.startAll()
	cl.waitFor("listing", func() bool { return len(cl.status("a1-1").Pools) == 3 })
	cl.withLock(func() { cl.listsNoServers = true })
	cl.waitFor("an old list", func() bool { return cl.status("a1-1").ListAgeMs >= 3*listPeriod.Milliseconds() })
	cl.c.Assert(cl.status("a1-1").Pools[0].Available, qt.Equals, 1)
	cl.withLock(func() { cl.listsNoServers = false })
	cl.waitFor("a new list", func() bool { return cl.status("a1-1").ListAgeMs < listPeriod.Milliseconds() })
}

func TestServerLeavingIsKnownInTheDomain(t *testing.T) {
	cl := newTestCluster(t)
	cl.startAll()
	cl.waitFor("listing", func() bool { return len(cl.status("a1-1").Pools) == 3 && len(cl.status("a1-2").Pools) == 3 })
	cl.controls["a1-1"].ServerLeaving("desk", "a1", "a1-desk")
	took := cl.waitFor("no available server", func() bool {
		for _, name := range []string{"a1-1", "a1-2", "a1-3"} {
			if cl.status(name).Pools[0].Available != 0 {
				return false
			}
		}
		return true
	})
	cl.c.Assert(took <= 3*time.Second, qt.IsTrue, qt.Commentf("took %s", took))
}

// TestSuspectsAreProbedEverywhere guards against servers that stay suspect permanently: every
// instance probes its suspect servers, also those of other failure domains.
func TestSuspectsAreProbedEverywhere(t *testing.T) {
	cl := newTestCluster(t)
	cl.startAll()
	cl.putClass("lookups", 0.5)
	cl.waitFor("placement", func() bool { return cl.placed("lookups", allInstances...) })
	for _, name := range allInstances {
		cl.controls[name].Snapshot().ClassRoute("lookups").Sites[2].Pool.MarkUnreachable("b1-desk")
		cl.controls[name].Snapshot().ClassRoute("lookups").Sites[0].Pool.MarkUnreachable(name[:2] + "-desk")
	}
	cl.waitFor("probes clear the suspect state", func() bool {
		for _, name := range allInstances {
			for _, p := range cl.status(name).Pools {
				if p.Available == 0 {
					return false
				}
			}
		}
		return true
	})
}

// TestFailoverIsCappedWithoutMove guards against a limiter that is only updated during moves: when a
// site fails without a move in progress, the cap must apply to the current demand.
func TestFailoverIsCappedWithoutMove(t *testing.T) {
	cl := newTestCluster(t)
	cl.startAll()
	cl.putClass("lookups", 0.5)
	cl.waitFor("placement", func() bool { return cl.placed("lookups", allInstances...) })
	c := cl.controls["a1-1"]
	place, home := c.Snapshot().Locate(netip.MustParseAddr("192.0.2.1"))
	const rounds, perRound = 150, 20
	forced := 0
	for n := range rounds {
		classRoute := c.Snapshot().ClassRoute("lookups")
		for range perRound {
			classRoute.CountRequest(place, home)
			if n >= rounds/2 && classRoute.Limiter.AllowFailover() {
				forced++
			}
		}
		cl.clock.Advance(testStep)
		cl.settle()
	}
	total := rounds / 2 * perRound
	cl.c.Assert(forced <= total/2+1, qt.IsTrue, qt.Commentf("%d of %d", forced, total))
	cl.c.Assert(forced >= total*2/5, qt.IsTrue, qt.Commentf("%d of %d", forced, total))
}
