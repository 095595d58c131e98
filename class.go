package lovageyard

import "time"

// Class is one kind of work that operators name and give a target.
type Class struct {
	// Name identifies the class; lower-case letters, digits and hyphens.
	Name string `json:"name"`
	// Service is the backend service that does the work.
	Service string `json:"service"`
	// Match lists the rules of which a request has to meet one.
	Match []Match `json:"match"`
	// Idempotent says that a request may run more than once without harm.
	Idempotent bool `json:"idempotent"`
	// Deadline bounds a request that carries no deadline of its own.
	Deadline Duration `json:"deadline"`
	// Importance orders classes under overload, 0 (shed first) to 9.
	Importance int `json:"importance"`
	// Target is what the operators want of the class.
	Target Target `json:"target"`
}

// Match says which requests belong to a class; an empty field matches all.
type Match struct {
	Host       string   `json:"host,omitempty"`
	PathPrefix string   `json:"path-prefix"`
	Methods    []string `json:"methods,omitempty"`
}

// Target is where a class should run and how fast its work may move.
type Target struct {
	// Sites names where the class should run; empty means every site that has the service.
	Sites []string `json:"sites,omitempty"`
	// Cap is the largest share of the class's work, 0 to 1, that may move in one Interval.
	Cap float64 `json:"cap"`
	// Interval is the window that Cap counts in.
	Interval Duration `json:"interval"`
	// FailoverCap is the cap for work that a failure forces off a site; 0 means Cap.
	FailoverCap float64 `json:"failover-cap,omitempty"`
}

// EffectiveFailoverCap returns the share of work that failures may move in one interval.
func (t Target) EffectiveFailoverCap() float64 {
	if t.FailoverCap > 0 {
		return t.FailoverCap
	}
	return t.Cap
}

// SiteOrder is what operators asked of one site.
type SiteOrder struct {
	// Site is the site's name.
	Site string `json:"site"`
	// Draining says that all work has to leave the site.
	Draining bool `json:"draining"`
	// EmptyBy is when a draining site has to be empty; the zero time sets no bound.
	EmptyBy time.Time `json:"empty-by,omitzero"`
	// OrderedAt is when the operator gave the order.
	OrderedAt time.Time `json:"ordered-at,omitzero"`
}
