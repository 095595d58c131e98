package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/dispatch"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/meter"
)

// Spans of requests.
const (
	// defaultDeadline bounds requests whose client and route name no deadline.
	defaultDeadline = 30 * time.Second
	// retrySoon is when to come back to another instance: at once, but for the look-up.
	retrySoon = 50 * time.Millisecond
	// answerMargin is left of the client's deadline for the way of our own answer.
	answerMargin = 10 * time.Millisecond
	// answerGrace is how long after a route's timeout an answer may still arrive that its
	// server had ready in time; operators allow a quarter of a second.
	answerGrace = 170 * time.Millisecond
	// mostBroken is how many servers may break off one attempt of a client before it is sent to no
	// further one: an innocent request hardly meets two ends, and one that ends servers takes
	// the next one with all that runs there.
	mostBroken = 2
	// statusClientGone is logged for a request whose client went away.
	statusClientGone = 499
)

// run makes attempts until one is final, and answers.
func (x *exchange) run() {
	ctx, cancel := x.context()
	defer cancel()
	x.service = x.handler.Dispatch.AssignService(x.route, x.handler.Timer.Now())
	choice := x.choose()
	if choice.Refused {
		x.refuse(choice.Cause, choice.Reason, choice.RetryAfter, nil)
		return
	}
	for {
		a := x.try(ctx, choice)
		if a.isGood() || !x.mayRepeat(ctx, a) {
			x.finish(ctx, a)
			return
		}
		if !x.isStillAllowed() {
			x.finish(ctx, a)
			return
		}
		choice = x.choose()
		if choice.Cause == dispatch.CauseBackpressure {
			x.returnAfter = choice.RetryAfter
		}
		if !x.allowsRepeat(choice) {
			x.finish(ctx, a)
			return
		}
		x.log(logrus.InfoLevel, "repeated", 0, a.reason(), a)
	}
}

// allowsRepeat says whether a repeat may go to a chosen server, and takes the choice back
// if it may not.
func (x *exchange) allowsRepeat(choice dispatch.Choice) bool {
	if choice.Refused {
		return false
	}
	if x.spendRepeat() {
		return true
	}
	x.handler.Dispatch.Cancel(choice)
	return false
}

// spendRepeat takes one repeat from the budget that all instances share, if it has room.
func (x *exchange) spendRepeat() bool {
	if x.handler.Dispatch.TakeRetry(x.service, x.handler.Timer.Now()) {
		x.handler.Metrics.Count(meter.Retries, x.label())
		return true
	}
	x.handler.Metrics.Count(meter.RetriesDenied, x.label())
	return false
}

// context returns the context of all attempts: it ends at the deadline, and when the
// client leaves if the request may be given up without harm.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	parent := x.request.Context()
	if !x.route.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	return context.WithDeadline(parent, x.end)
}

func (x *exchange) choose() dispatch.Choice {
	r := dispatch.Request{
		Now:      x.handler.Timer.Now(),
		Route:    x.route,
		Service:  x.service,
		Key:      x.meta.Key,
		Deadline: x.deadline,
		Rank:     x.caller.rank(x.route),
		Regions:  x.regions,
		Tried:    x.tried,
	}
	if x.broken > 0 || x.judge().Suspect {
		// Requests that fell with one server, often of one object, part here: together they would
		// fall with the next one too, and nobody could tell which of them is the cause.
		r.HashOverride = x.fingerprint
	}
	return x.handler.Dispatch.Choose(r)
}

// try makes one attempt and tells the dispatcher how it ended.
func (x *exchange) try(ctx context.Context, choice dispatch.Choice) *attempt {
	x.tried = append(x.tried, choice.Server.Name)
	x.measure(choice)
	began := x.handler.Timer.Now()
	answer, err := x.handler.Sender.Send(ctx, x.outgoing(choice, began))
	now := x.handler.Timer.Now()
	a := &attempt{choice: choice, answer: answer, sentAt: began, took: now.Sub(began)}
	if err != nil && !errors.As(err, &a.err) {
		a.err = lovageyard.MayHaveRun("the backend server did not answer", err)
	}
	x.handler.Dispatch.Done(choice, x.outcome(ctx, a, now))
	if a.verdict() != lovageyard.VerdictNotRun {
		x.ran = true
	}
	if a.mayBePassed() {
		x.failed = a
	}
	if a.answer != nil && (a.answer.Meta.Misdirected || a.answer.Meta.Backpressure.Leaving) {
		x.handler.Sender.Forget(choice.Server.Name)
	}
	x.tellQuarantine(a)
	return a
}

// tellQuarantine passes on what an attempt says of the request and its server.
func (x *exchange) tellQuarantine(a *attempt) {
	q := x.handler.Quarantine
	if a.err != nil && a.err.ConnectionLost {
		x.broken++
		q.RecordLoss(a.choice.Server, x.fingerprint, a.sentAt)
	}
	if a.err != nil && a.err.ServerExited || a.answer != nil && a.answer.Meta.Misdirected {
		q.RecordCrash(a.choice.Server)
	}
	if a.isGood() {
		q.RecordSuccess(x.fingerprint)
	}
}

// measure counts an attempt.
func (x *exchange) measure(choice dispatch.Choice) {
	m := x.handler.Metrics
	m.Count(meter.Sends, x.label(), choice.Server.FailureDomain)
	m.Observe(meter.ExpectedWait, choice.Wait.Milliseconds(), x.label())
	if choice.Cold {
		m.Count(meter.ColdSends, x.label())
	}
}

// mayResend says whether a request may be sent to the server of a choice once more, and takes that from the budget and
// from what the server allows.
func (x *exchange) mayResend(choice dispatch.Choice) bool {
	return x.handler.Dispatch.TakeResend(choice, x.handler.Timer.Now()) && x.spendRepeat()
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
	}
}

// outcome says what an attempt taught about its server.
func (x *exchange) outcome(ctx context.Context, a *attempt, now time.Time) dispatch.Outcome {
	o := dispatch.Outcome{At: now}
	if a.answer == nil {
		o.Failed = true
		// A client that left, or a deadline that came before the answer was due, does not
		// speak against the server.
		o.Abandoned = a.err.Throttled || ctx.Err() != nil && (x.request.Context().Err() != nil || a.took < 2*a.choice.Expected)
		return o
	}
	o.Answered = true
	o.NotRun = a.answer.Meta.NotRun
	o.Misdirected = a.answer.Meta.Misdirected
	o.Failed = !a.isGood()
	o.Meta = a.answer.Meta
	o.DialTime = a.answer.DialTime
	return o
}

// mayRepeat says whether the request may be sent to another server.
func (x *exchange) mayRepeat(ctx context.Context, a *attempt) bool {
	if ctx.Err() != nil || x.request.Context().Err() != nil || len(x.tried) >= x.route.Attempts {
		return false
	}
	if x.broken >= mostBroken || x.judge().Quarantined {
		return false
	}
	if a.answer != nil && a.answer.Meta.NotRun && a.answer.Status == http.StatusBadRequest {
		return false
	}
	return !x.ran || x.route.Idempotent
}
