package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/timer"
)

// codec reads the ID of a response, and whether its status is a refusal.
type codec struct{}

func (codec) Answer(r *http.Response) lovageyard.ResponseMeta {
	misdirected := r.StatusCode == http.StatusMisdirectedRequest
	return lovageyard.ResponseMeta{
		ID: r.Header.Get("Id"), Sealed: true,
		NotRun: misdirected || r.StatusCode == http.StatusServiceUnavailable, Misdirected: misdirected,
	}
}

// scriptedServer answers each request with the next of its scripts, verbatim; an empty script
// closes the connection.
type scriptedServer struct {
	listener net.Listener
	mu       sync.Mutex
	scripts  []string
	requests []string
	conns    int
}

func newScriptedServer(c *qt.C, scripts ...string) *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	b := &scriptedServer{listener: listener, scripts: scripts}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns++
			b.mu.Unlock()
			serving.Go(func() { b.serve(conn) })
		}
	})
	c.Cleanup(func() {
		listener.Close()
		serving.Wait()
	})
	return b
}

func (b *scriptedServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.requests = append(b.requests, request.Method+" "+request.RequestURI+" "+string(body))
		script := ""
		if len(b.scripts) > 0 {
			script = b.scripts[0]
			b.scripts = b.scripts[1:]
		}
		b.mu.Unlock()
		if script == "" {
			return
		}
		rest, closing := strings.CutSuffix(script, "CLOSE")
		if _, err := io.WriteString(conn, rest); err != nil || closing {
			return
		}
	}
}

func (b *scriptedServer) received() ([]string, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.requests...), b.conns
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newTransport(c *qt.C) *link.Transport {
	tr := link.New(codec{}, timer.Clock{}, nil)
	c.Cleanup(tr.Close)
	return tr
}

func request(b *scriptedServer, id string, idempotent bool) link.Request {
	return link.Request{
		MayResend: func() bool { return true },
		Method:    http.MethodGet, Target: "/a%2Fb/../c?q=1", Host: "a.example", Header: http.Header{},
		ID: id, Idempotent: idempotent, Server: "s", ServerAddress: b.listener.Addr().String(),
	}
}

// send sends a request with a timeout, so that a failing test ends.
func send(c *qt.C, tr *link.Transport, r link.Request) (*link.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	c.Cleanup(cancel)
	return tr.Send(ctx, r)
}

func TestRequestIsUnchangedAndConnectionIsReused(t *testing.T) {
	c := qt.New(t)
	b := newScriptedServer(c, answer("1", "one"), answer("2", "two"))
	tr := newTransport(c)
	first, err := send(c, tr, request(b, "1", true))
	c.Assert(err, qt.IsNil)
	c.Assert(string(first.Body), qt.Equals, "one")
	r := request(b, "2", false)
	r.Method, r.Body = http.MethodPost, []byte("body")
	second, err := send(c, tr, r)
	c.Assert(err, qt.IsNil)
	c.Assert(string(second.Body), qt.Equals, "two")
	requests, conns := b.received()
	c.Assert(requests, qt.DeepEquals, []string{"GET /a%2Fb/../c?q=1 ", "POST /a%2Fb/../c?q=1 body"})
	c.Assert(conns, qt.Equals, 1)
}

func TestUnreachableServerIsNotRun(t *testing.T) {
	c := qt.New(t)
	b := newScriptedServer(c)
	b.listener.Close()
	_, err := send(c, newTransport(c), request(b, "1", false))
	c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictNotRun)
}

func TestLostResponseMayHaveRun(t *testing.T) {
	c := qt.New(t)
	for _, script := range []string{
		"",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nonCLOSE",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\non\r\nCLOSE",
		"what is this?\r\n\r\nCLOSE",
	} {
		b := newScriptedServer(c, script)
		_, err := send(c, newTransport(c), request(b, "1", false))
		c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictMayHaveRun, qt.Commentf("%q", script))
		requests, _ := b.received()
		c.Assert(requests, qt.HasLen, 1)
	}
}

// A server may close an idle connection just as a request is sent on it. A charge must not be
// resent then; an idempotent lookup may.
func TestOnlyIdempotentRequestIsResentAfterClose(t *testing.T) {
	c := qt.New(t)
	for _, idempotent := range []bool{true, false} {
		// The server reads the second request and closes the connection without a response.
		b := newScriptedServer(c, answer("1", "one"), "", answer("2", "two"))
		tr := newTransport(c)
		_, err := send(c, tr, request(b, "1", idempotent))
		c.Assert(err, qt.IsNil)
		_, err = send(c, tr, request(b, "2", idempotent))
		requests, _ := b.received()
		if idempotent {
			c.Assert(err, qt.IsNil)
			c.Assert(requests, qt.HasLen, 3)
			continue
		}
		c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictMayHaveRun)
		c.Assert(requests, qt.HasLen, 2)
	}
}

