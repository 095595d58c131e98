package entry_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/entry"
)

// Limits on the configuration age in the tests.
const (
	serveLimit  = 4 * time.Second
	rejectLimit = 2 * time.Second
)

// newAccountHarness returns a harness with the accounts a, with key ka, and b, with key kb and a home region
// without servers.
func newAccountHarness(t *testing.T, steps ...step) *harness {
	h := newHarnessOf(t, 2, steps...)
	h.accounts = map[string]any{
		"a": map[string]any{"Keys": []string{"ka"}},
		"b": map[string]any{"Keys": []string{"kb"}, "HomeRegions": []string{"south"}},
	}
	h.setRoute(h.route)
	h.limits = entry.AgeLimits{Serve: serveLimit, Reject: rejectLimit}
	return h
}

// sendAs sends a request with the given values of the Authorization header, and a forged account header.
func (h *harness) sendAs(credentials ...string) *http.Response {
	request := httptest.NewRequest(http.MethodGet, "/x/1", nil)
	request.Host = "a.example"
	for _, value := range credentials {
		request.Header.Add("Authorization", value)
	}
	request.Header.Set("X-Tenant", "forged")
	recorder := httptest.NewRecorder()
	h.handler().ServeHTTP(recorder, request)
	return recorder.Result()
}

func TestServerReceivesAccountOfKey(t *testing.T) {
	h := newAccountHarness(t, success(http.StatusOK))
	h.c.Assert(h.sendAs("Token ka").StatusCode, qt.Equals, http.StatusOK)
	h.c.Assert(h.sender.sent[0].Header.Values("X-Tenant"), qt.DeepEquals, []string{"a"})
	h.c.Assert(h.sender.sent[0].Header.Values("Authorization"), qt.HasLen, 0)
	h.c.Assert(h.log.String(), qt.Not(qt.Contains), "ka")
}

// Neither attempt of a retried request contains the key; both contain the account.
func TestRetryContainsNoKey(t *testing.T) {
	h := newAccountHarness(t, notRun(http.StatusServiceUnavailable), success(http.StatusOK))
	h.c.Assert(h.sendAs("Token ka").StatusCode, qt.Equals, http.StatusOK)
	h.c.Assert(h.sender.sent, qt.HasLen, 2)
	for _, sent := range h.sender.sent {
		h.c.Assert(sent.Header.Get("X-Tenant"), qt.Equals, "a")
		h.c.Assert(sent.Header.Get("Authorization"), qt.Equals, "")
	}
}

func TestInvalidCredentialsAreRejected(t *testing.T) {
	for _, credentials := range [][]string{nil, {"Token kc"}, {"Basic ka"}, {"ka"}, {"Token ka", "Token ka"}} {
		h := newAccountHarness(t, success(http.StatusOK))
		answer := h.sendAs(credentials...)
		h.c.Check(answer.StatusCode, qt.Equals, http.StatusUnauthorized, qt.Commentf("%q", credentials))
		h.c.Check(answer.Header.Get("WWW-Authenticate"), qt.Equals, "Token")
		h.c.Check(h.sender.sent, qt.HasLen, 0)
	}
}

// An open route needs no key, but one that is given has to be valid.
func TestOpenRouteNeedsNoKey(t *testing.T) {
	for _, test := range []struct {
		credentials []string
		status      int
		account     string
	}{
		{nil, http.StatusOK, ""},
		{[]string{"Token ka"}, http.StatusOK, "a"},
		{[]string{"Token kc"}, http.StatusUnauthorized, ""},
	} {
		h := newAccountHarness(t, success(http.StatusOK))
		h.route.Open = true
		h.setRoute(h.route)
		h.c.Check(h.sendAs(test.credentials...).StatusCode, qt.Equals, test.status, qt.Commentf("%q", test.credentials))
		if test.status == http.StatusOK {
			h.c.Check(h.sender.sent[0].Header.Get("X-Tenant"), qt.Equals, test.account)
		}
	}
}

// Without accounts, credentials are passed to the servers unchecked.
func TestCredentialsPassIfThereAreNoAccounts(t *testing.T) {
	h := newHarness(t, success(http.StatusOK))
	h.c.Assert(h.sendAs("Basic x").StatusCode, qt.Equals, http.StatusOK)
	h.c.Assert(h.sender.sent[0].Header.Get("Authorization"), qt.Equals, "Basic x")
}

