package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/dispatch"
	"lovageyard.example/lovageyard/footprint"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/quarantine"
	"lovageyard.example/lovageyard/quota"
)

// Source provides the current view of instances, servers and configuration.
type Source interface {
	View() *catalog.View
	// ConfirmationAge returns how long ago the current configuration was confirmed to be the newest.
	ConfirmationAge() time.Duration
}

// Codec translates between HTTP headers of the platform and request metadata.
type Codec interface {
	Request(h http.Header) lovageyard.RequestMeta
	Outgoing(h http.Header, f lovageyard.Forwarding)
	// Challenge adds the header that asks for credentials to a 401 response.
	Challenge(h http.Header)
	Echo(h http.Header, id string)
}

// Sender makes one attempt at a backend server. Its errors are of type *lovageyard.RequestError.
type Sender interface {
	Send(ctx context.Context, r link.Request) (*link.Response, error)
	// Forget closes the idle connections to a server.
	Forget(server string)
}

// Quarantine decides whether requests crash servers. Requests are identified by their fingerprints.
type Quarantine interface {
	Evaluate(request uint64) quarantine.Decision
	RecordLoss(server lovageyard.BackendServer, request uint64, sentAt time.Time)
	RecordCrash(server lovageyard.BackendServer)
	RecordSuccess(request uint64)
}

// Quota decides whether requests are within the limits of their accounts.
type Quota interface {
	Admit(ctx context.Context, a *lovageyard.Account) quota.Decision
	// Return takes back the admission of a request that was not run and will not be.
	Return(a *lovageyard.Account)
}

// Settings are the dependencies of a Handler; all but Memory, MinBodyRate, Limits and MayClose are required.
type Settings struct {
	Source     Source
	Codec      Codec
	Sender     Sender
	Dispatch   *dispatch.Table
	Quarantine Quarantine
	Quota      Quota
	Timer      lovageyard.Timer
	Logger     *logrus.Logger
	Metrics    *meter.Set
	Shares     *Shares
	// Memory bounds the bytes that are held for requests and responses; nil means that nothing does.
	Memory *footprint.Pool
	// MinBodyRate is the rate in bytes per second below which the transfer of a body is ended; 0 means none.
	MinBodyRate int64
	Limits      AgeLimits
	// MayClose reports whether the response to a request may close its connection; nil means that it may.
	MayClose func(r *http.Request) bool
}

// Handler forwards callers' requests to backend servers.
type Handler struct {
	Settings
	lengths footprint.Lengths
}

// NewHandler returns a Handler, which is safe for concurrent use.
func NewHandler(s Settings) *Handler {
	return &Handler{Settings: s}
}

// ServeHTTP forwards one request, or responds with the reason why it was not run.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	view := h.Source.View()
	x := &exchange{
		handler: h,
		writer:  w,
		request: r,
		view:    view,
		began:   h.Timer.Now(),
		meta:    h.Codec.Request(r.Header),
	}
	if view.Leaving && (h.MayClose == nil || h.MayClose(r)) {
		w.Header().Set("Connection", "close")
	}
	x.serve()
}

// exchange is the state of one request.
type exchange struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	view    *catalog.View
	began   time.Time
	meta    lovageyard.RequestMeta
	route   *lovageyard.Route
	caller  caller
	// regions are the regions that may run the request; empty means all.
	regions []string
	service string
	body    []byte
	// memory is the reservation of the bytes that are held for the request, or nil.
	memory *footprint.Reservation
	// fingerprint is the hash of the request's content, which is the same for all attempts of the client.
	fingerprint uint64
	// deadline is when a server has to be done, and answerDeadline when this instance stops waiting for its answer.
	deadline       time.Time
	answerDeadline time.Time
	// tried names the servers that are not selected again, and attempts counts all attempts.
	tried    []string
	attempts int
	// brokenConnections counts the attempts whose connection was lost.
	brokenConnections int
	// waited means that the request has waited for a slot; see awaitSlot.
	waited bool
	// cause is the reason of a refusal for metrics and logs, or "".
	cause string
	// refused is the choice by which the first attempt was refused, or the zero Choice.
	refused dispatch.Choice
	// retry is the last decision of the retry budget, or the zero RetryDecision.
	retry dispatch.RetryDecision
	// ran reports whether an attempt may have run the request.
	ran bool
	// retryAfter is the time until a server accepts requests again, if every server has requested backoff.
	retryAfter time.Duration
	// failedAttempt is the last attempt whose server answered with a failure of its own, or nil.
	failedAttempt *attempt
}

