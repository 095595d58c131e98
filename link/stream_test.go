package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/link"
	"lovageyard.example/lovageyard/timer"
)

// script handles one connection of a raw server and returns when it is done.
type script func(conn net.Conn)

// rawServer runs the n-th script on the n-th connection, and the last script on all further ones.
func rawServer(t *testing.T, scripts ...script) (server lovageyard.BackendServer, connections *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	connections = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n := int(connections.Add(1))
			go func() {
				defer conn.Close()
				scripts[min(n, len(scripts))-1](conn)
			}()
		}
	}()
	return lovageyard.BackendServer{Name: "raw", Address: listener.Addr().String()}, connections
}

// readRequest reads a request and its body.
func readRequest(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err == nil && request.Body != nil {
		buffer := make([]byte, 1024)
		for err == nil {
			_, err = request.Body.Read(buffer)
		}
	}
}

// readRequestHead reads a request without a body.
func readRequestHead(conn net.Conn) {
	_, _ = http.ReadRequest(bufio.NewReader(conn))
}

func newStreamTransport() *link.Transport {
	return link.New(link.LoadHeaderCodec{}, timer.Clock{}, nil)
}

func write(conn net.Conn, text string) {
	_, _ = conn.Write([]byte(text))
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// identify adds the ID of the attempt to a response, as servers do.
func identify(r *http.Request, response string) string {
	status, rest, _ := strings.Cut(response, "\r\n")
	return status + "\r\n" + lovageyard.AttemptHeader + ": " + r.Header.Get(lovageyard.AttemptHeader) + "\r\n" + rest
}

func closeAfterRequest(conn net.Conn) { readRequest(conn) }

func closeInHeader(conn net.Conn) {
	readRequest(conn)
	write(conn, "HTTP/1.1 200 OK\r\nContent-")
}

// neverRespond reads a request and waits until the client closes the connection.
func neverRespond(conn net.Conn) {
	readRequest(conn)
	buffer := make([]byte, 1)
	_, _ = conn.Read(buffer)
}

func resetAfterRequest(conn net.Conn) {
	readRequest(conn)
	_ = conn.(*net.TCPConn).SetLinger(0)
}

func TestStreamVerdicts(t *testing.T) {
	for _, test := range []struct {
		name    string
		script  script
		verdict lovageyard.Verdict
	}{
		{"closed after the request", closeAfterRequest, lovageyard.VerdictMayHaveRun},
		{"closed in the answer's header", closeInHeader, lovageyard.VerdictMayHaveRun},
		{"reset after the request", resetAfterRequest, lovageyard.VerdictMayHaveRun},
		{"silent", neverRespond, lovageyard.VerdictMayHaveRun},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(test.name+" "+method, func(t *testing.T) {
				c := qt.New(t)
				server, connections := rawServer(t, test.script)
				client := newStreamTransport()
				defer client.Close()
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				defer cancel()
				_, err := client.Stream(chargeRequest(ctx, method), server, nil)
				c.Assert(lovageyard.VerdictOf(err), qt.Equals, test.verdict, qt.Commentf("%v", err))
				c.Assert(connections.Load(), qt.Equals, int64(1))
			})
		}
	}
}

func chargeRequest(ctx context.Context, method string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, "http://unused/charges/1", onlyReader{strings.NewReader("{}")})
	if err != nil {
		panic(err)
	}
	request.Header.Set("Idempotency-Key", "key-1")
	return request
}

// onlyReader hides the body's type, so that net/http can't set GetBody.
type onlyReader struct {
	*strings.Reader
}

func TestStreamIsNotRunIfNothingListens(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	listener.Close()
	client := newStreamTransport()
	defer client.Close()
	_, err = client.Stream(chargeRequest(context.Background(), http.MethodPost), lovageyard.BackendServer{Address: address}, nil)
	c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictNotRun)
}

func TestStreamIsNotRunIfCancelledBeforeFirstByte(t *testing.T) {
	c := qt.New(t)
	server, _ := rawServer(t, closeAfterRequest)
	client := newStreamTransport()
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := client.Stream(chargeRequest(ctx, http.MethodPost), server, nil)
	c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictNotRun)
}

// A server closes a reused connection after it has read a request with a body. The request may have
// run, so it must not be resent.
func TestChargeIsNotResent(t *testing.T) {
	c := qt.New(t)
	server, connections := rawServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		first, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		write(conn, identify(first, okResponse))
		// The second request is read, and then the connection is closed without a response.
		_, _ = http.ReadRequest(reader)
	})
	client := newStreamTransport()
	defer client.Close()
	first, err := client.Stream(mustRequest(http.MethodGet), server, allow)
	c.Assert(err, qt.IsNil)
	// The connection is kept as soon as the response has ended.
	_, err = io.ReadAll(first.Body)
	c.Assert(err, qt.IsNil)
	first.Body.Close()
	_, err = client.Stream(chargeRequest(context.Background(), http.MethodPost), server, nil)
	c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictMayHaveRun)
	c.Assert(connections.Load(), qt.Equals, int64(1))
}

