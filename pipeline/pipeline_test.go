package pipeline_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/pipeline"
	"lovageyard.example/lovageyard/utilisation"
)

// testServer is an http.Server on a loopback address, with a Pipeline unless it is plain.
type testServer struct {
	*http.Server
	address  string
	pipeline *pipeline.Pipeline
	metrics  *meter.Set
}

func newLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(logrus.DebugLevel)
	return logger
}

// startServer starts a server; wrap changes its listener before the Pipeline does, and may be nil.
func startServer(c testing.TB, plain bool, h http.Handler, wrap func(net.Listener) net.Listener) *testServer {
	return start(c, plain, &http.Server{Handler: h}, wrap)
}

func start(c testing.TB, plain bool, server *http.Server, wrap func(net.Listener) net.Listener) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(c, err, qt.IsNil)
	s := &testServer{Server: server, address: l.Addr().String(), metrics: meter.NewSet()}
	quiet := newLogger()
	s.ErrorLog = log.New(quiet.Out, "", 0)
	s.MaxHeaderBytes = 16 << 10
	if wrap != nil {
		l = wrap(l)
	}
	if !plain {
		s.pipeline = pipeline.New(pipeline.Settings{Handler: s.Handler, Logger: quiet, Metrics: s.metrics})
		s.pipeline.Attach(s.Server)
		l = s.pipeline.Listener(l)
	}
	go func() { _ = s.Serve(l) }()
	c.Cleanup(func() {
		_ = s.Close()
		if s.pipeline != nil {
			s.pipeline.Close(context.Background())
		}
	})
	return s
}

// client is a raw connection to a server.
type client struct {
	c *qt.C
	net.Conn
	reader *bufio.Reader
}

// dial connects; all reads fail after a minute, so that a lost response fails the test.
func (s *testServer) dial(c *qt.C) *client {
	conn, err := net.Dial("tcp", s.address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	c.Assert(conn.SetReadDeadline(time.Now().Add(time.Minute)), qt.IsNil)
	return &client{c: c, Conn: conn, reader: bufio.NewReader(conn)}
}

func (cl *client) send(text string) {
	_, err := io.WriteString(cl.Conn, text)
	cl.c.Assert(err, qt.IsNil)
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: shop\r\n\r\n"
}

func gets(paths ...string) string {
	var all strings.Builder
	for _, path := range paths {
		all.WriteString(get(path))
	}
	return all.String()
}

// expect reads the response to a GET request and returns it; its body has to be body.
func (cl *client) expect(body string) *http.Response {
	response, err := http.ReadResponse(cl.reader, nil)
	cl.c.Assert(err, qt.IsNil)
	read, err := io.ReadAll(response.Body)
	cl.c.Assert(err, qt.IsNil)
	cl.c.Assert(string(read), qt.Equals, body)
	return response
}

// expectEnd checks that the server sends nothing more.
func (cl *client) expectEnd() {
	rest, _ := io.ReadAll(cl.reader)
	cl.c.Assert(string(rest), qt.Equals, "")
}

// gate is a handler that responds with the path of a request once it is released.
type gate struct {
	started chan string
	ended   chan string
	release map[string]chan struct{}
}

func newGate(paths ...string) *gate {
	g := &gate{started: make(chan string, 2000), ended: make(chan string, 2000), release: make(map[string]chan struct{})}
	for _, path := range paths {
		g.release[path] = make(chan struct{})
	}
	return g
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	g.started <- r.URL.Path
	defer func() { g.ended <- r.URL.Path }()
	select {
	case <-g.release[r.URL.Path]:
	case <-r.Context().Done():
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/panic"):
		panic("a fault of the handler")
	case strings.HasPrefix(r.URL.Path, "/close"):
		w.Header().Set("Connection", "close")
	}
	_, _ = fmt.Fprint(w, r.URL.Path, string(body), err == nil)
}

// await returns when n requests have been announced on ch, as a set.
func await(c *qt.C, ch chan string, n int) map[string]bool {
	seen := make(map[string]bool)
	for range n {
		select {
		case path := <-ch:
			c.Assert(seen[path], qt.IsFalse, qt.Commentf("%s twice", path))
			seen[path] = true
		case <-time.After(20 * time.Second):
			c.Fatalf("only %v of %d", seen, n)
		}
	}
	return seen
}

// Guards against head-of-line blocking, and against responses in the order in which they are ready.
func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	c := qt.New(t)
	paths := []string{"/1", "/2", "/3", "/4", "/5"}
	for _, order := range [][]int{{4, 3, 2, 1, 0}, {0, 1, 2, 3, 4}, {2, 0, 4, 1, 3}} {
		g := newGate(paths...)
		s := startServer(c, false, g, nil)
		cl := s.dial(c)
		cl.send(gets(paths...))
		await(c, g.started, len(paths))
		for _, i := range order {
			close(g.release[paths[i]])
			await(c, g.ended, 1)
		}
		for _, path := range paths {
			cl.expect(path + "true")
		}
		var text strings.Builder
		s.metrics.Write(&text)
		c.Assert(text.String(), qt.Contains, "counter requests-ahead\n  count:               4\n")
		// The connection continues to be used.
		cl.send(get("/1"))
		cl.expect("/1true")
	}
}

