package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/block"
	"lovageyard.example/lovageyard/charge"
	"lovageyard.example/lovageyard/class"
	"lovageyard.example/lovageyard/grant"
	"lovageyard.example/lovageyard/instance"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/move"
	"lovageyard.example/lovageyard/platform/memory"
	"lovageyard.example/lovageyard/route"
	"lovageyard.example/lovageyard/server"
	"lovageyard.example/lovageyard/timer"
)

func TestMain(m *testing.M) {
	// The metrics library runs one goroutine for all meters of the process.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

// harness is a handler in front of scripted backend servers.
type harness struct {
	snapshot *route.Snapshot
	pool     *server.Pool
	front    *httptest.Server
	client   *http.Client
	platform *memory.Store
	metrics  metrics.Registry

	mu        sync.Mutex
	decisions []lovageyard.Decision
	leaving   []string
}

func (h *harness) Snapshot() *route.Snapshot {
	return h.snapshot
}

func (h *harness) Record(d lovageyard.Decision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decisions = append(h.decisions, d)
}

func (h *harness) ServerLeaving(_, _, name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = append(h.leaving, name)
}

func testClass(name, path string, idempotent bool) lovageyard.Class {
	return lovageyard.Class{
		Name:       name,
		Service:    "desk",
		Match:      []lovageyard.Match{{PathPrefix: path}},
		Idempotent: idempotent,
		Deadline:   lovageyard.Duration(5 * time.Second),
		Target:     lovageyard.Target{Cap: 0.1, Interval: lovageyard.Duration(time.Minute)},
	}
}

// newHarness starts an HTTP server with the handler, for backend servers at the given addresses.
func newHarness(t *testing.T, addresses ...string) *harness {
	h := &harness{pool: server.NewPool(server.Settings{Mode: server.RoundRobin, QueuePerSlot: 1}, 1)}
	var list []lovageyard.BackendServer
	for i, address := range addresses {
		list = append(list, lovageyard.BackendServer{Name: fmt.Sprintf("server-%d", i+1), Address: address, Slots: 4, State: lovageyard.StateLive})
	}
	h.pool.SetServers(list)
	classes := []lovageyard.Class{testClass("charges", "/charges/", false), testClass("lookups", "/lookups/", true)}
	blocks, err := block.NewTable([]block.Entry{{Prefix: netip.MustParsePrefix("198.51.100.0/24"), FailureDomain: "far"}})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	near := lovageyard.EntryInstance{Name: "near-1", FailureDomain: "near", CallerAddress: "near:1", State: lovageyard.StateLive}
	far := lovageyard.EntryInstance{Name: "far-1", FailureDomain: "far", CallerAddress: "far:1", State: lovageyard.StateLive}
	h.snapshot = &route.Snapshot{
		Version:     7,
		DefaultHome: "near",
		LookUpTTL:   5 * time.Second,
		Classes:     class.NewIndex(classes),
		Blocks:      blocks,
		Directory:   instance.NewDirectory([]lovageyard.EntryInstance{far, near}),
	}
	for _, k := range classes {
		limiter := move.NewLimiter(k.Target.Cap, 100)
		h.snapshot.ClassRoutes = append(h.snapshot.ClassRoutes, route.ClassRoute{
			Class:           k,
			Limiter:         limiter,
			FailoverLimiter: limiter,
			RetryBudget:     server.NewRetryBudget(),
			Sites:           []route.Site{{Name: "near", Pool: h.pool, Allowance: grant.NewTokenBucket(0, now), Local: true}},
		})
	}
	client := link.New(link.LoadHeaderCodec{}, timer.Clock{}, nil)
	h.platform = memory.NewStore()
	h.metrics = metrics.NewRegistry()
	charges := charge.NewStore(h.platform, timer.Clock{}, "near-1/1")
	handler := NewHandler(Settings{
		Source:   h,
		Observer: h,
		Charges:  charges,
		Backend:  client,
		Timer:    timer.Clock{},
		Recorder: h,
		Metrics:  h.metrics,
		Self:     lovageyard.EntryInstance{Name: "near-1", FailureDomain: "near"},
	})
	h.front = httptest.NewServer(handler)
	h.client = h.front.Client()
	t.Cleanup(func() {
		h.client.CloseIdleConnections()
		h.front.Close()
		client.Close()
		charges.Close()
	})
	return h
}

// newBackend starts a scripted backend server, whose answers repeat the ID of the attempt, and returns its address.
func newBackend(t *testing.T, f http.HandlerFunc) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(lovageyard.AttemptHeader, r.Header.Get(lovageyard.AttemptHeader))
		f(w, r)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(lovageyard.VerdictHeader, string(lovageyard.VerdictNotRun))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func cutInBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	panic(http.ErrAbortHandler)
}

