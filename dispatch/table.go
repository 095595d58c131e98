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

// Settings are the inputs of NewTable. Only Bounds may change later, by SetBounds.
type Settings struct {
	// Self is the name of this instance, which runs in FailureDomain and Region.
	Self          string
	FailureDomain string
	Region        string
	// DemandShare is the region's share of all clients' requests, from 0 to 1, or 0 if it is
	// unknown.
	DemandShare float64
	Seed        uint64
	// StartedAt is when this instance started. The zero time means that it has always run.
	StartedAt time.Time
	// IsListed reports whether all other instances still count this one among those that share the
	// Bounds; nil means that they do.
	IsListed func() bool
	Bounds
}

// service is the state of one service.
type service struct {
	lovageyard.Service
	servers []*server
	// rankings hold the servers by region.
	rankings []ranking
	budget   budget
	load     meanLoad
	// spillover is set by the first request.
	spillover *spillover
	// work estimates the work time of all requests of the service. Initially it is the estimate of the
	// route with the longest goal.
	work     workEstimator
	measured bool
	overload overload
	// goal is the shortest goal of the service's routes.
	goal time.Duration
	// ownWeight is the weight of the own region's servers in the choice of homes.
	ownWeight float64
	// sharesMachines means that servers of the service report the pace of their machines, so that objects
	// have two homes.
	sharesMachines bool
	objects        objectCount
	// fullQueueRank is the rank up to which requests may fill the queues.
	fullQueueRank int
	// ordered means that requests are accepted by priority and account while servers are full; see priority.go.
	ordered bool
	// protected holds the more urgent routes of each priority; see setPriorities.
	protected map[priority][]protectedRoute
	admission admission
}

// raiseInitialMean raises the initial estimate to a route's estimate, until an answer was measured:
// with an estimate far below the actual work, home servers would be considered slow.
func (s *service) raiseInitialMean(work time.Duration) {
	s.work.initial = max(s.work.initial, work)
	if !s.measured {
		s.work.mean = s.work.initial
	}
}

// Table keeps the estimates of all servers. Its methods are safe for concurrent use.
type Table struct {
	settings Settings

	mu            sync.Mutex
	random        *rand.Rand
	services      map[string]*service
	servers       map[string]*server
	workEstimates map[string]*workEstimator
	splitters     map[string]*weightedSplitter
	distances     map[string]time.Duration
	reachability  map[string]*domainReachability
	displacement  displacement
	instances     []string
	drained       map[string]bool
	// records hold the backpressure that servers have requested, also while the platform does not
	// list them.
	records recordTable
}

// NewTable returns a table without servers; SetCatalog adds them.
func NewTable(s Settings) *Table {
	return &Table{
		settings:      s,
		random:        rand.New(rand.NewPCG(s.Seed, s.Seed)),
		services:      make(map[string]*service),
		servers:       make(map[string]*server),
		workEstimates: make(map[string]*workEstimator),
		splitters:     make(map[string]*weightedSplitter),
		distances:     make(map[string]time.Duration),
		reachability:  make(map[string]*domainReachability),
		instances:     []string{s.Self},
		records:       make(recordTable),
	}
}

// SetInstances sets the names of all active entry instances, among which the bounds are divided.
func (t *Table) SetInstances(names []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(names, t.instances) {
		return
	}
	t.instances = slices.Clone(names)
	for _, entry := range t.records {
		entry.record.SetInstances(t.instances, now)
	}
}

// Bounds are the limits that all instances together must keep.
type Bounds struct {
	Retries RetryBound
	Cold    ColdBound
	Shift   ShiftBound
}

// SetBounds replaces the limits that all instances share.
func (t *Table) SetBounds(b Bounds) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settings.Bounds = b
}

// SetCatalog applies a new snapshot of the routes and servers.
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
	t.updateListed(now)
	for _, s := range t.services {
		s.servers = s.servers[:0]
	}
	// Kept in the order of the snapshot, so that the same inputs give the same choices.
	for _, listed := range view.Servers {
		if s := t.services[listed.Service]; s != nil {
			s.servers = append(s.servers, t.servers[listed.Name])
		}
	}
	for _, s := range t.services {
		t.updateOwnWeight(s)
		s.updateRankings()
		s.sharesMachines = slices.ContainsFunc(s.servers, func(b *server) bool { return b.pace.isKnown() })
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
		s.fullQueueRank = unsetRank
		s.goal = unsetGoal
	}
	for _, route := range c.Routes {
		if t.workEstimates[route.Name] == nil {
			t.workEstimates[route.Name] = newWorkEstimator(route.Goal)
			t.splitters[route.Name] = &weightedSplitter{}
		}
		for _, p := range route.Parts {
			if s := t.services[p.Service]; s != nil {
				s.fullQueueRank = min(s.fullQueueRank, commonRank(c, route))
				s.goal = min(s.goal, goalOrDefault(route.Goal))
				s.raiseInitialMean(newWorkEstimator(route.Goal).mean)
			}
		}
	}
	for name, s := range t.services {
		t.setPriorities(name, s, c)
	}
}

func (t *Table) setServer(listed catalog.Server, now time.Time) {
	known := t.servers[listed.Name]
	if known == nil || known.Incarnation != listed.Incarnation {
		// A restarted server has lost its caches, its queue and its faults. Attempts at the
		// previous incarnation keep a pointer to their own server record, which is no longer used
		// for choices.
		t.servers[listed.Name] = newServer(listed, t.recordOf(listed.BackendServer, now))
		return
	}
	known.Server = listed
}

