package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/freshness"
	"lovageyard.example/lovageyard/inbox"
	"lovageyard.example/lovageyard/instance"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/peer"
	"lovageyard.example/lovageyard/peer/wire"
)

// Periods and limits of the control loop.
const (
	tickInterval = time.Second
	// suspectTimeout is how long a peer may not have spoken before look-ups stop naming it; operators
	// allow 6 s and more until a dead one is named no more.
	suspectTimeout = 4 * time.Second
	inboxSize      = 256
	// startCheckInterval is the pause after which an instance that has just started asks a peer for
	// the rows that the platform has not given it: the platform answers in about 4 ms, and
	// 60 times as slowly on a bad day. Until it has them, the instance refuses requests.
	startCheckInterval = 250 * time.Millisecond
	// tableRequestInterval is the least pause between such questions: in a large fleet that starts at
	// once the platform may be sending long tables to all, and peers would send them again.
	tableRequestInterval = time.Second
)

// Peers reaches other entry instances.
type Peers interface {
	Share(ctx context.Context, address string, r *wire.ShareRequest) (*wire.ShareReply, error)
}

// Registrar writes the rows of entry instances; see lovageyard.Table.
type Registrar interface {
	Transact(ctx context.Context, t lovageyard.Transaction) (int64, error)
}

// Observer is told of each new view.
type Observer interface {
	SetCatalog(view *catalog.Snapshot, now time.Time)
	SetInstances(names []string, now time.Time)
}

// Settings are what a Control is made of.
type Settings struct {
	Self      lovageyard.EntryInstance
	Feed      lovageyard.Feed
	Registrar Registrar
	Decoder   lovageyard.Decoder
	Peers     Peers
	Observer  Observer
	// Quarantine is what instances tell each other of servers that ended.
	Quarantine Quarantine
	Timer      lovageyard.Timer
	Logger     *logrus.Logger
	Metrics    *meter.Set
	// Seeds are addresses of peers to ask before any other is known.
	Seeds []string
	Seed  uint64
	// MaxConfirmationAge is the age that the knowledge of the configuration should stay well below while there
	// are client accounts; 0 means that its age does not matter.
	MaxConfirmationAge time.Duration
}

// Control runs the control loop of one entry instance.
type Control struct {
	settings Settings
	inbox    *inbox.Inbox[*Control]
	view     atomic.Pointer[catalog.View]
	// watchesPlatform says that this instance watches the platform itself.
	watchesPlatform atomic.Bool
	// isRelay says that others may rely on this instance to watch the platform, and ordersLost that the table of
	// orders can't be read.
	isRelay          atomic.Bool
	ordersUnreadable atomic.Bool
	// startedAt is when this instance started.
	startedAt time.Time
	watches   pendingWatches
	freshness freshness.Tracker

	// All below belongs to the loop's goroutine.
	self    instance.Member
	members *instance.Table
	state   *catalog.State
	random  *rand.Rand
	seeds   []string
	leaving bool
	// shutdownAt is when this instance ends, once it leaves.
	shutdownAt time.Time
	refusing   bool
	dirty      bool
	// tablesRequestedAt is when peers were last asked for whole tables.
	tablesRequestedAt time.Time
	// relays holds the relays that this instance follows, by address.
	relays map[string]*relayState
	// waiters are peers' calls that wait for rows.
	waiters []waiter
	encoder peer.Encoder
	// directIncarnations is the life in which an instance last spoke here itself.
	directIncarnations map[string]int64
	// firstReadAt is when the first instance heard of the newest change of each table.
	firstReadAt map[string]time.Time
	// needsFullValues holds the tables of which a peer's rows needed a base that is not known here.
	needsFullValues map[string]bool
	// failingSince notes since when a table can't be read.
	failingSince map[string]time.Time
	// crashReportPending says that there is news of crashes which could not be told yet; toldAt is when peers were
	// told last, and comparedAt when what is known was compared with a peer's.
	crashReportPending bool
	crashesReportedAt  time.Time
	digestSentAt       time.Time
	// silentSince is when the row of an instance that has never spoken was first seen.
	silentSince map[string]time.Time
	// confirmations are to be taken in once the present rows are in force.
	confirmations confirmations
}

// message is a typed message to the loop.
type message = inbox.Message[*Control]