// A resend on a new connection is a retry to the server, so it must be allowed by the retry budget.
func TestResendNeedsRetryBudget(t *testing.T) {
	c := qt.New(t)
	b := newScriptedServer(c, answer("1", "one"), "", answer("2", "two"))
	tr := newTransport(c)
	_, err := send(c, tr, request(b, "1", true))
	c.Assert(err, qt.IsNil)
	again := request(b, "2", true)
	calls := 0
	again.MayResend = func() bool {
		calls++
		return false
	}
	_, err = send(c, tr, again)
	c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictMayHaveRun)
	c.Assert(calls, qt.Equals, 1)
	requests, _ := b.received()
	c.Assert(requests, qt.HasLen, 2)
}

// A request that was sent on a connection which the server closed may have run, even if the resend
// could not reach the server.
func TestFailedResendMayHaveRun(t *testing.T) {
	c := qt.New(t)
	b := newScriptedServer(c, answer("1", "one"), "")
	tr := newTransport(c)
	_, err := send(c, tr, request(b, "1", true))
	c.Assert(err, qt.IsNil)
	b.listener.Close()
	_, err = send(c, tr, request(b, "2", true))
	c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictMayHaveRun)
}

// A server closes the connection after it has read a request, and the resend is refused without
// being run, possibly by another server at the address. The result of the first send is unknown, so
// the verdict must not be that the request has not run.
func TestRefusedResendMayHaveRun(t *testing.T) {
	c := qt.New(t)
	for _, status := range []string{"421 Misdirected Request", "503 Service Unavailable"} {
		b := newScriptedServer(c, answer("1", "one"), "", "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
		tr := newTransport(c)
		_, err := send(c, tr, request(b, "1", true))
		c.Assert(err, qt.IsNil)
		_, err = send(c, tr, request(b, "2", true))
		c.Assert(err, qt.IsNotNil, qt.Commentf("%s", status))
		c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictMayHaveRun)
		c.Assert(failureOf(c, err).ConnectionLost, qt.IsTrue)
		c.Assert(failureOf(c, err).ServerExited, qt.Equals, strings.HasPrefix(status, "421"))
	}
}

func TestResponsesToOtherRequestsAreSkipped(t *testing.T) {
	c := qt.New(t)
	b := newScriptedServer(c, answer("0", "stray")+answer("1", "one"))
	got, err := send(c, newTransport(c), request(b, "1", true))
	c.Assert(err, qt.IsNil)
	c.Assert(string(got.Body), qt.Equals, "one")
	c.Assert(got.Skipped, qt.Equals, 1)
}

func TestInterimResponsesAreSkipped(t *testing.T) {
	c := qt.New(t)
	b := newScriptedServer(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+answer("1", "one"))
	got, err := send(c, newTransport(c), request(b, "1", true))
	c.Assert(err, qt.IsNil)
	c.Assert(got.Status, qt.Equals, http.StatusOK)
}

// A server may refuse a long request before it has read it. Its response must be returned, and the
// connection must not be reused.
func TestResponseBeforeEndOfRequest(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	done := make(chan struct{})
	release := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, answer("1", "early"))
		<-release
	}()
	c.Cleanup(func() {
		close(release)
		listener.Close()
		<-done
	})
	r := request(&scriptedServer{listener: listener}, "1", false)
	r.Method, r.Body = http.MethodPost, make([]byte, 8<<20)
	got, err := send(c, newTransport(c), r)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got.Body), qt.Equals, "early")
}

func TestConnectionWithStrayBytesIsNotReused(t *testing.T) {
	c := qt.New(t)
	b := newScriptedServer(c, answer("1", "one")+"stray", answer("2", "two"))
	tr := newTransport(c)
	_, err := send(c, tr, request(b, "1", false))
	c.Assert(err, qt.IsNil)
	got, err := send(c, tr, request(b, "2", false))
	c.Assert(err, qt.IsNil)
	c.Assert(string(got.Body), qt.Equals, "two")
	_, conns := b.received()
	c.Assert(conns, qt.Equals, 2)
}

