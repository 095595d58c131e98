package integration

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform/fake"
)

// arrivalRecorder records when requests reach each server.
type arrivalRecorder struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (a *arrivalRecorder) Arrived(server, _ string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[server] = append(a.at[server], time.Now())
}

func (a *arrivalRecorder) Started(string, string) {}

// since returns the times of the requests that reached a server at or after a time.
func (a *arrivalRecorder) since(server string, from time.Time) []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(a.at[server]), func(at time.Time) bool { return at.Before(from) })
}

// sendersPerInstance is the number of concurrent senders at each instance.
const sendersPerInstance = 4

// backpressureFleet is three entry instances in front of servers that signal backpressure.
type backpressureFleet struct {
	*edge
	instances []*edge
	arrivals  *arrivalRecorder
}

func newBackpressureFleet(t *testing.T, servers int, work time.Duration) *backpressureFleet {
	f := &backpressureFleet{edge: newEdge(t), arrivals: &arrivalRecorder{at: make(map[string][]time.Time)}}
	for n := range servers {
		server, err := fake.StartServer(lovageyard.BackendServer{
			Name: fmt.Sprint("server-of-fleet-", n), Service: crashableService, FailureDomain: "north-1", Region: "north", Slots: 50, State: lovageyard.StateLive,
		}, work, f.arrivals)
		f.c.Assert(err, qt.IsNil)
		f.c.Cleanup(server.Close)
		f.servers = append(f.servers, server)
		f.store.PutServer(server.BackendServer)
	}
	f.servers = f.servers[len(f.servers)-servers:]
	f.instances = []*edge{f.edge, f.startAnother("entry-2"), f.startAnother("entry-3")}
	for _, instance := range f.instances {
		f.until("all servers to get work", func() bool { return f.reachesAll(instance) })
	}
	return f
}

// reachesAll reports whether requests for different objects at an instance reach all servers.
func (f *backpressureFleet) reachesAll(instance *edge) bool {
	start := time.Now()
	for i := range 20 {
		instance.request(http.MethodGet, crashablePrefix+"look", fmt.Sprint("first-", i, "-", start.UnixNano()), "")
	}
	return !slices.ContainsFunc(f.servers, func(s *fake.Server) bool { return len(f.arrivals.since(s.Name, start)) == 0 })
}

// load sends requests for many objects to all instances for a duration and returns the number of answers
// by status.
func (f *backpressureFleet) load(duration time.Duration) map[int]int {
	var mu sync.Mutex
	statuses := make(map[int]int)
	var senders sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range sendersPerInstance * len(f.instances) {
		instance := f.instances[i%len(f.instances)]
		senders.Go(func() {
			for time.Now().Before(end) {
				status, _ := instance.request(http.MethodGet, crashablePrefix+"look", fmt.Sprint("server-of-fleet-", i, "-", time.Now().UnixNano()), "")
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	senders.Wait()
	return statuses
}

// maxInWindow returns the largest number of times that lie in one window.
func maxInWindow(times []time.Time, window time.Duration) int {
	largest := 0
	for i, first := range times {
		last := i
		for last < len(times) && times[last].Sub(first) <= window {
			last++
		}
		largest = max(largest, last-i)
	}
	return largest
}

// waitForSignal sends requests to each instance until one has reached the server, whose answer carries its
// limit, its backoff or that it is leaving.
func (f *backpressureFleet) waitForSignal(server *fake.Server) {
	for n, instance := range f.instances {
		start := time.Now()
		f.until("the server to answer a request of each instance", func() bool {
			instance.request(http.MethodGet, crashablePrefix+"look", fmt.Sprint("told-", n, "-", time.Now().UnixNano()), "")
			return len(f.arrivals.since(server.Name, start)) > 0
		})
	}
}

// waitUntilServing sends load until a server has received more than 20 requests.
func (f *backpressureFleet) waitUntilServing(server *fake.Server) {
	start := time.Now()
	f.until("the server to get work again", func() bool {
		f.load(time.Second)
		return len(f.arrivals.since(server.Name, start)) > 20
	})
}

// Once each instance has received a server's rate limit, the server must not get more than the limit and a
// margin from all instances together. The other server must serve the remaining requests.
func TestRateLimitOfServerIsRespected(t *testing.T) {
	t.Parallel()
	const limit, window = 1.0, 4 * time.Second
	f := newBackpressureFleet(t, 2, time.Millisecond)
	limited := f.servers[0]
	limited.SetLimit(limit)
	f.waitForSignal(limited)
	notified := time.Now()
	statuses := f.load(6 * time.Second)
	got := maxInWindow(f.arrivals.since(limited.Name, notified), window)
	allowed := int(1.5*limit*window.Seconds() + 5)
	f.c.Check(got <= allowed, qt.IsTrue, qt.Commentf("%d requests in %s, allowed %d", got, window, allowed))
	f.c.Check(got > 0, qt.IsTrue)
	f.c.Check(statuses[http.StatusOK] > 0, qt.IsTrue)
	f.c.Check(statuses, qt.HasLen, 1, qt.Commentf("%v", statuses))
	limited.SetLimit(-1)
	f.waitUntilServing(limited)
}

// A server that announces in its answers that it is leaving must get no requests later than leaveBound after
// that, even while the platform still lists it as live.
func TestServerThatAnnouncesLeavingInAnswersGetsNoRequests(t *testing.T) {
	t.Parallel()
	const leaveBound = 2 * time.Second
	f := newBackpressureFleet(t, 2, time.Millisecond)
	leaving := f.servers[0]
	leaving.Leave()
	f.waitForSignal(leaving)
	notified := time.Now()
	statuses := f.load(2 * leaveBound)
	late := f.arrivals.since(leaving.Name, notified.Add(leaveBound))
	f.c.Check(len(late), qt.Equals, 0, qt.Commentf("%d requests reached the server", len(late)))
	f.c.Check(statuses[http.StatusOK] > 0, qt.IsTrue)
	f.c.Check(statuses, qt.HasLen, 1, qt.Commentf("%v", statuses))
}

// A server that rejects requests and announces a backoff may get at most allowedPerInstance requests from each
// instance until the backoff has expired, and must get them again afterwards.
func TestBackoffOfServerIsRespected(t *testing.T) {
	t.Parallel()
	const backoff, allowedPerInstance = 8 * time.Second, 2
	f := newBackpressureFleet(t, 2, 250*time.Millisecond)
	server := f.servers[0]
	start := time.Now()
	server.BackOff(backoff)
	f.waitForSignal(server)
	notified := time.Now()
	statuses := f.load(3 * time.Second)
	got := slices.DeleteFunc(f.arrivals.since(server.Name, notified), func(at time.Time) bool { return at.Sub(start) >= backoff })
	f.c.Check(len(got) <= allowedPerInstance*len(f.instances), qt.IsTrue, qt.Commentf("%d requests reached the server", len(got)))
	f.c.Check(statuses[http.StatusOK] > 0, qt.IsTrue)
	f.c.Check(statuses, qt.HasLen, 1, qt.Commentf("%v", statuses))
	f.waitUntilServing(server)
}
