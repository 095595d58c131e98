package entry_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
)

// leave makes the harness's instance begin to shut down.
func (h *harness) leave(within time.Duration) {
	h.view = &catalog.View{Snapshot: h.view.Snapshot, Ready: true, Leaving: true, ShutdownAt: time.Now().Add(within)}
}

// leavingBody is a request's body that is complete only when the instance shuts down.
type leavingBody struct {
	strings.Reader
	leave func()
}

func (b *leavingBody) Read(p []byte) (int, error) {
	b.leave()
	return b.Reader.Read(p)
}

// A request whose upload is under way as the shutdown begins, or that would be sent to another server then, must not be
// passed on if the instance may exit before the answer is due: it would be cut while a server runs it.
func TestLeavingInstancePassesOnOnlyWhatItCanAnswer(t *testing.T) {
	for _, test := range []struct {
		name   string
		within time.Duration
		steps  []step
		upload bool
		status int
		sent   int
	}{
		{"upload, too late", time.Second, []step{success(200)}, true, http.StatusServiceUnavailable, 0},
		{"upload, in time", time.Hour, []step{success(200)}, true, http.StatusOK, 1},
		{"refused at first, too late", time.Second, []step{notRun(503), success(200)}, false, http.StatusServiceUnavailable, 1},
		{"refused at first, in time", time.Hour, []step{notRun(503), success(200)}, false, http.StatusOK, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.steps...)
			h.live = true
			h.setRoute(lovageyard.Route{Name: "r", Host: "a.example", Prefix: "/x/", Timeout: 20 * time.Second, Attempts: 2})
			leave := func() { h.leave(test.within) }
			body := &leavingBody{*strings.NewReader("body"), func() {}}
			if test.upload {
				body.leave = leave
			} else {
				h.sender.before = leave
			}
			r := httptest.NewRequest(http.MethodPost, "/x/", body)
			r.Host, r.ContentLength = "a.example", 4
			w := httptest.NewRecorder()
			h.handler().ServeHTTP(w, r)
			h.c.Check(w.Code, qt.Equals, test.status)
			h.c.Check(h.sender.sent, qt.HasLen, test.sent)
			if test.status == http.StatusServiceUnavailable {
				h.c.Check(w.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
			}
		})
	}
}
