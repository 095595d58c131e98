package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovageyard.example/lovageyard"
)

// script is what a raw server does with one connection; it returns when it is done.
type script func(conn net.Conn)

// rawServer runs the n-th script on the n-th connection, the last one on all further.
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

func readRequest(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err == nil && request.Body != nil {
		buffer := make([]byte, 1024)
		for err == nil {
			_, err = request.Body.Read(buffer)
		}
	}
}

func write(conn net.Conn, text string) {
	_, _ = conn.Write([]byte(text))
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func closeAfterRequest(conn net.Conn) { readRequest(conn) }

func closeInHeader(conn net.Conn) {
	readRequest(conn)
	write(conn, "HTTP/1.1 200 OK\r\nContent-")
}

func silent(conn net.Conn) {
	readRequest(conn)
	buffer := make([]byte, 1)
	_, _ = conn.Read(buffer)
}

func resetAfterRequest(conn net.Conn) {
	readRequest(conn)
	_ = conn.(*net.TCPConn).SetLinger(0)
}

func TestSendVerdicts(t *testing.T) {
	for _, test := range []struct {
		name    string
		script  script
		verdict lovageyard.Verdict
	}{
		{"closed after the request", closeAfterRequest, lovageyard.VerdictMayHaveRun},
		{"closed in the answer's header", closeInHeader, lovageyard.VerdictMayHaveRun},
		{"reset after the request", resetAfterRequest, lovageyard.VerdictMayHaveRun},
		{"silent", silent, lovageyard.VerdictMayHaveRun},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(test.name+" "+method, func(t *testing.T) {
				c := qt.New(t)
				server, connections := rawServer(t, test.script)
				client := NewClient()
				defer client.Close()
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				defer cancel()
				_, err := client.Send(chargeRequest(ctx, method), server)
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

// onlyReader keeps the request from knowing how to get its body again.
type onlyReader struct {
	*strings.Reader
}

func TestSendIsNotRunWhenNothingListens(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	listener.Close()
	client := NewClient()
	defer client.Close()
	_, err = client.Send(chargeRequest(context.Background(), http.MethodPost), lovageyard.BackendServer{Address: address})
	c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictNotRun)
}

func TestSendIsNotRunWhenCancelledBeforeTheFirstByte(t *testing.T) {
	c := qt.New(t)
	server, _ := rawServer(t, closeAfterRequest)
	client := NewClient()
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := client.Send(chargeRequest(ctx, http.MethodPost), server)
	c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictNotRun)
}

// TestChargeIsNotSentAgainByTheTransport closes a kept connection under a second
// request: the transport must not replay a request that may have run.
func TestChargeIsNotSentAgainByTheTransport(t *testing.T) {
	c := qt.New(t)
	server, connections := rawServer(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		write(conn, whole)
		// The second request is read, and then the connection is closed without an answer.
		_, _ = http.ReadRequest(reader)
	})
	client := NewClient()
	defer client.Close()
	idle := make(chan error, 1)
	trace := &httptrace.ClientTrace{PutIdleConn: func(err error) { idle <- err }}
	request := mustRequest(http.MethodGet)
	first, err := client.Send(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)), server)
	c.Assert(err, qt.IsNil)
	_, err = io.ReadAll(first.Body)
	c.Assert(err, qt.IsNil)
	first.Body.Close()
	c.Assert(<-idle, qt.IsNil)
	_, err = client.Send(chargeRequest(context.Background(), http.MethodPost), server)
	c.Assert(lovageyard.VerdictOf(err), qt.Equals, lovageyard.VerdictMayHaveRun)
	c.Assert(connections.Load(), qt.Equals, int64(1))
}

func mustRequest(method string) *http.Request {
	request, err := http.NewRequest(method, "http://unused/", nil)
	if err != nil {
		panic(err)
	}
	return request
}

func TestSealedConnectionWritesNothing(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := &countedConn{Conn: near}
	c.Assert(conn.seal(conn.mark()), qt.IsFalse)
	_, err := conn.Write([]byte("late"))
	c.Assert(err, qt.Equals, errSealed)
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
		r, ok := ReportOf(http.Header{lovageyard.LoadHeader: {test.text}})
		c.Assert(ok, qt.Equals, test.ok)
		if ok {
			c.Assert(r.InFlight, qt.Equals, 3)
		}
	}
}
