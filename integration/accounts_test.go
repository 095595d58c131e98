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

// Names of the accounts' service and route.
const (
	keyedService = "keyed"
	keyedPath    = "/keyed/x"
)

// callers notes what a server was told of its callers.
type callers struct {
	observer
	mu       sync.Mutex
	accounts map[string]int
	keys     int
}

// Identified notes one request.
func (o *callers) AccountSeen(_, _, account string, showsKey bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accounts[account]++
	if showsKey {
		o.keys++
	}
}

// configureAccounts puts a configuration in force with a route that needs a key, for some accounts.
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

// askAs asks with the key of an account, or with none, and returns the answer's status.
func (e *edge) askAs(account, id string) int {
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

// newAccountEdge returns an instance with the accounts a and b, and what its server was told of callers.
func newAccountEdge(t *testing.T) (*edge, *callers) {
	e := newEdge(t)
	told := &callers{accounts: make(map[string]int)}
	server, err := fake.StartServer(lovageyard.BackendServer{
		Name: "server-keyed", Service: keyedService, FailureDomain: "north-1", Region: "north", Slots: 50, State: lovageyard.StateLive,
	}, time.Millisecond, told)
	e.c.Assert(err, qt.IsNil)
	e.c.Cleanup(server.Close)
	e.store.PutServer(server.BackendServer)
	e.configureAccounts(2, lovageyard.Account{Name: "a"}, lovageyard.Account{Name: "b"})
	keyed := &edge{c: e.c, name: "entry-2", store: e.store, platform: e.platform, leaveWithin: e.leaveWithin}
	keyed.further = []string{"--revoke-within", "3s", "--apply-within", "3s"}
	keyed.start()
	keyed.until("a key is served", func() bool { return keyed.askAs("a", "first") == http.StatusOK })
	return keyed, told
}

func TestServersGetAccountsAndNoKeys(t *testing.T) {
	e, told := newAccountEdge(t)
	e.c.Assert(e.askAs("b", "id-1"), qt.Equals, http.StatusOK)
	e.c.Assert(e.askAs("", "id-2"), qt.Equals, http.StatusUnauthorized)
	e.c.Assert(e.askAs("c", "id-3"), qt.Equals, http.StatusUnauthorized)
	told.mu.Lock()
	defer told.mu.Unlock()
	e.c.Assert(told.keys, qt.Equals, 0)
	e.c.Assert(told.accounts["b"], qt.Equals, 1)
	e.c.Assert(told.accounts, qt.HasLen, 2)
}

// An instance that the platform does not answer any more can't know whether keys were taken away: it refuses them
// all, and goes on once it knows.
func TestKeyTakenAwayBehindASilenceRunsNothing(t *testing.T) {
	e, told := newAccountEdge(t)
	e.store.SetFaults(fake.StoreFaults{Hang: true})
	e.configureAccounts(3, lovageyard.Account{Name: "b"})
	e.until("keys are refused", func() bool { return e.askAs("a", "second") == http.StatusServiceUnavailable })
	told.mu.Lock()
	ran := told.accounts["a"]
	told.mu.Unlock()
	for n := range 20 {
		for _, account := range []string{"a", "b"} {
			e.c.Assert(e.askAs(account, fmt.Sprint("later-", n)), qt.Equals, http.StatusServiceUnavailable)
		}
	}
	e.store.SetFaults(fake.StoreFaults{})
	e.until("the other key is served", func() bool { return e.askAs("b", "third") == http.StatusOK })
	e.c.Assert(e.askAs("a", "fourth"), qt.Equals, http.StatusUnauthorized)
	told.mu.Lock()
	defer told.mu.Unlock()
	e.c.Assert(told.accounts["a"], qt.Equals, ran)
}

// A limit holds over all that one caller asks, and what is refused is told so at once.
func TestLimitOfAnAccountHolds(t *testing.T) {
	const limit, asked = 5, 200
	e, told := newAccountEdge(t)
	e.configureAccounts(3, lovageyard.Account{Name: "a", Rate: limit, Burst: limit})
	e.until("the limit is known", func() bool { return e.askAs("b", "gone") == http.StatusUnauthorized })
	before := told.count("a")
	began := time.Now()
	statuses := make(map[int]int)
	for n := range asked {
		statuses[e.askAs("a", fmt.Sprint("many-", n))]++
	}
	e.c.Assert(statuses[http.StatusOK]+statuses[http.StatusTooManyRequests], qt.Equals, asked, qt.Commentf("%v", statuses))
	// The defaults of the settings: windows of 5 s, a tenth and 20 requests beyond the limit.
	windows := 1 + time.Since(began).Seconds()/5
	allowed := windows * ((5*limit+limit)*1.1 + 20)
	e.c.Assert(float64(told.count("a")-before) <= allowed, qt.IsTrue, qt.Commentf("%d ran, %.0f allowed", told.count("a")-before, allowed))
}

func (o *callers) count(account string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.accounts[account]
}
