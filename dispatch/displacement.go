package dispatch

import (
	"math"
	"time"

	"lovageyard.example/lovageyard/instance"
)

// displacedFraction is the part of the allowed change per window that alternate servers may add to a
// region's requests or take from them. It may be used at once, and in either direction.
const displacedFraction = 0.45

// displacement records how many of the requests that are bound to objects run in another region
// than their home. It covers all services, as the bound on shifts does.
type displacement struct {
	// requests is the number of recent requests. Each counts e^-x after x windows of the bound.
	requests float64
	// net is the number of recent requests by region that run there, less those whose home is there.
	net       map[string]float64
	updatedAt time.Time
}

// record counts a request by the regions of its home and of the server that it is sent to.
func (d *displacement) record(home, region string, window time.Duration, now time.Time) {
	d.decay(window, now)
	d.requests++
	if home == region {
		return
	}
	if d.net == nil {
		d.net = make(map[string]float64)
	}
	d.net[home]--
	d.net[region]++
}

// decay reduces the weight of earlier requests.
func (d *displacement) decay(window time.Duration, now time.Time) {
	factor := math.Exp(-float64(now.Sub(d.updatedAt)) / float64(window))
	d.requests *= factor
	for region := range d.net {
		d.net[region] *= factor
	}
	d.updatedAt = now
}

// admits reports whether a request whose home is in one region may run in another. As the limit is
// approached, fewer objects are admitted, always the same ones, so that an object keeps its
// alternate; objectRank, from 0 to 1, is the object's place in that order.
func (d *displacement) admits(home, region string, bound ShiftBound, objectRank float64, now time.Time) bool {
	d.decay(bound.Window, now)
	limit := displacedFraction * bound.MaxChange * d.requests
	displaced := max(0, -d.net[home], d.net[region])
	// The limit may be a fraction of a request at an instance with few of them.
	return objectRank < min(1, limit)-displaced/max(1, limit)
}

// objectRank returns a number from 0 to 1 that depends on the object only.
func objectRank(object uint64) float64 {
	return float64(instance.MixHash(object)>>11) / (1 << 53)
}