// New returns a Control that Start sets going.
func New(s Settings) *Control {
	now := s.Timer.Now()
	self := instance.Member{EntryInstance: s.Self}
	c := &Control{
		settings:           s,
		inbox:              inbox.New[*Control](inboxSize),
		startedAt:          now,
		self:               self,
		members:            instance.NewTable(self, now),
		state:              catalog.NewState(s.Decoder),
		random:             rand.New(rand.NewPCG(s.Seed, s.Seed)),
		seeds:              s.Seeds,
		relays:             make(map[string]*relayState),
		directIncarnations: make(map[string]int64),
		firstReadAt:        make(map[string]time.Time),
		needsFullValues:    make(map[string]bool),
		failingSince:       make(map[string]time.Time),
		silentSince:        make(map[string]time.Time),
	}
	c.members.SetSuspectTimeout(suspectTimeout)
	c.watchesPlatform.Store(true)
	c.isRelay.Store(true)
	c.publish()
	return c
}

// Start sets the loop and the watches of the platform's tables going.
func (c *Control) Start() {
	ticks := c.settings.Timer.Subscribe(tickInterval)
	c.inbox.Start(func() { c.run(ticks) })
	for _, table := range lovageyard.FollowedTables() {
		c.inbox.Go(func() { c.followTable(table) })
	}
	c.inbox.Go(c.register)
	c.inbox.Go(c.readQuarantineRows)
}

// Close ends the loop and all calls, and waits for them.
func (c *Control) Close() {
	c.inbox.Close()
}

// View returns the view in force.
func (c *Control) View() *catalog.View {
	return c.view.Load()
}

func (c *Control) run(ticks lovageyard.Ticker) {
	defer ticks.Close()
	starting := c.settings.Timer.Subscribe(startCheckInterval)
	defer starting.Close()
	c.tick(c.settings.Timer.Now())
	for {
		select {
		case now := <-ticks.C():
			c.tick(now)
		case now := <-starting.C():
			if c.hasAllTables() {
				starting.Close()
			} else {
				c.requestTables(now)
			}
		case <-c.settings.Quarantine.Updates():
			c.reportCrashes()
			c.storeQuarantineRows()
		case m := <-c.inbox.Messages():
			m.Apply(c)
		case <-c.inbox.Context().Done():
			return
		}
		if c.dirty {
			c.publish()
			c.answerWaiters(c.settings.Timer.Now())
		}
		c.applyConfirmations()
	}
}

func (c *Control) tick(now time.Time) {
	c.heartbeat(now)
	if c.members.Tick(now) {
		c.dirty = true
	}
	if c.state.Expire(now) {
		c.dirty = true
	}
	c.settings.Quarantine.Tick(now)
	c.forgetRemovedMembers()
	c.gossip()
	c.followRelays()
	c.answerWaiters(now)
	c.removeStaleRows(now)
}

// forgetRemovedMembers drops what is kept of instances that the table of members has forgotten.
func (c *Control) forgetRemovedMembers() {
	maps.DeleteFunc(c.directIncarnations, func(name string, _ int64) bool {
		_, known := c.members.Find(name)
		return !known
	})
}

// heartbeat tells anew that this instance is alive.
func (c *Control) heartbeat(now time.Time) {
	c.self.Heartbeat++
	if behind := c.isBehind(); behind != c.self.Stale {
		c.self.Stale = behind
		c.dirty = true
	}
	c.self.Version = c.state.Cursor(lovageyard.TableOrders)
	c.members.Observe(c.self, now)
}

// publish makes a new view for traffic.
func (c *Control) publish() {
	c.dirty = false
	view := &catalog.View{
		Snapshot:   c.state.Snapshot(),
		Live:       c.members.Live(),
		Ready:      c.state.Ready(),
		Leaving:    c.leaving,
		ShutdownAt: c.shutdownAt,
		Refusing:   c.refusing,
	}
	before := c.view.Swap(view)
	if before != nil {
		c.logChange(before, view)
	}
	c.settings.Observer.SetInstances(c.possibleInstances(view), c.settings.Timer.Now())
	if before == nil || before.Snapshot != view.Snapshot {
		c.settings.Observer.SetCatalog(view.Snapshot, c.settings.Timer.Now())
	}
}

// possibleInstances returns the names of all instances that may be at work, those included that
// this one can't hear: an instance that is cut off must not take more than its share.
func (c *Control) possibleInstances(view *catalog.View) []string {
	found := map[string]bool{c.self.Name: true}
	for _, m := range view.Live {
		found[m.Name] = true
	}
	for name := range view.Instances {
		found[name] = true
	}
	return sortedKeys(found)
}

