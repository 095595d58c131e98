package caller

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/charge"
	"lovageyard.example/lovageyard/link"
)

// keyHeader carries the caller's key of a request that must run at most once.
const keyHeader = "Idempotency-Key"

// maxChargeBody bounds the body of such a request, as the whole of it is hashed.
const maxChargeBody = 1 << 20

// retryAfterPlatform is when a caller whose key could not be claimed should come back.
const retryAfterPlatform = 2 * time.Second

// replayedHeader marks an answer that was kept from an earlier run.
const replayedHeader = "Lovageyard-Replayed"

// claim claims the key of a request that must run at most once. It returns true if the
// request may be sent; otherwise the caller has its answer.
func (x *exchange) claim() bool {
	if x.work.Class.Idempotent {
		return true
	}
	key := x.request.Header.Get(keyHeader)
	if err := charge.CheckKey(key); err != nil {
		x.refuse(http.StatusBadRequest, lovageyard.NotRun(err.Error(), nil), 0)
		return false
	}
	if !x.body.whole() {
		x.refuse(http.StatusRequestEntityTooLarge, lovageyard.NotRun("the body is too long for this class", nil), 0)
		return false
	}
	held, answer, err := x.handler.charges.Claim(x.request.Context(), charge.Request{
		Class:      x.work.Class.Name,
		Key:        key,
		Hash:       charge.HashRequest(x.request.Method, x.request.URL.RequestURI(), x.body.kept),
		SendBefore: x.deadline,
	})
	switch {
	case err != nil:
		x.refuseClaim(err)
	case answer != nil:
		x.replay(answer)
	}
	x.held = held
	return held != nil
}

func (x *exchange) refuseClaim(err error) {
	if errors.Is(err, charge.ErrKeyReused) {
		x.refuse(http.StatusUnprocessableEntity, lovageyard.NotRun(err.Error(), nil), 0)
		return
	}
	var failure *lovageyard.RequestError
	if !errors.As(err, &failure) {
		failure = lovageyard.NotRun("the key could not be claimed", err)
	}
	status := http.StatusServiceUnavailable
	if failure.Verdict == lovageyard.VerdictMayHaveRun {
		status = http.StatusConflict
	}
	x.refuse(status, failure, x.retryAfterClaim(failure))
}

// retryAfterClaim tells the caller when a claim that could not be made may succeed.
func (x *exchange) retryAfterClaim(failure *lovageyard.RequestError) time.Duration {
	if failure.Verdict == lovageyard.VerdictNotRun {
		return retryAfterPlatform
	}
	return 0
}

// replay gives the caller the answer that was kept from an earlier run.
func (x *exchange) replay(a *charge.Answer) {
	header := x.writer.Header()
	copyHeader(header, a.Header)
	header.Set(lovageyard.VerdictHeader, string(lovageyard.VerdictRan))
	header.Set(replayedHeader, "true")
	if !a.Whole {
		failure := &lovageyard.RequestError{Verdict: lovageyard.VerdictRan, Reason: "the request ran; its answer was not kept"}
		x.refuse(http.StatusConflict, failure, 0)
		return
	}
	x.count("replayed")
	x.writer.WriteHeader(a.Status)
	_, _ = x.writer.Write(a.Body)
	x.record(nil, a.Status)
}

// recordAnswer keeps the answer of a claimed request before it is passed on.
func (x *exchange) recordAnswer(response *http.Response, body []byte, whole bool) {
	if x.held == nil {
		return
	}
	a := charge.Answer{Status: response.StatusCode, Header: link.EndToEndHeaders(response.Header), Whole: whole}
	a.Header.Del(lovageyard.LoadHeader)
	if whole {
		a.Body = body
	}
	x.handler.charges.Record(x.held, a)
}

// endClaim notes what became of a claimed request that has failed.
func (x *exchange) endClaim(v lovageyard.Verdict) {
	switch {
	case x.held == nil:
	case v == lovageyard.VerdictNotRun:
		x.handler.charges.Release(x.held)
	default:
		x.handler.charges.MarkUnknown(x.held)
	}
	x.held = nil
}
