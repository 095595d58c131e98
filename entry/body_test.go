package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/entry"
	"lovageyard.example/lovageyard/footprint"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/pipeline"
	"lovageyard.example/lovageyard/platform"
	"lovageyard.example/lovageyard/platform/fake"
	"lovageyard.example/lovageyard/timer"
	"lovageyard.example/lovageyard/utilisation"
)

// kernelBuffer is the size of the kernel's buffers of callers' connections.
const kernelBuffer = 16 << 10

// instance is an entry instance that serves real connections, in front of one backend server.
type instance struct {
	*harness
	address string
	written lines
}

// lines is a log that is read while it is written.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write appends to the log.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// awaitLine waits until the log contains a text.
func (i *instance) awaitLine(text string) {
	contains := func() bool {
		i.written.mu.Lock()
		defer i.written.mu.Unlock()
		return strings.Contains(i.written.text.String(), text)
	}
	i.awaitTrue(contains)
}

// newInstance returns an instance with a memory budget and a minimum body rate.
func newInstance(t *testing.T, budget, minBodyRate int64, backend http.HandlerFunc) *instance {
	return newInstanceOfServer(t, defaultSlots, 20*time.Second, budget, minBodyRate, backend)
}

// newInstanceOfServer is newInstance for a server with a number of slots and a route with a goal.
func newInstanceOfServer(t *testing.T, slots int, goal time.Duration, budget, minBodyRate int64, backend http.HandlerFunc) *instance {
	h := newHarnessOf(t, 1)
	h.slots, h.route.Goal = slots, goal
	server := httptest.NewServer(backend)
	h.c.Cleanup(server.Close)
	h.address = server.Listener.Addr().String()
	h.route.Idempotent = false
	h.further = map[string]string{"small": "/small/"}
	h.setRoute(h.route)
	h.view.Configuration.MaxBodyBytes = 0
	transport := link.New(platform.Headers{}, timer.Clock{}, nil)
	h.c.Cleanup(transport.Close)
	h.path = transport
	h.minBodyRate = minBodyRate
	if budget > 0 {
		h.memory = footprint.NewPool(budget)
	}
	i := &instance{harness: h}
	h.lines = &i.written
	front := httptest.NewUnstartedServer(h.handler())
	front.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		// Kernel buffers would otherwise take most of the responses.
		h.c.Check(link.Socket(c).(*net.TCPConn).SetWriteBuffer(kernelBuffer), qt.IsNil)
		return entry.ConnContext(ctx, c)
	}
	// As by an instance in edge mode, bytes are counted and pipelined requests run ahead.
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ahead := pipeline.New(pipeline.Settings{Handler: front.Config.Handler, Logger: logger, Metrics: meter.NewSet()})
	ahead.Attach(front.Config)
	front.Listener = ahead.Listener((&utilisation.Process{}).Listen(front.Listener))
	front.Start()
	h.c.Cleanup(func() {
		front.Close()
		ahead.Close(context.Background())
	})
	i.address = front.Listener.Addr().String()
	return i
}

// answerWith returns a backend server that reads requests and answers with a body.
func answerWith(body []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		fake.Seal(w.Header(), r.Header)
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write(body)
	}
}

// dial opens a connection to the instance.
func (i *instance) dial() net.Conn {
	conn, err := net.Dial("tcp", i.address)
	i.c.Assert(err, qt.IsNil)
	i.c.Assert(conn.(*net.TCPConn).SetReadBuffer(kernelBuffer), qt.IsNil)
	i.c.Cleanup(func() { conn.Close() })
	return conn
}

// begin sends the header of a request, with a body that is to follow.
func (i *instance) begin(length int) net.Conn {
	conn := i.dial()
	fmt.Fprintf(conn, "POST /x/ HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\nContent-Length: %d\r\n\r\n", length)
	return conn
}

// post sends a request on a new connection, and reads the response after the whole body is sent.
func (i *instance) post(length int) *http.Response {
	conn := i.begin(length)
	_, err := conn.Write(make([]byte, length))
	i.c.Assert(err, qt.IsNil)
	return i.read(conn)
}

// read reads a response with its body.
func (i *instance) read(conn net.Conn) *http.Response {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	i.c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	i.c.Assert(err, qt.IsNil)
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response
}

// maxChecks is the number of checks, a millisecond or more apart, after which a condition is given up.
const maxChecks = 20_000

// await waits until a condition on the memory budget holds.
func (i *instance) await(condition func(footprint.Stats) bool) {
	i.awaitTrue(func() bool { return condition(i.memory.Stats()) })
}