// A configuration that is not confirmed to be the newest may lack a key that was added, or contain one that
// was revoked. Requests are refused then, not rejected.
func TestStaleConfigurationRejectsNobody(t *testing.T) {
	for _, test := range []struct {
		key    string
		age    time.Duration
		status int
	}{
		{"ka", serveLimit, http.StatusOK},
		{"ka", serveLimit + 1, http.StatusServiceUnavailable},
		{"kc", rejectLimit, http.StatusUnauthorized},
		{"kc", rejectLimit + 1, http.StatusServiceUnavailable},
	} {
		h := newAccountHarness(t, success(http.StatusOK))
		h.age = func() time.Duration { return test.age }
		answer := h.sendAs("Token " + test.key)
		h.c.Check(answer.StatusCode, qt.Equals, test.status, qt.Commentf("%+v", test))
		if test.status == http.StatusServiceUnavailable {
			h.c.Check(answer.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(lovageyard.VerdictNotRun))
			h.c.Check(answer.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			h.c.Check(h.sender.sent, qt.HasLen, 0)
		}
	}
}

// Requests that need no account are served whatever the configuration's age.
func TestOpenRouteIsServedWithStaleConfiguration(t *testing.T) {
	h := newAccountHarness(t, success(http.StatusOK))
	h.route.Open = true
	h.setRoute(h.route)
	h.age = func() time.Duration { return time.Hour }
	h.c.Assert(h.sendAs().StatusCode, qt.Equals, http.StatusOK)
}

// A request whose key is revoked while an attempt is in progress is not retried.
func TestRevokedKeyStopsRetries(t *testing.T) {
	h := newAccountHarness(t, notRun(http.StatusServiceUnavailable), success(http.StatusOK))
	h.sender.before = func() {
		delete(h.accounts, "a")
		h.view = &catalog.View{Snapshot: h.view.Snapshot, Ready: true}
		h.setRoute(h.route)
	}
	h.live = true
	h.c.Assert(h.sendAs("Token ka").StatusCode, qt.Equals, http.StatusServiceUnavailable)
	h.c.Assert(h.sender.sent, qt.HasLen, 1)
}

func TestHomeRegionsOfAccountAndRoute(t *testing.T) {
	for _, test := range []struct {
		key    string
		homes  []string
		status int
	}{
		{"ka", nil, http.StatusOK},
		{"ka", []string{"south"}, http.StatusServiceUnavailable},
		{"kb", nil, http.StatusServiceUnavailable},
		{"kb", []string{"north"}, http.StatusServiceUnavailable},
		{"ka", []string{"north"}, http.StatusOK},
	} {
		h := newAccountHarness(t, success(http.StatusOK))
		h.route.HomeRegions = test.homes
		h.setRoute(h.route)
		h.c.Check(h.sendAs("Token "+test.key).StatusCode, qt.Equals, test.status, qt.Commentf("%+v", test))
	}
}

// A request beyond its account's limit is refused as not run, with a retry time. Requests without an account
// have no limit.
func TestRequestBeyondItsLimitIsRefused(t *testing.T) {
	h := newAccountHarness(t, success(http.StatusOK))
	h.quota.refuses = true
	answer := h.sendAs("Token ka")
	h.c.Assert(answer.StatusCode, qt.Equals, http.StatusTooManyRequests)
	h.c.Assert(answer.Header.Get("Retry-After"), qt.Equals, "1.000")
	h.c.Assert(answer.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(lovageyard.VerdictNotRun))
	h.c.Assert(h.sender.sent, qt.HasLen, 0)
	h.route.Open = true
	h.setRoute(h.route)
	h.c.Assert(h.sendAs().StatusCode, qt.Equals, http.StatusOK)
}

// A request that no server ran does not count against the limit.
func TestAdmissionOfUnrunRequestIsReturned(t *testing.T) {
	for _, test := range []struct {
		step     step
		returned int64
	}{
		{success(http.StatusOK), 0},
		{notRun(http.StatusServiceUnavailable), 1},
		{lostAnswer, 0},
	} {
		h := newAccountHarness(t, test.step)
		h.route.Attempts = 1
		h.setRoute(h.route)
		h.sendAs("Token ka")
		h.c.Check(h.quota.returned.Load(), qt.Equals, test.returned)
	}
}

// The choice of a server must know the account, and the log has to tell that a refused account floods the service.
func TestRefusalTellsThatAnAccountFloodsTheService(t *testing.T) {
	h := newAccountHarness(t)
	h.accounts["c"] = map[string]any{"Keys": []string{"kc"}}
	h.route.LargeResponses = true
	h.setRoute(h.route)
	handler := h.handler()
	sendAs := func(key string) *http.Response {
		request := httptest.NewRequest(http.MethodGet, "/x/1", nil)
		request.Host = "a.example"
		request.Header.Set("Authorization", "Token "+key)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		return recorder.Result()
	}
	// Each request is sent while all earlier ones are in flight, until the servers are full.
	var refused *http.Response
	h.sender.before = func() {
		if refused != nil {
			return
		}
		if answer := sendAs("ka"); refused == nil {
			refused = answer
		}
	}
	sendAs("kc")
	h.c.Assert(refused.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	h.c.Assert(refused.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	h.c.Check(h.log.String(), qt.Contains, `"beyond-share":true`)
	h.c.Check(h.log.String(), qt.Contains, `"rank":0`)
}
