package entry

import (
	"strconv"

	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/decision"
	"lovageyard.example/lovageyard/dispatch"
	"lovageyard.example/lovageyard/quarantine"
)

// log writes the log line of one decision.
func (x *exchange) log(level logrus.Level, outcome string, status int, reason string, a *attempt) {
	if !x.handler.Logger.IsLevelEnabled(level) {
		return
	}
	fields := logrus.Fields{
		"request-id":          x.meta.ID,
		decision.FieldOutcome: outcome,
		"reason":              reason,
		"attempts":            x.attempts,
		"version":             x.view.Version(),
		"elapsed-ms":          x.handler.Timer.Now().Sub(x.began).Milliseconds(),
	}
	if status != 0 {
		fields[decision.FieldStatus] = status
	}
	x.addRefusal(fields)
	if x.caller.account != nil {
		fields["account"] = x.caller.account.Name
	}
	if x.route != nil {
		fields["route"] = x.route.Name
		fields["service"] = x.service
		fields["rank"] = x.caller.rank(x.route)
		fields["goal-ms"] = x.route.Goal.Milliseconds()
		fields["left-ms"] = x.deadline.Sub(x.handler.Timer.Now()).Milliseconds()
	}
	if a != nil {
		x.addAttempt(fields, a)
	}
	addRetry(fields, x.retry)
	x.handler.Logger.WithFields(fields).Log(level, "request")
}

// addRefusal adds the cause of a refusal.
func (x *exchange) addRefusal(fields logrus.Fields) {
	if x.cause != "" {
		fields["cause"] = x.cause
	}
	if x.cause == causeStale {
		fields["knowledge-age-ms"] = x.handler.Source.ConfirmationAge().Milliseconds()
	}
	if x.cause == causeMemory || x.cause == causeServerBytes {
		stats := x.handler.Memory.Stats()
		fields["body-bytes"] = x.request.ContentLength
		fields["memory-held"] = stats.Used
		fields["memory-held-large"] = stats.Large
		fields["memory-budget"] = stats.Limit
	}
	if x.waited {
		fields["waited-for-slot"] = true
	}
	if x.refused.BeyondShare {
		fields["beyond-share"] = true
	}
	if x.refused.Object != 0 {
		fields["object"] = strconv.FormatUint(x.refused.Object, 16)
	}
	if full := x.refused.Server; full.Name != "" {
		fields["home"] = full.Name
		fields["home-site"] = full.Site
		fields["home-load"] = x.refused.Load
	}
	if x.cause == causeQuarantined {
		fields["fingerprint"] = quarantine.Format(x.fingerprint)
	}
}

// addAttempt adds the reasons for the choice of a server, and the attempt's outcome.
func (x *exchange) addAttempt(fields logrus.Fields, a *attempt) {
	fields["server"] = a.choice.Server.Name
	fields["site"] = a.choice.Server.Site
	fields["rule"] = a.choice.Rule
	fields["took-ms"] = a.took.Milliseconds()
	fields["expected-ms"] = a.choice.Expected.Milliseconds()
	fields["wait-ms"] = a.choice.Wait.Milliseconds()
	fields["load"] = a.choice.Load
	fields["load-age-ms"] = a.choice.LoadAge.Milliseconds()
	if a.choice.Pace > 0 {
		fields["pace"] = a.choice.Pace
	}
	fields["verdict"] = string(a.verdict())
	if a.err != nil {
		fields["fingerprint"] = quarantine.Format(x.fingerprint)
	}
	if a.choice.Object != 0 {
		fields["object"] = strconv.FormatUint(a.choice.Object, 16)
	}
	if a.waitedForMemory {
		fields["waited-for-memory"] = true
	}
	if a.answer != nil && a.answer.Through != "" {
		fields["through"] = a.answer.Through
	}
	if a.answer != nil && a.answer.DialTime > 0 {
		fields["dial-ms"] = a.answer.DialTime.Milliseconds()
	}
	if a.answer != nil && a.answer.Skipped > 0 {
		fields["answers-skipped"] = a.answer.Skipped
	}
	if a.answer != nil {
		addBackpressure(fields, a.answer.Meta.Backpressure)
	}
}

// addRetry adds the last decision of the retry budget, if there was one.
func addRetry(fields logrus.Fields, d dispatch.RetryDecision) {
	if d.Instances == 0 {
		return
	}
	fields["retry-allowed"] = d.Allowed
	fields["retry-credit"] = d.Credit
	fields["retry-slack"] = d.Slack
	fields["retry-instances"] = d.Instances
}

// addBackpressure adds the backpressure that the server signaled in its answer.
func addBackpressure(fields logrus.Fields, b lovageyard.Backpressure) {
	if b.Limited {
		fields["server-limit"] = b.Limit
	}
	if b.Leaving {
		fields["server-leaving"] = true
	}
	if b.Backoff > 0 {
		fields["server-backoff-ms"] = b.Backoff.Milliseconds()
	}
}
