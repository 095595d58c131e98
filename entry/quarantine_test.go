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

// broken is an attempt whose server crashes with the request in flight.
func broken() step {
	err := lovageyard.MayHaveRun("the connection was closed", nil)
	err.ConnectionLost, err.ServerExited = true, true
	return step{err: err}
}

// newQuarantineHarness returns a harness with nine servers. All requests go to one handler, so that its
// quarantine persists across them.
func newQuarantineHarness(t *testing.T, idempotent bool, attempts int, steps ...step) *harness {
	h := newHarnessOf(t, 9, steps...)
	h.setRoute(lovageyard.Route{
		Name: "r", Host: "a.example", Prefix: "/x/", Idempotent: idempotent, Timeout: 20 * time.Second, Goal: 20 * time.Second,
		Attempts: attempts, Sticky: true,
	})
	h.serving = h.handler()
	return h
}

// One request of a client crashes at most two servers, however many attempts its route allows.
func TestRequestWithTwoBrokenConnectionsIsNotRetried(t *testing.T) {
	h := newQuarantineHarness(t, true, 6, broken(), broken(), success(200))
	response := h.send(http.MethodGet, "/x/deadly", "")
	h.c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	h.c.Assert(h.sender.sent, qt.HasLen, 2)
}

// Requests of clients with the same content are the same request, whatever their IDs. The one after the third
// crash is refused as not run, with a retry time.
func TestRequestIsRefusedAfterThreeCrashes(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprint("idempotent ", idempotent), func(t *testing.T) {
			h := newQuarantineHarness(t, idempotent, 1, broken(), broken(), broken(), success(200))
			for range 3 {
				response := h.send(http.MethodPost, "/x/deadly", "body")
				h.c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
			}
			response := h.send(http.MethodPost, "/x/deadly", "body")
			h.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			h.c.Assert(response.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(lovageyard.VerdictNotRun))
			h.c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			h.c.Assert(h.sender.sent, qt.HasLen, 3)
			h.c.Assert(h.log.String(), qt.Contains, `"cause":"held"`)
			// A request with another body has another fingerprint.
			h.c.Assert(h.send(http.MethodPost, "/x/deadly", "other").StatusCode, qt.Equals, http.StatusOK)
		})
	}
}

// A request that was in flight with a poison request at the same three crashes is served.
func TestBystanderOfPoisonRequestIsServed(t *testing.T) {
	h := newQuarantineHarness(t, true, 1, broken(), broken(), broken(), success(200), broken(), success(200))
	bystander := quarantine.Content{Method: http.MethodGet, Host: "a.example", Target: "/x/beside"}.Fingerprint()
	for n := range 3 {
		h.send(http.MethodGet, "/x/deadly", "")
		h.monitor.RecordLoss(lovageyard.BackendServer{Name: h.sender.sent[n].Server}, bystander, time.Now())
	}
	h.c.Assert(h.monitor.Evaluate(bystander).Suspect, qt.IsTrue)
	h.c.Assert(h.send(http.MethodGet, "/x/beside", "").StatusCode, qt.Equals, http.StatusOK)
	h.c.Assert(h.send(http.MethodGet, "/x/deadly", "").StatusCode, qt.Equals, http.StatusServiceUnavailable)
	h.c.Assert(h.monitor.Evaluate(bystander), qt.Equals, quarantine.Decision{})
}

// Requests for one object that were in flight when its server crashed are spread over several servers when
// clients repeat them: together they could crash the next server too, and hide which of them is the cause.
func TestRequestsOfCrashedServerAreSpread(t *testing.T) {
	const count = 6
	var steps []step
	for range 2 * count {
		steps = append(steps, success(200))
	}
	h := newQuarantineHarness(t, true, 1, steps...)
	h.key = "object"
	path := func(n int) string { return fmt.Sprint("/x/", n) }
	send := func() map[string]bool {
		servers := make(map[string]bool)
		for n := range count {
			h.c.Assert(h.send(http.MethodGet, path(n), "").StatusCode, qt.Equals, http.StatusOK)
			servers[h.sender.sent[len(h.sender.sent)-1].Server] = true
		}
		return servers
	}
	crashed := lovageyard.BackendServer{Name: "ended"}
	for n := range count {
		content := quarantine.Content{Method: http.MethodGet, Host: "a.example", Target: path(n)}
		h.monitor.RecordLoss(crashed, content.Fingerprint(), time.Now())
	}
	h.monitor.RecordCrash(crashed)
	h.c.Assert(len(send()) > 1, qt.IsTrue)
	// Once they have succeeded, the object has its home server again.
	h.c.Assert(send(), qt.HasLen, 1)
}
