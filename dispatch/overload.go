package dispatch

import (
	"math"
	"time"

	"lovageyard.example/lovageyard"
)

// A peak and an overload both fill the queues of servers. In a peak, a request that waits is answered a little
// late, which is better than a refusal. In an overload the queues stay full: requests wait as long as a queue
// allows, nearly all answers miss their goal, and the servers do no more work than with short queues. The two
// differ by how long the queues have stood at most servers of a service.
//
// In an overload, homes accept the requests that can be answered in time. With rising load they accept those of
// ever fewer objects, always the same ones, so that these stay cached; and no alternates are used, as their runs
// are uncached.

const (
	// overloadWindow is the time constant of the shares that detect an overload.
	overloadWindow = time.Second
	// minSampleFactor is the least factor by which a sample reduces the weight of earlier ones, and minReports the
	// weight of the reports that show an overload, so that an instance with few requests does not judge by one.
	minSampleFactor = 0.8
	minReports      = 3
	// overloadDelay is how long the queues of most servers stand before a service is overloaded. It is
	// repeatedOverloadDelay if an overload has ended less than overloadPause before.
	overloadDelay         = 4 * time.Second
	repeatedOverloadDelay = time.Second
	overloadPause         = 8 * time.Second
	// busyLoad is the load, in multiples of its slots, up to which a server has room.
	busyLoad = 0.8
	// maxShed is the share of requests refused because of the overload below which it has ended, and
	// maxShedWithRoom the one if most servers have room.
	maxShed         = 0.05
	maxShedWithRoom = 0.15
	// minWaitShare is the part of the goal that requests may wait in an overload even if they miss the goal.
	minWaitShare = 1.0 / 3
	// shedSlope is how fast the share of accepted objects falls from its value at no wait to 0 at the longest
	// one. Above 1, all are accepted up to some wait.
	shedSlope = 1.5
	// unsetGoal is longer than any goal.
	unsetGoal = time.Duration(math.MaxInt64)
)

// overload tells whether a service is overloaded.
type overload struct {
	active bool
	// late is the share of the servers at which a request would miss its goal, and roomy the share of those
	// that have room. shed is the share of requests that are refused because of the overload.
	late, roomy, shed  recentShare
	lateSince, endedAt time.Time
}

// report applies a load report. gap is the time since the server's last one, by which reports are weighted, as
// busy servers send more of them.
func (o *overload) report(isLate, hasRoom bool, gap time.Duration, now time.Time) {
	weight := 1 - math.Exp(-float64(gap)/float64(overloadWindow))
	o.late.update(isLate, weight, now)
	o.roomy.update(hasRoom, weight, now)
	if o.late.value() <= 0.5 || o.late.all < minReports || o.lateSince.IsZero() {
		o.lateSince = now
	}
	switch {
	case o.active && o.hasEnded():
		*o = overload{lateSince: now, endedAt: now}
	case !o.active && now.Sub(o.lateSince) >= o.delay(now):
		o.begin(now)
	}
}

// hasEnded reports whether so few requests are refused that the servers can carry all.
func (o *overload) hasEnded() bool {
	limit := maxShed
	if o.roomy.value() > 0.5 {
		limit = maxShedWithRoom
	}
	return o.shed.value() < limit
}

// delay returns how long queues have to stand before the service is overloaded. It is shorter for an overload that
// has paused.
func (o *overload) delay(now time.Time) time.Duration {
	if !o.endedAt.IsZero() && now.Sub(o.endedAt) < overloadPause {
		return repeatedOverloadDelay
	}
	return overloadDelay
}

func (o *overload) begin(now time.Time) {
	o.active = true
	o.shed = recentShare{}
	o.shed.update(true, 1, now)
}

// admits reports whether a request is accepted that would wait, given the longest wait of accepted requests.
// rank, from 0 to 1, is the request's place in the order in which requests are accepted: that of its object, or of
// its priority, account and object where these differ.
func (o *overload) admits(wait, limit time.Duration, rank float64, now time.Time) bool {
	accepted := rank < shedSlope*(1-float64(wait)/float64(limit))
	o.shed.update(!accepted, 1, now)
	return accepted
}

// recentShare is the weighted share of recent samples that are true.
type recentShare struct {
	matching, all float64
	updatedAt     time.Time
}

func (s *recentShare) update(sample bool, weight float64, now time.Time) {
	factor := max(minSampleFactor, math.Exp(-float64(now.Sub(s.updatedAt))/float64(overloadWindow)))
	s.matching *= factor
	s.all = s.all*factor + weight
	if sample {
		s.matching += weight
	}
	s.updatedAt = now
}

// value returns the share, from 0 to 1.
func (s *recentShare) value() float64 {
	if s.all == 0 {
		return 0
	}
	return s.matching / s.all
}

// queueWait returns how long a request waits behind a number of queued ones.
func (s *service) queueWait(queued, slots int) time.Duration {
	return time.Duration(float64(queued) / float64(slots) * float64(s.work.mean))
}

// maxWait returns the longest wait with which a request at a distance meets the service's goal.
func (s *service) maxWait(distance time.Duration) time.Duration {
	return longestWait(s.goal, s.work.mean, distance)
}

// longestWait returns the longest wait that a request may have for its goal, given its work and its distance.
func longestWait(goal, work, distance time.Duration) time.Duration {
	return max(time.Duration(minWaitShare*float64(goal)), goal-work-distance)
}

// reportLoad applies a server's load report to the overload of its service.
func (t *Table) reportLoad(s *service, b *server, r lovageyard.LoadReport, gap time.Duration, now time.Time) {
	isLate := s.queueWait(r.Queued, b.slots) > s.maxWait(t.largestDistance())
	hasRoom := float64(r.InFlight+r.Queued) < busyLoad*float64(b.slots)
	s.overload.report(isLate, hasRoom, gap, now)
}

// pickInOverload returns a home of an object while the service is overloaded, or a refusal. As the home sends no
// reports while its requests are refused, its load is estimated by the age of the last one.
func (t *Table) pickInOverload(r Request, s *service, object uint64, h homes) (candidate, refusal) {
	c := t.pickHome(r, s, object, h, t.estimateAtAgedLoad)
	limit := s.maxWait(t.largestDistance())
	if !c.isFound() {
		if !t.isReserved(r, s, h.first) {
			s.overload.admits(limit, limit, objectRank(object), r.Now)
		}
		return candidate{}, refusal{cause: CauseHomeFull, reason: "the service is overloaded, and the object's home is full", home: h.first}
	}
	wait := c.wait - s.queueWait(1, c.server.slots)
	rank := objectRank(object)
	if s.isCounted(r) {
		rank = s.admission.position(r.priority(), r.standing, rank, r.Now)
	}
	if !s.overload.admits(max(0, wait), limit, rank, r.Now) && !r.standing.belowFloor {
		return candidate{}, refusal{cause: CauseOverload, reason: "the service is overloaded, and the object's home is busy", home: h.first}
	}
	return c, refusal{}
}

// largestDistance returns the round-trip time of the failure domain that is farthest. With one limit for all
// servers, an overload does not move requests between regions.
func (t *Table) largestDistance() time.Duration {
	largest := time.Duration(0)
	for _, d := range t.distances {
		largest = max(largest, d)
	}
	if largest == 0 {
		return otherRegionDistance
	}
	return largest
}