func answerOK(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "whole")
}

func TestForwardVerdicts(t *testing.T) {
	closedAddress := func() string {
		l, _ := net.Listen("tcp", "127.0.0.1:0")
		defer l.Close()
		return l.Addr().String()
	}
	for _, test := range []struct {
		name string
		// first is the behavior of the server that gets the first attempt; nil means that nothing listens
		// there.
		first   http.HandlerFunc
		path    string
		status  int
		verdict lovageyard.Verdict
		// second is the number of attempts that the second server gets.
		second int64
	}{
		{"lookup, server refuses", refuse, "/lookups/1", 200, "", 1},
		{"lookup, server dead", nil, "/lookups/1", 200, "", 1},
		{"lookup, answer cut", cutInBody, "/lookups/1", 200, "", 1},
		{"charge, server refuses", refuse, "/charges/1", 200, "", 1},
		{"charge, server dead", nil, "/charges/1", 200, "", 1},
		{"charge, answer cut", cutInBody, "/charges/1", 502, lovageyard.VerdictMayHaveRun, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var secondAttempts atomic.Int64
			second := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				secondAttempts.Add(1)
				answerOK(w, r)
			})
			first := closedAddress()
			if test.first != nil {
				first = newBackend(t, test.first)
			}
			// Round robin starts with the second server of the list.
			h := newHarness(t, second, first)
			response, err := h.client.Do(post(c, h.front.URL+test.path, "key-1", "body"))
			c.Assert(err, qt.IsNil)
			defer response.Body.Close()
			c.Assert(response.StatusCode, qt.Equals, test.status)
			c.Assert(response.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(test.verdict))
			c.Assert(secondAttempts.Load(), qt.Equals, test.second)
			body, err := io.ReadAll(response.Body)
			c.Assert(err, qt.IsNil)
			if test.status == http.StatusOK {
				c.Assert(string(body), qt.Equals, "whole")
				return
			}
			var failure Failure
			c.Assert(json.Unmarshal(body, &failure), qt.IsNil)
			c.Assert(failure.Verdict, qt.Equals, test.verdict)
		})
	}
}

func TestForwardRefusals(t *testing.T) {
	h := newHarness(t)
	for _, test := range []struct {
		name     string
		path     string
		deadline string
		status   int
	}{
		{"no class", "/unknown", "", 404},
		{"bad deadline", "/lookups/1", "soon", 400},
		{"deadline of zero", "/lookups/1", "0", 400},
		{"no server", "/lookups/1", "", 503},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			request, err := http.NewRequest(http.MethodGet, h.front.URL+test.path, nil)
			c.Assert(err, qt.IsNil)
			request.Header.Set(lovageyard.DeadlineHeader, test.deadline)
			response, err := h.client.Do(request)
			c.Assert(err, qt.IsNil)
			response.Body.Close()
			c.Assert(response.StatusCode, qt.Equals, test.status)
			c.Assert(response.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(lovageyard.VerdictNotRun))
		})
	}
}

func TestForwardDeadline(t *testing.T) {
	c := qt.New(t)
	seen := make(chan string, 1)
	h := newHarness(t, newBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		// A server detects a disconnected client only after it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		seen <- r.Header.Get(lovageyard.DeadlineHeader)
		<-r.Context().Done()
	}))
	request := post(c, h.front.URL+"/charges/1", "key-1", "x")
	request.Header.Set(lovageyard.DeadlineHeader, "150")
	response, err := h.client.Do(request)
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
	c.Assert(response.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(lovageyard.VerdictMayHaveRun))
	c.Assert(<-seen, qt.Matches, `1[0-5]?\d?`)
}

