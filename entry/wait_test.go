package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/link"
)

// gatedSender answers each request once it may pass the gate.
type gatedSender struct {
	gate chan struct{}
	sent atomic.Int64
}

func (s *gatedSender) Send(context.Context, link.Request) (*link.Response, error) {
	s.sent.Add(1)
	<-s.gate
	return success(http.StatusOK).answer, nil
}

func (s *gatedSender) Forget(string) {}

// An upload must not be refused because its server's queue is kept for urgent requests, if a slot becomes free within
// a part of its goal; nor may it wait for longer than that.
func TestRequestWaitsForSlotKeptForUrgentOnes(t *testing.T) {
	for _, freed := range []bool{true, false} {
		h := newHarnessOf(t, 1)
		sender := &gatedSender{gate: make(chan struct{})}
		h.path = sender
		h.urgent = &lovageyard.Route{
			Name: "urgent", Host: "a.example", Prefix: "/urgent/", Idempotent: true, Timeout: 9 * time.Second, Goal: 200 * time.Millisecond, Attempts: 1,
		}
		h.setRoute(lovageyard.Route{
			Name: "r", Host: "a.example", Prefix: "/x/", Idempotent: true, LargeResponses: true, Timeout: 9 * time.Second, Goal: 2 * time.Second,
			Attempts: 1, Rank: 2, Sticky: true,
		})
		handler := h.handler()
		send := func(path string) int {
			request := httptest.NewRequest(http.MethodGet, path, nil)
			request.Host = "a.example"
			request.Header.Set("X-Affinity-Key", "k")
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			return recorder.Code
		}
		// Fast answers lower the estimate of the work, so that a queue is expected to drain within the goal.
		go func() {
			for range 30 {
				sender.gate <- struct{}{}
			}
		}()
		for range 30 {
			h.c.Assert(send("/x/1"), qt.Equals, http.StatusOK)
		}
		const slots = 4
		statuses := make(chan int)
		for range slots {
			go func() { statuses <- send("/x/1") }()
		}
		h.awaitSent(sender, 30+slots)
		go func() { statuses <- send("/x/2") }()
		if freed {
			time.Sleep(20 * time.Millisecond)
			close(sender.gate)
			for range slots + 1 {
				h.c.Assert(<-statuses, qt.Equals, http.StatusOK, qt.Commentf("%s", h.log))
			}
			continue
		}
		h.c.Assert(<-statuses, qt.Equals, http.StatusServiceUnavailable)
		h.c.Assert(h.log.String(), qt.Contains, `"cause":"reserved"`)
		h.c.Assert(h.log.String(), qt.Contains, `"waited-for-slot":true`)
		close(sender.gate)
		for range slots {
			<-statuses
		}
	}
}

// awaitSent waits until a sender has been called a number of times.
func (h *harness) awaitSent(s *gatedSender, count int64) {
	for s.sent.Load() < count {
		time.Sleep(time.Millisecond)
	}
}
