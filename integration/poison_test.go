package integration

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform/fake"
)

// A poison request crashes each server that runs it. Once, a client repeated such a look-up at many
// instances, each time with a new request identity. Each server crashed 49 to 161 ms after it had begun to run
// the look-up, and all requests that it ran at that time failed. Instances evaluated each attempt on its own
// and exchanged no reports, so that 22 servers of a service of 12 crashed in 6 s:
//
//	14.814 front-sv-hall-b-1 request repeated attempts=1 server=i-f62a87ce82 connect: connection refused
//	15.114 front-sv-hall-b-1 request failed attempts=2 server=i-2cb8bcbceb status=502 EOF: the connection was closed before an answer
//
// Crashes are therefore attributed to a request's content instead of its identity, and reported between
// instances. Requests that merely ran concurrently with the poison request failed at up to three servers.
// They must not be quarantined for crashes that they did not cause.

const (
	crashableService = "frail"
	crashablePrefix  = "/frail/"
	poisonPath       = crashablePrefix + "deadly/1"
	// crashableServers is the number of servers of the service at any time, and crashableWork the service
	// time of a request that does not crash them.
	crashableServers = 8
	crashableWork    = 200 * time.Millisecond
	// crashLimit is the number of servers that a request may crash before it must be quarantined.
	crashLimit = 3
	// reportBound is the time in which a crash must be reported to all instances, and allowedSends the number
	// of sends that are allowed after that.
	reportBound  = 4 * time.Second
	allowedSends = 3
)

// crashableFleet is three entry instances in front of servers that crash on poison requests. It counts the
// servers that have crashed and started, and the attempts that were sent.
type crashableFleet struct {
	*edge
	instances []*edge

	mu       sync.Mutex
	crashed  int
	started  int
	attempts int
}

func newCrashableFleet(t *testing.T) *crashableFleet {
	f := &crashableFleet{edge: newEdge(t)}
	for range crashableServers {
		f.startServer()
	}
	f.instances = []*edge{f.edge, f.startAnother("entry-2"), f.startAnother("entry-3")}
	return f
}

// startServer starts a server; when it crashes, a replacement starts under a new name.
func (f *crashableFleet) startServer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	server, err := fake.StartServer(lovageyard.BackendServer{
		Name: fmt.Sprint("frail-", f.started), Service: crashableService, FailureDomain: "north-1", Region: "north", Slots: 50, State: lovageyard.StateLive,
	}, crashableWork, nopObserver{})
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(server.Close)
	server.SetCrashPrefix(crashablePrefix+"deadly", func(string) {
		f.mu.Lock()
		f.crashed++
		f.mu.Unlock()
		f.store.RemoveServer(server.Name)
		f.startServer()
	})
	f.store.PutServer(server.BackendServer)
}

func (f *crashableFleet) crashedServers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed
}

// send sends one attempt of a request to an instance. All attempts have the same affinity key, and each has
// an identity and a client address of its own.
func (f *crashableFleet) send(e *edge, path string) *http.Response {
	f.mu.Lock()
	f.attempts++
	number := f.attempts
	f.mu.Unlock()
	request, err := http.NewRequest(http.MethodGet, "http://"+e.address+path, strings.NewReader(""))
	f.c.Check(err, qt.IsNil)
	request.Host = edgeHost
	fake.SetRequestHeaders(request.Header, fmt.Sprint("attempt-", number), "object", 10*time.Second)
	// Each attempt comes from another address, so that the client's address can't identify the request.
	from := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(number))}}
	transport := &http.Transport{DialContext: from.DialContext, DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	f.c.Assert(err, qt.IsNil)
	f.c.Check(response.Body.Close(), qt.IsNil)
	return response
}

// waitUntilServed repeats a request until it is served. It may be refused at first, since instances exclude a
// server for some time after it gave no answer.
func (f *crashableFleet) waitUntilServed(e *edge, path string) {
	f.until(path+" to be served", func() bool { return f.send(e, path).StatusCode == http.StatusOK })
}

// A poison request must be quarantined at all instances, whichever of them observed the crashes.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	f := newCrashableFleet(t)
	for n := 0; f.crashedServers() < crashLimit; n++ {
		e := f.instances[n%len(f.instances)]
		f.waitUntilServed(e, crashablePrefix+"healthy")
		f.send(e, poisonPath)
	}
	time.Sleep(reportBound)
	before := f.crashedServers()
	for n := range 4 * len(f.instances) {
		e := f.instances[n%len(f.instances)]
		f.waitUntilServed(e, crashablePrefix+"healthy")
		f.send(e, poisonPath)
	}
	f.c.Assert(f.crashedServers()-before <= allowedSends, qt.IsTrue, qt.Commentf("%d servers crashed, %d of them before", f.crashedServers(), before))
	f.waitUntilServed(f.edge, crashablePrefix+"healthy")
	response := f.send(f.edge, poisonPath)
	f.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	f.c.Assert(response.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(lovageyard.VerdictNotRun))
	f.c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

// Requests that ran at a server when a poison request crashed it must still be served, even if that happened at
// several servers.
func TestRequestsConcurrentWithPoisonRequestAreServed(t *testing.T) {
	t.Parallel()
	f := newCrashableFleet(t)
	var concurrent []string
	for n := range 4 {
		concurrent = append(concurrent, fmt.Sprint(crashablePrefix, "beside/", n))
	}
	for n := 0; f.crashedServers() < crashLimit+2 && n < 10; n++ {
		e := f.instances[n%len(f.instances)]
		f.waitUntilServed(e, concurrent[0])
		var sending sync.WaitGroup
		for _, path := range append([]string{poisonPath}, concurrent...) {
			sending.Go(func() { f.send(e, path) })
		}
		sending.Wait()
	}
	time.Sleep(reportBound)
	for _, e := range f.instances {
		for _, path := range concurrent {
			f.waitUntilServed(e, path)
		}
	}
}