// allow permits every resend.
func allow() bool { return true }

func mustRequest(method string) *http.Request {
	request, err := http.NewRequest(method, "http://unused/", nil)
	if err != nil {
		panic(err)
	}
	return request
}

// blockedBody is a body whose first read blocks until it is released.
type blockedBody struct {
	release chan struct{}
}

func (b blockedBody) Read(p []byte) (int, error) {
	<-b.release
	return copy(p, "late"), nil
}

// Body data that the caller provides after an attempt was aborted must not be sent.
func TestBodyAfterAbortedAttemptIsNotSent(t *testing.T) {
	c := qt.New(t)
	got := make(chan string, 1)
	server, _ := rawServer(t, func(conn net.Conn) {
		text, _ := io.ReadAll(conn)
		got <- string(text)
	})
	client := newStreamTransport()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	body := blockedBody{make(chan struct{})}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://unused/", body)
	c.Assert(err, qt.IsNil)
	request.ContentLength = 4
	_, err = client.Stream(request, server, nil)
	c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictMayHaveRun)
	close(body.release)
	text := <-got
	c.Assert(text, qt.Contains, "POST / HTTP/1.1")
	c.Assert(text, qt.Not(qt.Contains), "late")
}

// A response that is too long for memory must be streamed, and its connection reused.
func TestLongResponseIsStreamed(t *testing.T) {
	c := qt.New(t)
	const size = 40 << 20
	server, connections := rawServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			write(conn, identify(request, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)))
			piece := make([]byte, 1<<20)
			for range size / len(piece) {
				_, _ = conn.Write(piece)
			}
		}
	})
	client := newStreamTransport()
	defer client.Close()
	for range 2 {
		response, err := client.Stream(mustRequest(http.MethodGet), server, allow)
		c.Assert(err, qt.IsNil)
		n, err := io.Copy(io.Discard, response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, int64(size))
		c.Assert(response.Body.Close(), qt.IsNil)
	}
	c.Assert(connections.Load(), qt.Equals, int64(1))
}

// A response that is closed early or broken off must close its connection and must not appear
// complete.
func TestClosedResponseClosesConnection(t *testing.T) {
	c := qt.New(t)
	server, connections := rawServer(t, func(conn net.Conn) {
		readRequestHead(conn)
		write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
	})
	client := newStreamTransport()
	defer client.Close()
	response, err := client.Stream(mustRequest(http.MethodGet), server, allow)
	c.Assert(err, qt.IsNil)
	_, err = io.ReadAll(response.Body)
	c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
	response.Body.Close()
	response, err = client.Stream(mustRequest(http.MethodGet), server, allow)
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	_, err = response.Body.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	c.Assert(connections.Load(), qt.Equals, int64(2))
}

// A streamed lookup without a body is resent if the server closes a reused connection.
func TestStreamedLookupIsResentOnNewConnection(t *testing.T) {
	c := qt.New(t)
	server, connections := rawServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		first, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		write(conn, identify(first, okResponse))
		_, _ = http.ReadRequest(reader)
	})
	client := newStreamTransport()
	defer client.Close()
	for range 2 {
		request := mustRequest(http.MethodGet)
		request.Body = http.NoBody
		response, err := client.Stream(request, server, allow)
		c.Assert(err, qt.IsNil)
		_, err = io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(connections.Load(), qt.Equals, int64(2))
}

func TestInterimResponsesArePassedToTrace(t *testing.T) {
	c := qt.New(t)
	server, _ := rawServer(t, func(conn net.Conn) {
		readRequestHead(conn)
		write(conn, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"+okResponse)
	})
	client := newStreamTransport()
	defer client.Close()
	hints := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
		hints += code
		c.Check(h.Get("Link"), qt.Equals, "a")
		return nil
	}}
	request := mustRequest(http.MethodGet)
	response, err := client.Stream(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)), server, allow)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(hints, qt.Equals, 103)
}

func TestProbeReadsLoad(t *testing.T) {
	c := qt.New(t)
	server, connections := rawServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			c.Check(request.URL.Path, qt.Equals, link.HealthPath)
			write(conn, identify(request, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"slots\":8}"))
		}
	})
	client := newStreamTransport()
	defer client.Close()
	for range 2 {
		report, err := client.Probe(context.Background(), server)
		c.Assert(err, qt.IsNil)
		c.Assert(report.Slots, qt.Equals, 8)
	}
	c.Assert(connections.Load(), qt.Equals, int64(1))
}

func TestReportOf(t *testing.T) {
	for _, test := range []struct {
		text string
		ok   bool
	}{
		{`{"slots":8,"in-flight":3}`, true},
		{``, false},
		{`slots=8`, false},
	} {
		c := qt.New(t)
		r, ok := link.ReportOf(http.Header{lovageyard.LoadHeader: {test.text}})
		c.Assert(ok, qt.Equals, test.ok)
		if ok {
			c.Assert(r.InFlight, qt.Equals, 3)
		}
	}
}