// TestForwardHTTP checks that the handler preserves HTTP semantics.
func TestForwardHTTP(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch r.URL.Path {
		case "/lookups/echo":
			for _, name := range []string{"Connection", "Keep-Alive", "Expect", "X-Hop", "Te"} {
				if r.Header.Get(name) != "" {
					w.Header().Add("X-Leaked", name)
				}
			}
			w.Header().Set("X-Host", r.Host)
			w.Header().Set("X-Through", r.Header.Get("X-Forwarded-For"))
			w.Header().Set("X-Query", r.URL.RawQuery)
			w.Header().Set("X-Trailer", r.Trailer.Get("X-Sum"))
			_, _ = w.Write(body)
		case "/lookups/trailer":
			w.Header().Set("Trailer", "X-After")
			_, _ = io.WriteString(w, "body")
			w.Header().Set("X-After", "sum")
		case "/lookups/hints":
			w.Header().Set("Link", "</style.css>")
			w.WriteHeader(http.StatusEarlyHints)
			answerOK(w, r)
		case "/lookups/empty":
			w.WriteHeader(http.StatusNoContent)
		case "/lookups/head":
			w.Header().Set("Content-Length", "1234")
		}
	}))
	do := func(method, path string, body io.Reader, change func(*http.Request)) (*http.Response, string) {
		request, err := http.NewRequest(method, h.front.URL+path, body)
		c.Assert(err, qt.IsNil)
		if change != nil {
			change(request)
		}
		response, err := h.client.Do(request)
		c.Assert(err, qt.IsNil)
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		return response, string(data)
	}

	response, body := do(http.MethodPost, "/lookups/echo?a=1;b", io.MultiReader(strings.NewReader("chunked")), func(r *http.Request) {
		r.Host = "desk.example"
		r.Header.Set("X-Forwarded-For", "192.0.2.1")
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "1")
		r.Header.Set("Te", "trailers")
		r.Header.Set("Expect", "100-continue")
		r.Trailer = http.Header{"X-Sum": {"7"}}
	})
	c.Assert(body, qt.Equals, "chunked")
	c.Assert(response.Header["X-Leaked"], qt.IsNil)
	c.Assert(response.Header.Get("X-Host"), qt.Equals, "desk.example")
	c.Assert(response.Header.Get("X-Through"), qt.Equals, "192.0.2.1, 127.0.0.1")
	c.Assert(response.Header.Get("X-Query"), qt.Equals, "a=1;b")
	c.Assert(response.Header.Get("X-Trailer"), qt.Equals, "7")
	c.Assert(response.Header.Get(lovageyard.SiteHeader), qt.Equals, "near")

	response, body = do(http.MethodGet, "/lookups/trailer", nil, nil)
	c.Assert(body, qt.Equals, "body")
	c.Assert(response.Trailer.Get("X-After"), qt.Equals, "sum")

	response, body = do(http.MethodHead, "/lookups/head", nil, nil)
	c.Assert(body, qt.Equals, "")
	c.Assert(response.ContentLength, qt.Equals, int64(1234))

	response, _ = do(http.MethodGet, "/lookups/empty", nil, nil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusNoContent)

	var hints []string
	trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
		hints = append(hints, fmt.Sprint(code, h.Get("Link")))
		return nil
	}}
	_, body = do(http.MethodGet, "/lookups/hints", nil, func(r *http.Request) {
		*r = *r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	})
	c.Assert(body, qt.Equals, "whole")
	c.Assert(hints, qt.DeepEquals, []string{"103</style.css>"})
}

