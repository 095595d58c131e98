package dispatch

import (
	"math"
	"time"

	"lovageyard.example/lovageyard/instance"
)

// Objects have their homes in all regions, so that no region has to carry its own peak alone; see home.go. Requests
// whose home is in another region take a round trip longer, and two over a new connection. For most goals that is
// little. It is not for a goal of a few round trips, and bodies that are large use up the links between failure
// domains. Such routes have more of their homes nearby.

const (
	// tightGoalRoundTrips is the number of round trips to the most distant failure domain below which a goal is
	// tight: two pass while a connection is opened and used, so that less than one is left for work and waiting.
	tightGoalRoundTrips = 3
	// tightGoalWeight is by how much the weight of the own region's servers is multiplied for a tight goal.
	tightGoalWeight = 4
	// ownDomainWeight is the weight of a server in the own failure domain relative to one in another failure domain
	// of the region, for routes with large bodies. Each failure domain then has homes of its own for most objects.
	ownDomainWeight = 4
)

// ownRegionWeightFor returns the weight of the own region's servers in the choice of a home. Instances that know the
// same servers agree on it, as their regions are equally distant.
func (t *Table) ownRegionWeightFor(r Request, s *service) float64 {
	if t.isTight(r.Route.Goal) {
		return s.ownWeight * tightGoalWeight
	}
	return s.ownWeight
}

// isTight reports whether a goal, which is 0 if the route does not set one, leaves little time beside the way to the
// most distant failure domain.
func (t *Table) isTight(goal time.Duration) bool {
	return goalOrDefault(goal) < tightGoalRoundTrips*t.largestDistance()
}

// highestNearby returns the highest ranked server of the own region for an object with large bodies, among those that
// the filter admits, other than the excluded homes. There must be one. The order is independent of the one by which
// the region was selected, so that it does not change how many objects have their home in the region.
func (t *Table) highestNearby(r Request, s *service, object uint64, excluded homes, admits filter) *server {
	own := s.rankingOf(t.settings.Region)
	local := instance.MixHash(object)
	region := own.top(r, s, local, excluded, admits, ranked{})
	domain := own.top(r, s, local, excluded, t.inOwnDomain(admits), ranked{})
	if domain.server == nil || math.Pow(domain.unitScore(), 1.0/ownDomainWeight) < region.unitScore() {
		return region.server
	}
	return domain.server
}

// inOwnDomain returns a filter that admits only servers of the own failure domain.
func (t *Table) inOwnDomain(admits filter) filter {
	return func(r Request, s *service, b *server) bool {
		return b.FailureDomain == t.settings.FailureDomain && admits(r, s, b)
	}
}
