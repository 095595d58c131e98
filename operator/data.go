package operator

import (
	"time"

	"lovageyard.example/lovageyard"
)

// Status is the state of one entry instance: the configuration it applies, and its view of
// moves, peers and servers.
type Status struct {
	Instance      string                   `json:"instance"`
	FailureDomain string                   `json:"failure-domain"`
	Region        string                   `json:"region"`
	State         lovageyard.InstanceState `json:"state"`
	Version       int64                    `json:"version"`
	Relay         bool                     `json:"relay"`
	// Planners lists the planner leases that the instance knows.
	Planners []PlannerStatus `json:"planners"`
	// Blocks is the number of address blocks in the instance's block table.
	Blocks int `json:"blocks"`
	// ListAgeMs is the age of the platform's instance list, in milliseconds.
	ListAgeMs int64                  `json:"list-age-ms"`
	Classes   []VersionedClass       `json:"classes"`
	Sites     []lovageyard.SiteOrder `json:"sites"`
	Moves     []MoveStatus           `json:"moves"`
	Instances []InstanceStatus       `json:"instances"`
	Pools     []PoolStatus           `json:"pools"`
}

// PlannerStatus describes the holder of the planner lease of a service.
type PlannerStatus struct {
	Service string `json:"service"`
	Holder  string `json:"holder"`
	Epoch   int64  `json:"epoch"`
}

// VersionedClass is a class with the version of its row, for conditional writes.
type VersionedClass struct {
	Version int64            `json:"version"`
	Class   lovageyard.Class `json:"class"`
}

// InstanceStatus is the queried instance's view of an entry instance. Version is the configuration
// version that the entry instance has reported.
type InstanceStatus struct {
	lovageyard.EntryInstance
	Version int64 `json:"version"`
}

// MoveStatus describes the progress of a class's move.
type MoveStatus struct {
	Class string          `json:"class"`
	Move  lovageyard.Move `json:"move"`
	// Step is the newest step of the plan.
	Step int64 `json:"step"`
	// LocalStep is the step that the queried instance has applied completely.
	LocalStep int64 `json:"step-here"`
	// LocalRemaining is the share of the queried instance's traffic that still has to move.
	LocalRemaining float64 `json:"left-here"`
	// ReachedStep is the step that all live instances have applied completely.
	ReachedStep int64 `json:"step-reached"`
}

// PoolStatus is the queried instance's view of one service at one site. Available counts the
// servers that accept requests.
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

// Explanation describes where the queried instance would route a request of a client, and why.
type Explanation struct {
	Class  string `json:"class"`
	Client string `json:"client"`
	// Block is the client's address block, and Home the home failure domain of the block.
	Block  string `json:"block"`
	Home   string `json:"home"`
	Bucket int    `json:"bucket"`
	// Site serves the bucket. MovingTo is the site that the bucket moves to, or Site if it does not move.
	Site     string `json:"site"`
	MovingTo string `json:"moving-to"`
	// Moved is the share of the bucket, 0 to 1, that has moved, and Moving reports whether the rest
	// moves in the current step.
	Moved       float64 `json:"moved"`
	Moving      bool    `json:"moving"`
	PlanStep    int64   `json:"plan-step"`
	PlannedSite string  `json:"planned-site"`
	// Move is the reason of the class's move, or "" if there is none.
	Move   string `json:"move"`
	Reason string `json:"reason"`
}

// DrainOrder is the body of the request to drain a site. EmptyBy is optional.
type DrainOrder struct {
	EmptyBy time.Time `json:"empty-by,omitzero"`
}

// Problem is the body of every error response.
type Problem struct {
	Error   string             `json:"error"`
	Verdict lovageyard.Verdict `json:"verdict"`
	// Winner is the current class, if a concurrent write to it won.
	Winner *VersionedClass `json:"winner,omitempty"`
}