// Guards against requests that arrive while a handler runs and are noticed only after it.
func TestRequestsThatArriveLaterRunAhead(t *testing.T) {
	c := qt.New(t)
	paths := []string{"/1", "/2", "/3", "/4"}
	g := newGate(paths...)
	cl := startServer(c, false, g, nil).dial(c)
	for _, path := range paths {
		text := get(path)
		cl.send(text[:7])
		cl.send(text[7:])
		await(c, g.started, 1)
	}
	for i := len(paths) - 1; i >= 0; i-- {
		close(g.release[paths[i]])
	}
	for _, path := range paths {
		cl.expect(path + "true")
	}
}

// Guards against requests that run beside one with another method, and against requests behind a body that
// are lost.
func TestRequestsBehindOtherMethodsWaitForTheirTurn(t *testing.T) {
	c := qt.New(t)
	g := newGate("/1", "/2", "/post", "/3", "/chunked", "/4", "/5")
	cl := startServer(c, false, g, nil).dial(c)
	cl.send(gets("/1", "/2") + "POST /post HTTP/1.1\r\nHost: shop\r\nContent-Length: 5\r\n\r\nab")
	await(c, g.started, 2)
	cl.send("cde" + get("/3") + "POST /chunked HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nfgh\r\n0\r\n\r\n" + gets("/4", "/5"))
	for _, turn := range []struct {
		path    string
		started int
		body    string
	}{
		{"/1", 0, "/1true"},
		{"/2", 0, "/2true"},
		{"/post", 1, "/postabcdetrue"},
		{"/3", 1, "/3true"},
		{"/chunked", 1, "/chunkedfghtrue"},
		// The connection is left to net/http after a chunked body.
		{"/4", 1, "/4true"},
		{"/5", 1, "/5true"},
	} {
		await(c, g.started, turn.started)
		c.Assert(len(g.started), qt.Equals, 0)
		close(g.release[turn.path])
		cl.expect(turn.body)
	}
}

// Guards against work that continues for a client that has disconnected.
func TestDisconnectCancelsAllRequests(t *testing.T) {
	c := qt.New(t)
	for _, paths := range [][]string{{"/1"}, {"/1", "/2", "/3"}} {
		g := newGate(paths...)
		cl := startServer(c, false, g, nil).dial(c)
		cl.send(gets(paths...))
		await(c, g.started, len(paths))
		cl.Close()
		await(c, g.ended, len(paths))
	}
}

// Guards against responses after one that closes the connection, and against work for requests behind it.
func TestResponseThatClosesTheConnectionCancelsThoseBehind(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		paths []string
		// first is released first; then the requests of cancelled have to end without a release.
		first     string
		cancelled int
		answered  []string
	}{
		{[]string{"/close", "/2", "/3"}, "/close", 2, []string{"/close"}},
		{[]string{"/1", "/close", "/3", "/4"}, "/close", 2, []string{"/1", "/close"}},
		{[]string{"/1", "/panic", "/3"}, "/panic", 1, []string{"/1"}},
	} {
		g := newGate(test.paths...)
		s := startServer(c, false, g, nil)
		cl := s.dial(c)
		cl.send(gets(test.paths...))
		await(c, g.started, len(test.paths))
		close(g.release[test.first])
		await(c, g.ended, 1+test.cancelled)
		if test.first != test.paths[0] {
			close(g.release[test.paths[0]])
		}
		for _, path := range test.answered {
			cl.expect(path + "true")
		}
		cl.expectEnd()
	}
}

// Guards against requests that are cancelled and answered nevertheless, behind a response whose head was sent before
// its handler asked for the connection to be closed.
func TestHeaderSetAfterTheHeadCancelsNothing(t *testing.T) {
	c := qt.New(t)
	g := newGate("/2")
	first, sent := make(chan struct{}), make(chan struct{})
	cl := startServer(c, false, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/1" {
			g.ServeHTTP(w, r)
			return
		}
		<-first
		_, _ = io.WriteString(w, "/1")
		qt.Check(t, http.NewResponseController(w).Flush(), qt.IsNil)
		w.Header().Set("Connection", "close")
		close(sent)
	}), nil).dial(c)
	cl.send(gets("/1", "/2"))
	await(c, g.started, 1)
	close(first)
	<-sent
	cl.expect("/1")
	close(g.release["/2"])
	cl.expect("/2true")
}

// Guards against a shutdown that waits for requests ahead, answers them, or leaves their handlers running.
func TestShutdownClosesAfterTheResponseInProgress(t *testing.T) {
	c := qt.New(t)
	g := newGate("/1", "/2", "/3")
	s := startServer(c, false, g, nil)
	cl := s.dial(c)
	cl.send(gets("/1", "/2"))
	await(c, g.started, 2)
	began := make(chan struct{})
	s.RegisterOnShutdown(func() { close(began) })
	ended := make(chan error)
	go func() { ended <- s.Shutdown(context.Background()) }()
	<-began
	close(g.release["/1"])
	c.Assert(cl.expect("/1true").Close, qt.IsTrue)
	cl.expectEnd()
	c.Assert(<-ended, qt.IsNil)
	s.pipeline.Close(context.Background())
	c.Assert(len(g.ended), qt.Equals, 2)
}

