package caller

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/block"
	"lovageyard.example/lovageyard/charge"
	"lovageyard.example/lovageyard/class"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/route"
	"lovageyard.example/lovageyard/server"
)

// maxAttempts is the maximum number of attempts at one request.
const maxAttempts = 3

// A server that does not answer in time is marked as unreachable if the attempt lasted at least
// unreachableFactor times the mean response time of its pool, and at least minUnreachableTime.
const (
	unreachableFactor  = 8
	minUnreachableTime = 500 * time.Millisecond
)

// statusClientGone is logged for a request whose client disconnected.
const statusClientGone = 499

// exchange is the state of one request.
type exchange struct {
	handler    *Handler
	writer     http.ResponseWriter
	request    *http.Request
	classRoute *route.ClassRoute
	body       *requestBody
	location   block.Location
	home       string
	deadline   time.Time
	began      time.Time
	attempt    int
	choice     route.Choice
	slot       server.Result
	heldClaim  *charge.HeldClaim
	// mayHaveRun reports whether an attempt may have run the request.
	mayHaveRun bool
}

func (h *Handler) forward(w http.ResponseWriter, r *http.Request, s *route.Snapshot) {
	classRoute := s.Match(r)
	if classRoute == nil {
		fail(w, http.StatusNotFound, lovageyard.NotRun("no class matches the request", nil), 0)
		return
	}
	began := h.timer.Now()
	limit, err := deadlineOf(r, classRoute.Class)
	if err != nil {
		fail(w, http.StatusBadRequest, lovageyard.NotRun(err.Error(), nil), 0)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), began.Add(limit))
	defer cancel()
	x := &exchange{
		handler:    h,
		writer:     w,
		request:    r.WithContext(ctx),
		classRoute: classRoute,
		deadline:   began.Add(limit),
		began:      began,
	}
	x.location, x.home = s.Locate(clientOf(r))
	classRoute.CountRequest(x.location, x.home)
	x.run()
}

func clientOf(r *http.Request) netip.Addr {
	return remoteAddr(r)
}

// deadlineOf returns the time limit of a request: that of its deadline header, up to class.MaxDeadline, or
// else that of its class.
func deadlineOf(r *http.Request, c lovageyard.Class) (time.Duration, error) {
	text := r.Header.Get(lovageyard.DeadlineHeader)
	if text == "" {
		return c.Deadline.Std(), nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, errors.Errorf("%s: %q is not a number of milliseconds above 0", lovageyard.DeadlineHeader, text)
	}
	return min(time.Duration(ms)*time.Millisecond, class.MaxDeadline), nil
}

// run makes attempts until one is answered or no retry is allowed.
func (x *exchange) run() {
	if !x.readBody() {
		return
	}
	if !x.claim() {
		return
	}
	x.classRoute.RetryBudget.Deposit()
	for x.attempt = 1; ; x.attempt++ {
		failure := x.try()
		if failure == nil {
			return
		}
		x.record(failure, 0)
		if failure.Verdict != lovageyard.VerdictNotRun {
			x.mayHaveRun = true
		}
		if !x.mayRetry(failure) {
			failure = x.overall(failure)
			x.finishClaim(failure.Verdict)
			x.finish(failure)
			return
		}
	}
}

// readBody reads the request's body ahead, or refuses the request and returns false. No part of the body is awaited
// longer than to the deadline.
func (x *exchange) readBody() bool {
	controller := http.NewResponseController(x.writer)
	_ = controller.SetReadDeadline(x.deadline)
	body, err := readAhead(x.request, x.bodyLimit())
	if err != nil {
		status := http.StatusBadRequest
		if errors.Is(err, os.ErrDeadlineExceeded) {
			status = http.StatusRequestTimeout
		}
		x.writer.Header().Set("Connection", "close")
		x.refuse(status, lovageyard.NotRun("the request's body could not be read", err), 0)
		return false
	}
	if body.isComplete() {
		_ = controller.SetReadDeadline(time.Time{})
	}
	x.body = body
	return true
}

// bodyLimit returns the size up to which the request's body is buffered.
func (x *exchange) bodyLimit() int64 {
	if x.classRoute.Class.Idempotent {
		return maxBuffered
	}
	return maxChargeBody
}

// attemptError is a failed attempt, with the status of the response if no other attempt follows.
type attemptError struct {
	*lovageyard.RequestError
	status     int
	retryAfter time.Duration
	// final reports whether this instance refused the request, in which case a retry would be refused as well.
	final bool
}

