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

// testStep is how far the fake time goes at once, and maxSteps bounds every wait.
const (
	testStep = 100 * time.Millisecond
	maxSteps = 600
	// maxPolls bounds the wait for the goroutines of one step, in polls.
	maxPolls = 200000
)

// yard is a set of entry instances in one process, on fake time.
type yard struct {
	c     *qt.C
	clock *timer.Manual
	store *memory.Store

	mu       sync.Mutex
	controls map[string]*Control
	cut      map[string]bool
	down     bool
}

func newYard(t *testing.T) *yard {
	y := &yard{
		c:        qt.New(t),
		clock:    timer.NewManual(time.Unix(1000, 0)),
		store:    memory.NewStore(),
		controls: make(map[string]*Control),
		cut:      make(map[string]bool),
	}
	for _, site := range []string{"a1", "a2", "b1"} {
		y.store.SetBackendServer(lovageyard.BackendServer{
			Name: site + "-desk", Service: "desk", Site: site, FailureDomain: site, Region: site[:1],
			Address: site, Slots: 8, State: lovageyard.StateLive,
		})
	}
	t.Cleanup(y.close)
	return y
}

func (y *yard) close() {
	for _, c := range y.controls {
		c.Close()
	}
}

// port is an instance's way to the platform and to its peers.
type port struct {
	*memory.Store
	yard *yard
	name string
}

func (p port) fault() error {
	p.yard.mu.Lock()
	defer p.yard.mu.Unlock()
	if p.yard.down || p.yard.cut[p.name] {
		return errors.New("cut off")
	}
	return nil
}

func (p port) Changes(ctx context.Context, tables []string, after int64) (lovageyard.Changes, error) {
	if err := p.fault(); err != nil {
		return lovageyard.Changes{}, err
	}
	return p.Store.Changes(ctx, tables, after)
}

func (p port) Transact(ctx context.Context, t lovageyard.Transaction) (int64, error) {
	if err := p.fault(); err != nil {
		return 0, err
	}
	return p.Store.Transact(ctx, t)
}

func (p port) Get(ctx context.Context, name string) (lovageyard.Object, error) {
	if err := p.fault(); err != nil {
		return lovageyard.Object{}, err
	}
	return p.Store.Get(ctx, name)
}

func (p port) Listing(ctx context.Context) (lovageyard.Listing, error) {
	if err := p.fault(); err != nil {
		return lovageyard.Listing{}, err
	}
	return p.Store.Listing(ctx)
}

func (p port) reach(address string) (*Control, error) {
	p.yard.mu.Lock()
	defer p.yard.mu.Unlock()
	peer := p.yard.controls[address]
	if peer == nil || p.yard.cut[p.name] || p.yard.cut[address] {
		return nil, errors.New("no route to " + address)
	}
	return peer, nil
}

func (p port) Exchange(ctx context.Context, address string, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	peer, err := p.reach(address)
	if err != nil {
		return nil, err
	}
	return peer.Exchange(ctx, r)
}

func (p port) Report(ctx context.Context, address string, r *wire.DemandReport) error {
	peer, err := p.reach(address)
	if err != nil {
		return err
	}
	_, err = peer.Report(ctx, r)
	return err
}

func (p port) Stream(*http.Request, lovageyard.BackendServer) (*http.Response, error) {
	return nil, errors.New("no traffic in these tests")
}

func (p port) Probe(context.Context, lovageyard.BackendServer) (lovageyard.LoadReport, error) {
	return lovageyard.LoadReport{Slots: 8}, p.fault()
}

func (p port) Record(lovageyard.Decision) {}

