package dispatch_test

import (
	"container/heap"
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/dispatch"
)

// requestKind is a kind of requests that share the servers of a workload. Those without a value have that of the
// workload.
type requestKind struct {
	name                        string
	rank                        int
	large                       bool
	objects                     int
	rate                        float64
	uncachedWork, goal, timeout time.Duration
	bursts                      []burst
	// account returns the client account of a request; nil means that there are none.
	account func(m *simulation) string
}

// kindCounts counts the requests of one kind or account: all, those that a server ran, and those in goal.
type kindCounts struct {
	requests, served, inGoal int
}

// simServer runs requests in slots, queues a few, and caches the objects that it ran last.
type simServer struct {
	lovageyard.BackendServer
	running   int
	queue     []*simRequest
	cacheSize int
	lru       *list.List
	cached    map[string]*list.Element
	slowdown  float64
	down      bool
	machine   machine
}

// work returns how long a request runs, given the time of an uncached run, and adds its object to
// the cache.
func (s *simServer) work(r *simRequest, uncached time.Duration) time.Duration {
	took := uncached
	if element, found := s.cached[r.key]; found {
		took = time.Duration(0.3 * float64(uncached))
		s.lru.MoveToFront(element)
	} else {
		s.cached[r.key] = s.lru.PushFront(r.key)
		if s.lru.Len() > s.cacheSize {
			last := s.lru.Back()
			delete(s.cached, last.Value.(string))
			s.lru.Remove(last)
		}
	}
	return time.Duration(float64(took) * s.slowdown)
}

// simRequest is one client's request.
type simRequest struct {
	kind    *requestKind
	key     string
	account string
	region  string
	arrived time.Time
	done    func(notRun bool, at time.Time)
	// returning means that the client was refused before. cause and retryAfter are those of its last
	// refusal.
	returning  bool
	cause      string
	retryAfter time.Duration
}

type event struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// workload is a pattern of requests on one service.
type workload struct {
	// servers is the number of servers by region.
	servers   map[string]int
	slots     int
	cacheSize int
	// objects is the number of objects that each region's clients request. With shared all regions
	// request the same objects, unlike in the users' deployments. With keyless requests name no
	// object.
	objects int
	shared  bool
	keyless bool
	// rate is the number of requests per second in each region.
	rate         float64
	uncachedWork time.Duration
	goal         time.Duration
	timeout      time.Duration
	duration     time.Duration
	instances    int
	// slowServers of the first region run 8 times as long in the second half.
	slowServers int
	// amplitude is the relative amplitude of a sine wave of a given period that each region's rate
	// follows; the regions' waves are shifted against each other. 0 means a steady rate.
	amplitude float64
	period    time.Duration
	// demandShare is the share of all requests that each region's instances initially assume to be
	// their own.
	demandShare float64
	// clientsReturn means that a refused client sends its request once more after the given delay.
	clientsReturn bool
	// bursts multiply the rate of all regions.
	bursts []burst
	// slowFrom and slowTo are when all servers run slowFactor times as long.
	slowFrom, slowTo time.Duration
	slowFactor       float64
	// restartAt is when all instances are replaced by ones that know nothing; 0 means never.
	restartAt time.Duration
	// slowShare of the time other workloads slow down each server's machine by slowPace, for slowLength
	// at a time on average. Servers report their pace if reportsPace is set.
	slowShare, slowPace float64
	slowLength          time.Duration
	reportsPace         bool
	// longShare of the runs take longFactor times as long.
	longShare, longFactor float64
	seed                  uint64
	// kinds are the kinds of requests; without any, all requests are alike.
	kinds []requestKind
	// withoutLargeBodies leaves out the route with large bodies that configurations with kinds have.
	withoutLargeBodies bool
	// accounts are the client accounts that are configured.
	accounts []lovageyard.Account
}

// requestKinds returns the kinds of requests of the workload.
func (l workload) requestKinds() []requestKind {
	if len(l.kinds) > 0 {
		return l.kinds
	}
	return []requestKind{{
		name: "r", objects: l.objects, rate: l.rate, uncachedWork: l.uncachedWork, goal: l.goal, timeout: l.timeout, bursts: l.bursts,
	}}
}

// burst multiplies the rate of requests by factor between two times since the start. It affects one
// region, or all if region is "".
type burst struct {
	from, to time.Duration
	factor   float64
	region   string
}

