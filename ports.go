package lovageyard

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Names of the tables that the system keeps in the platform's table service.
const (
	TableClasses = "classes"
	TableSites   = "sites"
	TablePlans   = "plans"
	TableLeases  = "leases"
	TableClaims  = "claims"
	TableGrants  = "grants"
	// TableBackends lists the backend servers that are registered with the platform.
	TableBackends = "backends"
	// TableObjects maps each object to the blob that holds its newest version.
	TableObjects = "objects"
)

// Row is one row of the platform's table service.
type Row struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
	// KeepFor is set for the deleted entry of a server that a peer has sent: the server is still used for that
	// time, as an outage of the platform may have removed the entry.
	KeepFor time.Duration `json:"-"`
}

// Condition requires a row to have a given version; version 0 requires it to be absent.
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

// Transaction is a set of writes that are committed atomically if all conditions hold.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Position is a point in the history of the platform's store. The store begins a new era when it is
// restored from an older copy of itself. It then assigns versions again, so that the versions of
// different eras say nothing about each other. Era 0 means that the store was never restored,
// or does not report eras.
type Position struct {
	Era     int64
	Version int64
}

// Before reports whether p is earlier than o.
func (p Position) Before(o Position) bool {
	if p.Era != o.Era {
		return p.Era < o.Era
	}
	return p.Version < o.Version
}

// IsZero reports whether p is the start of the history.
func (p Position) IsZero() bool {
	return p == Position{}
}

// Changes holds the rows of some tables that changed after version After, up to version To.
type Changes struct {
	// Era is the era of the platform's store in which the versions were assigned; see Position.
	Era   int64 `json:"era,omitempty"`
	After int64 `json:"after"`
	To    int64 `json:"to"`
	Rows  []Row `json:"rows"`
	// PlatformTime is the platform's monotonic clock at the time of its response, or 0 if not reported.
	PlatformTime time.Duration `json:"-"`
}

// ConflictError reports the row whose version kept a transaction from being committed.
type ConflictError struct {
	Row Row
}

// Error returns a message that names the conflicting row.
func (e *ConflictError) Error() string {
	return "row " + e.Row.Table + "/" + e.Row.Key + " is at another version"
}

// Errors that the platform's services return.
var (
	ErrNotFound = errors.New("not found")
	// ErrUnknownOutcome reports a write that may or may not have been committed.
	ErrUnknownOutcome = errors.New("the outcome of the write is not known")
)

// Table is the platform's transactional table service.
type Table interface {
	// Read returns one row, or ErrNotFound if it does not exist.
	Read(ctx context.Context, table, key string) (Row, error)
	// Transact commits t and returns its version. The error is a *ConflictError if a condition
	// did not hold, and wraps ErrUnknownOutcome if t may have been committed or may be later.
	Transact(ctx context.Context, t Transaction) (int64, error)
	// Changes returns the changes to the tables after a position. If the platform no longer has
	// them, it returns all rows as changes after version 0.
	Changes(ctx context.Context, tables []string, after Position) (Changes, error)
	// Era returns the latest era that a response has reported; see Position. A method that returns
	// has noted the era of its response before.
	Era() int64
}

// EraObserver notes the current era of the platform's store; see Position. It does not block.
type EraObserver interface {
	ObserveEra(era int64)
}

// Object is one version of an object in the platform's object store.
type Object struct {
	Name    string
	Version int64
	Body    []byte
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Get returns the newest version of an object, or ErrNotFound if it does not exist.
	Get(ctx context.Context, name string) (Object, error)
	// Put stores o if the object's current version is o.Version, and returns the new version.
	Put(ctx context.Context, o Object) (int64, error)
}

// InstanceList is the platform's list of live and leaving instances. It may be out of date.
type InstanceList interface {
	Listing(ctx context.Context) (Listing, error)
}

// Start returns the position after which c has all changes.
func (c Changes) Start() Position {
	return Position{Era: c.Era, Version: c.After}
}

// End returns the position up to which c has all changes.
func (c Changes) End() Position {
	return Position{Era: c.Era, Version: c.To}
}

// Ticker is one subscription to a Timer.
type Ticker interface {
	// C delivers the time of each tick. A tick is dropped if the previous one was not yet received.
	C() <-chan time.Time
	// Close ends the subscription.
	Close()
}

// Timer is the source of time for the program, so that tests can substitute a manual clock.
type Timer interface {
	Now() time.Time
	// Elapsed returns a monotonic time since a fixed point, which includes time when the machine
	// was suspended.
	Elapsed() time.Duration
	Subscribe(every time.Duration) Ticker
	// After returns a Ticker that delivers once, after d.
	After(d time.Duration) Ticker
}

// Backend sends requests to backend servers. It is safe for concurrent use.
type Backend interface {
	// Stream makes one attempt and returns the response before its body has been read. The error
	// is a *RequestError. mayResend is called if the server has closed a reused connection, and reports
	// whether the request may be sent once more; it must be nil for a request that must not run twice.
	Stream(r *http.Request, server BackendServer, mayResend func() bool) (*http.Response, error)
	// Probe requests the load and health of a backend server.
	Probe(ctx context.Context, server BackendServer) (LoadReport, error)
}

// Recorder logs routing and placement decisions.
type Recorder interface {
	Record(d Decision)
}

// Decision describes one routing or placement decision with its inputs and its reason. Fields that do
// not apply to its kind are empty.
type Decision struct {
	// Kind is route, server, placement or move.
	Kind       string
	Class      string
	Block      string
	Home       string
	Bucket     int
	Site       string
	Server     string
	PlanStep   int64
	Attempt    int
	Reason     string
	Verdict    Verdict
	Status     int
	Duration   time.Duration
	InFlight   int
	Candidates int
	// Share is the share of the class's traffic, 0 to 1, that still has to move.
	Share       float64
	ServerError string
}
