package fleet

import (
	"context"
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

// Intervals and limits of the control loop.
const (
	tickInterval = time.Second
	// suspectTimeout is the time without a heartbeat after which a peer is left out of look-ups;
	// operators allow at least 6 s until a crashed instance is no longer returned.
	suspectTimeout = 4 * time.Second
	inboxSize      = 256
	// startCheckInterval is how often an instance that has just started checks whether it has all
	// tables, and requests missing ones from peers. The platform answers in about 4 ms, and up to 60
	// times as slowly under load; the instance refuses requests until it has all tables.
	startCheckInterval = 250 * time.Millisecond
	// tableRequestInterval is the minimum interval between such requests: when a large fleet starts, the
	// platform may be sending long tables to all instances, and peers would send them a second time.
	tableRequestInterval = time.Second
)

// Peers calls other entry instances; see peer.Client.
type Peers interface {
	Share(ctx context.Context, address string, r *wire.ShareRequest) (*wire.ShareReply, error)
}

// Registrar writes the rows of entry instances; see lovageyard.Table.
type Registrar interface {
	Transact(ctx context.Context, t lovageyard.Transaction) (int64, error)
}

// Observer is notified of each new view, from the goroutine of the loop. SetInstances gets the names of
// all instances that may be running.
type Observer interface {
	SetCatalog(view *catalog.Snapshot, now time.Time)
	SetInstances(names []string, now time.Time)
}

// Settings holds the dependencies and parameters of a Control.
type Settings struct {
	Self      lovageyard.EntryInstance
	Feed      lovageyard.Feed
	Registrar Registrar
	Decoder   lovageyard.Decoder
	Peers     Peers
	Observer  Observer
	// Quarantine holds the crash reports that instances exchange.
	Quarantine Quarantine
	Timer      lovageyard.Timer
	Logger     *logrus.Logger
	Metrics    *meter.Set
	// Utilisation is measured once per tick; nil means that this instance reports none.
	Utilisation Meter
	// Seeds holds addresses of peers to contact while no other peer is known.
	Seeds []string
	// Seed seeds the random choice of peers.
	Seed uint64
	// MaxConfirmationAge is the limit that ConfirmationAge should stay well below while there are client
	// accounts; 0 means no limit.
	MaxConfirmationAge time.Duration
	// ChangeWithin is the time within which changes of the platform's tables have to be in force, such as the
	// departure of a server; 0 means 2 s.
	ChangeWithin time.Duration
}

// Control runs the control loop of one entry instance.
type Control struct {
	settings Settings
	inbox    *inbox.Inbox[*Control]
	view     atomic.Pointer[catalog.View]
	// utilisation holds the last known utilisation of instances, by name.
	utilisation atomic.Pointer[map[string]float64]
	// watchesPlatform is set while this instance watches the platform itself.
	watchesPlatform atomic.Bool
	// isRelay is set while other instances may rely on this one to watch the platform, and
	// ordersUnreadable while the table of orders can't be read.
	isRelay          atomic.Bool
	ordersUnreadable atomic.Bool
	// isolated is set while this instance reaches no backend server itself.
	isolated atomic.Bool
	// unwatched is set for each table that is not being watched, until it has been read again.
	unwatched map[string]*atomic.Bool
	// startedAt is when the Control was created.
	startedAt time.Time
	watches   pendingWatches
	freshness freshness.Tracker
	contacts  contacts

	// The fields below belong to the loop's goroutine.
	self    instance.Member
	members *instance.Table
	state   *catalog.State
	random  *rand.Rand
	seeds   []string
	leaving bool
	// shutdownAt is when this instance exits, if it is leaving.
	shutdownAt time.Time
	refusing   bool
	// dirty is set if the state has changed since the view was published.
	dirty bool
	// rowSource is where the rows that were applied last came from, for the log.
	rowSource string
	// tablesRequestedAt is when whole tables were last requested from peers.
	tablesRequestedAt time.Time
	// relays holds the relays that this instance follows, by address.
	relays map[string]*relayState
	// waiters holds the calls of peers that wait for rows.
	waiters []waiter
	encoder peer.Encoder
	// directIncarnations holds the incarnation from which the last direct message of each instance came.
	directIncarnations map[string]int64
	// firstReadAt is when the first instance read the newest change of each table from the platform.
	firstReadAt map[string]time.Time
	// needsFullValues holds the tables for which a peer sent a delta from an unknown base.
	needsFullValues map[string]bool
	// failingSince holds, for each table that can't be read, the time of the first failed read.
	failingSince map[string]time.Time
	// historyLost holds the tables whose last watch was refused and which have not been listed since.
	historyLost map[string]bool
	// crashReportPending is set if there are crashes to report after the pause that follows a report.
	// crashesReportedAt is when crashes were last reported, and digestSentAt when a digest was last sent.
	crashReportPending bool
	crashesReportedAt  time.Time
	digestSentAt       time.Time
	// silentSince is when this instance first found that the row's instance was not a member, by row key.
	silentSince map[string]time.Time
	// settled is set once the rows can be relied on after the start; settleAt is when they can at the latest,
	// and restoreNoticedAt when this incarnation noticed a restore of the platform's store, as
	// lovageyard.Timer's elapsed time.
	settled          bool
	settleAt         time.Time
	restoreNoticedAt time.Duration
	// registeredAt is when this instance's row was last written, and registerFailed is set if the last
	// attempt to write it has failed.
	registeredAt   time.Time
	registerFailed bool
	// lostInstances holds the instances whose rows the platform's store has lost, and until when they count
	// as instances that may be running.
	lostInstances map[string]time.Time
	// quarantined holds the requests whose rows this instance has written or is writing.
	quarantined []uint64
	// confirmations holds confirmations until the rows read before them are in force.
	confirmations confirmations
}

// message is a message to the loop's goroutine.
type message = inbox.Message[*Control]

// New returns a Control; Start starts its loop.
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
		unwatched:          make(map[string]*atomic.Bool),
		directIncarnations: make(map[string]int64),
		firstReadAt:        make(map[string]time.Time),
		needsFullValues:    make(map[string]bool),
		failingSince:       make(map[string]time.Time),
		historyLost:        make(map[string]bool),
		silentSince:        make(map[string]time.Time),
		lostInstances:      make(map[string]time.Time),
	}
	for _, table := range lovageyard.FollowedTables() {
		c.unwatched[table] = &atomic.Bool{}
		c.unwatched[table].Store(true)
	}
	c.members.SetSuspectTimeout(suspectTimeout)
	c.utilisation.Store(&map[string]float64{})
	c.watchesPlatform.Store(true)
	c.isRelay.Store(true)
	c.publish()
	return c
}