// start runs an instance; its name is its address, and its failure domain the name's start.
func (y *yard) start(name string, life int64) *Control {
	self := lovageyard.EntryInstance{
		Name: name, Incarnation: life, FailureDomain: name[:2], Region: name[:1],
		PeerAddress: name, CallerAddress: name, State: lovageyard.StateLive,
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	p := port{Store: y.store, yard: y, name: name}
	c := New(Settings{
		Self: self, Table: p, Objects: p, Instances: p, Backend: p, Peers: p, Timer: y.clock, Recorder: p,
		Logger: logger, Metrics: metrics.NewRegistry(), KeepFor: time.Second, Headroom: 0.2,
		SeedPeers:     []string{"a1-1", "a1-2"},
		Pool:          server.Settings{Mode: server.Shared, QueuePerSlot: 1},
		Latencies:     placement.Latencies{SameRegion: time.Millisecond, OtherRegion: 10 * time.Millisecond},
		LeaseDuration: 6 * time.Second, Seed: uint64(life),
	})
	y.mu.Lock()
	y.controls[name] = c
	y.mu.Unlock()
	y.store.SetEntryInstance(self)
	c.Start()
	return c
}

func (y *yard) kill(name string) {
	y.mu.Lock()
	c := y.controls[name]
	delete(y.controls, name)
	y.mu.Unlock()
	c.Close()
}

func (y *yard) set(fault func()) {
	y.mu.Lock()
	defer y.mu.Unlock()
	fault()
}

func (y *yard) put(name string, limit float64) {
	value, err := json.Marshal(lovageyard.Class{
		Name: name, Service: "desk", Match: []lovageyard.Match{{PathPrefix: "/"}},
		Deadline: lovageyard.Duration(time.Second),
		Target:   lovageyard.Target{Cap: limit, Interval: lovageyard.Duration(time.Second)},
	})
	y.c.Assert(err, qt.IsNil)
	y.write(lovageyard.Write{Table: lovageyard.TableClasses, Key: name, Value: value})
}

func (y *yard) write(w lovageyard.Write) {
	ctx := context.Background()
	row, _ := y.store.Read(ctx, w.Table, w.Key)
	_, err := y.store.Transact(ctx, lovageyard.Transaction{
		Conditions: []lovageyard.Condition{{Table: w.Table, Key: w.Key, Version: row.Version}},
		Writes:     []lovageyard.Write{w},
	})
	y.c.Assert(err, qt.IsNil)
}

// until moves the time on until a condition holds, and returns how much time passed.
func (y *yard) until(what string, holds func() bool) time.Duration {
	for n := range maxSteps {
		if holds() {
			return time.Duration(n) * testStep
		}
		y.clock.Advance(testStep)
		y.settle()
	}
	y.c.Fatalf("%s did not come about in %s", what, maxSteps*testStep)
	return 0
}

// settle waits until every instance has worked off what the fake time made due.
func (y *yard) settle() {
	for _, c := range y.running() {
		for n := 0; !c.settled(y.clock.Now()); n++ {
			if n > maxPolls {
				y.c.Fatalf("%s does not settle", c.self.Name)
			}
			time.Sleep(50 * time.Microsecond)
		}
	}
}

func (y *yard) running() []*Control {
	y.mu.Lock()
	defer y.mu.Unlock()
	var list []*Control
	for _, c := range y.controls {
		list = append(list, c)
	}
	return list
}

func (c *Control) settled(now time.Time) bool {
	settled, err := ask(context.Background(), c, func() bool {
		return c.inbox.IsIdle() && c.steppedAt.Equal(now) && now.Sub(c.tickedAt) < tickEvery
	})
	return settled && err == nil
}

func (y *yard) status(name string) operator.Status {
	y.mu.Lock()
	c := y.controls[name]
	y.mu.Unlock()
	s, err := c.Status(context.Background())
	y.c.Assert(err, qt.IsNil)
	return s
}

func (y *yard) placed(class string, names ...string) bool {
	for _, name := range names {
		placed := false
		for _, m := range y.status(name).Moves {
			placed = placed || m.Class == class && m.Step > 0 && m.LocalStep == m.Step
		}
		if !placed {
			return false
		}
	}
	return true
}

func (y *yard) siteOf(name, class, client string) operator.Explanation {
	e, err := y.controls[name].Explain(context.Background(), class, netip.MustParseAddr(client))
	y.c.Assert(err, qt.IsNil)
	return e
}

var everyone = []string{"a1-1", "a1-2", "a1-3", "a2-1", "b1-1"}

func (y *yard) startAll() {
	for _, name := range everyone {
		y.start(name, 1)
	}
}

func TestClassIsPlacedEverywhere(t *testing.T) {
	y := newYard(t)
	y.startAll()
	y.put("lookups", 0.5)
	y.until("placement", func() bool { return y.placed("lookups", everyone...) })
	for _, name := range everyone {
		e := y.siteOf(name, "lookups", "192.0.2.1")
		y.c.Assert(e.Site, qt.Equals, name[:2])
		y.c.Assert(y.controls[name].Snapshot().Directory.Len(), qt.Equals, len(everyone))
	}
}

func TestBlocksReachEveryInstance(t *testing.T) {
	y := newYard(t)
	y.startAll()
	put := func(version int64, body string) int64 {
		accepted, err := y.store.Put(context.Background(), lovageyard.Object{Name: "blocks", Version: version, Body: []byte(body)})
		y.c.Assert(err, qt.IsNil)
		return accepted
	}
	have := func(count int, names ...string) bool {
		for _, name := range names {
			if y.status(name).Blocks != count {
				return false
			}
		}
		return true
	}
	first := put(0, `[{"prefix": "192.0.2.0/24", "failure-domain": "b1"}]`)
	y.until("blocks", func() bool { return have(1, everyone...) })
	put(first, `[{"prefix": "192.0.2.0/24", "failure-domain": "b1"}, {"prefix": "198.51.100.0/24", "failure-domain": "a1"}]`)
	y.until("new blocks", func() bool { return have(2, everyone...) })
	y.set(func() { y.down = true })
	y.kill("a1-3")
	y.start("a1-3", 2)
	y.until("blocks from peers", func() bool { return have(2, "a1-3") })
}

func TestDrainMovesWorkEverywhere(t *testing.T) {
	y := newYard(t)
	y.startAll()
	y.put("lookups", 0.5)
	y.until("placement", func() bool { return y.placed("lookups", everyone...) })
	value, err := json.Marshal(lovageyard.SiteOrder{Site: "a1", Draining: true})
	y.c.Assert(err, qt.IsNil)
	y.write(lovageyard.Write{Table: lovageyard.TableSites, Key: "a1", Value: value})
	y.until("drain", func() bool {
		for _, name := range []string{"a1-1", "a1-2", "a1-3"} {
			if y.siteOf(name, "lookups", "192.0.2.1").Site == "a1" {
				return false
			}
		}
		return true
	})
}

func TestPlatformDown(t *testing.T) {
	y := newYard(t)
	y.startAll()
	y.put("lookups", 0.5)
	y.until("placement", func() bool { return y.placed("lookups", everyone...) })
	version := y.status("a1-1").Version
	y.set(func() { y.down = true })
	y.kill("a1-3")
	y.until("the dead instance leaves look-ups", func() bool {
		return y.controls["a1-1"].Snapshot().Directory.Len() == len(everyone)-1
	})
	// A replacement starts from its peers alone.
	y.start("a1-3", 2)
	y.until("the replacement has the placement", func() bool { return y.placed("lookups", "a1-3") })
	y.c.Assert(y.status("a1-3").Version >= version, qt.IsTrue)
	y.c.Assert(y.siteOf("a1-3", "lookups", "192.0.2.1").Site, qt.Equals, "a1")
	y.c.Assert(y.status("a1-3").Pools, qt.HasLen, 3, qt.Commentf("the list of servers comes from peers too"))
}

func TestCutOffInstanceCatchesUp(t *testing.T) {
	y := newYard(t)
	y.startAll()
	y.put("lookups", 0.5)
	y.until("placement", func() bool { return y.placed("lookups", everyone...) })
	y.set(func() { y.cut["a2-1"] = true })
	before := y.status("a2-1").Version
	y.put("charges", 0.5)
	y.until("placement elsewhere", func() bool { return y.placed("charges", "a1-1", "b1-1") })
	y.c.Assert(y.status("a2-1").Version, qt.Equals, before)
	y.c.Assert(y.siteOf("a2-1", "lookups", "192.0.2.1").Site, qt.Equals, "a2")
	y.set(func() { y.cut["a2-1"] = false })
	took := y.until("catching up", func() bool { return y.placed("charges", "a2-1") })
	y.c.Assert(took <= 16*time.Second, qt.IsTrue, qt.Commentf("took %s", took))
}

func TestRelayKilled(t *testing.T) {
	y := newYard(t)
	y.startAll()
	y.put("lookups", 0.5)
	y.until("placement", func() bool { return y.placed("lookups", everyone...) })
	killed := ""
	for _, name := range []string{"a1-1", "a1-2", "a1-3"} {
		if killed == "" && y.status(name).Relay {
			killed = name
		}
	}
	y.kill(killed)
	y.put("charges", 0.5)
	var rest []string
	for _, name := range everyone {
		if name != killed {
			rest = append(rest, name)
		}
	}
	took := y.until("placement by the rest", func() bool { return y.placed("charges", rest...) })
	y.c.Assert(took <= 16*time.Second, qt.IsTrue, qt.Commentf("took %s", took))
}

func TestLeave(t *testing.T) {
	y := newYard(t)
	y.startAll()
	y.put("lookups", 0.5)
	y.until("placement", func() bool { return y.placed("lookups", everyone...) })
	y.controls["a1-2"].Leave()
	took := y.until("leaving look-ups", func() bool {
		for _, name := range everyone {
			if y.controls[name].Snapshot().Directory.Len() != len(everyone)-1 {
				return false
			}
		}
		return true
	})
	y.c.Assert(took <= 5*time.Second, qt.IsTrue, qt.Commentf("took %s", took))
	y.c.Assert(y.controls["a1-2"].Snapshot().Leaving, qt.IsTrue)
}

func TestServerLeavingIsKnownInTheDomain(t *testing.T) {
	y := newYard(t)
	y.startAll()
	y.until("listing", func() bool { return len(y.status("a1-1").Pools) == 3 && len(y.status("a1-2").Pools) == 3 })
	y.controls["a1-1"].ServerLeaving("desk", "a1", "a1-desk")
	took := y.until("no new work", func() bool {
		for _, name := range []string{"a1-1", "a1-2", "a1-3"} {
			if y.status(name).Pools[0].Available != 0 {
				return false
			}
		}
		return true
	})
	y.c.Assert(took <= 3*time.Second, qt.IsTrue, qt.Commentf("took %s", took))
}

// TestSuspectsAreProbedEverywhere checks that no instance suspects a server for ever.
func TestSuspectsAreProbedEverywhere(t *testing.T) {
	y := newYard(t)
	y.startAll()
	y.put("lookups", 0.5)
	y.until("placement", func() bool { return y.placed("lookups", everyone...) })
	for _, name := range everyone {
		y.controls[name].Snapshot().ClassRoute("lookups").Sites[2].Pool.MarkUnreachable("b1-desk")
		y.controls[name].Snapshot().ClassRoute("lookups").Sites[0].Pool.MarkUnreachable(name[:2] + "-desk")
	}
	y.until("probes lift the suspicion", func() bool {
		for _, name := range everyone {
			for _, p := range y.status(name).Pools {
				if p.Available == 0 {
					return false
				}
			}
		}
		return true
	})
}

// TestFailoverUsesTheCapAtRest loses a site while nothing moves, and counts the requests
// that go elsewhere: as many as the cap allows of the present demand, not of an earlier one.
func TestFailoverUsesTheCapAtRest(t *testing.T) {
	y := newYard(t)
	y.startAll()
	y.put("lookups", 0.5)
	y.until("placement", func() bool { return y.placed("lookups", everyone...) })
	c := y.controls["a1-1"]
	place, home := c.Snapshot().Locate(netip.MustParseAddr("192.0.2.1"))
	const rounds, perRound = 150, 20
	forced := 0
	for n := range rounds {
		work := c.Snapshot().ClassRoute("lookups")
		for range perRound {
			work.CountRequest(place, home)
			if n >= rounds/2 && work.Limiter.AllowFailover() {
				forced++
			}
		}
		y.clock.Advance(testStep)
		y.settle()
	}
	asked := rounds / 2 * perRound
	y.c.Assert(forced <= asked/2+1, qt.IsTrue, qt.Commentf("%d of %d", forced, asked))
	y.c.Assert(forced >= asked*2/5, qt.IsTrue, qt.Commentf("%d of %d", forced, asked))
}
