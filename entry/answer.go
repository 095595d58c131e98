package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/decision"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/meter"
)

// finish responds after the last attempt: with its answer if that may be forwarded, otherwise with the 5xx
// answer of an earlier attempt, otherwise with an error response of this instance.
func (x *exchange) finish(ctx context.Context, a *attempt) {
	switch {
	case x.request.Context().Err() != nil:
		x.log(logrus.InfoLevel, "client gone", statusClientGone, a.reason(), a)
		x.answerGone(a)
	case a.answer != nil && a.answer.Meta.NotRun && !x.ran:
		x.forwardRefusal(a)
	case a.isForwardable():
		x.forwardAnswer(a)
	case x.failedAttempt != nil:
		x.forwardAnswer(x.failedAttempt)
	case !x.ran:
		x.refuse(causeNotReached, a.reason(), max(immediateRetry, x.retryAfter), a)
	case ctx.Err() != nil:
		x.log(logrus.InfoLevel, "failed", http.StatusGatewayTimeout, a.reason(), a)
		x.fail(http.StatusGatewayTimeout, a.reason(), 0)
	default:
		x.log(logrus.InfoLevel, "failed", http.StatusBadGateway, a.reason(), a)
		x.fail(http.StatusBadGateway, a.reason(), 0)
	}
}

// forwardRefusal responds that no server ran the request.
func (x *exchange) forwardRefusal(a *attempt) {
	if a.answer.Status == http.StatusBadRequest {
		x.reject(http.StatusBadRequest, "the server finds the request malformed")
		return
	}
	x.refuse(causeServer, a.reason(), max(immediateRetry, a.expectedDelay(), x.retryAfter), a)
}

// expectedDelay returns the time after which the server that refused the request is likely to accept it.
func (a *attempt) expectedDelay() time.Duration {
	if a.refusedWithFreeSlots() {
		return 0
	}
	return a.choice.Expected / 2
}

// answerGone responds to a client that has disconnected or has only closed its sending side, which net/http does not
// tell apart. Without a response, net/http would send the latter an empty 200.
func (x *exchange) answerGone(a *attempt) {
	switch {
	case a.isForwardable():
		_ = x.writeAnswer(a)
	case x.ran:
		x.writeError(http.StatusBadGateway, a.reason(), 0)
	default:
		x.writeError(http.StatusServiceUnavailable, a.reason(), immediateRetry)
	}
}

// forwardAnswer sends the server's complete answer to the client.
func (x *exchange) forwardAnswer(a *attempt) {
	err := x.writeAnswer(a)
	reason := a.choice.Reason
	if err != nil {
		reason = "writing the response failed: " + err.Error()
	}
	x.log(logrus.InfoLevel, decision.OutcomeAnswered, a.answer.Status, reason, a)
	x.count(a.answer.Status)
	x.observeLatency()
}

// writeAnswer writes the server's complete answer.
func (x *exchange) writeAnswer(a *attempt) error {
	h := x.writer.Header()
	for name, values := range link.EndToEndHeaders(a.answer.Header) {
		h[name] = values
	}
	if _, found := h["Content-Type"]; !found {
		// Without this, net/http would add a Content-Type of its own.
		h["Content-Type"] = nil
	}
	if x.request.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.answer.Body)))
	}
	x.releaseBody(a.answer.Body)
	x.writer.WriteHeader(a.answer.Status)
	return x.writeBody(a.answer.Body)
}

func (x *exchange) observeLatency() {
	x.handler.Metrics.Observe(meter.Latency, x.handler.Timer.Now().Sub(x.began).Milliseconds(), x.label())
}

// reject ends an invalid request.
func (x *exchange) reject(status int, reason string) {
	x.log(logrus.InfoLevel, "rejected", status, reason, nil)
	x.fail(status, reason, 0)
}

// refuse ends a request that has not run and will not run; a is the last attempt, or nil.
func (x *exchange) refuse(cause, reason string, retryAfter time.Duration, a *attempt) {
	x.cause = cause
	status := http.StatusServiceUnavailable
	switch cause {
	case causeLimit:
		status = http.StatusTooManyRequests
	case causeSlowBody:
		status = http.StatusRequestTimeout
	}
	x.log(logrus.InfoLevel, "refused", status, reason, a)
	x.handler.Metrics.Count(meter.Refusals, x.label(), cause)
	x.fail(status, reason, retryAfter)
}

// errorBody is the body of responses that this instance generates.
type errorBody struct {
	Error   string             `json:"error"`
	Verdict lovageyard.Verdict `json:"verdict"`
}

func (x *exchange) fail(status int, reason string, retryAfter time.Duration) {
	x.writeError(status, reason, retryAfter)
	x.count(status)
}

// writeError writes a response of this instance.
func (x *exchange) writeError(status int, reason string, retryAfter time.Duration) {
	verdict := lovageyard.VerdictNotRun
	if x.ran {
		verdict = lovageyard.VerdictMayHaveRun
	}
	h := x.writer.Header()
	x.handler.Codec.Echo(h, x.meta.ID)
	h.Set("Content-Type", "application/json")
	h.Set(lovageyard.VerdictHeader, string(verdict))
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(errorBody{Error: reason, Verdict: verdict})
	if err != nil {
		x.handler.Logger.WithError(err).Error("encoding an error response failed")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	_, _ = x.writer.Write(body)
}

func (x *exchange) count(status int) {
	x.handler.Metrics.Count(meter.Answers, x.label(), strconv.Itoa(status))
}

// label returns the value of the service label in metrics.
func (x *exchange) label() string {
	if x.service == "" {
		return "none"
	}
	return x.service
}
