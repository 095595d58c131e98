package control

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/block"
	"lovageyard.example/lovageyard/class"
	"lovageyard.example/lovageyard/configuration"
	"lovageyard.example/lovageyard/inbox"
	"lovageyard.example/lovageyard/instance"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/placement"
	"lovageyard.example/lovageyard/route"
	"lovageyard.example/lovageyard/server"
)

// Periods of the control loop.
const (
	tickPeriod = 500 * time.Millisecond
	// stepPeriod is the resolution at which the steps of moves are timed.
	stepPeriod   = 50 * time.Millisecond
	pollPeriod   = 500 * time.Millisecond
	listPeriod   = time.Second
	blocksPeriod = 10 * time.Second
	planPeriod   = time.Second
	// minReportPeriod is the shortest period of demand reports. Each class adds reportPerClass,
	// so that the cost of reporting does not grow with the number of classes.
	minReportPeriod = 2 * time.Second
	reportPerClass  = 50 * time.Millisecond
	probePeriod     = 2 * time.Second
	// remoteProbePeriod is the probe period for servers in other failure domains.
	remoteProbePeriod = 10 * time.Second
	// initTimeout is how long an instance waits for a peer to report the applied placement.
	initTimeout = 3 * time.Second
	// relayTimeout is the time without a reply from a relay after which an instance reads the
	// platform itself.
	relayTimeout = 4 * time.Second
	inboxSize    = 256
)

// Peers calls other entry instances. The methods are called concurrently.
type Peers interface {
	Exchange(ctx context.Context, address string, r *wire.ExchangeRequest) (*wire.ExchangeReply, error)
	Report(ctx context.Context, address string, r *wire.DemandReport) error
}

// Settings holds the dependencies and parameters of a Control.
type Settings struct {
	Self  lovageyard.EntryInstance
	Table lovageyard.Table
	// Eras is notified of the era at each read of the platform and each reply of a relay. It may be nil.
	Eras      lovageyard.EraObserver
	Objects   lovageyard.ObjectStore
	Instances lovageyard.InstanceList
	Backend   lovageyard.Backend
	Peers     Peers
	Timer     lovageyard.Timer
	Recorder  lovageyard.Recorder
	Logger    *logrus.Logger
	Metrics   metrics.Registry
	// SeedPeers lists addresses of peers to contact while no configuration or no neighbour is
	// known, so that an instance can start while the platform is unreachable.
	SeedPeers     []string
	LookUpTTL     time.Duration
	Headroom      float64
	Pool          server.Settings
	Latencies     placement.Latencies
	LeaseDuration time.Duration
	Seed          uint64
}

// Control runs the control loop of one entry instance. Its methods are safe for concurrent use.
type Control struct {
	settings Settings
	inbox    *inbox.Inbox[*Control]
	snapshot atomic.Pointer[route.Snapshot]

	// The fields below are accessed only by the loop's goroutine.
	self    instance.Member
	members *instance.Table
	config  *configuration.State
	blocks  *block.Table
	// compressedBlocks is the block table as sent to peers, at blocksVersion;
	// newestBlocksVersion is the newest version that a peer has reported.
	compressedBlocks    []byte
	blocksVersion       int64
	newestBlocksVersion int64
	listing             lovageyard.Listing
	listedAt            time.Time
	relayReplyAt        time.Time
	index               *class.Index
	// The maps are keyed by class, pool, server, reporter, service and action.
	classes  map[string]*classState
	pools    map[poolKey]*pool
	marks    map[poolServer]lovageyard.InstanceState
	reports  map[string]*report
	planners map[string]*planner
	nextDue  map[string]time.Time
	random   *rand.Rand
	// dirty reports that the state has changed since the last snapshot was published.
	dirty bool
	// tickedAt and steppedAt are the times of the last ticks that were processed.
	tickedAt  time.Time
	steppedAt time.Time
}

// message is a message that the loop applies to the Control.
type message = inbox.Message[*Control]