func (i *instance) awaitTrue(condition func() bool) {
	for range maxChecks {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	i.c.Fatal("the condition does not come true")
}

func isUnused(s footprint.Stats) bool { return s.Used == 0 }

// An upload for which there is no memory must be refused before it is read. Its client sends the whole body before
// it reads the response, and must find that instead of a reset connection. Small requests must be served meanwhile.
func TestUploadBeyondBudgetIsRefused(t *testing.T) {
	i := newInstance(t, 1<<20, 0, answerWith([]byte("done")))
	slow := i.begin(700 << 10)
	i.await(func(s footprint.Stats) bool { return s.Large == 700<<10 })
	for range 3 {
		refused := i.post(360 << 10)
		i.c.Assert(refused.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		i.c.Assert(refused.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(lovageyard.VerdictNotRun))
		i.c.Assert(refused.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		i.c.Assert(refused.Close, qt.IsTrue)
		i.c.Assert(i.post(16<<10).StatusCode, qt.Equals, http.StatusOK)
	}
	i.awaitLine(`"cause":"memory"`)
	slow.Close()
	i.await(isUnused)
	i.c.Assert(i.post(360<<10).StatusCode, qt.Equals, http.StatusOK)
	i.await(isUnused)
}

// The body of a refused upload must not be read without bound, neither in bytes nor in time.
func TestUnreadBodyIsReadWithinBounds(t *testing.T) {
	i := newInstance(t, 1<<20, 0, answerWith([]byte("done")))
	endless := i.begin(8 << 20)
	i.c.Assert(i.read(endless).StatusCode, qt.Equals, http.StatusServiceUnavailable)
	_, err := io.Copy(endless, neverEnding{})
	i.c.Assert(err, qt.IsNotNil)
	silent := i.begin(8 << 20)
	i.c.Assert(i.read(silent).StatusCode, qt.Equals, http.StatusServiceUnavailable)
	_, err = silent.Read(make([]byte, 1))
	i.c.Assert(err, qt.IsNotNil)
}

// neverEnding is a reader without an end.
type neverEnding struct{}

func (neverEnding) Read(p []byte) (int, error) { return len(p), nil }

// The length of a chunked body is not known in advance: memory must be taken as it is read.
func TestChunkedUploadTakesWhatItHasRead(t *testing.T) {
	i := newInstance(t, 1<<20, 0, answerWith([]byte("done")))
	post := func(length int64) int {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+i.address+"/x/", io.LimitReader(neverEnding{}, length))
		i.c.Assert(err, qt.IsNil)
		request.Host = "a.example"
		request.Header.Set("X-Request-Id", "id-1")
		response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
		i.c.Assert(err, qt.IsNil)
		defer response.Body.Close()
		return response.StatusCode
	}
	i.c.Assert(post(300<<10), qt.Equals, http.StatusOK)
	i.c.Assert(post(2<<20), qt.Equals, http.StatusServiceUnavailable)
	i.await(isUnused)
	held := i.memory.Reserve(790<<10, time.Now())
	i.c.Assert(post(60<<10), qt.Equals, http.StatusServiceUnavailable)
	i.c.Assert(post(10<<10), qt.Equals, http.StatusOK)
	held.Release(time.Now())
	i.await(isUnused)
}

// panicking is a sender that panics.
type panicking struct{ sender }

func (panicking) Send(context.Context, link.Request) (*link.Response, error) {
	panic(http.ErrAbortHandler)
}

// Bytes that are not released after a panic are lost until the instance restarts.
func TestBytesAreReleasedAfterPanic(t *testing.T) {
	h := newHarness(t)
	h.memory = footprint.NewPool(1 << 20)
	h.path = &panicking{}
	h.c.Assert(func() { h.send(http.MethodPost, "/x/", "body") }, qt.PanicMatches, ".*")
	h.c.Assert(h.memory.Stats().Used, qt.Equals, int64(0))
}

// A client that sends hardly anything must not hold memory, while one that is slow but above the minimum rate is
// served.
func TestSlowSenderIsEnded(t *testing.T) {
	t.Parallel()
	const rate, length = 10_000, 120_000
	i := newInstance(t, 1<<20, rate, answerWith([]byte("done")))
	stalled, moving := i.begin(length), i.begin(length)
	go func() {
		for range 12 {
			_, _ = moving.Write(make([]byte, length/12))
			time.Sleep(500 * time.Millisecond)
		}
	}()
	ended := i.read(stalled)
	i.c.Assert(ended.StatusCode, qt.Equals, http.StatusRequestTimeout)
	i.c.Assert(ended.Header.Get(lovageyard.VerdictHeader), qt.Equals, string(lovageyard.VerdictNotRun))
	i.c.Assert(ended.Close, qt.IsTrue)
	i.c.Assert(i.read(moving).StatusCode, qt.Equals, http.StatusOK)
	i.await(isUnused)
}
