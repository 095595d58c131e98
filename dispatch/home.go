package dispatch

import (
	"math"
	"time"
)

// Objects are many, each is requested from one region and some only rarely. A request runs several
// times faster at a server that has recently run the same object, and a server caches only a few
// objects. The demand of regions rises and falls at different times and may be out of proportion to
// their servers.
//
// Therefore each object has one home among all servers, determined by weighted rendezvous hashing:
// all instances agree on it without communication, and it does not depend on load. The servers of
// the requesting region have a higher weight, which saves traffic between regions, but not so high
// that each region has to carry its own peak alone. A region with more servers than its share of the
// requests has room for its own peak, and keeps more of its requests.

const (
	// ownRegionWeight is the weight of a server in the requesting region relative to one elsewhere, if
	// the region has no more servers than its share of the requests. With three equal regions, half of
	// the requests stay in their region.
	ownRegionWeight = 2
	// surplusExponent is how the weight grows with the region's surplus of servers, up to
	// maxOwnRegionWeight.
	surplusExponent    = 1.5
	maxOwnRegionWeight = 6
	// uncachedRunCost is the additional time of a run at a server that has not cached the object,
	// in mean work times of the service; the mean is dominated by cached runs.
	uncachedRunCost = 2.0
	// alternateMaxLoad is the load, in multiples of the slots, up to which an alternate server
	// accepts requests for objects of other homes. Servers with few slots hardly ever have a free
	// one.
	alternateMaxLoad = 1.5
)

// pickForObject returns the server for a request that concerns an object: the object's home, or its
// alternate server if the home is full or so slow that even an uncached run finishes sooner.
func (t *Table) pickForObject(r Request, s *service, object uint64) (*candidate, refusal) {
	home := t.home(r, s, object)
	if home == nil {
		return nil, refusedNoServer
	}
	best, why := t.pickHomeOrAlternate(r, s, object, home)
	if best == nil {
		best, why = t.pickFreeSlot(r, s, object, home, why)
	}
	if best != nil {
		best.home = home
	}
	return best, why
}

// pickHomeOrAlternate returns the home, its alternate server, or the reason why neither takes the
// request.
func (t *Table) pickHomeOrAlternate(r Request, s *service, object uint64, home *server) (*candidate, refusal) {
	if s.overload.active {
		return t.pickInOverload(r, s, object, home)
	}
	c := t.estimate(r, s, home)
	if c != nil && c.cost <= time.Duration((1+uncachedRunCost)*float64(s.work.mean)) {
		return c.selected(RuleHome, "the object's home server"), refusal{}
	}
	isOverloaded := c == nil || c.wait > s.work.mean
	alternate := t.alternate(r, s, object, home, isOverloaded)
	switch {
	case c == nil && alternate == nil:
		return t.pickFullHome(r, s, home)
	case c == nil:
		return alternate.selected(RuleAlternate, "the object's home server is full; its alternate server has room"), refusal{}
	case alternate != nil && alternate.cost+time.Duration(uncachedRunCost*float64(s.work.mean)) < c.cost:
		return alternate.selected(RuleAlternate, "the object's home server is slow; its alternate server has room"), refusal{}
	}
	return c.selected(RuleHome, "the object's home server"), refusal{}
}

// pickFullHome returns a home that is considered full, if it is by an old report only.
func (t *Table) pickFullHome(r Request, s *service, home *server) (*candidate, refusal) {
	c := t.estimateByAge(r, s, home)
	if c == nil {
		return nil, refusal{cause: CauseHomeFull, reason: "the object's home is full, and its stand-in has no room", home: home}
	}
	return c.selected(RuleHome, "the object's home server; the report that it is full is old"), refusal{}
}

// home returns the highest ranked eligible server for the object, as seen from this region.
func (t *Table) home(r Request, s *service, object uint64) *server {
	return t.highestRanked(r, s, object, nil)
}

// highestRanked returns the highest ranked eligible server for the object other than the excluded
// one, as seen from this region.
func (t *Table) highestRanked(r Request, s *service, object uint64, excluded *server) *server {
	local := t.topRanked(r, s, object, func(b *server) bool { return b != excluded && b.Region == t.settings.Region })
	remote := t.topRanked(r, s, object, func(b *server) bool { return b != excluded && b.Region != t.settings.Region })
	switch {
	case local == nil:
		return remote
	case remote == nil:
		return local
	}
	if math.Pow(local.unitScore(object), 1/s.ownWeight) >= remote.unitScore(object) {
		return local
	}
	return remote
}

// updateOwnWeight updates the weight of the own region's servers. Instances that know the same servers
// agree on it.
func (t *Table) updateOwnWeight(s *service) {
	s.ownWeight = ownRegionWeight
	local, all := t.slotsOf(s)
	if all == 0 || t.settings.DemandShare <= 0 {
		return
	}
	surplus := float64(local) / float64(all) / t.settings.DemandShare
	if surplus > 1 {
		s.ownWeight = min(maxOwnRegionWeight, ownRegionWeight*math.Pow(surplus, surplusExponent))
	}
}

// alternate returns the server that handles an object's requests while its home can't, or nil if
// that has no room.
//
// For an overloaded home it is the next in rank among all servers. Clients that are refused return,
// and where a few homes are overloaded, those who return would otherwise all run in the regions of
// these homes. If too many requests leave a region, or enter it, and for a home that fails, it is
// the next in rank in the home's region.
func (t *Table) alternate(r Request, s *service, object uint64, home *server, isOverloaded bool) *candidate {
	var next *server
	if isOverloaded {
		next = t.nextInRank(r, s, object, home)
	} else {
		next = t.nextInRegion(r, s, object, home)
	}
	if next == nil {
		return nil
	}
	c := t.estimate(r, s, next)
	if c == nil || c.load+1 > alternateMaxLoad*float64(next.slots) {
		return nil
	}
	return c
}

// nextInRegion returns the highest ranked eligible server of the home's region other than the home.
func (t *Table) nextInRegion(r Request, s *service, object uint64, home *server) *server {
	return t.topRanked(r, s, object, func(b *server) bool { return b != home && b.Region == home.Region })
}

// nextInRank returns the highest ranked eligible server other than the home, in the home's region if
// the limit on displaced requests does not allow another one.
func (t *Table) nextInRank(r Request, s *service, object uint64, home *server) *server {
	next := t.highestRanked(r, s, object, home)
	if next == nil || next.Region == home.Region {
		return next
	}
	if t.displacement.admits(home.Region, next.Region, t.settings.Shift, objectRank(object), r.Now) {
		return next
	}
	return t.nextInRegion(r, s, object, home)
}

// topRanked returns the highest ranked eligible server for the object among those that the filter
// admits, or nil.
func (t *Table) topRanked(r Request, s *service, object uint64, admits func(*server) bool) *server {
	var best *server
	for _, b := range s.servers {
		if !admits(b) || best != nil && b.rendezvousScore(object) <= best.rendezvousScore(object) {
			continue
		}
		if t.isEligible(r, s, b) {
			best = b
		}
	}
	return best
}
