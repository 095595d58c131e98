package operator

import (
	"time"

	"lovageyard.example/lovageyard"
)

// Status is what one entry instance knows and applies.
type Status struct {
	Instance      string                   `json:"instance"`
	FailureDomain string                   `json:"failure-domain"`
	Region        string                   `json:"region"`
	State         lovageyard.InstanceState `json:"state"`
	Version       int64                    `json:"version"`
	Relay         bool                     `json:"relay"`
	// Planners are the planners that the asked instance has seen.
	Planners []PlannerStatus `json:"planners"`
	Blocks   int             `json:"blocks"`
	// ListAgeMs is the age of the platform's list, in milliseconds.
	ListAgeMs int64                  `json:"list-age-ms"`
	Classes   []VersionedClass       `json:"classes"`
	Sites     []lovageyard.SiteOrder `json:"sites"`
	Moves     []MoveStatus           `json:"moves"`
	Instances []InstanceStatus       `json:"instances"`
	Pools     []PoolStatus           `json:"pools"`
}

// PlannerStatus tells who holds the planner's lease of a service.
type PlannerStatus struct {
	Service string `json:"service"`
	Holder  string `json:"holder"`
	Epoch   int64  `json:"epoch"`
}

// VersionedClass is a class with the version of its row.
type VersionedClass struct {
	Version int64            `json:"version"`
	Class   lovageyard.Class `json:"class"`
}

// InstanceStatus is an entry instance as another one knows it.
type InstanceStatus struct {
	lovageyard.EntryInstance
	Version int64 `json:"version"`
}

// MoveStatus tells how far a class's work has moved.
type MoveStatus struct {
	Class string          `json:"class"`
	Move  lovageyard.Move `json:"move"`
	// Step is the newest step of the plan.
	Step int64 `json:"step"`
	// LocalStep is the step that the asked instance applies in full.
	LocalStep int64 `json:"step-here"`
	// LocalRemaining is the share of the asked instance's work that still has to move.
	LocalRemaining float64 `json:"left-here"`
	// ReachedStep is the step that all live instances apply in full.
	ReachedStep int64 `json:"step-reached"`
}

// PoolStatus tells how one service of a site is doing, as seen from the asked instance.
type PoolStatus struct {
	Service   string  `json:"service"`
	Site      string  `json:"site"`
	Servers   int     `json:"servers"`
	Available int     `json:"takers"`
	Slots     int     `json:"slots"`
	InFlight  int     `json:"in-flight"`
	Queued    int     `json:"queued"`
	MeanMs    float64 `json:"mean-ms"`
}

// Explanation tells where a request of a client goes, and why.
type Explanation struct {
	Class       string  `json:"class"`
	Client      string  `json:"client"`
	Block       string  `json:"block"`
	Home        string  `json:"home"`
	Bucket      int     `json:"bucket"`
	Site        string  `json:"site"`
	MovingTo    string  `json:"moving-to"`
	Moved       float64 `json:"moved"`
	Moving      bool    `json:"moving"`
	PlanStep    int64   `json:"plan-step"`
	PlannedSite string  `json:"planned-site"`
	Move        string  `json:"move"`
	Reason      string  `json:"reason"`
}

// DrainOrder is the body of the order to drain a site.
type DrainOrder struct {
	EmptyBy time.Time `json:"empty-by,omitzero"`
}

// Problem is the body of every failure.
type Problem struct {
	Error   string             `json:"error"`
	Verdict lovageyard.Verdict `json:"verdict"`
	// Winner is the class that a racing write put in force.
	Winner *VersionedClass `json:"winner,omitempty"`
}
