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
// requests has room for its own peak, and keeps more of its requests. On shared machines, objects have a
// second home (second.go).

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

// homes are the home of an object and, if the servers share machines, its second home; see second.go.
type homes struct {
	first, second *server
}

// contains reports whether a server is one of the homes.
func (h homes) contains(b *server) bool {
	return b == h.first || b == h.second
}

// pickForObject returns the server for a request that concerns an object: one of the object's homes, or
// its alternate server if they are full or so slow that even an uncached run finishes sooner.
func (t *Table) pickForObject(r Request, s *service, object uint64) (candidate, refusal) {
	h := t.homes(r, s, object)
	if h.first == nil {
		return candidate{}, refusedNoServer
	}
	best, why := t.pickHomeOrAlternate(r, s, object, h)
	if !best.isFound() {
		best, why = t.pickFreeSlot(r, s, object, h, why)
	}
	best.home = h.first
	return best, why
}

// pickHomeOrAlternate returns a home, the alternate server, or the reason why none takes the request.
func (t *Table) pickHomeOrAlternate(r Request, s *service, object uint64, h homes) (candidate, refusal) {
	if s.overload.active {
		return t.pickInOverload(r, s, object, h)
	}
	c := t.pickHome(r, s, object, h, t.estimate)
	if c.isFound() && c.cost <= time.Duration((1+uncachedRunCost)*float64(s.work.mean)) {
		return c, refusal{}
	}
	isOverloaded := !c.isFound() || c.wait > s.work.mean
	alternate := t.alternate(r, s, object, h, isOverloaded)
	switch {
	case !c.isFound() && !alternate.isFound():
		return t.pickFullHome(r, s, object, h)
	case !c.isFound():
		return alternate.selected(RuleAlternate, "the object's home server is full; its alternate server has room"), refusal{}
	case alternate.isFound() && alternate.cost+time.Duration(uncachedRunCost*float64(s.work.mean)) < c.cost:
		return alternate.selected(RuleAlternate, "the object's home server is slow; its alternate server has room"), refusal{}
	}
	return c, refusal{}
}

// pickFullHome returns a home that is considered full, if it is by an old report only.
func (t *Table) pickFullHome(r Request, s *service, object uint64, h homes) (candidate, refusal) {
	c := t.pickHome(r, s, object, h, t.estimateByAge)
	if !c.isFound() {
		return candidate{}, refusal{cause: CauseHomeFull, reason: "the object's home is full, and its stand-in has no room", home: h.first}
	}
	c.reason += "; the report that it is full is old"
	return c, refusal{}
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

// alternate returns the server that handles an object's requests while its homes can't, or none if
// that has no room.
//
// For an overloaded home it is the next in rank among all servers. Clients that are refused return,
// and where a few homes are overloaded, those who return would otherwise all run in the regions of
// these homes. If too many requests leave a region, or enter it, and for a home that fails, it is
// the next in rank in the home's region.
func (t *Table) alternate(r Request, s *service, object uint64, h homes, isOverloaded bool) candidate {
	var next *server
	if isOverloaded {
		next = t.nextInRank(r, s, object, h)
	} else {
		next = t.nextInRegion(r, s, object, h)
	}
	if next == nil {
		return candidate{}
	}
	c := t.estimate(r, s, next)
	if c.load+1 > alternateMaxLoad*float64(next.slots) {
		return candidate{}
	}
	return c
}

// nextInRegion returns the highest ranked eligible server of the homes' region other than the homes.
func (t *Table) nextInRegion(r Request, s *service, object uint64, h homes) *server {
	return t.highestInRegion(r, s, object, h.first.Region, h, t.isEligible)
}

// nextInRank returns the highest ranked eligible server other than the homes, in their region if
// the limit on displaced requests does not allow another one.
func (t *Table) nextInRank(r Request, s *service, object uint64, h homes) *server {
	next := t.highestRanked(r, s, object, h, t.isEligible)
	if next == nil || next.Region == h.first.Region {
		return next
	}
	if t.displacement.admits(h.first.Region, next.Region, t.settings.Shift, objectRank(object), r.Now) {
		return next
	}
	return t.nextInRegion(r, s, object, h)
}
