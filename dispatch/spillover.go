package dispatch

import "time"

// Parameters of the share of requests that run in other regions.
const (
	// outboundFraction is the part of the allowed change per window that requests leaving the
	// region may use. Random variation adds about as much.
	outboundFraction = 0.4
	// returnFraction is the same for requests that return to the region. It is small because
	// returned capacity is missing elsewhere when the next peak arrives faster than requests may
	// leave.
	returnFraction = 0.04
	// targetWeight is the weight of one request in the target share.
	targetWeight = 0.03
)

// initialUtilisation is the assumed utilisation of all slots when an instance starts. It is high,
// as every object runs uncached once.
const initialUtilisation = 0.9

// ShiftBound limits how fast a region's requests move between regions: MaxChange is the largest
// share of them, from 0 to 1, that may run in another region than in the previous window. Window must
// be above 0.
type ShiftBound struct {
	MaxChange float64
	Window    time.Duration
}

// spillover limits the rate of change of the share of a service's requests that leave the region.
type spillover struct {
	share     float64
	target    float64
	updatedAt time.Time
}

// initialSpillover returns the initial share: the part of the region's demand that exceeds its part
// of the slots. localDemand is the region's part of the total demand.
func initialSpillover(localSlots, allSlots int, localDemand float64) spillover {
	if allSlots == 0 || localDemand <= 0 {
		return spillover{}
	}
	capacity := float64(localSlots) / float64(allSlots)
	share := max(0, 1-capacity/(initialUtilisation*localDemand))
	return spillover{share: share, target: share}
}

// update moves the share towards the target, which it updates with whether a request would be
// answered sooner in another region.
func (s *spillover) update(remoteIsFaster bool, bound ShiftBound, now time.Time) {
	sample := 0.0
	if remoteIsFaster {
		sample = 1
	}
	if s.updatedAt.IsZero() {
		s.updatedAt = now
	}
	s.target += targetWeight * (sample - s.target)
	step := bound.MaxChange * now.Sub(s.updatedAt).Seconds() / bound.Window.Seconds()
	s.updatedAt = now
	s.share += min(outboundFraction*step, max(-returnFraction*step, s.target-s.share))
}

// isRemote reports whether a request leaves the region, given a random number from 0 to 1.
func (s *spillover) isRemote(random float64) bool {
	return random < s.share
}
