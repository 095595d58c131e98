package dispatch

import (
	"math"
	"slices"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/instance"
)

// Weights and limits of the choice.
const (
	// firstMean stands for a service's mean work until answers tell.
	firstMean = 300 * time.Millisecond
	// lowestRank is below any rank in use.
	lowestRank = 1 << 30
	// distanceCreep divides what a slower connection adds to a known distance.
	distanceCreep = 50
	// Distances until connections tell.
	ownDomainDistance   = time.Millisecond
	ownRegionDistance   = 4 * time.Millisecond
	otherRegionDistance = 60 * time.Millisecond
	// regionPenalty is added to a server in another region for the bytes between regions.
	regionPenalty = 15 * time.Millisecond
	// domainPenalty is added to a server in another failure domain, for the same reason.
	domainPenalty = 3 * time.Millisecond
	// failurePenalty is what a failed attempt costs a request that may be repeated, and
	// lossPenalty one that may not.
	failurePenalty = 600 * time.Millisecond
	lossPenalty    = 2 * time.Second
	// stallPenalty keeps requests from a server that has stopped to answer.
	stallPenalty = 3 * time.Second
	// crowding spreads requests among servers that still have free slots, in mean works
	// for a full server.
	crowding = 0.15
	// fullTop and fullOther are the loads, in slots, above which a server gets no more
	// requests of the most urgent and of other routes: its queue holds three times its
	// slots, and the reserve keeps room for the urgent ones.
	fullTop   = 3.0
	fullOther = 2.5
	// Bounds of the time after which a refused client should come back.
	leastRetryAfter = 50 * time.Millisecond
	retryAfterShare = 3
)

// Causes of refusals, for metrics.
const (
	CauseUnknownService = "unknown-service"
	CauseRegionFull     = "region-full"
	CauseNoServer       = "no-server"
	CauseDeadline       = "deadline"
)

// candidate is a server with the estimate for one request.
type candidate struct {
	server *server
	cost   time.Duration
	wait   time.Duration
	work   time.Duration
	load   float64
	local  bool
	// rank is the server's place in the order of the request's object, the highest first; 0
	// without an object.
	rank uint64
}

// Choose gives a request the server that should answer first, or refuses it.
func (t *Table) Choose(r Request) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[r.Service]
	if s == nil {
		return t.refuse(r, nil, CauseUnknownService, "no server of the service is known")
	}
	object := uint64(0)
	if r.Route.Sticky {
		object = objectOf(r.Route, r.Key)
	}
	local, remote := t.rate(r, s, object)
	best := t.pick(r, s, object, local, remote)
	if best == nil && remote != nil {
		return t.refuse(r, s, CauseRegionFull, "the region's servers are full, and others take no more at once")
	}
	if best == nil {
		return t.refuse(r, s, CauseNoServer, "no server of the service takes work")
	}
	if r.Now.Add(best.wait + best.work).After(r.Deadline) {
		return t.refuse(r, s, CauseDeadline, "the deadline can't be met")
	}
	return t.send(r, s, best)
}

// rate returns the best candidate of the own region and of the others, or nil.
func (t *Table) rate(r Request, s *service, object uint64) (local, remote *candidate) {
	for _, one := range t.homes(r, s, object) {
		c := t.estimate(r, s, one)
		if c == nil {
			continue
		}
		if object != 0 {
			c.rank = one.rankFor(object)
		}
		into := &remote
		if c.local {
			into = &local
		}
		if *into == nil || goesBefore(c, *into, s.mean) {
			*into = c
		}
	}
	return local, remote
}

// goesBefore says whether one candidate goes before another. Without an object, and within a
// region, it is the one that costs less. Among the homes of an object in other regions it is
// the one that comes first in the object's order, unless it costs a mean work more: an object
// that alternates between two homes runs cold at both.
func goesBefore(c, other *candidate, mean time.Duration) bool {
	switch {
	case c.rank == other.rank || c.local:
		return c.cost < other.cost
	case c.rank > other.rank:
		return c.cost < other.cost+mean
	}
	return c.cost+mean < other.cost
}

// homes returns the servers that may run a request: for an object the one that comes first
// in the object's order in each region, as each further one would run it cold and push
// other objects out of its memory; without an object all that are eligible.
func (t *Table) homes(r Request, s *service, object uint64) []*server {
	var eligible []*server
	for _, one := range s.servers {
		if t.isEligible(r, s, one) {
			eligible = append(eligible, one)
		}
	}
	if object == 0 {
		return eligible
	}
	var homes []*server
	for _, one := range eligible {
		i := slices.IndexFunc(homes, func(home *server) bool { return home.Region == one.Region })
		switch {
		case i < 0:
			homes = append(homes, one)
		case one.rankFor(object) > homes[i].rankFor(object):
			homes[i] = one
		}
	}
	return homes
}

// isEligible says whether a server may get the request at all.
func (t *Table) isEligible(r Request, s *service, one *server) bool {
	switch {
	case !one.takesWork(), t.drained[one.FailureDomain], one.isSuspect(r.Now):
		return false
	case len(r.Route.HomeRegions) > 0 && !slices.Contains(r.Route.HomeRegions, one.Region):
		return false
	case slices.Contains(r.Tried, one.Name):
		return false
	}
	if r.Now.Before(one.ColdUntil) {
		limit := coldLimit(t.settings.Cold, s.Service, one.Name, t.settings.Self, t.instances)
		return one.cold.allows(limit, r.Now)
	}
	return true
}