// Guards against a client that holds a connection with half a request behind a complete one.
func TestTimeoutsApplyToRequestsThatAreRead(t *testing.T) {
	for _, behind := range []string{"", "GET /2 HTTP/1.1\r\nHo"} {
		t.Run(fmt.Sprint(len(behind)), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			g := newGate("/1")
			close(g.release["/1"])
			var rest [2]string
			for i, plain := range []bool{true, false} {
				// Shorter timeouts end the first request on a loaded machine.
				server := &http.Server{Handler: g, ReadHeaderTimeout: time.Second, IdleTimeout: time.Second}
				cl := start(c, plain, server, nil).dial(c)
				cl.send(get("/1") + behind)
				cl.expect("/1true")
				text, err := io.ReadAll(cl.reader)
				c.Assert(err, qt.IsNil)
				rest[i] = string(text)
			}
			c.Assert(rest[1], qt.Equals, rest[0])
		})
	}
}

// Guards against a response that looks complete although its handler panicked.
func TestPanicTruncatesTheResponseAsWithoutThePipeline(t *testing.T) {
	c := qt.New(t)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(make([]byte, 5000))
		if r.URL.Path == "/panic" {
			panic(http.ErrAbortHandler)
		}
	})
	var received [2][]string
	for i, plain := range []bool{true, false} {
		cl := startServer(c, plain, h, nil).dial(c)
		cl.send(gets("/1", "/panic", "/3"))
		text, err := io.ReadAll(cl.reader)
		c.Assert(err, qt.IsNil)
		received[i] = parsed(text)
	}
	c.Assert(received[1], qt.DeepEquals, received[0])
}

// Guards against responses that differ from those of net/http alone over connections that are wrapped already: here
// against bytes beyond the declared length.
func TestCopiedResponseOverCountedConnections(t *testing.T) {
	c := qt.New(t)
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "600")
		_, err := io.Copy(w, io.LimitReader(strings.NewReader(strings.Repeat("a", 1000)), 1000))
		qt.Check(t, err, qt.IsNotNil)
	})
	var received [2]string
	for i, plain := range []bool{true, false} {
		cl := startServer(c, plain, h, (&utilisation.Process{}).Listen).dial(c)
		cl.send("GET /1 HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n")
		text, err := io.ReadAll(cl.reader)
		c.Assert(err, qt.IsNil)
		_, received[i], _ = strings.Cut(string(text), "\r\n\r\n")
	}
	c.Assert(received[1], qt.Equals, received[0])
}

// Guards against a handler that takes a response for sent although its connection has failed.
func TestFlushReportsFailures(t *testing.T) {
	c := qt.New(t)
	started := make(chan string, 2)
	release := make(chan struct{})
	failure := make(chan error, 1)
	cl := startServer(c, false, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		if r.URL.Path == "/1" {
			<-release
			return
		}
		control := http.NewResponseController(w)
		qt.Check(t, control.SetWriteDeadline(time.Now().Add(-time.Second)), qt.IsNil)
		_, _ = io.WriteString(w, "a")
		failure <- control.Flush()
	}), nil).dial(c)
	cl.send(gets("/1", "/2"))
	await(c, started, 2)
	close(release)
	c.Assert(<-failure, qt.ErrorIs, os.ErrDeadlineExceeded)
}

// Guards against bytes that are lost when a handler takes over the connection.
func TestHijackedConnectionDeliversAllBytes(t *testing.T) {
	c := qt.New(t)
	const long = 40 << 10
	s := startServer(c, false, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		qt.Check(t, err, qt.IsNil)
		defer conn.Close()
		read := make([]byte, long)
		_, err = io.ReadFull(buffered, read)
		qt.Check(t, err, qt.IsNil)
		_, _ = conn.Write(read)
	}), nil)
	cl := s.dial(c)
	sent := strings.Repeat(get("/"), long)[:long]
	cl.send("GET / HTTP/1.1\r\nHost: shop\r\nUpgrade: echo\r\nConnection: Upgrade\r\n\r\n" + sent)
	received, err := io.ReadAll(cl.reader)
	c.Assert(err, qt.IsNil)
	c.Assert(string(received) == sent, qt.IsTrue)
}

// BenchmarkRequest shows the cost for a client that does not pipeline.
func BenchmarkRequest(b *testing.B) {
	for _, plain := range []bool{true, false} {
		b.Run(fmt.Sprint("plain=", plain), func(b *testing.B) {
			s := startServer(b, plain, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "ok")
			}), nil)
			cl := s.dial(qt.New(b))
			request := []byte("GET /orders/17 HTTP/1.1\r\nHost: shop\r\nUser-Agent: client/1.0\r\nAccept: */*\r\nX-Request-Id: 5f2c\r\nX-Timeout-Ms: 1000\r\n\r\n")
			response := make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = cl.Write(request)
				if _, err := cl.Read(response); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