// rateAt returns the requests per second of a kind in a region at a time since the start.
func (l workload) rateAt(kind *requestKind, index int, since time.Duration) float64 {
	rate := kind.rate
	for _, b := range kind.bursts {
		if since >= b.from && since < b.to && (b.region == "" || b.region == regions[index]) {
			rate *= b.factor
		}
	}
	if l.amplitude == 0 {
		return rate
	}
	phase := since.Seconds()/l.period.Seconds() - float64(index)/float64(len(regions))
	return rate * (1 + l.amplitude*math.Sin(2*math.Pi*phase))
}

// simulation is a discrete-event simulation of a workload with a method to choose servers.
type simulation struct {
	workload
	random                    *rand.Rand
	now                       time.Time
	pending                   events
	order                     int
	servers                   []*simServer
	requests, inGoal, refused int
	// busy is the time for which slots were busy.
	busy time.Duration
	// sentAt counts the requests by the second, and fullAt the attempts that were refused by the second
	// because a server was full, by the server or by an instance that considered it full.
	sentAt, fullAt map[int]int
	// refusedAt counts the attempts that instances refused by the second.
	refusedAt map[int]int
	// inGoalAt counts the requests that were answered within the goal by the second in which they arrived.
	inGoalAt map[int]int
	// windows counts, for each region and window of 2 s, all requests and those that ran elsewhere.
	windows map[string]map[int][2]int
	// sentTo holds the servers that each object was sent to.
	sentTo map[string]map[string]bool
	// observe, if it is set, is called with each choice of a table.
	observe func(dispatch.Choice)
	// kindCounts and accountCounts count the requests by the names of kinds and accounts.
	kindCounts, accountCounts map[string]*kindCounts
	// first and returned count the requests of each region by the region in which they run: those
	// sent for the first time, and those whose clients had been refused before.
	first, returned map[string]regionCounts
}

// regionCounts counts requests by the region in which they run.
type regionCounts map[string]int

func (c regionCounts) total() int {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return sum
}

func (c regionCounts) add(other regionCounts) {
	for region, n := range other {
		c[region] += n
	}
}

// change returns the share of the requests that run in another region than those of other.
func (c regionCounts) change(other regionCounts) float64 {
	sum := 0.0
	for _, region := range regions {
		share := float64(c[region]) / float64(max(1, c.total()))
		otherShare := float64(other[region]) / float64(max(1, other.total()))
		sum += math.Abs(share - otherShare)
	}
	return sum / 2
}

var start = time.Unix(5000, 0)

var regions = []string{"east", "west", "south"}

func newSimulation(l workload) *simulation {
	m := &simulation{workload: l, random: rand.New(rand.NewPCG(1, l.seed)), now: start}
	machines := rand.New(rand.NewPCG(2, l.seed))
	m.windows = make(map[string]map[int][2]int)
	m.sentTo = make(map[string]map[string]bool)
	m.sentAt = make(map[int]int)
	m.fullAt = make(map[int]int)
	m.refusedAt = make(map[int]int)
	m.inGoalAt = make(map[int]int)
	m.kindCounts = make(map[string]*kindCounts)
	m.accountCounts = make(map[string]*kindCounts)
	m.first = make(map[string]regionCounts)
	m.returned = make(map[string]regionCounts)
	for _, region := range regions {
		m.windows[region] = make(map[int][2]int)
		m.first[region] = make(regionCounts)
		m.returned[region] = make(regionCounts)
		for i := range l.servers[region] {
			s := &simServer{cacheSize: l.cacheSize, lru: list.New(), cached: make(map[string]*list.Element), slowdown: 1}
			s.BackendServer = lovageyard.BackendServer{
				Name: fmt.Sprintf("%s-%d", region, i), Service: "desk", Region: region, FailureDomain: region + "-1",
				Slots: l.slots, State: lovageyard.StateLive,
			}
			s.machine = newMachine(l, machines)
			m.servers = append(m.servers, s)
		}
	}
	return m
}

func (m *simulation) at(t time.Time, run func(now time.Time)) {
	m.order++
	heap.Push(&m.pending, event{at: t, order: m.order, run: run})
}

// distance is the one-way delay between a region and a server.
func distance(region string, s *simServer) time.Duration {
	if s.Region == region {
		return time.Millisecond
	}
	return 35 * time.Millisecond
}

