package lovageyard

import "time"

// Class is a category of requests that operators define and place as a unit.
type Class struct {
	// Name identifies the class; lower-case letters, digits and hyphens.
	Name string `json:"name"`
	// Service is the backend service that does the work.
	Service string `json:"service"`
	// Match lists rules; a request belongs to the class if it meets any one of them.
	Match []Match `json:"match"`
	// Idempotent means that a request may safely run more than once.
	Idempotent bool `json:"idempotent"`
	// Deadline applies to requests that carry no deadline of their own.
	Deadline Duration `json:"deadline"`
	// Importance orders classes under overload, from 0 (shed first) to 9.
	Importance int `json:"importance"`
	// Target is the desired placement of the class.
	Target Target `json:"target"`
}

// Match is a rule that selects requests; an empty field matches every request.
type Match struct {
	Host       string   `json:"host,omitempty"`
	PathPrefix string   `json:"path-prefix"`
	Methods    []string `json:"methods,omitempty"`
}

// Target describes where a class should run and how fast its traffic may move between sites.
type Target struct {
	// Sites lists the sites where the class should run; empty means every site that has the service.
	Sites []string `json:"sites,omitempty"`
	// Cap is the largest share of the class's traffic, 0 to 1, that may move within one Interval.
	Cap float64 `json:"cap"`
	// Interval is the window over which Cap applies.
	Interval Duration `json:"interval"`
	// FailoverCap replaces Cap for traffic that a failure forces off a site; 0 means that Cap applies.
	FailoverCap float64 `json:"failover-cap,omitempty"`
}

// EffectiveFailoverCap returns the share of traffic that failures may move within one interval:
// FailoverCap, or Cap if that is 0.
func (t Target) EffectiveFailoverCap() float64 {
	if t.FailoverCap > 0 {
		return t.FailoverCap
	}
	return t.Cap
}

// SiteOrder is the operators' latest order for one site.
type SiteOrder struct {
	// Site is the site's name.
	Site string `json:"site"`
	// Draining means that all traffic has to leave the site.
	Draining bool `json:"draining"`
	// EmptyBy is the time by which a draining site has to be empty; the zero time sets no limit.
	EmptyBy time.Time `json:"empty-by,omitzero"`
	// OrderedAt is when the order was accepted.
	OrderedAt time.Time `json:"ordered-at,omitzero"`
}
