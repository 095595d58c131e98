package caller

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/netip"
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

// maxAttempts bounds the attempts at one request.
const maxAttempts = 3

// A server that does not answer is suspected after patienceMeans mean answer times of
// its pool, and not before leastPatience.
const (
	patienceMeans = 8
	leastPatience = 500 * time.Millisecond
)

// statusClientGone is logged for a request whose caller went away.
const statusClientGone = 499

// exchange is one caller's request on its way.
type exchange struct {
	handler  *Handler
	writer   http.ResponseWriter
	request  *http.Request
	work     *route.ClassRoute
	body     *requestBody
	place    block.Location
	home     string
	deadline time.Time
	began    time.Time
	attempt  int
	choice   route.Choice
	slot     server.Result
	held     *charge.HeldClaim
}

func (h *Handler) forward(w http.ResponseWriter, r *http.Request, s *route.Snapshot) {
	work := s.Match(r)
	if work == nil {
		fail(w, http.StatusNotFound, lovageyard.NotRun("no class matches the request", nil), 0)
		return
	}
	began := h.timer.Now()
	limit, err := deadlineOf(r, work.Class)
	if err != nil {
		fail(w, http.StatusBadRequest, lovageyard.NotRun(err.Error(), nil), 0)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), began.Add(limit))
	defer cancel()
	x := &exchange{
		handler:  h,
		writer:   w,
		request:  r.WithContext(ctx),
		work:     work,
		deadline: began.Add(limit),
		began:    began,
	}
	x.place, x.home = s.Locate(clientOf(r))
	work.CountRequest(x.place, x.home)
	x.run()
}

func clientOf(r *http.Request) netip.Addr {
	return remoteAddr(r)
}

// deadlineOf returns the time that a request may take.
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

// run makes attempts until one is answered or none may follow.
func (x *exchange) run() {
	body, err := readAhead(x.request, x.maxKept())
	if err != nil {
		x.refuse(http.StatusBadRequest, lovageyard.NotRun("the request's body could not be read", err), 0)
		return
	}
	x.body = body
	if !body.whole() {
		// A long body may still be arriving when the answer begins.
		_ = http.NewResponseController(x.writer).EnableFullDuplex()
	}
	if !x.claim() {
		return
	}
	x.work.Budget.Deposit()
	for x.attempt = 1; ; x.attempt++ {
		failure := x.try()
		if failure == nil {
			return
		}
		x.record(failure, 0)
		if !x.mayRetry(failure) {
			x.endClaim(failure.Verdict)
			x.finish(failure)
			return
		}
	}
}

// maxKept returns the size up to which the request's body is kept.
func (x *exchange) maxKept() int64 {
	if x.work.Class.Idempotent {
		return maxKept
	}
	return maxChargeBody
}

// attemptError is a failed attempt: the failure, and the answer's status if it is final.
type attemptError struct {
	*lovageyard.RequestError
	status     int
	retryAfter time.Duration
	// refused says that the system itself refused; another attempt would meet the same.
	refused bool
}

func (x *exchange) mayRetry(failure *attemptError) bool {
	if failure.refused || x.attempt >= maxAttempts || x.request.Context().Err() != nil {
		return false
	}
	if failure.Verdict != lovageyard.VerdictNotRun && !x.work.Class.Idempotent {
		return false
	}
	if !x.body.whole() {
		return false
	}
	return x.work.Budget.Withdraw()
}

// try makes one attempt; nil means that the caller has its answer.
func (x *exchange) try() *attemptError {
	now := x.handler.timer.Now()
	previous := x.slot.Server.Name
	x.slot = server.Result{}
	x.choice = x.work.ChooseSite(x.place, x.home, now)
	if x.choice.Err != nil {
		return &attemptError{RequestError: x.choice.Err, status: http.StatusServiceUnavailable, retryAfter: x.choice.RetryAfter, refused: true}
	}
	if failure := x.acquire(now, previous); failure != nil {
		return failure
	}
	return x.send()
}