// estimate works out when a server would answer; nil means that it is full.
func (t *Table) estimate(r Request, s *service, one *server) *candidate {
	one.fade(r.Now)
	load := one.load(r.Now)
	full := fullOther
	if r.Route.Rank <= s.topRank {
		full = fullTop
	}
	slots := float64(one.slots)
	if load+1 > full*slots {
		return nil
	}
	c := &candidate{server: one, load: load, local: one.Region == t.settings.Region}
	c.work = t.workOf(r.Route).mean
	c.wait = time.Duration(max(0, load+1-slots) / slots * float64(s.mean))
	spread := crowding * math.Pow(load/slots, 2) * float64(s.mean)
	c.cost = t.distance(one) + time.Duration(one.pace*(float64(c.wait+c.work)+spread)) + t.penalties(r, s, one)
	return c
}

// workOf returns the estimates of a route's work.
func (t *Table) workOf(route *lovageyard.Route) *work {
	known := t.works[route.Name]
	if known == nil {
		known = newWork(route.Goal)
		t.works[route.Name] = known
	}
	return known
}

func (t *Table) penalties(r Request, s *service, one *server) time.Duration {
	penalty := time.Duration(0)
	if one.Region != t.settings.Region {
		penalty += regionPenalty
	} else if one.FailureDomain != t.settings.FailureDomain {
		penalty += domainPenalty
	}
	loss := failurePenalty
	if !r.Route.Idempotent {
		loss = lossPenalty
	}
	penalty += time.Duration(one.failures * float64(loss))
	if one.isStalled(r.Now, s.mean) {
		penalty += stallPenalty
	}
	return penalty
}

// distance returns the round trip to a server.
func (t *Table) distance(one *server) time.Duration {
	if known, found := t.distances[one.FailureDomain]; found {
		return known
	}
	switch {
	case one.FailureDomain == t.settings.FailureDomain:
		return ownDomainDistance
	case one.Region == t.settings.Region:
		return ownRegionDistance
	}
	return otherRegionDistance
}

// pick decides between the own region and the others; the share that leaves the region
// changes slowly, so that no region sees a sudden shift.
func (t *Table) pick(r Request, s *service, object uint64, local, remote *candidate) *candidate {
	if !t.hasLocal(r, s) || len(r.Tried) > 0 {
		return better(local, remote)
	}
	if s.spill == nil {
		s.spill = t.firstSpill(s)
	}
	s.spill.wish(remote != nil && (local == nil || remote.cost < local.cost), t.settings.Shift, r.Now)
	position := t.random.Float64()
	if object != 0 {
		position = float64(instance.Mix(object)>>11) / (1 << 53)
	}
	if s.spill.leaves(position) && remote != nil {
		return remote
	}
	return local
}

// firstSpill returns the share of a service's work that leaves the region to begin with.
func (t *Table) firstSpill(s *service) *spill {
	here, all := 0, 0
	for _, one := range s.servers {
		if !one.takesWork() || t.drained[one.FailureDomain] {
			continue
		}
		all += one.slots
		if one.Region == t.settings.Region {
			here += one.slots
		}
	}
	first := firstSpill(here, all, t.settings.Demand)
	return &first
}

// hasLocal says whether the own region has any server that may get the request.
func (t *Table) hasLocal(r Request, s *service) bool {
	return slices.ContainsFunc(s.servers, func(one *server) bool {
		return one.Region == t.settings.Region && one.takesWork() && one.strikes == 0 &&
			!t.drained[one.FailureDomain] &&
			(len(r.Route.HomeRegions) == 0 || slices.Contains(r.Route.HomeRegions, one.Region))
	})
}

func better(a, b *candidate) *candidate {
	if a == nil || b != nil && b.cost < a.cost {
		return b
	}
	return a
}

func (t *Table) send(r Request, s *service, c *candidate) Choice {
	one := c.server
	if one.inFlight == 0 {
		one.busySince = r.Now
	}
	one.inFlight++
	cold := r.Now.Before(one.ColdUntil)
	if cold {
		one.cold.note(r.Now)
	}
	reason := "least expected time"
	if !c.local {
		reason = "least expected time, in another region"
	}
	return Choice{
		Server:   one.BackendServer,
		Expected: c.cost,
		Wait:     c.wait,
		Load:     c.load,
		LoadAge:  one.reportAge(r.Now),
		Reason:   reason,
		Cold:     cold,
		server:   one,
		service:  s,
		route:    r.Route,
		work:     c.work,
		sentAt:   r.Now,
	}
}

// refuse turns a request away; its client should come back when about one mean work has
// passed, spread so that refused clients do not come back together.
func (t *Table) refuse(r Request, s *service, cause, reason string) Choice {
	mean := firstMean
	if s != nil {
		mean = s.mean
	}
	after := time.Duration((0.5 + t.random.Float64()) * float64(mean))
	after = max(leastRetryAfter, min(after, r.Deadline.Sub(r.Now)/retryAfterShare))
	return Choice{Refused: true, Cause: cause, Reason: reason, RetryAfter: after}
}

// Census counts what the table holds, for metrics.
type Census struct {
	Servers  int
	Suspects int
	InFlight int
	// Elsewhere is, for each service, the share of the region's requests that runs in other regions.
	Elsewhere map[string]float64
}

// Census returns the counts at a time.
func (t *Table) Census(now time.Time) Census {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Census{Elsewhere: make(map[string]float64)}
	for name, s := range t.services {
		if s.spill != nil {
			c.Elsewhere[name] = s.spill.share
		}
	}
	for _, one := range t.servers {
		c.Servers++
		c.InFlight += one.inFlight
		if one.isSuspect(now) {
			c.Suspects++
		}
	}
	return c
}
