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
	tickEvery = 500 * time.Millisecond
	// stepEvery is how finely the steps of moves are timed.
	stepEvery   = 50 * time.Millisecond
	pollEvery   = 500 * time.Millisecond
	listEvery   = time.Second
	blocksEvery = 10 * time.Second
	planEvery   = time.Second
	// reportEvery is the least period of reports of demand; each class adds reportPerClass,
	// so that many classes cost no more than a few.
	reportEvery    = 2 * time.Second
	reportPerClass = 50 * time.Millisecond
	probeEvery     = 2 * time.Second
	// probeElsewhereEvery is the period of probes of other failure domains' servers.
	probeElsewhereEvery = 10 * time.Second
	// adoptPatience is how long an instance waits for a peer to tell what is applied.
	adoptPatience = 3 * time.Second
	// staleAfter is the time without word from a relay after which an instance reads the platform itself.
	staleAfter = 4 * time.Second
	inboxSize  = 256
)

// Peers reaches other entry instances.
type Peers interface {
	Exchange(ctx context.Context, address string, r *wire.ExchangeRequest) (*wire.ExchangeReply, error)
	Report(ctx context.Context, address string, r *wire.DemandReport) error
}

// Settings are what a Control is made of.
type Settings struct {
	Self      lovageyard.EntryInstance
	Table     lovageyard.Table
	Objects   lovageyard.ObjectStore
	Instances lovageyard.InstanceList
	Backend   lovageyard.Backend
	Peers     Peers
	Timer     lovageyard.Timer
	Recorder  lovageyard.Recorder
	Logger    *logrus.Logger
	Metrics   metrics.Registry
	// SeedPeers are addresses of peers to ask when the platform can't be reached.
	SeedPeers     []string
	KeepFor       time.Duration
	Headroom      float64
	Pool          server.Settings
	Latencies     placement.Latencies
	LeaseDuration time.Duration
	Seed          uint64
}

// Control runs the control loop of one entry instance.
type Control struct {
	settings Settings
	inbox    *inbox.Inbox[*Control]
	snapshot atomic.Pointer[route.Snapshot]

	// All below belongs to the loop's goroutine.
	self    instance.Member
	members *instance.Table
	config  *configuration.State
	blocks  *block.Table
	// blocksZip is the table of blocks as it is passed on, at version blocksVer; newBlocks
	// is the newest version that a peer has told of.
	blocksZip []byte
	blocksVer int64
	newBlocks int64
	listing   lovageyard.Listing
	listedAt  time.Time
	heardAt   time.Time
	index     *class.Index
	works     map[string]*work
	pools     map[poolKey]*pool
	marks     map[poolServer]lovageyard.InstanceState
	reports   map[string]*report
	planners  map[string]*planner
	due       map[string]time.Time
	random    *rand.Rand
	dirty     bool
	// tickedAt and steppedAt are the times of the last ticks that were worked off.
	tickedAt  time.Time
	steppedAt time.Time
}

// message is a typed message to the loop.
type message = inbox.Message[*Control]

// New returns a Control that Start sets going.
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
		works:    make(map[string]*work),
		pools:    make(map[poolKey]*pool),
		marks:    make(map[poolServer]lovageyard.InstanceState),
		reports:  make(map[string]*report),
		planners: make(map[string]*planner),
		due:      make(map[string]time.Time),
		random:   rand.New(rand.NewPCG(s.Seed, s.Seed)),
	}
	c.publish()
	return c
}

// Start sets the loop going.
func (c *Control) Start() {
	ticks := c.settings.Timer.Subscribe(tickEvery)
	steps := c.settings.Timer.Subscribe(stepEvery)
	c.inbox.Start(func() { c.run(ticks, steps) })
}

// Close ends the loop and waits for it and for all calls that it began.
func (c *Control) Close() {
	c.inbox.Close()
}

// Snapshot returns the snapshot in force.
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
			c.stepWorks(now)
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

// every says whether an action of a name is due, and sets when it is due next.
func (c *Control) every(name string, period time.Duration, now time.Time) bool {
	if now.Before(c.due[name]) {
		return false
	}
	c.due[name] = now.Add(period)
	return true
}

func (c *Control) tick(now time.Time) {
	c.tickedAt = now
	c.self.Heartbeat++
	c.self.Version = c.config.Version()
	c.self.Steps = c.steps()
	c.members.Observe(c.self, now)
	if c.members.Tick(now) {
		c.dirty = true
	}
	c.setSharers()
	c.readPlatform(now)
	c.exchange(now)
	c.measure(now)
	c.expirePools(now)
	if c.every("probe", probeEvery, now) {
		c.probe(now)
	}
	if c.every("report", c.reportPeriod(), now) {
		c.sendReport(now)
	}
	if c.isRelay() && c.every("plan", planEvery, now) {
		c.plan(now)
	}
}

func (c *Control) reportPeriod() time.Duration {
	return max(reportEvery, time.Duration(len(c.index.All()))*reportPerClass)
}

// isRelay says whether this instance reads the platform for its failure domain.
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

// Leave makes the instance leave look-ups; it goes on serving.
func (c *Control) Leave() {
	c.inbox.Post(leave{})
}

type leave struct{}

func (leave) Apply(c *Control) {
	c.self.State = lovageyard.StateLeaving
	c.self.Heartbeat++
	now := c.settings.Timer.Now()
	c.members.Observe(c.self, now)
	c.dirty = true
	c.exchangeAll(now)
}
