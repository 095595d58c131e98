package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/dispatch"
	"lovageyard.example/lovageyard/entry"
	"lovageyard.example/lovageyard/footprint"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/quarantine"
	"lovageyard.example/lovageyard/quota"
	"lovageyard.example/lovageyard/timer"
)

// step is the scripted result of one attempt at a backend server.
type step struct {
	answer *link.Response
	err    error
	// hang blocks until the attempt's context is done.
	hang bool
}

// sender is a Sender that returns the results of its steps in order.
type sender struct {
	steps []step
	sent  []link.Request
	hung  chan struct{}
	// forgotten names the servers whose idle connections were closed.
	forgotten []string
	// observer receives the backpressure of answers, if set.
	observer link.Observer
	// before is called when a request is sent, if set.
	before func()
}

func (s *sender) Send(ctx context.Context, r link.Request) (*link.Response, error) {
	s.sent = append(s.sent, r)
	if s.before != nil {
		s.before()
	}
	if len(s.steps) == 0 {
		return nil, lovageyard.NotRun("no step left", nil)
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	if next.hang {
		if s.hung != nil {
			close(s.hung)
		}
		<-ctx.Done()
		return nil, lovageyard.MayHaveRun("hung", ctx.Err())
	}
	if s.observer != nil && next.answer != nil {
		s.observer.Observe(lovageyard.BackendServer{Name: r.Server, Incarnation: r.Incarnation}, next.answer.Meta.Backpressure, time.Now())
	}
	return next.answer, next.err
}

func (s *sender) Forget(server string) { s.forgotten = append(s.forgotten, server) }

type source struct {
	view *catalog.View
	age  func() time.Duration
}

func (s source) View() *catalog.View { return s.view }

func (s source) ConfirmationAge() time.Duration {
	if s.age == nil {
		return 0
	}
	return s.age()
}

// harness creates handlers for one route and sends requests to them. By default there are two servers, each in
// its own failure domain.
type harness struct {
	c       *qt.C
	servers int
	view    *catalog.View
	// serving is the handler for all requests; if it is nil, each request gets a new one.
	serving http.Handler
	monitor *quarantine.Monitor
	sender  *sender
	log     *strings.Builder
	// lines replaces log if it is not nil.
	lines io.Writer
	// key is the affinity key of requests, or "".
	key string
	// age returns the configuration age; nil means 0.
	age    func() time.Duration
	limits entry.AgeLimits
	// accounts are the client accounts as the operator writes them, by name; nil means that there are none.
	accounts map[string]any
	route    lovageyard.Route
	// further are routes beside route that differ only in name and prefix.
	further map[string]string
	quota   scriptedQuota
	// observes passes the backpressure in answers to the dispatch table.
	observes bool
	// address is the address of all servers, by default one that refuses connections.
	address string
	// path replaces sender if it is not nil.
	path entry.Sender
	// urgent is a further route that setRoute adds if it is not nil.
	urgent *lovageyard.Route
	// live makes the handler use the current view instead of the one at its creation.
	live bool
	// memory and minBodyRate are the settings of the same names.
	memory      *footprint.Pool
	minBodyRate int64
	// slots is the number of slots of each server.
	slots int
	// metrics are the handler's.
	metrics *meter.Set
}

// scriptedQuota is a Quota that refuses requests of accounts if refuses is set, and counts returned admissions.
type scriptedQuota struct {
	refuses  bool
	returned atomic.Int64
}

func (q *scriptedQuota) Admit(_ context.Context, a *lovageyard.Account) quota.Decision {
	if q.refuses && a != nil {
		return quota.Decision{Verdict: quota.Refused, RetryAfter: time.Second}
	}
	return quota.Decision{Verdict: quota.Admitted}
}

func (q *scriptedQuota) Return(*lovageyard.Account) { q.returned.Add(1) }

// View returns the current view.
func (h *harness) View() *catalog.View { return h.view }

// ConfirmationAge returns the age set by the test.
func (h *harness) ConfirmationAge() time.Duration { return source{age: h.age}.ConfirmationAge() }

// source returns the handler's Source.
func (h *harness) source() entry.Source {
	if h.live {
		return h
	}
	return source{h.view, h.age}
}

// defaultSlots is the number of slots of the servers.
const defaultSlots = 4

func newHarness(t testing.TB, steps ...step) *harness {
	return newHarnessOf(t, 2, steps...)
}

func newHarnessOf(t testing.TB, servers int, steps ...step) *harness {
	h := &harness{c: qt.New(t), servers: servers, address: "127.0.0.1:9", sender: &sender{steps: steps}, log: &strings.Builder{}, slots: defaultSlots}
	snapshot := catalog.NewState(platform.Decoder{}).Snapshot()
	h.view = &catalog.View{Snapshot: snapshot, Ready: true}
	h.setRoute(lovageyard.Route{
		Name: "r", Host: "a.example", Prefix: "/x/", Idempotent: true, Timeout: 20 * time.Second, Goal: 20 * time.Second,
		Attempts: 2, Parts: []lovageyard.ServiceWeight{{Service: "desk", Weight: 1}},
	})
	return h
}

// kindOf returns the operator's name of a route's kind.
func kindOf(r lovageyard.Route) string {
	switch {
	case r.LargeResponses:
		return "download"
	case r.Idempotent:
		return "idempotent"
	}
	return "non_idempotent"
}

func (h *harness) setRoute(r lovageyard.Route) {
	h.route = r
	routes := make(map[string]any)
	add := func(name, prefix string, r lovageyard.Route) {
		routes[name] = map[string]any{
			"Host": r.Host, "Prefix": prefix, "Kind": kindOf(r),
			"TimeoutMs": r.Timeout.Milliseconds(), "GoalMs": r.Goal.Milliseconds(), "Attempts": r.Attempts, "Sticky": r.Sticky, "Service": "desk",
			"HomeRegions": r.HomeRegions, "NoAuth": r.Open, "Priority": r.Rank,
		}
	}
	add(r.Name, r.Prefix, r)
	for name, prefix := range h.further {
		add(name, prefix, r)
	}
	if h.urgent != nil {
		add(h.urgent.Name, h.urgent.Prefix, *h.urgent)
	}
	value, err := json.Marshal(map[string]any{
		"Version":  "00000001",
		"Routes":   routes,
		"Tenants":  h.accounts,
		"Services": map[string]any{"desk": map[string]any{"MaxConns": max(9, h.slots)}},
		"Limits":   map[string]any{"MaxBodyBytes": 100},
	})
	h.c.Assert(err, qt.IsNil)
	regions := make(map[string]string)
	var rows []lovageyard.Row
	for n := range h.servers {
		domain := fmt.Sprint("north-", n+1)
		regions[domain] = "north"
		server := fmt.Sprintf(`{"Addr":"%s","Info":{"Service":"desk","Version":"v1","Zone":"%s","Slots":%d},"Status":{"State":"ready","Sequence":1,"ColdLeftMs":0}}`, h.address, domain, h.slots)
		rows = append(rows, lovageyard.Row{Table: lovageyard.TableServers, Key: fmt.Sprint("i-", n+1), Version: 1, Value: []byte(server)})
	}
	state := catalog.NewState(platform.Decoder{Regions: regions})
	state.ApplyList(lovageyard.TableOrders, lovageyard.Changes{To: 1, Rows: []lovageyard.Row{
		{Table: lovageyard.TableOrders, Key: "config", Version: 1, Value: value},
	}}, time.Now())
	state.ApplyList(lovageyard.TableServers, lovageyard.Changes{To: 1, Rows: rows}, time.Now())
	h.view.Snapshot = state.Snapshot()
}

func (h *harness) handler() http.Handler {
	logger := logrus.New()
	logger.SetOutput(h.log)
	if h.lines != nil {
		logger.SetOutput(h.lines)
	}
	logger.SetFormatter(&logrus.JSONFormatter{})
	table := dispatch.NewTable(dispatch.Settings{
		Self: "entry", FailureDomain: "north-1", Region: "north",
		Bounds: dispatch.Bounds{Retries: dispatch.RetryBound{Ratio: 0.2, Window: 10 * time.Second, Slack: 100}},
	})
	table.SetCatalog(h.view.Snapshot, time.Now())
	if h.observes {
		h.sender.observer = &entry.BackpressureObserver{Dispatch: table, Timer: timer.Clock{}, Logger: logger}
	}
	h.metrics = meter.NewSet()
	var path entry.Sender = h.sender
	if h.path != nil {
		path = h.path
	}
	return entry.NewHandler(entry.Settings{
		Source: h.source(), Limits: h.limits, Codec: platform.Headers{}, Sender: path, Dispatch: table, Quarantine: h.quarantine(logger), Quota: &h.quota,
		Timer: timer.Clock{}, Logger: logger, Metrics: h.metrics, Shares: &entry.Shares{},
		Memory: h.memory, MinBodyRate: h.minBodyRate,
	})
}

// running is a quarantine.Prober whose servers never refuse connections.
type running struct{}

func (running) RefusesConnections(context.Context, lovageyard.BackendServer) bool { return false }

// quarantine returns the handler's quarantine.Monitor.
func (h *harness) quarantine(logger *logrus.Logger) *quarantine.Monitor {
	m := quarantine.NewMonitor(quarantine.Settings{Prober: running{}, Timer: timer.Clock{}, Logger: logger, Metrics: meter.NewSet()})
	h.c.Cleanup(m.Close)
	h.monitor = m
	return m
}

func (h *harness) send(method, target, body string) *http.Response {
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	if body == "" {
		request.Body = http.NoBody
		request.ContentLength = 0
	}
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", "id-1")
	if h.key != "" {
		request.Header.Set("X-Affinity-Key", h.key)
	}
	recorder := httptest.NewRecorder()
	handler := h.serving
	if handler == nil {
		handler = h.handler()
	}
	handler.ServeHTTP(recorder, request)
	return recorder.Result()
}

func success(status int) step {
	return step{answer: &link.Response{
		Status: status, Header: http.Header{"Proof": {"s"}, "Connection": {"close"}}, Body: []byte("whole"),
		Meta: lovageyard.ResponseMeta{ID: "id-1", Sealed: true},
	}}
}

func notRun(status int) step {
	return step{answer: &link.Response{
		Status: status, Header: http.Header{},
		Meta: lovageyard.ResponseMeta{NotRun: true, Misdirected: status == http.StatusMisdirectedRequest},
	}}
}

// sealed marks the answer of a step as sealed by the server.
func sealed(s step) step {
	s.answer.Meta.Sealed = true
	return s
}

// skipped marks the answer of a step as one that came after the answer to an earlier request.
func skipped(s step) step {
	s.answer.Skipped = 1
	return s
}

var (
	unsealed   = step{answer: &link.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("spoiled")}}
	lostAnswer = step{err: lovageyard.MayHaveRun("the connection ended", nil)}
	unsent     = step{err: lovageyard.NotRun("not reached", nil)}
)

