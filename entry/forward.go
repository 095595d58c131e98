package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/dispatch"
	"lovageyard.example/lovageyard/footprint"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/meter"
)

// Time limits and bounds of requests.
const (
	// defaultDeadline applies if neither the client nor the route sets a deadline.
	defaultDeadline = 30 * time.Second
	// immediateRetry is the retry time if another instance may serve the request immediately; it leaves time
	// for a look-up.
	immediateRetry = 50 * time.Millisecond
	// answerMargin is subtracted from the client's deadline, so that a response of this instance still arrives
	// in time.
	answerMargin = 10 * time.Millisecond
	// answerGrace is how long after a route's timeout an answer may still arrive, if the server had it ready
	// in time; operators tolerate a quarter of a second.
	answerGrace = 170 * time.Millisecond
	// maxWaitShare is the part of a route's goal for which a request waits for a slot; the rest is for its work, which
	// is uncached at worst.
	maxWaitShare = 0.35
	// maxBrokenConnections is the number of lost connections after which a request is not sent to another
	// server. A harmless request is rarely in flight at two crashes; one that crashes servers would crash the
	// next one as well, and fail every request in flight there.
	maxBrokenConnections = 2
	// retryDivisor is the divisor of the time left until the client's deadline, which limits the retry time.
	retryDivisor = 3
	// statusClientGone is logged for a request whose client disconnected.
	statusClientGone = 499
)

// run makes attempts until one is final, and responds.
func (x *exchange) run() {
	ctx, cancel := x.context()
	defer cancel()
	x.service = x.handler.Dispatch.AssignService(x.route, x.handler.Timer.Now())
	choice := x.awaitSlot(ctx, x.choose())
	if choice.Refused {
		x.refused = choice
		x.countRefusal(choice)
		x.refuse(choice.Cause, choice.Reason, choice.RetryAfter, nil)
		return
	}
	if !x.assignTo(choice) {
		x.refuse(causeServerBytes, "too many bytes are in flight to the server", x.boundRetry(choice.Expected), nil)
		return
	}
	for {
		a := x.try(ctx, choice)
		if a.succeeded() || !x.mayRetry(ctx, a) {
			x.finish(ctx, a)
			return
		}
		if !x.keyIsValid() || x.outlivesInstance() {
			x.finish(ctx, a)
			return
		}
		choice = x.choose()
		if choice.Cause == dispatch.CauseBackpressure {
			x.retryAfter = choice.RetryAfter
		}
		if !x.admitRetry(choice) {
			x.finish(ctx, a)
			return
		}
		x.log(logrus.InfoLevel, "repeated", 0, a.reason(), a)
	}
}

// awaitSlot waits for a slot while servers have room for more urgent requests only. They can't reorder their queues, so
// that the request waits here, where it delays nobody, up to a part of its goal.
func (x *exchange) awaitSlot(ctx context.Context, choice dispatch.Choice) dispatch.Choice {
	until := x.began.Add(time.Duration(maxWaitShare * float64(x.route.Goal)))
	for choice.Cause == dispatch.CauseReserved && !x.handler.Timer.Now().Add(choice.RetryAfter).After(until) {
		x.waited = true
		x.handler.Metrics.Count(meter.SlotWaits, x.label())
		after := x.handler.Timer.After(choice.RetryAfter)
		select {
		case <-after.C():
		case <-ctx.Done():
		}
		after.Close()
		if ctx.Err() != nil {
			return choice
		}
		choice = x.choose()
	}
	return choice
}

// countRefusal updates the metrics for a request that no server was selected for.
func (x *exchange) countRefusal(choice dispatch.Choice) {
	x.handler.Metrics.Count(meter.RankRefusals, x.label(), strconv.Itoa(x.caller.rank(x.route)))
	if choice.BeyondShare {
		x.handler.Metrics.Count(meter.ShareRefusals, x.label())
	}
}