func TestForwardLongAnswers(t *testing.T) {
	const size = 4 << 20
	for _, test := range []struct {
		name string
		cut  bool
	}{{"whole", false}, {"cut", true}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(t, newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, size))
				if test.cut {
					panic(http.ErrAbortHandler)
				}
			}))
			response, err := h.client.Get(h.front.URL + "/lookups/long")
			c.Assert(err, qt.IsNil)
			defer response.Body.Close()
			n, err := io.Copy(io.Discard, response.Body)
			if test.cut {
				c.Assert(err, qt.IsNotNil, qt.Commentf("an answer that breaks off must not end as if it were whole"))
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(n, qt.Equals, int64(size))
		})
	}
}

// A long answer that the backend server breaks off must not read in the log and the metrics as if the caller had
// disconnected, or the reverse.
func TestBrokenAnswerIsToldFromDisconnectedCaller(t *testing.T) {
	const size = 4 << 20
	for _, test := range []struct {
		name         string
		callerLeaves bool
		status       int
		counter      string
	}{
		{"broken answer", false, http.StatusBadGateway, "class.lookups.broken-off"},
		{"disconnected caller", true, statusClientGone, "class.lookups.cut"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(t, newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = w.Write(make([]byte, size))
				if test.callerLeaves {
					<-r.Context().Done()
				}
				panic(http.ErrAbortHandler)
			}))
			response, err := h.client.Get(h.front.URL + "/lookups/long")
			c.Assert(err, qt.IsNil)
			_, err = io.ReadFull(response.Body, make([]byte, size/2))
			c.Assert(err, qt.IsNil)
			if !test.callerLeaves {
				_, err = io.Copy(io.Discard, response.Body)
				c.Assert(err, qt.IsNotNil)
			}
			response.Body.Close()
			var decisions []lovageyard.Decision
			for len(decisions) == 0 {
				time.Sleep(time.Millisecond)
				h.mu.Lock()
				decisions = slices.Clone(h.decisions)
				h.mu.Unlock()
			}
			c.Assert(decisions, qt.HasLen, 1)
			c.Assert(decisions[0].Status, qt.Equals, test.status)
			c.Assert(metrics.GetOrRegisterCounter(test.counter, h.metrics).Count(), qt.Equals, int64(1))
		})
	}
}

func TestForwardPropagatesCancellation(t *testing.T) {
	c := qt.New(t)
	began := make(chan struct{})
	cancelled := make(chan struct{})
	h := newHarness(t, newBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(cancelled)
	}))
	conn, err := net.Dial("tcp", h.front.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, "GET /lookups/1 HTTP/1.1\r\nHost: front\r\n\r\n")
	c.Assert(err, qt.IsNil)
	<-began
	conn.Close()
	<-cancelled
	for h.pool.Stats(time.Now()).InFlight > 0 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(h.pool.Stats(time.Now()).Suspects, qt.HasLen, 0)
}

func TestLeavingServerIsReported(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(lovageyard.LoadHeader, `{"slots":4,"leaving":true}`)
		answerOK(w, r)
	}))
	response, err := h.client.Get(h.front.URL + "/lookups/1")
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	c.Assert(response.Header.Get(lovageyard.LoadHeader), qt.Equals, "")
	c.Assert(h.leaving, qt.DeepEquals, []string{"server-1"})
	c.Assert(h.pool.HasAvailable(), qt.IsFalse)
}

func TestLookUp(t *testing.T) {
	h := newHarness(t)
	for _, test := range []struct {
		query  string
		status int
		first  string
	}{
		{"class=charges", 200, "near-1"},
		{"class=charges&client=198.51.100.9", 200, "far-1"},
		{"class=charges&client=203.0.113.1", 200, "near-1"},
		{"class=charges&client=2001:db8::1", 200, "near-1"},
		{"class=none", 404, ""},
		{"", 400, ""},
		{"class=charges&client=someone", 400, ""},
		{"class=charges&client=fe80::1%25eth0", 400, ""},
		{"class=%zz", 400, ""},
	} {
		t.Run(test.query, func(t *testing.T) {
			c := qt.New(t)
			response, err := h.client.Get(h.front.URL + class.LookUpPath + "?" + test.query)
			c.Assert(err, qt.IsNil)
			defer response.Body.Close()
			c.Assert(response.StatusCode, qt.Equals, test.status)
			if test.status != http.StatusOK {
				c.Assert(response.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(lovageyard.VerdictNotRun))
				return
			}
			var answer LookUp
			c.Assert(json.NewDecoder(bufio.NewReader(response.Body)).Decode(&answer), qt.IsNil)
			c.Assert(answer.Version, qt.Equals, int64(7))
			c.Assert(answer.KeepForMs, qt.Equals, int64(5000))
			c.Assert(answer.Instances, qt.HasLen, 2)
			c.Assert(answer.Instances[0].Instance, qt.Equals, test.first)
		})
	}
}

