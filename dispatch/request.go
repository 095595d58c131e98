package dispatch

import (
	"time"

	"lovageyard.example/lovageyard"
)

// Request describes a client's request for which a server is selected.
type Request struct {
	Now   time.Time
	Route *lovageyard.Route
	// Service is the service of the route's part that the request was assigned to; see
	// AssignService.
	Service string
	// Key identifies the object that the request concerns, or is "".
	Key string
	// Deadline is the time by which a server must have finished the request.
	Deadline time.Time
	// HashOverride, if it is not 0, replaces the hash of the object, so that the request is routed
	// independently of other requests for the object.
	HashOverride uint64
	// Rank is the priority of the request under overload; 0 is the highest.
	Rank int
	// Account names the client account that sends the request, or is "".
	Account string
	// Regions are the regions in which the request may run; empty means all.
	Regions []string
	// Tried names the servers that earlier attempts were sent to.
	Tried []string
	// Waited means that the request was refused before, and has waited since for a server to have room.
	Waited bool

	// standing is set by Choose.
	standing standing
}

// Choice is the result for a Request: either a server or a refusal.
type Choice struct {
	// Server is the selected server, or the full home of a request that was refused with
	// CauseHomeFull.
	Server lovageyard.BackendServer
	// Expected is the estimated time until the answer.
	Expected time.Duration
	// Wait is the part of Expected that the request spends in the server's queue.
	Wait time.Duration
	// Load is the server's estimated number of requests, and LoadAge the age of the load report
	// that it is based on.
	Load    float64
	LoadAge time.Duration
	// Pace is the expected execution time at the server's machine in multiples of the usual one, by its
	// reports, or 0 if it reports none.
	Pace float64
	// Reason explains the choice or the refusal in words.
	Reason string
	// Rule is one of the Rule constants, or "" if the request was refused.
	Rule string
	// Cause is one of the Cause constants if the request was refused, or "".
	Cause string
	// Cold means that the server was cold, so that the request counts against its ColdBound.
	Cold bool
	// Object is the hash of the object that the request concerns, or 0.
	Object uint64
	// Refused means that no server was selected.
	Refused bool
	// BeyondShare means that the request was refused while its account got more than its fair share.
	BeyondShare bool
	// RetryAfter is the delay after which a refused client should retry.
	RetryAfter time.Duration

	server  *server
	service *service
	route   *lovageyard.Route
	work    time.Duration
	sentAt  time.Time
	// counted means that the choice is counted as accepted for the priority and the account.
	counted  bool
	priority priority
	account  string
}

// Outcome is the result of an attempt at a chosen server.
type Outcome struct {
	At time.Time
	// Answered means that the server sent an answer, whatever its status.
	Answered bool
	// BrokenAnswer means that the server began to answer, so that it was reached, but sent no whole answer.
	BrokenAnswer bool
	// Failed means that there was no complete answer, or that the answer reported a failure.
	Failed bool
	// NotRun means that the server refused the request without running it.
	NotRun bool
	// Misdirected means that another server now uses the address.
	Misdirected bool
	// Abandoned means that the caller gave up before the server was late, so that the attempt says
	// nothing about the server.
	Abandoned bool
	Meta      lovageyard.ResponseMeta
	// DialTime is the time that a new connection took, or 0 if one was reused.
	DialTime time.Duration
}