// admitRetry reports whether a retry may go to the chosen server. It cancels the choice if not.
func (x *exchange) admitRetry(choice dispatch.Choice) bool {
	if choice.Refused {
		return false
	}
	if !x.assignTo(choice) {
		return false
	}
	if x.spendRetry() {
		return true
	}
	x.memory.Unassign()
	x.handler.Dispatch.Cancel(choice)
	return false
}

// spendRetry takes one retry from the service's retry budget, and returns false if none is left.
func (x *exchange) spendRetry() bool {
	x.retry = x.handler.Dispatch.TakeRetry(x.service, x.handler.Timer.Now())
	if x.retry.Allowed {
		x.handler.Metrics.Count(meter.Retries, x.label())
		return true
	}
	x.handler.Metrics.Count(meter.RetriesDenied, x.label())
	return false
}

// context returns the context of all attempts. It is done at the deadline, and also when the client
// disconnects if the request is idempotent.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	parent := x.request.Context()
	if !x.route.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	return context.WithDeadline(parent, x.answerDeadline)
}

func (x *exchange) choose() dispatch.Choice {
	r := dispatch.Request{
		Now:      x.handler.Timer.Now(),
		Route:    x.route,
		Service:  x.service,
		Key:      x.meta.Key,
		Deadline: x.deadline,
		Rank:     x.caller.rank(x.route),
		Account:  x.caller.name(),
		Regions:  x.regions,
		Tried:    x.tried,
		Waited:   x.waited,
	}
	if x.brokenConnections > 0 || x.evaluate().Suspect {
		// Requests that were in flight on a crashed server are often for one object. They are sent to
		// different servers now: on a single server they would be in flight at its crash together again, and
		// the cause could not be identified.
		r.HashOverride = x.fingerprint
	}
	return x.handler.Dispatch.Choose(r)
}

// try makes one attempt and reports its outcome to the dispatch table.
func (x *exchange) try(ctx context.Context, choice dispatch.Choice) *attempt {
	x.attempts++
	x.recordSend(choice)
	began := x.handler.Timer.Now()
	a := &attempt{choice: choice, sentAt: began}
	request := x.outgoing(choice, began)
	request.Reserve = x.responseReserve(ctx, a)
	answer, err := x.handler.Sender.Send(ctx, request)
	now := x.handler.Timer.Now()
	x.memory.Unassign()
	a.answer, a.took = answer, now.Sub(began)
	if err != nil && !errors.As(err, &a.err) {
		a.err = lovageyard.MayHaveRun("the backend server did not answer", err)
	}
	x.handler.Dispatch.Done(choice, x.outcome(ctx, a, now))
	if a.verdict() != lovageyard.VerdictNotRun {
		x.ran = true
	}
	if a.isForwardable() {
		x.failedAttempt = a
	}
	if !a.refusedWithFreeSlots() {
		x.tried = append(x.tried, choice.Server.Name)
	}
	if a.answer != nil && (a.answer.Meta.Misdirected || a.answer.Meta.Backpressure.Leaving) {
		x.handler.Sender.Forget(choice.Server.Name)
	}
	x.reportToQuarantine(a)
	x.recordLength(a)
	x.countDiscarded(a)
	return a
}

// countDiscarded updates the metrics for answers of servers that are not used as they are.
func (x *exchange) countDiscarded(a *attempt) {
	if a.answer == nil {
		return
	}
	for range a.answer.Skipped {
		x.handler.Metrics.Count(meter.AnswersSkipped, x.label())
	}
	if !a.answer.Meta.NotRun && promisesNotRun(a.answer.Status) {
		x.handler.Metrics.Count(meter.PromisesIgnored, x.label())
	}
}