func (x *exchange) mayRetry(failure *attemptError) bool {
	if failure.final || x.attempt >= maxAttempts || x.request.Context().Err() != nil {
		return false
	}
	if failure.Verdict != lovageyard.VerdictNotRun && !x.classRoute.Class.Idempotent {
		return false
	}
	if !x.body.isComplete() {
		return false
	}
	return x.classRoute.RetryBudget.Withdraw()
}

// overall returns the failure of the request, given that of its last attempt: a refusal of the last attempt does not
// mean that no earlier one has run.
func (x *exchange) overall(last *attemptError) *attemptError {
	if !x.mayHaveRun || last.Verdict != lovageyard.VerdictNotRun {
		return last
	}
	failure := lovageyard.MayHaveRun("an earlier attempt may have run", last.RequestError)
	return &attemptError{RequestError: failure, status: http.StatusBadGateway, retryAfter: last.retryAfter}
}

// resendPermission returns the function that decides whether an attempt is sent again after the server has closed
// a reused connection, or nil if the request must not run twice.
func (x *exchange) resendPermission() func() bool {
	if !x.classRoute.Class.Idempotent {
		return nil
	}
	return x.classRoute.RetryBudget.Withdraw
}

// try makes one attempt. It returns nil once the response has been sent.
func (x *exchange) try() *attemptError {
	now := x.handler.timer.Now()
	previous := x.slot.Server.Name
	x.slot = server.Result{}
	x.choice = x.classRoute.ChooseSite(x.location, x.home, now)
	if x.choice.Err != nil {
		return &attemptError{RequestError: x.choice.Err, status: http.StatusServiceUnavailable, retryAfter: x.choice.RetryAfter, final: true}
	}
	if failure := x.acquire(now, previous); failure != nil {
		return failure
	}
	return x.send()
}

// acquire waits for a slot on a backend server of the chosen site.
func (x *exchange) acquire(now time.Time, avoid string) *attemptError {
	result, waiter := x.choice.Pool.Acquire(server.Request{
		Now:        now,
		Deadline:   x.deadline,
		Importance: x.classRoute.Class.Importance,
		Avoid:      avoid,
	})
	if waiter != nil {
		result = x.await(waiter)
	}
	if result.Err != nil {
		return &attemptError{
			RequestError: result.Err,
			status:       http.StatusServiceUnavailable,
			retryAfter:   result.RetryAfter,
			final:        true,
		}
	}
	x.slot = result
	return nil
}

func (x *exchange) await(w *server.Waiter) server.Result {
	select {
	case result := <-w.Result():
		return result
	case <-x.request.Context().Done():
	}
	if x.choice.Pool.Cancel(w) {
		return server.Result{Err: lovageyard.NotRun("the deadline came while the request was queued", nil)}
	}
	return <-w.Result()
}

// send sends the request to the acquired server and forwards the answer.
func (x *exchange) send() *attemptError {
	ctx, cancel := x.attemptContext()
	defer cancel()
	started := x.handler.timer.Now()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: x.forwardEarlyHint})
	response, err := x.handler.backend.Stream(x.outgoing(ctx), x.slot.Server, x.resendPermission())
	if err != nil {
		x.release(started, lovageyard.Outcome{Failed: true})
		if x.isServerFault(ctx, started) {
			x.choice.Pool.MarkUnreachable(x.slot.Server.Name)
		}
		return x.newAttemptError(err)
	}
	defer response.Body.Close()
	outcome := lovageyard.Outcome{}
	outcome.Report, outcome.Reported = link.ReportOf(response.Header)
	if outcome.Report.Leaving {
		x.handler.observer.ServerLeaving(x.classRoute.Class.Service, x.choice.Site, x.slot.Server.Name)
	}
	if link.IsRefusal(response) {
		outcome.Failed = true
		x.release(started, outcome)
		failure := lovageyard.NotRun("the backend server refused the request", nil)
		return &attemptError{RequestError: failure, status: http.StatusServiceUnavailable, retryAfter: time.Second}
	}
	failure := x.forwardAnswer(response, func(failed bool) {
		outcome.Failed = failed
		x.release(started, outcome)
	})
	return failure
}

// isServerFault reports whether a failed attempt counts against the server. It does not if the caller
// disconnected, or if the deadline left the server too little time.
func (x *exchange) isServerFault(ctx context.Context, started time.Time) bool {
	if x.request.Context().Err() == context.Canceled {
		return false
	}
	now := x.handler.timer.Now()
	// A connection attempt may time out at the context's deadline just before the context ends.
	deadline, hasDeadline := ctx.Deadline()
	if ctx.Err() == nil && (!hasDeadline || now.Before(deadline)) {
		return true
	}
	threshold := max(minUnreachableTime, unreachableFactor*x.slot.Mean)
	return now.Sub(started) >= threshold
}