// logChange writes a line for each change of what this instance believes.
func (c *Control) logChange(before, after *catalog.View) {
	if before.Version() != after.Version() {
		c.settings.Logger.WithFields(logrus.Fields{
			"version":  after.Version(),
			"previous": before.Version(),
			"routes":   len(after.Configuration.Routes),
		}).Info("configuration in force")
	}
	if len(before.Drained) != len(after.Drained) {
		c.settings.Logger.WithField("failure-domains", sortedKeys(after.Drained)).Info("drained failure domains changed")
	}
	// Word of other regions comes late and by chance, and look-ups use it only if the own
	// region has no live instance: their number is enough.
	if joined, left := difference(c.inRegion(before.Live), c.inRegion(after.Live)); len(joined)+len(left) > 0 {
		c.settings.Logger.WithFields(logrus.Fields{
			"live":   len(after.Live),
			"region": c.self.Region,
			"joined": joined,
			"left":   left,
		}).Info("live entry instances changed")
	}
	if before.Ready != after.Ready {
		c.settings.Logger.WithField("ready", after.Ready).Info("readiness changed")
	}
}

// inRegion returns the instances that are in the own region.
func (c *Control) inRegion(instances []lovageyard.EntryInstance) []lovageyard.EntryInstance {
	var own []lovageyard.EntryInstance
	for _, i := range instances {
		if i.Region == c.self.Region {
			own = append(own, i)
		}
	}
	return own
}

// difference returns the names that only the second and only the first list has; both are
// in the order of their names.
func difference(before, after []lovageyard.EntryInstance) (joined, left []string) {
	for len(before)+len(after) > 0 {
		switch {
		case len(before) == 0 || len(after) > 0 && after[0].Name < before[0].Name:
			joined = append(joined, after[0].Name)
			after = after[1:]
		case len(after) == 0 || before[0].Name < after[0].Name:
			left = append(left, before[0].Name)
			before = before[1:]
		default:
			before, after = before[1:], after[1:]
		}
	}
	return joined, left
}

// Leave takes this instance out of look-ups and tells its peers; it goes on serving what it can
// answer before it ends.
func (c *Control) Leave(endsAt time.Time) {
	c.inbox.Post(leave{shutdownAt: endsAt})
}

type leave struct {
	shutdownAt time.Time
}

func (m leave) Apply(c *Control) {
	c.leaving = true
	c.shutdownAt = m.shutdownAt
	c.self.State = lovageyard.StateLeaving
	c.heartbeat(c.settings.Timer.Now())
	c.dirty = true
	c.notifyPeers()
}

// RefuseRequests makes this instance refuse new requests.
func (c *Control) RefuseRequests() {
	c.inbox.Post(refuse{})
}

type refuse struct{}

func (refuse) Apply(c *Control) {
	c.refusing = true
	c.dirty = true
}

// SetSeeds changes the peers to ask before any other is known.
func (c *Control) SetSeeds(addresses []string) {
	c.inbox.Post(seeds(addresses))
}

type seeds []string

func (m seeds) Apply(c *Control) {
	c.seeds = m
}

// register writes this instance's row, so that new instances find it, unless an earlier
// life of it has left the same row.
func (c *Control) register() {
	self := c.settings.Self
	// A row outlives the life that wrote it.
	self.Incarnation = 0
	value, err := json.Marshal(self)
	if err != nil {
		c.settings.Logger.WithError(err).Error("this instance can't be registered")
		return
	}
	write := lovageyard.Write{Table: lovageyard.TableInstances, Key: self.Name, Value: value}
	for attempt := 0; c.inbox.Context().Err() == nil; attempt++ {
		view := c.View()
		if view.Cursors[lovageyard.TableInstances] == 0 {
			c.sleep(relayCheckInterval)
			continue
		}
		if view.Instances[self.Name] == self {
			return
		}
		// A write of which the outcome is not known may be made again.
		c.settings.Metrics.Count(meter.PlatformWrites)
		_, err := c.settings.Registrar.Transact(c.inbox.Context(), lovageyard.Transaction{Writes: []lovageyard.Write{write}})
		if err == nil {
			return
		}
		if attempt == 0 {
			c.settings.Logger.WithError(err).Warn("this instance is not registered yet")
		}
		c.sleep(registerRetryInterval)
	}
}

// sleep waits for a span, or less if the loop ends.
func (c *Control) sleep(d time.Duration) {
	after := c.settings.Timer.After(d)
	defer after.Close()
	select {
	case <-after.C():
	case <-c.inbox.Context().Done():
	}
}

func isConflict(err error) bool {
	var conflict *lovageyard.ConflictError
	return errors.As(err, &conflict)
}

// sortedKeys returns the members of a set in order.
func sortedKeys(set map[string]bool) []string {
	return slices.Sorted(maps.Keys(set))
}