// acquire waits for a slot at a backend server of the chosen site.
func (x *exchange) acquire(now time.Time, avoid string) *attemptError {
	result, waiter := x.choice.Pool.Acquire(server.Request{
		Now:        now,
		Deadline:   x.deadline,
		Importance: x.work.Class.Importance,
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
			refused:      true,
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

// send sends the request to the acquired server and passes the answer on.
func (x *exchange) send() *attemptError {
	ctx, cancel := x.attemptContext()
	defer cancel()
	started := x.handler.timer.Now()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: x.passHint})
	response, err := x.handler.backend.Stream(x.outgoing(ctx), x.slot.Server)
	if err != nil {
		x.release(started, lovageyard.Outcome{Failed: true})
		if x.isServersFault(ctx, started) {
			x.choice.Pool.MarkUnreachable(x.slot.Server.Name)
		}
		return x.failed(err)
	}
	defer response.Body.Close()
	answer := lovageyard.Outcome{}
	answer.Report, answer.Reported = link.ReportOf(response.Header)
	if answer.Report.Leaving {
		x.handler.watcher.ServerLeaving(x.work.Class.Service, x.choice.Site, x.slot.Server.Name)
	}
	if notRun(response) {
		answer.Failed = true
		x.release(started, answer)
		failure := lovageyard.NotRun("the backend server refused the request", nil)
		return &attemptError{RequestError: failure, status: http.StatusServiceUnavailable, retryAfter: time.Second}
	}
	failure := x.pass(response, func(failed bool) {
		answer.Failed = failed
		x.release(started, answer)
	})
	return failure
}

// isServersFault says whether a failed attempt speaks against the server: not if the
// caller went away, and not if it left the server too little time.
func (x *exchange) isServersFault(ctx context.Context, started time.Time) bool {
	if x.request.Context().Err() == context.Canceled {
		return false
	}
	if ctx.Err() == nil {
		return true
	}
	patience := max(leastPatience, patienceMeans*x.slot.Mean)
	return x.handler.timer.Now().Sub(started) >= patience
}

// notRun says whether a backend server's answer says that it did not run the request.
func notRun(r *http.Response) bool {
	return r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(lovageyard.VerdictHeader) == string(lovageyard.VerdictNotRun)
}

func (x *exchange) failed(err error) *attemptError {
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

// attemptContext leaves time for a further attempt, if one would be allowed.
func (x *exchange) attemptContext() (context.Context, context.CancelFunc) {
	ctx := x.request.Context()
	if !x.work.Class.Idempotent || x.attempt >= maxAttempts || !x.body.whole() {
		return context.WithCancel(ctx)
	}
	left := x.deadline.Sub(x.handler.timer.Now())
	return context.WithTimeout(ctx, left/2)
}

func (x *exchange) release(started time.Time, a lovageyard.Outcome) {
	a.At = x.handler.timer.Now()
	a.Duration = a.At.Sub(started)
	x.choice.Pool.Release(x.slot, a)
}

// outgoing returns the request as the backend server gets it.
func (x *exchange) outgoing(ctx context.Context) *http.Request {
	out := x.request.Clone(ctx)
	out.RequestURI = ""
	out.Header = link.EndToEndHeaders(x.request.Header)
	out.Header.Del("Expect")
	addForwardedFor(out.Header, x.request)
	if out.Header.Get("User-Agent") == "" {
		// An absent header would make the transport name itself.
		out.Header["User-Agent"] = nil
	}
	left := max(1, x.deadline.Sub(x.handler.timer.Now()).Milliseconds())
	out.Header.Set(lovageyard.DeadlineHeader, strconv.FormatInt(left, 10))
	out.Header.Set(lovageyard.SendBeforeHeader, strconv.FormatInt(x.deadline.UnixMilli(), 10))
	out.Header.Set(lovageyard.FailureDomainHeader, x.handler.self.FailureDomain)
	out.Close = false
	out.TransferEncoding = nil
	out.Trailer = x.request.Trailer
	x.body.attach(out, x.request.ContentLength, x.work.Class.Idempotent)
	return out
}

// finish gives the caller the failure that no attempt may follow.
func (x *exchange) finish(failure *attemptError) {
	ctx := x.request.Context()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		failure.status = http.StatusGatewayTimeout
	}
	x.count("failed." + string(failure.Verdict))
	fail(x.writer, failure.status, failure.RequestError, failure.retryAfter)
}

// refuse ends a request before its first attempt.
func (x *exchange) refuse(status int, err *lovageyard.RequestError, retryAfter time.Duration) {
	failure := &attemptError{RequestError: err, status: status, retryAfter: retryAfter}
	x.record(failure, 0)
	x.finish(failure)
}

func (x *exchange) count(name string) {
	metrics.GetOrRegisterCounter("class."+x.work.Class.Name+"."+name, x.handler.metrics).Inc(1)
}

// record writes the decision on one attempt to the log.
func (x *exchange) record(failure *attemptError, status int) {
	d := lovageyard.Decision{
		Kind:       "route",
		Class:      x.work.Class.Name,
		Block:      x.place.Block.String(),
		Home:       x.home,
		Bucket:     x.place.Bucket,
		Site:       x.choice.Site,
		Server:     x.slot.Server.Name,
		PlanStep:   x.work.Step,
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
