package lovageyard

import "github.com/pkg/errors"

// Verdict says whether a request that failed may have run at a backend server.
type Verdict string

// The verdicts; NotRun is given only when it is proved.
const (
	VerdictNotRun     Verdict = "not-run"
	VerdictMayHaveRun Verdict = "may-have-run"
	VerdictRan        Verdict = "ran"
)

// VerdictHeader is the answer header that carries a Verdict.
const VerdictHeader = "Lovageyard-Verdict"

// Headers that the system's parties exchange besides VerdictHeader.
const (
	// SendBeforeHeader bounds when a request may begin to run, in milliseconds since 1970.
	SendBeforeHeader    = "Lovageyard-Send-Before-Ms"
	DeadlineHeader      = "Lovageyard-Deadline-Ms"
	LoadHeader          = "Lovageyard-Load"
	FailureDomainHeader = "Lovageyard-Failure-Domain"
	SiteHeader          = "Lovageyard-Site"
)

// RequestError is a failure with the verdict on the request that met it.
type RequestError struct {
	Verdict Verdict
	Reason  string
	Cause   error
	// Broken says that the server broke off the connection while it had the request.
	ConnectionLost bool
	// Ended says that the server has ended: its port refuses connections, or is another's.
	ServerExited bool
	// Withheld says that nothing was sent, as the server had asked for no more.
	Throttled bool
}

// Error returns the reason and the cause.
func (e *RequestError) Error() string {
	if e.Cause == nil {
		return e.Reason
	}
	return e.Reason + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error {
	return e.Cause
}

// NotRun returns an error for a request of which no byte reached a backend server.
func NotRun(reason string, cause error) *RequestError {
	return &RequestError{Verdict: VerdictNotRun, Reason: reason, Cause: cause}
}

// MayHaveRun returns an error for a request whose fate is unknown.
func MayHaveRun(reason string, cause error) *RequestError {
	return &RequestError{Verdict: VerdictMayHaveRun, Reason: reason, Cause: cause}
}

// VerdictOf returns the verdict that err carries, and VerdictMayHaveRun for an error without one.
func VerdictOf(err error) Verdict {
	var failure *RequestError
	if errors.As(err, &failure) {
		return failure.Verdict
	}
	return VerdictMayHaveRun
}
