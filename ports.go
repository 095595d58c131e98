package lovageyard

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Table names of the rows that the system keeps in the platform's table service.
const (
	TableClasses = "classes"
	TableSites   = "sites"
	TablePlans   = "plans"
	TableLeases  = "leases"
	TableClaims  = "claims"
	TableGrants  = "grants"
	// TableBackends lists the backend servers that the platform knows of.
	TableBackends = "backends"
	// TableObjects names, for each object, the blob that holds its newest version.
	TableObjects = "objects"
)

// Row is one row of the platform's table service.
type Row struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Condition demands that a row be at a version; version 0 demands that it be absent.
type Condition struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Table  string `json:"table"`
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is a set of writes that take effect together, if all conditions hold.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Changes are the rows of some tables that changed after one version, up to another.
type Changes struct {
	After int64 `json:"after"`
	To    int64 `json:"to"`
	Rows  []Row `json:"rows"`
	// PlatformTime is the platform's steady clock as it answered, or 0 if it did not say.
	PlatformTime time.Duration `json:"-"`
}

// ConflictError reports the row that kept a transaction from taking effect.
type ConflictError struct {
	Row Row
}

// Error names the row.
func (e *ConflictError) Error() string {
	return "row " + e.Row.Table + "/" + e.Row.Key + " is at another version"
}

// Errors of the platform's services.
var (
	ErrNotFound = errors.New("not found")
	// ErrUnknownOutcome reports a write of which it is not known whether it took effect.
	ErrUnknownOutcome = errors.New("the outcome of the write is not known")
)

// Table is the platform's transactional table service.
type Table interface {
	// Read returns one row, or ErrNotFound.
	Read(ctx context.Context, table, key string) (Row, error)
	// Transact commits t and returns its version. The error is a *ConflictError if a condition
	// did not hold, and wraps ErrUnknownOutcome if t may have been or may yet be committed.
	Transact(ctx context.Context, t Transaction) (int64, error)
	// Changes returns the changes of some tables after a version, or all their rows, as
	// changes after version 0, if the platform no longer has these changes.
	Changes(ctx context.Context, tables []string, after int64) (Changes, error)
}

// Object is one object of the platform's object store.
type Object struct {
	Name    string
	Version int64
	Body    []byte
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Get returns the newest version of an object, or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// Put stores an object if it still has the version that o names, and returns the new one.
	Put(ctx context.Context, o Object) (int64, error)
}

// InstanceList is the platform's list of live and leaving instances, which lags.
type InstanceList interface {
	Listing(ctx context.Context) (Listing, error)
}

// Ticks is one subscription to a Timer.
type Ticker interface {
	// C delivers the time of each tick; a tick that finds the last one unread is dropped.
	C() <-chan time.Time
	// Close ends the subscription.
	Close()
}

// Timer is the timer service that parts of the program subscribe to.
type Timer interface {
	Now() time.Time
	// Elapsed is the time since a fixed moment, that included in which the machine was suspended.
	Elapsed() time.Duration
	Subscribe(every time.Duration) Ticker
	// After returns a channel that delivers once, when the time has passed.
	After(d time.Duration) Ticker
}

// Backend sends requests to backend servers.
type Backend interface {
	// Stream makes one attempt, and returns the answer as it comes; a failure is a *RequestError.
	Stream(r *http.Request, server BackendServer) (*http.Response, error)
	// Probe asks a backend server for its load and health.
	Probe(ctx context.Context, server BackendServer) (LoadReport, error)
}

// Recorder keeps a record of the decisions on routing and placement.
type Recorder interface {
	Record(d Decision)
}

// Decision is one routing or placement decision with its inputs and its reason.
type Decision struct {
	Kind        string
	Class       string
	Block       string
	Home        string
	Bucket      int
	Site        string
	Server      string
	PlanStep    int64
	Attempt     int
	Reason      string
	Verdict     Verdict
	Status      int
	Duration    time.Duration
	InFlight    int
	Candidates  int
	Share       float64
	ServerError string
}
