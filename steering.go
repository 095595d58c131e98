package lovageyard

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Route sends the requests of one host and path prefix to a service.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash; among the routes of a host the longest wins.
	Prefix string
	// Idempotent says that a request may run more than once without harm.
	Idempotent bool
	// Timeout bounds the whole request, whatever the client's own deadline is.
	Timeout time.Duration
	// Goal is the latency objective of a request.
	Goal time.Duration
	// Rank orders routes under overload; 0 is served first.
	Rank int
	// Parts are the services that share the requests by weight; at least one.
	Parts []ServiceWeight
	// Attempts is the largest number of servers that one request may be sent to.
	Attempts int
	// Sticky says that a server that handled an object lately works faster on it.
	Sticky bool
	// HomeRegions are the only regions that may run the requests; empty means all.
	HomeRegions []string
	// Open says that requests need no key, though there are client accounts.
	Open bool
}

// Part is one service of a route and its share of the requests.
type ServiceWeight struct {
	Service string
	Weight  float64
}

// Service describes what all servers of one service have in common.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdFor is how long a server is slow after its start.
	ColdFor time.Duration
	// ColdRate is the number of requests a second that a cold server bears.
	ColdRate float64
}

// Configuration is one version of all routes, services and client accounts.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	// Accounts are the client accounts; if there are any, requests need a key.
	Accounts     []Account
	MaxBodyBytes int64
}

// Tables of the platform that entry instances follow, by our names.
const (
	TableOrders    = "orders"
	TableServers   = "servers"
	TableInstances = "instances"
	// TableHolds has the requests that are refused as servers end under them; it is not followed.
	TableQuarantine = "holds"
)

// FollowedTables lists the tables that each entry instance follows.
func FollowedTables() []string {
	return []string{TableOrders, TableServers, TableInstances}
}

// Record is one decoded row of a followed table; one of the pointers is set.
type Record struct {
	// Key identifies the record within its table.
	Key string
	// Version grows with each change of the record.
	Version int64
	// Removed says that the record is gone; the pointed-to value then holds only its name.
	Removed       bool
	Configuration *Configuration
	Drain         *DomainDrain
	Server        *BackendServer
	Instance      *EntryInstance
}

// FieldError says which field of a row is wrong.
type FieldError struct {
	// Field is the platform's name of the field, or "" for the whole row.
	Field string
	// Reason says what is wrong, with the value cut at a bounded length.
	Reason string
}

// Error names the field.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Reason
	}
	return e.Field + ": " + e.Reason
}

// DomainDrain orders that a failure domain's servers get no work until it is removed.
type DomainDrain struct {
	FailureDomain string
}

// ErrHistoryLost reports that the platform no longer has the changes that were asked for.
var ErrHistoryLost = errors.New("the platform no longer has these changes")

// Feed reads whole tables of the platform and waits for their changes.
type Feed interface {
	// Rows returns all rows of a table as of one version.
	Rows(ctx context.Context, table string) (Changes, error)
	// Watch returns the changes after a version as soon as there are any, or none when the wait is over.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error)
}

// Decoder turns a row of a followed table into a record.
type Decoder interface {
	Decode(r Row) (Record, error)
}

// RequestMeta is what a caller's request says about itself.
type RequestMeta struct {
	// ID identifies one attempt of a client.
	ID string
	// Key names the object that the request concerns, or is "".
	Key string
	// Deadline is how long the client waits; 0 means that it did not say.
	Timeout time.Duration
	// Credentials tell whose request it is.
	Credentials Credentials
}

// AnswerMeta is what a backend server's answer says about itself.
type ResponseMeta struct {
	// ID is the request that the answer belongs to, or "" if it does not say.
	ID string
	// Sealed says that the server vouches for the answer.
	Sealed bool
	// NotRun says that the server did not run the request.
	NotRun bool
	// Misdirected says that another server has taken over the address.
	Misdirected bool
	// Load is the server's report, if Reported.
	Load     LoadReport
	Reported bool
	// ColdFor is how long the server stays slow, if it said so.
	ColdFor      time.Duration
	Backpressure Backpressure
}

// Notice is what a backend server's answer asks of those who send to it.
type Backpressure struct {
	// Limited says that the server takes only Limit requests a second, from all instances together.
	Limited bool
	Limit   float64
	// Unclear says that the answer names a limit that can't be read.
	InvalidLimit bool
	// Leaving says that the server takes no new work any more.
	Leaving bool
	// Backoff is how long the server wants nothing from this instance, or 0.
	Backoff time.Duration
}
