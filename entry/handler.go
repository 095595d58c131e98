package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/dispatch"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/quarantine"
	"lovageyard.example/lovageyard/quota"
)

// maxBody bounds the bodies of requests, which are read whole before they are sent, so
// that a slow caller holds no slot; the configuration may set a lower bound.
const maxBody = 8 << 20

// Source gives the view in force.
type Source interface {
	View() *catalog.View
	// ConfirmationAge returns how long ago the configuration in force was known to be the newest.
	ConfirmationAge() time.Duration
}

// Codec translates the headers of the wire.
type Codec interface {
	Request(h http.Header) lovageyard.RequestMeta
	Outgoing(h http.Header, f lovageyard.Forwarding)
	// Challenge asks for credentials in an answer of 401.
	Challenge(h http.Header)
	Echo(h http.Header, id string)
}

// Sender makes one attempt at a backend server; a failure is a *lovageyard.RequestError.
type Sender interface {
	Send(ctx context.Context, r link.Request) (*link.Response, error)
	Forget(server string)
}

// Quarantine judges requests by the servers that ended under them; requests go by their fingerprints.
type Quarantine interface {
	Evaluate(request uint64) quarantine.Decision
	RecordLoss(server lovageyard.BackendServer, request uint64, sentAt time.Time)
	RecordCrash(server lovageyard.BackendServer)
	RecordSuccess(request uint64)
}

// Quota judges whether requests are within the limits of their accounts.
type Quota interface {
	Admit(ctx context.Context, a *lovageyard.Account) quota.Decision
	// Return takes back the admission of a request that has not run and will not.
	Return(a *lovageyard.Account)
}

// Settings are what a Handler is made of.
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
	Limits     KnowledgeLimits
}

// Handler forwards callers' requests.
type Handler struct {
	Settings
}

// NewHandler returns a handler.
func NewHandler(p Settings) *Handler {
	return &Handler{Settings: p}
}

// ServeHTTP answers one request.
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
	if view.Leaving {
		w.Header().Set("Connection", "close")
	}
	x.serve()
}

// exchange is one caller's request on its way.
type exchange struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	view    *catalog.View
	began   time.Time
	meta    lovageyard.RequestMeta
	route   *lovageyard.Route
	caller  caller
	// regions are the only ones that may run the request; empty means all.
	regions []string
	service string
	body    []byte
	// fingerprint stands for the request's content, whatever attempt of the client this is.
	fingerprint uint64
	// deadline is when a server has to be done, and end when its answer is given up here.
	deadline time.Time
	end      time.Time
	tried    []string
	// broken counts the servers that broke off the request.
	broken int
	// cause says why the request was refused, or is "".
	cause string
	// ran says that an attempt may have run the request.
	ran bool
	// returnAfter is when a server takes the request again, if all others have asked for less.
	returnAfter time.Duration
	// failed is the last attempt whose server answered with a failure of its own, or nil.
	failed *attempt
}

// serve checks the request and runs it.
func (x *exchange) serve() {
	if x.view.Refusing || x.view.Configuration == nil {
		x.refuse(causeClosing, "this instance takes no requests", retrySoon, nil)
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
	if status, err := x.readBody(); err != nil {
		x.reject(status, err.Error())
		return
	}
	// A body may take long to come.
	if !x.isStillAllowed() {
		x.rejectCaller()
		return
	}
	if !x.setRegions() {
		x.refuse(causeNoRegion, "the route's home regions are none of the account's", retryNever, nil)
		return
	}
	x.fingerprint = x.content().Fingerprint()
	x.setDeadlines()
	if x.outlivesInstance() {
		x.refuse(causeClosing, "this instance ends before the answer is due", retrySoon, nil)
		return
	}
	if j := x.judge(); j.Quarantined {
		x.refuse(causeHeld, "servers end under this request", j.Until.Sub(x.began), nil)
		return
	}
	if answer := x.handler.Quota.Admit(x.request.Context(), x.caller.account); answer.Verdict != quota.Admitted {
		x.refuse(causeLimit, "the account is beyond its limit", answer.RetryAfter, nil)
		return
	}
	x.run()
	if !x.ran {
		x.handler.Quota.Return(x.caller.account)
	}
}

// judge returns what is thought of the request.
func (x *exchange) judge() quarantine.Decision {
	return x.handler.Quarantine.Evaluate(x.fingerprint)
}

// outlivesInstance says whether the request may last longer than this instance, which leaves. It
// would be cut off while its server is at work; another instance takes it at once.
func (x *exchange) outlivesInstance() bool {
	return x.view.Leaving && x.end.After(x.view.ShutdownAt)
}

// setDeadlines sets when the servers have to be done, which is the shorter of the client's
// deadline and the route's timeout, and when the last answer is given up here.
func (x *exchange) setDeadlines() {
	limit := x.route.Timeout
	end := limit + answerGrace
	if limit <= 0 {
		limit = defaultDeadline
		end = limit
	}
	if client := x.meta.Timeout; client > 0 {
		limit = min(limit, client)
		end = min(end, client-answerMargin)
	}
	x.deadline = x.began.Add(limit)
	x.end = x.began.Add(end)
}

// content returns what the request has in common with other attempts at it.
func (x *exchange) content() quarantine.Content {
	return quarantine.Content{
		Caller: x.callerText(),
		Method: x.request.Method,
		Host:   x.request.Host,
		Target: x.request.RequestURI,
		Body:   x.body,
	}
}

// path returns the request's path as the client wrote it, without the query.
func (x *exchange) path() string {
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	return path
}

func (x *exchange) readBody() (int, error) {
	if x.request.ContentLength == 0 {
		return 0, nil
	}
	limit := int64(maxBody)
	if n := x.view.Configuration.MaxBodyBytes; n > 0 {
		limit = min(limit, n)
	}
	var body bytes.Buffer
	if n := x.request.ContentLength; n > 0 && n <= limit {
		body.Grow(int(n))
	}
	_, err := io.Copy(&body, http.MaxBytesReader(x.writer, x.request.Body, limit))
	x.body = body.Bytes()
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge, err
	}
	return http.StatusBadRequest, err
}

// Causes of refusals, for metrics, besides those of the choice of a server.
const (
	causeClosing    = "closing"
	causeHeld       = "held"
	causeServer     = "server"
	causeNotReached = "not-reached"
	causeStale      = "stale"
	causeLimit      = "limit"
	causeNoRegion   = "no-region"
)
