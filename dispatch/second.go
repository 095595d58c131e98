package dispatch

import (
	"slices"
	"time"
)

// With a home at one server, the busiest servers get twice the mean load, and an object waits while other
// workloads slow down its home's machine. Where servers share machines, each object therefore has two homes,
// and each server caches the objects of both kinds. Both homes are in one region, so that the choice between
// them does not change which region runs a request.

// secondHomeMargin is by how much the second home must be faster than the first one, in mean work times of the
// service, so that an object does not alternate between homes that are equally loaded.
const secondHomeMargin = 0.1

// longRunSlowdown is about the slowdown factor after one run that took several times as long as others.
const longRunSlowdown = 2

// homes returns the servers at which the object is cached and that may get the request.
func (t *Table) homes(r Request, s *service, object uint64) homes {
	if s.sharesMachines && len(r.Tried) == 0 {
		t.countObject(s, object, r.Now)
	}
	if !s.hasSecondHome(object) {
		return homes{first: t.highestRanked(r, s, object, homes{}, t.isEligible)}
	}
	h := t.listedHomes(r, s, object)
	if h.second != nil && !t.isEligible(r, s, h.second) {
		h.second = nil
	}
	if h.first != nil && t.isEligible(r, s, h.first) {
		return h
	}
	return t.homesWithoutFirst(r, s, object, h.second)
}

// listedHomes returns both homes of an object, whether or not they may get requests at present.
func (t *Table) listedHomes(r Request, s *service, object uint64) homes {
	h := homes{first: t.highestRanked(r, s, object, homes{}, t.isListed)}
	if h.first != nil {
		h.second = t.highestInRegion(r, s, object, h.first.Region, h, t.isListed)
	}
	return h
}

// isListed reports whether a server may be the home of the request's object.
func (t *Table) isListed(r Request, _ *service, b *server) bool {
	return b.isAvailable() && (len(r.Regions) == 0 || slices.Contains(r.Regions, b.Region))
}

// homesWithoutFirst returns the home while the first one may not get requests. It is the second one, unless that
// would send the request to another region than the next server in rank, as the whole region may be unreachable.
func (t *Table) homesWithoutFirst(r Request, s *service, object uint64, second *server) homes {
	next := t.highestRanked(r, s, object, homes{}, t.isEligible)
	if second != nil && (second.Region == t.settings.Region || second.Region == next.Region) {
		next = second
	}
	return homes{first: next}
}

// pickHome returns the home that is expected to answer a request sooner, or none if both are full.
func (t *Table) pickHome(r Request, s *service, object uint64, h homes, estimate estimator) candidate {
	first := estimate(r, s, h.first).selected(RuleHome, "the object's home server")
	if h.second == nil {
		return first
	}
	second := estimate(r, s, h.second)
	if !second.isFound() {
		return first
	}
	if first.isFound() && second.lastingCost()+s.secondHomeCost(object, h, r.Now) >= first.lastingCost() {
		return first
	}
	return second.selected(RuleSecondHome, "the object's second home server, which is expected to answer sooner")
}

// lastingCost returns the cost without the slowdown that a single long run may have caused, as that says nothing
// about further runs.
func (c candidate) lastingCost() time.Duration {
	excess := c.server.slowdown - max(1, c.server.slowdown/longRunSlowdown)
	return c.cost - time.Duration(excess*c.run)
}