// objectKey returns the key that a request carries.
func (m *simulation) objectKey(r *simRequest) string {
	if m.keyless {
		return ""
	}
	return r.key
}

// send delivers a request to a server.
func (m *simulation) send(s *simServer, r *simRequest) {
	m.at(m.now.Add(distance(r.region, s)), func(now time.Time) {
		switch {
		case s.down:
			return
		case s.running < s.Slots:
			m.start(s, r, now)
		case len(s.queue) < 3*s.Slots:
			s.queue = append(s.queue, r)
		default:
			m.at(now.Add(distance(r.region, s)), func(now time.Time) { r.done(true, now) })
		}
	})
}

func (m *simulation) start(s *simServer, r *simRequest, now time.Time) {
	s.running++
	spread := 0.85 + 0.3*m.random.Float64()
	took := time.Duration(spread * float64(s.work(r, r.kind.uncachedWork)))
	if m.longShare > 0 && m.random.Float64() < m.longShare {
		took = time.Duration(m.longFactor * float64(took))
	}
	end := s.machine.finish(now, took)
	m.busy += end.Sub(now)
	m.at(end, func(now time.Time) {
		s.running--
		m.at(now.Add(distance(r.region, s)), func(now time.Time) { r.done(false, now) })
		for len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			if now.Sub(next.arrived) < next.kind.timeout {
				m.start(s, next, now)
				return
			}
			m.at(now, func(now time.Time) { next.done(true, now) })
		}
	})
}

// chooser selects the server of a request, or nil to refuse it. The returned function is called
// with the result. A refusal may set the request's cause and retryAfter.
type chooser func(m *simulation, instance int, r *simRequest) (*simServer, func(notRun bool, at time.Time))

// run simulates the workload and returns the share of requests that were answered within the goal.
func (m *simulation) run(choose chooser) float64 {
	end := m.now.Add(m.duration)
	kinds := m.requestKinds()
	for index, region := range regions {
		for i := range kinds {
			m.arrive(&kinds[i], index, region, end, choose)
		}
	}
	half := m.now.Add(m.duration / 2)
	m.at(half, func(time.Time) {
		for _, s := range m.servers[:m.slowServers] {
			s.slowdown = 8
		}
	})
	m.setSlowdownAt(m.slowFrom, m.slowFactor)
	m.setSlowdownAt(m.slowTo, 1)
	for len(m.pending) > 0 {
		next := heap.Pop(&m.pending).(event)
		m.now = next.at
		next.run(next.at)
	}
	return float64(m.inGoal) / float64(m.requests)
}

// setSlowdownAt changes the slowdown of all servers at a time since the start; 0 means never.
func (m *simulation) setSlowdownAt(since time.Duration, factor float64) {
	if since == 0 {
		return
	}
	m.at(start.Add(since), func(time.Time) {
		for _, s := range m.servers {
			s.slowdown = factor
		}
	})
}

func (m *simulation) arrive(kind *requestKind, index int, region string, end time.Time, choose chooser) {
	rate := m.rateAt(kind, index, m.now.Sub(start))
	gap := time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
	at := m.now.Add(gap)
	if at.After(end) {
		return
	}
	m.at(at, func(time.Time) {
		m.handle(kind, index, region, choose)
		m.arrive(kind, index, region, end, choose)
	})
}

// second returns the current second since the start.
func (m *simulation) second() int {
	return int(m.now.Sub(start).Seconds())
}

// fullFrom returns the share of attempts for which a server was full, of all requests from a second on.
func (m *simulation) fullFrom(second int) float64 {
	return m.shareFrom(second, m.fullAt)
}

// refusedFrom returns the share of attempts that instances refused, of all requests from a second on.
func (m *simulation) refusedFrom(second int) float64 {
	return m.shareFrom(second, m.refusedAt)
}

// shareFrom returns the sum of counts by the second as a share of all requests, from a second on.
func (m *simulation) shareFrom(second int, counts map[int]int) float64 {
	sent, counted := 0, 0
	for at, n := range m.sentAt {
		if at >= second {
			sent += n
			counted += counts[at]
		}
	}
	return float64(counted) / float64(sent)
}

