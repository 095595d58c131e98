package entry

import (
	"net/http"
	"strconv"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/dispatch"
	"lovageyard.example/lovageyard/link"
)

// attempt is one try at a backend server.
type attempt struct {
	choice dispatch.Choice
	answer *link.Response
	err    *lovageyard.RequestError
	sentAt time.Time
	took   time.Duration
}

// isGood says whether the client gets the server's answer as a success, or as a refusal
// of the request itself that another server would repeat.
func (a *attempt) isGood() bool {
	return a.mayBePassed() && a.answer.Status < http.StatusInternalServerError
}

// mayBePassed says whether the client may get the server's answer: the server vouches for
// it, and it does not tell the client that a request which ran has not.
func (a *attempt) mayBePassed() bool {
	return a.answer != nil && a.answer.Meta.Sealed && !a.answer.Meta.NotRun && !promisesNotRun(a.answer.Status)
}

// promisesNotRun says whether clients take a status as a promise that the request has not
// run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// verdict says whether the attempt may have run.
func (a *attempt) verdict() lovageyard.Verdict {
	switch {
	case a.err != nil:
		return a.err.Verdict
	case a.answer.Meta.NotRun:
		return lovageyard.VerdictNotRun
	}
	return lovageyard.VerdictRan
}

func (a *attempt) reason() string {
	if a.err != nil {
		return a.err.Error()
	}
	return "the server answered " + strconv.Itoa(a.answer.Status)
}