// New returns a Control whose loop is not running yet; call Start to run it.
func New(s Settings) *Control {
	now := s.Timer.Now()
	self := instance.Member{EntryInstance: s.Self}
	self.State = lovageyard.StateLive
	blocks, _ := block.NewTable(nil)
	c := &Control{
		settings: s,
		inbox:    inbox.New[*Control](inboxSize),
		self:     self,
		members:  instance.NewTable(self, now),
		config:   configuration.NewState(),
		blocks:   blocks,
		index:    class.NewIndex(nil),
		classes:  make(map[string]*classState),
		pools:    make(map[poolKey]*pool),
		marks:    make(map[poolServer]lovageyard.InstanceState),
		reports:  make(map[string]*report),
		planners: make(map[string]*planner),
		nextDue:  make(map[string]time.Time),
		random:   rand.New(rand.NewPCG(s.Seed, s.Seed)),
	}
	c.publish()
	return c
}

// Start starts the control loop.
func (c *Control) Start() {
	ticks := c.settings.Timer.Subscribe(tickPeriod)
	steps := c.settings.Timer.Subscribe(stepPeriod)
	c.inbox.Start(func() { c.run(ticks, steps) })
}

// Close stops the loop and waits for it and for all calls that it started.
func (c *Control) Close() {
	c.inbox.Close()
}

// Snapshot returns the current routing snapshot. It is immutable and never nil.
func (c *Control) Snapshot() *route.Snapshot {
	return c.snapshot.Load()
}

func (c *Control) run(ticks, steps lovageyard.Ticker) {
	defer ticks.Close()
	defer steps.Close()
	c.tick(c.settings.Timer.Now())
	for {
		select {
		case now := <-ticks.C():
			c.tick(now)
		case now := <-steps.C():
			c.stepClasses(now)
			c.steppedAt = now
		case m := <-c.inbox.Messages():
			m.Apply(c)
		case <-c.inbox.Context().Done():
			return
		}
		if c.dirty {
			c.publish()
		}
	}
}

// isDue reports whether a named action is due and, if so, schedules it again after period.
func (c *Control) isDue(name string, period time.Duration, now time.Time) bool {
	if now.Before(c.nextDue[name]) {
		return false
	}
	c.nextDue[name] = now.Add(period)
	return true
}

func (c *Control) tick(now time.Time) {
	c.tickedAt = now
	c.self.Heartbeat++
	c.self.Version = c.config.Version()
	c.self.Steps = c.ownSteps()
	c.members.Observe(c.self, now)
	if c.members.Tick(now) {
		c.dirty = true
	}
	c.setPoolInstances()
	c.readPlatform(now)
	c.exchange(now)
	c.measure(now)
	c.expirePools(now)
	if c.isDue("probe", probePeriod, now) {
		c.probe(now)
	}
	if c.isDue("report", c.reportPeriod(), now) {
		c.sendReport(now)
	}
	if c.isRelay() && c.isDue("plan", planPeriod, now) {
		c.plan(now)
	}
}

func (c *Control) reportPeriod() time.Duration {
	return max(minReportPeriod, time.Duration(len(c.index.All()))*reportPerClass)
}

// isRelay reports whether this instance reads the platform on behalf of its failure domain.
func (c *Control) isRelay() bool {
	for _, name := range c.relays() {
		if name == c.self.Name {
			return true
		}
	}
	return false
}

func (c *Control) relays() []string {
	return c.members.Relays(c.self.FailureDomain)
}

// Leave removes the instance from look-ups. It still serves requests.
func (c *Control) Leave() {
	c.inbox.Post(leaveMessage{})
}

type leaveMessage struct{}

func (leaveMessage) Apply(c *Control) {
	c.self.State = lovageyard.StateLeaving
	c.self.Heartbeat++
	now := c.settings.Timer.Now()
	c.members.Observe(c.self, now)
	c.dirty = true
	c.exchangeAll(now)
}
