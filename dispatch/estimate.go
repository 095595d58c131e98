package dispatch

import (
	"math"
	"time"

	"lovageyard.example/lovageyard"
)

// Parameters of the cost estimate.
const (
	// distanceIncreaseDivisor limits how fast a known distance grows: it divides the difference
	// when a connection took longer.
	distanceIncreaseDivisor = 50
	// Assumed round-trip times until connections have been measured.
	ownDomainDistance   = time.Millisecond
	ownRegionDistance   = 4 * time.Millisecond
	otherRegionDistance = 60 * time.Millisecond
	// regionPenalty is added for a server in another region, as traffic between regions is
	// expensive.
	regionPenalty = 15 * time.Millisecond
	// domainPenalty is added for a server in another failure domain of the region, for the same
	// reason.
	domainPenalty = 3 * time.Millisecond
	// failurePenalty is the expected cost of a failed attempt of an idempotent request, and
	// nonIdempotentFailurePenalty that of a request that may not be retried.
	failurePenalty              = 600 * time.Millisecond
	nonIdempotentFailurePenalty = 2 * time.Second
	// stallPenalty keeps requests away from a server that has stopped answering.
	stallPenalty = 3 * time.Second
	// utilisationCost spreads requests among servers that still have free slots. It is the cost of
	// a server whose slots are all busy, in mean work times.
	utilisationCost = 0.15
)

// candidate is a server with the cost estimate for one request. Its zero value stands for no server.
type candidate struct {
	server *server
	cost   time.Duration
	wait   time.Duration
	work   time.Duration
	// run is the part of the cost to which the server's slowdown applies, without it, in nanoseconds.
	run   float64
	load  float64
	local bool
	// home is the home of the request's object, or nil if the request is not bound to an object.
	home *server
	// rule and reason explain the choice; see Choice.
	rule   string
	reason string
}

// selected records why the candidate is selected, and returns it.
func (c candidate) selected(rule, reason string) candidate {
	c.rule = rule
	c.reason = reason
	return c
}

// isFound reports whether the candidate is a server.
func (c candidate) isFound() bool {
	return c.server != nil
}

func cheaper(a, b candidate) candidate {
	if !a.isFound() || b.isFound() && b.cost < a.cost {
		return b
	}
	return a
}

// estimate returns the expected cost of a request at a server, or none if the server is full.
func (t *Table) estimate(r Request, s *service, b *server) candidate {
	return t.estimateAtLoad(r, s, b, b.estimatedLoad(r.Now))
}

// estimateByAge is estimate for a server that is considered full, perhaps by an old report: it gets no
// requests and sends no reports, so that its requests would be refused for good. There is none
// unless the server is likely to have as much room as an alternate needs.
func (t *Table) estimateByAge(r Request, s *service, b *server) candidate {
	c := t.estimateAtAgedLoad(r, s, b)
	if c.load+1 > alternateMaxLoad*float64(b.slots) {
		return candidate{}
	}
	return c
}

// estimateAtAgedLoad is estimate with less weight for old reports.
func (t *Table) estimateAtAgedLoad(r Request, s *service, b *server) candidate {
	return t.estimateAtLoad(r, s, b, b.agedLoad(s.load, r.Now))
}

// estimateAtLoad is estimate with a given number of requests at the server.
func (t *Table) estimateAtLoad(r Request, s *service, b *server, load float64) candidate {
	b.decay(r.Now)
	maxLoad := maxLoadOther
	if r.Rank <= s.fullQueueRank || r.standing.belowFloor {
		maxLoad = maxLoadUrgent
	}
	slots := float64(b.slots)
	if load+1 > maxLoad*slots || !t.leavesGoals(r, s, b, load) {
		return candidate{}
	}
	c := candidate{server: b, load: load, local: b.Region == t.settings.Region}
	c.work = t.workEstimate(r.Route).mean
	c.wait = time.Duration(max(0, load+1-slots) / slots * float64(s.work.mean))
	utilisation := utilisationCost * math.Pow(load/slots, 2) * float64(s.work.mean)
	c.run = b.pace.at(r.Now) * (float64(c.wait+c.work) + utilisation)
	c.cost = t.distance(b) + time.Duration(b.slowdown*c.run) + t.penalties(r, s, b)
	return c
}

// workEstimate returns the work estimate of a route.
func (t *Table) workEstimate(route *lovageyard.Route) *workEstimator {
	known := t.workEstimates[route.Name]
	if known == nil {
		known = newWorkEstimator(route.Goal)
		t.workEstimates[route.Name] = known
	}
	return known
}

func (t *Table) penalties(r Request, s *service, b *server) time.Duration {
	penalty := time.Duration(0)
	if b.Region != t.settings.Region {
		penalty += regionPenalty
	} else if b.FailureDomain != t.settings.FailureDomain {
		penalty += domainPenalty
	}
	failureCost := failurePenalty
	if !r.Route.Idempotent {
		failureCost = nonIdempotentFailurePenalty
	}
	penalty += time.Duration(b.failureRate * float64(failureCost))
	if b.isStalled(r.Now, s.work.mean) {
		penalty += stallPenalty
	}
	return penalty
}

// distance returns the estimated round-trip time to a server.
func (t *Table) distance(b *server) time.Duration {
	if known, found := t.distances[b.FailureDomain]; found {
		return known
	}
	switch {
	case b.FailureDomain == t.settings.FailureDomain:
		return ownDomainDistance
	case b.Region == t.settings.Region:
		return ownRegionDistance
	}
	return otherRegionDistance
}
