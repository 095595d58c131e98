package entry_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

// The kept connections of a server that leaves are given up with the answer that says so.
func TestConnectionsOfALeavingServerAreForgotten(t *testing.T) {
	leaving := good(200)
	leaving.answer.Meta.Backpressure.Leaving = true
	y := newYard(t, leaving)
	y.c.Assert(y.ask(http.MethodGet, "/x/", "").StatusCode, qt.Equals, http.StatusOK)
	y.c.Assert(y.sender.forgotten, qt.DeepEquals, []string{y.sender.sent[0].Server})
	y.c.Assert(y.log.String(), qt.Contains, `"server-leaving":true`)
}

// backingOff is the answer of a server that turns a request away and asks for a backoff; the link passes what it asks for to the
// table of servers.
func backingOff() step {
	s := notRun(503)
	s.answer.Meta.Backpressure.Backoff = 7 * time.Second
	return s
}

// A request that one server turned away for a backoff is served by another.
func TestRequestTurnedAwayForABackoffGoesToAnotherServer(t *testing.T) {
	y := newYard(t, backingOff(), good(200))
	y.c.Assert(y.ask(http.MethodGet, "/x/", "").StatusCode, qt.Equals, http.StatusOK)
	y.c.Assert(y.log.String(), qt.Contains, `"server-backoff-ms":7000`)
}

// Once all servers ask for a backoff, callers are told when that is over, whether the request was tried or not.
func TestCallerIsToldHowLongAllServersBackOff(t *testing.T) {
	y := newYardOf(t, 1, backingOff())
	y.hears = true
	y.serving = y.handler()
	for range 2 {
		response := y.ask(http.MethodGet, "/x/", "")
		y.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		y.c.Assert(err, qt.IsNil)
		y.c.Assert(after > 5, qt.IsTrue, qt.Commentf("%v", after))
	}
	y.c.Assert(y.sender.sent, qt.HasLen, 1)
}

// A request that was withheld says nothing against its server.
func TestWithheldRequestIsServedElsewhereAndBlamesNobody(t *testing.T) {
	withheld := lovageyard.NotRun("not wanted", nil)
	withheld.Throttled = true
	y := newYardOf(t, 1, step{err: withheld}, good(200))
	y.serving = y.handler()
	y.c.Assert(y.ask(http.MethodGet, "/x/", "").StatusCode, qt.Equals, http.StatusServiceUnavailable)
	y.c.Assert(y.ask(http.MethodGet, "/x/", "").StatusCode, qt.Equals, http.StatusOK)
}

// A server that has asked for no more gets the request on no other way either.
func TestLaterSendsAskWhatTheServerTakes(t *testing.T) {
	y := newYardOf(t, 1, backingOff())
	y.hears = true
	y.serving = y.handler()
	y.ask(http.MethodGet, "/x/", "")
	y.c.Assert(y.sender.sent[0].MaySend(), qt.IsFalse)
	y.c.Assert(y.sender.sent[0].MayResend(), qt.IsFalse)
}
