package integration

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform/fake"
)

// Service and path of the route that requires an account's key.
const (
	keyedService = "keyed"
	keyedPath    = "/keyed/x"
)

// accountRecorder counts the requests that a server receives by client account, and those that carry a key.
type accountRecorder struct {
	nopObserver
	mu       sync.Mutex
	accounts map[string]int
	keys     int
}

// AccountSeen counts one request that reached the server by its account, and whether it carried a key.
func (r *accountRecorder) AccountSeen(_, _, account string, showsKey bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accounts[account]++
	if showsKey {
		r.keys++
	}
}

// configureAccounts writes a configuration whose only route requires a key of one of the accounts.
func (e *edge) configureAccounts(version uint64, accounts ...lovageyard.Account) {
	e.store.PutConfiguration(lovageyard.Configuration{
		Version: version,
		Routes: []lovageyard.Route{{
			Name: keyedService, Host: edgeHost, Prefix: "/keyed/", Idempotent: true, Timeout: 20 * time.Second, Goal: time.Second,
			Attempts: 2, Parts: []lovageyard.ServiceWeight{{Service: keyedService, Weight: 1}},
		}},
		Services: map[string]lovageyard.Service{keyedService: {Name: keyedService, HealthPath: "/health", MaxConnections: 400}},
		Accounts: accounts,
	})
}

// requestAs sends a request with the key of an account, or without a key if account is empty, and returns
// the status of the answer.
func (e *edge) requestAs(account, id string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+e.address+keyedPath, nil)
	e.c.Assert(err, qt.IsNil)
	request.Host = edgeHost
	fake.SetRequestHeaders(request.Header, id, id, 30*time.Second)
	request.Header.Set("X-Tenant", "forged")
	if account != "" {
		fake.SetKey(request.Header, fake.KeysOf(account)[0])
	}
	response, err := http.DefaultClient.Do(request)
	e.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	e.c.Assert(err, qt.IsNil)
	return response.StatusCode
}

// newAccountEdge returns an instance whose configuration has the accounts a and b, and the recorder of its backend
// server.
func newAccountEdge(t *testing.T) (*edge, *accountRecorder) {
	e := newEdge(t)
	recorder := &accountRecorder{accounts: make(map[string]int)}
	server, err := fake.StartServer(lovageyard.BackendServer{
		Name: "server-keyed", Service: keyedService, FailureDomain: "north-1", Region: "north", Slots: 50, State: lovageyard.StateLive,
	}, time.Millisecond, recorder)
	e.c.Assert(err, qt.IsNil)
	e.c.Cleanup(server.Close)
	e.store.PutServer(server.BackendServer)
	e.configureAccounts(2, lovageyard.Account{Name: "a"}, lovageyard.Account{Name: "b"})
	keyed := &edge{c: e.c, name: "entry-2", store: e.store, platform: e.platform, leaveWithin: e.leaveWithin}
	keyed.extraArgs = []string{"--revoke-within", "3s", "--apply-within", "3s"}
	keyed.start()
	keyed.until("a request with a key to be served", func() bool { return keyed.requestAs("a", "first") == http.StatusOK })
	return keyed, recorder
}

func TestServersReceiveAccountsWithoutKeys(t *testing.T) {
	e, recorder := newAccountEdge(t)
	e.c.Assert(e.requestAs("b", "id-1"), qt.Equals, http.StatusOK)
	e.c.Assert(e.requestAs("", "id-2"), qt.Equals, http.StatusUnauthorized)
	e.c.Assert(e.requestAs("c", "id-3"), qt.Equals, http.StatusUnauthorized)
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	e.c.Assert(recorder.keys, qt.Equals, 0)
	e.c.Assert(recorder.accounts["b"], qt.Equals, 1)
	e.c.Assert(recorder.accounts, qt.HasLen, 2)
}

// While the platform does not answer, an instance can't know whether a key was revoked. It must refuse all
// keys, and accept the valid ones again once it has read the configuration.
func TestRevokedKeyRunsNothingDuringPlatformOutage(t *testing.T) {
	e, recorder := newAccountEdge(t)
	e.store.SetFaults(fake.StoreFaults{Hang: true})
	e.configureAccounts(3, lovageyard.Account{Name: "b"})
	e.until("keys to be refused", func() bool { return e.requestAs("a", "second") == http.StatusServiceUnavailable })
	recorder.mu.Lock()
	ranBefore := recorder.accounts["a"]
	recorder.mu.Unlock()
	for n := range 20 {
		for _, account := range []string{"a", "b"} {
			e.c.Assert(e.requestAs(account, fmt.Sprint("later-", n)), qt.Equals, http.StatusServiceUnavailable)
		}
	}
	e.store.SetFaults(fake.StoreFaults{})
	e.until("the remaining key to be served", func() bool { return e.requestAs("b", "third") == http.StatusOK })
	e.c.Assert(e.requestAs("a", "fourth"), qt.Equals, http.StatusUnauthorized)
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	e.c.Assert(recorder.accounts["a"], qt.Equals, ranBefore)
}

// A client account must not exceed its rate limit, and requests beyond it must be answered with 429.
func TestAccountRateLimitHolds(t *testing.T) {
	const limit, requests = 5, 200
	e, recorder := newAccountEdge(t)
	e.configureAccounts(3, lovageyard.Account{Name: "a", Rate: limit, Burst: limit})
	e.until("the limit to be in force", func() bool { return e.requestAs("b", "gone") == http.StatusUnauthorized })
	before := recorder.requestCount("a")
	start := time.Now()
	statuses := make(map[int]int)
	for n := range requests {
		statuses[e.requestAs("a", fmt.Sprint("many-", n))]++
	}
	e.c.Assert(statuses[http.StatusOK]+statuses[http.StatusTooManyRequests], qt.Equals, requests, qt.Commentf("%v", statuses))
	// The default settings allow a tenth and 20 requests above the limit in each window of 5 s.
	windows := 1 + time.Since(start).Seconds()/5
	allowed := windows * ((5*limit+limit)*1.1 + 20)
	e.c.Assert(float64(recorder.requestCount("a")-before) <= allowed, qt.IsTrue, qt.Commentf("%d ran, %.0f allowed", recorder.requestCount("a")-before, allowed))
}

func (r *accountRecorder) requestCount(account string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accounts[account]
}
