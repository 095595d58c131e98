package entry

import (
	"net/http"
	"strconv"
	"time"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/dispatch"
	"lovageyard.example/lovageyard/link"
)

// attempt is one attempt at a backend server.
type attempt struct {
	choice dispatch.Choice
	answer *link.Response
	err    *lovageyard.RequestError
	sentAt time.Time
	took   time.Duration
	// waitedForMemory means that the answer was not read until other requests had released memory.
	waitedForMemory bool
}

// succeeded reports whether the server's answer goes to the client as a success, or as a rejection of the
// request that another server would repeat.
func (a *attempt) succeeded() bool {
	return a.isForwardable() && a.answer.Status < http.StatusInternalServerError
}

// isForwardable reports whether the server's answer may be sent to the client. The server must have sealed it,
// and it must not claim that a request which ran has not run.
func (a *attempt) isForwardable() bool {
	return a.answer != nil && a.answer.Meta.Sealed && !a.answer.Meta.NotRun && !promisesNotRun(a.answer.Status)
}

// promisesNotRun reports whether clients take a status as a promise that the request has not run and will not
// run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// verdict returns whether the attempt has run, may have run, or has not run.
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

// refusedWithFreeSlots reports whether the server refused the request for another reason than a lack of room, such as
// a fault that affects part of its requests. Unless it refuses more than others, it is as likely as they are to accept
// the next attempt, and has the request's object cached.
func (a *attempt) refusedWithFreeSlots() bool {
	if a.answer == nil || !a.answer.Meta.NotRun || !a.answer.Meta.Reported || a.answer.Meta.Misdirected {
		return false
	}
	requested := a.answer.Meta.Backpressure
	load := a.answer.Meta.Load
	return requested.Backoff == 0 && !requested.Leaving && load.InFlight+load.Queued < load.Slots
}
