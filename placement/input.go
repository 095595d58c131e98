package placement

import (
	"time"

	"lovageyard.example/lovageyard"
)

// Site is what is known of one service at one site.
type Site struct {
	Name          string
	FailureDomain string
	Region        string
	// Capacity is what the site's live servers can carry, in requests a second; 0 if unknown.
	Capacity float64
	// OtherLoad is the load of the service's other classes, in requests a second.
	OtherLoad float64
	// Age is how old the newest measurement is.
	Age time.Duration
	// Alive says that some server takes work.
	Alive bool
}

// Home is the measured demand of one home failure domain, in requests a second.
type Home struct {
	FailureDomain string
	Region        string
	Buckets       [lovageyard.Buckets]float64
}

// Latencies are the one-way times that placement reckons with.
type Latencies struct {
	SameDomain  time.Duration
	SameRegion  time.Duration
	OtherRegion time.Duration
}

// Between returns the latency from a home failure domain to a site.
func (l Latencies) Between(h Home, s Site) time.Duration {
	switch {
	case h.FailureDomain == s.FailureDomain:
		return l.SameDomain
	case h.Region == s.Region:
		return l.SameRegion
	}
	return l.OtherRegion
}

// Input is all that one round of placement looks at.
type Input struct {
	Now       time.Time
	Class     lovageyard.Class
	Orders    []lovageyard.SiteOrder
	Sites     []Site
	Homes     []Home
	Latencies Latencies
	// Headroom is the share of a site's capacity that stays free.
	Headroom float64
	// Current is the plan in force; its Step is 0 if there is none.
	Current lovageyard.ClassPlan
	// AppliedStep is the plan step that all live entry instances apply in full.
	AppliedStep int64
	// Remaining is the largest share of work that one of them still has to move.
	Remaining float64
	Epoch     int64
}

// Output is the result of one round.
type Output struct {
	// Plan is the plan to publish.
	Plan lovageyard.ClassPlan
	// Changed says whether Plan differs from the current one.
	Changed bool
	// Reason says why the round did what it did.
	Reason string
}
