package dispatch

import (
	"slices"
	"time"

	"lovageyard.example/lovageyard"
)

// Requests of different urgency share the servers of a service. A server runs its requests in the order of arrival,
// so that one long upload in its queue delays short look-ups with a short goal. Instances can't reorder that queue,
// but they decide what enters it: a less urgent request enters a queue only if the next urgent one that arrives
// there is still answered within its goal. Free slots are open to all requests.
//
// This applies to requests of routes with large bodies, which occupy slots and queues for long. Others are more useful
// in a queue at their home, where their objects are cached, than at another server.

// priority is the urgency of a request: by the rank of its client account, then by that of its route. Without an
// account, both are the route's rank.
type priority struct {
	account, route int
}

func (r Request) priority() priority {
	return priority{account: r.Rank, route: r.Route.Rank}
}

// isBefore reports whether requests of the priority are more urgent than those of another.
func (p priority) isBefore(other priority) bool {
	return p.account < other.account || p.account == other.account && p.route < other.route
}

// forQueue returns the priority by which requests enter queues. Accounts that are more urgent than the common rank
// count as common, as a queue that only a few accounts may fill stays empty for most; see commonRank.
func (p priority) forQueue(s *service) priority {
	return priority{account: max(p.account, s.fullQueueRank), route: p.route}
}

// protectedRoute is a route whose goal less urgent requests have to leave.
type protectedRoute struct {
	goal time.Duration
	work *workEstimator
}

// setPriorities sets which routes each priority of a service has to protect. Services whose requests have only one
// priority protect none.
func (t *Table) setPriorities(name string, s *service, c *lovageyard.Configuration) {
	levels := make(map[priority][]lovageyard.Route)
	for _, route := range c.Routes {
		if !slices.ContainsFunc(route.Parts, func(p lovageyard.ServiceWeight) bool { return p.Service == name }) {
			continue
		}
		for _, rank := range accountRanks(c, route) {
			p := priority{account: rank, route: route.Rank}.forQueue(s)
			levels[p] = append(levels[p], route)
		}
	}
	s.ordered = c.HasLargeBodies()
	s.protected = nil
	if !s.ordered || len(levels) < 2 {
		return
	}
	s.protected = make(map[priority][]protectedRoute, len(levels))
	for p := range levels {
		for other, routes := range levels {
			if !other.isBefore(p) {
				continue
			}
			for _, route := range routes {
				s.protected[p] = append(s.protected[p], protectedRoute{goal: goalOrDefault(route.Goal), work: t.workEstimate(&route)})
			}
		}
	}
}

// accountRanks returns the distinct ranks of the accounts that may use a route; that of the route itself stands for
// requests without an account.
func accountRanks(c *lovageyard.Configuration, route lovageyard.Route) []int {
	var ranks []int
	if len(c.Accounts) == 0 || route.Open {
		ranks = append(ranks, route.Rank)
	}
	for _, a := range c.Accounts {
		if !slices.Contains(ranks, a.Rank) {
			ranks = append(ranks, a.Rank)
		}
	}
	return ranks
}

// leavesGoals reports whether more urgent requests still meet their goals at a server with a number of requests if
// another request is sent there. The goal of requests from the most distant region counts, as with overloads.
func (t *Table) leavesGoals(r Request, s *service, b *server, load float64) bool {
	slots := float64(b.slots)
	if load+1 <= slots || r.standing.belowFloor {
		return true
	}
	if r.standing.maxLoad > 0 && load+1 > r.standing.maxLoad*slots {
		return false
	}
	if s.protected == nil || !r.Route.HasLargeBodies() {
		return true
	}
	wait := time.Duration((load + 2 - slots) / slots * float64(s.work.mean))
	for _, p := range s.protected[r.priority().forQueue(s)] {
		if wait > longestWait(p.goal, p.work.mean, t.largestDistance()) {
			return false
		}
	}
	return true
}

// pickFreeSlot is used for a request of a route with large bodies that its home and its alternate server refuse, if its
// service has several priorities. It returns another server with a free slot, or the reason for the refusal: an uncached run costs less than a slot that stays idle and a client that returns. In an overload there are
// no alternates.
func (t *Table) pickFreeSlot(r Request, s *service, object uint64, h homes, why refusal) (candidate, refusal) {
	if s.protected == nil || !r.Route.HasLargeBodies() {
		return candidate{}, why
	}
	if s.overload.active {
		return candidate{}, t.reservedAtHome(r, s, h.first, why)
	}
	for _, next := range [...]*server{t.nextInRank(r, s, object, h), t.nextInRegion(r, s, object, h)} {
		if next == nil {
			continue
		}
		if c := t.estimate(r, s, next); c.isFound() && c.load+1 <= float64(next.slots) {
			return c.selected(RuleAlternate, "the object's home server has no room for the request's rank; an alternate server has a free slot"), refusal{}
		}
	}
	return candidate{}, t.reservedAtHome(r, s, h.first, why)
}

// reservedAtHome returns the reason for a refusal, which is a reservation if the home has room.
func (t *Table) reservedAtHome(r Request, s *service, home *server, why refusal) refusal {
	if why.cause == CauseHomeFull && t.isReserved(r, s, home) {
		why.cause, why.reason = CauseReserved, "the object's home has no room for the request's rank, and its alternate servers have no free slot"
	}
	return why
}

// isReserved reports whether a server that is considered full for a request has room for more urgent ones.
func (t *Table) isReserved(r Request, s *service, b *server) bool {
	load := b.agedLoad(s.load, r.Now)
	return load+1 <= maxLoadOther*float64(b.slots) && !t.leavesGoals(r, s, b, load)
}