// Covers every way in which attempts can end, and the response to the caller.
func TestEveryOutcome(t *testing.T) {
	for _, test := range []struct {
		name       string
		idempotent bool
		steps      []step
		status     int
		attempts   int
		// logPart is a part of the log line.
		logPart string
	}{
		{"answered", true, []step{success(200)}, 200, 1, `"outcome":"answered"`},
		{"answered with the server's refusal", false, []step{success(404)}, 404, 1, `"outcome":"answered"`},
		{"repeated after a server's failure", true, []step{success(500), success(200)}, 200, 2, "the server answered 500"},
		{"failed at both servers", true, []step{success(500), success(500)}, 500, 2, `"status":500`},
		{"a charge that failed is not repeated", false, []step{success(500)}, 500, 1, `"verdict":"ran"`},
		{"repeated after a lost answer", true, []step{lostAnswer, success(200)}, 200, 2, "the connection ended"},
		{"a charge whose answer was lost", false, []step{lostAnswer}, 502, 1, `"verdict":"may-have-run"`},
		{"a spoiled answer is not passed on", false, []step{unsealed}, 502, 1, `"verdict":"ran"`},
		{"a charge that a server refused goes to another", false, []step{notRun(503), success(200)}, 200, 2, `"outcome":"repeated"`},
		{"a charge that reached another's address", false, []step{notRun(421), success(200)}, 200, 2, "the server answered 421"},
		{"refused by both servers", true, []step{notRun(503), notRun(503)}, 503, 2, `"outcome":"refused"`},
		{"not reached, not run", false, []step{unsent, unsent}, 503, 2, `"verdict":"not-run"`},
		{"run at the first, refused by the second", true, []step{lostAnswer, notRun(503)}, 502, 2, `"outcome":"failed"`},
		{"run at the first, a sealed refusal by the second", true, []step{lostAnswer, sealed(notRun(503))}, 502, 2, `"outcome":"failed"`},
		{"failed at the first, refused by the second", true, []step{success(500), notRun(503)}, 500, 2, `"outcome":"answered"`},
		{"failed at the first, lost at the second", true, []step{success(500), lostAnswer}, 500, 2, `"outcome":"answered"`},
		{"a refusal that does not say that it did not run", false, []step{success(503)}, 502, 1, `"verdict":"ran"`},
		{"too many requests, but it may have run", true, []step{success(429), success(429)}, 502, 2, `"outcome":"failed"`},
		{"after a second answer to an earlier request", false, []step{skipped(success(200))}, 200, 1, `"answers-skipped":1`},
		{"misdirected, but it has run", false, []step{success(421)}, 502, 1, `"verdict":"ran"`},
		{"malformed for the server", true, []step{notRun(400)}, 400, 1, `"outcome":"rejected"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.steps...)
			h.setRoute(lovageyard.Route{
				Name: "r", Host: "a.example", Prefix: "/x/", Idempotent: test.idempotent, Timeout: 20 * time.Second, Goal: 20 * time.Second, Attempts: 2,
			})
			response := h.send(http.MethodGet, "/x/a%2Fb?q", "")
			h.c.Assert(response.StatusCode, qt.Equals, test.status)
			h.c.Assert(h.sender.sent, qt.HasLen, test.attempts)
			h.c.Assert(h.log.String(), qt.Contains, test.logPart)
			h.c.Assert(h.log.String(), qt.Contains, `"request-id":"id-1"`)
			servers := make(map[string]bool)
			for _, sent := range h.sender.sent {
				servers[sent.Server] = true
				h.c.Assert(sent.Target, qt.Equals, "/x/a%2Fb?q")
			}
			h.c.Assert(servers, qt.HasLen, test.attempts)
			if test.status == http.StatusServiceUnavailable {
				h.c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
				h.c.Assert(response.Header.Get(lovageyard.VerdictHeader), qt.Equals, "not-run")
			}
			if test.status == http.StatusBadGateway {
				h.c.Assert(response.Header.Get("Proof"), qt.Equals, "")
			}
			if test.status == http.StatusOK {
				body, err := io.ReadAll(response.Body)
				h.c.Assert(err, qt.IsNil)
				h.c.Assert(string(body), qt.Equals, "whole")
				h.c.Assert(response.Header.Get("Proof"), qt.Equals, "s")
				h.c.Assert(response.Header.Get("Connection"), qt.Equals, "")
			}
		})
	}
}

// Operators must be able to tell servers that answer twice, or that fail with a status that promises otherwise, from
// servers that refuse requests.
func TestDiscardedAnswersAreCounted(t *testing.T) {
	h := newHarness(t, skipped(success(200)), success(503))
	h.serving = h.handler()
	for range 2 {
		h.send(http.MethodGet, "/x/", "")
	}
	var text strings.Builder
	h.metrics.Write(&text)
	h.c.Assert(text.String(), qt.Contains, meter.AnswersSkipped.Name)
	h.c.Assert(text.String(), qt.Contains, meter.PromisesIgnored.Name)
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	h := newHarness(t)
	h.c.Assert(h.send(http.MethodGet, "/other/", "").StatusCode, qt.Equals, http.StatusNotFound)
	h.c.Assert(h.send(http.MethodPost, "/x/", strings.Repeat("b", 101)).StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	h.c.Assert(h.sender.sent, qt.HasLen, 0)
}

// An instance without a configuration cannot tell which requests are allowed.
func TestRequestsWithoutConfigurationAreRefused(t *testing.T) {
	h := newHarness(t)
	h.view = &catalog.View{Snapshot: catalog.NewState(platform.Decoder{}).Snapshot()}
	h.c.Assert(h.send(http.MethodGet, "/other/", "").StatusCode, qt.Equals, http.StatusServiceUnavailable)
}

// The rows of an instance that starts just after a restore of the platform's store may be older than what was
// acknowledged, so that its server may be leaving or its route be gone.
func TestRequestsAreRefusedWhileSettling(t *testing.T) {
	h := newHarness(t, success(200))
	h.view.Settling = true
	response := h.send(http.MethodGet, "/x/", "")
	h.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	h.c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	h.c.Assert(h.sender.sent, qt.HasLen, 0)
	h.view.Settling = false
	h.c.Assert(h.send(http.MethodGet, "/x/", "").StatusCode, qt.Equals, http.StatusOK)
}

func TestLeavingInstanceClosesConnectionsThenRefuses(t *testing.T) {
	h := newHarness(t, success(200))
	h.view.Leaving = true
	h.view.ShutdownAt = time.Now().Add(time.Hour)
	response := h.send(http.MethodGet, "/x/", "")
	h.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	h.c.Assert(response.Header.Get("Connection"), qt.Equals, "close")
	h.view.Refusing = true
	h.c.Assert(h.send(http.MethodGet, "/x/", "").StatusCode, qt.Equals, http.StatusServiceUnavailable)
}

// Log lines of requests for the same object have the same object field.
func TestLogLineNamesObject(t *testing.T) {
	object := func(key string) any {
		h := newHarness(t, success(200))
		h.setRoute(lovageyard.Route{Name: "r", Host: "a.example", Prefix: "/x/", Timeout: time.Second, Attempts: 1, Sticky: true})
		h.key = key
		h.send(http.MethodGet, "/x/", "")
		var line map[string]any
		h.c.Assert(json.Unmarshal([]byte(h.log.String()), &line), qt.IsNil)
		h.c.Assert(line["took-ms"], qt.IsNotNil)
		return line["object"]
	}
	c := qt.New(t)
	c.Assert(object("17"), qt.Equals, object("17"))
	c.Assert(object("17"), qt.Not(qt.Equals), object("18"))
	c.Assert(object(""), qt.IsNil)
}

// An instance that shuts down refuses a request that may last longer than it does, and serves one that ends
// before.
func TestLeavingInstanceRefusesRequestsItCannotFinish(t *testing.T) {
	h := newHarness(t, success(200))
	h.setRoute(lovageyard.Route{Name: "r", Host: "a.example", Prefix: "/x/", Timeout: 8 * time.Second, Attempts: 1})
	h.view.Leaving = true
	h.view.ShutdownAt = time.Now().Add(6 * time.Second)
	response := h.send(http.MethodPost, "/x/", "b")
	h.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	h.c.Assert(response.Header.Get("Retry-After"), qt.Equals, "0.050")
	h.c.Assert(response.Header.Get("Connection"), qt.Equals, "close")
	h.c.Assert(h.sender.sent, qt.HasLen, 0)
	h.view.ShutdownAt = time.Now().Add(20 * time.Second)
	h.c.Assert(h.send(http.MethodPost, "/x/", "b").StatusCode, qt.Equals, http.StatusOK)
}

func TestRouteTimeoutIsEnforced(t *testing.T) {
	h := newHarness(t, step{hang: true})
	h.setRoute(lovageyard.Route{Name: "r", Host: "a.example", Prefix: "/x/", Timeout: 400 * time.Millisecond, Attempts: 2})
	response := h.send(http.MethodPost, "/x/", "b")
	h.c.Assert(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
	h.c.Assert(h.sender.sent, qt.HasLen, 1)
	h.c.Assert(string(h.sender.sent[0].Body), qt.Equals, "b")
}

// A client that disconnects cancels the attempt, unless the request is not idempotent.
func TestClientDisconnect(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		h := newHarness(t, step{hang: true})
		h.sender.hung = make(chan struct{})
		timeout := 20 * time.Second
		if !idempotent {
			timeout = 500 * time.Millisecond
		}
		h.setRoute(lovageyard.Route{Name: "r", Host: "a.example", Prefix: "/x/", Idempotent: idempotent, Timeout: timeout, Attempts: 1})
		ctx, cancel := context.WithCancel(context.Background())
		request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/x/", http.NoBody)
		request.Host = "a.example"
		returned := make(chan struct{})
		handler := h.handler()
		go func() {
			defer close(returned)
			handler.ServeHTTP(httptest.NewRecorder(), request)
		}()
		<-h.sender.hung
		cancel()
		<-returned
		h.c.Assert(h.log.String(), qt.Contains, `"outcome":"client gone"`)
	}
}

// A non-idempotent request that a server refused is not sent to another server once its client has
// disconnected.
func TestNoRetryAfterClientDisconnect(t *testing.T) {
	h := newHarness(t, notRun(503), success(200))
	h.setRoute(lovageyard.Route{Name: "r", Host: "a.example", Prefix: "/x/", Timeout: 20 * time.Second, Attempts: 2})
	ctx, cancel := context.WithCancel(context.Background())
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/x/", strings.NewReader("b"))
	request.Host = "a.example"
	h.sender.before = cancel
	h.handler().ServeHTTP(httptest.NewRecorder(), request)
	h.c.Assert(h.sender.sent, qt.HasLen, 1)
	h.c.Assert(h.log.String(), qt.Contains, `"outcome":"client gone"`)
}

func TestLookUpPrefersOwnRegion(t *testing.T) {
	c := qt.New(t)
	member := func(name, region string, state lovageyard.InstanceState) lovageyard.EntryInstance {
		return lovageyard.EntryInstance{Name: name, Region: region, CallerAddress: name, State: state}
	}
	view := &catalog.View{Ready: true, Live: []lovageyard.EntryInstance{
		member("a", "north", lovageyard.StateLive),
		member("b", "north", lovageyard.StateLeaving),
		member("c", "south", lovageyard.StateLive),
	}}
	directory := &entry.Directory{Source: source{view: view}, KeepFor: 2 * time.Second}
	send := func(region string) string {
		recorder := httptest.NewRecorder()
		target := platform.LookUpPath + "?" + url.Values{"Name": {"a.example"}, "Region": {region}, "Zone": {"z"}}.Encode()
		directory.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, target, nil))
		return recorder.Body.String()
	}
	c.Assert(send("north"), qt.Equals, `{"Addresses":["a"],"TtlS":2}`)
	c.Assert(send("south"), qt.Equals, `{"Addresses":["c"],"TtlS":2}`)
	c.Assert(send("west"), qt.Equals, `{"Addresses":["a","c"],"TtlS":2}`)
	// An instance that may lack the newest configuration is named only if the region has no other.
	view.Live[0].Stale = true
	c.Assert(send("north"), qt.Equals, `{"Addresses":["a"],"TtlS":2}`)
	view.Live = append(view.Live, member("d", "north", lovageyard.StateLive))
	c.Assert(send("north"), qt.Equals, `{"Addresses":["d"],"TtlS":2}`)
	// An instance that has just started without reaching any peer knows only itself, and cannot serve.
	view.Ready = false
	c.Assert(send("north"), qt.Contains, "not ready")
	view.Ready = true
	view.Live = nil
	c.Assert(send("north"), qt.Contains, "no entry instance")
}

func TestReadiness(t *testing.T) {
	c := qt.New(t)
	view := &catalog.View{}
	readiness := &entry.Readiness{Source: source{view: view}}
	send := func() int {
		recorder := httptest.NewRecorder()
		readiness.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, platform.ReadyPath, nil))
		return recorder.Code
	}
	c.Assert(send(), qt.Equals, http.StatusServiceUnavailable)
	view.Ready = true
	c.Assert(send(), qt.Equals, http.StatusOK)
	view.Leaving = true
	c.Assert(send(), qt.Equals, http.StatusServiceUnavailable)
}

// A server's own answer takes precedence over a generated one if there is no server left to retry on.
func TestServerErrorIsForwardedWithoutRetry(t *testing.T) {
	h := newHarness(t, success(500))
	h.setRoute(lovageyard.Route{Name: "r", Host: "a.example", Prefix: "/x/", Idempotent: true, Timeout: 20 * time.Second, Attempts: 9})
	h.sender.steps = append(h.sender.steps, success(500))
	response := h.send(http.MethodGet, "/x/", "")
	// Both servers have been tried, so that there is none for the third attempt.
	h.c.Assert(response.StatusCode, qt.Equals, http.StatusInternalServerError)
	h.c.Assert(response.Header.Get("Proof"), qt.Equals, "s")
	h.c.Assert(h.sender.sent, qt.HasLen, 2)
}
