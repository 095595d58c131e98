package dispatch

import "time"

// An object is cached at its second home only once it has run there. That first run takes several times as long as
// others, and while servers are short of slots, as after a start or a fault, a second uncached run of each object
// would hold up all requests. This instance therefore remembers which objects have run where.

const (
	// cachedFor is how long an object counts as cached at a server after this instance last had it run there.
	cachedFor = 20 * time.Second
	// firstRunShare is the part of an uncached run's additional time that counts against a second home which has not
	// cached the object. The rest is an investment, as later requests find it cached.
	firstRunShare = 0.5
)

// recentRuns holds the objects that this instance had run at a server most recently. Its size is that of the smallest
// assumed cache, twice over, as other instances use the server as well.
type recentRuns [2 * cachedObjects]recentRun

type recentRun struct {
	object uint64
	at     time.Time
}

// record replaces the entry of the object, or else the oldest one.
func (u *recentRuns) record(object uint64, now time.Time) {
	oldest := &u[0]
	for i := range u {
		if u[i].object == object {
			u[i].at = now
			return
		}
		if u[i].at.Before(oldest.at) {
			oldest = &u[i]
		}
	}
	*oldest = recentRun{object: object, at: now}
}

// contains reports whether an object is likely to be cached.
func (u *recentRuns) contains(object uint64, now time.Time) bool {
	for i := range u {
		if u[i].object == object {
			return now.Sub(u[i].at) < cachedFor
		}
	}
	return false
}

// secondHomeCost returns by how much the second home must be faster than the first one to get the request. It is
// negative if the object is known to be cached at the second home only.
func (s *service) secondHomeCost(object uint64, h homes, now time.Time) time.Duration {
	cost := secondHomeMargin
	switch cached := h.second.runs.contains(object, now); {
	case !cached:
		cost += firstRunShare * uncachedRunCost
	case !h.first.runs.contains(object, now):
		cost -= firstRunShare * uncachedRunCost
	}
	return time.Duration(cost * float64(s.work.mean))
}