// post returns a request with an idempotency key.
func post(c *qt.C, target, key, body string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, target, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	if key != "" {
		request.Header.Set(keyHeader, key)
	}
	return request
}

// TestChargeIsRefusedWithATimeAfterARestore checks that a new key is refused as not run after a restore of the
// platform, with the time until it can be claimed.
func TestChargeIsRefusedWithATimeAfterARestore(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t, newBackend(t, answerOK))
	h.platform.Restore(h.platform.Checkpoint())
	response, err := h.client.Do(post(c, h.front.URL+"/charges/1", "key-1", "x"))
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(lovageyard.VerdictNotRun))
	c.Assert(response.Header.Get("Retry-After"), qt.Matches, "(29|30)")
}

// TestChargeRunsAtMostOnce sends a second request after each outcome of the first one, with the same key or
// another, and checks whether a server runs it.
func TestChargeRunsAtMostOnce(t *testing.T) {
	for _, test := range []struct {
		name       string
		backend    http.HandlerFunc
		key, body  string
		status     int
		verdict    lovageyard.Verdict
		secondRuns bool
	}{
		{"same key", answerOK, "key-1", "body", 200, lovageyard.VerdictRan, false},
		{"other body", answerOK, "key-1", "other", 422, lovageyard.VerdictNotRun, false},
		{"other key", answerOK, "key-2", "body", 200, "", true},
		{"no key", answerOK, "", "body", 400, lovageyard.VerdictNotRun, false},
		{"bad key", answerOK, "two words", "body", 400, lovageyard.VerdictNotRun, false},
		{"first cut", cutInBody, "key-1", "body", 409, lovageyard.VerdictMayHaveRun, false},
		{"first refused", refuse, "key-1", "body", 503, lovageyard.VerdictNotRun, true},
		{"body too long", answerOK, "key-2", strings.Repeat("x", maxChargeBody+1), 413, lovageyard.VerdictNotRun, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var runs atomic.Int64
			h := newHarness(t, newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				test.backend(w, r)
			}))
			first, err := h.client.Do(post(c, h.front.URL+"/charges/1", "key-1", "body"))
			c.Assert(err, qt.IsNil)
			wanted, err := io.ReadAll(first.Body)
			c.Assert(err, qt.IsNil)
			first.Body.Close()
			before := runs.Load()
			second, err := h.client.Do(post(c, h.front.URL+"/charges/1", test.key, test.body))
			c.Assert(err, qt.IsNil)
			defer second.Body.Close()
			got, err := io.ReadAll(second.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(second.StatusCode, qt.Equals, test.status)
			c.Assert(second.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(test.verdict))
			c.Assert(runs.Load() > before, qt.Equals, test.secondRuns)
			if test.verdict == lovageyard.VerdictRan {
				c.Assert(string(got), qt.Equals, string(wanted))
			}
		})
	}
}