// serve checks the request and runs it.
func (x *exchange) serve() {
	if x.view.Refusing || x.view.Configuration == nil {
		x.refuse(causeClosing, "this instance takes no requests", immediateRetry, nil)
		return
	}
	if x.view.Settling {
		x.refuse(causeSettling, "this instance has just started and may lack changes", immediateRetry, nil)
		return
	}
	x.route = x.view.Match(x.request.Host, x.path())
	if x.route == nil {
		x.rejectUnknown(http.StatusNotFound, "no route matches")
		return
	}
	if !x.identify() {
		return
	}
	x.setDeadlines()
	defer func() { x.memory.Release(x.handler.Timer.Now()) }()
	if !x.readBody() {
		return
	}
	// The key may have been revoked while the body was read.
	if !x.keyIsValid() {
		x.rejectRevoked()
		return
	}
	if !x.setRegions() {
		x.refuse(causeNoRegion, "the route's home regions are none of the account's", noRetry, nil)
		return
	}
	x.fingerprint = x.content().Fingerprint()
	if x.outlivesInstance() {
		x.refuse(causeClosing, "this instance ends before the answer is due", immediateRetry, nil)
		return
	}
	if d := x.evaluate(); d.Quarantined {
		x.refuse(causeQuarantined, "servers end under this request", d.Until.Sub(x.began), nil)
		return
	}
	if !x.reserveExpected() {
		return
	}
	if d := x.handler.Quota.Admit(x.request.Context(), x.caller.account); d.Verdict != quota.Admitted {
		x.refuse(causeLimit, "the account is beyond its limit", d.RetryAfter, nil)
		return
	}
	x.run()
	if !x.ran {
		x.handler.Quota.Return(x.caller.account)
	}
}

// evaluate returns the quarantine's decision on the request.
func (x *exchange) evaluate() quarantine.Decision {
	return x.handler.Quarantine.Evaluate(x.fingerprint)
}

// outlivesInstance reports whether this instance is shutting down and may exit before the request has its
// answer. The request would be cut off while the server runs it; another instance accepts it immediately. The shutdown
// may have begun since the request arrived, for example while its body was read.
func (x *exchange) outlivesInstance() bool {
	view := x.handler.Source.View()
	return view.Leaving && x.answerDeadline.After(view.ShutdownAt)
}

// setDeadlines sets the deadline for the servers, which is the shorter of the client's deadline and the
// route's timeout, and the time at which this instance stops waiting for an answer.
func (x *exchange) setDeadlines() {
	limit := x.route.Timeout
	answerLimit := limit + answerGrace
	if limit <= 0 {
		limit = defaultDeadline
		answerLimit = limit
	}
	if client := x.meta.Timeout; client > 0 {
		limit = min(limit, client)
		answerLimit = min(answerLimit, client-answerMargin)
	}
	x.deadline = x.began.Add(limit)
	x.answerDeadline = x.began.Add(answerLimit)
}

// content returns the part of the request that is the same for all attempts of the client.
func (x *exchange) content() quarantine.Content {
	return quarantine.Content{
		Caller: x.callerID(),
		Method: x.request.Method,
		Host:   x.request.Host,
		Target: x.request.RequestURI,
		Body:   x.body,
	}
}

// path returns the request's path exactly as the client sent it, without the query.
func (x *exchange) path() string {
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	return path
}

// Causes of refusals in metrics and logs, in addition to those of the dispatch table.
const (
	causeClosing     = "closing"
	causeSettling    = "settling"
	causeQuarantined = "held"
	causeServer      = "server"
	causeNotReached  = "not-reached"
	causeStale       = "stale"
	causeLimit       = "limit"
	causeNoRegion    = "no-region"
	causeMemory      = "memory"
	causeServerBytes = "server-bytes"
	causeSlowBody    = "slow-body"
	// causeSlowReader is the cause of a response that was not written completely.
	causeSlowReader = "slow-reader"
)
