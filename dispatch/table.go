package dispatch

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/instance"
)

// Settings are the fixed inputs of a Table.
type Settings struct {
	// Self is the name of this instance, in FailureDomain and Region.
	Self          string
	FailureDomain string
	Region        string
	// Demand is the share of all clients' requests that come from the region, if known.
	DemandShare float64
	Seed        uint64
	Bounds
}

// Request asks for a server.
type Request struct {
	Now   time.Time
	Route *lovageyard.Route
	// Service is the part of the route that the request belongs to.
	Service string
	// Key is the object that the request concerns, or "".
	Key string
	// Deadline is when a server has to be done.
	Deadline time.Time
	// Apart stands in for the object, if it is not 0, so that the request goes its own way.
	HashOverride uint64
	// Rank orders requests under overload; 0 is served first.
	Rank int
	// Regions are the only ones that may run the request; empty means all.
	Regions []string
	// Tried names the servers that earlier attempts went to.
	Tried []string
}

// Choice is the answer to a Request: a server, or a refusal.
type Choice struct {
	Server lovageyard.BackendServer
	// Expected is the estimated time until the answer is there.
	Expected time.Duration
	// Wait is the part of Expected that the request waits for a slot.
	Wait time.Duration
	// Load is the server's believed load, and LoadAge the age of the report behind it.
	Load    float64
	LoadAge time.Duration
	// Reason says why the server was chosen or the request refused.
	Reason string
	// Cause is one of the causes of refusals, or "".
	Cause string
	// Cold says that the server is cold.
	Cold bool
	// Object is a hash of the object that the request concerns, or 0.
	Object uint64
	// Refused says that no server was given.
	Refused bool
	// RetryAfter is when a refused client should come back.
	RetryAfter time.Duration

	server  *server
	service *service
	route   *lovageyard.Route
	work    time.Duration
	sentAt  time.Time
}

// Outcome is what an attempt taught about its server.
type Outcome struct {
	At time.Time
	// Answered says that the server answered at all.
	Answered bool
	// Failed says that the answer was a failure or was not whole, or that none came.
	Failed bool
	// NotRun says that the server refused the request.
	NotRun bool
	// Misdirected says that another server has the address.
	Misdirected bool
	// Abandoned says that this side gave up before the server was late.
	Abandoned bool
	Meta      lovageyard.AnswerMeta
	// DialTime is how long a new connection took, or 0.
	DialTime time.Duration
}

// service is what is known of one service.
type service struct {
	lovageyard.Service
	servers []*server
	budget  budget
	// spill is set by the first request.
	spill *spill
	// mean is the mean work of all its requests; before any answer it is that of the route with
	// the longest goal.
	mean     time.Duration
	answered bool
	// topRank is the rank up to which requests may fill the queues.
	topRank int
}

// expect takes the first guess of a route's work for the service's, until answers tell: with a guess far below
// the work, homes would be taken for slow.
func (s *service) expect(work time.Duration) {
	if !s.answered {
		s.mean = max(s.mean, work)
	}
}

// Table keeps the estimates of all servers. Its methods may be called from several goroutines.
type Table struct {
	settings Settings

	mu        sync.Mutex
	random    *rand.Rand
	services  map[string]*service
	servers   map[string]*server
	works     map[string]*work
	splits    map[string]*splitter
	distances map[string]time.Duration
	reaches   map[string]*reach
	instances []string
	drained   map[string]bool
	// notices hold what servers asked for, also while the platform does not list them.
	notices notices
}

// NewTable returns a table without servers.
func NewTable(s Settings) *Table {
	return &Table{
		settings:  s,
		random:    rand.New(rand.NewPCG(s.Seed, s.Seed)),
		services:  make(map[string]*service),
		servers:   make(map[string]*server),
		works:     make(map[string]*work),
		splits:    make(map[string]*splitter),
		distances: make(map[string]time.Duration),
		reaches:   make(map[string]*reach),
		instances: []string{s.Self},
		notices:   make(notices),
	}
}

// SetInstances sets the names of all entry instances that may be at work, which share all bounds.
func (t *Table) SetInstances(names []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(names, t.instances) {
		return
	}
	t.instances = slices.Clone(names)
	for _, kept := range t.notices {
		kept.record.SetInstances(t.instances, now)
	}
}

// Bounds are what all instances together keep to.
type Bounds struct {
	Retries RetryBound
	Cold    ColdBound
	Shift   ShiftBound
}

// SetBounds changes the bounds that all instances share.
func (t *Table) SetBounds(b Bounds) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settings.Bounds = b
}