func (m *simulation) handle(kind *requestKind, index int, region string, choose chooser) {
	m.requests++
	m.sentAt[m.second()]++
	r := &simRequest{kind: kind, key: fmt.Sprint(m.random.IntN(kind.objects)), region: region, arrived: m.now}
	if !m.shared {
		r.key = region + r.key
	}
	if len(m.kinds) > 0 {
		r.key = kind.name + r.key
	}
	if kind.account != nil {
		r.account = kind.account(m)
	}
	m.count(r, func(c *kindCounts) { c.requests++ })
	m.attempt(index, r, choose)
}

// count updates the counts of a request's kind and account.
func (m *simulation) count(r *simRequest, update func(*kindCounts)) {
	if m.kindCounts[r.kind.name] == nil {
		m.kindCounts[r.kind.name] = &kindCounts{}
	}
	update(m.kindCounts[r.kind.name])
	if m.accountCounts[r.account] == nil {
		m.accountCounts[r.account] = &kindCounts{}
	}
	update(m.accountCounts[r.account])
}

// attempt makes one attempt of a client at a random instance of its region.
func (m *simulation) attempt(index int, r *simRequest, choose chooser) {
	region := r.region
	s, done := choose(m, index*m.instances+m.random.IntN(m.instances), r)
	if s == nil {
		m.refuse(index, r, choose)
		return
	}
	counts := m.first
	if r.returning {
		counts = m.returned
	}
	counts[region][s.Region]++
	m.record(r, s)
	r.done = func(notRun bool, at time.Time) {
		done(notRun, at)
		if notRun {
			m.fullAt[m.second()]++
		}
		if notRun {
			return
		}
		m.count(r, func(c *kindCounts) { c.served++ })
		if at.Sub(r.arrived) <= r.kind.goal {
			m.inGoal++
			m.inGoalAt[int(r.arrived.Sub(start).Seconds())]++
			m.count(r, func(c *kindCounts) { c.inGoal++ })
		}
	}
	m.send(s, r)
}

// refuse lets a client return, or counts its request as refused.
func (m *simulation) refuse(index int, r *simRequest, choose chooser) {
	m.refusedAt[m.second()]++
	if r.cause == dispatch.CauseHomeFull {
		m.fullAt[m.second()]++
	}
	if !m.clientsReturn || r.returning {
		m.refused++
		return
	}
	r.returning = true
	m.at(m.now.Add(r.retryAfter), func(time.Time) { m.attempt(index, r, choose) })
}

// record counts a request that is sent to a server.
func (m *simulation) record(r *simRequest, s *simServer) {
	region := r.region
	window := int(m.now.Unix() / 2)
	counts := m.windows[region][window]
	counts[0]++
	if s.Region != region {
		counts[1]++
	}
	m.windows[region][window] = counts
	if m.sentTo[r.key] == nil {
		m.sentTo[r.key] = make(map[string]bool)
	}
	m.sentTo[r.key][s.Name] = true
}

// largestShift returns the largest change of the share that leaves a region, from one window of 2 s
// to the next.
func (m *simulation) largestShift() float64 {
	largest := 0.0
	for _, windows := range m.windows {
		for w, counts := range windows {
			next, found := windows[w+1]
			if !found || counts[0] < 50 || next[0] < 50 {
				continue
			}
			before := float64(counts[1]) / float64(counts[0])
			after := float64(next[1]) / float64(next[0])
			largest = max(largest, after-before, before-after)
		}
	}
	return largest
}

// serversOfAnObject returns the mean number of servers that an object was sent to.
func (m *simulation) serversOfAnObject() float64 {
	sum := 0
	for _, servers := range m.sentTo {
		sum += len(servers)
	}
	return float64(sum) / float64(len(m.sentTo))
}

func ignoreResult(bool, time.Time) {}

// chooseRandom is a baseline: any server.
func chooseRandom(m *simulation, _ int, _ *simRequest) (*simServer, func(bool, time.Time)) {
	return m.servers[m.random.IntN(len(m.servers))], ignoreResult
}

// chooseRoundRobin is a baseline: round robin at each instance.
func chooseRoundRobin() chooser {
	turns := make(map[int]int)
	return func(m *simulation, instance int, _ *simRequest) (*simServer, func(bool, time.Time)) {
		turns[instance]++
		return m.servers[turns[instance]%len(m.servers)], ignoreResult
	}
}

