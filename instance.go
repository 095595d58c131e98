package lovageyard

import "time"

// InstanceState says whether an instance takes new work.
type InstanceState string

// The states that the platform's list and the instances themselves report.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
	StateGone    InstanceState = "gone"
)

// EntryInstance is one running lovageyardd as others know it.
type EntryInstance struct {
	Name            string        `json:"instance"`
	Incarnation     int64         `json:"life"`
	FailureDomain   string        `json:"failure-domain"`
	Region          string        `json:"region"`
	CallerAddress   string        `json:"caller-address"`
	PeerAddress     string        `json:"peer-address"`
	OperatorAddress string        `json:"operator-address"`
	State           InstanceState `json:"state"`
	// LinkMbps is what its link carries in Mbit/s; 0 means that it is not known.
	LinkMbps float64 `json:"link-mbps,omitzero"`
	// Stale says that the instance may not know the newest configuration, so that it refuses requests with keys.
	Stale bool `json:"behind,omitempty"`
}

// BackendServer is one instance that runs a service, as the platform lists it.
type BackendServer struct {
	Name string `json:"server"`
	// Incarnation is when the server started by its own clock, in Unix milliseconds, or 0 if it does not
	// tell. It only tells lives apart: which of two is the later one, the platform's versions say.
	Incarnation   int64         `json:"life,omitzero"`
	Service       string        `json:"service"`
	Site          string        `json:"site"`
	FailureDomain string        `json:"failure-domain"`
	Region        string        `json:"region"`
	Address       string        `json:"address"`
	Slots         int           `json:"slots"`
	Connections   int           `json:"connections"`
	State         InstanceState `json:"state"`
	// ColdFor is how much longer the server was slow when the platform was told.
	ColdFor Duration `json:"cold-for,omitzero"`
}

// Listing is one answer of the platform's instance list, which may lag.
type Listing struct {
	EntryInstances []EntryInstance `json:"entry-instances"`
	BackendServers []BackendServer `json:"backend-servers"`
}

// LoadReport is what a backend server says of itself with each answer.
type LoadReport struct {
	Slots    int `json:"slots"`
	InFlight int `json:"in-flight"`
	Queued   int `json:"queued"`
	// Leaving says that the server takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// MeanMs is the mean time that the server spent on a request of late, in milliseconds.
	MeanMs float64 `json:"mean-ms,omitempty"`
}

// Answer is what one exchange with a backend server taught about it.
type Outcome struct {
	At       time.Time
	Duration time.Duration
	Report   LoadReport
	Reported bool
	Failed   bool
}
