package lovageyard

import "time"

// Buckets is the number of parts that the blocks of one home failure domain hash into.
const Buckets = 64

// ClassPlan is the planner's placement of one class.
type ClassPlan struct {
	// Class names the class.
	Class string `json:"class"`
	// Epoch is the lease epoch of the planner that wrote the plan.
	Epoch int64 `json:"epoch"`
	// Step counts the placements of this class, from 1.
	Step int64 `json:"step"`
	// SteppedAt is when the planner published the step.
	SteppedAt time.Time `json:"stepped-at"`
	// Sites lists the sites that Homes refer to by position.
	Sites []string `json:"sites"`
	// Homes holds one row for each home failure domain.
	Homes []HomePlacement `json:"homes"`
	// Move is the shift under way, if one is.
	Move *Move `json:"move,omitempty"`
}

// HomePlacement maps the buckets of one home failure domain to sites.
type HomePlacement struct {
	FailureDomain string `json:"failure-domain"`
	// Buckets holds for each bucket a position in ClassPlan.Sites.
	Buckets []int `json:"buckets"`
	// From holds, while a move is under way, where each bucket's work may still be.
	From []int `json:"from,omitempty"`
}

// MoveState is the state of a shift of work.
type MoveState string

// The states of a shift.
const (
	MoveShifting MoveState = "shifting"
	MoveHeld     MoveState = "held"
	MoveDone     MoveState = "done"
)

// Move describes a shift of a class's work between sites.
type Move struct {
	Class string    `json:"class"`
	State MoveState `json:"state"`
	// Remaining is the share of the class's work that still has to move, 0 to 1.
	Remaining float64 `json:"remaining"`
	// StartedAt is when the first step was published.
	StartedAt time.Time `json:"started-at"`
	// EndsAt is when the move will be over, if nothing holds it.
	EndsAt time.Time `json:"ends-at"`
	// EmptyBy is the earliest bound that an operator set for it, or zero.
	EmptyBy time.Time `json:"empty-by,omitzero"`
	// InTime says whether EndsAt meets EmptyBy.
	InTime bool `json:"in-time"`
	// Reason says why the move is in its state, and what would help a late one.
	Reason string `json:"reason"`
}

// SiteOf returns the site that the plan gives a bucket of a home failure domain, or "".
func (p *ClassPlan) SiteOf(home string, bucket int) string {
	h := p.Home(home)
	if h == nil {
		return ""
	}
	return p.siteAt(h.Buckets, bucket)
}

// OriginOf returns the site where a bucket's work may still be, or "" if it has arrived.
func (p *ClassPlan) OriginOf(home string, bucket int) string {
	h := p.Home(home)
	if h == nil {
		return ""
	}
	return p.siteAt(h.From, bucket)
}

// Home returns the placement of a home failure domain, or nil.
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

// GrantPlan divides the spare capacity of sites among entry instances, ahead of failures.
type GrantPlan struct {
	// Holders names the entry instances that hold a grant each.
	Holders []string `json:"holders"`
	Grants  []Grant  `json:"grants"`
}

// Grant is what each holder may send to one site when work's own site has failed.
type Grant struct {
	Service string `json:"service"`
	Site    string `json:"site"`
	// Rate is in requests a second for each holder.
	Rate float64 `json:"rate"`
}
