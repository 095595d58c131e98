package dispatch

import (
	"math"
	"math/bits"
	"time"

	"lovageyard.example/lovageyard/instance"
)

// A second home doubles the number of objects that a server caches. If there are more than it can cache, both
// homes run them uncached, which costs more than the second home gains. The number of objects of a service is
// estimated from the requests of this instance.

const (
	// cachedObjects is the number of objects that every server is assumed to cache.
	cachedObjects = 10
	// objectWindow is how long an object counts at least after a request.
	objectWindow = time.Minute
	// objectInterval is the time between estimates of the number of objects.
	objectInterval = time.Second
	// minRepeats is the number of requests for objects seen before from which on the number of objects is known.
	minRepeats = 12
	// objectBits is the number of bits that stand for objects.
	objectBits = 8192
)

// objectWindowCount counts the requests of a time window, and sets a bit for each object.
type objectWindowCount struct {
	bits     [objectBits / 64]uint64
	requests int
}

// objectCount estimates the number of objects that a service's requests concern.
type objectCount struct {
	current, previous objectWindowCount
	startedAt         time.Time
	estimatedAt       time.Time
	// secondShare is the share of the objects that have a second home.
	secondShare float64
}

// record counts a request for an object.
func (c *objectCount) record(object uint64, now time.Time) {
	if now.Sub(c.startedAt) >= objectWindow {
		c.previous, c.current = c.current, objectWindowCount{}
		c.startedAt = now
	}
	bit := instance.MixHash(object) % objectBits
	c.current.bits[bit/64] |= 1 << (bit % 64)
	c.current.requests++
}

// estimate returns the number of objects, or infinity while too few of them were requested repeatedly.
func (c *objectCount) estimate() float64 {
	set := 0
	for i := range c.current.bits {
		set += bits.OnesCount64(c.current.bits[i] | c.previous.bits[i])
	}
	requests := float64(c.current.requests + c.previous.requests)
	// Some objects share a bit.
	seen := min(requests, -objectBits*math.Log(1-float64(set)/objectBits))
	if requests-seen < minRepeats {
		return math.Inf(1)
	}
	return objectsOf(requests, seen)
}

// objectsOf returns the number of objects of which requests for random ones are expected to concern a number of
// different ones.
func objectsOf(requests, seen float64) float64 {
	low, high := seen, seen*requests
	for range 40 {
		middle := (low + high) / 2
		if middle*(1-math.Exp(-requests/middle)) < seen {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// countObject counts a request for an object, and estimates at intervals which share of the objects has a second
// home: as many as servers are assumed to cache.
func (t *Table) countObject(s *service, object uint64, now time.Time) {
	c := &s.objects
	c.record(object, now)
	if now.Sub(c.estimatedAt) < objectInterval {
		return
	}
	c.estimatedAt = now
	objects := c.estimate()
	if t.settings.DemandShare > 0 {
		objects /= t.settings.DemandShare
	}
	servers := 0
	for _, b := range s.servers {
		if b.isAvailable() {
			servers++
		}
	}
	perServer := objects / float64(max(1, servers))
	c.secondShare = min(1, max(0, cachedObjects/perServer-1))
}

// hasSecondHome reports whether an object has a second home.
func (s *service) hasSecondHome(object uint64) bool {
	return s.sharesMachines && objectRank(object) < s.objects.secondShare
}