// SetCatalog takes in a new view of the routes and servers.
func (t *Table) SetCatalog(view *catalog.Snapshot, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if view.Configuration == nil {
		return
	}
	t.drained = view.Drained
	t.setServices(view.Configuration)
	present := make(map[string]bool)
	for _, listed := range view.Servers {
		present[listed.Name] = true
		t.setServer(listed, now)
	}
	for name := range t.servers {
		if !present[name] {
			delete(t.servers, name)
		}
	}
	t.relist(now)
	for _, s := range t.services {
		s.servers = s.servers[:0]
	}
	// In the order of the view, so that the same inputs give the same choices.
	for _, listed := range view.Servers {
		if owner := t.services[listed.Service]; owner != nil {
			owner.servers = append(owner.servers, t.servers[listed.Name])
		}
	}
}

func (t *Table) setServices(c *lovageyard.Configuration) {
	for name, described := range c.Services {
		s := t.services[name]
		if s == nil {
			s = &service{}
			t.services[name] = s
		}
		s.Service = described
		s.topRank = lowestRank
	}
	for _, route := range c.Routes {
		if t.works[route.Name] == nil {
			t.works[route.Name] = newWork(route.Goal)
			t.splits[route.Name] = &splitter{}
		}
		for _, p := range route.Parts {
			if s := t.services[p.Service]; s != nil {
				s.topRank = min(s.topRank, usualRank(c, route))
				s.expect(newWork(route.Goal).mean)
			}
		}
	}
}

func (t *Table) setServer(listed catalog.Server, now time.Time) {
	known := t.servers[listed.Name]
	if known == nil || known.Life != listed.Life {
		// A server that has started anew has lost its caches, its queue and its faults. Attempts
		// at the life before keep their own record of it, which nobody looks at any more.
		t.servers[listed.Name] = newServer(listed, t.recordOf(listed.BackendServer, now))
		return
	}
	known.Server = listed
}

// AssignService notes a client's request and returns the service that it belongs to.
func (t *Table) AssignService(route *lovageyard.Route, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	split := t.splits[route.Name]
	if split == nil {
		return route.Parts[0].Service
	}
	name := split.next(route.Parts)
	if s := t.services[name]; s != nil {
		s.budget.earn(t.settings.Retries, now)
	}
	return name
}

// TakeRetry says whether the budget allows another attempt at a service, and spends it.
func (t *Table) TakeRetry(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	return s != nil && s.budget.spend(t.settings.Retries, len(t.instances), now)
}

// Cancel takes back a choice that no request was sent for.
func (t *Table) Cancel(c Choice) {
	if c.Refused {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c.server.inFlight--
	t.reachOf(c.Server.FailureDomain).inFlight--
}

// Done takes in how the attempt at a chosen server ended.
func (t *Table) Done(c Choice, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := c.server
	s.inFlight--
	s.fade(o.At)
	domain := t.reachOf(c.Server.FailureDomain)
	domain.inFlight--
	if o.DialTime > 0 {
		t.learnDistance(s.FailureDomain, o.DialTime)
	}
	if o.Meta.Reported {
		s.learnReport(o.Meta.Load, s.inFlight, o.At)
	}
	if o.Meta.ColdFor > 0 {
		s.ColdUntil = o.At.Add(o.Meta.ColdFor)
	}
	switch {
	case o.Misdirected:
		s.gone = true
	case o.Abandoned:
	case !o.Answered:
		domain.missed(s.Name, o.At)
		s.learnFailure(true)
		if s.isIll() || !s.answeredAt.After(c.sentAt) {
			s.strike(o.At)
		}
	default:
		domain.answered()
		s.answeredAt = o.At
		s.busySince = o.At
		if o.Meta.Notice.Backoff == 0 {
			// Once a backoff is over, the server is as good as before.
			s.learnFailure(o.Failed || o.NotRun)
		}
		if o.Failed && !o.NotRun && s.isIll() {
			s.strike(o.At)
		} else {
			s.strikes = 0
		}
		t.learnWork(c, o)
	}
}

// learnWork takes in how long a run took, against what was expected.
func (t *Table) learnWork(c Choice, o Outcome) {
	if o.Failed || o.NotRun {
		return
	}
	took := o.At.Sub(c.sentAt) - t.distance(c.server) - o.DialTime
	c.server.learnPace(took, c.Wait+c.work)
	c.service.answered = true
	c.service.mean += time.Duration(workWeight * float64(max(0, took-c.Wait)-c.service.mean))
	if w := t.works[c.route.Name]; w != nil && c.Wait < c.work/4 {
		w.learn(took)
	}
}

// learnDistance keeps the least time that a connection to a failure domain took.
func (t *Table) learnDistance(domain string, took time.Duration) {
	known, found := t.distances[domain]
	if !found || took < known {
		t.distances[domain] = took
		return
	}
	// Creep up, in case the way has become longer for good.
	t.distances[domain] = known + (took-known)/distanceCreep
}

func objectOf(route *lovageyard.Route, key string) uint64 {
	if key == "" {
		return 0
	}
	return instance.Mix(xxhash.Sum64String(route.Name) ^ xxhash.Sum64String(key))
}