func (x *exchange) newAttemptError(err error) *attemptError {
	var failure *lovageyard.RequestError
	if !errors.As(err, &failure) {
		failure = lovageyard.MayHaveRun("the backend server did not answer", err)
	}
	status := http.StatusBadGateway
	if errors.Is(err, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	return &attemptError{RequestError: failure, status: status}
}

// attemptContext returns the context of one attempt. If another attempt may follow, the context ends after half
// of the remaining time.
func (x *exchange) attemptContext() (context.Context, context.CancelFunc) {
	ctx := x.request.Context()
	if !x.classRoute.Class.Idempotent || x.attempt >= maxAttempts || !x.body.isComplete() {
		return context.WithCancel(ctx)
	}
	left := x.deadline.Sub(x.handler.timer.Now())
	return context.WithTimeout(ctx, left/2)
}

func (x *exchange) release(started time.Time, o lovageyard.Outcome) {
	o.At = x.handler.timer.Now()
	o.Duration = o.At.Sub(started)
	x.choice.Pool.Release(x.slot, o)
}

// outgoing returns the request to send to the backend server.
func (x *exchange) outgoing(ctx context.Context) *http.Request {
	out := x.request.Clone(ctx)
	out.RequestURI = ""
	out.Header = link.EndToEndHeaders(x.request.Header)
	out.Header.Del("Expect")
	addForwardedFor(out.Header, x.request)
	if out.Header.Get("User-Agent") == "" {
		// Without this, the transport would add a User-Agent of its own.
		out.Header["User-Agent"] = nil
	}
	left := max(1, x.deadline.Sub(x.handler.timer.Now()).Milliseconds())
	out.Header.Set(lovageyard.DeadlineHeader, strconv.FormatInt(left, 10))
	out.Header.Set(lovageyard.SendBeforeHeader, strconv.FormatInt(x.deadline.UnixMilli(), 10))
	out.Header.Set(lovageyard.FailureDomainHeader, x.handler.self.FailureDomain)
	out.Close = false
	out.TransferEncoding = nil
	out.Trailer = x.request.Trailer
	x.body.attach(out, x.request.ContentLength)
	return out
}

// finish responds after a failure that is not retried.
func (x *exchange) finish(failure *attemptError) {
	// A failure caused by the deadline may be noticed just before the context ends.
	if failure.status != http.StatusRequestTimeout && !x.handler.timer.Now().Before(x.deadline) {
		failure.status = http.StatusGatewayTimeout
	}
	x.count("failed." + string(failure.Verdict))
	x.beginAnswer()
	fail(x.writer, failure.status, failure.RequestError, failure.retryAfter)
}

// beginAnswer prepares for an answer that begins while the request's body is still arriving. net/http must not read the
// rest of the body then, as an attempt may be reading it, and can't find the next request behind it.
func (x *exchange) beginAnswer() {
	if x.body == nil || x.body.hasEnded() {
		return
	}
	_ = http.NewResponseController(x.writer).EnableFullDuplex()
	x.writer.Header().Set("Connection", "close")
}

// refuse ends a request before its first attempt.
func (x *exchange) refuse(status int, err *lovageyard.RequestError, retryAfter time.Duration) {
	failure := &attemptError{RequestError: err, status: status, retryAfter: retryAfter}
	x.record(failure, 0)
	x.finish(failure)
}

func (x *exchange) count(name string) {
	metrics.GetOrRegisterCounter("class."+x.classRoute.Class.Name+"."+name, x.handler.metrics).Inc(1)
}

// record writes the log line of one attempt.
func (x *exchange) record(failure *attemptError, status int) {
	d := lovageyard.Decision{
		Kind:       "route",
		Class:      x.classRoute.Class.Name,
		Block:      x.location.Block.String(),
		Home:       x.home,
		Bucket:     x.location.Bucket,
		Site:       x.choice.Site,
		Server:     x.slot.Server.Name,
		PlanStep:   x.classRoute.Step,
		Attempt:    x.attempt,
		Reason:     x.choice.Reason,
		Status:     status,
		Duration:   x.handler.timer.Now().Sub(x.began),
		InFlight:   x.slot.InFlight,
		Candidates: x.slot.Candidates,
	}
	if failure != nil {
		d.Verdict = failure.Verdict
		d.ServerError = failure.Error()
		d.Status = failure.status
	}
	x.handler.recorder.Record(d)
}
