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

// arrivals notes when requests reach each server.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (a *arrivals) Arrived(server, _ string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[server] = append(a.at[server], time.Now())
}

func (a *arrivals) Started(string, string) {}

// since returns the arrivals at a server later than a moment.
func (a *arrivals) since(server string, from time.Time) []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(a.at[server]), func(at time.Time) bool { return at.Before(from) })
}

// sendersEach is how many senders each instance has.
const sendersEach = 4

// backpressureFleet is three instances before servers that ask for less work.
type backpressureFleet struct {
	*edge
	instances []*edge
	arrivals  *arrivals
}

func newBackpressureFleet(t *testing.T, servers int, work time.Duration) *backpressureFleet {
	f := &backpressureFleet{edge: newEdge(t), arrivals: &arrivals{at: make(map[string][]time.Time)}}
	for n := range servers {
		server, err := fake.StartServer(lovageyard.BackendServer{
			Name: fmt.Sprint("server-of-fleet-", n), Service: frailService, FailureDomain: "north-1", Region: "north", Slots: 50, State: lovageyard.StateLive,
		}, work, f.arrivals)
		f.c.Assert(err, qt.IsNil)
		f.c.Cleanup(server.Close)
		f.servers = append(f.servers, server)
		f.store.PutServer(server.BackendServer)
	}
	f.servers = f.servers[len(f.servers)-servers:]
	f.instances = []*edge{f.edge, f.another("entry-2"), f.another("entry-3")}
	for _, instance := range f.instances {
		f.until("all servers get work", func() bool { return f.reachesAll(instance) })
	}
	return f
}

// reachesAll says whether an instance sends requests for some objects to all servers.
func (f *backpressureFleet) reachesAll(instance *edge) bool {
	began := time.Now()
	for i := range 20 {
		instance.ask(http.MethodGet, frailPrefix+"look", fmt.Sprint("first-", i, "-", began.UnixNano()), "")
	}
	return !slices.ContainsFunc(f.servers, func(s *fake.Server) bool { return len(f.arrivals.since(s.Name, began)) == 0 })
}

// load sends requests for many objects at all instances for a span and returns how many each status got.
func (f *backpressureFleet) load(span time.Duration) map[int]int {
	var mu sync.Mutex
	statuses := make(map[int]int)
	var senders sync.WaitGroup
	end := time.Now().Add(span)
	for i := range sendersEach * len(f.instances) {
		instance := f.instances[i%len(f.instances)]
		senders.Go(func() {
			for time.Now().Before(end) {
				status, _ := instance.ask(http.MethodGet, frailPrefix+"look", fmt.Sprint("server-of-fleet-", i, "-", time.Now().UnixNano()), "")
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

// most returns the largest number of moments in any window.
func most(moments []time.Time, window time.Duration) int {
	largest := 0
	for i, first := range moments {
		last := i
		for last < len(moments) && moments[last].Sub(first) <= window {
			last++
		}
		largest = max(largest, last-i)
	}
	return largest
}

// tell has each instance send requests until one has reached a server, so that each has heard what that asks for.
func (f *backpressureFleet) tell(server *fake.Server) {
	for n, instance := range f.instances {
		began := time.Now()
		f.until("each instance is told", func() bool {
			instance.ask(http.MethodGet, frailPrefix+"look", fmt.Sprint("told-", n, "-", time.Now().UnixNano()), "")
			return len(f.arrivals.since(server.Name, began)) > 0
		})
	}
}

// untilServes sends load until a server gets many requests again.
func (f *backpressureFleet) untilServes(server *fake.Server) {
	began := time.Now()
	f.until("the server gets work again", func() bool {
		f.load(time.Second)
		return len(f.arrivals.since(server.Name, began)) > 20
	})
}

// A server that names a limit gets no more from all instances together once each of them has heard of it, and
// callers are served by the others.
func TestServerThatNamesALimitIsNotSentMore(t *testing.T) {
	t.Parallel()
	const limit, window = 1.0, 4 * time.Second
	f := newBackpressureFleet(t, 2, time.Millisecond)
	limited := f.servers[0]
	limited.SetLimit(limit)
	f.tell(limited)
	told := time.Now()
	statuses := f.load(6 * time.Second)
	got := most(f.arrivals.since(limited.Name, told), window)
	allowed := int(1.5*limit*window.Seconds() + 5)
	f.c.Check(got <= allowed, qt.IsTrue, qt.Commentf("%d requests in %s, allowed %d", got, window, allowed))
	f.c.Check(got > 0, qt.IsTrue)
	f.c.Check(statuses[http.StatusOK] > 0, qt.IsTrue)
	f.c.Check(statuses, qt.HasLen, 1, qt.Commentf("%v", statuses))
	limited.SetLimit(-1)
	f.untilServes(limited)
}

// A server that says in its answers that it leaves gets no new work a short while later, though the platform still
// lists it as ready.
func TestServerThatSaysItLeavesIsSentNoMore(t *testing.T) {
	t.Parallel()
	const drain = 2 * time.Second
	f := newBackpressureFleet(t, 2, time.Millisecond)
	leaving := f.servers[0]
	leaving.Leave()
	f.tell(leaving)
	told := time.Now()
	statuses := f.load(2 * drain)
	late := f.arrivals.since(leaving.Name, told.Add(drain))
	f.c.Check(len(late), qt.Equals, 0, qt.Commentf("%d requests reached the server", len(late)))
	f.c.Check(statuses[http.StatusOK] > 0, qt.IsTrue)
	f.c.Check(statuses, qt.HasLen, 1, qt.Commentf("%v", statuses))
}

// A server that turns requests away and asks for a backoff gets nothing until that is over, and then again.
func TestServerThatAsksForABackoffIsLeftAlone(t *testing.T) {
	t.Parallel()
	const backoff, allowedEach = 8 * time.Second, 2
	f := newBackpressureFleet(t, 2, 250*time.Millisecond)
	server := f.servers[0]
	began := time.Now()
	server.BackOff(backoff)
	f.tell(server)
	told := time.Now()
	statuses := f.load(3 * time.Second)
	got := slices.DeleteFunc(f.arrivals.since(server.Name, told), func(at time.Time) bool { return at.Sub(began) >= backoff })
	f.c.Check(len(got) <= allowedEach*len(f.instances), qt.IsTrue, qt.Commentf("%d requests reached the server", len(got)))
	f.c.Check(statuses[http.StatusOK] > 0, qt.IsTrue)
	f.c.Check(statuses, qt.HasLen, 1, qt.Commentf("%v", statuses))
	f.untilServes(server)
}
