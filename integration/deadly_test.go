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

// A look-up came again and again, at any instance, each time as a new attempt of its client. Each server
// that began to run it ended 49 to 161 ms later, with all that ran there beside it. Instances
// judged each attempt by itself and told each other nothing, so that 22 servers of a service of 12 ended in 6 s:
//
//	14.814 front-sv-hall-b-1 request repeated attempts=1 server=i-f62a87ce82 connect: connection refused
//	15.114 front-sv-hall-b-1 request failed attempts=2 server=i-2cb8bcbceb status=502 EOF: the connection was closed before an answer
//
// What is remembered of a request is now kept by its content and not by the attempt's identity, and passes
// between instances. Beside it, other requests fell at up to three servers and were as good as any. A request
// must not be refused for where it ran, only for what it did.

const (
	frailService = "frail"
	frailPrefix  = "/frail/"
	deadlyPath   = frailPrefix + "deadly/1"
	// frailServers is how many servers the service has at any time, and frailWork how long
	// they work on a request that does not end them.
	frailServers = 8
	frailWork    = 200 * time.Millisecond
	// enough is how many servers may end under a request until it is stopped.
	enough = 3
	// word is how long instances may take to tell each other, and sendsAfter how many sends are
	// allowed for later than that.
	word       = 4 * time.Second
	sendsAfter = 3
)

// frailFleet is three instances before servers that some requests end.
type frailFleet struct {
	*edge
	instances []*edge

	mu    sync.Mutex
	ended int
	names int
	ids   int
}

func newFrailFleet(t *testing.T) *frailFleet {
	f := &frailFleet{edge: newEdge(t)}
	for range frailServers {
		f.startServer()
	}
	f.instances = []*edge{f.edge, f.another("entry-2"), f.another("entry-3")}
	return f
}

// startServer starts a server; when it ends, another one starts under a new name.
func (f *frailFleet) startServer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names++
	server, err := fake.StartServer(lovageyard.BackendServer{
		Name: fmt.Sprint("frail-", f.names), Service: frailService, FailureDomain: "north-1", Region: "north", Slots: 50, State: lovageyard.StateLive,
	}, frailWork, observer{})
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(server.Close)
	server.SetCrashPrefix(frailPrefix+"deadly", func(string) {
		f.mu.Lock()
		f.ended++
		f.mu.Unlock()
		f.store.RemoveServer(server.Name)
		f.startServer()
	})
	f.store.PutServer(server.BackendServer)
}

func (f *frailFleet) endedServers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended
}

// send sends one attempt of a request for one object at an instance.
func (f *frailFleet) send(e *edge, path string) *http.Response {
	f.mu.Lock()
	f.ids++
	number := f.ids
	f.mu.Unlock()
	request, err := http.NewRequest(http.MethodGet, "http://"+e.address+path, strings.NewReader(""))
	f.c.Check(err, qt.IsNil)
	request.Host = edgeHost
	fake.SetRequestHeaders(request.Header, fmt.Sprint("attempt-", number), "object", 10*time.Second)
	// Each attempt comes from another address.
	from := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(number))}}
	transport := &http.Transport{DialContext: from.DialContext, DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	f.c.Assert(err, qt.IsNil)
	f.c.Check(response.Body.Close(), qt.IsNil)
	return response
}

// untilServed sends a request until it is served: instances leave servers alone for a while that did
// not answer.
func (f *frailFleet) untilServed(e *edge, path string) {
	f.until(path+" is served", func() bool { return f.send(e, path).StatusCode == http.StatusOK })
}

// A request that ends each server that runs it is stopped at all instances, whichever it met.
func TestRequestThatEndsServersIsStopped(t *testing.T) {
	t.Parallel()
	f := newFrailFleet(t)
	for n := 0; f.endedServers() < enough; n++ {
		e := f.instances[n%len(f.instances)]
		f.untilServed(e, frailPrefix+"healthy")
		f.send(e, deadlyPath)
	}
	time.Sleep(word)
	before := f.endedServers()
	for n := range 4 * len(f.instances) {
		e := f.instances[n%len(f.instances)]
		f.untilServed(e, frailPrefix+"healthy")
		f.send(e, deadlyPath)
	}
	f.c.Assert(f.endedServers()-before <= sendsAfter, qt.IsTrue, qt.Commentf("%d servers ended, %d before", f.endedServers(), before))
	f.untilServed(f.edge, frailPrefix+"healthy")
	response := f.send(f.edge, deadlyPath)
	f.c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	f.c.Assert(response.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(lovageyard.VerdictNotRun))
	f.c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

// Requests that run beside a deadly one, at each server that it ends, are served as ever.
func TestRequestsBesideADeadlyOneAreServed(t *testing.T) {
	t.Parallel()
	f := newFrailFleet(t)
	var beside []string
	for n := range 4 {
		beside = append(beside, fmt.Sprint(frailPrefix, "beside/", n))
	}
	for n := 0; f.endedServers() < enough+2 && n < 10; n++ {
		e := f.instances[n%len(f.instances)]
		f.untilServed(e, beside[0])
		var sending sync.WaitGroup
		for _, path := range append([]string{deadlyPath}, beside...) {
			sending.Go(func() { f.send(e, path) })
		}
		sending.Wait()
	}
	time.Sleep(word)
	for _, e := range f.instances {
		for _, path := range beside {
			f.untilServed(e, path)
		}
	}
}
