package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/footprint"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/platform/fake"
)

// get sends a request for which the response is not read.
func (i *instance) get(path string) net.Conn {
	conn := i.dial()
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\n\r\n", path)
	return conn
}

// largeOrSmall answers with a large body except for paths of small responses.
func largeOrSmall(large []byte) http.HandlerFunc {
	small := answerWith([]byte("small"))
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/small/") {
			small(w, r)
			return
		}
		answerWith(large)(w, r)
	}
}

// liveBytes returns the size of the reachable heap.
func liveBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Slow readers of large responses must not make an instance exceed its memory, nor keep small requests out.
func TestSlowReadersDoNotExceedTheBudget(t *testing.T) {
	const budget, length, readers = 4 << 20, 1 << 20, 40
	var runs atomic.Int64
	answer := largeOrSmall(make([]byte, length))
	// Neither the server's slots nor the work that is assumed until answers are measured may be what refuses a request.
	i := newInstanceOfServer(t, 2*readers, time.Second, budget, 0, func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/small/") {
			runs.Add(1)
		}
		answer(w, r)
	})
	before := liveBytes()
	var connections []net.Conn
	for range readers {
		connections = append(connections, i.get("/x/"))
	}
	i.await(func(s footprint.Stats) bool { return s.Large > budget/2 })
	for range 20 {
		i.c.Assert(i.read(i.get("/small/")).StatusCode, qt.Equals, http.StatusOK)
		stats := i.memory.Stats()
		i.c.Assert(stats.Used <= budget, qt.IsTrue)
		held := liveBytes() - before
		i.c.Assert(held < 3*budget, qt.IsTrue, qt.Commentf("%d bytes are held, %+v", held, stats))
	}
	// Responses of requests that have run wait until others are read, and are delivered then.
	served, refused := 0, 0
	responses := make(chan *http.Response)
	for _, conn := range connections {
		go func() { responses <- i.read(conn) }()
	}
	for range connections {
		response := <-responses
		switch response.StatusCode {
		case http.StatusOK:
			served++
			body, err := io.ReadAll(response.Body)
			i.c.Assert(err, qt.IsNil)
			i.c.Assert(body, qt.HasLen, length)
		case http.StatusServiceUnavailable:
			refused++
			i.c.Assert(response.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(lovageyard.VerdictNotRun))
			i.c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		default:
			i.c.Fatalf("status %d", response.StatusCode)
		}
	}
	i.c.Assert(int64(served), qt.Equals, runs.Load(), qt.Commentf("%d refused", refused))
	i.c.Assert(served >= 2, qt.IsTrue, qt.Commentf("%d served, %d refused", served, refused))
	i.await(isUnused)
}

// A request whose response does not fit must be refused before it is sent, once the route's responses are known.
func TestRequestsForLargeResponsesAreRefused(t *testing.T) {
	var runs atomic.Int64
	large := answerWith(make([]byte, 500<<10))
	i := newInstance(t, 1<<20, 0, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		large(w, r)
	})
	i.c.Assert(i.read(i.get("/x/")).StatusCode, qt.Equals, http.StatusOK)
	held := i.memory.Reserve(400<<10, time.Now())
	refused := i.read(i.get("/x/"))
	i.c.Assert(refused.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	i.c.Assert(refused.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(lovageyard.VerdictNotRun))
	i.c.Assert(runs.Load(), qt.Equals, int64(1))
	held.Release(time.Now())
	i.c.Assert(i.read(i.get("/x/")).StatusCode, qt.Equals, http.StatusOK)
	i.await(isUnused)
}

// A server that does not read must not take the whole budget.
func TestBytesInFlightToOneServerAreLimited(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	i := newInstance(t, 4<<20, 0, func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/small/") {
			arrived <- struct{}{}
			<-release
		}
		answerWith([]byte("done"))(w, r)
	})
	var waiting []net.Conn
	for range 2 {
		conn := i.begin(400 << 10)
		_, err := conn.Write(make([]byte, 400<<10))
		i.c.Assert(err, qt.IsNil)
		waiting = append(waiting, conn)
	}
	for range waiting {
		<-arrived
	}
	refused := i.post(400 << 10)
	i.c.Assert(refused.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	i.c.Assert(refused.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(lovageyard.VerdictNotRun))
	i.awaitLine(`"cause":"server-bytes"`)
	i.c.Assert(i.read(i.get("/small/")).StatusCode, qt.Equals, http.StatusOK)
	close(release)
	for _, conn := range waiting {
		i.c.Assert(i.read(conn).StatusCode, qt.Equals, http.StatusOK)
	}
	i.await(isUnused)
}

