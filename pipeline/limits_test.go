package pipeline_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/pipeline"
)

// Guards against a client that starts any number of requests on one connection.
func TestNumberOfRequestsAheadIsLimited(t *testing.T) {
	c := qt.New(t)
	var running, highest atomic.Int64
	full := make(chan struct{})
	closeFull := sync.OnceFunc(func() { close(full) })
	s := startServer(c, false, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)
		for old := highest.Load(); n > old && !highest.CompareAndSwap(old, n); old = highest.Load() {
		}
		if n == 9 {
			closeFull()
		}
		<-full
		_, _ = io.WriteString(w, r.URL.Path)
	}), nil)
	cl := s.dial(c)
	var all strings.Builder
	for i := range 1000 {
		all.WriteString(get(fmt.Sprint("/", i)))
	}
	go func() { _, _ = io.WriteString(cl.Conn, all.String()) }()
	for i := range 1000 {
		cl.expect(fmt.Sprint("/", i))
	}
	c.Assert(highest.Load(), qt.Equals, int64(9))
}

// countingListener counts the bytes that its connections read, and the calls of Read.
type countingListener struct {
	net.Listener
	read  atomic.Int64
	calls atomic.Int64
	// changed is signalled after each read.
	changed chan struct{}
}

func (l *countingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	return &countingConn{Conn: accepted, listener: l}, err
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.read.Add(int64(n))
	c.listener.calls.Add(1)
	select {
	case c.listener.changed <- struct{}{}:
	default:
	}
	return n, err
}

// Guards against a system call for each byte on a connection that is left to net/http, after a request with a short
// body.
func TestConnectionLeftToTheServerIsReadInLargePieces(t *testing.T) {
	c := qt.New(t)
	l := &countingListener{changed: make(chan struct{}, 1)}
	g := newGate("/chunked", "/short", "/long")
	for _, release := range g.release {
		close(release)
	}
	s := startServer(c, false, g, func(inner net.Listener) net.Listener {
		l.Listener = inner
		return l
	})
	cl := s.dial(c)
	cl.send("POST /chunked HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n")
	cl.expect("/chunkedatrue")
	cl.send("POST /short HTTP/1.1\r\nHost: shop\r\nContent-Length: 1\r\n\r\nb")
	cl.expect("/shortbtrue")
	before := l.calls.Load()
	cl.send("GET /long HTTP/1.1\r\nHost: shop\r\nX-Long: " + strings.Repeat("a", 2000) + "\r\n\r\n")
	cl.expect("/longtrue")
	c.Assert(l.calls.Load()-before < 100, qt.IsTrue, qt.Commentf("%d reads", l.calls.Load()-before))
}

// Guards against requests that are parsed from their second byte on, when the buffer is full before the handler
// of the first request begins.
func TestBufferFullBeforeTheHandlerBegins(t *testing.T) {
	c := qt.New(t)
	l := &countingListener{changed: make(chan struct{}, 1)}
	var paths []string
	for i := range 1000 {
		paths = append(paths, fmt.Sprint("/", i))
	}
	g := newGate(paths...)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l.Listener = inner
	server := &http.Server{}
	p := pipeline.New(pipeline.Settings{Handler: g, Logger: newLogger(), Metrics: meter.NewSet()})
	p.Attach(server)
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for l.read.Load() < 16<<10 {
			<-l.changed
		}
		p.ServeHTTP(w, r)
	})
	go func() { _ = server.Serve(p.Listener(l)) }()
	c.Cleanup(func() { server.Close() })
	cl := (&testServer{address: inner.Addr().String()}).dial(c)
	go func() { _, _ = io.WriteString(cl.Conn, gets(paths...)) }()
	await(c, g.started, 9)
	for _, path := range paths {
		close(g.release[path])
	}
	for _, path := range paths {
		cl.expect(path + "true")
	}
}

// Guards against buffered responses beyond the limit, and against a deadlock when it is reached.
func TestBufferedResponsesAreLimited(t *testing.T) {
	c := qt.New(t)
	// Larger pieces are not buffered.
	const piece, pieces, limit = 16 << 10, 25, 1 << 20
	var written atomic.Int64
	release := make(chan struct{})
	started := make(chan string, 9)
	wrote := make(chan struct{}, 6*pieces)
	s := startServer(c, false, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		if r.URL.Path == "/0" {
			<-release
		}
		for range pieces {
			_, err := io.WriteString(w, strings.Repeat(r.URL.Path[1:], piece))
			qt.Check(t, err, qt.IsNil)
			written.Add(1)
			wrote <- struct{}{}
		}
	}), nil)
	cl := s.dial(c)
	cl.send(gets("/0", "/1", "/2", "/3", "/4", "/5"))
	await(c, started, 6)
	for range limit / piece {
		<-wrote
	}
	c.Assert(written.Load(), qt.Equals, int64(limit/piece))
	close(release)
	for i := range 6 {
		cl.expect(strings.Repeat(fmt.Sprint(i), piece*pieces))
	}
}

// Guards against copies of large bodies that a handler counts only until it has written them.
func TestLargeWritesAreNotBuffered(t *testing.T) {
	c := qt.New(t)
	started, wrote := make(chan string, 99), make(chan string, 99)
	release := make(chan struct{})
	s := startServer(c, false, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		if r.URL.Path == "/0" {
			<-release
		}
		size, _ := strconv.Atoi(r.URL.Path[1:])
		_, err := io.WriteString(w, strings.Repeat("a", size))
		qt.Check(t, err, qt.IsNil)
		wrote <- r.URL.Path
	}), nil)
	cl := s.dial(c)
	cl.send(gets("/0", "/16385", "/16386", "/16387", "/16384"))
	await(c, started, 5)
	c.Assert(<-wrote, qt.Equals, "/16384")
	// Requests of another client give the handlers time to write.
	other := s.dial(c)
	for range 50 {
		other.send(get("/1"))
		other.expect("a")
		c.Assert(<-wrote, qt.Equals, "/1")
	}
	close(release)
	c.Assert(<-wrote, qt.Equals, "/0")
	for _, size := range []int{0, 16385, 16386, 16387, 16384} {
		cl.expect(strings.Repeat("a", size))
	}
}

// Guards against handlers that wait for room in the buffers of a connection that is gone.
func TestDisconnectEndsWaitingWrites(t *testing.T) {
	c := qt.New(t)
	started := make(chan string, 9)
	failed := make(chan error, 1)
	release := make(chan struct{})
	s := startServer(c, false, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		if r.URL.Path == "/1" {
			<-release
			return
		}
		_, err := w.Write(make([]byte, 2<<20))
		failed <- err
	}), nil)
	cl := s.dial(c)
	cl.send(gets("/1", "/2"))
	await(c, started, 2)
	cl.Close()
	c.Assert(<-failed, qt.ErrorIs, context.Canceled)
	close(release)
}