func (x *exchange) reportToQuarantine(a *attempt) {
	q := x.handler.Quarantine
	if a.err != nil && a.err.ConnectionLost {
		x.brokenConnections++
		q.RecordLoss(a.choice.Server, x.fingerprint, a.sentAt)
	}
	if a.err != nil && a.err.ServerExited || a.answer != nil && a.answer.Meta.Misdirected {
		q.RecordCrash(a.choice.Server)
	}
	if a.succeeded() {
		q.RecordSuccess(x.fingerprint)
	}
}

// recordSend updates the metrics for an attempt.
func (x *exchange) recordSend(choice dispatch.Choice) {
	m := x.handler.Metrics
	m.Count(meter.Sends, x.label(), choice.Server.FailureDomain)
	m.Count(meter.Placements, choice.Server.Region, choice.Rule)
	x.handler.Shares.Record(choice.Server.Region, choice.Rule)
	m.Observe(meter.ExpectedWait, choice.Wait.Milliseconds(), x.label())
	if choice.Cold {
		m.Count(meter.ColdSends, x.label())
	}
}

// mayResend reports whether the request may be sent to the chosen server once more. It charges the retry
// budget and the server's own limit.
func (x *exchange) mayResend(choice dispatch.Choice) bool {
	return x.handler.Dispatch.TakeResend(choice, x.handler.Timer.Now()) && x.spendRetry()
}

func (x *exchange) outgoing(choice dispatch.Choice, now time.Time) link.Request {
	header := link.EndToEndHeaders(x.request.Header)
	x.handler.Codec.Outgoing(header, lovageyard.Forwarding{
		Remaining:     x.deadline.Sub(now),
		Server:        choice.Server.Name,
		Authenticated: x.caller.identified,
		Account:       x.caller.name(),
	})
	return link.Request{
		Method:        x.request.Method,
		Target:        x.request.RequestURI,
		Host:          x.request.Host,
		Header:        header,
		Body:          x.body,
		ID:            x.meta.ID,
		Idempotent:    x.route.Idempotent,
		MaySend:       func() bool { return x.handler.Dispatch.MaySend(choice, x.handler.Timer.Now()) },
		MayResend:     func() bool { return x.mayResend(choice) },
		Server:        choice.Server.Name,
		Incarnation:   choice.Server.Incarnation,
		ServerAddress: choice.Server.Address,
		ServerDomain:  choice.Server.FailureDomain,
		ServerRegion:  choice.Server.Region,
		Regions:       x.regions,
	}
}

// outcome returns what an attempt shows about its server.
func (x *exchange) outcome(ctx context.Context, a *attempt, now time.Time) dispatch.Outcome {
	// How long an attempt takes that waits for this instance's memory says nothing about the server.
	o := dispatch.Outcome{At: now, Abandoned: a.waitedForMemory}
	if a.answer == nil {
		o.Failed, o.BrokenAnswer = true, a.err.BrokenAnswer
		// A client that disconnected, or a deadline before the answer was due, is not the server's fault.
		o.Abandoned = o.Abandoned || a.err.Throttled || a.err.Inconclusive || ctx.Err() != nil && (x.request.Context().Err() != nil || a.took < 2*a.choice.Expected)
		return o
	}
	o.Answered = true
	o.NotRun = a.answer.Meta.NotRun
	o.Misdirected = a.answer.Meta.Misdirected
	o.Failed = !a.succeeded()
	o.Meta = a.answer.Meta
	o.DialTime = a.answer.DialTime
	return o
}

// mayRetry reports whether the request may be sent to another server.
func (x *exchange) mayRetry(ctx context.Context, a *attempt) bool {
	if ctx.Err() != nil || x.request.Context().Err() != nil || x.attempts >= x.route.Attempts {
		return false
	}
	if a.err != nil && errors.Is(a.err, footprint.ErrTooLarge) {
		return false
	}
	if x.brokenConnections >= maxBrokenConnections || x.evaluate().Quarantined {
		return false
	}
	if a.answer != nil && a.answer.Meta.NotRun && a.answer.Status == http.StatusBadRequest {
		return false
	}
	return !x.ran || x.route.Idempotent
}