// A client that reads hardly anything must not hold memory. One that is slow but above the minimum rate gets its
// whole response, also the end that is left to the kernel, and its connection serves the next request.
func TestSlowReaderIsEnded(t *testing.T) {
	t.Parallel()
	const rate, length = 20_000, 420_000
	i := newInstance(t, 2<<20, rate, func(w http.ResponseWriter, r *http.Request) {
		fake.Seal(w.Header(), r.Header)
		_, _ = w.Write(make([]byte, length))
	})
	moving, stalled := i.get("/x/"), i.get("/x/")
	i.await(func(s footprint.Stats) bool { return s.Large >= 2*length })
	response := i.read(&slowConn{Conn: moving})
	body, err := io.ReadAll(response.Body)
	i.c.Assert(err, qt.IsNil)
	i.c.Assert(body, qt.HasLen, length)
	i.await(isUnused)
	i.awaitLine(`"cause":"slow-reader"`)
	// The kernel does not hold the rest for the client either: the connection is reset.
	_, err = io.Copy(io.Discard, stalled)
	i.c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
	fmt.Fprint(moving, "GET /x/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\n\r\n")
	i.c.Assert(i.read(moving).StatusCode, qt.Equals, http.StatusOK)
}

// A client that pipelines and stops reading behind its first response must not hold memory either. The time that the
// second response waits for the first one does not count as slow.
func TestSlowReaderOfPipelinedResponsesIsEnded(t *testing.T) {
	t.Parallel()
	const rate, length, requests = 20_000, 420_000, 3
	// The server answers once it has all requests: those that arrive after the length of the first response is known
	// may be refused, as the server's share of the budget is smaller than two responses.
	var arrived atomic.Int64
	all := make(chan struct{})
	i := newInstance(t, 2<<20, rate, func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) == requests {
			close(all)
		}
		<-all
		fake.Seal(w.Header(), r.Header)
		_, _ = w.Write(make([]byte, length))
	})
	conn := i.get("/x/")
	for range requests - 1 {
		fmt.Fprint(conn, "GET /x/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\n\r\n")
	}
	i.await(func(s footprint.Stats) bool { return s.Large >= requests*length })
	reader := bufio.NewReader(&slowConn{Conn: conn})
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		i.c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		i.c.Assert(err, qt.IsNil)
		i.c.Assert(body, qt.HasLen, length)
	}
	i.awaitLine(`"cause":"slow-reader"`)
	i.await(isUnused)
}

// slowConn is a connection that is read at about 60 kB a second.
type slowConn struct{ net.Conn }

func (c *slowConn) Read(p []byte) (int, error) {
	time.Sleep(50 * time.Millisecond)
	return c.Conn.Read(p[:min(len(p), 3000)])
}

// overlong is a sender whose servers answer with more bytes than any budget has.
type overlong struct {
	sender
	runs int
}

func (o *overlong) Send(_ context.Context, r link.Request) (*link.Response, error) {
	o.runs++
	return nil, lovageyard.MayHaveRun("the answer broke off", r.Reserve(1<<40))
}

// A response that is longer than the budget does not become shorter by a retry.
func TestOverlongResponseIsNotRequestedAgain(t *testing.T) {
	h := newHarness(t)
	h.memory = footprint.NewPool(1 << 20)
	servers := &overlong{}
	h.path = servers
	h.c.Assert(h.send(http.MethodGet, "/x/", "").StatusCode, qt.Equals, http.StatusBadGateway)
	h.c.Assert(servers.runs, qt.Equals, 1)
	h.c.Assert(h.memory.Stats().Used, qt.Equals, int64(0))
}