// maySpendShare reports whether this instance may spend its share of a bound that holds for all
// instances in any window. It may not for one window after its start, as its previous incarnation may
// have spent the share, nor while others may have divided the bound without it.
func (t *Table) maySpendShare(window time.Duration, now time.Time) bool {
	if now.Sub(t.settings.StartedAt) < window {
		return false
	}
	return t.settings.IsListed == nil || t.settings.IsListed()
}

// AssignService counts a client's request in the retry budget and returns the service that the
// request is assigned to by the weights of the route's parts.
func (t *Table) AssignService(route *lovageyard.Route, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	split := t.splitters[route.Name]
	if split == nil {
		return route.Parts[0].Service
	}
	name := split.next(route.Parts)
	if s := t.services[name]; s != nil {
		s.budget.recordRequest(t.settings.Retries, now)
	}
	return name
}

// TakeRetry decides by the retry budget on another attempt at a service, and counts the attempt if it
// is allowed.
func (t *Table) TakeRetry(name string, now time.Time) RetryDecision {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return RetryDecision{Instances: len(t.instances)}
	}
	slack := 0.0
	if t.maySpendShare(t.settings.Retries.Window, now) {
		slack = t.settings.Retries.Slack / float64(len(t.instances))
	}
	d := s.budget.takeRetry(t.settings.Retries, slack, now)
	d.Instances = len(t.instances)
	return d
}

// Cancel undoes a choice for which no request was sent.
func (t *Table) Cancel(c Choice) {
	if c.Refused {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c.server.inFlight--
	t.reachabilityOf(c.Server.FailureDomain).inFlight--
	c.withdraw(c.sentAt)
}

// Done applies the outcome of an attempt at a chosen server. It must be called once for each choice
// that is neither refused nor cancelled.
func (t *Table) Done(c Choice, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := c.server
	s.inFlight--
	s.decay(o.At)
	domain := t.reachabilityOf(c.Server.FailureDomain)
	domain.inFlight--
	if o.NotRun {
		c.withdraw(o.At)
	}
	if o.DialTime > 0 {
		t.updateDistance(s.FailureDomain, o.DialTime)
	}
	if o.Meta.Reported {
		lastReport := s.othersAt
		s.applyReport(o.Meta.Load, s.inFlight, o.At)
		c.service.sharesMachines = c.service.sharesMachines || s.pace.isKnown()
		c.service.load.update(s.others/float64(s.slots), o.At)
		t.reportLoad(c.service, s, o.Meta.Load, o.At.Sub(lastReport), o.At)
	}
	if o.Meta.ColdFor > 0 {
		s.ColdUntil = o.At.Add(o.Meta.ColdFor)
	}
	switch {
	case o.Misdirected:
		s.replaced = true
	case o.Abandoned:
	case !o.Answered:
		if o.BrokenAnswer {
			domain.recordSuccess()
		} else {
			domain.recordTimeout(s.Name, o.At)
		}
		s.updateFailureRate(true)
		if s.isFailing() || !s.answeredAt.After(c.sentAt) {
			s.markSuspect(o.At)
		}
	default:
		domain.recordSuccess()
		s.answeredAt = o.At
		s.busySince = o.At
		if o.Meta.Backpressure.Backoff == 0 {
			// A server that has requested a backoff is not considered failing: it works normally
			// once the backoff has ended.
			s.updateFailureRate(o.Failed || o.NotRun)
		}
		if o.Failed && !o.NotRun && s.isFailing() {
			s.markSuspect(o.At)
		} else {
			s.consecutiveFailures = 0
		}
		t.updateWork(c, o)
		if c.service.sharesMachines && c.Object != 0 && !o.Failed && !o.NotRun {
			s.runs.record(c.Object, o.At)
		}
	}
}

// updateWork updates the work estimates with the duration of a run, less its wait. The queue that the response
// reports is as long as the one in which the request waited, if that has not changed; the one that was expected may
// be wrong for as long as the server is overloaded.
func (t *Table) updateWork(c Choice, o Outcome) {
	if o.Failed || o.NotRun {
		return
	}
	took := o.At.Sub(c.sentAt) - t.distance(c.server) - o.DialTime
	c.server.updateSlowdown(took, expectedAtPace(c.Wait+c.work, o.Meta))
	c.service.measured = true
	waited := c.Wait
	if o.Meta.Reported {
		waited = c.service.queueWait(o.Meta.Load.Queued, c.server.slots)
	}
	c.service.work.update(max(0, took-waited), o.At)
	if w := t.workEstimates[c.route.Name]; w != nil && max(c.Wait, waited) < c.work/4 {
		w.update(took-waited, o.At)
	}
}

// expectedAtPace returns the expected duration of a run at the pace that its response reports, so that the
// server's slowdown does not include the pace.
func expectedAtPace(usual time.Duration, m lovageyard.ResponseMeta) time.Duration {
	if !m.Reported || m.Load.Pace <= 0 {
		return usual
	}
	return time.Duration(min(maxPace, max(minPace, m.Load.Pace)) * float64(usual))
}

// updateDistance updates the round-trip time of a failure domain, which is the least connection
// time seen.
func (t *Table) updateDistance(domain string, took time.Duration) {
	known, found := t.distances[domain]
	if !found || took < known {
		t.distances[domain] = took
		return
	}
	// Increase slowly, in case the route has become longer permanently.
	t.distances[domain] = known + (took-known)/distanceIncreaseDivisor
}

func objectHash(route *lovageyard.Route, key string) uint64 {
	if key == "" {
		return 0
	}
	return instance.MixHash(xxhash.Sum64String(route.Name) ^ xxhash.Sum64String(key))
}