// chooseLeastOwn is a baseline: the server with the fewest requests of the instance itself.
func chooseLeastOwn() chooser {
	own := make(map[string]int)
	return func(m *simulation, instance int, _ *simRequest) (*simServer, func(bool, time.Time)) {
		best := m.servers[m.random.IntN(len(m.servers))]
		id := func(s *simServer) string { return fmt.Sprint(instance, s.Name) }
		for _, s := range m.servers {
			if own[id(s)] < own[id(best)] {
				best = s
			}
		}
		own[id(best)]++
		return best, func(bool, time.Time) { own[id(best)]-- }
	}
}

// chooseIdeal is the upper bound: a single view of all actual queues, with every object cached
// everywhere.
func chooseIdeal(m *simulation, _ int, r *simRequest) (*simServer, func(bool, time.Time)) {
	var best *simServer
	for _, s := range m.servers {
		if _, known := s.cached[r.key]; !known {
			s.cached[r.key] = s.lru.PushFront(r.key)
		}
		cost := func(s *simServer) time.Duration {
			return 2*distance(r.region, s) + time.Duration(float64(s.running+len(s.queue))*float64(m.uncachedWork)*0.3/float64(s.Slots))
		}
		if best == nil || cost(s) < cost(best) {
			best = s
		}
	}
	return best, ignoreResult
}

// newTables returns a table for each instance.
func (m *simulation) newTables(view *catalog.Snapshot) []*dispatch.Table {
	var tables []*dispatch.Table
	for i := range len(regions) * m.instances {
		region := regions[i/m.instances]
		table := dispatch.NewTable(dispatch.Settings{
			Self: fmt.Sprint(i), FailureDomain: region + "-1", Region: region, Seed: uint64(i), DemandShare: m.demandShare,
			Bounds: dispatch.Bounds{
				Retries: dispatch.RetryBound{Window: 10 * time.Second},
				Shift:   dispatch.ShiftBound{MaxChange: 0.15, Window: 2 * time.Second},
			},
		})
		table.SetCatalog(view, m.now)
		tables = append(tables, table)
	}
	return tables
}

// chooseByTable is the implementation under test: one table for each instance.
func chooseByTable(m *simulation) chooser {
	view := &catalog.Snapshot{Configuration: &lovageyard.Configuration{
		Version: 1, Services: map[string]lovageyard.Service{"desk": {Name: "desk"}}, Accounts: m.accounts,
	}}
	routes := make(map[string]*lovageyard.Route)
	for _, k := range m.requestKinds() {
		route := lovageyard.Route{
			Name: k.name, Host: "h", Prefix: "/", Idempotent: true, Goal: k.goal, Timeout: k.timeout, Attempts: 2, Sticky: true,
			Rank: k.rank, LargeRequests: k.large && !m.withoutLargeBodies, Parts: []lovageyard.ServiceWeight{{Service: "desk", Weight: 1}},
		}
		view.Configuration.Routes = append(view.Configuration.Routes, route)
		routes[k.name] = &route
	}
	if len(m.kinds) > 0 && !m.withoutLargeBodies {
		view.Configuration.Routes = append(view.Configuration.Routes, lovageyard.Route{
			Name: "large", Host: "h", Prefix: "/large/", LargeRequests: true, Attempts: 1,
			Parts: []lovageyard.ServiceWeight{{Service: "archive", Weight: 1}},
		})
	}
	accountRanks := make(map[string]int)
	for _, a := range m.accounts {
		accountRanks[a.Name] = a.Rank
	}
	byName := make(map[string]*simServer)
	for _, s := range m.servers {
		byName[s.Name] = s
		view.Servers = append(view.Servers, catalog.Server{BackendServer: s.BackendServer})
	}
	tables := m.newTables(view)
	if m.restartAt > 0 {
		m.at(start.Add(m.restartAt), func(time.Time) { tables = m.newTables(view) })
	}
	return func(m *simulation, instance int, r *simRequest) (*simServer, func(bool, time.Time)) {
		table := tables[instance]
		route := routes[r.kind.name]
		rank := route.Rank
		if r.account != "" {
			rank = accountRanks[r.account]
		}
		choice := table.Choose(dispatch.Request{
			Now: m.now, Route: route, Rank: rank, Account: r.account, Regions: route.HomeRegions, Service: "desk", Key: m.objectKey(r),
			Deadline: m.now.Add(route.Timeout),
		})
		if m.observe != nil {
			m.observe(choice)
		}
		if choice.Refused {
			r.cause = choice.Cause
			r.retryAfter = choice.RetryAfter
			return nil, nil
		}
		s := byName[choice.Server.Name]
		return s, func(notRun bool, at time.Time) {
			load := lovageyard.LoadReport{InFlight: s.running, Queued: len(s.queue), Slots: s.Slots}
			if m.reportsPace {
				load.Pace = s.machine.pace(at)
			}
			table.Done(choice, dispatch.Outcome{
				At: at, Answered: true, NotRun: notRun, Meta: lovageyard.ResponseMeta{Reported: true, Load: load},
			})
		}
	}
}

