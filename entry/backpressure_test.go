package entry_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

// The idle connections of a server are closed when an answer says that it is shutting down.
func TestConnectionsOfLeavingServerAreClosed(t *testing.T) {
	leaving := success(200)
	leaving.answer.Meta.Backpressure.Leaving = true
	h := newHarness(t, leaving)
	h.c.Assert(h.send(http.MethodGet, "/x/", "").StatusCode, qt.Equals, http.StatusOK)
	h.c.Assert(h.sender.forgotten, qt.DeepEquals, []string{h.sender.sent[0].Server})
	h.c.Assert(h.log.String(), qt.Contains, `"server-leaving":true`)
}

// backingOff is the answer of a server that refuses a request and requests backoff. The link passes the
// backoff to the dispatch table.
func backingOff() step {
	s := notRun(503)
	s.answer.Meta.Backpressure.Backoff = 7 * time.Second
	return s
}

// A request that one server refused with a backoff is retried on another.
func TestRequestRefusedWithBackoffIsRetriedElsewhere(t *testing.T) {
	h := newHarness(t, backingOff(), success(200))
	h.c.Assert(h.send(http.MethodGet, "/x/", "").StatusCode, qt.Equals, http.StatusOK)
	h.c.Assert(h.log.String(), qt.Contains, `"server-backoff-ms":7000`)
}

// Once all servers have requested backoff, refused callers get the remaining time as retry time, whether the
// request was sent to a server or not.
func TestRetryTimeCoversBackoffOfAllServers(t *testing.T) {
	h := newHarnessOf(t, 1, backingOff())
	h.observes = true
	h.serving = h.handler()
	for range 2 {
		response := h.send(http.MethodGet, "/x/", "")
		h.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		h.c.Assert(err, qt.IsNil)
		h.c.Assert(after > 5, qt.IsTrue, qt.Commentf("%v", after))
	}
	h.c.Assert(h.sender.sent, qt.HasLen, 1)
}

// A request that was not sent because of the server's backpressure does not count as a failure of the server.
func TestThrottledRequestDoesNotCountAgainstServer(t *testing.T) {
	throttled := lovageyard.NotRun("not wanted", nil)
	throttled.Throttled = true
	h := newHarnessOf(t, 1, step{err: throttled}, success(200))
	h.serving = h.handler()
	h.c.Assert(h.send(http.MethodGet, "/x/", "").StatusCode, qt.Equals, http.StatusServiceUnavailable)
	h.c.Assert(h.send(http.MethodGet, "/x/", "").StatusCode, qt.Equals, http.StatusOK)
}

// A server that has requested backoff gets the request neither on a new connection nor by a resend.
func TestResendsRespectBackoff(t *testing.T) {
	h := newHarnessOf(t, 1, backingOff())
	h.observes = true
	h.serving = h.handler()
	h.send(http.MethodGet, "/x/", "")
	h.c.Assert(h.sender.sent[0].MaySend(), qt.IsFalse)
	h.c.Assert(h.sender.sent[0].MayResend(), qt.IsFalse)
}

// A caller whose request a server with free slots refused must not wait for a queue that the server does not have.
func TestRefusalByServerWithFreeSlotsIsRetriedAtOnce(t *testing.T) {
	for _, test := range []struct {
		queued int
		atOnce bool
	}{{0, true}, {3, false}} {
		refusal := notRun(http.StatusServiceUnavailable)
		refusal.answer.Meta.Reported = true
		refusal.answer.Meta.Load = lovageyard.LoadReport{Slots: 4, InFlight: 1 + test.queued, Queued: test.queued}
		h := newHarness(t, refusal)
		h.setRoute(lovageyard.Route{Name: "r", Host: "a.example", Prefix: "/x/", Goal: 2 * time.Second, Timeout: 8 * time.Second, Attempts: 1})
		response := h.send(http.MethodGet, "/x/", "")
		h.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		h.c.Check(response.Header.Get("Retry-After") == "0.050", qt.Equals, test.atOnce, qt.Commentf("%d queued", test.queued))
	}
}

// A retry at another server runs uncached and is late. If a server with free slots refuses a request, as all servers of
// a faulty release may at times, the retry must go to the object's home again; if it is full, to another server.
func TestRetryGoesToServerWithFreeSlotsAgain(t *testing.T) {
	for _, queued := range []int{0, 3} {
		refusal := notRun(http.StatusServiceUnavailable)
		refusal.answer.Meta.Reported = true
		refusal.answer.Meta.Load = lovageyard.LoadReport{Slots: 4, InFlight: 1 + queued, Queued: queued}
		h := newHarness(t, refusal, success(http.StatusOK))
		h.key = "k"
		h.setRoute(lovageyard.Route{
			Name: "r", Host: "a.example", Prefix: "/x/", Sticky: true, Goal: 2 * time.Second, Timeout: 8 * time.Second, Attempts: 2,
		})
		h.c.Assert(h.send(http.MethodPost, "/x/", "b").StatusCode, qt.Equals, http.StatusOK)
		h.c.Assert(h.sender.sent, qt.HasLen, 2)
		h.c.Check(h.sender.sent[0].Server == h.sender.sent[1].Server, qt.Equals, queued == 0, qt.Commentf("%d queued", queued))
	}
}