func TestResponseWithoutLengthEndsWithConnection(t *testing.T) {
	c := qt.New(t)
	b := newScriptedServer(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nallCLOSE")
	got, err := send(c, newTransport(c), request(b, "1", false))
	c.Assert(err, qt.IsNil)
	c.Assert(string(got.Body), qt.Equals, "all")
}

func TestClosingConnectionsAreNotReused(t *testing.T) {
	c := qt.New(t)
	for _, header := range []string{"Connection: close", "Keep-Alive: timeout=1"} {
		first := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n" + header + "\r\n\r\n"
		b := newScriptedServer(c, first, answer("2", "two"))
		tr := newTransport(c)
		_, err := send(c, tr, request(b, "1", true))
		c.Assert(err, qt.IsNil)
		_, err = send(c, tr, request(b, "2", true))
		c.Assert(err, qt.IsNil)
		_, conns := b.received()
		c.Assert(conns, qt.Equals, 2, qt.Commentf("%s", header))
	}
}

func TestCancelledContextClosesConnection(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	received := make(chan struct{})
	go func() {
		defer close(closed)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		close(received)
		// The read returns when the client closes the connection.
		_, _ = reader.ReadByte()
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	r := request(&scriptedServer{listener: listener}, "1", true)
	_, err = newTransport(c).Send(ctx, r)
	c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictMayHaveRun)
	select {
	case <-closed:
	case <-time.After(20 * time.Second):
		c.Fatal("the connection stayed open")
	}
}

// A server that has restarted, possibly at another address, must not get requests on connections to
// its previous incarnation: another server may accept them.
func TestConnectionsAreNotReusedAcrossIncarnations(t *testing.T) {
	c := qt.New(t)
	before := newScriptedServer(c, answer("1", "one"), answer("2", "the life before"))
	after := newScriptedServer(c, answer("2", "two"))
	tr := newTransport(c)
	r := request(before, "1", true)
	r.Incarnation = 100
	_, err := send(c, tr, r)
	c.Assert(err, qt.IsNil)
	r = request(after, "2", true)
	r.Incarnation = 200
	second, err := send(c, tr, r)
	c.Assert(err, qt.IsNil)
	c.Assert(string(second.Body), qt.Equals, "two")
	requests, _ := before.received()
	c.Assert(requests, qt.HasLen, 1)
}

// failureOf returns the RequestError of an attempt.
func failureOf(c *qt.C, err error) *lovageyard.RequestError {
	var failure *lovageyard.RequestError
	c.Assert(errors.As(err, &failure), qt.IsTrue)
	return failure
}

// The failure must distinguish a closed connection from an unreachable server, and a server that
// has exited from one that is still listening.
func TestFailureReportsClosedConnectionAndExitedServer(t *testing.T) {
	c := qt.New(t)
	b := newScriptedServer(c, "", answer("2", "two"), "")
	tr := newTransport(c)
	_, err := send(c, tr, request(b, "1", true))
	c.Assert(failureOf(c, err).ConnectionLost, qt.IsTrue)
	c.Assert(failureOf(c, err).ServerExited, qt.IsFalse)
	_, err = send(c, tr, request(b, "2", true))
	c.Assert(err, qt.IsNil)
	b.listener.Close()
	// The idle connection is closed, and a new one refused.
	_, err = send(c, tr, request(b, "3", true))
	c.Assert(failureOf(c, err).ConnectionLost, qt.IsTrue)
	c.Assert(failureOf(c, err).ServerExited, qt.IsTrue)
	_, err = send(c, tr, request(b, "4", true))
	c.Assert(failureOf(c, err).ConnectionLost, qt.IsFalse)
	c.Assert(failureOf(c, err).ServerExited, qt.IsTrue)
}

func TestRefusesConnectionsDetectsExitedServer(t *testing.T) {
	c := qt.New(t)
	b := newScriptedServer(c, answer("1", "one"))
	tr := newTransport(c)
	server := lovageyard.BackendServer{Name: "s", Address: b.listener.Addr().String()}
	c.Assert(tr.RefusesConnections(context.Background(), server), qt.IsFalse)
	// The connection of the probe carries the next request.
	_, err := send(c, tr, request(b, "1", true))
	c.Assert(err, qt.IsNil)
	_, conns := b.received()
	c.Assert(conns, qt.Equals, 1)
	b.listener.Close()
	c.Assert(tr.RefusesConnections(context.Background(), server), qt.IsTrue)
}
