package caller

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/charge"
	"lovageyard.example/lovageyard/link"
)

// keyHeader is the header with the idempotency key of a request that must run at most once.
const keyHeader = "Idempotency-Key"

// maxChargeBody is the maximum body size, in bytes, of a request that must run at most once, as its whole body
// is hashed.
const maxChargeBody = 1 << 20

// claimRetryAfter is the retry time if the key could not be claimed because the platform was unavailable.
const claimRetryAfter = 2 * time.Second

// replayedHeader marks the stored answer of an earlier run.
const replayedHeader = "Lovageyard-Replayed"

// claim claims the key of a request that must run at most once. It returns true if the request may be sent;
// otherwise it has sent the response.
func (x *exchange) claim() bool {
	if x.classRoute.Class.Idempotent {
		return true
	}
	key := x.request.Header.Get(keyHeader)
	if err := charge.CheckKey(key); err != nil {
		x.refuse(http.StatusBadRequest, lovageyard.NotRun(err.Error(), nil), 0)
		return false
	}
	if !x.body.isComplete() {
		x.refuse(http.StatusRequestEntityTooLarge, lovageyard.NotRun("the body is too long for this class", nil), 0)
		return false
	}
	held, answer, err := x.handler.charges.Claim(x.request.Context(), charge.Request{
		Class:      x.classRoute.Class.Name,
		Key:        key,
		Hash:       charge.HashRequest(x.request.Method, x.request.URL.RequestURI(), x.body.buffered),
		SendBefore: x.deadline,
	})
	switch {
	case err != nil:
		x.refuseClaim(err)
	case answer != nil:
		x.replay(answer)
	}
	x.heldClaim = held
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

// retryAfterClaim returns the retry time after a failed claim, or 0 if a retry with the key may not succeed.
func (x *exchange) retryAfterClaim(failure *lovageyard.RequestError) time.Duration {
	if failure.Verdict != lovageyard.VerdictNotRun {
		return 0
	}
	var settling *charge.SettlingError
	if errors.As(failure, &settling) {
		return max(claimRetryAfter, settling.Remaining)
	}
	return claimRetryAfter
}

// replay sends the stored answer of an earlier run.
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

// recordAnswer stores the answer of a claimed request before it is forwarded.
func (x *exchange) recordAnswer(response *http.Response, body []byte, complete bool) {
	if x.heldClaim == nil {
		return
	}
	a := charge.Answer{Status: response.StatusCode, Header: link.EndToEndHeaders(response.Header), Whole: complete}
	a.Header.Del(lovageyard.LoadHeader)
	if complete {
		a.Body = body
	}
	x.handler.charges.Record(x.heldClaim, a)
}

// finishClaim updates the claim of a request that has failed.
func (x *exchange) finishClaim(v lovageyard.Verdict) {
	switch {
	case x.heldClaim == nil:
	case v == lovageyard.VerdictNotRun:
		x.handler.charges.Release(x.heldClaim)
	default:
		x.handler.charges.MarkUnknown(x.heldClaim)
	}
	x.heldClaim = nil
}