// statements is the peak load of the users' archive: the objects do not all fit into a server's
// cache, and one region has a tenth of the servers for a third of the requests.
var statements = workload{
	servers: map[string]int{"east": 10, "west": 2, "south": 8}, slots: 9, cacheSize: 32, objects: 51, shared: true,
	rate: 71, uncachedWork: 1400 * time.Millisecond, goal: 900 * time.Millisecond, timeout: 2500 * time.Millisecond,
	duration: 40 * time.Second, instances: 4, seed: 2,
}

// desks is the load of the users' small services: three slots, and all objects fit into the cache.
var desks = workload{
	servers: map[string]int{"east": 2, "west": 4, "south": 6}, slots: 3, cacheSize: 48, objects: 46,
	rate: 80, uncachedWork: 240 * time.Millisecond, goal: 200 * time.Millisecond, timeout: 1200 * time.Millisecond,
	duration: 40 * time.Second, instances: 3, seed: 2,
}

// waves is a load of many objects where the west has a tenth of the servers for a third of the
// requests, and the rate of each region doubles and halves within half a minute, one region after
// the other.
var waves = workload{
	servers: map[string]int{"east": 10, "west": 2, "south": 8}, slots: 9, cacheSize: 84, objects: 128, shared: true,
	rate: 172, uncachedWork: 400 * time.Millisecond, goal: 300 * time.Millisecond, timeout: 2 * time.Second,
	duration: 72 * time.Second, instances: 4, amplitude: 0.55, period: 36 * time.Second, seed: 2,
}

// scaled returns a workload with four times the slots and requests, so that windows of 2 s hold
// enough requests for random variation to be small against the bound on shifts.
func scaled(l workload) workload {
	l.slots *= 4
	l.rate *= 4
	return l
}

// withoutKeys returns a workload of requests that name no object; servers cache all that they need.
func withoutKeys(l workload) workload {
	l.keyless = true
	l.cacheSize = len(regions) * l.objects
	return l
}

func withSlowServer(l workload) workload {
	l.slowServers = 1
	return l
}

func TestChoiceAgainstBaselines(t *testing.T) {
	for _, test := range []struct {
		name string
		load workload
		// minOfIdeal is the minimum share of the ideal's requests in goal, and minGain the minimum
		// gain over the best baseline.
		minOfIdeal, minGain float64
	}{
		{"statements", statements, 0.75, 0.3},
		{"desks", desks, 0.9, 0.02},
		{"desks, one slow", withSlowServer(desks), 0.9, 0.02},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ideal := newSimulation(test.load).run(chooseIdeal)
			m := newSimulation(test.load)
			got := m.run(chooseByTable(m))
			best := 0.0
			for name, choose := range map[string]chooser{"random": chooseRandom, "round robin": chooseRoundRobin(), "least own": chooseLeastOwn()} {
				share := newSimulation(test.load).run(choose)
				t.Logf("%s: %.3f of requests in goal", name, share)
				best = max(best, share)
			}
			t.Logf("table: %.3f, refused %.3f, largest shift %.3f; ideal: %.3f", got, float64(m.refused)/float64(m.requests), m.largestShift(), ideal)
			c.Assert(got >= test.minOfIdeal*ideal, qt.IsTrue)
			c.Assert(got >= best+test.minGain, qt.IsTrue)
		})
	}
}

// The share of a region's requests that run elsewhere must not jump, even when the load does.
func TestSpilloverShareChangesSlowly(t *testing.T) {
	testShares(t, map[string]workload{"statements": scaled(statements), "desks": scaled(desks), "desks without keys": scaled(withoutKeys(desks))})
}

