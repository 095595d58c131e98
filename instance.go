package lovageyard

import "time"

// InstanceState is the lifecycle state of an entry instance or a backend server.
type InstanceState string

// States of an instance or a server. One that is leaving accepts no new requests, and one that is gone
// has stopped or been removed.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
	StateGone    InstanceState = "gone"
)

// EntryInstance describes a running lovageyardd process to its peers.
type EntryInstance struct {
	Name string `json:"instance"`
	// Incarnation is the start time of the process in Unix nanoseconds; a larger one is newer.
	Incarnation     int64         `json:"life"`
	FailureDomain   string        `json:"failure-domain"`
	Region          string        `json:"region"`
	CallerAddress   string        `json:"caller-address"`
	PeerAddress     string        `json:"peer-address"`
	OperatorAddress string        `json:"operator-address"`
	State           InstanceState `json:"state"`
	// LinkMbps is the capacity of the instance's network link in Mbit/s, or 0 if unknown.
	LinkMbps float64 `json:"link-mbps,omitzero"`
	// Stale means that callers are better served by other instances: this one may lack the newest
	// configuration, and therefore refuses requests that carry keys, or reaches no backend server.
	Stale bool `json:"behind,omitempty"`
}

// BackendServer describes one server of a service, as the platform lists it.
type BackendServer struct {
	Name string `json:"server"`
	// Incarnation is the server's start time by its own clock, in Unix milliseconds, or 0 if the
	// server does not report it. It only distinguishes incarnations; to order them, compare the
	// versions of the platform's rows.
	Incarnation   int64         `json:"life,omitzero"`
	Service       string        `json:"service"`
	Site          string        `json:"site"`
	FailureDomain string        `json:"failure-domain"`
	Region        string        `json:"region"`
	Address       string        `json:"address"`
	Slots         int           `json:"slots"`
	Connections   int           `json:"connections"`
	State         InstanceState `json:"state"`
	// Sequence increases with each entry that one incarnation writes.
	Sequence int64 `json:"sequence,omitzero"`
	// ColdFor is the remaining warm-up time when the server wrote its entry.
	ColdFor Duration `json:"cold-for,omitzero"`
}

// Listing is a snapshot of the platform's instance list. It may be out of date.
type Listing struct {
	EntryInstances []EntryInstance `json:"entry-instances"`
	BackendServers []BackendServer `json:"backend-servers"`
}

// LoadReport is the load that a backend server reports with each response.
type LoadReport struct {
	Slots    int `json:"slots"`
	InFlight int `json:"in-flight"`
	Queued   int `json:"queued"`
	// Leaving means that the server accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// MeanMs is the recent mean service time of a request, in milliseconds.
	MeanMs float64 `json:"mean-ms,omitempty"`
	// Pace is the current execution time on the server's machine in multiples of the usual one, or 0 if
	// the server does not report it.
	Pace float64 `json:"-"`
}

// Outcome is the result of one attempt at a backend server, as used to update the server's state.
// Report is valid only if Reported is set.
type Outcome struct {
	At       time.Time
	Duration time.Duration
	Report   LoadReport
	Reported bool
	Failed   bool
}
