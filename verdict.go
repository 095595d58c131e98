package lovageyard

import "github.com/pkg/errors"

// Verdict tells a caller whether a failed request may have run at a backend server, and so
// whether a retry is safe.
type Verdict string

// The verdicts. VerdictNotRun is used only if it is certain that the request did not run.
const (
	VerdictNotRun     Verdict = "not-run"
	VerdictMayHaveRun Verdict = "may-have-run"
	VerdictRan        Verdict = "ran"
)

// VerdictHeader is the response header that carries a Verdict.
const VerdictHeader = "Lovageyard-Verdict"

// Further headers between callers, entry instances and backend servers.
const (
	// SendBeforeHeader is the latest time at which a request may begin to run, in Unix milliseconds.
	SendBeforeHeader    = "Lovageyard-Send-Before-Ms"
	DeadlineHeader      = "Lovageyard-Deadline-Ms"
	LoadHeader          = "Lovageyard-Load"
	FailureDomainHeader = "Lovageyard-Failure-Domain"
	SiteHeader          = "Lovageyard-Site"
	// AttemptHeader identifies one attempt at a backend server, which repeats it in its answer.
	AttemptHeader = "Lovageyard-Attempt"
)

// RequestError is the failure of a request, with its verdict.
type RequestError struct {
	Verdict Verdict
	Reason  string
	Cause   error
	// ConnectionLost means that the server closed the connection before it had responded.
	ConnectionLost bool
	// BrokenAnswer means that the server began to answer, and that what it sent was no whole answer.
	BrokenAnswer bool
	// ServerExited means that the server no longer runs: its port refuses connections or belongs to
	// another server.
	ServerExited bool
	// Throttled means that nothing was sent, because the server had signaled backpressure.
	Throttled bool
	// Inconclusive means that the failure says nothing about the server, as the request was lost on the way
	// to it.
	Inconclusive bool
}

// Error returns the reason, followed by the cause if there is one.
func (e *RequestError) Error() string {
	if e.Cause == nil {
		return e.Reason
	}
	return e.Reason + ": " + e.Cause.Error()
}

// Unwrap returns the cause, which may be nil.
func (e *RequestError) Unwrap() error {
	return e.Cause
}

// NotRun returns an error for a request that certainly did not run at a backend server.
func NotRun(reason string, cause error) *RequestError {
	return &RequestError{Verdict: VerdictNotRun, Reason: reason, Cause: cause}
}

// MayHaveRun returns an error for a request whose outcome is unknown.
func MayHaveRun(reason string, cause error) *RequestError {
	return &RequestError{Verdict: VerdictMayHaveRun, Reason: reason, Cause: cause}
}

// VerdictOf returns the verdict of the RequestError in err's chain, or VerdictMayHaveRun if
// there is none.
func VerdictOf(err error) Verdict {
	var failure *RequestError
	if errors.As(err, &failure) {
		return failure.Verdict
	}
	return VerdictMayHaveRun
}