// Start starts the loop, which registers this instance, and the watches of the platform's tables.
func (c *Control) Start() {
	ticks := c.settings.Timer.Subscribe(tickInterval)
	c.inbox.Start(func() { c.run(ticks) })
	for _, table := range lovageyard.FollowedTables() {
		c.inbox.Go(func() { c.followTable(table) })
	}
	c.inbox.Go(c.readQuarantineRows)
	c.inbox.Go(c.readEra)
}

// Close stops the loop, cancels all calls and waits for them to return.
func (c *Control) Close() {
	c.inbox.Close()
}

// SetIsolated records whether this instance reaches no backend server itself. It is then left out of look-ups
// while there are others. It is safe for concurrent use.
func (c *Control) SetIsolated(isolated bool) {
	c.isolated.Store(isolated)
}

// View returns the current view. It is safe for concurrent use.
func (c *Control) View() *catalog.View {
	return c.view.Load()
}

func (c *Control) run(ticks lovageyard.Ticker) {
	defer ticks.Close()
	startChecks := c.settings.Timer.Subscribe(startCheckInterval)
	defer startChecks.Close()
	c.tick(c.settings.Timer.Now())
	for {
		select {
		case now := <-ticks.C():
			c.tick(now)
		case now := <-startChecks.C():
			if c.hasAllTables() && !c.isSettling() {
				startChecks.Close()
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
		c.applyUpdates()
	}
}

// applyUpdates publishes a changed state, applies what confirms it, and answers the peers that wait for either.
func (c *Control) applyUpdates() {
	changed := c.dirty
	if changed {
		c.publish()
		c.scheduleExpiry()
	}
	if confirmed := c.applyConfirmations(); changed || confirmed {
		c.answerWaiters(c.settings.Timer.Now())
	}
}

func (c *Control) tick(now time.Time) {
	c.measureUtilisation()
	c.heartbeat(now)
	c.publishUtilisation()
	if c.members.Tick(now) {
		c.dirty = true
	}
	c.expire(now)
	if c.expireLostInstances(now) {
		c.dirty = true
	}
	c.checkSettled(now)
	c.settings.Quarantine.Tick(now)
	c.forgetRemovedMembers()
	c.gossip()
	c.followRelays()
	c.checkContact()
	c.answerWaiters(now)
	c.removeStaleRows(now)
	c.register(now)
}

// expire drops what the platform's store has lost and whose grace period is over.
func (c *Control) expire(now time.Time) {
	if c.state.Expire(now) {
		c.rowSource = sourceExpiry
		c.dirty = true
	}
}

// scheduleExpiry expires the next server as soon as its grace period ends: time limits leave no time to wait for a tick.
func (c *Control) scheduleExpiry() {
	at := c.state.NextExpiry()
	if at.IsZero() {
		return
	}
	c.inbox.Call("expire", func(context.Context) message {
		c.sleep(at.Sub(c.settings.Timer.Now()))
		return expiry{}
	})
}

// expiry reports that the grace period of a server has ended.
type expiry struct{}

func (expiry) Apply(c *Control) {
	c.expire(c.settings.Timer.Now())
	c.scheduleExpiry()
}

// forgetRemovedMembers drops the state of instances that the table of members has removed.
func (c *Control) forgetRemovedMembers() {
	maps.DeleteFunc(c.directIncarnations, func(name string, _ int64) bool {
		_, known := c.members.Find(name)
		return !known
	})
}

// heartbeat increments this instance's heartbeat and updates its description of itself.
func (c *Control) heartbeat(now time.Time) {
	c.self.Heartbeat++
	if stale := c.hasStaleConfiguration() || c.isSettling() || c.isolated.Load(); stale != c.self.Stale {
		c.self.Stale = stale
		c.dirty = true
	}
	c.self.Version = c.state.Cursor(lovageyard.TableOrders).Version
	c.members.Observe(c.self, now)
}

// publish stores a new view and notifies the observer.
func (c *Control) publish() {
	c.dirty = false
	view := &catalog.View{
		Snapshot:   c.state.Snapshot(),
		Live:       c.members.Live(),
		Ready:      c.state.Ready() && !c.isSettling(),
		Settling:   c.isSettling(),
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

// possibleInstances returns the names of all instances that may be running, including unreachable ones:
// an instance that is partitioned from the others must not use more than its share of limits.
func (c *Control) possibleInstances(view *catalog.View) []string {
	names := map[string]bool{c.self.Name: true}
	for _, m := range view.Live {
		names[m.Name] = true
	}
	for name := range view.Instances {
		names[name] = true
	}
	for name := range c.lostInstances {
		names[name] = true
	}
	return sortedKeys(names)
}

// inRegion returns the instances in this instance's region.
func (c *Control) inRegion(instances []lovageyard.EntryInstance) []lovageyard.EntryInstance {
	var own []lovageyard.EntryInstance
	for _, i := range instances {
		if i.Region == c.self.Region {
			own = append(own, i)
		}
	}
	return own
}

// Leave removes this instance from look-ups and notifies its peers. The instance continues to serve
// requests that it can answer before shutdownAt.
func (c *Control) Leave(shutdownAt time.Time) {
	c.inbox.Post(leave{shutdownAt: shutdownAt})
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

// RefuseRequests makes this instance refuse all new requests from now on.
func (c *Control) RefuseRequests() {
	c.inbox.Post(refuse{})
}

type refuse struct{}

func (refuse) Apply(c *Control) {
	c.refusing = true
	c.dirty = true
}

// SetSeeds changes the addresses of peers to contact while no other peer is known.
func (c *Control) SetSeeds(addresses []string) {
	c.inbox.Post(seeds(addresses))
}

type seeds []string

func (m seeds) Apply(c *Control) {
	c.seeds = m
}

// sleep waits for a duration or until the loop stops.
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

// sortedKeys returns the elements of a set in ascending order.
func sortedKeys(set map[string]bool) []string {
	return slices.Sorted(maps.Keys(set))
}