// If a region's servers refuse many requests and those of other regions none, the share of the requests that run
// elsewhere must not jump because the others do not run.
func TestSpilloverShareHoldsWhileARegionRefuses(t *testing.T) {
	testShares(t, map[string]workload{"statements without keys": scaled(withoutKeys(statements))})
}

// testShares runs workloads with eight seeds each and checks how the shares change.
func testShares(t *testing.T, loads map[string]workload) {
	for name, l := range loads {
		for seed := range uint64(8) {
			// A copy, as the subtests run after the loop.
			l := l
			l.seed = seed
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				m := newSimulation(l)
				m.run(chooseByTable(m))
				qt.Assert(t, m.largestShift() <= largestAllowedShift, qt.IsTrue, qt.Commentf("%.3f", m.largestShift()))
			})
		}
	}
}

// Regions whose peaks follow each other must share the load. An earlier design, in which each
// region had its own home for an object and only a rate-limited share of requests left the region,
// fails: with separate objects in each region it answered 0.959 to 0.969 in goal and refused 0.0033
// to 0.0051; with shared objects, it answered 0.974 to 0.981 and refused 0.0008 to 0.0027.
func TestDemandWavesSpillToOtherRegions(t *testing.T) {
	for _, shared := range []bool{true, false} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint("shared ", shared, " ", seed), func(t *testing.T) {
				c := qt.New(t)
				l := waves
				l.shared = shared
				l.seed = seed
				m := newSimulation(l)
				got := m.run(chooseByTable(m))
				refused := float64(m.refused) / float64(m.requests)
				t.Logf("in goal %.3f, refused %.4f, largest shift %.3f", got, refused, m.largestShift())
				c.Check(got >= 0.98, qt.IsTrue)
				c.Check(refused <= 0.001, qt.IsTrue)
				c.Check(m.largestShift() <= 0.15, qt.IsTrue)
			})
		}
	}
}

// Requests of a small region must run elsewhere from the first peak on, or they are refused. The
// initial spillover share decides: with a share that may grow by 0.03 per second, an assumed
// initial utilisation of 0.7 answers 0.939 in goal on average of these seeds, and one of 0.9
// answers 0.942.
func TestSmallRegionStartsWithSpillover(t *testing.T) {
	c := qt.New(t)
	const seeds = 8
	sum := 0.0
	for seed := range uint64(seeds) {
		l := waves
		l.duration = 12 * time.Second
		l.demandShare = 1.0 / 3
		l.seed = seed
		m := newSimulation(l)
		got := m.run(chooseByTable(m))
		refused := float64(m.refused) / float64(m.requests)
		t.Logf("in goal %.3f, refused %.4f, largest shift %.3f", got, refused, m.largestShift())
		c.Check(m.largestShift() <= 0.15, qt.IsTrue)
		sum += got
	}
	t.Logf("in goal on average: %.4f", sum/seeds)
	c.Check(sum/seeds >= 0.9405, qt.IsTrue)
}

// rareObjects is a load of many objects that are each requested rarely: an uncached run takes
// longer than callers want to wait, servers cache fewer objects than are requested from them, and
// the west has a tenth of the servers for a third of the requests.
var rareObjects = workload{
	servers: map[string]int{"east": 17, "west": 4, "south": 14}, slots: 9, cacheSize: 17, objects: 278,
	rate: 36, uncachedWork: 2500 * time.Millisecond, goal: 1500 * time.Millisecond, timeout: 3 * time.Second,
	duration: 36 * time.Second, instances: 9, amplitude: 0.55, period: 36 * time.Second, demandShare: 1.0 / 3,
}

// All instances agree on the home of an object, so that it runs uncached only once. An earlier
// design with a spillover share per instance ran each object at 1.38 to 1.41 servers and answered
// 0.51 to 0.53 in goal.
func TestRareObjectsStayAtOneServer(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(4) {
		l := rareObjects
		l.seed = seed
		m := newSimulation(l)
		got := m.run(chooseByTable(m))
		t.Logf("in goal %.3f, refused %.4f, servers of an object %.3f, largest shift %.3f",
			got, float64(m.refused)/float64(m.requests), m.serversOfAnObject(), m.largestShift())
		c.Check(got >= 0.6, qt.IsTrue)
		c.Check(m.serversOfAnObject() <= 1.05, qt.IsTrue)
	}
}
