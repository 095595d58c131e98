package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/quarantine"
)

// broken is an attempt whose server ends while it has the request.
func broken() step {
	err := lovageyard.MayHaveRun("the connection was closed", nil)
	err.ConnectionLost, err.ServerExited = true, true
	return step{err: err}
}

// newCrashYard returns a handler that remembers, before many servers.
func newCrashYard(t *testing.T, idempotent bool, attempts int, steps ...step) *yard {
	y := newYardOf(t, 9, steps...)
	y.setRoute(lovageyard.Route{
		Name: "r", Host: "a.example", Prefix: "/x/", Idempotent: idempotent, Timeout: 20 * time.Second, Goal: 20 * time.Second,
		Attempts: attempts, Sticky: true,
	})
	y.serving = y.handler()
	return y
}

// One attempt of a client takes two servers with it at most, however many its route allows.
func TestRequestThatTwoServersBrokeOffGoesToNoThird(t *testing.T) {
	y := newCrashYard(t, true, 6, broken(), broken(), good(200))
	response := y.ask(http.MethodGet, "/x/deadly", "")
	y.c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	y.c.Assert(y.sender.sent, qt.HasLen, 2)
}

// Attempts of clients that have the same content are one request, whatever their identities; the one
// after the third end is refused, truly as not run, and told when to come back.
func TestRequestThatEndedThreeServersIsRefused(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprint("idempotent ", idempotent), func(t *testing.T) {
			y := newCrashYard(t, idempotent, 1, broken(), broken(), broken(), good(200))
			for range 3 {
				response := y.ask(http.MethodPost, "/x/deadly", "body")
				y.c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
			}
			response := y.ask(http.MethodPost, "/x/deadly", "body")
			y.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			y.c.Assert(response.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(lovageyard.VerdictNotRun))
			y.c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			y.c.Assert(y.sender.sent, qt.HasLen, 3)
			y.c.Assert(y.log.String(), qt.Contains, `"cause":"held"`)
			// Another body is another request.
			y.c.Assert(y.ask(http.MethodPost, "/x/deadly", "other").StatusCode, qt.Equals, http.StatusOK)
		})
	}
}

// A caller whose request fell beside a deadly one, at the same three servers, is served.
func TestCallerThatFellBesideADeadlyRequestIsServed(t *testing.T) {
	y := newCrashYard(t, true, 1, broken(), broken(), broken(), good(200), broken(), good(200))
	beside := quarantine.Content{Method: http.MethodGet, Host: "a.example", Target: "/x/beside"}.Fingerprint()
	for n := range 3 {
		y.ask(http.MethodGet, "/x/deadly", "")
		y.watch.RecordLoss(lovageyard.BackendServer{Name: y.sender.sent[n].Server}, beside, time.Now())
	}
	y.c.Assert(y.watch.Evaluate(beside).Suspect, qt.IsTrue)
	y.c.Assert(y.ask(http.MethodGet, "/x/beside", "").StatusCode, qt.Equals, http.StatusOK)
	y.c.Assert(y.ask(http.MethodGet, "/x/deadly", "").StatusCode, qt.Equals, http.StatusServiceUnavailable)
	y.c.Assert(y.watch.Evaluate(beside), qt.Equals, quarantine.Decision{})
}

// Requests for one object fell with its server. On their next attempts they go to several servers: together
// they would fall with the next one as well.
func TestRequestsThatFellTogetherPart(t *testing.T) {
	const count = 6
	var steps []step
	for range 2 * count {
		steps = append(steps, good(200))
	}
	y := newCrashYard(t, true, 1, steps...)
	y.key = "object"
	path := func(n int) string { return fmt.Sprint("/x/", n) }
	ask := func() map[string]bool {
		servers := make(map[string]bool)
		for n := range count {
			y.c.Assert(y.ask(http.MethodGet, path(n), "").StatusCode, qt.Equals, http.StatusOK)
			servers[y.sender.sent[len(y.sender.sent)-1].Server] = true
		}
		return servers
	}
	ended := lovageyard.BackendServer{Name: "ended"}
	for n := range count {
		content := quarantine.Content{Method: http.MethodGet, Host: "a.example", Target: path(n)}
		y.watch.RecordLoss(ended, content.Fingerprint(), time.Now())
	}
	y.watch.RecordCrash(ended)
	y.c.Assert(len(ask()) > 1, qt.IsTrue)
	// Once they are answered, the object has its home again.
	y.c.Assert(ask(), qt.HasLen, 1)
}