// A request without a body that a server loses with a reused connection is sent again only within the retry budget,
// and a charge never is.
func TestLostRequestIsSentAgainOnlyWithinTheRetryBudget(t *testing.T) {
	for _, test := range []struct {
		name, method, path string
		drained            bool
		runs               int64
	}{
		{"look-up", http.MethodGet, "/lookups/1", false, 2},
		{"look-up without budget", http.MethodGet, "/lookups/1", true, 1},
		{"charge", http.MethodPost, "/charges/1", false, 1},
		{"charge without budget", http.MethodPost, "/charges/1", true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var runs atomic.Int64
			h := newHarness(t, newBackend(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/lookups/first" {
					answerOK(w, r)
					return
				}
				if runs.Add(1) == 1 {
					conn, _, err := http.NewResponseController(w).Hijack()
					c.Check(err, qt.IsNil)
					conn.Close()
				}
			}))
			first, err := h.client.Get(h.front.URL + "/lookups/first")
			c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, first.Body)
			c.Assert(err, qt.IsNil)
			first.Body.Close()
			for i := range h.snapshot.ClassRoutes {
				for test.drained && h.snapshot.ClassRoutes[i].RetryBudget.Withdraw() {
				}
			}
			request, err := http.NewRequest(test.method, h.front.URL+test.path, nil)
			c.Assert(err, qt.IsNil)
			request.Header.Set("Idempotency-Key", "key-1")
			response, err := h.client.Do(request)
			c.Assert(err, qt.IsNil)
			response.Body.Close()
			c.Assert(runs.Load(), qt.Equals, test.runs)
			if test.runs == 1 {
				c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
				c.Assert(response.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(lovageyard.VerdictMayHaveRun))
			}
		})
	}
}

// TestLongBodiesAreNotBuffered forwards 100 MB in each direction. The heap has to stay below half of that.
func TestLongBodiesAreNotBuffered(t *testing.T) {
	c := qt.New(t)
	const size = 100 << 20
	h := newHarness(t, newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		n, _ := io.Copy(w, r.Body)
		if n != size {
			panic(http.ErrAbortHandler)
		}
	}))
	peak := make(chan uint64, 1)
	done := make(chan struct{})
	go func() {
		highest := uint64(0)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			highest = max(highest, m.HeapInuse)
			select {
			case <-done:
				peak <- highest
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	response, err := h.client.Post(h.front.URL+"/lookups/long", "text/plain", io.LimitReader(zeros{}, size))
	c.Assert(err, qt.IsNil)
	n, err := io.Copy(io.Discard, response.Body)
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	close(done)
	c.Assert(n, qt.Equals, int64(size))
	c.Assert(<-peak < size/2, qt.IsTrue)
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	return len(b), nil
}

// TestShortDeadlinesDoNotMarkServers checks that only a server that is silent for long is marked as
// unreachable, not one whose caller left it little time.
func TestShortDeadlinesDoNotMarkServers(t *testing.T) {
	for _, test := range []struct {
		name     string
		deadline string
		suspect  bool
	}{
		{"short deadline", "30", false},
		{"silent for long", "3000", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(t, newBackend(t, func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
			}))
			request, err := http.NewRequest(http.MethodGet, h.front.URL+"/lookups/1", nil)
			c.Assert(err, qt.IsNil)
			request.Header.Set(lovageyard.DeadlineHeader, test.deadline)
			response, err := h.client.Do(request)
			c.Assert(err, qt.IsNil)
			response.Body.Close()
			c.Assert(response.StatusCode >= 500, qt.IsTrue)
			c.Assert(len(h.pool.Stats(time.Now()).Suspects) > 0, qt.Equals, test.suspect)
		})
	}
}

// endingContext is a context whose deadline has passed while Err does not yet report it.
type endingContext struct {
	context.Context
	deadline time.Time
}

func (e endingContext) Deadline() (time.Time, bool) { return e.deadline, true }

// A connection attempt that the deadline cuts off times out just before the context ends. It must not count
// against the server more than one that ends with the context.
func TestTimeoutJustBeforeContextEndsIsNoServerFault(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name     string
		deadline time.Time
		started  time.Time
		expected bool
	}{
		{"deadline has passed", now.Add(-time.Microsecond), now.Add(-15 * time.Millisecond), false},
		{"deadline has passed after a long silence", now.Add(-time.Microsecond), now.Add(-time.Second), true},
		{"failed before the deadline", now.Add(time.Minute), now.Add(-15 * time.Millisecond), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			x := &exchange{
				handler: &Handler{timer: timer.Clock{}},
				request: httptest.NewRequest(http.MethodGet, "/", nil),
			}
			ctx := endingContext{context.Background(), test.deadline}
			qt.Assert(t, x.isServerFault(ctx, test.started), qt.Equals, test.expected)
		})
	}
}
