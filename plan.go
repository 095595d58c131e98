package lovageyard

import "time"

// Buckets is the number of buckets that the address blocks of one home failure domain hash into.
const Buckets = 64

// ClassPlan assigns the traffic of one class to sites. The planner writes it.
type ClassPlan struct {
	// Class is the name of the class.
	Class string `json:"class"`
	// Epoch is the lease epoch of the planner that wrote the plan.
	Epoch int64 `json:"epoch"`
	// Step numbers the placements of this class, starting at 1.
	Step int64 `json:"step"`
	// SteppedAt is when the planner published the step.
	SteppedAt time.Time `json:"stepped-at"`
	// Sites lists the sites; Homes refer to them by index.
	Sites []string `json:"sites"`
	// Homes holds one entry per home failure domain.
	Homes []HomePlacement `json:"homes"`
	// Move describes the move in progress, or is nil.
	Move *Move `json:"move,omitempty"`
}

// HomePlacement maps the buckets of one home failure domain to sites.
type HomePlacement struct {
	FailureDomain string `json:"failure-domain"`
	// Buckets holds, for each bucket, an index into ClassPlan.Sites, or -1 if no site has capacity.
	Buckets []int `json:"buckets"`
	// From holds, during a move, the index of the site that may still serve each bucket, or -1.
	From []int `json:"from,omitempty"`
}

// MoveState is the state of a Move.
type MoveState string

// States of a move. A held move is suspended; Move.Reason says why.
const (
	MoveShifting MoveState = "shifting"
	MoveHeld     MoveState = "held"
	MoveDone     MoveState = "done"
)

// Move describes the gradual move of a class's traffic between sites.
type Move struct {
	Class string    `json:"class"`
	State MoveState `json:"state"`
	// Remaining is the share of the class's traffic that still has to move, 0 to 1.
	Remaining float64 `json:"remaining"`
	// StartedAt is when the planner published the first step.
	StartedAt time.Time `json:"started-at"`
	// EndsAt is the estimated completion time if the move is not held.
	EndsAt time.Time `json:"ends-at"`
	// EmptyBy is the earliest deadline that an operator set for the move, or zero.
	EmptyBy time.Time `json:"empty-by,omitzero"`
	// InTime reports whether EndsAt meets EmptyBy.
	InTime bool `json:"in-time"`
	// Reason explains the state of the move and, if the move is late, which cap would be enough.
	Reason string `json:"reason"`
}

// SiteOf returns the site that the plan assigns to a bucket of a home failure domain, or "".
func (p *ClassPlan) SiteOf(home string, bucket int) string {
	h := p.Home(home)
	if h == nil {
		return ""
	}
	return p.siteAt(h.Buckets, bucket)
}

// OriginOf returns the site that may still serve a bucket during a move, or "" if there is none.
func (p *ClassPlan) OriginOf(home string, bucket int) string {
	h := p.Home(home)
	if h == nil {
		return ""
	}
	return p.siteAt(h.From, bucket)
}

// Home returns the placement of a home failure domain, or nil if the plan has none.
func (p *ClassPlan) Home(failureDomain string) *HomePlacement {
	for i := range p.Homes {
		if p.Homes[i].FailureDomain == failureDomain {
			return &p.Homes[i]
		}
	}
	return nil
}

func (p *ClassPlan) siteAt(buckets []int, bucket int) string {
	if bucket >= len(buckets) {
		return ""
	}
	position := buckets[bucket]
	if position < 0 || position >= len(p.Sites) {
		return ""
	}
	return p.Sites[position]
}

// GrantPlan divides the spare capacity of sites among entry instances in advance, so that they
// can fail requests over without coordination.
type GrantPlan struct {
	// Holders lists the entry instances; each of them holds all of Grants.
	Holders []string `json:"holders"`
	Grants  []Grant  `json:"grants"`
}

// Grant limits what each holder may send to one site when the planned site of the requests has failed.
type Grant struct {
	Service string `json:"service"`
	Site    string `json:"site"`
	// Rate is the limit of each holder, in requests per second.
	Rate float64 `json:"rate"`
}
