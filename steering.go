package lovageyard

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Route directs the requests of one host and path prefix to one or more services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash. The longest matching prefix of a host wins.
	Prefix string
	// Idempotent means that a request may safely run more than once.
	Idempotent bool
	// Timeout limits the whole request, even if the client's deadline is later.
	Timeout time.Duration
	// Goal is the latency objective (SLO) of a request.
	Goal time.Duration
	// Rank orders routes under overload; 0 is served first.
	Rank int
	// Parts lists the services that share the requests by weight; there is at least one.
	Parts []ServiceWeight
	// Attempts is the maximum number of servers that one request may be sent to, at least 1.
	Attempts int
	// Sticky means that a server that recently handled an object is faster at it (affinity).
	Sticky bool
	// HomeRegions lists the only regions that may run the requests; empty means all regions.
	HomeRegions []string
	// Open means that requests need no key even if client accounts are configured.
	Open bool
	// LargeRequests and LargeResponses mean that the bodies of requests or of responses are large, so that
	// the bandwidth of an instance's link matters for their latency.
	LargeRequests  bool
	LargeResponses bool
}

// ServiceWeight is one service of a route with its relative share of the requests.
type ServiceWeight struct {
	Service string
	Weight  float64
}

// Service holds the properties that all servers of one service have in common.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdFor is how long a server is slow after its start (its warm-up time).
	ColdFor time.Duration
	// ColdRate is the request rate that a cold server can sustain, in requests per second.
	ColdRate float64
}

// Configuration is one version of the routes, services and client accounts.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	// Accounts lists the client accounts; if there are any, requests need a key.
	Accounts     []Account
	MaxBodyBytes int64
}

// HasLargeBodies reports whether the bodies of requests or of responses are large.
func (r *Route) HasLargeBodies() bool {
	return r.LargeRequests || r.LargeResponses
}

// HasLargeBodies reports whether a route has large requests or responses.
func (c *Configuration) HasLargeBodies() bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool { return r.HasLargeBodies() })
}

// Internal names of the tables that entry instances use in edge mode.
const (
	TableOrders    = "orders"
	TableServers   = "servers"
	TableInstances = "instances"
	// TableQuarantine holds the requests that are refused because they crash servers. An
	// instance reads it once, when it starts.
	TableQuarantine = "holds"
	// TableEras holds a row that records when the store's current era was noticed. An instance
	// reads it when it starts. Package charge keeps a row of its own there.
	TableEras = "eras"
)

// FollowedTables lists the tables whose changes each entry instance watches.
func FollowedTables() []string {
	return []string{TableOrders, TableServers, TableInstances}
}

// Record is a decoded row of a followed table; exactly one of the pointers is set.
type Record struct {
	// Key identifies the record within its table.
	Key string
	// Version increases with each change of the record.
	Version int64
	// Removed means that the record was deleted; the pointed-to value then holds only its name.
	Removed bool
	// KeepFor is that of the row; see Row.
	KeepFor       time.Duration
	Configuration *Configuration
	Drain         *DomainDrain
	Server        *BackendServer
	Instance      *EntryInstance
}

// FieldError reports an invalid field of a row.
type FieldError struct {
	// Field is the platform's name for the field, or "" for the whole row.
	Field string
	// Reason describes the fault; a value in it is truncated.
	Reason string
}

// Error returns the field, if known, and the reason.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Reason
	}
	return e.Field + ": " + e.Reason
}

// DomainDrain is an order that a failure domain's servers get no requests. It applies until its row
// is removed.
type DomainDrain struct {
	FailureDomain string
}

// ErrHistoryLost reports that the platform no longer has the requested changes, so that the
// whole table has to be read again.
var ErrHistoryLost = errors.New("the platform no longer has these changes")

// Feed reads whole tables of the platform and watches them for changes.
type Feed interface {
	// Rows returns all rows of a table at one version.
	Rows(ctx context.Context, table string) (Changes, error)
	// Watch returns the changes after a version as soon as there are any, or none after the wait
	// (a long poll). The error is ErrHistoryLost if the changes are no longer available.
	Watch(ctx context.Context, table string, after Position, wait time.Duration) (Changes, error)
}

// Decoder decodes rows of followed tables. Its errors name the invalid field.
type Decoder interface {
	Decode(r Row) (Record, error)
}

// RequestMeta is the metadata in the headers of a caller's request.
type RequestMeta struct {
	// ID is the client's identifier of one attempt.
	ID string
	// Key is the affinity key: the object that the request concerns, or "".
	Key string
	// Timeout is how long the client waits, or 0 if it did not state it.
	Timeout time.Duration
	// Credentials identify the caller.
	Credentials Credentials
}

// ResponseMeta is the metadata in the headers of a backend server's response.
type ResponseMeta struct {
	// ID identifies the request that the response belongs to, or is "" if not stated.
	ID string
	// Sealed means that the response carries the server's seal, which only its own responses have.
	Sealed bool
	// NotRun means that the server did not run the request.
	NotRun bool
	// Misdirected means that another server now uses the address.
	Misdirected bool
	// Load is the server's load; it is valid only if Reported is set.
	Load     LoadReport
	Reported bool
	// ColdFor is the server's remaining warm-up time, or 0 if not stated.
	ColdFor      time.Duration
	Backpressure Backpressure
}

// Backpressure holds the backpressure signals in a backend server's response.
type Backpressure struct {
	// Limited means that the server accepts only Limit requests per second from all instances together.
	Limited bool
	Limit   float64
	// InvalidLimit means that the response states a limit that cannot be parsed.
	InvalidLimit bool
	// Leaving means that the server accepts no new requests.
	Leaving bool
	// Backoff is how long this instance should send nothing to the server, or 0.
	Backoff time.Duration
}
