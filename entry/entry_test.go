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
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/dispatch"
	"lovageyard.example/lovageyard/entry"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/quarantine"
	"lovageyard.example/lovageyard/quota"
	"lovageyard.example/lovageyard/timer"
)

// step is what a backend server does with one attempt.
type step struct {
	answer *link.Response
	err    error
	// hang waits for the end of the attempt's context.
	hang bool
}

// sender plays steps in turn.
type sender struct {
	steps []step
	sent  []link.Request
	hung  chan struct{}
	// forgotten names the servers whose kept connections were given up.
	forgotten []string
	// observer is told what answers ask for, if set.
	observer link.Observer
	// before is called as a request is sent, if set.
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

// yard is a handler over one route with servers, two unless there are more, each in a failure domain of
// its own.
type yard struct {
	c       *qt.C
	servers int
	view    *catalog.View
	// serving is the handler that all requests go to; if it is nil, each has one of its own.
	serving http.Handler
	watch   *quarantine.Monitor
	sender  *sender
	log     *strings.Builder
	// key is the object that requests name, or "".
	key string
	// age is how old the knowledge of the configuration is, 0 if nil.
	age    func() time.Duration
	limits entry.KnowledgeLimits
	// accounts are the client accounts as the operator writes them, if there are any.
	accounts map[string]any
	route    lovageyard.Route
	quota    limit
	// hears makes the table of servers hear what answers ask for.
	hears bool
	// live makes the handler see the present view, not that of the moment at which it was made.
	live bool
}

// limit is a limit that the test sets; it counts what was returned.
type limit struct {
	refuses  bool
	returned int
}

func (l *limit) Admit(_ context.Context, a *lovageyard.Account) quota.Decision {
	if l.refuses && a != nil {
		return quota.Decision{Verdict: quota.Refused, RetryAfter: time.Second}
	}
	return quota.Decision{Verdict: quota.Admitted}
}

func (l *limit) Return(*lovageyard.Account) { l.returned++ }

// View returns the present view.
func (y *yard) View() *catalog.View { return y.view }

// ConfirmationAge returns the age that the test has set.
func (y *yard) ConfirmationAge() time.Duration { return source{age: y.age}.ConfirmationAge() }

// source returns what the handler takes its view from.
func (y *yard) source() entry.Source {
	if y.live {
		return y
	}
	return source{y.view, y.age}
}

func newYard(t *testing.T, steps ...step) *yard {
	return newYardOf(t, 2, steps...)
}

func newYardOf(t *testing.T, servers int, steps ...step) *yard {
	y := &yard{c: qt.New(t), servers: servers, sender: &sender{steps: steps}, log: &strings.Builder{}}
	snapshot := catalog.NewState(platform.Decoder{}).Snapshot()
	y.view = &catalog.View{Snapshot: snapshot, Ready: true}
	y.setRoute(lovageyard.Route{
		Name: "r", Host: "a.example", Prefix: "/x/", Idempotent: true, Timeout: 20 * time.Second, Goal: 20 * time.Second,
		Attempts: 2, Parts: []lovageyard.ServiceWeight{{Service: "desk", Weight: 1}},
	})
	return y
}

func (y *yard) setRoute(r lovageyard.Route) {
	y.route = r
	value, err := json.Marshal(map[string]any{
		"Version": "00000001",
		"Routes": map[string]any{r.Name: map[string]any{
			"Host": r.Host, "Prefix": r.Prefix, "Kind": map[bool]string{true: "idempotent", false: "non_idempotent"}[r.Idempotent],
			"TimeoutMs": r.Timeout.Milliseconds(), "GoalMs": r.Goal.Milliseconds(), "Attempts": r.Attempts, "Sticky": r.Sticky, "Service": "desk",
			"HomeRegions": r.HomeRegions, "NoAuth": r.Open,
		}},
		"Tenants":  y.accounts,
		"Services": map[string]any{"desk": map[string]any{"MaxConns": 9}},
		"Limits":   map[string]any{"MaxBodyBytes": 100},
	})
	y.c.Assert(err, qt.IsNil)
	regions := make(map[string]string)
	var rows []lovageyard.Row
	for n := range y.servers {
		domain := fmt.Sprint("north-", n+1)
		regions[domain] = "north"
		entry := fmt.Sprintf(`{"Addr":"127.0.0.1:9","Info":{"Service":"desk","Version":"v1","Zone":"%s","Slots":4},"Status":{"State":"ready","Sequence":1,"ColdLeftMs":0}}`, domain)
		rows = append(rows, lovageyard.Row{Table: lovageyard.TableServers, Key: fmt.Sprint("i-", n+1), Version: 1, Value: []byte(entry)})
	}
	state := catalog.NewState(platform.Decoder{Regions: regions})
	state.ApplyList(lovageyard.TableOrders, lovageyard.Changes{To: 1, Rows: []lovageyard.Row{
		{Table: lovageyard.TableOrders, Key: "config", Version: 1, Value: value},
	}}, time.Now())
	state.ApplyList(lovageyard.TableServers, lovageyard.Changes{To: 1, Rows: rows}, time.Now())
	y.view.Snapshot = state.Snapshot()
}

func (y *yard) handler() http.Handler {
	logger := logrus.New()
	logger.SetOutput(y.log)
	logger.SetFormatter(&logrus.JSONFormatter{})
	table := dispatch.NewTable(dispatch.Settings{
		Self: "entry", FailureDomain: "north-1", Region: "north",
		Bounds: dispatch.Bounds{Retries: dispatch.RetryBound{Ratio: 0.2, Window: 10 * time.Second, Slack: 100}},
	})
	table.SetCatalog(y.view.Snapshot, time.Now())
	if y.hears {
		y.sender.observer = &entry.NoticeObserver{Dispatch: table, Timer: timer.Clock{}, Logger: logger}
	}
	return entry.NewHandler(entry.Settings{
		Source: y.source(), Limits: y.limits, Codec: platform.Headers{}, Sender: y.sender, Dispatch: table, Quarantine: y.quarantine(logger), Quota: &y.quota,
		Timer: timer.Clock{}, Logger: logger, Metrics: meter.NewSet(),
	})
}

// living answers that no server has ended.
type living struct{}

func (living) RefusesConnections(context.Context, lovageyard.BackendServer) bool { return false }

// quarantine returns what remembers servers that ended.
func (y *yard) quarantine(logger *logrus.Logger) *quarantine.Monitor {
	w := quarantine.NewMonitor(quarantine.Settings{Prober: living{}, Timer: timer.Clock{}, Logger: logger, Metrics: meter.NewSet()})
	y.c.Cleanup(w.Close)
	y.watch = w
	return w
}

func (y *yard) ask(method, target, body string) *http.Response {
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	if body == "" {
		request.Body = http.NoBody
		request.ContentLength = 0
	}
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", "id-1")
	if y.key != "" {
		request.Header.Set("X-Affinity-Key", y.key)
	}
	recorder := httptest.NewRecorder()
	handler := y.serving
	if handler == nil {
		handler = y.handler()
	}
	handler.ServeHTTP(recorder, request)
	return recorder.Result()
}

func good(status int) step {
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

// sealed makes the server vouch for a step's answer.
func sealed(s step) step {
	s.answer.Meta.Sealed = true
	return s
}

var (
	unsealed = step{answer: &link.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("spoiled")}}
	lost     = step{err: lovageyard.MayHaveRun("the connection ended", nil)}
	unsent   = step{err: lovageyard.NotRun("not reached", nil)}
)

// Every way for attempts to end, and what the caller is told of it.
func TestEveryOutcomeThatACallerCanSee(t *testing.T) {
	for _, test := range []struct {
		name       string
		idempotent bool
		steps      []step
		status     int
		attempts   int
		// cause is what the log line tells.
		cause string
	}{
		{"answered", true, []step{good(200)}, 200, 1, `"outcome":"answered"`},
		{"answered with the server's refusal", false, []step{good(404)}, 404, 1, `"outcome":"answered"`},
		{"repeated after a server's failure", true, []step{good(500), good(200)}, 200, 2, "the server answered 500"},
		{"failed at both servers", true, []step{good(500), good(500)}, 500, 2, `"status":500`},
		{"a charge that failed is not repeated", false, []step{good(500)}, 500, 1, `"verdict":"ran"`},
		{"repeated after a lost answer", true, []step{lost, good(200)}, 200, 2, "the connection ended"},
		{"a charge whose answer was lost", false, []step{lost}, 502, 1, `"verdict":"may-have-run"`},
		{"a spoiled answer is not passed on", false, []step{unsealed}, 502, 1, `"verdict":"ran"`},
		{"a charge that a server refused goes to another", false, []step{notRun(503), good(200)}, 200, 2, `"outcome":"repeated"`},
		{"a charge that reached another's address", false, []step{notRun(421), good(200)}, 200, 2, "the server answered 421"},
		{"refused by both servers", true, []step{notRun(503), notRun(503)}, 503, 2, `"outcome":"refused"`},
		{"not reached, not run", false, []step{unsent, unsent}, 503, 2, `"verdict":"not-run"`},
		{"run at the first, refused by the second", true, []step{lost, notRun(503)}, 502, 2, `"outcome":"failed"`},
		{"run at the first, a sealed refusal by the second", true, []step{lost, sealed(notRun(503))}, 502, 2, `"outcome":"failed"`},
		{"failed at the first, refused by the second", true, []step{good(500), notRun(503)}, 500, 2, `"outcome":"answered"`},
		{"failed at the first, lost at the second", true, []step{good(500), lost}, 500, 2, `"outcome":"answered"`},
		{"a refusal that does not say that it did not run", false, []step{good(503)}, 502, 1, `"verdict":"ran"`},
		{"too many requests, but it may have run", true, []step{good(429), good(429)}, 502, 2, `"outcome":"failed"`},
		{"malformed for the server", true, []step{notRun(400)}, 400, 1, `"outcome":"rejected"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			y := newYard(t, test.steps...)
			y.setRoute(lovageyard.Route{
				Name: "r", Host: "a.example", Prefix: "/x/", Idempotent: test.idempotent, Timeout: 20 * time.Second, Goal: 20 * time.Second, Attempts: 2,
			})
			response := y.ask(http.MethodGet, "/x/a%2Fb?q", "")
			y.c.Assert(response.StatusCode, qt.Equals, test.status)
			y.c.Assert(y.sender.sent, qt.HasLen, test.attempts)
			y.c.Assert(y.log.String(), qt.Contains, test.cause)
			y.c.Assert(y.log.String(), qt.Contains, `"request-id":"id-1"`)
			servers := make(map[string]bool)
			for _, sent := range y.sender.sent {
				servers[sent.Server] = true
				y.c.Assert(sent.Target, qt.Equals, "/x/a%2Fb?q")
			}
			y.c.Assert(servers, qt.HasLen, test.attempts)
			if test.status == http.StatusServiceUnavailable {
				y.c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
				y.c.Assert(response.Header.Get(lovageyard.VerdictHeader), qt.Equals, "not-run")
			}
			if test.status == http.StatusBadGateway {
				y.c.Assert(response.Header.Get("Proof"), qt.Equals, "")
			}
			if test.status == http.StatusOK {
				body, err := io.ReadAll(response.Body)
				y.c.Assert(err, qt.IsNil)
				y.c.Assert(string(body), qt.Equals, "whole")
				y.c.Assert(response.Header.Get("Proof"), qt.Equals, "s")
				y.c.Assert(response.Header.Get("Connection"), qt.Equals, "")
			}
		})
	}
}

func TestRequestsThatAreNotProper(t *testing.T) {
	y := newYard(t)
	y.c.Assert(y.ask(http.MethodGet, "/other/", "").StatusCode, qt.Equals, http.StatusNotFound)
	y.c.Assert(y.ask(http.MethodPost, "/x/", strings.Repeat("b", 101)).StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
	y.c.Assert(y.sender.sent, qt.HasLen, 0)
}

// An instance that knows no configuration can't tell what is allowed.
func TestWithoutConfigurationRequestsAreRefusedNotDenied(t *testing.T) {
	y := newYard(t)
	y.view = &catalog.View{Snapshot: catalog.NewState(platform.Decoder{}).Snapshot()}
	y.c.Assert(y.ask(http.MethodGet, "/other/", "").StatusCode, qt.Equals, http.StatusServiceUnavailable)
}

func TestLeavingInstanceClosesConnectionsAndLaterRefuses(t *testing.T) {
	y := newYard(t, good(200))
	y.view.Leaving = true
	y.view.ShutdownAt = time.Now().Add(time.Hour)
	response := y.ask(http.MethodGet, "/x/", "")
	y.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	y.c.Assert(response.Header.Get("Connection"), qt.Equals, "close")
	y.view.Refusing = true
	y.c.Assert(y.ask(http.MethodGet, "/x/", "").StatusCode, qt.Equals, http.StatusServiceUnavailable)
}

// The lines of two requests tell whether they concerned the same object.
func TestLineNamesTheObject(t *testing.T) {
	object := func(key string) any {
		y := newYard(t, good(200))
		y.setRoute(lovageyard.Route{Name: "r", Host: "a.example", Prefix: "/x/", Timeout: time.Second, Attempts: 1, Sticky: true})
		y.key = key
		y.ask(http.MethodGet, "/x/", "")
		var line map[string]any
		y.c.Assert(json.Unmarshal([]byte(y.log.String()), &line), qt.IsNil)
		y.c.Assert(line["took-ms"], qt.IsNotNil)
		return line["object"]
	}
	c := qt.New(t)
	c.Assert(object("17"), qt.Equals, object("17"))
	c.Assert(object("17"), qt.Not(qt.Equals), object("18"))
	c.Assert(object(""), qt.IsNil)
}

// A request that may last longer than the instance lives is refused while it has not run; one that
// ends before is served.
func TestLeavingInstanceTakesNoRequestThatItMayCutOff(t *testing.T) {
	y := newYard(t, good(200))
	y.setRoute(lovageyard.Route{Name: "r", Host: "a.example", Prefix: "/x/", Timeout: 8 * time.Second, Attempts: 1})
	y.view.Leaving = true
	y.view.ShutdownAt = time.Now().Add(6 * time.Second)
	response := y.ask(http.MethodPost, "/x/", "b")
	y.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	y.c.Assert(response.Header.Get("Retry-After"), qt.Equals, "0.050")
	y.c.Assert(response.Header.Get("Connection"), qt.Equals, "close")
	y.c.Assert(y.sender.sent, qt.HasLen, 0)
	y.view.ShutdownAt = time.Now().Add(20 * time.Second)
	y.c.Assert(y.ask(http.MethodPost, "/x/", "b").StatusCode, qt.Equals, http.StatusOK)
}

func TestTimeoutOfTheRouteIsKept(t *testing.T) {
	y := newYard(t, step{hang: true})
	y.setRoute(lovageyard.Route{Name: "r", Host: "a.example", Prefix: "/x/", Timeout: 400 * time.Millisecond, Attempts: 2})
	response := y.ask(http.MethodPost, "/x/", "b")
	y.c.Assert(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
	y.c.Assert(y.sender.sent, qt.HasLen, 1)
	y.c.Assert(string(y.sender.sent[0].Body), qt.Equals, "b")
}

// A client that leaves frees the server, unless the request can't be repeated.
func TestClientThatLeaves(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		y := newYard(t, step{hang: true})
		y.sender.hung = make(chan struct{})
		timeout := 20 * time.Second
		if !idempotent {
			timeout = 500 * time.Millisecond
		}
		y.setRoute(lovageyard.Route{Name: "r", Host: "a.example", Prefix: "/x/", Idempotent: idempotent, Timeout: timeout, Attempts: 1})
		ctx, cancel := context.WithCancel(context.Background())
		request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/x/", http.NoBody)
		request.Host = "a.example"
		ended := make(chan struct{})
		handler := y.handler()
		go func() {
			defer close(ended)
			handler.ServeHTTP(httptest.NewRecorder(), request)
		}()
		<-y.sender.hung
		cancel()
		<-ended
		y.c.Assert(y.log.String(), qt.Contains, `"outcome":"client gone"`)
	}
}

// A charge that a server refused is not sent to another once its client has left.
func TestChargeOfAClientThatLeftIsNotSentAgain(t *testing.T) {
	y := newYard(t, notRun(503), good(200))
	y.setRoute(lovageyard.Route{Name: "r", Host: "a.example", Prefix: "/x/", Timeout: 20 * time.Second, Attempts: 2})
	ctx, cancel := context.WithCancel(context.Background())
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/x/", strings.NewReader("b"))
	request.Host = "a.example"
	y.sender.before = cancel
	y.handler().ServeHTTP(httptest.NewRecorder(), request)
	y.c.Assert(y.sender.sent, qt.HasLen, 1)
	y.c.Assert(y.log.String(), qt.Contains, `"outcome":"client gone"`)
}

func TestLookUpNamesTheOwnRegionFirst(t *testing.T) {
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
	ask := func(region string) string {
		recorder := httptest.NewRecorder()
		target := platform.LookUpPath + "?" + url.Values{"Name": {"a.example"}, "Region": {region}, "Zone": {"z"}}.Encode()
		directory.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, target, nil))
		return recorder.Body.String()
	}
	c.Assert(ask("north"), qt.Equals, `{"Addresses":["a"],"TtlS":2}`)
	c.Assert(ask("south"), qt.Equals, `{"Addresses":["c"],"TtlS":2}`)
	c.Assert(ask("west"), qt.Equals, `{"Addresses":["a","c"],"TtlS":2}`)
	// One that may not know the newest configuration is named if the region has no other.
	view.Live[0].Stale = true
	c.Assert(ask("north"), qt.Equals, `{"Addresses":["a"],"TtlS":2}`)
	view.Live = append(view.Live, member("d", "north", lovageyard.StateLive))
	c.Assert(ask("north"), qt.Equals, `{"Addresses":["d"],"TtlS":2}`)
	// One that has just started and is cut off knows itself at best, and can't serve.
	view.Ready = false
	c.Assert(ask("north"), qt.Contains, "not ready")
	view.Ready = true
	view.Live = nil
	c.Assert(ask("north"), qt.Contains, "no entry instance")
}

func TestReadiness(t *testing.T) {
	c := qt.New(t)
	view := &catalog.View{}
	readiness := &entry.Readiness{Source: source{view: view}}
	ask := func() int {
		recorder := httptest.NewRecorder()
		readiness.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, platform.ReadyPath, nil))
		return recorder.Code
	}
	c.Assert(ask(), qt.Equals, http.StatusServiceUnavailable)
	view.Ready = true
	c.Assert(ask(), qt.Equals, http.StatusOK)
	view.Leaving = true
	c.Assert(ask(), qt.Equals, http.StatusServiceUnavailable)
}

// A server's own answer goes before one of ours if there is no server left to repeat at.
func TestServersAnswerIsKeptWhenNoRepeatIsPossible(t *testing.T) {
	y := newYard(t, good(500))
	y.setRoute(lovageyard.Route{Name: "r", Host: "a.example", Prefix: "/x/", Idempotent: true, Timeout: 20 * time.Second, Attempts: 9})
	y.sender.steps = append(y.sender.steps, good(500))
	response := y.ask(http.MethodGet, "/x/", "")
	// Both servers have been tried, so that there is none for the third attempt.
	y.c.Assert(response.StatusCode, qt.Equals, http.StatusInternalServerError)
	y.c.Assert(response.Header.Get("Proof"), qt.Equals, "s")
	y.c.Assert(y.sender.sent, qt.HasLen, 2)
}
