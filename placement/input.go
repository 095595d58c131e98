package placement

import (
	"time"

	"lovageyard.example/lovageyard"
)

// Site is the measured state of one service at one site.
type Site struct {
	Name          string
	FailureDomain string
	Region        string
	// Capacity is what the site's live servers can serve, in requests per second, or 0 if unknown.
	Capacity float64
	// OtherLoad is the load of the service's other classes, in requests per second.
	OtherLoad float64
	// Age is the age of the newest measurement.
	Age time.Duration
	// Alive reports whether at least one server accepts requests.
	Alive bool
}

// Home is the measured demand of one home failure domain, in requests per second by bucket.
type Home struct {
	FailureDomain string
	Region        string
	Buckets       [lovageyard.Buckets]float64
}

// Latencies are the one-way network latencies that placement assumes.
type Latencies struct {
	SameDomain  time.Duration
	SameRegion  time.Duration
	OtherRegion time.Duration
}

// Between returns the assumed one-way latency from a home failure domain to a site.
func (l Latencies) Between(h Home, s Site) time.Duration {
	switch {
	case h.FailureDomain == s.FailureDomain:
		return l.SameDomain
	case h.Region == s.Region:
		return l.SameRegion
	}
	return l.OtherRegion
}

// Input is the input of one round of placement for one class.
type Input struct {
	Now       time.Time
	Class     lovageyard.Class
	Orders    []lovageyard.SiteOrder
	Sites     []Site
	Homes     []Home
	Latencies Latencies
	// Headroom is the share of a site's capacity, 0 to 1, that is kept free.
	Headroom float64
	// Current is the plan in force; its Step is 0 if there is none.
	Current lovageyard.ClassPlan
	// AppliedStep is the newest plan step that all live entry instances have applied in full.
	AppliedStep int64
	// Remaining is the largest share of its demand, 0 to 1, that any of these instances still has to move.
	Remaining float64
	// Epoch is the lease epoch of the planner, which is written to the plan.
	Epoch int64
}

// Output is the result of one round.
type Output struct {
	// Plan is the plan to publish, or the current one if Changed is false.
	Plan lovageyard.ClassPlan
	// Changed reports whether Plan differs from the current plan.
	Changed bool
	// Reason explains the decision to operators.
	Reason string
}
